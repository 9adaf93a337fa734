"""A randomised soak: real host processes, faults from outside, promises checked."""

import asyncio
import json
import random
import signal
import time
from dataclasses import dataclass, field

from host_group import HostGroup
from loopback_proxy import LinkMode, LoopbackProxy

from berylcleat.standins import find_free_ports, make_submission_body

N_HOSTS = 3
N_WORKERS = 6
N_RACKS = 2
SUBMIT_PERIOD_S = 0.25
# What a host may take to serve again after the last fault, and all work to end.
CALM_S = 45.0
PAUSE_RANGE_S = (0.2, 1.5)
FAULT_RANGE_S = (0.5, 5.0)
OUTAGES = ("silent", "busy", "lost")


@dataclass(frozen=True, slots=True)
class Fault:
    """Say what happens when, to what, and for how long; times in seconds."""

    at_s: float
    kind: str
    target: int
    for_s: float
    mode: str = ""


def make_plan(random_state: int, length_s: float) -> tuple[Fault, ...]:
    """Return faults that come in series and overlap."""
    rng = random.Random(random_state)
    kinds = ("kill", "stop", "pause", "store link", "worker link", "reset", "store")
    modes = [mode.value for mode in LinkMode if mode is not LinkMode.OPEN]
    plan = []
    at_s = rng.uniform(*PAUSE_RANGE_S)
    while at_s < length_s:
        kind = rng.choice(kinds)
        mode = rng.choice(OUTAGES) if kind == "store" else rng.choice(modes)
        n_targets = N_WORKERS if kind == "worker link" else N_HOSTS
        target = rng.randrange(n_targets)
        plan.append(Fault(at_s, kind, target, rng.uniform(*FAULT_RANGE_S), mode))
        at_s += rng.uniform(*PAUSE_RANGE_S)
    return tuple(plan)


class ProxiedGroup(HostGroup):
    """Hosts that reach the store and the workers through proxies."""

    def _prepare(self) -> None:
        ports = find_free_ports(len(self.hosts) + len(self.workers))
        addresses = [f"127.0.0.1:{port}" for port in ports]
        targets = [self.store] * len(self.hosts) + self.workers
        self.links = [
            LoopbackProxy(address, target)
            for address, target in zip(addresses, targets, strict=True)
        ]
        self.store_by_host = addresses[: len(self.hosts)]
        self.listed_by_worker = addresses[len(self.hosts) :]


@dataclass(slots=True)
class Told:
    """Hold what callers were told, by submission id."""

    accepted: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    unknown: set[str] = field(default_factory=set)


class Soak:
    """Play one seed and collect every broken promise."""

    def __init__(self, random_state: int, length_s: float):
        self.plan = make_plan(random_state, length_s)
        self.length_s = length_s
        self.rng = random.Random(random_state + 1)
        self.told = Told()
        self.broken: list[str] = []
        self.group = ProxiedGroup(N_HOSTS, N_WORKERS, n_racks=N_RACKS)
        self._began_at = 0.0

    async def run(self) -> list[str]:
        """Play the plan, then a calm time; return what was broken."""
        for link in self.group.links:
            await link.start()
        try:
            await self.group.wait_ready()
            self._began_at = time.monotonic()
            await asyncio.gather(self._call(), *map(self._play, self.plan))
            await self._settle()
            await self._check_ledger()
        finally:
            for link in self.group.links:
                await link.stop()
            self.group.stop()
        return self.broken

    async def _call(self) -> None:
        """Hand submissions in at hosts, and ask for earlier ones."""
        number = 0
        pending = []
        while time.monotonic() - self._began_at < self.length_s:
            submission_id = f"{number:016x}"
            number += 1
            pending.append(asyncio.create_task(self._hand_in(submission_id)))
            await asyncio.sleep(SUBMIT_PERIOD_S)
        await asyncio.gather(*pending)

    async def _hand_in(self, submission_id: str) -> None:
        host = self.rng.randrange(N_HOSTS)
        body = make_submission_body(run_s=self.rng.uniform(0.05, 1.5))
        status = await self._post(host, submission_id, body)
        if status == 200:
            self.told.accepted.add(submission_id)
        elif status in (429, 503):
            self.told.refused.add(submission_id)
        else:
            self.told.unknown.add(submission_id)

    async def _post(self, host: int, submission_id: str, body: dict) -> int:
        front = self.group.hosts[host][0]
        data = json.dumps(body).encode()
        status, _ = await self.group.call(
            front, "POST", f"/proofs/{submission_id}", data
        )
        return status

    # Faults

    async def _play(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at_s)
        act = {
            "kill": self._kill,
            "stop": self._kill,
            "pause": self._pause,
            "store link": self._harm_link,
            "worker link": self._harm_link,
            "reset": self._reset,
            "store": self._store_outage,
        }
        await act[fault.kind](fault)

    async def _kill(self, fault: Fault) -> None:
        process = self.group.processes[fault.target]
        if process.poll() is not None:
            return
        number = signal.SIGKILL if fault.kind == "kill" else signal.SIGTERM
        process.send_signal(signal.SIGCONT)
        process.send_signal(number)
        while process.poll() is None:
            await asyncio.sleep(0.05)
        await asyncio.sleep(fault.for_s / 2)
        if self.group.processes[fault.target] is process:
            self.group.processes[fault.target] = self.group.start_host(fault.target)

    async def _pause(self, fault: Fault) -> None:
        process = self.group.processes[fault.target]
        if process.poll() is None:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(fault.for_s)
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)

    def _link(self, fault: Fault) -> LoopbackProxy:
        is_worker = fault.kind == "worker link"
        return self.group.links[fault.target + (N_HOSTS if is_worker else 0)]

    async def _harm_link(self, fault: Fault) -> None:
        link = self._link(fault)
        link.mode = LinkMode(fault.mode)
        await asyncio.sleep(fault.for_s)
        link.mode = LinkMode.OPEN

    async def _reset(self, fault: Fault) -> None:
        for link in self.group.links[fault.target :: N_HOSTS]:
            link.reset()

    async def _store_outage(self, fault: Fault) -> None:
        await self.group.order("/outage", mode=fault.mode)
        await asyncio.sleep(fault.for_s)
        await self.group.order("/outage", mode="")

    # Promises

    async def _settle(self) -> None:
        """Wait until every accepted submission is shown as done by every host."""
        deadline = time.monotonic() + CALM_S
        waiting = {
            (host, submission_id)
            for submission_id in self.told.accepted
            for host in range(N_HOSTS)
        }
        seen: dict[tuple[int, str], str] = {}
        while waiting and time.monotonic() < deadline:
            for host, submission_id in sorted(waiting):
                state = await self.group.state(host, submission_id)
                seen[host, submission_id] = state
                if state == "done":
                    waiting.discard((host, submission_id))
                elif state in ("410", "failed", "canceled"):
                    self.broken.append(f"{submission_id}: host {host} says {state}")
                    waiting.discard((host, submission_id))
            await asyncio.sleep(0.5)
        for host, submission_id in sorted(waiting)[:5]:
            state = seen.get((host, submission_id))
            self.broken.append(f"{submission_id}: still {state} at host {host}")

    async def _check_ledger(self) -> None:
        ledger = await self.group.ledger()
        self.broken += [f"ran twice: {text}" for text in ledger["overlaps"]]
        started = set(ledger["started_ids"])
        for submission_id in sorted(self.told.refused & started):
            self.broken.append(f"{submission_id}: refused, and ran")
        for submission_id in sorted(self.told.accepted - started):
            self.broken.append(f"{submission_id}: accepted, and never ran")
        if not self.told.accepted:
            self.broken.append("nothing was accepted")

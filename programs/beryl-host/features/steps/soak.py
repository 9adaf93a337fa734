"""Randomised soak test: host processes, injected faults and checked invariants."""

import asyncio
import json
import random
import signal
import time
from dataclasses import dataclass, field, replace

from gone_faults import GoneFaultInjector, make_gone_plan
from host_group import HostGroup
from loopback_proxy import LinkMode, LoopbackProxy
from worker_faults import WorkerFaultInjector, make_worker_plan

from berylcleat.standins import find_free_ports, make_submission_body

N_HOSTS = 3
N_WORKERS = 6
N_RACKS = 2
SUBMIT_PERIOD_S = 0.25
# Time after the last fault in which hosts must recover and all submissions finish.
RECOVERY_TIMEOUT_S = 45.0
FAULT_INTERVAL_RANGE_S = (0.2, 1.5)
FAULT_DURATION_RANGE_S = (0.5, 5.0)
OUTAGES = ("silent", "busy", "lost")
RUN_RANGE_S = (0.05, 1.5)
N_TASKS = 3
# With drains: runs that outlast the removal of a cut-off worker's entry, fewer of them,
# and fewer faults of hosts, as those end leases as well.
DRAINS_RUN_RANGE_S = (1.0, 9.0)
DRAINS_N_TASKS = 2
DRAINS_SUBMIT_PERIOD_S = 0.75
DRAINS_HOST_KINDS = ("kill", "stop", "pause", "store link", "reset")
DRAINS_SEED_OFFSET = 1_000_000
# With hosts and workers that never return: long-running submissions come before the
# faults, of which those of other kinds end before the last of these.
GONE_SEED_OFFSET = 2_000_000
FIRST_LASTING_NUMBER = 2_000_000
N_LASTING = 3
N_LASTING_TASKS = 3
LASTING_RUN_S = 3600.0
# Period at which the delay of this process is measured, which runs all proxies.
DELAY_PERIOD_S = 0.1
# Number of the first submission that is sent after the recovery.
FIRST_LATE_NUMBER = 1_000_000


@dataclass(frozen=True, slots=True)
class Fault:
    """Injected fault: kind, target, start and duration; times in seconds."""

    at_s: float
    kind: str
    target: int
    duration_s: float
    mode: str = ""


def make_plan(random_state: int, length_s: float) -> tuple[Fault, ...]:
    """Return a random schedule of faults, which may overlap."""
    rng = random.Random(random_state)
    kinds = ("kill", "stop", "pause", "store link", "worker link", "reset", "store")
    modes = [mode.value for mode in LinkMode if mode is not LinkMode.OPEN]
    plan = []
    at_s = rng.uniform(*FAULT_INTERVAL_RANGE_S)
    while at_s < length_s:
        kind = rng.choice(kinds)
        mode = rng.choice(OUTAGES) if kind == "store" else rng.choice(modes)
        n_targets = N_WORKERS if kind == "worker link" else N_HOSTS
        target = rng.randrange(n_targets)
        plan.append(
            Fault(at_s, kind, target, rng.uniform(*FAULT_DURATION_RANGE_S), mode)
        )
        at_s += rng.uniform(*FAULT_INTERVAL_RANGE_S)
    return tuple(plan)


def make_host_plan(random_state: int, length_s: float) -> tuple[Fault, ...]:
    """Return the faults of hosts that go with those of draining workers."""
    plan = make_plan(random_state, length_s)
    return tuple(fault for fault in plan if fault.kind in DRAINS_HOST_KINDS)[::2]


def make_ending_host_plan(random_state: int, length_s: float) -> tuple[Fault, ...]:
    """Return the same faults, all of which end within ``length_s``."""
    return tuple(
        replace(fault, duration_s=min(fault.duration_s, length_s - fault.at_s))
        for fault in make_host_plan(random_state, length_s)
    )


def make_lasting_body() -> dict:
    """Return a long-running submission."""
    step = {
        "count": N_LASTING_TASKS,
        "cpu": 1000,
        "memMb": 100,
        "estimateMs": 1000,
        "longRunning": True,
    }
    return {"spec": json.dumps({"run_s": LASTING_RUN_S}), "steps": [step]}


class ProxiedGroup(HostGroup):
    """Hosts that reach the store and the workers through fault-injecting proxies.

    Another host may take the place of one that has gone.
    """

    def _prepare(self) -> None:
        self._n_replaced_by_host = [0] * len(self.hosts)
        ports = find_free_ports(len(self.hosts) + len(self.workers))
        addresses = [f"127.0.0.1:{port}" for port in ports]
        targets = [self.store] * len(self.hosts) + self.workers
        self.links = [
            LoopbackProxy(address, target)
            for address, target in zip(addresses, targets, strict=True)
        ]
        self.store_by_host = addresses[: len(self.hosts)]
        self.listed_by_worker = addresses[len(self.hosts) :]

    def host_id(self, number: int) -> str:
        """Return the id of the host that has this place now."""
        n_replaced = self._n_replaced_by_host[number]
        return f"host-{number}-{n_replaced}" if n_replaced else f"host-{number}"

    async def replace_host(self, number: int, after_s: float) -> None:
        """Start a host under another id and at other addresses."""
        process = self.processes[number]
        self._n_replaced_by_host[number] += 1
        self.hosts[number] = [f"127.0.0.1:{port}" for port in find_free_ports(4)]
        self.links[number].reset()
        await asyncio.sleep(after_s)
        # A fault that restarts the host may have done it already.
        if self.processes[number] is process:
            self.processes[number] = self.start_host(number)


@dataclass(slots=True)
class SubmissionAnswers:
    """Submission ids by the outcome that callers received."""

    accepted: set[str] = field(default_factory=set)
    refused: set[str] = field(default_factory=set)
    unknown: set[str] = field(default_factory=set)


class Soak:
    """Soak test of one seed that collects every violated invariant.

    With ``has_drains`` workers drain, exit and return, are cut off and lose their
    entries, and the store is closed. With ``has_gone`` owners and workers of their
    cells go together and never return; the long-running tasks must run again in time.
    """

    def __init__(
        self,
        random_state: int,
        length_s: float,
        *,
        has_drains: bool = False,
        has_gone: bool = False,
    ):
        self.has_drains = has_drains
        if has_drains:
            self.plan = make_host_plan(random_state, length_s)
            drains_state = random_state + DRAINS_SEED_OFFSET
            self.worker_plan = make_worker_plan(drains_state, length_s, N_WORKERS)
        else:
            make = make_ending_host_plan if has_gone else make_plan
            self.plan = make(random_state, length_s)
            self.worker_plan = ()
        gone_state = random_state + GONE_SEED_OFFSET
        self.gone_plan = make_gone_plan(gone_state, length_s) if has_gone else ()
        self.run_range_s = DRAINS_RUN_RANGE_S if has_drains else RUN_RANGE_S
        self.n_tasks = DRAINS_N_TASKS if has_drains else N_TASKS
        is_sparse = has_drains or has_gone
        self.submit_period_s = DRAINS_SUBMIT_PERIOD_S if is_sparse else SUBMIT_PERIOD_S
        self.length_s = max([length_s, *(fault.at_s for fault in self.gone_plan)])
        self.rng = random.Random(random_state + 1)
        self.answers = SubmissionAnswers()
        self.violations: list[str] = []
        self.group = ProxiedGroup(N_HOSTS, N_WORKERS, n_racks=N_RACKS)
        # The longest time for which this process, and so all proxies, stood still.
        self.longest_delay_s = 0.0
        self._started_at = 0.0

    @property
    def n_faults(self) -> int:
        """The number of planned faults."""
        return len(self.plan) + len(self.worker_plan) + len(self.gone_plan)

    async def run(self) -> list[str]:
        """Inject the planned faults, wait for recovery and return the violations."""
        for link in self.group.links:
            await link.start()
        worker_links = self.group.links[N_HOSTS:]
        injector = WorkerFaultInjector(self.group, worker_links)
        gone_injector = GoneFaultInjector(self.group, worker_links, N_RACKS)
        delay_task = asyncio.create_task(self._measure_delay())
        try:
            await self.group.wait_ready()
            lasting_tasks = await self._submit_lasting() if self.gone_plan else ()
            self._started_at = time.monotonic()
            await asyncio.gather(
                self._submit_all(),
                *map(self._inject, self.plan),
                *map(injector.inject, self.worker_plan),
                *map(gone_injector.inject, self.gone_plan),
            )
            for task in await gone_injector.find_idle_tasks(lasting_tasks):
                self.violations.append(f"{task}: lasts, but didn't run again in time")
            await self._wait_for_recovery()
            if self.has_drains:
                await self._check_work_goes_on()
            await self._check_ledger()
        finally:
            # The processes first: the test may end here while it is cancelled.
            self.group.stop()
            delay_task.cancel()
            for link in self.group.links:
                await link.stop()
            await gone_injector.stop()
        return self.violations

    async def _measure_delay(self) -> None:
        while True:
            slept_at = time.monotonic()
            await asyncio.sleep(DELAY_PERIOD_S)
            delay_s = time.monotonic() - slept_at - DELAY_PERIOD_S
            self.longest_delay_s = max(self.longest_delay_s, delay_s)

    async def _submit_lasting(self) -> tuple[str, ...]:
        """Hand the long-running submissions in; return their tasks."""
        tasks = []
        for number in range(FIRST_LASTING_NUMBER, FIRST_LASTING_NUMBER + N_LASTING):
            submission_id = f"{number:016x}"
            status = await self.group.submit(0, submission_id, make_lasting_body())
            if status != 200:
                self.violations.append(f"{submission_id}: lasts, answered {status}")
            tasks += [f"{submission_id}.0.0.{task}" for task in range(N_LASTING_TASKS)]
        return tuple(tasks)

    async def _submit_all(self) -> None:
        """Send a submission to a random host every ``submit_period_s``."""
        number = 0
        pending = []
        while time.monotonic() - self._started_at < self.length_s:
            submission_id = f"{number:016x}"
            number += 1
            pending.append(asyncio.create_task(self._submit(submission_id)))
            await asyncio.sleep(self.submit_period_s)
        await asyncio.gather(*pending)

    async def _submit(self, submission_id: str) -> None:
        host = self.rng.randrange(N_HOSTS)
        run_s = self.rng.uniform(*self.run_range_s)
        body = make_submission_body(run_s, self.n_tasks)
        status = await self._post(host, submission_id, body)
        if status == 200:
            self.answers.accepted.add(submission_id)
        elif status in (429, 503):
            self.answers.refused.add(submission_id)
        else:
            self.answers.unknown.add(submission_id)

    async def _post(self, host: int, submission_id: str, body: dict) -> int:
        front = self.group.hosts[host][0]
        data = json.dumps(body).encode()
        status, _ = await self.group.call(
            front, "POST", f"/proofs/{submission_id}", data
        )
        return status

    # Faults

    async def _inject(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at_s)
        handler_by_kind = {
            "kill": self._kill,
            "stop": self._kill,
            "pause": self._pause,
            "store link": self._degrade_link,
            "worker link": self._degrade_link,
            "reset": self._reset,
            "store": self._store_outage,
        }
        await handler_by_kind[fault.kind](fault)

    async def _kill(self, fault: Fault) -> None:
        process = self.group.processes[fault.target]
        if process.poll() is not None:
            return
        signal_number = signal.SIGKILL if fault.kind == "kill" else signal.SIGTERM
        process.send_signal(signal.SIGCONT)
        process.send_signal(signal_number)
        while process.poll() is None:
            await asyncio.sleep(0.05)
        await asyncio.sleep(fault.duration_s / 2)
        if self.group.processes[fault.target] is process:
            self.group.processes[fault.target] = self.group.start_host(fault.target)

    async def _pause(self, fault: Fault) -> None:
        process = self.group.processes[fault.target]
        if process.poll() is None:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(fault.duration_s)
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)

    def _link(self, fault: Fault) -> LoopbackProxy:
        is_worker = fault.kind == "worker link"
        return self.group.links[fault.target + (N_HOSTS if is_worker else 0)]

    async def _degrade_link(self, fault: Fault) -> None:
        link = self._link(fault)
        link.mode = LinkMode(fault.mode)
        await asyncio.sleep(fault.duration_s)
        link.mode = LinkMode.OPEN

    async def _reset(self, fault: Fault) -> None:
        for link in self.group.links[fault.target :: N_HOSTS]:
            link.reset()

    async def _store_outage(self, fault: Fault) -> None:
        await self.group.send_command("/outage", mode=fault.mode)
        await asyncio.sleep(fault.duration_s)
        await self.group.send_command("/outage", mode="")

    # Invariants

    async def _wait_for_recovery(self) -> None:
        """Wait until every host reports every accepted submission as done."""
        deadline = time.monotonic() + RECOVERY_TIMEOUT_S
        unfinished = {
            (host, submission_id)
            for submission_id in self.answers.accepted
            for host in range(N_HOSTS)
        }
        last_state: dict[tuple[int, str], str] = {}
        while unfinished and time.monotonic() < deadline:
            for host, submission_id in sorted(unfinished):
                state = await self.group.state(host, submission_id)
                last_state[host, submission_id] = state
                if state == "done":
                    unfinished.discard((host, submission_id))
                elif state in ("410", "failed", "canceled"):
                    self.violations.append(
                        f"{submission_id}: host {host} reports {state}"
                    )
                    unfinished.discard((host, submission_id))
            await asyncio.sleep(0.5)
        for host, submission_id in sorted(unfinished)[:5]:
            state = last_state.get((host, submission_id))
            self.violations.append(f"{submission_id}: still {state} at host {host}")

    async def _check_work_goes_on(self) -> None:
        """Check that each host accepts a submission that is then done."""
        for host in range(N_HOSTS):
            submission_id = f"{FIRST_LATE_NUMBER + host:016x}"
            body = make_submission_body()
            status = await self.group.submit(host, submission_id, body)
            if status != 200:
                self.violations.append(f"host {host} answers {status} after recovery")
                continue
            self.answers.accepted.add(submission_id)
            try:
                await self.group.wait_state(host, submission_id, "done")
            except AssertionError as error:
                self.violations.append(f"after recovery: {error}")

    async def _check_ledger(self) -> None:
        ledger = await self.group.ledger()
        self.violations += [f"ran twice: {text}" for text in ledger["overlaps"]]
        started = set(ledger["started_ids"])
        for submission_id in sorted(self.answers.refused & started):
            self.violations.append(f"{submission_id}: refused, but started")
        for submission_id in sorted(self.answers.accepted - started):
            self.violations.append(f"{submission_id}: accepted, but never started")
        if not self.answers.accepted:
            self.violations.append("no submission was accepted")

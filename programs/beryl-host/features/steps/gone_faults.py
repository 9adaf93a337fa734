"""Faults of the soak test without an end: hosts that are replaced, silent workers."""

import asyncio
import random
import signal
import subprocess
import time
from dataclasses import dataclass
from typing import Protocol

from loopback_proxy import ConnectFault, LoopbackProxy

# One worker of each rack goes, so that each cell keeps some.
GOING_WORKERS = (0, 1)
# Part of the test's length after which the first worker goes.
FIRST_RATIO_RANGE = (0.2, 0.5)
# The last fault comes that long after the others: 3 s until hosts are in touch and 4 s.
CALM_S = 7.0
# How much earlier or later than the worker its cell's owner goes.
OWNER_DELAY_RANGE_S = (-0.5, 0.5)
REPLACED_AFTER_RANGE_S = (0.5, 3.0)
HEARTBEAT_PERIOD_S = 1.5
# A long-running task runs again that long after the last fault at the latest: its owner
# counts as gone after 3 s, the next one acts within 4 s and starts it within 3 s.
MAX_IDLE_S = 10.0
# Runs end up to a lease after their owner has gone, and may then wait for MAX_IDLE_S.
WATCH_S = 22.0
WATCH_INTERVAL_S = 0.25


@dataclass(frozen=True, slots=True)
class GoneFault:
    """A worker and the owner of its cell that go for good; times in seconds."""

    at_s: float
    worker: int
    owner_delay_s: float
    replaced_after_s: float
    heartbeat_age_s: float


def make_gone_plan(random_state: int, length_s: float) -> tuple[GoneFault, ...]:
    """Return a fault among the others and one that follows them in calm."""
    rng = random.Random(random_state)
    times_s = (length_s * rng.uniform(*FIRST_RATIO_RANGE), length_s + CALM_S)
    workers = rng.sample(GOING_WORKERS, len(GOING_WORKERS))
    return tuple(
        GoneFault(
            at_s,
            worker,
            rng.uniform(*OWNER_DELAY_RANGE_S),
            rng.uniform(*REPLACED_AFTER_RANGE_S),
            rng.uniform(0.0, HEARTBEAT_PERIOD_S),
        )
        for at_s, worker in zip(times_s, workers, strict=True)
    )


class ReplaceableHosts(Protocol):
    """Group of host processes in which another host may take the place of one."""

    hosts: list[list[str]]
    processes: list[subprocess.Popen]

    async def send_command(self, target: str, **body) -> None:
        """Send a control command to the stand-in platform."""

    async def ledger(self) -> dict:
        """Return the stand-in platform's record of the runs."""

    async def wait_owner(self, cell_id: str) -> int:
        """Return the number of the host that acquired a cell last; wait for one."""

    async def replace_host(self, number: int, after_s: float) -> None:
        """Start a host under another id and at other addresses."""


class GoneFaultInjector:
    """Executes faults without an end; ``links`` are those to the workers."""

    def __init__(
        self, group: ReplaceableHosts, links: list[LoopbackProxy], n_racks: int
    ):
        self.last_at = 0.0
        self._group = group
        self._links = links
        self._n_racks = n_racks
        self._silent_addresses: list[LoopbackProxy] = []

    async def inject(self, fault: GoneFault) -> None:
        """Wait until a fault begins; return when another host has taken the place."""
        await asyncio.sleep(fault.at_s)
        cell_id = f"r{1 + fault.worker % self._n_racks}"
        owner = await self._group.wait_owner(cell_id)
        await asyncio.gather(self._end_worker(fault), self._end_owner(fault, owner))

    async def _end_worker(self, fault: GoneFault) -> None:
        await asyncio.sleep(max(0.0, -fault.owner_delay_s))
        self.last_at = time.monotonic()
        await self._links[fault.worker].set_connect_fault(ConnectFault.HANGS)
        worker_id = f"w{fault.worker}"
        await self._group.send_command(
            "/cut-off", worker=worker_id, heartbeat_age_s=fault.heartbeat_age_s
        )
        await self._group.send_command("/exit", worker=worker_id)

    async def _end_owner(self, fault: GoneFault, owner: int) -> None:
        await asyncio.sleep(max(0.0, fault.owner_delay_s))
        self.last_at = time.monotonic()
        process, peer_address = (
            self._group.processes[owner],
            self._group.hosts[owner][2],
        )
        process.send_signal(signal.SIGKILL)
        process.wait()
        silent = LoopbackProxy(peer_address, "")
        self._silent_addresses.append(silent)
        await silent.start()
        await silent.set_connect_fault(ConnectFault.HANGS)
        await self._group.replace_host(owner, fault.replaced_after_s)

    async def find_idle_tasks(self, tasks: tuple[str, ...]) -> list[str]:
        """Watch long-running tasks after the last fault; return those idle too long."""
        idle = set()
        while time.monotonic() < self.last_at + WATCH_S:
            now = time.monotonic()
            ledger = await self._group.ledger()
            for task in set(tasks) - set(ledger["running_workers_by_task"]):
                idle_since = ledger["idle_since_by_task"].get(task, self.last_at)
                if now - max(idle_since, self.last_at) > MAX_IDLE_S:
                    idle.add(task)
            await asyncio.sleep(WATCH_INTERVAL_S)
        return sorted(idle)

    async def stop(self) -> None:
        """Release the addresses of the hosts that have gone."""
        for silent in self._silent_addresses:
            await silent.stop()

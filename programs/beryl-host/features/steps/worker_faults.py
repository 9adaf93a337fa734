"""Faults of workers for the soak test: drains, cuts, lost entries, a closed store."""

import asyncio
import random
from dataclasses import dataclass

from host_group import HostGroup
from loopback_proxy import ConnectFault, LoopbackProxy

FAULT_INTERVAL_RANGE_S = (0.3, 2.0)
DRAIN_RANGE_S = (2.0, 8.0)
# A worker is away for this part of its drain before it returns.
AWAY_RATIO = 0.5
CUT_RANGE_S = (1.0, 7.0)
# Long enough for the entry to be removed, 3 to 4.5 s after the cut.
LONG_CUT_RANGE_S = (3.2, 7.0)
UNLISTED_RANGE_S = (4.0, 8.0)
STORE_CLOSED_RANGE_S = (1.0, 6.0)
HEARTBEAT_PERIOD_S = 1.5
# How long after the begin of a drain the worker is cut off, from the store or from all.
CUT_AFTER_RANGE_S = (0.2, 1.5)
# How long after the cut from the store the worker is cut off from the hosts as well.
HOST_CUT_AFTER_RANGE_S = (2.0, 5.0)
DRAIN_KINDS = ("drain", "cut off drain", "unlisted drain")
KINDS = (*DRAIN_KINDS, "cut off drain", "cut", "unlist", "close store")
# Workers from this number on return after their drain, so that each rack keeps some.
N_LEAVING_WORKERS = 2


@dataclass(frozen=True, slots=True)
class WorkerFault:
    """Injected fault: kind, number of the worker, start and duration in seconds.

    ``heartbeat_age_s`` is the time since the worker's last heartbeat when a cut begins.
    """

    at_s: float
    kind: str
    worker: int
    duration_s: float
    connect_fault: ConnectFault | None = None
    heartbeat_age_s: float = 0.0


def make_worker_plan(
    random_state: int, length_s: float, n_workers: int
) -> tuple[WorkerFault, ...]:
    """Return a random schedule of faults of workers, which may overlap."""
    rng = random.Random(random_state)
    plan = []
    at_s = rng.uniform(*FAULT_INTERVAL_RANGE_S)
    while at_s < length_s:
        kind = rng.choice(KINDS)
        worker = rng.randrange(n_workers)
        if kind in DRAIN_KINDS:
            plan += _make_drain(rng, kind, at_s, worker)
        elif kind == "close store":
            duration_s = rng.uniform(*STORE_CLOSED_RANGE_S)
            plan.append(WorkerFault(at_s, kind, worker, duration_s))
        elif kind == "cut":
            plan.append(_make_cut(rng, at_s, worker, CUT_RANGE_S))
        else:
            duration_s = rng.uniform(*UNLISTED_RANGE_S)
            age_s = rng.uniform(0.0, HEARTBEAT_PERIOD_S)
            plan.append(WorkerFault(at_s, kind, worker, duration_s, None, age_s))
        at_s += rng.uniform(*FAULT_INTERVAL_RANGE_S)
    return tuple(plan)


def _make_drain(
    rng: random.Random, kind: str, at_s: float, worker: int
) -> list[WorkerFault]:
    """Return a drain; unless the kind is "drain", the worker is cut off meanwhile.

    An unlisted one is cut off from the store first, and from the hosts later.
    """
    drain = WorkerFault(at_s, "drain", worker, rng.uniform(*DRAIN_RANGE_S))
    if kind == "drain":
        return [drain]
    cut_at_s = at_s + rng.uniform(*CUT_AFTER_RANGE_S)
    if kind == "cut off drain":
        return [drain, _make_cut(rng, cut_at_s, worker, LONG_CUT_RANGE_S)]
    host_cut_after_s = rng.uniform(*HOST_CUT_AFTER_RANGE_S)
    cut = _make_cut(rng, cut_at_s + host_cut_after_s, worker, LONG_CUT_RANGE_S)
    unlisted_s = host_cut_after_s + cut.duration_s
    age_s = rng.uniform(0.0, HEARTBEAT_PERIOD_S)
    return [
        drain,
        WorkerFault(cut_at_s, "unlist", worker, unlisted_s, None, age_s),
        cut,
    ]


def _make_cut(
    rng: random.Random, at_s: float, worker: int, range_s: tuple[float, float]
) -> WorkerFault:
    return WorkerFault(
        at_s,
        "cut",
        worker,
        rng.uniform(*range_s),
        rng.choice(list(ConnectFault)),
        rng.uniform(0.0, HEARTBEAT_PERIOD_S),
    )


class WorkerFaultInjector:
    """Executes faults of the workers behind ``links``.

    A fault is left out if the same kind of fault of its worker is under way.
    """

    def __init__(self, group: HostGroup, links: list[LoopbackProxy]):
        self._group = group
        self._links = links
        self._leaving: set[int] = set()
        self._away: set[int] = set()
        self._without_store: set[int] = set()
        self._connect_fault_by_worker: dict[int, ConnectFault] = {}
        self._is_store_closed = False

    async def inject(self, fault: WorkerFault) -> None:
        """Wait until a fault begins and return when it has ended."""
        await asyncio.sleep(fault.at_s)
        handler_by_kind = {
            "drain": self._drain,
            "cut": self._cut,
            "unlist": self._unlist,
            "close store": self._close_store,
        }
        await handler_by_kind[fault.kind](fault)

    async def _drain(self, fault: WorkerFault) -> None:
        if fault.worker in self._leaving:
            return
        self._leaving.add(fault.worker)
        worker_id = f"w{fault.worker}"
        await self._group.send_command("/drain", worker=worker_id)
        await asyncio.sleep(fault.duration_s)
        await self._group.send_command("/exit", worker=worker_id)
        self._away.add(fault.worker)
        await self._update_link(fault.worker)
        if fault.worker < N_LEAVING_WORKERS:
            return
        await asyncio.sleep(fault.duration_s * AWAY_RATIO)
        await self._group.send_command("/return", worker=worker_id)
        self._away.discard(fault.worker)
        self._leaving.discard(fault.worker)
        await self._update_link(fault.worker)

    async def _cut(self, fault: WorkerFault) -> None:
        if fault.worker in self._connect_fault_by_worker:
            return
        self._connect_fault_by_worker[fault.worker] = fault.connect_fault
        await self._update_link(fault.worker)
        await self._unlist(fault)
        del self._connect_fault_by_worker[fault.worker]
        await self._update_link(fault.worker)

    async def _unlist(self, fault: WorkerFault) -> None:
        """Keep a worker's heartbeats from the store for the duration of the fault."""
        if fault.worker in self._without_store:
            await asyncio.sleep(fault.duration_s)
            return
        self._without_store.add(fault.worker)
        worker_id = f"w{fault.worker}"
        await self._group.send_command(
            "/cut-off", worker=worker_id, heartbeat_age_s=fault.heartbeat_age_s
        )
        await asyncio.sleep(fault.duration_s)
        await self._group.send_command("/reconnect", worker=worker_id)
        self._without_store.discard(fault.worker)

    async def _close_store(self, fault: WorkerFault) -> None:
        if self._is_store_closed:
            return
        self._is_store_closed = True
        await self._group.send_command("/close-store")
        await asyncio.sleep(fault.duration_s)
        await self._group.send_command("/open-store")
        self._is_store_closed = False

    async def _update_link(self, worker: int) -> None:
        """Set what a connect to a worker meets: a cut hides whether it has exited."""
        fault = self._connect_fault_by_worker.get(worker)
        if fault is None and worker in self._away:
            fault = ConnectFault.REFUSED
        await self._links[worker].set_connect_fault(fault)

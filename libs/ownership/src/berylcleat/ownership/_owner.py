"""What the owner of a cell knows of its workers, and what follows from it.

Fencing tokens after Kleppmann, How to do distributed locking, 2016; leases bounded
on the grantor's clock after Gray and Cheriton, SOSP 1989.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

import msgspec

from berylcleat.ports import (
    ExchangeReply,
    ExchangeRequest,
    TaskStart,
    TaskStop,
    TaskThrottle,
)

from ._cell import CellState
from ._records import End, Record, TaskState


@dataclass(frozen=True, slots=True)
class LeaseRules:
    """Set the times of leases, in seconds.

    ``renewal_limit_s`` bounds how long an owner may renew after its last confirmed
    heartbeat; ``clock_drift`` is the greatest relative difference of clock rates.
    """

    worker_lease_s: float = 6.0
    host_lapse_s: float = 5.0
    renewal_limit_s: float = 900.0
    clock_drift: float = 0.01

    def longest(self, seconds: float) -> float:
        """Return the longest a peer's clock may take to count ``seconds``."""
        return seconds * (1 + self.clock_drift)


@dataclass(frozen=True, slots=True)
class Wishes:
    """Hold what the owner wants of running tasks, by task id."""

    evictions: frozenset[str] = frozenset()
    throttled: frozenset[str] = frozenset()
    trace_by_task: Mapping[str, str] = field(default_factory=dict)


NO_WISHES = Wishes()


@dataclass(frozen=True, slots=True)
class WorkerView:
    """Hold what the owner knows of one worker.

    ``lease_ends_by`` is the latest time, on the owner's clock, at which the worker
    may still run anything that has not been renewed since.
    """

    worker_id: str
    lease_ends_by: float
    reply: ExchangeReply | None = None
    replied_at: float = float("-inf")
    sequence: int = 0
    replied_sequence: int = 0
    is_gone: bool = False


@dataclass(frozen=True, slots=True)
class OwnedCell:
    """Hold a cell under one epoch: its durable state and its workers."""

    cell: CellState
    epoch: int
    rules: LeaseRules
    worker_by_id: dict[str, WorkerView] = field(default_factory=dict)


def make_owned_cell(
    cell: CellState,
    epoch: int,
    rules: LeaseRules,
    worker_ids: tuple[str, ...],
    now: float,
) -> OwnedCell:
    """Return the cell as first seen by a new owner: no worker is fenced yet.

    An unfenced worker may run tasks as long as an old owner may renew, and its
    lease beyond that.
    """
    bound = now + rules.longest(rules.renewal_limit_s + rules.worker_lease_s)
    views = {worker_id: WorkerView(worker_id, bound) for worker_id in worker_ids}
    return OwnedCell(cell, epoch, rules, views)


def add_worker(owned: OwnedCell, worker_id: str, now: float) -> OwnedCell:
    """Return ``owned`` with a worker that was not listed before."""
    bound = now + owned.rules.longest(owned.rules.worker_lease_s)
    return _with_view(owned, WorkerView(worker_id, bound))


def mark_gone(owned: OwnedCell, worker_id: str) -> OwnedCell:
    """Note the platform's word that the worker no longer exists."""
    return _with_view(owned, replace(owned.worker_by_id[worker_id], is_gone=True))


def apply_reply(owned: OwnedCell, reply: ExchangeReply, now: float) -> OwnedCell:
    """Note a worker's reply to the newest request, received at ``now``."""
    view = owned.worker_by_id.get(reply.worker_id)
    if view is None or not reply.accepted:
        return owned
    bound = now + owned.rules.longest(owned.rules.worker_lease_s)
    fresh = replace(
        view,
        reply=_completed(view.reply, reply),
        replied_at=now,
        replied_sequence=view.sequence,
        lease_ends_by=bound,
    )
    return _with_view(owned, fresh)


def _completed(before: ExchangeReply | None, reply: ExchangeReply) -> ExchangeReply:
    """Return ``reply`` with what it left out since ``before`` filled in."""
    if not reply.base_version:
        return reply
    ended = {(item.task_id, item.attempt) for item in reply.ended}
    fresh = {item.task_id for item in reply.running}
    kept = tuple(
        item
        for item in before.running
        if item.task_id not in fresh and (item.task_id, item.attempt) not in ended
    )
    return msgspec.structs.replace(reply, running=kept + reply.running)


def is_fenced_out(owned: OwnedCell, reply: ExchangeReply) -> bool:
    """Tell whether the worker has seen a higher epoch than ours."""
    return reply.epoch > owned.epoch


def is_placeable(owned: OwnedCell, worker_id: str, now: float, fresh_s: float) -> bool:
    """Tell whether new tasks may be assigned to the worker.

    It must have answered under this epoch within ``fresh_s`` and run nothing that the
    journal does not know.
    """
    view = owned.worker_by_id[worker_id]
    if view.reply is None or view.is_gone or view.reply.is_leaving:
        return False
    if now - view.replied_at > fresh_s:
        return False
    return all(
        _is_assigned_here(owned.cell, worker_id, running.task_id, running.attempt)
        for running in view.reply.running
    )


def derive_ends(owned: OwnedCell, now: float) -> tuple[Record, ...]:
    """Return the ends of attempts that the workers' word or their lapse proves."""
    ends: list[Record] = []
    for worker_id in owned.cell.task_ids_by_worker:
        for task_id in sorted(owned.cell.assigned_to(worker_id)):
            end = _end_of(owned, task_id, owned.cell.task_by_id[task_id], now)
            if end:
                ends.append(end)
    return tuple(ends)


def _end_of(owned: OwnedCell, task_id: str, task: TaskState, now: float) -> End | None:
    cell_id = owned.cell.cell_id
    view = owned.worker_by_id.get(task.worker_id)
    if view is None:
        return None
    if view.is_gone or now > view.lease_ends_by:
        return End(cell_id, task_id, task.attempt, "lapsed")
    if view.reply is None:
        return None
    if view.reply.incarnation != task.incarnation:
        return End(cell_id, task_id, task.attempt, "lost")
    for ended in view.reply.ended:
        if (ended.task_id, ended.attempt) == (task_id, task.attempt):
            return End(cell_id, task_id, task.attempt, ended.state, ended.progress_s)
    for refused in view.reply.refused:
        if (refused.task_id, refused.attempt) == (task_id, task.attempt):
            return End(cell_id, task_id, task.attempt, "refused")
    if task.job_id in owned.cell.cancelled and _never_started(view, task_id):
        return End(cell_id, task_id, task.attempt, "stopped")
    return None


def _never_started(view: WorkerView, task_id: str) -> bool:
    """Tell whether the worker does not run the task and no start is under way.

    The worker refuses older sequences, so a start sent before its newest reply
    either shows in that reply or will never take effect.
    """
    if view.sequence != view.replied_sequence:
        return False
    return all(running.task_id != task_id for running in view.reply.running)


def make_exchange(
    owned: OwnedCell,
    worker_id: str,
    wishes: Wishes = NO_WISHES,
) -> tuple[OwnedCell, ExchangeRequest]:
    """Return the next request to a worker: its renewal, starts, stops, forgets."""
    view = owned.worker_by_id[worker_id]
    view = replace(view, sequence=view.sequence + 1)
    reply = view.reply
    request = ExchangeRequest(
        worker_id=worker_id,
        cell_id=owned.cell.cell_id,
        epoch=owned.epoch,
        sequence=view.sequence,
        lease_s=owned.rules.worker_lease_s,
        incarnation=reply.incarnation if reply else "",
        echo_time_s=reply.worker_time_s if reply else 0.0,
        seen_version=reply.version if reply else 0,
        starts=_starts(owned, view, wishes.trace_by_task),
        stops=_stops(owned, view, wishes.evictions),
        forget=_forgets(owned, view),
        throttles=_throttles(view, wishes.throttled),
    )
    return _with_view(owned, view), request


def _starts(
    owned: OwnedCell, view: WorkerView, trace_by_task: Mapping[str, str]
) -> tuple[TaskStart, ...]:
    if view.reply is None:
        return ()
    running = {(item.task_id, item.attempt) for item in view.reply.running}
    ended = {(item.task_id, item.attempt) for item in view.reply.ended}
    starts = []
    for task_id, task in _assigned_to(owned.cell, view):
        key = (task_id, task.attempt)
        if key in running or key in ended or task.job_id in owned.cell.cancelled:
            continue
        starts.append(_start_of(owned.cell, task_id, task, trace_by_task))
    return tuple(starts)


def _start_of(
    cell: CellState, task_id: str, task: TaskState, trace_by_task: Mapping[str, str]
) -> TaskStart:
    spec = cell.job_by_id[task.job_id]
    return TaskStart(
        task_id,
        task.attempt,
        spec.per_task.cores,
        spec.per_task.memory_gb,
        spec.per_task.accelerators,
        spec.run_s,
        task.progress_s,
        trace_by_task.get(task_id, ""),
    )


def _stops(
    owned: OwnedCell, view: WorkerView, evictions: frozenset[str]
) -> tuple[TaskStop, ...]:
    if view.reply is None:
        return ()
    stops = []
    for item in view.reply.running:
        known = _is_assigned_here(
            owned.cell, view.worker_id, item.task_id, item.attempt
        )
        if not known or _is_cancelled(owned.cell, item.task_id):
            stops.append(TaskStop(item.task_id, item.attempt))
        elif item.task_id in evictions:
            stops.append(TaskStop(item.task_id, item.attempt, checkpoint=True))
    return tuple(stops)


def _throttles(view: WorkerView, throttled: frozenset[str]) -> tuple[TaskThrottle, ...]:
    if view.reply is None:
        return ()
    return tuple(
        TaskThrottle(item.task_id, item.attempt, item.task_id in throttled)
        for item in view.reply.running
        if item.is_throttled != (item.task_id in throttled)
    )


def _forgets(owned: OwnedCell, view: WorkerView) -> tuple[TaskStop, ...]:
    if view.reply is None:
        return ()
    return tuple(
        TaskStop(ended.task_id, ended.attempt)
        for ended in view.reply.ended
        if not _is_assigned_here(
            owned.cell, view.worker_id, ended.task_id, ended.attempt
        )
    )


def _assigned_to(cell: CellState, view: WorkerView) -> list[tuple[str, TaskState]]:
    pairs = (
        (task_id, cell.task_by_id[task_id])
        for task_id in sorted(cell.assigned_to(view.worker_id))
    )
    return [
        (task_id, task)
        for task_id, task in pairs
        if task.incarnation == view.reply.incarnation
    ]


def _is_assigned_here(
    cell: CellState, worker_id: str, task_id: str, attempt: int
) -> bool:
    task = cell.task_by_id.get(task_id)
    if task is None or task.state != "assigned":
        return False
    return task.worker_id == worker_id and task.attempt == attempt


def _is_cancelled(cell: CellState, task_id: str) -> bool:
    return cell.task_by_id[task_id].job_id in cell.cancelled


def _with_view(owned: OwnedCell, view: WorkerView) -> OwnedCell:
    return replace(owned, worker_by_id={**owned.worker_by_id, view.worker_id: view})

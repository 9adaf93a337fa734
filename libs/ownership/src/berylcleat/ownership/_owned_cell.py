"""Worker leases and exchanges as seen by the owner of a cell.

Fencing tokens follow Kleppmann, How to do distributed locking, 2016; leases bounded
on the grantor's clock follow Gray and Cheriton, SOSP 1989.
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

from ._cell_state import CellState
from ._records import End, Record, TaskState


@dataclass(frozen=True, slots=True)
class LeaseRules:
    """Lease durations in seconds.

    ``renewal_limit_s`` bounds how long an owner may renew worker leases after its last
    confirmed heartbeat. ``clock_drift`` is the maximum relative difference between the
    rates of two hosts' clocks.
    """

    worker_lease_s: float = 6.0
    host_lapse_s: float = 5.0
    renewal_limit_s: float = 900.0
    clock_drift: float = 0.01

    def with_clock_drift(self, seconds: float) -> float:
        """Return the maximum local duration of ``seconds`` on a peer's clock."""
        return seconds * (1 + self.clock_drift)


@dataclass(frozen=True, slots=True)
class TaskDirectives:
    """Evictions, throttles and trace headers to send to workers, by task ID."""

    evictions: frozenset[str] = frozenset()
    throttled: frozenset[str] = frozenset()
    trace_by_task: Mapping[str, str] = field(default_factory=dict)


NO_DIRECTIVES = TaskDirectives()


@dataclass(frozen=True, slots=True)
class WorkerView:
    """State of one worker as known to the owner.

    ``lease_ends_by`` is the latest time, on the owner's clock, at which the worker's
    lease can still be valid; a task that it ran has stopped after that. ``is_gone``
    means that the platform reported the worker as deleted.
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
    """A cell owned under one epoch: its durable state and its workers."""

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
    """Return the state of a newly acquired cell before any worker has been fenced.

    Until a worker has seen the new epoch, a previous owner may renew its lease for up
    to ``renewal_limit_s``, and the worker may run tasks for one lease beyond that.
    """
    lease_ends_by = now + rules.with_clock_drift(
        rules.renewal_limit_s + rules.worker_lease_s
    )
    views = {
        worker_id: WorkerView(worker_id, lease_ends_by) for worker_id in worker_ids
    }
    return OwnedCell(cell, epoch, rules, views)


def add_worker(owned: OwnedCell, worker_id: str, now: float) -> OwnedCell:
    """Return ``owned`` with a newly listed worker."""
    lease_ends_by = now + owned.rules.with_clock_drift(owned.rules.worker_lease_s)
    return _with_view(owned, WorkerView(worker_id, lease_ends_by))


def mark_gone(owned: OwnedCell, worker_id: str) -> OwnedCell:
    """Return ``owned`` with a worker that the platform reported as deleted."""
    return _with_view(owned, replace(owned.worker_by_id[worker_id], is_gone=True))


def apply_reply(owned: OwnedCell, reply: ExchangeReply, now: float) -> OwnedCell:
    """Return ``owned`` after a reply to the newest request, received at ``now``.

    A reply that rejects the request changes nothing.
    """
    view = owned.worker_by_id.get(reply.worker_id)
    if view is None or not reply.accepted:
        return owned
    lease_ends_by = now + owned.rules.with_clock_drift(owned.rules.worker_lease_s)
    renewed = replace(
        view,
        reply=_merge_delta(view.reply, reply),
        replied_at=now,
        replied_sequence=view.sequence,
        lease_ends_by=lease_ends_by,
    )
    return _with_view(owned, renewed)


def _merge_delta(previous: ExchangeReply | None, reply: ExchangeReply) -> ExchangeReply:
    """Return ``reply`` with the full list of running tasks.

    A reply with a ``base_version`` is a delta against ``previous``: it omits the
    running tasks whose report didn't change.
    """
    if not reply.base_version:
        return reply
    ended = {(item.task_id, item.attempt) for item in reply.ended}
    reported = {item.task_id for item in reply.running}
    unchanged = tuple(
        item
        for item in previous.running
        if item.task_id not in reported and (item.task_id, item.attempt) not in ended
    )
    return msgspec.structs.replace(reply, running=unchanged + reply.running)


def is_fenced_out(owned: OwnedCell, reply: ExchangeReply) -> bool:
    """Return whether the worker has seen a newer epoch than the owner's."""
    return reply.epoch > owned.epoch


def is_schedulable(
    owned: OwnedCell, worker_id: str, now: float, max_reply_age_s: float
) -> bool:
    """Return whether new tasks may be assigned to the worker.

    It must have answered under this epoch within the last ``max_reply_age_s`` seconds
    and must run no attempt that isn't recorded in the journal.
    """
    view = owned.worker_by_id[worker_id]
    if view.reply is None or view.is_gone or view.reply.is_leaving:
        return False
    if now - view.replied_at > max_reply_age_s:
        return False
    return all(
        _is_assigned_to(owned.cell, worker_id, running.task_id, running.attempt)
        for running in view.reply.running
    )


def detect_ends(owned: OwnedCell, now: float) -> tuple[Record, ...]:
    """Return an ``End`` for each attempt ended by a worker's report or lease expiry."""
    ends: list[Record] = []
    for worker_id in owned.cell.task_ids_by_worker:
        for task_id in sorted(owned.cell.assigned_to(worker_id)):
            end = _detect_end(owned, task_id, owned.cell.task_by_id[task_id], now)
            if end:
                ends.append(end)
    return tuple(ends)


def _detect_end(
    owned: OwnedCell, task_id: str, task: TaskState, now: float
) -> End | None:
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
    if task.job_id in owned.cell.cancelled and _is_not_started(view, task_id):
        return End(cell_id, task_id, task.attempt, "stopped")
    return None


def _is_not_started(view: WorkerView, task_id: str) -> bool:
    """Return whether the worker neither runs the task nor has a start in flight.

    A worker rejects requests with an older sequence number, so a start sent before its
    newest reply either shows in that reply or never takes effect.
    """
    if view.sequence != view.replied_sequence:
        return False
    return all(running.task_id != task_id for running in view.reply.running)


def make_exchange(
    owned: OwnedCell,
    worker_id: str,
    directives: TaskDirectives = NO_DIRECTIVES,
) -> tuple[OwnedCell, ExchangeRequest]:
    """Return the next request to a worker.

    It renews the lease, carries starts, stops and throttle changes, and acknowledges
    the ends that are recorded in the journal.
    """
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
        starts=_pending_starts(owned, view, directives.trace_by_task),
        stops=_required_stops(owned, view, directives.evictions),
        forget=_acknowledged_ends(owned, view),
        throttles=_throttle_changes(view, directives.throttled),
    )
    return _with_view(owned, view), request


def _pending_starts(
    owned: OwnedCell, view: WorkerView, trace_by_task: Mapping[str, str]
) -> tuple[TaskStart, ...]:
    if view.reply is None:
        return ()
    running = {(item.task_id, item.attempt) for item in view.reply.running}
    ended = {(item.task_id, item.attempt) for item in view.reply.ended}
    starts = []
    for task_id, task in _current_assignments(owned.cell, view):
        key = (task_id, task.attempt)
        if key in running or key in ended or task.job_id in owned.cell.cancelled:
            continue
        starts.append(_make_start(owned.cell, task_id, task, trace_by_task))
    return tuple(starts)


def _make_start(
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


def _required_stops(
    owned: OwnedCell, view: WorkerView, evictions: frozenset[str]
) -> tuple[TaskStop, ...]:
    if view.reply is None:
        return ()
    stops = []
    for item in view.reply.running:
        is_assigned = _is_assigned_to(
            owned.cell, view.worker_id, item.task_id, item.attempt
        )
        if not is_assigned or _is_cancelled(owned.cell, item.task_id):
            stops.append(TaskStop(item.task_id, item.attempt))
        elif item.task_id in evictions:
            stops.append(TaskStop(item.task_id, item.attempt, checkpoint=True))
    return tuple(stops)


def _throttle_changes(
    view: WorkerView, throttled: frozenset[str]
) -> tuple[TaskThrottle, ...]:
    if view.reply is None:
        return ()
    return tuple(
        TaskThrottle(item.task_id, item.attempt, item.task_id in throttled)
        for item in view.reply.running
        if item.is_throttled != (item.task_id in throttled)
    )


def _acknowledged_ends(owned: OwnedCell, view: WorkerView) -> tuple[TaskStop, ...]:
    if view.reply is None:
        return ()
    return tuple(
        TaskStop(ended.task_id, ended.attempt)
        for ended in view.reply.ended
        if not _is_assigned_to(owned.cell, view.worker_id, ended.task_id, ended.attempt)
    )


def _current_assignments(
    cell: CellState, view: WorkerView
) -> list[tuple[str, TaskState]]:
    pairs = (
        (task_id, cell.task_by_id[task_id])
        for task_id in sorted(cell.assigned_to(view.worker_id))
    )
    return [
        (task_id, task)
        for task_id, task in pairs
        if task.incarnation == view.reply.incarnation
    ]


def _is_assigned_to(
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

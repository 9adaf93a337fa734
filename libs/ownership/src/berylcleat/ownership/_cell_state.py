"""Durable state of a cell, replayed from its journal records."""

from dataclasses import dataclass, field, replace

import msgspec

from berylcleat.model import JobSpec

from ._records import (
    Adopt,
    Assign,
    CancelJob,
    Claim,
    ClaimState,
    End,
    Record,
    Return,
    Settle,
    Snapshot,
    TaskState,
)

MAX_TASK_FAILURES = 5
ENDED_STATES = ("finished", "failed", "cancelled", "returned")


def task_id_of(job_id: str, index: int) -> str:
    """Return the task ID of task ``index`` of a job."""
    return f"{job_id}/{index}"


def task_index_of(task_id: str) -> int:
    """Return the task index encoded in a task ID."""
    return int(task_id.rsplit("/", 1)[1])


@dataclass(frozen=True, slots=True)
class CellState:
    """Durable state of one cell: jobs, tasks, claims and cancelled jobs.

    ``task_ids_by_worker`` indexes the assigned tasks; it is derived from
    ``task_by_id`` and not stored.
    """

    cell_id: str
    job_by_id: dict[str, JobSpec] = field(default_factory=dict)
    task_by_id: dict[str, TaskState] = field(default_factory=dict)
    claims: tuple[ClaimState, ...] = ()
    cancelled: frozenset[str] = frozenset()
    task_ids_by_worker: dict[str, frozenset[str]] = field(default_factory=dict)

    def assigned_to(self, worker_id: str) -> frozenset[str]:
        """Return the IDs of the tasks assigned to a worker."""
        return self.task_ids_by_worker.get(worker_id, frozenset())

    def tasks_of(self, claim: ClaimState) -> list[TaskState]:
        """Return the tasks of ``claim`` in index order."""
        return [
            self.task_by_id[task_id_of(claim.job_id, index)]
            for index in range(claim.first, claim.first + claim.n_tasks)
        ]

    def snapshot_record(self) -> Snapshot:
        """Return a record that restores this state on replay."""
        return Snapshot(
            self.cell_id,
            self.job_by_id,
            self.task_by_id,
            self.claims,
            tuple(sorted(self.cancelled)),
        )


def apply_records(state: CellState, records: tuple[Record, ...]) -> CellState:
    """Return ``state`` after applying ``records``; skip records of other cells."""
    new_state = replace(
        state,
        job_by_id=dict(state.job_by_id),
        task_by_id=dict(state.task_by_id),
        task_ids_by_worker=dict(state.task_ids_by_worker),
    )
    for record in records:
        if record.cell_id == state.cell_id:
            new_state = _APPLY_BY_TYPE[type(record)](new_state, record)
    return new_state


def _apply_snapshot(state: CellState, record: Snapshot) -> CellState:
    return CellState(
        state.cell_id,
        dict(record.jobs),
        dict(record.tasks),
        record.claims,
        frozenset(record.cancelled),
        _index_by_worker(record.tasks),
    )


def _index_by_worker(tasks: dict[str, TaskState]) -> dict[str, frozenset[str]]:
    index: dict[str, frozenset[str]] = {}
    for task_id, task in tasks.items():
        if task.state == "assigned":
            index[task.worker_id] = index.get(task.worker_id, frozenset()) | {task_id}
    return index


def _apply_claim(state: CellState, record: Claim) -> CellState:
    job_id = record.spec.job_id
    state.job_by_id[job_id] = record.spec
    for index in range(record.first, record.first + record.n_tasks):
        state.task_by_id[task_id_of(job_id, index)] = TaskState(job_id)
    claim = ClaimState(job_id, record.first, record.n_tasks)
    return replace(state, claims=(*state.claims, claim))


def _apply_adopt(state: CellState, record: Adopt) -> CellState:
    job_id = record.spec.job_id
    state.job_by_id[job_id] = record.spec
    claims = list(state.claims)
    for task in record.tasks:
        state.task_by_id[task_id_of(job_id, task.index)] = TaskState(
            job_id, attempt=task.attempt, progress_s=task.progress_s
        )
        claims.append(ClaimState(job_id, task.index, 1))
    return replace(state, claims=tuple(claims))


def _apply_return(state: CellState, record: Return) -> CellState:
    task = state.task_by_id[record.task_id]
    returned = msgspec.structs.replace(task, state="returned")
    state.task_by_id[record.task_id] = returned
    return state


def _apply_assign(state: CellState, record: Assign) -> CellState:
    task = state.task_by_id[record.task_id]
    state.task_by_id[record.task_id] = msgspec.structs.replace(
        task,
        state="assigned",
        attempt=record.attempt,
        worker_id=record.worker_id,
        incarnation=record.incarnation,
    )
    if task.state == "assigned":
        previous_ids = state.assigned_to(task.worker_id)
        state.task_ids_by_worker[task.worker_id] = previous_ids - {record.task_id}
    ids = state.assigned_to(record.worker_id)
    state.task_ids_by_worker[record.worker_id] = ids | {record.task_id}
    return state


def _apply_end(state: CellState, record: End) -> CellState:
    task = state.task_by_id.get(record.task_id)
    if task is None or task.state != "assigned" or task.attempt != record.attempt:
        return state
    n_failures = task.n_failures + (record.outcome == "failed")
    ids = state.assigned_to(task.worker_id)
    state.task_ids_by_worker[task.worker_id] = ids - {record.task_id}
    state.task_by_id[record.task_id] = msgspec.structs.replace(
        task,
        state=_state_after_end(state, task, record, n_failures),
        worker_id="",
        incarnation="",
        progress_s=max(task.progress_s, record.progress_s),
        n_failures=n_failures,
    )
    return state


def _state_after_end(
    state: CellState, task: TaskState, record: End, n_failures: int
) -> str:
    if record.outcome == "finished":
        return "finished"
    if task.job_id in state.cancelled:
        return "cancelled"
    if n_failures >= MAX_TASK_FAILURES:
        return "failed"
    return "queued"


def _apply_cancel(state: CellState, record: CancelJob) -> CellState:
    for task_id, task in state.task_by_id.items():
        if task.job_id == record.job_id and task.state == "queued":
            cancelled = msgspec.structs.replace(task, state="cancelled")
            state.task_by_id[task_id] = cancelled
    return replace(state, cancelled=state.cancelled | {record.job_id})


def _apply_settle(state: CellState, record: Settle) -> CellState:
    settled = [
        c for c in state.claims if (c.job_id, c.first) == (record.job_id, record.first)
    ]
    for claim in settled:
        for index in range(claim.first, claim.first + claim.n_tasks):
            del state.task_by_id[task_id_of(claim.job_id, index)]
    claims = tuple(claim for claim in state.claims if claim not in settled)
    if not any(claim.job_id == record.job_id for claim in claims):
        state.job_by_id.pop(record.job_id, None)
        cancelled = state.cancelled - {record.job_id}
        return replace(state, claims=claims, cancelled=cancelled)
    return replace(state, claims=claims)


_APPLY_BY_TYPE = {
    Snapshot: _apply_snapshot,
    Claim: _apply_claim,
    Adopt: _apply_adopt,
    Return: _apply_return,
    Assign: _apply_assign,
    End: _apply_end,
    CancelJob: _apply_cancel,
    Settle: _apply_settle,
}

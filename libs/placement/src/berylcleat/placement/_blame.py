"""Tell a worker that fails everything from a task that fails everywhere."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from ._base import EndedTask

FAILURES_TO_SUSPEND = 3
SUSPEND_BASE_S = 30.0
SUSPEND_MOST_S = 600.0
MAX_SUSPENDED_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class WorkerRecord:
    """Hold a worker's latest unbroken failures, by distinct group of tasks."""

    failed_groups: frozenset[str] = frozenset()
    n_failures: int = 0
    n_suspensions: int = 0
    suspended_until: float = float("-inf")


@dataclass(frozen=True, slots=True)
class BlameRecord:
    """Hold records by worker, and the workers on which each group failed."""

    by_worker: Mapping[str, WorkerRecord] = field(default_factory=dict)
    failed_on: Mapping[str, frozenset[str]] = field(default_factory=dict)

    def is_suspended(self, worker_id: str, now: float) -> bool:
        """Tell whether the worker gets nothing new for now."""
        record = self.by_worker.get(worker_id)
        return record is not None and now < record.suspended_until


def note_ends(
    blame: BlameRecord, ends: tuple[EndedTask, ...], n_workers: int, now: float
) -> BlameRecord:
    """Return the records after ``ends``.

    A success clears a worker. Failures count against a worker unless their group
    has failed on most workers and succeeded on none: then the group is to blame.
    """
    by_worker = dict(blame.by_worker)
    failed_on = dict(blame.failed_on)
    for end in ends:
        record = by_worker.get(end.worker_id, WorkerRecord())
        if end.outcome == "finished":
            by_worker[end.worker_id] = WorkerRecord()
            failed_on.pop(end.group, None)
        elif end.outcome == "failed":
            places = failed_on.get(end.group, frozenset()) | {end.worker_id}
            failed_on[end.group] = places
            if len(places) <= max(2, n_workers // 2):
                by_worker[end.worker_id] = _with_failure(
                    record, end, by_worker, n_workers, now
                )
    return BlameRecord(by_worker, failed_on)


def _with_failure(
    record: WorkerRecord,
    end: EndedTask,
    by_worker: Mapping[str, WorkerRecord],
    n_workers: int,
    now: float,
) -> WorkerRecord:
    fresh = replace(
        record,
        failed_groups=record.failed_groups | {end.group},
        n_failures=record.n_failures + 1,
    )
    n_suspended = sum(now < other.suspended_until for other in by_worker.values())
    has_floor = n_suspended + 1 <= MAX_SUSPENDED_SHARE * n_workers
    if fresh.n_failures < FAILURES_TO_SUSPEND or not has_floor:
        return fresh
    pause_s = min(SUSPEND_MOST_S, SUSPEND_BASE_S * 2**record.n_suspensions)
    return WorkerRecord(
        n_suspensions=record.n_suspensions + 1, suspended_until=now + pause_s
    )

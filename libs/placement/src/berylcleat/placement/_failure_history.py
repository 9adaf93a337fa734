"""Suspension of workers on which tasks fail repeatedly.

Distinguishes a faulty worker, on which any task fails, from a faulty group of tasks,
which fails on any worker.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from ._base import EndedTask

FAILURES_TO_SUSPEND = 3
SUSPEND_BASE_S = 30.0
SUSPEND_MAX_S = 600.0
MAX_SUSPENDED_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class WorkerFailures:
    """Consecutive failures on one worker, with the groups they came from."""

    failed_groups: frozenset[str] = frozenset()
    n_failures: int = 0
    n_suspensions: int = 0
    suspended_until: float = float("-inf")


@dataclass(frozen=True, slots=True)
class FailureHistory:
    """Failures by worker id, and the ids of workers on which each group failed."""

    failures_by_worker: Mapping[str, WorkerFailures] = field(default_factory=dict)
    failed_workers_by_group: Mapping[str, frozenset[str]] = field(default_factory=dict)

    def is_suspended(self, worker_id: str, now: float) -> bool:
        """Return whether the worker gets no new tasks at time ``now``."""
        failures = self.failures_by_worker.get(worker_id)
        return failures is not None and now < failures.suspended_until


def record_outcomes(
    history: FailureHistory, ends: tuple[EndedTask, ...], n_workers: int, now: float
) -> FailureHistory:
    """Return the history updated with the outcomes ``ends``.

    A success resets the worker's failures and those of the task's group. A failure
    counts against the worker unless the group has failed on more than half of the
    workers (at least 3) without a success since: the fault then lies in the group.
    """
    failures_by_worker = dict(history.failures_by_worker)
    failed_workers_by_group = dict(history.failed_workers_by_group)
    for end in ends:
        failures = failures_by_worker.get(end.worker_id, WorkerFailures())
        if end.outcome == "finished":
            failures_by_worker[end.worker_id] = WorkerFailures()
            failed_workers_by_group.pop(end.group, None)
        elif end.outcome == "failed":
            worker_ids = failed_workers_by_group.get(end.group, frozenset()) | {
                end.worker_id
            }
            failed_workers_by_group[end.group] = worker_ids
            if len(worker_ids) <= max(2, n_workers // 2):
                failures_by_worker[end.worker_id] = _count_failure(
                    failures, end, failures_by_worker, n_workers, now
                )
    return FailureHistory(failures_by_worker, failed_workers_by_group)


def _count_failure(
    failures: WorkerFailures,
    end: EndedTask,
    failures_by_worker: Mapping[str, WorkerFailures],
    n_workers: int,
    now: float,
) -> WorkerFailures:
    """Return the failures after one more; suspend the worker at the threshold.

    The suspension doubles each time up to ``SUSPEND_MAX_S``. At most
    ``MAX_SUSPENDED_SHARE`` of the workers are suspended at once.
    """
    updated = replace(
        failures,
        failed_groups=failures.failed_groups | {end.group},
        n_failures=failures.n_failures + 1,
    )
    n_suspended = sum(
        now < other.suspended_until for other in failures_by_worker.values()
    )
    may_suspend = n_suspended + 1 <= MAX_SUSPENDED_SHARE * n_workers
    if updated.n_failures < FAILURES_TO_SUSPEND or not may_suspend:
        return updated
    suspension_s = min(SUSPEND_MAX_S, SUSPEND_BASE_S * 2**failures.n_suspensions)
    return WorkerFailures(
        n_suspensions=failures.n_suspensions + 1, suspended_until=now + suspension_s
    )

"""Health of a cell's workers, judged by the failures of their runs.

A worker that fails several tasks in a row, each of which runs well elsewhere, is put on
probation, as by a circuit breaker (Nygard, Release It!, 2007): it gets one task at a
time after an exponential backoff, and more again as these succeed. So is a worker that
comes up again, without a backoff the first time. Tasks that fail wherever they run are
no fault of their workers.
"""

import logging
from collections import deque
from collections.abc import Set
from dataclasses import dataclass, field

from berylcleat.model import TaskKey

PROBATION_AFTER_FAILURES = 3
# Failures in a row that are kept of a worker.
MAX_STREAK = 16
# In seconds: backoff before the first task of a worker on probation, doubled after
# each further failure up to the maximum, and remembered after the probation.
MIN_BACKOFF_S = 1.0
MAX_BACKOFF_S = 8.0
BACKOFF_MEMORY_S = 20.0
# Concurrent tasks up to which a worker returns by doubling.
MAX_RETURN_SLOTS = 4
# Seconds for which a worker is chosen last after a failure that it may have caused.
SUSPECT_S = 1.0
# Seconds for which it is remembered where a task failed, and how runs of a step or an
# image ended.
FAILURE_MEMORY_S = 30.0
ENDS_MEMORY_S = 8.0
# A worker returns from an outage by degrees, after a backoff if it is not the first one
# within this many seconds.
OUTAGE_MEMORY_S = 20.0
# Seconds without an answer that count as an outage of a worker that hasn't restarted.
MIN_OUTAGE_S = 0.5
# Outages of more than this share of the workers within this many seconds have a common
# cause, for example the network of this host.
MAX_OUTAGE_SHARE = 0.34
COMMON_OUTAGE_S = 3.0
logger = logging.getLogger(__name__)

# Submission and step, or image.
Kind = tuple[str, int] | str


@dataclass(frozen=True, slots=True)
class RunOutcome:
    """End of a run on a worker."""

    worker_id: str
    task: TaskKey
    image: str
    started_at: float
    has_failed: bool

    @property
    def step_key(self) -> tuple[str, int]:
        """Return the key of the step of the task."""
        return (self.task.submission_id, self.task.step)


@dataclass(slots=True)
class Probation:
    """Probation of a worker; ``n_slots`` tasks may run at a time from ``next_at`` on.

    ``since`` is when it began or its last failure; only runs started later count.
    """

    since: float
    backoff_s: float
    next_at: float
    n_slots: int = 1
    # Long-running tasks that were counted as successes.
    long_tasks: set[TaskKey] = field(default_factory=set)


@dataclass(slots=True)
class _WorkerRecord:
    # Failures since the last run that was started later and succeeded.
    streak: list[RunOutcome] = field(default_factory=list)
    failed_at: float = float("-inf")
    has_succeeded: bool = False
    probation: Probation | None = None
    last_backoff_s: float = 0.0
    returned_at: float = float("-inf")
    is_down: bool = False
    has_restarted: bool = False
    outages: list[float] = field(default_factory=list)


@dataclass(slots=True)
class _KindRecord:
    """Successes and failures of one kind by worker, in two periods."""

    period_at: float
    present: dict[str, list[int]] = field(default_factory=dict)
    previous: dict[str, list[int]] = field(default_factory=dict)

    def add(self, outcome: RunOutcome, now: float) -> None:
        """Count an end; what is older than two periods is forgotten."""
        if now - self.period_at > ENDS_MEMORY_S:
            is_recent = now - self.period_at <= 2 * ENDS_MEMORY_S
            self.previous = self.present if is_recent else {}
            self.present = {}
            self.period_at = now
        counts = self.present.setdefault(outcome.worker_id, [0, 0])
        counts[outcome.has_failed] += 1

    def count_elsewhere(self, excluded: set[str]) -> tuple[int, int]:
        """Return the successes and failures on workers that aren't excluded."""
        n_done = n_failed = 0
        for period in (self.previous, self.present):
            for worker_id, counts in period.items():
                if worker_id not in excluded:
                    n_done += counts[0]
                    n_failed += counts[1]
        return n_done, n_failed


class WorkerHealth:
    """Failures of a cell's workers and tasks, and the probations that follow."""

    def __init__(self):
        self._record_by_worker: dict[str, _WorkerRecord] = {}
        self._record_by_kind: dict[Kind, _KindRecord] = {}
        # Times of a task's last failure by worker.
        self._failures_by_task: dict[TaskKey, dict[str, float]] = {}
        # Workers that went down, also for a cause that they had in common.
        self._recent_outages: deque[tuple[str, float]] = deque()

    def probation(self, worker_id: str) -> Probation | None:
        """Return the probation of a worker, or None."""
        record = self._record_by_worker.get(worker_id)
        return None if record is None else record.probation

    def is_suspect(self, worker_id: str, now: float) -> bool:
        """Return whether a worker may have caused a failure a moment ago."""
        record = self._record_by_worker.get(worker_id)
        if record is None or not record.streak:
            return False
        return now - record.failed_at < SUSPECT_S

    def has_streak(self, worker_id: str) -> bool:
        """Return whether the last run that ended on a worker has failed."""
        record = self._record_by_worker.get(worker_id)
        return record is not None and bool(record.streak)

    def has_failed(self, task: TaskKey) -> bool:
        """Return whether a failure of a task is remembered."""
        return task in self._failures_by_task

    def failed_workers(self, task: TaskKey) -> set[str]:
        """Return the workers where a task has failed."""
        return set(self._failures_by_task.get(task, ()))

    def failed_at(self, task: TaskKey) -> float:
        """Return when a task last failed."""
        failures = self._failures_by_task.get(task)
        return max(failures.values()) if failures else float("-inf")

    def on_outcome(self, outcome: RunOutcome, now: float) -> None:
        """Count the end of a run."""
        record = self._record_by_worker.setdefault(outcome.worker_id, _WorkerRecord())
        for kind in (outcome.step_key, outcome.image):
            if kind:
                kind_record = self._record_by_kind.get(kind)
                if kind_record is None:
                    kind_record = self._record_by_kind[kind] = _KindRecord(now)
                kind_record.add(outcome, now)
        if outcome.has_failed:
            self._on_failure(record, outcome, now)
        else:
            self._on_success(record, outcome, now)

    def on_outage(self, worker_id: str, now: float, *, has_restarted: bool) -> None:
        """Count that a worker went down; ignored while it is down already."""
        record = self._record_by_worker.setdefault(worker_id, _WorkerRecord())
        record.has_restarted |= has_restarted
        if record.is_down:
            return
        record.is_down = True
        record.outages = [at for at in record.outages if now - at < OUTAGE_MEMORY_S]
        record.outages.append(now)
        self._recent_outages.append((worker_id, now))

    def on_outage_explained(self, worker_id: str) -> None:
        """Take back the outage of a worker that a task has crashed."""
        record = self._record_by_worker.get(worker_id)
        if record is not None and record.is_down:
            record.is_down = record.has_restarted = False
            record.outages.pop()

    def on_answer(self, worker_id: str, n_workers: int, now: float) -> bool:
        """Put a worker that came up on probation, unless many were down together.

        Return whether its probation began.
        """
        record = self._record_by_worker.get(worker_id)
        if record is None or not record.is_down:
            return False
        began_at = record.outages[-1]
        is_short = now - began_at < MIN_OUTAGE_S and not record.has_restarted
        record.is_down = record.has_restarted = False
        if is_short or self._is_common_outage(began_at, n_workers):
            record.outages.pop()
            return False
        reason = f"{len(record.outages)} outages in {OUTAGE_MEMORY_S:.0f} s"
        is_first = len(record.outages) == 1 and record.probation is None
        backoff_s = 0.0 if is_first else self._next_backoff_s(record, now)
        self._begin_probation(worker_id, record, reason, backoff_s, now)
        return True

    def forget(self, worker_ids: Set[str], now: float) -> None:
        """Drop what is too old, and all of workers that aren't among ``worker_ids``."""
        for worker_id in self._record_by_worker.keys() - worker_ids:
            del self._record_by_worker[worker_id]
        while self._recent_outages and (
            now - self._recent_outages[0][1] > OUTAGE_MEMORY_S
        ):
            self._recent_outages.popleft()
        for kind, kind_record in tuple(self._record_by_kind.items()):
            if now - kind_record.period_at > 2 * ENDS_MEMORY_S:
                del self._record_by_kind[kind]
        for task, failures in tuple(self._failures_by_task.items()):
            if now - max(failures.values()) > FAILURE_MEMORY_S:
                del self._failures_by_task[task]

    def _on_failure(
        self, record: _WorkerRecord, outcome: RunOutcome, now: float
    ) -> None:
        self._failures_by_task.setdefault(outcome.task, {})[outcome.worker_id] = now
        record.failed_at = now
        probation = record.probation
        if probation is not None:
            if outcome.started_at < probation.since:
                return
            if not self._is_task_at_fault(outcome):
                self._extend_probation(outcome.worker_id, probation, now)
            return
        # The last failure of each task is kept, so that one task doesn't hide others.
        others = [failure for failure in record.streak if failure.task != outcome.task]
        record.streak = [*others[1 - MAX_STREAK :], outcome]
        if self._n_blamed(outcome.worker_id, record) >= PROBATION_AFTER_FAILURES:
            reason = f"{len(record.streak)} failures in a row"
            backoff_s = self._next_backoff_s(record, now)
            self._begin_probation(outcome.worker_id, record, reason, backoff_s, now)

    def _on_success(
        self, record: _WorkerRecord, outcome: RunOutcome, now: float
    ) -> None:
        self._failures_by_task.pop(outcome.task, None)
        record.has_succeeded = True
        # An older run that ends well doesn't show that later ones would.
        if record.streak:
            record.streak = [
                failure
                for failure in record.streak
                if failure.started_at > outcome.started_at
            ]
        probation = record.probation
        if probation is None or outcome.started_at < probation.since:
            return
        probation.n_slots *= 2
        if probation.n_slots > MAX_RETURN_SLOTS:
            record.probation = None
            record.last_backoff_s = probation.backoff_s
            record.returned_at = now
            logger.info("worker %s: probation ended", outcome.worker_id)

    def _next_backoff_s(self, record: _WorkerRecord, now: float) -> float:
        """Return the backoff of a probation, twice that of a recent one."""
        last_backoff_s = 0.0
        if record.probation is not None:
            last_backoff_s = record.probation.backoff_s
        elif now - record.returned_at < BACKOFF_MEMORY_S:
            last_backoff_s = record.last_backoff_s
        return min(max(MIN_BACKOFF_S, last_backoff_s * 2), MAX_BACKOFF_S)

    def _begin_probation(
        self,
        worker_id: str,
        record: _WorkerRecord,
        reason: str,
        backoff_s: float,
        now: float,
    ) -> None:
        record.probation = Probation(now, backoff_s, now + backoff_s)
        record.streak.clear()
        logger.info(
            "worker %s: on probation after %s, next task in %.0f s",
            worker_id,
            reason,
            backoff_s,
        )

    def _extend_probation(
        self, worker_id: str, probation: Probation, now: float
    ) -> None:
        doubled_s = max(MIN_BACKOFF_S, probation.backoff_s * 2)
        probation.backoff_s = min(doubled_s, MAX_BACKOFF_S)
        probation.next_at = now + probation.backoff_s
        probation.since = now
        probation.n_slots = 1
        probation.long_tasks.clear()
        logger.info(
            "worker %s: failed on probation, next task in %.0f s",
            worker_id,
            probation.backoff_s,
        )

    def _n_blamed(self, worker_id: str, record: _WorkerRecord) -> int:
        """Return how many independent failures in a row are the worker's fault.

        Tasks of a step that hasn't run well elsewhere count as one.
        """
        tasks: set[TaskKey] = set()
        steps: set[tuple[str, int]] = set()
        for failure in record.streak:
            if self._is_task_at_fault(failure):
                continue
            runs_well = self._runs_well_elsewhere(failure)
            if runs_well:
                tasks.add(failure.task)
            elif runs_well is None:
                steps.add(failure.step_key)
        return len(tasks) + len(steps)

    def _runs_well_elsewhere(self, failure: RunOutcome) -> bool | None:
        """Return whether a step or its image runs well elsewhere; None if unknown."""
        excluded = self._workers_on_probation() | {failure.worker_id}
        for kind in (failure.step_key, failure.image):
            kind_record = self._record_by_kind.get(kind) if kind else None
            if kind_record is None:
                continue
            n_done, n_failed = kind_record.count_elsewhere(excluded)
            if n_done or n_failed:
                return n_done > n_failed
        return None

    def _is_task_at_fault(self, failure: RunOutcome) -> bool:
        """Return whether a task has failed on several workers that run others well."""
        workers = self.failed_workers(failure.task) - {failure.worker_id}
        return any(self._runs_others_well(w, failure.task) for w in workers)

    def _runs_others_well(self, worker_id: str, task: TaskKey) -> bool:
        """Return whether the last end of another task on a worker was a success."""
        record = self._record_by_worker.get(worker_id)
        if record is None or record.probation is not None or not record.has_succeeded:
            return False
        return all(failure.task == task for failure in record.streak)

    def _workers_on_probation(self) -> set[str]:
        return {
            worker_id
            for worker_id, record in self._record_by_worker.items()
            if record.probation is not None
        }

    def _is_common_outage(self, at: float, n_workers: int) -> bool:
        down = {
            worker_id
            for worker_id, other_at in self._recent_outages
            if abs(other_at - at) < COMMON_OUTAGE_S
        }
        return len(down) > max(1.0, MAX_OUTAGE_SHARE * n_workers)

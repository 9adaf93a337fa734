"""Use of the speed and health of a cell's workers in the choice of workers."""

import logging
from collections.abc import Callable, Iterable, Mapping

from berylcleat.model import Step, TaskKey
from berylcleat.ports import EndedTask, RunEnd

from ._submissions import ReadyStep, TrackedSubmission
from ._worker_health import RunOutcome, WorkerHealth
from ._worker_speed import WorkerSpeeds
from ._workers import Run, RunPhase, WorkerCondition, WorkerView

# Minimum seconds between two comparisons of the running tasks with their siblings, and
# between two rounds in which outdated records are dropped.
REFRESH_PERIOD_S = 0.25
FORGET_PERIOD_S = 2.0
# Seconds for which a task that has failed waits for a worker where it hasn't, while
# such a worker exists but is full.
RETRY_ELSEWHERE_S = 2.0
# A long-running task that has run for so many seconds counts as a success of its
# worker.
LONG_RUN_SUCCESS_S = 2.0
# Slowdown whose passing is logged.
LOGGED_SLOWDOWN = 2.0
logger = logging.getLogger(__name__)


class UnevenWorkers:
    """Conditions of a cell's workers, learned from the runs under this owner.

    The next owner starts without evidence and learns it again.
    """

    def __init__(self):
        self.speeds = WorkerSpeeds()
        self.health = WorkerHealth()
        self._refreshed_at = float("-inf")
        self._forgot_at = 0.0
        self._logged_as_slow: set[str] = set()

    def on_end(
        self,
        view: WorkerView,
        tracked: TrackedSubmission,
        end: EndedTask,
        run: Run | None,
        now: float,
    ) -> None:
        """Learn from the end of a run; ``run`` is None if it wasn't expected."""
        if end.end not in (RunEnd.DONE, RunEnd.FAILED):
            return
        has_failed = end.end is RunEnd.FAILED
        if run is not None and not has_failed:
            self.speeds.on_done(run, tracked.submission.queue.name, now)
        started_at = run.started_at if run is not None else float("-inf")
        image = tracked.submission.steps[end.task.step].image
        worker_id = view.entry.worker_id
        outcome = RunOutcome(worker_id, end.task, image, started_at, has_failed)
        self.health.on_outcome(outcome, now)
        self._set_condition(view, now)

    def on_readings(self, view: WorkerView, now: float) -> None:
        """Learn from the readings of a worker's serving tasks."""
        self.speeds.on_readings(view, now)

    def on_outage(
        self, view: WorkerView, now: float, *, has_restarted: bool = False
    ) -> None:
        """Handle a worker that has restarted or doesn't answer."""
        if not view.is_leaving:
            worker_id = view.entry.worker_id
            self.health.on_outage(worker_id, now, has_restarted=has_restarted)

    def on_outage_explained(self, view: WorkerView) -> None:
        """Handle a crash of a worker that is the fault of a task."""
        self.health.on_outage_explained(view.entry.worker_id)

    def on_answer(self, view: WorkerView, n_workers: int, now: float) -> None:
        """Handle a report of a worker, which may have been down before it."""
        if self.health.on_answer(view.entry.worker_id, n_workers, now):
            self._set_condition(view, now)

    def refresh(
        self,
        view_by_id: Mapping[str, WorkerView],
        queue_of: Callable[[str], str],
        now: float,
    ) -> None:
        """Update the conditions of all workers, at most once a period."""
        if now - self._refreshed_at < REFRESH_PERIOD_S:
            return
        self._refreshed_at = now
        for view in view_by_id.values():
            self._count_long_runs(view, now)
            self.speeds.refresh(view, queue_of, now)
        self.speeds.settle(view_by_id.keys(), now)
        if now - self._forgot_at > FORGET_PERIOD_S:
            self._forgot_at = now
            self.health.forget(view_by_id.keys(), now)
            self._logged_as_slow &= view_by_id.keys()
        for view in view_by_id.values():
            self._set_condition(view, now)

    def candidate_groups(
        self, ready: ReadyStep, task: TaskKey, views: list[WorkerView], now: float
    ) -> list[list[WorkerView]]:
        """Return the workers that may run a task, in groups of decreasing preference.

        A task that may not fail once more isn't tried on workers on probation, and one
        that has failed is first tried where no run has failed last. The workers where
        it failed follow when no other could hold it, or not soon.
        """
        may_fail = ready.tracked.submission.queue.max_attempts > 1
        if may_fail and not self.health.has_failed(task):
            return [views]
        failed_workers = self.health.failed_workers(task)
        others = [
            view
            for view in views
            if view.entry.worker_id not in failed_workers
            and (view.condition is None or not view.condition.is_on_probation)
        ]
        sound = [
            view for view in others if not self.health.has_streak(view.entry.worker_id)
        ]
        groups = [sound, others] if len(sound) < len(others) else [others]
        service = ready.tracked.submission.queue.service
        avoids_failed = now - self.health.failed_at(task) < RETRY_ELSEWHERE_S
        if avoids_failed and _could_hold(ready.step, service, others):
            return groups
        return [*groups, views] if len(others) < len(views) else groups

    def n_slow(self) -> int:
        """Return the number of workers that are logged as slow."""
        return len(self._logged_as_slow)

    def n_on_probation(self, view_by_id: Mapping[str, WorkerView]) -> int:
        """Return the number of workers on probation."""
        return sum(
            self.health.probation(worker_id) is not None for worker_id in view_by_id
        )

    def _count_long_runs(self, view: WorkerView, now: float) -> None:
        """Count long-running tasks on a worker on probation that keep running."""
        probation = self.health.probation(view.entry.worker_id)
        if probation is None:
            return
        for run in view.run_by_task.values():
            if not run.step.is_long_running or run.phase is not RunPhase.RUNNING:
                continue
            if run.started_at < probation.since or run.task in probation.long_tasks:
                continue
            if now - run.started_at >= LONG_RUN_SUCCESS_S:
                probation.long_tasks.add(run.task)
                image = run.step.image
                outcome = RunOutcome(
                    run.worker_id, run.task, image, run.started_at, False
                )
                self.health.on_outcome(outcome, now)

    def _set_condition(self, view: WorkerView, now: float) -> None:
        """Store what the choice of workers needs to know; None for most workers."""
        worker_id = view.entry.worker_id
        slowdown = self.speeds.slowdown(worker_id, now)
        self._log_slowdown(worker_id, slowdown)
        probation = self.health.probation(worker_id)
        is_suspect = self.health.is_suspect(worker_id, now)
        if probation is not None:
            view.condition = WorkerCondition(
                slowdown,
                is_suspect,
                is_on_probation=True,
                n_slots=probation.n_slots,
                since=probation.since,
                may_start_at=probation.next_at,
            )
            return
        n_slots = self.speeds.n_slots(worker_id)
        if slowdown == 1.0 and n_slots is None and not is_suspect:
            view.condition = None
            return
        since = self.speeds.returns_since(worker_id) if n_slots is not None else 0.0
        view.condition = WorkerCondition(
            slowdown, is_suspect, n_slots=n_slots, since=since
        )

    def _log_slowdown(self, worker_id: str, slowdown: float) -> None:
        if slowdown >= LOGGED_SLOWDOWN and worker_id not in self._logged_as_slow:
            self._logged_as_slow.add(worker_id)
            logger.info(
                "worker %s: slow, runs take %.1f times as long as elsewhere",
                worker_id,
                slowdown,
            )
        elif slowdown == 1.0 and worker_id in self._logged_as_slow:
            self._logged_as_slow.discard(worker_id)
            logger.info("worker %s: no longer slow", worker_id)


def _could_hold(step: Step, service: str, views: Iterable[WorkerView]) -> bool:
    """Return whether a worker would hold a task of a step if it were empty."""
    return any(
        view.entry.service == service
        and (not step.required_label or step.required_label in view.entry.labels)
        and step.allocation.fits_in(view.entry.capacity)
        for view in views
    )

"""Effects of workers' reports on a cell's runs and submissions."""

import logging

from berylcleat.model import TaskDemand, TaskKey
from berylcleat.ports import (
    EndedTask,
    RunEnd,
    RunningTask,
    StopOrder,
    WorkerReport,
)

from ._cell_runs import MAX_HOLD_WAIT_S
from ._cell_starts import CellStarts
from ._deferred_ends import DeferralReason, DeferredEnd
from ._leases import latest_start
from ._submissions import TrackedSubmission
from ._workers import Run, RunPhase, WorkerView

# Seconds after which a run is stopped if its submission is still unknown.
UNKNOWN_RUN_TIMEOUT_S = 5.0
# Minimum seconds between two updates of the interference model from one worker: a
# reading covers the last half second and would count twice in more frequent updates.
MIN_LEARN_PERIOD_S = 0.45
# Maximum run ends in one worker report; a full report may lack later ends.
MAX_ENDS_IN_REPORT = 500
# Runs that the log line of a worker's first report names.
MAX_LOGGED_RUNS = 12
logger = logging.getLogger(__name__)


class CellReports(CellStarts):
    """Runs and ends that workers report, matched with what the owner believes."""

    def on_report(
        self, worker_id: str, report: WorkerReport, requested_at: float, now: float
    ) -> bool:
        """Process a worker's report in answer to a hold sent at ``requested_at``.

        Return False if it is ignored, as its incarnation has an earlier start time than
        the one that is known: no lease of that one was renewed.
        """
        view = self.worker_by_id.get(worker_id)
        if view is None:
            return False
        if report.started_at_ms != view.incarnation_ms:
            if report.started_at_ms < view.incarnation_ms:
                return False
            if view.incarnation_ms:
                started_by = latest_start(report.clock_ms, now)
                self._end_incarnation(view, "worker restarted", now, started_by)
            else:
                self.crashes.on_first_report(worker_id, report.started_at_ms)
            view.incarnation_ms = report.started_at_ms
        elif view.expired_runs:
            self.crashes.on_return(view.expired_runs)
            view.expired_runs.clear()
        if self.uneven_workers is not None:
            self.uneven_workers.on_answer(view, len(self.worker_by_id), now)
        view.alive_at = now
        view.clock.observe(report.clock_ms, now)
        view.hold_failed_at = None
        if not view.has_seen_epoch:
            # An earlier owner may have renewed the lease just before this report.
            lease_ms = int(self.times.max_lease_s * 1000)
            view.clock.extend_lease(report.clock_ms + lease_ms)
            view.has_seen_epoch = True
            view.started_by = latest_start(report.clock_ms, now)
            view.epoch_seen_at = now
            self._log_first_report(worker_id, report, now - requested_at)
        for end in report.ended:
            if end.number > view.handled_number:
                self._on_end(view, end, now)
        view.note_unreadable_ends(report.unreadable_ends)
        if report.ended:
            view.handled_number = max(view.handled_number, report.ended[-1].number)
        self._reconcile_running(view, report, requested_at, now)
        view.has_unreadable_runs = report.has_unreadable_runs
        # Only now: a report whose processing fails before tells nothing of the runs.
        if report.n_ends < MAX_ENDS_IN_REPORT and not report.has_unreadable_runs:
            self._unsettled_workers.discard(worker_id)
        if self._drain_limits.must_raise(view, now):
            self._require_record(worker_id)
        self.load_estimator.observe(view, now)
        if now - view.interference_learned_at > MIN_LEARN_PERIOD_S:
            view.interference_learned_at = now
            self.interference.observe(view.image_uses(now), view.readings())
            if self.uneven_workers is not None:
                self.uneven_workers.on_readings(view, now)
        return True

    def _log_first_report(
        self, worker_id: str, report: WorkerReport, answered_in_s: float
    ) -> None:
        """Log what a worker tells an owner first: the runs that it inherits."""
        logger.info(
            "worker %s: first report to epoch %d after %.2f s: %d runs, %d ends, "
            "lists %s",
            worker_id,
            self.epoch,
            answered_in_s,
            len(report.running),
            report.n_ends,
            " ".join(f"{r.task}:{r.run}" for r in report.running[:MAX_LOGGED_RUNS]),
        )

    def _process_deferred_reports(self, submission_id: str, now: float) -> None:
        """Process ends and runs that were reported before they could be counted."""
        for view in self.worker_by_id.values():
            for number, deferred in sorted(view.deferred_end_by_number.items()):
                if deferred.end.task.submission_id == submission_id:
                    del view.deferred_end_by_number[number]
                    self._on_end(view, deferred.end, now)
            for task, running in tuple(view.unknown_run_by_task.items()):
                if task.submission_id == submission_id:
                    del view.unknown_run_by_task[task]
                    self._on_running(view, running, view.epoch_seen_at, now)

    def _on_end(self, view: WorkerView, end: EndedTask, now: float) -> None:
        tracked = self.submissions.by_id.get(end.task.submission_id)
        if tracked is not None and not self._task_exists(tracked, end.task):
            logger.warning(
                "end ignored: task %s run %d on %s: there is no such task",
                end.task,
                end.run,
                view.entry.worker_id,
            )
            return
        run = self.run_by_task.get(end.task)
        is_current_run = (
            run is not None
            and run.number == end.run
            and run.worker_id == view.entry.worker_id
        )
        if is_current_run:
            self._remove_run(run, now)
        reason = self._deferral_reason(end)
        if reason is not None:
            self._defer_end(view, end, reason, now)
            return
        logger.info(
            "run ended: task %s run %d on %s: %s%s",
            end.task,
            end.run,
            view.entry.worker_id,
            end.end.value,
            "" if is_current_run else self._explain_late_end(tracked, end.task),
        )
        step = tracked.submission.steps[end.task.step]
        tracked.has_begun = True
        tracked.raise_run_floor(end.task, end.run)
        tracked.clear_crash(end.task, end.run)
        tracked.set_checkpoint(end.task, end.checkpoint)
        if self.uneven_workers is not None:
            known_run = run if is_current_run else None
            self.uneven_workers.on_end(view, tracked, end, known_run, now)
        elif end.end is RunEnd.FAILED:
            view.count_failure(now)
        elif end.end is RunEnd.DONE:
            view.reset_failures()
        if not step.is_long_running and not tracked.is_over:
            self._count_end(tracked, view, end, now)
        if tracked.progress.final_state is not None:
            self._stop_runs_of(end.task.submission_id, now)
        elif end.task not in self.run_by_task:
            # Its run may be gone already: the processing of its end may have failed.
            tracked.requeue(end.task)
            if is_current_run and step.is_gang and end.end is not RunEnd.DONE:
                self._stop_gang_run(end.task, end.run, now)

    def _deferral_reason(self, end: EndedTask) -> DeferralReason | None:
        """Return why an end can't be counted yet, or None if it can."""
        tracked = self.submissions.by_id.get(end.task.submission_id)
        if tracked is None:
            return DeferralReason.UNKNOWN_SUBMISSION
        if end.task in self._tasks_with_pending_move:
            # The store decides which cell counts the task.
            return DeferralReason.PENDING_MOVE
        if end.end is not RunEnd.DONE or tracked.runs_here(end.task):
            return None
        is_counted = tracked.is_over or tracked.progress.is_done(end.task)
        is_long_running = tracked.submission.steps[end.task.step].is_long_running
        if is_counted or is_long_running:
            return None
        return DeferralReason.OTHER_CELL

    def _defer_end(
        self, view: WorkerView, end: EndedTask, reason: DeferralReason, now: float
    ) -> None:
        logger.info(
            "end deferred: task %s run %d on %s: %s, %s",
            end.task,
            end.run,
            view.entry.worker_id,
            end.end.value,
            reason.value,
        )
        view.deferred_end_by_number[end.number] = DeferredEnd(end, reason, now)
        tracked = self.submissions.by_id.get(end.task.submission_id)
        if tracked is not None:
            tracked.requeue(end.task)

    def _explain_late_end(self, tracked: TrackedSubmission, task: TaskKey) -> str:
        """Return what the owner believed of a task whose run it didn't expect."""
        run = self.run_by_task.get(task)
        if run is not None:
            return f", while run {run.number} is {run.phase.value} on {run.worker_id}"
        if not tracked.runs_here(task):
            return ", while the task is assigned to another cell"
        return ", while no run was known"

    def _count_end(
        self, tracked: TrackedSubmission, view: WorkerView, end: EndedTask, now: float
    ) -> None:
        """Count a done or failed run in the progress of its submission."""
        if end.end is RunEnd.DONE:
            tracked.has_started = True
            if not tracked.progress.is_done(end.task):
                step = tracked.submission.steps[end.task.step]
                self.completed_work.add(end.task.submission_id, step, now)
            self._learn_done(tracked, end.task, now)
            tracked.add_done(end.task)
            tracked.activate_due_steps(self._wall_ms)
            if not tracked.submission.steps[end.task.step].is_gang:
                self._stop_duplicate_run(end.task, now)
        elif end.end is RunEnd.FAILED:
            tracked.has_started = True
            tracked.add_failure(end.task, end.run)
            logger.info(
                "run failed: task %s run %d on %s, %d of %d attempts",
                end.task,
                end.run,
                view.entry.worker_id,
                tracked.n_failures(end.task),
                tracked.submission.queue.max_attempts,
            )

    def _reconcile_running(
        self, view: WorkerView, report: WorkerReport, requested_at: float, now: float
    ) -> None:
        reported = {}
        unknown_run_by_task = {}
        view.used_by_unwanted = TaskDemand()
        for running in report.running:
            reported[(running.task, running.run)] = running
            if running.task.submission_id in self.submissions.by_id:
                self._on_running(view, running, requested_at, now)
            else:
                unknown_run_by_task[running.task] = running
        self._replace_unknown_runs(view, unknown_run_by_task, now)
        for run in tuple(view.run_by_task.values()):
            if (run.task, run.number) not in reported:
                self._on_unreported_run(run, report, requested_at, now)

    def _replace_unknown_runs(
        self, view: WorkerView, run_by_task: dict[TaskKey, RunningTask], now: float
    ) -> None:
        """Store runs until their submissions are known; stop them after a timeout."""
        view.unknown_run_by_task = run_by_task
        if not run_by_task:
            view.unknown_since = None
            return
        if view.unknown_since is None:
            view.unknown_since = now
        if now - view.unknown_since > UNKNOWN_RUN_TIMEOUT_S:
            for running in run_by_task.values():
                stop = StopOrder(running.task, running.run, self.epoch)
                self._enqueue_order(view.entry.worker_id, stop)

    def _on_running(
        self, view: WorkerView, running: RunningTask, requested_at: float, now: float
    ) -> None:
        run = self.run_by_task.get(running.task)
        if (
            run is None
            or run.number != running.run
            or run.worker_id != view.entry.worker_id
        ):
            run = self._adopt(view, running, now)
        if run is None:
            return
        run.was_reported = True
        if requested_at - view.epoch_seen_at > MAX_HOLD_WAIT_S:
            self._accounted_tasks.add(running.task)
        tracked = self.submissions.by_id[running.task.submission_id]
        tracked.has_begun = True
        self.crashes.on_running(tracked, run, now)
        run.percent = running.pace_percent
        run.update_reading(running.reading, now)
        if running.checkpoint:
            run.checkpoint = running.checkpoint
        if run.phase in (RunPhase.STARTING, RunPhase.UNCONFIRMED):
            run.phase = RunPhase.RUNNING
            run.phase_since = now

    def _adopt(self, view: WorkerView, running: RunningTask, now: float) -> Run | None:
        """Adopt a run of an earlier owner if it is still needed, else stop it."""
        task = running.task
        tracked = self.submissions.by_id.get(task.submission_id)
        wanted = (
            tracked is not None
            and not tracked.is_over
            and task not in self.run_by_task
            and not tracked.progress.is_done(task)
            and tracked.runs_here(task)
            and self._task_exists(tracked, task)
        )
        if not wanted:
            logger.info(
                "run not wanted: task %s run %d on %s, it is stopped",
                task,
                running.run,
                view.entry.worker_id,
            )
            self._reserve_until_stopped(view, task)
            self._enqueue_order(
                view.entry.worker_id, StopOrder(task, running.run, self.epoch)
            )
            return None
        step = tracked.submission.steps[task.step]
        run = Run(
            task,
            running.run,
            view.entry.worker_id,
            step,
            RunPhase.RUNNING,
            now,
            now,
            checkpoint=running.checkpoint,
            pace=None if step.fills else 100,
            is_adopted=True,
            was_reported=True,
        )
        logger.info(
            "run adopted: task %s run %d on %s, move pending: %s",
            task,
            running.run,
            view.entry.worker_id,
            task in self._tasks_with_pending_move,
        )
        tracked.has_started = True
        self._add_run(tracked, run)
        if task in self._tasks_with_pending_move:
            # The cell that it moves to may start it at any time.
            self._stop(run, now)
        return run

    def _reserve_until_stopped(self, view: WorkerView, task: TaskKey) -> None:
        """Count the capacity of a run that isn't wanted until a report lacks it."""
        tracked = self.submissions.by_id.get(task.submission_id)
        if tracked is not None and self._task_exists(tracked, task):
            allocation = tracked.submission.steps[task.step].allocation
            view.used_by_unwanted = view.used_by_unwanted + allocation

    def _task_exists(self, tracked: TrackedSubmission, task: TaskKey) -> bool:
        """Return whether the task exists, even if its step isn't active here.

        The earlier owner may have activated the step after ends that no report has
        contained since.
        """
        steps = tracked.submission.steps
        if task.step >= len(steps):
            return False
        if task.occurrence not in tracked.submission.occurrences():
            return False
        return task.index < steps[task.step].n_tasks

    def _on_unreported_run(
        self, run: Run, report: WorkerReport, requested_at: float, now: float
    ) -> None:
        """Stop a run that a report should list but doesn't, or mark it as lost.

        The report says nothing about the run if it was requested before the run's
        phase last changed or before its stop was answered.
        """
        if report.n_ends >= MAX_ENDS_IN_REPORT or report.unreadable_ends:
            # The run's end may be among those that the report lacks.
            return
        if report.has_unreadable_runs:
            return
        if run.phase is RunPhase.STARTING:
            return
        if run.stop_answered_at is not None:
            if requested_at > run.stop_answered_at:
                self._mark_lost(run, "stopped before its start", now)
            return
        if run.phase is RunPhase.UNCONFIRMED and requested_at > run.phase_since:
            self._stop(run, now)
        elif run.phase is RunPhase.RUNNING and requested_at > run.phase_since:
            self._mark_lost(run, "missing from the worker's report", now)

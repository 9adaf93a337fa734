"""Scheduler of one cell: a state machine that turns events into orders.

Epochs serve as fencing tokens (Kleppmann, How to do distributed locking, 2016).
"""

import logging
from collections.abc import Mapping

from berylcleat.model import Submission, SubmissionState, TaskDemand, TaskKey
from berylcleat.ports import (
    EndedTask,
    OrderAnswer,
    OrderResult,
    PaceOrder,
    RunEnd,
    RunningTask,
    StartOrder,
    StopOrder,
    WorkerEntry,
    WorkerReport,
)

from ._cell_runs import CellRuns
from ._deferred_ends import DeferralReason, DeferredEnd
from ._moves import (
    CellHeadroom,
    FillerHeadroom,
    HeadroomReservations,
    MovedTaskEnd,
    MoveProposal,
    TaskMove,
    is_stuck,
    make_move,
)
from ._orders import ProgressWrite, RecordBatch, WorkerOrder
from ._placement import explain_rejection
from ._progress import Progress, decode_progress, encode_progress
from ._submissions import ReadyStep, TrackedSubmission
from ._workers import Run, RunPhase, WorkerView

# Seconds after which a run is stopped if its submission is still unknown.
UNKNOWN_RUN_TIMEOUT_S = 5.0
# Seconds after a takeover in which the earlier owner may still receive submissions.
HANDOVER_GRACE_S = 5.0
# Minimum seconds between two updates of the interference model from one worker: a
# reading covers the last half second and would count twice in more frequent updates.
MIN_LEARN_PERIOD_S = 0.45
# Maximum run ends in one worker report; a full report may lack later ends.
MAX_ENDS_IN_REPORT = 500
# Answers to a start after which the worker may run the task.
MAY_RUN_RESULTS = (OrderResult.ACCEPTED, OrderResult.NO_ANSWER)
logger = logging.getLogger(__name__)


class CellScheduler(CellRuns):
    """Scheduler of one cell under one epoch; times are seconds on one clock.

    From ``settled_at`` on, runs that an earlier owner may have started on workers that
    have not answered since have certainly ended.
    """

    def add_submission(
        self,
        submission: Submission,
        progress: Progress,
        accepted_at: float,
        now: float,
        *,
        inherited: bool,
        is_home: bool = True,
        move_by_task: Mapping[TaskKey, TaskMove] | None = None,
    ) -> None:
        """Track a submission and its recorded moves.

        An ``inherited`` one may have unknown runs. So may one that is added before the
        earlier owner has certainly learned of the takeover.
        """
        if submission.submission_id in self.submissions.by_id:
            return
        tracked = self.submissions.add(
            submission, progress, accepted_at, is_home=is_home
        )
        tracked.activate_due_steps(self._wall_ms)
        if inherited or now < self._began_at + HANDOVER_GRACE_S:
            self._inherited_submissions.add(submission.submission_id)
        if inherited:
            tracked.has_started = bool(progress.done_by_step)
        # The moves tell which of the reported runs belong here.
        self.update_moves(submission.submission_id, move_by_task or {}, now)

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
                    self._on_running(view, running, now)

    def cancel(self, submission_id: str, now: float) -> None:
        """Cancel a submission and stop all its runs."""
        tracked = self.submissions.by_id.get(submission_id)
        if tracked is None or tracked.is_over:
            return
        tracked.cancel()
        self.submissions.retire(tracked)
        self.load_estimator.forget(submission_id)
        self.advice.forget(submission_id)
        self._stop_runs_of(submission_id, now)

    def update_moves(
        self, submission_id: str, move_by_task: Mapping[TaskKey, TaskMove], now: float
    ) -> None:
        """Apply the recorded moves of a submission's tasks."""
        tracked = self.submissions.by_id.get(submission_id)
        if tracked is None:
            return
        for task, move in move_by_task.items():
            if move.cell_id == self.cell_id:
                self._accept_moved_task(tracked, task, move)
            else:
                self._release_moved_task(tracked, task, now)
        self._process_deferred_reports(submission_id, now)

    def _accept_moved_task(
        self, tracked: TrackedSubmission, task: TaskKey, move: TaskMove
    ) -> None:
        tracked.apply_move(
            task, move.run_floor, move.failed_runs, move.crashed_runs, move.checkpoint
        )
        was_assigned_here = tracked.runs_here(task)
        tracked.moved_away.discard(task)
        tracked.moved_here.add(task)
        if not was_assigned_here and task not in self.run_by_task:
            tracked.requeue(task)

    def _release_moved_task(
        self, tracked: TrackedSubmission, task: TaskKey, now: float
    ) -> None:
        tracked.moved_here.discard(task)
        if tracked.is_home:
            tracked.moved_away.add(task)
        tracked.remove_waiting(task)
        tracked.drop_presumption(task)
        run = self.run_by_task.get(task)
        if run is not None:
            logger.error("task %s was moved to another cell during a run", task)
            self._stop(run, now)

    def propose_moves(
        self, headrooms: tuple[CellHeadroom, ...], now: float
    ) -> list[MoveProposal]:
        """Return moves of stuck tasks to cells with headroom.

        The tasks aren't started here until ``on_move_settled`` is called.
        """
        self._other_headrooms = headrooms
        reservations = HeadroomReservations(headrooms, self.interference)
        proposals = []
        for ready in self.submissions.ready_steps(now):
            if is_stuck(ready, now):
                move_by_task = self._propose_task_moves(ready, reservations, now)
                if move_by_task:
                    submission_id = ready.tracked.submission.submission_id
                    proposal = MoveProposal(submission_id, move_by_task)
                    logger.info("move proposed: %s", proposal.describe())
                    proposals.append(proposal)
        return proposals

    def _propose_task_moves(
        self, ready: ReadyStep, reservations: HeadroomReservations, now: float
    ) -> dict[TaskKey, TaskMove]:
        move_by_task: dict[TaskKey, TaskMove] = {}
        service = ready.tracked.submission.queue.service
        if ready.step.is_gang:
            return self._propose_gang_move(ready, reservations, service, now)
        for task in self._startable_tasks(ready, now):
            if self._give_up_crashing(ready.tracked, task, now):
                return {}
            cell_id = reservations.reserve(ready.step, service)
            if cell_id is None:
                break
            move_by_task[task] = make_move(ready.tracked, task, cell_id, self.epoch)
        self._tasks_with_pending_move.update(move_by_task)
        return move_by_task

    def _propose_gang_move(
        self,
        ready: ReadyStep,
        reservations: HeadroomReservations,
        service: str,
        now: float,
    ) -> dict[TaskKey, TaskMove]:
        if not self._is_whole_gang_startable(ready, now):
            return {}
        cell_id = reservations.reserve_gang(ready.step, service)
        if cell_id is None:
            return {}
        tasks = self._startable_tasks(ready, now)
        self._tasks_with_pending_move.update(tasks)
        return {
            task: make_move(ready.tracked, task, cell_id, self.epoch) for task in tasks
        }

    def waiting_cpu(self) -> int:
        """Return the processor time that waiting tasks would reserve.

        The unit is a thousandth of a core; fillers reserve none.
        """
        return sum(
            len(ready.waiting) * ready.step.allocation.cpu_millis
            for ready in self.submissions.ready_steps(0.0)
        )

    def stuck_cpu(self, now: float) -> int:
        """Return the part of ``waiting_cpu`` that belongs to stuck steps.

        It can't start on this cell's workers, so it doesn't use up their capacity.
        """
        return sum(
            len(ready.waiting) * ready.step.allocation.cpu_millis
            for ready in self.submissions.ready_steps(now)
            if is_stuck(ready, now)
        )

    def filler_headrooms(self) -> tuple[FillerHeadroom, ...]:
        """Return the processor time left on the workers, by set of serving images."""
        left_by_images: dict[tuple[str, ...], int] = {}
        for view in self.worker_by_id.values():
            images = tuple(sorted(view.serving_images()))
            left = left_by_images.get(images, 0)
            left_by_images[images] = left + max(0, view.cpu_left())
        return tuple(
            FillerHeadroom(images, left) for images, left in left_by_images.items()
        )

    def on_move_settled(self, proposal: MoveProposal, now: float) -> None:
        """Clear the pending moves of a proposal that was applied or rejected.

        Call it after ``update_moves``. Tasks still assigned to this cell, or moved back
        to it, may start here again.
        """
        self._tasks_with_pending_move.difference_update(proposal.move_by_task)
        self._process_deferred_reports(proposal.submission_id, now)

    def stray_ends(self, now: float) -> dict[str, list[EndedTask]]:
        """Return ends that another cell must count before they are acknowledged.

        Keys are submission ids; the submission may be unknown here.
        """
        ends: dict[str, list[EndedTask]] = {}
        for view in self.worker_by_id.values():
            for number, deferred in sorted(view.deferred_end_by_number.items()):
                end = deferred.end
                if self._deferral_reason(end) is not deferred.reason:
                    del view.deferred_end_by_number[number]
                    self._on_end(view, end, now)
                elif deferred.is_stray(now):
                    ends.setdefault(end.task.submission_id, []).append(end)
        return ends

    def on_stray_ends_settled(self, ends: list[EndedTask]) -> None:
        """Let ends be acknowledged that are recorded elsewhere, or that none counts."""
        for view in self.worker_by_id.values():
            for number, deferred in tuple(view.deferred_end_by_number.items()):
                if deferred.end in ends:
                    del view.deferred_end_by_number[number]

    def unconfirmed_moved_task_ends(self) -> dict[str, list[MovedTaskEnd]]:
        """Return recorded ends of moved tasks that their home has not confirmed.

        Keys are submission ids.
        """
        ends = {}
        for tracked in self.submissions.live_by_id.values():
            if tracked.is_home or tracked.is_dirty:
                continue
            unconfirmed_ends = tracked.unconfirmed_ends()
            if unconfirmed_ends:
                ends[tracked.submission.submission_id] = [
                    MovedTaskEnd(task, not tracked.progress.is_done(task))
                    for task in unconfirmed_ends
                ]
        return ends

    def on_moved_task_ends_confirmed(
        self, submission_id: str, ends: list[MovedTaskEnd], now: float
    ) -> None:
        """Mark ends of moved tasks as recorded by their home cell."""
        tracked = self.submissions.by_id[submission_id]
        tracked.confirmed_ends.update(end.task for end in ends)
        self.submissions.retire(tracked)

    def on_moved_task_ends(
        self, submission_id: str, ends: list[MovedTaskEnd], now: float
    ) -> bool:
        """Apply ends reported by another cell; return whether they are recorded.

        The home counts the ends of all tasks, another cell only of its own.
        """
        tracked = self.submissions.by_id.get(submission_id)
        if tracked is None:
            return False
        tasks = {end.task for end in ends}
        if tasks & self._tasks_with_pending_move:
            return False
        if not all(tracked.is_home or tracked.runs_here(task) for task in tasks):
            return False
        for end in ends:
            if end.has_failed and not tracked.is_over:
                tracked.fail()
                self._stop_runs_of(submission_id, now)
            elif not tracked.is_over and not tracked.progress.is_done(end.task):
                tracked.add_done(end.task)
                tracked.activate_due_steps(self._wall_ms)
                self._stop_duplicate_run(end.task, now)
        return not tracked.is_dirty

    def state_of(self, submission_id: str) -> SubmissionState | None:
        """Return the state to report to clients; an end only once it is recorded."""
        tracked = self.submissions.by_id.get(submission_id)
        if tracked is None:
            return None
        if tracked.progress.final_state and not tracked.is_dirty:
            return tracked.progress.final_state
        if tracked.is_cancelled:
            return SubmissionState.CANCELLED
        started = tracked.has_started
        return SubmissionState.RUNNING if started else SubmissionState.QUEUED

    def list_worker(self, entry: WorkerEntry, now: float) -> None:
        """Add a listed worker or update the entry of a known one."""
        view = self.worker_by_id.get(entry.worker_id)
        if view is None:
            self.worker_by_id[entry.worker_id] = WorkerView(entry)
            return
        if entry.started_at_ms > view.incarnation_ms and view.incarnation_ms:
            self._end_incarnation(view, "listed with a later start", now)
        view.entry = entry
        view.is_listed = True

    def must_record_workers(self) -> bool:
        """Return whether the workers that are certainly recorded aren't the cell's."""
        return (
            self._is_worker_record_in_doubt
            or self._recorded_workers != self.worker_by_id.keys()
        )

    def on_recording_workers(self, worker_ids: frozenset[str]) -> None:
        """Prevent starts on workers that a write lacks; call it before the write."""
        self._recorded_workers &= worker_ids
        self._is_worker_record_in_doubt = True

    def on_workers_recorded(self, worker_ids: frozenset[str]) -> None:
        """Allow starts on recorded workers, which the next owner will know."""
        self._recorded_workers = set(worker_ids)
        self._is_worker_record_in_doubt = False

    def is_settled(self, worker_id: str) -> bool:
        """Return whether all runs of earlier owners on a worker are known."""
        return worker_id not in self._unsettled_workers

    def can_forget(self, worker_id: str) -> bool:
        """Return whether a worker that left needs no further answer.

        The next owner doesn't ask it: all its ends must be recorded.
        """
        view = self.worker_by_id[worker_id]
        if view.is_listed or view.run_by_task:
            return False
        if view.acked_number < view.handled_number:
            return False
        return self.is_settled(worker_id)

    def unlist_worker(self, worker_id: str) -> None:
        """Prevent further starts on a worker that is no longer listed."""
        view = self.worker_by_id.get(worker_id)
        if view is not None:
            view.is_listed = False

    def on_report(
        self, worker_id: str, report: WorkerReport, requested_at: float, now: float
    ) -> None:
        """Process a worker's report in answer to a hold sent at ``requested_at``."""
        view = self.worker_by_id.get(worker_id)
        if view is None:
            return
        if report.started_at_ms != view.incarnation_ms:
            if report.started_at_ms < view.incarnation_ms:
                return
            if view.incarnation_ms:
                self._end_incarnation(view, "worker restarted", now)
            else:
                self.crashes.on_first_report(worker_id, report.started_at_ms)
            view.incarnation_ms = report.started_at_ms
        elif view.expired_runs:
            self.crashes.on_survival(view.expired_runs)
            view.expired_runs.clear()
        view.alive_at = now
        view.clock.observe(report.clock_ms, now)
        view.hold_failed_at = None
        if not view.has_seen_epoch:
            # An earlier owner may have renewed the lease just before this report.
            lease_ms = int(self.times.max_lease_s * 1000)
            view.clock.extend_lease(report.clock_ms + lease_ms)
            view.has_seen_epoch = True
        if len(report.ended) < MAX_ENDS_IN_REPORT:
            self._unsettled_workers.discard(worker_id)
        for end in report.ended:
            if end.number > view.handled_number:
                self._on_end(view, end, now)
        if report.ended:
            view.handled_number = max(view.handled_number, report.ended[-1].number)
        self._reconcile_running(view, report, requested_at, now)
        self.load_estimator.observe(view, now)
        if now - view.interference_learned_at > MIN_LEARN_PERIOD_S:
            view.interference_learned_at = now
            self.interference.observe(view.image_uses(now), view.readings())

    def on_hold_failed(self, worker_id: str, now: float) -> None:
        """Prevent starts on a worker until it reports again.

        It may have restarted: its next incarnation accepts orders of earlier owners.
        """
        view = self.worker_by_id.get(worker_id)
        if view is not None and view.hold_failed_at is None:
            view.hold_failed_at = now

    def on_other_incarnation(self, worker_id: str, now: float) -> None:
        """Handle an answer of a worker with another id at the worker's address.

        The worker has ended, and the other one executes no order meant for it. Runs
        whose start is still to be answered are handled at the next call.
        """
        view = self.worker_by_id.get(worker_id)
        if view is None:
            return
        if worker_id in self._unsettled_workers and not view.entry.is_draining:
            self.crashes.has_lost_worker = True
        self._unsettled_workers.discard(worker_id)
        self._end_incarnation(view, "another incarnation answered", now)
        view.is_listed = False
        for run in tuple(view.run_by_task.values()):
            if run.phase is not RunPhase.STARTING:
                reason = "another worker has its address"
                self._mark_lost(run, reason, now, may_have_crashed=True)

    def on_connection_refused(self, worker_id: str, now: float) -> None:
        """Handle a refused connection to a worker.

        A draining worker that is no longer listed has then exited.
        """
        view = self.worker_by_id.get(worker_id)
        if view is None or view.is_listed or not view.entry.is_draining:
            return
        self._unsettled_workers.discard(worker_id)
        self._end_incarnation(view, "drained worker exited", now)

    def on_fenced(self, worker_id: str) -> None:
        """Mark this owner as fenced: a worker has seen a higher epoch."""
        if self.is_fenced_out:
            return
        logger.warning(
            "cell %s: worker %s has seen a higher epoch, this owner is fenced",
            self.cell_id,
            worker_id,
        )
        self.is_fenced_out = True

    def on_start_answer(
        self, worker_id: str, order: StartOrder, answer: OrderAnswer, now: float
    ) -> None:
        """Apply the answer to a start order."""
        run = self.run_by_task.get(order.task)
        if run is None or run.number != order.run:
            return
        result = answer.result
        view = self.worker_by_id[worker_id]
        if result in MAY_RUN_RESULTS and not view.incarnation_ms:
            view.clock.assume_longest_lease(now, self.times.max_lease_s)
        if result is OrderResult.ACCEPTED:
            # The clock of the worker's next incarnation starts anew.
            run.was_accepted = answer.clock_ms >= view.clock.clock_ms > 0
            view.alive_at = max(view.alive_at, run.started_at)
            if run.phase in (RunPhase.STARTING, RunPhase.UNCONFIRMED):
                run.phase = RunPhase.RUNNING
                run.phase_since = now
        elif result is OrderResult.NO_ANSWER:
            if run.phase is RunPhase.STARTING:
                run.phase = RunPhase.UNCONFIRMED
                run.phase_since = now
        elif result is OrderResult.FENCED:
            self._remove_run(run, now)
            self.on_fenced(worker_id)
        elif run.phase is not RunPhase.RUNNING:
            self._on_rejected_start(run, result, now)

    def on_stop_answer(
        self, worker_id: str, order: StopOrder, answer: OrderAnswer, now: float
    ) -> None:
        """Apply the answer to a stop order."""
        run = self.run_by_task.get(order.task)
        if answer.result is OrderResult.FENCED:
            self.on_fenced(worker_id)
        if run is None or run.number != order.run:
            return
        if answer.result is OrderResult.ACCEPTED:
            run.stop_answered_at = now
        else:
            run.stop_sent_at = None

    def on_pace_answer(self, order: PaceOrder, answer: OrderAnswer) -> None:
        """Apply the answer to a pace order; one not accepted is sent again."""
        run = self.run_by_task.get(order.task)
        if run is None or run.number != order.run or run.pace != order.percent:
            return
        if answer.result is not OrderResult.ACCEPTED:
            run.pace = None

    def plan(self, now: float, wall_ms: float) -> list[WorkerOrder]:
        """Run one planning round and return the orders to send."""
        self._expire_leases(now)
        self._retry_stops(now)
        self._limit_interference(now)
        self._relocate_from_draining(now)
        self._wall_ms = wall_ms
        self.submissions.activate_scheduled(wall_ms)
        for ready in self.submissions.ready_steps(now):
            self._start_waiting(ready, now)
        self._force_starving_fillers(now)
        orders, self._orders = self._orders, []
        return orders

    def explain_waiting(self, ready: ReadyStep, now: float) -> dict[str, int]:
        """Return why the first waiting task of a step doesn't start.

        Maps each reason to the number of workers that it applies to.
        """
        task = ready.task(min(ready.waiting))
        counts: dict[str, int] = {}
        if self._may_have_unknown_run(task, now):
            return {"runs of earlier owner unknown": len(self._unsettled_workers)}
        if task in self._tasks_with_pending_move:
            return {"move pending": 1}
        service = ready.tracked.submission.queue.service
        for worker_id, view in self.worker_by_id.items():
            reason = view.explain_unavailable(now)
            if worker_id not in self._recorded_workers:
                reason = "worker not recorded yet"
            reason = reason or explain_rejection(
                task, ready.step, service, view, self.interference
            )
            counts[reason or "fits"] = counts.get(reason or "fits", 0) + 1
        return counts

    def take_batch(self) -> RecordBatch:
        """Return the progress to record and the ends to acknowledge after it."""
        writes = []
        for tracked in self.submissions.dirty_submissions():
            progress = tracked.progress
            writes.append(
                ProgressWrite(
                    tracked.submission.submission_id,
                    encode_progress(progress),
                    progress.final_state is not None,
                )
            )
        acks = {
            worker_id: (view.incarnation_ms, view.recordable_number())
            for worker_id, view in self.worker_by_id.items()
            if view.recordable_number() > view.acked_number
        }
        return RecordBatch(tuple(writes), acks)

    def on_recorded(self, batch: RecordBatch) -> None:
        """Mark ``batch`` as durable and acknowledge its ends."""
        for write in batch.writes:
            tracked = self.submissions.by_id.get(write.submission_id)
            if tracked and (
                tracked.progress.crashed_runs_by_task
                or tracked.recorded_crashes_by_task
            ):
                tracked.on_recorded(decode_progress(write.submission_id, write.value))
            if tracked and encode_progress(tracked.progress) == write.value:
                tracked.is_dirty = False
                self.submissions.retire(tracked)
                if write.is_final:
                    self.advice.forget(write.submission_id)
                    state = tracked.progress.final_state.value
                    logger.info(
                        "submission %s: recorded as %s", write.submission_id, state
                    )
        for worker_id, (incarnation_ms, number) in batch.ack_by_worker.items():
            view = self.worker_by_id.get(worker_id)
            if view is not None and view.incarnation_ms == incarnation_ms:
                view.acked_number = max(view.acked_number, number)

    def _on_end(self, view: WorkerView, end: EndedTask, now: float) -> None:
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
        tracked = self.submissions.by_id[end.task.submission_id]
        logger.info(
            "run ended: task %s run %d on %s: %s%s",
            end.task,
            end.run,
            view.entry.worker_id,
            end.end.value,
            "" if is_current_run else self._explain_late_end(tracked, end.task),
        )
        step = tracked.submission.steps[end.task.step]
        tracked.raise_run_floor(end.task, end.run)
        tracked.clear_crash(end.task, end.run)
        tracked.set_checkpoint(end.task, end.checkpoint)
        if end.end is RunEnd.FAILED:
            view.count_failure(now)
        elif end.end is RunEnd.DONE:
            view.reset_failures()
        if not step.is_long_running and not tracked.is_over:
            self._count_end(tracked, view, end, now)
        if tracked.progress.final_state is not None:
            self._stop_runs_of(end.task.submission_id, now)
        elif is_current_run:
            tracked.requeue(end.task)
            if step.is_gang and end.end is not RunEnd.DONE:
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
        view.unknown_run_by_task.clear()
        view.used_by_unwanted = TaskDemand()
        for running in report.running:
            reported[(running.task, running.run)] = running
            if running.task.submission_id in self.submissions.by_id:
                self._on_running(view, running, now)
            else:
                self._on_unknown_run(view, running, now)
        if not view.unknown_run_by_task:
            view.unknown_since = None
        for run in tuple(view.run_by_task.values()):
            if (run.task, run.number) not in reported:
                self._on_unreported_run(run, report, requested_at, now)

    def _on_unknown_run(
        self, view: WorkerView, running: RunningTask, now: float
    ) -> None:
        """Store a run until its submission is known; stop it after a timeout."""
        view.unknown_run_by_task[running.task] = running
        if view.unknown_since is None:
            view.unknown_since = now
        if now - view.unknown_since > UNKNOWN_RUN_TIMEOUT_S:
            stop = StopOrder(running.task, running.run, self.epoch)
            self._enqueue_order(view.entry.worker_id, stop)

    def _on_running(self, view: WorkerView, running: RunningTask, now: float) -> None:
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
        tracked = self.submissions.by_id[running.task.submission_id]
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
        return task.index < steps[task.step].n_tasks

    def _on_unreported_run(
        self, run: Run, report: WorkerReport, requested_at: float, now: float
    ) -> None:
        """Stop a run that a report should list but doesn't, or mark it as lost.

        The report says nothing about the run if it was requested before the run's
        phase last changed or before its stop was answered.
        """
        if len(report.ended) >= MAX_ENDS_IN_REPORT:
            # The run's end may be among those that the report lacks.
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

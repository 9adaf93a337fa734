"""Scheduler of one cell: a state machine that turns events into orders.

Epochs serve as fencing tokens (Kleppmann, How to do distributed locking, 2016).
"""

import logging
from collections.abc import Mapping

from berylcleat.model import Submission, SubmissionState, TaskDemand, TaskKey
from berylcleat.ports import (
    OrderAnswer,
    OrderResult,
    PaceOrder,
    StartOrder,
    StopOrder,
    WorkerEntry,
)

from ._cell_moves import CellMoves
from ._leases import RUN_STOP_MS
from ._moves import (
    TaskMove,
)
from ._orders import ProgressWrite, RecordBatch, WorkerOrder
from ._placement import explain_rejection
from ._progress import Progress, decode_progress, encode_progress
from ._releases import AvoidedCapacity, count_avoided, release_workers
from ._step_waits import StepWait, WaitReason, explain_capacity
from ._submissions import ReadyStep
from ._wave_record import WorkerOccupancy
from ._workers import RunPhase, WorkerView

# Seconds after a takeover in which the earlier owner may still receive submissions.
HANDOVER_GRACE_S = 5.0
# Answers to a start after which the worker may run the task.
MAY_RUN_RESULTS = (OrderResult.ACCEPTED, OrderResult.NO_ANSWER)
# Other cells that a log line names for a waiting step.
MAX_LOGGED_CELLS = 4
logger = logging.getLogger(__name__)


class CellScheduler(CellMoves):
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
        tracked.received_at = now
        tracked.activate_due_steps(self._wall_ms)
        if inherited or now < self._began_at + HANDOVER_GRACE_S:
            self._inherited_submissions.add(submission.submission_id)
        if inherited:
            tracked.has_started = bool(progress.done_by_step)
        # The moves tell which of the reported runs belong here.
        self.update_moves(submission.submission_id, move_by_task or {}, now)

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
            is_cordoned = entry.worker_id in (self._cordoned or ())
            view = WorkerView(entry, is_cordoned=is_cordoned)
            self.worker_by_id[entry.worker_id] = view
            # The record may still name it as it was before it was forgotten.
            self._require_record(entry.worker_id)
            return
        if entry.started_at_ms > view.incarnation_ms and view.incarnation_ms:
            self._end_incarnation(view, "listed with a later start", now)
        if (entry.is_draining, entry.address) != (
            view.entry.is_draining,
            view.entry.address,
        ):
            # The next owner must know of a worker that has left whether it drained, and
            # where to reach it.
            self._require_record(entry.worker_id)
        view.entry = entry
        view.is_listed = True

    def set_cordoned(self, worker_ids: frozenset[str]) -> None:
        """Take exactly these workers out of use, those of machines in maintenance.

        No task starts on them, and long-running tasks are moved away. Call it, if with
        no workers, from when a wave is known: whether a task is available must have
        been observed for some seconds before it can be moved.
        """
        self._cordoned = worker_ids
        for worker_id, view in self.worker_by_id.items():
            view.is_cordoned = worker_id in worker_ids

    def occupancy(self, worker_id: str) -> WorkerOccupancy:
        """Return whether a worker is empty and whether its machine may be taken down.

        While runs of an earlier owner may be unknown, it isn't and may not. It is as of
        the last planning round.
        """
        view = self.worker_by_id.get(worker_id)
        if view is None:
            return WorkerOccupancy(is_empty=False, forbids_maintenance=True)
        is_known = not view.unknown_run_by_task and (
            self.is_settled(worker_id)
            or self._planned_at >= self._settles_at(worker_id)
        )
        n_runs = len(view.run_by_task) + len(view.unknown_run_by_task)
        return WorkerOccupancy(
            is_empty=is_known and not n_runs and view.used_by_unwanted == TaskDemand(),
            forbids_maintenance=not is_known
            or any(
                run.step.is_long_running and run.step.max_unavailable is not None
                for run in view.run_by_task.values()
            ),
            is_cordoned=view.is_cordoned,
            n_runs=n_runs,
        )

    def must_record_workers(self) -> bool:
        """Return whether the workers that are certainly recorded aren't the cell's.

        A worker counts as recorded if the record tells whether it is draining.
        """
        return (
            self._is_worker_record_in_doubt
            or self._recorded_workers != self.worker_by_id.keys()
        )

    def on_recording_workers(
        self, worker_ids: frozenset[str], now: float
    ) -> dict[str, float]:
        """Prevent starts on workers that a write lacks; call it before the write.

        Return for how many seconds leases on draining workers last at most, to record.
        """
        self._recorded_workers &= worker_ids
        self._is_worker_record_in_doubt = True
        self._changed_since_write.clear()
        views = [self.worker_by_id[worker_id] for worker_id in worker_ids]
        lease_left_s_by_worker = {}
        for worker_id, limit_ms in self._drain_limits.propose(views, now).items():
            view = self.worker_by_id[worker_id]
            lease_left_s_by_worker[worker_id] = max(
                self._lease_left_s(worker_id, view, now),
                view.clock.latest_reach_time(limit_ms + RUN_STOP_MS) - now,
            )
        return lease_left_s_by_worker

    def on_workers_recorded(self, worker_ids: frozenset[str]) -> None:
        """Allow starts on recorded workers, which the next owner will know."""
        self._recorded_workers = set(worker_ids - self._changed_since_write)
        self._is_worker_record_in_doubt = False
        self._drain_limits.on_recorded()

    def is_settled(self, worker_id: str) -> bool:
        """Return whether all runs of earlier owners on a worker are known."""
        return worker_id not in self._unsettled_workers

    def can_forget(self, worker_id: str) -> bool:
        """Return whether a worker that left needs no further answer.

        The next owner doesn't ask it: all its ends must be recorded. Runs of unknown
        submissions may go on until its leases have expired.
        """
        view = self.worker_by_id[worker_id]
        if view.is_listed or view.run_by_task or view.unknown_run_by_task:
            return False
        if view.acked_number < view.handled_number:
            return False
        return self.is_settled(worker_id)

    def unlist_worker(self, worker_id: str) -> None:
        """Prevent further starts on a worker that is no longer listed."""
        view = self.worker_by_id.get(worker_id)
        if view is not None:
            view.is_listed = False

    def on_hold_failed(self, worker_id: str, now: float) -> None:
        """Prevent starts on a worker until it reports again.

        It may have restarted: its next incarnation accepts orders of earlier owners.
        """
        view = self.worker_by_id.get(worker_id)
        if view is not None and view.hold_failed_at is None:
            view.hold_failed_at = now
            if self.uneven_workers is not None:
                self.uneven_workers.on_outage(view, now)

    def report_age_s(self, worker_id: str, now: float) -> float:
        """Return how long ago a worker last reported, for logs."""
        view = self.worker_by_id.get(worker_id)
        return float("inf") if view is None else now - view.clock.answered_at

    def on_other_incarnation(self, worker_id: str, now: float) -> None:
        """Handle an answer of a worker with another id at the worker's address.

        The worker has ended, and the other one executes no order meant for it. Runs
        whose start is still to be answered are handled at the next call.
        """
        view = self.worker_by_id.get(worker_id)
        if view is None:
            return
        if worker_id in self._unsettled_workers and not view.is_leaving:
            self.crashes.has_lost_worker = True
        self._unsettled_workers.discard(worker_id)
        self._end_incarnation(view, "another incarnation answered", now)
        view.is_listed = False
        for run in tuple(view.run_by_task.values()):
            if run.phase is not RunPhase.STARTING:
                reason = "another worker has its address"
                self._mark_lost(run, reason, now, may_have_crashed=True)

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
        if answer.result is OrderResult.NO_ANSWER:
            self._on_start_unanswered(worker_id, order, now)
        elif answer.result is OrderResult.OTHER_INCARNATION:
            # It has restarted, and has not reported since.
            self.on_hold_failed(worker_id, now)
        run = self.run_by_task.get(order.task)
        if run is None or run.number != order.run:
            return
        result = answer.result
        view = self.worker_by_id[worker_id]
        if result in MAY_RUN_RESULTS and not view.incarnation_ms:
            view.clock.assume_longest_lease(now, self.times.max_lease_s)
        if result is OrderResult.ACCEPTED:
            tracked = self.submissions.by_id.get(order.task.submission_id)
            if tracked is not None:
                tracked.has_begun = True
            # The clock of the worker's next incarnation starts anew.
            run.was_accepted = answer.clock_ms >= view.clock.clock_ms > 0
            if run.was_accepted:
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

    def _on_start_unanswered(
        self, worker_id: str, order: StartOrder, now: float
    ) -> None:
        view = self.worker_by_id.get(worker_id)
        if view is None:
            return
        view.unanswered_start_at = now
        view.unanswered_deadline_ms = max(
            view.unanswered_deadline_ms, order.deadline_ms
        )
        run = self.run_by_task.get(order.task)
        is_known = run is not None and run.number == order.run
        if not is_known or run.incarnation_ms != view.incarnation_ms:
            view.expect_late_start(self.times)

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
        self.confirmation.is_awaited = False
        self._observe_time(now)
        self._expire_leases(now)
        self._settle_gone(now)
        self._retry_stops(now)
        self._limit_interference(now)
        self._refresh_conditions(now)
        release_workers(
            self.worker_by_id.values(),
            self.submissions.iter_ready(),
            self._other_headrooms,
            self.interference,
            now,
        )
        self._relocate_from_draining(now)
        self._relocate_within_cell(now)
        self._wall_ms = wall_ms
        self.submissions.activate_scheduled(wall_ms)
        self._observe_rates(now)
        self._observe_idle(now)
        if self._may_start(now) and not self.is_fenced_out:
            self._start_tasks(now)
            self._preempt_for_short_tasks(now)
        else:
            self._drop_presumptions(now)
        orders, self._orders = self._orders, []
        return orders

    def _observe_idle(self, now: float) -> None:
        running, starting = set(), set()
        for task, run in self.run_by_task.items():
            is_starting = run.phase is RunPhase.STARTING
            (starting if is_starting else running).add(task.submission_id)
        self.submissions.observe_idle(running, starting, now)

    def avoided_capacity(self, now: float) -> AvoidedCapacity:
        """Return the capacity of workers that may start nothing for now."""
        return count_avoided(self.worker_by_id.values(), now)

    def explain_waiting(self, ready: ReadyStep, now: float) -> dict[str, int]:
        """Return why the first waiting task of a step doesn't start.

        Maps each reason to the number of workers that it applies to.
        """
        reason = self._explain_no_start(now)
        if reason:
            return {reason: len(self.worker_by_id)}
        task = ready.task(min(ready.waiting))
        counts: dict[str, int] = {}
        if self._is_held(task, now):
            return {"yields to short tasks": 1}
        doubt = self._explain_doubt(task, now)
        if doubt:
            n_workers = len(self._unsettled_workers) or len(self.worker_by_id)
            return {doubt: n_workers}
        if task in self._tasks_with_pending_move:
            return {"move pending": 1}
        if not self.worker_by_id:
            return {"no worker in the cell": 1}
        service = ready.tracked.submission.queue.service
        for worker_id, view in self.worker_by_id.items():
            reason = view.explain_unavailable(now)
            if worker_id not in self._recorded_workers:
                reason = "worker not recorded yet"
            elif not self.confirmation.covers(view.started_by):
                reason = reason or "ownership not confirmed since its start"
            reason = reason or explain_rejection(
                task, ready.step, service, view, self.interference
            )
            counts[reason or "fits"] = counts.get(reason or "fits", 0) + 1
        return counts

    def explain_step_wait(self, ready: ReadyStep, now: float) -> StepWait:
        """Return what the first waiting task of a step waits for."""
        task = ready.task(min(ready.waiting))
        if self._explain_no_start(now) or self._may_have_unknown_run(task, now):
            return StepWait(WaitReason.OWNER)
        if task in self._tasks_with_pending_move:
            return StepWait(WaitReason.MOVE)
        usable = self._startable_workers(now)
        return explain_capacity(ready, usable, self._other_headrooms, self.interference)

    def explain_other_cells(self, ready: ReadyStep) -> str:
        """Return how many tasks of a step the cells hold that report the most room.

        A task that none of them can hold stays here.
        """
        step, service = ready.step, ready.tracked.submission.queue.service
        slots_by_cell = {
            headroom.cell_id: headroom.n_slots(step)
            for headroom in self._other_headrooms
            if headroom.service == service
        }
        best = sorted(slots_by_cell, key=slots_by_cell.__getitem__, reverse=True)
        names = ", ".join(
            f"{cell_id} {slots_by_cell[cell_id]}" for cell_id in best[:MAX_LOGGED_CELLS]
        )
        n_moves = ready.tracked.n_moves_by_task.get(ready.task(min(ready.waiting)), 0)
        return f", fit elsewhere: {names or 'no cell known'}, moved {n_moves} times"

    def explain_record(self, ready: ReadyStep) -> str:
        """Return what is recorded of the first waiting task's next run.

        Empty for a task that may start without a record.
        """
        task = ready.task(min(ready.waiting))
        tracked = ready.tracked
        if not tracked.n_crashes(task) and not self._may_have_crashed_before(task):
            return ""
        start = tracked.presumed_start(task)
        run = tracked.presumed_run_by_task.get(task)
        where = "any worker" if start is None else start.worker_id
        state = "not presumed" if run is None else f"run {run} presumed on {where}"
        n_withdrawn = tracked.n_withdrawn_by_task.get(task, 0)
        return (
            f", {tracked.n_crashes(task)} crashes, {state}, withdrawn {n_withdrawn}"
            " times"
        )

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
        self.submissions.n_records += 1
        for write in batch.writes:
            tracked = self.submissions.by_id.get(write.submission_id)
            if tracked:
                tracked.record_number = self.submissions.n_records
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

"""Starts, pace changes, stops and losses of a cell's runs."""

import logging
from collections.abc import Mapping

from berylcleat.model import TaskDemand, TaskKey
from berylcleat.ports import (
    OrderResult,
    PaceOrder,
    StartOrder,
    StopOrder,
    WorkerEntry,
)

from ._advice import TicketCache
from ._backlog_meter import CompletedWork
from ._confirmation import OwnershipConfirmation
from ._crashes import CrashTracker
from ._drain_limits import DrainLimits
from ._evacuation import MAX_PAUSE_S, AvailabilityTracker, CellEvacuation
from ._filler_stops import choose_fillers_to_stop, must_stop_all_fillers
from ._finish_estimate import FinishEstimator
from ._interference import InterferenceModel
from ._leases import MAX_UNSETTLED_S, RUN_STOP_MS, LeaseTimes
from ._moves import CellHeadroom, TaskMove
from ._orders import WorkerOrder
from ._pacing import LoadEstimator, plan_paces
from ._preemption import Preemption
from ._spill import SpillPlanner
from ._submissions import SubmissionRegistry, TrackedSubmission
from ._uneven_workers import UnevenWorkers
from ._urgency import ExpectedFinishOrder
from ._workers import Run, RunPhase, WorkerView

# Time by which a run has ended that never began.
NEVER_RAN = float("-inf")
# Seconds for which a worker gets no new run after it rejected a start: for lack of
# capacity that the owner counted as free, and for another reason.
NO_CAPACITY_COOLDOWN_S = 0.3
REJECTION_COOLDOWN_S = 1.0
# Rejections of a start that tell nothing of the worker in its present incarnation.
UNRELATED_TO_WORKER = (OrderResult.OLD_RUN, OrderResult.OTHER_INCARNATION)
STOP_RETRY_S = 0.5
# Seconds for which the lease of a start must last at least.
MIN_START_LEASE_S = 1.0
# Deadline of an order, if it isn't known: later than any clock of a worker.
UNKNOWN_DEADLINE_MS = 2**53
# Seconds for which a worker may still answer a hold that it received before it learned
# of a later epoch.
MAX_HOLD_WAIT_S = 2.1
# Maximum seconds between an owner's confirmation and the receipt of a submission whose
# tasks it starts without another: less than HANDOVER_GRACE_S, in which the next owner
# expects that.
MAX_RECEIPT_AFTER_CONFIRMATION_S = 3.0
logger = logging.getLogger(__name__)


class CellRuns:
    """Runs on a cell's workers; orders are queued until the next ``plan``."""

    def __init__(
        self,
        cell_id: str,
        epoch: int,
        times: LeaseTimes,
        began_at: float,
        settled_at: float,
        earlier_workers: tuple[WorkerEntry, ...],
        interference: InterferenceModel,
        *,
        expected_finish: bool = False,
    ):
        self.cell_id = cell_id
        self.epoch = epoch
        self.times = times
        # None unless waiting tasks are ordered by their expected finish.
        self.estimator = FinishEstimator() if expected_finish else None
        self.finish_order: ExpectedFinishOrder | None = None
        if self.estimator is not None:
            self.finish_order = ExpectedFinishOrder(self.estimator)
        self.spill = SpillPlanner(cell_id) if expected_finish else None
        # None where long-running tasks yield to no others.
        self.preemption = Preemption() if expected_finish else None
        self.submissions = SubmissionRegistry(self.finish_order)
        self.interference = interference
        self.load_estimator = LoadEstimator()
        self.advice = TicketCache()
        self.completed_work = CompletedWork()
        self.crashes = CrashTracker(self.submissions, earlier_workers)
        self.worker_by_id: dict[str, WorkerView] = {}
        self.run_by_task: dict[TaskKey, Run] = {}
        self.is_fenced_out = False
        self.confirmation = OwnershipConfirmation()
        # None where speeds and failures of workers aren't to be learned.
        self.uneven_workers: UnevenWorkers | None = None
        # When the list of workers was known to be complete, and the services whose
        # workers start what exceeds their capacity.
        self.workers_listed_at = float("inf")
        self.unguarded_services: frozenset[str] = frozenset()
        # None: the deployment has no evacuations.
        self.evacuation: CellEvacuation | None = None
        self._availability = AvailabilityTracker()
        self._relocating_tasks: set[TaskKey] = set()
        # None where machines are never taken out of use for maintenance.
        self._cordoned: frozenset[str] | None = None
        # Whether the machines in maintenance are unknown, so that nothing may start.
        self.awaits_cordon = False
        self._planned_at = began_at
        self._stuck_moved_at = float("-inf")
        self._began_at = began_at
        self._settled_at = settled_at
        # Earlier times, by worker, than the one that holds for all.
        self._settled_at_by_worker: dict[str, float] = {}
        self._unsettled_workers = {entry.worker_id for entry in earlier_workers}
        self._has_earlier_workers = bool(earlier_workers)
        self._recorded_workers = set(self._unsettled_workers)
        self._is_worker_record_in_doubt = False
        # Workers that the write under way doesn't record as they are now.
        self._changed_since_write: set[str] = set()
        self._drain_limits = DrainLimits(times)
        self._inherited_submissions: set[str] = set()
        self._tasks_with_known_run: set[TaskKey] = set()
        # Tasks that earlier owners have certainly not started unknown to this one.
        self._accounted_tasks: set[TaskKey] = set()
        # Tasks whose move to this cell names this owner's epoch, and an earlier one.
        self._tasks_moved_to_owner: set[TaskKey] = set()
        self._tasks_moved_to_earlier_owner: set[TaskKey] = set()
        self._accepted_move_by_task: dict[TaskKey, TaskMove] = {}
        # When the last run of a task had ended, where only this owner says so.
        self._presumed_end_by_task: dict[TaskKey, float] = {}
        self._orders: list[WorkerOrder] = []
        # Of the present planning round: tasks for which one way of choosing a worker
        # has found none, and tasks whose next run is recorded, or to be recorded.
        self._unplaced_tasks: list[tuple[TrackedSubmission, TaskKey]] = []
        self._prepared_tasks: set[TaskKey] = set()
        # Found once for the starts of a round, None otherwise.
        self._answering_workers: list[WorkerView] | None = None
        # The worker that keeps capacity for a task whose start is prepared.
        self._keeper_by_task: dict[TaskKey, WorkerView] = {}
        self._tasks_with_pending_move: set[TaskKey] = set()
        self._wall_ms = 0.0
        self._other_headrooms: tuple[CellHeadroom, ...] = ()
        # Reserved shares found in the present round of moves.
        self._share_by_service: dict[str, float] = {}
        for entry in earlier_workers:
            self.worker_by_id[entry.worker_id] = WorkerView(entry, is_listed=False)

    def n_runs(self) -> int:
        """Return the number of runs that the workers have, or may have, as known here.

        After a takeover it lacks those of workers that have not answered yet.
        """
        views = self.worker_by_id.values()
        n_unknown = sum(len(view.unknown_run_by_task) for view in views)
        return len(self.run_by_task) + n_unknown

    def _may_start(self, now: float) -> bool:
        """Return whether tasks may start in the cell."""
        return not self._explain_no_start(now)

    def _explain_no_start(self, now: float) -> str:
        """Return why no task may start in the cell, or an empty string."""
        if self.awaits_cordon:
            return "maintenance not known"
        if self._longest_lease_s(now) < MIN_START_LEASE_S:
            return "ownership not confirmed for long"
        return "" if self.evacuation is None else self.evacuation.explain(now)

    def _has_evacuations(self) -> bool:
        return self.evacuation is not None and self.evacuation.is_enabled

    def _is_evacuated(self) -> bool:
        return self.evacuation is not None and self.evacuation.is_evacuated

    def _is_paused(self, now: float) -> bool:
        """Return whether the owner was suspended since its last planning round."""
        return now - self._planned_at > MAX_PAUSE_S

    def _observe_time(self, now: float) -> None:
        """Take note of a pause of the owner, and of the tasks that are available."""
        has_evacuations = self._has_evacuations()
        if not has_evacuations and self._cordoned is None:
            return
        if self._is_paused(now):
            if has_evacuations:
                logger.info(
                    "cell %s: no planning for %.1f s, evacuation requests must be read",
                    self.cell_id,
                    now - self._planned_at,
                )
                self.evacuation.resume(now)
            self._availability.forget_runs()
        self._planned_at = now
        self._availability.observe(self.worker_by_id.values(), now)

    def has_settled(self, now: float) -> bool:
        """Return whether every run of earlier owners is known or has expired."""
        return all(
            now >= self._settles_at(worker_id) for worker_id in self._unsettled_workers
        )

    def _settles_at(self, worker_id: str) -> float:
        """Return when runs of earlier owners on an unsettled worker have ended.

        A run that can't be read goes on for the longest lease after the last report,
        and for the leases granted since.
        """
        settled_at = self._settled_at_by_worker.get(worker_id, self._settled_at)
        view = self.worker_by_id.get(worker_id)
        if view is None or not view.has_unreadable_runs:
            return settled_at
        wait_s = self.times.takeover_wait_s(owner_is_dead=True)
        ended_by = max(view.clock.answered_at + wait_s, view.leases_expire_at())
        return max(settled_at, ended_by)

    def unsettled_for_s(self, now: float) -> dict[str, float]:
        """Return for how long runs of earlier owners may be unknown, by worker."""
        return {
            worker_id: self._settles_at(worker_id) - now
            for worker_id in self._unsettled_workers
        }

    def on_leases_told(
        self, lease_left_s_by_worker: Mapping[str, float], now: float
    ) -> None:
        """Wait for runs of a stopped owner as long as it told that its leases last.

        That may be longer than usual: it counts runs of owners before it, and starts
        that may be carried out late. The wait for a worker that it didn't name stays as
        it is.
        """
        for worker_id, left_s in lease_left_s_by_worker.items():
            self._settled_at_by_worker[worker_id] = now + min(left_s, MAX_UNSETTLED_S)

    def on_recorded_leases(
        self, lease_left_s_by_worker: Mapping[str, float], written_by: float
    ) -> None:
        """Wait no longer for runs on draining workers than the record of them tells.

        It was written by ``written_by``. No earlier owner, stopped or not, requests a
        lease that outlasts it.
        """
        for worker_id, left_s in lease_left_s_by_worker.items():
            if worker_id in self._unsettled_workers:
                settled_at = min(self._settled_at, written_by + left_s)
                self._settled_at_by_worker[worker_id] = settled_at
                self._drain_limits.on_inherited(worker_id)
                # The owner after this one relies on limits of this one's record only.
                self._require_record(worker_id)

    def _require_record(self, worker_id: str) -> None:
        """Prevent starts on a worker until a write that begins later records it."""
        self._recorded_workers.discard(worker_id)
        if self._is_worker_record_in_doubt:
            self._changed_since_write.add(worker_id)

    def _settle_gone(self, now: float) -> None:
        """Count drained workers as settled that have left without an answer.

        Once every lease has expired, nothing more is to be learned from them.
        """
        for worker_id in tuple(self._unsettled_workers):
            view = self.worker_by_id.get(worker_id)
            if view is None or view.is_listed or not view.entry.is_draining:
                continue
            settled_at = self._settles_at(worker_id)
            if now >= settled_at and self.confirmation.covers(settled_at):
                logger.info("worker %s: drained, every lease has expired", worker_id)
                self._unsettled_workers.discard(worker_id)

    def on_earlier_owner_stopped(self, earlier_unsettled_s: float, now: float) -> None:
        """Shorten the wait for runs of the previous owner, which has stopped.

        Runs of owners before it may be unknown for ``earlier_unsettled_s``.
        """
        wait_s = max(
            self.times.takeover_wait_s(owner_is_dead=True), earlier_unsettled_s
        )
        self._settled_at = min(self._settled_at, now + wait_s)

    def lease_left_s_by_worker(self, now: float) -> dict[str, float]:
        """Return for how long runs on each worker may last if no lease is renewed."""
        return {
            worker_id: self._lease_left_s(worker_id, view, now)
            for worker_id, view in self.worker_by_id.items()
        }

    def on_earlier_owners_dated(self, settled_at: float) -> None:
        """Shorten the wait for runs of owners whose last confirmation is now known."""
        self._settled_at = min(self._settled_at, settled_at)

    def give_up_starts(self, now: float) -> None:
        """Take note that the starts under way get no answer any more.

        Call it when this owner has ended. A worker that has restarted since a start was
        decided may still carry it out, with a deadline by its earlier clock.
        """
        for run in self.run_by_task.values():
            view = self.worker_by_id.get(run.worker_id)
            if view is None or run.phase is not RunPhase.STARTING:
                continue
            if run.may_have_been_sent and run.incarnation_ms != view.incarnation_ms:
                view.unanswered_start_at = now
                view.unanswered_deadline_ms = UNKNOWN_DEADLINE_MS
                view.expect_late_start(self.times)

    def granted_lease_left_s(self, now: float) -> float:
        """Return how long the last lease granted under this epoch may last.

        It includes leases that starts without an answer may still be granted.
        """
        views = self.worker_by_id.values()
        return max((view.leases_expire_at() - now for view in views), default=0.0)

    def _lease_left_s(self, worker_id: str, view: WorkerView, now: float) -> float:
        left_s = view.leases_expire_at() - now
        if view.has_ever_answered and (
            view.hold_failed_at is not None
            or any(not run.was_reported for run in view.run_by_task.values())
        ):
            # It may have restarted unnoticed, and granted a lease by its new clock.
            left_s = max(left_s, self.times.takeover_wait_s(owner_is_dead=True))
        if worker_id in self._unsettled_workers:
            left_s = max(left_s, self._settles_at(worker_id) - now)
        return max(0.0, left_s)

    def _may_have_unknown_run(self, task: TaskKey, now: float) -> bool:
        """Return whether an earlier owner may have a run of a task that is unknown.

        A task that was started under this epoch has none. Nor has one that was found
        running long enough: no worker tells its earlier owner of the end any more, and
        what that owner presumes itself, the store must confirm. Nor has one whose move
        to this cell names this epoch: its last owner knew of no run, and an earlier
        owner of this cell that learns of the move learns of the takeover too. If the
        move names an earlier epoch, that owner may have started the task.
        """
        if task not in self._tasks_moved_to_earlier_owner:
            if task.submission_id not in self._inherited_submissions:
                return False
            if task in self._tasks_moved_to_owner or task in self._accounted_tasks:
                return False
        return not self._has_certainly_settled(now)

    def _explain_certainty(self, task: TaskKey) -> str:
        """Return why an inherited task has no other run, or an empty string.

        Empty for a task that no earlier owner may have started unknown to this one.
        """
        if task in self._accounted_tasks:
            return ""
        is_moved_later = task in self._tasks_moved_to_earlier_owner
        if not is_moved_later and task.submission_id not in self._inherited_submissions:
            return ""
        if task in self._tasks_moved_to_owner:
            return "moved here under this epoch"
        if not self._has_earlier_workers:
            return ""
        if self._unsettled_workers:
            return f"leases have ended on {len(self._unsettled_workers)} silent workers"
        return "all workers have answered"

    def _has_certainly_settled(self, now: float) -> bool:
        """Return whether runs of earlier owners had settled at the last confirmation.

        A later owner may renew the leases of those that haven't.
        """
        if not self.has_settled(now):
            return False
        return all(
            self.confirmation.covers(self._settles_at(worker_id))
            for worker_id in self._unsettled_workers
        )

    def _explain_doubt(self, task: TaskKey, now: float) -> str:
        """Return why a task may run where this owner doesn't know, or an empty string.

        Without a newer confirmation a later owner may have started the task: after the
        end of a run that this owner only presumes, or of a submission received since.
        """
        if self._may_have_unknown_run(task, now):
            return "runs of earlier owner unknown"
        ended_at = self._presumed_end_by_task.get(task)
        if ended_at is not None and not self.confirmation.covers(ended_at):
            return "ownership not confirmed since its run was lost"
        received_at = self.submissions.by_id[task.submission_id].received_at
        if not self.confirmation.covers(received_at - MAX_RECEIPT_AFTER_CONFIRMATION_S):
            return "ownership not confirmed since it was received"
        return ""

    def _apply_target_epoch(self, task: TaskKey, move: TaskMove) -> None:
        """Take note that a move names this owner's epoch; end at a later one.

        A later one proves a takeover that this owner may learn of from its own row only
        after the new owner has started the task.
        """
        if self._accepted_move_by_task.get(task) == move:
            return
        self._forget_target_epoch(task)
        self._accepted_move_by_task[task] = move
        if move.target_epoch == self.epoch:
            self._tasks_moved_to_owner.add(task)
        elif move.target_epoch < self.epoch:
            self._tasks_moved_to_earlier_owner.add(task)
        elif not self.is_fenced_out:
            logger.warning(
                "cell %s: task %s was moved here under epoch %d, this owner is fenced",
                self.cell_id,
                task,
                move.target_epoch,
            )
            self.is_fenced_out = True

    def _forget_target_epoch(self, task: TaskKey) -> None:
        self._tasks_moved_to_owner.discard(task)
        self._tasks_moved_to_earlier_owner.discard(task)
        self._accepted_move_by_task.pop(task, None)

    def _observe_rates(self, now: float) -> None:
        """Measure the processors that fillers and ordinary tasks get."""
        if self.estimator is None:
            return
        views = [view for view in self.worker_by_id.values() if view.can_start(now)]
        waiting = list(self.submissions.iter_ready())
        self.estimator.observe(views, waiting, now, self._cores_to_yield(views, now))
        self.estimator.keep_only(self.submissions.live_by_id)
        self.preemption.keep_only(self.submissions.live_by_id)

    def _cores_to_yield(self, views: list[WorkerView], now: float) -> float:
        """Return the processors that long-running tasks can yield to short ones."""
        n_allowed = self.preemption.n_allowed(views, now)
        demands = [
            run.step.allocation.cpu_millis
            for view in views
            for run in view.run_by_task.values()
            if run.step.is_long_running and run.step.max_unavailable is None
        ]
        if not demands or n_allowed <= 0:
            return 0.0
        return n_allowed * sum(demands) / len(demands) / 1000

    def _learn_done(
        self, tracked: TrackedSubmission, task: TaskKey, now: float
    ) -> None:
        """Learn from a task that is done here for the first time."""
        if self.estimator is None or tracked.progress.is_done(task):
            return
        is_late = self.finish_order.is_late(task.submission_id)
        self.estimator.on_done(tracked, task, is_late, now)

    def _longest_lease_s(self, now: float) -> float:
        """Return how long a lease may last for its runs to have stopped in time."""
        return self.confirmation.leases_end_by - now - RUN_STOP_MS / 1000

    def are_leases_capped(self, now: float) -> bool:
        """Return whether leases are shorter than usual for want of a confirmation."""
        return self._longest_lease_s(now) < self.times.worker_lease_s

    def lease_until_ms(self, view: WorkerView, now: float) -> int:
        """Return the lease end to request, and count the lease as possibly granted."""
        worker_id = view.entry.worker_id
        usual_s = self.times.lease_s(view.entry.is_draining)
        lease_s = max(0.0, min(usual_s, self._longest_lease_s(now)))
        until_ms = view.clock.earliest_ms(now) + int(lease_s * 1000)
        until_ms = self._drain_limits.cap(worker_id, until_ms)
        stop_ms = RUN_STOP_MS if view.entry.is_draining else 0
        view.clock.extend_lease(until_ms + stop_ms)
        return until_ms

    def _stop_duplicate_run(self, task: TaskKey, now: float) -> None:
        run = self.run_by_task.get(task)
        if run is not None:
            self._stop(run, now)

    def _on_rejected_start(self, run: Run, result: OrderResult, now: float) -> None:
        view = self.worker_by_id.get(run.worker_id)
        if view is not None:
            if result is OrderResult.BAD_TICKET:
                self.advice.drop_ticket(run.task, run.worker_id)
            elif result is OrderResult.NO_ROOM:
                view.avoid_until = max(view.avoid_until, now + NO_CAPACITY_COOLDOWN_S)
            elif result not in UNRELATED_TO_WORKER:
                view.avoid_until = max(view.avoid_until, now + REJECTION_COOLDOWN_S)
        self.crashes.on_survival((run,))
        self._mark_lost(run, result.value, now, ended_by=NEVER_RAN)

    def _mark_lost(
        self,
        run: Run,
        reason: str,
        now: float,
        *,
        may_have_crashed: bool = False,
        ended_by: float | None = None,
    ) -> None:
        """Remove a run that has ended and enqueue its task again.

        Unless its worker may have crashed during it, the run crashed no worker. It had
        ended by ``ended_by``, or now: if a later owner knew it by then, it may have
        ended otherwise and be recorded.
        """
        logger.info(
            "run lost: task %s run %d on %s: %s (%s for %.1f s, reported: %s)",
            run.task,
            run.number,
            run.worker_id,
            reason,
            run.phase.value,
            now - run.phase_since,
            run.was_reported,
        )
        self._remove_run(run, now)
        self._presumed_end_by_task[run.task] = now if ended_by is None else ended_by
        tracked = self.submissions.by_id.get(run.task.submission_id)
        if tracked is None:
            return
        if not may_have_crashed and tracked.is_crash_presumed(run.task, run.number):
            tracked.drop_presumption(run.task)
        tracked.set_checkpoint(run.task, run.checkpoint)
        tracked.requeue(run.task)
        if run.step.is_gang:
            self._stop_gang_run(run.task, run.number, now)

    def _stop_gang_run(self, task: TaskKey, number: int, now: float) -> None:
        """Stop the other members of a gang's run, which can't continue incomplete."""
        for run in tuple(self.run_by_task.values()):
            if run.task[:3] == task[:3] and run.number <= number:
                self._stop(run, now)

    def _end_incarnation(
        self, view: WorkerView, reason: str, now: float, ended_by: float | None = None
    ) -> None:
        """Mark the runs of an ended incarnation as lost and reset the worker's state.

        A run that was never in a report may have started in the next incarnation
        already, so it becomes unconfirmed instead. The incarnation had ended by
        ``ended_by``, or now. Does nothing if it has ended already: the leases that it
        granted must be able to expire.
        """
        if not view.incarnation_ms:
            return
        logger.info("worker %s: incarnation ended: %s", view.entry.worker_id, reason)
        was_crashed_by_task = self._count_crash(view, now)
        if self.uneven_workers is not None:
            if was_crashed_by_task:
                self.uneven_workers.on_outage_explained(view)
            else:
                self.uneven_workers.on_outage(view, now, has_restarted=True)
        for run in tuple(view.run_by_task.values()):
            if run.was_reported:
                self._mark_lost(
                    run, reason, now, may_have_crashed=True, ended_by=ended_by
                )
            elif run.phase is not RunPhase.STARTING:
                logger.info(
                    "run unconfirmed: task %s run %d on %s: %s, it was %s for %.1f s",
                    run.task,
                    run.number,
                    run.worker_id,
                    reason,
                    run.phase.value,
                    now - run.phase_since,
                )
                run.phase = RunPhase.UNCONFIRMED
                run.phase_since = now
        view.clock.assume_longest_lease(now, self.times.max_lease_s)
        view.expect_late_start(self.times)
        if self._drain_limits.on_incarnation_ended(view.entry.worker_id):
            self._require_record(view.entry.worker_id)
        view.incarnation_ms = 0
        view.has_seen_epoch = False
        view.handled_number = 0
        view.acked_number = 0
        view.deferred_end_by_number.clear()
        view.unreadable_ends.clear()
        view.forget_unknown_runs()
        view.used_by_unwanted = TaskDemand()
        view.expired_runs.clear()

    def _count_crash(self, view: WorkerView, now: float) -> bool:
        """Count the crash of a worker; one that is leaving isn't taken for crashed.

        Starts that wait for a connection didn't reach it, and won't: they aren't
        counted. Return whether a task crashed it that may have crashed one before.
        """
        sent = (run for run in view.run_by_task.values() if not run.is_unsent)
        runs = [*sent, *view.expired_runs]
        was_crashed_by_task = False
        if view.is_leaving:
            self.crashes.on_survival(runs)
        else:
            was_crashed_by_task = self.crashes.on_crash(view, runs)
        self._stop_runs_of_failed(runs, now)
        return was_crashed_by_task

    def _stop_runs_of_failed(self, runs: list[Run], now: float) -> None:
        """Stop the other runs of submissions that have ended because of crashes."""
        for submission_id in {run.task.submission_id for run in runs}:
            tracked = self.submissions.by_id.get(submission_id)
            if tracked is not None and tracked.is_over:
                self._stop_runs_of(submission_id, now)

    def _expire_leases(self, now: float) -> None:
        for view in self.worker_by_id.values():
            expires_at = view.leases_expire_at()
            # A later owner may have renewed the lease.
            if (
                (view.run_by_task or view.unknown_run_by_task)
                and now > expires_at
                and self.confirmation.covers(expires_at)
            ):
                logger.info(
                    "worker %s: lease expired, answered %.1f s ago with clock %d, "
                    "lease until %d",
                    view.entry.worker_id,
                    now - view.clock.answered_at,
                    view.clock.clock_ms,
                    view.clock.lease_until_ms,
                )
                view.forget_unknown_runs()
                runs = list(view.run_by_task.values())
                if view.is_leaving:
                    self.crashes.on_survival(runs)
                else:
                    self.crashes.on_silence(view, runs)
                view.expired_runs += runs
                for run in runs:
                    self._mark_lost(
                        run,
                        "lease expired",
                        now,
                        may_have_crashed=True,
                        ended_by=expires_at,
                    )
                self._stop_runs_of_failed(runs, now)

    def _refresh_conditions(self, now: float) -> None:
        """Update what is known of uneven workers, if it is to be learned."""
        if self.uneven_workers is not None:
            self.uneven_workers.refresh(
                self.worker_by_id, self.submissions.queue_name_of, now
            )

    def _limit_interference(self, now: float) -> None:
        """Pace or stop fillers that disturb serving tasks."""
        for view in self.worker_by_id.values():
            view.is_recovering = must_stop_all_fillers(view, now)
            stops = choose_fillers_to_stop(view, self.interference, now)
            if stops:
                view.fillers_stopped_at = now
            if view.clock.answered_at > view.paced_at:
                view.paced_at = now
                plan = plan_paces(view, self.interference)
                stops += [run for run in plan.stops if run not in stops]
                for change in plan.changes:
                    self._set_pace(change.run, change.percent)
            for run in stops:
                logger.info(
                    "filler stopped: task %s image %s on %s",
                    run.task,
                    run.step.image,
                    run.worker_id,
                )
                self._stop(run, now)

    def _set_pace(self, run: Run, percent: int) -> None:
        logger.info(
            "filler paced: task %s image %s on %s to %d percent",
            run.task,
            run.step.image,
            run.worker_id,
            percent,
        )
        run.pace = percent
        self._enqueue_order(
            run.worker_id, PaceOrder(run.task, run.number, percent, self.epoch)
        )

    def _add_run(self, tracked: TrackedSubmission, run: Run) -> None:
        tracked.raise_run_floor(run.task, run.number)
        tracked.remove_waiting(run.task)
        if self.preemption is not None:
            self.preemption.on_start(run.task)
        self._presumed_end_by_task.pop(run.task, None)
        if not run.is_adopted:
            run.certainty = self._explain_certainty(run.task)
            self._accounted_tasks.add(run.task)
            self._tasks_moved_to_earlier_owner.discard(run.task)
        if run.task.submission_id in self._inherited_submissions:
            self._tasks_with_known_run.add(run.task)
        self.run_by_task[run.task] = run
        self.worker_by_id[run.worker_id].add_run(run)
        if self.estimator is not None:
            self.estimator.on_run_added(run)

    def _remove_run(self, run: Run, now: float) -> None:
        if self.run_by_task.get(run.task) is run:
            del self.run_by_task[run.task]
            if self.estimator is not None:
                self.estimator.on_run_removed(run, now)
        view = self.worker_by_id.get(run.worker_id)
        if view is not None:
            view.remove_run(run, now)

    def _stop_runs_of(self, submission_id: str, now: float) -> None:
        for run in tuple(self.run_by_task.values()):
            if run.task.submission_id == submission_id:
                self._stop(run, now)

    def _stop(self, run: Run, now: float) -> None:
        if run.phase is not RunPhase.STOPPING:
            run.phase = RunPhase.STOPPING
            run.phase_since = now
        if run.stop_sent_at is None:
            run.stop_sent_at = now
            self._enqueue_order(
                run.worker_id, StopOrder(run.task, run.number, self.epoch)
            )

    def _retry_stops(self, now: float) -> None:
        for run in self.run_by_task.values():
            if run.phase is not RunPhase.STOPPING or run.stop_answered_at is not None:
                continue
            if run.stop_sent_at is None or now - run.stop_sent_at > STOP_RETRY_S:
                run.stop_sent_at = None
                self._stop(run, now)

    def _enqueue_order(
        self, worker_id: str, order: StartOrder | StopOrder | PaceOrder
    ) -> None:
        self._orders.append(WorkerOrder(worker_id, order))

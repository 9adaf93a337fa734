"""Moves of a cell's tasks to other cells, and their ends."""

import logging
from collections.abc import Mapping

from berylcleat.model import TaskDemand, TaskKey
from berylcleat.ports import (
    EndedTask,
)

from ._cell_starvation import CellStarvation
from ._moves import (
    USABLE_HEADROOM_SHARE,
    CellHeadroom,
    FillerHeadroom,
    HeadroomReservations,
    MovedTaskEnd,
    MoveProposal,
    TaskMove,
    is_stuck,
    make_move,
)
from ._placement import can_ever_hold
from ._spill import LAST_RESORT_STUCK_S, MOVE_S
from ._submissions import ReadyStep, TrackedSubmission
from ._workers import WorkerView

# Seconds between two rounds in which stuck steps move, where others move at once.
STUCK_PERIOD_S = 0.25
logger = logging.getLogger(__name__)


class CellMoves(CellStarvation):
    """Tasks that move between cells; each is assigned to one cell at a time."""

    def update_moves(
        self, submission_id: str, move_by_task: Mapping[TaskKey, TaskMove], now: float
    ) -> None:
        """Apply the recorded moves of a submission's tasks."""
        tracked = self.submissions.by_id.get(submission_id)
        if tracked is None:
            return
        for task, move in move_by_task.items():
            if move.cell_id == self.cell_id:
                self._accept_moved_task(tracked, task, move, now)
            else:
                self._release_moved_task(tracked, task, now)
        self._process_deferred_reports(submission_id, now)

    def _accept_moved_task(
        self, tracked: TrackedSubmission, task: TaskKey, move: TaskMove, now: float
    ) -> None:
        tracked.apply_move(
            task, move.run_floor, move.failed_runs, move.crashed_runs, move.checkpoint
        )
        self._apply_target_epoch(task, move)
        was_assigned_here = tracked.runs_here(task)
        if not was_assigned_here:
            tracked.moved_at_by_task[task] = now
            tracked.note_idle_before(move.idle_ms / 1000, now)
        tracked.n_moves_by_task[task] = move.n_moves
        tracked.moved_away.discard(task)
        self._availability.on_moved_here(task)
        tracked.moved_here.add(task)
        self.submissions.revive(tracked)
        if not was_assigned_here and task not in self.run_by_task:
            tracked.requeue(task)

    def _release_moved_task(
        self, tracked: TrackedSubmission, task: TaskKey, now: float
    ) -> None:
        tracked.moved_here.discard(task)
        self._forget_target_epoch(task)
        if tracked.is_home:
            step = tracked.submission.steps[task.step]
            if step.is_long_running and task not in tracked.moved_away:
                self._availability.on_moved_away(task, now)
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
        self._share_by_service.clear()
        proposals = []
        taken_cpu_by_cell: dict[str, int] = {}
        if self.spill is not None:
            proposals = self._propose_spills(headrooms, now)
            taken_cpu_by_cell = self.spill.taken_cpu_by_cell(now)
        reservations = HeadroomReservations(
            headrooms, self.interference, taken_cpu_by_cell
        )
        if not self._is_stuck_round(now):
            return proposals
        for ready in self.submissions.ready_steps(now):
            if self._is_stuck(ready, now) and not self._moves_at_once(ready, now):
                move_by_task = self._propose_task_moves(ready, reservations, now)
                if move_by_task:
                    submission_id = ready.tracked.submission.submission_id
                    proposal = MoveProposal(submission_id, move_by_task)
                    logger.info("move proposed: %s", proposal.describe())
                    proposals.append(proposal)
        if self.evacuation is not None and self.evacuation.may_relocate(now):
            self._relocate_from_evacuated(reservations, now)
        elif self._cordoned:
            self._relocate_to_other_cells(reservations, now)
        return proposals

    def _is_stuck_round(self, now: float) -> bool:
        """Return whether stuck steps may move in this round.

        Rounds are more frequent where tasks move at once; the loads that stuck steps
        rely on don't show the moves of the round before.
        """
        if self.spill is not None and now - self._stuck_moved_at < STUCK_PERIOD_S:
            return False
        self._stuck_moved_at = now
        return True

    def _moves_at_once(self, ready: ReadyStep, now: float) -> bool:
        """Return whether the tasks of a step move as soon as none here can start.

        Others move after a wait, as they do without the switch: gangs, tasks that last,
        those whose workers the advice service has yet to name, fillers that count as
        stuck, and what was kept back for long or has no worker left here. An evacuated
        cell keeps none.
        """
        if self.spill is None or ready.stuck_since is None or self._is_evacuated():
            return False
        if self._is_stranded(ready, now):
            return False
        if ready.tracked.submission.queue.advice is not None:
            return False
        if ready.step.fills and is_stuck(ready, now):
            return False
        if now - ready.stuck_since > LAST_RESORT_STUCK_S:
            return False
        return not ready.step.is_gang and not ready.step.is_long_running

    def _propose_spills(
        self, headrooms: tuple[CellHeadroom, ...], now: float
    ) -> list[MoveProposal]:
        """Return moves at once of tasks that can't start here, one for each step."""
        proposals = []
        ending_by_kind = self._ending_cpu(MOVE_S, now)
        freed = self._freed_workers(MOVE_S, now)
        for ready in self.submissions.ready_steps(now):
            if not self._moves_at_once(ready, now):
                continue
            tasks = self._startable_tasks(ready, now)
            cpu_millis = max(1, ready.step.demand.cpu_millis)
            n_staying = min(len(tasks), ending_by_kind[ready.step.fills] // cpu_millis)
            if not ready.step.fills:
                n_staying = min(n_staying, self._count_fitting(ready, freed))
            ending_by_kind[ready.step.fills] -= n_staying * cpu_millis
            tasks = self.spill.choose_tasks(
                ready, tasks, n_staying, now, must_leave=self._starves(ready, now)
            )
            if any(self._give_up_crashing(ready.tracked, task, now) for task in tasks):
                continue
            move_by_task = self._reserve_spills(ready, tasks, headrooms, now)
            if move_by_task:
                submission_id = ready.tracked.submission.submission_id
                proposal = MoveProposal(submission_id, move_by_task, "no-worker")
                logger.info("move proposed: %s", proposal.describe())
                proposals.append(proposal)
        return proposals

    def _reserve_spills(
        self,
        ready: ReadyStep,
        tasks: list[TaskKey],
        headrooms: tuple[CellHeadroom, ...],
        now: float,
    ) -> dict[TaskKey, TaskMove]:
        tracked = ready.tracked
        service = tracked.submission.queue.service
        cell_ids = self.spill.reserve(
            ready.step,
            service,
            len(tasks),
            headrooms,
            self.interference,
            self._wall_ms,
            now,
        )
        if tasks and not cell_ids and self._starves(ready, now):
            taken = self.spill.taken_cpu_by_cell(now)
            reservations = HeadroomReservations(headrooms, self.interference, taken)
            cell_ids = self.spill.reserve_slot(ready.step, service, reservations, now)
        move_by_task = {
            task: self._make_move(tracked, task, cell_id, now, counts=True)
            for task, cell_id in zip(tasks, cell_ids, strict=False)
        }
        self._tasks_with_pending_move.update(move_by_task)
        return move_by_task

    def _ending_cpu(self, within_s: float, now: float) -> dict[bool, int]:
        """Return the processor time that ending fillers and ordinary tasks free."""
        ending_by_kind = {False: 0, True: 0}
        for run in self.run_by_task.values():
            if self.estimator.is_ending(run, within_s, now):
                ending_by_kind[run.step.fills] += run.step.demand.cpu_millis
        return ending_by_kind

    def _freed_workers(
        self, within_s: float, now: float
    ) -> list[tuple[WorkerView, TaskDemand]]:
        """Return the workers on which runs are ending, with what is free after that."""
        freed = []
        for view in self.worker_by_id.values():
            ending = [
                run.step.allocation
                for run in view.run_by_task.values()
                if not run.step.fills and self.estimator.is_ending(run, within_s, now)
            ]
            if ending:
                freed.append((view, sum(ending, view.free())))
        return freed

    def _count_fitting(
        self, ready: ReadyStep, freed: list[tuple[WorkerView, TaskDemand]]
    ) -> int:
        """Return how many tasks of a step the workers hold once runs have ended."""
        service = ready.tracked.submission.queue.service
        cpu_millis = max(1, ready.step.allocation.cpu_millis)
        return sum(
            free.cpu_millis // cpu_millis
            for view, free in freed
            if can_ever_hold(ready.step, service, view.entry)
            and ready.step.allocation.fits_in(free)
        )

    def _propose_task_moves(
        self, ready: ReadyStep, reservations: HeadroomReservations, now: float
    ) -> dict[TaskKey, TaskMove]:
        move_by_task: dict[TaskKey, TaskMove] = {}
        service = ready.tracked.submission.queue.service
        if ready.step.is_gang:
            return self._propose_gang_move(ready, reservations, service, now)
        must_leave = self._must_leave(ready, now)
        for task in self._startable_tasks(ready, now):
            if self._give_up_crashing(ready.tracked, task, now):
                return {}
            if not self._may_move(ready, task, now, must_leave=must_leave):
                continue
            cell_id = self._reserve_headroom(
                ready, reservations, service, now, must_leave=must_leave
            )
            if cell_id is None:
                break
            move_by_task[task] = self._make_move(
                ready.tracked, task, cell_id, now, counts=self._counts_moves(ready)
            )
        self._tasks_with_pending_move.update(move_by_task)
        return move_by_task

    def _make_move(
        self,
        tracked: TrackedSubmission,
        task: TaskKey,
        cell_id: str,
        now: float,
        *,
        counts: bool = False,
    ) -> TaskMove:
        epochs = (h.epoch for h in self._other_headrooms if h.cell_id == cell_id)
        return make_move(
            tracked,
            task,
            cell_id,
            self.epoch,
            now,
            counts=counts,
            target_epoch=next(epochs, 0),
        )

    def _reserve_headroom(
        self,
        ready: ReadyStep,
        reservations: HeadroomReservations,
        service: str,
        now: float,
        *,
        must_leave: bool,
    ) -> str | None:
        """Reserve headroom for a task of a stuck step; return its cell or None.

        Standing tasks are spread, except in an evacuated cell, where only a few move at
        a time. Where the usual share holds none, a slot will do for a standing or a
        starving task, and capacity for a stranded one, whatever its kind. Fillers that
        can't stay go beside images that they may disturb; where nothing can start them
        in time, they join the fillers that wait elsewhere.
        """
        step = ready.step
        is_standing = step.is_long_running and not step.fills
        is_stranded = self._is_stranded(ready, now)
        if self.spill is not None and is_standing and not self._is_evacuated():
            return self.spill.reserve_standing(
                step,
                service,
                reservations,
                self._wall_ms,
                now,
                is_stranded=is_stranded,
            )
        cell_id = reservations.reserve(step, service)
        takes_any_room = is_standing or must_leave
        if cell_id is None and step.fills and (must_leave or self._is_evacuated()):
            cell_id = reservations.reserve_beside_any(
                step, service, shares_cpu=must_leave
            )
        elif cell_id is None and takes_any_room and not self._is_evacuated():
            cell_id = reservations.reserve_slot(step, service)
        if cell_id is None and is_stranded:
            cell_id = reservations.reserve_capacity(step, service)
        return cell_id

    def _propose_gang_move(
        self,
        ready: ReadyStep,
        reservations: HeadroomReservations,
        service: str,
        now: float,
    ) -> dict[TaskKey, TaskMove]:
        if not self._is_whole_gang_startable(ready, now):
            return {}
        # The whole of another cell will do where no rack here can ever hold it, and
        # after a while, if others leave much of the service free.
        needs_all = self._exceeds_racks_here(ready) or self._starves(ready, now)
        share = 1.0 if needs_all else USABLE_HEADROOM_SHARE
        cell_id = reservations.reserve_gang(ready.step, service, share)
        if cell_id is None and self._is_stranded(ready, now):
            cell_id = reservations.reserve_gang_capacity(ready.step, service)
        if cell_id is None:
            return {}
        tasks = self._startable_tasks(ready, now)
        self._tasks_with_pending_move.update(tasks)
        return {
            task: self._make_move(ready.tracked, task, cell_id, now) for task in tasks
        }

    def waiting_cpu(self) -> int:
        """Return the processor time that waiting tasks would reserve.

        The unit is a thousandth of a core; fillers reserve none. What is kept for tasks
        that are about to start isn't free any more, so it doesn't count here.
        """
        return sum(map(self._waiting_cpu_of, self.submissions.iter_ready()))

    def _waiting_cpu_of(self, ready: ReadyStep) -> int:
        cpu_millis = ready.step.allocation.cpu_millis
        if not self._keeper_by_task:
            return len(ready.waiting) * cpu_millis
        n_kept = sum(ready.task(i) in self._keeper_by_task for i in ready.waiting)
        return (len(ready.waiting) - n_kept) * cpu_millis

    def stuck_cpu(self, now: float) -> int:
        """Return the part of ``waiting_cpu`` that belongs to stuck steps.

        It can't start on this cell's workers, so it doesn't use up their capacity.
        """
        return sum(
            self._waiting_cpu_of(ready)
            for ready in self.submissions.iter_ready()
            if self._is_stuck(ready, now)
        )

    def filler_headrooms(self) -> tuple[FillerHeadroom, ...]:
        """Return the processor time left for fillers, by set of serving images.

        Workers that may not start anything count as none.
        """
        left_by_images: dict[tuple[str, ...], int] = {}
        for view in self.worker_by_id.values():
            if view.explain_out_of_use() or view.is_overcommitted:
                continue
            if view.is_recovering:
                continue
            images = tuple(sorted(view.serving_images()))
            left = left_by_images.get(images, 0)
            own_left = int(max(0, view.cpu_left()) * view.effective_share())
            left_by_images[images] = left + own_left
        return tuple(
            FillerHeadroom(images, left) for images, left in left_by_images.items()
        )

    def on_move_settled(self, proposal: MoveProposal, now: float) -> None:
        """Clear the pending moves of a proposal that was applied or rejected.

        Call it after ``update_moves``. Tasks still assigned to this cell, or moved back
        to it, may start here again.
        """
        self._tasks_with_pending_move.difference_update(proposal.move_by_task)
        tracked = self.submissions.by_id.get(proposal.submission_id)
        if self.spill is not None and tracked is not None:
            tasks = proposal.move_by_task
            self.spill.on_settled([t for t in tasks if tracked.runs_here(t)], now)
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

"""The owner's decisions on one cell: state and event in, orders out.

Fencing tokens after Kleppmann, How to do distributed locking, 2016.
"""

import logging
from collections.abc import Mapping
from dataclasses import dataclass

from berylcleat.model import Submission, SubmissionState, TaskKey
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

from ._advice import AdviceBook
from ._book import ReadyStep, SubmissionBook, TrackedSubmission
from ._guard import choose_stops
from ._interference import PairTable
from ._leases import LeaseTimes, WorkerClock
from ._moves import (
    CellRoom,
    FillerRoom,
    GuestEnd,
    MoveProposal,
    RoomBook,
    TaskMove,
    is_stuck,
    make_move,
)
from ._placement import choose_forced_worker, choose_worker, explain_rejection
from ._pressure import LoadBook, plan_paces
from ._progress import Progress, encode_progress
from ._workers import FORCED_OPEN_S, Run, RunPhase, WorkerView

# Pause after a worker had no room although our books said so.
NO_ROOM_PAUSE_S = 0.3
UNHEALTHY_PAUSE_S = 1.0
STOP_RETRY_S = 0.5
# A run of a submission that stays unknown for so long is stopped.
UNKNOWN_S = 5.0
# After a takeover the earlier owner may still be given submissions for so long.
HANDOVER_S = 5.0
# A filler that fits nowhere is run where it does least harm after this wait, for less
# than the platform allows a task to be over its target, with a pause in between: but
# only while less than this share of the service's processors is reserved. The platform
# asks that waiting work runs within 3 s while under half is.
STARVING_S = 1.5
FORCED_BELOW_USE = 0.6
# Tasks of one step that one turn of forced fillers takes at most.
MAX_FORCED = 6
# Tasks that are moved off leaving workers at a time.
MAX_MOVING = 3
# Readings tell of the last half second: more often, the same one would count twice.
LEARN_PERIOD_S = 0.45
# A report lists at most this many ends.
ENDS_IN_REPORT = 500
logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class WorkerOrder:
    """Hold an order and the worker that it goes to."""

    worker_id: str
    order: StartOrder | StopOrder | PaceOrder


@dataclass(frozen=True, slots=True)
class ProgressWrite:
    """Hold the progress of one submission to be recorded."""

    submission_id: str
    value: bytes
    is_final: bool


@dataclass(frozen=True, slots=True)
class RecordBatch:
    """Hold what to record, and the ends that may be acknowledged after it."""

    writes: tuple[ProgressWrite, ...]
    ack_by_worker: dict[str, tuple[int, int]]


class Cell:
    """Decide for one cell under one epoch; times are seconds on one clock.

    ``settled_at`` is when runs that an earlier owner may have started on workers
    that have not answered since have ended for certain.
    """

    def __init__(
        self,
        cell_id: str,
        epoch: int,
        times: LeaseTimes,
        began_at: float,
        settled_at: float,
        earlier_workers: tuple[WorkerEntry, ...],
        pairs: PairTable,
    ):
        self.cell_id = cell_id
        self.epoch = epoch
        self.times = times
        self.book = SubmissionBook()
        self.pairs = pairs
        self.loads = LoadBook()
        self.advice = AdviceBook()
        self.worker_by_id: dict[str, WorkerView] = {}
        self.run_by_task: dict[TaskKey, Run] = {}
        self.is_fenced_out = False
        self._began_at = began_at
        self._settled_at = settled_at
        self._unsettled = {entry.worker_id for entry in earlier_workers}
        self._recorded = set(self._unsettled)
        self._inherited: set[str] = set()
        self._orders: list[WorkerOrder] = []
        self._withheld: set[TaskKey] = set()
        self._wall_ms = 0.0
        self._rooms: tuple[CellRoom, ...] = ()
        for entry in earlier_workers:
            self.worker_by_id[entry.worker_id] = WorkerView(entry, is_listed=False)

    # Submissions

    def add_submission(
        self,
        submission: Submission,
        progress: Progress,
        accepted_at: float,
        now: float,
        *,
        inherited: bool,
        is_home: bool = True,
    ) -> None:
        """Follow a submission; an ``inherited`` one may have runs we don't know.

        So may one that comes before the earlier owner has surely heard of us.
        """
        if submission.submission_id in self.book.by_id:
            return
        tracked = self.book.add(submission, progress, accepted_at, is_home=is_home)
        tracked.open_steps(self._wall_ms)
        if inherited or now < self._began_at + HANDOVER_S:
            self._inherited.add(submission.submission_id)
        if inherited:
            tracked.has_started = bool(progress.done_by_step)
        self._take_unknown(submission.submission_id, now)

    def _take_unknown(self, submission_id: str, now: float) -> None:
        """Count ends and adopt runs that were reported before their submission."""
        for view in self.worker_by_id.values():
            for number, end in sorted(view.unknown_end_by_number.items()):
                if end.task.submission_id == submission_id:
                    del view.unknown_end_by_number[number]
                    self._on_end(view, end, now)
            for task, running in tuple(view.unknown_run_by_task.items()):
                if task.submission_id == submission_id:
                    del view.unknown_run_by_task[task]
                    self._on_running(view, running, now)

    def cancel(self, submission_id: str, now: float) -> None:
        """Stop all runs of a submission and let none start."""
        tracked = self.book.by_id.get(submission_id)
        if tracked is None or tracked.is_over:
            return
        tracked.cancel()
        self.book.retire(tracked)
        self.loads.forget(submission_id)
        self.advice.forget(submission_id)
        self._stop_runs_of(submission_id, now)

    def update_moves(
        self, submission_id: str, move_by_task: Mapping[TaskKey, TaskMove], now: float
    ) -> None:
        """Take in which tasks of a submission run in which cell."""
        tracked = self.book.by_id.get(submission_id)
        if tracked is None:
            return
        for task, move in move_by_task.items():
            if move.cell_id == self.cell_id:
                self._receive(tracked, task, move)
            else:
                self._hand_away(tracked, task, now)

    def _receive(
        self, tracked: TrackedSubmission, task: TaskKey, move: TaskMove
    ) -> None:
        tracked.note_move(task, move.run_floor, move.failed_runs, move.checkpoint)
        was_ours = tracked.is_ours(task)
        tracked.elsewhere.discard(task)
        tracked.guests.add(task)
        if not was_ours and task not in self.run_by_task:
            tracked.put_back(task)

    def _hand_away(self, tracked: TrackedSubmission, task: TaskKey, now: float) -> None:
        tracked.guests.discard(task)
        if tracked.is_home:
            tracked.elsewhere.add(task)
        tracked.take(task)
        run = self.run_by_task.get(task)
        if run is not None:
            logger.error("task %s was moved while it ran", task)
            self._stop(run, now)

    def propose_moves(
        self, rooms: tuple[CellRoom, ...], now: float
    ) -> list[MoveProposal]:
        """Return stuck tasks that other cells have room for, and withhold them."""
        self._rooms = rooms
        book = RoomBook(rooms, self.pairs)
        proposals = []
        for ready in self.book.ready_steps(now):
            if is_stuck(ready, now) and not self._is_blocked(ready, now):
                move_by_task = self._moves_of(ready, book)
                if move_by_task:
                    submission_id = ready.tracked.submission.submission_id
                    proposals.append(MoveProposal(submission_id, move_by_task))
        return proposals

    def _moves_of(self, ready: ReadyStep, book: RoomBook) -> dict[TaskKey, TaskMove]:
        move_by_task: dict[TaskKey, TaskMove] = {}
        service = ready.tracked.submission.queue.service
        if ready.step.is_gang:
            return self._move_of_gang(ready, book, service)
        for index in sorted(ready.waiting):
            task = ready.task(index)
            if task in self.run_by_task or task in self._withheld:
                continue
            cell_id = book.take(ready.step, service)
            if cell_id is None:
                break
            move_by_task[task] = make_move(ready.tracked, task, cell_id)
        self._withheld.update(move_by_task)
        return move_by_task

    def _move_of_gang(
        self, ready: ReadyStep, book: RoomBook, service: str
    ) -> dict[TaskKey, TaskMove]:
        if not self._waits_whole(ready):
            return {}
        cell_id = book.take_gang(ready.step, service)
        if cell_id is None:
            return {}
        tasks = [ready.task(index) for index in sorted(ready.waiting)]
        self._withheld.update(tasks)
        return {task: make_move(ready.tracked, task, cell_id) for task in tasks}

    def _waits_whole(self, ready: ReadyStep) -> bool:
        """Tell whether no member of a gang runs or is about to move."""
        if len(ready.waiting) < ready.step.n_tasks:
            return False
        tasks = [ready.task(index) for index in ready.waiting]
        return not any(t in self.run_by_task or t in self._withheld for t in tasks)

    def waiting_cpu(self) -> int:
        """Return what waiting tasks would reserve, in thousandths of a core."""
        return sum(
            len(ready.waiting) * ready.step.room.cpu_millis
            for ready in self.book.ready_steps(0.0)
        )

    def stuck_cpu(self, now: float) -> int:
        """Return the part of ``waiting_cpu`` that fits on no worker of the cell."""
        return sum(
            len(ready.waiting) * ready.step.room.cpu_millis
            for ready in self.book.ready_steps(now)
            if is_stuck(ready, now)
        )

    def filler_rooms(self) -> tuple[FillerRoom, ...]:
        """Return what is left for fillers, by the images that serve beside them."""
        left_by_images: dict[tuple[str, ...], int] = {}
        for view in self.worker_by_id.values():
            images = tuple(sorted(view.serving_images()))
            left = left_by_images.get(images, 0)
            left_by_images[images] = left + max(0, view.cpu_left())
        return tuple(
            FillerRoom(images, left) for images, left in left_by_images.items()
        )

    def on_move_settled(self, proposal: MoveProposal) -> None:
        """Withhold no longer what was proposed: its outcome is taken in or refused.

        A task that has meanwhile come back may start here again.
        """
        self._withheld.difference_update(proposal.move_by_task)

    def guest_ends(self) -> dict[str, list[GuestEnd]]:
        """Return recorded ends of guests that their home has not confirmed, by id."""
        ends = {}
        for tracked in self.book.live_by_id.values():
            if tracked.is_home or tracked.is_dirty:
                continue
            unreported = tracked.unreported()
            if unreported:
                ends[tracked.submission.submission_id] = [
                    GuestEnd(task, not tracked.progress.is_done(task))
                    for task in unreported
                ]
        return ends

    def on_guest_ends_confirmed(
        self, submission_id: str, ends: list[GuestEnd], now: float
    ) -> None:
        """Note that the home has recorded the ends of guests."""
        tracked = self.book.by_id[submission_id]
        tracked.reported.update(end.task for end in ends)
        self.book.retire(tracked)

    def on_guest_ends(
        self, submission_id: str, ends: list[GuestEnd], now: float
    ) -> bool:
        """Take in ends told by another cell; return whether they are durable."""
        tracked = self.book.by_id.get(submission_id)
        if tracked is None:
            return False
        for end in ends:
            if end.has_failed and not tracked.is_over:
                tracked.fail()
                self._stop_runs_of(submission_id, now)
            elif not tracked.is_over and not tracked.progress.is_done(end.task):
                tracked.add_done(end.task)
                tracked.open_steps(self._wall_ms)
        return not tracked.is_dirty

    def state_of(self, submission_id: str) -> SubmissionState | None:
        """Return what a client may be told; recorded ends only."""
        tracked = self.book.by_id.get(submission_id)
        if tracked is None:
            return None
        if tracked.progress.final_state and not tracked.is_dirty:
            return tracked.progress.final_state
        if tracked.is_cancelled:
            return SubmissionState.CANCELLED
        started = tracked.has_started
        return SubmissionState.RUNNING if started else SubmissionState.QUEUED

    # Workers

    def list_worker(self, entry: WorkerEntry, now: float) -> None:
        """Note a listed worker, or news of a known one."""
        view = self.worker_by_id.get(entry.worker_id)
        if view is None:
            self.worker_by_id[entry.worker_id] = WorkerView(entry)
            return
        if entry.started_at_ms > view.life_ms and view.life_ms:
            self._end_life(view, "listed again", now)
        view.entry = entry
        view.is_listed = True

    def must_record_workers(self) -> bool:
        """Tell whether the recorded workers are other than those of this cell."""
        return self._recorded != self.worker_by_id.keys()

    def on_workers_recorded(self, worker_ids: frozenset[str]) -> None:
        """Let runs start on workers that the next owner will know of."""
        self._recorded = set(worker_ids)

    def is_settled(self, worker_id: str) -> bool:
        """Tell whether nothing of an earlier owner can be unknown on a worker."""
        return worker_id not in self._unsettled

    def unlist_worker(self, worker_id: str) -> None:
        """Start nothing more on a worker that is no longer listed."""
        view = self.worker_by_id.get(worker_id)
        if view is not None:
            view.is_listed = False

    def on_report(
        self, worker_id: str, report: WorkerReport, asked_at: float, now: float
    ) -> None:
        """Take in a worker's answer to a hold sent at ``asked_at``."""
        view = self.worker_by_id.get(worker_id)
        if view is None:
            return
        if report.started_at_ms != view.life_ms:
            if report.started_at_ms < view.life_ms:
                return
            if view.life_ms:
                self._end_life(view, "started again", now)
            view.life_ms = report.started_at_ms
        view.clock.observe(report.clock_ms, now)
        if not view.is_fenced:
            # An earlier owner may just have renewed what runs here.
            lease_ms = int(self.times.max_lease_s * 1000)
            view.clock.grant(report.clock_ms + lease_ms)
            view.is_fenced = True
            self._unsettled.discard(worker_id)
        for end in report.ended:
            if end.number > view.handled_number:
                self._on_end(view, end, now)
        if report.ended:
            view.handled_number = max(view.handled_number, report.ended[-1].number)
        self._match_running(view, report, asked_at, now)
        self.loads.observe(view, now)
        if now - view.learnt_at > LEARN_PERIOD_S:
            view.learnt_at = now
            self.pairs.observe(view.image_uses(now), view.readings())

    def on_other_life(self, worker_id: str, now: float) -> None:
        """Note that another life answers at the worker's address."""
        view = self.worker_by_id.get(worker_id)
        if view is not None:
            self._unsettled.discard(worker_id)
            self._end_life(view, "another life answers", now)
            view.is_listed = False

    def on_refused(self, worker_id: str, now: float) -> None:
        """Note that nothing listens at a worker's address.

        A worker that said it would leave and is no longer listed has left.
        """
        view = self.worker_by_id.get(worker_id)
        if view is None or view.is_listed or not view.entry.is_draining:
            return
        self._unsettled.discard(worker_id)
        self._end_life(view, "has left", now)

    def on_fenced(self, worker_id: str) -> None:
        """Note that a worker has seen a higher epoch: the cell has a new owner."""
        logger.warning("cell %s: %s saw a newer epoch", self.cell_id, worker_id)
        self.is_fenced_out = True

    def on_start_answer(
        self, worker_id: str, order: StartOrder, answer: OrderAnswer, now: float
    ) -> None:
        """Take in the answer to a start."""
        run = self.run_by_task.get(order.task)
        if run is None or run.number != order.run:
            return
        result = answer.result
        if result is OrderResult.ACCEPTED:
            if run.phase in (RunPhase.STARTING, RunPhase.UNSURE):
                run.phase = RunPhase.RUNNING
                run.phase_since = now
        elif result is OrderResult.NO_ANSWER:
            if run.phase is RunPhase.STARTING:
                run.phase = RunPhase.UNSURE
                run.phase_since = now
        elif result is OrderResult.FENCED:
            self._drop_run(run, now)
            self.on_fenced(worker_id)
        elif run.phase is not RunPhase.RUNNING:
            self._on_rejected_start(run, result, now)

    def on_stop_answer(
        self, worker_id: str, order: StopOrder, answer: OrderAnswer, now: float
    ) -> None:
        """Take in the answer to a stop."""
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
        """Take in the answer to a pace; one that wasn't taken is ordered again."""
        run = self.run_by_task.get(order.task)
        if run is None or run.number != order.run or run.pace != order.percent:
            return
        if answer.result is not OrderResult.ACCEPTED:
            run.pace = None

    # Time

    def plan(self, now: float, wall_ms: float) -> list[WorkerOrder]:
        """Return the orders to send now."""
        self._lapse_workers(now)
        self._retry_stops(now)
        self._guard_serving(now)
        self._leave_draining(now)
        self._wall_ms = wall_ms
        self.book.open_scheduled(wall_ms)
        for ready in self.book.ready_steps(now):
            if not self._is_blocked(ready, now):
                self._start_ready(ready, now)
        self._force_starving(now)
        orders, self._orders = self._orders, []
        return orders

    def has_settled(self, now: float) -> bool:
        """Tell whether no run of an earlier owner can be unknown any more."""
        return not self._unsettled or now >= self._settled_at

    def _is_blocked(self, ready: ReadyStep, now: float) -> bool:
        """Tell whether an earlier owner's runs of a step may still be unknown."""
        if self.has_settled(now):
            return False
        return ready.tracked.submission.submission_id in self._inherited

    def explain_waiting(self, ready: ReadyStep, now: float) -> dict[str, int]:
        """Return why the first waiting task of a step doesn't start, by reason."""
        task = ready.task(min(ready.waiting))
        counts: dict[str, int] = {}
        if self._is_blocked(ready, now):
            return {"earlier owner's runs unknown": len(self._unsettled)}
        if task in self._withheld:
            return {"move under way": 1}
        service = ready.tracked.submission.queue.service
        for worker_id, view in self.worker_by_id.items():
            reason = view.explain_unfit(now)
            if worker_id not in self._recorded:
                reason = "not recorded yet"
            reason = reason or explain_rejection(
                task, ready.step, service, view, self.pairs
            )
            counts[reason or "fits"] = counts.get(reason or "fits", 0) + 1
        return counts

    def lease_until_ms(self, view: WorkerView, now: float) -> int:
        """Return the lease to ask for, and note that it may be granted."""
        until_ms = view.clock.earliest_ms(now) + int(self.times.worker_lease_s * 1000)
        view.clock.grant(until_ms)
        return until_ms

    def take_batch(self) -> RecordBatch:
        """Return what is to be recorded now."""
        writes = []
        for tracked in self.book.dirty():
            progress = tracked.progress
            writes.append(
                ProgressWrite(
                    tracked.submission.submission_id,
                    encode_progress(progress),
                    progress.final_state is not None,
                )
            )
        acks = {
            worker_id: (view.life_ms, view.recordable_number())
            for worker_id, view in self.worker_by_id.items()
            if view.recordable_number() > view.acked_number
        }
        return RecordBatch(tuple(writes), acks)

    def on_recorded(self, batch: RecordBatch) -> None:
        """Note that ``batch`` is durable."""
        for write in batch.writes:
            tracked = self.book.by_id.get(write.submission_id)
            if tracked and encode_progress(tracked.progress) == write.value:
                tracked.is_dirty = False
                self.book.retire(tracked)
                if write.is_final:
                    self.advice.forget(write.submission_id)
                    state = tracked.progress.final_state.value
                    logger.info(
                        "submission %s: recorded as %s", write.submission_id, state
                    )
        for worker_id, (life_ms, number) in batch.ack_by_worker.items():
            view = self.worker_by_id.get(worker_id)
            if view is not None and view.life_ms == life_ms:
                view.acked_number = max(view.acked_number, number)

    # Inside

    def _on_end(self, view: WorkerView, end: EndedTask, now: float) -> None:
        run = self.run_by_task.get(end.task)
        is_ours = (
            run is not None
            and run.number == end.run
            and run.worker_id == view.entry.worker_id
        )
        if is_ours:
            self._drop_run(run, now)
        tracked = self.book.by_id.get(end.task.submission_id)
        if tracked is None:
            view.unknown_end_by_number[end.number] = end
            logger.info(
                "end of an unknown submission: task %s run %d on %s",
                end.task,
                end.run,
                view.entry.worker_id,
            )
            return
        logger.info(
            "run ended: task %s run %d on %s: %s",
            end.task,
            end.run,
            view.entry.worker_id,
            end.end.value,
        )
        step = tracked.submission.steps[end.task.step]
        tracked.note_run(end.task, end.run)
        tracked.note_checkpoint(end.task, end.checkpoint)
        if end.end is RunEnd.FAILED:
            view.note_failure(now)
        elif end.end is RunEnd.DONE:
            view.note_success()
        if not step.is_long_running and not tracked.is_over:
            self._count_end(tracked, view, end, now)
        if tracked.progress.final_state is not None:
            self._stop_runs_of(end.task.submission_id, now)
        elif is_ours:
            tracked.put_back(end.task)
            if step.is_gang and end.end is not RunEnd.DONE:
                self._break_gang(end.task, end.run, now)

    def _count_end(
        self, tracked: TrackedSubmission, view: WorkerView, end: EndedTask, now: float
    ) -> None:
        """Count an end that decides about its submission."""
        if end.end is RunEnd.DONE:
            tracked.has_started = True
            tracked.add_done(end.task)
            tracked.open_steps(self._wall_ms)
            if not tracked.submission.steps[end.task.step].is_gang:
                self._stop_extra_run(end.task, now)
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

    def _stop_extra_run(self, task: TaskKey, now: float) -> None:
        run = self.run_by_task.get(task)
        if run is not None:
            self._stop(run, now)

    def _match_running(
        self, view: WorkerView, report: WorkerReport, asked_at: float, now: float
    ) -> None:
        seen = {}
        view.unknown_run_by_task.clear()
        for running in report.running:
            seen[(running.task, running.run)] = running
            if running.task.submission_id in self.book.by_id:
                self._on_running(view, running, now)
            else:
                self._on_unknown(view, running, now)
        if not view.unknown_run_by_task:
            view.unknown_since = None
        for run in tuple(view.run_by_task.values()):
            if (run.task, run.number) not in seen:
                self._on_absent(run, report, asked_at, now)

    def _on_unknown(self, view: WorkerView, running: RunningTask, now: float) -> None:
        """Keep a run until its submission is known; stop it if that takes long."""
        view.unknown_run_by_task[running.task] = running
        if view.unknown_since is None:
            view.unknown_since = now
        if now - view.unknown_since > UNKNOWN_S:
            stop = StopOrder(running.task, running.run, self.epoch)
            self._order(view.entry.worker_id, stop)

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
        run.was_listed = True
        run.percent = running.percent
        run.note_reading(running.reading, now)
        if running.checkpoint:
            run.checkpoint = running.checkpoint
        if run.phase in (RunPhase.STARTING, RunPhase.UNSURE):
            run.phase = RunPhase.RUNNING
            run.phase_since = now

    def _adopt(self, view: WorkerView, running: RunningTask, now: float) -> Run | None:
        """Take over a run that an earlier owner has started, or stop it."""
        task = running.task
        tracked = self.book.by_id.get(task.submission_id)
        wanted = (
            tracked is not None
            and not tracked.is_over
            and task not in self.run_by_task
            and not tracked.progress.is_done(task)
            and tracked.is_ours(task)
            and self._has_step(tracked, task)
        )
        if not wanted:
            self._order(view.entry.worker_id, StopOrder(task, running.run, self.epoch))
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
            was_listed=True,
        )
        tracked.has_started = True
        self._add_run(tracked, run)
        return run

    def _has_step(self, tracked: TrackedSubmission, task: TaskKey) -> bool:
        """Tell whether the task exists; its step may look closed to us.

        The earlier owner may have seen ends of earlier steps that no report has told
        us yet.
        """
        steps = tracked.submission.steps
        if task.step >= len(steps):
            return False
        return task.index < steps[task.step].n_tasks

    def _on_absent(
        self, run: Run, report: WorkerReport, asked_at: float, now: float
    ) -> None:
        if len(report.ended) >= ENDS_IN_REPORT:
            return
        if run.phase is RunPhase.STARTING:
            return
        if run.stop_answered_at is not None:
            if asked_at > run.stop_answered_at:
                self._lose(run, "stopped before it started", now)
            return
        if run.phase is RunPhase.UNSURE and asked_at > run.phase_since:
            self._stop(run, now)
        elif run.phase is RunPhase.RUNNING and asked_at > run.phase_since:
            self._lose(run, "no longer listed", now)

    def _on_rejected_start(self, run: Run, result: OrderResult, now: float) -> None:
        view = self.worker_by_id.get(run.worker_id)
        if view is not None:
            if result is OrderResult.BAD_TICKET:
                self.advice.drop(run.task, run.worker_id)
            elif result is OrderResult.NO_ROOM:
                view.avoid_until = max(view.avoid_until, now + NO_ROOM_PAUSE_S)
            elif result is not OrderResult.OLD_RUN:
                view.avoid_until = max(view.avoid_until, now + UNHEALTHY_PAUSE_S)
        self._lose(run, result.value, now)

    def _lose(self, run: Run, reason: str, now: float) -> None:
        """Forget a run that has ended for certain and let its task start again."""
        logger.info(
            "run lost: task %s run %d on %s: %s",
            run.task,
            run.number,
            run.worker_id,
            reason,
        )
        self._drop_run(run, now)
        tracked = self.book.by_id.get(run.task.submission_id)
        if tracked is None:
            return
        tracked.note_checkpoint(run.task, run.checkpoint)
        tracked.put_back(run.task)
        if run.step.is_gang:
            self._break_gang(run.task, run.number, now)

    def _break_gang(self, task: TaskKey, number: int, now: float) -> None:
        """Stop the other members of a gang's run: they can't go on without this one."""
        for run in tuple(self.run_by_task.values()):
            if run.task[:3] == task[:3] and run.number <= number:
                self._stop(run, now)

    def _end_life(self, view: WorkerView, reason: str, now: float) -> None:
        """Lose the runs of a life that is over.

        A run that no report has listed may have begun in the next life already.
        """
        logger.info("worker %s: life ended: %s", view.entry.worker_id, reason)
        for run in tuple(view.run_by_task.values()):
            if run.was_listed:
                self._lose(run, reason, now)
            elif run.phase is not RunPhase.STARTING:
                run.phase = RunPhase.UNSURE
                run.phase_since = now
        view.clock = WorkerClock()
        view.life_ms = 0
        view.is_fenced = False
        view.handled_number = 0
        view.acked_number = 0
        view.unknown_end_by_number.clear()
        view.unknown_run_by_task.clear()

    def _lapse_workers(self, now: float) -> None:
        for view in self.worker_by_id.values():
            if view.run_by_task and now > view.clock.lapsed_by():
                logger.info("worker %s: lease lapsed", view.entry.worker_id)
                for run in tuple(view.run_by_task.values()):
                    self._lose(run, "lease lapsed", now)

    def _guard_serving(self, now: float) -> None:
        """Pace or stop fillers that disturb what serves beside them."""
        for view in self.worker_by_id.values():
            stops = choose_stops(view, self.pairs, now)
            if stops:
                view.guarded_at = now
            if view.clock.answered_at > view.paced_at:
                view.paced_at = now
                plan = plan_paces(view, self.pairs)
                stops += [run for run in plan.stops if run not in stops]
                for change in plan.changes:
                    self._pace(change.run, change.percent)
            for run in stops:
                logger.info(
                    "filler stopped: task %s image %s on %s",
                    run.task,
                    run.step.image,
                    run.worker_id,
                )
                self._stop(run, now)

    def _pace(self, run: Run, percent: int) -> None:
        logger.info(
            "filler paced: task %s image %s on %s to %d",
            run.task,
            run.step.image,
            run.worker_id,
            percent,
        )
        run.pace = percent
        self._order(run.worker_id, PaceOrder(run.task, run.number, percent, self.epoch))

    def _leave_draining(self, now: float) -> None:
        """Move tasks that last off workers that are about to leave."""
        n_moving = sum(
            run.step.is_long_running and run.phase is RunPhase.STOPPING
            for run in self.run_by_task.values()
        )
        for view in self.worker_by_id.values():
            if not view.entry.is_draining or not view.is_listed:
                continue
            for run in tuple(view.run_by_task.values()):
                if n_moving >= MAX_MOVING:
                    return
                if self._can_move(run, now):
                    n_moving += 1
                    self._stop(run, now)

    def _can_move(self, run: Run, now: float) -> bool:
        if not run.step.is_long_running or run.phase is not RunPhase.RUNNING:
            return False
        tracked = self.book.by_id[run.task.submission_id]
        service = tracked.submission.queue.service
        workers = self._startable(now)
        place = choose_worker(run.task, run.step, service, workers, self.pairs)
        return place is not None

    def _start_gang(self, ready: ReadyStep, now: float) -> None:
        """Start all members of a gang under one run number, or none."""
        if not self._waits_whole(ready):
            return
        tracked = ready.tracked
        tasks = [ready.task(index) for index in sorted(ready.waiting)]
        number = max(tracked.next_run(task, self.epoch) for task in tasks)
        runs: list[Run] = []
        for task in tasks:
            view = self._choose(ready, task, now)
            if view is None:
                break
            runs.append(self._place(tracked, task, view, number, now))
        if len(runs) == len(tasks):
            ready.stuck_since = None
            for run in runs:
                self._send_start(tracked, run, now)
            return
        for run in runs:
            self._drop_run(run, now)
            tracked.put_back(run.task)
        # Putting a task back may have made its step ready anew.
        again = tracked.ready_by_step[(ready.occurrence, ready.number)]
        again.stuck_since = ready.stuck_since if ready.stuck_since is not None else now

    def _start_ready(self, ready: ReadyStep, now: float) -> None:
        if ready.step.is_gang:
            self._start_gang(ready, now)
            return
        for index in sorted(ready.waiting):
            task = ready.task(index)
            if task in self.run_by_task or task in self._withheld:
                continue
            view = self._choose(ready, task, now)
            if view is not None:
                ready.stuck_since = None
                self._start(ready.tracked, task, view, now)
                continue
            if ready.stuck_since is None:
                ready.stuck_since = now
            return

    def _choose(self, ready: ReadyStep, task: TaskKey, now: float) -> WorkerView | None:
        views = self._startable(now)
        queue = ready.tracked.submission.queue
        if queue.advice is None:
            return choose_worker(task, ready.step, queue.service, views, self.pairs)
        allowed = [
            view for view in views if self.advice.ticket_of(task, view, now) is not None
        ]
        chosen = choose_worker(task, ready.step, queue.service, allowed, self.pairs)
        if chosen is None:
            views = [view for view in views if view.entry.service == queue.service]
            self.advice.want(ready, views, now)
        return chosen

    def _force_starving(self, now: float) -> None:
        """Run starving fillers in turn, those that had none for longest first."""
        starving = [
            ready
            for ready in self.book.ready_steps(now)
            if ready.step.fills
            and not ready.step.is_gang
            and ready.tracked.submission.queue.advice is None
            and ready.stuck_since is not None
            and now - ready.stuck_since > STARVING_S
            and not self._is_blocked(ready, now)
            and self._use_of(ready.tracked.submission.queue.service, now)
            < FORCED_BELOW_USE
        ]
        starving.sort(key=lambda ready: ready.tracked.forced_at)
        for ready in starving:
            for index in sorted(ready.waiting)[:MAX_FORCED]:
                task = ready.task(index)
                if task in self.run_by_task or task in self._withheld:
                    continue
                if not self._force(ready, task, now):
                    break

    def _use_of(self, service: str, now: float) -> float:
        """Return the share of a service's processors that is reserved."""
        views = [
            view
            for view in self.worker_by_id.values()
            if view.entry.service == service and view.can_start(now)
        ]
        others = [room for room in self._rooms if room.service == service]
        capacity = sum(view.entry.capacity.cpu_millis for view in views)
        capacity += sum(room.capacity for room in others)
        free = sum(view.free().cpu_millis for view in views)
        free += sum(max(0, room.free) for room in others)
        return 1 - free / capacity if capacity else 1.0

    def _force(self, ready: ReadyStep, task: TaskKey, now: float) -> bool:
        """Run a starving filler for a while where it does least harm, if anywhere."""
        service = ready.tracked.submission.queue.service
        view = choose_forced_worker(
            task, ready.step, service, self._startable(now), self.pairs, now
        )
        if view is None:
            return False
        if view.may_be_forced(now) and now - view.forced_at > FORCED_OPEN_S:
            view.forced_at = now
        logger.info(
            "filler forced: task %s image %s on %s",
            task,
            ready.step.image,
            view.entry.worker_id,
        )
        self._start(ready.tracked, task, view, now)
        ready.tracked.forced_at = now
        self.run_by_task[task].is_forced = True
        return True

    def _startable(self, now: float) -> list[WorkerView]:
        return [
            view
            for worker_id, view in self.worker_by_id.items()
            if worker_id in self._recorded and view.can_start(now)
        ]

    def _start(
        self, tracked: TrackedSubmission, task: TaskKey, view: WorkerView, now: float
    ) -> None:
        number = tracked.next_run(task, self.epoch)
        self._send_start(tracked, self._place(tracked, task, view, number, now), now)

    def _place(
        self,
        tracked: TrackedSubmission,
        task: TaskKey,
        view: WorkerView,
        number: int,
        now: float,
    ) -> Run:
        """Take room for a run on a worker."""
        run = Run(
            task,
            number,
            view.entry.worker_id,
            tracked.submission.steps[task.step],
            RunPhase.STARTING,
            now,
            now,
            checkpoint=tracked.checkpoint_of(task),
        )
        self._add_run(tracked, run)
        return run

    def _send_start(self, tracked: TrackedSubmission, run: Run, now: float) -> None:
        tracked.has_started = True
        view = self.worker_by_id[run.worker_id]
        logger.info(
            "run started: task %s run %d on %s, %d of %d left, %.1f s before due",
            run.task,
            run.number,
            run.worker_id,
            view.cpu_left(),
            view.entry.capacity.cpu_millis,
            tracked.due_at - now,
        )
        order = StartOrder(
            run.task,
            run.number,
            tracked.submission.spec,
            self.lease_until_ms(view, now),
            self.epoch,
            run.checkpoint,
            self.advice.ticket_of(run.task, view, now) or "",
        )
        self._order(run.worker_id, order)

    def _add_run(self, tracked: TrackedSubmission, run: Run) -> None:
        tracked.note_run(run.task, run.number)
        tracked.take(run.task)
        self.run_by_task[run.task] = run
        self.worker_by_id[run.worker_id].add_run(run)

    def _drop_run(self, run: Run, now: float) -> None:
        if self.run_by_task.get(run.task) is run:
            del self.run_by_task[run.task]
        view = self.worker_by_id.get(run.worker_id)
        if view is not None:
            view.drop_run(run, now)

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
            self._order(run.worker_id, StopOrder(run.task, run.number, self.epoch))

    def _retry_stops(self, now: float) -> None:
        for run in self.run_by_task.values():
            if run.phase is not RunPhase.STOPPING or run.stop_answered_at is not None:
                continue
            if run.stop_sent_at is None or now - run.stop_sent_at > STOP_RETRY_S:
                run.stop_sent_at = None
                self._stop(run, now)

    def _order(self, worker_id: str, order: StartOrder | StopOrder | PaceOrder) -> None:
        self._orders.append(WorkerOrder(worker_id, order))

"""Run one owned cell: renew worker leases, send orders, record task ends."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import TypeVar

from berylcleat.model import BerylError, SubmissionState
from berylcleat.ports import (
    RowWrite,
    WorkerEntry,
)
from berylcleat.runtime import cancel_all, report_failure, run_periodically
from berylcleat.scheduling import (
    BacklogMeter,
    CellEvacuation,
    CellScheduler,
    LeaseTimes,
    MovedTaskEnd,
    Progress,
    RecordBatch,
    UnevenWorkers,
)

from ._cell_move_loops import MOVE_PERIOD_S, SPILL_PERIOD_S, CellMoveLoops
from ._cell_summary import log_load, make_summary
from ._clock import now_s, wall_ms
from ._components import Connections, Knowledge
from ._hold_loops import HoldLoops
from ._order_metrics import OrderMetrics
from ._order_sender import OrderSender
from ._peers import TakeoverReply
from ._recorder import UNKNOWN_WORKER, ProgressRecorder
from ._records import (
    CELL_TABLE,
    OWNER_KEY,
    CellSummary,
    OwnerRow,
    encode,
)
from ._submission_directory import SubmissionEntry
from ._task_mover import TaskMover
from ._uneven_metrics import ignore_uneven_workers, observe_uneven_workers
from ._unsettled_log import UnsettledLog
from ._version_times import VersionTimes
from ._waiting_log import WaitingLog

PLAN_PERIOD_S = 0.1
RECORD_BATCH_DELAY_S = 0.08
RECORD_RETRY_S = 0.3
LOAD_LOG_PERIOD_S = 5.0
WAITING_LOG_PERIOD_S = 0.25
# A submission that is received this long after its acceptance may already run under an
# earlier owner, so it is treated as inherited.
LATE_SUBMISSION_MS = 1500
# Pause between two requests to a previous owner that hasn't confirmed its stop.
HANDOVER_RETRY_S = 0.5
# Pause after a read of the owner row that decisions wait for. It doubles after each one
# that the store doesn't answer: refused calls load it, too.
CONFIRM_PERIOD_S = 0.1
MAX_CONFIRM_PERIOD_S = 1.0
Result = TypeVar("Result")
logger = logging.getLogger(__name__)


class CellController:
    """Execute a ``CellScheduler``'s decisions until ownership is released or lost.

    ``scheduler`` is None until ``start`` has loaded the recorded state. Until
    ``settled_at``, in seconds of ``now_s``, runs of earlier owners may be unaccounted
    for. ``has_failed`` is true after an unexpected exception: what the scheduler holds
    may then contradict itself, so the cell must be given up. ``read_confirmed_at``
    returns when the newest read of the cells was sent that showed this owner, or minus
    infinity if one showed another. ``heartbeat_before`` returns when the last heartbeat
    of this host was sent that was stored before a time.
    """

    def __init__(
        self,
        cell_id: str,
        data_centre: str,
        owner: OwnerRow,
        owner_version: int,
        connections: Connections,
        knowledge: Knowledge,
        times: LeaseTimes,
        settled_at: float,
        read_confirmed_at: Callable[[], float],
        mover: TaskMover,
        *,
        expected_finish: bool = False,
        version_times: VersionTimes | None = None,
        heartbeat_before: Callable[[float], float] = lambda at: at,
    ):
        self.cell_id = cell_id
        self.data_centre = data_centre
        self.owner = owner
        self.owner_version = owner_version
        self.scheduler: CellScheduler | None = None
        self.has_failed = False
        self._is_stopped = False
        self._recorder = ProgressRecorder(connections.store, cell_id, owner_version)
        self._directory = knowledge.directory
        self._worker_list = knowledge.workers
        self._times = times
        self._created_at = now_s()
        self._settled_at = settled_at
        self._read_confirmed_at = read_confirmed_at
        self._version_times = version_times or VersionTimes()
        self._heartbeat_before = heartbeat_before
        self._interference = knowledge.interference
        self._operator = knowledge.operator
        self._learns_uneven_workers = knowledge.learns_uneven_workers
        self._late_limit = knowledge.admission_late_limit
        self._backlog_meter: BacklogMeter | None = None
        self._move_loops = CellMoveLoops(
            self,
            mover,
            self._may_act,
            self._spawn,
            SPILL_PERIOD_S if expected_finish else MOVE_PERIOD_S,
        )
        self._expected_finish = expected_finish
        self._advisor = connections.advisor
        # Recorded progress of submissions that this host doesn't know yet.
        self._unmatched_progress_by_id: dict[str, Progress] = {}
        # Set by ``start``.
        self._sender: OrderSender | None = None
        self._hold_loops: HoldLoops | None = None
        self._tasks: set[asyncio.Task] = set()
        self._plan_needed = asyncio.Event()
        self._record_needed = asyncio.Event()
        self._confirmation_needed = asyncio.Event()
        self._order_metrics = OrderMetrics(cell_id)
        self._waiting_log = WaitingLog()
        self._unsettled_log = UnsettledLog(cell_id)

    @property
    def is_inactive(self) -> bool:
        """Return whether task starts and lease renewals are no longer allowed."""
        has_ended = self._is_stopped or self._recorder.has_lost_ownership
        return has_ended or self.has_failed

    # Start and stop

    async def start(self, entry_by_worker: dict[str, WorkerEntry]) -> None:
        """Load the state that earlier owners recorded and start the cell's loops."""
        progress_by_id = await self._recorder.read_progress()
        earlier_workers = await self._recorder.read_workers()
        if self.is_inactive:
            logger.info(
                "cell %s: ownership ended before the cell was started", self.cell_id
            )
            return
        scheduler = CellScheduler(
            self.cell_id,
            self.owner.epoch,
            self._times,
            self._created_at,
            self._settled_at,
            earlier_workers,
            self._interference,
            expected_finish=self._expected_finish,
        )
        scheduler.on_recorded_leases(
            self._recorder.recorded_leases(self.owner.epoch - 1),
            self._version_times.written_by(self._recorder.workers_version, now_s()),
        )
        if self._learns_uneven_workers:
            scheduler.uneven_workers = UnevenWorkers()
            observe_uneven_workers(scheduler)
        now = now_s()
        scheduler.evacuation = self._make_evacuation()
        # An earlier owner's call for a machine may be under way.
        scheduler.awaits_cordon = bool(self._operator.wave_by_id)
        self._unmatched_progress_by_id = progress_by_id
        for entry in self._directory.in_cell(self.cell_id):
            submission = entry.accepted.submission
            entry.drop_odd_epochs(self.cell_id, self.owner.epoch, self.owner_version)
            if not self._is_record_readable(submission.submission_id, entry):
                continue
            progress = progress_by_id.pop(submission.submission_id, Progress())
            age_s = max(0.0, wall_ms() - entry.accepted.accepted_at_ms) / 1000
            scheduler.add_submission(
                submission,
                progress,
                now - age_s,
                now,
                inherited=True,
                is_home=entry.accepted.cell_id == self.cell_id,
                move_by_task=entry.move_by_task,
            )
            if entry.is_cancelled:
                scheduler.cancel(submission.submission_id, now)
        self.scheduler = scheduler
        self._update_confirmation()
        self._hold_loops = hold_loops = HoldLoops(
            scheduler,
            lambda: not self.is_inactive,
            self._is_ownership_confirmed,
            self._wake_loops,
            self._record_needed.set,
        )
        self._sender = OrderSender(
            scheduler,
            hold_loops.client_by_worker,
            self._advisor,
            self._plan_needed.set,
            self._may_act,
        )
        if self._late_limit:
            self._backlog_meter = BacklogMeter(
                scheduler.completed_work, self._arrival_of, self._late_limit
            )
        for worker in earlier_workers:
            if worker != UNKNOWN_WORKER:
                hold_loops.connect(worker)
        if UNKNOWN_WORKER in earlier_workers:
            self._spawn(self._forget_unknown_worker())
        self.update_workers(entry_by_worker)
        self._spawn(self._plan_loop())
        self._spawn(self._record_loop())
        self._spawn(self._confirm_loop())
        self._spawn(run_periodically(LOAD_LOG_PERIOD_S, self._log_load))
        if self._expected_finish:
            self._spawn(run_periodically(WAITING_LOG_PERIOD_S, self._log_waiting))
        self._spawn(self._move_loops.run_moves(self._observe_order))
        self._spawn(self._move_loops.run_stray_ends(self._record_needed.set))
        logger.info(
            "cell %s: epoch %d begins with %d submissions and %d workers, %d recorded",
            self.cell_id,
            self.owner.epoch,
            len(scheduler.submissions.live_by_id),
            len(entry_by_worker),
            len(earlier_workers),
        )

    def complete_handover(
        self,
        reply: TakeoverReply | None,
        confirm_stop: Callable[[], Awaitable[TakeoverReply | None]],
        unsettled_until: float,
        date_lease_ends: Callable[[], Awaitable[float]] | None = None,
    ) -> None:
        """Apply the earlier owners' reply; without one, repeat the question.

        Their heartbeats tell meanwhile by when their leases have ended. Owners that
        aren't known may have runs until ``unsettled_until``.
        """
        if self.is_inactive or self.scheduler is None:
            return
        if reply is None:
            self._spawn(self._handover_loop(confirm_stop, unsettled_until))
            if date_lease_ends is not None:
                self._spawn(self._date_loop(date_lease_ends, unsettled_until))
        elif reply.lease_left_s_by_worker is not None:
            self.scheduler.on_leases_told(reply.lease_left_s_by_worker, now_s())

    async def _handover_loop(
        self,
        confirm_stop: Callable[[], Awaitable[TakeoverReply | None]],
        unsettled_until: float,
    ) -> None:
        """Ask the earlier owners, which may be cut off, until their runs are known."""
        while not self.scheduler.has_settled(now_s()):
            await asyncio.sleep(HANDOVER_RETRY_S)
            self._unsettled_log.update(self.scheduler.unsettled_for_s(now_s()))
            reply = await confirm_stop()
            if reply is None:
                continue
            logger.info("cell %s: the earlier owners have stopped", self.cell_id)
            now = now_s()
            self.scheduler.on_earlier_owner_stopped(
                max(0.0, unsettled_until - now), now
            )
            if reply.lease_left_s_by_worker is not None:
                self.scheduler.on_leases_told(reply.lease_left_s_by_worker, now)
            self._plan_needed.set()
            return

    async def _date_loop(
        self, date_lease_ends: Callable[[], Awaitable[float]], unsettled_until: float
    ) -> None:
        """Learn by when the leases of the earlier owners have ended."""
        while not self.scheduler.has_settled(now_s()):
            try:
                ended_by = await date_lease_ends()
            except BerylError as error:
                logger.info(
                    "cell %s: heartbeats of earlier owners not read: %s",
                    self.cell_id,
                    error,
                )
                await asyncio.sleep(HANDOVER_RETRY_S)
                continue
            logger.info(
                "cell %s: leases of the earlier owners have ended in %.1f s",
                self.cell_id,
                ended_by - now_s(),
            )
            self.scheduler.on_earlier_owners_dated(max(ended_by, unsettled_until))
            return

    async def _forget_unknown_worker(self) -> None:
        """Forget it once all leases of earlier owners have expired."""
        while not self.scheduler.has_settled(now_s()):
            await asyncio.sleep(HANDOVER_RETRY_S)
        self.scheduler.worker_by_id.pop(UNKNOWN_WORKER.worker_id, None)
        self._record_needed.set()

    async def release(self) -> None:
        """Stop all loops and write an owner row without an owner.

        No task is started and no lease renewed after this call. After a failure what
        isn't recorded yet is left out: the workers report it to the next owner.
        """
        self._is_stopped = True
        await self._stop_tasks()
        write = RowWrite(
            CELL_TABLE, self.cell_id, OWNER_KEY, encode(self._released_row())
        )
        batch = RecordBatch((), {})
        if self.scheduler is not None and not self.has_failed:
            batch = self.scheduler.take_batch()
        try:
            if await self._recorder.release(batch, write):
                logger.info("cell %s: released", self.cell_id)
        except BerylError as error:
            logger.warning(
                "cell %s: could not record the release: %s", self.cell_id, error
            )

    def _released_row(self) -> OwnerRow:
        """Return the row without an owner that tells the next one how long to wait.

        Leases that outlast its usual wait are those of starts without an answer. Nobody
        can be asked about them, so no earlier owner is named then.
        """
        unsettled_s = self._unsettled_s()
        earlier_owners = self.owner.earlier_owners if unsettled_s else ()
        lease_left_s = 0.0
        if self.scheduler is not None:
            lease_left_s = self.scheduler.granted_lease_left_s(now_s())
        if lease_left_s > self._times.takeover_wait_s(owner_is_dead=True):
            unsettled_s = max(unsettled_s, lease_left_s)
            earlier_owners = None
        return OwnerRow(
            self.owner.epoch,
            "",
            "",
            unsettled_s,
            earlier_owners=earlier_owners,
            cell_data_centre=self.data_centre,
            lease_left_s_by_worker=self._released_leases(),
        )

    def _released_leases(self) -> dict[str, float] | None:
        """Return what the next owner has to wait for; None if it can't be told.

        Without it the next owner of a cell with lost workers would wait for leases that
        have expired, and so would each one after it.
        """
        return None if self.has_failed else self.lease_left_s_by_worker()

    def lease_left_s_by_worker(self) -> dict[str, float] | None:
        """Return for how long each worker's leases may last; None if unknown."""
        if self.scheduler is None:
            return None
        return self.scheduler.lease_left_s_by_worker(now_s())

    def _unsettled_s(self) -> float:
        """Return the seconds for which earlier owners' runs may be unaccounted for."""
        if self.scheduler is not None and self.scheduler.has_settled(now_s()):
            return 0.0
        return max(0.0, self._settled_at - now_s())

    async def abandon(self) -> None:
        """Stop all loops without writing: another host owns the cell."""
        self._is_stopped = True
        await self._stop_tasks()
        logger.info(
            "cell %s: stopped, ownership under epoch %d is lost",
            self.cell_id,
            self.owner.epoch,
        )

    async def _stop_tasks(self) -> None:
        if self.scheduler is not None and self._learns_uneven_workers:
            ignore_uneven_workers(self.scheduler)
        hold_loops = self._hold_loops
        await cancel_all([*self._tasks, *(hold_loops.tasks() if hold_loops else ())])
        if self.scheduler is not None:
            self.scheduler.give_up_starts(now_s())
        self._order_metrics.clear()
        if hold_loops is not None:
            hold_loops.close()

    # Changes of submissions and workers

    def on_submission(self, submission_id: str, entry: SubmissionEntry) -> None:
        """Add or update a submission of this cell, including its cancellation."""
        if self.scheduler is None or entry.accepted is None:
            return
        if not self._is_record_readable(submission_id, entry):
            return
        entry.drop_odd_epochs(self.cell_id, self.owner.epoch, self.owner_version)
        now = now_s()
        age_ms = wall_ms() - entry.accepted.accepted_at_ms
        # Deadlines count from the acceptance in every cell that orders by them alike.
        age_s = max(0.0, age_ms) / 1000 if self._expected_finish else 0.0
        self.scheduler.add_submission(
            entry.accepted.submission,
            self._unmatched_progress_by_id.pop(submission_id, Progress()),
            now - age_s,
            now,
            inherited=age_ms > LATE_SUBMISSION_MS,
            is_home=entry.accepted.cell_id == self.cell_id,
            move_by_task=entry.move_by_task,
        )
        self.scheduler.update_moves(submission_id, entry.move_by_task, now)
        if entry.is_cancelled:
            self.scheduler.cancel(submission_id, now)
        self._plan_needed.set()

    def _is_record_readable(self, submission_id: str, entry: SubmissionEntry) -> bool:
        """Return whether it is known which tasks of a submission may start here.

        If its moves are unknown, earlier owners may have moved any of its tasks away.
        For one that is tracked that isn't so: since then only this owner moves them.
        """
        if submission_id in self._recorder.unreadable_ids:
            return False
        progress = self._unmatched_progress_by_id.get(submission_id, Progress())
        odd_tasks = progress.find_odd_tasks(entry.accepted.submission)
        if odd_tasks:
            self._recorder.unreadable_ids.add(submission_id)
            logger.error(
                "submission %s: its progress names task %s, which it doesn't have, so "
                "none of its tasks starts",
                submission_id,
                odd_tasks[0],
            )
            return False
        return not entry.are_moves_unknown or self.tracks(submission_id)

    def tracks(self, submission_id: str) -> bool:
        """Return whether the cell tracks a submission."""
        return (
            self.scheduler is not None
            and submission_id in self.scheduler.submissions.by_id
        )

    def update_workers(self, entry_by_worker: dict[str, WorkerEntry]) -> None:
        """Replace the set of workers listed in the cell and connect to new ones."""
        if self.scheduler is None:
            return
        for entry in entry_by_worker.values():
            self.scheduler.list_worker(entry, now_s())
            self._hold_loops.connect(entry)
        for worker_id in self.scheduler.worker_by_id.keys() - entry_by_worker.keys():
            self.scheduler.unlist_worker(worker_id)
        self._wake_loops()

    def learn_data_centre(self, data_centre: str) -> None:
        """Set the cell's data centre, which isn't known while no worker was listed.

        A cell without workers is also acquired when its owner row doesn't name it.
        """
        if self.data_centre or not data_centre:
            return
        self.data_centre = data_centre
        if self.scheduler is not None:
            self.scheduler.evacuation = self._make_evacuation()

    def _make_evacuation(self) -> CellEvacuation | None:
        """Return the evacuation state of the cell's data centre, as known now."""
        evacuation = self._operator.make_cell_evacuation(self.data_centre)
        self._operator.update(evacuation, now_s())
        return evacuation

    def state_of(self, submission_id: str) -> SubmissionState | None:
        """Return the state to report to clients, or None if it isn't known."""
        return self.scheduler.state_of(submission_id) if self.scheduler else None

    def summary(self) -> CellSummary | None:
        """Return the load summary that is published to other hosts."""
        if self.scheduler is None:
            return None
        now = now_s()
        self._operator.update(self.scheduler.evacuation, now)
        return make_summary(self.scheduler, self.data_centre, now, self._backlog_meter)

    def _arrival_of(self, submission_id: str) -> str:
        """Return the data centre where a submission arrived, or ""."""
        entry = self._directory.by_id.get(submission_id)
        if entry is None or entry.accepted is None:
            return ""
        return entry.accepted.arrival_data_centre

    # Loops

    def _wake_loops(self) -> None:
        """Wake the plan loop and the record loop."""
        self._plan_needed.set()
        self._record_needed.set()

    async def _log_load(self) -> None:
        log_load(self.scheduler, now_s())

    # Confirmation by the store

    def _is_ownership_confirmed(self) -> bool:
        """Return whether the store has named this owner recently enough to act."""
        return now_s() < self._limit_at()

    def _limit_at(self) -> float:
        """Return until when this owner may act, and its leases last.

        The time counts from a heartbeat that was stored before the store last named
        this owner: the next owner can read when that was.
        """
        read_at = self._read_confirmed_at()
        if read_at == float("-inf"):
            return read_at
        confirmed_at = max(read_at, self._recorder.confirmed_at)
        return self._heartbeat_before(confirmed_at) + self._times.owner_limit_s

    def _may_act(self) -> bool:
        """Return whether orders and moves may be sent now."""
        return self._is_ownership_confirmed() and not self.is_inactive

    def _update_confirmation(self) -> None:
        confirmed_at = max(self._read_confirmed_at(), self._recorder.confirmed_at)
        self.scheduler.confirmation.confirmed_at = confirmed_at
        self.scheduler.confirmation.leases_end_by = self._limit_at()

    async def _confirm_loop(self) -> None:
        """Read the owner row when decisions wait for a confirmation.

        Of consecutive reads without an answer only the first is logged.
        """
        pause_s = CONFIRM_PERIOD_S
        while not self.is_inactive:
            await self._confirmation_needed.wait()
            self._confirmation_needed.clear()
            try:
                await self._recorder.confirm_ownership()
            except BerylError as error:
                if pause_s == CONFIRM_PERIOD_S:
                    logger.info(
                        "cell %s: ownership not confirmed: %s", self.cell_id, error
                    )
                pause_s = min(2 * pause_s, MAX_CONFIRM_PERIOD_S)
            else:
                pause_s = CONFIRM_PERIOD_S
            self._plan_needed.set()
            await asyncio.sleep(pause_s)

    async def _log_waiting(self) -> None:
        self._waiting_log.update(self.scheduler, now_s())

    # Orders

    async def _plan_loop(self) -> None:
        """Plan and send orders after every change, and periodically."""
        while True:
            try:
                async with asyncio.timeout(PLAN_PERIOD_S):
                    await self._plan_needed.wait()
            except TimeoutError:
                pass
            self._plan_needed.clear()
            if self._may_act():
                self._operator.update(self.scheduler.evacuation, now_s())
                self._update_confirmation()
                self.scheduler.workers_listed_at = self._worker_list.read_confirmed_at()
                self.scheduler.unguarded_services = self._worker_list.unguarded_services
                for worker_order in self.scheduler.plan(now_s(), wall_ms()):
                    self._spawn(self._sender.send(worker_order))
                for request in self.scheduler.advice.take_requests():
                    self._spawn(self._sender.request_advice(request))
                if self.scheduler.crashes.awaits_record:
                    self._record_needed.set()
                if self.scheduler.confirmation.is_awaited:
                    self._confirmation_needed.set()

    # Moves and records

    def _observe_order(self) -> None:
        self._order_metrics.update(self.scheduler)

    def on_moved_task_ends(self, submission_id: str, ends: list[MovedTaskEnd]) -> bool:
        """Apply ends that another cell reported; return whether they are durable."""
        if self.scheduler is None:
            return False
        apply = self.scheduler.on_moved_task_ends
        is_durable = self.attempt(apply, submission_id, ends, now_s())
        self._wake_loops()
        return bool(is_durable)

    async def _record_loop(self) -> None:
        """Record workers and task ends; recorded ends are then acknowledged."""
        while not self.is_inactive:
            await self._record_needed.wait()
            self._record_needed.clear()
            if self.scheduler.must_record_workers():
                if not await self._recorder.record_workers(self.scheduler):
                    await asyncio.sleep(RECORD_RETRY_S)
                    self._record_needed.set()
                    continue
                self._plan_needed.set()
            batch = self.scheduler.take_batch()
            if not any(write.is_final for write in batch.writes):
                await asyncio.sleep(RECORD_BATCH_DELAY_S)
                batch = self.scheduler.take_batch()
            if not batch.writes:
                self.scheduler.on_recorded(batch)
                continue
            try:
                is_recorded = await self._recorder.commit(self.scheduler, batch)
            except BerylError as error:
                logger.warning(
                    "cell %s: could not record task ends: %s", self.cell_id, error
                )
                await asyncio.sleep(RECORD_RETRY_S)
                is_recorded = False
            if not is_recorded:
                self._record_needed.set()
            elif self.scheduler.crashes.awaits_record:
                self.scheduler.crashes.awaits_record = False
                self._plan_needed.set()

    def _spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._on_failure(task.get_coro().__qualname__, task.exception())

    def attempt(self, call: Callable[..., Result], *arguments: object) -> Result | None:
        """Return the result of one of this controller's methods.

        After an unexpected exception this cell alone is given up; the result is None
        from then on.
        """
        if self.has_failed:
            return None
        try:
            return call(*arguments)
        except Exception as error:
            self._on_failure(call.__qualname__, error)
            return None

    def _on_failure(self, name: str, error: BaseException) -> None:
        """Begin to give the cell up; its owner row is released at the next check."""
        report_failure(name, error, f"cell {self.cell_id}")
        self.has_failed = True

"""Drive one owned cell: renew leases, send orders, record ends."""

import asyncio
import logging
from collections.abc import Callable

from berylcleat.model import BerylError, PlatformUnavailableError, SubmissionState
from berylcleat.platform import WorkerClient
from berylcleat.ports import (
    AdviceRequest,
    Advisor,
    HoldOrder,
    OrderResult,
    PaceOrder,
    RowWrite,
    StartOrder,
    StopOrder,
    Store,
    WorkerEntry,
)
from berylcleat.runtime import cancel_all
from berylcleat.scheduling import (
    Cell,
    GuestEnd,
    LeaseTimes,
    PairTable,
    Progress,
    RecordBatch,
    WorkerOrder,
    WorkerView,
)

from ._clock import now_s, wall_ms
from ._directory import Directory, DirectoryEntry
from ._recorder import ProgressRecorder
from ._records import (
    CELL_TABLE,
    OWNER_KEY,
    CellSummary,
    OwnerRow,
    encode,
)
from ._task_carrier import TaskCarrier

# The longest that a hold waits for an end, and so the longest between renewals.
HOLD_WAIT_MS = 1000
HOLD_RETRY_S = 0.25
# Ends that are listed but not yet recorded make a hold return at once.
HOLD_PAUSE_S = 0.1
TICK_S = 0.1
RECORD_PAUSE_S = 0.08
RECORD_RETRY_S = 0.3
LOAD_LOG_S = 5.0
# A submission heard of so long after its acceptance may run under an earlier owner.
LATE_NEWS_MS = 1500
CARRY_PERIOD_S = 0.25
logger = logging.getLogger(__name__)


class CellDriver:
    """Carry out the decisions of a ``Cell`` until it is released or lost."""

    def __init__(
        self,
        cell_id: str,
        data_centre: str,
        owner: OwnerRow,
        owner_version: int,
        store: Store,
        directory: Directory,
        times: LeaseTimes,
        settled_at: float,
        is_confirmed: Callable[[], bool],
        pairs: PairTable,
        carrier: TaskCarrier,
        advisor: Advisor | None = None,
    ):
        self.cell_id = cell_id
        self.data_centre = data_centre
        self.owner = owner
        self.owner_version = owner_version
        self.cell: Cell | None = None
        self._is_stopped = False
        self._recorder = ProgressRecorder(store, cell_id, owner_version)
        self._directory = directory
        self._times = times
        self._began_at = now_s()
        self._settled_at = settled_at
        self._is_confirmed = is_confirmed
        self._pairs = pairs
        self._carrier = carrier
        self._advisor = advisor
        self._early_progress_by_id: dict[str, Progress] = {}
        self._port_by_worker: dict[str, WorkerClient] = {}
        self._task_by_worker: dict[str, asyncio.Task] = {}
        self._tasks: set[asyncio.Task] = set()
        self._wake = asyncio.Event()
        self._dirty = asyncio.Event()

    @property
    def is_lost(self) -> bool:
        """Tell whether nothing may be started or renewed any more."""
        return self._is_stopped or self._recorder.is_lost

    # Life

    async def start(self, entries: dict[str, WorkerEntry]) -> None:
        """Read what earlier owners recorded and begin."""
        progress_by_id = await self._recorder.read_progress()
        earlier_workers = await self._recorder.read_workers()
        if self.is_lost:
            logger.info("cell %s: given up before it began", self.cell_id)
            return
        cell = Cell(
            self.cell_id,
            self.owner.epoch,
            self._times,
            self._began_at,
            self._settled_at,
            earlier_workers,
            self._pairs,
        )
        now = now_s()
        for entry in self._directory.in_cell(self.cell_id):
            submission = entry.accepted.submission
            progress = progress_by_id.pop(submission.submission_id, Progress())
            age_s = max(0.0, wall_ms() - entry.accepted.accepted_at_ms) / 1000
            cell.add_submission(
                submission,
                progress,
                now - age_s,
                now,
                inherited=True,
                is_home=entry.accepted.cell_id == self.cell_id,
            )
            cell.update_moves(submission.submission_id, entry.move_by_task, now)
            if entry.is_cancelled:
                cell.cancel(submission.submission_id, now)
        self._early_progress_by_id = progress_by_id
        self.cell = cell
        for worker in earlier_workers:
            self._open_worker(worker)
        self.update_workers(entries)
        self._spawn(self._pump())
        self._spawn(self._record())
        self._spawn(self._report_load())
        self._spawn(self._carry())
        logger.info(
            "cell %s: epoch %d begins with %d submissions and %d workers",
            self.cell_id,
            self.owner.epoch,
            len(cell.book.live_by_id),
            len(entries),
        )

    async def release(self) -> None:
        """Give the cell up: nothing is started or renewed from now on."""
        self._is_stopped = True
        await self._stop_tasks()
        row = OwnerRow(self.owner.epoch, "", "", self._unsettled_s())
        write = RowWrite(CELL_TABLE, self.cell_id, OWNER_KEY, encode(row))
        batch = self.cell.take_batch() if self.cell else RecordBatch((), {})
        try:
            await self._recorder.commit(self.cell, batch, (write,))
            logger.info("cell %s: released", self.cell_id)
        except BerylError as error:
            logger.warning("cell %s: release not recorded: %s", self.cell_id, error)

    def _unsettled_s(self) -> float:
        """Return how long runs of earlier owners may still last unseen."""
        if self.cell is not None and self.cell.has_settled(now_s()):
            return 0.0
        return max(0.0, self._settled_at - now_s())

    async def abandon(self) -> None:
        """Stop at once: another host owns the cell."""
        self._is_stopped = True
        await self._stop_tasks()
        logger.info("cell %s: epoch %d ends", self.cell_id, self.owner.epoch)

    async def _stop_tasks(self) -> None:
        await cancel_all([*self._tasks, *self._task_by_worker.values()])
        for port in self._port_by_worker.values():
            port.close()

    # News

    def on_submission(self, submission_id: str, entry: DirectoryEntry) -> None:
        """Take in a new submission of this cell, or its cancelling."""
        if self.cell is None or entry.accepted is None:
            return
        now = now_s()
        age_ms = wall_ms() - entry.accepted.accepted_at_ms
        self.cell.add_submission(
            entry.accepted.submission,
            self._early_progress_by_id.pop(submission_id, Progress()),
            now,
            now,
            inherited=age_ms > LATE_NEWS_MS,
            is_home=entry.accepted.cell_id == self.cell_id,
        )
        self.cell.update_moves(submission_id, entry.move_by_task, now)
        if entry.is_cancelled:
            self.cell.cancel(submission_id, now)
        self._wake.set()

    def follows(self, submission_id: str) -> bool:
        """Tell whether the cell knows a submission."""
        return self.cell is not None and submission_id in self.cell.book.by_id

    def update_workers(self, entries: dict[str, WorkerEntry]) -> None:
        """Take in the listed workers of this cell."""
        if self.cell is None:
            return
        for worker_id, entry in entries.items():
            self.cell.list_worker(entry, now_s())
            if worker_id not in self._task_by_worker:
                self._open_worker(entry)
        for worker_id in self.cell.worker_by_id.keys() - entries.keys():
            self.cell.unlist_worker(worker_id)
        self._after_news()

    def state_of(self, submission_id: str) -> SubmissionState | None:
        """Return the state that a client may be told."""
        return self.cell.state_of(submission_id) if self.cell else None

    def summary(self) -> CellSummary | None:
        """Return the load of the cell for other hosts."""
        if self.cell is None:
            return None
        views = [v for v in self.cell.worker_by_id.values() if v.can_start(now_s())]
        fill_waiting = sum(
            len(ready.waiting) * ready.step.demand.cpu_millis
            for tracked in self.cell.book.live_by_id.values()
            for ready in tracked.ready_by_step.values()
            if ready.step.fills
        )
        return CellSummary(
            service=views[0].entry.service if views else "",
            data_centre=self.data_centre,
            cpu_capacity=sum(v.entry.capacity.cpu_millis for v in views),
            cpu_free=sum(v.free().cpu_millis for v in views),
            cpu_waiting=self.cell.waiting_cpu(),
            cpu_stuck=self.cell.stuck_cpu(now_s()),
            filler_rooms=self.cell.filler_rooms(),
            fill_waiting=fill_waiting,
            pending_by_queue=self.cell.book.n_pending_by_queue(),
        )

    # Workers

    def _open_worker(self, entry: WorkerEntry) -> None:
        worker_id = entry.worker_id
        port = WorkerClient(worker_id, entry.address)
        self._port_by_worker[worker_id] = port
        loop = asyncio.get_running_loop()
        self._task_by_worker[worker_id] = loop.create_task(self._hold(worker_id, port))

    async def _hold(self, worker_id: str, port: WorkerClient) -> None:
        """Renew the worker's lease and take in its reports, one hold at a time."""
        must_look = True
        while not self.is_lost:
            view = self.cell.worker_by_id[worker_id]
            if not self._is_confirmed():
                await asyncio.sleep(HOLD_RETRY_S)
                continue
            asked_at = now_s()
            answer = await port.hold(self._hold_order(view, must_look, asked_at))
            # A worker that doesn't answer gets no longer lease with each try.
            must_look = answer.result is not OrderResult.ACCEPTED
            if answer.result is OrderResult.ACCEPTED:
                self.cell.on_report(worker_id, answer.report, asked_at, now_s())
                self._after_news()
                await self._pause_while_unrecorded(view)
            elif answer.result is OrderResult.FENCED:
                self.cell.on_fenced(worker_id)
                return
            else:
                if answer.result is OrderResult.NOT_CONNECTED:
                    continue
                if answer.result is OrderResult.NOT_SENT:
                    self.cell.on_refused(worker_id, now_s())
                if answer.result is OrderResult.OTHER_LIFE:
                    self.cell.on_other_life(worker_id, now_s())
                    self._after_news()
                if self._is_forgotten(view):
                    break
                await asyncio.sleep(HOLD_RETRY_S)
        # The next owner must still hear of the workers of a cell that was given up.
        if not self.is_lost:
            self._close_worker(worker_id)

    def _hold_order(self, view: WorkerView, must_look: bool, now: float) -> HoldOrder:
        if must_look or not view.is_fenced:
            return HoldOrder(self.owner.epoch, 0, None, 0)
        until_ms = self.cell.lease_until_ms(view, now)
        return HoldOrder(self.owner.epoch, view.acked_number, until_ms, HOLD_WAIT_MS)

    async def _pause_while_unrecorded(self, view: WorkerView) -> None:
        for _ in range(3):
            if view.acked_number >= view.handled_number:
                return
            await asyncio.sleep(HOLD_PAUSE_S / 2)

    def _is_forgotten(self, view: WorkerView) -> bool:
        is_settled = self.cell.is_settled(view.entry.worker_id)
        return not view.is_listed and not view.run_by_task and is_settled

    def _close_worker(self, worker_id: str) -> None:
        self._port_by_worker.pop(worker_id).close()
        del self._task_by_worker[worker_id]
        self.cell.worker_by_id.pop(worker_id, None)
        self._dirty.set()

    def _after_news(self) -> None:
        self._wake.set()
        self._dirty.set()

    async def _report_load(self) -> None:
        """Log the load of the cell from time to time."""
        while True:
            await asyncio.sleep(LOAD_LOG_S)
            for view in self.cell.worker_by_id.values():
                logger.info(
                    "load: worker %s free %d of %d left %d, serving %d, filling %d, "
                    "readings %s",
                    view.entry.worker_id,
                    view.free().cpu_millis,
                    view.entry.capacity.cpu_millis,
                    view.cpu_left(),
                    len(view.serving_runs()),
                    len(view.filling_runs()),
                    " ".join(f"{r.image}={r.ratio:.2f}" for r in view.readings()),
                )
            self._report_waiting()

    def _report_waiting(self) -> None:
        for ready in self.cell.book.ready_steps(now_s()):
            task = ready.task(min(ready.waiting))
            logger.info(
                "waiting: %d tasks from %s (fills %s, lasts %s): %s",
                len(ready.waiting),
                task,
                ready.step.fills,
                ready.step.is_long_running,
                self.cell.explain_waiting(ready, now_s()),
            )

    # Orders

    async def _pump(self) -> None:
        """Plan after every piece of news, and from time to time."""
        while True:
            try:
                async with asyncio.timeout(TICK_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            if self._is_confirmed() and not self.is_lost:
                for item in self.cell.plan(now_s(), wall_ms()):
                    self._spawn(self._send(item))
                for request in self.cell.advice.take_requests():
                    self._spawn(self._ask_advice(request))

    async def _ask_advice(self, request: AdviceRequest) -> None:
        """Ask which workers may run a step; the answer is taken in at once."""
        tracked = self.cell.book.by_id.get(request.step.submission_id)
        if self._advisor is None or tracked is None:
            logger.error("step %s needs advice, no service is set", request.step)
            return
        policy = tracked.submission.queue.advice
        expected_s = policy.decide_s + policy.per_worker_s * len(request.worker_ids)
        asked_at = now_s()
        try:
            tickets = await self._advisor.advise(request, expected_s)
        except PlatformUnavailableError as error:
            logger.warning("step %s: %s", request.step, error)
            self.cell.advice.on_no_answer(request)
            return
        logger.info(
            "advice: step %s may run on %d of %d workers, after %.2f s",
            request.step,
            len(tickets),
            len(request.worker_ids),
            now_s() - asked_at,
        )
        self.cell.advice.on_answer(request, tickets, asked_at + policy.valid_s)
        self._wake.set()

    async def _send(self, item: WorkerOrder) -> None:
        port = self._port_by_worker.get(item.worker_id)
        order = item.order
        if port is None:
            logger.warning("no connection to worker %s", item.worker_id)
            return
        if isinstance(order, StartOrder):
            answer = await port.start(order)
            if answer.result is not OrderResult.ACCEPTED:
                self._log_order(item, answer.result)
            self.cell.on_start_answer(item.worker_id, order, answer, now_s())
        elif isinstance(order, StopOrder):
            answer = await port.stop(order)
            self.cell.on_stop_answer(item.worker_id, order, answer, now_s())
        elif isinstance(order, PaceOrder):
            answer = await port.pace(order)
            self.cell.on_pace_answer(order, answer)
        if answer.result is not OrderResult.ACCEPTED:
            self._wake.set()

    def _log_order(self, item: WorkerOrder, result: OrderResult) -> None:
        logger.info(
            "start refused: task %s run %d on %s: %s",
            item.order.task,
            item.order.run,
            item.worker_id,
            result.value,
        )

    # Records

    async def _carry(self) -> None:
        """Move stuck tasks to other cells, and report the ends of guests."""
        while True:
            await asyncio.sleep(CARRY_PERIOD_S)
            if not self._is_confirmed() or self.is_lost:
                continue
            rooms = self._carrier.rooms(self.cell_id)
            for proposal in self.cell.propose_moves(rooms, now_s()):
                self._spawn(self._carrier.move(self, proposal))
            for submission_id, ends in self.cell.guest_ends().items():
                if await self._carrier.report(submission_id, ends):
                    self.cell.on_guest_ends_confirmed(submission_id, ends, now_s())

    def on_guest_ends(self, submission_id: str, ends: list[GuestEnd]) -> bool:
        """Take in ends told by another cell; return whether they are durable."""
        if self.cell is None:
            return False
        is_durable = self.cell.on_guest_ends(submission_id, ends, now_s())
        self._after_news()
        return is_durable

    async def _record(self) -> None:
        """Record ends, then let the workers forget them."""
        while True:
            await self._dirty.wait()
            self._dirty.clear()
            if self.cell.must_record_workers():
                if not await self._recorder.record_workers(self.cell):
                    await asyncio.sleep(RECORD_RETRY_S)
                    self._dirty.set()
                    continue
                self._wake.set()
            batch = self.cell.take_batch()
            if not any(write.is_final for write in batch.writes):
                await asyncio.sleep(RECORD_PAUSE_S)
                batch = self.cell.take_batch()
            if not batch.writes:
                self.cell.on_recorded(batch)
                continue
            try:
                recorded = await self._recorder.commit(self.cell, batch)
            except BerylError as error:
                logger.warning("cell %s: ends not recorded: %s", self.cell_id, error)
                await asyncio.sleep(RECORD_RETRY_S)
                recorded = False
            if not recorded:
                self._dirty.set()

    def _spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error(
                "cell %s: task failed", self.cell_id, exc_info=task.exception()
            )

"""Loop over the schedulers of cells and stand-in workers, without a network.

The loads that are played on it differ in the arguments of ``CellLoop``, in its class
attributes and in the methods named ``on_...`` that they override. They define
``plan_run(task, worker_id)``, which returns a run's duration and how it ends.
"""

from berylcleat.model import Step, Submission, TaskDemand
from berylcleat.ports import (
    HoldOrder,
    OrderAnswer,
    OrderResult,
    StartOrder,
    StopOrder,
    WorkerEntry,
)
from berylcleat.scheduling import (
    CellScheduler,
    InterferenceModel,
    LeaseTimes,
    Progress,
    UnevenWorkers,
)
from berylcleat.standins import TaskWorker

TIMES = LeaseTimes(worker_lease_s=5.0, max_lease_s=6.0, owner_limit_s=12.0)
# A result is of no use after this many times the seconds to the deadline.
LATE_LIMIT = 3.0


def make_entry(
    worker_id: str,
    capacity: TaskDemand,
    *,
    rack: str = "r1",
    address: str = "a:1",
    started_at_ms: int = 1,
) -> WorkerEntry:
    """Return the entry of a worker on the platform's list."""
    return WorkerEntry(
        worker_id, "svc", address, "dc", "k", rack, frozenset(), capacity, started_at_ms
    )


def lateness(took_s: float, objective_s: float) -> str:
    """Return "in time", "late" or "missed", which also holds without an end."""
    if took_s <= objective_s:
        return "in time"
    return "late" if took_s <= LATE_LIMIT * objective_s else "missed"


def split_due(items: list[tuple], now: float) -> tuple[list[tuple], list[tuple]]:
    """Return the items whose time has come, ordered by all but their last field."""
    due = sorted((i for i in items if i[0] <= now), key=lambda item: item[:-1])
    return due, [i for i in items if i[0] > now]


class CellLoop:
    """Cells of a service and their workers; it observes the runs of all workers."""

    tick_s = 0.1
    # A worker on which no run has ended is held once in this time.
    hold_period_s = 0.0

    def __init__(
        self,
        seed: int,
        now: float,
        *,
        expected_finish: bool = False,
        uneven_workers: bool = False,
    ):
        self.seed = seed
        self.now = now
        self.expected_finish = expected_finish
        self.uneven_workers = uneven_workers
        self.interference = InterferenceModel()
        self.steps_by_id: dict[str, tuple[Step, ...]] = {}
        self.workers: dict[str, TaskWorker] = {}
        self.cells: list[CellScheduler] = []
        self._next_hold_at: dict[str, float] = {}

    def add_worker(self, worker_id: str, rack: str, capacity: TaskDemand) -> None:
        """Add a worker to a rack, which is the cell of that id."""
        entry = make_entry(worker_id, capacity, rack=rack)
        self.workers[worker_id] = TaskWorker(entry, self.steps_by_id, self)

    def make_scheduler(self, cell_id: str, epoch: int) -> CellScheduler:
        """Return the scheduler of a cell's new owner."""
        workers = self.workers.values()
        entries = tuple(w.entry for w in workers if w.entry.rack == cell_id)
        cell = CellScheduler(
            cell_id,
            epoch,
            TIMES,
            self.now,
            self.now,
            entries if epoch > 1 else (),
            self.interference,
            expected_finish=self.expected_finish,
        )
        if self.uneven_workers:
            cell.uneven_workers = UnevenWorkers()
        for entry in entries:
            cell.list_worker(entry, self.now)
        cell.on_workers_recorded(frozenset(cell.worker_by_id))
        return cell

    def accept(self, number: int, submission: Submission, age_s: float = 0.0) -> None:
        """Accept a submission in a cell, ``age_s`` after its client sent it."""
        self.steps_by_id[submission.submission_id] = submission.steps
        self.cells[number].add_submission(
            submission, Progress(), self.now - age_s, self.now, inherited=False
        )

    def ignore(self, *event) -> None:
        """Ignore what a load has no need to handle."""

    on_start = on_end = on_acknowledged = on_recorded = on_tick = on_tick_end = ignore

    # Time

    def tick(self) -> None:
        """Advance by one tick: reports, records and orders of every cell."""
        self.now = round(self.now + self.tick_s, 3)
        self.on_tick()
        for cell in self.cells:
            for worker_id in cell.worker_by_id:
                self._hold(cell, worker_id)
            batch = cell.take_batch()
            cell.on_recorded(batch)
            self.on_recorded(cell, batch)
            for item in cell.plan(self.now, self.now * 1000):
                self._execute(cell, item.worker_id, item.order)
        self.on_tick_end()

    def _hold(self, cell: CellScheduler, worker_id: str) -> None:
        worker = self.workers[worker_id]
        worker.advance(self.now)
        if not worker.ended and self.now < self._next_hold_at.get(worker_id, 0.0):
            return
        self._next_hold_at[worker_id] = self.now + self.hold_period_s
        if not worker.is_up:
            cell.on_hold_failed(worker_id, self.now)
            return
        view = cell.worker_by_id[worker_id]
        order = HoldOrder(cell.epoch, 0, None, 0)
        if view.has_seen_epoch and view.incarnation_ms == worker.started_at_ms:
            until_ms = cell.lease_until_ms(view, self.now)
            order = HoldOrder(cell.epoch, view.acked_number, until_ms, 0)
        answer = worker.hold(order, self.now)
        cell.on_report(worker_id, answer.report, self.now, self.now)

    def _execute(self, cell: CellScheduler, worker_id: str, order) -> None:
        worker = self.workers[worker_id]
        if isinstance(order, StopOrder):
            answer = worker.stop(order, self.now)
            cell.on_stop_answer(worker_id, order, answer, self.now)
        elif isinstance(order, StartOrder):
            answer = OrderAnswer(OrderResult.NOT_SENT, 0)
            if worker.is_up:
                answer = worker.start(
                    order, self.now, lambda task, run: self.plan_run(task, worker_id)
                )
            cell.on_start_answer(worker_id, order, answer, self.now)

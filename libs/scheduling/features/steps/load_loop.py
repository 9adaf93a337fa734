"""Loop over the schedulers of a few cells and stand-in workers, without faults.

The same load, which its seed determines, is run with and without ``expected_finish``.
"""

import random
from dataclasses import dataclass, field

from berylcleat.model import (
    QueuePolicy,
    Step,
    Submission,
    SubmissionState,
    TaskDemand,
    TaskKey,
)
from berylcleat.ports import HoldOrder, RunEnd, StartOrder, StopOrder, WorkerEntry
from berylcleat.scheduling import (
    CellHeadroom,
    CellScheduler,
    InterferenceModel,
    LeaseTimes,
    Progress,
)
from berylcleat.standins import TaskWorker

TICK_S = 0.1
MOVE_PERIOD_TICKS = 2
LOAD_PERIOD_TICKS = 10
COMMIT_S = 0.05
DELIVERY_S = 0.1
TIMES = LeaseTimes(worker_lease_s=5.0, max_lease_s=6.0, owner_limit_s=12.0)
WORKER_CORES = 8
SERVING_STEP = Step(
    1,
    TaskDemand(6000, 100),
    is_long_running=True,
    image="web",
    target_latency_ms=100,
)
SERVING_QUEUE = QueuePolicy("serving", "svc", priority=0)
# Fillers run at half pace, and durations spread by a quarter around the estimate.
FILLER_COST = 2.0


@dataclass(frozen=True, slots=True)
class Arrival:
    """Submission and the time and home cell of its acceptance."""

    at: float
    cell: int
    submission: Submission


@dataclass(slots=True)
class Outcomes:
    """When each submission ended, and its deadline and the limit of its use."""

    arrivals: dict[str, Arrival]
    ended_at: dict[str, float] = field(default_factory=dict)

    def lateness(self, submission_id: str) -> str:
        """Return "in time", "late" or "beyond" for one submission."""
        arrival = self.arrivals[submission_id]
        submission = arrival.submission
        objective_s = objective_of(submission)
        took_s = self.ended_at.get(submission_id, float("inf")) - arrival.at
        if took_s <= objective_s:
            return "in time"
        return "late" if took_s <= 3 * objective_s else "beyond"

    def count(self, kind: str, queue: str = "", ids: set[str] | None = None) -> int:
        """Return the number of submissions with an outcome."""
        return sum(
            self.lateness(i) == kind
            for i, arrival in self.arrivals.items()
            if (not queue or arrival.submission.queue.name == queue)
            and (ids is None or i in ids)
        )

    def share_served(self, ids: set[str]) -> float:
        """Return the share of submissions that ended while it was of use."""
        n = self.count("in time", ids=ids) + self.count("late", ids=ids)
        return n / max(len(ids), 1)

    def value(self) -> float:
        """Return what the results are worth: a seventh if late, nothing beyond."""
        worth = {"in time": 1.0, "late": 1 / 7, "beyond": 0.0}
        return sum(self.weight(i) * worth[self.lateness(i)] for i in self.arrivals)

    def weight(self, submission_id: str) -> float:
        """Return the weight of a submission to its caller."""
        submission = self.arrivals[submission_id].submission
        same = [
            work_of(a.submission)
            for a in self.arrivals.values()
            if a.submission.queue.name == submission.queue.name
        ]
        mean = sum(same) / len(same)
        return 0.3 + 0.7 * min(4.0, work_of(submission) / mean)

    def largest(self, queue: str) -> tuple[set[str], set[str]]:
        """Return the largest tenth of a queue's submissions and the fifth below it."""
        ids = [i for i, a in self.arrivals.items() if a.submission.queue.name == queue]
        ids.sort(key=lambda i: (-work_of(self.arrivals[i].submission), i))
        n = len(ids)
        return set(ids[: n // 10]), set(ids[n // 10 : n // 10 + n // 5])


def work_of(submission: Submission) -> float:
    """Return the declared core-seconds of a submission."""
    return sum(
        s.n_tasks * s.estimate_s * s.demand.cpu_millis / 1000 for s in submission.steps
    )


def objective_of(submission: Submission) -> float:
    """Return the seconds from acceptance to the deadline; the steps are a chain."""
    path_s = sum(step.estimate_s for step in submission.steps)
    return path_s * submission.queue.stretch + submission.queue.objective_ms / 1000


class LoadLoop:
    """Cells of a service and the load on them; it observes the runs of all workers."""

    def __init__(
        self, random_state: int, cell_sizes: tuple[int, ...], *, expected_finish: bool
    ):
        self.random_state = random_state
        self.expected_finish = expected_finish
        self.now = 1.0
        self.steps_by_id: dict[str, tuple[Step, ...]] = {}
        self.interference = InterferenceModel()
        self.interference.restore({("press", "web"): -9.0})
        self.workers: dict[str, TaskWorker] = {}
        self.cells: list[CellScheduler] = []
        self.moves_by_id: dict[str, dict[TaskKey, object]] = {}
        self.home_by_id: dict[str, int] = {}
        self.n_moved = 0
        self.n_moved_to: dict[str, int] = {}
        self.events: list[tuple[float, int, object]] = []
        self.headrooms: dict[str, CellHeadroom] = {}
        self.moves_tasks = True
        self.started: list[tuple[float, TaskKey]] = []
        for number, size in enumerate(cell_sizes):
            self._make_cell(f"r{number}", size)

    def _make_cell(self, cell_id: str, size: int) -> None:
        for number in range(size):
            worker_id = f"{cell_id}-w{number}"
            capacity = TaskDemand(WORKER_CORES * 1000, 64000)
            entry = WorkerEntry(
                worker_id, "svc", "a", "dc", "k", cell_id, frozenset(), capacity, 1
            )
            self.workers[worker_id] = TaskWorker(entry, self.steps_by_id, self)
        self.cells.append(self.make_scheduler(cell_id, 1))

    def make_scheduler(self, cell_id: str, epoch: int) -> CellScheduler:
        """Return the scheduler of a cell's new owner."""
        entries = tuple(
            w.entry
            for w in self.workers.values()
            if w.entry.worker_id.startswith(f"{cell_id}-")
        )
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
        for entry in entries:
            cell.list_worker(entry, self.now)
        cell.on_workers_recorded(frozenset(cell.worker_by_id))
        return cell

    # Callbacks of the workers

    def on_start(self, task, run, worker_id, now) -> None:
        """Note the start of a run."""
        self.started.append((now, task))

    def on_end(self, task, worker_id, end) -> None:
        """Ignore the end of a run, which the worker reports to its owner."""

    def on_acknowledged(self, end) -> None:
        """Ignore an acknowledgement."""

    def plan_run(self, task: TaskKey, run: int) -> tuple[float, RunEnd]:
        """Return the duration of a run, the same for every order of starts."""
        step = self.steps_by_id[task.submission_id][task.step]
        if step.is_long_running:
            return 1e9, RunEnd.DONE
        spread = random.Random(f"{self.random_state} {task}").uniform(0.75, 1.25)
        cost = FILLER_COST if step.fills else 1.0
        return step.estimate_s * spread * cost, RunEnd.DONE

    # Load

    def serve(self) -> None:
        """Run a serving task on every worker."""
        for number, cell in enumerate(self.cells):
            for index in range(len(cell.worker_by_id)):
                submission_id = f"5e{number:06x}{index:08x}"
                self.accept(
                    number,
                    Submission(submission_id, SERVING_QUEUE, "s", (SERVING_STEP,)),
                )

    def accept(self, number: int, submission: Submission) -> None:
        """Accept a submission in a cell."""
        self.steps_by_id[submission.submission_id] = submission.steps
        self.home_by_id[submission.submission_id] = number
        self.cells[number].add_submission(
            submission, Progress(), self.now, self.now, inherited=False
        )

    def run(self, arrivals: list[Arrival], length_s: float) -> Outcomes:
        """Offer a load and return when its submissions ended."""
        outcomes = Outcomes({a.submission.submission_id: a for a in arrivals})
        waiting = sorted(arrivals, key=lambda a: a.at)
        while self.now < length_s and len(outcomes.ended_at) < len(arrivals):
            while waiting and waiting[0].at <= self.now:
                arrival = waiting.pop(0)
                self.accept(arrival.cell, arrival.submission)
            self.tick()
            for submission_id in outcomes.arrivals.keys() - outcomes.ended_at.keys():
                number = self.home_by_id.get(submission_id)
                if number is None:
                    continue
                state = self.cells[number].state_of(submission_id)
                if state is SubmissionState.DONE:
                    outcomes.ended_at[submission_id] = self.now
        return outcomes

    # Time

    def tick(self) -> None:
        """Advance by one tick: reports, records, plans, moves."""
        self.now = round(self.now + TICK_S, 3)
        n_ticks = round(self.now / TICK_S)
        due = [event for event in self.events if event[0] <= self.now]
        self.events = [event for event in self.events if event[0] > self.now]
        for _, _, action in sorted(due, key=lambda event: event[:2]):
            action()
        for cell in self.cells:
            self._hold(cell)
            cell.on_recorded(cell.take_batch())
            for item in cell.plan(self.now, self.now * 1000):
                self._execute(cell, item)
        if n_ticks % LOAD_PERIOD_TICKS == 0:
            self.headrooms = {
                cell.cell_id: self.make_headroom(cell) for cell in self.cells
            }
        if self.moves_tasks and n_ticks % MOVE_PERIOD_TICKS == 0:
            for number in range(len(self.cells)):
                self._move(number)

    def _hold(self, cell: CellScheduler) -> None:
        for worker_id, view in cell.worker_by_id.items():
            until = None
            if view.has_seen_epoch:
                until = cell.lease_until_ms(view, self.now)
            order = HoldOrder(cell.epoch, view.acked_number, until, 0)
            answer = self.workers[worker_id].hold(order, self.now)
            cell.on_report(worker_id, answer.report, self.now, self.now)

    def _execute(self, cell: CellScheduler, item) -> None:
        worker = self.workers[item.worker_id]
        if isinstance(item.order, StartOrder):
            answer = worker.start(item.order, self.now, self.plan_run)
            cell.on_start_answer(item.worker_id, item.order, answer, self.now)
        elif isinstance(item.order, StopOrder):
            answer = worker.stop(item.order, self.now)
            cell.on_stop_answer(item.worker_id, item.order, answer, self.now)

    def make_headroom(self, cell: CellScheduler) -> CellHeadroom:
        """Return the headroom that a cell publishes."""
        views = cell.worker_by_id.values()
        free = tuple(max(0, view.free().cpu_millis) for view in views)
        waits = cell.waiting_cpu() - cell.stuck_cpu(self.now)
        fill_waiting = sum(
            len(ready.waiting) * ready.step.demand.cpu_millis
            for ready in cell.submissions.iter_ready()
            if ready.step.fills
        )
        return CellHeadroom(
            cell.cell_id,
            "svc",
            sum(free) - waits,
            cell.filler_headrooms(),
            fill_waiting,
            sum(view.entry.capacity.cpu_millis for view in views),
            free,
        )

    def _move(self, number: int) -> None:
        cell = self.cells[number]
        others = tuple(h for i, h in self.headrooms.items() if i != cell.cell_id)
        for proposal in cell.propose_moves(others, self.now):
            known = dict(self.moves_by_id.get(proposal.submission_id, {}))
            self._schedule(
                COMMIT_S, lambda p=proposal, k=known: self._commit(cell, p, k)
            )
        for submission_id, ends in cell.unconfirmed_moved_task_ends().items():
            home = self.cells[self.home_by_id[submission_id]]
            if home.on_moved_task_ends(submission_id, ends, self.now):
                cell.on_moved_task_ends_confirmed(submission_id, ends, self.now)

    def _commit(self, cell: CellScheduler, proposal, known) -> None:
        current = self.moves_by_id.get(proposal.submission_id, {})
        if current == known:
            self.n_moved += len(proposal.move_by_task)
            for move in proposal.move_by_task.values():
                n = self.n_moved_to.get(move.cell_id, 0) + 1
                self.n_moved_to[move.cell_id] = n
            moves = {**current, **proposal.move_by_task}
            self.moves_by_id[proposal.submission_id] = moves
            targets = {move.cell_id for move in proposal.move_by_task.values()}
            self._schedule(DELIVERY_S, lambda: self._deliver(proposal, targets))
        moves = self.moves_by_id.get(proposal.submission_id, {})
        cell.update_moves(proposal.submission_id, moves, self.now)
        cell.on_move_settled(proposal, self.now)

    def _deliver(self, proposal, targets: set[str]) -> None:
        submission_id = proposal.submission_id
        moves = self.moves_by_id[submission_id]
        for number, cell in enumerate(self.cells):
            if cell.cell_id in targets or submission_id in cell.submissions.by_id:
                self.add_moved(number, submission_id, moves)

    def add_moved(self, number: int, submission_id: str, moves) -> None:
        """Make the recorded moves of a submission known to a cell."""
        home = self.cells[self.home_by_id[submission_id]]
        cell = self.cells[number]
        tracked = home.submissions.by_id[submission_id]
        accepted_at = tracked.due_at - objective_of(tracked.submission)
        cell.add_submission(
            tracked.submission,
            Progress(),
            accepted_at if self.expected_finish else self.now,
            self.now,
            inherited=False,
            is_home=cell is home,
            move_by_task=moves,
        )
        cell.update_moves(submission_id, moves, self.now)

    def _schedule(self, delay_s: float, action) -> None:
        self.events.append((self.now + delay_s, len(self.events), action))

"""Seeded load on a few cells whose tasks move between them, without faults.

The same load, which its seed determines, is run with and without ``expected_finish``.
"""

import random
from dataclasses import dataclass, field

from cell_loop import CellLoop, lateness, split_due

from berylcleat.model import (
    QueuePolicy,
    Step,
    Submission,
    SubmissionState,
    TaskDemand,
    TaskKey,
)
from berylcleat.ports import RunEnd
from berylcleat.scheduling import CellHeadroom, CellScheduler, Progress

MOVE_PERIOD_TICKS = 2
LOAD_PERIOD_TICKS = 10
COMMIT_S = 0.05
DELIVERY_S = 0.1
WORKER_CAPACITY = TaskDemand(8000, 64000)
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
        """Return "in time", "late" or "missed" for one submission."""
        arrival = self.arrivals[submission_id]
        took_s = self.ended_at.get(submission_id, float("inf")) - arrival.at
        return lateness(took_s, objective_of(arrival.submission))

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
        """Return what the results are worth: a seventh if late, nothing if missed."""
        worth = {"in time": 1.0, "late": 1 / 7, "missed": 0.0}
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


class LoadLoop(CellLoop):
    """Cells of a service and the load on them, with moves between the cells."""

    def __init__(
        self, seed: int, cell_sizes: tuple[int, ...], *, expected_finish: bool
    ):
        super().__init__(seed, 1.0, expected_finish=expected_finish)
        self.interference.restore({("press", "web"): -9.0})
        self.moves_by_id: dict[str, dict[TaskKey, object]] = {}
        self.home_by_id: dict[str, int] = {}
        self.n_moved = 0
        self.n_moved_to: dict[str, int] = {}
        self.events: list[tuple[float, int, object]] = []
        self.headrooms: dict[str, CellHeadroom] = {}
        self.moves_tasks = True
        self.started: list[tuple[float, TaskKey]] = []
        for number, size in enumerate(cell_sizes):
            cell_id = f"r{number}"
            for index in range(size):
                self.add_worker(f"{cell_id}-w{index}", cell_id, WORKER_CAPACITY)
            self.cells.append(self.make_scheduler(cell_id, 1))

    def on_start(self, task, run, worker_id, now) -> None:
        """Note the start of a run."""
        self.started.append((now, task))

    def plan_run(self, task: TaskKey, worker_id: str) -> tuple[float, RunEnd]:
        """Return the duration of a run, the same for every order of starts."""
        step = self.steps_by_id[task.submission_id][task.step]
        if step.is_long_running:
            return 1e9, RunEnd.DONE
        spread = random.Random(f"{self.seed} {task}").uniform(0.75, 1.25)
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

    def accept(self, number: int, submission: Submission, age_s: float = 0.0) -> None:
        """Accept a submission in its home cell."""
        self.home_by_id[submission.submission_id] = number
        super().accept(number, submission, age_s)

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

    def on_tick(self) -> None:
        """Execute the commits and deliveries that are due."""
        due, self.events = split_due(self.events, self.now)
        for _, _, action in due:
            action()

    def on_tick_end(self) -> None:
        """Publish loads and move tasks in their periods."""
        n_ticks = round(self.now / self.tick_s)
        if n_ticks % LOAD_PERIOD_TICKS == 0:
            self.headrooms = {
                cell.cell_id: self.make_headroom(cell) for cell in self.cells
            }
        if self.moves_tasks and n_ticks % MOVE_PERIOD_TICKS == 0:
            for number in range(len(self.cells)):
                self._move(number)

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
            waiting=cell.waiting_cpu(),
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

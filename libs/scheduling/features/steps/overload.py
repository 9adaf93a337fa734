"""Deterministic queue arithmetic: cells of equal cores that share what waits."""

import copy
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field, replace

from cell_loop import LATE_LIMIT, lateness, make_entry, split_due

from berylcleat.model import QueuePolicy, Step, Submission, TaskDemand
from berylcleat.scheduling import (
    AdmissionController,
    Admit,
    BacklogMeter,
    CellLoad,
    CompletedWork,
    Progress,
    Refuse,
    Run,
    RunPhase,
    ServiceLoads,
    SubmissionRegistry,
    WorkerView,
)
from berylcleat.scheduling._urgency import deadline_key

TICK_S = 0.1
BEGIN_AT = 100.0
CORES = 16
N_TASKS = 4
MAX_RETRIES = 4
# Time after the last arrival for which the queue is followed.
DRAIN_S = 20.0
# The first refusals, and then one of so many, are played again with the submission
# admitted.
N_FIRST_SNAPSHOTS = 6
SNAPSHOT_EVERY = 25
QUEUE = QueuePolicy("batch", "svc", 5, stretch=1.0, objective_ms=1000)
# Submissions a second that the cores of two cells can do.
FULL_RATE = 2 * CORES / N_TASKS


class Cell:
    """Cell whose runs take their estimate times a seeded factor."""

    def __init__(self, cell_id, data_centre_by_id):
        capacity = TaskDemand(CORES * 1000, 10**9)
        self.cell_id = cell_id
        self.view = WorkerView(make_entry(cell_id, capacity, rack=cell_id))
        self.registry = SubmissionRegistry()
        self.completed = CompletedWork()
        self.meter = BacklogMeter(self.completed, data_centre_by_id.get, LATE_LIMIT)
        self.reports = []

    def report(self, now):
        """Append the backlog and the processor time free beside what waits."""
        live = self.registry.live_by_id.values()
        runs = self.view.run_by_task.values()
        backlog = self.meter.count(live, runs, [self.view], now)
        waiting = sum(
            len(ready.waiting) * 1000 for ready in self.registry.ready_steps(now)
        )
        free = CORES * 1000 - 1000 * len(self.view.run_by_task)
        self.reports.append((now, backlog, max(0, free - waiting)))


@dataclass
class Caller:
    """One submission as its client sees it."""

    submission: Submission
    data_centre: str
    host: int
    first_at: float
    objective_s: float
    n_tries: int = 0
    is_admitted: bool = False
    ended_at: float | None = None

    def outcome(self):
        """Return how it ended, counted from the first attempt."""
        if not self.is_admitted:
            return "refused"
        if self.ended_at is None:
            return "missed"
        return lateness(self.ended_at - self.first_at, self.objective_s)


@dataclass
class Refusal:
    """Refusal, with the cores that were free beside what waited."""

    at: float
    caller: Caller
    decision: Refuse
    n_free: int
    snapshot: tuple | None


@dataclass
class Service:
    """Two cells, entry hosts that may refuse, and their callers."""

    refuses: bool
    n_hosts: int = 1
    report_delay_s: float = 0.0
    slowdown: float = 1.0
    fills: bool = False
    estimates_s: tuple = (0.7, 1.3)
    seed: int = 7
    now: float = BEGIN_AT
    # Time for which it is judged which work is late; None for the present.
    late_as_of: float | None = None
    callers: dict = field(default_factory=dict)
    returns: list = field(default_factory=list)
    refusals: list = field(default_factory=list)

    def __post_init__(self):
        self.random_state = random.Random(self.seed)
        self.data_centre_by_id = {}
        self.cells = [Cell(f"r{n}", self.data_centre_by_id) for n in range(2)]
        self.hosts = [AdmissionController(LATE_LIMIT) for _ in range(self.n_hosts)]
        self.end_by_task = {}

    def arrive(self, data_centre, host):
        """Send a new submission of a client of a data centre to a host."""
        estimate_s = self.random_state.uniform(*self.estimates_s)
        step = Step(
            N_TASKS, TaskDemand(1000, 1), estimate_s=estimate_s, fills=self.fills
        )
        number = len(self.callers)
        submission = Submission(f"{number:016x}", QUEUE, "s", (step,))
        objective_s = estimate_s + QUEUE.objective_ms / 1000
        self.data_centre_by_id[submission.submission_id] = data_centre
        caller = Caller(submission, data_centre, host, self.now, objective_s)
        self.callers[submission.submission_id] = caller
        self.ask(caller)

    def ask(self, caller):
        """Let the caller's host decide, and return later if it refuses."""
        loads = self.loads(caller.data_centre)
        decision = Admit(loads.preferred_cell_id)
        if self.refuses:
            host = self.hosts[caller.host]
            decision = host.decide(caller.submission, loads, self.now)
        caller.n_tries += 1
        if isinstance(decision, Admit):
            caller.is_admitted = True
            self.admit(caller.submission, decision.cell_id)
            return
        snapshot = None
        n_refused = len(self.refusals)
        if n_refused < N_FIRST_SNAPSHOTS or n_refused % SNAPSHOT_EVERY == 0:
            snapshot = copy.deepcopy((self.cells, self.end_by_task))
        n_free = sum(CORES - len(cell.view.run_by_task) for cell in self.cells)
        n_waiting = sum(
            len(ready.waiting)
            for cell in self.cells
            for ready in cell.registry.ready_steps(self.now)
        )
        free = n_free - n_waiting
        self.refusals.append(Refusal(self.now, caller, decision, free, snapshot))
        if caller.n_tries <= MAX_RETRIES:
            self.returns.append((self.now + decision.retry_after_s, caller))

    def loads(self, data_centre):
        """Return the newest loads that a host may have."""
        reports = [
            next(
                (r for r in reversed(cell.reports) if r[0] <= self._known_until),
                (0.0, None, 0),
            )
            for cell in self.cells
        ]
        cells = tuple(
            CellLoad(cell.cell_id, backlog, self.now - at, room)
            for cell, (at, backlog, room) in zip(self.cells, reports, strict=True)
        )
        n_hosts = (self.n_hosts, max(1, self.n_hosts // 2))
        fewest = min(self.cells, key=lambda cell: len(cell.registry.live_by_id))
        return ServiceLoads(cells, fewest.cell_id, data_centre, *n_hosts)

    @property
    def _known_until(self):
        return self.now - self.report_delay_s

    def admit(self, submission, cell_id):
        """Add a submission to a cell."""
        cell = next(cell for cell in self.cells if cell.cell_id == cell_id)
        tracked = cell.registry.add(submission, Progress(), self.now)
        tracked.activate_due_steps(0.0)

    def tick(self):
        """End and start runs; a cell with free cores takes what waits in the other."""
        self.now += TICK_S
        due, self.returns = split_due(self.returns, self.now)
        for cell in self.cells:
            for task, run in tuple(cell.view.run_by_task.items()):
                if self.end_by_task[task] <= self.now:
                    self._end(cell, task, run)
        late_as_of = self.now if self.late_as_of is None else self.late_as_of
        ready = [r for cell in self.cells for r in cell.registry.ready_steps(self.now)]
        for step in sorted(ready, key=lambda r: deadline_key(r, late_as_of)):
            for index in sorted(step.waiting):
                cell = min(self.cells, key=lambda cell: len(cell.view.run_by_task))
                if len(cell.view.run_by_task) < CORES:
                    self._start(cell, step, step.task(index))
        for cell in self.cells:
            cell.report(self.now)
        for _, caller in due:
            self.ask(caller)

    def _start(self, cell, ready, task):
        ready.tracked.remove_waiting(task)
        run = Run(task, 1, cell.cell_id, ready.step, RunPhase.RUNNING, 0.0, self.now)
        cell.view.add_run(run)
        factor = random.Random(str(task)).uniform(0.8, 1.2) * self.slowdown
        self.end_by_task[task] = self.now + ready.step.estimate_s * factor

    def _end(self, cell, task, run):
        cell.view.remove_run(run, self.now)
        cell.completed.add(task.submission_id, run.step, self.now)
        for home in self.cells:
            tracked = home.registry.live_by_id.get(task.submission_id)
            if tracked is not None:
                tracked.add_done(task)
                if tracked.is_over:
                    tracked.is_dirty = False
                    home.registry.retire(tracked)
                    self.on_done(task.submission_id)

    def on_done(self, submission_id):
        """Note when a submission has ended."""
        self.callers[submission_id].ended_at = self.now

    def run(self, pattern, duration_s=16.0):
        """Let callers arrive as ``pattern(time)`` says, then let the queue drain.

        The pattern returns pairs of a data centre and its submissions a second.
        """
        started_at = self.now
        owed = defaultdict(float)
        while self.now - started_at < duration_s + DRAIN_S:
            self.tick()
            elapsed_s = self.now - started_at
            for data_centre, rate in (
                pattern(elapsed_s) if elapsed_s < duration_s else ()
            ):
                owed[data_centre] += rate * TICK_S
                while owed[data_centre] >= 1:
                    owed[data_centre] -= 1
                    self.arrive(data_centre, self._next_host(data_centre))
        return self

    def _next_host(self, data_centre):
        """Return the hosts of a data centre in turn; each has an equal part of them."""
        number = data_centre == "dc-2"
        return (len(self.callers) * 2 + number) % max(self.n_hosts, 1)

    def could_be_done(self, refusal):
        """Return whether a refused submission would have been done within its limit.

        Nothing arrives after it, and what can still meet its deadline at that time goes
        first, as promised.
        """
        other = replace(self, now=refusal.at, callers={}, late_as_of=refusal.at)
        other.cells, other.end_by_task = copy.deepcopy(refusal.snapshot)
        ended = set()
        other.on_done = ended.add
        submission = refusal.caller.submission
        other.admit(submission, "r0")
        while other.now - refusal.at <= refusal.decision.limit_s:
            other.tick()
        return submission.submission_id in ended


def count(service, data_centre=None):
    """Return the outcomes of the callers, all or those of a data centre."""
    return Counter(
        caller.outcome()
        for caller in service.callers.values()
        if data_centre in (None, caller.data_centre)
    )

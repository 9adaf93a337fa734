import random

from behave import given, then, when
from gang_steps import SUBMISSION_ID, ScriptedCell
from load_loop import WORKER_CAPACITY, Arrival, LoadLoop

from berylcleat.model import QueuePolicy, Step, Submission, TaskDemand, TaskKey
from berylcleat.scheduling import CrashEvidence, Progress

LASTING_QUEUE = QueuePolicy("watch", "svc", priority=1, objective_ms=2500)
SHORT_QUEUE = QueuePolicy("check", "svc", priority=1, stretch=1.5, objective_ms=500)
CORES = WORKER_CAPACITY.cpu_millis // 1000
# A worker holds 8 long-running tasks, and a full cell of 6 workers 48.
LASTING_DEMAND = TaskDemand(1000, 100)
N_WORKERS = 6
N_CELLS = 2
SHORT_S = 0.6
SHORT_WIDTH = 3
LENGTH_S = 30.0
BEGIN_TICKS = 40
# Limits of the rule LOST for a long-running task: seconds from its last run on, and
# seconds that it may then wait beside capacity for two.
RESTART_S = 6.0
MAX_WAIT_S = 3.0


class PreemptionLoop(LoadLoop):
    """Cells whose long-running tasks are observed at their starts and ends."""

    tick_s = 0.05

    def __init__(self, seed, cell_sizes):
        super().__init__(seed, cell_sizes, expected_finish=True)
        self.ends = []
        self.most_away = 0.0
        # Seconds for which long-running tasks waited on end beside capacity for two.
        self.longest_wait_s = 0.0
        self.free_since_by_cell = {}

    def is_lasting(self, task):
        """Return whether a task runs until it is cancelled."""
        return self.steps_by_id[task.submission_id][task.step].is_long_running

    def on_end(self, task, worker_id, end):
        """Note the end of a run."""
        if self.is_lasting(task):
            self.ends.append((self.now, task))

    def on_tick_end(self):
        """Observe the long-running tasks that have run and don't now."""
        super().on_tick_end()
        if self.moves_tasks:
            return
        for cell in self.cells:
            running = {t for t in cell.run_by_task if self.is_lasting(t)}
            n_stopping = sum(
                run.phase.value == "stopping"
                for run in cell.run_by_task.values()
                if run.step.is_long_running
            )
            ended_at = {}
            for at, task in self.ends:
                ended_at[task] = at
            away = {
                task: at
                for task, at in ended_at.items()
                if task not in running and task.submission_id in cell.submissions.by_id
            }
            n_recent = n_stopping + sum(self.now - at < 3.8 for at in away.values())
            self.most_away = max(
                self.most_away, n_recent / max(1, len(running) + n_recent)
            )
            self._observe_wait(cell, running, ended_at)

    def _observe_wait(self, cell, running, ended_at):
        """Observe how long a task waits, from 6 s after its last run, beside room."""
        views = cell.worker_by_id.values()
        size = LASTING_DEMAND.cpu_millis
        n_slots = sum(max(0, view.free().cpu_millis) // size for view in views)
        waiting = [
            task
            for ready in cell.submissions.iter_ready()
            if ready.step.is_long_running
            for task in map(ready.task, ready.waiting)
            if self.now - ended_at.get(task, 0.0) >= RESTART_S
        ]
        if n_slots < 2 or not waiting:
            self.free_since_by_cell.pop(cell.cell_id, None)
            return
        since = self.free_since_by_cell.setdefault(cell.cell_id, self.now)
        self.longest_wait_s = max(self.longest_wait_s, self.now - since)


def lasting(number, n_tasks, queue=LASTING_QUEUE, max_unavailable=None):
    step = Step(
        n_tasks,
        LASTING_DEMAND,
        estimate_s=0.5,
        is_long_running=True,
        max_unavailable=max_unavailable,
    )
    return Submission(f"1a{number:014x}", queue, "s", (step,))


def short(number, n_tasks=SHORT_WIDTH, queue=SHORT_QUEUE):
    step = Step(n_tasks, TaskDemand(1000, 100), estimate_s=SHORT_S)
    return Submission(f"5c{number:014x}", queue, "s", (step,))


@given(
    "{n:d} cells whose long-running tasks reserve all processors, "
    "while more of them wait"
)
def step_full_cells(context, n):
    context.make_loop = lambda seed: _fill(PreemptionLoop(seed, (N_WORKERS,) * n), n)


def _fill(loop, n_cells):
    loop.moves_tasks = False
    for number in range(n_cells):
        n_tasks = N_WORKERS * CORES
        loop.accept(number, lasting(number, n_tasks))
        # More than preemption and failures free in the whole history.
        loop.accept(number, lasting(100 + number, n_tasks))
    for _ in range(BEGIN_TICKS):
        loop.tick()
    return loop


@when(
    "short submissions that need {share:d} percent of the processors come for "
    "{length:d} s, seed {seed:d}"
)
def step_short_load(context, share, length, seed):
    loop = context.make_loop(seed)
    rng = random.Random(f"short {seed}")
    cores = N_CELLS * N_WORKERS * CORES * share / 100
    rate = cores / (SHORT_WIDTH * SHORT_S)
    arrivals = []
    at = loop.now
    while at < loop.now + length:
        at += rng.expovariate(rate)
        cell = rng.randrange(N_CELLS)
        arrivals.append(Arrival(at, cell, short(len(arrivals))))
    context.outcomes = loop.run(arrivals, loop.now + length + 5.0)
    context.loop = loop


@then("at least three quarters of the short submissions are in time")
def step_in_time(context):
    outcomes = context.outcomes
    n_in_time = outcomes.count("in time")
    assert 4 * n_in_time >= 3 * len(outcomes.arrivals), (
        f"{n_in_time} of {len(outcomes.arrivals)} in time"
    )


@then("at most {percent:d} percent of the long-running tasks of a cell yield at a time")
def step_most_away(context, percent):
    assert context.loop.ends, "nothing yielded"
    assert context.loop.most_away <= percent / 100 + 0.01, context.loop.most_away


@then("no long-running task waits for 3 s beside capacity for two")
def step_run_again(context):
    assert context.loop.longest_wait_s < MAX_WAIT_S, context.loop.longest_wait_s


def _full_worker(context, **options):
    context.loop = loop = PreemptionLoop(1, (1,))
    loop.moves_tasks = False
    loop.accept(0, lasting(1, CORES, **options))
    for _ in range(BEGIN_TICKS * 2):
        loop.tick()
    assert len(loop.cells[0].run_by_task) == CORES


@given("a full worker of long-running tasks")
def step_full_worker(context):
    _full_worker(context)


@given("a full worker of long-running tasks of which {n:d} may be unavailable")
def step_full_bounded(context, n):
    _full_worker(context, max_unavailable=n)


@given("a full worker of long-running tasks of a higher priority")
def step_full_priority(context):
    _full_worker(context, queue=QueuePolicy("watch", "svc", priority=0))


def _wait(loop, seconds):
    for _ in range(round(seconds / loop.tick_s)):
        loop.tick()


@when("a short task that is in time waits for {seconds:d} s")
def step_short_waits(context, seconds):
    context.loop.accept(0, short(1, n_tasks=1))
    _wait(context.loop, seconds)


@when("a short task that is late waits for {seconds:d} s")
def step_late_waits(context, seconds):
    context.loop.accept(0, short(1, n_tasks=1), age_s=60.0)
    _wait(context.loop, seconds)


@then("no long-running task has ended")
def step_none_ended(context):
    assert not context.loop.ends, context.loop.ends


@when("a second short task comes")
def step_second(context):
    assert context.loop.ends, "no long-running task yielded"
    context.loop.accept(0, short(2, n_tasks=1))
    context.second_at = context.loop.now


@then("the second short task starts within {seconds:g} s")
def step_second_starts(context, seconds):
    _wait(context.loop, seconds)
    second = short(2).submission_id
    starts = [at for at, task in context.loop.started if task.submission_id == second]
    assert starts and starts[0] - context.second_at <= seconds + 1e-6, starts


@then(
    "the long-running task that yielded runs again {least:d} to {most:d} s "
    "after its end"
)
def step_runs_again(context, least, most):
    ended_at, task = context.loop.ends[0]
    _wait(context.loop, most)
    starts = [at for at, t in context.loop.started if t == task and at > ended_at]
    assert starts and least - 0.3 <= starts[0] - ended_at <= most, (ended_at, starts)


@given("a full worker of long-running tasks, one of which is cancelled")
def step_one_cancelled(context):
    context.loop = loop = PreemptionLoop(1, (1,))
    loop.moves_tasks = False
    loop.accept(0, lasting(1, CORES - 1))
    loop.accept(0, lasting(2, 1))
    _wait(loop, BEGIN_TICKS * 2 * loop.tick_s)
    loop.cells[0].cancel(lasting(2, 1).submission_id, loop.now)


@when("a long-running task that hasn't run and a short task in time wait")
def step_new_lasting_waits(context):
    loop = context.loop
    loop.started.clear()
    loop.accept(0, lasting(3, 1))
    loop.accept(0, short(1, n_tasks=1))
    _wait(loop, 10.0)


@then("the short task starts first and the long-running task after it")
def step_short_first(context):
    order = [task.submission_id for _, task in context.loop.started]
    expected = [short(1).submission_id, lasting(3, 1).submission_id]
    assert order == expected, order


@given("a worker with capacity for two long-running tasks, where one has just yielded")
def step_room_for_two(context):
    scripted_cell = ScriptedCell(1, 2 * CORES * 1000, expected_finish=True)
    scripted_cell.step()
    scripted_cell.cell.confirmation.confirmed_at = float("inf")
    scripted_cell.cell.preemption._yielded_at = scripted_cell.now
    context.scripted_cell = scripted_cell


@when("a long-running task that hasn't run waits")
def step_new_lasting(context):
    wait_for_start(context, Progress())


@when("a long-running task that may have crashed a worker before waits")
def step_suspect_lasting(context):
    task = TaskKey(SUBMISSION_ID, 0, 0, 0)
    crashes = {task: {1: CrashEvidence.POSSIBLE}}
    wait_for_start(context, Progress(crashed_runs_by_task=crashes))


def wait_for_start(context, progress):
    """Let a task that takes half the worker wait for its start, for at most 10 s."""
    scripted_cell = context.scripted_cell
    step = Step(1, TaskDemand(CORES * 1000, 100), is_long_running=True)
    scripted_cell.submit(step, queue=LASTING_QUEUE, progress=progress)
    began_at = scripted_cell.now
    while not scripted_cell.starts and scripted_cell.now - began_at < 10.0:
        scripted_cell.step(0.1)
    context.waited_s = scripted_cell.now - began_at


@then("it starts within {seconds:f} s")
def step_starts_within(context, seconds):
    assert context.waited_s <= seconds, context.waited_s

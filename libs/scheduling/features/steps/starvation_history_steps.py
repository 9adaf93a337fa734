from dataclasses import replace

from behave import given, then, when
from filler_steps import FILLER, SERVING, add_submission, make_cell, make_step
from starvation_simulation import StarvationSimulation

from berylcleat.model import TaskKey
from berylcleat.scheduling import (
    CellHeadroom,
    CellScheduler,
    FillerHeadroom,
    InterferenceModel,
    LeaseTimes,
)

DAY_S = 20.0
SEED_LIMIT = 20
HEAVY_LOG_ODDS = 5.0
# Processor time of another cell, in thousandths of a core.
CELL_MILLIS = 32000
# Seconds after which a worker's serving task has long been over its target.
SETTLED_S = 6.0
FILLER_NUMBER = 2


def play_days(seeds, n_cells, **counts):
    sims = {}
    for seed in map(int, seeds.split()):
        sim = StarvationSimulation(seed, n_cells, **counts)
        sim.simulate(DAY_S)
        sims[seed] = sim
    return sims


@when("days of {n_cells:d} cells that end in a burst of fillers are played, {seeds}")
def step_play(context, n_cells, seeds):
    context.sims = play_days(seeds.removeprefix("seeds "), n_cells)


@when(
    "days of {n_cells:d} cells that end in a burst of fillers are played by real use, "
    "{seeds}"
)
def step_play_by_real_use(context, n_cells, seeds):
    seeds = seeds.removeprefix("seeds ")
    context.sims = play_days(seeds, n_cells, counts_real_use=True)


@when(
    "days of {n_cells:d} cells that end in a burst of fillers are played by reserved "
    "capacity, {seeds}"
)
def step_play_by_reserved(context, n_cells, seeds):
    seeds = seeds.removeprefix("seeds ")
    context.sims = play_days(seeds, n_cells, counts_reserved_only=True)


@when(
    "days of {n_cells:d} cells that end in a burst of fillers are played without moves "
    "until work waits"
)
def step_play_without_moves(context, n_cells):
    context.violation = None
    for seed in range(1, SEED_LIMIT):
        sim = StarvationSimulation(seed, n_cells, has_moves=False)
        sim.simulate(DAY_S)
        texts = sim.liveness.violations.values()
        lost = [text for text in texts if "no worker in the cell" in text]
        if lost:
            context.violation = lost[0]
            return


@when(
    "days of {n_cells:d} cells that end in a burst of fillers are played without stops "
    "until a serving task is harmed"
)
def step_play_without_stops(context, n_cells):
    context.violation = None
    for seed in range(1, SEED_LIMIT):
        sim = StarvationSimulation(seed, n_cells, has_stops=False)
        sim.simulate(DAY_S)
        if sim.harm.violations:
            context.violation = next(iter(sim.harm.violations.values()))
            return


@then("no serving task was kept over its target for long by fillers")
def step_no_harm(context):
    harmed = {seed: sim.harm.violations for seed, sim in context.sims.items()}
    found = {seed: list(texts.values())[:3] for seed, texts in harmed.items() if texts}
    assert not found, found


@given('a cell without workers in which a filler "{filler}" waits')
def step_cell_without_workers(context, filler):
    context.interference = InterferenceModel()
    context.interference.restore({(filler, "web"): HEAVY_LOG_ODDS})
    cell = CellScheduler("r1", 1, LeaseTimes(), 0.0, 0.0, (), context.interference)
    cell.on_workers_recorded(frozenset())
    context.worker = EmptyCell(cell)
    add_submission(context, FILLER_NUMBER, make_step(FILLER, filler))


class EmptyCell:
    """Cell scheduler without workers."""

    def __init__(self, cell):
        self.cell = cell
        self.now = 0.0
        self.ran = set()

    def step(self):
        self.now += 0.1
        self.cell.on_recorded(self.cell.take_batch())
        assert not self.cell.plan(self.now, 0.0)


@given(
    "a cell whose only worker runs {n:d} tasks that stay at {ratio:f} of their target, "
    'and a filler "{filler}" waits'
)
def step_cell_over_target(context, n, ratio, filler):
    make_cell(context, n, "web", filler)
    worker = context.worker
    worker.reading = ratio * SERVING.target_latency_ms
    while worker.now < SETTLED_S:
        worker.step()
    add_submission(context, FILLER_NUMBER, make_step(FILLER, filler))


@given("the filler has moved {n:d} times")
def step_has_moved(context, n):
    tracked = context.worker.cell.submissions.by_id[f"{FILLER_NUMBER:016x}"]
    tracked.n_moves_by_task[TaskKey(f"{FILLER_NUMBER:016x}", 0, 0, 0)] = n


@given("another cell's room for it is {room}")
def step_other_cell(context, room):
    headroom = CellHeadroom(
        "r2",
        "svc",
        CELL_MILLIS,
        (FillerHeadroom(("web",), CELL_MILLIS // 2),),
        0,
        CELL_MILLIS,
        (CELL_MILLIS,),
    )
    if room == "beside no task":
        mild = (FillerHeadroom((), CELL_MILLIS // 2),)
        headroom = replace(headroom, filler_headrooms=mild)
    elif room == "that of its waiting fillers":
        headroom = replace(headroom, fill_waiting=CELL_MILLIS // 2)
    elif room == "that of its waiting short tasks":
        headroom = replace(headroom, filler_headrooms=(), free=0, waiting=CELL_MILLIS)
    else:
        assert room == "beside a task that it may disturb", room
    context.headrooms = (headroom,)


@given("there is no other cell")
def step_no_other_cell(context):
    context.headrooms = ()


def has_started_or_moves(context, seconds):
    """Return whether the filler starts, or a move is proposed, within some seconds."""
    worker = context.worker
    until = worker.now + seconds
    while worker.now < until:
        worker.step()
        if f"{FILLER_NUMBER:016x}" in worker.ran:
            return True
        if worker.cell.propose_moves(context.headrooms, worker.now):
            return True
    return False


@then("the filler has started or is to move within {seconds:d} s")
def step_starts_or_moves(context, seconds):
    assert has_started_or_moves(context, seconds)


@then("the filler neither starts nor moves within {seconds:d} s")
def step_neither(context, seconds):
    assert not has_started_or_moves(context, seconds)

import random
from dataclasses import replace

from behave import given, then, when
from load_loop import FILLER_COST, Arrival, LoadLoop, work_of

from berylcleat.model import QueuePolicy, Step, Submission, TaskDemand

BATCH = QueuePolicy(
    "batch", "svc", priority=2, max_attempts=3, stretch=2.0, objective_ms=4000
)
# Processors that fillers can use on a worker of 8 cores beside its serving task.
FILLER_CORES = 5
DEMAND = TaskDemand(1000, 100)
USUAL_LOAD = 0.7
BURST_S = 6.0
SETTLE_TICKS = 30
MAX_LENGTH_S = 150.0


def make_filler(rng, n_tasks=0, estimate_s=0.0):
    n_tasks = n_tasks or min(40, max(2, int(rng.lognormvariate(2.4, 0.6))))
    estimate_s = estimate_s or rng.uniform(0.5, 1.5)
    steps = [Step(n_tasks, DEMAND, estimate_s=estimate_s, fills=True, image="press")]
    if rng.random() < 0.5:
        steps.append(
            Step(
                max(1, n_tasks // 3),
                DEMAND,
                estimate_s=estimate_s,
                fills=True,
                image="press",
                after=(0,),
            )
        )
    return Submission(f"{rng.getrandbits(64):016x}", BATCH, "s", tuple(steps))


def make_burst(random_state, factor, cell_sizes):
    """Return arrivals at a multiple of what can be done, then at the usual rate."""
    rng = random.Random(random_state)
    core_s_per_s = sum(cell_sizes) * FILLER_CORES / FILLER_COST
    mean_core_s = sum(work_of(make_filler(rng)) for _ in range(300)) / 300
    began_at = at = 5.0
    arrivals = []
    while at < began_at + 4 * BURST_S:
        load = factor if at < began_at + BURST_S else USUAL_LOAD
        at += rng.expovariate(core_s_per_s * load / mean_core_s)
        arrivals.append(Arrival(at, rng.randrange(len(cell_sizes)), make_filler(rng)))
    return arrivals


def make_queue(random_state, n_cells):
    """Return long submissions at once and short ones during the next seconds."""
    rng = random.Random(random_state)
    arrivals = [
        Arrival(5.0, n % n_cells, make_filler(rng, 20, rng.uniform(2.0, 3.0)))
        for n in range(5 * n_cells)
    ]
    return arrivals + [
        Arrival(rng.uniform(5.5, 12.0), n % n_cells, make_filler(rng, 4, 0.5))
        for n in range(15 * n_cells)
    ]


def play(arrivals, cell_sizes, random_state, *, expected_finish, serves=True):
    loop = LoadLoop(random_state, cell_sizes, expected_finish=expected_finish)
    if serves:
        loop.serve()
    for _ in range(SETTLE_TICKS):
        loop.tick()
    return loop, loop.run(arrivals, MAX_LENGTH_S)


def compare(context, n_seeds, cell_sizes, make_arrivals, *, serves=True):
    """Play the same loads without and with the switch; keep the loops with it."""
    context.pairs, context.loops = [], []
    for seed in range(1, n_seeds + 1):
        arrivals = make_arrivals(seed)
        (_, before), (loop, after) = (
            play(arrivals, cell_sizes, seed, expected_finish=switch, serves=serves)
            for switch in (False, True)
        )
        context.pairs.append((before, after))
        context.loops.append(loop)


def total(context, number):
    outcomes = [pair[number] for pair in context.pairs]
    in_time = sum(item.count("in time") for item in outcomes)
    return in_time, sum(item.value() for item in outcomes)


@given(
    "fillers offered {factor:f} times what {n_cells:d} cells of {size:d} workers can "
    "do for 6 s, of {n:d} seeds"
)
def step_burst(context, factor, n_cells, size, n):
    sizes = (size,) * n_cells
    compare(context, n, sizes, lambda seed: make_burst(seed, factor, sizes))


@given(
    "a queue of long submissions before short ones in {n_cells:d} cells, of {n:d} seeds"
)
def step_queue(context, n_cells, n):
    compare(context, n, (4,) * n_cells, lambda seed: make_queue(seed, n_cells))


@then("by expected finish {more} in time, and what counts is worth as much")
def step_more(context, more):
    (n_before, value_before), (n_after, value_after) = (
        total(context, 0),
        total(context, 1),
    )
    n_required = n_before + 1 if more == "more submissions are" else n_before
    assert n_after >= n_required, (n_before, n_after)
    assert value_after >= value_before, (value_before, value_after)


@then("the largest submissions are served at least half as often as their queue")
def step_sizes(context):
    served = [0.0, 0.0, 0.0]
    n = [0, 0, 0]
    for _, outcomes in context.pairs:
        groups = (set(outcomes.arrivals), *outcomes.largest("batch"))
        for number, ids in enumerate(groups):
            served[number] += outcomes.share_served(ids) * len(ids)
            n[number] += len(ids)
    shares = [served[number] / n[number] for number in range(3)]
    assert min(shares[1:]) >= shares[0] / 2, shares


@then("every submission ends")
def step_all_end(context):
    for _, outcomes in context.pairs:
        left = outcomes.arrivals.keys() - outcomes.ended_at.keys()
        assert not left, left


# One cell


def make_loop(n_workers):
    loop = LoadLoop(1, (n_workers,), expected_finish=True)
    for _ in range(5):
        loop.tick()
    return loop


def add(loop, number, step, *, queue=BATCH, age_s=0.0, home=0):
    submission_id = f"{number:016x}"
    loop.accept(home, Submission(submission_id, queue, "s", (step,)), age_s)
    return submission_id


@given("a full cell ordered by expected finish")
def step_full_cell(context):
    context.loop = make_loop(1)
    add(context.loop, 1, Step(8, DEMAND, estimate_s=1.0))
    context.loop.tick()
    context.loop.started.clear()


def run_both(context, first, second):
    context.first, context.second = first, second
    for _ in range(60):
        context.loop.tick()
    order = [task.submission_id for _, task in context.loop.started]
    context.order = [item for item in order if item in (first, second)]


@when("a late submission of priority 1 and one of priority 2 that is in time wait")
def step_priorities(context):
    step = Step(8, DEMAND, estimate_s=0.5)
    urgent = QueuePolicy("urgent", "svc", priority=1, objective_ms=1000)
    second = add(context.loop, 2, step)
    run_both(context, add(context.loop, 3, step, queue=urgent, age_s=60.0), second)


@when("a long-running task due 60 s ago loses its worker and an urgent task comes")
def step_long_running_waits(context):
    loop = context.loop
    demand = TaskDemand(8000, 100)
    step = Step(1, demand, estimate_s=0.5, is_long_running=True)
    first = add(loop, 3, step, age_s=60.0)
    for _ in range(SETTLE_TICKS):
        loop.tick()
    assert any(task.submission_id == first for _, task in loop.started)
    loop.started.clear()
    restart_worker(loop, "r0-w0")
    run_both(context, first, add(loop, 2, Step(1, demand, estimate_s=0.5)))


def restart_worker(loop, worker_id):
    """Crash a worker and list its next incarnation."""
    worker = loop.workers[worker_id]
    worker.crash(loop.now)
    worker.entry = replace(worker.entry, started_at_ms=worker.started_at_ms)
    loop.cells[0].list_worker(worker.entry, loop.now)


@then("tasks of priority 1 start first")
@then("the long-running task starts first")
def step_starts_first(context):
    n = context.order.count(context.first)
    assert n and set(context.order[:n]) == {context.first}, context.order


def keep_busy(loop, seconds):
    """Run fillers, which take twice their estimate, and return the learnt ratio."""
    for _ in range(round(seconds / 1.5)):
        add(loop, len(loop.steps_by_id) + 10, make_filler_step())
        for _ in range(15):
            loop.tick()


def make_filler_step():
    return Step(4, DEMAND, estimate_s=0.5, fills=True, image="press")


def learnt_ratio(loop):
    return loop.cells[0].estimator.run_times.ratio("batch", True, loop.now)


@given("a cell whose steps take twice their estimate")
def step_slow_cell(context):
    context.loop = make_loop(1)
    keep_busy(context.loop, 8.0)
    assert learnt_ratio(context.loop) > 1.5, learnt_ratio(context.loop)


@when("its owner is lost and another one takes over")
def step_take_over(context):
    loop = context.loop
    loop.cells[0] = loop.make_scheduler("r0", 2)


@then("the new owner expects the estimates at first and twice as much within 8 s")
def step_relearns(context):
    assert learnt_ratio(context.loop) == 1.0
    keep_busy(context.loop, 8.0)
    assert learnt_ratio(context.loop) > 1.5, learnt_ratio(context.loop)


@when("nothing ends for {seconds:d} s")
def step_idle(context, seconds):
    for _ in range(seconds * 10):
        context.loop.tick()


@then("its steps are expected to take their estimates within a tenth")
def step_faded(context):
    assert learnt_ratio(context.loop) < 1.1, learnt_ratio(context.loop)


@given("a submission that was demoted since too much work was before it")
def step_demoted(context):
    context.loop = make_loop(1)
    step = Step(8, DEMAND, estimate_s=2.0)
    earlier = [add(context.loop, n, step, age_s=0.5) for n in range(2, 6)]
    context.demoted = add(context.loop, 9, step)
    context.earlier = earlier[1:]
    context.loop.tick()
    context.demoted_at = context.loop.now
    assert context.loop.cells[0].finish_order.is_late(context.demoted)


@when("the work before it is withdrawn")
def step_withdraw(context):
    for submission_id in context.earlier:
        context.loop.cells[0].cancel(submission_id, context.loop.now)


@then("it counts as late for 2 s from its demotion and in time afterwards")
def step_returns(context):
    loop, order = context.loop, context.loop.cells[0].finish_order
    while loop.now < context.demoted_at + 1.9:
        loop.tick()
        assert order.is_late(context.demoted)
    for _ in range(5):
        loop.tick()
    assert not order.is_late(context.demoted)


# Cells of one and of two racks

RACK_WORKERS = 4
WIDE_LENGTH_S = 15.0
WIDE_QUEUE = QueuePolicy(
    "batch", "svc", priority=2, max_attempts=3, stretch=3.0, objective_ms=1000
)


def make_wide(rng):
    """Return a submission of two steps that take the fillers' cores of a rack each."""
    steps = tuple(
        Step(
            rng.randint(15, 25),
            DEMAND,
            estimate_s=rng.uniform(1.5, 2.5),
            fills=True,
            image="press",
            after=after,
        )
        for after in ((), (0,))
    )
    return Submission(f"{rng.getrandbits(64):016x}", WIDE_QUEUE, "s", steps)


def make_wide_load(random_state, load, n_racks):
    """Return pairs of an arrival time and rack with a wide submission."""
    rng = random.Random(random_state)
    core_s_per_s = n_racks * RACK_WORKERS * FILLER_CORES / FILLER_COST
    mean_core_s = sum(work_of(make_wide(rng)) for _ in range(300)) / 300
    at = 5.0
    arrivals = []
    while at < 5.0 + WIDE_LENGTH_S:
        at += rng.expovariate(core_s_per_s * load / mean_core_s)
        arrivals.append((at, rng.randrange(n_racks), make_wide(rng)))
    return arrivals


@given(
    "steps as wide as a rack, offered {load:f} of what {n_racks:d} racks of 4 workers "
    "can do for 15 s, of {n:d} seeds"
)
def step_wide(context, load, n_racks, n):
    context.pairs = []
    for seed in range(1, n + 1):
        wide = make_wide_load(seed, load, n_racks)
        outcomes = []
        for n_pooled in (1, 2):
            arrivals = [Arrival(at, rack // n_pooled, sub) for at, rack, sub in wide]
            sizes = (RACK_WORKERS * n_pooled,) * (n_racks // n_pooled)
            _, outcome = play(arrivals, sizes, seed, expected_finish=True)
            outcomes.append(outcome)
        context.pairs.append(tuple(outcomes))


@then(
    "in cells of two racks at least a tenth more submissions are in time than in cells "
    "of one"
)
def step_wide_in_time(context):
    (n_one, _), (n_two, _) = total(context, 0), total(context, 1)
    assert n_two >= 1.1 * n_one, (n_one, n_two)


@then("what counts is worth more")
def step_wide_worth(context):
    (_, value_one), (_, value_two) = total(context, 0), total(context, 1)
    assert value_two > value_one, (value_one, value_two)

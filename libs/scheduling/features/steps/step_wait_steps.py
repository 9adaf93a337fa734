from behave import given, then
from load_loop import LoadLoop

from berylcleat.model import QueuePolicy, Step, Submission, TaskDemand
from berylcleat.scheduling import CellHeadroom

QUEUE = QueuePolicy("interactive", "svc", stretch=1.5, objective_ms=300)
WORKER_CORES = 8


@given("a cell of {n:d} workers with {free:d} cores free each and a task of 4 cores")
def step_cell(context, n, free):
    context.loop = loop = LoadLoop(1, (n,), expected_finish=True)
    demand = TaskDemand((WORKER_CORES - free) * 1000, 100)
    standing = Step(n, demand, is_long_running=True, max_per_worker=1)
    loop.accept(0, Submission("01", QUEUE, "s", (standing,)))
    for _ in range(5):
        loop.tick()
    assert len(loop.started) == n, loop.started
    step = Step(1, TaskDemand(4000, 100), estimate_s=1.0)
    loop.accept(0, Submission("02", QUEUE, "s", (step,)))


@given("another cell with {cores:d} cores free on one worker")
def step_other_cell(context, cores):
    free = cores * 1000
    headroom = CellHeadroom("other", "svc", free, (), 0, 8000, (free, 0))
    context.loop.cells[0].propose_moves((headroom,), context.loop.now)


@then('the step waits for "{reason}"')
def step_reason(context, reason):
    (ready,) = context.loop.cells[0].submissions.iter_ready()
    wait = context.loop.cells[0].explain_step_wait(ready, context.loop.now)
    assert wait.reason.value == reason, wait

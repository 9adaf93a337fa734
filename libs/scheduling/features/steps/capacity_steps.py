from dataclasses import replace

from behave import given, then, when

from berylcleat.model import Step, TaskDemand, TaskKey
from berylcleat.ports import EndedTask, RunEnd
from berylcleat.scheduling import CellHeadroom, FillerHeadroom

EARLIER_ID = "e" * 16
FILLER_ID = "d" * 16
EARLIER_TASK = TaskKey(EARLIER_ID, 0, 0, 0)


def report_earlier_run(scripted_cell):
    scripted_cell.running["w0"][EARLIER_TASK] = 1
    scripted_cell.step()


@given("the worker reports a run of {cores:d} cores of a submission that was cancelled")
def step_cancelled_run(context, cores):
    step = Step(1, TaskDemand(cores * 1000, 100))
    context.scripted_cell.submit(step, submission_id=EARLIER_ID)
    context.scripted_cell.cell.cancel(EARLIER_ID, context.scripted_cell.now)
    report_earlier_run(context.scripted_cell)


@given("the worker reports a run of a submission that is unknown")
def step_unknown_run(context):
    report_earlier_run(context.scripted_cell)


@when("the submission with a step of {cores:d} cores becomes known")
def step_becomes_known(context, cores):
    step = Step(1, TaskDemand(cores * 1000, 100))
    context.scripted_cell.submit(step, submission_id=EARLIER_ID, inherited=True)
    context.scripted_cell.step()


@when("a task of {cores:d} cores is added")
def step_add(context, cores):
    step = Step(1, TaskDemand(cores * 1000, 100))
    context.scripted_cell.submit(step, submission_id="b" * 16)
    context.scripted_cell.step()


@when("another task of {cores:d} cores is added")
def step_add_another(context, cores):
    context.scripted_cell.starts.clear()
    step = Step(1, TaskDemand(cores * 1000, 100))
    context.scripted_cell.submit(step, submission_id="c" * 16)
    context.scripted_cell.step()


@when("the end of the run is listed")
def step_end_listed(context):
    scripted_cell = context.scripted_cell
    run = scripted_cell.running["w0"].pop(EARLIER_TASK)
    end = EndedTask(1, EARLIER_TASK, run, RunEnd.STOPPED, "")
    scripted_cell.ended["w0"].append(end)
    scripted_cell.step()


@when("the capacity of the worker changes to {cores:d} cores")
def step_change_capacity(context, cores):
    scripted_cell = context.scripted_cell
    entry = scripted_cell.cell.worker_by_id["w0"].entry
    changed = replace(entry, capacity=TaskDemand(cores * 1000, 64000))
    scripted_cell.cell.list_worker(changed, scripted_cell.now)
    scripted_cell.step()


@given("its workers don't check whether a task fits")
def step_unguarded(context):
    context.scripted_cell.cell.unguarded_services = frozenset({"svc"})


@when("the list of workers is {seconds:d} seconds old")
def step_list_age(context, seconds):
    scripted_cell = context.scripted_cell
    scripted_cell.cell.workers_listed_at = scripted_cell.now - seconds
    scripted_cell.step()


@given("a serving task and a filler run on each worker")
def step_serving_and_filler(context):
    scripted_cell = context.scripted_cell
    serving = Step(
        2, TaskDemand(1000, 100), is_long_running=True, image="s", target_latency_ms=50
    )
    filler = Step(2, TaskDemand(500, 100), fills=True, image="f")
    scripted_cell.submit(serving, filler, submission_id="f" * 16)
    for _ in range(20):
        scripted_cell.step()
        while scripted_cell.starts:
            scripted_cell.accept(scripted_cell.starts.pop())
    assert all(len(runs) >= 1 for runs in scripted_cell.running.values())


@given("a serving task of {cores:d} cores runs on the worker")
def step_serving_task(context, cores):
    scripted_cell = context.scripted_cell
    demand = TaskDemand(cores * 1000, 100)
    step = Step(1, demand, is_long_running=True, image="web", target_latency_ms=50)
    scripted_cell.submit(step, submission_id="f" * 16)
    scripted_cell.step()
    scripted_cell.accept(scripted_cell.starts.pop())


@when("a filler of {cores:d} core is added")
def step_add_filler(context, cores):
    step = Step(1, TaskDemand(cores * 1000, 100), fills=True, image="batch")
    context.scripted_cell.submit(step, submission_id=FILLER_ID)
    context.scripted_cell.step()


@given("fillers disturb serving tasks")
def step_disturbing(context):
    context.scripted_cell.cell.interference.restore({("batch", "web"): 5.0})


@when(
    "a filler of {cores:d} core waits for {seconds:d} seconds "
    "beside a cell with {free:d} of {capacity:d} cores free"
)
def step_filler_waits(context, cores, seconds, free, capacity):
    scripted_cell = context.scripted_cell
    fillers = (FillerHeadroom(("web",), capacity * 1000 // 2),)
    headroom = CellHeadroom("r2", "svc", free * 1000, fillers, 0, capacity * 1000)
    step = Step(1, TaskDemand(cores * 1000, 100), fills=True, image="batch")
    scripted_cell.submit(step, submission_id=FILLER_ID)
    context.proposals = []
    until = scripted_cell.now + seconds
    while scripted_cell.now < until:
        scripted_cell.step()
        proposals = scripted_cell.cell.propose_moves((headroom,), scripted_cell.now)
        context.proposals.extend(proposals)


@then("the filler was {handled}")
def step_filler_handled(context, handled):
    started = [item.order.task for item in context.scripted_cell.starts]
    moved = [p.move_by_task for p in context.proposals]
    task = TaskKey(FILLER_ID, 0, 0, 0)
    assert (task in started) == (handled == "forced"), started
    assert any(task in moves for moves in moved) == (handled == "moved"), moved


@then("the headroom for fillers is {amount}")
def step_filler_headroom(context, amount):
    headrooms = context.scripted_cell.cell.filler_headrooms()
    left = sum(headroom.cpu_left for headroom in headrooms)
    assert (left > 0) == (amount == "some"), headrooms


@when("the worker restarts and reports before the list names the restart")
def step_restart(context):
    scripted_cell = context.scripted_cell
    scripted_cell.started_at_ms["w0"] += 1000
    scripted_cell.step()


@when("the list names the restart with {cores:d} cores")
def step_list_restart(context, cores):
    scripted_cell = context.scripted_cell
    entry = scripted_cell.cell.worker_by_id["w0"].entry
    capacity = TaskDemand(cores * 1000, 64000)
    started_at_ms = scripted_cell.started_at_ms["w0"]
    listed = replace(entry, capacity=capacity, started_at_ms=started_at_ms)
    scripted_cell.cell.list_worker(listed, scripted_cell.now)
    scripted_cell.step()


@then("no task is started")
def step_no_start(context):
    assert not context.scripted_cell.starts, context.scripted_cell.starts


@then("the task of {cores:d} cores is started")
def step_started(context, cores):
    started = [item.order.task for item in context.scripted_cell.starts]
    assert started == [TaskKey("b" * 16, 0, 0, 0)], started
    context.scripted_cell.accept(context.scripted_cell.starts[0])

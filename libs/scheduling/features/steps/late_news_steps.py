from behave import then, when
from gang_steps import GANG_ID

from berylcleat.model import QueuePolicy, Step, Submission, TaskDemand, TaskKey
from berylcleat.ports import EndedTask, RunEnd
from berylcleat.scheduling import Progress

TASK = TaskKey(GANG_ID, 0, 0, 0)


@when("a worker reports the end of a task whose submission is unknown")
def step_end(context):
    context.gang.ended["w0"].append(EndedTask(1, TASK, 1, RunEnd.DONE, ""))
    context.gang.step()


@when("a worker reports a run of a task whose submission is unknown")
def step_run(context):
    context.gang.running["w0"][TASK] = 1
    context.gang.step()


@when("the submission becomes known")
def step_known(context):
    gang = context.gang
    steps = (Step(1, TaskDemand(1000, 100)), Step(1, TaskDemand(1000, 100), after=(0,)))
    gang.cell.add_submission(
        Submission(GANG_ID, QueuePolicy("q", "svc"), "s", steps),
        Progress(),
        gang.now,
        gang.now,
        inherited=True,
    )
    gang.step()


@when("{seconds:d} seconds pass")
def step_pass(context, seconds):
    for _ in range(seconds * 5):
        context.gang.step()


@then("nothing may be acknowledged")
def step_no_ack(context):
    assert not context.gang.cell.take_batch().ack_by_worker


@then("the end may be acknowledged")
def step_ack(context):
    assert context.gang.cell.take_batch().ack_by_worker["w0"][1] == 1


@then("the task counts as done and isn't started")
def step_counted(context):
    started = [item.order.task for item in context.gang.starts]
    assert started == [TASK._replace(step=1)], started


@then("nothing is stopped")
def step_not_stopped(context):
    assert not context.gang.stops, context.gang.stops


@then("the task isn't started a second time")
def step_once(context):
    assert not context.gang.starts, context.gang.starts


@then("the run is stopped")
def step_stopped_late(context):
    assert context.gang.stops[0].order.task == TASK

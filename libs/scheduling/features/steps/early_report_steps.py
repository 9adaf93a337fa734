from behave import then, when
from gang_steps import SUBMISSION_ID

from berylcleat.model import Step, TaskDemand, TaskKey
from berylcleat.ports import EndedTask, RunEnd

TASK = TaskKey(SUBMISSION_ID, 0, 0, 0)


@when("a worker reports the end of a task whose submission is unknown")
def step_end(context):
    context.scripted_cell.ended["w0"].append(EndedTask(1, TASK, 1, RunEnd.DONE, ""))
    context.scripted_cell.step()


@when("a worker reports a run of a task whose submission is unknown")
def step_run(context):
    context.scripted_cell.running["w0"][TASK] = 1
    context.scripted_cell.step()


@when(
    "the worker reports that task {index:d} of step {step:d} of occurrence {number:d} "
    "is done"
)
def step_other_end(context, index, step, number):
    task = TaskKey(SUBMISSION_ID, number, step, index)
    context.scripted_cell.ended["w0"].append(EndedTask(1, task, 1, RunEnd.DONE, ""))
    context.scripted_cell.step()


@then("the submission has no task that is done")
def step_none_done(context):
    tracked = context.scripted_cell.cell.submissions.by_id[SUBMISSION_ID]
    assert not tracked.progress.done_by_step, tracked.progress


@when("the submission is added")
def step_add_submission(context):
    scripted_cell = context.scripted_cell
    steps = (Step(1, TaskDemand(1000, 100)), Step(1, TaskDemand(1000, 100), after=(0,)))
    scripted_cell.submit(*steps, inherited=True)
    scripted_cell.step()


@when("{seconds:d} seconds pass")
def step_advance(context, seconds):
    for _ in range(seconds * 5):
        context.scripted_cell.step()


@then("no end may be acknowledged")
def step_no_ack(context):
    assert not context.scripted_cell.cell.take_batch().ack_by_worker


@then("the end may be acknowledged")
def step_ack(context):
    assert context.scripted_cell.cell.take_batch().ack_by_worker["w0"][1] == 1


@then("the task counts as done and isn't started")
def step_counted_as_done(context):
    started = [item.order.task for item in context.scripted_cell.starts]
    assert started == [TASK._replace(step=1)], started


@then("no run is stopped")
def step_not_stopped(context):
    assert not context.scripted_cell.stops, context.scripted_cell.stops


@then("the task isn't started a second time")
def step_not_started_again(context):
    assert not context.scripted_cell.starts, context.scripted_cell.starts


@then("the run is stopped")
def step_unknown_run_stopped(context):
    assert context.scripted_cell.stops[0].order.task == TASK


@when("the worker is silent and no longer listed, and is forgotten if it may be")
def step_forget(context):
    cell = context.scripted_cell.cell
    context.scripted_cell.silent.add("w0")
    cell.unlist_worker("w0")
    cell.on_hold_failed("w0", context.scripted_cell.now)
    if cell.can_forget("w0"):
        del cell.worker_by_id["w0"]


@then('the owner knows "{name}"')
def step_known(context, name):
    assert name in context.scripted_cell.cell.worker_by_id


@then('the owner doesn\'t know "{name}"')
def step_not_known(context, name):
    assert name not in context.scripted_cell.cell.worker_by_id


@then('the task has started on "{name}" alone')
def step_started_on(context, name):
    started = [item.worker_id for item in context.scripted_cell.starts]
    assert started == [name], started

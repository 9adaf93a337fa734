from behave import given, then, when
from confirmation_steps import restart
from gang_steps import ScriptedCell
from runs_once_steps import STEP, advance, start_task

from berylcleat.model import Step, TaskDemand, TaskKey
from berylcleat.ports import OrderAnswer, OrderResult

OTHER_ID = "b" * 16
OTHER_TASK = TaskKey(OTHER_ID, 0, 0, 0)
OTHER_STEP = Step(1, TaskDemand(1000, 100))


@given(
    "a start order to a worker that has just restarted after {seconds:d} s, "
    "not answered"
)
def step_unanswered(context, seconds):
    scripted_cell = context.scripted_cell = ScriptedCell(2, STEP.demand.cpu_millis * 2)
    scripted_cell.clock_began_at["w0"] = 4.0 - seconds
    scripted_cell.step()
    scripted_cell.silent.add("w1")
    advance(scripted_cell, 3)
    item = start_task(scripted_cell)
    assert item.worker_id == "w0"
    restart(scripted_cell, "w0")
    answer = OrderAnswer(OrderResult.NO_ANSWER)
    scripted_cell.cell.on_start_answer("w0", item.order, answer, scripted_cell.now)
    scripted_cell.step()


@given("another task that runs on the worker since its restart")
def step_other_task(context):
    scripted_cell = context.scripted_cell
    scripted_cell.submit(OTHER_STEP, submission_id=OTHER_ID)
    scripted_cell.step()
    (item,) = [i for i in scripted_cell.starts if i.order.task == OTHER_TASK]
    assert item.worker_id == "w0"
    scripted_cell.accept(item)
    scripted_cell.step()
    scripted_cell.starts.clear()


@when("the worker falls silent for {seconds:d} seconds")
def step_silent(context, seconds):
    scripted_cell = context.scripted_cell
    scripted_cell.silent.discard("w1")
    scripted_cell.silent.add("w0")
    advance(scripted_cell, seconds)


def other_starts(context):
    return [i for i in context.scripted_cell.starts if i.order.task == OTHER_TASK]


@then("the other task isn't started a second time")
def step_other_not_started(context):
    assert not other_starts(context)


@then("the other task is started on the other worker")
def step_other_started(context):
    assert [item.worker_id for item in other_starts(context)] == ["w1"]

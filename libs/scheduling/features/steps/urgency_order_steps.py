from behave import then, when

from berylcleat.model import QueuePolicy, Step, TaskDemand

EARLIER_ID = "0" * 15 + "1"
QUEUE = QueuePolicy("q", "svc", objective_ms=500, stretch=1.5)


def submit(
    context, submission_id, n_tasks, accepted_at, *, is_long_running=False, cpu=4000
):
    step = Step(
        n_tasks, TaskDemand(cpu, 100), estimate_s=0.5, is_long_running=is_long_running
    )
    context.scripted_cell.submit(
        step, submission_id=submission_id, queue=QUEUE, accepted_at=accepted_at
    )


@when("a long-running task was accepted 60 s ago and urgent tasks are added now")
def step_long_running(context):
    submit_urgent_and_earlier(context, is_long_running=True)


@when("an urgent task was accepted 60 s ago and urgent tasks are added now")
def step_late(context):
    submit_urgent_and_earlier(context, is_long_running=False)


def submit_urgent_and_earlier(context, *, is_long_running):
    scripted_cell = context.scripted_cell
    for number in range(3):
        submit(context, f"{number + 2:016x}", 1, scripted_cell.now)
    submit(
        context,
        EARLIER_ID,
        1,
        scripted_cell.now - 60.0,
        is_long_running=is_long_running,
    )
    scripted_cell.step()
    context.started = [item.order.task.submission_id for item in scripted_cell.starts]


@then("the long-running task is started and one urgent task beside it")
def step_long_running_first(context):
    assert EARLIER_ID in context.started and len(context.started) == 2, context.started


@then("only tasks added now are started")
def step_new_first(context):
    assert EARLIER_ID not in context.started and len(context.started) == 2


@when("two tasks of 6 cores run and one of 4 cores has waited for a second")
def step_stuck(context):
    scripted_cell = context.scripted_cell
    submit(context, "1" * 16, 2, scripted_cell.now, is_long_running=True, cpu=6000)
    scripted_cell.step()
    for item in scripted_cell.starts:
        scripted_cell.accept(item)
    submit(context, "2" * 16, 1, scripted_cell.now)
    for _ in range(6):
        scripted_cell.step()


@then("4 cores are waiting, all of them stuck")
def step_all_stuck(context):
    cell = context.scripted_cell.cell
    assert cell.waiting_cpu() == 4000
    assert cell.stuck_cpu(context.scripted_cell.now) == 4000

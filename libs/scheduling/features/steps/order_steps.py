from behave import then, when

from berylcleat.model import QueuePolicy, Step, Submission, TaskDemand
from berylcleat.scheduling import Progress

OLD_ID = "0" * 15 + "1"
QUEUE = QueuePolicy("q", "svc", objective_ms=500, stretch=1.5)


def hand_in(context, submission_id, n_tasks, accepted_at, *, lasts=False, cpu=4000):
    step = Step(n_tasks, TaskDemand(cpu, 100), estimate_s=0.5, is_long_running=lasts)
    gang = context.gang
    gang.cell.add_submission(
        Submission(submission_id, QUEUE, "s", (step,)),
        Progress(),
        accepted_at,
        gang.now,
        inherited=False,
    )


@when("a task that lasts was accepted 60 s ago and urgent tasks arrive now")
def step_lasting(context):
    arrive(context, lasts=True)


@when("an urgent task was accepted 60 s ago and urgent tasks arrive now")
def step_late(context):
    arrive(context, lasts=False)


def arrive(context, *, lasts):
    gang = context.gang
    for number in range(3):
        hand_in(context, f"{number + 2:016x}", 1, gang.now)
    hand_in(context, OLD_ID, 1, gang.now - 60.0, lasts=lasts)
    gang.step()
    context.started = [item.order.task.submission_id for item in gang.starts]


@then("the task that lasts is started and one urgent task beside it")
def step_lasting_first(context):
    assert OLD_ID in context.started and len(context.started) == 2, context.started


@then("only tasks that arrived now are started")
def step_new_first(context):
    assert OLD_ID not in context.started and len(context.started) == 2


@when("two tasks of 6 cores run and one of 4 cores has waited for a second")
def step_stuck(context):
    gang = context.gang
    hand_in(context, "1" * 16, 2, gang.now, lasts=True, cpu=6000)
    gang.step()
    for item in gang.starts:
        gang.accept(item)
    hand_in(context, "2" * 16, 1, gang.now)
    for _ in range(6):
        gang.step()


@then("4 cores are waiting, all of them stuck")
def step_all_stuck(context):
    cell = context.gang.cell
    assert cell.waiting_cpu() == 4000
    assert cell.stuck_cpu(context.gang.now) == 4000

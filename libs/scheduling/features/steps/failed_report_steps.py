"""Steps of reports whose processing ends with an unexpected exception."""

from behave import given, then, when
from failing_rows import FailingRow, FailingRowError
from gang_steps import SUBMISSION_ID, ScriptedCell

from berylcleat.model import Step, TaskDemand, TaskKey
from berylcleat.ports import EndedTask, RunEnd, RunningTask, WorkerReport

TASK = TaskKey(SUBMISSION_ID, 0, 0, 0)
FAILING_TASK = TaskKey("b" * 16, 0, 0, 0)
STEP = Step(1, TaskDemand(1000, 100))
# When the leases of the earlier owner have ended: later than the scenarios end.
SETTLED_AT = 20.0


def make_taken_over_cell(context, worker_id):
    context.scripted_cell = scripted_cell = ScriptedCell(2, 8000, settled_at=SETTLED_AT)
    scripted_cell.running[worker_id] = {FAILING_TASK: 1, TASK: 1}
    scripted_cell.submit(STEP, submission_id=FAILING_TASK.submission_id, inherited=True)
    return scripted_cell


@given('a cell taken over from an owner whose worker "{worker_id}" runs a task')
def step_known_task(context, worker_id):
    make_taken_over_cell(context, worker_id).submit(STEP, inherited=True)


@given(
    'a cell taken over from an owner whose worker "{worker_id}" runs a task of an '
    "unknown submission"
)
def step_unknown_task(context, worker_id):
    make_taken_over_cell(context, worker_id).step()


@when('the reports of "{worker_id}" fail {n:d} times at {what} listed before the task')
def step_fail(context, worker_id, n, what):
    scripted_cell = context.scripted_cell
    cell = scripted_cell.cell
    scripted_cell.silent.add(worker_id)
    failing = FailingRow(1, FAILING_TASK, 1)
    row = RunningTask(TASK, 1, "", 100)
    running, ended = ((row,), (failing,)) if what == "an end" else ((failing, row), ())
    n_failed = 0
    for _ in range(n):
        now = scripted_cell.now
        try:
            report = WorkerReport(int(now * 1000), 1, running, ended)
            cell.on_report(worker_id, report, now, now)
        except FailingRowError:
            n_failed += 1
            cell.on_hold_failed(worker_id, now)
        scripted_cell.step()
    assert n_failed
    # With the task's run in the next report, another start would be its second run.
    scripted_cell.silent.discard(worker_id)


@when("the submission of the task is received before the next report")
def step_received(context):
    scripted_cell = context.scripted_cell
    scripted_cell.submit(STEP, inherited=True)
    scripted_cell.silent.add("w0")
    scripted_cell.step()
    scripted_cell.silent.discard("w0")


@then("the task has started on another worker")
def step_started_elsewhere(context):
    starts = [i for i in context.scripted_cell.starts if i.order.task == TASK]
    assert [item.worker_id for item in starts] == ["w1"], starts


@when("its run lapses, and the processing of this end fails once")
def step_end_fails_once(context):
    scripted_cell = context.scripted_cell
    worker_id, order = context.started.worker_id, context.started.order
    failing = FailingRow(1, order.task, order.run)
    scripted_cell.end(context.started, RunEnd.LAPSED)
    assert process_failing(scripted_cell, worker_id, (), (failing,))


def process_failing(scripted_cell, worker_id, running, ended):
    """Process a report; return whether its processing failed."""
    now = scripted_cell.now
    report = WorkerReport(int(now * 1000), 1, running, ended)
    try:
        scripted_cell.cell.on_report(worker_id, report, now, now)
    except FailingRowError:
        scripted_cell.cell.on_hold_failed(worker_id, now)
        return True
    return False


@then("the task starts again within {seconds:d} s")
def step_starts_again(context, seconds):
    scripted_cell = context.scripted_cell
    for _ in range(seconds * 5):
        scripted_cell.step()
    task = context.started.order.task
    assert any(item.order.task == task for item in scripted_cell.starts)


@given("a cell taken over from an owner that ran a task on no worker")
def step_no_run(context):
    context.scripted_cell = ScriptedCell(2, 8000, settled_at=SETTLED_AT)
    context.scripted_cell.submit(STEP, inherited=True)


@when(
    '"{worker_id}" reports {n:d} ends that aren\'t acknowledged for {seconds:d} s, and '
    "its leases are renewed"
)
def step_full_report(context, worker_id, n, seconds):
    scripted_cell = context.scripted_cell
    scripted_cell.ended[worker_id] = [
        EndedTask(number, FAILING_TASK._replace(index=number), 1, RunEnd.STOPPED, "")
        for number in range(1, n + 1)
    ]
    renew_leases(scripted_cell, worker_id, seconds)


def renew_leases(scripted_cell, worker_id, seconds):
    """Deliver reports of all workers, and renew the leases of one between them."""
    cell = scripted_cell.cell
    for _ in range(seconds * 5):
        scripted_cell.step()
        cell.lease_until_ms(cell.worker_by_id[worker_id], scripted_cell.now)


@when(
    '"{worker_id}" lists a run that can\'t be read for {seconds:d} s, and its leases '
    "are renewed"
)
def step_renew_unreadable(context, worker_id, seconds):
    context.scripted_cell.unreadable_runs.add(worker_id)
    renew_leases(context.scripted_cell, worker_id, seconds)


@then("the task hasn't started")
def step_not_started(context):
    assert not context.scripted_cell.starts, context.scripted_cell.starts


@then("the task has started")
def step_task_started(context):
    starts = [i for i in context.scripted_cell.starts if i.order.task == TASK]
    assert starts

"""Steps of reports whose processing ends with an unexpected exception."""

from behave import given, when
from failing_rows import FailingRow, FailingRowError
from gang_steps import SUBMISSION_ID, ScriptedCell

from berylcleat.model import Step, TaskDemand, TaskKey
from berylcleat.ports import RunningTask, WorkerReport

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

from behave import given, then, when

from berylcleat.host._records import (
    CELL_TABLE,
    OWNER_KEY,
    AcceptedRow,
    OwnerRow,
    encode,
)
from berylcleat.host._submission_store import (
    MoveCommit,
    SubmissionStore,
    make_owner_condition,
)
from berylcleat.model import QueuePolicy, Step, Submission, TaskDemand, TaskKey
from berylcleat.scheduling import TaskMove
from berylcleat.standins import MemoryStore

SUBMISSION_ID = "0123456789abcdef"
TASK = TaskKey(SUBMISSION_ID, 0, 0, 0)
HOME = "r1"


def make_accepted(cell_id):
    steps = (Step(2, TaskDemand(1000, 100)),)
    submission = Submission(SUBMISSION_ID, QueuePolicy("q", "svc"), "s", steps)
    return AcceptedRow(cell_id, 0, submission)


def read(context, cell_id):
    return context.run(context.submissions.read_entry(SUBMISSION_ID, cell_id))


def move(context, entry, from_cell, to_cell):
    owner_row = context.memory.rows_by_key(CELL_TABLE, from_cell)[OWNER_KEY]
    owner = make_owner_condition(from_cell, owner_row.version)
    commit = MoveCommit(entry, {TASK: TaskMove(to_cell, 1)}, owner)
    return context.run(context.submissions.commit_move(commit))


@given('a submission of cell "{cell_id}"')
def step_submission(context, cell_id):
    context.memory = MemoryStore()
    for cell in ("r1", "r2", "r3"):
        owner = encode(OwnerRow(1, "host-1", "aa"))
        context.memory.put(CELL_TABLE, cell, OWNER_KEY, owner)
    context.submissions = SubmissionStore(context.memory)
    assert context.run(context.submissions.accept(make_accepted(cell_id))).applied


@given('a submission with a task moved from cell "{cell_id}" to "{target}"')
def step_moved(context, cell_id, target):
    step_submission(context, cell_id)
    assert move(context, read(context, cell_id), cell_id, target).applied


@given("a host that has read it")
def step_read(context):
    context.entry = read(context, HOME)


@when("it is cancelled")
def step_cancel(context):
    assert context.run(context.submissions.cancel(read(context, HOME))).applied


@when("the host cancels it")
def step_host_cancels(context):
    context.outcome = context.run(context.submissions.cancel(context.entry))


@when('a task of it moves to "{target}"')
def step_move(context, target):
    assert move(context, read(context, HOME), HOME, target).applied


@when('the host moves a task to "{target}"')
def step_host_moves(context, target):
    context.outcome = move(context, context.entry, HOME, target)


@when('the task moves on to "{target}"')
def step_move_on(context, target):
    assert move(context, read(context, "r2"), "r2", target).applied


@when('it is accepted again for cell "{cell_id}"')
def step_accept_again(context, cell_id):
    assert not context.run(context.submissions.accept(make_accepted(cell_id))).applied


@then('it is cancelled in the cells "{names}"')
def step_cancelled(context, names):
    assert all(read(context, name).is_cancelled for name in names.split())


@then('it is not cancelled in the cells "{names}"')
def step_not_cancelled(context, names):
    assert not any(read(context, name).is_cancelled for name in names.split())


@then("the cancellation conflicts")
@then("the move conflicts")
def step_conflict(context):
    assert not context.outcome.applied


@then('cell "{cell_id}" knows nothing of it')
def step_unknown(context, cell_id):
    entry = read(context, cell_id)
    assert entry.accepted is None and not entry.move_by_task, entry


@then('the cells "{names}" know that it is in "{target}"')
def step_known_place(context, names, target):
    places = [read(context, name).move_by_task[TASK].cell_id for name in names.split()]
    assert set(places) == {target}, places


@then('its home is "{home}" and cell "{cell_id}" knows nothing of it')
def step_home(context, home, cell_id):
    assert context.run(context.submissions.find_home(SUBMISSION_ID)) == home
    step_unknown(context, cell_id)

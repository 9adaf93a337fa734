"""Steps of moves that conflict with a change of their submission or cell."""

from behave import given, then, when
from moves_steps import (
    HOME,
    SUBMISSION_ID,
    TASK,
    Ownership,
    RecordingOwner,
    read,
)

from berylcleat.host._cell_directory import CellDirectory
from berylcleat.host._operator_state import OperatorState
from berylcleat.host._records import CELL_TABLE, OWNER_KEY, OwnerRow, encode
from berylcleat.host._submission_directory import SubmissionDirectory
from berylcleat.host._submission_store import MoveCommit, make_owner_condition
from berylcleat.host._task_mover import TaskMover
from berylcleat.scheduling import MoveProposal, TaskMove

OTHER_TASK = TASK._replace(index=1)


def owner_version(context):
    return context.memory.rows_by_key(CELL_TABLE, HOME)[OWNER_KEY].version


@given('the owner of "r1" has read it')
def step_owner_read(context):
    directory = SubmissionDirectory()
    directory.add_entry(SUBMISSION_ID, read(context, HOME))
    context.owner = RecordingOwner(HOME, records=True)
    context.owner.owner_version = owner_version(context)
    context.mover = TaskMover(
        context.submissions,
        directory,
        CellDirectory("dc-1"),
        None,
        Ownership([]),
        OperatorState(),
    )


@when('another task of it moves to "{target}"')
def step_other_moves(context, target):
    owner = make_owner_condition(HOME, owner_version(context))
    move_by_task = {OTHER_TASK: TaskMove(target, 1)}
    commit = MoveCommit(read(context, HOME), move_by_task, owner)
    assert context.run(context.submissions.commit_move(commit)).applied


@when('another host acquires the cell "{cell_id}"')
def step_acquired(context, cell_id):
    row = encode(OwnerRow(2, "host-2", "bb"))
    context.memory.put(CELL_TABLE, cell_id, OWNER_KEY, row)


@when('the owner moves a task to "{target}"')
def step_owner_moves(context, target):
    proposal = MoveProposal(SUBMISSION_ID, {TASK: TaskMove(target, 1)})
    context.run(context.mover.move(context.owner, proposal))


@then('the cells "{names}" know that the other task is in "{target}"')
def step_other_place(context, names, target):
    entries = [read(context, name) for name in names.split()]
    places = {entry.move_by_task[OTHER_TASK].cell_id for entry in entries}
    assert places == {target}, places


@then("the move is settled once")
def step_settled_once(context):
    assert len(context.owner.settled) == 1, context.owner.settled

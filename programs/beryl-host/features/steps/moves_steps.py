import asyncio
from collections import Counter

from behave import given, then, when

from berylcleat.host._cell_move_loops import MOVE_PERIOD_S, CellMoveLoops
from berylcleat.host._operator_state import OperatorState
from berylcleat.host._records import (
    CELL_TABLE,
    OWNER_KEY,
    AcceptedRow,
    OwnerRow,
    encode,
)
from berylcleat.host._submission_directory import SubmissionDirectory, SubmissionEntry
from berylcleat.host._submission_store import (
    AcceptResult,
    MoveCommit,
    SubmissionStore,
    make_owner_condition,
)
from berylcleat.host._task_mover import TaskMover
from berylcleat.model import QueuePolicy, Step, Submission, TaskDemand, TaskKey
from berylcleat.ports import EndedTask, RunEnd
from berylcleat.scheduling import MovedTaskEnd, MoveProposal, TaskMove
from berylcleat.standins import MemoryStore

SUBMISSION_ID = "0123456789abcdef"
TASK = TaskKey(SUBMISSION_ID, 0, 0, 0)
HOME = "r1"


def make_accepted(cell_id, *, is_long_running=False):
    steps = (Step(2, TaskDemand(1000, 100), is_long_running=is_long_running),)
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
def step_submission(context, cell_id, accepted=None):
    context.memory = MemoryStore()
    for cell in ("r1", "r2", "r3"):
        owner = encode(OwnerRow(1, "host-1", "aa"))
        context.memory.put(CELL_TABLE, cell, OWNER_KEY, owner)
    context.submissions = SubmissionStore(context.memory)
    accepted = accepted or make_accepted(cell_id)
    assert context.run(context.submissions.accept(accepted)) is AcceptResult.STORED


@given('a standing submission with a task moved from cell "{cell_id}" to "{target}"')
def step_standing_moved(context, cell_id, target):
    step_submission(context, cell_id, make_accepted(cell_id, is_long_running=True))
    assert move(context, read(context, cell_id), cell_id, target).applied


@then('cell "{cell_id}" was told nothing')
def step_told_nothing(context, cell_id):
    assert not context.owner_by_cell[cell_id].told


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
    result = context.run(context.submissions.accept(make_accepted(cell_id)))
    assert result is AcceptResult.ALREADY_STORED, result


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


# Ends that come in late


class RecordingOwner:
    """Owner of a cell that records what the mover tells it."""

    def __init__(self, cell_id, *, records):
        self.cell_id = cell_id
        self.data_centre = "dc-1"
        self.is_inactive = False
        self.records = records
        self.scheduler = self
        self.told = []
        self.settled = []

    def on_moved_task_ends(self, submission_id, ends):
        self.told += [end.task for end in ends]
        return self.records

    def on_move_settled(self, proposal, now):
        self.settled.append(proposal)

    def on_stray_ends_settled(self, ends):
        self.settled += ends


class Ownership:
    def __init__(self, owners):
        self.controller_by_cell = {owner.cell_id: owner for owner in owners}


def settle(context, cell_id, submission_id, *, records, task=TASK):
    context.owner_by_cell = {
        cell: RecordingOwner(cell, records=records) for cell in ("r1", "r2")
    }
    context.owner = context.owner_by_cell[cell_id]
    context.end = EndedTask(1, task, 1, RunEnd.DONE, "")
    ownership = Ownership(context.owner_by_cell.values())
    context.directory = SubmissionDirectory()
    mover = TaskMover(
        context.submissions, context.directory, None, None, ownership, OperatorState()
    )
    context.run(mover.settle_stray_ends(context.owner, submission_id, [context.end]))


@when('the owner of "{cell_id}" settles the task\'s end while "r2" records it')
def step_settle(context, cell_id):
    settle(context, cell_id, SUBMISSION_ID, records=True)


@when('the owner of "{cell_id}" settles the task\'s end while "r2" doesn\'t record it')
def step_settle_unrecorded(context, cell_id):
    settle(context, cell_id, SUBMISSION_ID, records=False)


@when('the owner of "{cell_id}" settles an end of another submission')
def step_settle_unknown(context, cell_id):
    settle(context, cell_id, "f" * 16, records=True)


@when('the owner of "{cell_id}" settles an end of a task of a step that doesn\'t exist')
def step_settle_no_task(context, cell_id):
    task = TASK._replace(step=7)
    settle(context, cell_id, SUBMISSION_ID, records=True, task=task)


@then('cell "{cell_id}" was told that the task is done')
def step_told(context, cell_id):
    assert context.owner_by_cell[cell_id].told == [TASK]


@then('the owner of "{cell_id}" knows the submission')
def step_owner_knows(context, cell_id):
    (entry,) = context.directory.in_cell(cell_id)
    assert entry.accepted.submission.submission_id == SUBMISSION_ID


@then("the end is settled")
def step_settled(context):
    assert context.owner.settled == [context.end]


@then("the end isn't settled")
def step_not_settled(context):
    assert not context.owner.settled


@given("a host that knows of a later move than a slow read")
def step_slow_read(context):
    context.directory = SubmissionDirectory()
    entry = read(context, HOME)
    context.old_entry = SubmissionEntry(entry.accepted, False, {}, 0)
    context.directory.add_entry(SUBMISSION_ID, entry)


@when("the read arrives")
def step_read_arrives(context):
    context.directory.add_entry(SUBMISSION_ID, context.old_entry)


@then('the host still knows that the task is in "{cell_id}"')
def step_still_known(context, cell_id):
    assert context.directory.by_id[SUBMISSION_ID].cell_of(TASK) == cell_id


@when("its owner moves a task of it to each of {n:d} cells")
def step_large_move(context, n):
    owner_row = context.memory.rows_by_key(CELL_TABLE, HOME)[OWNER_KEY]
    context.owner = RecordingOwner(HOME, records=True)
    context.owner.owner_version = owner_row.version
    directory = SubmissionDirectory()
    directory.add_entry(SUBMISSION_ID, read(context, HOME))
    mover = TaskMover(
        context.submissions, directory, None, None, Ownership([]), OperatorState()
    )
    moves = {
        TaskKey(SUBMISSION_ID, 0, 0, index): TaskMove(f"other-{index}", 1)
        for index in range(n)
    }
    context.proposal = MoveProposal(SUBMISSION_ID, moves)

    async def move_in_time():
        async with asyncio.timeout(1.0):
            await mover.move(context.owner, context.proposal)

    context.run(move_in_time())


@then('the move is settled and its tasks stay in cell "{cell_id}"')
def step_move_given_up(context, cell_id):
    assert context.owner.settled == [context.proposal]
    assert read(context, cell_id).cells() == {cell_id}


class ScriptedReports:
    """Scheduler and mover of a cell; the homes but one don't answer for 0.5 s."""

    cell_id = "r9"
    data_centre = "dc"

    def __init__(self, n):
        self.scheduler = self
        self.n_rounds = 0
        self.ends_by_id = {
            f"{number:016x}": [MovedTaskEnd(TASK, has_failed=False)]
            for number in range(n)
        }
        self.last_id = f"{n - 1:016x}"
        self.asked = Counter()
        self.n_overlapping = 0

    def headrooms(self, cell_id, data_centre):
        return ()

    def propose_moves(self, headrooms, now):
        self.n_rounds += 1
        return []

    def unconfirmed_moved_task_ends(self):
        return dict(self.ends_by_id)

    def home_of(self, submission_id):
        return "r1" if submission_id == self.last_id else "r2"

    async def report_moved_task_ends(self, submission_id, ends):
        home = self.home_of(submission_id)
        self.asked[home] += 1
        self.n_overlapping += self.asked[home] > 1
        if home == "r2":
            await asyncio.sleep(0.5)
        self.asked[home] -= 1
        return home == "r1"

    def on_moved_task_ends_confirmed(self, submission_id, ends, now):
        del self.ends_by_id[submission_id]


@given(
    "a cell with ends of {n:d} submissions, of whose home cells all but the last are "
    "cut off"
)
def step_unanswered_reports(context, n):
    context.reports = ScriptedReports(n)


@when("its moves are played for {seconds:d} s")
def step_play_moves(context, seconds):
    async def play():
        tasks = []
        reports = context.reports

        def spawn(coroutine):
            tasks.append(asyncio.ensure_future(coroutine))

        loops = CellMoveLoops(reports, reports, lambda: True, spawn, MOVE_PERIOD_S)
        spawn(loops.run_moves(lambda: None))
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    context.run(play())


@then("moves have been proposed at least {n:d} times")
def step_proposed(context, n):
    assert context.reports.n_rounds >= n, context.reports.n_rounds


@then("the end of the last submission is confirmed")
def step_last_confirmed(context):
    assert context.reports.last_id not in context.reports.ends_by_id


@then("no home cell got two reports at a time")
def step_one_report(context):
    assert not context.reports.n_overlapping

import asyncio

from behave import given, then, when

from berylcleat.host._records import AcceptedRow, cell_submission_table
from berylcleat.host._submission_directory import SubmissionDirectory
from berylcleat.host._submission_feeds import SubmissionFeeds
from berylcleat.host._submission_store import SubmissionStore
from berylcleat.model import QueuePolicy, Step, Submission, TaskDemand
from berylcleat.standins import MemoryStore


def choose_cells():
    """Return two cells that share a table, and one of another table."""
    cells = [f"r{number}" for number in range(500)]
    first = cells[0]
    table = cell_submission_table(first)
    same = [cell for cell in cells[1:] if cell_submission_table(cell) == table]
    other = [cell for cell in cells if cell_submission_table(cell) != table]
    return first, same[0], other[0]


def make_accepted(number, cell_id):
    steps = (Step(1, TaskDemand(1000, 100)),)
    submission = Submission(f"{number:016x}", QueuePolicy("q", "svc"), "s", steps)
    return AcceptedRow(cell_id, 0, submission)


@given("a submission each in two cells of one table and in a cell of another table")
def step_submissions(context):
    context.cells = choose_cells()
    context.store = MemoryStore()
    submissions = SubmissionStore(context.store)
    for number, cell_id in enumerate(context.cells):
        asyncio.run(submissions.accept(make_accepted(number, cell_id)))


@given("a host that follows the first cell and the one of the other table")
def step_follow(context):
    first, _, other = context.cells
    context.opened = (first, other)


@when("it loses the cell of the other table")
def step_lose(context):
    context.kept = {context.cells[0]}


@when("it acquires the second cell")
def step_acquire(context):
    async def play():
        context.directory = SubmissionDirectory()
        feeds = SubmissionFeeds(context.store, context.directory, 0.05)
        for cell_id in context.opened:
            await feeds.open(cell_id, 0)
        feeds.close_unused(context.kept)
        await feeds.open(context.cells[1], 0)
        context.known = {
            cell_id: len(context.directory.in_cell(cell_id))
            for cell_id in context.cells
        }
        feeds.close_unused(set())

    asyncio.run(play())


@then("it knows the submissions of the first and the second cell")
def step_known(context):
    first, second, _ = context.cells
    assert (context.known[first], context.known[second]) == (1, 1), context.known


@then("it has forgotten the submission of the other table")
def step_forgotten(context):
    assert context.known[context.cells[2]] == 0, context.known


@when("a host that follows the first cell can't apply its submission")
def step_poison(context):
    first, second, _ = context.cells
    context.applied = set()

    def apply(submission_id, entry):
        if entry.accepted.cell_id == first:
            raise KeyError(submission_id)
        context.applied.add(entry.accepted.cell_id)

    async def play():
        directory = SubmissionDirectory()
        directory.listeners.append(apply)
        feeds = SubmissionFeeds(context.store, directory, 0.05)
        await feeds.open(first, 0)
        feeds.close_unused(set())

    asyncio.run(play())


@then("it has applied the submission of the second cell")
def step_applied(context):
    assert context.applied == {context.cells[1]}, context.applied

import logging
from types import SimpleNamespace

from behave import given, then, when
from host_parts import CELL, make_worker_entry
from moves_steps import SUBMISSION_ID, settle
from odd_entries_steps import DEEP, plan_starts
from ownership_steps import make_owner, put_cell_row

from berylcleat.host._client_api import ClientApi
from berylcleat.host._clock import now_s
from berylcleat.host._records import (
    CELL_TABLE,
    MOVES_SUFFIX,
    OWNER_KEY,
    SUBMISSION_TABLE,
    AcceptedRow,
    MoveRow,
    MovesRow,
    OwnerRow,
    cell_submission_table,
    encode,
    submission_part,
)
from berylcleat.host._submission_directory import SubmissionDirectory
from berylcleat.model import (
    BerylError,
    QueuePolicy,
    Step,
    Submission,
    TaskDemand,
    TaskKey,
)
from berylcleat.ports import StoreRow, WorkerReport
from berylcleat.scheduling import TaskMove

PART = submission_part(SUBMISSION_ID)
KEYS_BY_ROW = {
    "home": (SUBMISSION_TABLE, PART, SUBMISSION_ID),
    "acceptance": (cell_submission_table("r1"), PART, SUBMISSION_ID),
    "moves": (cell_submission_table("r1"), PART, SUBMISSION_ID + MOVES_SUFFIX),
}
# More than any number of a run.
HUGE = b"9" * 400


def spoil(value, fault):
    """Return the bytes of a row with a fault."""
    return {
        "cut short": value[:-1],
        "not text": b"\xff\xfe",
        "nested too deeply": value[:-1] + f', "x": {DEEP}}}'.encode(),
        "with a time of 400 digits": value.replace(
            b'"accepted_at_ms":0', b'"accepted_at_ms":' + HUGE
        ),
        "with too many tasks": value.replace(b'"n_tasks":2', b'"n_tasks":1000000000'),
        "as it was": value,
        "as they were": value,
        "beyond all runs": value.replace(b'"r2",1', b'"r2",' + HUGE),
    }[fault]


class LogCounter(logging.Handler):
    """Count of errors logged of rows that can't be read."""

    def __init__(self):
        super().__init__(logging.ERROR)
        self.n_unreadable = 0

    def emit(self, record):
        self.n_unreadable += "can't be read" in record.getMessage()


def count_log(context):
    context.log = LogCounter()
    logger = logging.getLogger("berylcleat.host")
    logger.addHandler(context.log)
    context.add_cleanup(logger.removeHandler, context.log)


@given("the row of its {row} is {fault}")
@when("the row of its {row} is {fault}")
def step_spoil(context, row, fault):
    table, part, key = KEYS_BY_ROW[row]
    if fault == "missing":
        count_log(context)
        context.memory.remove(table, part, key)
        return
    if not hasattr(context, "valid"):
        context.valid = context.memory.rows_by_key(table, part)[key].value
        count_log(context)
        # Another host, which hasn't read the home yet.
        context.submissions = type(context.submissions)(context.memory)
    context.memory.put(table, part, key, spoil(context.valid, fault))


@when('the owner of "{cell_id}" settles the task\'s end {n:d} times')
def step_settle_times(context, cell_id, n):
    for _ in range(n):
        try:
            settle(context, cell_id, SUBMISSION_ID, records=True)
        except BerylError:
            continue


@then("{n:d} unreadable row was logged")
def step_logged(context, n):
    assert context.log.n_unreadable == n, context.log.n_unreadable


@when("a client sends GET and DELETE for it")
def step_client(context):
    ownership = SimpleNamespace(controller_by_cell={})
    api = ClientApi(
        context.memory,
        context.submissions,
        SubmissionDirectory(),
        None,
        ownership,
        None,
        None,
    )
    context.statuses = [
        context.run(call).status
        for call in (
            api._read_state(SUBMISSION_ID),
            api._cancellations.cancel(SUBMISSION_ID, now_s() + 1.0),
        )
    ]


@then("it is answered {first:d} and {second:d}")
def step_statuses(context, first, second):
    assert context.statuses == [first, second], context.statuses


def add_submissions(context, directory):
    queue = QueuePolicy("q", "cardhouse")
    steps = (Step(2, TaskDemand(1000, 1000)),)
    for submission_id in context.ids:
        submission = Submission(submission_id, queue, "", steps)
        directory.add_accepted(AcceptedRow(CELL, 0, submission))


@given("two submissions, and the moves of the first are {fault}")
def step_moves(context, fault):
    context.ids = ["a" * 16, "b" * 16]
    moved = TaskKey(context.ids[0], 0, 0, 0)
    context.moves = encode(MovesRow((MoveRow(moved, TaskMove("r2", 1)),)))
    context.odd_moves = spoil(context.moves, fault)


def put_moves(context, directory, value, version):
    key = context.ids[0] + MOVES_SUFFIX
    directory.on_rows((StoreRow("t", "0", key, value, version),))


class OwnedCell:
    """Cell that a host acquires with both submissions and one worker."""

    def __init__(self, context, moves_version=5):
        self.controller = make_owner(context, 0)
        self.directory = self.controller._directory
        add_submissions(context, self.directory)
        put_moves(context, self.directory, context.odd_moves, moves_version)

    async def acquire(self):
        await self.controller.start({"w1": make_worker_entry("w1")})
        self.directory.listeners.append(self.controller.on_submission)

    def start_tasks(self):
        """Return the tasks that start after a report of the worker."""
        now = now_s()
        report = WorkerReport(1000, 1, (), ())
        self.controller.scheduler.on_report("w1", report, now, now)
        starts = plan_starts(self.controller.scheduler, now)
        return {start.order.task for start in starts}


@when("a host acquires the cell whose moves may be unreadable, and later can read them")
def step_acquire(context):
    async def run():
        cell = OwnedCell(context)
        await cell.acquire()
        context.started = {task.submission_id for task in cell.start_tasks()}
        put_moves(context, cell.directory, context.moves, 6)
        context.started_later = cell.start_tasks()
        await cell.controller.release()

    context.run(run())


@when("a host acquires the cell, and then reads later moves that are {fault}")
def step_acquire_then_spoil(context, fault):
    async def run():
        cell = OwnedCell(context)
        await cell.acquire()
        put_moves(context, cell.directory, spoil(context.moves, fault), 6)
        context.started = {task.submission_id for task in cell.start_tasks()}
        await cell.controller.release()

    context.run(run())


@then("the task of the first submission that wasn't moved starts once they can be read")
def step_started_later(context):
    assert context.started_later == {TaskKey(context.ids[0], 0, 0, 1)}


@given(
    "a submission with a task moved to it under the epoch {epoch:d}, stored {moment} "
    "its owner row"
)
def step_moved_under_epoch(context, epoch, moment):
    context.ids = ["a" * 16]
    moved = TaskKey(context.ids[0], 0, 0, 0)
    move = TaskMove(CELL, 1, target_epoch=epoch)
    context.odd_moves = encode(MovesRow((MoveRow(moved, move),)))
    put_cell_row(context, OWNER_KEY, encode(OwnerRow(2, "host-1", "aa", 18.0)))
    owner_version = context.store.rows_by_key(CELL_TABLE, CELL)[OWNER_KEY].version
    context.moves_version = owner_version + (1 if moment == "after" else -1)


@when('a host acquires the cell under the epoch 2, and "w1" reports its runs')
def step_acquire_moved(context):
    async def run():
        cell = OwnedCell(context, context.moves_version)
        await cell.acquire()
        tasks = cell.start_tasks()
        is_fenced_out = cell.controller.scheduler.is_fenced_out
        assert is_fenced_out is not bool(tasks), tasks
        context.state = "fenced out" if is_fenced_out else "in use"
        await cell.controller.release()

    context.run(run())


@then("the cell is {state}")
def step_state(context, state):
    assert context.state == state, context.state

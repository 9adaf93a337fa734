import asyncio

from behave import given, then, when
from host_parts import CELL, make_controller, make_worker_entry
from moves_steps import (
    HOME,
    SUBMISSION_ID,
    TASK,
    Ownership,
    RecordingOwner,
    make_accepted,
)
from odd_entries_steps import plan_starts

from berylcleat.host._clock import now_s
from berylcleat.host._follower import TableFollower
from berylcleat.host._identity import HostIdentity
from berylcleat.host._on_demand_follower import OnDemandFollower
from berylcleat.host._operator_state import OperatorState
from berylcleat.host._publisher import HostPublisher
from berylcleat.host._records import (
    CELL_TABLE,
    HOST_PREFIX,
    OWNER_KEY,
    SUBMISSION_PARTS,
    OwnerRow,
    data_centre_table,
    encode,
)
from berylcleat.host._submission_directory import SubmissionDirectory
from berylcleat.host._submission_store import AcceptResult, SubmissionStore
from berylcleat.host._task_mover import TaskMover
from berylcleat.model import (
    OutcomeUnknownError,
    PlatformUnavailableError,
    QueuePolicy,
    Step,
    Submission,
    TaskDemand,
)
from berylcleat.ports import OrderAnswer, OrderResult, WorkerReport
from berylcleat.scheduling import MoveProposal, Progress, TaskMove
from berylcleat.standins import MemoryStore

# Wait of a long poll, as that of a host.
WAIT_S = 1.8
POLL_S = 0.01
WORKER_TABLE = "servers"
SUBMISSION_TABLE = "submissions-of-a-cell"
PART = SUBMISSION_PARTS[0]
STEP = Step(1, TaskDemand(1000, 1000))
SUBMISSION = Submission("a" * 16, QueuePolicy("q", "cardhouse"), "s", (STEP,))


class ClosableStore(MemoryStore):
    """Store whose long polls wait, and that can be closed."""

    def __init__(self):
        super().__init__()
        self.is_closed = False
        self.n_requests = 0

    def _check_open(self):
        self.n_requests += 1
        if self.is_closed:
            raise PlatformUnavailableError("store: connection failed", "Retry")

    async def read(self, *arguments, **options):
        self._check_open()
        return await super().read(*arguments, **options)

    async def list_parts(self, table):
        self._check_open()
        return await super().list_parts(table)

    async def commit(self, commit):
        self._check_open()
        return await super().commit(commit)

    async def follow(self, table, after, wait_s):
        self._check_open()
        deadline = now_s() + wait_s
        while True:
            page = await super().follow(table, after, wait_s)
            if self.is_closed:
                raise OutcomeUnknownError("store: connection lost", "Retry")
            if page.rows or now_s() >= deadline:
                return page
            await asyncio.sleep(POLL_S)


def make_follower(store, table, on_rows):
    if table == "the workers":
        return OnDemandFollower(
            store,
            WORKER_TABLE,
            on_rows,
            lambda: True,
            wait_s=WAIT_S,
            min_period_s=POLL_S,
            idle_period_s=10.0,
            parts=("",),
        )
    is_of_cells = table == "the cells"
    return TableFollower(
        store,
        CELL_TABLE if is_of_cells else SUBMISSION_TABLE,
        on_rows,
        wait_s=WAIT_S,
        min_period_s=POLL_S,
        parts=None if is_of_cells else SUBMISSION_PARTS,
    )


async def close_store(context, while_closed=lambda: None):
    """Close the store for a second; ``while_closed`` changes its rows."""
    context.store.is_closed = True
    await asyncio.sleep(0.5)
    while_closed()
    await asyncio.sleep(0.5)
    context.store.is_closed = False
    context.opened_at = now_s()
    context.store.n_requests = 0


@given("a host that follows {table}, of which no row changes")
def step_follow(context, table):
    async def follow():
        context.store = ClosableStore()
        context.received = []
        context.follower = make_follower(context.store, table, context.received.extend)
        await context.follower.sync()
        loop = asyncio.get_running_loop()
        context.task = loop.create_task(context.follower.run())
        await asyncio.sleep(0.1)

    context.run(follow())


@when("the store is closed for 1 s")
def step_closed(context):
    context.run(close_store(context))


async def wait_and_stop(context, seconds):
    await asyncio.sleep(seconds)
    context.task.cancel()


@then("the follower is confirmed {seconds:f} s after its return")
def step_confirmed(context, seconds):
    context.run(wait_and_stop(context, seconds))
    assert context.follower.failing_since is None
    assert context.follower.confirmed_at >= context.opened_at


@then("the follower has sent at most {n:d} requests {seconds:f} s after its return")
def step_requests(context, n, seconds):
    context.run(wait_and_stop(context, seconds))
    assert context.store.n_requests <= n, context.store.n_requests


def apply_history(context, history):
    if history == "its history is lost":
        context.store.forget_history()


# Workers


def list_entry(context, name):
    """Write the entry of a worker; the follower's listener decodes its name only."""
    context.store.put(WORKER_TABLE, "", name, b"{}")


@given('an owner with the listed workers "{names}" and a run on "{runner}"')
def step_owner(context, names, runner):
    context.names = names.split()

    async def start():
        context.store = ClosableStore()
        owner = OwnerRow(1, "host-1", "aa", 0.0)
        context.store.put(CELL_TABLE, CELL, OWNER_KEY, encode(owner))
        for name in context.names:
            list_entry(context, name)
        controller = make_controller(context.store, owner, now_s())
        context.controller = controller
        await controller.start({})
        listed = {}

        def on_rows(rows):
            for row in rows:
                listed.pop(row.key, None)
                if not row.is_removed:
                    listed[row.key] = make_worker_entry(row.key)
            controller.update_workers(listed)

        follower = make_follower(context.store, "the workers", on_rows)
        await follower.sync()
        scheduler = controller.scheduler
        scheduler.on_workers_recorded(frozenset(context.names))
        now = now_s()
        scheduler.on_report(runner, WorkerReport(1000, 1, (), ()), now, now)
        scheduler.add_submission(SUBMISSION, Progress(), now, now, inherited=False)
        start, *_ = plan_starts(scheduler, now)
        answer = OrderAnswer(OrderResult.ACCEPTED, 1000)
        scheduler.on_start_answer(runner, start.order, answer, now)
        context.task_key = start.order.task
        loop = asyncio.get_running_loop()
        context.task = loop.create_task(follower.run())
        await asyncio.sleep(0.1)

    context.run(start())
    context.add_cleanup(lambda: context.run(stop_owner(context)))


async def stop_owner(context):
    context.task.cancel()
    await context.controller.abandon()


@when("the store is closed for 1 s, all entries lapse, and {history}")
def step_lapse(context, history):
    def lapse():
        for name in context.names:
            context.store.remove(WORKER_TABLE, "", name)
        apply_history(context, history)

    async def close():
        await close_store(context, lapse)
        await asyncio.sleep(0.5)

    context.run(close())


@when('the entries of "{names}" are back')
def step_back(context, names):
    async def write():
        for name in names.split():
            list_entry(context, name)
        await asyncio.sleep(0.3)

    context.run(write())


def check_listed(context, names, runner):
    view_by_id = context.controller.scheduler.worker_by_id
    listed = {name for name, view in view_by_id.items() if view.is_listed}
    assert listed == set(names), listed
    assert context.task_key in view_by_id[runner].run_by_task


@then('the owner has no worker listed, and still the run on "{runner}"')
def step_none_listed(context, runner):
    check_listed(context, (), runner)


@then('the owner has the workers "{names}" listed, and still the run on "{runner}"')
def step_listed(context, names, runner):
    check_listed(context, names.split(), runner)


# Submissions


@when("the store is closed for 1 s, one is stored meanwhile, and {history}")
def step_stored(context, history):
    def store_submission():
        context.store.put(SUBMISSION_TABLE, PART, "a" * 16, b"{}")
        apply_history(context, history)

    context.run(close_store(context, store_submission))


@then("the host knows the submission 1 s after its return")
def step_known(context):
    context.run(wait_and_stop(context, 1.0))
    assert [row.key for row in context.received] == ["a" * 16], context.received


# Moves


@given("an owner that moves a task while the store is closed")
def step_move(context, n_lost_answers=0):
    context.store = ClosableStore()
    owner_row = encode(OwnerRow(1, "host-1", "aa"))
    context.store.put(CELL_TABLE, HOME, OWNER_KEY, owner_row)
    submissions = SubmissionStore(context.store)
    assert context.run(submissions.accept(make_accepted(HOME))) is AcceptResult.STORED
    directory = SubmissionDirectory()
    directory.add_entry(
        SUBMISSION_ID, context.run(submissions.read_entry(SUBMISSION_ID, HOME))
    )
    context.submissions = submissions
    context.owner = RecordingOwner(HOME, records=True)
    rows = context.store.rows_by_key(CELL_TABLE, HOME)
    context.owner.owner_version = rows[OWNER_KEY].version
    mover = TaskMover(
        submissions, directory, None, None, Ownership([]), OperatorState()
    )
    context.store.n_lost_answers = n_lost_answers
    context.store.is_closed = not n_lost_answers
    proposal = MoveProposal(SUBMISSION_ID, {TASK: TaskMove("r2", 1)})

    async def start():
        loop = asyncio.get_running_loop()
        context.move = loop.create_task(mover.move(context.owner, proposal))
        await asyncio.sleep(0.1)
        context.store.is_closed = True

    context.run(start())


@given(
    "an owner that moves a task while the store is closed, after an attempt without an "
    "answer"
)
def step_unanswered_move(context):
    step_move(context, n_lost_answers=1)


@then("the move is dropped within {seconds:f} s")
def step_dropped(context, seconds):
    context.run(asyncio.sleep(seconds))
    assert len(context.owner.settled) == 1


@then("the move isn't dropped within {seconds:f} s")
def step_not_dropped(context, seconds):
    context.run(asyncio.sleep(seconds))
    assert not context.owner.settled


def open_store(context):
    """Open the store; return the cells of the submission a second later."""
    context.store.is_closed = False
    context.run(asyncio.sleep(1.0))
    assert context.move.done()
    return context.run(context.submissions.read_entry(SUBMISSION_ID, HOME)).cells()


@then("nothing has moved once the store is open")
def step_nothing_moved(context):
    assert open_store(context) == {HOME}


@then("it is settled once the store is open")
def step_settled(context):
    assert open_store(context) == {HOME, "r2"}
    assert len(context.owner.settled) == 1


# Heartbeats


@given("a host whose heartbeats aren't answered for {timeout_s:f} s")
def step_unanswered_heartbeats(context, timeout_s):
    context.store = MemoryStore()
    context.is_silent = True

    async def time_out():
        if context.is_silent:
            await asyncio.sleep(timeout_s)
            raise OutcomeUnknownError("store: no answer", "Retry")

    context.store.before_commit = time_out


@when("the store answers from {seconds:f} s after the first on")
def step_answers(context, seconds):
    identity = HostIdentity("host-1", "dc-1", "aa", "127.0.0.1:9")
    publisher = HostPublisher(context.store, identity, 1.0, ())

    async def start():
        loop = asyncio.get_running_loop()
        context.task = loop.create_task(publisher.run())
        await asyncio.sleep(seconds)
        context.is_silent = False

    context.run(start())


@then("the host's heartbeat is stored {seconds:f} s later")
def step_heartbeat(context, seconds):
    context.run(wait_and_stop(context, seconds))
    rows = context.store.rows_by_key(data_centre_table("dc-1"), "dc-1")
    assert HOST_PREFIX + "host-1" in rows, rows

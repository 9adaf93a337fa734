import asyncio
from dataclasses import replace
from types import SimpleNamespace
from unittest.mock import patch

import msgspec
from behave import given, then, when

import berylcleat.host._client_api as client_api
from berylcleat.host._cell_chooser import CellChooser
from berylcleat.host._cell_directory import CellDirectory
from berylcleat.host._client_api import ClientApi
from berylcleat.host._clock import now_s
from berylcleat.host._operator_state import OperatorState
from berylcleat.host._records import (
    CELL_TABLE,
    LOAD_PREFIX,
    OWNER_KEY,
    SUBMISSION_TABLE,
    AcceptedRow,
    CellSummary,
    LoadRow,
    OwnerRow,
    cell_submission_table,
    encode,
    submission_part,
)
from berylcleat.host._settings import HostSettings, check_host_settings
from berylcleat.host._submission_directory import SubmissionDirectory
from berylcleat.host._submission_store import AcceptResult, SubmissionStore
from berylcleat.model import (
    OutcomeUnknownError,
    PlatformUnavailableError,
    QueuePolicy,
    SettingsError,
    Step,
    Submission,
    TaskDemand,
)
from berylcleat.ports import StoreRow
from berylcleat.scheduling import InterferenceModel
from berylcleat.scheduling._backlog import (
    CellBacklog,
    DrainRate,
    QueueWork,
    WaitingWork,
)
from berylcleat.standins import MemoryStore

SUBMISSION_ID = "0123456789abcdef"
DATA_CENTRE = "dc-1"
CELL = "r1"


class UnreliableStore(MemoryStore):
    """Store that can be made to fail; it counts the commits that it was asked for."""

    read_error = None
    commit_error = None
    n_commits = 0

    def __init__(self):
        super().__init__()
        self.failed_commits = []

    async def read(self, *arguments, **options):
        if self.read_error is not None:
            raise self.read_error
        return await super().read(*arguments, **options)

    async def commit(self, commit):
        self.n_commits += 1
        if self.commit_error is not None:
            self.failed_commits.append(commit)
            raise self.commit_error
        return await super().commit(commit)


def make_submission():
    queue = QueuePolicy("batch", "svc", 5, objective_ms=1000)
    step = Step(4, TaskDemand(1000, 100), estimate_s=1.0)
    return Submission(SUBMISSION_ID, queue, "s", (step,))


def make_summary(*, is_overloaded, has_backlog=True):
    waiting = 900 if is_overloaded else 0
    # Due in 1.1 to 1.7 s, so it precedes a submission due in 2 s if it isn't late.
    slack = (0, 0, 0, waiting)
    backlog = CellBacklog(
        (QueueWork("batch", 5, False, {DATA_CENTRE: (waiting, 16)}),),
        (WaitingWork(5, False, 0, slack),),
        DrainRate(16_000, 16_000, 25),
        DrainRate(0),
        waiting * 1000,
    )
    free = 0 if is_overloaded else 16_000
    return CellSummary(
        "svc", DATA_CENTRE, 16_000, free, waiting * 1000, (), 0, {}, 0, (free,),
        backlog if has_backlog else None,
    )  # fmt: skip


def publish(context, summary, *, epoch=1):
    context.version += 1
    value = encode(LoadRow(epoch, summary))
    key = LOAD_PREFIX + CELL
    row = StoreRow("t", DATA_CENTRE, key, value, context.version)
    context.cells.on_data_centre_rows((row,))


def set_up(context, limit, *, is_overloaded=True):
    context.version = 1
    context.memory = UnreliableStore()
    context.cells = CellDirectory(DATA_CENTRE)
    owner = encode(OwnerRow(1, "host-2", "aa", 0.0, DATA_CENTRE, ""))
    context.cells.on_owner_rows((StoreRow(CELL_TABLE, CELL, OWNER_KEY, owner, 1),))
    publish(context, make_summary(is_overloaded=is_overloaded))
    ownership = SimpleNamespace(controller_by_cell={}, summaries=dict)
    chooser = CellChooser(
        DATA_CENTRE,
        context.cells,
        ownership,
        InterferenceModel(),
        OperatorState(),
        limit,
    )
    context.api = ClientApi(
        context.memory,
        SubmissionStore(context.memory),
        SubmissionDirectory(),
        context.cells,
        ownership,
        chooser,
        None,
        DATA_CENTRE,
    )


def send(context):
    """Let the submission arrive."""
    context.response = context.run(submit(context))


async def submit(context):
    """Return the response to the submission, decoded from a request with 0.3 s left."""
    ingress = SimpleNamespace(
        submission_id=SUBMISSION_ID, queue=SimpleNamespace(policy=None)
    )
    deadline = now_s() + 0.3
    with patch.object(client_api, "decode_submission", lambda *_: make_submission()):
        return await context.api._submit(ingress, b"", deadline)


@given("a host that knows an overloaded cell")
def step_overloaded(context):
    set_up(context, 3.0)


@given("a host without a limit that knows an overloaded cell")
def step_no_limit(context):
    set_up(context, 0.0)


@given("a host that knows a cell with capacity")
def step_capacity(context):
    set_up(context, 3.0, is_overloaded=False)


@given("a submission that another host has stored")
def step_stored(context):
    other = SubmissionStore(context.memory)
    accepted = AcceptedRow(CELL, 0, make_submission())
    assert context.run(other.accept(accepted)) is AcceptResult.STORED


@when("a submission arrives")
@when("it arrives again")
def step_arrives(context):
    send(context)


@when("a submission arrives while the store is unavailable")
def step_store_unavailable(context):
    error = PlatformUnavailableError("store: refused", "Try again")
    context.memory.read_error = context.memory.commit_error = error
    send(context)


@when("a submission arrives while commits have no outcome")
def step_no_outcome(context):
    context.memory.commit_error = OutcomeUnknownError("no answer", "Read it")
    send(context)
    context.memory.commit_error = None


@when("the cell becomes overloaded and the submission arrives again")
def step_arrives_after_overload(context):
    publish(context, make_summary(is_overloaded=True))
    send(context)


@when("the store refuses and the submission arrives again")
def step_refused_again(context):
    context.memory.commit_error = PlatformUnavailableError("store: refused", "Wait")
    context.memory.n_commits = 0
    send(context)


@when("no cell is known any more and the submission arrives again")
def step_no_cell(context):
    context.cells.owner_by_cell.clear()
    context.memory.n_commits = 0
    send(context)


@then("it is answered {status:d} after at most {n:d} commit")
def step_status_after(context, status, n):
    assert context.response.status == status, context.response
    assert context.memory.n_commits <= n, context.memory.n_commits


@when("a submission arrives twice and the store leaves the first commit unanswered")
def step_twice(context):
    errors = [
        OutcomeUnknownError("no answer", "Read it"),
        PlatformUnavailableError("store: refused", "Wait"),
    ]
    commit_started = asyncio.Event()

    async def commit(_):
        # The first commit is still waiting when the second one is refused.
        if len(errors) == 2:
            error = errors.pop(0)
            commit_started.set()
            await asyncio.sleep(0.05)
            raise error
        raise errors[0]

    context.memory.commit = commit

    async def send_twice():
        first = asyncio.create_task(submit(context))
        await commit_started.wait()
        second = await submit(context)
        return (await first).status, second.status

    context.statuses = context.run(send_twice())


@when("it is cancelled {when} that")
def step_cancelled(context, when):
    if when == "10 s after":
        since = context.api._uncertain_since_by_id[SUBMISSION_ID]
        context.api._uncertain_since_by_id[SUBMISSION_ID] = since - 10.0
    deadline = now_s() + 1.0
    cancel = context.api._cancellations.cancel
    context.response = context.run(cancel(SUBMISSION_ID, deadline))


@then("the commits without an outcome, carried out late, store nothing")
def step_late_commits(context):
    assert context.memory.failed_commits
    for commit in context.memory.failed_commits:
        assert not context.run(context.memory.commit(commit)).applied
    part = submission_part(SUBMISSION_ID)
    table = cell_submission_table(CELL)
    assert not context.memory.rows_by_key(table, part)


@then("neither request is answered {status:d}")
def step_neither(context, status):
    assert status not in context.statuses, context.statuses


@when("its load becomes older than 5 s")
def step_old(context):
    load = context.cells._load_by_cell[CELL]
    old = replace(load, received_at=load.received_at - 5.1)
    context.cells._load_by_cell[CELL] = old


@when("its load becomes that of a lost owner")
def step_lost_owner(context):
    """Add a second cell, which can take the submission, before the first is lost."""
    owner = encode(OwnerRow(1, "host-3", "bb", 0.0, DATA_CENTRE, ""))
    rows = [StoreRow(CELL_TABLE, "r2", OWNER_KEY, owner, 2)]
    load = encode(LoadRow(1, make_summary(is_overloaded=True)))
    load_row = StoreRow("t", DATA_CENTRE, LOAD_PREFIX + "r2", load, 3)
    context.cells.on_data_centre_rows((load_row,))
    taken_over = encode(OwnerRow(2, "host-4", "cc", 0.0, DATA_CENTRE, ""))
    rows.append(StoreRow(CELL_TABLE, CELL, OWNER_KEY, taken_over, 4))
    context.cells.on_owner_rows(tuple(rows))


@when("its load becomes one without backlog numbers")
def step_no_numbers(context):
    publish(context, make_summary(is_overloaded=True, has_backlog=False))


@then("it is answered {status:d} with a Retry-After of whole seconds")
def step_retry_after(context, status):
    assert context.response.status == status, context.response
    seconds = dict(context.response.headers)["retry-after"]
    # It is due in 2 s and takes 1 s, so it can be served until 5 s from now.
    assert 1 <= int(seconds) <= 5, seconds


@then("it is answered {status:d} with a Retry-After of 1 s")
def step_retry_after_1(context, status):
    assert context.response.status == status, context.response
    assert dict(context.response.headers)["retry-after"] == "1"


@then("it is answered {status:d}")
def step_status(context, status):
    assert context.response.status == status, context.response


@then("the store holds nothing of it")
def step_nothing_stored(context):
    assert not read_stored(context, SUBMISSION_TABLE)
    assert not read_stored(context, cell_submission_table(CELL))


def read_stored(context, table):
    part = submission_part(SUBMISSION_ID)
    return context.memory.rows_by_key(table, part).get(SUBMISSION_ID)


@then("it is answered 200 and stored with its data centre of arrival")
def step_stored_with_arrival(context):
    assert context.response.status == 200, context.response
    tables = [cell_submission_table(cell_id) for cell_id in (CELL, "r2")]
    stored = [row for table in tables if (row := read_stored(context, table))]
    accepted = msgspec.json.decode(stored[0].value, type=AcceptedRow)
    assert accepted.arrival_data_centre == DATA_CENTRE


@when("a load and an accepted submission of such a host are read")
def step_read_old_rows(context):
    load = LoadRow(1, make_summary(is_overloaded=False, has_backlog=False))
    epoch, fields = msgspec.json.decode(encode(load))
    data = msgspec.json.encode([epoch, fields[:-1]])
    context.load = msgspec.json.decode(data, type=LoadRow)
    accepted = msgspec.json.decode(encode(AcceptedRow(CELL, 0, make_submission())))
    assert "arrival_data_centre" not in accepted
    data = msgspec.json.encode(accepted)
    context.accepted = msgspec.json.decode(data, type=AcceptedRow)


@then("the load has no backlog and the submission no data centre of arrival")
def step_old_rows(context):
    assert context.load.summary.backlog is None
    assert context.accepted.arrival_data_centre == ""


@when("a host is set up with the limit {limit}")
def step_bad_limit(context, limit):
    settings = HostSettings("h", DATA_CENTRE, *["a:1"] * 5)
    settings = replace(settings, admission_late_limit=float(limit))
    context.limit = limit
    context.error = None
    try:
        check_host_settings(settings)
    except SettingsError as error:
        context.error = error


@then("the error names admission_late_limit, the value and the remedy")
def step_settings_error(context):
    assert "admission_late_limit" in context.error.message
    assert str(float(context.limit)) in context.error.message
    assert context.error.remedy.startswith("Set 0")

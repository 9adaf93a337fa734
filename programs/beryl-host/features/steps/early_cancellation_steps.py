import json
from types import SimpleNamespace
from unittest.mock import patch

import msgspec
from behave import given, then, when

import berylcleat.host._client_api as client_api
from berylcleat.host._cell_chooser import CellChooser
from berylcleat.host._cell_directory import CellDirectory
from berylcleat.host._client_api import ClientApi
from berylcleat.host._clock import now_s
from berylcleat.host._early_cancellation_cleaner import EarlyCancellationCleaner
from berylcleat.host._operator_state import OperatorState
from berylcleat.host._records import (
    CANCEL_SUFFIX,
    CELL_TABLE,
    EARLY_CANCELLATION_TABLE,
    LOAD_PREFIX,
    OWNER_KEY,
    SUBMISSION_PARTS,
    SUBMISSION_TABLE,
    CellSummary,
    LoadRow,
    OwnerRow,
    cell_submission_table,
    encode,
    submission_part,
)
from berylcleat.host._submission_directory import SubmissionDirectory
from berylcleat.host._submission_store import SubmissionStore
from berylcleat.http import HttpResponse
from berylcleat.model import (
    OutcomeUnknownError,
    QueuePolicy,
    Step,
    Submission,
    TaskDemand,
)
from berylcleat.platform import IngressKind
from berylcleat.ports import StoreRow
from berylcleat.scheduling import InterferenceModel
from berylcleat.standins import MemoryStore

ID = "0123456789abcdef"
DATA_CENTRE = "dc-1"
CELL = "r1"
CLEAN_STEP_S = 30
REQUEST_S = 0.25


class LateStore(MemoryStore):
    """Store that leaves commits unanswered and carries them out when told."""

    def __init__(self):
        super().__init__()
        self.n_unanswered = 0
        self.unanswered = []
        self.n_applied = 0

    async def commit(self, commit):
        if self.n_unanswered > 0:
            self.n_unanswered -= 1
            self.unanswered.append(commit)
            raise OutcomeUnknownError("store: no answer", "Read it")
        outcome = await super().commit(commit)
        self.n_applied += outcome.applied
        return outcome

    async def carry_out(self):
        self.before_commit = None
        unanswered, self.unanswered = self.unanswered, []
        for commit in unanswered:
            await super().commit(commit)


def make_cells():
    cells = CellDirectory(DATA_CENTRE)
    owner = encode(OwnerRow(1, "host-9", "aa", data_centre=DATA_CENTRE))
    cells.on_owner_rows((StoreRow(CELL_TABLE, CELL, OWNER_KEY, owner, 1),))
    summary = CellSummary("svc", DATA_CENTRE, 64000, 64000, 0, (), 0, {})
    load = encode(LoadRow(1, summary))
    row = StoreRow("t", DATA_CENTRE, LOAD_PREFIX + CELL, load, 2)
    cells.on_data_centre_rows((row,))
    return cells


def make_api(store):
    cells = make_cells()
    ownership = SimpleNamespace(controller_by_cell={}, summaries=dict)
    chooser = CellChooser(
        DATA_CENTRE, cells, ownership, InterferenceModel(), OperatorState()
    )
    return ClientApi(
        store,
        SubmissionStore(store),
        SubmissionDirectory(),
        cells,
        ownership,
        chooser,
        SimpleNamespace(schedule_update=lambda address, update: None),
    )


def get_hosts(context):
    if not hasattr(context, "api_by_host"):
        context.late_store = LateStore()
        context.api_by_host = {name: make_api(context.late_store) for name in "ab"}
    return context.api_by_host


def delete(context, host, submission_id=ID):
    api = get_hosts(context)[host]
    ingress = SimpleNamespace(kind=IngressKind.CANCEL, submission_id=submission_id)
    return context.run(api.serve(ingress, b"", now_s() + REQUEST_S))


@given("the store leaves the next submission unanswered")
def step_unanswered(context):
    get_hosts(context)
    # A host sends a commit without an answer again until the client's deadline.
    context.late_store.n_unanswered = 100


@given("the store leaves all commits unanswered")
def step_all_unanswered(context):
    step_unanswered(context)


@when('the submission is sent to host "{host}"')
def step_submit(context, host):
    api = get_hosts(context)[host]
    queue = QueuePolicy("batch", "svc", 5)
    submission = Submission(ID, queue, "s", (Step(2, TaskDemand(1000, 100)),))
    ingress = SimpleNamespace(
        submission_id=ID, queue=SimpleNamespace(policy=queue), body=b""
    )
    with patch.object(client_api, "decode_submission", lambda *_: submission):
        answer = api._submit(ingress, b"", now_s() + REQUEST_S)
        context.answer = context.run(answer)
    context.late_store.n_unanswered = 0


@when('a DELETE of it is sent to host "{host}"')
def step_delete(context, host):
    context.answer = delete(context, host)


@when("the store carries out the unanswered write")
def step_carry_out(context):
    assert context.late_store.unanswered
    context.run(context.late_store.carry_out())


@when("the store carries out the unanswered write before the next commit")
def step_carry_out_before(context):
    context.late_store.before_commit = context.late_store.carry_out


@then("the answer of the host is {status:d}")
def step_answer(context, status):
    assert context.answer.status == status, context.answer


@then("the submission isn't stored")
def step_not_stored(context):
    rows = context.late_store.rows_by_key(
        cell_submission_table(CELL), submission_part(ID)
    )
    assert not rows, rows


@then("the submission is stored as cancelled")
def step_stored_cancelled(context):
    rows = context.late_store.rows_by_key(
        cell_submission_table(CELL), submission_part(ID)
    )
    assert set(rows) == {ID, ID + CANCEL_SUFFIX}, rows


def read_state(context, host) -> HttpResponse:
    return context.run(get_hosts(context)[host]._read_state(ID))


@then('a GET of it at host "{host}" is answered 410')
def step_get_gone(context, host):
    assert read_state(context, host).status == 410


@then('a GET of it at host "{host}" is answered 200 canceled')
def step_get_cancelled(context, host):
    response = read_state(context, host)
    assert response.status == 200, response
    assert json.loads(response.body) == {"state": "canceled"}, response


@then('a DELETE of it at host "{host}" is answered {status:d}')
def step_delete_answer(context, host, status):
    answer = delete(context, host)
    assert answer.status == status, answer


@then("the store has applied {n:d} commit")
def step_n_applied(context, n):
    assert context.late_store.n_applied == n, context.late_store.n_applied


@when('DELETEs of {n:d} ids that nobody has sent are sent to host "{host}"')
def step_delete_many(context, n, host):
    context.statuses = [
        delete(context, host, f"{number:016x}").status for number in range(n)
    ]


@then("{n_gone:d} are answered 410 and {n_refused:d} is answered 503")
def step_statuses(context, n_gone, n_refused):
    expected = [410] * n_gone + [503] * n_refused
    assert context.statuses == expected, context.statuses


class EarlierHomeRow(msgspec.Struct, frozen=True):
    """Row of the index as the version before declares it."""

    cell_id: str


@then("a host of the version before can't read the home of the submission")
def step_earlier_version(context):
    rows = context.late_store.rows_by_key(SUBMISSION_TABLE, submission_part(ID))
    try:
        row = msgspec.json.decode(rows[ID].value, type=EarlierHomeRow)
    except msgspec.ValidationError:
        return
    raise AssertionError(row)


@when("a {kind} host cleans up for {seconds:d} s")
def step_clean(context, kind, seconds):
    if not hasattr(context, "cleaner"):
        context.clock_s = 0.0
        context.cleaner = EarlyCancellationCleaner(
            context.late_store,
            lambda: kind == "responsible",
            lambda: context.clock_s,
        )
    for _ in range(0, seconds + 1, CLEAN_STEP_S):
        context.run(context.cleaner.clean())
        context.clock_s += CLEAN_STEP_S


def read_early_rows(context):
    return [
        row
        for table in (SUBMISSION_TABLE, EARLY_CANCELLATION_TABLE)
        for part in SUBMISSION_PARTS
        for row in context.late_store.rows_by_key(table, part).values()
    ]


@then("{n:d} rows are left of it")
def step_rows_left(context, n):
    rows = read_early_rows(context)
    assert len(rows) == n, rows


@then("no early cancellation is left")
def step_none_left(context):
    assert not read_early_rows(context)

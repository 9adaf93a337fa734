import json
from dataclasses import replace
from types import SimpleNamespace

import msgspec
from admission_steps import CELL, DATA_CENTRE, make_submission, make_summary
from behave import given, then, when

from berylcleat.host._cell_chooser import CellChooser
from berylcleat.host._cell_directory import CellDirectory
from berylcleat.host._cell_loads import stale_load_age_s
from berylcleat.host._client_api import ClientApi
from berylcleat.host._operator_state import OperatorState
from berylcleat.host._records import (
    CANCEL_SUFFIX,
    CELL_TABLE,
    LOAD_PREFIX,
    OWNER_KEY,
    AcceptedRow,
    LoadRow,
    OwnerRow,
    cell_submission_table,
    encode,
    submission_part,
)
from berylcleat.host._submission_directory import SubmissionDirectory
from berylcleat.host._submission_store import AcceptResult, SubmissionStore
from berylcleat.platform import IngressKind
from berylcleat.scheduling import InterferenceModel
from berylcleat.standins import MemoryStore

LOAD_TABLE = "loads"


class CountingStore(MemoryStore):
    """Store that counts the reads of changes."""

    n_followed = 0

    async def follow(self, *arguments, **options):
        self.n_followed += 1
        return await super().follow(*arguments, **options)


def publish(context, n_pending):
    summary = make_summary(is_overloaded=False)
    summary = msgspec.structs.replace(summary, pending_by_queue={"batch": n_pending})
    key = LOAD_PREFIX + CELL
    context.memory.put(LOAD_TABLE, DATA_CENTRE, key, encode(LoadRow(1, summary)))
    row = context.memory.rows_by_key(LOAD_TABLE, DATA_CENTRE)[key]
    context.cells.on_data_centre_rows((row,))


@given("a host that knows a cell's load of {age:d} s ago with 1 pending submission")
def step_host(context, age):
    context.memory = CountingStore()
    context.cells = CellDirectory(DATA_CENTRE)
    owner = encode(OwnerRow(1, "host-2", "aa", 0.0, DATA_CENTRE, ""))
    context.memory.put(CELL_TABLE, CELL, OWNER_KEY, owner)
    rows = context.memory.rows_by_key(CELL_TABLE, CELL)
    context.cells.on_owner_rows(tuple(rows.values()))
    accept(context, 1, first=100)
    publish(context, 1)
    load = context.cells._load_by_cell[CELL]
    old = replace(load, received_at=load.received_at - age)
    context.cells._load_by_cell[CELL] = old
    ownership = SimpleNamespace(controller_by_cell={}, summaries=dict)
    chooser = CellChooser(
        DATA_CENTRE, context.cells, ownership, InterferenceModel(), OperatorState()
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


def accept(context, n, *, first, cell_id=CELL, queue="batch"):
    """Store submissions as another host does; return their ids."""
    store = SubmissionStore(context.memory)
    ids = [f"{number:016x}" for number in range(first, first + n)]
    for submission_id in ids:
        submission = make_submission()
        policy = replace(submission.queue, name=queue)
        submission = replace(submission, submission_id=submission_id, queue=policy)
        accepted = AcceptedRow(cell_id, 0, submission)
        assert context.run(store.accept(accepted)) is AcceptResult.STORED
    return ids


@when("other hosts have accepted 5 submissions in that cell since, and {event}")
def step_accepted(context, event):
    ids = accept(context, 5, first=200)
    if event == "2 of them are cancelled":
        for submission_id in ids[:2]:
            part = submission_part(submission_id)
            key = submission_id + CANCEL_SUFFIX
            context.memory.put(cell_submission_table(CELL), part, key, b"{}")
    elif event == "3 in another cell":
        # Its submissions are in the same table.
        table = cell_submission_table(CELL)
        names = (f"r{number}" for number in range(2, 10_000))
        other = next(name for name in names if cell_submission_table(name) == table)
        accept(context, 3, first=300, cell_id=other)
    elif event == "3 of another queue":
        accept(context, 3, first=300, queue="other")
    elif event == "the owner publishes 6":
        publish(context, 6)
    elif event == "the store can't be read":
        context.memory.is_unreachable = True


@then("the host gives {n:d} submissions of that queue as pending")
def step_pending(context, n):
    ingress = SimpleNamespace(
        kind=IngressKind.COUNT_PENDING,
        queue=SimpleNamespace(policy=make_submission().queue),
    )
    response = context.run(context.api.serve(ingress, b"", 0.0))
    assert json.loads(response.body) == {"pending": n}, response.body


@then("it has read the store {n:d} times")
def step_reads(context, n):
    assert context.memory.n_followed == n, context.memory.n_followed


@then("a load counts as old after {age_s:d} s with {n:d} cells")
def step_stale_age(context, age_s, n):
    assert stale_load_age_s(n) == age_s

import asyncio
import logging
from dataclasses import replace

from behave import given, then, when
from evacuation_steps import DEMAND, SERVICE, Cells, NoCells, make_cell_load
from host_parts import LogCollector, make_worker_entry

from berylcleat.host._cell_chooser import CellChooser
from berylcleat.host._cell_layout import CellLayout
from berylcleat.host._layout_agreement import (
    LAYOUT_KEY,
    LAYOUT_PART,
    RETRY_S,
    agree_on_layout,
)
from berylcleat.host._operator_state import OperatorState
from berylcleat.host._records import CELL_TABLE, OWNER_KEY, OwnerRow, encode
from berylcleat.host._settings import (
    HostSettings,
    apply_contracts,
    check_host_settings,
)
from berylcleat.host._worker_list import WorkerList
from berylcleat.model import (
    PlatformUnavailableError,
    QueuePolicy,
    SettingsError,
    Step,
    Submission,
)
from berylcleat.scheduling import InterferenceModel
from berylcleat.standins import MemoryStore

SETTINGS = HostSettings("host-1", "dc-1", "a:1", "a:2", "a:3", "a:4", "a:5")


@given("cells of {n:d} racks")
def step_layout(context, n):
    context.layout = CellLayout(n)


@then('rack "{rack}" belongs to cell "{cell_id}"')
def step_cell_of_rack(context, rack, cell_id):
    assert context.layout.cell_of(rack) == cell_id, context.layout.cell_of(rack)


@given('a host whose contracts are "{names}"')
def step_contracts(context, names):
    context.settings = apply_contracts(replace(SETTINGS, contracts=(names,)))


@when("workers of the racks {racks} are listed")
def step_list(context, racks):
    workers = WorkerList(CellLayout(context.settings.racks_per_cell))
    for number, rack in enumerate(racks.replace(" and", ",").split(", ")):
        worker_id = f"w{number}"
        workers.by_id[worker_id] = replace(make_worker_entry(worker_id), rack=rack)
    workers.on_rows(())
    context.workers = workers


@then("they form the cells {cells} workers")
def step_cells_of(context, cells):
    for text in cells.replace(" and", ",").split(", "):
        cell_id, n = text.split(" of ")
        assert len(context.workers.in_cell(cell_id)) == int(n), (cell_id, n)
    n_workers = sum(
        len(context.workers.in_cell(cell_id))
        for cell_id in context.workers.data_centre_by_cell()
    )
    assert n_workers == len(context.workers.by_id), n_workers


@given("a host with racks_per_cell {n:d}")
def step_racks_per_cell(context, n):
    context.settings = replace(SETTINGS, racks_per_cell=n)


@then("its settings are rejected, naming racks_per_cell")
def step_rejected(context):
    try:
        check_host_settings(context.settings)
    except SettingsError as error:
        assert "racks_per_cell" in str(error), error
    else:
        raise AssertionError("the settings were accepted")


@given("a chooser with cells of {n:d} racks, of which r1-1 and r1-3 have capacity")
def step_chooser(context, n):
    loads = {name: make_cell_load("dc-1", 8000) for name in ("r1-1", "r1-3")}
    context.chooser = CellChooser(
        "dc-1",
        Cells(loads),
        NoCells(),
        InterferenceModel(),
        OperatorState(),
        cell_of=CellLayout(n).cell_of,
    )


@when('a submission with data in rack "{rack}" is accepted')
def step_accept_near(context, rack):
    step = Step(2, DEMAND, data_rack=rack)
    queue = QueuePolicy("proofs", SERVICE)
    decision = context.chooser.decide(Submission("a" * 16, queue, "s", (step,)))
    context.home = decision.cell_id if decision else None


# Agreement

LAYOUT_BY_TEXT = {
    "a layout of 2 racks a cell": b'{"racks_per_cell":2}',
    "a layout that can't be decoded": b'{"racks_per_cell":1e400}',
}


@given("a store with {before}")
def step_store(context, before):
    context.store = MemoryStore()
    if before == "an owner of a cell":
        row = OwnerRow(1, "host-1", "i1", 0.0)
        context.store.put(CELL_TABLE, "r1-2", OWNER_KEY, encode(row))
    elif before != "nothing":
        context.store.put(CELL_TABLE, LAYOUT_PART, LAYOUT_KEY, LAYOUT_BY_TEXT[before])


@given("the answers to the next {n:d} commits are lost")
def step_lost_answers(context, n):
    context.store.n_lost_answers = n


@when("two hosts that want cells of {n:d} racks start at once")
def step_agree(context, n):
    async def agree():
        hosts = (agree_on_layout(context.store, n) for _ in range(2))
        return await asyncio.gather(*hosts)

    context.layouts = context.run(agree())


@then("both have cells of {n:d} racks")
def step_agreed(context, n):
    assert context.layouts == [CellLayout(n)] * 2, context.layouts


@then("a host that wants cells of {wanted:d} racks gets cells of {n:d} racks, too")
def step_later_host(context, wanted, n):
    layout = context.run(agree_on_layout(context.store, wanted))
    assert layout == CellLayout(n), layout


@then("a host that wants cells of {n:d} racks waits")
def step_waits(context, n):
    async def agree():
        async with asyncio.timeout(3 * RETRY_S):
            await agree_on_layout(context.store, n)

    try:
        context.run(agree())
    except TimeoutError:
        return
    raise AssertionError("the host went on without a layout")


ERROR_BY_TEXT = {
    "are refused": PlatformUnavailableError("store down", "Wait"),
    "fail unexpectedly": KeyError("unexpected"),
}


@given("a store whose next {n:d} reads {fail}")
def step_failing_store(context, n, fail):
    context.store = MemoryStore()
    read = context.store.read
    errors = iter([ERROR_BY_TEXT[fail]] * n)

    async def fail_first(*arguments):
        for error in errors:
            raise error
        return await read(*arguments)

    context.store.read = fail_first


@when("a host that wants cells of {n:d} racks starts")
def step_start_host(context, n):
    with LogCollector(logging.WARNING) as collector:
        context.layout = context.run(agree_on_layout(context.store, n))
    context.messages = collector.messages


@then("it has logged {n:d} failure")
def step_failures_logged(context, n):
    assert len(context.messages) == n, context.messages


@then("it has cells of {n:d} racks")
def step_has_layout(context, n):
    assert context.layout == CellLayout(n), context.layout

import asyncio
from dataclasses import replace

import msgspec
from behave import given, then, when
from host_parts import CELL, make_cell_follower, make_manager, make_worker_entry

from berylcleat.host._cell_directory import CellDirectory
from berylcleat.host._clock import now_s
from berylcleat.host._membership import Coverage, Membership
from berylcleat.host._process import Host
from berylcleat.host._records import (
    CELL_TABLE,
    DIGEST_HEARTBEAT_PREFIX,
    DIGEST_TABLE,
    OWNER_KEY,
    HostRow,
    OwnerRow,
    encode,
)
from berylcleat.host._settings import HostSettings
from berylcleat.host._worker_list import WorkerList
from berylcleat.ports import StoreRow
from berylcleat.standins import MemoryStore

HOST_SETTINGS = HostSettings("host-1", "dc-1", *["127.0.0.1:9"] * 5)


@given('a {state} cell of "{data_centre}" whose workers are no longer listed')
def step_unlisted_cell(context, state, data_centre):
    host_id, incarnation = ("", "") if state == "released" else ("gone", "aa")
    row = OwnerRow(2, host_id, incarnation, data_centre=data_centre)
    fields = msgspec.to_builtins(row) | {"cell_data_centre": data_centre}
    context.store = MemoryStore()
    context.store.put(CELL_TABLE, CELL, OWNER_KEY, msgspec.json.encode(fields))
    context.workers = WorkerList()
    context.live_data_centres = []


@given('a {state} cell of "" whose workers are no longer listed')
def step_cell_of_unknown_data_centre(context, state):
    step_unlisted_cell(context, state, "")


@given('a {state} cell of "" whose workers are listed in "{data_centre}"')
def step_listed_cell(context, state, data_centre):
    step_unlisted_cell(context, state, "")
    list_worker(context.workers, data_centre)


@given('hosts of "{data_centre}" are alive')
def step_live_data_centre(context, data_centre):
    context.live_data_centres.append(data_centre)


def list_worker(workers, data_centre):
    entry = make_worker_entry("w1")
    workers.by_id["w1"] = replace(entry, data_centre=data_centre)
    workers.on_rows(())


async def make_host(context, data_centre):
    """Return the ownership manager of a host that has just read the store."""
    membership = Membership()
    cells = CellDirectory(data_centre)
    cells.on_owner_rows((await context.store.read(CELL_TABLE, CELL)).rows)
    follower = make_cell_follower(context.store, cells)
    follower.confirmed_at = now_s()
    return make_manager(
        data_centre, context.store, membership, cells, context.workers, follower
    )


def observe_heartbeats(context, manager):
    host = encode(HostRow("bb", "127.0.0.1:9", 1.0))
    row = StoreRow("centre-dc", "dc", "host/host-1", host, 1)
    manager._membership.on_host_rows((row,))
    for name in context.live_data_centres:
        key = DIGEST_HEARTBEAT_PREFIX + f"host-of-{name}"
        row = StoreRow(DIGEST_TABLE, name, key, b"", 1)
        manager._cells.remote_liveness.on_row(row)


@when('a host of "{data_centre}" looks after its cells for {seconds:f} s')
def step_look_after_cells(context, data_centre, seconds):
    async def play():
        manager = await make_host(context, data_centre)
        started_at = now_s()
        while now_s() - started_at < seconds:
            observe_heartbeats(context, manager)
            coverage = Coverage(started_at - 10.0, now_s())
            await manager.reconcile(coverage, coverage)
            await asyncio.sleep(0.05)
        context.taken = CELL in manager.controller_by_cell
        await manager.release_all()

    context.run(play())


@then('the owner row names the cell\'s data centre "{data_centre}"')
def step_recorded_data_centre(context, data_centre):
    assert context.taken
    row = context.store.rows_by_key(CELL_TABLE, CELL)[OWNER_KEY]
    fields = msgspec.json.decode(row.value)
    assert not fields["host_id"], fields
    assert fields["cell_data_centre"] == data_centre, fields


@when("a host reads the owner rows")
def step_read_owner_rows(context):
    async def read():
        page = await context.store.read(CELL_TABLE, CELL)
        context.host = Host(HOST_SETTINGS)
        context.host.cells.on_owner_rows(page.rows)

    context.run(read())


@then('it reads the operator\'s requests for "{data_centre}"')
def step_read_requests(context, data_centre):
    assert data_centre in context.host._data_centres()


@when('a host of "{own}" owns it and workers of "{other}" are listed')
def step_list_workers_of_owned(context, own, other):
    async def play():
        manager = await make_host(context, own)
        await manager._acquire(CELL)
        list_worker(context.workers, other)
        context.controller = manager.controller_by_cell[CELL]
        await manager.release_all()

    context.run(play())


@then('the owner takes the cell for one of "{data_centre}"')
def step_cell_data_centre(context, data_centre):
    assert context.controller.data_centre == data_centre
    assert context.controller.summary().data_centre == data_centre

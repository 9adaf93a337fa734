"""Steps on a cell of which an earlier owner is gone and a later one has stopped."""

import asyncio

from behave import given, then, when
from host_parts import CELL, make_cell_follower, make_manager, make_worker_entry

from berylcleat.host._cell_directory import CellDirectory, ObservedOwner
from berylcleat.host._clock import now_s
from berylcleat.host._membership import Membership
from berylcleat.host._records import (
    CELL_TABLE,
    HOST_PREFIX,
    OWNER_KEY,
    RECORDED_WORKER_TABLE,
    WORKERS_KEY,
    EarlierOwner,
    HostRow,
    OwnerRow,
    WorkersRow,
    data_centre_table,
    encode,
)
from berylcleat.host._worker_list import WorkerList
from berylcleat.ports import StoreRow
from berylcleat.standins import MemoryStore

DATA_CENTRE = "dc-1"
TABLE = data_centre_table(DATA_CENTRE)
# Nobody listens there.
ADDRESS = "127.0.0.1:9"
# Limit of the owners, in seconds, and what a next owner waits for it.
LIMIT_S = 9.0
FULL_WAIT_S = 9.36
# Longest lease on a worker, in seconds, that the second owner can just have granted.
LEASE_S = 5.1


def put_heartbeat(store, host_id, incarnation):
    """Store a heartbeat and return its row."""
    key = HOST_PREFIX + host_id
    store.put(TABLE, DATA_CENTRE, key, encode(HostRow(incarnation, ADDRESS, 1.0)))
    row = store.rows_by_key(TABLE, DATA_CENTRE)[key]
    return StoreRow(TABLE, DATA_CENTRE, key, row.value, row.version)


@given("a second owner that acquired the cell {seconds:d} s ago and {stop}")
def step_second_owner(context, seconds, stop):
    context.store = store = MemoryStore()
    context.membership = Membership()
    context.first_heartbeat = put_heartbeat(store, "host-9", "aa")
    first = EarlierOwner(
        1,
        "host-9",
        "aa",
        ADDRESS,
        context.first_heartbeat.version,
        DATA_CENTRE,
        LIMIT_S,
    )
    if stop == "restarted":
        row = OwnerRow(
            2, "host-8", "aa", FULL_WAIT_S, DATA_CENTRE, ADDRESS, (first,), DATA_CENTRE
        )
    else:
        row = OwnerRow(
            2,
            "",
            "",
            FULL_WAIT_S - seconds,
            earlier_owners=(first,),
            cell_data_centre=DATA_CENTRE,
            lease_left_s_by_worker={"w1": LEASE_S},
        )
    store.put(CELL_TABLE, CELL, OWNER_KEY, encode(row))
    workers = WorkersRow((make_worker_entry("w1"),))
    store.put(RECORDED_WORKER_TABLE, CELL, WORKERS_KEY, encode(workers))
    if stop == "restarted":
        heartbeat = put_heartbeat(store, "host-8", "bb")
        context.membership.on_host_rows((heartbeat,))
    context.acquired_ago_s = seconds if stop == "restarted" else 0.2


async def acquire(context):
    """Let a third host acquire the cell; keep how long it waits for a silent worker."""
    now = now_s()
    cells = CellDirectory(DATA_CENTRE)
    follower = make_cell_follower(context.store, cells)
    follower.version_times.observe(context.first_heartbeat.version, now - 10.0)
    await follower.sync()
    known = cells.owner_by_cell[CELL]
    observed_at = now - context.acquired_ago_s
    cells.owner_by_cell[CELL] = ObservedOwner(known.row, known.version, observed_at)
    manager = make_manager(
        DATA_CENTRE,
        context.store,
        context.membership,
        cells,
        WorkerList(),
        follower,
    )
    await manager._acquire(CELL)
    acquired_at = now_s()
    controller = manager.controller_by_cell[CELL]
    # The heartbeats of earlier owners are read meanwhile.
    await asyncio.sleep(0.3)
    left_s_by_worker = controller.scheduler.unsettled_for_s(acquired_at)
    context.wait_s = left_s_by_worker["w1"]
    await controller.abandon()


@when("a third owner acquires the cell")
def step_acquire(context):
    context.run(acquire(context))


@then("a worker that never answers has its last run ended after {seconds:f} s or later")
def step_waits(context, seconds):
    assert context.wait_s >= seconds, context.wait_s

import asyncio

import msgspec
from behave import given, then, when

from berylcleat.host._cell_driver import CellDriver
from berylcleat.host._cells import CellKeeper
from berylcleat.host._clock import now_s
from berylcleat.host._directory import Directory
from berylcleat.host._follower import TableFollower
from berylcleat.host._membership import Knowledge, Membership, assign_cells
from berylcleat.host._peers import PeerClient
from berylcleat.host._recorder import ProgressRecorder
from berylcleat.host._records import (
    CELL_TABLE,
    OWNER_KEY,
    PROGRESS_TABLE,
    WORKERS_KEY,
    HostRow,
    OwnerRow,
    WorkersRow,
    encode,
)
from berylcleat.host._worker_list import WorkerList
from berylcleat.model import TaskDemand
from berylcleat.ports import StoreRow, WorkerEntry
from berylcleat.scheduling import LeaseTimes, PairTable, ProgressWrite, RecordBatch
from berylcleat.standins import MemoryStore

CELL = "r1"


def make_entry(worker_id):
    return WorkerEntry(
        worker_id=worker_id,
        service="cardhouse",
        address="127.0.0.1:9",
        data_centre="dc-1",
        rack=CELL,
        capacity=TaskDemand(8000, 8000, 0),
        kind="a",
        labels=frozenset({CELL}),
        is_draining=False,
        started_at_ms=1,
    )


def read_row(context, key, kind):
    row = context.store.rows_by_key(CELL_TABLE, CELL)[key]
    return msgspec.json.decode(row.value, type=kind)


@given('a cell with recorded workers "{names}"')
def step_cell(context, names):
    context.store = MemoryStore()
    workers = WorkersRow(tuple(make_entry(name) for name in names.split()))
    put(context, OWNER_KEY, encode(OwnerRow(2, "host-1", "aa", 18.0)))
    put(context, WORKERS_KEY, encode(workers))


def put(context, key, value):
    context.store.put(CELL_TABLE, CELL, key, value)


def make_driver(context, unsettled_s):
    loop = asyncio.get_running_loop()
    owner_row = context.store.rows_by_key(CELL_TABLE, CELL)[OWNER_KEY]
    return CellDriver(
        CELL,
        "dc-1",
        OwnerRow(2, "host-1", "aa", 18.0),
        owner_row.version,
        context.store,
        Directory(),
        LeaseTimes(),
        loop.time() + unsettled_s,
        lambda: True,
        PairTable(),
        None,
    )


@when(
    "a host takes the cell with {seconds:d} seconds unsettled and leaves "
    "{moment} it has read it"
)
def step_leave(context, seconds, moment):
    async def leave():
        driver = make_driver(context, seconds)
        if moment == "before":
            context.store.reads_allowed.clear()
        starting = asyncio.create_task(driver.start({}))
        await asyncio.sleep(0.05)
        await driver.release()
        context.store.reads_allowed.set()
        await starting
        await asyncio.sleep(0.5)
        assert driver.is_lost

    context.run(leave())


def make_keeper(data_centre, store, directory, membership, workers, follower):
    return CellKeeper(
        "host-1",
        data_centre,
        "bb",
        store,
        directory,
        membership,
        workers,
        follower,
        follower,
        LeaseTimes(),
        PairTable(),
        PeerClient(),
    )


@when("a host is told of its successor while it takes the cell")
def step_successor(context):
    async def take():
        store = context.store
        membership = Membership()
        directory = Directory()
        workers = WorkerList()
        page = await store.read(CELL_TABLE, CELL)
        membership.on_owner_rows(page.rows)
        follower = TableFollower(
            store, "submissions", directory.on_rows, wait_s=1.0, min_period_s=1.0
        )
        keeper = make_keeper("dc-1", store, directory, membership, workers, follower)

        async def hear():
            store.before_commit = None
            await keeper.give_up(CELL, 3)

        store.before_commit = hear
        await keeper._take(CELL)
        context.keeper = keeper

    context.run(take())


@then('the cell\'s recorded workers are still "{names}"')
def step_recorded(context, names):
    row = read_row(context, WORKERS_KEY, WorkersRow)
    assert [w.worker_id for w in row.workers] == names.split(), row


@then("the cell was given up with at least {seconds:d} seconds unsettled")
def step_given_up(context, seconds):
    row = read_row(context, OWNER_KEY, OwnerRow)
    assert not row.host_id, row
    assert row.unsettled_s >= seconds, row


@then("it drives no cell")
def step_drives_none(context):
    assert not context.keeper.driver_by_cell


@when("the progress of {n:d} submissions is recorded")
def step_record_many(context, n):
    writes = [ProgressWrite(f"{i:016x}", b"{}", False) for i in range(n)]
    owner = context.store.rows_by_key(CELL_TABLE, CELL)[OWNER_KEY]

    async def record():
        recorder = ProgressRecorder(context.store, CELL, owner.version)
        context.n_commits = 0
        left = writes
        while left:
            context.n_commits += 1
            await recorder.commit(None, RecordBatch(tuple(left), {}))
            page = await context.store.read(PROGRESS_TABLE, CELL)
            recorded = {row.key for row in page.rows}
            left = [write for write in left if write.submission_id not in recorded]

    context.run(record())


@then("all {n:d} are recorded after at most {n_commits:d} transactions")
def step_all_recorded(context, n, n_commits):
    assert len(context.store.rows_by_key(PROGRESS_TABLE, CELL)) == n
    assert context.n_commits <= n_commits, context.n_commits


@when("a follower that reads anew misses {n:d} versions of a row in an outage")
def step_outage(context, n):
    context.seen = []

    async def follow():
        store = context.store
        follower = TableFollower(
            store,
            "op",
            context.seen.extend,
            wait_s=0.1,
            min_period_s=0.0,
            parts=("",),
            reads_anew=True,
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(0.05)
        store.is_unreachable = True
        await asyncio.sleep(0.05)
        for number in range(n):
            store.put("op", "", "config", str(number).encode())
        store.is_unreachable = False
        await asyncio.sleep(0.5)
        task.cancel()

    context.run(follow())
    context.newest = str(n - 1).encode()


@then("it was given the newest version alone")
def step_newest(context):
    assert [row.value for row in context.seen] == [context.newest], context.seen


@given("a host with a power of {strong:f} and {n:d} hosts with a power of {weak:f}")
def step_powers(context, strong, n, weak):
    powers = {"strong": strong, **{f"weak-{number}": weak for number in range(n)}}
    context.hosts = {
        host_id: HostRow("aa", "dc", "a:1", power) for host_id, power in powers.items()
    }


@when("{n:d} cells have no owner")
def step_no_owner(context, n):
    cells = {f"r{number}": "dc" for number in range(n)}
    context.owners = assign_cells(cells, {}, context.hosts)


@then("the strong host takes {n:d} of them")
def step_strong(context, n):
    assert list(context.owners.values()).count("strong") == n, context.owners


@given('a cell with recorded workers "{names}" that was {left}')
def step_left_cell(context, names, left):
    step_cell(context, names)
    owner = OwnerRow(2, "", "") if left == "released" else OwnerRow(2, "gone", "aa")
    put(context, OWNER_KEY, encode(owner))


async def make_live_keeper(store, data_centre):
    """Return the keeper and the membership of the only live host."""
    membership = Membership()
    membership.on_owner_rows((await store.read(CELL_TABLE, CELL)).rows)
    host = encode(HostRow("bb", data_centre, "127.0.0.1:9", 1.0))
    membership.on_host_rows((StoreRow("hosts", "", "host-1", host, 1),))
    workers = WorkerList()
    workers.data_centre_by_cell()[CELL] = "dc-1"
    directory = Directory()
    follower = TableFollower(
        store, "submissions", directory.on_rows, wait_s=0.1, min_period_s=0.1
    )
    follower.confirmed_at = now_s()
    keeper = make_keeper(data_centre, store, directory, membership, workers, follower)
    return keeper, membership


@when("a host of another data centre is free to take it for {seconds:f} s")
def step_foreign(context, seconds):
    async def watch():
        store = context.store
        keeper, _ = await make_live_keeper(store, "dc-2")
        began_at = now_s()
        while now_s() - began_at < seconds:
            await keeper.step(Knowledge(began_at - 10.0, now_s()))
            await asyncio.sleep(0.05)
        context.taken = bool(keeper.driver_by_cell)
        await keeper.release_all()

    context.run(watch())


@then("it has {taken} the cell")
def step_taken(context, taken):
    assert context.taken == (taken == "taken")


@when("a host takes it and the answer to its commit is lost")
def step_lost_answer(context):
    async def take():
        store = context.store
        keeper, membership = await make_live_keeper(store, "dc-1")
        known = Knowledge(now_s() - 10.0, now_s())
        store.n_lost_answers = 1
        await keeper.step(known)
        assert not keeper.driver_by_cell
        membership.on_owner_rows((await store.read(CELL_TABLE, CELL)).rows)
        await keeper.step(known)
        context.taken = bool(keeper.driver_by_cell)
        await keeper.release_all()

    context.run(take())

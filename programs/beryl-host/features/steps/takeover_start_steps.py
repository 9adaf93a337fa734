"""Steps of cells that begin beside an earlier owner that doesn't answer."""

import asyncio
from dataclasses import replace

import msgspec
from behave import given, then, when
from host_parts import CELL
from ownership_steps import (
    keep_settled_time,
    make_live_manager,
    make_owner,
    put_cell_row,
    read_row,
    reconcile,
    step_cell,
)

from berylcleat.host._cell_controller import CellController
from berylcleat.host._clock import now_s
from berylcleat.host._peers import TakeoverReply
from berylcleat.host._records import (
    CELL_TABLE,
    HOST_PREFIX,
    OWNER_KEY,
    EarlierOwner,
    HostRow,
    OwnerRow,
    data_centre_table,
    encode,
)
from berylcleat.ports import StoreRow

OWNER = OwnerRow(
    3,
    "gone",
    "aa",
    9.36,
    "dc-1",
    "127.0.0.1:9",
    (EarlierOwner(2, "host-8", "cc", "127.0.0.1:9", 1, "dc-2", 9.0),),
    "dc-1",
    limit_s=9.0,
)


class EarlierOwnerBefore(msgspec.Struct, frozen=True, array_like=True):
    """Earlier owner as hosts of the version before write it."""

    epoch: int
    host_id: str
    incarnation: str
    peer_address: str
    version: int


class OwnerRowBefore(msgspec.Struct, frozen=True):
    """Owner row as hosts of the version before write it."""

    epoch: int
    host_id: str
    incarnation: str
    unsettled_s: float = 0.0
    data_centre: str = ""
    peer_address: str = ""
    earlier_owners: tuple[EarlierOwnerBefore, ...] | None = None
    cell_data_centre: str = ""
    lease_left_s_by_worker: dict[str, float] | None = None


def read_as_before(row):
    """Return an owner row as a host of the version before reads it."""
    return msgspec.json.decode(encode(row), type=OwnerRowBefore)


@given('a cell with recorded workers "{names}" whose owner is of {version}')
def step_owned_cell(context, names, version):
    step_cell(context, names)
    row = OwnerRow(3, "gone", "aa", 0.0, "dc-1", "127.0.0.1:9", (), "dc-1", limit_s=9.0)
    is_before = version == "the version before"
    put_cell_row(context, OWNER_KEY, encode(read_as_before(row) if is_before else row))


@given(
    'a cell with recorded workers "{names}" of an owner whose address doesn\'t answer'
)
def step_silent_owner(context, names):
    step_owned_cell(context, names, "this version")


async def answer_never(address, notice):
    """Answer as an address that drops all that is sent to it."""
    await asyncio.sleep(60.0)


async def start_takeover(context, send_takeover=answer_never):
    """Return the manager of a host that has just taken the cell over."""
    manager, _ = await make_live_manager(context.store, "dc-1")
    manager._connections.peers.send_takeover = send_takeover
    context.manager = manager
    began_at = now_s()
    await reconcile(context)
    context.began_after_s = now_s() - began_at
    context.has_begun = manager.controller_by_cell[CELL].scheduler is not None
    return manager


@when("a host takes it over")
def step_take_over(context):
    async def take_over():
        await keep_settled_time(context, await start_takeover(context))

    context.run(take_over())


@then("the cell has begun within {seconds:g} s")
def step_begun(context, seconds):
    assert context.has_begun
    assert context.began_after_s <= seconds, context.began_after_s


def reply_to_second(leases):
    """Return a peer call that only the second request gets a reply to."""
    requests = iter(range(100))

    async def send_takeover(address, notice):
        if not next(requests):
            await asyncio.sleep(60.0)
        return TakeoverReply(leases)

    return send_takeover


@when("a host takes it over, and the earlier owner replies to the second request")
def step_second_reply(context):
    async def take_over():
        send_takeover = reply_to_second({"w1": 0.0, "w2": 0.0})
        began_at = now_s()
        manager = await start_takeover(context, send_takeover)
        scheduler = manager.controller_by_cell[CELL].scheduler
        while not scheduler.has_settled(now_s()):
            await asyncio.sleep(0.05)
        context.settled_after_s = now_s() - began_at
        await manager.release_all()

    context.run(take_over())


@when("a host takes it over, and the second reply tells of a lease for {seconds:g} s")
def step_second_reply_leases(context, seconds):
    async def take_over():
        send_takeover = reply_to_second({"w1": seconds, "w2": 0.0})
        manager = await start_takeover(context, send_takeover)
        await asyncio.sleep(1.0)
        await keep_settled_time(context, manager)

    context.run(take_over())


@when("its host takes it over from itself, and takes {seconds:g} s to stop")
def step_own_takeover(context, seconds):
    start = CellController.start

    context.events = []

    async def start_next(controller, entry_by_worker):
        context.events.append(f"start {controller.owner.epoch}")
        await start(controller, entry_by_worker)

    async def take_over():
        manager, _ = await make_live_manager(context.store, "dc-1")
        earlier = make_owner(context, 0.0)
        await earlier.start({})
        context.events = []
        manager.controller_by_cell[CELL] = earlier
        abandon = earlier.abandon

        async def abandon_slowly():
            await asyncio.sleep(seconds)
            await abandon()
            context.events.append("stopped 2")

        earlier.abandon = abandon_slowly
        own = EarlierOwner(2, "host-1", "bb", "127.0.0.1:9", 1, "dc-1", 9.0)
        row = OwnerRow(3, "host-1", "bb", earlier_owners=(own,), limit_s=9.0)
        put_cell_row(context, OWNER_KEY, encode(row))
        version = context.store.rows_by_key(CELL_TABLE, CELL)[OWNER_KEY].version
        await manager._start_controller(CELL, row, version, None)
        await manager.release_all()

    CellController.start = start_next
    try:
        context.run(take_over())
    finally:
        CellController.start = start


@then("the earlier epoch had been stopped before the next one began")
def step_stopped_before(context):
    assert context.events == ["stopped 2", "start 3"], context.events


@when("a host of the version before reads {what} of this version")
def step_read_by_before(context, what):
    context.what = what
    context.row = read_as_before(OWNER)


@then("it reads all that it knows of")
def step_reads_known(context):
    if context.what == "the owner row":
        context.row = replace_owners(context.row, None)
        expected = replace_owners(OWNER, None)
    else:
        (read,), (expected,) = context.row.earlier_owners, OWNER.earlier_owners
        context.row = read
    for name in context.row.__struct_fields__:
        assert getattr(context.row, name) == getattr(expected, name), name


def replace_owners(row, owners):
    return msgspec.structs.replace(row, earlier_owners=owners)


@when("a host of this version reads {what} of the version before")
def step_read_of_before(context, what):
    value = encode(read_as_before(OWNER))
    context.read = msgspec.json.decode(value, type=OwnerRow)


@then("it reads that no limit is told")
def step_no_limit(context):
    row, (earlier,) = context.read, context.read.earlier_owners
    assert (row.limit_s, earlier.limit_s, earlier.data_centre) == (0.0, 0.0, "")
    assert (row.epoch, row.host_id, row.unsettled_s) == (3, "gone", 9.36)
    assert (earlier.epoch, earlier.host_id) == (2, "host-8")


@when("a host of the version before takes it over and is lost at once")
def step_owner_between(context):
    row = read_row(context, OWNER_KEY, OwnerRow)
    version = context.store.rows_by_key(CELL_TABLE, CELL)[OWNER_KEY].version
    earlier = EarlierOwnerBefore(
        row.epoch, row.host_id, row.incarnation, row.peer_address, version
    )
    between = OwnerRowBefore(
        row.epoch + 1, "host-7", "ee", 18.72, "dc-1", "127.0.0.1:9", (earlier,), "dc-1"
    )
    put_cell_row(context, OWNER_KEY, msgspec.json.encode(between))


@given('a cell with recorded workers "{names}", taken over {seconds:g} s ago')
def step_taken_over(context, names, seconds):
    step_cell(context, names)
    before = EarlierOwner(2, "host-8", "cc", "127.0.0.1:9", 1, "dc-1", 9.0)
    row = msgspec.structs.replace(OWNER, earlier_owners=(before,))
    put_cell_row(context, OWNER_KEY, encode(row))
    context.taken_over_s = seconds


@given(
    "its last owner's last heartbeat is {last:g} s old, the one before's {before:g} s"
)
def step_heartbeats(context, last, before):
    context.heartbeats = sorted(
        ((last, "gone", "aa"), (before, "host-8", "cc")), reverse=True
    )


@when("a host takes it over and reads these heartbeats")
def step_take_over_dated(context):
    take_over_dated(context)


@when("a host takes it over, and the one before has restarted")
def step_take_over_restarted(context):
    take_over_dated(context, has_restarted=True)


def take_over_dated(context, *, has_restarted=False):
    """Let a host take the cell over and read the heartbeats of earlier owners."""

    async def take_over():
        manager, cells = await make_live_manager(context.store, "dc-1")
        manager._connections.peers.send_takeover = answer_never
        now = now_s()
        observed = cells.owner_by_cell[CELL]
        cells.owner_by_cell[CELL] = replace(
            observed, observed_at=now - context.taken_over_s
        )
        for age_s, host_id, incarnation in context.heartbeats:
            value = encode(HostRow(incarnation, "127.0.0.1:9", 1.0))
            key = HOST_PREFIX + host_id
            context.store.put(data_centre_table("dc-1"), "dc-1", key, value)
            version = context.store.rows_by_key(data_centre_table("dc-1"), "dc-1")[key]
            times = manager._feeds.cells.version_times
            times.observe(version.version, now - age_s)
        if has_restarted:
            value = encode(HostRow("ff", "127.0.0.1:9", 1.0, is_leaving=True))
            row = StoreRow(
                data_centre_table("dc-1"), "dc-1", HOST_PREFIX + "host-8", value, 99
            )
            manager._membership.on_host_rows((row,))
        context.manager = manager
        await reconcile(context)
        await asyncio.sleep(0.5)
        controller = manager.controller_by_cell[CELL]
        context.settled_after_s = controller.scheduler._settled_at - now
        await manager.release_all()

    context.run(take_over())


@then("it waits for runs of earlier owners for {seconds:g} s")
def step_waits(context, seconds):
    # The wait counts from the acquisition, some milliseconds after the beginning.
    late_s = context.settled_after_s - seconds
    assert -1e-6 <= late_s < 0.1, context.settled_after_s

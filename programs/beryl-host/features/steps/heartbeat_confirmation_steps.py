"""Steps of a host that reads its owner rows after each of its heartbeats."""

import asyncio
from functools import partial

from behave import given, then, when
from host_parts import CELL, make_controller
from ownership_steps import HOST_SETTINGS

from berylcleat.host._clock import now_s
from berylcleat.host._process import CONFIRM_PERIOD_S, Host
from berylcleat.host._records import CELL_TABLE, OWNER_KEY, OwnerRow, encode
from berylcleat.model import OutcomeUnknownError, PlatformUnavailableError
from berylcleat.runtime import cancel_all, run_periodically
from berylcleat.scheduling import LeaseTimes
from berylcleat.standins import MemoryStore

OWNER = OwnerRow(2, "host-1", "aa", data_centre="dc-1", limit_s=9.0)


class PollingStore(MemoryStore):
    """Store whose long polls last until they are ended, and that counts other reads."""

    def __init__(self):
        super().__init__()
        self.n_reads = 0
        self.refuses = False
        self.polls_end = asyncio.Event()

    async def follow(self, table, after, wait_s):
        """Return the changes; refuse the call if told to."""
        if wait_s:
            await self.polls_end.wait()
            self.polls_end.clear()
        else:
            self.n_reads += 1
        if self.refuses:
            raise PlatformUnavailableError("store down", "Wait")
        return await super().follow(table, after, wait_s)


@given("a host that owns a cell and reads its owner rows seldom")
def step_owning_host(context):
    step_host(context)
    controller = context.controller = make_controller(
        context.store,
        OWNER,
        now_s(),
        read_confirmed_at=partial(context.host.ownership._confirmed_at, CELL, OWNER),
        heartbeat_before=context.host.publisher.heartbeats.last_before,
    )
    context.host.ownership.controller_by_cell[CELL] = controller


@given("a host that owns no cell")
def step_host(context):
    context.store = PollingStore()
    context.store.put(CELL_TABLE, CELL, OWNER_KEY, encode(OWNER))
    context.host = host = Host(HOST_SETTINGS)
    host.cell_follower._store = host.publisher._store = context.store
    context.run(host.cell_follower.sync())


async def run_for(context, seconds, change=None):
    """Let the host follow the owner rows and confirm its cells; ``change`` first."""
    host = context.host
    loops = (
        host.cell_follower.run(),
        run_periodically(CONFIRM_PERIOD_S, host._confirm_cells),
    )
    tasks = [asyncio.ensure_future(loop) for loop in loops]
    await asyncio.sleep(0.01)
    if change is not None:
        await change()
    await asyncio.sleep(seconds)
    await cancel_all(tasks)


@when("a heartbeat is acknowledged, and {seconds:g} s passes")
def step_heartbeat(context, seconds):
    context.run(run_for(context, seconds, context.host.publisher.publish))


@when("the answer to a heartbeat is lost, and {seconds:g} s passes")
def step_lost_heartbeat(context, seconds):
    async def publish():
        context.store.n_lost_answers = 1
        try:
            await context.host.publisher.publish()
        except OutcomeUnknownError:
            return
        raise AssertionError("the heartbeat has been answered")

    context.run(run_for(context, seconds, publish))


@when("a heartbeat is acknowledged, the store refuses all calls, and {n:d} s pass")
def step_refusals(context, n):
    async def publish():
        await context.host.publisher.publish()
        context.store.refuses = True
        context.store.polls_end.set()

    context.run(run_for(context, n, publish))


@when("a read after a heartbeat is answered during a long poll, which ends then")
def step_late_answer(context):
    follower = context.host.cell_follower

    async def publish():
        await asyncio.sleep(0.1)
        await context.host.publisher.publish()
        await asyncio.sleep(0.5)
        context.read_at = follower.confirmed_at
        context.acked_at = context.host.publisher.heartbeats.last_acked_at
        context.store.polls_end.set()

    context.run(run_for(context, 0.2, publish))


@when("another host acquires the cell, and a heartbeat is acknowledged")
def step_acquired(context):
    async def acquire():
        assert context.controller._limit_at() == float("-inf")
        await context.host.publisher.publish()
        await asyncio.sleep(0.5)
        assert context.controller._may_act()
        row = OwnerRow(3, "host-2", "bb", data_centre="dc-1", limit_s=9.0)
        context.store.put(CELL_TABLE, CELL, OWNER_KEY, encode(row))
        await context.host.publisher.publish()

    context.run(run_for(context, 0.5, acquire))


@then("the owner rows have been read {n:d} times")
def step_reads(context, n):
    assert context.store.n_reads == n, context.store.n_reads


@then("the owner rows have been read at most {n:d} times")
def step_reads_at_most(context, n):
    assert context.store.n_reads <= n, context.store.n_reads


@then("its limit counts from that heartbeat")
def step_limit(context):
    sent_at = context.host.publisher.heartbeats.last_before(now_s())
    limit_s = context.controller._limit_at() - sent_at
    assert abs(limit_s - LeaseTimes().owner_limit_s) < 1e-6, limit_s


@then("the confirmation is as late as that read")
def step_not_back(context):
    assert context.acked_at < context.read_at
    assert context.host.cell_follower.confirmed_at >= context.read_at


@then("the host may not act on the cell")
def step_may_not_act(context):
    assert not context.controller._may_act()

"""Steps of the times by which leases of owners that can't be asked have ended."""

import asyncio
from functools import partial

from behave import given, then, when
from host_parts import CELL, make_controller, make_worker_entry
from lease_end_simulation import LeaseEndSimulation
from ownership_steps import renew_lease

from berylcleat.host._clock import now_s
from berylcleat.host._earlier_owners import read_latest_lease_end
from berylcleat.host._heartbeat_times import HeartbeatTimes
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
from berylcleat.host._version_times import VersionTimes
from berylcleat.model import PlatformUnavailableError
from berylcleat.standins import MemoryStore

HOST_ID = "host-9"
INCARNATION = "aa"
# Seconds between the heartbeat and the acquisition of the cell.
ACQUIRED_AFTER_S = 4.0
# Seconds after the heartbeat at which the next owner gets its first answer.
FIRST_ANSWER_AFTER_S = 1.5
TOLERANCE_S = 0.01


@given("an earlier owner with a limit of {limit_s:g} s whose last heartbeat is {which}")
def step_earlier_owner(context, limit_s, which):
    context.store = MemoryStore()
    context.version_times = VersionTimes()
    acquired_at = now_s() - 0.1
    context.time_by_event = {
        "the heartbeat": acquired_at - ACQUIRED_AFTER_S,
        "the first answer of the host": acquired_at
        - ACQUIRED_AFTER_S
        + FIRST_ANSWER_AFTER_S,
        "the acquisition": acquired_at,
    }
    data_centre = "" if which == "of an unknown data centre" else "dc-1"
    owner = EarlierOwner(2, HOST_ID, INCARNATION, "", 1, data_centre, limit_s)
    context.owners = (owner,)
    put_heartbeat(context, which)


def put_heartbeat(context, which):
    """Store the last heartbeat, and when the next owner was told its version."""
    store, version_times = context.store, context.version_times
    store.put(CELL_TABLE, CELL, OWNER_KEY, encode(OwnerRow(3, "host-1", "bb")))
    heartbeat_at = context.time_by_event["the heartbeat"]
    version_times.observe(1, heartbeat_at - 1.0)
    if which == "missing":
        return
    incarnation = "cc" if which == "of another incarnation" else INCARNATION
    value = encode(HostRow(incarnation, "127.0.0.1:9", 1.0))
    if which == "unreadable":
        value = b'{"incarnation":5'
    data_centre = "dc-2" if "another data centre" in which else "dc-1"
    key = HOST_PREFIX + HOST_ID
    store.put(data_centre_table(data_centre), data_centre, key, value)
    if which == "of before the host's first answer":
        heartbeat_at = context.time_by_event["the first answer of the host"]
    if which != "newer than all answers":
        version_times.observe(2, heartbeat_at)


@given("an earlier owner of the version before")
def step_owner_before(context):
    owner = EarlierOwner(1, "host-8", "dd", "", 1)
    context.owners = (owner, *context.owners)


def date_lease_ends(context):
    """Return the coroutine that reads by when the leases have ended."""
    return read_latest_lease_end(
        context.store,
        context.owners,
        context.time_by_event["the acquisition"],
        context.version_times,
    )


@when("a host that acquired its cell 4 s later reads when its leases have ended")
def step_read(context):
    context.ended_by = context.run(date_lease_ends(context))


@then("they have ended {seconds:g} s after {event}")
def step_ended(context, seconds, event):
    waited_s = context.ended_by - context.time_by_event[event]
    assert abs(waited_s - seconds) < TOLERANCE_S, waited_s


async def answer_never():
    """Answer as earlier owners that can't be asked."""
    return


@when("its next owner's first {n:d} reads of it have no answer")
def step_take_over(context, n):
    read, failures = context.store.read, iter(range(n))
    heartbeat_table = data_centre_table("dc-1")

    async def refuse_first(table, *key):
        if table == heartbeat_table and next(failures, None) is not None:
            raise PlatformUnavailableError("store down", "Wait")
        return await read(table, *key)

    async def take_over():
        workers = WorkersRow((make_worker_entry("w1"),))
        context.store.put(RECORDED_WORKER_TABLE, CELL, WORKERS_KEY, encode(workers))
        context.store.read = refuse_first
        controller = make_controller(
            context.store, OwnerRow(3, "host-1", "bb"), now_s() + 18.0
        )
        await controller.start({})
        controller.complete_handover(
            None, answer_never, now_s(), partial(date_lease_ends, context)
        )
        await asyncio.sleep(2.0)
        context.has_failed = controller.has_failed
        context.settled_at = controller.scheduler._settled_at
        await controller.abandon()

    context.run(take_over())


@then("the next owner goes on")
def step_goes_on(context):
    assert not context.has_failed


@then("it counts {seconds:g} s from {event} after at most 2 s")
def step_counts(context, seconds, event):
    waited_s = context.settled_at - context.time_by_event[event]
    assert abs(waited_s - seconds) < TOLERANCE_S, waited_s


def simulate(context, n, first, **options):
    simulations = {
        seed: LeaseEndSimulation(seed, **options) for seed in range(first, first + n)
    }
    context.overlap_s_by_seed = {
        seed: context.run(simulation.overlap_s())
        for seed, simulation in simulations.items()
    }


@when(
    "{n:d} takeovers from owners that can't be asked are simulated from seed {first:d}"
)
def step_simulate(context, n, first):
    simulate(context, n, first)


@when(
    "{n:d} such takeovers with limits counted from confirmations are simulated from "
    "seed {first:d}"
)
def step_simulate_confirmations(context, n, first):
    simulate(context, n, first, counts_from_heartbeats=False)


@then("no lease outlasts the wait of the next owner")
def step_no_overlap(context):
    found = [(s, seed) for seed, s in context.overlap_s_by_seed.items() if s > 0]
    assert not found, sorted(found, reverse=True)[:5]


@then("some waits end less than 1 s after the last lease")
def step_close(context):
    assert any(-1.0 < s <= 0.0 for s in context.overlap_s_by_seed.values())


@then("some leases outlast the wait of the next owner")
def step_overlap(context):
    assert any(s > 0 for s in context.overlap_s_by_seed.values())


@given("heartbeats sent at 1, 2 and 9 s that were acknowledged at 1.5, 4 and 9.5 s")
def step_heartbeats(context):
    context.heartbeats = HeartbeatTimes()
    for sent_at, acked_at in ((1.0, 1.5), (2.0, 4.0), (9.0, 9.5)):
        context.heartbeats.add(sent_at, acked_at)


@given("{n:d} heartbeats, one each {period_s:g} s, acknowledged at once")
def step_many_heartbeats(context, n, period_s):
    context.heartbeats = HeartbeatTimes()
    for number in range(n):
        context.heartbeats.add(number * period_s, number * period_s)


@then("the last one acknowledged by {at:g} s was sent at {sent} s")
def step_last_before(context, at, sent):
    assert context.heartbeats.last_before(at) == float(sent)


@when(
    "its owner's last heartbeat before its last confirmation was sent {age_s:d} s ago"
)
def step_old_heartbeat(context, age_s):
    context.began_at = now = now_s()
    context.heartbeats = HeartbeatTimes()
    context.heartbeats.add(now - age_s, now - age_s + 0.1)
    context.controller = make_controller(
        context.store,
        OwnerRow(2, "host-1", "aa", 18.0),
        now,
        read_confirmed_at=lambda: now - 1.0,
        heartbeat_before=context.heartbeats.last_before,
    )


@when("one that it sends now is acknowledged")
def step_heartbeat_now(context):
    context.heartbeats.add(now_s(), now_s())


@then("it acts for at most 1 s more")
def step_acts(context):
    controller = context.controller
    context.lease_ends = []

    async def refuse(*_):
        raise PlatformUnavailableError("store down", "Wait")

    async def act():
        await controller.start({})
        # It doesn't learn of the next owner.
        context.store.read = context.store.commit = refuse
        renew_lease(controller.scheduler, "w1")
        view = controller.scheduler.worker_by_id["w1"]
        while controller._may_act():
            now = now_s()
            until_ms = controller.scheduler.lease_until_ms(view, now)
            lease_ms = until_ms - view.clock.earliest_ms(now)
            context.lease_ends.append(now + lease_ms / 1000)
            await asyncio.sleep(0.02)
        context.acted_s = now_s() - context.began_at
        await controller.abandon()

    context.run(act())
    assert 0.5 < context.acted_s < 1.2, context.acted_s


@then("no lease that it asks for ends later than that")
def step_leases_end(context):
    last = max(context.lease_ends) - context.began_at
    assert last <= 1.0 + TOLERANCE_S, last

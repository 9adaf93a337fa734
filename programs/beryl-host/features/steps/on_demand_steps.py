import asyncio

from behave import given, then, when

from berylcleat.host._on_demand_follower import OnDemandFollower
from berylcleat.standins import MemoryStore

TABLE = "servers"


@given("a table of {n:d} rows that are all written again every {seconds:f} s")
def step_table(context, n, seconds):
    context.store = MemoryStore()
    context.keys = [f"w{number}" for number in range(n)]
    context.write_period_s = seconds


async def write_rows(context):
    number = 0
    while True:
        number += 1
        context.newest = str(number).encode()
        for key in context.keys:
            context.store.put(TABLE, "", key, context.newest)
        await asyncio.sleep(context.write_period_s)


@when(
    "a host that needs no changes follows it for {seconds:f} s, reading it every "
    "{idle:f} s"
)
def step_follow(context, seconds, idle):
    context.received = []
    context.is_needed = False

    async def follow():
        context.follower = OnDemandFollower(
            context.store,
            TABLE,
            context.received.extend,
            lambda: context.is_needed,
            wait_s=0.1,
            min_period_s=0.02,
            idle_period_s=idle,
            parts=("",),
        )
        loop = asyncio.get_running_loop()
        context.tasks = [loop.create_task(write_rows(context))]
        await asyncio.sleep(0)
        context.tasks.append(loop.create_task(context.follower.run()))
        await asyncio.sleep(seconds)

    context.run(follow())


@then("it has received at most {n:d} rows")
def step_received(context, n):
    assert len(context.received) <= n, len(context.received)


@when("{n:d} rows are added")
def step_add_rows(context, n):
    context.keys += [f"w{number}" for number in range(n)]


@when("it needs the changes from now on")
def step_needed(context):
    context.is_needed = True


@then("it has the newest rows within {seconds:f} s")
def step_newest(context, seconds):
    async def wait():
        await asyncio.sleep(seconds)
        newest = int(context.newest)
        for task in context.tasks:
            task.cancel()
        return newest

    newest = context.run(wait())
    value_by_key = {row.key: int(row.value) for row in context.received}
    assert value_by_key.keys() == set(context.keys), value_by_key
    if context.is_needed:
        assert min(value_by_key.values()) >= newest - 1, (value_by_key, newest)

import asyncio
import time

from behave import given, then, when

from berylcleat.host._operator_follower import OperatorFollower
from berylcleat.standins import MemoryStore

ROW_KEY = ("op", "", "config")
LINK_BYTES_PER_S = 100_000


class SlowLinkStore:
    """Store behind a link that delivers answers one after the other."""

    def __init__(self, store):
        self._store = store
        self._link = asyncio.Lock()
        self.n_rows_received = 0

    async def read(self, *arguments):
        return await self._deliver(await self._store.read(*arguments))

    async def follow(self, table, after, wait_s):
        deadline = time.monotonic() + wait_s
        page = await self._store.follow(table, after, 0.0)
        while not page.rows and time.monotonic() < deadline:
            page = await self._store.follow(table, after, 0.0)
        return await self._deliver(page)

    async def commit(self, commit):
        outcome = await self._store.commit(commit)
        await self._transfer(outcome.current)
        return outcome

    async def _deliver(self, page):
        await self._transfer(page.rows)
        return page

    async def _transfer(self, rows):
        self.n_rows_received += len(rows)
        async with self._link:
            await asyncio.sleep(sum(len(row.value) for row in rows) / LINK_BYTES_PER_S)


@given("a row that takes {seconds:f} s to arrive over the link of a host")
def step_row(context, seconds):
    context.value = b"x" * int(seconds * LINK_BYTES_PER_S)
    context.store = MemoryStore()
    context.store.put(*ROW_KEY, context.value)


@when("it changes {n:d} times, every {seconds:f} s")
def step_change(context, n, seconds):
    context.link = SlowLinkStore(context.store)
    context.arrivals = []

    async def run():
        follower = OperatorFollower(
            context.link,
            lambda row: context.arrivals.append((row.value, time.monotonic())),
            lambda *_: None,
            lambda: ("dc-1", "dc-2"),
            wait_s=1.0,
            min_period_s=0.02,
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(2 * len(context.value) / LINK_BYTES_PER_S)
        for number in range(n):
            await asyncio.sleep(seconds)
            context.newest = context.value + str(number).encode()
            context.store.put(*ROW_KEY, context.newest)
        context.changed_at = time.monotonic()
        await asyncio.sleep(1.5)
        task.cancel()

    context.run(run())


@then("the host has the newest version at most {seconds:f} s after the last change")
def step_newest(context, seconds):
    delays = [
        arrived_at - context.changed_at
        for value, arrived_at in context.arrivals
        if value == context.newest
    ]
    assert delays and delays[0] <= seconds, delays


@then("the row arrived twice: at the start and after the change")
def step_arrived_twice(context):
    assert context.link.n_rows_received == 2, context.link.n_rows_received

import logging

from behave import given, then, when
from host_parts import CELL
from ownership_steps import make_live_manager, put_cell_row, read_owner, read_row

from berylcleat.host._clock import now_s
from berylcleat.host._membership import Coverage
from berylcleat.host._records import OWNER_KEY, HostRow, OwnerRow, encode
from berylcleat.ports import StoreRow

DEEP = '{"x": ' + "[" * 100_000 + "]" * 100_000 + "}"
OTHER_CELL = "r2"


class ErrorLog(logging.Handler):
    """Messages of errors of one logger."""

    def __init__(self):
        super().__init__(logging.ERROR)
        self.messages = []

    def emit(self, record):
        self.messages.append(record.getMessage())


@given("its owner row is {fault}")
def step_owner_row(context, fault):
    context.owner_value = (DEEP if fault == "(deep)" else fault).encode()


async def count_commits(store, action):
    n_commits = 0
    commit = store.commit

    async def count(*arguments):
        nonlocal n_commits
        n_commits += 1
        return await commit(*arguments)

    store.commit = count
    await action()
    store.commit = commit
    return n_commits


@when("a host looks after that cell and another one {n:d} times")
def step_look_after(context, n):
    log = ErrorLog()
    logger = logging.getLogger("berylcleat.host._cell_directory")
    logger.addHandler(log)

    async def run():
        store = context.store
        manager, cells = await make_live_manager(store, "dc-1")
        cells.owner_by_cell.clear()
        manager._workers.data_centre_by_cell()[OTHER_CELL] = "dc-1"
        put_cell_row(context, OWNER_KEY, context.owner_value)

        async def look_after():
            for _ in range(n):
                await read_owner(store, cells)
                coverage = Coverage(now_s() - 10.0, now_s())
                await manager.reconcile(coverage, coverage)

        context.n_commits = await count_commits(store, look_after)
        context.owned = set(manager.controller_by_cell)
        await manager.release_all()

    context.run(run())
    logger.removeHandler(log)
    context.logged = [text for text in log.messages if "owner row" in text]


@then("it owns the other cell, after {n:d} commit")
def step_owns_other(context, n):
    assert context.owned == {OTHER_CELL}, context.owned
    assert context.n_commits == n, context.n_commits


@then("the owner row was logged once")
def step_logged(context):
    assert len(context.logged) == 1, context.logged
    assert CELL in context.logged[0]


@when("a host looks after it beside a host with the processing capacity {power:d}")
def step_weak_host(context, power):
    async def run():
        manager, _ = await make_live_manager(context.store, "dc-1")
        value = encode(HostRow("ee", "127.0.0.1:9", power))
        row = StoreRow("centre-dc", "dc", "host/host-2", value, 2)
        manager._membership.on_host_rows((row,))
        coverage = Coverage(now_s() - 10.0, now_s())
        await manager.reconcile(coverage, coverage)
        context.taken = bool(manager.controller_by_cell)
        await manager.release_all()

    context.run(run())


@given("its owner row has runs unaccounted for {seconds} s")
def step_unsettled(context, seconds):
    row = OwnerRow(2, "", "", float(seconds))
    context.owner_value = encode(row)


@when("a host acquires that cell")
def step_acquire(context):
    log = ErrorLog()
    logger = logging.getLogger("berylcleat.host._cell_directory")
    logger.addHandler(log)

    async def run():
        manager, cells = await make_live_manager(context.store, "dc-1")
        cells.owner_by_cell.clear()
        put_cell_row(context, OWNER_KEY, context.owner_value)
        await read_owner(context.store, cells)
        coverage = Coverage(now_s() - 10.0, now_s())
        await manager.reconcile(coverage, coverage)
        settled_at = manager.controller_by_cell[CELL]._settled_at
        written = read_row(context, OWNER_KEY, OwnerRow)
        context.waits = (settled_at - now_s(), written.unsettled_s)
        await manager.release_all()

    context.run(run())
    logger.removeHandler(log)
    context.logged = [text for text in log.messages if "owner row" in text]


@then("inherited tasks wait for at most {seconds:f} s, under it and the next owner")
def step_bounded_wait(context, seconds):
    assert all(wait <= seconds for wait in context.waits), context.waits

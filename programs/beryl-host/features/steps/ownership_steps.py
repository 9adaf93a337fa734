import asyncio
from dataclasses import replace
from functools import partial

import msgspec
from behave import given, then, when
from host_parts import (
    CELL,
    make_cell_follower,
    make_controller,
    make_manager,
    make_worker_entry,
)
from prometheus_client import REGISTRY

from berylcleat.host._cell_directory import CellDirectory
from berylcleat.host._clock import now_s
from berylcleat.host._follower import TableFollower
from berylcleat.host._layout_agreement import LAYOUT_KEY
from berylcleat.host._membership import Coverage, Membership, assign_cells
from berylcleat.host._peers import TakeoverReply
from berylcleat.host._process import Host
from berylcleat.host._recorder import ProgressRecorder
from berylcleat.host._records import (
    CELL_TABLE,
    OWNER_KEY,
    PROGRESS_TABLE,
    RECORDED_WORKER_TABLE,
    WORKERS_KEY,
    EarlierOwner,
    HostRow,
    OwnerRow,
    WorkersRow,
    encode,
)
from berylcleat.host._settings import HostSettings
from berylcleat.host._version_times import VersionTimes
from berylcleat.host._worker_list import WorkerList
from berylcleat.model import (
    OutcomeUnknownError,
    PlatformUnavailableError,
    QueuePolicy,
    Step,
    Submission,
    TaskDemand,
    TaskKey,
)
from berylcleat.ports import (
    OrderAnswer,
    OrderResult,
    RowPage,
    RunningTask,
    StartOrder,
    StoreRow,
    WorkerReport,
)
from berylcleat.runtime import cancel_all
from berylcleat.scheduling import (
    CellScheduler,
    InterferenceModel,
    LeaseTimes,
    MoveProposal,
    Progress,
    ProgressWrite,
    RecordBatch,
    decode_progress,
)
from berylcleat.standins import MemoryStore

HOST_SETTINGS = HostSettings("host-1", "dc-1", *["127.0.0.1:9"] * 5)
SUBMISSION = Submission(
    "a" * 16,
    QueuePolicy("q", "cardhouse"),
    "s",
    (Step(1, TaskDemand(1000, 1000)),),
)
TASK = TaskKey(SUBMISSION.submission_id, 0, 0, 0)
TABLE_BY_KEY = {OWNER_KEY: CELL_TABLE, WORKERS_KEY: RECORDED_WORKER_TABLE}


def read_row(context, key, row_type):
    row = context.store.rows_by_key(TABLE_BY_KEY[key], CELL)[key]
    return msgspec.json.decode(row.value, type=row_type)


@given('a cell with recorded workers "{names}"')
def step_cell(context, names):
    context.store = MemoryStore()
    workers = WorkersRow(tuple(make_worker_entry(name) for name in names.split()))
    put_cell_row(context, OWNER_KEY, encode(OwnerRow(2, "host-1", "aa", 18.0)))
    put_cell_row(context, WORKERS_KEY, encode(workers))


def put_cell_row(context, key, value):
    context.store.put(TABLE_BY_KEY[key], CELL, key, value)


def make_owner(context, unsettled_s):
    """Return a controller with earlier runs unaccounted for ``unsettled_s`` seconds."""
    settled_at = asyncio.get_running_loop().time() + unsettled_s
    owner = OwnerRow(2, "host-1", "aa", 18.0)
    return make_controller(context.store, owner, settled_at)


@when(
    "a host acquires it with runs unaccounted for {seconds:d} s and leaves "
    "{moment} reading it"
)
def step_leave(context, seconds, moment):
    async def leave():
        controller = make_owner(context, seconds)
        if moment == "before":
            context.store.reads_allowed.clear()
        starting = asyncio.create_task(controller.start({}))
        await asyncio.sleep(0.05)
        await controller.release()
        context.store.reads_allowed.set()
        await starting
        await asyncio.sleep(0.5)
        assert controller.is_inactive

    context.run(leave())


async def read_owner(store, cells):
    await read_owners_of(store, cells, CELL)


async def read_owners_of(store, cells, cell_id):
    page = await store.read(CELL_TABLE, cell_id)
    cells.on_owner_rows(page.rows)


@when("a host gets a takeover notice while it acquires the cell")
def step_takeover_notice(context):
    async def acquire():
        store = context.store
        cells = CellDirectory("dc-1")
        workers = WorkerList()
        await read_owner(store, cells)
        follower = make_cell_follower(store, cells)
        manager = make_manager("dc-1", store, Membership(), cells, workers, follower)

        async def send_notice():
            store.before_commit = None
            await manager.relinquish(CELL, 3)

        store.before_commit = send_notice
        await manager._acquire(CELL)
        context.manager = manager

    context.run(acquire())


@then('the cell\'s recorded workers are still "{names}"')
def step_recorded(context, names):
    row = read_row(context, WORKERS_KEY, WorkersRow)
    assert [w.worker_id for w in row.workers] == names.split(), row


@then("the cell was released with runs unaccounted for at least {seconds:d} s")
def step_released(context, seconds):
    row = read_row(context, OWNER_KEY, OwnerRow)
    assert not row.host_id, row
    assert row.unsettled_s >= seconds, row


@then("the host controls no cell")
def step_controls_none(context):
    assert not context.manager.controller_by_cell


@when("the progress of {n:d} submissions is recorded")
def step_record_many(context, n):
    writes = [ProgressWrite(f"{i:016x}", b"{}", False) for i in range(n)]
    owner = context.store.rows_by_key(CELL_TABLE, CELL)[OWNER_KEY]

    async def record():
        recorder = ProgressRecorder(context.store, CELL, owner.version)
        context.n_commits = 0
        remaining = writes
        while remaining:
            context.n_commits += 1
            await recorder.commit(None, RecordBatch(tuple(remaining), {}))
            page = await context.store.read(PROGRESS_TABLE, CELL)
            recorded = {row.key for row in page.rows}
            remaining = [
                write for write in remaining if write.submission_id not in recorded
            ]

    context.run(record())


@then("all {n:d} are recorded after at most {n_commits:d} transactions")
def step_all_recorded(context, n, n_commits):
    assert len(context.store.rows_by_key(PROGRESS_TABLE, CELL)) == n
    assert context.n_commits <= n_commits, context.n_commits


@when("a follower that re-reads on failure misses {n:d} versions of a row")
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
            rereads_on_failure=True,
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


@then("it received only the newest version")
def step_newest_only(context):
    assert [row.value for row in context.seen] == [context.newest], context.seen


@given("a host with capacity {strong:f} and {n:d} hosts with capacity {weak:f}")
def step_host_capacities(context, strong, n, weak):
    capacities = {"strong": strong, **{f"weak-{number}": weak for number in range(n)}}
    context.hosts = {
        host_id: HostRow("aa", "a:1", capacity)
        for host_id, capacity in capacities.items()
    }


@when("{n:d} cells have no owner")
def step_no_owner(context, n):
    cell_ids = {f"r{number}" for number in range(n)}
    context.host_by_cell = assign_cells(cell_ids, {}, context.hosts)


@then("the strong host gets {n:d} of them")
def step_strong_host_share(context, n):
    assert list(context.host_by_cell.values()).count("strong") == n, (
        context.host_by_cell
    )


@given('a cell with recorded workers "{names}" that was {state}')
def step_unowned_cell(context, names, state):
    step_cell(context, names)
    lost = OwnerRow(2, "gone", "aa", data_centre="dc-1")
    owner = OwnerRow(2, "", "") if state == "released" else lost
    put_cell_row(context, OWNER_KEY, encode(owner))


async def make_live_manager(store, data_centre, incarnation="bb", heartbeat=None):
    """Return the ownership manager and the cells of the only live host.

    Its last known heartbeat is that of its present incarnation by default.
    """
    membership = Membership()
    cells = CellDirectory(data_centre)
    await read_owner(store, cells)
    # The owner acquired the cell long ago.
    observed = cells.owner_by_cell[CELL]
    cells.owner_by_cell[CELL] = replace(observed, observed_at=now_s() - 10.0)
    host = encode(HostRow(heartbeat or incarnation, "127.0.0.1:9", 1.0))
    membership.on_host_rows((StoreRow("centre-dc", "dc", "host/host-1", host, 1),))
    workers = WorkerList()
    workers.data_centre_by_cell()[CELL] = "dc-1"
    follower = make_cell_follower(store, cells)
    follower.confirmed_at = now_s()
    manager = make_manager(
        data_centre, store, membership, cells, workers, follower, incarnation
    )
    return manager, cells


@when("a host of another data centre is eligible to acquire it for {seconds:f} s")
def step_remote_host(context, seconds):
    async def run_manager():
        store = context.store
        manager, _ = await make_live_manager(store, "dc-2")
        started_at = now_s()
        while now_s() - started_at < seconds:
            coverage = Coverage(started_at - 10.0, now_s())
            await manager.reconcile(coverage, coverage)
            await asyncio.sleep(0.05)
        context.taken = bool(manager.controller_by_cell)
        await manager.release_all()

    context.run(run_manager())


@then("it has {taken} the cell")
def step_ownership(context, taken):
    assert context.taken == (taken == "taken")


@when("a host acquires it and the answer to its commit is lost")
def step_lost_answer(context):
    async def acquire():
        store = context.store
        manager, cells = await make_live_manager(store, "dc-1")
        # The last heartbeat of the cell's owner is too long ago.
        coverage = Coverage(now_s() - 10.0, now_s())
        store.n_lost_answers = 1
        await manager.reconcile(coverage, coverage)
        assert not manager.controller_by_cell
        await read_owner(store, cells)
        await manager.reconcile(coverage, coverage)
        context.taken = bool(manager.controller_by_cell)
        await manager.release_all()

    context.run(acquire())


async def report_restart(store, manager):
    """Let the host "gone" write a heartbeat of its next incarnation.

    It is leaving, so it acquires no cell.
    """
    heartbeat = encode(HostRow("cc", "127.0.0.1:9", 1.0, is_leaving=True))
    store.put("centre-dc", "dc", "host/gone", heartbeat)
    page = await store.read("centre-dc", "dc")
    manager._membership.on_host_rows(page.rows)


async def keep_settled_time(context, manager):
    controller = manager.controller_by_cell[CELL]
    context.epoch = controller.owner.epoch
    now = now_s()
    context.settled_after_s = next(
        (s for s in range(30) if controller.scheduler.has_settled(now + s)), 30
    )
    await manager.release_all()


@when("a host takes it over and is killed, and all hosts restart")
def step_two_takeovers(context):
    async def take_over_twice():
        store = context.store
        first, _ = await make_live_manager(store, "dc-1")
        coverage = Coverage(now_s() - 10.0, now_s())
        await first.reconcile(coverage, coverage)
        await first.controller_by_cell[CELL].abandon()
        second, cells = await make_live_manager(store, "dc-1", "dd")
        # The restarted host reads the owner row for the first time.
        observed = cells.owner_by_cell[CELL]
        cells.owner_by_cell[CELL] = replace(observed, observed_at=now_s())
        if context.has_restarted:
            await report_restart(store, second)
        await second.reconcile(coverage, coverage)
        await keep_settled_time(context, second)

    context.run(take_over_twice())


@given("its owner's host {restarts}")
def step_owner_restarts(context, restarts):
    context.has_restarted = restarts == "restarts"


@when("a host acquires it, and is told of it only by its row")
def step_told_by_row(context):
    async def acquire():
        store = context.store
        manager, cells = await make_live_manager(store, "dc-1")
        coverage = Coverage(now_s() - 10.0, now_s())
        store.n_lost_answers = 1
        await manager.reconcile(coverage, coverage)
        await read_owner(store, cells)
        if getattr(context, "has_restarted", False):
            await report_restart(store, manager)
        await manager.reconcile(coverage, coverage)
        await keep_settled_time(context, manager)

    context.run(acquire())


@then("it waits for runs of earlier owners for {low:d} to {high:d} s")
def step_waits(context, low, high):
    assert low <= context.settled_after_s <= high, context.settled_after_s


def make_scheduler(workers):
    return CellScheduler(CELL, 2, LeaseTimes(), 0.0, 0.0, workers, InterferenceModel())


def make_recorder(context):
    owner = context.store.rows_by_key(CELL_TABLE, CELL)[OWNER_KEY]
    return ProgressRecorder(context.store, CELL, owner.version)


async def record_without_answer(context):
    await context.recorder.read_workers()
    context.store.n_lost_answers = 1
    assert not await context.recorder.record_workers(context.scheduler)


@when('"{name}" leaves it and the answer to the write without it is lost')
def step_worker_leaves(context, name):
    workers = read_row(context, WORKERS_KEY, WorkersRow).workers
    context.scheduler = make_scheduler(workers)
    del context.scheduler.worker_by_id[name]
    context.recorder = make_recorder(context)
    context.run(record_without_answer(context))
    row = read_row(context, WORKERS_KEY, WorkersRow)
    assert name not in [worker.worker_id for worker in row.workers], row


@when('"{name}" returns and a task waits for it')
def step_worker_returns(context, name):
    scheduler = context.scheduler
    scheduler.list_worker(make_worker_entry(name), 1.0)
    scheduler.on_report(name, WorkerReport(1000, 1, (), ()), 1.0, 1.0)
    scheduler.add_submission(SUBMISSION, Progress(), 1.0, 1.0, inherited=False)


@when('"{name}" drained and the owner\'s process ends')
def step_worker_drained(context, name):
    make_owning_scheduler(context)
    renew_lease(context.scheduler, name)
    list_as_draining(context.scheduler, name)
    step_record_workers(context)


@when('"{name}" drained during a write of the workers and the owner\'s process ends')
def step_worker_drained_meanwhile(context, name):
    make_owning_scheduler(context)
    renew_lease(context.scheduler, name)
    context.scheduler.list_worker(make_worker_entry("w3"), 1.0)

    async def drain():
        context.store.before_commit = None
        list_as_draining(context.scheduler, name)

    context.store.before_commit = drain
    step_record_workers(context)


@when("the owner's process ends")
def step_process_ends(context):
    make_owning_scheduler(context)


def make_owning_scheduler(context):
    workers = read_row(context, WORKERS_KEY, WorkersRow).workers
    context.scheduler = make_scheduler(workers)
    for worker in workers:
        context.scheduler.list_worker(worker, 1.0)
    context.recorder = make_recorder(context)
    context.run(context.recorder.read_workers())


def renew_lease(scheduler, name):
    """Let a worker report, and grant it the usual lease."""
    now = now_s()
    scheduler.on_report(name, WorkerReport(100_000, 1, (), ()), now, now)
    scheduler.lease_until_ms(scheduler.worker_by_id[name], now)


def list_as_draining(scheduler, name):
    scheduler.list_worker(replace(make_worker_entry(name), is_draining=True), 1.0)


@when(
    'the next owner finds "{left}" neither listed nor reachable, and "{name}" reports'
)
def step_next_owner(context, left, name):
    recorder = make_recorder(context)
    workers = context.run(recorder.read_workers())
    scheduler = CellScheduler(
        CELL, 3, LeaseTimes(), 0.0, 19.7, workers, InterferenceModel()
    )
    scheduler.on_recorded_leases(recorder.lease_left_s_by_worker, 1.0)
    for worker in workers:
        if worker.worker_id == left:
            scheduler.on_hold_failed(left, 1.0)
        else:
            scheduler.list_worker(worker, 1.0)
            report = WorkerReport(1000, 1, (), ())
            scheduler.on_report(worker.worker_id, report, 1.0, 1.0)
    context.scheduler = scheduler


def report_run(context, name, started_at_ms, clock_ms):
    """Let a worker report that it runs the first task, number 1."""
    now = now_s()
    running = (RunningTask(TASK, 1, "", 100),)
    report = WorkerReport(clock_ms, started_at_ms, running, ())
    context.scheduler.on_report(name, report, now, now)


@when('the next owner finds a run on "{name}"')
def step_run_found(context, name):
    context.recorder = make_recorder(context)
    workers = context.run(context.recorder.read_workers())
    context.scheduler = CellScheduler(
        CELL, 3, LeaseTimes(), 0.0, 0.0, workers, InterferenceModel()
    )
    leases = context.recorder.lease_left_s_by_worker
    context.scheduler.on_recorded_leases(leases, now_s())
    for worker in workers:
        context.scheduler.list_worker(worker, now_s())
    context.scheduler.add_submission(SUBMISSION, Progress(), 1.0, 1.0, inherited=True)
    report_run(context, name, 1, 100_000)


@when('"{name}" restarts and has a run')
def step_restarts_with_run(context, name):
    report_run(context, name, 2, 1000)


def lease_s(context, name):
    """Return how long the lease lasts that a worker is granted now."""
    view = context.scheduler.worker_by_id[name]
    now = now_s()
    until_ms = context.scheduler.lease_until_ms(view, now)
    return (until_ms - view.clock.earliest_ms(now)) / 1000


@then('it grants "{name}" no lease')
def step_no_lease(context, name):
    assert lease_s(context, name) <= 0


@then('it grants "{name}" a lease of {seconds:g} s')
def step_lease(context, name, seconds):
    assert abs(lease_s(context, name) - seconds) < 0.1, lease_s(context, name)


@then('the record allows "{name}" leases of {seconds:g} s')
def step_recorded_lease(context, name, seconds):
    row = read_row(context, WORKERS_KEY, WorkersRow)
    left_s = row.lease_left_s_by_worker[name]
    # The first lease may be that of an earlier owner, 6 s.
    assert seconds <= left_s <= 1.1 * LeaseTimes().max_lease_s, left_s


@when(
    "a host reads the record {seconds:d} seconds later, whose last answer was "
    "{answer} it"
)
def step_read_later(context, seconds, answer):
    recorder = make_recorder(context)
    workers = context.run(recorder.read_workers())
    version = recorder.workers_version
    version_times = VersionTimes()
    version_times.observe(version if answer == "after" else version - 1, now_s())
    context.read_at = now_s() + seconds
    context.scheduler = CellScheduler(
        CELL, 3, LeaseTimes(), 0.0, now_s() + 30.0, workers, InterferenceModel()
    )
    context.scheduler.on_recorded_leases(
        recorder.lease_left_s_by_worker,
        version_times.written_by(version, context.read_at),
    )
    report = WorkerReport(1000, 1, (), ())
    context.scheduler.on_report("w2", report, now_s(), now_s())


@then('it waits for "w1" for {low:g} to {high:g} s')
def step_waits_for_worker(context, low, high):
    assert not context.scheduler.has_settled(context.read_at + low)
    assert context.scheduler.has_settled(context.read_at + high)


@then("the next owner {knows} all runs of earlier owners")
def step_knows_runs(context, knows):
    assert context.scheduler.has_settled(1.0) == (knows == "knows")


@then("after {seconds:g} seconds the next owner {knows} all runs of earlier owners")
def step_knows_runs_later(context, seconds, knows):
    assert context.scheduler.has_settled(1.0 + seconds) == (knows == "knows")


@when("the workers are recorded until nothing is left to record")
def step_record_workers(context):
    async def record():
        for _ in range(3):
            if context.scheduler.must_record_workers():
                await context.recorder.record_workers(context.scheduler)

    context.run(record())
    assert not context.scheduler.must_record_workers()


@then('a task is {started} on "{name}"')
def step_started(context, started, name):
    # A worker of the earlier owner has not reported: a start is recorded before it.
    context.scheduler.plan(1.0, 1000.0)
    context.scheduler.on_recorded(context.scheduler.take_batch())
    orders = context.scheduler.plan(1.0, 1000.0)
    workers = [o.worker_id for o in orders if isinstance(o.order, StartOrder)]
    assert workers == ([name] if started == "started" else []), workers


@when("the answer to a write of the same workers is lost")
def step_same_workers(context):
    workers = read_row(context, WORKERS_KEY, WorkersRow).workers
    context.scheduler = make_scheduler(workers)
    context.recorder = make_recorder(context)
    context.run(record_without_answer(context))


@then("the workers must be written again")
def step_must_record(context):
    assert context.scheduler.must_record_workers()


@when("another incarnation of the owner's host wrote a heartbeat {order} the owner row")
def step_other_heartbeat(context, order):
    put_owner = partial(
        put_cell_row, context, OWNER_KEY, encode(OwnerRow(3, "host-2", "aa"))
    )
    heartbeat = encode(HostRow("cc", "127.0.0.1:9", 1.0))
    put_heartbeat = partial(
        context.store.put, "centre-dc", "dc", "host/host-2", heartbeat
    )
    is_before = order == "before"
    for put in (put_heartbeat, put_owner) if is_before else (put_owner, put_heartbeat):
        put()


@then("the previous owner {state}")
def step_previous_owner(context, state):
    async def has_stopped():
        manager, cells = await make_live_manager(context.store, "dc-1")
        page = await context.store.read("centre-dc", "dc")
        manager._membership.on_host_rows(page.rows)
        observed = cells.owner_by_cell[CELL]
        owners = manager._earlier_owners(observed)
        next_row = OwnerRow(observed.row.epoch + 1, "host-1", "bb")
        reply = await manager._confirm_stops(CELL, owners, next_row, observed)
        return reply is not None

    assert context.run(has_stopped()) == (state == "has stopped")


@when("a host takes it over and the previous owner replies to the third request only")
def step_late_reply(context):
    replies = [None, None, TakeoverReply({"w1": 0.0, "w2": 0.0})]

    async def confirm_stop():
        return replies.pop(0)

    async def take_over():
        controller = make_owner(context, 18.0)
        await controller.start({})
        controller.complete_handover(None, confirm_stop, now_s())
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        while not controller.scheduler.has_settled(loop.time()):
            await asyncio.sleep(0.05)
        context.settled_after_s = loop.time() - began_at
        await controller.abandon()

    context.run(take_over())


@then("runs of the previous owner count as known within {seconds:f} s")
def step_settled(context, seconds):
    assert context.settled_after_s <= seconds, context.settled_after_s


@when("its owner finds that it was lost and then gets the takeover notice")
def step_dropped(context):
    async def drop():
        manager, cells = await make_live_manager(context.store, "dc-1")
        controller = make_owner(context, 18.0)
        await controller.start({})
        manager.controller_by_cell[CELL] = controller
        put_cell_row(context, OWNER_KEY, encode(OwnerRow(3, "host-2", "aa")))
        await read_owner(context.store, cells)
        await manager._drop_lost()
        context.leases = await manager.relinquish(CELL, controller.owner.epoch)

    context.run(drop())


@then('the reply names the leases of "{names}"')
def step_leases(context, names):
    assert context.leases is not None
    assert sorted(context.leases) == names.split(), context.leases


@when("a host acquires it and is fenced before it reads the next owner's row")
def step_fenced(context):
    async def fence():
        manager, _ = await make_live_manager(context.store, "dc-1")
        context.manager = manager
        await reconcile(context)
        context.fenced_epoch = manager.controller_by_cell[CELL].owner.epoch
        manager.controller_by_cell[CELL].scheduler.on_fenced("w1")
        await reconcile(context)

    context.run(fence())


async def reconcile(context):
    coverage = Coverage(now_s() - 10.0, now_s())
    await context.manager.reconcile(coverage, coverage)


@when("it looks after its cells again")
def step_reconcile_again(context):
    context.run(reconcile(context))


@then("it runs the cell under no epoch twice")
def step_no_epoch_twice(context):
    controller = context.manager.controller_by_cell.get(CELL)
    assert controller is None or controller.owner.epoch > context.fenced_epoch


@then("it owns the cell under a higher epoch")
def step_higher_epoch(context):
    controller = context.manager.controller_by_cell.get(CELL)
    assert controller is not None, "the cell has no owner"
    assert controller.owner.epoch > context.fenced_epoch, controller.owner.epoch


@when("its owner drops two lost cells and gets the notice for the second meanwhile")
def step_drop_two(context):
    async def drop():
        manager, cells = await make_live_manager(context.store, "dc-1")
        await read_owner(context.store, cells)
        observed = cells.owner_by_cell[CELL]
        first, second = (make_owner(context, 18.0) for _ in range(2))
        for cell_id, controller in (("first", first), ("second", second)):
            cells.owner_by_cell[cell_id] = replace(
                observed, row=OwnerRow(3, "host-2", "aa")
            )
            manager.controller_by_cell[cell_id] = controller
        abandon = first.abandon

        async def abandon_slowly():
            await manager.relinquish("second", 2)
            await abandon()

        first.abandon = abandon_slowly
        await manager._drop_lost()
        context.manager = manager

    context.run(drop())


@then("the host owns no cell")
def step_owns_none(context):
    assert not context.manager.controller_by_cell


@when("a host acquires it and an unexpected error ends its start")
def step_broken_start(context):
    async def acquire():
        manager, cells = await make_live_manager(context.store, "dc-1")
        await read_owner(context.store, cells)

        async def fail(cell_id, version):
            raise KeyError(cell_id)

        manager._feeds.submissions.open = fail
        await manager._acquire(CELL)
        context.manager = manager

    context.run(acquire())


@when("its owner records a done task without an answer and then releases the cell")
def step_release_after_lost_answer(context):
    async def release():
        controller = make_owner(context, 0.0)
        await controller.start({})
        scheduler = controller.scheduler
        scheduler.add_submission(SUBMISSION, Progress(), 0.0, 0.0, inherited=False)
        scheduler.submissions.by_id[SUBMISSION.submission_id].add_done(TASK)
        context.store.n_lost_answers = 1
        try:
            await controller._recorder.commit(scheduler, scheduler.take_batch())
        except OutcomeUnknownError:
            await controller.release()

    context.run(release())


@when('its owner gives up a start on "{name}", which restarts, and releases the cell')
def step_release_with_late_start(context, name):
    async def release():
        controller = make_owner(context, 0.0)
        await controller.start({})
        scheduler = controller.scheduler
        scheduler.add_submission(SUBMISSION, Progress(), 0.0, 0.0, inherited=False)
        report = WorkerReport(1_000_000, 1, (), ())
        scheduler.on_report(name, report, now_s(), now_s())
        deadline_ms = scheduler.lease_until_ms(scheduler.worker_by_id[name], now_s())
        order = StartOrder(TASK, 1, "s", deadline_ms, 2)
        answer = OrderAnswer(OrderResult.NO_ANSWER)
        scheduler.on_start_answer(name, order, answer, now_s())
        restarted = WorkerReport(10, 2, (), ())
        scheduler.on_report(name, restarted, now_s(), now_s())
        await controller.release()

    context.run(release())


@when('its owner is replaced during a start on "{name}", which has restarted meanwhile')
def step_replaced_during_start(context, name):
    async def replace_owner():
        manager, _ = await make_live_manager(context.store, "dc-1")
        controller = make_owner(context, 0.0)
        await controller.start({name: make_worker_entry(name)})
        manager.controller_by_cell[CELL] = controller
        order = send_start(controller.scheduler, name)
        restarted = WorkerReport(10, 2, (), ())
        controller.scheduler.on_report(name, restarted, now_s(), now_s())
        context.leases = await manager.relinquish(CELL, order.epoch)

    context.run(replace_owner())


@when(
    'its owner fails during a start on "{name}", which has restarted, and its release '
    "is refused"
)
def step_failed_during_start(context, name):
    async def refuse():
        raise PlatformUnavailableError("store: refused", "Wait")

    async def fail():
        manager, _ = await make_live_manager(context.store, "dc-1")
        controller = make_owner(context, 0.0)
        await controller.start({name: make_worker_entry(name)})
        manager.controller_by_cell[CELL] = controller
        order = send_start(controller.scheduler, name)
        restarted = WorkerReport(10, 2, (), ())
        controller.scheduler.on_report(name, restarted, now_s(), now_s())
        context.store.before_commit = refuse
        controller._on_failure("plan", KeyError(name))
        await manager._drop_lost()
        assert not manager.controller_by_cell
        assert read_row(context, OWNER_KEY, OwnerRow).host_id == "host-1"
        context.leases = await manager.relinquish(CELL, order.epoch)
        assert context.leases is not None

    context.run(fail())


def send_start(scheduler, name):
    """Let the only task start on a worker; return the order, which has no answer."""
    scheduler.confirmation.confirmed_at = float("inf")
    scheduler.on_workers_recorded(frozenset(scheduler.worker_by_id))
    report = WorkerReport(1_000_000, 1, (), ())
    scheduler.on_report(name, report, now_s(), now_s())
    scheduler.add_submission(SUBMISSION, Progress(), now_s(), now_s(), inherited=False)
    scheduler.plan(now_s(), 1000.0)
    # A worker of the earlier owner has not reported: a start is recorded before it.
    scheduler.on_recorded(scheduler.take_batch())
    orders = [item.order for item in scheduler.plan(now_s(), 1000.0)]
    (order,) = (order for order in orders if isinstance(order, StartOrder))
    assert scheduler.may_send_start(order, now_s())
    return order


@then('the lease that it tells for "{name}" lasts for {low:d} to {high:d} s')
def step_told_lease(context, name, low, high):
    assert low <= context.leases[name] <= high, context.leases


@when("a host acquires it")
def step_acquire_released(context):
    async def acquire():
        manager, cells = await make_live_manager(context.store, "dc-1")
        observed = cells.owner_by_cell[CELL]
        cells.owner_by_cell[CELL] = replace(observed, observed_at=now_s())
        context.manager = manager
        await reconcile(context)
        await keep_settled_time(context, manager)

    context.run(acquire())


@when("another host acquires it and its owner then releases the cell")
def step_release_lost(context):
    async def release():
        controller = make_owner(context, 0.0)
        await controller.start({})
        put_cell_row(context, OWNER_KEY, encode(OwnerRow(3, "host-2", "aa")))
        await controller.release()

    context.run(release())


@then("the cell was released")
def step_was_released(context):
    assert not read_row(context, OWNER_KEY, OwnerRow).host_id


@then("the cell is that of the other host")
def step_other_host(context):
    assert read_row(context, OWNER_KEY, OwnerRow).host_id == "host-2"


@then("the done task is recorded")
def step_done_recorded(context):
    submission_id = SUBMISSION.submission_id
    row = context.store.rows_by_key(PROGRESS_TABLE, CELL)[submission_id]
    assert decode_progress(submission_id, row.value).is_done(TASK)


@when("a restarted host knows the heartbeat of its {incarnation} incarnation")
def step_known_heartbeat(context, incarnation):
    async def restart():
        heartbeat = "aa" if incarnation == "earlier" else "bb"
        manager, _ = await make_live_manager(
            context.store, "dc-1", "bb", heartbeat=heartbeat
        )
        context.manager = manager
        await reconcile(context)
        context.n_acquired = len(manager.controller_by_cell)
        await manager.release_all()

    context.run(restart())


@then("it acquires {what}")
def step_acquires(context, what):
    assert context.n_acquired == (what == "the cell"), context.n_acquired


@given(
    "a cell released 10 s ago with runs of unknown owners unaccounted for {seconds:d} s"
)
def step_unknown_owners(context, seconds):
    step_cell(context, "w1 w2")
    row = OwnerRow(2, "", "", float(seconds), earlier_owners=None)
    put_cell_row(context, OWNER_KEY, encode(row))


@then("it runs the cell under the first epoch that it acquired")
def step_first_epoch(context):
    assert context.epoch == 3, context.epoch


@given("two cells without an owner")
def step_two_cells(context):
    step_unowned_cell(context, "w1", "released")
    row = encode(OwnerRow(2, "", ""))
    context.store.put(CELL_TABLE, "r2", OWNER_KEY, row)


@when("a host acquires the first while another live host acquires the second")
def step_acquire_beside_other(context):
    async def acquire():
        manager, cells = await make_live_manager(context.store, "dc-1")
        manager._workers.data_centre_by_cell()["r2"] = "dc-1"
        await read_owners_of(context.store, cells, "r2")
        context.other = OwnerRow(3, "host-2", "cc", data_centre="dc-1")
        heartbeat = encode(HostRow("cc", "127.0.0.1:9", 0.1))

        async def acquire_second():
            context.store.before_commit = None
            context.store.put(CELL_TABLE, "r2", OWNER_KEY, encode(context.other))
            await read_owners_of(context.store, cells, "r2")
            row = StoreRow("centre-dc", "dc", "host/host-2", heartbeat, 2)
            manager._membership.on_host_rows((row,))

        context.store.before_commit = acquire_second
        context.manager = manager
        await reconcile(context)
        assert list(manager.controller_by_cell) == [CELL], manager.controller_by_cell
        await manager.release_all()

    context.run(acquire())


@when("a host that acquires the first leaves meanwhile")
def step_leave_meanwhile(context):
    async def acquire():
        manager, cells = await make_live_manager(context.store, "dc-1")
        manager._workers.data_centre_by_cell()["r2"] = "dc-1"
        await read_owners_of(context.store, cells, "r2")

        async def leave():
            context.store.before_commit = None
            await manager.release_all()

        context.store.before_commit = leave
        context.manager = manager
        await reconcile(context)

    context.run(acquire())


@then("no cell has an owner")
def step_no_cell_owner(context):
    for cell_id, epoch in ((CELL, 3), ("r2", 2)):
        row = context.store.rows_by_key(CELL_TABLE, cell_id)[OWNER_KEY]
        owner = msgspec.json.decode(row.value, type=OwnerRow)
        assert (owner.host_id, owner.epoch) == ("", epoch), (cell_id, owner)


@then("the second cell has that owner")
def step_second_owner(context):
    row = context.store.rows_by_key(CELL_TABLE, "r2")[OWNER_KEY]
    assert msgspec.json.decode(row.value, type=OwnerRow) == context.other


@when('a host acquires it and "{name}" begins to drain while the progress is read')
def step_drain_at_start(context, name):
    async def acquire():
        manager, _ = await make_live_manager(context.store, "dc-1")
        workers = manager._workers
        workers.by_id[name] = make_worker_entry(name)
        read = context.store.read

        async def drain_meanwhile(table, *key):
            page = await read(table, *key)
            if table == PROGRESS_TABLE:
                workers.by_id[name] = replace(workers.by_id[name], is_draining=True)
                workers.on_rows(())
            return page

        context.store.read = drain_meanwhile
        await manager._acquire(CELL)
        scheduler = manager.controller_by_cell[CELL].scheduler
        context.entry = scheduler.worker_by_id[name].entry
        await manager.release_all()

    context.run(acquire())


@then('the cell knows that "{name}" is draining')
def step_knows_draining(context, name):
    assert context.entry.is_draining, context.entry


@when("a host acquires it, its start fails and its release has no answer")
def step_failed_start(context):
    async def acquire():
        manager, _ = await make_live_manager(context.store, "dc-1")
        context.manager = manager
        open_feed = manager._feeds.submissions.open
        commit = context.store.commit

        async def fail(cell_id, version):
            raise PlatformUnavailableError("store down", "Wait")

        async def keep_release(release):
            context.release = release
            raise OutcomeUnknownError("store: no answer", "Read it")

        async def commit_acquisition(acquisition):
            context.store.commit = keep_release
            return await commit(acquisition)

        context.store.commit = commit_acquisition
        manager._feeds.submissions.open = fail
        await reconcile(context)
        context.store.commit = commit
        manager._feeds.submissions.open = open_feed

    context.run(acquire())


@when("the store carries out the release")
def step_late_release(context):
    context.run(context.store.commit(context.release))


@then("the host's controller is that of the owner row")
def step_owner_row(context):
    controller = context.manager.controller_by_cell[CELL]
    assert read_row(context, OWNER_KEY, OwnerRow) == controller.owner


@then("the host waits for runs of earlier owners for {low:d} to {high:d} s")
def step_host_waits(context, low, high):
    context.run(keep_settled_time(context, context.manager))
    step_waits(context, low, high)


def count_failures(task):
    labels = {"task": task}
    return REGISTRY.get_sample_value("beryl_background_failures_total", labels) or 0


async def read_layout(*_):
    """Return the recorded layout: a host follows the workers only once it knows it."""
    row = StoreRow(CELL_TABLE, "", LAYOUT_KEY, b'{"racks_per_cell":1}', 1)
    return RowPage((row,), 1)


@when('one call of "{call}" of the {loop} of a host fails unexpectedly')
def step_failing_loop(context, call, loop):
    async def play():
        host = Host(HOST_SETTINGS)
        part = getattr(host, loop)
        called_again = asyncio.Event()
        answers = iter([KeyError("unexpected")])

        async def fail_once():
            for error in answers:
                raise error
            called_again.set()

        setattr(part, call, fail_once)
        host.store.read = read_layout
        n_before = count_failures(part.run.__qualname__)
        tasks = host.start_tasks()
        await asyncio.wait([asyncio.ensure_future(called_again.wait())], timeout=3.0)
        await cancel_all(tasks)
        context.is_called_again = called_again.is_set()
        context.n_failures = count_failures(part.run.__qualname__) - n_before

    context.run(play())


@then("it is called again and the failure is counted")
def step_called_again(context):
    assert (context.is_called_again, context.n_failures) == (True, 1)


@when('a host acquires it and its scheduler\'s "{call}" {answer}')
def step_failing_scheduler(context, call, answer):
    def fail(*_):
        if answer == "fails":
            raise KeyError("unexpected")
        return [MoveProposal("f" * 16, {})]

    async def play():
        manager, _ = await make_live_manager(context.store, "dc-1")
        context.manager = manager
        await reconcile(context)
        controller = manager.controller_by_cell[CELL]
        context.fenced_epoch = controller.owner.epoch
        setattr(controller.scheduler, call, fail)
        controller._wake_loops()
        for _ in range(20):
            await asyncio.sleep(0.1)
            await reconcile(context)
        context.has_owner = CELL in manager.controller_by_cell
        await manager.release_all()

    context.run(play())


@then("it has owned the cell under the next epoch")
def step_next_epoch(context):
    assert context.has_owner
    epoch = read_row(context, OWNER_KEY, OwnerRow).epoch
    assert epoch == context.fenced_epoch + 1, (epoch, context.fenced_epoch)


@when("one of the owner's two cells can't apply a change of the workers")
def step_failing_listener(context):
    async def change():
        manager, _ = await make_live_manager(context.store, "dc-1")
        context.failing, other = (make_owner(context, 18.0) for _ in range(2))
        manager.controller_by_cell = {"first": context.failing, "second": other}
        context.applied = []

        def fail(entry_by_worker):
            raise KeyError("unexpected")

        context.failing.update_workers = fail
        other.update_workers = context.applied.append
        manager._on_workers({"second": {"w1": make_worker_entry("w1")}})

    context.run(change())


@then("the other cell has applied it")
def step_other_applied(context):
    assert [list(workers) for workers in context.applied] == [["w1"]], context.applied


@then("the cell that can't is to be given up")
def step_to_be_given_up(context):
    assert context.failing.has_failed and context.failing.is_inactive


@when('the first report of "{name}" raises an unexpected error in its owner')
def step_failing_report(context, name):
    async def hold_twice():
        controller = make_owner(context, 0.0)
        await controller.start({name: make_worker_entry(name)})
        context.view = controller.scheduler.worker_by_id[name]
        context.holds = []

        async def hold(order):
            context.holds.append(order)
            await asyncio.sleep(0.05)
            report = WorkerReport(len(context.holds), 1, (), ())
            return OrderAnswer(OrderResult.ACCEPTED, 1, report)

        on_report = controller.scheduler.on_report
        errors = iter([KeyError("unexpected")])

        def fail_once(*arguments):
            for error in errors:
                raise error
            on_report(*arguments)

        controller.scheduler.on_report = fail_once
        controller._hold_loops.client_by_worker[name].hold = hold
        await asyncio.sleep(1.0)
        await controller.abandon()

    context.run(hold_twice())


@then('the next report of "{name}" is processed')
def step_processed(context, name):
    assert context.view.has_seen_epoch


@then("no lease was asked for between the two")
def step_no_lease(context):
    assert [hold.deadline_ms for hold in context.holds[:2]] == [None, None]


@when("a host whose predecessor has stopped acquires it and leaves after {seconds:f} s")
def step_acquire_and_leave(context, seconds):
    async def acquire():
        manager, _ = await make_live_manager(context.store, "dc-1")
        await report_restart(context.store, manager)
        context.manager = manager
        await reconcile(context)
        assert CELL in manager.controller_by_cell
        await asyncio.sleep(seconds)
        await manager.release_all()

    context.run(acquire())


async def acquire_unobserved(context, told_leases=None):
    """Let a host that has just read the owner row acquire the cell."""
    manager, cells = await make_live_manager(context.store, "dc-1", "dd")
    observed = cells.owner_by_cell[CELL]
    cells.owner_by_cell[CELL] = replace(observed, observed_at=now_s())

    async def tell_leases(address, notice):
        return TakeoverReply(told_leases)

    manager._connections.peers.send_takeover = tell_leases
    context.manager = manager
    await reconcile(context)
    await keep_settled_time(context, manager)


@when("the next host acquires the released cell")
def step_next_host(context):
    context.run(acquire_unobserved(context))


@given("it was released with an earlier owner unaccounted for")
def step_released_unsettled(context):
    earlier = EarlierOwner(2, "host-9", "aa", "127.0.0.1:9", 1)
    row = OwnerRow(3, "", "", 10.0, earlier_owners=(earlier,))
    put_cell_row(context, OWNER_KEY, encode(row))


@when("a host acquires it and that earlier owner tells of leases for {seconds:f} s")
def step_told_by_earlier(context, seconds):
    context.run(acquire_unobserved(context, {"w1": seconds, "w2": seconds}))


@when('"{name}" {returns} while its cell has an owner')
def step_other_address(context, name, returns):
    entry = replace(make_worker_entry(name), started_at_ms=5)
    is_later = returns == "comes back at another address"
    other = replace(entry, address="127.0.0.1:10", started_at_ms=9 if is_later else 1)

    async def return_to_owner():
        controller = make_owner(context, 0.0)
        await controller.start({name: entry})
        clients = controller._hold_loops.client_by_worker
        earlier = clients[name]
        controller.update_workers({name: other})
        context.is_same_client = clients[name] is earlier

        async def hold(order):
            await asyncio.sleep(0.05)
            return OrderAnswer(OrderResult.ACCEPTED, 1, WorkerReport(50, 9, (), ()))

        clients[name].hold = hold
        await asyncio.sleep(1.0)
        view = controller.scheduler.worker_by_id[name]
        context.can_start = view.can_start(now_s())
        await controller.abandon()

    context.run(return_to_owner())


@then("it is used and recorded there")
def step_used_there(context):
    assert not context.is_same_client
    assert context.can_start
    row = read_row(context, WORKERS_KEY, WorkersRow)
    assert "127.0.0.1:10" in [worker.address for worker in row.workers], row


@then("it is asked at its address as before")
def step_asked_as_before(context):
    assert context.is_same_client

import asyncio
import logging

from behave import then, when
from host_parts import CELL, LogCollector, make_controller, make_worker_entry
from ownership_steps import make_live_manager, put_cell_row, reconcile

from berylcleat.host._clock import now_s
from berylcleat.host._hold_loops import HoldLoops
from berylcleat.host._order_sender import OrderSender
from berylcleat.host._records import CELL_TABLE, OWNER_KEY, OwnerRow, encode
from berylcleat.model import (
    PlatformUnavailableError,
    QueuePolicy,
    Step,
    Submission,
    TaskDemand,
    TaskKey,
)
from berylcleat.ports import (
    HoldOrder,
    OrderAnswer,
    OrderResult,
    StartOrder,
    WorkerReport,
)
from berylcleat.scheduling import Progress, WorkerOrder

SUBMISSION = Submission(
    "a" * 16, QueuePolicy("q", "svc"), "s", (Step(1, TaskDemand(100, 100, 0)),)
)
TASK = TaskKey(SUBMISSION.submission_id, 0, 0, 0)


async def start_unconfirmed_owner(context, age_s):
    """Return the controller of an owner whose last confirmation is ``age_s`` old."""
    confirmed_at = now_s() - age_s
    controller = make_controller(
        context.store,
        OwnerRow(2, "host-1", "aa", 18.0),
        now_s(),
        read_confirmed_at=lambda: confirmed_at,
    )
    await controller.start({})
    context.n_reads = 0
    # Number of reads that the store still refuses.
    context.n_refusals = 0
    read = context.store.read

    async def count_read(table, *key):
        context.n_reads += table == CELL_TABLE
        if context.n_refusals:
            context.n_refusals -= 1
            raise PlatformUnavailableError("store down", "Wait")
        return await read(table, *key)

    context.store.read = count_read
    return controller


def add_waiting_task(controller):
    controller.scheduler.add_submission(
        SUBMISSION, Progress(), now_s(), now_s(), inherited=True
    )


async def wait_for_confirmation(context, before_wait):
    """Let a task wait for 0.8 s, the store having changed before."""
    controller = await start_unconfirmed_owner(context, 6.0)
    before_wait()
    add_waiting_task(controller)
    await asyncio.sleep(0.8)
    context.doubt = controller.scheduler._explain_doubt(TASK, now_s())
    context.is_inactive = controller.is_inactive
    await controller.abandon()


@when("its owner, last confirmed 6 s ago, has a task that waits for a confirmation")
def step_wait(context):
    context.run(wait_for_confirmation(context, lambda: None))


@when("another host acquires it and its owner has a task that waits for a confirmation")
def step_wait_replaced(context):
    def replace_owner():
        put_cell_row(context, OWNER_KEY, encode(OwnerRow(3, "host-2", "bb", 18.0)))

    context.run(wait_for_confirmation(context, replace_owner))


@when("the store is down and its owner has a task that waits for a confirmation")
def step_wait_outage(context):
    def stop_store():
        context.n_refusals = 1000

    with LogCollector(logging.INFO) as collector:
        context.run(wait_for_confirmation(context, stop_store))
    context.messages = [m for m in collector.messages if "not confirmed" in m]


@then("the failed confirmations were logged once")
def step_logged_once(context):
    assert len(context.messages) == 1, context.messages


@when(
    "the store refuses {n:d} reads and its owner has a task that waits for a "
    "confirmation"
)
def step_failing_reads(context, n):
    async def wait():
        controller = await start_unconfirmed_owner(context, 5.0)
        context.n_refusals = n
        add_waiting_task(controller)
        while context.n_refusals:
            await asyncio.sleep(0.02)
        failed_at = now_s()
        while controller.scheduler._explain_doubt(TASK, now_s()):
            assert now_s() - failed_at < 10.0, "never confirmed"
            await asyncio.sleep(0.02)
        context.waited_s = now_s() - failed_at
        await controller.abandon()

    context.run(wait())


@then("the task no longer waits for it within {seconds:f} s of the last of them")
def step_confirmed_within(context, seconds):
    assert context.waited_s <= seconds, context.waited_s


@then("the task no longer waits for it")
def step_confirmed(context):
    assert not context.doubt, context.doubt


@then("the task still waits for it")
def step_unconfirmed(context):
    assert context.doubt
    assert not context.is_inactive


@then("the owner row was read at most {n:d} times")
def step_read(context, n):
    assert 1 <= context.n_reads <= n, context.n_reads


@then("the owner has ended")
def step_ended(context):
    assert context.is_inactive


@when("a host acquires it and reads the next owner's row")
def step_next_owner_read(context):
    async def acquire():
        manager, cells = await make_live_manager(context.store, "dc-1")
        context.manager = manager
        await reconcile(context)
        controller = manager.controller_by_cell[CELL]
        assert controller._is_ownership_confirmed()
        put_cell_row(context, OWNER_KEY, encode(OwnerRow(9, "host-2", "cc")))
        page = await context.store.read(CELL_TABLE, CELL)
        cells.on_owner_rows(page.rows)
        context.may_act = controller._is_ownership_confirmed()
        await manager.release_all()

    context.run(acquire())


@then("it may not act on the cell")
def step_may_not_act(context):
    assert not context.may_act


class WillingScheduler:
    """Scheduler that allows every start."""

    def may_send_start(self, order, now):
        return True

    def report_age_s(self, worker_id, now):
        return 0.0

    def on_start_answer(self, worker_id, order, answer, now):
        pass


class WaitingWorker:
    """Worker client that asks before it sends a start."""

    is_sent = False

    async def start(self, order, may_send):
        self.is_sent = may_send()
        return OrderAnswer(OrderResult.NOT_SENT)


@when("a start order is to be sent while the ownership isn't confirmed")
def step_send_in_doubt(context):
    context.worker = WaitingWorker()
    sender = OrderSender(
        WillingScheduler(),
        {"w1": context.worker},
        None,
        lambda: None,
        lambda: False,
    )
    order = StartOrder(TASK, 1, "s", 1000, 1)
    context.run(sender.send(WorkerOrder("w1", order)))


@then("it isn't sent")
def step_not_sent(context):
    assert not context.worker.is_sent


@when(
    "a start order of its owner is to be sent, and again after the owner "
    "has read another one's row"
)
def step_send_after_loss(context):
    async def lose(controller):
        put_cell_row(context, OWNER_KEY, encode(OwnerRow(3, "host-2", "bb", 18.0)))
        await controller._recorder.confirm_ownership()

    context.run(send_before_and_after(context, lose))


@when(
    "a start order of its owner is to be sent, and again after the owner "
    "has failed with an error"
)
def step_send_after_failure(context):
    async def fail(controller):
        controller.attempt({}.__getitem__, "missing")

    context.run(send_before_and_after(context, fail))


@when(
    "a start order of its owner is to be sent, and again after the owner "
    "was told to stop"
)
def step_send_after_stop(context):
    async def stop(controller):
        await controller.abandon()

    context.run(send_before_and_after(context, stop))


async def send_before_and_after(context, end_owner):
    """Have an owner send a start, and once more after ``end_owner`` has ended it."""
    controller = await start_unconfirmed_owner(context, 0.0)
    sender = controller._sender
    sender._scheduler = WillingScheduler()
    order = StartOrder(TASK, 1, "s", 1000, 2)
    context.were_sent = []
    for before_sending in (None, end_owner):
        if before_sending is not None:
            await before_sending(controller)
        worker = WaitingWorker()
        sender._client_by_worker = {"w1": worker}
        await sender.send(WorkerOrder("w1", order))
        context.were_sent.append(worker.is_sent)
    await controller.abandon()


@then("only the first of the two was sent")
def step_first_sent(context):
    assert context.were_sent == [True, False], context.were_sent


class AnsweringWorker:
    """Worker client that answers the first hold as one incarnation, then as another."""

    def __init__(self, later_incarnation_ms):
        self.orders = []
        self._later_incarnation_ms = later_incarnation_ms

    async def hold(self, order):
        incarnation_ms = self._later_incarnation_ms if self.orders else 1000
        self.orders.append(order)
        report = WorkerReport(10_000, incarnation_ms, (), ())
        return OrderAnswer(OrderResult.ACCEPTED, 10_000, report)


@when('a hold is answered by an incarnation of "{name}" with {start} start time')
def step_hold_answered(context, name, start):
    incarnation_ms = {"the same": 1000, "a later": 2000, "an earlier": 500}[start]
    worker = context.worker = AnsweringWorker(incarnation_ms)

    async def hold_three_times():
        controller = await start_unconfirmed_owner(context, 0.0)
        controller.scheduler.list_worker(make_worker_entry(name), now_s())
        loops = HoldLoops(
            controller.scheduler,
            lambda: len(worker.orders) < 3,
            lambda: True,
            lambda: None,
            lambda: None,
        )
        await loops._run(name, worker)
        await controller.abandon()

    context.run(hold_three_times())


@then("the next hold renews the lease")
def step_renews(context):
    assert context.worker.orders[2].deadline_ms is not None


@then("the next hold only probes the lease")
def step_probes(context):
    assert context.worker.orders[1].deadline_ms is not None
    assert context.worker.orders[2] == HoldOrder(2, 0, None, 0)

"""Steps of recorded limits on the leases of draining workers."""

import asyncio
from dataclasses import replace

from behave import then, when
from host_parts import make_controller, make_worker_entry
from ownership_steps import (
    CELL,
    SUBMISSION,
    TASK,
    list_as_draining,
    make_owning_scheduler,
    make_recorder,
    put_cell_row,
    renew_lease,
    report_run,
    step_record_workers,
)

from berylcleat.host._clock import now_s
from berylcleat.host._records import OWNER_KEY, OwnerRow, encode
from berylcleat.ports import (
    OrderAnswer,
    OrderResult,
    RunningTask,
    StartOrder,
    WorkerReport,
)
from berylcleat.scheduling import (
    CellScheduler,
    InterferenceModel,
    LeaseTimes,
    Progress,
    wait_for_limit_s,
)

# That of owners whose rows tell no limit.
FULL_WAIT_S = wait_for_limit_s(0.0)


@when(
    "a host that records no limits takes the cell over and leaves the record as it is"
)
def step_other_version(context):
    put_cell_row(context, OWNER_KEY, encode(OwnerRow(3, "host-2", "bb", 18.0)))
    context.epoch = 3


@then(
    "an owner that takes the cell over at once waits {order} than {seconds:g} s for "
    '"w1"'
)
def step_waits(context, order, seconds):
    async def take_over():
        epoch = getattr(context, "epoch", 2) + 1
        owner = OwnerRow(epoch, "host-3", "cc", 18.0)
        settled_at = asyncio.get_running_loop().time() + FULL_WAIT_S
        controller = make_controller(context.store, owner, settled_at)
        await controller.start({})
        left_s = controller.scheduler.lease_left_s_by_worker(now_s())["w1"]
        await controller.abandon()
        return left_s

    left_s = context.run(take_over())
    assert (left_s < seconds) == (order == "less"), left_s


def take_over(context):
    """Make the next owner, which has read the record and listed all workers."""
    context.epoch = 3
    context.recorder = make_recorder(context)
    workers = context.run(context.recorder.read_workers())
    now = now_s()
    context.scheduler = CellScheduler(
        CELL, context.epoch, LeaseTimes(), now, now + 5.0, workers, InterferenceModel()
    )
    leases = context.recorder.recorded_leases(2)
    context.scheduler.on_recorded_leases(leases, now)
    for worker in workers:
        context.scheduler.list_worker(worker, now)


@when('the next owner takes the cell over without reaching "w1"')
def step_next_owner_unreachable(context):
    take_over(context)


def record_during(context, change):
    """Record the workers once, and call ``change`` during the write."""

    async def before_commit():
        context.store.before_commit = None
        change()

    context.store.before_commit = before_commit
    assert context.run(context.recorder.record_workers(context.scheduler))


@when('the next owner finds a run on "w1" during a write of the workers')
def step_run_found_during_write(context):
    take_over(context)
    scheduler = context.scheduler
    scheduler.add_submission(SUBMISSION, Progress(), 1.0, 1.0, inherited=True)
    record_during(context, lambda: report_run(context, "w1", 1, 100_000))


@when('"w1" drained and its owner goes on')
def step_drained(context):
    make_owning_scheduler(context)
    renew_lease(context.scheduler, "w1")
    list_as_draining(context.scheduler, "w1")
    step_record_workers(context)


@when('"w1" is forgotten and returns ready {moment}')
def step_returns(context, moment):
    def return_ready():
        del context.scheduler.worker_by_id["w1"]
        entry = replace(make_worker_entry("w1"), is_draining=False)
        context.scheduler.list_worker(entry, now_s())

    if moment.startswith("during"):
        record_during(context, return_ready)
    else:
        return_ready()


@when('"w1" has a run, and drained with a recorded limit before {event}')
def step_has_run(context, event):
    make_owning_scheduler(context)
    if event == "a takeover without the submission":
        step_drained(context)
        take_over(context)
        step_record_workers(context)
        report_run(context, "w1", 1, 100_000)
        return
    scheduler = context.scheduler
    scheduler.add_submission(SUBMISSION, Progress(), 1.0, 1.0, inherited=True)
    report_run(context, "w1", 1, 100_000)
    list_as_draining(scheduler, "w1")
    step_record_workers(context)
    now = now_s()
    order = StartOrder(TASK, 1, "s", 104_000, 2, incarnation_ms=1)
    scheduler.on_start_answer("w1", order, OrderAnswer(OrderResult.NO_ANSWER), now)
    running = (RunningTask(TASK, 1, "", 100),)
    report = WorkerReport(102_000, 1, running, ())
    scheduler.on_report("w1", report, now + 2.0, now + 2.0)

import asyncio
import json

from behave import given, then, when
from host_parts import CELL, make_worker_entry
from ownership_steps import (
    make_owner,
    make_recorder,
    make_scheduler,
    put_cell_row,
    read_row,
)
from prometheus_client import REGISTRY

from berylcleat.host._clock import now_s
from berylcleat.host._records import WORKERS_KEY, AcceptedRow, WorkersRow, encode
from berylcleat.host._worker_list import WorkerList
from berylcleat.model import QueuePolicy, Step, Submission, TaskDemand, TaskKey
from berylcleat.ports import (
    OrderAnswer,
    OrderResult,
    RunningTask,
    StartOrder,
    StoreRow,
    WorkerReport,
)
from berylcleat.scheduling import Progress, encode_progress

DEEP = "[" * 100_000 + "]" * 100_000
CHANGE_BY_FAULT = {
    "valid": {},
    "with a port out of range": {"address": "127.0.0.1:99999"},
    "with a number too large": {"born": 10**400},
    "with a capacity below zero": {"capacity": {"cpu": -5, "memMb": 8000}},
    'of the zone "dc-9"': {"zone": "dc-9"},
}


def make_row(context, name, rack, fault="valid"):
    """Return a row of the list of workers, newer than those before."""
    entry = {
        "service": "cardhouse",
        "address": "127.0.0.1:9",
        "zone": "dc-1",
        "state": "ready",
        "capacity": {"cpu": 8000, "memMb": 8000},
        "labels": ["a", rack],
        "born": 1,
    }
    entry.update(CHANGE_BY_FAULT.get(fault, {}))
    value = json.dumps(entry)
    if fault == "cut short":
        value = value[:-1]
    elif fault == "nested too deeply":
        value = value[:-1] + f', "other": {DEEP}}}'
    context.version += 1
    return StoreRow("servers", "", name, value.encode(), context.version)


def count_rejected():
    return REGISTRY.get_sample_value("beryl_host_rejected_worker_entries_total") or 0


@given('a list with the workers "{names}" of rack "{rack}"')
def step_list(context, names, rack):
    context.version = 0
    context.fault_by_worker = {}
    context.list = WorkerList()
    context.list.on_rows(tuple(make_row(context, name, rack) for name in names.split()))
    context.n_rejected = count_rejected()


@when('the entry of "{name}" in rack "{rack}" is {fault}')
def step_entry(context, name, rack, fault):
    context.fault_by_worker[name] = fault
    context.list.on_rows((make_row(context, name, rack, fault),))


@when('the same entry of "{name}" is written {n:d} times more')
def step_again(context, name, n):
    for _ in range(n):
        step_entry(context, name, "r9", context.fault_by_worker[name])


@then('the cells are "{cell_id}" with the workers "{names}"')
def step_cells(context, cell_id, names):
    assert set(context.list.data_centre_by_cell()) == {cell_id}
    assert sorted(context.list.in_cell(cell_id)) == names.split()


@then("{n:d} rejected entry was counted")
def step_counted(context, n):
    assert count_rejected() - context.n_rejected == n


@then('the cell "{cell_id}" belongs to the data centre "{name}"')
def step_data_centre(context, cell_id, name):
    assert context.list.data_centre_by_cell()[cell_id] == name


def list_workers(context):
    """Pass the list to the cell's owner, as its controller does."""
    listed = context.list.in_cell(CELL)
    for entry in listed.values():
        context.scheduler.list_worker(entry, 1.0)
    for worker_id in context.scheduler.worker_by_id.keys() - listed.keys():
        context.scheduler.unlist_worker(worker_id)


@when("the owner records the listed workers and its process ends")
def step_record(context):
    context.scheduler = make_scheduler(())
    list_workers(context)
    context.recorder = make_recorder(context)

    async def record():
        await context.recorder.read_workers()
        assert await context.recorder.record_workers(context.scheduler)

    context.run(record())


def add_task(context, submission_id):
    step = Step(1, TaskDemand(1000, 1000))
    submission = Submission(submission_id, QueuePolicy("q", "cardhouse"), "s", (step,))
    context.scheduler.add_submission(submission, Progress(), 1.0, 1.0, inherited=False)


def plan_starts(scheduler, now=1.0):
    """Return the starts that are ordered once all that they need is recorded."""
    orders = scheduler.plan(now, 1000.0)
    scheduler.on_recorded(scheduler.take_batch())
    orders += scheduler.plan(now, 1000.0)
    return [order for order in orders if isinstance(order.order, StartOrder)]


@given('its owner runs a task on "{name}"')
def step_run(context, name):
    context.scheduler = make_scheduler((make_worker_entry(name),))
    list_workers(context)
    context.scheduler.on_report(name, WorkerReport(1000, 1, (), ()), 1.0, 1.0)
    add_task(context, "a" * 16)
    (start,) = plan_starts(context.scheduler)
    answer = OrderAnswer(OrderResult.ACCEPTED, 1000)
    context.scheduler.on_start_answer(name, start.order, answer, 1.0)
    context.running = RunningTask(start.order.task, start.order.run, "", 100)
    context.n_tasks = 0


@when('the worker "{name}" reports its run, and another task waits')
def step_report(context, name):
    list_workers(context)
    report = WorkerReport(1000, 1, (context.running,), ())
    context.scheduler.on_report(name, report, 1.0, 1.0)
    context.n_tasks += 1
    add_task(context, f"{context.n_tasks:016x}")
    context.starts = plan_starts(context.scheduler)


def is_running(context, name):
    runs = context.scheduler.worker_by_id[name].run_by_task
    is_held = not context.scheduler.can_forget(name)
    return context.running.task in runs and is_held


@then('nothing starts, and the run on "{name}" goes on')
def step_no_start(context, name):
    assert not context.starts, context.starts
    assert is_running(context, name)


@then('a task starts on "{started}", and the run on "{name}" goes on')
def step_start(context, started, name):
    assert {start.worker_id for start in context.starts} == {started}
    assert is_running(context, name)


@given("its recorded workers are {fault}")
def step_recorded_fault(context, fault):
    row = json.loads(encode(read_row(context, WORKERS_KEY, WorkersRow)))
    value = json.dumps(row)
    if fault == "cut short":
        value = value[:-1]
    elif fault == "nested too deeply":
        value = f'{{"x": {DEEP}, {value[1:]}'
    elif fault == "with an odd entry":
        value = json.dumps({"workers": [*row["workers"], {"worker_id": 3}]})
    elif fault == "with one at the port 99999":
        odd = {**row["workers"][0], "worker_id": "w3", "address": "127.0.0.1:99999"}
        value = json.dumps({"workers": [*row["workers"], odd]})
    put_cell_row(context, WORKERS_KEY, value.encode())


@when(
    'a host acquires it with runs unaccounted for {seconds:d} s and "{names}" report '
    "at once"
)
def step_acquire(context, seconds, names):
    async def acquire():
        controller = make_owner(context, seconds)
        listed = {name: make_worker_entry(name) for name in names.split()}
        await controller.start(listed)
        scheduler = controller.scheduler
        for name in listed:
            report = WorkerReport(1000, 1, (), ())
            scheduler.on_report(name, report, now_s(), now_s())
        now = now_s()
        context.waits = [not scheduler.has_settled(now + s) for s in (0, seconds)]
        await asyncio.sleep(2.0)
        row = read_row(context, WORKERS_KEY, WorkersRow)
        context.recorded = [worker.worker_id for worker in row.workers]
        await controller.release()

    context.run(acquire())


@then("inherited tasks wait for {seconds:d} s")
def step_inherited_wait(context, seconds):
    assert context.waits == [bool(seconds), False], context.waits


@then("the unknown worker is recorded no longer after 2 s")
def step_unknown_recorded(context):
    assert context.recorded == ["w1", "w2"], context.recorded


@given("two submissions, and the progress of the first is {fault}")
def step_progress(context, fault):
    value = encode_progress(Progress())
    value_by_fault = {
        "cut short": value[:-1],
        "not text": b"\xff\xfe",
        "empty": b"",
        "nested too deeply": value[:-1] + f",[],[],{DEEP}]".encode(),
        "of an odd state": value.replace(b'""', b'"odd"', 1),
        "of a run of 400 digits": value.replace(
            b"[],[],[]", b"[],[[0,0,0,[" + b"9" * 400 + b"]]],[]", 1
        ),
        "of a task beyond its step": encode_progress(Progress(None, {(0, 0): {5}})),
        "of a step too many": encode_progress(Progress(None, {(0, 1): {0}})),
        "of an occurrence too many": encode_progress(Progress(None, {(1, 0): {0}})),
        "of a failed task beyond its step": encode_progress(
            Progress(failed_runs_by_task={TaskKey("a" * 16, 0, 0, 5): {1}})
        ),
        "as it was": value,
    }
    assert value.startswith(b'["",[],[],[]'), value
    context.ids = ["a" * 16, "b" * 16]
    context.store.put("progress", CELL, context.ids[0], value_by_fault[fault])


@when('a host acquires the cell with both submissions, and "{name}" reports')
def step_acquire_with_submissions(context, name):
    async def acquire():
        controller = make_owner(context, 0)
        queue = QueuePolicy("q", "cardhouse")
        steps = (Step(1, TaskDemand(1000, 1000)),)
        for submission_id in context.ids:
            accepted = AcceptedRow(CELL, 0, Submission(submission_id, queue, "", steps))
            controller._directory.add_accepted(accepted)
        await controller.start({name: make_worker_entry(name)})
        # The feed may deliver a submission again.
        for submission_id, entry in controller._directory.by_id.items():
            controller.on_submission(submission_id, entry)
        scheduler = controller.scheduler
        now = now_s()
        scheduler.on_report(name, WorkerReport(1000, 1, (), ()), now, now)
        starts = plan_starts(scheduler, now)
        context.started = {start.order.task.submission_id for start in starts}
        await controller.release()

    context.run(acquire())


@then("tasks of the second submission alone start")
def step_second_starts(context):
    assert context.started == set(context.ids[1:]), context.started


@then("tasks of both submissions start")
def step_both_start(context):
    assert context.started == set(context.ids), context.started

import json

from behave import given, then, when
from host_parts import CELL, make_worker_entry
from ownership_steps import make_recorder, make_scheduler
from prometheus_client import REGISTRY

from berylcleat.host._worker_list import WorkerList
from berylcleat.model import QueuePolicy, Step, Submission, TaskDemand
from berylcleat.ports import (
    OrderAnswer,
    OrderResult,
    RunningTask,
    StartOrder,
    StoreRow,
    WorkerReport,
)
from berylcleat.scheduling import Progress

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


def plan_starts(context):
    """Return the starts that are ordered once all that they need is recorded."""
    orders = context.scheduler.plan(1.0, 1000.0)
    context.scheduler.on_recorded(context.scheduler.take_batch())
    orders += context.scheduler.plan(1.0, 1000.0)
    return [order for order in orders if isinstance(order.order, StartOrder)]


@given('its owner runs a task on "{name}"')
def step_run(context, name):
    context.scheduler = make_scheduler((make_worker_entry(name),))
    list_workers(context)
    context.scheduler.on_report(name, WorkerReport(1000, 1, (), ()), 1.0, 1.0)
    add_task(context, "a" * 16)
    (start,) = plan_starts(context)
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
    context.starts = plan_starts(context)


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

from dataclasses import replace

import msgspec
from behave import given, then, when
from host_parts import make_worker_entry
from ownership_steps import make_scheduler

from berylcleat.host._cell_summary import make_summary
from berylcleat.host._records import LoadRow, encode, headroom_from_summary
from berylcleat.model import Step, TaskDemand
from berylcleat.ports import WorkerReport


@given('an owner of workers of 8 cores in the racks "{racks}"')
def step_owner(context, racks):
    entries = tuple(
        replace(make_worker_entry(f"w{number}"), rack=rack)
        for number, rack in enumerate(racks.split())
    )
    context.scheduler = make_scheduler(entries)
    for entry in entries:
        context.scheduler.list_worker(entry, 1.0)
        report = WorkerReport(1000, 1, (), ())
        context.scheduler.on_report(entry.worker_id, report, 1.0, 1.0)


@when("another host reads its load")
def step_read(context):
    row = encode(LoadRow(2, make_summary(context.scheduler, "dc-1", 1.0)))
    context.load = msgspec.json.decode(row, type=LoadRow).summary


@then("tasks of 1 core have {cores:d} free cores there in one rack")
def step_free(context, cores):
    headroom = headroom_from_summary("r1", context.load)
    step = Step(1, TaskDemand(1000))
    assert headroom.free_in_one_rack(step) == cores * 1000, headroom
    assert sum(headroom.n_workers_by_rack) in (0, len(headroom.free_by_worker))

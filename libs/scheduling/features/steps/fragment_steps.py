from behave import given, then, when
from cell_loop import make_entry

from berylcleat.model import Step, TaskDemand, TaskKey
from berylcleat.scheduling import (
    CellHeadroom,
    InterferenceModel,
    WorkerView,
    choose_worker,
)
from berylcleat.scheduling._moves import HeadroomReservations


@given(
    "workers with {a:f}, {b:f} and {c:f} free cores where quick tasks need {cores:d} "
    "cores"
)
def step_workers(context, a, b, c, cores):
    context.slot_millis = cores * 1000
    context.views = [
        WorkerView(
            make_entry(f"w{free}", TaskDemand(int(free * 1000), 64000)),
            has_seen_epoch=True,
        )
        for free in (a, b, c)
    ]


@when("a standing task of {cores:f} cores is placed")
def step_place(context, cores):
    step = Step(
        1,
        TaskDemand(int(cores * 1000), 100),
        is_long_running=True,
        target_latency_ms=100,
        image="web",
    )
    context.view = choose_worker(
        TaskKey("a" * 16, 0, 0, 0),
        step,
        "svc",
        context.views,
        InterferenceModel(),
        context.slot_millis,
    )


@then("it goes to the worker with {free:f} free cores")
def step_worker(context, free):
    assert context.view.entry.worker_id == f"w{free}", context.view.entry


@given(
    "a cell with 12 cores free in pieces of 3 and one with 8 cores free on one worker"
)
def step_cells(context):
    context.headrooms = (
        CellHeadroom("pieces", "svc", 12000, (), 0, 40000, (3000,) * 4),
        CellHeadroom("one", "svc", 8000, (), 0, 40000, (8000,)),
    )


@when("a task of {cores:d} cores moves")
def step_move(context, cores):
    reservations = HeadroomReservations(context.headrooms, InterferenceModel())
    step = Step(1, TaskDemand(cores * 1000, 100))
    context.cell_id = reservations.reserve(step, "svc")


@then("it goes to the cell with {cell_id}")
def step_cell(context, cell_id):
    assert context.cell_id == cell_id, context.cell_id

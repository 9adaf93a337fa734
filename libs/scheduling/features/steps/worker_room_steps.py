from dataclasses import replace

from behave import given, then, when
from cell_loop import make_entry

from berylcleat.model import Step, TaskDemand, TaskKey
from berylcleat.scheduling import (
    CellHeadroom,
    FillerHeadroom,
    InterferenceModel,
    Run,
    RunPhase,
    WorkerRooms,
    WorkerView,
    count_slots,
    find_rooms,
)
from berylcleat.scheduling._moves import HeadroomReservations
from berylcleat.scheduling._spill import SpillPlanner

SERVICE = "svc"


def make_step(cores, need, **options):
    """Return a step of one task; ``need`` is "label b", "40 MB" or the like."""
    amounts = {"memory_mb": 100, "accelerators": 0}
    match need.split():
        case ["label", label]:
            options["required_label"] = label
        case [n, "MB"]:
            amounts["memory_mb"] = int(n)
        case [n, "accelerator"]:
            amounts["accelerators"] = int(n)
        case ["at", "most", n, *_]:
            options["max_per_worker"] = int(n)
        case _:
            assert need == "nothing else", need
    n_tasks = options.pop("n_tasks", 1)
    return Step(n_tasks, TaskDemand(int(cores * 1000), **amounts), **options)


def add_cell(context, cell_id, n, cores, rooms):
    free = (cores * 1000,) * n
    fillers = (FillerHeadroom((), sum(free)),)
    headroom = CellHeadroom(
        cell_id, SERVICE, sum(free), fillers, 0, sum(free), free, rooms=rooms
    )
    context.headrooms = (*getattr(context, "headrooms", ()), headroom)


@given(
    'a cell "{cell_id}" of {n:d} workers with {cores:d} cores, {memory:d} MB and no '
    "accelerator free"
)
def step_plain_cell(context, cell_id, n, cores, memory):
    rooms = WorkerRooms((("a", cell_id),), (0,) * n, (memory,) * n)
    add_cell(context, cell_id, n, cores, rooms)


@given(
    'a cell "{cell_id}" of {n:d} workers with {cores:d} cores, {memory:d} MB and '
    '{accelerators:d} accelerators of label "{label}"'
)
def step_labelled_cell(context, cell_id, n, cores, memory, accelerators, label):
    rooms = WorkerRooms(
        ((label, cell_id),), (0,) * n, (memory,) * n, (accelerators,) * n
    )
    add_cell(context, cell_id, n, cores, rooms)


@given('a cell "{cell_id}" whose load tells of processor time alone')
def step_old_cell(context, cell_id):
    add_cell(context, cell_id, 4, 8, None)


def choose(kind, cores, need, headrooms):
    interference = InterferenceModel()
    reservations = HeadroomReservations(headrooms, interference)
    planner = SpillPlanner("home")
    if kind == "stuck":
        return reservations.reserve(make_step(cores, need), SERVICE)
    if kind == "spilled":
        step = make_step(cores, need)
        cells = planner.reserve(step, SERVICE, 1, headrooms, interference, 0.0, 0.0)
        return cells[0] if cells else None
    if kind == "standing":
        step = make_step(cores, need, is_long_running=True)
        return planner.reserve_standing(step, SERVICE, reservations, 0.0, 0.0)
    if kind == "starving":
        return reservations.reserve_slot(make_step(cores, need), SERVICE)
    if kind == "gang":
        step = make_step(cores, need, is_gang=True, n_tasks=2)
        return reservations.reserve_gang(step, SERVICE)
    step = make_step(cores, need, fills=True, image="i")
    if kind == "filler":
        return reservations.reserve(step, SERVICE)
    assert kind == "crowded", kind
    return reservations.reserve_beside_any(step, SERVICE)


@when("the target of a {kind} task of {cores:d} cores that needs {need} is chosen")
def step_choose(context, kind, cores, need):
    context.target = choose(kind, cores, need, context.headrooms)


@then('the target is "{target}"')
def step_target(context, target):
    assert (context.target or "none") == target, context.target


@then('{n:d} tasks of {cores:d} cores that need {need} fit in "{cell_id}"')
def step_n_fit(context, n, cores, need, cell_id):
    headroom = next(h for h in context.headrooms if h.cell_id == cell_id)
    step = make_step(cores, need)
    n_slots = count_slots(step, headroom.free_by_worker, headroom.rooms)
    assert n_slots == n, n_slots
    assert headroom.whole_slots(step) == n * cores * 1000, headroom


def make_views(label_sets):
    entry = make_entry("w0", TaskDemand(8000, 64000))
    return [
        WorkerView(replace(entry, worker_id=f"w{n}", labels=frozenset(labels)))
        for n, labels in enumerate(label_sets)
    ]


@given('workers with the labels "{first}", "{second}" and "{third}"')
def step_labels(context, first, second, third):
    context.views = make_views(text.split() for text in (first, second, third))


@given(
    "a worker of {memory:d} MB on which a filler holds {filler:d} MB and another task "
    "{other:d} MB"
)
def step_filled_worker(context, memory, filler, other):
    context.views = make_views([["a"]])
    for number, (held, fills) in enumerate(((filler, True), (other, False))):
        step = Step(1, TaskDemand(1000, held), fills=fills)
        task = TaskKey("a" * 16, 0, number, 0)
        run = Run(task, 1, "w0", step, RunPhase.RUNNING, 0.0, 0.0)
        context.views[0].add_run(run)


@then("its rooms tell of {memory:d} MB")
def step_free_memory(context, memory):
    rooms = find_rooms(context.views)
    assert rooms.free_memory_mb == (memory,), rooms


@given("workers with {n:d} labels of {length:d} characters")
def step_long_labels(context, n, length):
    labels = [f"{number:0{length}d}" for number in range(n)]
    context.views = make_views([labels])


@then("their rooms hold {n_sets:d} sets of labels and {n:d} workers")
def step_rooms(context, n_sets, n):
    rooms = find_rooms(context.views)
    assert len(rooms.label_sets) == n_sets, rooms
    assert rooms.label_set_by_worker == (0, 1, 0), rooms
    assert rooms.free_memory_mb == (64000,) * n, rooms
    assert rooms.free_accelerators == (), rooms


@then("their rooms aren't told")
def step_no_rooms(context):
    assert find_rooms(context.views) is None

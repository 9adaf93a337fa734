import random
from collections import Counter
from types import SimpleNamespace

import msgspec
from behave import given, then, when

from berylcleat.host._cell_chooser import CellChooser
from berylcleat.host._home_choice import draw_cell, find_candidates
from berylcleat.host._operator_state import OperatorState
from berylcleat.host._records import CellSummary, LoadRow, encode
from berylcleat.model import QueuePolicy, Step, Submission, TaskDemand
from berylcleat.scheduling import FillerHeadroom, InterferenceModel, WorkerRooms


@given("22 cells with headroom for 30 to 60 tasks each")
def step_cells(context):
    generator = random.Random(7)
    context.headroom_by_cell = {
        f"r{n}": float(generator.randint(30, 60)) for n in range(22)
    }


def count_waiting(headroom_by_cell, chosen, n_tasks):
    """Return how many tasks exceed the headroom of the cells chosen for them."""
    n_assigned = Counter(chosen)
    return sum(
        max(0.0, n * n_tasks - headroom_by_cell[cell]) for cell, n in n_assigned.items()
    )


def draw(context, needed, key):
    return draw_cell(find_candidates(context.headroom_by_cell, needed), key)


@when("37 hosts accept 16 submissions of 30 tasks before the next loads")
def step_accept(context):
    headroom = context.headroom_by_cell
    most = [max(headroom, key=headroom.__getitem__)] * 16
    drawn = [draw(context, 30.0, f"{n:016x}") for n in range(16)]
    context.n_waiting_with_most = count_waiting(headroom, most, 30)
    context.n_waiting_drawn = count_waiting(headroom, drawn, 30)


@then("taking the most headroom leaves more than 300 of the 480 tasks waiting")
def step_most(context):
    assert context.n_waiting_with_most > 300, context.n_waiting_with_most


@then("drawing leaves at most a quarter of those")
def step_drawn(context):
    limit = context.n_waiting_with_most / 4
    assert context.n_waiting_drawn <= limit, context.n_waiting_drawn


@then("a step of 50 tasks is drawn only to cells that can hold it")
def step_fits(context):
    cells = {draw(context, 50.0, str(n)) for n in range(200)}
    assert len(cells) > 1, cells
    assert all(context.headroom_by_cell[cell] >= 50 for cell in cells), cells


@then(
    "a step of 80 tasks is drawn only to cells with at least half of the most headroom"
)
def step_half(context):
    limit = max(context.headroom_by_cell.values()) / 2
    cells = {draw(context, 80.0, str(n)) for n in range(200)}
    assert all(context.headroom_by_cell[cell] >= limit for cell in cells), cells


@then("no cell is drawn where there is no headroom")
def step_none(context):
    assert draw_cell(find_candidates({"r1": 0.0, "r2": -1.0}, 1.0), "a") is None


def add_cell(context, cell_id, cores, kind, memory):
    n = cores // 8
    free = (8000,) * n
    summary = CellSummary(
        "svc",
        "dc-1",
        8000 * n,
        8000 * n,
        0,
        (FillerHeadroom((), 8000 * n),),
        0,
        {},
        free_by_worker=free,
        rooms=WorkerRooms(((kind, cell_id),), (0,) * n, (memory,) * n),
    )
    load = msgspec.json.decode(encode(LoadRow(1, summary)), type=LoadRow)
    if not hasattr(context, "summaries"):
        context.summaries = {}
    context.summaries[cell_id] = load.summary


@given(
    'a cell "{cell_id}" with {cores:d} free cores on workers of kind "{kind}" with '
    "{memory:d} MB"
)
def step_cell_of_kind(context, cell_id, cores, kind, memory):
    add_cell(context, cell_id, cores, kind, memory)


@when("a host that {draws} chooses the home of a {kind} step that needs {need}")
def step_choose_home(context, draws, kind, need):
    cells = SimpleNamespace(summaries=dict)
    ownership = SimpleNamespace(
        summaries=lambda: context.summaries, controller_by_cell={}
    )
    chooser = CellChooser(
        "dc-1",
        cells,
        ownership,
        InterferenceModel(),
        OperatorState(),
        draws_home=draws == "draws homes",
    )
    memory_mb = int(need.split()[0]) if need.endswith("MB") else 100
    step = Step(
        1,
        TaskDemand(4000, memory_mb),
        required_label=need.removeprefix("label ") if "label" in need else "",
        image="i",
        fills=kind == "filler",
        target_latency_ms=100 if kind == "serving" else 0,
    )
    queue = QueuePolicy("q", "svc")
    homes = set()
    for number in range(8):
        submission = Submission(f"{number:016x}", queue, "s", (step,))
        homes.add(chooser.decide(submission).cell_id)
        chooser._recent_assignments.clear()
    context.homes = homes


@then('the home is "{cell_id}"')
def step_home(context, cell_id):
    if cell_id == "r1":
        assert "r1" in context.homes, context.homes
    else:
        assert context.homes == {cell_id}, context.homes

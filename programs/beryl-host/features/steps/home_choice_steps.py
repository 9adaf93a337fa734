import random
from collections import Counter
from types import SimpleNamespace

from behave import given, then, when

from berylcleat.host._cell_chooser import CellChooser
from berylcleat.host._home_choice import draw_cell, find_candidates
from berylcleat.host._operator_state import OperatorState
from berylcleat.host._records import CellSummary
from berylcleat.model import QueuePolicy, Step, Submission, TaskDemand
from berylcleat.scheduling import InterferenceModel


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


def make_summary(free_cores):
    free = free_cores * 1000
    return CellSummary(
        "svc", "dc", 256_000, free, 0, (), 0, {}, 0, (free // 2, free // 2)
    )


@given("22 cells with headroom, of which {n:d} have published no load for 5 s")
def step_silent(context, n):
    # The silent ones promise the most.
    context.silent = {f"r{number}" for number in range(n)}
    context.summaries = {
        f"r{number}": make_summary(64 if number < n else 32) for number in range(22)
    }


@when("a host that draws home cells accepts {n:d} submissions")
def step_drawing_host(context, n):
    accept_submissions(context, n, draws_home=True)


@when("a host that doesn't draw home cells accepts {n:d} submissions")
def step_other_host(context, n):
    accept_submissions(context, n, draws_home=False)


def accept_submissions(context, n, *, draws_home):
    cells = SimpleNamespace(
        summaries=lambda: dict(context.summaries),
        load_age_s=lambda cell_id, now: 5.0 if cell_id in context.silent else 1.0,
    )
    ownership = SimpleNamespace(controller_by_cell={}, summaries=dict)
    chooser = CellChooser(
        "dc", cells, ownership, InterferenceModel(), OperatorState(),
        draws_home=draws_home,
    )  # fmt: skip
    step = Step(4, TaskDemand(4000, 100), estimate_s=0.7)
    context.homes = Counter()
    for number in range(n):
        queue = QueuePolicy("q", "svc")
        submission = Submission(f"{number:016x}", queue, "s", (step,))
        context.homes[chooser.decide(submission).cell_id] += 1


@then("their home cells are those reporting")
def step_reporting(context):
    assert len(context.homes) > 4, context.homes
    assert not context.homes.keys() & context.silent, context.homes


@then("their home cells are any")
def step_any(context):
    assert context.homes.keys() & context.silent, context.homes

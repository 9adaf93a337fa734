import random
from collections import Counter

from behave import given, then, when

from berylcleat.host._home_choice import draw_cell, find_candidates


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

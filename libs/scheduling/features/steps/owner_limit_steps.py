"""Steps of owners whose leases end with the time for which they may act."""

from dataclasses import replace

from behave import given, then, when
from gang_steps import ScriptedCell
from runs_once_steps import STEP, TASK

# Milliseconds by which a bound of the worker's clock may lag behind it.
CLOCK_TOLERANCE_MS = 5


@given(
    "a cell with {n:d} workers of {cores:d} cores whose owner may act for {left} s more"
)
def step_cell(context, n, cores, left):
    context.scripted_cell = ScriptedCell(n, cores * 1000)
    context.scripted_cell.step()
    set_limit(context, left)


@when("its owner may act for {left} s more")
def step_limit(context, left):
    set_limit(context, left)
    context.scripted_cell.step(0.0)


def set_limit(context, left):
    scripted_cell = context.scripted_cell
    scripted_cell.cell.confirmation.leases_end_by = scripted_cell.now + float(left)


def lease_s(context):
    """Return for how long the lease lasts that the owner asks for now."""
    cell, now = context.scripted_cell.cell, context.scripted_cell.now
    view = cell.worker_by_id["w0"]
    return (cell.lease_until_ms(view, now) - view.clock.earliest_ms(now)) / 1000


@given("its worker drains")
def step_drains(context):
    cell, now = context.scripted_cell.cell, context.scripted_cell.now
    entry = replace(cell.worker_by_id["w0"].entry, is_draining=True)
    cell.list_worker(entry, now)


@then("it asks for a lease of {seconds:g} s")
def step_lease(context, seconds):
    assert abs(lease_s(context) - seconds) < CLOCK_TOLERANCE_MS / 1000


@then("it asks for a lease of at most {seconds:g} s")
def step_lease_at_most(context, seconds):
    assert lease_s(context) <= seconds, lease_s(context)


@when("a task of 1 core waits")
def step_waits(context):
    context.scripted_cell.submit(STEP)
    context.scripted_cell.step(0.0)


@then("it starts, with a lease of at most {seconds:g} s")
def step_starts(context, seconds):
    scripted_cell = context.scripted_cell
    (context.item,) = scripted_cell.starts
    order = context.item.order
    assert order.task == TASK
    clock_ms = (scripted_cell.now - scripted_cell.clock_began_at["w0"]) * 1000
    lease_ms = order.deadline_ms - clock_ms
    assert 1000 <= lease_ms <= seconds * 1000, lease_ms


@then("it doesn't start, with a lease of at most {seconds:g} s")
def step_does_not_start(context, seconds):
    assert not context.scripted_cell.starts


@then('"{reason}" is the reason')
def step_reason(context, reason):
    scripted_cell = context.scripted_cell
    assert scripted_cell.cell._explain_no_start(scripted_cell.now) == reason


@then('"{reason}" isn\'t a reason')
def step_no_reason(context, reason):
    scripted_cell = context.scripted_cell
    assert scripted_cell.cell._explain_no_start(scripted_cell.now) != reason


@then("it isn't started again, and its order has the same deadline")
def step_same_deadline(context):
    scripted_cell = context.scripted_cell
    assert scripted_cell.starts == [context.item], scripted_cell.starts
    run = scripted_cell.cell.run_by_task[TASK]
    assert run.number == context.item.order.run

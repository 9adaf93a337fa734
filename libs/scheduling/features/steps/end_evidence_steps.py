from dataclasses import replace

from behave import given, then, when
from runs_once_steps import STEP


class ForgettingCell:
    """Scripted cell whose silent workers are forgotten as the hold loops forget them.

    A hold that fails is followed by the next one at once.
    """

    def __init__(self, scripted_cell):
        self._scripted_cell = scripted_cell

    def __getattr__(self, name):
        return getattr(self._scripted_cell, name)

    def step(self):
        """Let the holds of silent workers fail, then take a step."""
        cell = self._scripted_cell.cell
        for worker_id in self._scripted_cell.silent & cell.worker_by_id.keys():
            cell.on_hold_failed(worker_id, self._scripted_cell.now)
            if cell.can_forget(worker_id):
                del cell.worker_by_id[worker_id]
        self._scripted_cell.step()


@when("that worker leaves the list, and its holds fail")
def step_leaves(context):
    context.scripted_cell.cell.unlist_worker("w0")
    context.scripted_cell.silent.add("w0")
    context.scripted_cell = ForgettingCell(context.scripted_cell)
    context.scripted_cell.step()


@then("the task is started on the worker that answers")
def step_started_on_answering(context):
    started = [item.worker_id for item in context.scripted_cell.starts]
    assert started == ["w1"], started


@then("the worker that left is still known")
def step_known(context):
    assert "w0" in context.scripted_cell.cell.worker_by_id


@then("the worker that left is forgotten")
def step_forgotten(context):
    assert "w0" not in context.scripted_cell.cell.worker_by_id


@given("a task that a worker has reported as running")
def step_reported_run(context):
    scripted_cell = context.scripted_cell
    scripted_cell.submit(STEP)
    scripted_cell.step()
    context.item = scripted_cell.starts.pop()
    scripted_cell.accept(context.item)
    scripted_cell.step()


@when("an entry of that worker names a later start")
def step_later_start(context):
    scripted_cell = context.scripted_cell
    cell = scripted_cell.cell
    known = cell.worker_by_id[context.item.worker_id].entry
    entry = replace(known, started_at_ms=known.started_at_ms + 1)
    # The list is applied anew at each change of any entry.
    cell.list_worker(entry, scripted_cell.now)
    scripted_cell.step()
    cell.list_worker(entry, scripted_cell.now)
    scripted_cell.step()


@when("an entry of that worker names a later start, and its holds fail")
def step_later_start_silent(context):
    context.scripted_cell.silent.add(context.item.worker_id)
    step_later_start(context)


@when("an entry of that worker names a later start, and another one answers there")
def step_later_start_other(context):
    scripted_cell = context.scripted_cell
    step_later_start_silent(context)
    for _ in range(3):
        worker_id = context.item.worker_id
        scripted_cell.cell.on_other_incarnation(worker_id, scripted_cell.now)
        scripted_cell.step()


@when("that worker restarts, and its entry and its answer tell of it")
def step_restart_told(context):
    scripted_cell = context.scripted_cell
    worker_id = context.item.worker_id
    scripted_cell.started_at_ms[worker_id] += 1
    scripted_cell.clock_began_at[worker_id] = scripted_cell.now
    scripted_cell.running[worker_id].clear()
    step_later_start(context)


@then("the task starts again")
def step_starts_again(context):
    started = [item.order.task for item in context.scripted_cell.starts]
    assert started == [context.item.order.task], started

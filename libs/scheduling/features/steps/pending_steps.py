from dataclasses import replace

from behave import then, when
from gang_steps import QUEUE
from runs_once_steps import STEP, TASK, advance, start_task

from berylcleat.ports import OrderAnswer, OrderResult, RunEnd
from berylcleat.scheduling import Progress

ANSWERS = {
    "isn't answered": OrderResult.NO_ANSWER,
    "isn't answered, but reported": OrderResult.NO_ANSWER,
    "isn't sent": OrderResult.NOT_SENT,
    "is refused for lack of room": OrderResult.NO_ROOM,
    "is accepted": OrderResult.ACCEPTED,
    "is accepted and the run fails": OrderResult.ACCEPTED,
}


@when("the start of a submission's only task {outcome}")
def step_start(context, outcome):
    scripted_cell = context.scripted_cell
    scripted_cell.step()
    item = context.item = start_task(scripted_cell)
    answer = OrderAnswer(ANSWERS[outcome])
    scripted_cell.cell.on_start_answer(
        item.worker_id, item.order, answer, scripted_cell.now
    )
    if outcome == "isn't answered, but reported":
        scripted_cell.running[item.worker_id][TASK] = item.order.run
        scripted_cell.step()
    elif outcome == "is accepted and the run fails":
        scripted_cell.running[item.worker_id][TASK] = item.order.run
        scripted_cell.end(item, RunEnd.FAILED)
        scripted_cell.step()


@when("the worker stays out of touch for {seconds:d} s")
def step_out_of_touch(context, seconds):
    scripted_cell = context.scripted_cell
    worker_id = context.item.worker_id
    scripted_cell.silent.add(worker_id)
    scripted_cell.cell.on_hold_failed(worker_id, scripted_cell.now)
    advance(scripted_cell, seconds)


@when("the list names the worker's restart")
def step_restart(context):
    scripted_cell = context.scripted_cell
    worker_id = context.item.worker_id
    entry = scripted_cell.cell.worker_by_id[worker_id].entry
    scripted_cell.started_at_ms[worker_id] += 1
    scripted_cell.silent.add(worker_id)
    listed = replace(entry, started_at_ms=entry.started_at_ms + 1)
    scripted_cell.cell.list_worker(listed, scripted_cell.now)


@when("a submission {progress} is inherited")
def step_inherit(context, progress):
    recorded = Progress()
    if progress == "of which a task is done":
        recorded.add_done(TASK)
    elif progress == "of which a task has failed":
        recorded.add_failure(TASK, 1)
    context.scripted_cell.submit(
        STEP, replace(STEP, after=(0,)), progress=recorded, inherited=True
    )


@then("{n:d} submissions are pending")
def step_pending(context, n):
    counts = context.scripted_cell.cell.submissions.n_pending_by_queue()
    assert counts.get(QUEUE.name, 0) == n, counts

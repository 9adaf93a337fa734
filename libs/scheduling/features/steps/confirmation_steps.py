from dataclasses import replace

from behave import given, then, when
from gang_steps import SUBMISSION_ID, ScriptedCell
from runs_once_steps import STEP, TASK, advance, start_task

from berylcleat.model import QueuePolicy, TaskKey
from berylcleat.ports import EndedTask, RunEnd
from berylcleat.scheduling import TaskMove

OTHER_ID = "b" * 16
OTHER_TASK = TaskKey(OTHER_ID, 0, 0, 0)


@given("a cell with {n:d} workers of {cores:d} cores whose owner was just confirmed")
def step_confirmed_cell(context, n, cores):
    scripted_cell = context.scripted_cell = ScriptedCell(n, cores * 1000)
    scripted_cell.step()
    scripted_cell.cell.confirmation.confirmed_at = scripted_cell.now


@given("a task that runs on a worker that {fault}")
def step_running(context, fault):
    scripted_cell = context.scripted_cell
    context.item = start_task(scripted_cell)
    scripted_cell.accept(context.item)
    scripted_cell.step()
    if fault == "falls silent":
        scripted_cell.silent.add(context.item.worker_id)
    else:
        restart(scripted_cell, context.item.worker_id)


def restart(scripted_cell, worker_id):
    scripted_cell.started_at_ms[worker_id] += 1000
    scripted_cell.clock_began_at[worker_id] = scripted_cell.now
    scripted_cell.running[worker_id].clear()
    scripted_cell.ended[worker_id].clear()
    scripted_cell.step()
    entry = scripted_cell.cell.worker_by_id[worker_id].entry
    listed = replace(entry, started_at_ms=scripted_cell.started_at_ms[worker_id])
    scripted_cell.cell.list_worker(listed, scripted_cell.now)
    scripted_cell.step()


@when("the worker reports a restart")
def step_restart(context):
    restart(context.scripted_cell, "w0")


@when("the worker begins to drain")
def step_drain(context):
    scripted_cell = context.scripted_cell
    entry = scripted_cell.cell.worker_by_id["w0"].entry
    draining = replace(entry, is_draining=True)
    scripted_cell.cell.list_worker(draining, scripted_cell.now)


@when("the worker is no longer listed")
def step_unlist(context):
    context.scripted_cell.cell.unlist_worker("w0")


@when("the worker reports a run of an unknown submission")
def step_unknown_run(context):
    context.scripted_cell.running["w0"][OTHER_TASK] = 1
    context.scripted_cell.step()


@when("the worker reports a run of 5 cores that isn't wanted")
def step_unwanted_run(context):
    scripted_cell = context.scripted_cell
    scripted_cell.submit(STEP, submission_id=OTHER_ID)
    scripted_cell.cell.cancel(OTHER_ID, scripted_cell.now)
    scripted_cell.running["w0"][OTHER_TASK] = 1
    scripted_cell.step()


@when("a new task is added")
def step_add(context):
    queue = QueuePolicy("q", "svc", max_attempts=2)
    context.scripted_cell.submit(STEP, queue=queue)
    context.scripted_cell.step()


@given("its owner is confirmed no more after {seconds:d} s")
def step_confirmed_until(context, seconds):
    context.scripted_cell.cell.confirmation.confirmed_at = float(seconds)


@when("an inherited task waits for {seconds:d} s")
def step_inherited_waits(context, seconds):
    context.scripted_cell.submit(STEP, inherited=True)
    advance(context.scripted_cell, seconds)


@when("the worker reports that its run has failed")
def step_failed(context):
    scripted_cell = context.scripted_cell
    (item,) = scripted_cell.starts
    scripted_cell.starts.clear()
    scripted_cell.accept(item)
    scripted_cell.step()
    scripted_cell.running["w0"].clear()
    end = EndedTask(1, TASK, item.order.run, RunEnd.FAILED, "")
    scripted_cell.ended["w0"].append(end)
    scripted_cell.step()


@when(
    "a new submission's task is moved here after {seconds:d} s under epoch {epoch:d}, "
    "this owner has 2"
)
def step_moved_late(context, seconds, epoch):
    scripted_cell = context.scripted_cell
    advance(scripted_cell, seconds)
    moves = {TASK: TaskMove("r1", 0, target_epoch=epoch)}
    scripted_cell.submit(STEP, is_home=False, moves=moves)
    scripted_cell.cell.update_moves(SUBMISSION_ID, moves, scripted_cell.now)
    scripted_cell.step()


@when("the owner is confirmed as of now")
def step_confirm(context):
    scripted_cell = context.scripted_cell
    scripted_cell.cell.confirmation.confirm(scripted_cell.now)
    # The task may have crashed its worker, so its next run is recorded first.
    advance(scripted_cell, 1)


@then("the task isn't started again, and a confirmation is awaited")
def step_awaited(context):
    scripted_cell = context.scripted_cell
    assert not scripted_cell.starts, scripted_cell.starts
    assert scripted_cell.cell.confirmation.is_awaited


@then("the task is started on any worker")
def step_started(context):
    started = [item.order.task for item in context.scripted_cell.starts]
    assert started == [TASK], started


@then("the start may not be sent any more")
def step_not_sent(context):
    scripted_cell = context.scripted_cell
    (item,) = scripted_cell.starts
    assert not scripted_cell.cell.may_send_start(item.order, scripted_cell.now)

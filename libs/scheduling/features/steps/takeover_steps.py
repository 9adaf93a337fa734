from behave import given, then, when
from gang_steps import SUBMISSION_ID, ScriptedCell

from berylcleat.model import Step, TaskDemand, TaskKey
from berylcleat.ports import EndedTask, RunEnd
from berylcleat.scheduling import TaskMove

TASK = TaskKey(SUBMISSION_ID, 0, 0, 0)
SILENT_WORKER = "w2"


@given(
    "a cell of {n:d} workers taken over with runs unknown for {seconds:d} s, "
    "one of them silent"
)
def step_cell(context, n, seconds):
    context.scripted_cell = ScriptedCell(n, 8000, settled_at=float(seconds))
    context.scripted_cell.silent.add(SILENT_WORKER)


@given(
    "a cell of {n:d} workers taken over with runs unknown for {seconds:d} s, "
    "none of them silent"
)
def step_cell_that_answers(context, n, seconds):
    context.scripted_cell = ScriptedCell(n, 8000, settled_at=float(seconds))


@given("a worker that lists 500 ends, and the end of a waiting task after these")
def step_many_ends(context):
    scripted_cell = context.scripted_cell
    other = TaskKey("b" * 16, 0, 0, 0)
    scripted_cell.ended["w0"] = [
        EndedTask(number, other._replace(index=number), 1, RunEnd.DONE, "")
        for number in range(1, 501)
    ]
    for submission_id, n_tasks in (("b" * 16, 501), (SUBMISSION_ID, 2)):
        step = Step(n_tasks, TaskDemand(1000, 100))
        scripted_cell.submit(step, submission_id=submission_id, inherited=True)
    scripted_cell.step()


@when("the 500 ends are acknowledged")
def step_last_end(context):
    scripted_cell = context.scripted_cell
    scripted_cell.ended["w0"] = [EndedTask(501, TASK, 1, RunEnd.DONE, "")]
    scripted_cell.step()


@then("the task isn't started")
def step_not_started(context):
    started = [item.order.task for item in context.scripted_cell.starts]
    assert TASK not in started, started


@then("the task counts as done and isn't started here")
def step_counted(context):
    tracked = context.scripted_cell.cell.submissions.by_id[SUBMISSION_ID]
    assert tracked.progress.is_done(TASK)
    step_not_started(context)


@given("a standing task that runs on {place}")
def step_standing_task(context, place):
    scripted_cell = context.scripted_cell
    context.worker = SILENT_WORKER if "silent" in place else "w0"
    scripted_cell.running[context.worker][TASK] = 1
    step = Step(1, TaskDemand(1000, 100), is_long_running=True)
    scripted_cell.submit(step, inherited=True)
    scripted_cell.step()
    assert not scripted_cell.starts, scripted_cell.starts


@when(
    "a standing task is moved here under the epochs {epochs}, of which this owner has 2"
)
def step_moved_here(context, epochs):
    """Move the task here under each epoch, and away in between."""
    scripted_cell = context.scripted_cell
    cell, now = scripted_cell.cell, scripted_cell.now
    step = Step(1, TaskDemand(1000, 100), is_long_running=True)
    for number, epoch in enumerate(epochs.replace("unknown", "0").split(" and ")):
        if number:
            cell.update_moves(SUBMISSION_ID, {TASK: TaskMove("r2", 0)}, now)
        moves = {TASK: TaskMove("r1", 0, target_epoch=int(epoch))}
        scripted_cell.submit(step, inherited=True, is_home=False, moves=moves)
        cell.update_moves(SUBMISSION_ID, moves, now)
    scripted_cell.step()


@when("its run is lost to a failure after {seconds:d} s")
def step_fail(context, seconds):
    scripted_cell = context.scripted_cell
    found_at = scripted_cell.now
    while scripted_cell.now < found_at + seconds:
        scripted_cell.step()
    run = scripted_cell.running[context.worker].pop(TASK)
    end = EndedTask(1, TASK, run, RunEnd.FAILED, "")
    scripted_cell.ended[context.worker].append(end)
    scripted_cell.step()


@then("it is started again at once")
def step_started_again(context):
    started = [item.order.task for item in context.scripted_cell.starts]
    assert started == [TASK], started


@then("it isn't started before {seconds:d} s")
def step_waits(context, seconds):
    scripted_cell = context.scripted_cell
    while scripted_cell.now < seconds - 0.3:
        scripted_cell.step()
    assert not scripted_cell.starts, scripted_cell.starts


@then("it is started after {seconds:d} s")
def step_starts(context, seconds):
    scripted_cell = context.scripted_cell
    while scripted_cell.now < seconds + 0.3:
        scripted_cell.step()
    assert [item.order.task for item in scripted_cell.starts] == [TASK]


@when("the previous owner tells after 5 s that {worker} leases last {seconds:d} s more")
def step_stop_confirmed(context, worker, seconds):
    scripted_cell = context.scripted_cell
    while scripted_cell.now < 5:
        scripted_cell.step()
    worker_id = "w1" if "another" in worker else SILENT_WORKER
    leases = {worker_id: float(seconds)}
    scripted_cell.cell.on_leases_told(leases, scripted_cell.now)


@when("the cell is abandoned after 5 s")
def step_abandon(context):
    while context.scripted_cell.now < 5:
        context.scripted_cell.step()


@then("it tells that the silent worker's leases last {seconds:d} s more")
def step_leases(context, seconds):
    scripted_cell = context.scripted_cell
    leases = scripted_cell.cell.lease_left_s_by_worker(scripted_cell.now)
    assert abs(leases[SILENT_WORKER] - seconds) < 0.3, leases

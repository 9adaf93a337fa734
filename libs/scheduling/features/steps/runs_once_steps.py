from dataclasses import replace

from behave import given, then, when
from gang_steps import SUBMISSION_ID, ScriptedCell

from berylcleat.model import QueuePolicy, Step, TaskDemand, TaskKey
from berylcleat.ports import EndedTask, OrderAnswer, OrderResult, RunEnd
from berylcleat.scheduling import CellHeadroom, MovedTaskEnd, TaskMove

TASK = TaskKey(SUBMISSION_ID, 0, 0, 0)
OTHER_TASK = TaskKey(SUBMISSION_ID, 0, 0, 1)
STEP = Step(1, TaskDemand(5000, 100))


def start_task(scripted_cell):
    """Let the scheduler start the task; return the order, which isn't answered."""
    scripted_cell.submit(STEP)
    scripted_cell.step()
    return scripted_cell.starts.pop()


def propose_move(scripted_cell):
    headroom = CellHeadroom("r2", "svc", 64000, (), 0)
    (proposal,) = scripted_cell.cell.propose_moves((headroom,), scripted_cell.now)
    return proposal


def advance(scripted_cell, seconds):
    end = scripted_cell.now + seconds - 0.1
    while scripted_cell.now < end:
        scripted_cell.step()


# Starts on a restarted worker


@given("a task that a worker has accepted right after its restart")
def step_accepted_by_next_incarnation(context):
    scripted_cell = context.scripted_cell
    context.item = start_task(scripted_cell)
    answer = OrderAnswer(OrderResult.ACCEPTED)
    scripted_cell.cell.on_start_answer(
        context.item.worker_id, context.item.order, answer, scripted_cell.now
    )
    scripted_cell.silent.add(context.item.worker_id)


@when("the list names the restart before the worker reports")
def step_listed(context):
    scripted_cell = context.scripted_cell
    worker_id = context.item.worker_id
    entry = scripted_cell.cell.worker_by_id[worker_id].entry
    listed = replace(entry, started_at_ms=entry.started_at_ms + 1)
    scripted_cell.started_at_ms[worker_id] = listed.started_at_ms
    scripted_cell.cell.list_worker(listed, scripted_cell.now)
    scripted_cell.step()


@when("the worker reports the run")
def step_run_reported(context):
    scripted_cell = context.scripted_cell
    worker_id = context.item.worker_id
    scripted_cell.running[worker_id][TASK] = context.item.order.run
    scripted_cell.silent.discard(worker_id)
    scripted_cell.step()


@when("the worker stays silent for {seconds:d} seconds")
def step_silent(context, seconds):
    advance(context.scripted_cell, seconds)


@then("the task is started on the other worker")
def step_started_on_other(context):
    started = [item.worker_id for item in context.scripted_cell.starts]
    assert len(started) == 1, started
    assert started[0] != context.item.worker_id


@when("a hold of the worker fails")
def step_hold_fails(context):
    scripted_cell = context.scripted_cell
    scripted_cell.cell.on_hold_failed("w0", scripted_cell.now)
    context.scripted_cell.silent.add("w0")


@when("a task is added")
def step_add_task(context):
    context.scripted_cell.submit(STEP)
    context.scripted_cell.step()


@when("the worker reports again")
def step_reports_again(context):
    context.scripted_cell.silent.clear()
    context.scripted_cell.step()


# Runs reported early


@when("the submission of another cell is added with the task moved here")
def step_add_moved(context):
    scripted_cell = context.scripted_cell
    moves = {TASK: TaskMove("r1", 0)}
    scripted_cell.submit(STEP, inherited=True, is_home=False, moves=moves)
    scripted_cell.step()


# Moves


@given("a task whose worker fell silent and that is being moved to another cell")
def step_pending_move(context):
    scripted_cell = context.scripted_cell = ScriptedCell(1, 8000)
    scripted_cell.step()
    item = start_task(scripted_cell)
    scripted_cell.accept(item)
    scripted_cell.silent.add(item.worker_id)
    context.item = item
    advance(scripted_cell, 7)
    context.proposal = propose_move(scripted_cell)


@when("the worker reports that the task is done")
def step_late_end(context):
    scripted_cell = context.scripted_cell
    scripted_cell.silent.clear()
    scripted_cell.end(context.item, RunEnd.DONE)
    scripted_cell.step()


@when("the worker reports that the task runs")
def step_late_run(context):
    scripted_cell = context.scripted_cell
    scripted_cell.silent.clear()
    scripted_cell.step()


@when("the move fails")
def step_move_fails(context):
    scripted_cell = context.scripted_cell
    scripted_cell.cell.on_move_settled(context.proposal, scripted_cell.now)
    scripted_cell.step()


@when("the move is applied")
def step_move_applied(context):
    scripted_cell = context.scripted_cell
    scripted_cell.cell.update_moves(
        SUBMISSION_ID, context.proposal.move_by_task, scripted_cell.now
    )
    scripted_cell.cell.on_move_settled(context.proposal, scripted_cell.now)
    scripted_cell.step()


@when("the task is moved back here")
def step_moved_back(context):
    scripted_cell = context.scripted_cell
    scripted_cell.cell.update_moves(
        SUBMISSION_ID, {TASK: TaskMove("r1", 5)}, scripted_cell.now
    )
    for item in scripted_cell.cell.plan(scripted_cell.now, 0.0):
        scripted_cell.starts.append(item)


@when("the run has ended and the move fails")
def step_stopped_and_failed(context):
    scripted_cell = context.scripted_cell
    assert not scripted_cell.starts, scripted_cell.starts
    scripted_cell.end(context.item, RunEnd.STOPPED)
    scripted_cell.step()
    step_move_fails(context)


def is_done(context):
    tracked = context.scripted_cell.cell.submissions.by_id[SUBMISSION_ID]
    return tracked.progress.is_done(TASK)


@then("the task is done and isn't started here")
def step_done(context):
    assert is_done(context)
    assert not context.scripted_cell.starts, context.scripted_cell.starts


@then("the task isn't done here")
def step_not_done(context):
    assert not is_done(context)


@when("the end is reported to the other cell")
def step_report_to_other(context):
    """Report until the other cell has recorded the end, as the owner does."""
    cell = context.scripted_cell.cell
    other = context.other = ScriptedCell(1, 8000)
    other.step()
    move = context.proposal.move_by_task[TASK]
    moves = {TASK: TaskMove("r1", move.run_floor)}
    other.submit(STEP, is_home=False, moves=moves)
    (ends,) = cell.stray_ends(context.scripted_cell.now).values()
    report = [MovedTaskEnd(TASK, has_failed=False)]
    context.confirmations = []
    for _ in range(2):
        is_recorded = other.cell.on_moved_task_ends(SUBMISSION_ID, report, other.now)
        context.confirmations.append(is_recorded)
        other.cell.on_recorded(other.cell.take_batch())
    cell.on_stray_ends_settled(ends)


@then("the other cell has recorded it before it counts as reported")
def step_recorded_first(context):
    assert context.confirmations == [False, True], context.confirmations


@then("the other cell doesn't start the task")
def step_other_idle(context):
    context.other.step()
    assert not context.other.starts, context.other.starts


@then("no cell is looked for")
def step_no_stray(context):
    scripted_cell = context.scripted_cell
    assert not scripted_cell.cell.stray_ends(scripted_cell.now)


@then("the cell that counts the end is looked for")
def step_stray(context):
    scripted_cell = context.scripted_cell
    (ends,) = scripted_cell.cell.stray_ends(scripted_cell.now).values()
    assert [end.task for end in ends] == [TASK], ends


@then("the task is started here")
def step_started_here(context):
    started = [item.order.task for item in context.scripted_cell.starts]
    assert started == [TASK], started


@given("a cell taken over under epoch {epoch:d} with a task that is being moved")
def step_moved_after_takeover(context, epoch):
    scripted_cell = context.scripted_cell = ScriptedCell(1, 2000, epoch=epoch)
    scripted_cell.step()
    scripted_cell.submit(STEP)
    advance(scripted_cell, 2)
    context.proposal = propose_move(scripted_cell)


@then("the other cell numbers its runs above {number:d}")
def step_numbers(context, number):
    other = ScriptedCell(1, 8000)
    other.step()
    other.submit(STEP)
    move = context.proposal.move_by_task[TASK]
    other.cell.update_moves(SUBMISSION_ID, {TASK: TaskMove("r1", move.run_floor)}, 0.0)
    other.step()
    (item,) = other.starts
    assert item.order.run > number, item.order.run


# Workers that left


@given("a task that has ended on a worker that is no longer listed")
def step_ended_unlisted(context):
    scripted_cell = context.scripted_cell
    item = start_task(scripted_cell)
    scripted_cell.accept(item)
    scripted_cell.step()
    scripted_cell.end(item, RunEnd.DONE)
    scripted_cell.step()
    scripted_cell.cell.unlist_worker(item.worker_id)
    context.item = item


@when("the end is recorded")
def step_end_recorded(context):
    cell = context.scripted_cell.cell
    cell.on_recorded(cell.take_batch())


@then("the worker must stay known")
def step_stay_known(context):
    assert not context.scripted_cell.cell.can_forget(context.item.worker_id)


@then("the worker may be forgotten")
def step_may_forget(context):
    assert context.scripted_cell.cell.can_forget(context.item.worker_id)


# Drained workers


@given("a task that a worker has accepted right before it drains and leaves")
def step_accepted_before_drain(context):
    step_accepted_by_next_incarnation(context)
    scripted_cell = context.scripted_cell
    worker_id = context.item.worker_id
    entry = scripted_cell.cell.worker_by_id[worker_id].entry
    scripted_cell.cell.list_worker(replace(entry, is_draining=True), scripted_cell.now)
    scripted_cell.cell.unlist_worker(worker_id)


@when("its connections are refused for {seconds:d} seconds")
def step_refused(context, seconds):
    scripted_cell = context.scripted_cell
    end = scripted_cell.now + seconds - 0.1
    while scripted_cell.now < end:
        scripted_cell.cell.on_hold_failed(context.item.worker_id, scripted_cell.now)
        scripted_cell.step()


# Last attempts of tasks that have moved on


@given("a task moved here whose last attempt is silent until its lease expires")
def step_silent_last_attempt(context):
    scripted_cell = context.scripted_cell
    scripted_cell.submit(
        replace(STEP, n_tasks=2),
        queue=QueuePolicy("q", "svc", max_attempts=1),
        is_home=False,
        moves={TASK: TaskMove("r1", 0)},
    )
    scripted_cell.step()
    (context.item,) = scripted_cell.starts
    scripted_cell.accept(context.item)
    scripted_cell.step()
    scripted_cell.silent.add(context.item.worker_id)
    advance(scripted_cell, 8)


@when("the task moves on and the failure of that attempt comes in")
def step_late_failure(context):
    scripted_cell = context.scripted_cell
    moves = {TASK: TaskMove("r2", context.item.order.run)}
    scripted_cell.cell.update_moves(SUBMISSION_ID, moves, scripted_cell.now)
    scripted_cell.silent.clear()
    scripted_cell.end(context.item, RunEnd.FAILED)
    scripted_cell.step()
    scripted_cell.step()


@then("its failure is reported to the home cell")
def step_failure_reported(context):
    ends = context.scripted_cell.cell.unconfirmed_moved_task_ends()
    assert ends == {SUBMISSION_ID: [MovedTaskEnd(TASK, has_failed=True)]}, ends


@when("the home cell has confirmed it and another task moves here")
def step_confirmed(context):
    scripted_cell = context.scripted_cell
    cell = scripted_cell.cell
    for submission_id, ends in cell.unconfirmed_moved_task_ends().items():
        cell.on_moved_task_ends_confirmed(submission_id, ends, scripted_cell.now)
    moves = {OTHER_TASK: TaskMove("r1", 0)}
    cell.update_moves(SUBMISSION_ID, moves, scripted_cell.now)


@then("the failure of the other task is reported to the home cell")
def step_other_failure_reported(context):
    ends = context.scripted_cell.cell.unconfirmed_moved_task_ends()
    assert ends == {SUBMISSION_ID: [MovedTaskEnd(OTHER_TASK, has_failed=True)]}, ends


# Rows of reports that can't be read


@given("a running task")
def step_running_task(context):
    scripted_cell = context.scripted_cell = ScriptedCell(2, 8000)
    scripted_cell.step()
    scripted_cell.submit(Step(1, TaskDemand(1000, 100)))
    scripted_cell.step()
    context.started = scripted_cell.starts.pop()
    scripted_cell.accept(context.started)
    for _ in range(3):
        scripted_cell.step()


@when("its worker lists {what} that can't be read instead of it, and ends after it")
def step_unreadable_row(context, what):
    scripted_cell = context.scripted_cell
    worker_id = context.started.worker_id
    scripted_cell.running[worker_id].clear()
    stranger = TaskKey("b" * 16, 0, 0, 0)
    is_end = what == "an end"
    first = 2 if is_end else 1
    scripted_cell.ended[worker_id] = [
        EndedTask(first + n, stranger._replace(index=n), 1, RunEnd.STOPPED, "")
        for n in range(2)
    ]
    scripted_cell.unreadable_ends[worker_id] = (1,) if is_end else ()
    if not is_end:
        scripted_cell.unreadable_runs.add(worker_id)
    scripted_cell.submit(Step(2, TaskDemand(9000, 100)), submission_id="b" * 16)


@given('a cell taken over while "{worker_id}" runs a task')
def step_taken_over_running(context, worker_id):
    """Let the leases of the earlier owner end after 7 s."""
    context.scripted_cell = ScriptedCell(2, 8000, settled_at=8.0)
    context.scripted_cell.submit(STEP, inherited=True)


@when('"{worker_id}" lists a run that can\'t be read instead of the task')
def step_lists_unreadable(context, worker_id):
    context.scripted_cell.unreadable_runs.add(worker_id)


@then("the task isn't started again within {seconds:d} s")
def step_not_started_again(context, seconds):
    for _ in range(seconds * 5):
        context.scripted_cell.step()
    assert not context.scripted_cell.starts, context.scripted_cell.starts


@then("{n:d} ends of the worker may be acknowledged")
def step_acknowledgeable(context, n):
    view = context.scripted_cell.cell.worker_by_id[context.started.worker_id]
    assert view.recordable_number() == n, view.recordable_number()

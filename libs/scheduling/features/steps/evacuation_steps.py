from dataclasses import replace

from behave import given, then, when
from gang_steps import SUBMISSION_ID

from berylcleat.model import Step, TaskDemand, TaskKey
from berylcleat.ports import OrderAnswer, OrderResult
from berylcleat.scheduling import (
    CellEvacuation,
    CellHeadroom,
    CrashEvidence,
    EvacuationRules,
    FillerHeadroom,
    RunPhase,
    TaskMove,
    decode_progress,
)

OTHER_ID = "b" * 16
SERVING_ID = "c" * 16
EVACUATED = frozenset({"dc"})
ORDINARY = Step(1, TaskDemand(1000, 100))
GANG = Step(2, TaskDemand(4000, 100), is_gang=True)
FILLER = Step(1, TaskDemand(1000, 100), fills=True, image="batch")
# Its pace beside the serving tasks would be too low for an ordinary start.
LARGE_FILLER = Step(1, TaskDemand(5500, 100), fills=True, image="batch")
SERVING = Step(
    2,
    TaskDemand(4500, 100),
    is_long_running=True,
    target_latency_ms=100,
    image="web",
    max_per_worker=1,
)
KINDS = {
    "an ordinary task": ORDINARY,
    "a gang": GANG,
    "a filler": FILLER,
    "a forced filler": LARGE_FILLER,
}


def read(context, state, age_s=0.0):
    now = context.scripted_cell.now
    evacuated = EVACUATED if state == "evacuated" else frozenset({"elsewhere"})
    context.scripted_cell.cell.evacuation.update(evacuated, now - age_s, now)


def starts_of(context, submission_id):
    starts = context.scripted_cell.starts
    return [i for i in starts if i.order.task.submission_id == submission_id]


def add_serving_tasks(context):
    """Run a serving task, which fillers disturb, on both workers."""
    scripted_cell = context.scripted_cell
    scripted_cell.cell.interference.restore({("batch", "web"): 4.0})
    scripted_cell.submit(SERVING, submission_id=SERVING_ID)
    for index, running in enumerate(scripted_cell.running.values()):
        running[TaskKey(SERVING_ID, 0, 0, index)] = 1
    scripted_cell.step()


def propose_moves(context):
    scripted_cell = context.scripted_cell
    fillers = (FillerHeadroom(("web",), 16000),)
    headroom = CellHeadroom("r2", "svc", 32000, fillers, 0, 32000)
    proposals = scripted_cell.cell.propose_moves((headroom,), scripted_cell.now)
    return [p for p in proposals if p.submission_id == SUBMISSION_ID]


@given(
    "evacuations with a deadline of {deadline:d} s and an outage allowance of "
    "{allowance:d} s"
)
def step_rules(context, deadline, allowance):
    rules = EvacuationRules(deadline, allowance)
    context.scripted_cell.cell.evacuation = CellEvacuation("dc", rules)


@when("the requests are read: {state}")
def step_read(context, state):
    read(context, state)


@when("a read sent {age:f} s ago arrives: {state}")
def step_old_read(context, age, state):
    read(context, state, age)


@when("{seconds:d} seconds pass with reads: {state}")
def step_pass_with_reads(context, seconds, state):
    for _ in range(seconds * 5):
        context.scripted_cell.step()
        read(context, state)


@when("{seconds:f} seconds pass without reads")
def step_pass(context, seconds):
    for _ in range(round(seconds * 5)):
        context.scripted_cell.step()


@when("a planning round is run")
def step_plan(context):
    scripted_cell = context.scripted_cell
    for item in scripted_cell.cell.plan(scripted_cell.now, 0.0):
        if hasattr(item.order, "spec"):
            scripted_cell.starts.append(item)
        else:
            scripted_cell.stops.append(item)


@when("the owner is suspended for {seconds:d} s")
def step_suspend(context, seconds):
    context.scripted_cell.now += seconds
    for view in context.scripted_cell.cell.worker_by_id.values():
        # The workers answer as soon as the owner asks again.
        view.clock.observe(int(context.scripted_cell.now * 1000), view.alive_at)
        view.clock.answered_at = context.scripted_cell.now


@when("a client submits {kind}")
def step_submit(context, kind):
    if kind == "a forced filler":
        add_serving_tasks(context)
    submission_id = OTHER_ID if kind.startswith("another") else SUBMISSION_ID
    step = KINDS[kind.replace("another", "an")]
    context.scripted_cell.submit(step, submission_id=submission_id)


@when("serving tasks run and {kind} fits nowhere")
def step_submit_beside(context, kind):
    add_serving_tasks(context)
    step = KINDS[kind]
    if not step.fills:
        step = replace(step, demand=SERVING.demand)
    context.scripted_cell.submit(step)


@when("a task is moved here by another cell")
def step_moved_here(context):
    move = TaskMove(context.scripted_cell.cell.cell_id, 3)
    task = TaskKey(SUBMISSION_ID, 0, 0, 0)
    context.scripted_cell.submit(ORDINARY, is_home=False, moves={task: move})


@when("a suspect of a crash waits")
def step_suspect(context):
    context.scripted_cell.submit(ORDINARY)
    tracked = context.scripted_cell.cell.submissions.by_id[SUBMISSION_ID]
    task = TaskKey(SUBMISSION_ID, 0, 0, 0)
    tracked.add_crash(task, 1, CrashEvidence.POSSIBLE)
    tracked.raise_run_floor(task, 1)


@then("{n:d} crashes of it are recorded")
def step_crashes(context, n):
    (write,) = context.scripted_cell.cell.take_batch().writes
    progress = decode_progress(write.submission_id, write.value)
    found = progress.crashed_runs_by_task[TaskKey(SUBMISSION_ID, 0, 0, 0)]
    assert len(found) == n, found


@when("the submission is cancelled")
def step_cancel(context):
    context.scripted_cell.cell.cancel(SUBMISSION_ID, context.scripted_cell.now)


@when("the worker restarts and reports")
def step_restart(context):
    scripted_cell = context.scripted_cell
    (item,) = scripted_cell.starts
    scripted_cell.started_at_ms[item.worker_id] += 1000
    scripted_cell.step()


@when("the hold on the worker fails")
def step_hold_fails(context):
    scripted_cell = context.scripted_cell
    (item,) = scripted_cell.starts
    scripted_cell.cell.on_hold_failed(item.worker_id, scripted_cell.now)


@when("another worker has seen a higher epoch")
def step_fenced(context):
    context.scripted_cell.cell.on_fenced("w1")


@when("the worker accepts the start")
def step_accept(context):
    scripted_cell = context.scripted_cell
    (item,) = scripted_cell.starts
    scripted_cell.running[item.worker_id][item.order.task] = item.order.run
    answer = OrderAnswer(OrderResult.ACCEPTED)
    scripted_cell.cell.on_start_answer(
        item.worker_id, item.order, answer, scripted_cell.now
    )


@then("nothing has started")
def step_nothing_started(context):
    started = starts_of(context, SUBMISSION_ID)
    assert not started, started


@then("it has started")
def step_started(context):
    assert starts_of(context, SUBMISSION_ID)


@then("it was forced: {is_forced}")
def step_forced(context, is_forced):
    run = context.scripted_cell.cell.run_by_task[TaskKey(SUBMISSION_ID, 0, 0, 0)]
    assert run.is_forced == (is_forced == "yes")


@then("only the first has started")
def step_only_first(context):
    assert starts_of(context, SUBMISSION_ID)
    assert not starts_of(context, OTHER_ID)


@then("it has started again under a higher run number")
def step_started_again(context):
    first, second = starts_of(context, SUBMISSION_ID)
    assert second.order.run > first.order.run


@then('the wait is explained by "{reason}"')
def step_explained(context, reason):
    scripted_cell = context.scripted_cell
    ready = scripted_cell.cell.submissions.ready_steps(scripted_cell.now)
    found = scripted_cell.cell.explain_waiting(ready[0], scripted_cell.now)
    assert found == {reason: 2}, found


@then("the capacity share is {share:f}")
def step_capacity_share(context, share):
    scripted_cell = context.scripted_cell
    found = scripted_cell.cell.evacuation.capacity_share(scripted_cell.now)
    assert abs(found - share) < 0.005, found


def may_send(context, item):
    scripted_cell = context.scripted_cell
    return scripted_cell.cell.may_send_start(item.order, scripted_cell.now)


@then("the start may be sent")
def step_may_send(context):
    (item,) = context.scripted_cell.starts
    assert may_send(context, item)


@then("the start may not be sent")
def step_may_not_send(context):
    (item,) = context.scripted_cell.starts
    assert not may_send(context, item)


@then("no start may be sent")
def step_none_may_be_sent(context):
    assert len(context.scripted_cell.starts) == 2
    assert not any(may_send(context, i) for i in context.scripted_cell.starts)


@then("no run is left")
def step_no_run(context):
    assert context.scripted_cell.cell.n_runs() == 0


@then("{n:d} run is left and none is stopped")
def step_run_left(context, n):
    assert context.scripted_cell.cell.n_runs() == n
    assert not context.scripted_cell.stops


@then("its run is unconfirmed")
def step_unconfirmed(context):
    (run,) = context.scripted_cell.cell.run_by_task.values()
    assert run.phase is RunPhase.UNCONFIRMED, run.phase


@then("no move is proposed")
def step_no_move(context):
    assert not propose_moves(context)


@then("a move of {n:d} tasks to the other cell is proposed at once")
def step_moves(context, n):
    moves = [move for p in propose_moves(context) for move in p.move_by_task.values()]
    assert len(moves) == n, moves
    assert {move.cell_id for move in moves} <= {"r2"}

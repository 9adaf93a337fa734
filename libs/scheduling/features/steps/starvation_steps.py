from behave import given, then, when
from filler_steps import (
    FILLER,
    SERVING,
    SingleWorkerCell,
    add_submission,
    make_step,
    make_view,
)
from spill_steps import ESTIMATE_S, INTERACTIVE, LoadLoop, propose, remove_workers

from berylcleat.model import (
    AdvicePolicy,
    QueuePolicy,
    Step,
    Submission,
    TaskDemand,
    TaskKey,
)
from berylcleat.ports import OrderAnswer, OrderResult, Ticket, WorkerReport
from berylcleat.scheduling import (
    CellHeadroom,
    FillerHeadroom,
    Progress,
    TaskMove,
    forcible_workers,
)

FILLER_ID = 2
WAITING_ID = f"{FILLER_ID:016x}"
# Seconds for which nothing else starts on a worker after a suspect of a crash.
TRIAL_S = 0.3
ADVISED = QueuePolicy("q", "svc", advice=AdvicePolicy(0.1, 0.01, 60.0))


@given(
    "a cell {switch} expected finish with {workers}, in which a {kind} of 4 cores is "
    "stuck for {stuck_s:f} s"
)
def step_short_stuck(context, switch, workers, kind, stuck_s):
    context.loop = loop = LoadLoop(1, (1,), expected_finish=switch == "with")
    loop.moves_tasks = False
    demand = TaskDemand(4000, 100)
    standing = Step(2, demand, estimate_s=ESTIMATE_S, is_long_running=True)
    short = Step(
        1, demand, estimate_s=ESTIMATE_S, fills="filler" in kind, is_gang="gang" in kind
    )
    for number, step in ((1, standing), (2, short)):
        submission = Submission(f"{number:016x}", INTERACTIVE, "s", (step,))
        loop.accept(0, submission)
        if number == 1:
            loop.tick()
            remove_workers(loop.cells[0], workers)
    for _ in range(round((stuck_s + 0.2) / loop.tick_s)):
        loop.tick()


@when(
    "it proposes moves to a cell of {cores:d} cores, all reserved, where {waiting:d} "
    "cores are waited for"
)
def step_propose_to_backlog(context, cores, waiting):
    load = CellHeadroom(
        "t0",
        "svc",
        -1000 * waiting,
        (FillerHeadroom((), 0),),
        1000 * waiting,
        1000 * cores,
        free_by_worker=(0,) * 10,
        waiting=1000 * waiting,
    )
    context.moves = propose(context, 0, (load,), context.loop.now)


@when(
    "its tail stays at {ratio:f} of its target for {seconds:d} seconds while {n:d} "
    "fillers wait, beside a cell with {left:d} cores left and {waiting:d} waited for"
)
def step_recovers_beside(context, ratio, seconds, n, left, waiting):
    worker = context.worker
    worker.reading = ratio * SERVING.target_latency_ms
    while worker.now < 3.0:
        worker.step()
    step = Step(n, FILLER.demand, fills=True, saves_progress=True, image="press")
    add_submission(context, 2, step)
    context.submitted_at = worker.now
    rooms = (FillerHeadroom(("web",), 1000 * left),)
    load = CellHeadroom(
        "r2", "svc", 24000, rooms, 1000 * waiting, 32000, free_by_worker=(24000,)
    )
    context.proposed_at = None
    while worker.now < seconds:
        worker.step()
        if worker.cell.propose_moves((load,), worker.now):
            context.proposed_at = worker.now
            return


@then("a move there was proposed within {seconds:d} seconds of waiting")
def step_proposed_in_time(context, seconds):
    assert context.proposed_at is not None
    assert context.proposed_at - context.submitted_at < seconds, context.proposed_at


@when(
    "a filler is starving beside a cell of {cores:d} cores where {waiting:d} cores are "
    "waited for"
)
def step_starves_beside_backlog(context, cores, waiting):
    worker = context.worker
    load = CellHeadroom(
        "r2",
        "svc",
        1000 * (cores - waiting),
        (),
        0,
        1000 * cores,
        free_by_worker=(1000 * cores,),
        waiting=1000 * waiting,
    )
    worker.cell.propose_moves((load,), worker.now)
    add_submission(context, 2, make_step(FILLER, "press"))
    context.submitted_at = worker.now


@when("a filler arrives that had no run for {idle_s:f} s in another cell")
def step_arrives_starving(context, idle_s):
    add_moved(context, make_step(FILLER, "press"), idle_s)


def add_moved(context, step, idle_s):
    worker = context.worker
    submission = Submission(WAITING_ID, QueuePolicy("q", "svc"), "s", (step,))
    move = TaskMove("r1", 0, idle_ms=int(idle_s * 1000))
    worker.cell.add_submission(
        submission,
        Progress(),
        worker.now,
        worker.now,
        inherited=False,
        is_home=False,
        move_by_task={TaskKey(WAITING_ID, 0, 0, 0): move},
    )
    context.submitted_at = worker.now


@when("a filler waits, and another submission's begins to wait {later_s:f} s after it")
def step_starves_later(context, later_s):
    worker = context.worker
    add_submission(context, 2, make_step(FILLER, "press"))
    context.submitted_at = worker.now
    run_until(context, later_s)
    add_submission(context, 3, make_step(FILLER, "press"))
    context.submitted_at = worker.now


class TwoWorkerCell(SingleWorkerCell):
    """Cell scheduler with a second worker that starts nothing for now."""

    def __init__(self, cell, now, reading):
        super().__init__(cell)
        self.now = now
        self.reading = reading
        cell.list_worker(make_view("w2").entry, now)
        cell.on_workers_recorded(frozenset({"w", "w2"}))
        cell.worker_by_id["w2"].trial_until = float("inf")

    def report(self):
        super().report()
        report = WorkerReport(int(self.now * 1000) + 1, 1, (), ())
        self.cell.on_report("w2", report, self.now, self.now)


@given("a second worker on which a suspect of a crash has just started")
def step_second_worker(context):
    first = context.worker
    context.worker = TwoWorkerCell(first.cell, first.now, first.reading)
    context.worker.running = first.running


@when("another submission's filler begins to wait {later_s:f} s after it")
def step_waits_later(context, later_s):
    worker = context.worker
    context.submitted_at = worker.now
    assert FILLER_ID not in run_until(context, later_s)
    add_submission(context, 3, make_step(FILLER, "press"))
    context.submitted_at = worker.now


@when(
    "a filler waits beside a cell with room, and a suspect of a crash starts here "
    "{later_s:f} s later"
)
def step_suspect_starts(context, later_s):
    worker = context.worker
    add_submission(context, FILLER_ID, make_step(FILLER, "press"))
    context.submitted_at = worker.now
    run_until(context, later_s)
    view = worker.cell.worker_by_id["w"]
    view.trial_until = worker.now + TRIAL_S
    rooms = (FillerHeadroom(("web",), 16000),)
    load = CellHeadroom("r2", "svc", 24000, rooms, 0, 32000, free_by_worker=(24000,))
    context.moves = []
    while worker.now < view.trial_until - 0.05:
        worker.step()
        context.moves += worker.cell.propose_moves((load,), worker.now)


@then("no move was proposed for it")
def step_no_move(context):
    assert not context.moves, context.moves


@when(
    "its worker is avoided, and a task arrives that had no run for {idle_s:f} s in "
    "another cell"
)
def step_arrives_at_avoided(context, idle_s):
    context.worker.cell.worker_by_id["w"].avoid_until = context.worker.now + 4.0
    add_moved(context, Step(1, TaskDemand(4000, 1000)), idle_s)


@when("the worker rejects each start of an ordinary task for {seconds:d} seconds")
def step_rejects_starts(context, seconds):
    worker = context.worker
    add_submission(context, 2, Step(1, TaskDemand(4000, 1000)))
    context.submitted_at = worker.now
    sent = []
    n_rejected = 0
    while worker.now < context.submitted_at + seconds:
        worker.now += 0.1
        worker.report()
        worker.record()
        sent += [(worker.now, item.order) for item in worker.cell.plan(worker.now, 0.0)]
        # An answer takes longer than a planning round.
        while sent and worker.now - sent[0][0] > 0.15:
            answer = OrderAnswer(OrderResult.NO_ROOM)
            worker.cell.on_start_answer("w", sent.pop(0)[1], answer, worker.now)
            n_rejected += 1
    assert n_rejected > 2, n_rejected


@then("its submission has had no run for over {seconds:f} seconds")
def step_no_run(context, seconds):
    worker = context.worker
    tracked = worker.cell.submissions.by_id[WAITING_ID]
    assert tracked.idle_since is not None
    assert worker.now - tracked.idle_since > seconds, worker.now - tracked.idle_since


@given(
    "a cell whose worker runs short tasks that end, with {memory:d} MB that none uses"
)
def step_ending_runs(context, memory):
    context.loop = loop = LoadLoop(1, (1,), expected_finish=True)
    loop.moves_tasks = False
    loop.tick()
    (view,) = loop.cells[0].worker_by_id.values()
    capacity = view.entry.capacity
    lasting = TaskDemand(2000, capacity.memory_mb - memory - 100)
    short = TaskDemand(capacity.cpu_millis - 2000, 100)
    for number, demand in ((1, lasting), (3, short)):
        step = Step(1, demand, estimate_s=ESTIMATE_S, is_long_running=number == 1)
        submission = Submission(f"{number:016x}", INTERACTIVE, "s", (step,))
        loop.accept(0, submission)
        loop.tick()
    context.began_at = max(run.started_at for run in view.run_by_task.values())


@when("a task of {cores:d} cores and {memory:d} MB is stuck beside an idle cell")
def step_stuck_beside_idle(context, cores, memory):
    loop = context.loop
    step = Step(1, TaskDemand(1000 * cores, memory), estimate_s=ESTIMATE_S)
    loop.accept(0, Submission(f"{2:016x}", INTERACTIVE, "s", (step,)))
    for _ in range(3):
        loop.tick()
    load = CellHeadroom("t0", "svc", 40000, (), 0, 40000, free_by_worker=(8000,) * 5)
    context.moves = propose(context, 0, (load,), context.began_at + ESTIMATE_S - 0.1)


@then("{n:d} of its tasks are moved while the runs end")
def step_moved_while_ending(context, n):
    assert len(context.moves) == n, context.moves


@given("{n:d} fillers that don't end use the processors that it leaves")
def step_other_fillers(context, n):
    step = Step(n, FILLER.demand, fills=True, saves_progress=True, image="press")
    add_submission(context, 50, step)
    for _ in range(5):
        context.worker.step()
    assert len(context.worker.running) == n + 1, context.worker.running


def run_until(context, seconds):
    worker = context.worker
    while worker.now < context.submitted_at + seconds:
        worker.step()
    return {int(submission_id, 16) for submission_id in worker.ran}


@then("it has run within {seconds:f} seconds")
def step_has_run_within(context, seconds):
    assert 2 in run_until(context, seconds)


@then("it has not run within {seconds:f} seconds")
def step_has_not_run_within(context, seconds):
    assert 2 not in run_until(context, seconds)


@then("only the first has run within {seconds:f} seconds")
def step_only_first_ran(context, seconds):
    ran = run_until(context, seconds)
    assert FILLER_ID in ran and FILLER_ID + 1 not in ran, ran


@given("{n:d} workers that may take forced fillers")
def step_forcible(context, n):
    context.views = [make_view(f"w{number}") for number in range(n)]
    assert forcible_workers(context.views, 0.0) == context.views


@when("the first {n:d} begin with forced fillers")
def step_begin(context, n):
    for view in context.views[:n]:
        view.last_forced_at = 0.0


@then("only the first {n:d} take forced fillers {at:f} s later")
def step_only_first(context, n, at):
    assert forcible_workers(context.views, at) == context.views[:n]


@then("none of them takes forced fillers {at:f} s later")
def step_none_takes(context, at):
    assert not forcible_workers(context.views, at)


@then("only the other {n:d} take forced fillers {at:f} s later")
def step_only_others(context, n, at):
    assert forcible_workers(context.views, at) == context.views[-n:]


@when("submissions of {many:d} fillers and {n:d} of 1 filler are starving")
def step_many_starve(context, many, n):
    context.submitted_at = context.worker.now
    for number in range(n + 1):
        n_tasks = 1 if number else many
        step = Step(
            n_tasks, FILLER.demand, fills=True, saves_progress=True, image="press"
        )
        add_submission(context, 2 + number, step)


@then("all {n:d} have run within {seconds:f} seconds")
def step_all_ran(context, n, seconds):
    ran = run_until(context, seconds)
    assert set(range(2, 2 + n)) <= ran, ran


@when("a filler of an advised queue is starving, and the advice names the worker")
def step_advised_starves(context):
    worker = context.worker
    step = make_step(FILLER, "press")
    submission = Submission(WAITING_ID, ADVISED, "s", (step,))
    context.submitted_at = worker.now
    worker.cell.add_submission(
        submission, Progress(), worker.now, worker.now, inherited=False
    )
    worker.step()
    (request,) = worker.cell.advice.take_requests()
    worker.cell.advice.on_answer(request, (Ticket("w", "t"),), worker.now + 60.0)


@when("a filler has waited for {waited_s:f} s beside a full cell")
def step_waits_beside_full(context, waited_s):
    add_submission(context, 2, make_step(FILLER, "press"))
    wait_beside_full(context, waited_s)


@when("it has waited for {waited_s:f} s beside a full cell")
def wait_beside_full(context, waited_s):
    worker = context.worker
    load = CellHeadroom("r2", "svc", 0, (), 0, 32000, free_by_worker=(0,))
    started_at = worker.now
    while worker.now < started_at + waited_s:
        worker.step()
        worker.cell.propose_moves((load,), worker.now)


@then('the line says that it stays because it is "{reason}"')
def step_line(context, reason):
    cell = context.worker.cell
    (ready,) = cell.submissions.iter_ready()
    line = cell.explain_stay(ready, context.worker.now)
    assert f"stays: {reason}" in line and "no run for" in line, line

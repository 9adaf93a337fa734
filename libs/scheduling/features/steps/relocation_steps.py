from dataclasses import replace

from behave import given, then, when
from gang_steps import SUBMISSION_ID

from berylcleat.model import Step, TaskDemand, TaskKey
from berylcleat.ports import EndedTask, RunEnd, RunningTask, WorkerReport
from berylcleat.scheduling import CellHeadroom, TaskMove


def add_tasks(context, n, allowed, *, is_home):
    """Let the workers report running tasks of a submission that becomes known."""
    scripted_cell = context.scripted_cell
    step = Step(
        n,
        TaskDemand(1000, 100),
        is_long_running=True,
        max_unavailable=None if allowed == "no task" else int(allowed),
    )
    tasks = [TaskKey(SUBMISSION_ID, 0, 0, index) for index in range(n)]
    moves = {} if is_home else {task: TaskMove("r1", 0) for task in tasks}
    for task in tasks:
        scripted_cell.running[f"w{task.index % 2}"][task] = 1
    scripted_cell.submit(step, inherited=True, is_home=is_home, moves=moves)
    scripted_cell.step()
    assert scripted_cell.cell.n_runs() == n


@given("{n:d} long-running tasks run of which {allowed} may be unavailable")
def step_tasks(context, n, allowed):
    add_tasks(context, n, allowed, is_home=True)


@given("{n:d} tasks that were moved here run of which {allowed} may be unavailable")
def step_moved_tasks(context, n, allowed):
    add_tasks(context, n, allowed, is_home=False)


@given("a task is reported with {percent:d} percent")
def step_percent(context, percent):
    """Change the task's percentage in the reports of its worker."""
    scripted_cell = context.scripted_cell
    # The last one, so that the others are considered before it.
    context.slow_task = TaskKey(SUBMISSION_ID, 0, 0, 5)
    observe = scripted_cell.cell.on_report

    def on_report(worker_id, report, requested_at, now):
        rows = tuple(
            RunningTask(row.task, row.run, "", percent, 0.0)
            if row.task == context.slow_task
            else row
            for row in report.running
        )
        changed = WorkerReport(
            report.clock_ms, report.started_at_ms, rows, report.ended
        )
        observe(worker_id, changed, requested_at, now)

    scripted_cell.cell.on_report = on_report


@when("a task fails")
def step_fail(context):
    scripted_cell = context.scripted_cell
    task = TaskKey(SUBMISSION_ID, 0, 0, 0)
    scripted_cell.ended["w0"].append(
        EndedTask(1, task, scripted_cell.running["w0"].pop(task), RunEnd.FAILED, "")
    )
    scripted_cell.step()
    for item in scripted_cell.starts:
        scripted_cell.accept(item)


@when("a worker stops answering")
def step_silent(context):
    scripted_cell = context.scripted_cell
    scripted_cell.silent.add("w1")
    # Its runs don't count as lost before their leases have expired.
    view = scripted_cell.cell.worker_by_id["w1"]
    scripted_cell.cell.lease_until_ms(view, scripted_cell.now)


@when("a worker drains")
def step_drain(context):
    cell = context.scripted_cell.cell
    entry = replace(cell.worker_by_id["w0"].entry, is_draining=True)
    cell.list_worker(entry, context.scripted_cell.now)


@when("the other cell has {cores:d} free cores")
def step_headroom(context, cores):
    scripted_cell = context.scripted_cell
    scripted_cell.stops.clear()
    headroom = CellHeadroom("r2", "svc", cores * 1000, (), 0, cores * 1000)
    context.proposals = scripted_cell.cell.propose_moves((headroom,), scripted_cell.now)
    # The stops must not depend on a planning round between two proposals.
    context.proposals += scripted_cell.cell.propose_moves(
        (headroom,), scripted_cell.now
    )
    scripted_cell.step()


@when("workers {names} are in maintenance for {seconds:d} seconds")
def step_maintenance(context, names, seconds):
    scripted_cell = context.scripted_cell
    headroom = CellHeadroom("r2", "svc", 16000, (), 0, 16000)
    scripted_cell.cell.set_cordoned(frozenset(names.split(" and ")))
    for _ in range(seconds * 5):
        scripted_cell.cell.set_cordoned(frozenset(names.split(" and ")))
        scripted_cell.step()
        scripted_cell.cell.propose_moves((headroom,), scripted_cell.now)


@when("the machines in maintenance are {state}")
def step_await_cordon(context, state):
    context.scripted_cell.cell.awaits_cordon = state == "not known yet"


@when("w0 reports a run of an unknown submission")
def step_unknown_run(context):
    context.scripted_cell.running["w0"][TaskKey(SUBMISSION_ID, 0, 0, 0)] = 1
    context.scripted_cell.step()


@then("no headroom is published for fillers")
def step_no_headroom(context):
    assert not context.scripted_cell.cell.filler_headrooms()


@when("worker w0 ends")
def step_worker_ends(context):
    context.scripted_cell.cell.on_other_incarnation("w0", context.scripted_cell.now)


@then("{n:d} tasks may have crashed a worker")
def step_crashed(context, n):
    tracked = context.scripted_cell.cell.submissions.by_id[SUBMISSION_ID]
    tasks = [TaskKey(SUBMISSION_ID, 0, 0, index) for index in range(6)]
    found = [task for task in tasks if tracked.n_crashes(task)]
    assert len(found) == n, found


@then("worker w0 is protected: {protected}")
def step_protected(context, protected):
    occupancy = context.scripted_cell.cell.occupancy("w0")
    assert occupancy.forbids_maintenance == (protected == "yes"), occupancy
    assert not occupancy.is_empty, occupancy


@when("the stopped runs end")
def step_end(context):
    scripted_cell = context.scripted_cell
    context.stopped = list(scripted_cell.stops)
    for item in context.stopped:
        scripted_cell.end(item, RunEnd.STOPPED)
    scripted_cell.step()


@when("the move is recorded")
def step_record(context):
    scripted_cell = context.scripted_cell
    for proposal in context.proposals:
        scripted_cell.cell.update_moves(
            proposal.submission_id, proposal.move_by_task, scripted_cell.now
        )
        scripted_cell.cell.on_move_settled(proposal, scripted_cell.now)


@then("{n:d} runs are stopped")
def step_stopped(context, n):
    # An unanswered stop is sent again.
    stops = {item.order for item in context.scripted_cell.stops}
    assert len(stops) == n, stops


@then("a move of {n_moves:d} tasks is proposed and {n:d} runs are stopped")
def step_moved(context, n_moves, n):
    moves = [task for p in context.proposals for task in p.move_by_task]
    stopped = [item.order.task for item in context.stopped]
    assert sorted(moves) == sorted(stopped) and len(moves) == n_moves, moves
    step_stopped(context, n)


@then("no other run than that is stopped")
def step_only_slow(context):
    stopped = {item.order.task for item in context.scripted_cell.stops}
    assert stopped <= {context.slow_task}, stopped

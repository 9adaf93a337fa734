import asyncio
import signal
from collections import Counter

from behave import given, then, when
from environment import history, start_fleet
from fleet_steps import apply_job, berylctl, job_status, wait_until


def owners(context):
    """Return host ids by owned cell, as the planners that answer see it."""
    answers = berylctl(context, "status")
    found = {}
    for answer in answers.values():
        for cell in answer["cells"] if answer else ():
            found.setdefault(cell["cell_id"], []).append(answer["host_id"])
    return found


def planner_of_first_cell(context):
    wait_until(context, lambda: owners(context), "an owner")
    return "planner-" + sorted(owners(context).items())[0][1][0]


@given("a fleet of two racks")
def given_two_racks(context):
    start_fleet(context, n_racks_per_data_centre=2)


@when("the planner that owns the cell is killed")
def when_killed(context):
    context.fleet.kill(planner_of_first_cell(context))


@when("the planner that owns the cell is frozen for {seconds:g} s")
def when_frozen(context, seconds):
    name = planner_of_first_cell(context)
    freeze(context, name, seconds)


def freeze(context, name, seconds):
    context.fleet.signal(name, signal.SIGSTOP)
    context.run(asyncio.sleep(seconds))
    context.fleet.signal(name, signal.SIGCONT)


@when("the planner that owns the cell is stopped gracefully")
def when_stopped(context):
    assert context.fleet.stop_process(planner_of_first_cell(context)) == 0


def rack_that_runs(context):
    """Return the one rack on which tasks have started."""
    starts = [e.place for e in history(context) if e.kind == "task-start"]
    racks = {place.rsplit("-w", 1)[0] for place in starts}
    assert len(racks) == 1, racks
    return racks.pop()


@when("the rack that runs them is frozen for {seconds:g} s")
def when_rack(context, seconds):
    freeze(context, rack_that_runs(context), seconds)


@when("the rack that runs them is lost")
def when_rack_lost(context):
    context.fleet.kill(rack_that_runs(context))


@then('every task of "{job_id}" lapsed once')
def then_lapsed(context, job_id):
    kinds = Counter(
        e.kind for e in history(context) if e.subject.startswith(f"{job_id}/")
    )
    assert kinds["task-lapsed"] == 24, kinds
    assert kinds["task-start"] == 48, kinds


@when("worker {number:d} restarts")
def when_restart(context, number):
    worker_id = context.fleet.worker_specs[number - 1]["worker_id"]
    context.run(context.fleet.set_worker_fault(worker_id, restart=True))


@when("every planner is killed and started anew")
def when_all_replaced(context):
    for host in context.fleet.hosts:
        context.fleet.kill(f"planner-{host.host_id}")
    for host in context.fleet.hosts:
        context.fleet.start_planner(host)


@when(
    'a job "{job_id}" of {n:d} tasks of {cores:d} cores running {run_s:g} s '
    "is applied and perhaps applied again"
)
def when_applied_again(context, job_id, n, cores, run_s):
    def accepted():
        apply_job(context, job_id, n, cores, run_s)
        return context.ctl.returncode == 0

    wait_until(context, accepted, "acceptance")


@when(
    'an urgent job "{job_id}" of {n:d} tasks of {cores:d} cores running {run_s:g} s '
    "is applied"
)
def when_urgent(context, job_id, n, cores, run_s):
    apply_job(context, job_id, n, cores, run_s, priority=1000)


@when('the job "{job_id}" is cancelled twice')
def when_cancelled(context, job_id):
    for _ in range(2):
        berylctl(context, "cancel", job_id)
        assert context.ctl.returncode == 0, context.ctl.stderr


@then('every task of "{job_id}" ends and none starts again')
def then_cancelled(context, job_id):
    def is_over():
        counts = Counter(
            e.kind for e in history(context) if e.subject.startswith(f"{job_id}/")
        )
        status = job_status(context, job_id)
        return (
            counts["task-start"] == counts["task-stopped"]
            and status["n_cancelled"] == status["n_claimed"]
        )

    wait_until(context, is_over, "the end of every task")
    starts = sum(e.kind == "task-start" for e in history(context))
    context.run(asyncio.sleep(2.0))
    assert sum(e.kind == "task-start" for e in history(context)) == starts


@then("the cell has one owner")
def then_one_owner(context):
    def is_single():
        return all(len(hosts) == 1 for hosts in owners(context).values())

    wait_until(context, is_single, "a single owner")


@then("no task lapsed or was restarted")
def then_no_lapse(context):
    counts = Counter(e.kind for e in history(context))
    assert counts["task-lapsed"] == 0, counts
    assert counts["task-start"] == counts["task-finished"], counts


@then("no more than {n:d} tasks were evicted")
def then_few(context, n):
    counts = Counter(e.kind for e in history(context))
    assert counts["task-checkpointed"] <= n, counts
    assert counts["task-stopped"] == 0, counts


@then("the evicted tasks resumed from their checkpoints")
def then_resumed(context):
    events = history(context)
    evicted = {e.subject for e in events if e.kind == "task-checkpointed"}
    assert evicted
    for task_id in evicted:
        starts = [e for e in events if e.kind == "task-start" and e.subject == task_id]
        ends = [e for e in events if e.kind == "task-finished" and e.subject == task_id]
        resumed = [
            e for e in events if e.kind == "task-resumed" and e.subject == task_id
        ]
        assert [e.attempt for e in starts] == [1, 2], starts
        assert [e.attempt for e in resumed] == [2], resumed
        assert [e.attempt for e in ends] == [2], ends


@when("the service on every worker is {factor:g} times as slow")
def when_slow(context, factor):
    for spec in context.fleet.worker_specs:
        fault = context.fleet.set_worker_fault(spec["worker_id"], slowdown=factor)
        context.run(fault)


@then('tasks of "{job_id}" are throttled and none is evicted')
def then_throttled(context, job_id):
    def is_throttled():
        return any(e.kind == "task-throttled" for e in history(context))

    wait_until(context, is_throttled, "a throttle", 10.0)
    assert not any(e.kind == "task-checkpointed" for e in history(context))

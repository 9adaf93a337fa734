import asyncio
import signal
from collections import Counter

from behave import given, then, when
from environment import read_fleet_history, start_fleet
from fleet_steps import apply_job, berylctl, job_status, wait_until


def find_owners(context):
    """Return host ids by owned cell, according to the planners that answer."""
    answers = berylctl(context, "status")
    found = {}
    for answer in answers.values():
        for cell in answer["cells"] if answer else ():
            found.setdefault(cell["cell_id"], []).append(answer["host_id"])
    return found


def find_planner_of_first_cell(context):
    wait_until(context, lambda: find_owners(context), "an owner")
    return "planner-" + sorted(find_owners(context).items())[0][1][0]


@given("a fleet of two racks")
def given_two_racks(context):
    start_fleet(context, n_racks_per_data_centre=2)


@when("the planner that owns the cell is killed")
def when_killed(context):
    context.fleet.kill(find_planner_of_first_cell(context))


@when("the planner that owns the cell is frozen for {seconds:g} s")
def when_frozen(context, seconds):
    name = find_planner_of_first_cell(context)
    freeze(context, name, seconds)


def freeze(context, name, seconds):
    context.fleet.signal(name, signal.SIGSTOP)
    context.run(asyncio.sleep(seconds))
    context.fleet.signal(name, signal.SIGCONT)


@when("the planner that owns the cell is stopped gracefully")
def when_stopped(context):
    assert context.fleet.stop_process(find_planner_of_first_cell(context)) == 0


def find_running_rack(context):
    """Return the name of the only rack on which tasks have started."""
    starts = [e.place for e in read_fleet_history(context) if e.kind == "task-start"]
    racks = {place.rsplit("-w", 1)[0] for place in starts}
    assert len(racks) == 1, racks
    return racks.pop()


@when("the rack that runs the tasks is frozen for {seconds:g} s")
def when_rack_frozen(context, seconds):
    freeze(context, find_running_rack(context), seconds)


@when("the rack that runs the tasks is lost")
def when_rack_lost(context):
    context.fleet.kill(find_running_rack(context))


@then('every task of "{job_id}" lapsed once')
def then_lapsed(context, job_id):
    kinds = Counter(
        e.kind
        for e in read_fleet_history(context)
        if e.subject.startswith(f"{job_id}/")
    )
    assert kinds["task-lapsed"] == 24, kinds
    assert kinds["task-start"] == 48, kinds


@when("worker {number:d} restarts")
def when_restart(context, number):
    worker_id = context.fleet.worker_specs[number - 1]["worker_id"]
    context.run(context.fleet.set_worker_fault(worker_id, restart=True))


@when("every planner is killed and restarted")
def when_planners_restarted(context):
    for host in context.fleet.hosts:
        context.fleet.kill(f"planner-{host.host_id}")
    for host in context.fleet.hosts:
        context.fleet.start_planner(host)


@when(
    'a job "{job_id}" of {n:d} tasks of {cores:d} cores running {run_s:g} s '
    "is applied until it is accepted"
)
def when_applied_again(context, job_id, n, cores, run_s):
    def accepted():
        apply_job(context, job_id, n, cores, run_s)
        return context.ctl_result.returncode == 0

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
        assert context.ctl_result.returncode == 0, context.ctl_result.stderr


@then('every task of "{job_id}" ends and none starts again')
def then_cancelled(context, job_id):
    def is_over():
        counts = Counter(
            e.kind
            for e in read_fleet_history(context)
            if e.subject.startswith(f"{job_id}/")
        )
        status = job_status(context, job_id)
        return (
            counts["task-start"] == counts["task-stopped"]
            and status["n_cancelled"] == status["n_claimed"]
        )

    wait_until(context, is_over, "the end of every task")
    starts = sum(e.kind == "task-start" for e in read_fleet_history(context))
    context.run(asyncio.sleep(2.0))
    assert sum(e.kind == "task-start" for e in read_fleet_history(context)) == starts


@then("the cell has one owner")
def then_one_owner(context):
    def is_single():
        return all(len(hosts) == 1 for hosts in find_owners(context).values())

    wait_until(context, is_single, "a single owner")


@then("no task lapsed or was restarted")
def then_no_lapse_or_restart(context):
    counts = Counter(e.kind for e in read_fleet_history(context))
    assert counts["task-lapsed"] == 0, counts
    assert counts["task-start"] == counts["task-finished"], counts


@then("no more than {n:d} tasks were evicted")
def then_at_most_evicted(context, n):
    counts = Counter(e.kind for e in read_fleet_history(context))
    assert counts["task-checkpointed"] <= n, counts
    assert counts["task-stopped"] == 0, counts


@then("the evicted tasks resumed from their checkpoints")
def then_resumed(context):
    events = read_fleet_history(context)
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
        return any(e.kind == "task-throttled" for e in read_fleet_history(context))

    wait_until(context, is_throttled, "a throttle", 10.0)
    assert not any(e.kind == "task-checkpointed" for e in read_fleet_history(context))

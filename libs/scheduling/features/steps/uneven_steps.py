from collections import Counter

from behave import given, then, when
from filler_steps import SERVING, add_run, choose, make_view
from uneven_load import DISTURBED_UNTIL_S, NEVER_S, QUEUE, Disturbance, UnevenLoad

from berylcleat.model import (
    Step,
    Submission,
    SubmissionState,
    TaskDemand,
    TaskKey,
)
from berylcleat.scheduling import (
    CellHeadroom,
    InterferenceModel,
    Progress,
    Run,
    RunOutcome,
    RunPhase,
    SubmissionRegistry,
    UnevenWorkers,
    WorkerCondition,
    WorkerHealth,
    WorkerSpeeds,
)
from berylcleat.scheduling._submissions import ReadyStep

SEEDS = (1, 2, 3)
STEP = Step(2, TaskDemand(4000), estimate_s=1.0)
DISTURBANCE_BY_TEXT = {
    "a tenth of the workers run at a fifth of their speed for 6 s": Disturbance(
        0.1, slowdown=5.0
    ),
    "one in twenty workers fails everything for 6 s": Disturbance(0.05, fails=True),
    "a tenth of the workers goes down and up by turns for 6 s": Disturbance(
        0.1, flaps=True
    ),
    "all workers run at half of their speed for 6 s": Disturbance(1.0, slowdown=2.0),
    "3% of the tasks take 7 times as long": Disturbance(long_share=0.03),
    "5% of the submissions have a task that fails everywhere": Disturbance(
        failing_share=0.05
    ),
    "one in twenty workers are slow from 5 s on": Disturbance(
        0.05, slowdown=5.0, until_s=NEVER_S
    ),
    "one in twenty workers fails everything from 5 s on": Disturbance(
        0.05, fails=True, until_s=NEVER_S
    ),
}


def make_disturbance_step(text):
    @given(text)
    def step_disturbance(context):
        context.disturbance = DISTURBANCE_BY_TEXT[text]


for disturbance_text in DISTURBANCE_BY_TEXT:
    make_disturbance_step(disturbance_text)


@when("the load is run with and without uneven workers")
def step_run_both(context):
    context.loads = [UnevenLoad(n, context.disturbance, learns=True) for n in SEEDS]
    before = [UnevenLoad(n, context.disturbance, learns=False) for n in SEEDS]
    for load in (*context.loads, *before):
        load.run()
    context.after = sum((load.outcomes() for load in context.loads), Counter())
    context.before = sum((load.outcomes() for load in before), Counter())


def n_not_in_time(outcomes):
    return outcomes["late"] + outcomes["failed"]


@then("fewer submissions are late and none fails")
def step_fewer_late(context):
    found = (context.before, context.after)
    assert n_not_in_time(context.after) < n_not_in_time(context.before), found
    assert not context.after["failed"], found


@then("no more submissions are late and none fails")
def step_no_more_late_none_fails(context):
    step_no_more_late(context)
    assert not context.after["failed"], context.after


@then("no more submissions are late")
def step_no_more_late(context):
    found = (context.before, context.after)
    assert n_not_in_time(context.after) <= n_not_in_time(context.before), found


@then("exactly the disturbed workers counted as slow")
def step_slow_seen(context):
    for load in context.loads:
        assert load.slow_seen == load.disturbed, load.slow_seen


@then("exactly the disturbed workers were on probation")
def step_probation_seen(context):
    for load in context.loads:
        assert load.probation_seen == load.disturbed, load.probation_seen


@then("every worker counts as normal 10 s after the disturbance")
def step_all_normal(context):
    for load in context.loads:
        assert load.deviated_at <= DISTURBED_UNTIL_S + 10, load.deviated_at


@then("no worker counted as slow")
def step_none_slow(context):
    assert not any(load.slow_seen for load in context.loads)


@then("no worker was on probation")
def step_none_on_probation(context):
    assert not any(load.probation_seen for load in context.loads)


@then("only these submissions fail")
def step_only_bad_fail(context):
    for load in context.loads:
        assert load.failed == {task.submission_id for task in load.bad_tasks}


@given("another host takes over after {seconds:d} s")
def step_takeover(context, seconds):
    context.takeover_s = seconds


@when("the load is run for {seconds:d} s")
def step_run_with_takeover(context, seconds):
    context.load = UnevenLoad(1, context.disturbance, learns=True)
    context.load.run(context.takeover_s)
    context.load.take_over()
    context.load.run(seconds)


@then("the new owner knows exactly the disturbed workers")
def step_relearned(context):
    load = context.load
    known = load.probation_seen if load.disturbance.fails else load.slow_seen
    assert known == load.disturbed, (known, load.disturbed)


@given("a slow worker and a full one")
def step_slow_and_full(context):
    context.views = {name: make_view(name) for name in ("slow", "free")}
    context.views["slow"].condition = WorkerCondition(slowdown=5.0)
    context.blockers = [
        add_run(context.views["free"], number, SERVING, "web") for number in range(8)
    ]


@when("the full worker has become free")
def step_becomes_free(context):
    for run in context.blockers:
        context.views["free"].remove_run(run, 0.0)


@then("a task goes to the {name} worker")
def step_goes_to(context, name):
    context.interference = InterferenceModel()
    worker_id = choose(context, STEP, "e" * 16)
    assert worker_id == name, worker_id


@given("a worker whose serving tasks of all images are over their targets")
def step_serving_slow(context):
    context.now = 0.0
    context.speeds = WorkerSpeeds()
    context.view = make_view("w")
    for number, image in enumerate(("web", "mail")):
        add_run(context.view, number, SERVING, image, reading=300.0)
    for _ in range(4):
        context.now += 0.5
        context.speeds.on_readings(context.view, context.now)
        settle(context)


def settle(context):
    context.speeds.refresh(context.view, lambda _: "q", context.now)
    context.speeds.settle({"w", "other"}, context.now)


@then("it counts as slow")
def step_is_slow(context):
    assert context.speeds.slowdown("w", context.now) > 1.0


@then("it doesn't count as slow")
def step_is_not_slow(context):
    assert context.speeds.slowdown("w", context.now) == 1.0


@when("no reading has come for 4 s")
def step_no_reading(context):
    context.now += 4.0
    settle(context)


@then("it gets one task at a time, and one task more than that only elsewhere")
def step_one_task(context):
    step_is_not_slow(context)
    n_slots = context.speeds.n_slots("w")
    since = context.speeds.returns_since("w")
    context.view.condition = WorkerCondition(n_slots=n_slots, since=since)
    assert context.view.start_penalty() == 0
    run = add_run(context.view, 9, STEP, "")
    run.started_at = context.now
    assert context.view.start_penalty() > 0


@given("siblings that took 1 s on other workers")
def step_siblings(context):
    context.now = 1.0
    context.speeds = WorkerSpeeds()
    context.view = make_view("w")
    for index in range(3):
        end_run(context, "other", index, 0.0)


def end_run(context, worker_id, index, started_at):
    task = TaskKey("a" * 16, 0, 0, index)
    phase = RunPhase.RUNNING
    run = Run(task, 1, worker_id, STEP, phase, started_at, started_at)
    context.speeds.on_done(run, "q", context.now)


@when("a run has taken 7 s on a worker")
def step_long_run(context):
    context.now = 8.0
    end_run(context, "w", 9, 1.0)
    settle(context)


@given("a worker that has failed 3 tasks that run well elsewhere")
def step_failing(context):
    context.now = 0.0
    context.health = WorkerHealth()
    for index in range(3):
        end_task(context, "other", index, has_failed=False)
    for index in range(3, 6):
        end_task(context, "w", index, has_failed=True)


def end_task(context, worker_id, index, *, has_failed):
    task = TaskKey("a" * 16, 0, 0, index)
    outcome = RunOutcome(worker_id, task, "web", context.now, has_failed)
    context.health.on_outcome(outcome, context.now)


@then("its probation lasts 1, 2, 4, 8 and 8 s as further tasks fail")
def step_backoff(context):
    for index, backoff_s in enumerate((1, 2, 4, 8, 8)):
        assert context.health.probation("w").next_at == context.now + backoff_s
        context.now += backoff_s
        end_task(context, "w", 10 + index, has_failed=True)


@when("3 tasks have succeeded there")
def step_succeeded(context):
    for index in range(20, 23):
        end_task(context, "w", index, has_failed=False)


@then("it is no longer on probation")
def step_not_on_probation(context):
    assert context.health.probation("w") is None


@given("10 workers of which 5 are down for 2 s twice")
def step_common_outages(context):
    context.now = 0.0
    context.health = WorkerHealth()
    take_down_twice(context, 5)


@when("one of them is down for 2 s twice")
def step_single_outages(context):
    context.now += 10.0
    take_down_twice(context, 1)


def take_down_twice(context, n_workers):
    for _ in range(2):
        for number in range(n_workers):
            context.health.on_outage(f"w{number}", context.now, has_restarted=False)
        context.now += 2.0
        for number in range(n_workers):
            context.health.on_answer(f"w{number}", 10, context.now)
        context.now += 2.0


@then("none of them is on probation")
def step_none_of_them(context):
    assert not any(context.health.probation(f"w{n}") for n in range(10))


@then("only that one is on probation")
def step_only_one(context):
    on_probation = [n for n in range(10) if context.health.probation(f"w{n}")]
    assert on_probation == [0], on_probation


@given('a task has failed on worker "w0", "w1" is on probation and "w2" is sound')
def step_failed_task(context):
    context.uneven = UnevenWorkers()
    context.views = [make_view(f"w{number}") for number in range(3)]
    context.views[1].condition = WorkerCondition(is_on_probation=True, n_slots=1)
    task = TaskKey("a" * 16, 0, 0, 0)
    outcome = RunOutcome("w0", task, "", 0.0, has_failed=True)
    context.uneven.health.on_outcome(outcome, 0.0)


@then('{which} task may go to "{names}" after {seconds:d} s')
def step_may_go(context, which, names, seconds):
    task = TaskKey("a" * 16, 0, 0, 0 if which == "the" else 1)
    submission = Submission(task.submission_id, QUEUE, "s", (STEP,))
    tracked = SubmissionRegistry().add(submission, Progress(), 0.0)
    ready = ReadyStep(tracked, 0, 0, {0, 1})
    groups = context.uneven.candidate_groups(ready, task, context.views, seconds)
    found = {view.entry.worker_id for group in groups for view in group}
    assert found == set(names.split()), found


@when("the owner learns from outages for {seconds:d} seconds")
def step_learn_outages(context, seconds):
    cells = context.cells
    cells.cell.uneven_workers = UnevenWorkers()
    context.spared = set()
    for _ in range(seconds * 10):
        cells.advance(0.1)
        health = cells.cell.uneven_workers.health
        context.spared |= set(filter(health.probation, cells.cell.worker_by_id))


@then("the task is given up, and only one worker was on probation")
def step_one_spared(context):
    assert context.cells.state() is SubmissionState.FAILED
    assert len(context.spared) == 1, context.spared


@given("each worker is {spared} for {seconds:d} s")
def step_spared(context, spared, seconds):
    until = context.scripted_cell.now + seconds
    for view in context.scripted_cell.cell.worker_by_id.values():
        if spared == "avoided":
            view.avoid_until = until
        else:
            view.condition = WorkerCondition(is_on_probation=True, may_start_at=until)


@given(
    "another cell of {reserved:d} reserved cores spares workers of {total:d} cores "
    "with {free:d} free"
)
def step_spared_elsewhere(context, reserved, total, free):
    headroom = CellHeadroom(
        "r2",
        "svc",
        0,
        (),
        0,
        reserved * 1000,
        avoided_capacity=total * 1000,
        avoided_free=free * 1000,
    )
    context.scripted_cell.cell.propose_moves((headroom,), context.scripted_cell.now)


@then("{n:d} tasks are started")
def step_n_started(context, n):
    assert len(context.scripted_cell.starts) == n, context.scripted_cell.starts


@when("{seconds:d} s pass")
def step_pass(context, seconds):
    for _ in range(seconds * 5 - 1):
        context.scripted_cell.step()

from dataclasses import replace

from behave import given, then, when
from cell_loop import make_entry

from berylcleat.model import QueuePolicy, Step, Submission, TaskDemand, TaskKey
from berylcleat.ports import (
    EndedTask,
    RunEnd,
    RunningTask,
    StartOrder,
    StopOrder,
    WorkerReport,
)
from berylcleat.scheduling import (
    CellHeadroom,
    CellScheduler,
    CrashEvidence,
    FillerHeadroom,
    ImageUse,
    InterferenceLevel,
    InterferenceModel,
    LeaseTimes,
    LoadEstimator,
    Progress,
    Run,
    RunPhase,
    ServingReading,
    WorkerView,
    choose_fillers_to_stop,
    choose_worker,
    plan_paces,
)

SERVING = Step(1, TaskDemand(4000, 1000), is_long_running=True, target_latency_ms=100)
FILLER = Step(1, TaskDemand(4000, 1000), fills=True, saves_progress=True)


def make_view(worker_id):
    entry = make_entry(worker_id, TaskDemand(32000, 64000))
    return WorkerView(entry, has_seen_epoch=True)


def make_step(kind, image):
    return Step(
        kind.n_tasks,
        kind.demand,
        is_long_running=kind.is_long_running,
        target_latency_ms=kind.target_latency_ms,
        fills=kind.fills,
        image=image,
    )


def add_run(view, number, kind, image, reading=0.0):
    task = TaskKey(f"{number:016x}", 0, 0, 0)
    step = make_step(kind, image)
    run = Run(task, 1, view.entry.worker_id, step, RunPhase.RUNNING, 0.0, 0.0)
    run.update_reading(reading, 0.0)
    view.add_run(run)
    return run


@given(
    'a serving image "{serving}" and a filler "{filler}" that use a fifth of a {place}'
)
def step_images(context, serving, filler, place):
    context.interference = InterferenceModel()


@when('the tail of "{image}" is at {ratio:f} of its target beside "{filler}"')
def step_reading(context, image, ratio, filler):
    context.interference.observe(
        [ImageUse(filler, 0.2)], [ServingReading(image, ratio)]
    )


@when(
    'the tail of "{image}" is at {ratio:f} of its target beside "{filler}" {n:d} times'
)
def step_readings(context, image, ratio, filler, n):
    for _ in range(n):
        step_reading(context, image, ratio, filler)


@when(
    'the tails of "{a}" and "{b}" are both at {ratio:f} of their targets beside "{f}"'
)
def step_both_readings(context, a, b, ratio, f):
    readings = [ServingReading(a, ratio), ServingReading(b, ratio)]
    context.interference.observe([ImageUse(f, 0.2)], readings)


@when('another host reports {n:d} times that "{filler}" is heavy beside "{image}"')
def step_peer_reports(context, n, filler, image):
    for _ in range(n):
        context.interference.set_peer_log_odds("host-2", {(filler, image): 3.0})


@when('{n:d} other hosts report that "{filler}" is mild beside "{image}"')
def step_many_peers_report(context, n, filler, image):
    for number in range(n):
        log_odds_by_pair = {(filler, image): -3.0}
        context.interference.set_peer_log_odds(f"host-{number}", log_odds_by_pair)


@when("that host reports no pairs")
def step_peer_reports_none(context):
    context.interference.set_peer_log_odds("host-2", {})


@then('"{filler}" is {level} beside "{image}"')
def step_level(context, filler, level, image):
    found = context.interference.worst_level(filler, [image])
    if level == "not heavy":
        assert found is not InterferenceLevel.HEAVY, found
    else:
        assert found is InterferenceLevel(level), found


@given('workers that serve "web", "mail" and nothing')
def step_workers(context):
    context.interference = InterferenceModel()
    context.views = {name: make_view(name) for name in ("web", "mail", "nothing")}
    add_run(context.views["web"], 1, SERVING, "web", 30.0)
    add_run(context.views["mail"], 2, SERVING, "mail", 30.0)


@when('"{filler}" is known to be heavy beside "{heavy}" and mild beside "{mild}"')
def step_known(context, filler, heavy, mild):
    context.interference.restore({(filler, heavy): 4.0, (filler, mild): -4.0})


def choose(context, step, submission_id):
    """Return the worker that is chosen for a task."""
    task = TaskKey(submission_id, 0, 0, 0)
    views = context.views.values()
    view = choose_worker(task, step, "svc", views, context.interference)
    return view.entry.worker_id


@then('a filler "{image}" goes to one of the workers "{names}"')
def step_filler_goes(context, image, names):
    worker_id = choose(context, make_step(FILLER, image), "f" * 16)
    assert worker_id in names.split(), worker_id


@then('a serving task "{image}" goes to the worker "{name}"')
def step_serving_goes(context, image, name):
    worker_id = choose(context, make_step(SERVING, image), "e" * 16)
    assert worker_id == name, worker_id


@given("a worker with a serving task and two fillers of unknown effect")
def step_worker_with_fillers(context):
    context.interference = InterferenceModel()
    context.view = make_view("w")
    add_run(context.view, 1, SERVING, "web", 150.0)
    add_run(context.view, 2, FILLER, "press")
    add_run(context.view, 3, FILLER, "print")


@when("its tail has been over the target for {seconds:f} seconds")
def step_over_target(context, seconds):
    context.view.fillers_stopped_at = -10.0
    context.stops = choose_fillers_to_stop(context.view, context.interference, seconds)


@when(
    "its readings alternate between {high:g} and {low:g} of the target "
    "for {seconds:d} seconds"
)
def step_alternate(context, high, low, seconds):
    (serving,) = context.view.serving_runs()
    serving.update_reading(0.0, 0.0)
    for number in range(seconds * 2 + 1):
        ratio = low if number % 2 else high
        serving.update_reading(ratio * SERVING.target_latency_ms, number / 2)
    step_over_target(context, float(seconds))


@then("at most one filler is stopped")
def step_at_most_one_stopped(context):
    assert len(context.stops) <= 1, context.stops


@then("both fillers are stopped")
def step_both_stopped(context):
    assert len(context.stops) == 2, context.stops


class SingleWorkerCell:
    """Cell scheduler with one simulated worker whose fillers run until stopped."""

    def __init__(self, cell):
        self.cell = cell
        self.now = 0.0
        self.running = {}
        self.ended = []
        self.n_ended = 0
        self.ran = set()
        self.n_starts = 0
        self.reading = 50.0

    def report(self):
        clock = int(self.now * 1000) + 1
        running = tuple(
            RunningTask(task, run, "c", 100, self.reading)
            for task, run in self.running.items()
        )
        report = WorkerReport(clock, 1, running, tuple(self.ended))
        self.cell.on_report("w", report, self.now, self.now)

    def record(self):
        self.cell.on_recorded(self.cell.take_batch())

    def step(self):
        self.now += 0.1
        self.report()
        self.record()
        for item in self.cell.plan(self.now, 0.0):
            order = item.order
            if isinstance(order, StartOrder):
                self.running[order.task] = order.run
                self.ran.add(order.task.submission_id)
                self.n_starts += 1
            elif isinstance(order, StopOrder) and order.task in self.running:
                run = self.running.pop(order.task)
                self.n_ended += 1
                end = EndedTask(self.n_ended, order.task, run, RunEnd.STOPPED, "c")
                self.ended.append(end)


@given(
    'a cell whose only worker runs a task "{serving}", beside which "{filler}" is heavy'
)
def step_cell(context, serving, filler):
    make_cell(context, 1, serving, filler)


@given(
    'a cell whose only worker runs {n:d} tasks "{serving}", '
    'beside which "{filler}" is heavy'
)
def step_full_cell(context, n, serving, filler):
    make_cell(context, n, serving, filler)


@given(
    'a cell whose only worker runs {n:d} tasks "{serving}", '
    'beside which "{filler}" is mild'
)
def step_mild_cell(context, n, serving, filler):
    make_cell(context, n, serving, filler, log_odds=-9.0)


def make_cell(context, n_serving, serving, filler, log_odds=5.0):
    context.interference = InterferenceModel()
    context.interference.restore({(filler, serving): log_odds})
    cell = CellScheduler("r1", 1, LeaseTimes(), 0.0, 0.0, (), context.interference)
    entry = make_view("w").entry
    cell.list_worker(entry, 0.0)
    cell.on_workers_recorded(frozenset({"w"}))
    context.worker = SingleWorkerCell(cell)
    for number in range(n_serving):
        add_submission(context, 100 + number, make_step(SERVING, serving))
    context.worker.step()


def add_submission(context, number, step, progress=None, *, inherited=False):
    submission = Submission(f"{number:016x}", QueuePolicy("q", "svc"), "s", (step,))
    now = context.worker.now
    context.worker.cell.add_submission(
        submission, progress or Progress(), now, now, inherited=inherited
    )


@when("submissions of {many:d} fillers and of {few:d} filler are starving")
def step_starve(context, many, few):
    for number, n_tasks in ((2, many), (3, few)):
        step = make_step(FILLER, "press")
        step = Step(
            n_tasks, step.demand, fills=True, saves_progress=True, image="press"
        )
        add_submission(context, number, step)


@given("its owner took the cell over, after it {lost} a worker")
def step_taken_over(context, lost):
    context.worker.cell.crashes.has_lost_worker = lost == "has lost"


@when("a filler whose earlier run may have crashed a worker is starving")
def step_suspect_starves(context):
    task = TaskKey(f"{2:016x}", 0, 0, 0)
    crashes = {task: {1: CrashEvidence.POSSIBLE}}
    progress = Progress(crashed_runs_by_task=crashes)
    add_submission(context, 2, make_step(FILLER, "press"), progress)
    context.worker.cell.submissions.by_id[task.submission_id].raise_run_floor(task, 1)


@when(
    "a filler whose earlier run may have crashed a worker is starving beside {n:d} "
    "later ones"
)
def step_suspect_beside_others(context, n):
    step_suspect_starves(context)
    for number in range(n):
        add_submission(context, 3 + number, make_step(FILLER, "press"))


@when("the worker is {state}")
def step_worker_out_of_use(context, state):
    cell = context.worker.cell
    if state == "not listed":
        cell.unlist_worker("w")
    elif state == "draining":
        entry = cell.worker_by_id["w"].entry
        cell.list_worker(replace(entry, is_draining=True), context.worker.now)
    elif state == "recovering":
        cell.worker_by_id["w"].is_recovering = True
    else:
        cell.on_hold_failed("w", context.worker.now)


@then("no other cell sends fillers to it")
def step_no_filler_headroom(context):
    assert not context.worker.cell.filler_headrooms()


@when("a filler that has moved twice is starving, and another cell seems to have room")
def step_bouncing_filler(context):
    worker = context.worker
    add_submission(context, 2, make_step(FILLER, "press"))
    tracked = worker.cell.submissions.by_id[f"{2:016x}"]
    tracked.n_moves_by_task[TaskKey(f"{2:016x}", 0, 0, 0)] = 2
    rooms = (FillerHeadroom((), 32000),)
    headroom = CellHeadroom("r2", "svc", 32000, rooms, 0, 32000, (32000,))
    while worker.now < 4.5:
        worker.step()
        worker.cell.propose_moves((headroom,), worker.now)


@when("a filler of the earlier owner is starving")
def step_inherited_starves(context):
    add_submission(context, 2, make_step(FILLER, "press"), inherited=True)


@then("it has run within 1 forced period")
def step_has_run(context):
    while context.worker.now < 5.0 + 4.5:
        context.worker.step()
    ran = {int(submission_id, 16) for submission_id in context.worker.ran}
    assert 2 in ran, ran


@then("both have run within {n:d} forced periods")
def step_both_ran(context, n):
    while context.worker.now < 5.0 + 4.5 * n:
        context.worker.step()
    ran = {int(submission_id, 16) for submission_id in context.worker.ran}
    assert {2, 3} <= ran, ran


@then("none has run after {seconds:d} seconds")
def step_none_ran(context, seconds):
    while context.worker.now < seconds:
        context.worker.step()
    ran = {int(submission_id, 16) for submission_id in context.worker.ran}
    assert not {2, 3} & ran, ran


@given(
    "a serving task with {load:f} own load and a heavy filler on a tenth of a worker"
)
def step_serving_beside_heavy(context, load):
    context.interference = InterferenceModel()
    context.interference.restore({("press", "web"): 9.0})
    context.view = make_view("w")
    add_run(context.view, 1, SERVING, "web", 30.0).own_load = load
    filler = Step(1, TaskDemand(3200, 1000), fills=True)
    context.filler = add_run(context.view, 2, filler, "press")


@then("the pace of the filler is {pace:d} percent, where 0 is a stop")
def step_paced(context, pace):
    plan = plan_paces(context.view, context.interference)
    for change in plan.changes:
        context.filler.pace = change.percent
    if plan.stops:
        context.filler.pace = 0
    assert context.filler.pace == pace, plan


@given("two tasks of one submission on two workers, one disturbed")
def step_siblings(context):
    context.views = [make_view("a"), make_view("b")]
    estimator = LoadEstimator()
    for view, reading in zip(context.views, (34.0, 900.0), strict=True):
        add_run(view, 1, SERVING, "web", reading)
        estimator.observe(view, 1.0)


@then("the own load of both is that of the undisturbed one")
def step_same_load(context):
    own_loads = [run.own_load for v in context.views for run in v.serving_runs()]
    assert own_loads == [0.5, 0.5], own_loads


@when(
    "its tail stays at {ratio:f} of its target for {seconds:d} seconds "
    "while {n:d} fillers wait"
)
def step_stays_over(context, ratio, seconds, n):
    worker = context.worker
    worker.reading = ratio * SERVING.target_latency_ms
    worker.n_starts = 0
    step = Step(n, FILLER.demand, fills=True, saves_progress=True, image="press")
    add_submission(context, 2, step)
    while worker.now < seconds:
        worker.step()


@then("at most {n:d} fillers were started and none is running")
def step_bounded_starts(context, n):
    worker = context.worker
    assert worker.n_starts <= n, worker.n_starts
    left = [task for task in worker.running if int(task.submission_id, 16) == 2]
    assert not left, left

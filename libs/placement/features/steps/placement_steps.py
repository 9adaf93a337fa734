import random

import msgspec
from behave import given, then, when

from berylcleat.model import URGENT_PRIORITY, Resources, parse_selector
from berylcleat.placement import (
    EndedTask,
    Evict,
    Place,
    PlacementView,
    QueuedTask,
    RunningTask,
    Throttle,
    WorkerLoad,
    make_colocate,
    make_first_fit,
    make_no_colocation,
)
from berylcleat.replay import Replay, make_policy, make_trace

MAKE_POLICY_BY_NAME = {
    "colocate": make_colocate,
    "first-fit": make_first_fit,
    "no-colocation": make_no_colocation,
}


def running(task_id, cores, priority=10, group="g", started_at=0.0, **fields):
    size = Resources(cores, cores)
    return RunningTask(task_id, "t", group, size, size, priority, started_at, **fields)


def queued(task_id, cores, priority=10, group="g", queued_at=0.0, placement="*"):
    size = Resources(cores, cores)
    return QueuedTask(
        task_id, "j", "t", group, size, 10.0, priority, queued_at, placement
    )


def worker(worker_id, tasks=(), reserved=0.0, **fields):
    labels = {"worker": worker_id, "rack": f"r{worker_id[-1]}"}
    reserve = Resources(reserved, reserved)
    size = Resources(32, 64)
    return WorkerLoad(worker_id, labels, size, reserve, tuple(tasks), **fields)


def view_of(workers, queue=(), now=100.0, ended=()):
    return PlacementView(
        now, {w.worker_id: w for w in workers}, tuple(queue), tuple(ended)
    )


def random_view(random_state, number):
    workers = []
    for index in range(random_state.randint(1, 6)):
        reserved = random_state.choice((0.0, 12.0))
        free = 32.0 - reserved
        tasks = []
        while free > 0 and random_state.random() < 0.8:
            cores = float(random_state.randint(1, 8))
            if cores > free:
                break
            free -= cores
            priority = random_state.choice((1, 10, URGENT_PRIORITY))
            name = f"r{number}-{index}-{len(tasks)}"
            group = random_state.choice("abc")
            tasks.append(
                running(name, cores, priority, group, random_state.random() * 90)
            )
        accepts_tasks = random_state.random() < 0.9
        workers.append(
            worker(f"w{index}", tasks, reserved, accepts_tasks=accepts_tasks)
        )
    queue = [
        queued(
            f"q{number}-{i}",
            float(random_state.randint(1, 16)),
            random_state.choice((1, 10, URGENT_PRIORITY)),
            random_state.choice("abc"),
            random_state.random() * 100,
            random_state.choice(("*", "rack=r1", "worker!=w0")),
        )
        for i in range(random_state.randint(0, 30))
    ]
    return view_of(workers, queue)


@when('{n:d} random cell views are passed to "{policy}"')
def when_views_decided(context, n, policy):
    random_state = random.Random(5)
    placement_policy = MAKE_POLICY_BY_NAME[policy]()
    context.decisions_by_view = []
    for number in range(n):
        view = random_view(random_state, number)
        context.decisions_by_view.append(
            (
                view,
                placement_policy.decide(
                    placement_policy.make_initial_state(), view
                ).decisions,
            )
        )


@then("no placement exceeds a worker's capacity less its reserve for services")
def then_capacity_respected(context):
    for view, decisions in context.decisions_by_view:
        sizes = {task.task_id: task.declared for task in view.queue}
        for worker_id, load in view.worker_by_id.items():
            used = load.reserved
            for task in load.running:
                used += task.declared
            placed = [
                d
                for d in decisions
                if isinstance(d, Place) and d.worker_id == worker_id
            ]
            for decision in placed:
                used += sizes[decision.task_id]
            assert used.fits_in(load.capacity) or not placed, (worker_id, used)
            assert load.accepts_tasks or not placed


@then("every task is placed at most once, on a worker that its selector matches")
def then_selectors_respected(context):
    for view, decisions in context.decisions_by_view:
        by_id = {task.task_id: task for task in view.queue}
        placed = [d for d in decisions if isinstance(d, Place)]
        assert len({d.task_id for d in placed}) == len(placed)
        for decision in placed:
            selector = parse_selector(by_id[decision.task_id].placement)
            assert selector.matches(view.worker_by_id[decision.worker_id].labels)


@then("only tasks below urgent priority are evicted, and only for urgent tasks")
def then_lower_priorities_evicted(context):
    for view, decisions in context.decisions_by_view:
        tasks = {t.task_id: t for w in view.worker_by_id.values() for t in w.running}
        evicted = [d for d in decisions if isinstance(d, Evict)]
        has_urgent = any(task.priority >= URGENT_PRIORITY for task in view.queue)
        assert has_urgent or not evicted
        assert all(tasks[d.task_id].priority < URGENT_PRIORITY for d in evicted)


@given("a worker with one task of 8 cores and another with eight of 1 core")
def given_two_workers(context):
    first = worker("w0", [running(f"s{i}", 1, started_at=50 + i) for i in range(8)])
    fill = [running("f0", 24, URGENT_PRIORITY)]
    first = worker("w0", [*first.running, *fill])
    second = worker("w1", [running("big", 8), running("f1", 24, URGENT_PRIORITY)])
    context.view = view_of([first, second], [queued("u", 8, URGENT_PRIORITY)])


@when("the policy decides with an urgent task of 8 cores queued")
def when_urgent_task_queued(context):
    policy = make_colocate()
    context.decisions = policy.decide(
        policy.make_initial_state(), context.view
    ).decisions


@then("one task is evicted and the urgent task waits for its capacity")
def then_one_evicted(context):
    evicted = [d.task_id for d in context.decisions if isinstance(d, Evict)]
    assert evicted == ["big"], context.decisions
    assert not any(isinstance(d, Place) for d in context.decisions)


@when("tasks of three groups fail on worker w0 and succeed elsewhere")
def when_worker_fails(context):
    context.policy = make_colocate()
    context.workers = [worker(f"w{i}") for i in range(6)]
    ends = [EndedTask(f"a{i}", "w0", f"g{i}", "failed") for i in range(3)]
    ends += [EndedTask(f"b{i}", "w1", f"g{i}", "finished") for i in range(3)]
    view = view_of(context.workers, ended=ends)
    context.state = context.policy.decide(
        context.policy.make_initial_state(), view
    ).state


@then("only w0 is suspended")
def then_only_w0_suspended(context):
    history = context.state.failure_history
    assert [
        w.worker_id for w in context.workers if history.is_suspended(w.worker_id, 100.0)
    ] == ["w0"]


@when("tasks of one group fail on every worker")
def when_group_fails(context):
    for round_number in range(4):
        ends = [
            EndedTask(f"c{round_number}-{i}", f"w{i}", "cursed", "failed")
            for i in range(1, 6)
        ]
        view = view_of(context.workers, ended=ends)
        context.state = context.policy.decide(context.state, view).state


@then("no further worker is suspended")
def then_no_further_suspended(context):
    then_only_w0_suspended(context)


@when("a service slows down, slows down more, then recovers")
def when_service_slows_down(context):
    policy, context.timed_decisions = make_colocate(), []
    state, throttled = policy.make_initial_state(), set()
    tasks = ["a", "b", "c"]
    slowdowns = [1.3] * 10 + [1.8] * 60 + [1.0] * 60
    for second, slowdown in enumerate(slowdowns):
        now = 100.0 + second
        load = worker(
            "w0",
            [running(t, 4, is_throttled=t in throttled) for t in tasks],
            12.0,
            service_slowdown=slowdown,
            service_cores_used=6.0,
            reported_at=now,
        )
        step = policy.decide(state, view_of([load], now=now))
        state = step.state
        for decision in step.decisions:
            context.timed_decisions.append((second, decision))
            if isinstance(decision, Throttle):
                (throttled.add if decision.is_on else throttled.discard)(
                    decision.task_id
                )
            if isinstance(decision, Evict):
                tasks.remove(decision.task_id)


@then("its tasks are throttled, one is evicted, then the rest unthrottled one by one")
def then_throttled_then_evicted(context):
    on = [s for s, d in context.timed_decisions if isinstance(d, Throttle) and d.is_on]
    evicted = [s for s, d in context.timed_decisions if isinstance(d, Evict)]
    off = [
        s for s, d in context.timed_decisions if isinstance(d, Throttle) and not d.is_on
    ]
    assert on and max(on) < min(evicted) and max(evicted) < min(off)
    assert len(evicted) == 1 and evicted[0] >= 30
    assert off[0] >= 70 + 20 and all(
        b - a >= 20 for a, b in zip(off, off[1:], strict=False)
    )


@when('reports show that group "noisy" slows services and "quiet" does not')
def when_interference_reported(context):
    policy = make_colocate()
    state = policy.make_initial_state()
    for second in range(200):
        now = 100.0 + second
        noisy = running("n", 4, group="noisy", is_throttled=True)
        quiet = running("q", 4, group="quiet")
        loads = [
            worker(
                "w0",
                [noisy],
                12.0,
                service_slowdown=1.09,
                service_cores_used=9.0,
                reported_at=now,
            ),
            worker(
                "w1",
                [quiet],
                12.0,
                service_slowdown=1.0,
                service_cores_used=9.0,
                reported_at=now,
            ),
        ]
        state = policy.decide(state, view_of(loads, now=now)).state
    queue = [
        queued(f"{g}-{i}", 2, group=g) for g in ("noisy", "quiet") for i in range(10)
    ]
    fresh = [worker(f"w{i}", (), 12.0, reported_at=400.0) for i in range(4)]
    step = policy.decide(state, view_of(fresh, queue, now=400.0))
    placed = [d.task_id.split("-")[0] for d in step.decisions if isinstance(d, Place)]
    context.counts = {g: placed.count(g) for g in ("noisy", "quiet")}


@then('more tasks of "quiet" than of "noisy" are placed beside services')
def then_harmless_group_preferred(context):
    assert context.counts["quiet"] == 10, context.counts
    assert context.counts["noisy"] <= 4, context.counts


@when("a task of 30 cores has waited for 61 s behind many of 1 core")
def when_large_task_starves(context):
    policy = make_colocate()
    loads = [worker(f"w{i}", [running(f"r{i}", 8)]) for i in range(2)]
    large = queued("large", 30, queued_at=39.0)
    small = [queued(f"s{i}", 1, queued_at=90.0) for i in range(40)]
    view = view_of(loads, [large, *small], now=100.0)
    context.decisions = policy.decide(policy.make_initial_state(), view).decisions


@then("no small task is placed on the worker that is held for it")
def then_worker_held(context):
    used = {d.worker_id for d in context.decisions if isinstance(d, Place)}
    assert len(used) == 1, used


@when('"{kind}" with seed {seed:d} is replayed for 600 s under "{policy}"')
def when_replayed(context, kind, seed, policy):
    trace = make_trace(kind, seed)
    header = msgspec.structs.replace(trace.header, horizon_s=600)
    trace = msgspec.structs.replace(trace, header=header)
    outcomes = Replay(trace, make_policy(policy, trace), seed).run()
    context.report = outcomes.report(policy, kind, seed)


@then("it has no violations and urgent tasks started within 7.5 s")
def then_no_violations(context):
    assert context.report.violations == (), context.report
    assert context.report.urgent_start_p99_s <= 7.5, context.report
    assert context.report.n_urgent_never_started == 0, context.report

import random

from behave import then, when

from berylcleat.model import Resources, WorkerSpec
from berylcleat.routing import (
    MAX_ATTEMPTS,
    NOT_RUN_RESULTS,
    AttemptResult,
    KeyDecision,
    KeyRow,
    KeyState,
    ListedUpstream,
    NextStep,
    RequestClass,
    RetryBudget,
    Router,
    WaitingRoom,
    decide_key,
    next_step,
)

RESULTS = list(AttemptResult)
N_SLOTS = 8


def make_router(seed=1, n_entry_hosts=2):
    specs = [
        WorkerSpec(f"w{i}", f"dc{i % 2}", f"r{i % 4}", "", f"a{i}", Resources(1, 1))
        for i in range(8)
    ]
    router = Router("dc0", N_SLOTS, random.Random(seed))
    router.update([ListedUpstream(spec, False) for spec in specs], n_entry_hosts)
    return router


@then("next_step follows the rule for every result and class")
def then_rule(context):
    unsure = set(RESULTS) - NOT_RUN_RESULTS - {AttemptResult.ANSWERED}
    for result in RESULTS:
        for n_attempts in range(1, MAX_ATTEMPTS + 1):
            once = next_step(RequestClass(False, 1, 1.0), result, n_attempts)
            again = next_step(RequestClass(True, 1, 1.0), result, n_attempts)
            if result in unsure:
                assert once in (NextStep.ANSWER, NextStep.REPORT_UNKNOWN)
                assert again is not NextStep.TRY_AGAIN
                assert again is not NextStep.REFUSE
            if result in NOT_RUN_RESULTS:
                assert once in (NextStep.TRY_AGAIN, NextStep.REFUSE)


@when(
    "{n:d} random sequences of {length:d} results are played on a router of 8 upstreams"
)
def when_sequences(context, n, length):
    context.over_limit = context.over_ejected = context.left_over = 0
    for seed in range(n):
        play_sequence(context, random.Random(seed), length)


def play_sequence(context, random_state, length):
    router = make_router(random_state.random())
    now = 0.0
    in_flight = []
    for _ in range(length):
        now += random_state.random() * 0.2
        upstream = router.choose(now)
        if upstream and random_state.random() < 0.6:
            router.begin(upstream.worker_id)
            in_flight.append(upstream.worker_id)
        elif in_flight:
            worker_id = in_flight.pop(random_state.randrange(len(in_flight)))
            router.finish(worker_id, random_state.choice(RESULTS), 0.02, now)
        check(context, router, now)
    for worker_id in in_flight:
        router.finish(worker_id, AttemptResult.ANSWERED, 0.02, now)
    context.left_over += sum(u.n_in_flight for u in router.upstream_by_id.values())


def check(context, router, now):
    upstreams = router.upstream_by_id.values()
    context.over_limit += sum(u.n_in_flight > N_SLOTS for u in upstreams)
    context.over_limit += sum(not 1.0 <= u.limit <= N_SLOTS for u in upstreams)
    context.over_ejected += sum(u.is_ejected(now) for u in upstreams) > 4


@then("in flight never passes the limit nor the slots")
def then_limit(context):
    assert context.over_limit == 0


@then("never more than half of the upstreams are ejected")
def then_floor(context):
    assert context.over_ejected == 0


@then("every count returns to nothing when all attempts have ended")
def then_counts(context):
    assert context.left_over == 0


@when("{n:d} requests each want {k:d} retries")
def when_retries(context, n, k):
    budget = RetryBudget()
    context.n_retries = 0
    for _ in range(n):
        budget = budget.earn()
        for _ in range(k):
            spent = budget.spend()
            context.n_retries += spent is not None
            budget = spent or budget


@then("at most {n:d} retries are given")
def then_retries(context, n):
    assert context.n_retries <= n, context.n_retries


@then("a higher priority goes first and the lowest is shed when full")
def then_priority(context):
    room = WaitingRoom(3)
    for priority in (5, 1, 3):
        room.admit(RequestClass(True, priority, 100.0), 0.0, 0.01, 8)
    refused, _ = room.admit(RequestClass(True, 1, 100.0), 0.0, 0.01, 8)
    assert not refused.is_admitted
    admitted, _ = room.admit(RequestClass(True, 4, 100.0), 0.0, 0.01, 8)
    assert admitted.is_admitted and admitted.shed_waiter_id == 2
    order = [room.pop().request.priority for _ in range(3)]
    assert order == [5, 4, 3], order
    assert room.pop() is None and len(room) == 0


@then("a request that could not be answered in time is refused at once")
def then_deadline(context):
    room = WaitingRoom(10)
    late, _ = room.admit(RequestClass(True, 9, 0.05), 0.0, 0.05, 1)
    assert not late.is_admitted


@then("decide_key allows a claim only for absent and released keys")
def then_keys(context):
    assert decide_key(None, "d") is KeyDecision.CLAIM
    for state in KeyState:
        decision = decide_key(KeyRow(state, "host", "d"), "d")
        assert (decision is KeyDecision.CLAIM) == (state is KeyState.RELEASED)
        assert decide_key(KeyRow(state, "host", "d"), "x") is KeyDecision.MISMATCH
    kept = KeyRow(KeyState.DONE, "host", "d", has_body=False)
    assert decide_key(kept, "d") is KeyDecision.UNKNOWN


@when("an upstream fails everything, and its pause ends")
def when_ejected(context):
    router = make_router()
    for _ in range(5):
        router.begin("w0")
        router.finish("w0", AttemptResult.LOST, 0.1, 0.0)
    context.upstream = router.upstream_by_id["w0"]


@then("it gets a growing share of its limit")
def then_ramp(context):
    upstream = context.upstream
    assert upstream.is_ejected(0.0)
    back = upstream.ejected_until
    rooms = [upstream.room(back + s) for s in (0.0, 2.5, 5.0)]
    assert rooms == sorted(rooms) and rooms[0] == 1.0 and rooms[2] == upstream.limit

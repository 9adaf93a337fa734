import random

from behave import then, when

from berylcleat.model import Resources, WorkerSpec
from berylcleat.routing import (
    MAX_ATTEMPTS,
    NOT_RUN_RESULTS,
    AdmissionQueue,
    AttemptResult,
    KeyDecision,
    KeyRow,
    KeyState,
    ListedUpstream,
    NextStep,
    RequestOptions,
    RetryBudget,
    Router,
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


@then("next_step follows the retry rule for every result, attempt and idempotency")
def then_retry_rule(context):
    may_have_run = set(RESULTS) - NOT_RUN_RESULTS - {AttemptResult.ANSWERED}
    for result in RESULTS:
        for n_attempts in range(1, MAX_ATTEMPTS + 1):
            not_idempotent = next_step(
                RequestOptions(False, 1, 1.0), result, n_attempts
            )
            idempotent = next_step(RequestOptions(True, 1, 1.0), result, n_attempts)
            if result in may_have_run:
                assert not_idempotent in (NextStep.ANSWER, NextStep.REPORT_UNKNOWN)
                assert idempotent is not NextStep.TRY_AGAIN
                assert idempotent is not NextStep.REFUSE
            if result in NOT_RUN_RESULTS:
                assert not_idempotent in (NextStep.TRY_AGAIN, NextStep.REFUSE)


@when("{n:d} random sequences of {length:d} results are applied to 8 upstreams")
def when_results_applied(context, n, length):
    context.n_over_limit = context.n_over_ejected = context.n_left_in_flight = 0
    for seed in range(n):
        apply_random_results(context, random.Random(seed), length)


def apply_random_results(context, random_state, length):
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
        count_violations(context, router, now)
    for worker_id in in_flight:
        router.finish(worker_id, AttemptResult.ANSWERED, 0.02, now)
    context.n_left_in_flight += sum(
        u.n_in_flight for u in router.upstream_by_id.values()
    )


def count_violations(context, router, now):
    upstreams = router.upstream_by_id.values()
    context.n_over_limit += sum(u.n_in_flight > N_SLOTS for u in upstreams)
    context.n_over_limit += sum(not 1.0 <= u.limit <= N_SLOTS for u in upstreams)
    context.n_over_ejected += sum(u.is_ejected(now) for u in upstreams) > 4


@then("no upstream exceeds its slots, and every limit stays from 1 to the slots")
def then_limits_respected(context):
    assert context.n_over_limit == 0


@then("never more than half of the upstreams are ejected")
def then_ejections_bounded(context):
    assert context.n_over_ejected == 0


@then("no request is in flight when all attempts have ended")
def then_none_in_flight(context):
    assert context.n_left_in_flight == 0


@when("{n:d} requests each ask for {k:d} retries")
def when_retries(context, n, k):
    budget = RetryBudget()
    context.n_retries = 0
    for _ in range(n):
        budget = budget.deposit()
        for _ in range(k):
            withdrawn = budget.withdraw()
            context.n_retries += withdrawn is not None
            budget = withdrawn or budget


@then("at most {n:d} retries are allowed")
def then_retries_bounded(context, n):
    assert context.n_retries <= n, context.n_retries


@then("requests leave by priority, and a full queue sheds the lowest")
def then_served_by_priority(context):
    queue = AdmissionQueue(3)
    for priority in (5, 1, 3):
        queue.admit(RequestOptions(True, priority, 100.0), 0.0, 0.01, 8)
    refused, _ = queue.admit(RequestOptions(True, 1, 100.0), 0.0, 0.01, 8)
    assert not refused.is_admitted
    admitted, _ = queue.admit(RequestOptions(True, 4, 100.0), 0.0, 0.01, 8)
    assert admitted.is_admitted and admitted.shed_waiter_id == 2
    order = [queue.pop().options.priority for _ in range(3)]
    assert order == [5, 4, 3], order
    assert queue.pop() is None and len(queue) == 0


@then("a request that would miss its deadline is rejected at once")
def then_late_request_rejected(context):
    queue = AdmissionQueue(10)
    late, _ = queue.admit(RequestOptions(True, 9, 0.05), 0.0, 0.05, 1)
    assert not late.is_admitted


@then("decide_key allows a claim only for absent and released keys")
def then_claims(context):
    assert decide_key(None, "d") is KeyDecision.CLAIM
    for state in KeyState:
        decision = decide_key(KeyRow(state, "host", "d"), "d")
        assert (decision is KeyDecision.CLAIM) == (state is KeyState.RELEASED)
        assert decide_key(KeyRow(state, "host", "d"), "x") is KeyDecision.MISMATCH
    without_body = KeyRow(KeyState.DONE, "host", "d", has_body=False)
    assert decide_key(without_body, "d") is KeyDecision.UNKNOWN


@when("an upstream fails repeatedly and its ejection ends")
def when_ejected(context):
    router = make_router()
    for _ in range(5):
        router.begin("w0")
        router.finish("w0", AttemptResult.LOST, 0.1, 0.0)
    context.upstream = router.upstream_by_id["w0"]


@then("its usable share of the limit grows back")
def then_slow_start(context):
    upstream = context.upstream
    assert upstream.is_ejected(0.0)
    ejection_end = upstream.ejected_until
    capacities = [upstream.free_capacity(ejection_end + s) for s in (0.0, 2.5, 5.0)]
    assert (
        capacities == sorted(capacities)
        and capacities[0] == 1.0
        and capacities[2] == upstream.limit
    )

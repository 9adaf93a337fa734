from behave import given, then, when

from berylcleat.host._store_reachability import StoreReachability

N_COMMITS = 10


def commit(context, started_at, seconds):
    number = context.reachability.on_call(started_at)
    context.reachability.on_answer(number, started_at + seconds, is_commit=True)


@given("a host whose commits take {seconds:f} s")
def step_host(context, seconds):
    context.reachability = StoreReachability()
    for second in range(N_COMMITS):
        commit(context, float(second), seconds)


@given("commits that take {seconds:f} s from {start:f} on")
def step_slow_commits(context, seconds, start):
    for second in range(N_COMMITS):
        commit(context, start + second, seconds)


@when("a read is sent at {now:f}")
def step_read(context, now):
    context.number = context.reachability.on_call(now)


@when("a long poll of {wait_s:f} s is sent at {now:f}")
def step_poll(context, wait_s, now):
    context.number = context.reachability.on_call(now, wait_s)


@when("the read is answered at {now:f}")
def step_answered(context, now):
    context.reachability.on_answer(context.number, now)


@when("the read fails at {now:f}")
def step_failed(context, now):
    context.reachability.on_failure(context.number, now)


@when("the read is cancelled at {now:f}")
def step_cancelled(context, now):
    context.reachability.on_cancelled(context.number)


@when("another call is sent at {sent_at:f} and answered at {now:f}")
def step_other_answered(context, sent_at, now):
    context.reachability.on_answer(context.reachability.on_call(sent_at), now)


@when("another call is sent at {sent_at:f} and rejected at {now:f}")
def step_other_rejected(context, sent_at, now):
    context.reachability.on_failure(context.reachability.on_call(sent_at), now)


@then("the store is {state} at {now:f}")
def step_state(context, state, now):
    expected = {"reachable": True, "unreachable": False}[state]
    assert context.reachability.is_reachable(now) is expected

"""Steps on readings of the store's clock."""

from behave import given, then, when

from berylcleat.host._store_clock import StoreClock, shown_by

# Time of the reading host, in seconds.
READ_AT_S = 100.0
# Milliseconds by which a reckoned reading may differ through rounding.
TOLERANCE_MS = 1.0


@given(
    "an earlier owner whose last heartbeat tells that the store's clock showed "
    "{sent_ms:d} ms"
)
def step_heartbeat(context, sent_ms):
    context.sent_ms = sent_ms


@when("a host that knows no versions reads it {seconds:g} s later")
def step_read_later(context, seconds):
    store_ms = context.sent_ms + seconds * 1000
    context.sent_by = shown_by(context.sent_ms, store_ms, READ_AT_S)


@when("a host that knows no versions reads it and the clock shows {shown} ms")
def step_read_shown(context, shown):
    store_ms = None if shown == "no" else float(shown)
    context.sent_by = shown_by(context.sent_ms, store_ms, READ_AT_S)


@then("the heartbeat counts as sent {seconds:f} s before that")
def step_sent(context, seconds):
    assert abs(READ_AT_S - context.sent_by - seconds) < 0.01, context.sent_by


def observe(context, readings, times):
    context.clock = StoreClock()
    for reading, span in zip(readings.split(","), times.split(","), strict=True):
        requested_at, received_at = map(float, span.split("-"))
        context.clock.observe(float(reading), requested_at, received_at)


@when("answers tell {readings} ms, asked for and received at {times} s")
def step_answers(context, readings, times):
    observe(context, readings, times)


@when("answers tell  ms, asked for and received at  s")
def step_no_answers(context):
    context.clock = StoreClock()


@then("the clock is reckoned to show at most {latest_ms:d} ms at {at:d} s")
def step_latest(context, latest_ms, at):
    shown_ms = context.clock.latest_ms(at)
    assert abs(shown_ms - latest_ms) < TOLERANCE_MS, shown_ms

import logging
import os

from behave import given, then, when

from berylcleat.telemetry import RateLimitedHandler


@given("a pipe that {_}")
def step_pipe(context, _):
    context.read_descriptor, context.write_descriptor = os.pipe()


def emit_lines(context, n, **limits):
    context.handler = RateLimitedHandler(context.write_descriptor, **limits)
    for number in range(n):
        line = f"line {number} {'x' * 200}"
        record = logging.LogRecord("t", logging.INFO, "", 0, line, (), None)
        context.handler.emit(record)


@when("{n:d} lines are logged to it")
def step_log(context, n):
    emit_lines(context, n, max_lines_per_s=10_000)


@when("{n:d} lines are logged to it with a limit of {limit:d} per second")
def step_log_limited(context, n, limit):
    emit_lines(context, n, max_lines_per_s=limit)


@then("logging did not block and the dropped lines were counted")
def step_dropped(context):
    assert context.handler.n_dropped > 1000, context.handler.n_dropped


@then("at most {n:d} lines were written")
def step_written(context, n):
    os.close(context.write_descriptor)
    with os.fdopen(context.read_descriptor, "rb") as reader:
        lines = reader.read().splitlines()
    assert 1 <= len(lines) <= n, len(lines)

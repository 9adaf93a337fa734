import logging
import os

from behave import given, then, when

from berylcleat.telemetry import BoundedHandler


@given("a pipe that {_}")
def step_pipe(context, _):
    context.reader, context.writer = os.pipe()


def log(context, n, **bounds):
    context.handler = BoundedHandler(context.writer, **bounds)
    for number in range(n):
        line = f"line {number} {'x' * 200}"
        record = logging.LogRecord("t", logging.INFO, "", 0, line, (), None)
        context.handler.emit(record)


@when("{n:d} lines are logged to it")
def step_log(context, n):
    log(context, n, max_lines_per_s=10_000)


@when("{n:d} lines are logged to it with a bound of {bound:d} a second")
def step_log_bound(context, n, bound):
    log(context, n, max_lines_per_s=bound)


@then("the process went on and counted the lines that were dropped")
def step_dropped(context):
    assert context.handler.n_dropped > 1000, context.handler.n_dropped


@then("at most {n:d} lines were written")
def step_written(context, n):
    os.close(context.writer)
    with os.fdopen(context.reader, "rb") as reader:
        lines = reader.read().splitlines()
    assert 1 <= len(lines) <= n, len(lines)

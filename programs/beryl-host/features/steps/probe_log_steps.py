import logging
from dataclasses import replace

from behave import given, then, when
from host_parts import CELL, LogCollector, make_worker_entry

from berylcleat.host._probe_log import ProbeLog
from berylcleat.http import ExchangeFailure
from berylcleat.ports import OrderAnswer, OrderResult, WorkerReport
from berylcleat.scheduling import CellScheduler, InterferenceModel, LeaseTimes

FAILURES = {failure.value: failure for failure in ExchangeFailure}


@given("an owner of a cell with {n:d} worker, which has reported")
@given("an owner of a cell with {n:d} workers, which have reported")
def step_owner(context, n):
    context.scheduler = CellScheduler(
        CELL, 1, LeaseTimes(), 0.0, 0.0, (), InterferenceModel()
    )
    for number in range(n):
        context.scheduler.list_worker(make_worker_entry(f"w{number}"), 0.0)
    context.log = ProbeLog()
    context.now = 9.0
    step_report(context)
    context.now = 11.0


@when("the workers report")
def step_report(context):
    context.now += 1.0
    for worker_id in context.scheduler.worker_by_id:
        report = WorkerReport(int(context.now * 1000), 1, (), ())
        context.scheduler.on_report(worker_id, report, context.now, context.now)


@when("the workers drain and are no longer listed, with leases for {seconds:d} s")
def step_drain(context, seconds):
    for worker_id, view in context.scheduler.worker_by_id.items():
        context.scheduler.unlist_worker(worker_id)
        view.entry = replace(view.entry, is_draining=True)
        view.clock.extend_lease(view.clock.clock_ms + seconds * 1000)


def make_answer(kind):
    failure = FAILURES.get(kind)
    if failure is None:
        return OrderAnswer(OrderResult(kind))
    return OrderAnswer(OrderResult.NO_ANSWER, failure=failure)


def fail_all(context, kind):
    for worker_id in context.scheduler.worker_by_id:
        context.scheduler.on_hold_failed(worker_id, context.now)
        answer = make_answer(kind)
        context.log.on_failure(context.scheduler, worker_id, answer, context.now)


def fail(context, n_holds, kind, n_lines, text=""):
    with LogCollector(logging.INFO) as collector:
        for _ in range(n_holds):
            fail_all(context, kind)
    lines = [line for line in collector.messages if "hold failed: " in line]
    assert len(lines) == n_lines, lines
    assert all(text in line for line in lines), lines


@then('{n:d} holds that fail as "{kind}" log 1 line with "{text}"')
@then('{n:d} hold that fails as "{kind}" logs 1 line with "{text}"')
def step_line(context, n, kind, text):
    fail(context, n, kind, 1, text)


@then('{n:d} holds that fail as "{kind}" log {n_lines:d} lines')
@then('{n:d} hold that fails as "{kind}" logs {n_lines:d} lines')
def step_lines(context, n, kind, n_lines):
    fail(context, n, kind, n_lines)


@then('{n:d} hold that fails as "{kind}" logs {n_lines:d} lines a second later')
def step_lines_later(context, n, kind, n_lines):
    context.now += 1.0
    fail(context, n, kind, n_lines)


@when("1 hold of each fails, {n:d} workers are forgotten, and the other fails anew")
def step_forget(context, n):
    fail_all(context, "timed-out")
    for worker_id in list(context.scheduler.worker_by_id)[:n]:
        del context.scheduler.worker_by_id[worker_id]
    fail_all(context, "connect-refused")


@then("the log remembers {n:d} worker")
def step_remembered(context, n):
    assert len(context.log._logged_by_worker) == n

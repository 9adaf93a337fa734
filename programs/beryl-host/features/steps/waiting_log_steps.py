import logging
from types import SimpleNamespace

from behave import given, then, when

from berylcleat.host._waiting_log import WaitingLog
from berylcleat.model import QueuePolicy, Step, Submission, TaskDemand
from berylcleat.scheduling import (
    Progress,
    StepWait,
    SubmissionRegistry,
    WaitReason,
)

STEP = Step(1, TaskDemand(4000, 100), estimate_s=1.0)


class FakeScheduler:
    """Scheduler of a cell whose steps wait for what the test says."""

    cell_id = "c1"

    def __init__(self):
        self.submissions = SubmissionRegistry()
        self.reason_by_id = {}

    def add(self, submission_id, reason):
        submission = Submission(submission_id, QueuePolicy("q", "svc"), "s", (STEP,))
        tracked = self.submissions.add(submission, Progress(), 0.0)
        tracked.activate_due_steps(0.0)
        self.reason_by_id[submission_id] = reason

    def explain_step_wait(self, ready, now):
        return StepWait(self.reason_by_id[ready.tracked.submission.submission_id])


@given('{n:d} steps that wait for "{reason}"')
def step_waiting(context, n, reason):
    context.scheduler = FakeScheduler()
    context.log = WaitingLog()
    for number in range(n):
        context.scheduler.add(f"{number:04x}", WaitReason(reason))


@when('one of the steps waits for "{reason}"')
def step_changes(context, reason):
    context.scheduler.reason_by_id["0001"] = WaitReason(reason)


@when("none of the steps waits, and then all do again")
def step_not_waiting(context):
    empty = SimpleNamespace(submissions=SubmissionRegistry(), cell_id="c1")
    assert count_lines(context.log, empty) == 0


@then("an update logs {n:d} line")
@then("an update logs {n:d} lines")
def step_lines(context, n):
    assert count_lines(context.log, context.scheduler) == n


def count_lines(log, scheduler):
    lines = []
    handler = logging.Handler()
    handler.emit = lambda record: lines.append(record.getMessage())
    logger = logging.getLogger("berylcleat.host._waiting_log")
    level = logger.level
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    log.update(scheduler, 1.0)
    logger.removeHandler(handler)
    logger.setLevel(level)
    assert all(line.startswith("step waits: ") for line in lines), lines
    return len(lines)

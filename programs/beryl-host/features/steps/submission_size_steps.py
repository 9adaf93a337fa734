import asyncio
import gc
import tracemalloc
from types import SimpleNamespace

import msgspec
from admission_steps import SUBMISSION_ID, make_submission
from behave import given, then, when

from berylcleat.host._clock import now_s
from berylcleat.host._settings import MAX_ROW_BYTES
from berylcleat.http import DEFAULT_BUDGET_BYTES
from berylcleat.model import Step, TaskDemand

# Longer than the submissions take to be decoded while memory is traced.
DEADLINE_S = 60.0


def make_body(n_steps, spec=""):
    return msgspec.json.encode({"spec": spec, "steps": [{"count": 1}] * n_steps})


async def submit(context, body, submission_id=SUBMISSION_ID):
    policy = make_submission().queue
    ingress = SimpleNamespace(
        submission_id=submission_id, queue=SimpleNamespace(policy=policy)
    )
    return await context.api._submit(ingress, body, now_s() + DEADLINE_S)


def send_body(context, body):
    n_before = context.memory.n_commits
    context.response = context.run(submit(context, body))
    context.n_commits = context.memory.n_commits - n_before


@when("a body of {n:d} steps arrives")
def step_arrives(context, n):
    send_body(context, make_body(n))


@when(
    "a body arrives whose steps and specification have {excess:d} bytes more than a row"
)
def step_excess(context, excess):
    n_step_bytes = len(msgspec.json.encode(Step(1, TaskDemand())))
    n_steps = MAX_ROW_BYTES // n_step_bytes
    n_spec = MAX_ROW_BYTES - n_steps * n_step_bytes + excess
    send_body(context, make_body(n_steps, "s" * n_spec))


@then("it is answered {status:d} after {n:d} commits")
def step_answered(context, status, n):
    assert context.response.status == status, context.response
    assert context.n_commits == n, context.n_commits


@given("a store that doesn't answer")
def step_silent(context):
    context.memory.before_commit = asyncio.Event().wait


@when("{n:d} bodies of {n_steps:d} steps arrive at once")
def step_at_once(context, n, n_steps):
    body = make_body(n_steps)

    async def measure():
        tracemalloc.start()
        try:
            tasks = [
                asyncio.create_task(submit(context, body, f"{number:016x}"))
                for number in range(n)
            ]
            await asyncio.sleep(0.1)
            gc.collect()
            context.n_held = tracemalloc.get_traced_memory()[0]
        finally:
            tracemalloc.stop()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    context.run(measure())


@then("they hold less than the bytes that all requests may hold")
def step_held(context):
    assert context.n_held < DEFAULT_BUDGET_BYTES, context.n_held

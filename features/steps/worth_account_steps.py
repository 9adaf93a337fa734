import sys
from pathlib import Path

from behave import given, then

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "tools"))

from wait_account import WaitAccount  # noqa: E402


@given(
    "the messages of a submission accepted at {accepted_at:g} s, due at {due_at:g} s"
)
def step_messages(context, accepted_at, due_at):
    context.account = WaitAccount()
    n_tasks = len({row["message"].split()[3] for row in context.table})
    context.account.read(
        accepted_at,
        f"submission ab: answered 200, queue q, cell c1, 1 steps, {n_tasks} tasks, "
        "after 0.20 s",
    )
    for row in context.table:
        context.account.read(float(row["at"]), row["message"])
    context.submission = context.account.submission_by_id["ab"]
    assert abs(context.submission.due_at - due_at) < 1e-6, context.submission.due_at


@then("it is {outcome}")
def step_outcome(context, outcome):
    found = context.account.outcome_of(context.submission)
    assert found == outcome, found


@then("its seconds by cause are")
def step_seconds(context):
    seconds = context.account.seconds_by_cause(context.submission)
    found = {cause: round(s, 3) for cause, s in seconds.items() if s > 1e-6}
    expected = {row["cause"]: float(row["seconds"]) for row in context.table}
    assert found == expected, found

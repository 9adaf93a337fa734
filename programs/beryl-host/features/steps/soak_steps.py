import shutil

from behave import then, when
from soak import Soak


@when("a soak test of {seconds:d} seconds runs with seed {seed:d}")
def step_soak(context, seconds, seed):
    context.soak = Soak(seed, seconds)
    context.violations = context.run(context.soak.run())


@when("a soak test with drains of {seconds:d} seconds runs with seed {seed:d}")
def step_soak_with_drains(context, seconds, seed):
    context.soak = Soak(seed, seconds, has_drains=True)
    context.violations = context.run(context.soak.run())


@when(
    "a soak test with hosts and workers that never return, of {seconds:d} seconds, runs"
    " with seed {seed:d}"
)
def step_soak_with_gone(context, seconds, seed):
    context.soak = Soak(seed, seconds, has_gone=True)
    context.violations = context.run(context.soak.run())


@then(
    "no task ran twice, none was lost, and no long-running one waited for over"
    " 10 s after the last fault"
)
@then("no task ran twice, no accepted submission was lost, no refused one ran")
def step_no_violations(context):
    folder = context.soak.group.folder
    assert not context.violations, (folder, context.violations)
    shutil.rmtree(folder, ignore_errors=True)

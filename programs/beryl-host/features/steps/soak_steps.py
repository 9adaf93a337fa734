import shutil

from behave import then, when
from soak import Soak


@when("a soak of {seconds:d} seconds is played with seed {seed:d}")
def step_soak(context, seconds, seed):
    context.soak = Soak(seed, seconds)
    context.broken = context.run(context.soak.run())


@then("no task ran twice, no accepted submission was lost, no refused one ran")
def step_kept(context):
    folder = context.soak.group.folder
    assert not context.broken, (folder, context.broken)
    shutil.rmtree(folder, ignore_errors=True)

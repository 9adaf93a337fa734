"""Stop the host processes of each scenario; keep their logs if it failed."""

import asyncio
import shutil


def before_all(context):
    context.loop = asyncio.new_event_loop()
    context.run = context.loop.run_until_complete


def before_scenario(context, scenario):
    context.group = None


def after_scenario(context, scenario):
    if context.group is None:
        return
    context.group.stop()
    if scenario.status == "passed":
        shutil.rmtree(context.group.folder, ignore_errors=True)
    else:
        print(f"logs of {scenario.name} are kept in {context.group.folder}")


def after_all(context):
    context.loop.close()

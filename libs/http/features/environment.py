"""Stop the server process of each scenario."""

import asyncio


def before_all(context):
    context.loop = asyncio.new_event_loop()
    context.run = context.loop.run_until_complete


def before_scenario(context, scenario):
    context.process = None


def after_scenario(context, scenario):
    if context.process is not None:
        context.process.kill()
        context.process.wait()


def after_all(context):
    context.loop.close()

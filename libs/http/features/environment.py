"""Stop the server process and the tasks of each scenario."""

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
    context.run(cancel_tasks())


async def cancel_tasks():
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def after_all(context):
    context.loop.close()

"""Stop the host processes of each scenario; show and keep their logs if it failed."""

import asyncio
import shutil

# Characters of each process's log that a failed scenario shows.
MAX_LOG_CHARS = 1500


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
        for path in sorted(context.group.folder.glob("*.log")):
            text = path.read_text(encoding="utf-8", errors="replace")
            print(f"-- end of {path.name}\n{text[-MAX_LOG_CHARS:]}")


def after_all(context):
    context.loop.close()

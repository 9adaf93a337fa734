"""Entry points of the stand-ins' commands."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from berylcleat.model import load_settings
from berylcleat.runtime import run_process

from ._platform import PlatformSettings, serve_platform
from ._rack import RackSettings, serve_rack
from ._task_platform import TaskPlatformSettings, serve_task_platform


@dataclass
class StandinArguments:
    """Command line of a stand-in: start it from its settings file."""

    settings: Annotated[Path, cappa.Arg(long=True, help="settings file")]


def platform_main() -> None:
    """Start the stand-in for the platform."""
    arguments = cappa.parse(StandinArguments)

    async def serve(stop) -> None:
        await serve_platform(load_settings(arguments.settings, PlatformSettings), stop)

    run_process("standin-platform", serve)


def rack_main() -> None:
    """Start the stand-in for a rack of workers."""
    arguments = cappa.parse(StandinArguments)

    async def serve(stop) -> None:
        await serve_rack(load_settings(arguments.settings, RackSettings), stop)

    run_process("standin-rack", serve)


def task_platform_main() -> None:
    """Start the stand-in for the users' platform and its workers."""
    arguments = cappa.parse(StandinArguments)

    async def serve(stop) -> None:
        settings = load_settings(arguments.settings, TaskPlatformSettings)
        await serve_task_platform(settings, stop)

    run_process("standin-task-platform", serve)

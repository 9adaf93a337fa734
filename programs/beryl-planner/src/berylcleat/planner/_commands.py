"""Command line of the planner process."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from berylcleat.model import load_settings
from berylcleat.runtime import VERSION, run_process

from ._process import serve_planner
from ._settings import PlannerSettings, check_planner_settings


@cappa.command(name="beryl-planner")
@dataclass
class PlannerArguments:
    """Own cells of this host's data centre and place tasks on their workers."""

    settings: Annotated[
        Path, cappa.Arg(long=True, help="settings file, JSON with comments")
    ]


def main() -> None:
    """Start the planner process."""
    arguments = cappa.parse(PlannerArguments, version=VERSION)

    async def serve(stop) -> None:
        settings = load_settings(arguments.settings, PlannerSettings)
        check_planner_settings(settings)
        await serve_planner(settings, stop)

    run_process("beryl-planner", serve)

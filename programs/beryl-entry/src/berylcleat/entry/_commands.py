"""Command line of the entry process."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from berylcleat.model import load_settings
from berylcleat.runtime import VERSION, run_process

from ._process import serve_entry
from ._settings import EntrySettings, check_entry_settings


@cappa.command(name="beryl-entry")
@dataclass
class EntryArguments:
    """Forward callers' requests to the upstreams of services."""

    settings: Annotated[
        Path, cappa.Arg(long=True, help="settings file, JSON with comments")
    ]


def main() -> None:
    """Parse the command line and run the entry process."""
    arguments = cappa.parse(EntryArguments, version=VERSION)

    async def serve(stop) -> None:
        settings = load_settings(arguments.settings, EntrySettings)
        check_entry_settings(settings)
        await serve_entry(settings, stop)

    run_process("beryl-entry", serve)

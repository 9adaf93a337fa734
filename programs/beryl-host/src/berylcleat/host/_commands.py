"""Command line of the host process."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from berylcleat.model import load_settings
from berylcleat.runtime import VERSION, run_process

from ._process import serve_host
from ._settings import HostSettings, check_host_settings


@cappa.command(name="beryl-host")
@dataclass
class HostArguments:
    """Serve submissions on this host."""

    settings: Annotated[
        Path,
        cappa.Arg(
            long=True,
            default=cappa.Env("BERYLCLEAT_SETTINGS"),
            help="settings file, JSON with comments",
        ),
    ]


def main() -> None:
    """Start the host process."""
    arguments = cappa.parse(HostArguments, version=VERSION)

    async def serve(stop) -> None:
        settings = load_settings(arguments.settings, HostSettings)
        check_host_settings(settings)
        await serve_host(settings, stop)

    run_process("beryl-host", serve)

"""Command-line interface of the host process."""

import logging
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Annotated

import cappa

from berylcleat.model import BerylError, load_settings
from berylcleat.runtime import VERSION, run_process

from ._process import serve_host
from ._settings import HostSettings, apply_contracts, check_host_settings

logger = logging.getLogger(__name__)


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
        settings = _read_settings(arguments.settings)
        stop.on_reload = lambda: _log_pending_changes(arguments.settings, settings)
        await serve_host(settings, stop)

    run_process("beryl-host", serve)


def _read_settings(path: Path) -> HostSettings:
    settings = apply_contracts(load_settings(path, HostSettings))
    check_host_settings(settings)
    return settings


def _log_pending_changes(path: Path, current: HostSettings) -> None:
    """Log which changed settings take effect at the next start."""
    try:
        settings = _read_settings(path)
    except BerylError as error:
        logger.error(
            "reload: invalid settings file, keeping the current settings: %s", error
        )
        return
    changed = [
        field.name
        for field in fields(settings)
        if getattr(settings, field.name) != getattr(current, field.name)
    ]
    logger.info(
        "reload: changed settings that take effect at the next start: %s",
        ", ".join(changed) or "none",
    )

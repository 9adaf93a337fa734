"""The command line of operators."""

import asyncio
import sys
from collections.abc import Awaitable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Literal

import cappa

from berylcleat.model import BerylError, ErrorCode, Rule
from berylcleat.runtime import VERSION

from ._actions import Actions

EXIT_BY_CODE = {
    ErrorCode.SETTINGS_INVALID: 2,
    ErrorCode.DOCUMENT_INVALID: 2,
    ErrorCode.CONFLICT: 3,
    ErrorCode.HOST_UNREACHABLE: 4,
    ErrorCode.PLATFORM_UNAVAILABLE: 4,
    ErrorCode.OUTCOME_UNKNOWN: 5,
}
EXIT_REFUSED = 1
BaseVersion = Annotated[
    int | None,
    cappa.Arg(long=True, help="version this change is based on; default: the newest"),
]


@cappa.command(help="Apply services, rules, teams and jobs from a file.")
@dataclass
class Apply:
    """Apply services, rules, teams and jobs from a file."""

    file: Path
    base_version: BaseVersion = None


@cappa.command(name="set", help="Change what a selector matches, at one version.")
@dataclass
class SetRule:
    """Change what a selector matches, at one version."""

    selector: str
    kind: Annotated[Literal["service", "job"], cappa.Arg(long=True)] = "service"
    priority: Annotated[int | None, cappa.Arg(long=True)] = None
    placement: Annotated[str | None, cappa.Arg(long=True)] = None
    base_version: BaseVersion = None


@cappa.command(help="Retire what a selector matches, or bring it back.")
@dataclass
class Retire:
    """Retire what a selector matches, or bring it back."""

    selector: str
    kind: Annotated[Literal["service", "job"], cappa.Arg(long=True)] = "service"
    undo: Annotated[bool, cappa.Arg(long=True)] = False
    base_version: BaseVersion = None


@cappa.command(help="Show what a selector matches.")
@dataclass
class Preview:
    """Show what a selector matches."""

    selector: str


@cappa.command(help="Show hosts, cells, services and jobs.")
@dataclass
class Status:
    """Show hosts, cells, services and jobs."""


@cappa.command(help="Show why: job/ID, task/ID, service/NAME or worker/ID.")
@dataclass
class Explain:
    """Show why: job/ID, task/ID, service/NAME or worker/ID."""

    subject: str


@cappa.command(help="Cancel a job.")
@dataclass
class Cancel:
    """Cancel a job."""

    job_id: str


@cappa.command(help="Show the spans of a trace.")
@dataclass
class Trace:
    """Show the spans of a trace."""

    trace_id: str


Command = Apply | SetRule | Retire | Preview | Status | Explain | Cancel | Trace


@cappa.command(name="berylctl")
@dataclass
class CtlArguments:
    """Operate berylcleat."""

    command: cappa.Subcommands[Command]
    settings: Annotated[Path, cappa.Arg(long=True, help="settings file")] = Path(
        "berylctl.json"
    )
    format: Annotated[Literal["table", "json"], cappa.Arg(long=True)] = "table"


def _start(command: Command, actions: Actions) -> Awaitable[None]:
    match command:
        case Apply():
            return actions.apply(command.file, command.base_version)
        case SetRule():
            rule = Rule(
                command.selector, command.kind, command.priority, command.placement
            )
            return actions.set_rule(rule, command.base_version)
        case Retire():
            rule = Rule(command.selector, command.kind, retired=not command.undo)
            return actions.set_rule(rule, command.base_version)
        case Preview():
            return actions.preview(command.selector)
        case Status():
            return actions.status()
        case Explain():
            return actions.explain(command.subject)
        case Cancel():
            return actions.cancel(command.job_id)
        case Trace():
            return actions.trace(command.trace_id)


def main() -> None:
    """Run one command; exit codes are listed in docs/OPERATORS.md."""
    arguments = cappa.parse(CtlArguments, version=VERSION)
    try:
        actions = Actions(arguments.settings, arguments.format == "json")
        asyncio.run(_run(_start(arguments.command, actions)))
    except BerylError as error:
        print(f"berylctl: {error.code.value}: {error}", file=sys.stderr)
        raise SystemExit(EXIT_BY_CODE.get(error.code, EXIT_REFUSED)) from error
    except OSError as error:
        print(
            f"berylctl: document-invalid: {error.filename}: {error.strerror}. "
            "Give the path of a readable file",
            file=sys.stderr,
        )
        raise SystemExit(EXIT_BY_CODE[ErrorCode.DOCUMENT_INVALID]) from error


async def _run(action: Awaitable[None]) -> None:
    await action

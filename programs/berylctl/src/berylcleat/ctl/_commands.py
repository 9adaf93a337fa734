"""Command-line arguments, dispatch and exit codes."""

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
EXIT_OTHER_ERROR = 1
BaseVersion = Annotated[
    int | None,
    cappa.Arg(
        long=True,
        help="configuration version that the change is based on; default: newest",
    ),
]


@cappa.command(help="Apply services, rules, teams and jobs from a file.")
@dataclass
class Apply:
    """Arguments of ``apply``: a file of services, rules, teams and jobs."""

    file: Path
    base_version: BaseVersion = None


@cappa.command(name="set", help="Change all that a selector matches, in one version.")
@dataclass
class SetRule:
    """Arguments of ``set``: change all that a selector matches, in one version."""

    selector: str
    kind: Annotated[Literal["service", "job"], cappa.Arg(long=True)] = "service"
    priority: Annotated[int | None, cappa.Arg(long=True)] = None
    placement: Annotated[str | None, cappa.Arg(long=True)] = None
    base_version: BaseVersion = None


@cappa.command(help="Retire all that a selector matches, or undo the retirement.")
@dataclass
class Retire:
    """Arguments of ``retire``: retire all that a selector matches, or undo it."""

    selector: str
    kind: Annotated[Literal["service", "job"], cappa.Arg(long=True)] = "service"
    undo: Annotated[bool, cappa.Arg(long=True)] = False
    base_version: BaseVersion = None


@cappa.command(help="Show the services and jobs that a selector matches.")
@dataclass
class Preview:
    """Arguments of ``preview``: show what a selector matches."""

    selector: str


@cappa.command(help="Show the state of hosts, cells, services and jobs.")
@dataclass
class Status:
    """Arguments of ``status``: none."""


@cappa.command(
    help="Show the decisions on a subject: job/ID, task/ID, service/NAME or worker/ID."
)
@dataclass
class Explain:
    """Arguments of ``explain``: job/ID, task/ID, service/NAME or worker/ID."""

    subject: str


@cappa.command(help="Cancel a job.")
@dataclass
class Cancel:
    """Arguments of ``cancel``: the job to cancel."""

    job_id: str


@cappa.command(help="Show the spans of a trace.")
@dataclass
class Trace:
    """Arguments of ``trace``: the trace whose spans are shown."""

    trace_id: str


Command = Apply | SetRule | Retire | Preview | Status | Explain | Cancel | Trace


@cappa.command(name="berylctl")
@dataclass
class CtlArguments:
    """Inspect and change a running berylcleat."""

    command: cappa.Subcommands[Command]
    settings: Annotated[Path, cappa.Arg(long=True, help="settings file")] = Path(
        "berylctl.json"
    )
    format: Annotated[Literal["table", "json"], cappa.Arg(long=True)] = "table"


def _dispatch(command: Command, actions: Actions) -> Awaitable[None]:
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
    """Run a command and exit with its status, as listed in docs/OPERATORS.md."""
    arguments = cappa.parse(CtlArguments, version=VERSION)
    try:
        actions = Actions(arguments.settings, arguments.format == "json")
        asyncio.run(_await_action(_dispatch(arguments.command, actions)))
    except BerylError as error:
        print(f"berylctl: {error.code.value}: {error}", file=sys.stderr)
        raise SystemExit(EXIT_BY_CODE.get(error.code, EXIT_OTHER_ERROR)) from error
    except OSError as error:
        print(
            f"berylctl: document-invalid: {error.filename}: {error.strerror}. "
            "Give the path of a readable file",
            file=sys.stderr,
        )
        raise SystemExit(EXIT_BY_CODE[ErrorCode.DOCUMENT_INVALID]) from error


async def _await_action(action: Awaitable[None]) -> None:
    await action

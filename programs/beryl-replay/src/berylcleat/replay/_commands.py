"""Command line: generate traces, replay them, generate HTTP load."""

import asyncio
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Literal

import cappa
import msgspec
import numpy as np
from rich.console import Console
from rich.table import Table

from berylcleat.model import BerylError, NotFoundError
from berylcleat.runtime import VERSION

from ._load import LoadGenerator, LoadPlan
from ._make import TRACE_MAKER_BY_KIND, make_trace
from ._policies import make_policy
from ._replay import Replay
from ._trace import load_trace, write_lines

EXIT_VIOLATIONS = 1
EXIT_BAD_INPUT = 2
Format = Annotated[Literal["table", "json"], cappa.Arg(long=True)]


@cappa.command(help="Generate a trace of one kind and write it to standard output.")
@dataclass
class Make:
    """Arguments of ``make``: generate a trace and write it to standard output."""

    kind: str
    seed: Annotated[int, cappa.Arg(long=True)] = 1


@cappa.command(
    help="Replay a trace under a placement policy; exit 1 on invariant violations."
)
@dataclass
class Run:
    """Arguments of ``run``: replay a trace under a placement policy."""

    trace: Path
    policy: Annotated[str, cappa.Arg(long=True)] = "colocate"
    seed: Annotated[int, cappa.Arg(long=True)] = 1
    format: Format = "table"


@cappa.command(help="Send HTTP requests in an open loop at a mean rate.")
@dataclass
class Load:
    """Arguments of ``load``: send HTTP requests in an open loop."""

    addresses: list[str]
    target: Annotated[str, cappa.Arg(long=True)] = "/cards/render"
    rate: Annotated[float, cappa.Arg(long=True, help="requests per second")] = 100.0
    seconds: Annotated[float, cappa.Arg(long=True)] = 10.0
    seed: Annotated[int, cappa.Arg(long=True)] = 1
    format: Format = "table"


@cappa.command(name="beryl-replay")
@dataclass
class ReplayArguments:
    """Generate and replay traces; generate HTTP load."""

    command: cappa.Subcommands[Make | Run | Load]


def _print_report(report: Any, title: str, format: str) -> None:
    if format == "json":
        print(msgspec.json.encode(report).decode())
        return
    table = Table("measure", "value", title=title)
    for name in report.__struct_fields__:
        table.add_row(name, str(getattr(report, name)))
    Console().print(table)


def _write_trace(command: Make) -> int:
    if command.kind not in TRACE_MAKER_BY_KIND:
        raise NotFoundError(
            f"unknown trace kind {command.kind!r}",
            f"Use one of {', '.join(TRACE_MAKER_BY_KIND)}",
        )
    sys.stdout.write(write_lines(make_trace(command.kind, command.seed).lines()))
    return 0


def _replay_trace(command: Run) -> int:
    trace = load_trace(command.trace)
    policy = make_policy(command.policy, trace)
    outcomes = Replay(trace, policy, command.seed).run()
    report = outcomes.report(command.policy, trace.header.kind, command.seed)
    _print_report(report, f"{trace.header.kind} under {command.policy}", command.format)
    return EXIT_VIOLATIONS if report.violations else 0


def _send_load(command: Load) -> int:
    plan = LoadPlan(
        tuple(command.addresses), command.target, command.rate, command.seconds
    )
    run = LoadGenerator(plan, np.random.default_rng(command.seed))
    _print_report(asyncio.run(run.run()), f"load on {command.target}", command.format)
    return 0


def main() -> None:
    """Parse the command line, run the command and exit with its status."""
    command = cappa.parse(ReplayArguments, version=VERSION).command
    try:
        match command:
            case Make():
                status = _write_trace(command)
            case Run():
                status = _replay_trace(command)
            case Load():
                status = _send_load(command)
    except BerylError as error:
        print(f"beryl-replay: {error.code.value}: {error}", file=sys.stderr)
        raise SystemExit(EXIT_BAD_INPUT) from error
    except OSError as error:
        print(
            f"beryl-replay: {error.filename}: {error.strerror}. "
            "Give the path of a readable file",
            file=sys.stderr,
        )
        raise SystemExit(EXIT_BAD_INPUT) from error
    raise SystemExit(status)

"""Command line: make traces, replay them, send load."""

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

from ._load import LoadPlan, LoadRun
from ._make import MAKER_BY_KIND, make_trace
from ._policies import make_policy
from ._replay import Replay
from ._trace import load_trace, write_lines

EXIT_VIOLATIONS = 1
EXIT_BAD_INPUT = 2
Format = Annotated[Literal["table", "json"], cappa.Arg(long=True)]


@cappa.command(help="Write a trace of one kind to standard output.")
@dataclass
class Make:
    """Write a trace of one kind to standard output."""

    kind: str
    seed: Annotated[int, cappa.Arg(long=True)] = 1


@cappa.command(help="Replay a trace under a policy; exit 1 on violations.")
@dataclass
class Run:
    """Replay a trace under a policy; exit 1 on violations."""

    trace: Path
    policy: Annotated[str, cappa.Arg(long=True)] = "colocate"
    seed: Annotated[int, cappa.Arg(long=True)] = 1
    format: Format = "table"


@cappa.command(help="Send requests at an open rate.")
@dataclass
class Load:
    """Send requests at an open rate."""

    addresses: list[str]
    target: Annotated[str, cappa.Arg(long=True)] = "/cards/render"
    rate: Annotated[float, cappa.Arg(long=True, help="requests a second")] = 100.0
    seconds: Annotated[float, cappa.Arg(long=True)] = 10.0
    seed: Annotated[int, cappa.Arg(long=True)] = 1
    format: Format = "table"


@cappa.command(name="beryl-replay")
@dataclass
class ReplayArguments:
    """Make and replay traces; send load."""

    command: cappa.Subcommands[Make | Run | Load]


def _show(value: Any, title: str, format: str) -> None:
    if format == "json":
        print(msgspec.json.encode(value).decode())
        return
    table = Table("measure", "value", title=title)
    for name in value.__struct_fields__:
        table.add_row(name, str(getattr(value, name)))
    Console().print(table)


def _make(command: Make) -> int:
    if command.kind not in MAKER_BY_KIND:
        raise NotFoundError(
            f"no kind of trace {command.kind!r}",
            f"Use one of {', '.join(MAKER_BY_KIND)}",
        )
    sys.stdout.write(write_lines(make_trace(command.kind, command.seed).lines()))
    return 0


def _run(command: Run) -> int:
    trace = load_trace(command.trace)
    policy = make_policy(command.policy, trace)
    outcomes = Replay(trace, policy, command.seed).run()
    report = outcomes.report(command.policy, trace.header.kind, command.seed)
    _show(report, f"{trace.header.kind} under {command.policy}", command.format)
    return EXIT_VIOLATIONS if report.violations else 0


def _load(command: Load) -> int:
    plan = LoadPlan(
        tuple(command.addresses), command.target, command.rate, command.seconds
    )
    run = LoadRun(plan, np.random.default_rng(command.seed))
    _show(asyncio.run(run.run()), f"load on {command.target}", command.format)
    return 0


def main() -> None:
    """Run one command."""
    command = cappa.parse(ReplayArguments, version=VERSION).command
    try:
        match command:
            case Make():
                status = _make(command)
            case Run():
                status = _run(command)
            case Load():
                status = _load(command)
    except BerylError as error:
        print(f"beryl-replay: {error.code.value}: {error}", file=sys.stderr)
        raise SystemExit(EXIT_BAD_INPUT) from error
    except OSError as error:
        print(
            f"beryl-replay: {error.filename}: {error.strerror}. Give a readable file",
            file=sys.stderr,
        )
        raise SystemExit(EXIT_BAD_INPUT) from error
    raise SystemExit(status)

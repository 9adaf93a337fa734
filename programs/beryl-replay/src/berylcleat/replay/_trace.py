"""Recorded traces: JSON lines, one typed event each, in order of time (seconds)."""

from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

from berylcleat.model import DocumentError, JobSpec, Resources

TRACE_VERSION = 1


class Header(msgspec.Struct, frozen=True, tag="header"):
    """Open a trace: its version, kind, seed and length."""

    version: int
    kind: str
    seed: int
    horizon_s: int
    deadline_ms: float


class WorkerLine(msgspec.Struct, frozen=True, tag="worker"):
    """Describe a worker; ``reserved`` above nothing means that it serves."""

    worker_id: str
    data_centre: str
    rack: str
    capacity: Resources
    reserved: Resources


class GroupLine(msgspec.Struct, frozen=True, tag="group"):
    """State the truth about a group of tasks, hidden from the policies.

    ``size_ratio`` and ``run_ratio`` are real over declared; ``interference`` is the
    slowdown of a service per share of its worker's cores.
    """

    group: str
    interference: float
    size_ratio: float = 1.0
    run_ratio: float = 1.0
    fails_always: bool = False


class JobLine(msgspec.Struct, frozen=True, tag="job"):
    """Submit a job; its labels must have one ``kind`` that names a group."""

    at_s: float
    spec: JobSpec


class CancelLine(msgspec.Struct, frozen=True, tag="cancel"):
    """Cancel a job."""

    at_s: float
    job_id: str


class LoadLine(msgspec.Struct, frozen=True, tag="load"):
    """Set the load of the service on a worker, 0 to 1."""

    at_s: float
    worker_id: str
    level: float


class NoiseLine(msgspec.Struct, frozen=True, tag="noise"):
    """Multiply the interference of a group from now on."""

    at_s: float
    group: str
    factor: float


class BrokenLine(msgspec.Struct, frozen=True, tag="broken"):
    """Make a worker fail everything that it starts, or mend it."""

    at_s: float
    worker_id: str
    is_broken: bool


Event = JobLine | CancelLine | LoadLine | NoiseLine | BrokenLine
Line = Header | WorkerLine | GroupLine | Event


class Trace(msgspec.Struct, frozen=True):
    """Hold a whole trace."""

    header: Header
    workers: tuple[WorkerLine, ...]
    groups: tuple[GroupLine, ...]
    events: tuple[Event, ...]

    def lines(self) -> Iterator[Line]:
        """Return the lines in the order in which they are written."""
        yield self.header
        yield from self.workers
        yield from self.groups
        yield from self.events


def write_lines(lines: Iterable[Line]) -> str:
    """Return ``lines`` as JSON lines."""
    return "".join(msgspec.json.encode(line).decode() + "\n" for line in lines)


def load_trace(path: Path) -> Trace:
    """Return the trace in ``path``; raise ``DocumentError`` naming the line."""
    lines = [
        _parse_line(text, f"{path}:{number}")
        for number, text in enumerate(path.read_text(encoding="utf-8").splitlines(), 1)
        if text.strip()
    ]
    return _checked(lines, path)


def _parse_line(text: str, place: str) -> Line:
    try:
        return msgspec.json.decode(text, type=Line)
    except msgspec.DecodeError as problem:
        raise DocumentError(
            f"{place}: {problem}", "Make the trace with beryl-replay make"
        ) from problem


def _checked(lines: list[Line], path: Path) -> Trace:
    if not lines or not isinstance(lines[0], Header):
        raise DocumentError(
            f"{path}: no header", "Make the trace with beryl-replay make"
        )
    if lines[0].version != TRACE_VERSION:
        raise DocumentError(
            f"{path}: version {lines[0].version}", f"Use version {TRACE_VERSION}"
        )
    events = [line for line in lines if isinstance(line, Event)]
    if any(a.at_s > b.at_s for a, b in zip(events, events[1:], strict=False)):
        raise DocumentError(f"{path}: events out of order", "Sort them by at_s")
    return Trace(
        lines[0],
        tuple(line for line in lines if isinstance(line, WorkerLine)),
        tuple(line for line in lines if isinstance(line, GroupLine)),
        tuple(events),
    )

"""Trace format: JSON lines, one tagged record each, events sorted by time (s)."""

from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

from berylcleat.model import DocumentError, JobSpec, Resources

TRACE_VERSION = 1


class Header(msgspec.Struct, frozen=True, tag="header"):
    """First line of a trace: format version, kind, seed, duration, latency deadline."""

    version: int
    kind: str
    seed: int
    horizon_s: int
    deadline_ms: float


class WorkerLine(msgspec.Struct, frozen=True, tag="worker"):
    """A worker; nonzero ``reserved`` cores mean that it runs a service replica."""

    worker_id: str
    data_centre: str
    rack: str
    capacity: Resources
    reserved: Resources


class GroupLine(msgspec.Struct, frozen=True, tag="group"):
    """Ground truth about a group of tasks, hidden from the policies.

    ``size_ratio`` and ``run_ratio`` are actual over declared core use and run time;
    ``interference`` is the slowdown that the group adds to a co-located service per
    fraction of the worker's cores in use.
    """

    group: str
    interference: float
    size_ratio: float = 1.0
    run_ratio: float = 1.0
    fails_always: bool = False


class JobLine(msgspec.Struct, frozen=True, tag="job"):
    """Submission of a job; its label ``kind`` must name a group of the trace."""

    at_s: float
    spec: JobSpec


class CancelLine(msgspec.Struct, frozen=True, tag="cancel"):
    """Cancellation of a job."""

    at_s: float
    job_id: str


class LoadLine(msgspec.Struct, frozen=True, tag="load"):
    """Change of a worker's service load: fraction of the reserved cores (0 to 1)."""

    at_s: float
    worker_id: str
    level: float


class NoiseLine(msgspec.Struct, frozen=True, tag="noise"):
    """Change of the factor by which a group's interference is multiplied."""

    at_s: float
    group: str
    factor: float


class BrokenLine(msgspec.Struct, frozen=True, tag="broken"):
    """Start or end of a fault in which every task on a worker fails."""

    at_s: float
    worker_id: str
    is_broken: bool


Event = JobLine | CancelLine | LoadLine | NoiseLine | BrokenLine
Line = Header | WorkerLine | GroupLine | Event


class Trace(msgspec.Struct, frozen=True):
    """A parsed or generated trace."""

    header: Header
    workers: tuple[WorkerLine, ...]
    groups: tuple[GroupLine, ...]
    events: tuple[Event, ...]

    def lines(self) -> Iterator[Line]:
        """Return the lines in file order: header, workers, groups, events."""
        yield self.header
        yield from self.workers
        yield from self.groups
        yield from self.events


def write_lines(lines: Iterable[Line]) -> str:
    """Encode ``lines`` as JSON lines."""
    return "".join(msgspec.json.encode(line).decode() + "\n" for line in lines)


def load_trace(path: Path) -> Trace:
    """Read and check the trace in ``path``; raise ``DocumentError`` if invalid."""
    lines = [
        _parse_line(text, f"{path}:{number}")
        for number, text in enumerate(path.read_text(encoding="utf-8").splitlines(), 1)
        if text.strip()
    ]
    return _make_checked_trace(lines, path)


def _parse_line(text: str, location: str) -> Line:
    try:
        return msgspec.json.decode(text, type=Line)
    except msgspec.DecodeError as error:
        raise DocumentError(
            f"{location}: {error}", "Generate the trace with beryl-replay make"
        ) from error


def _make_checked_trace(lines: list[Line], path: Path) -> Trace:
    if not lines or not isinstance(lines[0], Header):
        raise DocumentError(
            f"{path}: the first line is not a header",
            "Generate the trace with beryl-replay make",
        )
    if lines[0].version != TRACE_VERSION:
        raise DocumentError(
            f"{path}: unsupported trace version {lines[0].version}",
            f"Use version {TRACE_VERSION}",
        )
    events = [line for line in lines if isinstance(line, Event)]
    if any(a.at_s > b.at_s for a, b in zip(events, events[1:], strict=False)):
        raise DocumentError(
            f"{path}: events are not sorted by time", "Sort them by at_s"
        )
    return Trace(
        lines[0],
        tuple(line for line in lines if isinstance(line, WorkerLine)),
        tuple(line for line in lines if isinstance(line, GroupLine)),
        tuple(events),
    )

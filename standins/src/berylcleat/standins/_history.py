"""Event history of tasks and requests that ran, written by the stand-ins."""

import time
from dataclasses import dataclass, field
from io import TextIOWrapper
from pathlib import Path

import msgspec


@dataclass(frozen=True, slots=True)
class HistoryEvent:
    """One event of a task, request or worker.

    ``place`` is a worker id. ``at_s`` is the machine's monotonic clock in seconds.
    """

    kind: str
    subject: str
    place: str
    attempt: int
    at_s: float


@dataclass
class History:
    """Writer of events to a JSON lines file; without a path it writes nothing."""

    path: str
    _file: TextIOWrapper | None = field(default=None, repr=False)

    def write(
        self,
        kind: str,
        subject: str,
        place: str,
        attempt: int = 0,
        at_s: float | None = None,
    ) -> None:
        """Append one event and flush the file; ``at_s`` defaults to now."""
        if not self.path:
            return
        if self._file is None:
            self._file = Path(self.path).open("a", encoding="utf-8")  # noqa: SIM115
        event_at_s = time.monotonic() if at_s is None else at_s
        event = HistoryEvent(kind, subject, place, attempt, event_at_s)
        self._file.write(msgspec.json.encode(event).decode() + "\n")
        self._file.flush()


def read_history(path: Path) -> list[HistoryEvent]:
    """Return the events recorded in ``path``."""
    if not path.exists():
        return []
    lines = path.read_bytes().splitlines()
    return [msgspec.json.decode(line, type=HistoryEvent) for line in lines]

"""Record what really ran, for verdicts."""

import time
from dataclasses import dataclass, field
from io import TextIOWrapper
from pathlib import Path

import msgspec


@dataclass(frozen=True, slots=True)
class HistoryEvent:
    """Record one event; ``order`` rises within a process, ``at_s`` is monotonic."""

    kind: str
    subject: str
    place: str
    attempt: int
    at_s: float


@dataclass
class History:
    """Append events to a JSON lines file."""

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
        """Append one event at once; ``at_s`` is when it was, if not now."""
        if not self.path:
            return
        if self._file is None:
            self._file = Path(self.path).open("a", encoding="utf-8")  # noqa: SIM115
        happened_at = time.monotonic() if at_s is None else at_s
        event = HistoryEvent(kind, subject, place, attempt, happened_at)
        self._file.write(msgspec.json.encode(event).decode() + "\n")
        self._file.flush()


def read_history(path: Path) -> list[HistoryEvent]:
    """Return the events recorded in ``path``."""
    if not path.exists():
        return []
    lines = path.read_bytes().splitlines()
    return [msgspec.json.decode(line, type=HistoryEvent) for line in lines]

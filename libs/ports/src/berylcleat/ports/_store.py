"""Protocol class and data types of the platform's metadata store."""

from dataclasses import dataclass
from typing import Protocol

from berylcleat.model import BerylError, ErrorCode


@dataclass(frozen=True, slots=True)
class StoreRow:
    """Row of a table; ``version`` is drawn from one counter of the whole store."""

    table: str
    part: str
    key: str
    value: bytes
    version: int
    is_removed: bool = False


@dataclass(frozen=True, slots=True)
class Condition:
    """Precondition that a row still has ``version`` (0: the row doesn't exist)."""

    table: str
    part: str
    key: str
    version: int


@dataclass(frozen=True, slots=True)
class RowWrite:
    """Write of ``value`` to a row."""

    table: str
    part: str
    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class RowRemoval:
    """Removal of a row; one that doesn't exist stays so."""

    table: str
    part: str
    key: str


@dataclass(frozen=True, slots=True)
class Commit:
    """Conditional transaction: all writes and removals take effect, or none.

    All rows belong to one part unless ``spans_parts`` is set.
    """

    conditions: tuple[Condition, ...] = ()
    writes: tuple[RowWrite, ...] = ()
    spans_parts: bool = False
    removals: tuple[RowRemoval, ...] = ()


@dataclass(frozen=True, slots=True)
class CommitOutcome:
    """Outcome of a commit.

    ``version`` is the store's version after an applied commit. After a conflict,
    ``current`` holds the present rows that the conditions name. ``store_ms`` is what
    the store's steady clock showed, None if it wasn't told.
    """

    applied: bool
    version: int = 0
    current: tuple[StoreRow, ...] = ()
    store_ms: float | None = None


@dataclass(frozen=True, slots=True)
class RowPage:
    """Rows, and the store's version at which they were read.

    ``store_ms`` is what the store's steady clock showed, None if it wasn't told.
    """

    rows: tuple[StoreRow, ...]
    version: int
    store_ms: float | None = None


class HistoryLostError(BerylError):
    """The store no longer keeps the requested changes; read the table in full."""

    code = ErrorCode.CONFLICT


class Store(Protocol):
    """Metadata store with conditional multi-row transactions.

    Calls raise ``PlatformUnavailableError`` (the request had no effect) or
    ``OutcomeUnknownError`` (it may have taken effect, or may still do so).
    """

    async def commit(self, commit: Commit) -> CommitOutcome:
        """Apply ``commit``, or return the rows that conflict with its conditions."""

    async def read(
        self, table: str, part: str, first: str = "", end: str = ""
    ) -> RowPage:
        """Return the rows of a part with keys from ``first`` to before ``end``."""

    async def list_parts(self, table: str) -> tuple[str, ...]:
        """Return the parts of ``table`` that contain rows."""

    async def follow(self, table: str, after: int, wait_s: float) -> RowPage:
        """Long-poll for rows changed after version ``after``.

        The store responds after at most ``wait_s`` seconds, also without changes.
        Raises ``HistoryLostError`` if it no longer keeps these changes.
        """

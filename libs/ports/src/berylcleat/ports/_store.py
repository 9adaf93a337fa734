"""The platform's store of rows, as the product sees it."""

from dataclasses import dataclass
from typing import Protocol

from berylcleat.model import BerylError, ErrorCode


@dataclass(frozen=True, slots=True)
class StoreRow:
    """Hold one row; ``version`` comes from one counter of the whole store."""

    table: str
    part: str
    key: str
    value: bytes
    version: int
    is_removed: bool = False


@dataclass(frozen=True, slots=True)
class Condition:
    """Require that a row still has ``version`` (0: absent)."""

    table: str
    part: str
    key: str
    version: int


@dataclass(frozen=True, slots=True)
class RowWrite:
    """Write ``value`` to a row."""

    table: str
    part: str
    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Commit:
    """Change several rows at once, or none; of one part unless ``spans_parts``."""

    conditions: tuple[Condition, ...] = ()
    writes: tuple[RowWrite, ...] = ()
    spans_parts: bool = False


@dataclass(frozen=True, slots=True)
class CommitOutcome:
    """Tell whether a commit applied; if not, the rows its conditions name."""

    applied: bool
    version: int = 0
    current: tuple[StoreRow, ...] = ()


@dataclass(frozen=True, slots=True)
class RowPage:
    """Hold rows and the store's version when they were read."""

    rows: tuple[StoreRow, ...]
    version: int


class HistoryLostError(BerylError):
    """Report that the store no longer has the changes asked for."""

    code = ErrorCode.CONFLICT


class Store(Protocol):
    """Keep rows that change under conditions.

    Calls raise ``PlatformUnavailableError`` (nothing was done) or
    ``OutcomeUnknownError`` (it may have been done, or be done later).
    """

    async def commit(self, commit: Commit) -> CommitOutcome:
        """Apply ``commit`` or report the conflict."""

    async def read(
        self, table: str, part: str, first: str = "", end: str = ""
    ) -> RowPage:
        """Return all rows of a part from key ``first`` up to and without ``end``."""

    async def list_parts(self, table: str) -> tuple[str, ...]:
        """Return the parts of ``table`` that hold rows."""

    async def follow(self, table: str, after: int, wait_s: float) -> RowPage:
        """Return rows changed after version ``after``; may raise HistoryLostError."""

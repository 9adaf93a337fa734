"""Removal of early cancellations that no write can meet any more."""

from collections.abc import Callable

from berylcleat.ports import Commit, Condition, RowRemoval, Store, StoreRow

from ._clock import now_s
from ._metrics import EARLY_CANCELLATIONS
from ._records import EARLY_CANCELLATION_TABLE, SUBMISSION_PARTS, SUBMISSION_TABLE

CLEAN_PERIOD_S = 30.0
# Time for which an early cancellation is kept: longer than a write may be carried out
# late, than clients repeat a request, and than states are asked for.
RETENTION_S = 300.0
# Each takes three of the 100 entries that a transaction holds.
MAX_REMOVALS = 30


class EarlyCancellationCleaner:
    """Remover of early cancellations that this host has seen for ``RETENTION_S``.

    It counts from when this host first read a row, as clocks of hosts differ.
    ``is_responsible`` tells whether this host removes them for its data centre.
    """

    def __init__(
        self,
        store: Store,
        is_responsible: Callable[[], bool],
        clock: Callable[[], float] = now_s,
    ):
        self._store = store
        self._is_responsible = is_responsible
        self._clock = clock
        self._seen_at: dict[tuple[str, int], float] = {}

    async def clean(self) -> None:
        """Remove what has been seen for long enough.

        Raises ``BerylError`` if the store can't be reached.
        """
        if not self._is_responsible():
            self._seen_at.clear()
            return
        now = self._clock()
        seen_at: dict[tuple[str, int], float] = {}
        for part in SUBMISSION_PARTS:
            page = await self._store.read(EARLY_CANCELLATION_TABLE, part)
            expired = []
            for row in page.rows:
                key = (row.key, row.version)
                seen_at[key] = self._seen_at.get(key, now)
                if now - seen_at[key] >= RETENTION_S:
                    expired.append(row)
            for first in range(0, len(expired), MAX_REMOVALS):
                await self._remove(expired[first : first + MAX_REMOVALS])
        self._seen_at = seen_at

    async def _remove(self, rows: list[StoreRow]) -> None:
        """Remove rows and the index rows that were written with them.

        Those that have changed meanwhile are read again in the next period.
        """
        conditions = tuple(
            Condition(SUBMISSION_TABLE, row.part, row.key, row.version) for row in rows
        )
        removals = tuple(
            RowRemoval(table, row.part, row.key)
            for row in rows
            for table in (SUBMISSION_TABLE, EARLY_CANCELLATION_TABLE)
        )
        outcome = await self._store.commit(Commit(conditions, removals=removals))
        if outcome.applied:
            EARLY_CANCELLATIONS.labels("removed").inc(len(rows))

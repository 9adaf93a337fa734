"""Submissions that were accepted after their cells' loads were published last."""

import asyncio
import logging
from collections import Counter, defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

from berylcleat.model import BerylError
from berylcleat.ports import Store

from ._clock import now_s
from ._records import cell_submission_table
from ._submission_directory import SubmissionDirectory
from ._unreadable_rows import UnreadableRows

# Seconds for which the count of a table holds, also that of one that can't be read.
MAX_COUNT_AGE_S = 1.0
# Maximum time for reading the tables before a client is answered.
READ_TIMEOUT_S = 0.5
# Tables read at once: without the store, the loads of all cells become stale.
MAX_TABLES = 16
logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class _TableCount:
    """Submissions by queue in the stale cells of a table, counted at a time."""

    version_by_cell: dict[str, int]
    counted_at: float
    n_by_queue: Counter[str]


class UncountedSubmissions:
    """Count of the submissions that no current load of their cell holds.

    The owner of such a cell may be dead or cut off, so that nobody else can tell.
    """

    def __init__(self, store: Store):
        self._store = store
        self._count_by_table: dict[str, _TableCount] = {}
        self._unreadable_rows = UnreadableRows()

    async def count(self, queue: str, version_by_cell: Mapping[str, int]) -> int:
        """Return the number of a queue's submissions accepted after stale loads.

        ``version_by_cell`` holds the versions of these loads.
        """
        stale_by_table: dict[str, dict[str, int]] = defaultdict(dict)
        for cell_id, version in version_by_cell.items():
            stale_by_table[cell_submission_table(cell_id)][cell_id] = version
        now = now_s()
        self._count_by_table = {
            table: known
            for table, known in self._count_by_table.items()
            if known.version_by_cell == stale_by_table.get(table)
            and now - known.counted_at < MAX_COUNT_AGE_S
        }
        unknown = sorted(stale_by_table.keys() - self._count_by_table.keys())
        await asyncio.gather(
            *(
                self._read(table, stale_by_table[table])
                for table in unknown[:MAX_TABLES]
            )
        )
        return sum(known.n_by_queue[queue] for known in self._count_by_table.values())

    async def _read(self, table: str, version_by_cell: dict[str, int]) -> None:
        n_by_queue: Counter[str] = Counter()
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                n_by_queue = await self._count_rows(table, version_by_cell)
        except (BerylError, TimeoutError) as error:
            logger.info("table %s: submissions not counted: %s", table, error)
        counted = _TableCount(version_by_cell, now_s(), n_by_queue)
        self._count_by_table[table] = counted

    async def _count_rows(
        self, table: str, version_by_cell: dict[str, int]
    ) -> Counter[str]:
        after = min(version_by_cell.values())
        page = await self._store.follow(table, after, wait_s=0.0)
        version_by_key = {row.key: row.version for row in page.rows}
        directory = SubmissionDirectory(self._unreadable_rows)
        directory.on_rows(page.rows)
        return Counter(
            entry.accepted.submission.queue.name
            for submission_id, entry in directory.by_id.items()
            if entry.accepted is not None
            and not entry.is_cancelled
            and version_by_key[submission_id]
            > version_by_cell.get(entry.accepted.cell_id, float("inf"))
        )

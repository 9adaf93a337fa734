"""Workers that the platform lists, by cell."""

import logging
from collections import Counter
from collections.abc import Callable, Iterable

from berylcleat.model import MalformedValueError
from berylcleat.platform import decode_worker
from berylcleat.ports import StoreRow, WorkerEntry

from ._cell_layout import CellLayout
from ._clock import now_s, wall_ms
from ._metrics import REJECTED_WORKER_ENTRIES

# Bytes of an id in a log line: an odd entry may have any key.
MAX_LOGGED_ID = 80
WorkersListener = Callable[[dict[str, dict[str, WorkerEntry]]], None]
logger = logging.getLogger(__name__)


class WorkerList:
    """Listed workers by id.

    ``read_confirmed_at`` returns when the list was known to be complete.
    ``unguarded_services`` are those whose workers start what exceeds their capacity.
    """

    def __init__(self, layout: CellLayout | None = None):
        # To be set before the first row is applied.
        self.layout = layout or CellLayout()
        self.by_id: dict[str, WorkerEntry] = {}
        self.listeners: list[WorkersListener] = []
        self.read_confirmed_at: Callable[[], float] = now_s
        self.unguarded_services: frozenset[str] = frozenset()
        self._data_centre_by_cell: dict[str, str] = {}
        # Why the entries that name no worker to use were rejected, by worker id.
        self._rejection_by_id: dict[str, str] = {}

    def on_rows(self, rows: tuple[StoreRow, ...]) -> None:
        """Apply rows of the worker table and notify listeners."""
        n_known = len(self.by_id)
        for row in rows:
            self._apply(row)
        by_cell = self._by_cell()
        for cell_id, entries in by_cell.items():
            self._data_centre_by_cell[cell_id] = _most_frequent_data_centre(
                entries.values()
            )
        if len(self.by_id) > n_known:
            logger.info("workers: %d listed in %d cells", len(self.by_id), len(by_cell))
        for listener in self.listeners:
            listener(by_cell)

    def cell_of(self, rack: str) -> str:
        """Return the id of the cell that a rack belongs to."""
        return self.layout.cell_of(rack)

    def in_cell(self, cell_id: str) -> dict[str, WorkerEntry]:
        """Return the listed workers of a cell."""
        return self._by_cell().get(cell_id, {})

    def data_centre_by_cell(self) -> dict[str, str]:
        """Return the data centre of the cells that have had workers since the start."""
        return self._data_centre_by_cell

    def _apply(self, row: StoreRow) -> None:
        """Apply a row; one that names no worker to use counts as removed.

        The owner of a cell then starts nothing more on the worker, and goes on renewing
        its leases at the address that it knows until the worker's runs have ended.
        """
        previous = self.by_id.get(row.key)
        if row.is_removed:
            if previous:
                logger.info("worker %s: no longer listed", row.key)
            self.by_id.pop(row.key, None)
            self._rejection_by_id.pop(row.key, None)
            return
        try:
            entry = decode_worker(row, wall_ms())
        except MalformedValueError as error:
            self.by_id.pop(row.key, None)
            self._on_rejected(row.key, str(error))
            return
        self._rejection_by_id.pop(row.key, None)
        self._log_change(previous, entry)
        self.by_id[row.key] = entry

    def _on_rejected(self, worker_id: str, reason: str) -> None:
        """Log and count an entry that is rejected, once for each reason."""
        if self._rejection_by_id.get(worker_id) == reason:
            return
        self._rejection_by_id[worker_id] = reason
        REJECTED_WORKER_ENTRIES.inc()
        logger.warning(
            "worker entry %r names no worker to use: %s",
            worker_id[:MAX_LOGGED_ID],
            reason,
        )

    def _log_change(self, previous: WorkerEntry | None, entry: WorkerEntry) -> None:
        if previous and entry.is_draining and not previous.is_draining:
            logger.info("worker %s: draining", entry.worker_id)
        if previous and entry.capacity != previous.capacity:
            logger.info(
                "worker %s: capacity changed from %s to %s",
                entry.worker_id,
                previous.capacity,
                entry.capacity,
            )

    def _by_cell(self) -> dict[str, dict[str, WorkerEntry]]:
        by_cell: dict[str, dict[str, WorkerEntry]] = {}
        for entry in self.by_id.values():
            cell_id = self.cell_of(entry.rack)
            by_cell.setdefault(cell_id, {})[entry.worker_id] = entry
        return by_cell


def _most_frequent_data_centre(entries: Iterable[WorkerEntry]) -> str:
    """Return the data centre of most workers of a cell.

    One entry with another zone must not give the cell to hosts of that data centre.
    """
    counts = Counter(entry.data_centre for entry in entries)
    return min(counts, key=lambda name: (-counts[name], name))

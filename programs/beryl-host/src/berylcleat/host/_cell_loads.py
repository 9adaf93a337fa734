"""Loads of this host's cells, published within its data centre and to the others.

A load is published less often the more cells there are, so that what a host reads a
second doesn't grow with them.
"""

from dataclasses import dataclass

from berylcleat.ports import RowWrite

from ._cell_directory import CellDirectory
from ._cell_ownership import CellOwnershipManager
from ._records import DIGEST_TABLE, LOAD_PREFIX, LoadRow, data_centre_table, encode

# Loads that all hosts together publish a second at most: to the hosts of one data
# centre, and to those of all.
MAX_LOADS_IN_DATA_CENTRE = 6
MAX_LOADS_IN_DIGESTS = 12
MIN_LOAD_PERIOD_S = 1.0
# An unchanged load is written again after this time: a delayed write of an earlier
# owner may have replaced it.
MAX_LOAD_AGE_S = 5.0
# The same with ``expected_finish``, where no move relies on a load older than 3 s.
MAX_SPILL_LOAD_AGE_S = 2.0
# Seconds and periods after which a load is old for the count of pending submissions.
STALE_LOAD_S = 4.0
N_STALE_PERIODS = 2
# Publishing is checked in steps, so a load is due this much earlier.
DUE_MARGIN_S = 0.1


@dataclass(frozen=True, slots=True)
class _WrittenLoad:
    value: bytes
    written_at: float


class _LoadTable:
    """Loads as one table holds them."""

    def __init__(self, table: str):
        self.table = table
        self._written_by_cell: dict[str, _WrittenLoad] = {}
        self._pending_by_cell: dict[str, _WrittenLoad] = {}

    def due(
        self,
        value_by_cell: dict[str, bytes],
        period_s: float,
        max_age_s: float,
        now: float,
    ) -> dict[str, bytes]:
        """Return the loads, by cell, that have changed and are due."""
        self._pending_by_cell = {
            cell_id: _WrittenLoad(value, now)
            for cell_id, value in value_by_cell.items()
            if self._is_due(cell_id, value, period_s, max_age_s, now)
        }
        return {cell_id: item.value for cell_id, item in self._pending_by_cell.items()}

    def on_written(self) -> None:
        """Remember that the loads returned last are stored."""
        self._written_by_cell.update(self._pending_by_cell)

    def _is_due(
        self,
        cell_id: str,
        value: bytes,
        period_s: float,
        max_age_s: float,
        now: float,
    ) -> bool:
        written = self._written_by_cell.get(cell_id)
        if written is None:
            return True
        age_s = now - written.written_at + DUE_MARGIN_S
        if written.value == value:
            return age_s >= max(max_age_s, period_s)
        return age_s >= period_s


class CellLoads:
    """Source of the load rows of this host's cells."""

    def __init__(
        self,
        data_centre: str,
        cells: CellDirectory,
        ownership: CellOwnershipManager,
        max_age_s: float = MAX_LOAD_AGE_S,
    ):
        self._max_age_s = max_age_s
        self._data_centre = data_centre
        self._cells = cells
        self._ownership = ownership
        self._local = _LoadTable(data_centre_table(data_centre))
        self._digest = _LoadTable(DIGEST_TABLE)

    def due_writes(self, now: float) -> list[RowWrite]:
        """Return the loads that have changed and are due."""
        n_local = self._cells.count_cells_of(self._data_centre)
        n_all = len(self._cells.owner_by_cell)
        value_by_cell = self._encode_loads()
        local = self._local.due(
            value_by_cell,
            _period_s(n_local, MAX_LOADS_IN_DATA_CENTRE),
            self._max_age_s,
            now,
        )
        digest = self._digest.due(
            value_by_cell,
            _period_s(n_all, MAX_LOADS_IN_DIGESTS),
            self._max_age_s,
            now,
        )
        return [
            *(self._write(self._local, *load) for load in local.items()),
            *(self._write(self._digest, *load) for load in digest.items()),
        ]

    def is_urgent(self) -> bool:
        """Return False: a load waits for the next heartbeat."""
        return False

    def on_written(self) -> None:
        """Remember that the loads returned last are stored."""
        self._local.on_written()
        self._digest.on_written()

    def _encode_loads(self) -> dict[str, bytes]:
        return {
            cell_id: encode(LoadRow(controller.owner.epoch, summary))
            for cell_id, controller in self._ownership.controller_by_cell.items()
            if (summary := controller.summary()) is not None
        }

    def _write(self, table: _LoadTable, cell_id: str, value: bytes) -> RowWrite:
        return RowWrite(table.table, self._data_centre, LOAD_PREFIX + cell_id, value)


def stale_load_age_s(n_cells: int) -> float:
    """Return the age at which a load may lack submissions that must be counted.

    With many cells all loads are published less often; each would be old otherwise.
    """
    period_s = _period_s(n_cells, MAX_LOADS_IN_DIGESTS)
    return max(STALE_LOAD_S, N_STALE_PERIODS * period_s)


def _period_s(n_cells: int, max_loads_a_second: int) -> float:
    return max(MIN_LOAD_PERIOD_S, n_cells / max_loads_a_second)

"""Owners and loads of all cells, as observed in the store."""

import logging
from dataclasses import dataclass

import msgspec

from berylcleat.model import MalformedValueError, decode_json
from berylcleat.ports import StoreRow
from berylcleat.scheduling import MAX_UNSETTLED_S

from ._clock import now_s
from ._records import (
    LOAD_PREFIX,
    OWNER_KEY,
    CellSummary,
    LoadRow,
    OwnerRow,
)
from ._remote_liveness import RemoteLiveness
from ._unreadable_rows import UnreadableRows

logger = logging.getLogger(__name__)
_owner_decoder = msgspec.json.Decoder(OwnerRow)
_load_decoder = msgspec.json.Decoder(LoadRow)


@dataclass(frozen=True, slots=True)
class ObservedOwner:
    """Owner row of a cell, its version, and when it was first observed."""

    row: OwnerRow
    version: int
    observed_at: float

    def unsettled_s(self, now: float) -> float:
        """Return the seconds for which earlier runs may be unaccounted for."""
        unsettled_s = min(self.row.unsettled_s, MAX_UNSETTLED_S)
        return max(0.0, unsettled_s - (now - self.observed_at))

    def released_leases(self, now: float) -> dict[str, float] | None:
        """Return for how long leases may last, in seconds by worker; None if unknown.

        Only the owner that released the cell has told. They began to count when it
        wrote the row, which was before the row was observed.
        """
        left_s_by_worker = self.row.lease_left_s_by_worker
        if self.row.host_id or left_s_by_worker is None:
            return None
        age_s = now - self.observed_at
        return {
            worker_id: max(0.0, left_s - age_s)
            for worker_id, left_s in left_s_by_worker.items()
        }


@dataclass(frozen=True, slots=True)
class _ReceivedLoad:
    """Load of a cell, its row's version, and when that was first received."""

    row: LoadRow
    version: int
    received_at: float


class CellDirectory:
    """Owners and last published loads by cell, and the liveness of remote owners."""

    def __init__(self, data_centre: str):
        self._data_centre = data_centre
        self.owner_by_cell: dict[str, ObservedOwner] = {}
        # Versions of owner rows that can't be decoded, by cell. As their epochs aren't
        # known, nobody may acquire the cell: an epoch could be used again.
        self.unreadable_version_by_cell: dict[str, int] = {}
        self.remote_liveness = RemoteLiveness()
        self._load_by_cell: dict[str, _ReceivedLoad] = {}
        # Loads under a later epoch than the cell's owner row that was read last. They
        # count once that epoch is read; one that the store never reaches replaces no
        # other load.
        self._early_load_by_cell: dict[str, _ReceivedLoad] = {}
        self._unreadable_rows = UnreadableRows()

    def on_owner_rows(self, rows: tuple[StoreRow, ...]) -> None:
        """Apply owner rows of the cell table; other rows are ignored."""
        for row in rows:
            if row.key == OWNER_KEY:
                self._on_owner_row(row)

    def _on_owner_row(self, row: StoreRow) -> None:
        known = self.owner_by_cell.get(row.part)
        if known is not None and row.version <= known.version:
            return
        try:
            owner = decode_json(_owner_decoder, row.value)
        except MalformedValueError as error:
            self._on_unreadable_owner(row, error)
            return
        self.unreadable_version_by_cell.pop(row.part, None)
        self.owner_by_cell[row.part] = ObservedOwner(owner, row.version, now_s())
        self._sort_loads(row.part)
        logger.info(
            "cell %s: owner %s epoch %d",
            row.part,
            owner.host_id or "(none)",
            owner.epoch,
        )
        if owner.unsettled_s > MAX_UNSETTLED_S:
            logger.error(
                "owner row of cell %s: runs unaccounted for %.3g s count as for %.1f s",
                row.part,
                owner.unsettled_s,
                MAX_UNSETTLED_S,
            )

    def _on_unreadable_owner(self, row: StoreRow, error: MalformedValueError) -> None:
        if self.unreadable_version_by_cell.get(row.part, -1) >= row.version:
            return
        self.unreadable_version_by_cell[row.part] = row.version
        logger.error("owner row of cell %s can't be decoded: %s", row.part, error)

    def on_data_centre_rows(self, rows: tuple[StoreRow, ...]) -> None:
        """Apply the loads in the table of this data centre; ignore other rows."""
        for row in rows:
            if row.key.startswith(LOAD_PREFIX):
                self._on_load_row(row)

    def on_digest_rows(self, rows: tuple[StoreRow, ...]) -> None:
        """Apply loads and live owners of the other data centres."""
        for row in rows:
            self.remote_liveness.on_row(row)
            if row.key.startswith(LOAD_PREFIX) and row.part != self._data_centre:
                self._on_load_row(row)

    def _on_load_row(self, row: StoreRow) -> None:
        cell_id = row.key.removeprefix(LOAD_PREFIX)
        name = f"load of cell {cell_id}"
        try:
            load = decode_json(_load_decoder, row.value)
        except MalformedValueError as error:
            self._unreadable_rows.add(name, error)
            return
        self._unreadable_rows.discard(name)
        received = _ReceivedLoad(load, row.version, now_s())
        if self._is_early(cell_id, load):
            self._early_load_by_cell[cell_id] = received
        else:
            self._keep_load(cell_id, received)

    def _is_early(self, cell_id: str, load: LoadRow) -> bool:
        owner = self.owner_by_cell.get(cell_id)
        return owner is not None and load.epoch > owner.row.epoch

    def _keep_load(self, cell_id: str, load: _ReceivedLoad) -> None:
        """Replace a cell's load unless the new one is of an earlier owner.

        A delayed write of an earlier owner may arrive last. A version that is read
        again keeps the time of its first receipt.
        """
        known = self._load_by_cell.get(cell_id)
        if known is None or (
            load.row.epoch >= known.row.epoch and load.version != known.version
        ):
            self._load_by_cell[cell_id] = load

    def _sort_loads(self, cell_id: str) -> None:
        """Tell a cell's early load from the one that counts, after a new owner row."""
        loads = (
            self._load_by_cell.pop(cell_id, None),
            self._early_load_by_cell.pop(cell_id, None),
        )
        for load in filter(None, loads):
            if self._is_early(cell_id, load.row):
                self._early_load_by_cell[cell_id] = load
            else:
                self._keep_load(cell_id, load)

    def load_age_s(self, cell_id: str, now: float) -> float:
        """Return the seconds since a cell's load was received; infinity if none was."""
        load = self._load_by_cell.get(cell_id)
        return float("inf") if load is None else now - load.received_at

    def count_owning_hosts(self) -> tuple[int, int]:
        """Return how many hosts own cells, in all and in this data centre."""
        data_centre_by_host = {
            owner.row.host_id: owner.row.data_centre
            for owner in self.owner_by_cell.values()
            if owner.row.host_id
        }
        n_local = sum(
            data_centre == self._data_centre
            for data_centre in data_centre_by_host.values()
        )
        return len(data_centre_by_host), n_local

    def count_cells_of(self, data_centre: str) -> int:
        """Return how many cells have an owner in a data centre."""
        owners = self.owner_by_cell.values()
        return sum(owner.row.data_centre == data_centre for owner in owners)

    def summaries(self) -> dict[str, CellSummary]:
        """Return the loads that current owners published last, by cell."""
        return {
            cell_id: load.row.summary
            for cell_id, load in self._load_by_cell.items()
            if self._is_current(cell_id, load.row)
        }

    def _is_current(self, cell_id: str, load: LoadRow) -> bool:
        owner = self.owner_by_cell.get(cell_id)
        if owner is None or not owner.row.host_id:
            return False
        return owner.row.epoch == load.epoch

    def last_summaries(self) -> dict[str, CellSummary]:
        """Return the load of each cell that any of its owners published last."""
        return {
            cell_id: load.row.summary for cell_id, load in self._load_by_cell.items()
        }

    def stale_load_versions(self, min_age_s: float, now: float) -> dict[str, int]:
        """Return the versions of the loads received ``min_age_s`` ago or earlier."""
        return {
            cell_id: load.version
            for cell_id, load in self._load_by_cell.items()
            if now - load.received_at >= min_age_s
        }

    def epoch_of(self, cell_id: str) -> int:
        """Return the latest epoch of a cell that was read from the store, or 0."""
        owner = self.owner_by_cell.get(cell_id)
        return 0 if owner is None else owner.row.epoch

    def owner_address(self, cell_id: str) -> str | None:
        """Return the peer address of a cell's owner."""
        owner = self.owner_by_cell.get(cell_id)
        if owner is None or not owner.row.host_id:
            return None
        return owner.row.peer_address or None

"""Host heartbeats, and acquisition and release of the data centre's cells."""

import asyncio
import logging
import secrets
from collections.abc import Callable

import msgspec

from berylcleat.model import OutcomeUnknownError, PlatformUnavailableError
from berylcleat.ownership import (
    CellRow,
    CellState,
    HeartbeatView,
    HostRow,
    JournalRow,
    acquire_cell,
    add_worker,
    apply_heartbeats,
    apply_records,
    has_lapsed,
    incarnation_id,
    make_owned_cell,
    mark_gone,
    plan_ownership,
    release_cell,
)
from berylcleat.ports import (
    Changes,
    Check,
    ListedWorker,
    ListSource,
    Put,
    Row,
    Table,
    Transaction,
)

from . import _metrics
from ._cell_runtime import CellRuntime, cell_id_of
from ._journal import journal_prefix
from ._settings import PlannerSettings

logger = logging.getLogger(__name__)


def cell_key(cell_id: str) -> str:
    """Return the key of a cell's row; a cell ID begins with the data centre."""
    return f"cell/{cell_id}"


class CellOwnership:
    """Lease of this host incarnation and the cells that it owns."""

    def __init__(
        self,
        settings: PlannerSettings,
        incarnation: str,
        table: Table,
        list_source: ListSource,
        make_policy_state: Callable[[], object],
    ):
        self.settings = settings
        self.owner_id = incarnation_id(settings.host_id, incarnation)
        self.config_version = 0
        self.is_leaving = False
        self.is_superseded = False
        self.cell_by_id: dict[str, CellRuntime] = {}
        self.row_by_cell: dict[str, tuple[CellRow, int]] = {}
        self.heartbeats = HeartbeatView()
        self._incarnation = incarnation
        self._table = table
        self._list_source = list_source
        self._make_policy_state = make_policy_state
        self._host_key = f"host/{settings.data_centre}/{settings.host_id}"
        self._host_version: int | None = None
        self._n_beats = 0
        self._confirmed_at = float("-inf")

    def may_renew(self, now: float) -> bool:
        """Return whether the last confirmed heartbeat permits worker lease renewal."""
        if self.is_superseded:
            return False
        return now - self._confirmed_at < self.settings.leases.renewal_limit_s

    async def renew_and_rebalance(self) -> None:
        """Send a heartbeat, sync the listed workers, then acquire or release cells."""
        if self.is_superseded:
            return
        await self._send_heartbeat()
        self._sync_workers()
        await self._create_missing_cells()
        if not self.is_leaving:
            await self._rebalance()
        _metrics.CELLS.set(len(self.cell_by_id))

    async def _send_heartbeat(self) -> None:
        sent_at = asyncio.get_running_loop().time()
        if self._host_version is None:
            row = await self._table.read(self._host_key)
            self._host_version = row.version if row else 0
        self._n_beats += 1
        heartbeat = HostRow(
            self.settings.host_id,
            self._incarnation,
            self._n_beats,
            self.settings.admin_address,
            self.config_version,
            self.is_leaving,
        )
        result = await self._commit_row(
            self._host_key, heartbeat, (Check(self._host_key, self._host_version),)
        )
        if result.applied:
            self._host_version = result.version
            self._confirmed_at = sent_at
        else:
            await self._check_superseded()

    async def _check_superseded(self) -> None:
        row = await self._table.read(self._host_key)
        host = msgspec.json.decode(row.value, type=HostRow) if row else None
        if host and host.incarnation != self._incarnation and self._n_beats > 1:
            logger.error(
                "host %s is run by another incarnation; this process drops its cells",
                self.settings.host_id,
            )
            self.is_superseded = True
            self.cell_by_id.clear()
            return
        self._host_version = row.version if row else 0

    async def _commit_row(self, key: str, value, checks: tuple[Check, ...]):
        transaction = Transaction(
            secrets.token_hex(8),
            key,
            checks,
            (Put(key, msgspec.json.encode(value).decode()),),
        )
        return await self._table.commit(transaction)

    def on_host_changes(self, changes: Changes) -> None:
        """Update the heartbeats of the data centre's hosts after a scan."""
        changed = tuple(
            (msgspec.json.decode(row.value, type=HostRow), row.version)
            for row in changes.rows
        )
        self.heartbeats = apply_heartbeats(
            self.heartbeats, changed, changes.requested_at, changes.received_at
        )

    def on_cell_changes(self, changes: Changes) -> None:
        """Update the rows of changed cells."""
        for row in changes.rows:
            self.update_cell_row(row)

    def update_cell_row(self, row: Row) -> None:
        """Cache a cell's row; drop the cell if the row has a newer epoch."""
        cell_row = msgspec.json.decode(row.value, type=CellRow)
        cached = self.row_by_cell.get(cell_row.cell_id)
        if cached and cached[1] >= row.version:
            return
        self.row_by_cell[cell_row.cell_id] = (cell_row, row.version)
        own_cell = self.cell_by_id.get(cell_row.cell_id)
        if own_cell and cell_row.epoch > own_cell.row.epoch:
            self.drop_cell(cell_row.cell_id)

    def drop_cell(self, cell_id: str) -> None:
        """Remove a cell that another host has acquired from the owned cells."""
        if self.cell_by_id.pop(cell_id, None):
            logger.warning("cell %s is now owned by another host", cell_id)

    def _listed_workers(self) -> list[ListedWorker]:
        return [
            worker
            for worker in self._list_source.worker_by_id.values()
            if worker.spec.data_centre == self.settings.data_centre
        ]

    def _sync_workers(self) -> None:
        """Apply the platform's worker list: new workers, changed specs, deletions."""
        now = asyncio.get_running_loop().time()
        for worker in self._listed_workers():
            cell = self.cell_by_id.get(cell_id_of(worker.spec))
            if cell is None:
                continue
            worker_id = worker.spec.worker_id
            cell.spec_by_worker[worker_id] = worker.spec
            if worker_id not in cell.owned.worker_by_id:
                cell.owned = add_worker(cell.owned, worker_id, now)
            if worker.is_gone and not cell.owned.worker_by_id[worker_id].is_gone:
                cell.owned = mark_gone(cell.owned, worker_id)
                cell.is_dirty = True

    async def _create_missing_cells(self) -> None:
        listed_cells = {cell_id_of(worker.spec) for worker in self._listed_workers()}
        if self.heartbeats.scan_sent_at == float("-inf"):
            return
        for cell_id in sorted(listed_cells - set(self.row_by_cell)):
            key = cell_key(cell_id)
            await self._commit_row(key, CellRow(cell_id), (Check(key, 0),))

    async def _rebalance(self) -> None:
        rows = {cell_id: row for cell_id, (row, _) in self.row_by_cell.items()}
        lapse_s = self.settings.leases.with_clock_drift(
            self.settings.leases.host_lapse_s
        )
        change = plan_ownership(rows, self.heartbeats, self.owner_id, lapse_s)
        for cell_id in change.release:
            await self.release(cell_id)
        for cell_id in change.acquire:
            await self._acquire(cell_id, lapse_s)

    async def _acquire(self, cell_id: str, lapse_s: float) -> None:
        """Acquire a cell under the next epoch and replay its state.

        The commit fails if the cell's row, this host's row or the heartbeat of a lapsed
        owner has changed since it was read.
        """
        row, version = self.row_by_cell[cell_id]
        checks = [
            Check(cell_key(cell_id), version),
            Check(self._host_key, self._host_version),
        ]
        if row.owner and has_lapsed(self.heartbeats, row.owner, lapse_s):
            checks.extend(self._owner_checks(row.owner))
        acquired = acquire_cell(row, self.owner_id)
        result = await self._commit_row(cell_key(cell_id), acquired, tuple(checks))
        if not result.applied:
            return
        state = await self._replay_journal(acquired)
        now = asyncio.get_running_loop().time()
        specs = {
            worker.spec.worker_id: worker.spec
            for worker in self._listed_workers()
            if cell_id_of(worker.spec) == cell_id
        }
        owned = make_owned_cell(
            state, acquired.epoch, self.settings.leases, tuple(specs), now
        )
        self.row_by_cell[cell_id] = (acquired, result.version)
        self.cell_by_id[cell_id] = CellRuntime(
            acquired, result.version, owned, specs, self._make_policy_state(), now
        )
        _metrics.TAKEOVERS.inc()
        logger.info("acquired cell %s at epoch %d", cell_id, acquired.epoch)

    def _owner_checks(self, owner: str) -> list[Check]:
        for heartbeat in self.heartbeats.by_host_id.values():
            row = heartbeat.row
            if incarnation_id(row.host_id, row.incarnation) == owner:
                key = f"host/{self.settings.data_centre}/{row.host_id}"
                return [Check(key, heartbeat.version)]
        return []

    async def _replay_journal(self, row: CellRow) -> CellState:
        """Replay the cell's state from the journal named in its row.

        Retry until the table answers.
        """
        state = CellState(row.cell_id)
        if not row.journal:
            return state
        while True:
            try:
                result = await self._table.scan((journal_prefix(row.journal),))
                break
            except (OutcomeUnknownError, PlatformUnavailableError):
                await asyncio.sleep(self.settings.beat_period_s)
        rows = [msgspec.json.decode(r.value, type=JournalRow) for r in result.rows]
        for journal_row in sorted(rows, key=lambda r: r.sequence):
            if journal_row.sequence >= row.journal_from:
                state = apply_records(state, journal_row.records)
        return state

    async def release(self, cell_id: str) -> None:
        """Release a cell, so that another host can acquire it without waiting."""
        cell = self.cell_by_id.pop(cell_id, None)
        if cell is None:
            return
        key = cell_key(cell_id)
        released = release_cell(cell.row)
        result = await self._commit_row(key, released, (Check(key, cell.row_version),))
        if result.applied:
            self.row_by_cell[cell_id] = (released, result.version)
            logger.info("released cell %s", cell_id)

    async def leave(self) -> None:
        """Release every cell and send a heartbeat that marks the host as leaving."""
        self.is_leaving = True
        for cell_id in tuple(self.cell_by_id):
            await self.release(cell_id)
        await self._send_heartbeat()

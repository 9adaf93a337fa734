"""Beat, watch the other hosts of the data centre, take over and release cells."""

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
    """Return the key of a cell's row; the data centre comes first."""
    return f"cell/{cell_id}"


class OwnershipKeeper:
    """Hold the lease of this incarnation and the cells that it owns."""

    def __init__(
        self,
        settings: PlannerSettings,
        incarnation: str,
        table: Table,
        list_source: ListSource,
        make_memory: Callable[[], object],
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
        self._make_memory = make_memory
        self._host_key = f"host/{settings.data_centre}/{settings.host_id}"
        self._host_version: int | None = None
        self._beat = 0
        self._confirmed_at = float("-inf")

    def may_act(self, now: float) -> bool:
        """Tell whether the last confirmed beat still lets this process renew."""
        if self.is_superseded:
            return False
        return now - self._confirmed_at < self.settings.leases.renewal_limit_s

    async def step(self) -> None:
        """Beat, then take over or release what is due."""
        if self.is_superseded:
            return
        await self._send_beat()
        self._follow_workers()
        await self._create_missing_cells()
        if not self.is_leaving:
            await self._rebalance()
        _metrics.CELLS.set(len(self.cell_by_id))

    async def _send_beat(self) -> None:
        sent_at = asyncio.get_running_loop().time()
        if self._host_version is None:
            row = await self._table.read(self._host_key)
            self._host_version = row.version if row else 0
        self._beat += 1
        beat = HostRow(
            self.settings.host_id,
            self._incarnation,
            self._beat,
            self.settings.admin_address,
            self.config_version,
            self.is_leaving,
        )
        result = await self._write(
            self._host_key, beat, (Check(self._host_key, self._host_version),)
        )
        if result.applied:
            self._host_version = result.version
            self._confirmed_at = sent_at
        else:
            await self._check_superseded()

    async def _check_superseded(self) -> None:
        row = await self._table.read(self._host_key)
        host = msgspec.json.decode(row.value, type=HostRow) if row else None
        if host and host.incarnation != self._incarnation and self._beat > 1:
            logger.error(
                "another incarnation of %s runs: stopping", self.settings.host_id
            )
            self.is_superseded = True
            self.cell_by_id.clear()
            return
        self._host_version = row.version if row else 0

    async def _write(self, key: str, value, checks: tuple[Check, ...]):
        transaction = Transaction(
            secrets.token_hex(8),
            key,
            checks,
            (Put(key, msgspec.json.encode(value).decode()),),
        )
        return await self._table.commit(transaction)

    def on_hosts(self, changes: Changes) -> None:
        """Note the heartbeats of the data centre's hosts, or their silence."""
        changed = tuple(
            (msgspec.json.decode(row.value, type=HostRow), row.version)
            for row in changes.rows
        )
        self.heartbeats = apply_heartbeats(
            self.heartbeats, changed, changes.asked_at, changes.answered_at
        )

    def on_cells(self, changes: Changes) -> None:
        """Note the cells that changed hands."""
        for row in changes.rows:
            self.note_row(row)

    def note_row(self, row: Row) -> None:
        """Note a cell's row; drop the cell if another incarnation owns it now."""
        cell_row = msgspec.json.decode(row.value, type=CellRow)
        known = self.row_by_cell.get(cell_row.cell_id)
        if known and known[1] >= row.version:
            return
        self.row_by_cell[cell_row.cell_id] = (cell_row, row.version)
        mine = self.cell_by_id.get(cell_row.cell_id)
        if mine and cell_row.epoch > mine.row.epoch:
            self.drop(cell_row.cell_id)

    def drop(self, cell_id: str) -> None:
        """Stop acting for a cell that is no longer ours."""
        if self.cell_by_id.pop(cell_id, None):
            logger.warning("cell %s is owned by another host now", cell_id)

    def _listed(self) -> list[ListedWorker]:
        return [
            worker
            for worker in self._list_source.worker_by_id.values()
            if worker.spec.data_centre == self.settings.data_centre
        ]

    def _follow_workers(self) -> None:
        """Take over new workers and the platform's word on those that are gone."""
        now = asyncio.get_running_loop().time()
        for worker in self._listed():
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
        wanted = {cell_id_of(worker.spec) for worker in self._listed()}
        if self.heartbeats.scan_sent_at == float("-inf"):
            return
        for cell_id in sorted(wanted - set(self.row_by_cell)):
            key = cell_key(cell_id)
            await self._write(key, CellRow(cell_id), (Check(key, 0),))

    async def _rebalance(self) -> None:
        rows = {cell_id: row for cell_id, (row, _) in self.row_by_cell.items()}
        lapse_s = self.settings.leases.with_clock_drift(
            self.settings.leases.host_lapse_s
        )
        change = plan_ownership(rows, self.heartbeats, self.owner_id, lapse_s)
        for cell_id in change.release:
            await self.release(cell_id)
        for cell_id in change.acquire:
            await self._take(cell_id, lapse_s)

    async def _take(self, cell_id: str, lapse_s: float) -> None:
        """Bump the epoch, unless the old owner has beaten since we looked."""
        row, version = self.row_by_cell[cell_id]
        checks = [
            Check(cell_key(cell_id), version),
            Check(self._host_key, self._host_version),
        ]
        if row.owner and has_lapsed(self.heartbeats, row.owner, lapse_s):
            checks.extend(self._owner_checks(row.owner))
        taken = acquire_cell(row, self.owner_id)
        result = await self._write(cell_key(cell_id), taken, tuple(checks))
        if not result.applied:
            return
        state = await self._recover(taken)
        now = asyncio.get_running_loop().time()
        specs = {
            worker.spec.worker_id: worker.spec
            for worker in self._listed()
            if cell_id_of(worker.spec) == cell_id
        }
        owned = make_owned_cell(
            state, taken.epoch, self.settings.leases, tuple(specs), now
        )
        self.row_by_cell[cell_id] = (taken, result.version)
        self.cell_by_id[cell_id] = CellRuntime(
            taken, result.version, owned, specs, self._make_memory(), now
        )
        _metrics.TAKEOVERS.inc()
        logger.info("own cell %s at epoch %d", cell_id, taken.epoch)

    def _owner_checks(self, owner: str) -> list[Check]:
        for heartbeat in self.heartbeats.by_host_id.values():
            row = heartbeat.row
            if incarnation_id(row.host_id, row.incarnation) == owner:
                key = f"host/{self.settings.data_centre}/{row.host_id}"
                return [Check(key, heartbeat.version)]
        return []

    async def _recover(self, row: CellRow) -> CellState:
        """Fold the cell's state from the journal that its row names."""
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
        """Give a cell up so that a peer can take it at once."""
        cell = self.cell_by_id.pop(cell_id, None)
        if cell is None:
            return
        key = cell_key(cell_id)
        free = release_cell(cell.row)
        result = await self._write(key, free, (Check(key, cell.row_version),))
        if result.applied:
            self.row_by_cell[cell_id] = (free, result.version)
            logger.info("released cell %s", cell_id)

    async def leave(self) -> None:
        """Release every cell and say that this host is leaving."""
        self.is_leaving = True
        for cell_id in tuple(self.cell_by_id):
            await self.release(cell_id)
        await self._send_beat()

"""Take cells without an owner, give them up, and keep their drivers."""

import asyncio
import logging

from berylcleat.model import BerylError
from berylcleat.ports import (
    Advisor,
    Commit,
    Condition,
    RowWrite,
    Store,
    StoreRow,
    WorkerEntry,
)
from berylcleat.scheduling import InterferenceModel, LeaseTimes

from ._cell_driver import CellDriver
from ._clock import now_s
from ._directory import Directory, DirectoryEntry
from ._follower import TableFollower
from ._membership import Knowledge, Membership, OwnerSighting, assign_cells
from ._peers import Handover, PeerClient
from ._records import CELL_TABLE, OWNER_KEY, CellSummary, OwnerRow, encode
from ._task_carrier import TaskCarrier
from ._worker_list import WorkerList

# Hosts of a cell's own data centre have this long to show up before others take it.
FOREIGN_WAIT_S = 1.5
# A cell that was given up in order: whoever is alive is known by then.
RELEASED_WAIT_S = 0.3
logger = logging.getLogger(__name__)


class CellKeeper:
    """Hold the drivers of the cells that this incarnation owns, by cell id."""

    def __init__(
        self,
        host_id: str,
        data_centre: str,
        incarnation: str,
        store: Store,
        directory: Directory,
        membership: Membership,
        workers: WorkerList,
        cells: TableFollower,
        submissions: TableFollower,
        times: LeaseTimes,
        pairs: InterferenceModel,
        peers: PeerClient,
        advisor: Advisor | None = None,
    ):
        self.driver_by_cell: dict[str, CellDriver] = {}
        self.is_leaving = False
        self._host_id = host_id
        self._data_centre = data_centre
        self._wished_at_by_cell: dict[str, float] = {}
        self._given_up_epoch_by_cell: dict[str, int] = {}
        self._incarnation = incarnation
        self._store = store
        self._directory = directory
        self._membership = membership
        self._workers = workers
        self._cells = cells
        self._submissions = submissions
        self._times = times
        self._pairs = pairs
        self._peers = peers
        self._advisor = advisor
        self._carrier = TaskCarrier(store, directory, membership, peers, self)
        directory.listeners.append(self._on_submission)
        workers.listeners.append(self._on_workers)

    async def step(self, known: Knowledge) -> None:
        """Drop what is lost and take what falls to this host."""
        await self._drop_lost()
        if self.is_leaving or not self._cells.has_read:
            return
        if self._cells.failing_since is not None:
            return
        await self._drive_unanswered()
        now = now_s()
        for cell_id, host_id in self._wanted(known).items():
            if host_id != self._host_id or cell_id in self.driver_by_cell:
                continue
            place = self._workers.data_centre_by_cell()[cell_id]
            wished_at = self._wished_at_by_cell.setdefault(cell_id, now)
            wait_s = self._foreign_wait_s(cell_id)
            if place != self._data_centre and now - wished_at < wait_s:
                continue
            self._wished_at_by_cell.pop(cell_id)
            await self._take(cell_id)

    async def _drive_unanswered(self) -> None:
        """Drive cells that a commit of ours has taken although its answer was lost."""
        for cell_id, owner in tuple(self._membership.owner_by_cell.items()):
            row = owner.row
            is_ours = (row.host_id, row.incarnation) == (
                self._host_id,
                self._incarnation,
            )
            given_up = self._given_up_epoch_by_cell.get(cell_id, 0) >= row.epoch
            if is_ours and not given_up and cell_id not in self.driver_by_cell:
                logger.info("cell %s: ours under epoch %d", cell_id, row.epoch)
                await self._drive(cell_id, row, owner.version, owner)

    def _foreign_wait_s(self, cell_id: str) -> float:
        owner = self._membership.owner_by_cell.get(cell_id)
        was_released = owner is not None and not owner.row.host_id
        return RELEASED_WAIT_S if was_released else FOREIGN_WAIT_S

    async def release_all(self) -> None:
        """Give all cells up."""
        self.is_leaving = True
        drivers = list(self.driver_by_cell.values())
        self.driver_by_cell.clear()
        await asyncio.gather(*(driver.release() for driver in drivers))

    def summaries(self) -> dict[str, CellSummary]:
        """Return the loads of the cells owned here."""
        summaries = {}
        for cell_id, driver in self.driver_by_cell.items():
            summary = driver.summary()
            if summary is not None:
                summaries[cell_id] = summary
        return summaries

    def _wanted(self, known: Knowledge) -> dict[str, str]:
        live = self._membership.live_hosts(known)
        owners = {}
        for cell_id, owner in self._membership.owner_by_cell.items():
            row = owner.row
            if row.host_id in live and self._membership.is_live(
                row.host_id, row.incarnation, known
            ):
                owners[cell_id] = row.host_id
        return assign_cells(self._workers.data_centre_by_cell(), owners, live)

    async def _take(self, cell_id: str) -> None:
        before = self._membership.owner_by_cell.get(cell_id)
        epoch = before.row.epoch + 1 if before else 1
        version = before.version if before else 0
        unsettled_s = self._unsettled_s(before)
        row = OwnerRow(epoch, self._host_id, self._incarnation, unsettled_s)
        place = (CELL_TABLE, cell_id, OWNER_KEY)
        commit = Commit((Condition(*place, version),), (RowWrite(*place, encode(row)),))
        try:
            outcome = await self._store.commit(commit)
        except BerylError as error:
            logger.warning("cell %s: not taken: %s", cell_id, error)
            return
        if not outcome.applied:
            self._membership.on_owner_rows(outcome.current)
            return
        written = StoreRow(*place, encode(row), outcome.version)
        self._membership.on_owner_rows((written,))
        await self._drive(cell_id, row, outcome.version, before)

    def _unsettled_s(self, before: OwnerSighting | None) -> float:
        """Return how long unknown runs may last if the earlier owner is not heard."""
        if before is None:
            return 0.0
        left_s = before.unsettled_s(now_s())
        if not before.row.host_id:
            return left_s
        return max(left_s, self._times.takeover_wait_s(owner_is_dead=False))

    async def _drive(
        self,
        cell_id: str,
        row: OwnerRow,
        version: int,
        before: OwnerSighting | None,
    ) -> None:
        left_s = before.unsettled_s(now_s()) if before else 0.0
        wait_s = self._times.takeover_wait_s(await self._has_ended(cell_id, before))
        driver = CellDriver(
            cell_id,
            self._workers.data_centre_by_cell().get(cell_id, ""),
            row,
            version,
            self._store,
            self._directory,
            self._times,
            now_s() + max(wait_s, left_s),
            self._is_confirmed,
            self._pairs,
            self._carrier,
            self._advisor,
        )
        if self.is_leaving or self._given_up_epoch_by_cell.get(cell_id, 0) >= row.epoch:
            await driver.release()
            return
        self.driver_by_cell[cell_id] = driver
        try:
            await self._submissions.refresh(version)
            await driver.start(self._workers.in_cell(cell_id))
        except BerylError as error:
            logger.warning("cell %s: not begun: %s", cell_id, error)
            # Leaving may have released it meanwhile.
            if self.driver_by_cell.pop(cell_id, None) is not None:
                await driver.release()

    async def _has_ended(self, cell_id: str, before: OwnerSighting | None) -> bool:
        """Tell whether the earlier owner surely renews and starts nothing more."""
        if before is None or not before.row.host_id:
            return True
        row = before.row
        if row.host_id == self._host_id:
            return row.incarnation != self._incarnation
        sighting = self._membership.host_by_id.get(row.host_id)
        if sighting is None:
            return False
        if sighting.row.incarnation != row.incarnation:
            return True
        address = sighting.row.peer_address
        return await self._peers.take_over(address, Handover(cell_id, row.epoch))

    async def give_up(self, cell_id: str, epoch: int) -> None:
        """Stop driving a cell that another host has taken, or don't begin to."""
        given_up = self._given_up_epoch_by_cell.get(cell_id, 0)
        self._given_up_epoch_by_cell[cell_id] = max(given_up, epoch)
        driver = self.driver_by_cell.get(cell_id)
        if driver is not None and driver.owner.epoch <= epoch:
            del self.driver_by_cell[cell_id]
            await driver.abandon()

    def _is_confirmed(self) -> bool:
        """Tell whether ownership was confirmed recently enough to go on."""
        age_s = now_s() - self._cells.confirmed_at
        return age_s < self._times.owner_limit_s

    async def _drop_lost(self) -> None:
        for cell_id, driver in tuple(self.driver_by_cell.items()):
            owner = self._membership.owner_by_cell[cell_id]
            is_ours = owner.row == driver.owner
            fenced = driver.cell is not None and driver.cell.is_fenced_out
            if not is_ours or fenced or driver.is_lost:
                del self.driver_by_cell[cell_id]
                await driver.abandon()

    def _on_submission(self, submission_id: str, entry: DirectoryEntry) -> None:
        if entry.accepted is None:
            return
        cells = entry.cells()
        for cell_id, driver in self.driver_by_cell.items():
            # A cell whose guests went on to another one must hear of it too.
            if cell_id in cells or driver.follows(submission_id):
                driver.on_submission(submission_id, entry)

    def _on_workers(self, by_cell: dict[str, dict[str, WorkerEntry]]) -> None:
        for cell_id, driver in self.driver_by_cell.items():
            driver.update_workers(by_cell.get(cell_id, {}))

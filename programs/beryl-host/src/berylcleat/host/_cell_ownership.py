"""Acquire cells without a live owner, release them, and run their controllers."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Set
from dataclasses import dataclass
from functools import partial

from berylcleat.model import BerylError
from berylcleat.ports import (
    Commit,
    Condition,
    RowWrite,
    StoreRow,
    WorkerEntry,
)
from berylcleat.scheduling import LeaseTimes, wait_for_limit_s

from ._cell_controller import CellController
from ._cell_directory import ObservedOwner
from ._clock import now_s
from ._components import Connections, Knowledge, OwnerFeeds
from ._earlier_owners import (
    latest_lease_end,
    read_latest_lease_end,
    stopped_leases_end_at,
)
from ._identity import HostIdentity
from ._known_cells import KnownCells
from ._membership import Coverage, assign_cells
from ._peers import TakeoverNotice, TakeoverReply
from ._records import (
    CELL_TABLE,
    OWNER_KEY,
    CellSummary,
    EarlierOwner,
    OwnerRow,
    encode,
)
from ._remote_liveness import choose_adopting_data_centre
from ._submission_directory import SubmissionEntry
from ._submission_store import SubmissionStore
from ._task_mover import TaskMover

# Time for a live host of the cell's own data centre to appear before a host of another
# data centre acquires the cell.
REMOTE_TAKEOVER_DELAY_S = 1.0
# The same delay for a cell that its owner released: live hosts are known by then.
RELEASED_TAKEOVER_DELAY_S = 0.3
# Time after which hosts of any data centre may acquire a cell without a live owner:
# those that should may not know it, or may not reach the store.
ORPHANED_CELL_DELAY_S = 4.0
# Time for which this host doesn't acquire a cell that it has given up after an
# unexpected exception: one that comes again at once must not load the store.
FAILED_CELL_DELAY_S = 1.0
# Time for the earlier owners of a cell to tell that they have stopped before the cell
# begins; they are asked again later.
STOP_REPLY_TIMEOUT_S = 0.1
logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class RemainingLeases:
    """Leases of a cell when this host abandoned it, as times of expiry by worker."""

    epoch: int
    expiry_by_worker: dict[str, float]

    def left_s_by_worker(self, now: float) -> dict[str, float]:
        """Return the seconds until each lease has certainly expired."""
        return {
            worker_id: max(0.0, expiry - now)
            for worker_id, expiry in self.expiry_by_worker.items()
        }


async def _reply_in_time(
    confirm_stop: Callable[[], Awaitable[TakeoverReply | None]],
) -> TakeoverReply | None:
    """Return the earlier owners' reply, or None if it doesn't come soon.

    Leases on all workers run out meanwhile, so the cell begins without it.
    """
    try:
        async with asyncio.timeout(STOP_REPLY_TIMEOUT_S):
            return await confirm_stop()
    except TimeoutError:
        return None


def _as_earlier_owners(observed: ObservedOwner) -> tuple[EarlierOwner, ...]:
    """Return the owner that an owner row names, if any."""
    row = observed.row
    if not row.host_id:
        return ()
    owner = EarlierOwner(
        row.epoch,
        row.host_id,
        row.incarnation,
        row.peer_address,
        observed.version,
        row.data_centre,
        row.limit_s,
    )
    return (owner,)


class CellOwnershipManager:
    """Manager of the cells of one host incarnation: acquires and releases them.

    ``controller_by_cell`` holds the controllers of the cells that it owns.
    """

    def __init__(
        self,
        identity: HostIdentity,
        connections: Connections,
        knowledge: Knowledge,
        feeds: OwnerFeeds,
        times: LeaseTimes,
        *,
        expected_finish: bool = False,
        heartbeat_before: Callable[[float], float] = lambda at: at,
    ):
        self.controller_by_cell: dict[str, CellController] = {}
        self.is_leaving = False
        self._identity = identity
        # When each cell was first assigned to this host; removed when it is acquired.
        self._eligible_since_by_cell: dict[str, float] = {}
        # When each cell was first seen without a live owner.
        self._ownerless_since_by_cell: dict[str, float] = {}
        # Leases that cells abandoned by this host may still have, by cell id.
        self._remaining_leases_by_cell: dict[str, RemainingLeases] = {}
        # Highest epoch under which this host must no longer run a cell, by cell id.
        self._relinquished_epoch_by_cell: dict[str, int] = {}
        # When cells of this host failed with an unexpected exception, by cell id.
        self._failed_at_by_cell: dict[str, float] = {}
        self._connections = connections
        self._store = connections.store
        self._knowledge = knowledge
        self._membership = knowledge.membership
        self._cells = knowledge.cells
        self._workers = knowledge.workers
        self._known_cells = KnownCells(knowledge.workers, knowledge.cells)
        self._feeds = feeds
        self._times = times
        self._expected_finish = expected_finish
        # Returns when the last heartbeat was sent that was stored before a time.
        self._heartbeat_before = heartbeat_before
        self._mover = TaskMover(
            SubmissionStore(connections.store),
            knowledge.directory,
            knowledge.cells,
            connections.peers,
            self,
            knowledge.operator,
        )
        knowledge.directory.listeners.append(self._on_submission)
        knowledge.workers.listeners.append(self._on_workers)

    async def reconcile(self, local: Coverage, remote: Coverage) -> None:
        """Drop lost cells and acquire the cells assigned to this host.

        The coverages are those of the heartbeats of this data centre and of the digests
        of the other ones.
        """
        await self._drop_lost()
        self._feeds.submissions.close_unused(set(self.controller_by_cell))
        if self.is_leaving or not self._feeds.cells.has_synced:
            return
        if self._feeds.cells.failing_since is not None:
            return
        await self._start_unacknowledged()
        now = now_s()
        observed_by_cell = dict(self._cells.owner_by_cell)
        assigned = {
            cell_id
            for cell_id, host_id in self._assignments(local, remote).items()
            if host_id == self._identity.host_id
        }
        assigned |= self._relinquished_cells()
        for cell_id in self._eligible_since_by_cell.keys() - assigned:
            del self._eligible_since_by_cell[cell_id]
        for cell_id in sorted(assigned - self.controller_by_cell.keys()):
            if self.is_leaving:
                return
            if self._has_changed(cell_id, observed_by_cell.get(cell_id)):
                # Acquired by another host while this one acquired another cell.
                continue
            data_centre = self._known_cells.data_centre_of(cell_id)
            failed_at = self._failed_at_by_cell.get(cell_id, float("-inf"))
            if now - failed_at < FAILED_CELL_DELAY_S:
                continue
            eligible_since = self._eligible_since_by_cell.setdefault(cell_id, now)
            wait_s = self._remote_takeover_delay_s(cell_id)
            is_remote = data_centre != self._identity.data_centre
            if is_remote and now - eligible_since < wait_s:
                continue
            self._eligible_since_by_cell.pop(cell_id)
            await self._acquire(cell_id)

    async def _start_unacknowledged(self) -> None:
        """Start cells that were acquired by a commit whose answer was lost."""
        for cell_id, owner in tuple(self._cells.owner_by_cell.items()):
            row = owner.row
            is_ours = (row.host_id, row.incarnation) == (
                self._identity.host_id,
                self._identity.incarnation,
            )
            if (
                is_ours
                and not self._has_changed(cell_id, owner)
                and not self._has_relinquished(cell_id, row)
                and cell_id not in self.controller_by_cell
            ):
                logger.info(
                    "cell %s: acquired by an unacknowledged commit, epoch %d",
                    cell_id,
                    row.epoch,
                )
                await self._start_controller(cell_id, row, owner.version, owner)

    def _has_changed(self, cell_id: str, observed: ObservedOwner | None) -> bool:
        """Return whether a newer owner row than the observed one is known."""
        return self._cells.owner_by_cell.get(cell_id) is not observed

    def _remote_takeover_delay_s(self, cell_id: str) -> float:
        owner = self._cells.owner_by_cell.get(cell_id)
        was_released = owner is not None and not owner.row.host_id
        return RELEASED_TAKEOVER_DELAY_S if was_released else REMOTE_TAKEOVER_DELAY_S

    async def release_all(self) -> None:
        """Release all cells and acquire none from now on."""
        self.is_leaving = True
        controllers = list(self.controller_by_cell.values())
        self.controller_by_cell.clear()
        await asyncio.gather(*(controller.release() for controller in controllers))
        self._feeds.submissions.close_unused(set())

    def summaries(self) -> dict[str, CellSummary]:
        """Return load summaries of the cells that this host owns, by cell id."""
        summaries = {}
        for cell_id, controller in self.controller_by_cell.items():
            summary = controller.attempt(controller.summary)
            if summary is not None:
                summaries[cell_id] = summary
        return summaries

    def _assignments(self, local: Coverage, remote: Coverage) -> dict[str, str]:
        """Return the host of this data centre for each cell that needs an owner.

        None before the heartbeat of this incarnation is read: from then on one of the
        earlier incarnation can't be written any more, so that none is newer than the
        owner rows of this one.
        """
        identity = self._identity
        if not self._membership.is_live(identity.host_id, identity.incarnation, local):
            return {}
        live_hosts = self._membership.live_hosts(local)
        live_owner_by_cell = {
            cell_id: owner.row.host_id
            for cell_id, owner in self._cells.owner_by_cell.items()
            if self._is_owner_live(owner, live_hosts.keys(), local, remote)
        }
        live_centres = self._cells.remote_liveness.live_data_centres(remote)
        live_centres.add(self._identity.data_centre)
        data_centre_by_cell = self._known_cells.data_centre_by_cell()
        ownerless = data_centre_by_cell.keys() - live_owner_by_cell.keys()
        orphaned = self._find_orphaned(ownerless, now_s())
        cell_ids = {
            cell_id
            for cell_id, data_centre in data_centre_by_cell.items()
            if cell_id in orphaned
            or self._is_responsible(cell_id, data_centre, live_centres)
        }
        return assign_cells(cell_ids, live_owner_by_cell, live_hosts)

    def _find_orphaned(self, ownerless: Set[str], now: float) -> set[str]:
        """Return the cells that have been without a live owner for long."""
        since_by_cell = {
            cell_id: self._ownerless_since_by_cell.get(cell_id, now)
            for cell_id in ownerless
        }
        self._ownerless_since_by_cell = since_by_cell
        return {
            cell_id
            for cell_id, since in since_by_cell.items()
            if now - since >= ORPHANED_CELL_DELAY_S
        }

    def _relinquished_cells(self) -> set[str]:
        """Return the cells whose rows still name an epoch that ended here.

        Other hosts take this one for their live owner, so only it may acquire them.
        """
        return {
            cell_id
            for cell_id, owner in self._cells.owner_by_cell.items()
            if self._has_relinquished(cell_id, owner.row)
        }

    def _has_relinquished(self, cell_id: str, row: OwnerRow) -> bool:
        """Return whether a row names an epoch that this incarnation no longer runs.

        Another host has usually acquired the cell, and the attempt to acquire it tells.
        If none has, the cell would have no owner while this host lives.
        """
        if (row.host_id, row.incarnation) != (
            self._identity.host_id,
            self._identity.incarnation,
        ):
            return False
        return self._relinquished_epoch_by_cell.get(cell_id, 0) >= row.epoch

    def _is_owner_live(
        self,
        owner: ObservedOwner,
        live_host_ids: Set[str],
        local: Coverage,
        remote: Coverage,
    ) -> bool:
        row = owner.row
        if not row.host_id:
            return False
        if row.data_centre == self._identity.data_centre:
            return row.host_id in live_host_ids and self._membership.is_live(
                row.host_id, row.incarnation, local
            )
        # The digests may not list an owner yet that has only just acquired the cell.
        if remote.is_recent(owner.observed_at):
            return True
        return self._cells.remote_liveness.is_live(
            row.data_centre, row.host_id, row.incarnation, remote
        )

    def _is_responsible(
        self, cell_id: str, data_centre: str, live_centres: set[str]
    ) -> bool:
        """Return whether hosts of this data centre should own a cell."""
        if data_centre not in live_centres:
            data_centre = choose_adopting_data_centre(cell_id, live_centres)
        return data_centre == self._identity.data_centre

    async def _acquire(self, cell_id: str) -> None:
        if cell_id in self._cells.unreadable_version_by_cell:
            return
        previous = self._cells.owner_by_cell.get(cell_id)
        epoch = previous.row.epoch + 1 if previous else 1
        version = previous.version if previous else 0
        unsettled_s = self._unsettled_s(previous)
        row = OwnerRow(
            epoch,
            self._identity.host_id,
            self._identity.incarnation,
            unsettled_s,
            self._identity.data_centre,
            self._identity.peer_address,
            self._earlier_owners(previous),
            self._known_cells.data_centre_of(cell_id),
            limit_s=self._times.owner_limit_s,
        )
        row_key = (CELL_TABLE, cell_id, OWNER_KEY)
        commit = Commit(
            (Condition(*row_key, version),), (RowWrite(*row_key, encode(row)),)
        )
        try:
            outcome = await self._store.commit(commit)
        except BerylError as error:
            logger.warning("cell %s: could not acquire ownership: %s", cell_id, error)
            return
        if not outcome.applied:
            self._cells.on_owner_rows(outcome.current)
            return
        written = StoreRow(*row_key, encode(row), outcome.version)
        self._cells.on_owner_rows((written,))
        await self._start_controller(cell_id, row, outcome.version, previous)

    def _unsettled_s(self, previous: ObservedOwner | None) -> float:
        """Return the seconds for which earlier runs may be unaccounted for.

        A previous owner that has not released the cell is assumed to be still running.
        """
        if previous is None:
            return 0.0
        remaining_s = previous.unsettled_s(now_s())
        if not previous.row.host_id:
            return remaining_s
        return max(remaining_s, wait_for_limit_s(previous.row.limit_s))

    def _earlier_owners(
        self, previous: ObservedOwner | None
    ) -> tuple[EarlierOwner, ...] | None:
        """Return the earlier owners that may still be running; None if not known."""
        if previous is None:
            return ()
        owners = previous.row.earlier_owners
        if not previous.unsettled_s(now_s()):
            owners = ()
        if owners is None:
            return None
        return tuple(
            owner
            for owner in (*owners, *_as_earlier_owners(previous))
            if not self._is_replaced(owner)
        )

    def _is_replaced(self, owner: EarlierOwner) -> bool:
        """Return whether the host of an earlier owner is known to have restarted."""
        return self._membership.is_replaced(
            owner.host_id, owner.incarnation, owner.version
        )

    async def _start_controller(
        self,
        cell_id: str,
        row: OwnerRow,
        version: int,
        previous: ObservedOwner | None,
    ) -> None:
        acquired_at = now_s()
        owners, remaining_s = row.earlier_owners, 0.0
        if owners is None and previous is not None:
            # A row that was acquired without an answer is the new one itself.
            is_earlier = previous.version != version
            owners = _as_earlier_owners(previous) if is_earlier else ()
            remaining_s = previous.unsettled_s(now_s())
        unsettled_until = now_s() + remaining_s
        released = previous if row.earlier_owners is not None else None
        confirm_stop = partial(
            self._confirm_stops, cell_id, owners or (), row, released
        )
        await self._relinquish_own(cell_id, owners or ())
        reply = await _reply_in_time(confirm_stop)
        settled_at = now_s() + self._times.takeover_wait_s(owner_is_dead=True)
        earliest_at = 0.0
        if reply is None:
            stop_wait_s = self._times.takeover_wait_s(owner_is_dead=True)
            earliest_at = stopped_leases_end_at(
                owners, row, previous, acquired_at, stop_wait_s
            )
            settled_at = max(earliest_at, latest_lease_end(owners, acquired_at))
        logger.info(
            "cell %s: epoch %d after %s, %s, runs on silent workers end in %.1f s",
            cell_id,
            row.epoch,
            ", ".join(f"{o.host_id} epoch {o.epoch}" for o in owners or ())
            or "no owner that may run",
            "no answer" if reply is None else "all have stopped",
            max(settled_at, unsettled_until) - now_s(),
        )
        controller = CellController(
            cell_id,
            self._known_cells.data_centre_of(cell_id),
            row,
            version,
            self._connections,
            self._knowledge,
            self._times,
            max(settled_at, unsettled_until),
            partial(self._confirmed_at, cell_id, row),
            self._mover,
            expected_finish=self._expected_finish,
            version_times=self._feeds.cells.version_times,
            heartbeat_before=self._heartbeat_before,
        )
        # A shutdown or a takeover notice may have come during the commit or the request
        # to the previous owner.
        if (
            self.is_leaving
            or self._relinquished_epoch_by_cell.get(cell_id, 0) >= row.epoch
        ):
            await controller.release()
            return
        self.controller_by_cell[cell_id] = controller
        try:
            await self._feeds.workers.catch_up()
            await self._feeds.submissions.open(cell_id, version)
            await controller.start(self._workers.in_cell(cell_id))
            # The list may have changed while the recorded state was read.
            controller.update_workers(self._workers.in_cell(cell_id))
            controller.complete_handover(
                reply,
                confirm_stop,
                unsettled_until,
                partial(self._date_lease_ends, owners, acquired_at, earliest_at),
            )
        except BerylError as error:
            logger.warning("cell %s: could not start: %s", cell_id, error)
            await self._give_up(cell_id, controller)
        except Exception:
            # A cell that is owned but not run would stay so while this host lives.
            logger.exception("cell %s: could not start", cell_id)
            await self._give_up(cell_id, controller)

    async def _give_up(self, cell_id: str, controller: CellController) -> None:
        """Release a cell that could not be started.

        The store may carry out the release late. Its epoch must not be in use then:
        the next owner would ask nobody to stop.
        """
        # release_all may have removed and released the controller meanwhile.
        if self.controller_by_cell.get(cell_id) is controller:
            self._end_epoch(cell_id, controller)
            await controller.release()

    async def _relinquish_own(
        self, cell_id: str, owners: tuple[EarlierOwner, ...]
    ) -> None:
        """Stop earlier owners that this incarnation of the host runs itself."""
        for owner in owners:
            is_own = owner.host_id == self._identity.host_id
            if is_own and owner.incarnation == self._identity.incarnation:
                await self.relinquish(cell_id, owner.epoch)

    async def _date_lease_ends(
        self,
        owners: tuple[EarlierOwner, ...],
        acquired_at: float,
        earliest_at: float,
    ) -> float:
        """Return by when the leases of earlier owners have ended, by their heartbeats.

        Those of others have ended by ``earliest_at``. Raises ``BerylError`` if the
        store doesn't answer.
        """
        ended_by = await read_latest_lease_end(
            self._store, owners, acquired_at, self._feeds.cells.version_times
        )
        return max(earliest_at, ended_by)

    async def _confirm_stops(
        self,
        cell_id: str,
        owners: tuple[EarlierOwner, ...],
        row: OwnerRow,
        previous: ObservedOwner | None,
    ) -> TakeoverReply | None:
        """Return what is known of earlier owners' leases; None if one may run.

        A stopped owner renews no lease and starts no task. The leases that the owner
        right before ``row`` tells of include those that owners before it may have
        granted; those that an earlier one tells of lack what came after it. If it has
        released the cell, its row tells.
        """
        reply = TakeoverReply(None)
        for owner in reversed(owners):
            reply = await self._confirm_stop(cell_id, owner)
            if reply is None:
                return None
            is_last = owner.epoch == row.epoch - 1
            if is_last and reply.lease_left_s_by_worker is not None:
                return reply
        if previous is None or previous.row.epoch != row.epoch - 1:
            return TakeoverReply(None)
        return TakeoverReply(previous.released_leases(now_s()))

    async def _confirm_stop(
        self, cell_id: str, owner: EarlierOwner
    ) -> TakeoverReply | None:
        """Return what is known of an earlier owner's leases; None if it may run."""
        if owner.host_id == self._identity.host_id:
            if owner.incarnation != self._identity.incarnation:
                return TakeoverReply(None)
            return TakeoverReply(await self.relinquish(cell_id, owner.epoch))
        if self._is_replaced(owner):
            return TakeoverReply(None)
        if not owner.peer_address:
            return None
        return await self._connections.peers.send_takeover(
            owner.peer_address, TakeoverNotice(cell_id, owner.epoch, owner.host_id)
        )

    async def relinquish(self, cell_id: str, epoch: int) -> dict[str, float] | None:
        """Abandon a cell that another host acquired, or never start it.

        Return for how many seconds the leases on each worker may last; None if unknown.
        """
        relinquished_epoch = self._relinquished_epoch_by_cell.get(cell_id, 0)
        self._relinquished_epoch_by_cell[cell_id] = max(relinquished_epoch, epoch)
        controller = self.controller_by_cell.get(cell_id)
        if controller is not None and controller.owner.epoch <= epoch:
            del self.controller_by_cell[cell_id]
            await self._abandon(cell_id, controller)
        remaining = self._remaining_leases_by_cell.get(cell_id)
        if remaining is None or remaining.epoch != epoch:
            return None
        return remaining.left_s_by_worker(now_s())

    async def _abandon(self, cell_id: str, controller: CellController) -> None:
        """Stop a cell's controller; keep its leases for the next owner's question."""
        await controller.abandon()
        self._keep_leases(cell_id, controller)

    def _keep_leases(
        self, cell_id: str, controller: CellController, min_left_s: float = 0.0
    ) -> None:
        """Keep the leases of a stopped controller, each for ``min_left_s`` or more."""
        left_s_by_worker = controller.lease_left_s_by_worker()
        if left_s_by_worker is not None:
            now = now_s()
            self._remaining_leases_by_cell[cell_id] = RemainingLeases(
                controller.owner.epoch,
                {
                    worker: now + max(left_s, min_left_s)
                    for worker, left_s in left_s_by_worker.items()
                },
            )

    def _confirmed_at(self, cell_id: str, row: OwnerRow) -> float:
        """Return when the newest read of the cell table was sent that shows a row.

        Minus infinity if another row has replaced it, also one that can't be decoded.
        """
        owner = self._cells.owner_by_cell.get(cell_id)
        is_unreadable = cell_id in self._cells.unreadable_version_by_cell
        if owner is None or owner.row != row or is_unreadable:
            return float("-inf")
        return self._feeds.cells.confirmed_at

    async def _drop_lost(self) -> None:
        for cell_id, controller in tuple(self.controller_by_cell.items()):
            if self.controller_by_cell.get(cell_id) is not controller:
                # A takeover notice or the shutdown removed it during an await below.
                continue
            owner = self._cells.owner_by_cell[cell_id]
            is_ours = owner.row == controller.owner
            is_fenced = (
                controller.scheduler is not None and controller.scheduler.is_fenced_out
            )
            has_lost = controller.is_inactive and not controller.has_failed
            if not is_ours or is_fenced or has_lost:
                self._end_epoch(cell_id, controller)
                await self._abandon(cell_id, controller)
            elif controller.has_failed:
                self._failed_at_by_cell[cell_id] = now_s()
                self._end_epoch(cell_id, controller)
                await controller.release()
                # The next owner asks for them if the release isn't recorded. The state
                # that the error has left may lack a lease.
                usual_s = self._times.takeover_wait_s(owner_is_dead=True)
                self._keep_leases(cell_id, controller, usual_s)

    def _end_epoch(self, cell_id: str, controller: CellController) -> None:
        """Remove a controller, and never run its cell under its epoch again.

        That holds also before this host reads the next owner's row: a second scheduler
        of the epoch wouldn't know the runs of this one.
        """
        del self.controller_by_cell[cell_id]
        self._relinquished_epoch_by_cell[cell_id] = max(
            self._relinquished_epoch_by_cell.get(cell_id, 0), controller.owner.epoch
        )

    def _on_submission(self, submission_id: str, entry: SubmissionEntry) -> None:
        if entry.accepted is None:
            return
        cells = entry.cells()
        for cell_id, controller in self.controller_by_cell.items():
            # A cell must also be notified when tasks moved to it are moved elsewhere.
            if cell_id in cells or controller.tracks(submission_id):
                controller.attempt(controller.on_submission, submission_id, entry)

    def _on_workers(self, by_cell: dict[str, dict[str, WorkerEntry]]) -> None:
        for cell_id, controller in self.controller_by_cell.items():
            workers = by_cell.get(cell_id, {})
            controller.learn_data_centre(self._known_cells.data_centre_of(cell_id))
            controller.attempt(controller.update_workers, workers)

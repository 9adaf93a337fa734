"""Carry tasks to other cells, and the news of their ends back home."""

import asyncio
import logging
from typing import TYPE_CHECKING

from berylcleat.model import BerylError, PlatformUnavailableError
from berylcleat.ports import Commit, Condition, RowWrite, Store, StoreRow
from berylcleat.scheduling import CellHeadroom, MovedTaskEnd, MoveProposal

from ._directory import Directory, DirectoryEntry
from ._membership import Membership
from ._peers import GuestEnds, News, PeerClient
from ._records import (
    CELL_TABLE,
    MOVES_SUFFIX,
    OWNER_KEY,
    SUBMISSION_TABLE,
    MoveRow,
    MovesRow,
    encode,
    room_of,
    submission_part,
)

if TYPE_CHECKING:
    from ._cell_driver import CellDriver
    from ._cells import CellKeeper

MOVE_RETRY_S = 0.3
logger = logging.getLogger(__name__)


class TaskCarrier:
    """Record moves of tasks under their owner's epoch and tell other owners."""

    def __init__(
        self,
        store: Store,
        directory: Directory,
        membership: Membership,
        peers: PeerClient,
        keeper: "CellKeeper",
    ):
        self._store = store
        self._directory = directory
        self._membership = membership
        self._peers = peers
        self._keeper = keeper

    def rooms(self, own_cell: str) -> tuple[CellHeadroom, ...]:
        """Return the room of other cells as their owners told last."""
        summaries = self._membership.summaries()
        summaries.update(self._keeper.summaries())
        summaries.pop(own_cell, None)
        return tuple(room_of(cell_id, item) for cell_id, item in summaries.items())

    async def move(self, driver: "CellDriver", proposal: MoveProposal) -> None:
        """Record a proposal; until its outcome is known its tasks stay withheld."""
        entry = self._directory.by_id[proposal.submission_id]
        moves = {**entry.move_by_task, **proposal.move_by_task}
        row = MovesRow(tuple(MoveRow(task, move) for task, move in moves.items()))
        commit = self._commit_of(driver, proposal.submission_id, entry, row)
        while not driver.is_lost:
            try:
                outcome = await self._store.commit(commit)
            except PlatformUnavailableError:
                await asyncio.sleep(MOVE_RETRY_S)
            except BerylError as error:
                logger.info("move of %s: %s", proposal.submission_id, error)
                await asyncio.sleep(MOVE_RETRY_S)
            else:
                if outcome.applied:
                    self._on_moved(proposal, commit, outcome.version)
                else:
                    self._directory.on_rows(outcome.current)
                driver.cell.on_move_settled(proposal)
                return

    def _commit_of(
        self,
        driver: "CellDriver",
        submission_id: str,
        entry: DirectoryEntry,
        row: MovesRow,
    ) -> Commit:
        part = submission_part(submission_id)
        place = (SUBMISSION_TABLE, part, submission_id + MOVES_SUFFIX)
        owner = (CELL_TABLE, driver.cell_id, OWNER_KEY)
        conditions = (
            Condition(*owner, driver.owner_version),
            Condition(*place, entry.moves_version),
        )
        write = RowWrite(*place, encode(row))
        return Commit(conditions, (write,), spans_parts=True)

    def _on_moved(self, proposal: MoveProposal, commit: Commit, version: int) -> None:
        write = commit.writes[0]
        row = StoreRow(write.table, write.part, write.key, write.value, version)
        self._directory.on_rows((row,))
        cells = {move.cell_id for move in proposal.move_by_task.values()}
        logger.info(
            "tasks moved: submission %s, %d to %s",
            proposal.submission_id,
            len(proposal.move_by_task),
            " ".join(sorted(cells)),
        )
        news = News(moves_of=proposal.submission_id, moves=write.value, version=version)
        for cell_id in cells:
            address = self._membership.peer_of_cell(cell_id)
            if address is not None and cell_id not in self._keeper.driver_by_cell:
                self._peers.tell_soon(address, news)

    async def report(self, submission_id: str, ends: list[MovedTaskEnd]) -> bool:
        """Tell a submission's home of ends; return whether it has recorded them."""
        entry = self._directory.by_id[submission_id]
        home = entry.accepted.cell_id
        driver = self._keeper.driver_by_cell.get(home)
        if driver is not None:
            return driver.on_guest_ends(submission_id, ends)
        address = self._membership.peer_of_cell(home)
        if address is None:
            return False
        return await self._peers.tell_ends(
            address, GuestEnds(submission_id, tuple(ends))
        )

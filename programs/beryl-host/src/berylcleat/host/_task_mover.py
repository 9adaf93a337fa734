"""Move tasks to other cells and report their ends to their home cell."""

import asyncio
import logging
from typing import TYPE_CHECKING

from berylcleat.model import BerylError, PlatformUnavailableError
from berylcleat.ports import Commit, Condition, RowWrite, Store, StoreRow
from berylcleat.scheduling import CellHeadroom, MovedTaskEnd, MoveProposal

from ._membership import Membership
from ._peers import MovedTaskEnds, PeerClient, SubmissionUpdate
from ._records import (
    CELL_TABLE,
    MOVES_SUFFIX,
    OWNER_KEY,
    SUBMISSION_TABLE,
    MoveRow,
    MovesRow,
    encode,
    headroom_from_summary,
    submission_part,
)
from ._submission_directory import SubmissionDirectory, SubmissionEntry

if TYPE_CHECKING:
    from ._cell_controller import CellController
    from ._cell_ownership import CellOwnershipManager

MOVE_RETRY_S = 0.3
logger = logging.getLogger(__name__)


class TaskMover:
    """Writer of task moves, fenced by the owner row, that notifies the target cells."""

    def __init__(
        self,
        store: Store,
        directory: SubmissionDirectory,
        membership: Membership,
        peers: PeerClient,
        ownership: "CellOwnershipManager",
    ):
        self._store = store
        self._directory = directory
        self._membership = membership
        self._peers = peers
        self._ownership = ownership

    def headrooms(self, own_cell_id: str) -> tuple[CellHeadroom, ...]:
        """Return the headroom that owners of other cells published last."""
        summaries = self._membership.summaries()
        summaries.update(self._ownership.summaries())
        summaries.pop(own_cell_id, None)
        return tuple(
            headroom_from_summary(cell_id, item) for cell_id, item in summaries.items()
        )

    async def move(self, controller: "CellController", proposal: MoveProposal) -> None:
        """Record a proposed move; retry until the outcome is known or ownership ends.

        The scheduler doesn't start the proposed tasks before the outcome is known.
        """
        entry = self._directory.by_id[proposal.submission_id]
        moves = {**entry.move_by_task, **proposal.move_by_task}
        row = MovesRow(tuple(MoveRow(task, move) for task, move in moves.items()))
        commit = self._move_commit(controller, proposal.submission_id, entry, row)
        while not controller.is_inactive:
            try:
                outcome = await self._store.commit(commit)
            except PlatformUnavailableError:
                await asyncio.sleep(MOVE_RETRY_S)
            except BerylError as error:
                logger.info(
                    "submission %s: move of tasks not confirmed, retrying: %s",
                    proposal.submission_id,
                    error,
                )
                await asyncio.sleep(MOVE_RETRY_S)
            else:
                if outcome.applied:
                    self._on_move_committed(proposal, commit, outcome.version)
                else:
                    self._directory.on_rows(outcome.current)
                controller.scheduler.on_move_settled(proposal)
                return

    def _move_commit(
        self,
        controller: "CellController",
        submission_id: str,
        entry: SubmissionEntry,
        row: MovesRow,
    ) -> Commit:
        part = submission_part(submission_id)
        moves_key = (SUBMISSION_TABLE, part, submission_id + MOVES_SUFFIX)
        owner_key = (CELL_TABLE, controller.cell_id, OWNER_KEY)
        conditions = (
            Condition(*owner_key, controller.owner_version),
            Condition(*moves_key, entry.moves_version),
        )
        write = RowWrite(*moves_key, encode(row))
        return Commit(conditions, (write,), spans_parts=True)

    def _on_move_committed(
        self, proposal: MoveProposal, commit: Commit, version: int
    ) -> None:
        write = commit.writes[0]
        row = StoreRow(write.table, write.part, write.key, write.value, version)
        self._directory.on_rows((row,))
        target_cells = {move.cell_id for move in proposal.move_by_task.values()}
        logger.info(
            "tasks moved: submission %s, %d to %s",
            proposal.submission_id,
            len(proposal.move_by_task),
            " ".join(sorted(target_cells)),
        )
        update = SubmissionUpdate(
            moves_of=proposal.submission_id, moves=write.value, version=version
        )
        for cell_id in target_cells:
            address = self._membership.owner_address(cell_id)
            if (
                address is not None
                and cell_id not in self._ownership.controller_by_cell
            ):
                self._peers.schedule_update(address, update)

    async def report_moved_task_ends(
        self, submission_id: str, ends: list[MovedTaskEnd]
    ) -> bool:
        """Report ends to the home cell; return whether it has recorded them."""
        entry = self._directory.by_id[submission_id]
        home_cell_id = entry.accepted.cell_id
        controller = self._ownership.controller_by_cell.get(home_cell_id)
        if controller is not None:
            return controller.on_moved_task_ends(submission_id, ends)
        address = self._membership.owner_address(home_cell_id)
        if address is None:
            return False
        return await self._peers.send_moved_task_ends(
            address, MovedTaskEnds(submission_id, tuple(ends))
        )

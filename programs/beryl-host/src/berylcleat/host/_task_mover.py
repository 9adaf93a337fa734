"""Move tasks to other cells and report their ends to their home cell."""

import asyncio
import logging
from dataclasses import replace

from berylcleat.model import BerylError, PlatformUnavailableError, RejectedWriteError
from berylcleat.ports import EndedTask, RunEnd, StoreRow
from berylcleat.scheduling import CellHeadroom, MovedTaskEnd, MoveProposal

from ._cell_directory import CellDirectory
from ._clock import now_s
from ._evacuation_metrics import count_moved_tasks
from ._operator_state import OperatorState
from ._order_metrics import count_moved
from ._owned_cells import OwnedCell, OwnedCells
from ._peers import MovedTaskEnds, PeerClient, SubmissionUpdate
from ._records import CELL_TABLE, headroom_from_summary
from ._submission_directory import SubmissionDirectory, SubmissionEntry
from ._submission_store import MoveCommit, SubmissionStore, make_owner_condition

MOVE_RETRY_S = 0.3
# Seconds for which a move is sent again that the store hasn't carried out: its tasks
# can't start meanwhile, and the load that it relies on gets old.
MAX_UNSENT_MOVE_S = 1.0
logger = logging.getLogger(__name__)


def _was_overtaken(
    entry: SubmissionEntry, tried_version: int, proposal: MoveProposal, cell_id: str
) -> bool:
    """Return whether a move conflicted only with moves of the submission's other tasks.

    The moves of a submission are one row, and several cells may move tasks at a time.
    """
    if entry.moves_version <= tried_version or entry.is_cancelled:
        return False
    if entry.are_moves_unknown:
        return False
    return all(entry.cell_of(task) == cell_id for task in proposal.move_by_task)


class TaskMover:
    """Writer of task moves, fenced by the owner row, that notifies the target cells."""

    def __init__(
        self,
        store: SubmissionStore,
        directory: SubmissionDirectory,
        cells: CellDirectory,
        peers: PeerClient,
        ownership: OwnedCells,
        operator: OperatorState,
    ):
        self._operator = operator
        self._store = store
        self._directory = directory
        self._cells = cells
        self._peers = peers
        self._ownership = ownership

    def headrooms(
        self, own_cell_id: str, own_data_centre: str
    ) -> tuple[CellHeadroom, ...]:
        """Return the headroom that owners of other cells published last.

        Cells of evacuated data centres have none.
        """
        summaries = self._cells.summaries()
        summaries.update(self._ownership.summaries())
        summaries.pop(own_cell_id, None)
        return tuple(
            replace(
                headroom_from_summary(cell_id, item),
                age_s=self._load_age_s(cell_id),
                is_near=item.data_centre == own_data_centre,
                epoch=self._cells.epoch_of(cell_id),
            )
            for cell_id, item in summaries.items()
            if item.data_centre not in self._operator.evacuated
        )

    def _load_age_s(self, cell_id: str) -> float:
        """Return the age of a cell's load, which is 0 for a cell of this host."""
        if cell_id in self._ownership.controller_by_cell:
            return 0.0
        return self._cells.load_age_s(cell_id, now_s())

    async def move(self, controller: OwnedCell, proposal: MoveProposal) -> None:
        """Record a proposed move; retry until the outcome is known or ownership ends.

        The scheduler doesn't start the proposed tasks before the outcome is known. A
        move that the store has certainly not carried out is soon dropped.
        """
        proposed_at = now_s()
        is_outcome_unknown = False
        entry = self._directory.by_id[proposal.submission_id]
        if entry.are_moves_unknown:
            # Moves are stored as a whole: these would replace the unreadable ones.
            controller.scheduler.on_move_settled(proposal, now_s())
            return
        owner = make_owner_condition(controller.cell_id, controller.owner_version)
        move = MoveCommit(entry, proposal.move_by_task, owner)
        while not controller.is_inactive:
            try:
                outcome = await self._store.commit_move(move)
            except RejectedWriteError as error:
                logger.error(
                    "submission %s: tasks can't be moved: %s",
                    proposal.submission_id,
                    error,
                )
                controller.scheduler.on_move_settled(proposal, now_s())
                return
            except PlatformUnavailableError as error:
                is_old = now_s() - proposed_at >= MAX_UNSENT_MOVE_S
                if is_old and not is_outcome_unknown:
                    logger.info(
                        "submission %s: tasks not moved: %s",
                        proposal.submission_id,
                        error,
                    )
                    controller.scheduler.on_move_settled(proposal, now_s())
                    return
                await asyncio.sleep(MOVE_RETRY_S)
            except BerylError as error:
                is_outcome_unknown = True
                logger.info(
                    "submission %s: move of tasks not confirmed, retrying: %s",
                    proposal.submission_id,
                    error,
                )
                await asyncio.sleep(MOVE_RETRY_S)
            else:
                if outcome.applied:
                    self._count_evacuated(controller.data_centre, proposal)
                    self._on_move_committed(proposal, entry, move.row(outcome.version))
                else:
                    tried_version = entry.moves_version
                    self._on_move_conflict(proposal, outcome.current)
                    is_old = now_s() - proposed_at >= MAX_UNSENT_MOVE_S
                    if not is_old and _was_overtaken(
                        entry, tried_version, proposal, controller.cell_id
                    ):
                        move = MoveCommit(entry, proposal.move_by_task, owner)
                        continue
                controller.scheduler.on_move_settled(proposal, now_s())
                return

    def _count_evacuated(self, data_centre: str, proposal: MoveProposal) -> None:
        if data_centre in self._operator.evacuated:
            count_moved_tasks(data_centre, len(proposal.move_by_task))

    def _on_move_committed(
        self, proposal: MoveProposal, entry: SubmissionEntry, row: StoreRow
    ) -> None:
        self._directory.on_rows((row,))
        count_moved(proposal.reason, len(proposal.move_by_task))
        target_cells = {move.cell_id for move in proposal.move_by_task.values()}
        logger.info(
            "tasks moved: submission %s, %d to %s",
            proposal.submission_id,
            len(proposal.move_by_task),
            " ".join(sorted(target_cells)),
        )
        update = SubmissionUpdate(
            accepted=entry.accepted,
            moves_of=proposal.submission_id,
            moves=row.value,
            version=row.version,
        )
        for cell_id in target_cells:
            address = self._cells.owner_address(cell_id)
            if (
                address is not None
                and cell_id not in self._ownership.controller_by_cell
            ):
                self._peers.schedule_update(address, update)

    def _on_move_conflict(
        self, proposal: MoveProposal, current: tuple[StoreRow, ...]
    ) -> None:
        """Apply what has changed meanwhile; the owner row is followed elsewhere."""
        logger.info(
            "submission %s: tasks not moved, it has changed", proposal.submission_id
        )
        rows = tuple(row for row in current if row.table != CELL_TABLE)
        self._directory.on_rows(rows)

    def home_of(self, submission_id: str) -> str:
        """Return the home cell of a submission."""
        return self._directory.by_id[submission_id].accepted.cell_id

    async def report_moved_task_ends(
        self, submission_id: str, ends: list[MovedTaskEnd]
    ) -> bool:
        """Report ends to the home cell; return whether it has recorded them."""
        return await self._report_ends(submission_id, ends, self.home_of(submission_id))

    async def _report_ends(
        self, submission_id: str, ends: list[MovedTaskEnd], cell_id: str
    ) -> bool:
        """Report ends to a cell; return whether it has recorded them."""
        controller = self._ownership.controller_by_cell.get(cell_id)
        if controller is not None:
            return controller.on_moved_task_ends(submission_id, ends)
        address = self._cells.owner_address(cell_id)
        if address is None:
            return False
        return await self._peers.send_moved_task_ends(
            address, MovedTaskEnds(submission_id, tuple(ends), cell_id)
        )

    async def settle_stray_ends(
        self, controller: OwnedCell, submission_id: str, ends: list[EndedTask]
    ) -> None:
        """Report ends to the cells that count them; acknowledge them after that.

        Raises ``BerylError`` if the store can't be read: the ends wait.
        """
        entry = await self._store.find_entry(submission_id)
        if entry is None or entry.is_cancelled:
            controller.scheduler.on_stray_ends_settled(ends)
            return
        ends_by_cell: dict[str, list[EndedTask]] = {}
        for end in ends:
            ends_by_cell.setdefault(entry.cell_of(end.task), []).append(end)
        if ends_by_cell.pop(controller.cell_id, None):
            self._directory.add_entry(submission_id, entry)
        counted_steps = {
            number
            for number, step in enumerate(entry.accepted.submission.steps)
            if not step.is_long_running
        }
        for cell_id, cell_ends in ends_by_cell.items():
            done = [
                MovedTaskEnd(end.task, has_failed=False)
                for end in cell_ends
                if end.end is RunEnd.DONE and end.task.step in counted_steps
            ]
            if not done or await self._report_ends(submission_id, done, cell_id):
                logger.info(
                    "submission %s: %d ends reported to cell %s",
                    submission_id,
                    len(cell_ends),
                    cell_id,
                )
                controller.scheduler.on_stray_ends_settled(cell_ends)

"""Submissions with tasks in the cells that this host owns."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
from msgspec.structs import replace

from berylcleat.model import MalformedValueError, TaskKey, decode_json
from berylcleat.ports import StoreRow
from berylcleat.scheduling import TaskMove

from ._records import (
    CANCEL_SUFFIX,
    MOVES_SUFFIX,
    AcceptedRow,
    MovesRow,
    cell_submission_table,
)
from ._unreadable_rows import UnreadableRows

logger = logging.getLogger(__name__)
_accepted_decoder = msgspec.json.Decoder(AcceptedRow)
_moves_decoder = msgspec.json.Decoder(MovesRow)


@dataclass(slots=True)
class SubmissionEntry:
    """Acceptance, cancellation and task moves known for one submission id.

    ``unreadable_moves_version`` is that of the newest moves that can't be decoded, or
    0; ``is_acceptance_unreadable`` tells the same of the acceptance.
    """

    accepted: AcceptedRow | None = None
    is_cancelled: bool = False
    move_by_task: dict[TaskKey, TaskMove] = field(default_factory=dict)
    moves_version: int = 0
    unreadable_moves_version: int = 0
    is_acceptance_unreadable: bool = False

    @property
    def are_moves_unknown(self) -> bool:
        """Whether tasks may have moved to cells that can't be told."""
        return self.unreadable_moves_version > self.moves_version

    def drop_odd_moves(self) -> None:
        """Drop the moves of tasks that the submission doesn't have."""
        if self.accepted is None:
            return
        submission = self.accepted.submission
        odd = [task for task in self.move_by_task if not submission.has_task(task)]
        for task in odd:
            logger.error("move of task %s ignored: there is no such task", task)
            del self.move_by_task[task]

    def drop_odd_epochs(self, cell_id: str, epoch: int, owner_version: int) -> None:
        """Forget target epochs that a cell hadn't reached when its moves were stored.

        ``epoch`` began with the owner row of that version: earlier moves can't name it.
        """
        if self.moves_version > owner_version:
            return
        for task, move in self.move_by_task.items():
            if move.cell_id == cell_id and move.target_epoch >= epoch:
                logger.error(
                    "move of task %s: cell %s had not reached epoch %d, it is ignored",
                    task,
                    cell_id,
                    move.target_epoch,
                )
                self.move_by_task[task] = replace(move, target_epoch=0)

    def cells(self) -> set[str]:
        """Return the cells that run tasks of the submission."""
        if self.accepted is None:
            return set()
        moved = {move.cell_id for move in self.move_by_task.values()}
        return moved | {self.accepted.cell_id}

    def cell_of(self, task: TaskKey) -> str:
        """Return the cell that a task of an accepted submission is assigned to."""
        move = self.move_by_task.get(task)
        return self.accepted.cell_id if move is None else move.cell_id


EntryListener = Callable[[str, SubmissionEntry], None]


class SubmissionDirectory:
    """Submissions by id; listeners are notified of every change."""

    def __init__(self, unreadable_rows: UnreadableRows | None = None):
        self._unreadable_rows = unreadable_rows or UnreadableRows()
        self.by_id: dict[str, SubmissionEntry] = {}
        self.listeners: list[EntryListener] = []

    def on_rows(self, rows: tuple[StoreRow, ...]) -> None:
        """Apply rows of the submission table."""
        for row in rows:
            if row.is_removed:
                continue
            if row.key.endswith(CANCEL_SUFFIX):
                self.add_cancel(row.key.removesuffix(CANCEL_SUFFIX))
            elif row.key.endswith(MOVES_SUFFIX):
                self.add_moves(row.key.removesuffix(MOVES_SUFFIX), row)
            else:
                self._add_row(row)

    def add_moves(self, submission_id: str, row: StoreRow) -> None:
        """Replace the moves of a submission's tasks if the row is newer.

        Moves that can't be decoded leave those known before, marked as out of date.
        """
        entry = self.by_id.setdefault(submission_id, SubmissionEntry())
        if row.version <= entry.moves_version:
            return
        name = f"moves of submission {submission_id}"
        try:
            moves = decode_json(_moves_decoder, row.value).moves
        except MalformedValueError as error:
            entry.unreadable_moves_version = row.version
            self._unreadable_rows.add(name, error)
            return
        self._unreadable_rows.discard(name)
        entry.move_by_task = {move.task: move.move for move in moves}
        entry.moves_version = row.version
        self._notify(submission_id, entry)

    def add_accepted(self, accepted: AcceptedRow) -> None:
        """Add an accepted submission unless it is known."""
        submission_id = accepted.submission.submission_id
        entry = self.by_id.setdefault(submission_id, SubmissionEntry())
        if entry.accepted is None:
            entry.accepted = accepted
            entry.is_acceptance_unreadable = False
            self._notify(submission_id, entry)

    def add_cancel(self, submission_id: str) -> None:
        """Mark a submission as cancelled."""
        entry = self.by_id.setdefault(submission_id, SubmissionEntry())
        if not entry.is_cancelled:
            entry.is_cancelled = True
            self._notify(submission_id, entry)

    def add_entry(self, submission_id: str, entry: SubmissionEntry) -> None:
        """Add what was read of a submission; newer moves that are known stay."""
        known = self.by_id.setdefault(submission_id, SubmissionEntry())
        known.accepted = known.accepted or entry.accepted
        known.is_cancelled = known.is_cancelled or entry.is_cancelled
        if entry.moves_version > known.moves_version:
            known.move_by_task = entry.move_by_task
            known.moves_version = entry.moves_version
        known.unreadable_moves_version = max(
            known.unreadable_moves_version, entry.unreadable_moves_version
        )
        self._notify(submission_id, known)

    def in_cell(self, cell_id: str) -> list[SubmissionEntry]:
        """Return the submissions with tasks in a cell."""
        return [entry for entry in self.by_id.values() if cell_id in entry.cells()]

    def keep_only(self, tables: set[str]) -> None:
        """Forget the submissions without tasks in a cell of any of the tables."""
        self.by_id = {
            submission_id: entry
            for submission_id, entry in self.by_id.items()
            if {cell_submission_table(cell_id) for cell_id in entry.cells()} & tables
        }

    def _add_row(self, row: StoreRow) -> None:
        name = f"submission row {row.key}"
        try:
            accepted = decode_json(_accepted_decoder, row.value)
        except MalformedValueError as error:
            entry = self.by_id.setdefault(row.key, SubmissionEntry())
            entry.is_acceptance_unreadable = entry.accepted is None
            self._unreadable_rows.add(name, error)
            return
        self._unreadable_rows.discard(name)
        self.add_accepted(accepted)

    def _notify(self, submission_id: str, entry: SubmissionEntry) -> None:
        entry.drop_odd_moves()
        for listener in self.listeners:
            listener(submission_id, entry)

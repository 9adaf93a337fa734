"""All accepted submissions, as far as this host knows."""

import logging
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from berylcleat.ports import StoreRow

from ._records import CANCEL_SUFFIX, AcceptedRow

logger = logging.getLogger(__name__)
_decoder = msgspec.json.Decoder(AcceptedRow)


@dataclass(slots=True)
class DirectoryEntry:
    """Hold what is known of one submission id."""

    accepted: AcceptedRow | None = None
    is_cancelled: bool = False


EntryListener = Callable[[str, DirectoryEntry], None]


class Directory:
    """Hold submissions by id and tell listeners of new ones and of cancels."""

    def __init__(self):
        self.by_id: dict[str, DirectoryEntry] = {}
        self.listeners: list[EntryListener] = []

    def on_rows(self, rows: tuple[StoreRow, ...]) -> None:
        """Take in rows of the submission table."""
        for row in rows:
            if row.is_removed:
                continue
            if row.key.endswith(CANCEL_SUFFIX):
                self.add_cancel(row.key.removesuffix(CANCEL_SUFFIX))
            else:
                self._add_row(row)

    def add(self, accepted: AcceptedRow) -> None:
        """Note an accepted submission."""
        submission_id = accepted.submission.submission_id
        entry = self.by_id.setdefault(submission_id, DirectoryEntry())
        if entry.accepted is None:
            entry.accepted = accepted
            self._tell(submission_id, entry)

    def add_cancel(self, submission_id: str) -> None:
        """Note that a submission was cancelled."""
        entry = self.by_id.setdefault(submission_id, DirectoryEntry())
        if not entry.is_cancelled:
            entry.is_cancelled = True
            self._tell(submission_id, entry)

    def in_cell(self, cell_id: str) -> list[DirectoryEntry]:
        """Return the submissions of a cell."""
        return [
            entry
            for entry in self.by_id.values()
            if entry.accepted and entry.accepted.cell_id == cell_id
        ]

    def _add_row(self, row: StoreRow) -> None:
        try:
            self.add(_decoder.decode(row.value))
        except msgspec.MsgspecError as error:
            logger.error("submission row %s can't be read: %s", row.key, error)

    def _tell(self, submission_id: str, entry: DirectoryEntry) -> None:
        for listener in self.listeners:
            listener(submission_id, entry)

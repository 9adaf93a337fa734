"""Rows of submissions in the store: accept, find, read, cancel and move them.

The index names the home cell of each submission. The submission itself lies in the
table of its home cell and of each cell that tasks of it were moved to, so that an owner
follows the submissions of its own cells only. All rows of a submission share one part;
each transaction writes all copies of what it changes.

The store may carry out an unanswered write seconds later if its condition still holds,
so that no read tells that a submission will not be stored. A row of the index that says
so does: no submission is stored over it.
"""

from collections import OrderedDict
from enum import Enum

import msgspec

from berylcleat.model import (
    MalformedValueError,
    OutcomeUnknownError,
    TaskKey,
    UnreadableRecordError,
    decode_json,
)
from berylcleat.ports import (
    Commit,
    CommitOutcome,
    Condition,
    RowWrite,
    Store,
    StoreRow,
)
from berylcleat.scheduling import TaskMove

from ._records import (
    CANCEL_SUFFIX,
    CELL_TABLE,
    EARLY_CANCELLATION_TABLE,
    MOVES_SUFFIX,
    OWNER_KEY,
    SUBMISSION_TABLE,
    AcceptedRow,
    HomeRow,
    MoveRow,
    MovesRow,
    cell_submission_table,
    encode,
    submission_part,
)
from ._submission_directory import SubmissionDirectory, SubmissionEntry
from ._unreadable_rows import UnreadableRows

# Home cells remembered by a host; others are read again when they are asked for.
MAX_CACHED_HOMES = 20_000
READ_AGAIN_REMEDY = "Read it again once it has been repaired"
# Attempts to submit what was cancelled early, while its row changes.
MAX_ATTEMPTS = 3
_home_decoder = msgspec.json.Decoder(HomeRow)


class AcceptResult(Enum):
    """Outcome of an answered attempt to store a submission."""

    STORED = "stored"
    ALREADY_STORED = "already stored"
    CANCELLED = "cancelled before"


class SubmissionStore:
    """Reader and writer of the rows of submissions.

    Methods raise ``PlatformUnavailableError`` (no effect) or ``OutcomeUnknownError``,
    those that read also ``UnreadableRecordError``: a row that can't be decoded doesn't
    tell that there is no submission, or that none of its tasks was moved.
    """

    def __init__(self, store: Store):
        self._store = store
        self._home_by_id: OrderedDict[str, str] = OrderedDict()
        self._unreadable_rows = UnreadableRows()

    def cached_home(self, submission_id: str) -> str | None:
        """Return the home cell of a submission if it is remembered."""
        return self._home_by_id.get(submission_id)

    async def find_home(self, submission_id: str) -> str | None:
        """Return the home cell of a submission, or None if there is no such one."""
        if submission_id in self._home_by_id:
            return self._home_by_id[submission_id]
        row = await self.read_home(submission_id)
        return None if row is None else row.cell_id or None

    async def read_home(self, submission_id: str) -> HomeRow | None:
        """Return the index row of an id, or None if there is none."""
        part = submission_part(submission_id)
        page = await self._store.read(
            SUBMISSION_TABLE, part, submission_id, submission_id + "\x00"
        )
        homes = self._decode_homes(page.rows)
        name = _home_name(submission_id)
        if page.rows and name in self._unreadable_rows:
            raise UnreadableRecordError(f"{name} is unreadable", READ_AGAIN_REMEDY)
        return next((home for _, home in homes), None)

    async def accept(self, accepted: AcceptedRow) -> AcceptResult:
        """Store a submission unless there is one with its id, or it was cancelled."""
        submission_id = accepted.submission.submission_id
        part = submission_part(submission_id)
        key = (SUBMISSION_TABLE, part, submission_id)
        table = cell_submission_table(accepted.cell_id)
        writes = (
            RowWrite(*key, encode(HomeRow(accepted.cell_id))),
            RowWrite(table, part, submission_id, encode(accepted)),
        )
        for _ in range(MAX_ATTEMPTS):
            outcome = await self._store.commit(Commit((Condition(*key, 0),), writes))
            if outcome.applied:
                self._remember(submission_id, accepted.cell_id)
                return AcceptResult.STORED
            early = self._find_early(outcome.current)
            if early is None:
                return AcceptResult.ALREADY_STORED
            if await self._submit_cancelled(submission_id, *early):
                return AcceptResult.CANCELLED
        raise OutcomeUnknownError(
            f"submission {submission_id}: its cancellation has changed", "Send it again"
        )

    async def cancel_early(self, submission_id: str, cancelled_at_ms: int) -> bool:
        """Cancel a submission that isn't stored; return False if it is stored.

        From then on no write stores it that was sent before.
        """
        part = submission_part(submission_id)
        key = (SUBMISSION_TABLE, part, submission_id)
        home = HomeRow(cancelled_at_ms=cancelled_at_ms)
        commit = Commit((Condition(*key, 0),), _early_writes(submission_id, home))
        outcome = await self._store.commit(commit)
        if outcome.applied:
            return True
        return self._find_early(outcome.current) is not None

    async def _submit_cancelled(
        self, submission_id: str, version: int, home: HomeRow
    ) -> bool:
        """Record that a submission was handed in; return whether that is stored."""
        if home.is_submitted:
            return True
        part = submission_part(submission_id)
        condition = Condition(SUBMISSION_TABLE, part, submission_id, version)
        submitted = HomeRow(cancelled_at_ms=home.cancelled_at_ms, is_submitted=True)
        commit = Commit((condition,), _early_writes(submission_id, submitted))
        return (await self._store.commit(commit)).applied

    def _find_early(self, rows: tuple[StoreRow, ...]) -> tuple[int, HomeRow] | None:
        """Return the early cancellation among rows, with its version."""
        for row, home in self._decode_homes(rows):
            if home.is_early_cancellation:
                return row.version, home
        return None

    async def read_entry(self, submission_id: str, cell_id: str) -> SubmissionEntry:
        """Return what is stored of a submission with tasks in a cell."""
        part = submission_part(submission_id)
        table = cell_submission_table(cell_id)
        # "/" is the character after ".", with which the suffixes begin.
        page = await self._store.read(table, part, submission_id, submission_id + "/")
        directory = SubmissionDirectory(self._unreadable_rows)
        directory.on_rows(page.rows)
        entry = directory.by_id.get(submission_id, SubmissionEntry())
        if entry.is_acceptance_unreadable or entry.are_moves_unknown:
            raise UnreadableRecordError(
                f"submission {submission_id} is unreadable in cell {cell_id}",
                READ_AGAIN_REMEDY,
            )
        return entry

    async def find_entry(self, submission_id: str) -> SubmissionEntry | None:
        """Return what is stored of a submission, or None if there is no such one."""
        home = await self.find_home(submission_id)
        if home is None:
            return None
        entry = await self.read_entry(submission_id, home)
        if entry.accepted is None:
            name = f"submission row {submission_id}"
            error = MalformedValueError(f"it is missing in its home cell {home}")
            self._unreadable_rows.add(name, error)
            raise UnreadableRecordError(f"{name} is missing", READ_AGAIN_REMEDY)
        return entry

    async def cancel(self, entry: SubmissionEntry) -> CommitOutcome:
        """Store the cancellation in every cell that has tasks of the submission.

        There is a conflict if tasks were moved since ``entry`` was read.
        """
        accepted = entry.accepted
        submission_id = accepted.submission.submission_id
        part = submission_part(submission_id)
        key = submission_id + CANCEL_SUFFIX
        tables = sorted(_tables(entry.cells()))
        writes = tuple(RowWrite(table, part, key, b"{}") for table in tables)
        condition = _moves_condition(entry)
        return await self._store.commit(Commit((condition,), writes))

    async def commit_move(self, move: "MoveCommit") -> CommitOutcome:
        """Store moves of tasks.

        There is a conflict if the submission was cancelled, or other tasks of it were
        moved, since ``move.entry`` was read, or if the owner has changed.
        """
        return await self._store.commit(move.commit())

    def _decode_homes(
        self, rows: tuple[StoreRow, ...]
    ) -> list[tuple[StoreRow, HomeRow]]:
        """Return the index rows that can be decoded; remember the homes they name."""
        homes = []
        for row in rows:
            if row.table != SUBMISSION_TABLE:
                continue
            name = _home_name(row.key)
            try:
                home = decode_json(_home_decoder, row.value)
            except MalformedValueError as error:
                self._unreadable_rows.add(name, error)
                continue
            self._unreadable_rows.discard(name)
            homes.append((row, home))
            if not home.is_early_cancellation:
                self._remember(row.key, home.cell_id)
        return homes

    def _remember(self, submission_id: str, cell_id: str) -> None:
        self._home_by_id[submission_id] = cell_id
        if len(self._home_by_id) > MAX_CACHED_HOMES:
            self._home_by_id.popitem(last=False)


class MoveCommit:
    """Moves of tasks of one submission, under the owner row of the moving cell."""

    def __init__(
        self,
        entry: SubmissionEntry,
        move_by_task: dict[TaskKey, TaskMove],
        owner: Condition,
    ):
        self._accepted = entry.accepted
        self._owner = owner
        self._moves_condition = _moves_condition(entry)
        moves = {**entry.move_by_task, **move_by_task}
        self._value = encode(MovesRow(tuple(MoveRow(*move) for move in moves.items())))
        self._targets = _tables({move.cell_id for move in move_by_task.values()})
        # The cells that tasks are moved away from must learn of it too.
        self._tables = _tables(entry.cells()) | self._targets

    def row(self, version: int) -> StoreRow:
        """Return the row of moves as the home cell's table holds it."""
        condition = self._moves_condition
        return StoreRow(
            condition.table, condition.part, condition.key, self._value, version
        )

    def commit(self) -> Commit:
        """Return the transaction: all copies of the moves, and the submission."""
        submission_id = self._accepted.submission.submission_id
        part = submission_part(submission_id)
        home_table = cell_submission_table(self._accepted.cell_id)
        not_cancelled = Condition(home_table, part, submission_id + CANCEL_SUFFIX, 0)
        moves_key = submission_id + MOVES_SUFFIX
        writes = [
            RowWrite(table, part, moves_key, self._value)
            for table in sorted(self._tables)
        ]
        writes += [
            RowWrite(table, part, submission_id, encode(self._accepted))
            for table in sorted(self._targets - {home_table})
        ]
        conditions = (self._owner, self._moves_condition, not_cancelled)
        return Commit(conditions, tuple(writes), spans_parts=True)


def make_owner_condition(cell_id: str, owner_version: int) -> Condition:
    """Return the condition that a cell still has the owner with this row version."""
    return Condition(CELL_TABLE, cell_id, OWNER_KEY, owner_version)


def _early_writes(submission_id: str, home: HomeRow) -> tuple[RowWrite, ...]:
    """Return the index row of an early cancellation, and the row to remove it by."""
    part = submission_part(submission_id)
    return (
        RowWrite(SUBMISSION_TABLE, part, submission_id, encode(home)),
        RowWrite(EARLY_CANCELLATION_TABLE, part, submission_id, b"{}"),
    )


def _home_name(submission_id: str) -> str:
    return f"home of submission {submission_id}"


def _moves_condition(entry: SubmissionEntry) -> Condition:
    submission_id = entry.accepted.submission.submission_id
    table = cell_submission_table(entry.accepted.cell_id)
    key = submission_id + MOVES_SUFFIX
    return Condition(table, submission_part(submission_id), key, entry.moves_version)


def _tables(cell_ids: set[str]) -> set[str]:
    return {cell_submission_table(cell_id) for cell_id in cell_ids}

"""Write the journal of one planner incarnation: one group commit at a time."""

import secrets

import msgspec

from berylcleat.model import PlatformUnavailableError
from berylcleat.ownership import JournalRow, Record
from berylcleat.ports import Check, CommitResult, Put, Table, Transaction

from . import _metrics


def journal_key(journal: str, sequence: int) -> str:
    """Return the key of one journal row."""
    return f"log/{journal}/{sequence:010d}"


def sequence_of(key: str) -> int:
    """Return the sequence number in a journal row's key."""
    return int(key.rsplit("/", 1)[1])


class JournalWriter:
    """Append rows under rising sequence numbers.

    A commit whose outcome is unknown keeps its transaction: nothing else is written
    until it has been settled.
    """

    def __init__(self, table: Table, journal: str):
        self._table = table
        self.journal = journal
        self.sequence = 0
        self._pending: Transaction | None = None
        self.n_bytes = 0

    @property
    def next_key(self) -> str:
        """Return the key of the row that the next commit writes."""
        return journal_key(self.journal, self.sequence)

    @property
    def is_settled(self) -> bool:
        """Tell whether no commit's outcome is unknown."""
        return self._pending is None

    async def commit(
        self,
        records: tuple[Record, ...],
        checks: tuple[Check, ...],
        puts: tuple[Put, ...] = (),
        deletes: tuple[str, ...] = (),
    ) -> CommitResult:
        """Write ``records`` with the other changes, or nothing.

        Raises ``OutcomeUnknownError``; then call ``settle`` before anything else.
        """
        key = self.next_key
        value = msgspec.json.encode(JournalRow(records)).decode()
        self.n_bytes += len(value)
        self._pending = Transaction(
            secrets.token_hex(8),
            key,
            (Check(key, 0), *checks),
            (Put(key, value), *puts),
            deletes,
        )
        _metrics.RECORDS.inc(len(records))
        try:
            return await self.settle()
        except PlatformUnavailableError:
            # Never sent, so nothing is in doubt.
            self._pending = None
            raise

    async def settle(self) -> CommitResult:
        """Send the pending transaction until its outcome is known."""
        result = await self._table.commit(self._pending)
        self._pending = None
        if result.applied:
            self.sequence += 1
        _metrics.COMMITS.labels("applied" if result.applied else "conflict").inc()
        return result

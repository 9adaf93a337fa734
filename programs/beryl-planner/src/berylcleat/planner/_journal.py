"""Write the journal of one planner incarnation: one group commit at a time."""

import secrets

import msgspec

from berylcleat.model import PlatformUnavailableError
from berylcleat.ownership import JournalRow, Record
from berylcleat.ports import Check, CommitResult, Put, Table, Transaction

from . import _metrics

N_ROWS = 1_024


def journal_prefix(journal: str) -> str:
    """Return the prefix of the keys of a journal's rows."""
    return f"log/{journal}/"


def journal_key(journal: str, sequence: int) -> str:
    """Return the key of the row for ``sequence``: the rows are a ring.

    A row is written over after ``N_ROWS`` more, so that no row is ever deleted while
    its planner lives; cells are written whole often enough that none needs it then.
    """
    return f"{journal_prefix(journal)}{sequence % N_ROWS:04d}"


class JournalWriter:
    """Append rows under rising sequence numbers.

    A commit whose outcome is unknown keeps its transaction: nothing else is written
    until it has been settled.
    """

    def __init__(self, table: Table, journal: str):
        self._table = table
        self.journal = journal
        self.sequence = 0
        self._version_by_key: dict[str, int] = {}
        self._pending: Transaction | None = None

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
    ) -> CommitResult:
        """Write ``records`` with the other changes, or nothing.

        Raises ``OutcomeUnknownError``; then call ``settle`` before anything else.
        """
        key = self.next_key
        row = JournalRow(self.sequence, records)
        value = msgspec.json.encode(row).decode()
        check = Check(key, self._version_by_key.get(key, 0))
        self._pending = Transaction(
            secrets.token_hex(8),
            key,
            (check, *checks),
            (Put(key, value), *puts),
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
            self._version_by_key[self.next_key] = result.version
            self.sequence += 1
        _metrics.COMMITS.labels("applied" if result.applied else "conflict").inc()
        return result

"""Journal of one planner incarnation, written by one group commit at a time."""

import secrets

import msgspec

from berylcleat.model import PlatformUnavailableError
from berylcleat.ownership import JournalRow, Record
from berylcleat.ports import Check, CommitResult, Put, Table, Transaction

from . import _metrics

RING_ROWS = 1_024


def journal_prefix(journal: str) -> str:
    """Return the key prefix of a journal's rows."""
    return f"log/{journal}/"


def journal_key(journal: str, sequence: int) -> str:
    """Return the key of the row for ``sequence`` in the ring of ``RING_ROWS`` rows.

    A row is overwritten after ``RING_ROWS`` further commits, so a running planner never
    deletes rows. Cells are snapshotted often enough that no overwritten row is needed.
    """
    return f"{journal_prefix(journal)}{sequence % RING_ROWS:04d}"


class JournalWriter:
    """Writer that appends journal rows under increasing sequence numbers.

    A commit whose outcome is unknown leaves its transaction pending. It must be
    resolved before anything else is written.
    """

    def __init__(self, table: Table, journal_id: str):
        self._table = table
        self.journal_id = journal_id
        self.sequence = 0
        self._version_by_key: dict[str, int] = {}
        self._pending: Transaction | None = None

    @property
    def next_key(self) -> str:
        """Key of the row that the next commit writes."""
        return journal_key(self.journal_id, self.sequence)

    @property
    def is_resolved(self) -> bool:
        """Whether no commit is pending."""
        return self._pending is None

    async def commit(
        self,
        records: tuple[Record, ...],
        checks: tuple[Check, ...],
        puts: tuple[Put, ...] = (),
    ) -> CommitResult:
        """Commit ``records`` and ``puts`` atomically if all ``checks`` hold.

        Raises ``OutcomeUnknownError`` if the outcome is unknown; call
        ``resolve_pending`` before the next commit then. After a
        ``PlatformUnavailableError`` nothing was written and nothing is pending.
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
            return await self.resolve_pending()
        except PlatformUnavailableError:
            # The request was never sent, so the outcome is known.
            self._pending = None
            raise

    async def resolve_pending(self) -> CommitResult:
        """Send the pending transaction and return its result.

        It stays pending if the outcome is unknown, so that it can be sent again.
        """
        result = await self._table.commit(self._pending)
        self._pending = None
        if result.applied:
            self._version_by_key[self.next_key] = result.version
            self.sequence += 1
        _metrics.COMMITS.labels("applied" if result.applied else "conflict").inc()
        return result

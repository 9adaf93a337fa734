"""In-memory implementation of the store port, for tests without sockets."""

import asyncio
import base64
from collections.abc import Awaitable, Callable
from typing import Any

from berylcleat.model import OutcomeUnknownError, RejectedWriteError
from berylcleat.ports import (
    Commit,
    CommitOutcome,
    HistoryLostError,
    RowPage,
    RowWrite,
    StoreRow,
)

from ._row_store import RowStore

FOLLOW_POLL_INTERVAL_S = 0.01
REMEDY = "Try again"


class MemoryStore:
    """In-memory metadata store with injectable faults.

    Reads block until ``reads_allowed`` is set. ``before_commit`` is awaited before each
    commit. While ``is_unreachable``, following a table raises ``OutcomeUnknownError``.
    The next ``n_lost_answers`` commits are applied and raise the same error.
    ``n_rejected_commits`` counts those that were too large.
    """

    def __init__(self):
        self._rows = RowStore()
        self.n_rejected_commits = 0
        self.reads_allowed = asyncio.Event()
        self.reads_allowed.set()
        self.before_commit: Callable[[], Awaitable[None]] | None = None
        self.is_unreachable = False
        self.n_lost_answers = 0

    def limit_rows(self, max_row_bytes: int) -> None:
        """Reject commits with a value of more than ``max_row_bytes`` from now on."""
        self._rows.max_row_bytes = max_row_bytes

    def put(self, table: str, part: str, key: str, value: bytes) -> None:
        """Write a row without conditions."""
        write = RowWrite(table, part, key, value)
        self._execute_transaction(Commit(writes=(write,)))

    def remove(self, table: str, part: str, key: str) -> None:
        """Remove a row without conditions."""
        self._rows.transact({"remove": [{"table": table, "part": part, "key": key}]})

    def forget_history(self) -> None:
        """Drop the change history and keep the rows."""
        self._rows.forget_history()

    def rows_by_key(self, table: str, part: str) -> dict[str, StoreRow]:
        """Return the rows of a part by key."""
        rows = map(_to_row, self._rows.read(table, part, "", "")["rows"])
        return {row.key: row for row in rows}

    async def commit(self, commit: Commit) -> CommitOutcome:
        """Apply ``commit``, or return the current rows of a failed condition.

        Raises ``RejectedWriteError`` for a transaction that is too large and
        ``OutcomeUnknownError`` for one whose answer is to be lost.
        """
        if self.before_commit is not None:
            await self.before_commit()
        status, body = self._execute_transaction(commit)
        if status == 400:
            self.n_rejected_commits += 1
            raise RejectedWriteError(body["error"], "Write less at once")
        if self.n_lost_answers:
            self.n_lost_answers -= 1
            raise OutcomeUnknownError("store: no answer", REMEDY)
        current = tuple(map(_to_row, body.get("rows", ())))
        return CommitOutcome(status == 200, body["ver"], current, body["nowMs"])

    async def read(
        self, table: str, part: str, first: str = "", end: str = ""
    ) -> RowPage:
        """Return the rows of a part from key ``first`` up to ``end``, exclusive."""
        await self.reads_allowed.wait()
        body = self._rows.read(table, part, first, end)
        rows = tuple(map(_to_row, body["rows"]))
        return RowPage(rows, body["ver"], body["nowMs"])

    async def follow(self, table: str, after: int, wait_s: float) -> RowPage:
        """Return the rows that changed after version ``after``.

        Raises ``HistoryLostError`` if their history was dropped.
        """
        if self.is_unreachable:
            raise OutcomeUnknownError("store: no answer", REMEDY)
        changes = self._rows.changes_after(table, after)
        if changes is None:
            raise HistoryLostError("store: changes are no longer kept", REMEDY)
        rows = tuple(map(_to_row, changes))
        version = self._rows.version
        await asyncio.sleep(FOLLOW_POLL_INTERVAL_S)
        return RowPage(rows, version)

    async def list_parts(self, table: str) -> tuple[str, ...]:
        """Return the parts of ``table`` that hold rows."""
        return tuple(self._rows.list_parts(table)["parts"])

    def _execute_transaction(self, commit: Commit) -> tuple[int, dict[str, Any]]:
        expected = [
            {"table": c.table, "part": c.part, "key": c.key, "ver": c.version}
            for c in commit.conditions
        ]
        puts = [
            {
                "table": write.table,
                "part": write.part,
                "key": write.key,
                "value": base64.b64encode(write.value).decode(),
            }
            for write in commit.writes
        ]
        removed = [
            {"table": row.table, "part": row.part, "key": row.key}
            for row in commit.removals
        ]
        body = {"expectedRev": expected, "puts": puts, "remove": removed}
        return self._rows.transact(body)


def _to_row(row: dict[str, Any]) -> StoreRow:
    value = base64.b64decode(row.get("value", ""))
    is_removed = row.get("tombstone", False)
    return StoreRow(
        row["table"], row["part"], row["key"], value, row["ver"], is_removed
    )

"""In-memory metadata store: versioned rows, conditional transactions, change feed."""

import asyncio
import base64
import time
from dataclasses import dataclass, field
from typing import Any

RowKey = tuple[str, str, str]
# The platform's limit on the sum of conditions and writes in one transaction.
MAX_ENTRIES = 100
# The platform's limit on the values of one transaction.
MAX_TRANSACTION_BYTES = 1_000_000


@dataclass(slots=True)
class RowStore:
    """Versioned rows by table, part and key.

    Methods take and return decoded JSON bodies of the platform's protocol. Values of
    more than ``max_row_bytes`` are rejected if it is set.
    """

    version: int = 0
    row_by_key: dict[RowKey, dict[str, Any]] = field(default_factory=dict)
    changes: list[dict[str, Any]] = field(default_factory=list)
    oldest_version: int = 0
    change_event: asyncio.Event = field(default_factory=asyncio.Event)
    max_row_bytes: int | None = None

    def transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Apply a transaction; return the HTTP status and the response body."""
        names = ("expectedRev", "puts", "remove")
        if sum(len(body.get(name, ())) for name in names) > MAX_ENTRIES:
            return 400, {"error": f"transaction has more than {MAX_ENTRIES} entries"}
        values = [put["value"] for put in body.get("puts", ())]
        if sum(map(len, values)) > MAX_TRANSACTION_BYTES:
            return 400, {"error": "transaction is too large"}
        limit = self.max_row_bytes
        if limit and any(len(base64.b64decode(value)) > limit for value in values):
            return 400, {"error": f"row has more than {limit} bytes"}
        failed = False
        current = []
        for condition in body.get("expectedRev", ()):
            row = self.row_by_key.get(_row_key(condition))
            if (row["ver"] if row else 0) != condition["ver"]:
                failed = True
            if row:
                current.append(row)
        if failed:
            return 412, {"rows": current, **self.stamp()}
        self.version += 1
        for put in body.get("puts", ()):
            self._put({**put, "ver": self.version})
        for removed in body.get("remove", ()):
            self._remove(removed)
        self.wake_waiters()
        return 200, self.stamp()

    def write(self, table: str, key: str, value: bytes) -> None:
        """Write a row of the unnamed part without conditions."""
        text = base64.b64encode(value).decode()
        put = {"table": table, "part": "", "key": key, "value": text}
        self.transact({"puts": [put]})

    def remove(self, table: str, key: str) -> None:
        """Remove a row of the unnamed part without conditions."""
        self.transact({"remove": [{"table": table, "part": "", "key": key}]})

    def read(
        self, table: str, part: str, first: str, end: str, limit: int = 500
    ) -> dict[str, Any]:
        """Return the first ``limit`` rows of a part in key order."""
        rows = [
            row
            for (t, p, key), row in sorted(self.row_by_key.items())
            if t == table and p == part and key >= first and (not end or key < end)
        ]
        more = len(rows) > limit
        return {"rows": rows[:limit], "morePages": more, **self.stamp()}

    def stamp(self) -> dict[str, Any]:
        """Return the newest version and the store's steady clock, for an answer."""
        return {"ver": self.version, "nowMs": int(time.monotonic() * 1000)}

    def list_parts(self, table: str) -> dict[str, Any]:
        """Return the parts of a table that hold rows."""
        return {"parts": sorted({p for t, p, _ in self.row_by_key if t == table})}

    def changes_after(self, table: str, after: int) -> list[dict[str, Any]] | None:
        """Return a table's changes after a version, or None if they were dropped."""
        if after < self.oldest_version:
            return None
        return [
            row for row in self.changes if row["table"] == table and row["ver"] > after
        ]

    def forget_history(self) -> None:
        """Drop the change history and keep the rows."""
        self.oldest_version = self.version
        self.changes.clear()

    async def wait_for_change(self, seconds: float) -> None:
        """Return at the next change or after ``seconds``."""
        try:
            async with asyncio.timeout(seconds):
                await self.change_event.wait()
        except TimeoutError:
            pass

    def _put(self, row: dict[str, Any]) -> None:
        self.row_by_key[_row_key(row)] = row
        self.changes.append(row)

    def _remove(self, key_body: dict[str, Any]) -> None:
        self.row_by_key.pop(_row_key(key_body), None)
        key_fields = {name: key_body[name] for name in ("table", "part", "key")}
        self.changes.append({**key_fields, "ver": self.version, "tombstone": True})

    def wake_waiters(self) -> None:
        """Let all waits for a change return."""
        self.change_event.set()
        self.change_event = asyncio.Event()


def _row_key(row: dict[str, Any]) -> RowKey:
    return row["table"], row["part"], row["key"]

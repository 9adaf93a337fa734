"""Rows with versions, conditions and a feed: the platform's metadata store."""

import asyncio
import base64
from dataclasses import dataclass, field
from typing import Any

RowKey = tuple[str, str, str]
# The platform's bound on conditions and writes of one transaction, together.
MAX_ENTRIES = 100


@dataclass(slots=True)
class RowStore:
    """Keep rows by table, part and key; speak in decoded bodies of the protocol."""

    version: int = 0
    row_by_key: dict[RowKey, dict[str, Any]] = field(default_factory=dict)
    changes: list[dict[str, Any]] = field(default_factory=list)
    oldest: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Apply a transaction; return the status and the answer's body."""
        names = ("expectedRev", "puts", "remove")
        if sum(len(body.get(name, ())) for name in names) > MAX_ENTRIES:
            return 400, {"error": f"over {MAX_ENTRIES} entries"}
        failed = False
        current = []
        for condition in body.get("expectedRev", ()):
            row = self.row_by_key.get(_key_of(condition))
            if (row["ver"] if row else 0) != condition["ver"]:
                failed = True
            if row:
                current.append(row)
        if failed:
            return 412, {"rows": current, "ver": self.version}
        self.version += 1
        for put in body.get("puts", ()):
            self._put({**put, "ver": self.version})
        for removed in body.get("remove", ()):
            self._remove(removed)
        self._wake()
        return 200, {"ver": self.version}

    def write(self, table: str, key: str, value: bytes) -> None:
        """Write a row as the operator or a worker does."""
        text = base64.b64encode(value).decode()
        put = {"table": table, "part": "", "key": key, "value": text}
        self.transact({"puts": [put]})

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
        return {"rows": rows[:limit], "morePages": more, "ver": self.version}

    def parts(self, table: str) -> dict[str, Any]:
        """Return the parts of a table."""
        return {"parts": sorted({p for t, p, _ in self.row_by_key if t == table})}

    def changes_after(self, table: str, after: int) -> list[dict[str, Any]] | None:
        """Return the changes of a table, or None if they are forgotten."""
        if after < self.oldest:
            return None
        return [
            row for row in self.changes if row["table"] == table and row["ver"] > after
        ]

    def forget_history(self) -> None:
        """Keep the rows and drop all changes."""
        self.oldest = self.version
        self.changes.clear()

    async def wait(self, seconds: float) -> None:
        """Return at the next change or after ``seconds``."""
        try:
            async with asyncio.timeout(seconds):
                await self.changed.wait()
        except TimeoutError:
            pass

    def _put(self, row: dict[str, Any]) -> None:
        self.row_by_key[_key_of(row)] = row
        self.changes.append(row)

    def _remove(self, named: dict[str, Any]) -> None:
        self.row_by_key.pop(_key_of(named), None)
        place = {name: named[name] for name in ("table", "part", "key")}
        self.changes.append({**place, "ver": self.version, "tombstone": True})

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


def _key_of(row: dict[str, Any]) -> RowKey:
    return row["table"], row["part"], row["key"]

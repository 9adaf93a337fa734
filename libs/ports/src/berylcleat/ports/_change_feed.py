"""Follow several key prefixes of the table with one scan a period."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from ._base import Row, Table


@dataclass(frozen=True, slots=True)
class Changes:
    """Hold the rows of one prefix that changed, and the times around the scan."""

    rows: tuple[Row, ...]
    requested_at: float
    received_at: float


Listener = Callable[[Changes], None]


class ChangeFeed:
    """Give each listener the changes under its prefix, also when there are none."""

    def __init__(self, table: Table):
        self._table = table
        self._version = 0
        self.listener_by_prefix: dict[str, Listener] = {}

    def listen(self, prefix: str, listener: Listener) -> None:
        """Call ``listener`` with the changes under ``prefix`` after each poll."""
        self.listener_by_prefix[prefix] = listener

    async def poll(self) -> None:
        """Scan all prefixes at once and call the listeners."""
        loop = asyncio.get_running_loop()
        requested_at = loop.time()
        prefixes = tuple(self.listener_by_prefix)
        result = await self._table.scan(prefixes, self._version)
        received_at = loop.time()
        if result.version < self._version:
            # An older answer came late: the newer one has told it all.
            return
        self._version = result.version
        for prefix, listener in self.listener_by_prefix.items():
            rows = tuple(row for row in result.rows if row.key.startswith(prefix))
            listener(Changes(rows, requested_at, received_at))

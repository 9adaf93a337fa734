"""Polling of several key prefixes of the table with one scan."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from ._base import Row, Table


@dataclass(frozen=True, slots=True)
class Changes:
    """Changed rows of one key prefix.

    ``requested_at`` and ``received_at`` are the event loop times before and after the
    scan.
    """

    rows: tuple[Row, ...]
    requested_at: float
    received_at: float


Listener = Callable[[Changes], None]


class ChangeFeed:
    """Poller of the table that notifies one listener per key prefix.

    Listeners are called after each scan, also when no row has changed.
    """

    def __init__(self, table: Table):
        self._table = table
        self._version = 0
        self.listener_by_prefix: dict[str, Listener] = {}

    def listen(self, prefix: str, listener: Listener) -> None:
        """Register ``listener`` for the changes under ``prefix``."""
        self.listener_by_prefix[prefix] = listener

    async def poll(self) -> None:
        """Scan all registered prefixes and call their listeners."""
        loop = asyncio.get_running_loop()
        requested_at = loop.time()
        prefixes = tuple(self.listener_by_prefix)
        result = await self._table.scan(prefixes, self._version)
        received_at = loop.time()
        if result.version < self._version:
            # A later scan has been processed already and included these changes.
            return
        self._version = result.version
        for prefix, listener in self.listener_by_prefix.items():
            rows = tuple(row for row in result.rows if row.key.startswith(prefix))
            listener(Changes(rows, requested_at, received_at))

"""Follow a table of the store only while its changes are needed."""

import asyncio
from collections.abc import Callable

from berylcleat.ports import Store

from ._clock import now_s
from ._follower import RowsListener, TableFollower

# Time to the next read of a table that is not followed, while rows are being added.
FIRST_IDLE_PERIOD_S = 0.5


class OnDemandFollower(TableFollower):
    """Table follower that follows changes only while they are needed.

    Otherwise it reads the whole table now and then: a table whose rows are all written
    again every second costs less to read rarely than to follow. The time between two
    reads doubles up to ``idle_period_s`` while no row is added.
    """

    def __init__(
        self,
        store: Store,
        table: str,
        on_rows: RowsListener,
        is_needed: Callable[[], bool],
        *,
        wait_s: float,
        min_period_s: float,
        idle_period_s: float,
        parts: tuple[str, ...],
    ):
        super().__init__(
            store,
            table,
            on_rows,
            wait_s=wait_s,
            min_period_s=min_period_s,
            parts=parts,
            rereads_on_failure=True,
        )
        self._is_needed = is_needed
        self._max_idle_period_s = idle_period_s
        self._idle_period_s = FIRST_IDLE_PERIOD_S
        self._is_following = False
        self._read_at = float("-inf")
        # Of two reads at a time the older one could be applied last: it would restore
        # what the other has removed, and remove what was added in between.
        self._read_lock = asyncio.Lock()

    async def catch_up(self) -> None:
        """Read the table unless its changes are being followed.

        After a read that is under way they usually are.
        """
        async with self._read_lock:
            pass
        if not self._is_following:
            await self._read_all()

    async def _read_all(self) -> None:
        async with self._read_lock:
            await self._read_alone()

    async def _read_alone(self) -> None:
        self._is_following = False
        n_rows = len(self._version_by_row)
        await super()._read_all()
        has_grown = len(self._version_by_row) > n_rows
        longer_s = min(2 * self._idle_period_s, self._max_idle_period_s)
        self._idle_period_s = FIRST_IDLE_PERIOD_S if has_grown else longer_s
        self._read_at = now_s()
        self._is_following = self._is_needed()

    async def _follow(self, wait_s: float) -> None:
        if not self._is_needed():
            self._is_following = False
            is_due = now_s() - self._read_at >= self._idle_period_s
        else:
            is_due = not self._is_following
        if is_due:
            await self._read_all()
        elif self._is_following:
            await super()._follow(wait_s)

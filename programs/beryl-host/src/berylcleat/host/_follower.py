"""Follow tables and single rows of the store: a full read, then the change feed."""

import asyncio
import logging
from collections.abc import Callable

from berylcleat.model import BerylError
from berylcleat.ports import Commit, Condition, HistoryLostError, Store, StoreRow

from ._clock import now_s

RETRY_DELAY_S = 0.2
# Time to the next read of a table that is not followed, while rows are being added.
FIRST_IDLE_PERIOD_S = 0.5
RowsListener = Callable[[tuple[StoreRow, ...]], None]
logger = logging.getLogger(__name__)


class Follower:
    """Subscription to rows of one table; subclasses read and follow them.

    ``confirmed_at`` is the time at which the last answered request was sent: every
    earlier write is known. ``recovered_at`` is the end of the last outage.

    Set ``rereads_on_failure`` if the rows change often: after an outage the backlog of
    changes is longer than the rows.
    """

    def __init__(
        self,
        store: Store,
        table: str,
        *,
        wait_s: float,
        min_period_s: float,
        rereads_on_failure: bool,
    ):
        self._store = store
        self._table = table
        self._wait_s = wait_s
        self._min_period_s = min_period_s
        self._rereads_on_failure = rereads_on_failure
        self.version = 0
        self.confirmed_at = float("-inf")
        self.failing_since: float | None = None
        self.recovered_at = 0.0

    @property
    def has_synced(self) -> bool:
        """Return whether the rows have been read at least once."""
        return self.confirmed_at > float("-inf")

    async def sync(self) -> None:
        """Read the rows once; ``run`` then continues with their changes."""
        requested_at = now_s()
        await self._read_all()
        self._on_success(requested_at)

    async def run(self) -> None:
        """Read and follow the rows until cancelled."""
        must_reread = not self.has_synced
        while True:
            requested_at = now_s()
            try:
                if must_reread:
                    await self._read_all()
                    must_reread = False
                else:
                    await self._follow(self._wait_s)
            except HistoryLostError as error:
                logger.info("table %s: %s", self._table, error)
                must_reread = True
                continue
            except BerylError as error:
                self._on_failure(error)
                must_reread = must_reread or self._rereads_on_failure
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            self._on_success(requested_at)
            delay_s = self._min_period_s - (now_s() - requested_at)
            if delay_s > 0:
                await asyncio.sleep(delay_s)

    async def _read_all(self) -> None:
        raise NotImplementedError

    async def _follow(self, wait_s: float) -> None:
        raise NotImplementedError

    def _on_failure(self, error: BerylError) -> None:
        if self.failing_since is None:
            self.failing_since = now_s()
            logger.warning(
                "store unavailable: following table %s failed: %s", self._table, error
            )

    def _on_success(self, requested_at: float) -> None:
        if self.failing_since is not None:
            outage_s = now_s() - self.failing_since
            logger.info(
                "store available again: table %s after %.1f s", self._table, outage_s
            )
            self.failing_since = None
            self.recovered_at = now_s()
        self.confirmed_at = requested_at


class TableFollower(Follower):
    """Subscription that passes a table's rows, then each change, to ``on_rows``."""

    def __init__(
        self,
        store: Store,
        table: str,
        on_rows: RowsListener,
        *,
        wait_s: float,
        min_period_s: float,
        parts: tuple[str, ...] | None = None,
        rereads_on_failure: bool = False,
    ):
        super().__init__(
            store,
            table,
            wait_s=wait_s,
            min_period_s=min_period_s,
            rereads_on_failure=rereads_on_failure,
        )
        self._on_rows = on_rows
        self._parts = parts
        self._version_by_row: dict[tuple[str, str], int] = {}

    async def refresh(self, version: int) -> None:
        """Catch up to ``version`` at once, concurrently with ``run``."""
        try:
            while self.version < version:
                await self._follow(wait_s=0.0)
        except HistoryLostError:
            await self._read_all()

    async def _read_all(self) -> None:
        parts = self._parts
        if parts is None:
            parts = await self._store.list_parts(self._table)
        versions = []
        live_keys: set[tuple[str, str]] = set()
        for part in parts or ("",):
            page = await self._store.read(self._table, part)
            versions.append(page.version)
            live_keys.update((row.part, row.key) for row in page.rows)
            self._deliver_newer(page.rows)
        if self._version_by_row:
            self._deliver_removals(live_keys)
        # The parts were read at different versions: the change feed must continue from
        # the earliest, so that no change is missed.
        self.version = max(self.version, min(versions))

    def _deliver_removals(self, live_keys: set[tuple[str, str]]) -> None:
        removed = [row for row in self._version_by_row if row not in live_keys]
        self._on_rows(
            tuple(
                StoreRow(self._table, part, key, b"", self.version, is_removed=True)
                for part, key in removed
            )
        )
        for row in removed:
            del self._version_by_row[row]

    async def _follow(self, wait_s: float) -> None:
        page = await self._store.follow(self._table, self.version, wait_s)
        self._deliver_newer(page.rows)
        self.version = max(self.version, page.version)

    def _deliver_newer(self, rows: tuple[StoreRow, ...]) -> None:
        newer = []
        for row in rows:
            key = (row.part, row.key)
            if row.version > self._version_by_row.get(key, 0):
                self._version_by_row[key] = row.version
                newer.append(row)
        if newer:
            self._on_rows(tuple(newer))


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

    async def catch_up(self) -> None:
        """Read the table unless its changes are being followed."""
        if not self._is_following:
            await self._read_all()

    async def _read_all(self) -> None:
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


class RowFollower(Follower):
    """Subscription that passes the newest version of one row to ``on_row``.

    The change feed delivers every version of a row in full, so a host behind a slow
    link would fall ever further behind a row that changes quickly. After a change the
    row is therefore read until it stays the same, by a transaction that only checks its
    version: a conflict returns the newest version alone.
    """

    def __init__(
        self,
        store: Store,
        table: str,
        key: str,
        on_row: Callable[[StoreRow], None],
        *,
        wait_s: float,
        min_period_s: float,
    ):
        super().__init__(
            store,
            table,
            wait_s=wait_s,
            min_period_s=min_period_s,
            rereads_on_failure=True,
        )
        self._key = key
        self._on_row = on_row
        self._row_version = 0
        self._may_have_changed = False

    async def _read_all(self) -> None:
        page = await self._store.read(self._table, "", self._key, self._key + "\x00")
        self._deliver_newest(page.rows)
        self._may_have_changed = False
        self.version = max(self.version, page.version)

    async def _follow(self, wait_s: float) -> None:
        if self._may_have_changed:
            await self._read_if_changed()
            return
        page = await self._store.follow(self._table, self.version, wait_s)
        self._may_have_changed = self._deliver_newest(page.rows)
        self.version = max(self.version, page.version)

    async def _read_if_changed(self) -> None:
        condition = Condition(self._table, "", self._key, self._row_version)
        outcome = await self._store.commit(Commit((condition,)))
        if outcome.applied:
            self._may_have_changed = False
            self.version = max(self.version, outcome.version)
        else:
            self._may_have_changed = self._deliver_newest(outcome.current)

    def _deliver_newest(self, rows: tuple[StoreRow, ...]) -> bool:
        """Pass on the newest version if it is new; return whether it is."""
        versions = [row for row in rows if row.key == self._key and not row.is_removed]
        newest = max(versions, key=lambda row: row.version, default=None)
        if newest is None or newest.version <= self._row_version:
            return False
        self._row_version = newest.version
        self._on_row(newest)
        return True

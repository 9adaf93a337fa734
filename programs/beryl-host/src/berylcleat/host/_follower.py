"""Follow a table of the store: a full read, then its change feed."""

import asyncio
import logging
from collections.abc import Callable

from berylcleat.model import BerylError
from berylcleat.ports import HistoryLostError, Store, StoreRow
from berylcleat.runtime import report_failure

from ._clock import now_s
from ._version_times import VersionTimes

RETRY_DELAY_S = 0.2
RowsListener = Callable[[tuple[StoreRow, ...]], None]
logger = logging.getLogger(__name__)


class Follower:
    """Subscription to rows of one table; subclasses read and follow them.

    ``confirmed_at`` is the time at which the last answered request was sent: every
    earlier write is known. ``recovered_at`` is the end of the last outage.
    ``version_times`` tells when rows, of whichever table, had been written.

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
        self.version_times = VersionTimes()

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
                    # Owners, and cells to be acquired, wait for the first answer after
                    # an outage: it comes without a change, too.
                    is_failing = self.failing_since is not None
                    await self._follow(0.0 if is_failing else self._wait_s)
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
        self.confirmed_at = max(self.confirmed_at, requested_at)
        self.version_times.observe(self.version, now_s())


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

    async def confirm(self) -> None:
        """Receive all changes up to now, concurrently with ``run``.

        Raises ``BerylError`` if the store doesn't answer, or has lost the history.
        """
        requested_at = now_s()
        await self._follow(wait_s=0.0)
        self.confirmed_at = max(self.confirmed_at, requested_at)

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
        self._pass_on(
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
            self._pass_on(tuple(newer))

    def _pass_on(self, rows: tuple[StoreRow, ...]) -> None:
        """Call the listener; leave out the rows that it can't apply.

        After a failure it gets each row by itself, those applied before once more.
        """
        try:
            self._on_rows(rows)
        except Exception as error:
            first = [(row.part, row.key) for row in rows[:1]]
            subject = f"table {self._table}, {len(rows)} rows from {first}"
            report_failure("TableFollower.on_rows", error, subject)
            if len(rows) > 1:
                for row in rows:
                    self._pass_on((row,))

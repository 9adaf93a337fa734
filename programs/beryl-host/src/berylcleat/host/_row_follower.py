"""Follow the newest version of one row of the store."""

from collections.abc import Callable

from berylcleat.ports import Commit, Condition, Store, StoreRow

from ._follower import Follower


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

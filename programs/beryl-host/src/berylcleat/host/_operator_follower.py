"""Follow the operator's table: its configuration and its evacuation requests."""

from collections.abc import Callable, Iterable

from berylcleat.platform import (
    CONFIG_KEY,
    OPERATOR_KEY_RANGE,
    OPERATOR_TABLE,
    decode_evacuation,
    evacuation_key,
)
from berylcleat.ports import Commit, Condition, Store, StoreRow

from ._clock import now_s
from ._follower import Follower

# A read that takes longer is followed by a check: several versions may have been
# written meanwhile, and the change feed would deliver them one after the other. With
# 1.5 s a version and one every 0.27 s, a request then waited for 7.2 s.
SLOW_READ_S = 0.25
# Conditions that one transaction of the store may have.
MAX_CONDITIONS = 100
ConfigRowListener = Callable[[StoreRow], None]
# Called with the evacuated data centres, the store's version at which they were read,
# and when that read was sent.
RequestsListener = Callable[[frozenset[str], int, float], None]


class OperatorFollower(Follower):
    """Subscription to the operator's configuration and evacuation requests.

    The change feed delivers every version of the configuration in full, so a host
    behind a slow link would fall ever further behind one that changes quickly. After a
    change it is therefore read until it stays the same, by a transaction that only
    checks versions: a conflict returns the present rows alone. The transaction names
    the request of every data centre in ``data_centres`` too, so that a request never
    waits for the configuration.

    ``data_centres`` is None if the deployment has no evacuations; then only the
    configuration is read.
    """

    def __init__(
        self,
        store: Store,
        on_config: ConfigRowListener,
        on_requests: RequestsListener,
        data_centres: Callable[[], Iterable[str]] | None,
        *,
        wait_s: float,
        min_period_s: float,
    ):
        super().__init__(
            store,
            OPERATOR_TABLE,
            wait_s=wait_s,
            min_period_s=min_period_s,
            rereads_on_failure=True,
        )
        self._on_config = on_config
        self._on_requests = on_requests
        self._data_centres = data_centres
        # Newest configuration that was passed on, and the present one (0: none).
        self._delivered_version = 0
        self._config_version = 0
        # Version of the request's row by evacuated data centre.
        self._version_by_data_centre: dict[str, int] = {}
        self._requests_version = 0
        self._may_have_changed = False
        # Data centres whose requests are known; None for all. Others may have been
        # passed over when the change feed was left out up to a checked version.
        self._known_data_centres: frozenset[str] | None = None

    async def _read_all(self) -> None:
        first, end = OPERATOR_KEY_RANGE
        if self._data_centres is None:
            end = first + "\x00"
        requested_at = now_s()
        page = await self._store.read(OPERATOR_TABLE, "", first, end)
        self._config_version = 0
        self._version_by_data_centre.clear()
        self._apply(page.rows, page.version)
        self._may_have_changed = now_s() - requested_at > SLOW_READ_S
        self._known_data_centres = None
        self.version = max(self.version, page.version)

    async def _follow(self, wait_s: float) -> None:
        if (
            self._may_have_changed
            and len(self._watched_data_centres()) < MAX_CONDITIONS
        ):
            await self._check_versions()
        elif self._may_have_changed or self._has_unknown_data_centres():
            await self._read_all()
        else:
            page = await self._store.follow(OPERATOR_TABLE, self.version, wait_s)
            self._may_have_changed = self._apply(page.rows, page.version)
            self.version = max(self.version, page.version)

    def _on_success(self, requested_at: float) -> None:
        super()._on_success(requested_at)
        self._on_requests(
            frozenset(self._version_by_data_centre),
            self._requests_version,
            requested_at,
        )

    def _watched_data_centres(self) -> frozenset[str]:
        if self._data_centres is None:
            return frozenset()
        return frozenset(self._data_centres()) | self._version_by_data_centre.keys()

    def _has_unknown_data_centres(self) -> bool:
        return (
            self._known_data_centres is not None
            and not self._watched_data_centres() <= self._known_data_centres
        )

    async def _check_versions(self) -> None:
        """Check that nothing has changed; after a conflict the check is repeated."""
        names = self._watched_data_centres()
        version_by_key = {CONFIG_KEY: self._config_version}
        for name in names:
            version_by_key[evacuation_key(name)] = self._version_by_data_centre.get(
                name, 0
            )
        conditions = (
            Condition(OPERATOR_TABLE, "", key, version)
            for key, version in version_by_key.items()
        )
        outcome = await self._store.commit(Commit(tuple(conditions)))
        if outcome.applied:
            self._may_have_changed = False
            self._known_data_centres = names
            self._requests_version = max(self._requests_version, outcome.version)
            self.version = max(self.version, outcome.version)
            return
        self._apply(outcome.current, outcome.version)
        # A known row that the answer lacks may have been removed. A full read tells,
        # so that a store that returns only the conflicting rows ends no evacuation.
        known_keys = {key for key, version in version_by_key.items() if version}
        if not known_keys <= {row.key for row in outcome.current}:
            await self._read_all()

    def _apply(self, rows: tuple[StoreRow, ...], version: int) -> bool:
        """Apply rows, oldest first; return whether one is a configuration."""
        has_config = False
        for row in sorted(rows, key=lambda row: row.version):
            name = decode_evacuation(row)
            if row.key == CONFIG_KEY and not row.part:
                has_config = True
                self._apply_config(row)
            elif name is not None and self._data_centres is not None:
                if row.is_removed:
                    self._version_by_data_centre.pop(name, None)
                else:
                    self._version_by_data_centre[name] = row.version
        versions = (row.version for row in rows)
        self._requests_version = max(self._requests_version, version, *versions)
        return has_config

    def _apply_config(self, row: StoreRow) -> None:
        self._config_version = 0 if row.is_removed else row.version
        if not row.is_removed and row.version > self._delivered_version:
            self._delivered_version = row.version
            self._on_config(row)

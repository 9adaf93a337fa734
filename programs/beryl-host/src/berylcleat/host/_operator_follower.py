"""Follow the operator's table: its configuration, evacuations and waves."""

from collections.abc import Callable, Iterable

from berylcleat.platform import (
    CONFIG_KEY,
    OPERATOR_KEY_RANGE,
    OPERATOR_TABLE,
    WAVE_KEY_RANGE,
    decode_evacuation,
    evacuation_key,
    is_wave_row,
)
from berylcleat.ports import Commit, Condition, Store, StoreRow

from ._clock import now_s
from ._follower import Follower

# A read that takes longer is followed by a check: several versions may have been
# written meanwhile, and the change feed would deliver them one after the other. With
# 1.5 s a version and one every 0.27 s, a request then waited for 7.2 s.
SLOW_READ_S = 0.25
# Seconds between two reads of the waves while every check finds a new configuration:
# behind a link slower than the changes, no check succeeds until these end. A full read
# then takes the place of a check, so that the waves cost no call more.
WAVES_READ_PERIOD_S = 0.5
# Conditions that one transaction of the store may have.
MAX_CONDITIONS = 100
ConfigRowListener = Callable[[StoreRow], None]
# Called with the evacuated data centres, the store's version at which they were read,
# and when that read was sent.
RequestsListener = Callable[[frozenset[str], int, float], None]
# Called with the rows of all maintenance waves, when one of them has changed.
WavesListener = Callable[[tuple[StoreRow, ...]], None]


class OperatorFollower(Follower):
    """Subscription to the operator's configuration and evacuation requests.

    The change feed delivers every version of the configuration in full, so a host
    behind a slow link would fall ever further behind one that changes quickly. After a
    change it is therefore read until it stays the same, by a transaction that only
    checks versions: a conflict returns the present rows alone. The transaction names
    the request of every data centre in ``data_centres`` too, so that a request never
    waits for the configuration.

    ``data_centres`` is None if the deployment has no evacuations; then only the
    configuration is read. ``on_waves`` is None if it has no maintenance waves.
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
        on_waves: WavesListener | None = None,
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
        self._on_waves = on_waves
        self._wave_by_key: dict[str, StoreRow] = {}
        # Versions of the rows of waves that were passed on last.
        self._delivered_waves: dict[str, int] = {}
        # Whether a check told of a configuration that the change feed has still to
        # deliver.
        self._is_ahead_of_feed = False
        self._waves_read_at = float("-inf")

    async def _read_all(self) -> None:
        first, end = OPERATOR_KEY_RANGE
        if self._data_centres is None:
            end = first + "\x00"
        if self._on_waves is not None:
            # One range holds what precedes the waves too, so this is still one call.
            end = WAVE_KEY_RANGE[1]
        requested_at = now_s()
        self._waves_read_at = requested_at
        page = await self._store.read(OPERATOR_TABLE, "", first, end)
        self._config_version = 0
        self._version_by_data_centre.clear()
        self._wave_by_key.clear()
        self._is_ahead_of_feed = False
        self._apply(page.rows, page.version)
        self._may_have_changed = now_s() - requested_at > SLOW_READ_S
        self._known_data_centres = None
        self.version = max(self.version, page.version)

    async def _follow(self, wait_s: float) -> None:
        if (
            self._may_have_changed
            and len(self._watched_data_centres()) < MAX_CONDITIONS
        ):
            if self._are_waves_due():
                await self._read_all()
            else:
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
        version_by_key = {key: row.version for key, row in self._wave_by_key.items()}
        if self._on_waves is not None and version_by_key != self._delivered_waves:
            self._delivered_waves = version_by_key
            self._on_waves(tuple(self._wave_by_key.values()))

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
            if self._on_waves is not None and self._is_ahead_of_feed:
                # The change feed is left out up to the checked version, and a wave
                # may have been written there.
                await self._read_waves()
            elif self._on_waves is not None:
                # No configuration lies between here and the checked version, so the
                # change feed is not left out: a wave is found without a call more.
                self._may_have_changed = False
                return
            self._may_have_changed = False
            self._is_ahead_of_feed = False
            self._known_data_centres = names
            self._requests_version = max(self._requests_version, outcome.version)
            self.version = max(self.version, outcome.version)
            return
        self._apply(outcome.current, outcome.version)
        self._is_ahead_of_feed = True
        # A known row that the answer lacks may have been removed. A full read tells,
        # so that a store that returns only the conflicting rows ends no evacuation.
        known_keys = {key for key, version in version_by_key.items() if version}
        if not known_keys <= {row.key for row in outcome.current}:
            await self._read_all()

    def _are_waves_due(self) -> bool:
        return (
            self._on_waves is not None
            and self._is_ahead_of_feed
            and now_s() - self._waves_read_at >= WAVES_READ_PERIOD_S
        )

    async def _read_waves(self) -> None:
        self._waves_read_at = now_s()
        page = await self._store.read(OPERATOR_TABLE, "", *WAVE_KEY_RANGE)
        self._wave_by_key = {row.key: row for row in page.rows}

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
            elif is_wave_row(row) and self._on_waves is not None:
                self._wave_by_key.pop(row.key, None)
                if not row.is_removed:
                    self._wave_by_key[row.key] = row
        versions = (row.version for row in rows)
        self._requests_version = max(self._requests_version, version, *versions)
        return has_config

    def _apply_config(self, row: StoreRow) -> None:
        self._config_version = 0 if row.is_removed else row.version
        if not row.is_removed and row.version > self._delivered_version:
            self._delivered_version = row.version
            self._on_config(row)

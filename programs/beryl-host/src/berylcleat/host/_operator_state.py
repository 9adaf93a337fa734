"""What the operator asks for, as this host knows it."""

import logging
from collections.abc import Callable

from berylcleat.platform import decode_config, decode_wave
from berylcleat.ports import OperatorConfig, StoreRow
from berylcleat.scheduling import CellEvacuation, EvacuationRules, MaintenanceWave

from ._clock import wall_ms

ConfigListener = Callable[[OperatorConfig], None]
NO_EVACUATIONS = EvacuationRules(0.0, 0.0)
logger = logging.getLogger(__name__)


class OperatorState:
    """Newest known configuration, evacuations and waves; nothing of it is stored.

    ``version`` is the store's version up to which ``evacuated`` includes every request
    and ``confirmed_at`` is when the newest read of them was sent, by this host or by
    the one that relayed it. ``config_value`` is the configuration as it was stored.
    ``wave_by_id`` holds the requested maintenance waves.
    """

    def __init__(self, rules: EvacuationRules = NO_EVACUATIONS):
        self.rules = rules
        self.config: OperatorConfig | None = None
        self.config_value = b""
        self.config_listeners: list[ConfigListener] = []
        self.evacuated: frozenset[str] = frozenset()
        self.version = 0
        self.confirmed_at = float("-inf")
        self.wave_by_id: dict[int, MaintenanceWave] = {}
        # Versions of rows that can't be decoded, by key, so that each is logged once.
        self._malformed_waves: dict[str, int] = {}

    @property
    def has_evacuations(self) -> bool:
        """Return whether data centres of this deployment can be evacuated."""
        return self.rules.start_deadline_s > 0

    @property
    def config_version(self) -> int:
        """Return the version of the configuration, 0 before the first one."""
        return self.config.version if self.config else 0

    def on_config(self, row: StoreRow) -> None:
        """Apply the configuration in ``row`` unless a newer one is known."""
        config = decode_config(row)
        if config is None:
            logger.error(
                "configuration at version %d can't be decoded; keeping the current one",
                row.version,
            )
        elif self.config is None or config.version > self.config.version:
            self.config = config
            self.config_value = row.value
            for listener in self.config_listeners:
                listener(config)
            logger.info("configuration version %d applied", config.version)

    def on_requests(
        self,
        evacuated: frozenset[str],
        version: int,
        confirmed_at: float,
        source: str = "the store",
    ) -> None:
        """Apply a read of the evacuation requests, or a relayed one.

        Reads arrive out of order: a long poll that was sent early may tell of newer
        requests than one that was sent later. The higher version has the newer content,
        and the later read confirms it, since it told of nothing newer.
        """
        is_newer = (version, confirmed_at) >= (self.version, self.confirmed_at)
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        if not is_newer:
            return
        self.version = version
        for name in sorted(evacuated - self.evacuated):
            logger.info("evacuation requested: data centre %s, from %s", name, source)
        for name in sorted(self.evacuated - evacuated):
            logger.info("evacuation withdrawn: data centre %s, from %s", name, source)
        self.evacuated = evacuated

    def on_waves(self, rows: tuple[StoreRow, ...]) -> None:
        """Replace the requested waves by those in ``rows``; malformed ones are none."""
        wave_by_id = {}
        malformed = {}
        for row in rows:
            request = decode_wave(row)
            if request is None:
                malformed[row.key] = row.version
                if self._malformed_waves.get(row.key) != row.version:
                    logger.error("maintenance: row %s can't be decoded", row.key)
                continue
            known = self.wave_by_id.get(request.wave_id)
            if known is not None and known.version == row.version:
                wave_by_id[known.wave_id] = known
                continue
            wave = MaintenanceWave(
                request.wave_id,
                request.machine_ids,
                request.max_down,
                request.complete_by_s,
                row.version,
                learned_at_ms=int(wall_ms()),
            )
            wave_by_id[wave.wave_id] = wave
            logger.info(
                "maintenance: wave %d requested: %d machines within %g s, %d at a time",
                wave.wave_id,
                len(wave.machine_ids),
                wave.complete_by_s,
                wave.max_down,
            )
        for wave_id in sorted(self.wave_by_id.keys() - wave_by_id.keys()):
            logger.info("maintenance: wave %d withdrawn", wave_id)
        self.wave_by_id = wave_by_id
        self._malformed_waves = malformed

    def make_cell_evacuation(self, data_centre: str) -> CellEvacuation | None:
        """Return the evacuation state of a cell there; None if there can be none."""
        if not self.has_evacuations:
            return None
        return CellEvacuation(data_centre, self.rules)

    def update(self, evacuation: CellEvacuation | None, now: float) -> None:
        """Pass the known requests to a cell, once they have been read."""
        if evacuation is not None and self.confirmed_at > float("-inf"):
            evacuation.update(self.evacuated, self.confirmed_at, now)

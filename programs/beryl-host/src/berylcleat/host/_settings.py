"""Settings of the host process."""

import math
from dataclasses import dataclass

from berylcleat.model import SettingsError


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Addresses, location and limits of one host process; times in seconds.

    ``drain_grace_s`` limits a graceful shutdown, ``core_speed`` is the speed of the
    host's cores relative to a reference core, and ``cpu_share`` is how many of these
    cores, or what fraction of one, the host may use. ``admission_late_limit`` is the
    multiple of a submission's objective beyond which it is refused; 0 refuses none.
    """

    host_id: str
    data_centre: str
    front_address: str
    ready_address: str
    peer_address: str
    metrics_address: str
    store_address: str
    advice_address: str = ""
    cpu_share: float = 1.0
    core_speed: float = 1.0
    worker_lease_s: float = 5.0
    drain_grace_s: float = 6.0
    orders_mode: str = "push"
    admission_late_limit: float = 0.0

    @property
    def cpu_power(self) -> float:
        """Return the host's processing capacity in reference cores."""
        return self.cpu_share * self.core_speed


def check_host_settings(settings: HostSettings) -> None:
    """Raise ``SettingsError`` if the settings are invalid."""
    if not settings.host_id or not settings.data_centre:
        raise SettingsError(
            "host_id or data_centre is empty",
            "Set the id of this host and its data centre",
        )
    for name in ("cpu_share", "core_speed", "worker_lease_s", "drain_grace_s"):
        if getattr(settings, name) <= 0:
            raise SettingsError(
                f"{name} must be greater than 0", "Set a number greater than 0"
            )
    limit = settings.admission_late_limit
    if limit != 0 and not 1 <= limit < math.inf:
        raise SettingsError(
            f"admission_late_limit must be 0 or at least 1, not {limit}",
            "Set 0 to refuse nothing for load, or a multiple of the objective, such "
            "as 3",
        )
    if settings.orders_mode != "push":
        raise SettingsError(
            f"orders_mode {settings.orders_mode!r} is not supported",
            "Set orders_mode to push and use workers that accept pushed orders",
        )

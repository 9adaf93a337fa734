"""Settings of the host process."""

from dataclasses import dataclass

from berylcleat.model import SettingsError


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Set addresses, place and bounds; times in seconds.

    ``drain_grace_s`` is how long a stopping process may take; ``core_speed`` tells how
    many times as fast as a usual core the host's is, of which it has ``cpu_share``.
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

    @property
    def cpu_power(self) -> float:
        """Return the processor time of usual cores that the host has."""
        return self.cpu_share * self.core_speed


def check_host_settings(settings: HostSettings) -> None:
    """Raise ``SettingsError`` unless the settings can be used."""
    if not settings.host_id or not settings.data_centre:
        raise SettingsError(
            "host_id or data_centre is empty", "Name this host and its data centre"
        )
    for name in ("cpu_share", "core_speed", "worker_lease_s", "drain_grace_s"):
        if getattr(settings, name) <= 0:
            raise SettingsError(f"{name} is not above 0", "Give a number above 0")
    if settings.orders_mode != "push":
        raise SettingsError(
            f"orders_mode {settings.orders_mode!r} is not supported",
            "Use workers that take orders by push",
        )

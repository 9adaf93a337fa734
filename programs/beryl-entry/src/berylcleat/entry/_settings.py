"""Settings of the entry process."""

from dataclasses import dataclass

from berylcleat.http import DEFAULT_BUDGET_BYTES
from berylcleat.model import SettingsError


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Addresses, data centre and limits of an entry process; times in seconds."""

    host_id: str
    data_centre: str
    entry_address: str
    admin_address: str
    peer_address: str
    platform_address: str
    seed_peers: tuple[str, ...] = ()
    max_body_bytes: int = 1_048_576
    receive_timeout_s: float = 10.0
    n_waiting_places: int = 256
    drain_delay_s: float = 1.0
    drain_grace_s: float = 15.0
    list_period_s: float = 1.0
    config_period_s: float = 1.0
    traces_kept: int = 5000
    max_connections: int = 2000
    max_held_bytes: int = DEFAULT_BUDGET_BYTES


def check_entry_settings(settings: EntrySettings) -> None:
    """Raise ``SettingsError`` if a required setting is missing or out of range."""
    if not settings.host_id or not settings.data_centre:
        raise SettingsError(
            "host_id or data_centre is empty", "Set both host_id and data_centre"
        )
    for name in ("receive_timeout_s", "list_period_s", "config_period_s"):
        if getattr(settings, name) <= 0:
            raise SettingsError(
                f"{name} must be greater than 0", "Set a positive number of seconds"
            )
    for name in ("n_waiting_places", "max_connections", "max_held_bytes"):
        if getattr(settings, name) < 1:
            raise SettingsError(f"{name} must be at least 1", "Set a positive integer")

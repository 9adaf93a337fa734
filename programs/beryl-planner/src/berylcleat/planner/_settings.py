"""Settings of the planner process."""

from dataclasses import dataclass, field

from berylcleat.model import SettingsError
from berylcleat.ownership import LeaseRules


@dataclass(frozen=True, slots=True)
class PlannerSettings:
    """Set addresses, data centre, leases and periods; times in seconds."""

    host_id: str
    data_centre: str
    admin_address: str
    peer_address: str
    platform_address: str
    seed_peers: tuple[str, ...] = ()
    leases: LeaseRules = field(default_factory=LeaseRules)
    idle_period_s: float = 1.0
    commit_period_s: float = 0.25
    renew_check_s: float = 0.5
    return_after_s: float = 10.0
    exchange_period_s: float = 2.0
    beat_period_s: float = 1.0
    feed_period_s: float = 0.5
    list_period_s: float = 1.0
    traces_kept: int = 5000


def check_planner_settings(settings: PlannerSettings) -> None:
    """Raise ``SettingsError`` unless the settings can be used."""
    if not settings.host_id or not settings.data_centre:
        raise SettingsError(
            "host_id or data_centre is empty", "Name this host and its data centre"
        )
    leases = settings.leases
    if settings.feed_period_s * 2 > leases.host_lapse_s:
        raise SettingsError(
            "leases.host_lapse_s is below two feed periods",
            "Lengthen it, or shorten feed_period_s",
        )
    if settings.beat_period_s * 2 > leases.host_lapse_s:
        raise SettingsError(
            "leases.host_lapse_s is below two beat periods",
            "Lengthen it, or shorten beat_period_s",
        )
    if settings.exchange_period_s * 2 > leases.worker_lease_s:
        raise SettingsError(
            "leases.worker_lease_s is below two exchange periods",
            "Lengthen it, or shorten exchange_period_s",
        )
    if leases.renewal_limit_s < leases.host_lapse_s:
        raise SettingsError(
            "leases.renewal_limit_s is below leases.host_lapse_s",
            "Lengthen the limit",
        )

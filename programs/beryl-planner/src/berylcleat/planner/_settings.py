"""Settings of the planner process."""

from dataclasses import dataclass, field

from berylcleat.model import SettingsError
from berylcleat.ownership import LeaseRules


@dataclass(frozen=True, slots=True)
class PlannerSettings:
    """Settings of a planner process; times are in seconds."""

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
    """Raise ``SettingsError`` if a setting is missing or a lease is too short."""
    if not settings.host_id or not settings.data_centre:
        raise SettingsError(
            "host_id or data_centre is empty", "Name this host and its data centre"
        )
    leases = settings.leases
    if settings.feed_period_s * 2 > leases.host_lapse_s:
        raise SettingsError(
            "leases.host_lapse_s is less than twice feed_period_s",
            "Increase leases.host_lapse_s or decrease feed_period_s",
        )
    if settings.beat_period_s * 2 > leases.host_lapse_s:
        raise SettingsError(
            "leases.host_lapse_s is less than twice beat_period_s",
            "Increase leases.host_lapse_s or decrease beat_period_s",
        )
    if settings.exchange_period_s * 2 > leases.worker_lease_s:
        raise SettingsError(
            "leases.worker_lease_s is less than twice exchange_period_s",
            "Increase leases.worker_lease_s or decrease exchange_period_s",
        )
    if leases.renewal_limit_s < leases.host_lapse_s:
        raise SettingsError(
            "leases.renewal_limit_s is less than leases.host_lapse_s",
            "Increase leases.renewal_limit_s",
        )

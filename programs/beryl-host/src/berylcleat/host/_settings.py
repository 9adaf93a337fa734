"""Settings of the host process."""

import math
from dataclasses import dataclass, replace

from berylcleat.http import DEFAULT_BUDGET_BYTES
from berylcleat.model import SettingsError
from berylcleat.platform import decode_contracts, has_operator_duties
from berylcleat.scheduling import EvacuationRules

# Time that start orders need to arrive: a host whose news of the evacuations is older
# than the deadline and the allowance together, less this time, starts nothing.
ORDER_FLIGHT_MS = 1000
# Largest row of the platform's store, unless a deployment tells another one.
MAX_ROW_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Addresses, location and limits of one host process; times in seconds.

    ``drain_grace_s`` limits a graceful shutdown, ``core_speed`` is the speed of the
    host's cores relative to a reference core, and ``cpu_share`` is how many of these
    cores, or what fraction of one, the host may use. ``uneven_workers`` switches on the
    avoidance of slow and failing workers, ``expected_finish`` order and moves by
    expected finish; a deployment's ``contracts`` may switch them on too.
    ``admission_late_limit`` is the multiple of a submission's objective beyond which it
    is refused; 0 refuses none. ``racks_per_cell`` racks with successive numbers form a
    cell; it must be the same on all hosts. Without a ``machine_service_address``, or
    with a list of ``operator_duties`` that is empty, maintenance waves are ignored.

    ``max_body_bytes`` limits the body of a client's request, ``max_connections`` the
    connections of clients, and ``max_held_bytes`` what all connections together hold.
    A submission that no row of ``max_row_bytes`` holds is refused before it is stored.

    No task is started in an evacuated data centre later than ``evacuation_deadline_ms``
    after the request, and by a host without news of the requests no later than
    ``evacuation_outage_allowance_ms`` after that. A deadline of 0 means that the
    deployment has no evacuations.
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
    evacuation_deadline_ms: float = 0
    evacuation_outage_allowance_ms: float = 0
    uneven_workers: bool = False
    expected_finish: bool = False
    contracts: tuple[str, ...] | None = None
    admission_late_limit: float = 0.0
    racks_per_cell: int = 1
    machine_service_address: str = ""
    operator_duties: tuple[str, ...] | None = None
    max_body_bytes: int = 524_288
    max_connections: int = 2000
    max_held_bytes: int = DEFAULT_BUDGET_BYTES
    max_row_bytes: int = MAX_ROW_BYTES

    @property
    def cpu_power(self) -> float:
        """Return the host's processing capacity in reference cores."""
        return self.cpu_share * self.core_speed

    @property
    def evacuation_rules(self) -> EvacuationRules:
        """Return the limits of evacuations, in seconds."""
        return EvacuationRules(
            self.evacuation_deadline_ms / 1000,
            self.evacuation_outage_allowance_ms / 1000,
        )


def apply_contracts(settings: HostSettings) -> HostSettings:
    """Return the settings with the parts that contracts and duties ask for."""
    switches = decode_contracts(settings.contracts or ())
    has_duties = has_operator_duties(settings.operator_duties)
    return replace(
        settings,
        uneven_workers=settings.uneven_workers or switches.uneven_workers,
        expected_finish=settings.expected_finish or switches.expected_finish,
        racks_per_cell=max(settings.racks_per_cell, switches.racks_per_cell),
        machine_service_address=settings.machine_service_address if has_duties else "",
    )


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
    for name in (
        "max_body_bytes",
        "max_connections",
        "max_held_bytes",
        "max_row_bytes",
    ):
        if getattr(settings, name) < 1:
            raise SettingsError(f"{name} must be at least 1", "Set a positive integer")
    _check_evacuation_settings(settings)
    limit = settings.admission_late_limit
    if limit != 0 and not 1 <= limit < math.inf:
        raise SettingsError(
            f"admission_late_limit must be 0 or at least 1, not {limit}",
            "Set 0 to refuse nothing for load, or a multiple of the objective, such "
            "as 3",
        )
    if settings.racks_per_cell < 1:
        raise SettingsError(
            f"racks_per_cell must be at least 1, not {settings.racks_per_cell}",
            "Set 1 for cells of one rack, or the number of racks that form a cell",
        )
    if settings.orders_mode != "push":
        raise SettingsError(
            f"orders_mode {settings.orders_mode!r} is not supported",
            "Set orders_mode to push and use workers that accept pushed orders",
        )


def _check_evacuation_settings(settings: HostSettings) -> None:
    for name in ("evacuation_deadline_ms", "evacuation_outage_allowance_ms"):
        value = getattr(settings, name)
        if not 0 <= value < float("inf"):
            raise SettingsError(
                f"{name} is {value}, it must be a number of milliseconds, 0 or more",
                "Set 0 if the deployment has no evacuations, else the time it allows",
            )
    limit_ms = settings.evacuation_deadline_ms + settings.evacuation_outage_allowance_ms
    if settings.evacuation_deadline_ms and limit_ms <= ORDER_FLIGHT_MS:
        raise SettingsError(
            f"evacuation_deadline_ms is {settings.evacuation_deadline_ms} and leaves "
            "no time in which a task could start",
            f"Set more than {ORDER_FLIGHT_MS} together with "
            "evacuation_outage_allowance_ms, or 0 for no evacuations",
        )

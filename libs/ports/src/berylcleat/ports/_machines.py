"""Protocol class and data types of the platform's machine service."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class MachineState(Enum):
    """State of a machine on the service's list."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


class MaintenanceReply(Enum):
    """Answer of the machine service to a request for maintenance.

    ``ACCEPTED`` also answers a repeated request after the maintenance. ``BUSY`` means
    that the machine isn't up or is leaving.
    """

    ACCEPTED = "accepted"
    FENCED = "fenced"
    BUSY = "busy"
    NOT_IN_WAVE = "not in the wave"
    UNKNOWN_MACHINE = "unknown machine"


@dataclass(frozen=True, slots=True)
class Machine:
    """Machine on the service's list; ``worker_id`` is empty while it has no worker."""

    machine_id: str
    state: MachineState
    worker_id: str = ""


@dataclass(frozen=True, slots=True)
class WaveRequest:
    """Operator's request for a maintenance wave.

    Each of the machines must begin its maintenance within ``complete_by_s`` seconds
    after the request was written, with at most ``max_down`` of them down at a time.
    """

    wave_id: int
    machine_ids: tuple[str, ...]
    complete_by_s: float
    max_down: int


class MachineService(Protocol):
    """Service that lists machines and carries out their maintenance.

    Calls raise ``PlatformUnavailableError`` (the request had no effect) or
    ``OutcomeUnknownError`` (it may have taken effect, or may still do so). ``n_pages``
    is the number of reads that the last list took.
    """

    n_pages: int

    async def list_machines(self) -> tuple[Machine, ...]:
        """Return all machines."""

    async def request_maintenance(
        self, machine_id: str, wave_id: int, holder: str, token: int
    ) -> MaintenanceReply:
        """Begin the maintenance of a machine: everything on it terminates at once.

        ``holder`` is the id of the calling host and ``token`` its fencing token for
        this machine: the service rejects a lower one than it has seen.
        """

"""The operator's configuration and the entries of the worker list."""

from dataclasses import dataclass, field

from berylcleat.model import QueuePolicy, TaskDemand


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """Worker on the platform's list.

    ``remaining_s`` is the remaining lifetime that the platform announces, if any.
    """

    worker_id: str
    service: str
    address: str
    data_centre: str
    kind: str
    rack: str
    labels: frozenset[str]
    capacity: TaskDemand
    started_at_ms: int
    is_draining: bool = False
    remaining_s: float | None = None


@dataclass(frozen=True, slots=True)
class Queue:
    """Queue, and the host name and path prefix whose requests are routed to it."""

    host: str
    prefix: str
    timeout_ms: int
    policy: QueuePolicy


@dataclass(frozen=True, slots=True)
class ServiceInfo:
    """Pool of workers that run the submissions of the queues assigned to it."""

    name: str
    checks_admission: bool
    max_connections: int
    is_spare: bool = False


@dataclass(frozen=True, slots=True)
class OperatorConfig:
    """Version of the operator's configuration."""

    version: int
    queues: tuple[Queue, ...] = ()
    service_by_name: dict[str, ServiceInfo] = field(default_factory=dict)
    max_body_bytes: int = 262_144

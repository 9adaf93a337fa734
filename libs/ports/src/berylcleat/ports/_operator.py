"""What the operator configures and which workers are listed."""

from dataclasses import dataclass, field

from berylcleat.model import QueuePolicy, TaskDemand


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """Describe one listed worker."""

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
    """Route requests of one host name and path prefix to a queue."""

    host: str
    prefix: str
    timeout_ms: int
    policy: QueuePolicy


@dataclass(frozen=True, slots=True)
class ServiceInfo:
    """Describe a pool of workers."""

    name: str
    checks_admission: bool
    max_connections: int
    is_spare: bool = False


@dataclass(frozen=True, slots=True)
class OperatorConfig:
    """Hold one version of the operator's configuration."""

    version: int
    queues: tuple[Queue, ...] = ()
    service_by_name: dict[str, ServiceInfo] = field(default_factory=dict)
    max_body_bytes: int = 262_144

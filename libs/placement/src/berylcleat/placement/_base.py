"""What a placement policy sees and decides."""

from dataclasses import dataclass, field
from typing import Protocol

from berylcleat.model import Labels, Resources


@dataclass(frozen=True, slots=True)
class RunningTask:
    """Describe one task on a worker, possibly running included."""

    task_id: str
    team: str
    group: str
    declared: Resources
    observed: Resources
    priority: int
    started_at: float
    is_throttled: bool = False
    is_stopping: bool = False


@dataclass(frozen=True, slots=True)
class WorkerLoad:
    """Describe one worker as last reported.

    ``reserved`` is kept for services; ``service_slowdown`` is the lagging ratio of
    the service's tail latency to its target, 1.0 for none.
    """

    worker_id: str
    labels: Labels
    capacity: Resources
    reserved: Resources = field(default_factory=Resources)
    running: tuple[RunningTask, ...] = ()
    is_open: bool = True
    service_slowdown: float = 1.0
    service_cores_used: float = 0.0
    report_at: float = 0.0


@dataclass(frozen=True, slots=True)
class QueuedTask:
    """Describe one task that waits for a worker."""

    task_id: str
    job_id: str
    team: str
    group: str
    declared: Resources
    run_s: float
    priority: int
    queued_at: float
    placement: str = "*"
    deadline_at: float = float("inf")
    failed_on: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class EndedTask:
    """State how an attempt ended since the last decision: finished or failed."""

    task_id: str
    worker_id: str
    group: str
    outcome: str


@dataclass(frozen=True, slots=True)
class PlacementView:
    """Hold the queue and the workers of one cell at time ``now``."""

    now: float
    worker_by_id: dict[str, WorkerLoad]
    queue: tuple[QueuedTask, ...] = ()
    ended: tuple[EndedTask, ...] = ()


@dataclass(frozen=True, slots=True)
class Place:
    """Assign a queued task to a worker."""

    task_id: str
    worker_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class Evict:
    """Checkpoint a running task and queue it again."""

    task_id: str
    worker_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class Throttle:
    """Slow a running task down, or let it run freely again."""

    task_id: str
    worker_id: str
    is_on: bool
    reason: str


@dataclass(frozen=True, slots=True)
class Wait:
    """State what keeps a queued task waiting."""

    task_id: str
    reason: str


Decision = Place | Evict | Throttle | Wait


@dataclass(frozen=True, slots=True)
class PolicyStep:
    """Hold what a policy remembers next and what it decided."""

    state: object
    decisions: tuple[Decision, ...]


class PlacementPolicy(Protocol):
    """Decide where tasks run; all that it learns lives in ``state``."""

    name: str

    def make_initial_state(self) -> object:
        """Return the state of a policy that has seen nothing."""

    def decide(self, state: object, view: PlacementView) -> PolicyStep:
        """Return the decisions for ``view``; never exceeds any capacity."""

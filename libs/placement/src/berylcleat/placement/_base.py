"""Inputs and decisions of placement policies."""

from dataclasses import dataclass, field
from typing import Protocol

from berylcleat.model import Labels, Resources


@dataclass(frozen=True, slots=True)
class RunningTask:
    """Task that is assigned to a worker, whether or not it has started yet."""

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
    """Capacity and load of one worker, from its latest report.

    ``reserved`` is capacity withheld for services. ``service_slowdown`` is the ratio
    of the service's tail latency to its target, or 1.0 where no service runs; it lags
    behind the load that causes it.
    """

    worker_id: str
    labels: Labels
    capacity: Resources
    reserved: Resources = field(default_factory=Resources)
    running: tuple[RunningTask, ...] = ()
    accepts_tasks: bool = True
    service_slowdown: float = 1.0
    service_cores_used: float = 0.0
    reported_at: float = 0.0


@dataclass(frozen=True, slots=True)
class QueuedTask:
    """Task that waits for placement on a worker."""

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
    """Outcome ("finished" or "failed") of an attempt since the last decision."""

    task_id: str
    worker_id: str
    group: str
    outcome: str


@dataclass(frozen=True, slots=True)
class PlacementView:
    """Queue, workers and recent task outcomes of one cell at time ``now``."""

    now: float
    worker_by_id: dict[str, WorkerLoad]
    queue: tuple[QueuedTask, ...] = ()
    ended: tuple[EndedTask, ...] = ()


@dataclass(frozen=True, slots=True)
class Place:
    """Decision to assign a queued task to a worker."""

    task_id: str
    worker_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class Evict:
    """Decision to checkpoint a running task and requeue it."""

    task_id: str
    worker_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class Throttle:
    """Decision to throttle a running task, or to lift its throttling."""

    task_id: str
    worker_id: str
    is_on: bool
    reason: str


@dataclass(frozen=True, slots=True)
class Wait:
    """Decision to leave a task in the queue, with the reason."""

    task_id: str
    reason: str


Decision = Place | Evict | Throttle | Wait


@dataclass(frozen=True, slots=True)
class PolicyStep:
    """Decisions of a policy, and its state for the next call."""

    state: object
    decisions: tuple[Decision, ...]


class PlacementPolicy(Protocol):
    """Pure function from policy state and cell view to placement decisions.

    Implementations keep nothing between calls except in ``state``.
    """

    name: str

    def make_initial_state(self) -> object:
        """Return the state for the first call of ``decide``."""

    def decide(self, state: object, view: PlacementView) -> PolicyStep:
        """Return decisions for ``view`` that never exceed a worker's capacity."""

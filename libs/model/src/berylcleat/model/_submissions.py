"""Submissions: steps of tasks that a client hands in under its own id."""

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple


class SubmissionState(Enum):
    """Name what a client is told of its submission."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


ENDED_SUBMISSION_STATES = frozenset(
    {SubmissionState.DONE, SubmissionState.FAILED, SubmissionState.CANCELLED}
)


class TaskKey(NamedTuple):
    """Name one task: its submission, occurrence, step and index."""

    submission_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.submission_id}.{self.occurrence}.{self.step}.{self.index}"

    @property
    def step_key(self) -> "StepKey":
        """Return the name of the step's occurrence that the task belongs to."""
        return StepKey(self.submission_id, self.occurrence, self.step)


class StepKey(NamedTuple):
    """Name one occurrence of one step of a submission."""

    submission_id: str
    occurrence: int
    step: int

    def __str__(self) -> str:
        return f"{self.submission_id}.{self.occurrence}.{self.step}"


@dataclass(frozen=True, slots=True)
class TaskDemand:
    """Hold what one task asks for: thousandths of a core, MB, accelerators."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "TaskDemand") -> "TaskDemand":
        return TaskDemand(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "TaskDemand") -> "TaskDemand":
        return TaskDemand(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits_in(self, room: "TaskDemand") -> bool:
        """Tell whether every component is at most that of ``room``."""
        return (
            self.cpu_millis <= room.cpu_millis
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )


@dataclass(frozen=True, slots=True)
class Step:
    """Describe equal tasks that may run once the steps in ``after`` are done.

    ``max_per_worker`` and ``target_latency_ms`` of 0 set no bound. A ``fills`` step
    takes only processor time that other tasks leave unused.
    """

    n_tasks: int
    demand: TaskDemand
    estimate_s: float = 0.0
    after: tuple[int, ...] = ()
    saves_progress: bool = False
    is_gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    is_speculative: bool = False
    is_long_running: bool = False
    image: str = ""
    target_latency_ms: int = 0
    fills: bool = False
    max_unavailable: int | None = None

    @property
    def allocation(self) -> TaskDemand:
        """Return what a task takes of a worker's capacity."""
        if self.fills:
            return TaskDemand(0, self.demand.memory_mb, self.demand.accelerators)
        return self.demand


@dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """State that only advised workers may run a queue's steps; times in seconds."""

    decide_s: float
    per_worker_s: float
    valid_s: float


@dataclass(frozen=True, slots=True)
class QueuePolicy:
    """State how the submissions of a queue are treated.

    A submission should end within ``stretch`` times its longest chain of work plus
    ``objective_ms``.
    """

    name: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    objective_ms: int = 1000
    advice: AdvicePolicy | None = None


@dataclass(frozen=True, slots=True)
class Submission:
    """Hold an accepted submission with the policy that was in force."""

    submission_id: str
    queue: QueuePolicy
    spec: str
    steps: tuple[Step, ...]
    n_occurrences: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0

    @property
    def is_scheduled(self) -> bool:
        """Tell whether the steps run at set times."""
        return self.n_occurrences > 0

    def occurrences(self) -> range:
        """Return the numbers of all occurrences."""
        return range(max(self.n_occurrences, 1))


def critical_path_s(steps: tuple[Step, ...]) -> float:
    """Return the estimated length of the longest chain of steps, in seconds."""
    ends: list[float] = []
    for step in steps:
        before = max((ends[i] for i in step.after if i < len(ends)), default=0.0)
        ends.append(before + step.estimate_s)
    return max(ends, default=0.0)


def remaining_critical_paths_s(steps: tuple[Step, ...]) -> tuple[float, ...]:
    """Return for each step the estimated time from its start to the end of all."""
    tails = [step.estimate_s for step in steps]
    for number in reversed(range(len(steps))):
        for earlier in steps[number].after:
            through = steps[earlier].estimate_s + tails[number]
            tails[earlier] = max(tails[earlier], through)
    return tuple(tails)

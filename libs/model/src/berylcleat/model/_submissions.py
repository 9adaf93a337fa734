"""Submissions: graphs of steps, each of identical tasks, under a client's id."""

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from ._numbers import Amount, Count, Integer, Number, OccurrenceCount, TaskCount


class SubmissionState(Enum):
    """State of a submission as reported to its client."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


ENDED_SUBMISSION_STATES = frozenset(
    {SubmissionState.DONE, SubmissionState.FAILED, SubmissionState.CANCELLED}
)


class TaskKey(NamedTuple):
    """Key of a task: its submission, occurrence, step and index in the step."""

    submission_id: str
    occurrence: Integer
    step: Integer
    index: Integer

    def __str__(self) -> str:
        return f"{self.submission_id}.{self.occurrence}.{self.step}.{self.index}"

    @property
    def step_key(self) -> "StepKey":
        """Key of the step occurrence that the task belongs to."""
        return StepKey(self.submission_id, self.occurrence, self.step)


class StepKey(NamedTuple):
    """Key of one occurrence of a step of a submission."""

    submission_id: str
    occurrence: int
    step: int

    def __str__(self) -> str:
        return f"{self.submission_id}.{self.occurrence}.{self.step}"


@dataclass(frozen=True, slots=True)
class TaskDemand:
    """Resource demand of a task: thousandths of a core, MB and accelerators."""

    cpu_millis: Integer = 0
    memory_mb: Integer = 0
    accelerators: Integer = 0

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

    def fits_in(self, available: "TaskDemand") -> bool:
        """Return whether every component is at most that of ``available``."""
        return (
            self.cpu_millis <= available.cpu_millis
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )


@dataclass(frozen=True, slots=True)
class Step:
    """Step of identical tasks that may start once the steps in ``after`` are done.

    ``max_per_worker`` and ``target_latency_ms`` of 0 set no bound. The tasks of a
    ``fills`` step (fillers) use only CPU time that other tasks leave idle.
    """

    n_tasks: TaskCount
    demand: TaskDemand
    estimate_s: Amount = 0.0
    after: tuple[Count, ...] = ()
    saves_progress: bool = False
    is_gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: Count = 0
    is_speculative: bool = False
    is_long_running: bool = False
    image: str = ""
    target_latency_ms: Count = 0
    fills: bool = False
    max_unavailable: Count | None = None

    @property
    def allocation(self) -> TaskDemand:
        """Capacity reserved on a worker for one task; fillers reserve no CPU."""
        if self.fills:
            return TaskDemand(0, self.demand.memory_mb, self.demand.accelerators)
        return self.demand


@dataclass(frozen=True, slots=True)
class AdvicePolicy:
    """Requirement that the advice service approves the workers of a queue's steps.

    A request takes about ``decide_s`` plus ``per_worker_s`` for each worker in it; its
    tickets are valid for ``valid_s``. All times are in seconds.
    """

    decide_s: Number
    per_worker_s: Number
    valid_s: Number


@dataclass(frozen=True, slots=True)
class QueuePolicy:
    """Scheduling policy of a queue's submissions.

    A submission's deadline is ``stretch`` times its critical path plus
    ``objective_ms``, counted from its acceptance.
    """

    name: str
    service: str
    priority: Integer = 0
    max_attempts: Integer = 1
    stretch: Number = 1.0
    objective_ms: Integer = 1000
    advice: AdvicePolicy | None = None


@dataclass(frozen=True, slots=True)
class Submission:
    """Accepted submission, and its queue's policy at the time of acceptance.

    A scheduled submission runs its steps ``n_occurrences`` times, ``interval_ms``
    apart, first at ``first_due_ms`` (wall-clock time). If ``n_occurrences`` is 0, they
    run once, without a schedule.
    """

    submission_id: str
    queue: QueuePolicy
    spec: str
    steps: tuple[Step, ...]
    n_occurrences: OccurrenceCount = 0
    first_due_ms: Count = 0
    interval_ms: Count = 0

    @property
    def is_scheduled(self) -> bool:
        """Whether the steps run at scheduled times."""
        return self.n_occurrences > 0

    def has_task(self, task: TaskKey) -> bool:
        """Return whether ``task`` is one of this submission."""
        return (
            task.submission_id == self.submission_id
            and task.occurrence in self.occurrences()
            and 0 <= task.step < len(self.steps)
            and 0 <= task.index < self.steps[task.step].n_tasks
        )

    def occurrences(self) -> range:
        """Return the numbers of all occurrences."""
        return range(max(self.n_occurrences, 1))


def critical_path_s(steps: tuple[Step, ...]) -> float:
    """Return the estimated length of the critical path in seconds.

    A reference in ``after`` to the step itself or a later step is ignored.
    """
    end_times_s: list[float] = []
    for step in steps:
        start_s = max(
            (end_times_s[i] for i in step.after if i < len(end_times_s)), default=0.0
        )
        end_times_s.append(start_s + step.estimate_s)
    return max(end_times_s, default=0.0)


def remaining_critical_paths_s(steps: tuple[Step, ...]) -> tuple[float, ...]:
    """Return for each step the critical path in seconds from its start to the end."""
    remaining_s = [step.estimate_s for step in steps]
    for number in reversed(range(len(steps))):
        for predecessor in steps[number].after:
            path_s = steps[predecessor].estimate_s + remaining_s[number]
            remaining_s[predecessor] = max(remaining_s[predecessor], path_s)
    return tuple(remaining_s)

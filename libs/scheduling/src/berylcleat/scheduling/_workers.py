"""What a cell's owner knows of one worker."""

from dataclasses import dataclass, field
from enum import Enum

from berylcleat.model import Step, TaskDemand, TaskKey
from berylcleat.ports import WorkerEntry

from ._leases import WorkerClock

# Failures without a success in between after which a worker is avoided for a while.
N_FAILURES_SUSPECT = 3
SUSPECT_S = 4.0


class RunPhase(Enum):
    """Name how far a run has come as the owner knows."""

    STARTING = "starting"
    # The start had no answer: the worker may or may not run it.
    UNSURE = "unsure"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(slots=True)
class Run:
    """Follow one run of a task on one worker."""

    task: TaskKey
    number: int
    worker_id: str
    step: Step
    phase: RunPhase
    phase_since: float
    started_at: float
    start_deadline_ms: int = 0
    checkpoint: str = ""
    percent: int = 0
    reading: float = 0.0
    pace: int = 100
    stop_answered_at: float | None = None
    stop_sent_at: float | None = None


@dataclass(slots=True)
class WorkerView:
    """Hold a worker's entry, its clock, its runs and its ends.

    ``is_fenced`` tells that this life of the worker has answered under our epoch.
    """

    entry: WorkerEntry
    clock: WorkerClock = field(default_factory=WorkerClock)
    life_ms: int = 0
    is_fenced: bool = False
    is_listed: bool = True
    run_by_task: dict[TaskKey, Run] = field(default_factory=dict)
    used: TaskDemand = field(default_factory=TaskDemand)
    handled_number: int = 0
    acked_number: int = 0
    n_failures_in_a_row: int = 0
    avoid_until: float = 0.0

    def can_start(self, now: float) -> bool:
        """Tell whether new runs may go to this worker now."""
        return (
            self.is_fenced
            and self.is_listed
            and not self.entry.is_draining
            and now >= self.avoid_until
        )

    def free(self) -> TaskDemand:
        """Return the capacity that no run has taken."""
        return self.entry.capacity - self.used

    def add_run(self, run: Run) -> None:
        """Count ``run`` against the capacity."""
        self.run_by_task[run.task] = run
        self.used = self.used + run.step.room

    def drop_run(self, run: Run) -> None:
        """Give the room of ``run`` back."""
        if self.run_by_task.get(run.task) is run:
            del self.run_by_task[run.task]
            self.used = self.used - run.step.room

    def note_failure(self, now: float) -> None:
        """Avoid a worker that fails one run after the other."""
        self.n_failures_in_a_row += 1
        if self.n_failures_in_a_row >= N_FAILURES_SUSPECT:
            self.avoid_until = now + SUSPECT_S

    def note_success(self) -> None:
        """Forget earlier failures."""
        self.n_failures_in_a_row = 0

    def n_fills(self) -> int:
        """Return how many runs fill."""
        return sum(1 for run in self.run_by_task.values() if run.step.fills)

    def fills_cpu(self) -> int:
        """Return the processor time that filling runs ask for."""
        return sum(
            run.step.demand.cpu_millis
            for run in self.run_by_task.values()
            if run.step.fills
        )

    def n_serving(self) -> int:
        """Return how many runs have a latency target."""
        return sum(
            1 for run in self.run_by_task.values() if run.step.target_latency_ms
        )

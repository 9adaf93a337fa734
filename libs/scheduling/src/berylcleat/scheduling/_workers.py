"""What a cell's owner knows of one worker."""

from dataclasses import dataclass, field
from enum import Enum

from berylcleat.model import Step, TaskDemand, TaskKey
from berylcleat.ports import EndedTask, RunningTask, WorkerEntry

from ._interference import ImageUse, ServingReading
from ._leases import WorkerClock

# Failures without a success in between after which a worker is avoided for a while.
AVOID_AFTER_FAILURES = 3
AVOID_S = 4.0
# A reading tells of the last half second: a filler shows in it for a while after
# its end, in seconds.
READING_SPAN_S = 1.1
# Nothing is started on a worker that has not answered for so long, in seconds.
MAX_SILENCE_S = 2.5
# Forced fillers of a worker start within the first time and stop after the second;
# the worker then recovers for the third, in seconds.
FORCED_START_WINDOW_S = 0.5
FORCED_RUN_S = 2.5
FORCED_RECOVERY_S = 1.5
# Share of their processors that serving tasks are taken to use.
SERVING_CPU_SHARE = 0.48


class RunPhase(Enum):
    """Name how far a run has come as the owner knows."""

    STARTING = "starting"
    # The start had no answer: the worker may or may not run it.
    UNCONFIRMED = "unsure"
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
    checkpoint: str = ""
    percent: int = 0
    reading: float = 0.0
    # Percent of its processor time that a filler may use; None: not known.
    pace: int | None = 100
    # Load of a serving task without what disturbs it, from 0 to 1.
    own_load: float = SERVING_CPU_SHARE
    # Whether a task of the same submission on another worker told that load.
    is_load_from_sibling: bool = False
    is_forced: bool = False
    over_target_since: float | None = None
    was_reported: bool = False
    stop_answered_at: float | None = None
    stop_sent_at: float | None = None

    def update_reading(self, reading: float, now: float) -> None:
        """Note a reading, and since when the run has been over its target."""
        self.reading = reading
        target = self.step.target_latency_ms
        if not target or reading <= target:
            self.over_target_since = None
        elif self.over_target_since is None:
            self.over_target_since = now


@dataclass(slots=True)
class WorkerView:
    """Hold a worker's entry, its clock, its runs and its ends.

    ``is_fenced`` tells that this life of the worker has answered under our epoch.
    """

    entry: WorkerEntry
    clock: WorkerClock = field(default_factory=WorkerClock)
    incarnation_ms: int = 0
    is_fenced: bool = False
    is_listed: bool = True
    run_by_task: dict[TaskKey, Run] = field(default_factory=dict)
    used: TaskDemand = field(default_factory=TaskDemand)
    handled_number: int = 0
    acked_number: int = 0
    # Ends and runs of submissions that this owner hasn't heard of yet.
    unknown_end_by_number: dict[int, EndedTask] = field(default_factory=dict)
    unknown_run_by_task: dict[TaskKey, RunningTask] = field(default_factory=dict)
    unknown_since: float | None = None
    n_failures_in_a_row: int = 0
    avoid_until: float = 0.0
    fillers_stopped_at: float = 0.0
    interference_learned_at: float = 0.0
    forced_at: float = 0.0
    paced_at: float = 0.0
    # Whether all fillers had to leave and something is still over its target.
    is_recovering: bool = False
    past_uses: list[tuple[float, ImageUse]] = field(default_factory=list)

    def recordable_number(self) -> int:
        """Return the end up to which all ends have been counted."""
        if not self.unknown_end_by_number:
            return self.handled_number
        return min(self.unknown_end_by_number) - 1

    def can_start(self, now: float) -> bool:
        """Tell whether new runs may go to this worker now."""
        return not self.explain_unavailable(now)

    def explain_unavailable(self, now: float) -> str:
        """Return why no new run may go to this worker now, or an empty text."""
        if not self.is_fenced:
            return "not fenced"
        if not self.is_listed:
            return "not listed"
        if self.entry.is_draining:
            return "draining"
        if now < self.avoid_until:
            return "avoided"
        if now - self.clock.answered_at >= MAX_SILENCE_S:
            return "silent"
        return ""

    def can_force_filler(self, now: float) -> bool:
        """Tell whether a forced filler may start: in time with others, or rested."""
        since_s = now - self.forced_at
        return (
            since_s < FORCED_START_WINDOW_S
            or since_s > FORCED_RUN_S + FORCED_RECOVERY_S
        )

    def free(self) -> TaskDemand:
        """Return the capacity that no run has taken."""
        return self.entry.capacity - self.used

    def add_run(self, run: Run) -> None:
        """Count ``run`` against the capacity."""
        self.run_by_task[run.task] = run
        self.used = self.used + run.step.room

    def remove_run(self, run: Run, now: float) -> None:
        """Give the room of ``run`` back."""
        if self.run_by_task.get(run.task) is run:
            del self.run_by_task[run.task]
            self.used = self.used - run.step.room
            if run.step.fills or run.step.target_latency_ms:
                self.past_uses.append((now, self._image_use(run, now)))

    def count_failure(self, now: float) -> None:
        """Avoid a worker that fails one run after the other."""
        self.n_failures_in_a_row += 1
        if self.n_failures_in_a_row >= AVOID_AFTER_FAILURES:
            self.avoid_until = now + AVOID_S

    def reset_failures(self) -> None:
        """Forget earlier failures."""
        self.n_failures_in_a_row = 0

    def filler_runs(self) -> list[Run]:
        """Return the runs that fill."""
        return [run for run in self.run_by_task.values() if run.step.fills]

    def serving_runs(self) -> list[Run]:
        """Return the runs that have a latency target."""
        return [run for run in self.run_by_task.values() if run.step.target_latency_ms]

    def serving_images(self) -> set[str]:
        """Return the images of the runs that have a latency target."""
        return {run.step.image for run in self.serving_runs()}

    def cpu_left(self) -> int:
        """Return the processor time that should be left for another filler."""
        left = float(self.entry.capacity.cpu_millis)
        for run in self.run_by_task.values():
            use = SERVING_CPU_SHARE if run.step.target_latency_ms else 1.0
            left -= run.step.demand.cpu_millis * use
        return int(left)

    def readings(self) -> list[ServingReading]:
        """Return the latest readings of serving runs that are at work."""
        return [
            ServingReading(
                run.step.image,
                run.reading / run.step.target_latency_ms,
                run.own_load if run.is_load_from_sibling else None,
            )
            for run in self.serving_runs()
            if run.reading > 0
        ]

    def over_target_s(self, now: float) -> float:
        """Return for how long a serving run has been over its target on end."""
        since = [
            r.over_target_since
            for r in self.serving_runs()
            if r.over_target_since is not None
        ]
        return now - min(since) if since else 0.0

    def worst_reading_by_image(self) -> dict[str, float]:
        """Return the highest ratio of tail latency to target, by serving image."""
        worst: dict[str, float] = {}
        for reading in self.readings():
            worst[reading.image] = max(worst.get(reading.image, 0.0), reading.ratio)
        return worst

    def worst_reading(self) -> float:
        """Return the highest ratio of tail latency to target."""
        return max((reading.ratio for reading in self.readings()), default=0.0)

    def image_uses(self, now: float) -> list[ImageUse]:
        """Return what could disturb within the span of the latest readings."""
        self.past_uses = [
            item for item in self.past_uses if now - item[0] < READING_SPAN_S
        ]
        use_by_image: dict[str, ImageUse] = {}
        uses = [use for _, use in self.past_uses]
        uses += (self._image_use(run, now) for run in self.filler_runs())
        uses += (self._image_use(run, now) for run in self.serving_runs())
        for use in uses:
            known = use_by_image.get(use.image, use)
            share = use.share if known is use else known.share + use.share
            settled = known.is_settled and use.is_settled
            use_by_image[use.image] = ImageUse(use.image, share, settled)
        return list(use_by_image.values())

    def _image_use(self, run: Run, now: float) -> ImageUse:
        cpu = run.reading
        if run.step.target_latency_ms:
            # The reading of a serving run is a latency.
            cpu = run.step.demand.cpu_millis * SERVING_CPU_SHARE
        share = cpu / self.entry.capacity.cpu_millis
        is_settled = now - run.started_at > READING_SPAN_S
        return ImageUse(run.step.image, share, is_settled)

"""State of one worker and its runs as known to a cell's owner."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from berylcleat.model import Step, TaskDemand, TaskKey
from berylcleat.ports import RunningTask, WorkerEntry

from ._deferred_ends import DeferredEnd
from ._interference import ImageUse, ServingReading
from ._leases import LeaseTimes, WorkerClock

# Consecutive failures after which a worker is avoided, and for how many seconds.
AVOID_AFTER_FAILURES = 3
AVOID_S = 4.0
# Seconds for which a filler affects readings after its end: a reading covers the last
# half second.
READING_SPAN_S = 1.1
# Seconds by which a worker may execute an order after its answer was given up: orders
# are executed up to 12 s after they were sent, and an answer may be given up at once.
MAX_ORDER_DELAY_S = 12.0
# Seconds without an answer after which no run is started on a worker.
MAX_SILENCE_S = 2.5
# In seconds: forced fillers of a worker start within this window and may be stopped
# after the run time; the worker then recovers before the next ones.
FORCED_START_WINDOW_S = 0.5
FORCED_RUN_S = 2.5
FORCED_RECOVERY_S = 1.5
FORCED_PERIOD_S = FORCED_RUN_S + FORCED_RECOVERY_S
# Penalty, in usual durations, of a worker that should get no further run for now.
MIN_PENALTY = 0.5
# Tail latency relative to the target at which an excess over it ends: readings are
# rough, so that one just below the target may stem from a tail above it.
EXCESS_ENDS_RATIO = 0.95
# Share of their reserved processor time that serving tasks are assumed to use.
SERVING_CPU_SHARE = 0.48


class RunPhase(Enum):
    """Phase of a run as known to the owner."""

    STARTING = "starting"
    # The start order was not answered: the worker may or may not run it.
    UNCONFIRMED = "unsure"
    RUNNING = "running"
    STOPPING = "stopping"


@dataclass(slots=True)
class Run:
    """One run of a task on one worker."""

    task: TaskKey
    number: int
    worker_id: str
    step: Step
    phase: RunPhase
    phase_since: float
    started_at: float
    checkpoint: str = ""
    percent: int = 0
    # Tail latency in ms of a serving run, otherwise used thousandths of a core.
    reading: float = 0.0
    # Percentage of its processor time that a filler may use; None if unknown.
    pace: int | None = 100
    # Load of a serving task without the load that other tasks add, from 0 to 1.
    own_load: float = SERVING_CPU_SHARE
    # Whether that load was estimated from a sibling task on another worker.
    is_load_from_sibling: bool = False
    is_forced: bool = False
    over_target_since: float | None = None
    # Whether an earlier owner started it; then ``started_at`` is when it was found.
    is_adopted: bool = False
    # Why its task, if inherited, had no other run when it started, for logs.
    certainty: str = ""
    # Whether it began from a checkpoint.
    is_resumed: bool = False
    was_accepted: bool = False
    # Incarnation of its worker when its start was decided, 0 if unknown.
    incarnation_ms: int = 0
    # Whether its start was cleared for sending, so that a worker may run it.
    may_have_been_sent: bool = False
    was_reported: bool = False
    stop_answered_at: float | None = None
    stop_sent_at: float | None = None

    @property
    def is_unsent(self) -> bool:
        """Whether its start still waits to be sent."""
        return self.phase is RunPhase.STARTING and not self.may_have_been_sent

    def update_reading(self, reading: float, now: float) -> None:
        """Store a reading, and the time since which the tail exceeds the target."""
        self.reading = reading
        target = self.step.target_latency_ms
        if not target or reading <= target * EXCESS_ENDS_RATIO:
            self.over_target_since = None
        elif reading > target and self.over_target_since is None:
            self.over_target_since = now


@dataclass(frozen=True, slots=True)
class WorkerCondition:
    """Deviation of a worker from the others that matters for the choice of workers.

    ``n_slots`` bounds the concurrent runs that were started from ``since`` on, None
    sets no bound. On probation no run starts beyond it, nor before ``may_start_at``;
    otherwise such runs only start where no other worker fits.
    """

    slowdown: float = 1.0
    is_suspect: bool = False
    is_on_probation: bool = False
    n_slots: int | None = None
    since: float = 0.0
    may_start_at: float = 0.0


def _expected_cpu(step: Step) -> float:
    """Return the processor time that a task of ``step`` is expected to use."""
    use = SERVING_CPU_SHARE if step.target_latency_ms else 1.0
    return step.demand.cpu_millis * use


@dataclass(frozen=True, slots=True)
class _RunSummary:
    """What follows from the runs of a worker and its entry alone.

    ``cpu_left`` is the processor time that the runs are expected to leave.
    """

    entry: WorkerEntry
    fillers: list[Run]
    serving: list[Run]
    serving_images: set[str]
    cpu_left: float


def _summarize_runs(entry: WorkerEntry, runs: Iterable[Run]) -> _RunSummary:
    runs = list(runs)
    serving = [run for run in runs if run.step.target_latency_ms]
    left = float(entry.capacity.cpu_millis)
    for run in runs:
        left -= _expected_cpu(run.step)
    return _RunSummary(
        entry,
        [run for run in runs if run.step.fills],
        serving,
        {run.step.image for run in serving},
        left,
    )


@dataclass(slots=True)
class WorkerView:
    """Entry, clock, runs and run ends of one worker.

    ``incarnation_ms`` is the start time of the worker process, 0 if unknown.
    ``has_seen_epoch`` is true once this incarnation has answered under the owner's
    epoch; from then on it rejects orders of earlier owners. The worker numbers the
    ends of its runs: ``handled_number`` is the last one received, ``acked_number`` the
    last one recorded, which the next hold acknowledges.
    """

    entry: WorkerEntry
    clock: WorkerClock = field(default_factory=WorkerClock)
    incarnation_ms: int = 0
    has_seen_epoch: bool = False
    # When the answer to a start was last given up, and the latest deadline of such a
    # start. Until when one that was sent to an earlier incarnation may have extended
    # the lease of this one, and its deadline by the clock of either.
    unanswered_start_at: float = float("-inf")
    unanswered_deadline_ms: int = 0
    late_lease_until: float = float("-inf")
    late_deadline_ms: int = 0
    # When this incarnation had certainly started, as told by its clock.
    started_by: float = 0.0
    # When this incarnation first answered under the owner's epoch.
    epoch_seen_at: float = 0.0
    # When the first hold since the last report failed.
    hold_failed_at: float | None = None
    is_listed: bool = True
    run_by_task: dict[TaskKey, Run] = field(default_factory=dict)
    used: TaskDemand = field(default_factory=TaskDemand)
    # Capacity that runs use which are to be stopped without having been adopted.
    used_by_unwanted: TaskDemand = field(default_factory=TaskDemand)
    # Steps of the tasks that start here once their next run is recorded: capacity is
    # kept for them.
    kept_step_by_task: dict[TaskKey, Step] = field(default_factory=dict)
    handled_number: int = 0
    acked_number: int = 0
    # Ends that can't be counted yet, and runs of submissions that the owner has not
    # received yet.
    deferred_end_by_number: dict[int, DeferredEnd] = field(default_factory=dict)
    unreadable_ends: set[int] = field(default_factory=set)
    # Whether the last report that was handled lists a run that can't be read.
    has_unreadable_runs: bool = False
    unknown_run_by_task: dict[TaskKey, RunningTask] = field(default_factory=dict)
    unknown_since: float | None = None
    # When the worker certainly was alive, and when it last got a start.
    alive_at: float = 0.0
    last_start_at: float = float("-inf")
    # Until this time nothing else starts here: a suspect of a crash has just started.
    trial_until: float = 0.0
    # Runs of this incarnation whose leases have expired.
    expired_runs: list[Run] = field(default_factory=list)
    n_consecutive_failures: int = 0
    avoid_until: float = 0.0
    # Until when one more run may start although the worker is avoided or on probation.
    released_until: float = float("-inf")
    # Whether its machine is emptied for maintenance, or was taken down for it.
    is_cordoned: bool = False
    # None for a worker like the others, and where uneven workers aren't observed.
    condition: WorkerCondition | None = None
    fillers_stopped_at: float = 0.0
    # When the last filler ended, and when fillers were last forced beside serving tasks
    # that were over their targets without any.
    filler_ended_at: float = float("-inf")
    forced_beside_own_load_at: float = float("-inf")
    interference_learned_at: float = 0.0
    last_forced_at: float = float("-inf")
    paced_at: float = 0.0
    # Whether a serving task is over its target for so long that all fillers must stop.
    is_recovering: bool = False
    # Processor use of runs that have ended recently, with the time of their end.
    past_uses: list[tuple[float, ImageUse]] = field(default_factory=list)
    # None after a change of the runs; a planning round uses it for each waiting step.
    _run_summary: _RunSummary | None = field(default=None, repr=False, compare=False)

    @property
    def is_leaving(self) -> bool:
        """Whether the worker is expected to end, so that its end is no crash."""
        return self.entry.is_draining or self.is_cordoned

    @property
    def has_ever_answered(self) -> bool:
        """Whether any incarnation has answered under the owner's epoch.

        Until then it gets no start, and holds that renew no lease.
        """
        return bool(self.incarnation_ms or self.epoch_seen_at)

    def leases_expire_at(self) -> float:
        """Return the owner's time by which every granted lease has expired."""
        late_lease_until = min(
            self.late_lease_until, self.clock.latest_reach_time(self.late_deadline_ms)
        )
        return max(self.clock.all_leases_expire_at(), late_lease_until)

    def expect_late_start(self, times: LeaseTimes) -> None:
        """Expect a start without an answer that was sent to an earlier incarnation.

        Its deadline is by the clock of that one, so it may grant the longest lease.
        """
        self.late_deadline_ms = self.unanswered_deadline_ms
        may_arrive_until = self.unanswered_start_at + MAX_ORDER_DELAY_S
        self.late_lease_until = may_arrive_until + times.takeover_wait_s(
            owner_is_dead=True
        )

    def recordable_number(self) -> int:
        """Return the highest number up to which every run end has been processed."""
        unprocessed = self.deferred_end_by_number.keys() | self.unreadable_ends
        if not unprocessed:
            return self.handled_number
        return min(unprocessed) - 1

    def note_unreadable_ends(self, numbers: Iterable[int]) -> None:
        """Keep ends that can't be read, and those after them, from being acknowledged.

        Nothing is known of the runs that they belong to.
        """
        self.unreadable_ends.update(numbers)
        self.handled_number = max(self.handled_number, *self.unreadable_ends, 0)

    def forget_unknown_runs(self) -> None:
        """Forget the runs of unknown submissions, which have ended."""
        self.unknown_run_by_task.clear()
        self.unknown_since = None

    def can_start(self, now: float) -> bool:
        """Return whether new runs may start on this worker now."""
        return not self.explain_unavailable(now)

    def explain_unavailable(self, now: float) -> str:
        """Return why no new run may start on this worker now, or an empty string."""
        reason = self.explain_unusable(now)
        if not reason and now < self.trial_until:
            return "a suspect of a crash has just started"
        return reason

    def explain_unusable(self, now: float) -> str:
        """Return why no start may be prepared for this worker, or an empty string."""
        return self.explain_no_answer(now) or self.explain_unreleased(now)

    def explain_no_answer(self, now: float) -> str:
        """Return why the worker is out of use or silent, or an empty string."""
        reason = self.explain_out_of_use()
        if not reason and now - self.clock.answered_at >= MAX_SILENCE_S:
            return "silent"
        return reason

    def explain_unreleased(self, now: float) -> str:
        """Return why the worker is avoided and not released, or an empty string."""
        return "" if now < self.released_until else self.explain_avoidance(now)

    def explain_avoidance(self, now: float) -> str:
        """Return why the worker is avoided for now, or an empty string."""
        if now < self.avoid_until:
            return "avoided"
        if self.condition is not None and self._is_probation_full(now):
            return "on probation"
        return ""

    def explain_out_of_use(self) -> str:
        """Return why the worker is out of use, whatever the time, or an empty string.

        It stays so until it answers or its entry changes.
        """
        if not self.has_seen_epoch:
            return "no answer under this epoch"
        if self.hold_failed_at is not None:
            return "last hold failed"
        if not self.is_listed:
            return "not listed"
        if self.entry.is_draining:
            return "draining"
        if self.is_cordoned:
            return "in maintenance"
        if self.unknown_run_by_task:
            return "runs of unknown submissions"
        if 0 < self.entry.started_at_ms < self.incarnation_ms:
            return "capacity since its restart unknown"
        return ""

    def _is_probation_full(self, now: float) -> bool:
        condition = self.condition
        if not condition.is_on_probation:
            return False
        return now < condition.may_start_at or not self._has_slot()

    def _has_slot(self) -> bool:
        """Return whether fewer runs than allowed have started in the condition."""
        condition = self.condition
        if condition.n_slots is None:
            return True
        n_started = sum(
            run.started_at >= condition.since for run in self.run_by_task.values()
        )
        return n_started < condition.n_slots

    def start_penalty(self) -> float:
        """Return how much longer a run is expected to take than on other workers.

        0 for a worker like the others; the unit is the usual duration.
        """
        condition = self.condition
        if condition is None:
            return 0.0
        penalty = condition.slowdown - 1.0
        if condition.is_suspect or not self._has_slot():
            penalty = max(penalty, MIN_PENALTY)
        return penalty

    def effective_share(self) -> float:
        """Return the part of the worker's capacity that its speed leaves."""
        return 1.0 if self.condition is None else 1.0 / self.condition.slowdown

    def effective_cpu_millis(self) -> int:
        """Return the processor time that the worker has at its present speed."""
        return int(self.entry.capacity.cpu_millis * self.effective_share())

    def effective_free_millis(self) -> int:
        """Return the unreserved part of ``effective_cpu_millis``."""
        return int(max(0, self.free().cpu_millis) * self.effective_share())

    def can_force_filler(self, now: float) -> bool:
        """Return whether a forced filler may start now.

        It may within the start window that the last forced filler opened, and again
        once the run time and the recovery after it are over.
        """
        since_s = now - self.last_forced_at
        return since_s > FORCED_PERIOD_S or self.is_forced_window_open(now)

    def on_forced(self, now: float) -> None:
        """Open a window for forced fillers, unless one is open or was just now."""
        if self.is_recovering:
            since_s = now - self.forced_beside_own_load_at
            if since_s >= FORCED_START_WINDOW_S:
                self.forced_beside_own_load_at = now
        elif self.can_force_filler(now) and not self.is_forced_window_open(now):
            self.last_forced_at = now

    def is_forced_window_open(self, now: float) -> bool:
        """Return whether the window is open that the last forced filler opened."""
        return now - self.last_forced_at < FORCED_START_WINDOW_S

    def is_over_by_own_load(self, now: float) -> bool:
        """Return whether serving tasks are over their targets without any filler.

        Fillers that were forced because of that within the last window don't count.
        """
        if not self.is_recovering:
            return False
        if now - self.forced_beside_own_load_at < FORCED_START_WINDOW_S:
            return True
        has_fillers = bool(self.filler_runs())
        return not has_fillers and now - self.filler_ended_at > READING_SPAN_S

    def free(self) -> TaskDemand:
        """Return the capacity neither used nor kept; negative where it has shrunk."""
        free = self.entry.capacity - self.used - self.used_by_unwanted
        for step in self.kept_step_by_task.values():
            free = free - step.allocation
        return free

    @property
    def is_overcommitted(self) -> bool:
        """Whether runs use more than the capacity, which has shrunk: nothing fits."""
        return not TaskDemand().fits_in(self.free())

    def cpu_share(self, cpu_millis: float) -> float:
        """Return a processor time as a share of the worker's, which may be nothing."""
        return cpu_millis / max(self.entry.capacity.cpu_millis, 1)

    def add_run(self, run: Run) -> None:
        """Add ``run`` and reserve its capacity."""
        self.run_by_task[run.task] = run
        self._run_summary = None
        self.released_until = float("-inf")
        self.used = self.used + run.step.allocation

    def remove_run(self, run: Run, now: float) -> None:
        """Remove ``run`` and release its capacity.

        Its processor use still counts in ``image_uses`` for the span of a reading.
        """
        if self.run_by_task.get(run.task) is run:
            self.withdraw_run(run)
            if run.step.fills:
                self.filler_ended_at = now
            if run.step.fills or run.step.target_latency_ms:
                self.past_uses.append((now, self._image_use(run, now)))

    def withdraw_run(self, run: Run) -> None:
        """Remove ``run``, which was never sent, and release its capacity."""
        del self.run_by_task[run.task]
        self._run_summary = None
        self.used = self.used - run.step.allocation

    def count_failure(self, now: float) -> None:
        """Count a failed run; avoid the worker after too many in a row."""
        self.n_consecutive_failures += 1
        if self.n_consecutive_failures >= AVOID_AFTER_FAILURES:
            self.avoid_until = now + AVOID_S

    def reset_failures(self) -> None:
        """Reset the count of consecutive failures."""
        self.n_consecutive_failures = 0

    def _summary(self) -> _RunSummary:
        summary = self._run_summary
        if summary is None or summary.entry is not self.entry:
            summary = _summarize_runs(self.entry, self.run_by_task.values())
            self._run_summary = summary
        return summary

    def filler_runs(self) -> list[Run]:
        """Return the runs of fillers."""
        return self._summary().fillers

    def serving_runs(self) -> list[Run]:
        """Return the runs that have a latency target."""
        return self._summary().serving

    def serving_images(self) -> set[str]:
        """Return the images of the runs that have a latency target."""
        return self._summary().serving_images

    def cpu_left(self) -> int:
        """Return the processor time expected to be unused, in thousandths of a core.

        What is kept for tasks that are about to start counts as used.
        """
        left = self._summary().cpu_left
        for step in self.kept_step_by_task.values():
            left -= _expected_cpu(step)
        return int(left)

    def readings(self) -> list[ServingReading]:
        """Return the latest readings of the serving runs that have one."""
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
        """Return for how many seconds a serving run has been over its target."""
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
        """Return the processor use, by image, that may affect the latest readings."""
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
            all_cover = known.covers_reading and use.covers_reading
            use_by_image[use.image] = ImageUse(use.image, share, all_cover)
        return list(use_by_image.values())

    def _image_use(self, run: Run, now: float) -> ImageUse:
        cpu = run.reading
        if run.step.target_latency_ms:
            # The reading of a serving run is a latency.
            cpu = run.step.demand.cpu_millis * SERVING_CPU_SHARE
        share = self.cpu_share(cpu)
        covers_reading = now - run.started_at > READING_SPAN_S
        return ImageUse(run.step.image, share, covers_reading)

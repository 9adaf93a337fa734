"""Submissions tracked by a cell: their runnable steps, progress and end."""

from collections.abc import Callable, Iterator, Set
from dataclasses import dataclass, field

from berylcleat.model import (
    Step,
    Submission,
    SubmissionState,
    TaskKey,
    critical_path_s,
    remaining_critical_paths_s,
)

from ._progress import CrashedRuns, CrashEvidence, PresumedStart, Progress
from ._urgency import DeadlineOrder, UrgencyOrder

# Run numbers reserved per epoch, so that those of a later epoch are always higher.
RUNS_PER_EPOCH = 1000
# Weight of one step in the moving average of demands.
DEMAND_WEIGHT = 0.1


@dataclass(slots=True)
class ReadyStep:
    """Tasks of one step of one occurrence that wait for a start."""

    tracked: "TrackedSubmission"
    occurrence: int
    number: int
    waiting: set[int]
    stuck_since: float | None = None

    @property
    def step(self) -> Step:
        """Return the definition of the step."""
        return self.tracked.submission.steps[self.number]

    def starved_s(self, now: float) -> float:
        """Return for how many seconds the step has fitted on no worker, here or before.

        0 if it fits, or has not been tried yet.
        """
        if self.stuck_since is None:
            return 0.0
        idle_since = self.tracked.idle_since
        if idle_since is None:
            return now - self.stuck_since
        return now - min(self.stuck_since, idle_since)

    def task(self, index: int) -> TaskKey:
        """Return the key of the task at ``index``."""
        submission_id = self.tracked.submission.submission_id
        return TaskKey(submission_id, self.occurrence, self.number, index)


@dataclass(slots=True)
class TrackedSubmission:
    """State of one submission in a cell's scheduler.

    ``due_at`` is its deadline on the owner's clock. The cell that accepted it is its
    home cell; other cells track only the tasks moved to them. ``is_dirty`` is true
    while progress is not recorded. ``run_floor_by_task`` holds the highest run number
    known of each task, ``move_floor_by_task`` the one that it had when it moved here.
    ``presumed_run_by_task`` holds runs that are recorded as crashed in advance, with
    the time of that in ``presumed_at_by_task``.
    """

    submission: Submission
    progress: Progress
    due_at: float
    is_home: bool = True
    is_cancelled: bool = False
    has_started: bool = False
    # Whether a worker has told of a run, here or to the owner that recorded progress.
    has_begun: bool = False
    last_forced_at: float = 0.0
    # Since when a step is ready and no run of the submission is known, None otherwise.
    # It includes the time before its tasks moved here.
    idle_since: float | None = None
    is_dirty: bool = False
    # When this owner received it.
    received_at: float = 0.0
    # Number of the latest record of the cell that holds its progress.
    record_number: int = 0
    ready_by_step: dict[tuple[int, int], ReadyStep] = field(default_factory=dict)
    activated_steps: set[tuple[int, int]] = field(default_factory=set)
    run_floor_by_task: dict[TaskKey, int] = field(default_factory=dict)
    move_floor_by_task: dict[TaskKey, int] = field(default_factory=dict)
    moved_away: set[TaskKey] = field(default_factory=set)
    moved_here: set[TaskKey] = field(default_factory=set)
    confirmed_ends: set[TaskKey] = field(default_factory=set)
    presumed_run_by_task: dict[TaskKey, int] = field(default_factory=dict)
    presumed_at_by_task: dict[TaskKey, float] = field(default_factory=dict)
    recorded_crashes_by_task: dict[TaskKey, frozenset[int]] = field(
        default_factory=dict
    )
    recorded_start_by_run: dict[tuple[TaskKey, int], PresumedStart] = field(
        default_factory=dict
    )
    # How often the record of a task's next run was taken back before its start.
    n_withdrawn_by_task: dict[TaskKey, int] = field(default_factory=dict)
    n_moves_by_task: dict[TaskKey, int] = field(default_factory=dict)
    moved_at_by_task: dict[TaskKey, float] = field(default_factory=dict)
    remaining_s_by_step: tuple[float, ...] = ()

    def __post_init__(self):
        self.remaining_s_by_step = remaining_critical_paths_s(self.submission.steps)

    def runs_here(self, task: TaskKey) -> bool:
        """Return whether ``task`` is assigned to this cell."""
        if not self.is_home:
            return task in self.moved_here
        return task not in self.moved_away

    def n_failures(self, task: TaskKey) -> int:
        """Return the number of failed runs of ``task`` or of its gang."""
        if not self.submission.steps[task.step].is_gang:
            return self.progress.n_failures(task)
        failed = self.progress.failed_runs_by_task
        runs = (failed.get(member, set()) for member in self.step_tasks(task))
        return len(set().union(*runs))

    def step_tasks(self, task: TaskKey) -> list[TaskKey]:
        """Return all tasks of the step and occurrence of ``task``."""
        n_tasks = self.submission.steps[task.step].n_tasks
        return [self.task_key(task.occurrence, task.step, n) for n in range(n_tasks)]

    def checkpoint_key(self, task: TaskKey) -> TaskKey:
        """Return the task that a checkpoint is stored under; a gang shares one."""
        if self.submission.steps[task.step].is_gang:
            return self.task_key(task.occurrence, task.step, 0)
        return task

    def set_checkpoint(self, task: TaskKey, checkpoint: str) -> None:
        """Store the latest checkpoint if the step saves its progress."""
        if checkpoint and self.submission.steps[task.step].saves_progress:
            stored_under = self.checkpoint_key(task)
            self.progress.checkpoint_by_task[stored_under] = checkpoint

    def checkpoint_of(self, task: TaskKey) -> str:
        """Return the checkpoint to resume ``task`` from, or an empty string."""
        stored_under = self.checkpoint_key(task)
        return self.progress.checkpoint_by_task.get(stored_under, "")

    def next_run(self, task: TaskKey, epoch: int) -> int:
        """Return a run number above those of earlier owners and other cells."""
        base = self.move_floor_by_task.get(task, 0) + (epoch - 1) * RUNS_PER_EPOCH
        return max(base, self.run_floor_by_task.get(task, 0)) + 1

    def raise_run_floor(self, task: TaskKey, run: int) -> None:
        """Raise the highest run number known to be in use for ``task``."""
        self.run_floor_by_task[task] = max(self.run_floor_by_task.get(task, 0), run)

    def apply_move(
        self,
        task: TaskKey,
        run_floor: int,
        failed_runs: tuple[int, ...],
        crashed_runs: tuple[tuple[int, CrashEvidence], ...],
        saved_checkpoint: str,
    ) -> None:
        """Import the run floor, runs and checkpoint of a task moved here."""
        if run_floor > self.move_floor_by_task.get(task, -1):
            self.move_floor_by_task[task] = run_floor
            self.set_checkpoint(task, saved_checkpoint)
        self.raise_run_floor(task, run_floor)
        for run in failed_runs:
            self.progress.add_failure(task, run)
        if crashed_runs and not self.progress.is_done(task):
            crashes = self.progress.crashed_runs_by_task.setdefault(task, {})
            for run, evidence in crashed_runs:
                crashes.setdefault(run, evidence)

    def unconfirmed_ends(self) -> list[TaskKey]:
        """Return the tasks whose end here the home cell has not confirmed.

        If the submission has failed here, these are all tasks moved here, and those
        that have moved on since the last of their attempts.
        """
        if self.is_home or self.is_cancelled:
            return []
        if self.progress.final_state is not SubmissionState.FAILED:
            tasks = self.moved_here - self.confirmed_ends
            return [task for task in tasks if self.progress.is_done(task)]
        failed = set(filter(self._has_used_attempts, self.progress.failed_runs_by_task))
        return list((self.moved_here | failed) - self.confirmed_ends)

    def _has_used_attempts(self, task: TaskKey) -> bool:
        return self.n_failures(task) >= self.submission.queue.max_attempts

    def task_key(self, occurrence: int, step: int, index: int) -> TaskKey:
        """Return the key of a task of this submission."""
        return TaskKey(self.submission.submission_id, occurrence, step, index)

    def note_idle_before(self, idle_s: float, now: float) -> None:
        """Take note that the submission had no run for ``idle_s`` in another cell."""
        since = now - idle_s
        if idle_s > 0 and (self.idle_since is None or since < self.idle_since):
            self.idle_since = since

    @property
    def is_over(self) -> bool:
        """Return whether the submission was cancelled or has ended."""
        return self.is_cancelled or self.progress.final_state is not None

    def activate_due_steps(self, wall_ms: float) -> None:
        """Activate every step that is due and whose dependencies are done."""
        if self.is_over or not self.is_home:
            return
        for occurrence in self.submission.occurrences():
            if self._due_ms(occurrence) > wall_ms:
                return
            for number in range(len(self.submission.steps)):
                self.activate_step(occurrence, number)

    def _due_ms(self, occurrence: int) -> float:
        if not self.submission.is_scheduled:
            return 0.0
        submission = self.submission
        return submission.first_due_ms + occurrence * submission.interval_ms

    def activate_step(self, occurrence: int, number: int) -> bool:
        """Enqueue the tasks of a step if the steps that it depends on are done.

        Return whether the step is active.
        """
        key = (occurrence, number)
        step = self.submission.steps[number]
        if key in self.activated_steps:
            return True
        if not all(self.step_is_done(occurrence, earlier) for earlier in step.after):
            return False
        self.activated_steps.add(key)
        done = self.progress.done_by_step.get(key, ())
        waiting = {
            index
            for index in range(step.n_tasks)
            if index not in done and self.runs_here(self.task_key(*key, index))
        }
        if waiting:
            self.ready_by_step[key] = ReadyStep(self, occurrence, number, waiting)
        return True

    def step_is_done(self, occurrence: int, number: int) -> bool:
        """Return whether every task of a step is done."""
        step = self.submission.steps[number]
        done = self.progress.done_by_step.get((occurrence, number), ())
        return len(done) >= step.n_tasks

    def all_done(self) -> bool:
        """Return whether every task of every occurrence is done."""
        return all(
            self.step_is_done(occurrence, number)
            for occurrence in self.submission.occurrences()
            for number in range(len(self.submission.steps))
        )

    def remove_waiting(self, task: TaskKey) -> None:
        """Remove ``task`` from the waiting tasks."""
        key = (task.occurrence, task.step)
        ready = self.ready_by_step.get(key)
        if ready is None:
            return
        ready.waiting.discard(task.index)
        if not ready.waiting:
            del self.ready_by_step[key]

    def requeue(self, task: TaskKey) -> None:
        """Enqueue ``task`` again unless it is done or no longer assigned here."""
        key = (task.occurrence, task.step)
        if self.is_over or self.progress.is_done(task) or not self.runs_here(task):
            return
        if self.is_home and key not in self.activated_steps:
            return
        ready = self.ready_by_step.get(key)
        if ready is None:
            self.ready_by_step[key] = ReadyStep(self, *key, {task.index})
        else:
            ready.waiting.add(task.index)

    def add_done(self, task: TaskKey) -> None:
        """Mark ``task`` as done; end the submission after its last task."""
        if self.progress.is_done(task):
            return
        is_gang = self.submission.steps[task.step].is_gang
        # The members of a gang end together, so one done member completes all.
        for member in self.step_tasks(task) if is_gang else (task,):
            self.progress.add_done(member)
            self.remove_waiting(member)
        self.is_dirty = True
        if self.is_home and self.all_done():
            self.progress.final_state = SubmissionState.DONE
            self.ready_by_step.clear()

    def add_failure(self, task: TaskKey, run: int) -> None:
        """Add a failed run; fail the submission after its last attempt."""
        if run in self.progress.failed_runs_by_task.get(task, ()):
            return
        self.progress.add_failure(task, run)
        self.is_dirty = True
        if self._has_used_attempts(task):
            self.fail()

    def crashes(self, task: TaskKey) -> CrashedRuns:
        """Return the crashed runs of ``task`` without the one presumed in advance."""
        runs = self.progress.crashed_runs_by_task.get(task)
        if not runs:
            return {}
        presumed = self.presumed_run_by_task.get(task)
        return {run: known for run, known in runs.items() if run != presumed}

    def n_crashes(self, task: TaskKey) -> int:
        """Return the number of crashed runs of ``task``."""
        return len(self.crashes(task))

    def is_crashed_run(self, task: TaskKey, run: int) -> bool:
        """Return whether a run counts as crashed or is presumed to be."""
        return run in self.progress.crashed_runs_by_task.get(task, ())

    def add_crash(self, task: TaskKey, run: int, evidence: CrashEvidence) -> None:
        """Add a run during which its worker crashed, or may have."""
        runs = self.progress.crashed_runs_by_task.setdefault(task, {})
        runs[run] = max(evidence, runs.get(run, evidence))
        self.progress.presumed_start_by_run.pop((task, run), None)
        if self.presumed_run_by_task.get(task) == run:
            del self.presumed_run_by_task[task]
        self.is_dirty = True

    def presume_crash(
        self, task: TaskKey, run: int, start: PresumedStart | None, now: float
    ) -> None:
        """Count a run as crashed before it starts.

        ``start`` is where it is to start, None if that may be any worker.
        """
        if not self.is_crash_presumed(task, run):
            self.drop_presumption(task)
            self.presumed_at_by_task[task] = now
        runs = self.progress.crashed_runs_by_task.setdefault(task, {})
        runs[run] = CrashEvidence.PRESUMED
        self.presumed_run_by_task[task] = run
        if start is not None:
            self.progress.presumed_start_by_run[(task, run)] = start
        else:
            self.progress.presumed_start_by_run.pop((task, run), None)
        self._forget_recorded_start(task, run)
        self.is_dirty = True

    def _forget_recorded_start(self, task: TaskKey, run: int) -> None:
        """Let a run start only after the next write of its record.

        A write that is under way may replace the record that was known so far.
        """
        self.recorded_start_by_run.pop((task, run), None)
        recorded = self.recorded_crashes_by_task.get(task, frozenset())
        self.recorded_crashes_by_task[task] = recorded - {run}

    def presumed_start(self, task: TaskKey) -> PresumedStart | None:
        """Return where the run of ``task`` that is presumed here is to start."""
        run = self.presumed_run_by_task.get(task, 0)
        return self.progress.presumed_start_by_run.get((task, run))

    def is_crash_presumed(self, task: TaskKey, run: int) -> bool:
        """Return whether a run is counted as crashed in advance."""
        return self.presumed_run_by_task.get(task) == run

    def is_crash_recorded(self, task: TaskKey, run: int) -> bool:
        """Return whether the record counts a run as crashed."""
        return run in self.recorded_crashes_by_task.get(task, ())

    def is_start_recorded(
        self, task: TaskKey, run: int, start: PresumedStart | None
    ) -> bool:
        """Return whether the record counts a run as crashed, to start at ``start``."""
        recorded = self.recorded_start_by_run.get((task, run))
        return self.is_crash_recorded(task, run) and recorded == start

    def drop_presumption(self, task: TaskKey) -> None:
        """Take back the run of ``task`` that is presumed, if any."""
        run = self.presumed_run_by_task.get(task)
        if run is not None:
            n_withdrawn = self.n_withdrawn_by_task.get(task, 0)
            self.n_withdrawn_by_task[task] = n_withdrawn + 1
            self._forget_recorded_start(task, run)
            self.clear_crash(task, run)

    def settle_inherited_presumptions(
        self,
        task: TaskKey,
        has_crashed_since: Callable[[PresumedStart | None], bool | None],
    ) -> None:
        """Count the runs that an earlier owner presumed, or take them back.

        ``has_crashed_since`` tells whether the worker of such a run has crashed since.
        While that isn't known (None), the run counts, but may still be taken back.
        """
        start_by_run = self.progress.presumed_start_by_run
        for run, evidence in self.crashes(task).items():
            start = start_by_run.get((task, run))
            if start is None and evidence is not CrashEvidence.PRESUMED:
                continue
            has_crashed = has_crashed_since(start)
            if has_crashed is False:
                self.clear_crash(task, run)
            elif has_crashed or evidence is CrashEvidence.PRESUMED:
                self.add_crash(task, run, CrashEvidence.POSSIBLE)
            if has_crashed is None and start is not None:
                start_by_run[(task, run)] = start

    def clear_crash(self, task: TaskKey, run: int) -> None:
        """Take back a crashed run, which has shown otherwise.

        An ended submission stays as it is recorded.
        """
        if self.is_over or not self.is_crashed_run(task, run):
            return
        runs = self.progress.crashed_runs_by_task[task]
        del runs[run]
        self.progress.presumed_start_by_run.pop((task, run), None)
        if not runs:
            del self.progress.crashed_runs_by_task[task]
        if self.presumed_run_by_task.get(task) == run:
            del self.presumed_run_by_task[task]
        self.is_dirty = True

    def clear_crashes(self, task: TaskKey) -> None:
        """Take back all crashed runs of a task that crashes no worker."""
        if self.is_over:
            return
        self.progress.drop_crashes(task)
        self.presumed_run_by_task.pop(task, None)
        self.is_dirty = True

    def on_recorded(self, progress: Progress) -> None:
        """Take note of the crashes that the record holds."""
        self.recorded_crashes_by_task = {
            task: frozenset(runs)
            for task, runs in progress.crashed_runs_by_task.items()
        }
        self.recorded_start_by_run = progress.presumed_start_by_run

    def fail(self) -> None:
        """Mark the submission as failed and drop its waiting tasks."""
        self.progress.final_state = SubmissionState.FAILED
        self.is_dirty = True
        self.ready_by_step.clear()

    def cancel(self) -> None:
        """Mark the submission as cancelled and drop its waiting tasks."""
        self.is_cancelled = True
        self.ready_by_step.clear()


class SubmissionRegistry:
    """Submissions tracked by a cell, by id.

    ``live_by_id`` holds those that have not ended or have unrecorded progress.
    """

    def __init__(self, order: UrgencyOrder | None = None):
        self._order: UrgencyOrder = order or DeadlineOrder()
        self.by_id: dict[str, TrackedSubmission] = {}
        self.live_by_id: dict[str, TrackedSubmission] = {}
        # Number of records written so far.
        self.n_records = 0
        # Moving average over the ordinary steps added here, in thousandths of a core.
        self.usual_demand_millis = 0

    def add(
        self,
        submission: Submission,
        progress: Progress,
        accepted_at: float,
        *,
        is_home: bool = True,
    ) -> TrackedSubmission:
        """Add a submission and compute its deadline."""
        queue = submission.queue
        length_s = critical_path_s(submission.steps) * queue.stretch
        due_at = accepted_at + length_s + queue.objective_ms / 1000
        tracked = TrackedSubmission(submission, progress, due_at, is_home)
        tracked.has_begun = bool(progress.done_by_step or progress.failed_runs_by_task)
        for step in submission.steps:
            self._observe_demand(step)
        self.by_id[submission.submission_id] = tracked
        if not tracked.is_over or not is_home:
            self.live_by_id[submission.submission_id] = tracked
        return tracked

    def _observe_demand(self, step: Step) -> None:
        if step.fills or step.target_latency_ms:
            return
        demand = step.demand.cpu_millis
        known = self.usual_demand_millis or demand
        self.usual_demand_millis = int(known + (demand - known) * DEMAND_WEIGHT)

    def queue_name_of(self, submission_id: str) -> str:
        """Return the name of the queue of a submission."""
        return self.by_id[submission_id].submission.queue.name

    def retire(self, tracked: TrackedSubmission) -> None:
        """Remove a submission from the live ones if it has ended and is recorded."""
        if tracked.is_over and not tracked.is_dirty and not tracked.unconfirmed_ends():
            self.live_by_id.pop(tracked.submission.submission_id, None)

    def revive(self, tracked: TrackedSubmission) -> None:
        """Track a retired submission again if its home must learn of an end."""
        if tracked.unconfirmed_ends():
            self.live_by_id[tracked.submission.submission_id] = tracked

    def observe_idle(self, running: Set[str], starting: Set[str], now: float) -> None:
        """Take note since when submissions that could run have no run.

        ``running`` holds the ids of those that have one, ``starting`` of those with a
        start that a worker may still reject: it ends no wait.
        """
        for submission_id, tracked in self.live_by_id.items():
            if submission_id in running:
                tracked.idle_since = None
            elif submission_id in starting:
                continue
            elif not tracked.ready_by_step:
                tracked.idle_since = None
            elif tracked.idle_since is None:
                tracked.idle_since = now

    def activate_scheduled(self, wall_ms: float) -> None:
        """Activate the due steps of submissions with scheduled occurrences."""
        for tracked in self.live_by_id.values():
            if tracked.submission.is_scheduled:
                tracked.activate_due_steps(wall_ms)

    def iter_ready(self) -> Iterator[ReadyStep]:
        """Yield the steps with waiting tasks in any order."""
        for tracked in self.live_by_id.values():
            yield from tracked.ready_by_step.values()

    def ready_steps(self, now: float) -> list[ReadyStep]:
        """Return the steps with waiting tasks, most urgent first."""
        return self._order.sort(self.iter_ready(), now)

    def dirty_submissions(self) -> list[TrackedSubmission]:
        """Return the submissions with unrecorded progress.

        Those recorded least recently come first, as a record may hold only some.
        """
        dirty = (tracked for tracked in self.live_by_id.values() if tracked.is_dirty)
        return sorted(dirty, key=lambda tracked: tracked.record_number)

    def n_pending_by_queue(self) -> dict[str, int]:
        """Return the number of submissions of which no task has begun, by queue.

        A start that was sent doesn't count until a worker tells of the run.
        """
        counts: dict[str, int] = {}
        for tracked in self.live_by_id.values():
            if tracked.has_begun or tracked.is_over or not tracked.is_home:
                continue
            name = tracked.submission.queue.name
            counts[name] = counts.get(name, 0) + 1
        return counts

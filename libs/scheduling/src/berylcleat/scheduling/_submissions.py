"""The submissions of a cell: which steps may run, and when one has ended."""

from dataclasses import dataclass, field

from berylcleat.model import (
    Step,
    Submission,
    SubmissionState,
    TaskKey,
    longest_chain_s,
    tail_lengths_s,
)

from ._progress import Progress

# Run numbers of one epoch lie above those of every earlier epoch.
RUNS_PER_EPOCH = 1000
# Share of an estimated length that the work surely takes: estimates are rough.
MIN_REMAINING_SHARE = 0.6


@dataclass(slots=True)
class ReadyStep:
    """Hold the tasks of one step of one occurrence that wait for a start."""

    tracked: "TrackedSubmission"
    occurrence: int
    number: int
    waiting: set[int]
    stuck_since: float | None = None

    @property
    def step(self) -> Step:
        """Return the step's description."""
        return self.tracked.submission.steps[self.number]

    def task(self, index: int) -> TaskKey:
        """Return the name of the task at ``index``."""
        submission_id = self.tracked.submission.submission_id
        return TaskKey(submission_id, self.occurrence, self.number, index)

    def urgency_key(self, now: float) -> tuple[int, bool, float, str, int, int]:
        """Return the key that sorts ready steps by urgency.

        Work that can't end in time any more goes after work that can. What lasts is
        never too late: it earns as long as it runs.
        """
        tracked = self.tracked
        remaining_s = tracked.remaining_s_by_step[self.number] * MIN_REMAINING_SHARE
        is_late = now + remaining_s > tracked.due_at
        return (
            tracked.submission.queue.priority,
            is_late and not self.step.is_long_running,
            tracked.due_at,
            tracked.submission.submission_id,
            self.occurrence,
            self.number,
        )


@dataclass(slots=True)
class TrackedSubmission:
    """Follow one submission of the cell.

    ``due_at`` is when it should have ended, on the owner's clock. The cell that it
    was accepted for is its home; other cells follow only the tasks moved to them.
    """

    submission: Submission
    progress: Progress
    due_at: float
    is_home: bool = True
    is_cancelled: bool = False
    has_started: bool = False
    forced_at: float = 0.0
    is_dirty: bool = False
    ready_by_step: dict[tuple[int, int], ReadyStep] = field(default_factory=dict)
    activated_steps: set[tuple[int, int]] = field(default_factory=set)
    run_floor_by_task: dict[TaskKey, int] = field(default_factory=dict)
    move_floor_by_task: dict[TaskKey, int] = field(default_factory=dict)
    moved_away: set[TaskKey] = field(default_factory=set)
    moved_here: set[TaskKey] = field(default_factory=set)
    confirmed_ends: set[TaskKey] = field(default_factory=set)
    remaining_s_by_step: tuple[float, ...] = ()

    def __post_init__(self):
        self.remaining_s_by_step = tail_lengths_s(self.submission.steps)

    def runs_here(self, task: TaskKey) -> bool:
        """Tell whether ``task`` is to run in this cell."""
        if not self.is_home:
            return task in self.moved_here
        return task not in self.moved_away

    def n_failures(self, task: TaskKey) -> int:
        """Return how many runs of ``task``, or of its gang, have failed."""
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
        """Return under which task a checkpoint is kept: one of a gang is for all."""
        if self.submission.steps[task.step].is_gang:
            return self.task_key(task.occurrence, task.step, 0)
        return task

    def set_checkpoint(self, task: TaskKey, checkpoint: str) -> None:
        """Keep the newest checkpoint of a task that saves its progress."""
        if checkpoint and self.submission.steps[task.step].saves_progress:
            place = self.checkpoint_key(task)
            self.progress.checkpoint_by_task[place] = checkpoint

    def checkpoint_of(self, task: TaskKey) -> str:
        """Return the checkpoint to resume ``task`` from, or an empty text."""
        place = self.checkpoint_key(task)
        return self.progress.checkpoint_by_task.get(place, "")

    def next_run(self, task: TaskKey, epoch: int) -> int:
        """Return a run number above those of earlier owners and other cells."""
        base = self.move_floor_by_task.get(task, 0) + (epoch - 1) * RUNS_PER_EPOCH
        return max(base, self.run_floor_by_task.get(task, 0)) + 1

    def raise_run_floor(self, task: TaskKey, run: int) -> None:
        """Note a run number that is taken."""
        self.run_floor_by_task[task] = max(self.run_floor_by_task.get(task, 0), run)

    def apply_move(
        self, task: TaskKey, run_floor: int, failed_runs: tuple[int, ...], saved: str
    ) -> None:
        """Take over what another cell knew of a task that has come here."""
        if run_floor > self.move_floor_by_task.get(task, -1):
            self.move_floor_by_task[task] = run_floor
            self.set_checkpoint(task, saved)
        self.raise_run_floor(task, run_floor)
        for run in failed_runs:
            self.progress.add_failure(task, run)

    def unconfirmed_ends(self) -> list[TaskKey]:
        """Return guests whose end their home has not confirmed."""
        if self.is_home or self.is_cancelled:
            return []
        has_failed = self.progress.final_state is SubmissionState.FAILED
        return [
            task
            for task in self.moved_here - self.confirmed_ends
            if has_failed or self.progress.is_done(task)
        ]

    def task_key(self, occurrence: int, step: int, index: int) -> TaskKey:
        """Return the name of a task of this submission."""
        return TaskKey(self.submission.submission_id, occurrence, step, index)

    @property
    def is_over(self) -> bool:
        """Tell whether no task of it may start any more."""
        return self.is_cancelled or self.progress.final_state is not None

    def activate_due_steps(self, wall_ms: float) -> None:
        """Make the tasks of every step ready whose turn has come."""
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
        """Make the tasks of a step ready if all earlier steps are done."""
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
        """Tell whether every task of a step has ended as done."""
        step = self.submission.steps[number]
        done = self.progress.done_by_step.get((occurrence, number), ())
        return len(done) >= step.n_tasks

    def all_done(self) -> bool:
        """Tell whether every task has ended as done."""
        return all(
            self.step_is_done(occurrence, number)
            for occurrence in self.submission.occurrences()
            for number in range(len(self.submission.steps))
        )

    def remove_waiting(self, task: TaskKey) -> None:
        """Take ``task`` from the waiting ones."""
        key = (task.occurrence, task.step)
        ready = self.ready_by_step.get(key)
        if ready is None:
            return
        ready.waiting.discard(task.index)
        if not ready.waiting:
            del self.ready_by_step[key]

    def requeue(self, task: TaskKey) -> None:
        """Let ``task`` wait for another start, unless it is done."""
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
        """Note the end of ``task``; end the submission with its last task."""
        if self.progress.is_done(task):
            return
        is_gang = self.submission.steps[task.step].is_gang
        # The members of a gang end together: one such end stands for all.
        for member in self.step_tasks(task) if is_gang else (task,):
            self.progress.add_done(member)
            self.remove_waiting(member)
        self.is_dirty = True
        if self.is_home and self.all_done():
            self.progress.final_state = SubmissionState.DONE
            self.ready_by_step.clear()

    def add_failure(self, task: TaskKey, run: int) -> None:
        """Note a failed run; end the submission when its attempts are spent."""
        if run in self.progress.failed_runs_by_task.get(task, ()):
            return
        self.progress.add_failure(task, run)
        self.is_dirty = True
        if self.n_failures(task) >= self.submission.queue.max_attempts:
            self.fail()

    def fail(self) -> None:
        """End the submission as failed."""
        self.progress.final_state = SubmissionState.FAILED
        self.is_dirty = True
        self.ready_by_step.clear()

    def cancel(self) -> None:
        """Let nothing of it start any more."""
        self.is_cancelled = True
        self.ready_by_step.clear()


class SubmissionRegistry:
    """Hold the submissions of a cell by id; ``live_by_id`` those not ended yet."""

    def __init__(self):
        self.by_id: dict[str, TrackedSubmission] = {}
        self.live_by_id: dict[str, TrackedSubmission] = {}

    def add(
        self,
        submission: Submission,
        progress: Progress,
        accepted_at: float,
        *,
        is_home: bool = True,
    ) -> TrackedSubmission:
        """Follow ``submission`` from now on."""
        queue = submission.queue
        length_s = longest_chain_s(submission.steps) * queue.stretch
        due_at = accepted_at + length_s + queue.objective_ms / 1000
        tracked = TrackedSubmission(submission, progress, due_at, is_home)
        self.by_id[submission.submission_id] = tracked
        if not tracked.is_over or not is_home:
            self.live_by_id[submission.submission_id] = tracked
        return tracked

    def retire(self, tracked: TrackedSubmission) -> None:
        """Take an ended submission with nothing to record from the live ones."""
        if tracked.is_over and not tracked.is_dirty and not tracked.unconfirmed_ends():
            self.live_by_id.pop(tracked.submission.submission_id, None)

    def activate_scheduled(self, wall_ms: float) -> None:
        """Open the steps of scheduled submissions whose time has come."""
        for tracked in self.live_by_id.values():
            if tracked.submission.is_scheduled:
                tracked.activate_due_steps(wall_ms)

    def ready_steps(self, now: float) -> list[ReadyStep]:
        """Return the steps with waiting tasks, most urgent first."""
        ready = (
            step
            for tracked in self.live_by_id.values()
            for step in tracked.ready_by_step.values()
        )
        return sorted(ready, key=lambda step: step.urgency_key(now))

    def dirty_submissions(self) -> list[TrackedSubmission]:
        """Return the submissions with progress that is not recorded yet."""
        return [tracked for tracked in self.live_by_id.values() if tracked.is_dirty]

    def n_pending_by_queue(self) -> dict[str, int]:
        """Return how many submissions of each queue have not begun."""
        counts: dict[str, int] = {}
        for tracked in self.live_by_id.values():
            if tracked.has_started or tracked.is_over or not tracked.is_home:
                continue
            name = tracked.submission.queue.name
            counts[name] = counts.get(name, 0) + 1
        return counts

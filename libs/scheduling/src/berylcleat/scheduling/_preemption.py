"""Choice of the long-running tasks that yield their capacity to short tasks.

A long-running task keeps its capacity for as long as it runs. In a full service such
tasks would take each gap between short ones for good, and these would wait ever longer.
"""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from berylcleat.model import Step, TaskDemand, TaskKey

from ._workers import Run, RunPhase, WorkerView

# Seconds after its stop in which a task leaves its capacity to short tasks. It must run
# again 9 s after its last run, as the platform requires where there is capacity for it.
YIELD_S = 4.0
# Seconds after the last stop in which long-running tasks leave gaps to short tasks, and
# for which capacity for two of them, or for one, is free before they take it all the
# same: the platform lets none wait for 3 s beside capacity for two.
GAP_MEMORY_S = 10.0
MAX_GAP_S = 1.5
MAX_SMALL_GAP_S = 4.0
SLOTS_OF_A_GAP = 2
# Share of a cell's long-running tasks that yield at a time.
MAX_YIELDING_SHARE = 0.15
# Seconds that a task runs before it yields.
MIN_RUN_S = 2.0
# Maximum runs that one short task replaces.
MAX_RUNS_PER_TASK = 2


# Submission, occurrence and number of a step.
StepKey = tuple[str, int, int]


@dataclass(frozen=True, slots=True)
class ShortTask:
    """Waiting task that ends, and that no worker has capacity for."""

    task: TaskKey
    step: Step
    service: str
    priority: int


@dataclass(slots=True)
class _Room:
    """Capacity of a worker that is free once the runs being stopped have ended."""

    view: WorkerView
    free: TaskDemand
    candidates: list[Run]
    n_by_step: dict[StepKey, int] = field(default_factory=dict)


class Preemption:
    """Long-running tasks of one cell that yield; times are in seconds.

    ``n_yielded`` counts the runs that were chosen to yield.
    """

    def __init__(self):
        self.n_yielded = 0
        self._held_until_by_task: dict[TaskKey, float] = {}
        self._yielded_at = float("-inf")
        # When fewer than two tasks of a waiting step fitted, and when none, by step.
        self._small_at_by_step: dict[StepKey, float] = {}
        self._full_at_by_step: dict[StepKey, float] = {}

    def is_held(self, task: TaskKey, now: float) -> bool:
        """Return whether a task that has yielded mustn't start yet."""
        if now >= self._held_until_by_task.get(task, 0.0):
            return False
        return now - self._small_at_by_step.get(task[:3], now) < MAX_GAP_S

    def leaves_gap(self, step_key: StepKey, n_slots: int, now: float) -> bool:
        """Return whether a long-running step leaves free capacity to short tasks.

        ``n_slots`` is how many of its tasks would fit now.
        """
        if now - self._yielded_at > GAP_MEMORY_S:
            self._small_at_by_step.clear()
            self._full_at_by_step.clear()
            return False
        if n_slots < SLOTS_OF_A_GAP:
            self._small_at_by_step[step_key] = now
        if not n_slots:
            self._full_at_by_step[step_key] = now
        small_s = now - self._small_at_by_step.setdefault(step_key, now)
        full_s = now - self._full_at_by_step.setdefault(step_key, now)
        return small_s < MAX_GAP_S and full_s < MAX_SMALL_GAP_S

    def has_yielded(self, task: TaskKey) -> bool:
        """Return whether a task has yielded and not started since."""
        return task in self._held_until_by_task

    def on_start(self, task: TaskKey) -> None:
        """Take note of the start of a task."""
        self._held_until_by_task.pop(task, None)

    def keep_only(self, submission_ids: Collection[str]) -> None:
        """Forget the tasks of submissions that have ended."""
        for task in [
            task
            for task in self._held_until_by_task
            if task.submission_id not in submission_ids
        ]:
            del self._held_until_by_task[task]
        for at_by_step in (self._small_at_by_step, self._full_at_by_step):
            for key in [key for key in at_by_step if key[0] not in submission_ids]:
                del at_by_step[key]

    def n_allowed(self, views: Iterable[WorkerView], now: float) -> int:
        """Return how many more runs on a cell's workers may yield now."""
        n_running = sum(
            run.step.is_long_running and run.phase is not RunPhase.STOPPING
            for view in views
            for run in view.run_by_task.values()
        )
        n_held = sum(until > now for until in self._held_until_by_task.values())
        return int(MAX_YIELDING_SHARE * (n_running + n_held)) - n_held

    def choose(
        self,
        waiting: Iterable[ShortTask],
        views: Collection[WorkerView],
        priority_of: Callable[[TaskKey], int],
        now: float,
    ) -> list[Run]:
        """Return the runs to stop so that waiting tasks, in this order, find capacity.

        The runs that started last yield first. Those that are being stopped already
        count as free.
        """
        n_allowed = self.n_allowed(views, now)
        rooms = [self._make_room(view, now) for view in views]
        chosen: list[Run] = []
        for short in waiting:
            best: tuple[tuple, _Room, list[Run]] | None = None
            for room in rooms:
                runs = _find_runs(short, room, priority_of)
                if runs is None:
                    continue
                score = (len(runs), -min((r.started_at for r in runs), default=0.0))
                if best is None or score < best[0]:
                    best = (score, room, runs)
            if best is None or len(chosen) + len(best[2]) > n_allowed:
                continue
            _, room, runs = best
            for run in runs:
                room.candidates.remove(run)
                room.free = room.free + run.step.allocation
                self._held_until_by_task[run.task] = now + YIELD_S
                self._yielded_at = now
            room.free = room.free - short.step.allocation
            step_key = short.task[:3]
            room.n_by_step[step_key] = room.n_by_step.get(step_key, 0) + 1
            chosen += runs
        self.n_yielded += len(chosen)
        return chosen

    def _make_room(self, view: WorkerView, now: float) -> _Room:
        free = view.free()
        candidates = []
        for run in view.run_by_task.values():
            if run.phase is RunPhase.STOPPING:
                free = free + run.step.allocation
            elif _may_yield(run, now):
                candidates.append(run)
        candidates.sort(key=lambda run: run.started_at, reverse=True)
        return _Room(view, free, candidates)


def _may_yield(run: Run, now: float) -> bool:
    """Return whether a run may be stopped for short tasks at all.

    Not where the step bounds how many of its tasks the system may make unavailable.
    """
    return (
        run.step.is_long_running
        and not run.step.is_gang
        and run.step.max_unavailable is None
        and run.phase is RunPhase.RUNNING
        and now - run.started_at >= MIN_RUN_S
    )


def _find_runs(
    short: ShortTask, room: _Room, priority_of: Callable[[TaskKey], int]
) -> list[Run] | None:
    """Return the runs of a worker that a short task would replace, None if it can't."""
    step, entry = short.step, room.view.entry
    if entry.service != short.service:
        return None
    if step.required_label and step.required_label not in entry.labels:
        return None
    if step.max_per_worker:
        step_key = short.task[:3]
        n_siblings = sum(task[:3] == step_key for task in room.view.run_by_task)
        if n_siblings + room.n_by_step.get(step_key, 0) >= step.max_per_worker:
            return None
    if step.allocation.fits_in(room.free):
        return []
    usable = [r for r in room.candidates if priority_of(r.task) >= short.priority]
    for run in usable:
        if step.allocation.fits_in(room.free + run.step.allocation):
            return [run]
    runs = usable[:MAX_RUNS_PER_TASK]
    total = sum((run.step.allocation for run in runs), room.free)
    return runs if step.allocation.fits_in(total) else None


def count_slots(step: Step, service: str, views: Iterable[WorkerView]) -> int:
    """Return how many tasks of a step fit on workers, at most those of a gap."""
    n_slots = 0
    for view in views:
        if view.entry.service != service:
            continue
        free = view.free()
        while step.allocation.fits_in(free) and n_slots < SLOTS_OF_A_GAP:
            free = free - step.allocation
            n_slots += 1
        if n_slots >= SLOTS_OF_A_GAP:
            break
    return n_slots

"""Evacuation of a data centre: which starts it prevents and which runs it relocates."""

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from berylcleat.model import StepKey, TaskKey

from ._workers import MAX_SILENCE_S, Run, RunPhase, WorkerView

# Seconds that a start order may take to reach its worker, reserved before the deadline.
ORDER_FLIGHT_S = 1.0
# Seconds in which the published capacity of a data centre returns after a withdrawal.
RETURN_RAMP_S = 5.0
# Seconds for which a task counts as unavailable after it was: availability is judged by
# the last 5 s, and reports are up to half a second old.
UNAVAILABLE_MEMORY_S = 5.5
# Seconds without a planning round after which the owner counts as suspended. Requests
# are known within 1 s and an order takes 1 s at most, so the 5 s deadline holds.
MAX_PAUSE_S = 2.0
# Maximum age in seconds of the newest read of the requests for a relocation: without
# the store, a stopped task couldn't move.
MAX_RELOCATION_READ_AGE_S = 3.0


@dataclass(frozen=True, slots=True)
class EvacuationRules:
    """Bounds on starts in an evacuated data centre, in seconds.

    No task starts later than ``start_deadline_s`` after the request, or by
    ``outage_allowance_s`` more where the owner can't read the requests. A deadline of 0
    means that there are no evacuations.
    """

    start_deadline_s: float
    outage_allowance_s: float


class CellEvacuation:
    """What a cell's owner knows of the evacuation of the cell's data centre."""

    def __init__(self, data_centre: str, rules: EvacuationRules):
        self.data_centre = data_centre
        self.rules = rules
        self._is_requested = False
        self._confirmed_at: float | None = None
        # Reads that were sent before this time, the end of a pause, don't count.
        self._resumed_at = float("-inf")
        self._withdrawn_at: float | None = None

    @property
    def is_enabled(self) -> bool:
        """Whether the deployment has evacuations."""
        return self.rules.start_deadline_s > 0

    @property
    def is_evacuated(self) -> bool:
        """Whether the newest read asks for the evacuation."""
        return self.is_enabled and self._is_requested

    def update(
        self, evacuated: frozenset[str], confirmed_at: float, now: float
    ) -> None:
        """Apply a read of the requests that was sent at ``confirmed_at``.

        A read older than the newest one is ignored.
        """
        # A read in the future would hide its true age.
        confirmed_at = min(confirmed_at, now)
        if self._confirmed_at is not None and confirmed_at < self._confirmed_at:
            return
        self._confirmed_at = confirmed_at
        was_requested = self._is_requested
        self._is_requested = self.data_centre in evacuated
        if self._is_requested:
            self._withdrawn_at = None
        elif was_requested:
            self._withdrawn_at = now

    def resume(self, now: float) -> None:
        """Require a read sent since ``now``, when a pause of the owner ended.

        The outage allowance is for owners that can't read, not for suspended ones.
        """
        self._resumed_at = now

    def explain(self, now: float) -> str:
        """Return why no task may start, or an empty string."""
        if not self.is_enabled:
            return ""
        if self._confirmed_at is None:
            return "evacuation requests not read yet"
        if self._is_requested:
            return f"data centre {self.data_centre} is evacuated"
        if self._confirmed_at < self._resumed_at:
            return "evacuation requests not read since a pause"
        if now - self._confirmed_at > self._max_read_age_s():
            return "evacuation requests not read for too long"
        return ""

    def may_start(self, now: float) -> bool:
        """Return whether tasks may start in the cell."""
        return not self.explain(now)

    def may_relocate(self, now: float) -> bool:
        """Return whether running tasks may be stopped in order to move away."""
        if not self.is_evacuated or self._confirmed_at < self._resumed_at:
            return False
        return now - self._confirmed_at <= MAX_RELOCATION_READ_AGE_S

    def capacity_share(self, now: float) -> float:
        """Return the share of the free capacity that other hosts may count on.

        It grows gradually after a withdrawal: all of it at once would attract all new
        work, since other hosts see loads that are up to 2 s old.
        """
        if not self.is_enabled:
            return 1.0
        if self._confirmed_at is None or self._is_requested:
            return 0.0
        if self._withdrawn_at is None:
            return 1.0
        return min(1.0, max(0.0, now - self._withdrawn_at) / RETURN_RAMP_S)

    def _max_read_age_s(self) -> float:
        rules = self.rules
        return rules.start_deadline_s + rules.outage_allowance_s - ORDER_FLIGHT_S


class AvailabilityTracker:
    """Times since which long-running tasks have been available in their home cell."""

    def __init__(self):
        self._since_by_run: dict[tuple[TaskKey, int], float] = {}
        self._moved_at_by_task: dict[TaskKey, float] = {}

    def observe(self, views: Iterable[WorkerView], now: float) -> None:
        """Update the times from the workers' latest reports."""
        known = self._since_by_run
        self._since_by_run = {
            (run.task, run.number): known.get((run.task, run.number), now)
            for view in views
            if _answers(view, now)
            for run in view.run_by_task.values()
            if is_available(run)
        }
        self._moved_at_by_task = {
            task: moved_at
            for task, moved_at in self._moved_at_by_task.items()
            if now - moved_at < UNAVAILABLE_MEMORY_S
        }

    def on_moved_away(self, task: TaskKey, now: float) -> None:
        """Count a task as unavailable for a while, until it runs in another cell."""
        self._moved_at_by_task[task] = now

    def on_moved_here(self, task: TaskKey) -> None:
        """Take note that a task is assigned to this cell again."""
        self._moved_at_by_task.pop(task, None)

    def forget_runs(self) -> None:
        """Count all runs as available only from now on, after a pause of the owner."""
        self._since_by_run.clear()

    def is_unavailable(self, task: TaskKey, run: Run | None, now: float) -> bool:
        """Return whether a task of this cell has been unavailable recently."""
        if run is None or not is_available(run):
            return True
        since = self._since_by_run.get((task, run.number))
        return since is None or now - since < UNAVAILABLE_MEMORY_S

    def has_moved_since(self, task: TaskKey, at: float) -> bool:
        """Return whether a task has moved away after a time within the memory."""
        return self._moved_at_by_task.get(task, float("-inf")) > at

    def n_moved_since(self, at: float) -> int:
        """Return the number of tasks that have moved away after a time."""
        return sum(moved_at > at for moved_at in self._moved_at_by_task.values())


def _answers(view: WorkerView, now: float) -> bool:
    if view.hold_failed_at is not None:
        return False
    return now - view.clock.answered_at < MAX_SILENCE_S


def is_available(run: Run) -> bool:
    """Return whether the latest report of a long-running run has it at 100 percent."""
    if not run.step.is_long_running or run.phase is not RunPhase.RUNNING:
        return False
    return run.was_reported and run.percent >= 100


def is_relocatable(run: Run) -> bool:
    """Return whether a run may be stopped in order to move its task at all.

    A gang would lose all its members with one.
    """
    if not run.step.is_long_running or run.step.is_gang:
        return False
    return run.step.max_unavailable is not None and run.phase is RunPhase.RUNNING


def choose_relocations(
    runs: Iterable[Run],
    unavailable_tasks: Collection[TaskKey],
    n_allowed: int,
    reserve_headroom: Callable[[Run], bool],
) -> list[Run]:
    """Return at most ``n_allowed`` runs to stop so that their tasks move away.

    ``unavailable_tasks`` are the tasks of the runs' steps that count as unavailable.
    ``reserve_headroom`` reserves another cell's headroom and returns whether it could.
    """
    unavailable_by_step: dict[StepKey, set[TaskKey]] = {}
    for task in unavailable_tasks:
        unavailable_by_step.setdefault(task.step_key, set()).add(task)
    chosen: list[Run] = []
    for run in runs:
        if len(chosen) >= n_allowed:
            break
        if not is_relocatable(run):
            continue
        unavailable = unavailable_by_step.setdefault(run.task.step_key, set())
        # A stop of an available task that recently wasn't is a second interruption.
        others = unavailable if is_available(run) else unavailable - {run.task}
        if len(others) + 1 > run.step.max_unavailable:
            continue
        if reserve_headroom(run):
            unavailable.add(run.task)
            chosen.append(run)
    return chosen

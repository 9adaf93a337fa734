"""Expected times of steps and submissions, learnt from what has ended lately.

Work is counted in core-seconds as declared: processors of a task times its estimate.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from berylcleat.model import Step, TaskKey

from ._workers import Run, WorkerView

if TYPE_CHECKING:
    from ._submissions import ReadyStep, TrackedSubmission

# Seconds within which evidence fades to about a third, and to a seventh in twice that.
MEMORY_S = 5.0
# Core-seconds, and ended steps, at a ratio of 1 that evidence is weighed against.
PRIOR_CORE_S = 4.0
PRIOR_STEPS = 1.0
# Bounds of a learnt ratio: one stalled step must not make all others hopeless.
MIN_RATIO = 0.6
MAX_RATIO = 12.0
# Seconds over which the processors of fillers and of ordinary tasks are averaged.
CORES_SPAN_S = 2.0
# Lower bound of a rate in cores, so that an expectation is always finite.
MIN_CORES = 0.25


@dataclass(slots=True)
class FadingRatio:
    """Quotient of two sums that fade with time; without evidence it is 1."""

    prior: float
    numerator: float = 0.0
    denominator: float = 0.0
    updated_at: float = 0.0

    def add(self, numerator: float, denominator: float, now: float) -> None:
        """Add one observation."""
        self._fade(now)
        self.numerator += numerator
        self.denominator += denominator

    def value(
        self, now: float, numerator: float = 0.0, denominator: float = 0.0
    ) -> float:
        """Return the quotient, with sums that are added for this call only."""
        self._fade(now)
        above = self.prior + self.numerator + numerator
        below = self.prior + self.denominator + denominator
        return min(MAX_RATIO, max(MIN_RATIO, above / below))

    def _fade(self, now: float) -> None:
        if now == self.updated_at:
            return
        factor = math.exp(-max(0.0, now - self.updated_at) / MEMORY_S)
        self.updated_at = max(self.updated_at, now)
        self.numerator *= factor
        self.denominator *= factor


class RunTimeModel:
    """Learnt ratios of a step's time from its first start to its end to its estimate.

    They are kept by queue, separately for fillers and ordinary tasks.
    """

    def __init__(self):
        self._ratio_by_kind: dict[tuple[str, bool], FadingRatio] = {}

    def observe(
        self, queue: str, fills: bool, elapsed_s: float, estimate_s: float, now: float
    ) -> None:
        """Add a step that has ended."""
        if estimate_s <= 0:
            return
        known = self._ratio_by_kind.setdefault(
            (queue, fills), FadingRatio(PRIOR_STEPS, updated_at=now)
        )
        known.add(min(MAX_RATIO, elapsed_s / estimate_s), 1.0, now)

    def ratio(self, queue: str, fills: bool, now: float) -> float:
        """Return the ratio expected of the queue's next steps."""
        known = self._ratio_by_kind.get((queue, fills))
        return 1.0 if known is None else known.value(now)

    def ratios(self, now: float) -> dict[tuple[str, bool], float]:
        """Return the ratios by queue and whether they are those of fillers."""
        return {kind: known.value(now) for kind, known in self._ratio_by_kind.items()}


@dataclass(slots=True)
class WorkRate:
    """Rate at which fillers, or ordinary tasks, get declared work done.

    ``cost`` is the core time used, also by runs that were stopped, for each core-second
    of work done; ``cores`` averages the processors that these tasks can get.
    """

    cost: FadingRatio = field(default_factory=lambda: FadingRatio(PRIOR_CORE_S))
    cores: float = 0.0
    running_core_s: float = 0.0
    overdue_used_core_s: float = 0.0
    overdue_core_s: float = 0.0
    observed_at: float | None = None
    # The rate and when it was computed: an assessment asks for it many times at once.
    rate: float = 0.0
    rate_at: float | None = None

    def observe_cores(self, cores: float, now: float) -> None:
        """Update the average of the processors that can be got."""
        if self.observed_at is None:
            self.cores = cores
        else:
            weight = 1 - math.exp(-max(0.0, now - self.observed_at) / CORES_SPAN_S)
            self.cores += (cores - self.cores) * weight
        self.observed_at = now

    def core_s_per_s(self, now: float) -> float:
        """Return the declared core-seconds that get done a second."""
        if now != self.rate_at:
            cost = self.cost.value(now, self.overdue_used_core_s, self.overdue_core_s)
            self.rate = max(MIN_CORES, self.cores) / cost
            self.rate_at = now
        return self.rate


@dataclass(slots=True)
class _BegunStep:
    """Step with tasks that have started here; ``n_runs`` of them run now."""

    first_start_at: float
    n_runs: int = 0


class FinishEstimator:
    """Estimator of when submissions finish, for the tasks assigned to one cell."""

    def __init__(self):
        self.run_times = RunTimeModel()
        self._rates = {False: WorkRate(), True: WorkRate()}
        self._begun_by_step: dict[tuple[str, int, int], _BegunStep] = {}

    def on_run_added(self, run: Run) -> None:
        """Note the start of a run."""
        begun = self._begun_by_step.setdefault(run.task[:3], _BegunStep(run.started_at))
        begun.n_runs += 1

    def on_run_removed(self, run: Run, now: float) -> None:
        """Count the processor time that an ended or lost run has used."""
        begun = self._begun_by_step.get(run.task[:3])
        if begun is not None:
            begun.n_runs -= 1
        if run.step.is_long_running or run.step.estimate_s <= 0:
            return
        used_core_s = max(0.0, now - run.started_at) * run.step.demand.cpu_millis / 1000
        self._rates[run.step.fills].cost.add(used_core_s, 0.0, now)

    def on_done(
        self, tracked: "TrackedSubmission", task: TaskKey, is_late: bool, now: float
    ) -> None:
        """Count a task that is done here, and its step if that was the last one.

        The time of a late submission tells how long it waited behind others.
        """
        step = tracked.submission.steps[task.step]
        if step.is_long_running or step.estimate_s <= 0:
            return
        self._rates[step.fills].cost.add(0.0, task_core_s(step), now)
        begun = self._begun_by_step.get(task[:3])
        if begun is None or begun.n_runs > 0:
            return
        if (task.occurrence, task.step) in tracked.ready_by_step:
            return
        del self._begun_by_step[task[:3]]
        if not is_late:
            elapsed_s = now - begun.first_start_at
            queue = tracked.submission.queue.name
            self.run_times.observe(queue, step.fills, elapsed_s, step.estimate_s, now)

    def keep_only(self, submission_ids: Collection[str]) -> None:
        """Drop the steps of submissions that have ended."""
        for key in [k for k in self._begun_by_step if k[0] not in submission_ids]:
            del self._begun_by_step[key]

    def observe(
        self,
        views: list[WorkerView],
        waiting: list["ReadyStep"],
        now: float,
        cores_to_yield: float = 0.0,
    ) -> None:
        """Measure the processors that run and could run work.

        What is free counts only while no waiting step has failed to find a worker.
        Long-running tasks can yield ``cores_to_yield`` to ordinary ones.
        """
        for fills, rate in self._rates.items():
            rate.running_core_s = rate.overdue_used_core_s = rate.overdue_core_s = 0.0
            cores = 0.0 if fills else cores_to_yield
            cost = rate.cost.value(now)
            for view in views:
                for run in view.run_by_task.values():
                    if run.step.fills == fills and not run.step.is_long_running:
                        cores += run.step.demand.cpu_millis / 1000
                        self._observe_run(rate, cost, run, now)
            if not any(
                r.stuck_since is not None
                for r in waiting
                if r.step.fills == fills and not r.step.is_long_running
            ):
                cores += sum(_free_cores(view, fills) for view in views)
            rate.observe_cores(cores, now)

    def _observe_run(self, rate: WorkRate, cost: float, run: Run, now: float) -> None:
        work_core_s = task_core_s(run.step)
        if work_core_s <= 0:
            return
        cores = run.step.demand.cpu_millis / 1000
        used_core_s = max(0.0, now - run.started_at) * cores
        rate.running_core_s += max(0.0, work_core_s - used_core_s / cost)
        if used_core_s > work_core_s:
            rate.overdue_used_core_s += used_core_s
            rate.overdue_core_s += work_core_s

    def is_ending(self, run: Run, within_s: float, now: float) -> bool:
        """Return whether a run is expected to end within some seconds.

        Nothing is expected of a run that has lasted longer than others do.
        """
        if run.step.is_long_running or run.step.estimate_s <= 0:
            return False
        usual_s = run.step.estimate_s * self._rates[run.step.fills].cost.value(now)
        return 0.0 <= run.started_at + usual_s - now <= within_s

    def running_core_s(self, fills: bool) -> float:
        """Return the work that the present runs still have to do."""
        return self._rates[fills].running_core_s

    def core_s_per_s(self, fills: bool, now: float) -> float:
        """Return the declared core-seconds that get done a second."""
        return self._rates[fills].core_s_per_s(now)

    def expected_remaining_s(
        self,
        tracked: "TrackedSubmission",
        number: int,
        now: float,
        work_core_s: float = 0.0,
    ) -> float:
        """Return the seconds until a submission ends whose step ``number`` waits.

        ``work_core_s`` is what has to be done here until then: its own work and that
        of the submissions before it.
        """
        step = tracked.submission.steps[number]
        ratio = self.run_times.ratio(tracked.submission.queue.name, step.fills, now)
        path_s = tracked.remaining_s_by_step[number] * ratio
        return max(path_s, work_core_s / self.core_s_per_s(step.fills, now))


def task_core_s(step: Step) -> float:
    """Return the declared work of one task of ``step``."""
    return step.estimate_s * step.demand.cpu_millis / 1000


def declared_core_s(steps: tuple[Step, ...]) -> float:
    """Return the declared work of all steps that end."""
    return sum(
        step.n_tasks * task_core_s(step) for step in steps if not step.is_long_running
    )


def waiting_core_s(tracked: "TrackedSubmission") -> float:
    """Return the declared work of a submission that has not started here.

    At home this includes the steps whose dependencies aren't done yet.
    """
    steps = tracked.submission.steps
    total = sum(
        len(ready.waiting) * task_core_s(ready.step)
        for ready in tracked.ready_by_step.values()
        if not ready.step.is_long_running
    )
    if not tracked.is_home or tracked.submission.is_scheduled:
        return total
    active = {number for _, number in tracked.activated_steps}
    return total + sum(
        step.n_tasks * task_core_s(step)
        for number, step in enumerate(steps)
        if number not in active and not step.is_long_running
    )


def _free_cores(view: WorkerView, fills: bool) -> float:
    free = view.cpu_left() if fills else view.free().cpu_millis
    return max(0, free) / 1000

"""A small fake of workers with pairwise interference and lagging reports.

Truth: a service's tail grows by its co-runners' interference, weighed by load, and
by demand beyond the worker's cores; batch slows down only by lack of cores. Policies
see it with a lag and noise.
"""

from collections import deque
from dataclasses import dataclass, field

import numpy as np

from berylcleat.model import Resources
from berylcleat.placement import RunningTask

from ._trace import GroupLine, WorkerLine

REPORT_LAG_S = 5.0
REPORT_NOISE = 0.02
LOAD_FLOOR = 0.5
THROTTLED_SHARE = 0.3
FAILURE_AFTER_S = 1.0


@dataclass
class RunningAttempt:
    """Hold one attempt of a task on a worker."""

    task_id: str
    group: GroupLine
    declared: Resources
    run_s: float
    priority: int
    team: str
    started_at: float
    progress_s: float = 0.0
    is_throttled: bool = False

    @property
    def cores_wanted(self) -> float:
        """Return the cores that it would use if it could."""
        share = THROTTLED_SHARE if self.is_throttled else 1.0
        return self.declared.cores * self.group.size_ratio * share

    @property
    def real_run_s(self) -> float:
        """Return how long it really has to run at full speed."""
        return self.run_s * self.group.run_ratio


@dataclass(frozen=True, slots=True)
class Report:
    """Hold what a worker reports about one moment."""

    at_s: float
    slowdown: float
    service_cores: float
    cores_by_task: dict[str, float]


@dataclass
class FakeWorker:
    """Hold the true state of one worker."""

    line: WorkerLine
    load: float = 0.0
    is_broken: bool = False
    attempt_by_task: dict[str, RunningAttempt] = field(default_factory=dict)
    reports: deque[Report] = field(default_factory=deque)

    @property
    def is_serving(self) -> bool:
        """Tell whether a service has a replica here."""
        return self.line.reserved.cores > 0

    def service_cores(self) -> float:
        """Return the cores that the service uses now."""
        return self.line.reserved.cores * self.load

    def contention(self) -> float:
        """Return demand over capacity, at least 1."""
        wanted = sum(a.cores_wanted for a in self.attempt_by_task.values())
        return max(1.0, (wanted + self.service_cores()) / self.line.capacity.cores)

    def slowdown(self, noise_by_group: dict[str, float]) -> float:
        """Return the true slowdown of the service."""
        total = 1.0
        for attempt in self.attempt_by_task.values():
            share = attempt.cores_wanted / self.line.capacity.cores
            noise = noise_by_group.get(attempt.group.group, 1.0)
            total += (
                attempt.group.interference * noise * share * (LOAD_FLOOR + self.load)
            )
        return total * self.contention() ** 2

    def step(
        self, now: float, step_s: float
    ) -> tuple[list[RunningAttempt], list[RunningAttempt]]:
        """Let time pass; return the attempts that finished and that failed."""
        speed = 1.0 / self.contention()
        finished, failed = [], []
        for attempt in tuple(self.attempt_by_task.values()):
            fails = self.is_broken or attempt.group.fails_always
            if fails and now - attempt.started_at >= FAILURE_AFTER_S:
                failed.append(self.attempt_by_task.pop(attempt.task_id))
                continue
            share = THROTTLED_SHARE if attempt.is_throttled else 1.0
            attempt.progress_s += step_s * speed * share
            if attempt.progress_s >= attempt.real_run_s and not fails:
                finished.append(self.attempt_by_task.pop(attempt.task_id))
        return finished, failed

    def observe(
        self,
        now: float,
        noise_by_group: dict[str, float],
        random_state: np.random.Generator,
    ) -> None:
        """Record a report that will be seen after the lag."""
        measured = self.slowdown(noise_by_group) * (
            1.0 + float(random_state.normal(0, REPORT_NOISE))
        )
        cores = {t: a.cores_wanted for t, a in self.attempt_by_task.items()}
        self.reports.append(
            Report(now, max(1.0, measured), self.service_cores(), cores)
        )

    def visible_report(self, now: float) -> Report:
        """Return the newest report older than the lag."""
        while len(self.reports) > 1 and self.reports[1].at_s <= now - REPORT_LAG_S:
            self.reports.popleft()
        if self.reports and self.reports[0].at_s <= now - REPORT_LAG_S:
            return self.reports[0]
        return Report(0.0, 1.0, self.line.reserved.cores, {})

    def running_tasks(self, report: Report) -> tuple[RunningTask, ...]:
        """Return the tasks as a policy sees them."""
        return tuple(
            RunningTask(
                a.task_id,
                a.team,
                a.group.group,
                a.declared,
                Resources(report.cores_by_task.get(a.task_id, 0.0)),
                a.priority,
                a.started_at,
                a.is_throttled,
            )
            for a in self.attempt_by_task.values()
        )

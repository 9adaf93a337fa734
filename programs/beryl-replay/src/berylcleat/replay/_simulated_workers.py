"""Model of workers with co-location interference and delayed, noisy reports.

A service's slowdown grows with the interference of co-located tasks, weighted by the
service's load, and with core demand above the worker's capacity. Batch tasks slow
down by core contention only. Policies see reports that are ``REPORT_LAG_S`` old and
carry measurement noise.
"""

from collections import deque
from dataclasses import dataclass, field

import numpy as np

from berylcleat.model import Resources
from berylcleat.placement import RunningTask

from ._trace import GroupLine, WorkerLine

REPORT_LAG_S = 5.0
REPORT_NOISE_STD = 0.02
INTERFERENCE_LOAD_OFFSET = 0.5
THROTTLED_CPU_RATIO = 0.3
FAILURE_DELAY_S = 1.0


@dataclass
class RunningAttempt:
    """A running attempt of a task on a simulated worker."""

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
    def core_demand(self) -> float:
        """Return the cores that the attempt would use without contention."""
        share = THROTTLED_CPU_RATIO if self.is_throttled else 1.0
        return self.declared.cores * self.group.size_ratio * share

    @property
    def actual_run_s(self) -> float:
        """Return the actual run time at full speed, in seconds."""
        return self.run_s * self.group.run_ratio


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """Measurements that a worker reports for one point in time."""

    at_s: float
    slowdown: float
    service_cores: float
    cores_by_task: dict[str, float]


@dataclass
class SimulatedWorker:
    """Ground-truth state of a simulated worker."""

    line: WorkerLine
    load: float = 0.0
    is_broken: bool = False
    attempt_by_task: dict[str, RunningAttempt] = field(default_factory=dict)
    reports: deque[WorkerReport] = field(default_factory=deque)

    @property
    def is_serving(self) -> bool:
        """Return whether a service replica runs on the worker."""
        return self.line.reserved.cores > 0

    def compute_service_cores(self) -> float:
        """Return the cores that the service uses at its current load."""
        return self.line.reserved.cores * self.load

    def compute_contention(self) -> float:
        """Return core demand over capacity, at least 1."""
        core_demand = sum(a.core_demand for a in self.attempt_by_task.values())
        return max(
            1.0, (core_demand + self.compute_service_cores()) / self.line.capacity.cores
        )

    def compute_slowdown(self, interference_factor_by_group: dict[str, float]) -> float:
        """Return the service's actual slowdown, without measurement noise."""
        total = 1.0
        for attempt in self.attempt_by_task.values():
            share = attempt.core_demand / self.line.capacity.cores
            interference_factor = interference_factor_by_group.get(
                attempt.group.group, 1.0
            )
            total += (
                attempt.group.interference
                * interference_factor
                * share
                * (INTERFERENCE_LOAD_OFFSET + self.load)
            )
        return total * self.compute_contention() ** 2

    def advance(
        self, now: float, step_s: float
    ) -> tuple[list[RunningAttempt], list[RunningAttempt]]:
        """Advance all attempts by ``step_s``; return the finished and the failed."""
        speed = 1.0 / self.compute_contention()
        finished, failed = [], []
        for attempt in tuple(self.attempt_by_task.values()):
            fails = self.is_broken or attempt.group.fails_always
            if fails and now - attempt.started_at >= FAILURE_DELAY_S:
                failed.append(self.attempt_by_task.pop(attempt.task_id))
                continue
            share = THROTTLED_CPU_RATIO if attempt.is_throttled else 1.0
            attempt.progress_s += step_s * speed * share
            if attempt.progress_s >= attempt.actual_run_s and not fails:
                finished.append(self.attempt_by_task.pop(attempt.task_id))
        return finished, failed

    def record_report(
        self,
        now: float,
        interference_factor_by_group: dict[str, float],
        random_state: np.random.Generator,
    ) -> None:
        """Store a noisy report that policies see after ``REPORT_LAG_S``."""
        measured = self.compute_slowdown(interference_factor_by_group) * (
            1.0 + float(random_state.normal(0, REPORT_NOISE_STD))
        )
        cores = {t: a.core_demand for t, a in self.attempt_by_task.items()}
        self.reports.append(
            WorkerReport(now, max(1.0, measured), self.compute_service_cores(), cores)
        )

    def latest_visible_report(self, now: float) -> WorkerReport:
        """Return the newest report that is at least ``REPORT_LAG_S`` old."""
        while len(self.reports) > 1 and self.reports[1].at_s <= now - REPORT_LAG_S:
            self.reports.popleft()
        if self.reports and self.reports[0].at_s <= now - REPORT_LAG_S:
            return self.reports[0]
        return WorkerReport(0.0, 1.0, self.line.reserved.cores, {})

    def make_running_tasks(self, report: WorkerReport) -> tuple[RunningTask, ...]:
        """Return the running tasks with core usage as ``report`` has it."""
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

"""Metrics of a replay: invariant violations, service latency, batch work, evictions."""

from collections import Counter
from statistics import NormalDist

import msgspec
import numpy as np

from berylcleat.model import URGENT_PRIORITY
from berylcleat.placement import Place

BASE_LATENCY_MS = 20.0
LATENCY_LOG_STD = 0.35
N_QUANTILES = 50
SECONDS_PER_HOUR = 3600.0
MAX_RECORDED_VIOLATIONS = 20


class Report(msgspec.Struct, frozen=True):
    """Metrics of one replay; ratios are 0 to 1."""

    policy: str
    trace: str
    seed: int
    violations: tuple[str, ...]
    service_p50_ms: float
    service_p99_ms: float
    service_p999_ms: float
    deadline_missed_ratio: float
    batch_core_hours: float
    batch_deadlines_met_ratio: float
    evictions: int
    throttles: int
    urgent_start_p99_s: float
    n_urgent_never_started: int
    overcommitted_worker_s: float
    decisions: int
    decision_cpu_us_mean: float


class Outcomes:
    """Accumulator of a replay's metrics and invariant violations."""

    def __init__(self, deadline_ms: float):
        self._deadline_ms = deadline_ms
        self._slowdowns: list[float] = []
        self._loads: list[float] = []
        self.violations: list[str] = []
        self.n_evictions = 0
        self.n_throttles = 0
        self.n_decisions = 0
        self.decision_cpu_s = 0.0
        self.overcommitted_worker_s = 0.0
        self._core_seconds = 0.0
        self._urgent_waits_s: list[float] = []
        self._n_urgent_never_started = 0
        self._n_finishes_by_task: Counter[str] = Counter()
        self._n_deadlines = 0
        self._n_deadlines_met = 0

    def record_service_second(self, slowdown: float, load: float) -> None:
        """Record one second of a service replica: its slowdown, weighted by load."""
        self._slowdowns.append(slowdown)
        self._loads.append(load)

    def record_finish(self, attempt) -> None:
        """Record a finished task; finishing twice violates an invariant."""
        self._n_finishes_by_task[attempt.task_id] += 1
        if self._n_finishes_by_task[attempt.task_id] > 1:
            self._add_violation(f"{attempt.task_id} finished twice")
        self._core_seconds += (
            attempt.declared.cores * attempt.group.size_ratio * attempt.actual_run_s
        )

    def record_placement(self, decision: Place, task, job, workers, now: float) -> None:
        """Record a task start.

        Starting a task that already runs, isn't queued, or whose job is cancelled
        violates an invariant.
        """
        self.n_decisions += 1
        for worker_id, worker in workers.items():
            if decision.task_id in worker.attempt_by_task:
                self._add_violation(
                    f"{decision.task_id} was started while {worker_id} runs it"
                )
        if job.is_cancelled:
            self._add_violation(f"{decision.task_id} started after its cancellation")
        if task.state != "queued":
            self._add_violation(f"{decision.task_id} started while {task.state}")
        if job.spec.priority >= URGENT_PRIORITY and task.attempt == 0:
            self._urgent_waits_s.append(now - job.submitted_at)

    def check_capacity(self, workers, now: float) -> None:
        """Check that the declared resources on each worker fit its capacity."""
        for worker_id, worker in workers.items():
            allocated = worker.line.reserved
            for attempt in worker.attempt_by_task.values():
                allocated += attempt.declared
            if not allocated.fits_in(worker.line.capacity):
                self._add_violation(
                    f"{worker_id} is over capacity with {allocated} allocated at {now}"
                )
            if worker.compute_contention() > 1.0:
                self.overcommitted_worker_s += 1.0

    def _add_violation(self, text: str) -> None:
        if len(self.violations) < MAX_RECORDED_VIOLATIONS:
            self.violations.append(text)

    def finalize(self, jobs, cells, workers, now: float) -> None:
        """Count unfinished work and check for lost tasks at the end of the replay."""
        running = {t for w in workers.values() for t in w.attempt_by_task}
        for worker in workers.values():
            for attempt in worker.attempt_by_task.values():
                cores = attempt.declared.cores * attempt.group.size_ratio
                self._core_seconds += cores * min(
                    attempt.progress_s, attempt.actual_run_s
                )
        self._check_cells(cells, running)
        for job in jobs.values():
            self._count_job_outcome(job, now)

    def _check_cells(self, cells, running: set[str]) -> None:
        for cell in cells.values():
            for task_id, task in cell.state.task_by_id.items():
                if (task.state == "assigned") != (task_id in running):
                    self._add_violation(
                        f"{task_id} is recorded as {task.state},"
                        f" but running is {task_id in running}"
                    )
                if task.state == "finished" and self._n_finishes_by_task[task_id] != 1:
                    self._add_violation(
                        f"{task_id} is recorded as finished but did not finish once"
                    )
                if task.state == "queued":
                    spec = cell.state.job_by_id[task.job_id]
                    cores = spec.per_task.cores
                    self._core_seconds += cores * task.progress_s

    def _count_job_outcome(self, job, now: float) -> None:
        if job.spec.priority >= URGENT_PRIORITY:
            self._n_urgent_never_started += job.n_claimed == 0
        if job.is_cancelled or job.spec.priority >= URGENT_PRIORITY:
            return
        if 0 < job.spec.deadline_s <= now:
            self._n_deadlines += 1
            self._n_deadlines_met += job.finished_at <= job.spec.deadline_s

    def report(self, policy: str, trace: str, seed: int) -> Report:
        """Return the metrics as a report."""
        p50, p99, p999, late_ratio = self._service_quantiles()
        waits = self._urgent_waits_s or [0.0]
        cpu_us = self.decision_cpu_s * 1e6 / max(1, self.n_decisions)
        return Report(
            policy,
            trace,
            seed,
            tuple(self.violations),
            round(p50, 3),
            round(p99, 3),
            round(p999, 3),
            round(late_ratio, 6),
            round(self._core_seconds / SECONDS_PER_HOUR, 3),
            round(self._n_deadlines_met / max(1, self._n_deadlines), 4),
            self.n_evictions,
            self.n_throttles,
            round(float(np.percentile(waits, 99)), 2),
            self._n_urgent_never_started,
            self.overcommitted_worker_s,
            self.n_decisions,
            round(cpu_us, 1),
        )

    def _service_quantiles(self) -> tuple[float, float, float, float]:
        """Return p50, p99, p99.9 (ms) and the ratio of requests past the deadline.

        Each second of a replica represents requests whose latency is log-normally
        distributed around the base latency times the slowdown.
        """
        probabilities = (np.arange(N_QUANTILES) + 0.5) / N_QUANTILES
        normal = NormalDist()
        latency_factors = np.exp(
            [LATENCY_LOG_STD * normal.inv_cdf(float(q)) for q in probabilities]
        )
        latencies = np.outer(self._slowdowns, BASE_LATENCY_MS * latency_factors).ravel()
        weights = np.repeat(self._loads, N_QUANTILES)
        order = np.argsort(latencies)
        latencies, weights = latencies[order], np.cumsum(weights[order])
        total = weights[-1]
        p50, p99, p999 = (
            float(latencies[np.searchsorted(weights, q * total)])
            for q in (0.5, 0.99, 0.999)
        )
        first_late = np.searchsorted(latencies, self._deadline_ms)
        in_time_ratio = weights[first_late - 1] / total if first_late > 0 else 0.0
        return p50, p99, p999, float(1.0 - in_time_ratio)

"""What a replay is judged by: safety, service tail, batch work, evictions."""

from collections import Counter
from statistics import NormalDist

import msgspec
import numpy as np

from berylcleat.model import URGENT_PRIORITY
from berylcleat.placement import Place

BASE_LATENCY_MS = 20.0
LATENCY_SPREAD = 0.35
N_QUANTILES = 50
SECONDS_PER_HOUR = 3600.0
MAX_VIOLATIONS_KEPT = 20


class Report(msgspec.Struct, frozen=True):
    """Sum up one replay; times as their names say, ratios 0 to 1."""

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
    """Gather outcomes while a replay runs."""

    def __init__(self, deadline_ms: float):
        self._deadline_ms = deadline_ms
        self._slowdowns: list[float] = []
        self._weights: list[float] = []
        self.violations: list[str] = []
        self.n_evictions = 0
        self.n_throttles = 0
        self.n_decisions = 0
        self.decision_cpu_s = 0.0
        self.overcommitted_worker_s = 0.0
        self._core_seconds = 0.0
        self._urgent_waits: list[float] = []
        self._n_urgent_never = 0
        self._n_finishes: Counter[str] = Counter()
        self._n_deadlines = 0
        self._n_deadlines_met = 0

    def note_service(self, slowdown: float, load: float) -> None:
        """Note a second of one replica: its slowdown, weighed by its load."""
        self._slowdowns.append(slowdown)
        self._weights.append(load)

    def note_finish(self, attempt) -> None:
        """Note a finished task; twice is a violation."""
        self._n_finishes[attempt.task_id] += 1
        if self._n_finishes[attempt.task_id] > 1:
            self._violate(f"{attempt.task_id} finished twice")
        self._core_seconds += (
            attempt.declared.cores * attempt.group.size_ratio * attempt.real_run_s
        )

    def note_place(self, decision: Place, task, job, workers, now: float) -> None:
        """Note a start; in a second place, or after a cancellation, is a violation."""
        self.n_decisions += 1
        for worker_id, worker in workers.items():
            if decision.task_id in worker.attempt_by_task:
                self._violate(f"{decision.task_id} runs on {worker_id} already")
        if job.is_cancelled:
            self._violate(f"{decision.task_id} started after its cancellation")
        if task.state != "queued":
            self._violate(f"{decision.task_id} started while {task.state}")
        if job.spec.priority >= URGENT_PRIORITY and task.attempt == 0:
            self._urgent_waits.append(now - job.submitted_at)

    def check(self, workers, now: float) -> None:
        """Check that no worker holds more than it has, by declared sizes."""
        for worker_id, worker in workers.items():
            held = worker.line.reserved
            for attempt in worker.attempt_by_task.values():
                held += attempt.declared
            if not held.fits_in(worker.line.capacity):
                self._violate(f"{worker_id} holds {held} at {now}")
            if worker.contention() > 1.0:
                self.overcommitted_worker_s += 1.0

    def _violate(self, text: str) -> None:
        if len(self.violations) < MAX_VIOLATIONS_KEPT:
            self.violations.append(text)

    def close(self, jobs, cells, workers, now: float) -> None:
        """Count what is left, and look for lost tasks."""
        running = {t for w in workers.values() for t in w.attempt_by_task}
        for worker in workers.values():
            for attempt in worker.attempt_by_task.values():
                cores = attempt.declared.cores * attempt.group.size_ratio
                self._core_seconds += cores * min(
                    attempt.progress_s, attempt.real_run_s
                )
        self._close_cells(cells, running)
        for job in jobs.values():
            self._close_job(job, now)

    def _close_cells(self, cells, running: set[str]) -> None:
        for cell in cells.values():
            for task_id, task in cell.state.task_by_id.items():
                if (task.state == "assigned") != (task_id in running):
                    self._violate(
                        f"{task_id} is {task.state} but runs: {task_id in running}"
                    )
                if task.state == "finished" and self._n_finishes[task_id] != 1:
                    self._violate(f"{task_id} is recorded finished but did not")
                if task.state == "queued":
                    spec = cell.state.job_by_id[task.job_id]
                    cores = spec.per_task.cores
                    self._core_seconds += cores * task.progress_s

    def _close_job(self, job, now: float) -> None:
        if job.spec.priority >= URGENT_PRIORITY:
            self._n_urgent_never += job.n_claimed == 0
        if job.is_cancelled or job.spec.priority >= URGENT_PRIORITY:
            return
        if 0 < job.spec.deadline_s <= now:
            self._n_deadlines += 1
            self._n_deadlines_met += job.finished_at <= job.spec.deadline_s

    def report(self, policy: str, trace: str, seed: int) -> Report:
        """Return the sum."""
        p50, p99, p999, missed = self._service_quantiles()
        waits = self._urgent_waits or [0.0]
        cpu_us = self.decision_cpu_s * 1e6 / max(1, self.n_decisions)
        return Report(
            policy,
            trace,
            seed,
            tuple(self.violations),
            round(p50, 3),
            round(p99, 3),
            round(p999, 3),
            round(missed, 6),
            round(self._core_seconds / SECONDS_PER_HOUR, 3),
            round(self._n_deadlines_met / max(1, self._n_deadlines), 4),
            self.n_evictions,
            self.n_throttles,
            round(float(np.percentile(waits, 99)), 2),
            self._n_urgent_never,
            self.overcommitted_worker_s,
            self.n_decisions,
            round(cpu_us, 1),
        )

    def _service_quantiles(self) -> tuple[float, float, float, float]:
        """Return p50, p99, p99.9 (ms) and the share beyond the deadline.

        Each replica's second stands for requests spread log-normally around the base
        latency times its slowdown.
        """
        steps = (np.arange(N_QUANTILES) + 0.5) / N_QUANTILES
        normal = NormalDist()
        grid = np.exp([LATENCY_SPREAD * normal.inv_cdf(float(q)) for q in steps])
        latencies = np.outer(self._slowdowns, BASE_LATENCY_MS * grid).ravel()
        weights = np.repeat(self._weights, N_QUANTILES)
        order = np.argsort(latencies)
        latencies, weights = latencies[order], np.cumsum(weights[order])
        total = weights[-1]
        p50, p99, p999 = (
            float(latencies[np.searchsorted(weights, q * total)])
            for q in (0.5, 0.99, 0.999)
        )
        beyond = np.searchsorted(latencies, self._deadline_ms)
        below = weights[beyond - 1] / total if beyond > 0 else 0.0
        return p50, p99, p999, float(1.0 - below)

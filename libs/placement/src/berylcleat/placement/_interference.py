"""Learn from lagging reports how much each group of tasks slows a service down.

The slowdown of a service's tail beyond 1 is taken as a sum over groups of a
coefficient times the group's share of the worker's cores, weighed by service load.
Coefficients are updated by normalized least mean squares. Source: Widrow and Hoff,
Adaptive switching circuits, 1960. A bound of uncertainty shrinks with the evidence,
so that an unknown group starts with few tasks and widens as it proves harmless.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from ._base import RunningTask, WorkerLoad

PRIOR_COEFFICIENT = 0.3
PRIOR_DOUBT = 0.5
LEARNING_RATE = 0.3
EVIDENCE_WEIGHT = 10.0
POWER_FLOOR = 0.003
LOAD_FLOOR = 0.5
THROTTLED_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class GroupEstimate:
    """Hold a group's coefficient and the evidence for it (sum of exposures)."""

    coefficient: float = PRIOR_COEFFICIENT
    evidence: float = 0.0

    def upper_bound(self) -> float:
        """Return the coefficient that is assumed when room is given."""
        return (
            self.coefficient
            + PRIOR_DOUBT / (1.0 + EVIDENCE_WEIGHT * self.evidence) ** 0.5
        )


@dataclass(frozen=True, slots=True)
class InterferenceModel:
    """Hold the estimates by group and when each worker's report was last used."""

    by_group: Mapping[str, GroupEstimate] = field(default_factory=dict)
    learnt_at: Mapping[str, float] = field(default_factory=dict)

    def upper_bound(self, group: str) -> float:
        """Return the assumed coefficient of ``group``."""
        return self.by_group.get(group, GroupEstimate()).upper_bound()

    def expected(self, group: str) -> float:
        """Return the expected coefficient of ``group``."""
        return self.by_group.get(group, GroupEstimate()).coefficient


def service_load(worker: WorkerLoad) -> float:
    """Return the service's use of its reserve, 0 to 1."""
    if worker.reserved.cores <= 0:
        return 0.0
    return min(1.0, worker.service_cores_used / worker.reserved.cores)


def exposure(task: RunningTask, worker: WorkerLoad, load: float) -> float:
    """Return how much of the worker a task uses while the service has ``load``."""
    cores = max(task.declared.cores, task.observed.cores)
    share = cores / worker.capacity.cores
    if task.is_throttled:
        share *= THROTTLED_SHARE
    return share * (LOAD_FLOOR + load)


def learn(
    model: InterferenceModel, workers: Mapping[str, WorkerLoad]
) -> InterferenceModel:
    """Return the model after the reports that it has not used yet."""
    estimates = dict(model.by_group)
    learnt_at = dict(model.learnt_at)
    for worker_id, worker in workers.items():
        if worker.report_at <= learnt_at.get(worker_id, 0.0):
            continue
        learnt_at[worker_id] = worker.report_at
        _learn_from(estimates, worker)
    return InterferenceModel(estimates, learnt_at)


def _learn_from(estimates: dict[str, GroupEstimate], worker: WorkerLoad) -> None:
    if worker.reserved.cores <= 0:
        return
    load = service_load(worker)
    by_group: dict[str, float] = {}
    for task in worker.running:
        # A task younger than the report has not shown in it.
        if task.started_at < worker.report_at:
            amount = exposure(task, worker, load)
            by_group[task.group] = by_group.get(task.group, 0.0) + amount
    power = sum(amount * amount for amount in by_group.values())
    if power <= 0.0:
        return
    predicted = sum(
        estimates.get(group, GroupEstimate()).coefficient * amount
        for group, amount in by_group.items()
    )
    error = (worker.service_slowdown - 1.0) - predicted
    for group, amount in by_group.items():
        known = estimates.get(group, GroupEstimate())
        step = LEARNING_RATE * error * amount / (power + POWER_FLOOR)
        estimates[group] = replace(
            known,
            coefficient=max(0.0, known.coefficient + step),
            evidence=known.evidence + amount,
        )

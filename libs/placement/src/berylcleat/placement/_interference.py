"""Online estimate of how much each group of tasks slows a service down.

Models the slowdown of a service's tail latency beyond 1 as the sum over groups of a
coefficient times the group's share of the worker's cores, weighted by service load.
Coefficients are updated from the (lagging) reports by normalized least mean squares.
Source: Widrow and Hoff, Adaptive switching circuits, 1960. Placement uses an upper
confidence bound that shrinks with the evidence, so that few tasks of an unknown
group are admitted at first, and more once it proves harmless.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from ._base import RunningTask, WorkerLoad

PRIOR_COEFFICIENT = 0.3
PRIOR_UNCERTAINTY = 0.5
LEARNING_RATE = 0.3
EVIDENCE_WEIGHT = 10.0
NLMS_REGULARIZATION = 0.003
LOAD_FLOOR = 0.5
THROTTLED_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class GroupEstimate:
    """Interference coefficient of a group, and its evidence (sum of exposures)."""

    coefficient: float = PRIOR_COEFFICIENT
    evidence: float = 0.0

    def upper_bound(self) -> float:
        """Return the pessimistic coefficient that placement assumes."""
        return (
            self.coefficient
            + PRIOR_UNCERTAINTY / (1.0 + EVIDENCE_WEIGHT * self.evidence) ** 0.5
        )


@dataclass(frozen=True, slots=True)
class InterferenceModel:
    """Estimates by group, and the time of the last report used by worker id."""

    estimate_by_group: Mapping[str, GroupEstimate] = field(default_factory=dict)
    last_report_at: Mapping[str, float] = field(default_factory=dict)

    def upper_bound(self, group: str) -> float:
        """Return the pessimistic coefficient of ``group`` that placement assumes."""
        return self.estimate_by_group.get(group, GroupEstimate()).upper_bound()

    def expected(self, group: str) -> float:
        """Return the expected coefficient of ``group``."""
        return self.estimate_by_group.get(group, GroupEstimate()).coefficient


def service_load(worker: WorkerLoad) -> float:
    """Return the share of the service's reserved cores that it uses, 0 to 1."""
    if worker.reserved.cores <= 0:
        return 0.0
    return min(1.0, worker.service_cores_used / worker.reserved.cores)


def exposure(task: RunningTask, worker: WorkerLoad, load: float) -> float:
    """Return the task's share of the worker's cores, weighted by service ``load``.

    Throttling reduces it to ``THROTTLED_SHARE``.
    """
    cores = max(task.declared.cores, task.observed.cores)
    share = cores / worker.capacity.cores
    if task.is_throttled:
        share *= THROTTLED_SHARE
    return share * (LOAD_FLOOR + load)


def update_model(
    model: InterferenceModel, workers: Mapping[str, WorkerLoad]
) -> InterferenceModel:
    """Return the model updated with the reports that it has not used yet."""
    estimates = dict(model.estimate_by_group)
    last_report_at = dict(model.last_report_at)
    for worker_id, worker in workers.items():
        if worker.reported_at <= last_report_at.get(worker_id, 0.0):
            continue
        last_report_at[worker_id] = worker.reported_at
        _update_estimates(estimates, worker)
    return InterferenceModel(estimates, last_report_at)


def _update_estimates(estimates: dict[str, GroupEstimate], worker: WorkerLoad) -> None:
    """Apply one least-mean-squares step from the worker's report, in place."""
    if worker.reserved.cores <= 0:
        return
    load = service_load(worker)
    exposure_by_group: dict[str, float] = {}
    for task in worker.running:
        # The report can't reflect tasks that started after it was made.
        if task.started_at < worker.reported_at:
            task_exposure = exposure(task, worker, load)
            exposure_by_group[task.group] = (
                exposure_by_group.get(task.group, 0.0) + task_exposure
            )
    power = sum(total * total for total in exposure_by_group.values())
    if power <= 0.0:
        return
    predicted = sum(
        estimates.get(group, GroupEstimate()).coefficient * total
        for group, total in exposure_by_group.items()
    )
    error = (worker.service_slowdown - 1.0) - predicted
    for group, total in exposure_by_group.items():
        estimate = estimates.get(group, GroupEstimate())
        step = LEARNING_RATE * error * total / (power + NLMS_REGULARIZATION)
        estimates[group] = replace(
            estimate,
            coefficient=max(0.0, estimate.coefficient + step),
            evidence=estimate.evidence + total,
        )

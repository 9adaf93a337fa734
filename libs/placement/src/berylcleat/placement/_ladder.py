"""Protect services step by step: throttle, then evict by checkpoint, with hysteresis.

The order of steps follows Lo et al., Heracles, ISCA 2015: growth of batch stops
first, then it is slowed, and it is only removed when that does not help.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from ._base import Decision, Evict, RunningTask, Throttle, WorkerLoad
from ._interference import InterferenceModel, exposure, service_load

THROTTLE_SLOWDOWN = 1.15
CALM_SLOWDOWN = 1.06
EVICT_SLOWDOWN = 1.50
CALM_S = 20.0
EVICT_AFTER_S = 30.0
EVICT_PAUSE_S = 60.0


@dataclass(frozen=True, slots=True)
class Tension:
    """Hold since when a worker's service has been slow or calm."""

    slow_since: float = float("inf")
    calm_since: float = float("inf")
    evicted_at: float = float("-inf")
    report_at: float = 0.0


@dataclass(frozen=True, slots=True)
class LadderState:
    """Hold tensions by worker id."""

    by_worker: Mapping[str, Tension] = field(default_factory=dict)


def climb(
    state: LadderState,
    model: InterferenceModel,
    workers: Mapping[str, WorkerLoad],
    now: float,
) -> tuple[LadderState, tuple[Decision, ...]]:
    """Return the next state and the steps that the reports call for."""
    tensions = dict(state.by_worker)
    decisions: list[Decision] = []
    for worker_id, worker in workers.items():
        tension = tensions.get(worker_id, Tension())
        if worker.reserved.cores <= 0 or worker.report_at <= tension.report_at:
            continue
        tension = _observed(tension, worker, now)
        tension, steps = _steps(tension, model, worker, now)
        tensions[worker_id] = tension
        decisions.extend(steps)
    return LadderState(tensions), tuple(decisions)


def _observed(tension: Tension, worker: WorkerLoad, now: float) -> Tension:
    slowdown = worker.service_slowdown
    slow = (
        min(tension.slow_since, now) if slowdown > THROTTLE_SLOWDOWN else float("inf")
    )
    calm = min(tension.calm_since, now) if slowdown < CALM_SLOWDOWN else float("inf")
    return replace(
        tension, slow_since=slow, calm_since=calm, report_at=worker.report_at
    )


def _steps(
    tension: Tension, model: InterferenceModel, worker: WorkerLoad, now: float
) -> tuple[Tension, list[Decision]]:
    if worker.service_slowdown > THROTTLE_SLOWDOWN:
        free = _by_harm(
            [t for t in worker.running if not t.is_throttled], model, worker
        )
        if free:
            return tension, _throttles(free, model, worker)
        return _evictions(tension, model, worker, now)
    throttled = [task for task in worker.running if task.is_throttled]
    if throttled and now - tension.calm_since >= CALM_S:
        gentlest = _by_harm(throttled, model, worker)[-1]
        step = Throttle(gentlest.task_id, worker.worker_id, False, "service is calm")
        return replace(tension, calm_since=now), [step]
    return tension, []


def _throttles(
    free: list[RunningTask], model: InterferenceModel, worker: WorkerLoad
) -> list[Decision]:
    """Throttle the most harmful tasks until the excess should be gone."""
    excess = worker.service_slowdown - CALM_SLOWDOWN
    load = service_load(worker)
    steps: list[Decision] = []
    for task in free:
        if excess <= 0 and steps:
            break
        excess -= 0.7 * model.expected(task.group) * exposure(task, worker, load)
        reason = f"service slowdown {worker.service_slowdown:.2f}"
        steps.append(Throttle(task.task_id, worker.worker_id, True, reason))
    return steps


def _evictions(
    tension: Tension, model: InterferenceModel, worker: WorkerLoad, now: float
) -> tuple[Tension, list[Decision]]:
    is_long = now - tension.slow_since >= EVICT_AFTER_S
    is_due = now - tension.evicted_at >= EVICT_PAUSE_S
    running = [task for task in worker.running if not task.is_stopping]
    if worker.service_slowdown < EVICT_SLOWDOWN or not (is_long and is_due and running):
        return tension, []
    worst = _by_harm(running, model, worker)[0]
    reason = f"slowdown {worker.service_slowdown:.2f} although all batch is throttled"
    step = Evict(worst.task_id, worker.worker_id, reason)
    return replace(tension, evicted_at=now), [step]


def _by_harm(
    tasks: list[RunningTask], model: InterferenceModel, worker: WorkerLoad
) -> list[RunningTask]:
    load = service_load(worker)
    return sorted(
        tasks,
        key=lambda t: (-model.expected(t.group) * exposure(t, worker, load), t.task_id),
    )

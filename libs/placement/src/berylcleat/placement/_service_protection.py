"""Protection of services from batch tasks, in escalating steps with hysteresis.

The order of steps follows Lo et al., Heracles, ISCA 2015: stop the growth of batch
load first, then throttle it, and evict (with a checkpoint) only when that does not
help.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from ._base import Decision, Evict, RunningTask, Throttle, WorkerLoad
from ._interference import InterferenceModel, exposure, service_load

THROTTLE_SLOWDOWN = 1.15
RECOVERED_SLOWDOWN = 1.06
EVICT_SLOWDOWN = 1.50
UNTHROTTLE_AFTER_S = 20.0
EVICT_AFTER_S = 30.0
EVICT_COOLDOWN_S = 60.0


@dataclass(frozen=True, slots=True)
class SlowdownHistory:
    """Start of the current slow or recovered period of a worker's service.

    Holds infinity if no such period lasts. ``evicted_at`` is the time of the last
    eviction, ``reported_at`` that of the latest report taken into account.
    """

    slow_since: float = float("inf")
    recovered_since: float = float("inf")
    evicted_at: float = float("-inf")
    reported_at: float = 0.0


@dataclass(frozen=True, slots=True)
class ProtectionState:
    """Slowdown histories by worker id."""

    history_by_worker: Mapping[str, SlowdownHistory] = field(default_factory=dict)


def protect_services(
    state: ProtectionState,
    model: InterferenceModel,
    workers: Mapping[str, WorkerLoad],
    now: float,
) -> tuple[ProtectionState, tuple[Decision, ...]]:
    """Return the next state, and decisions for the workers with new reports."""
    history_by_worker = dict(state.history_by_worker)
    decisions: list[Decision] = []
    for worker_id, worker in workers.items():
        history = history_by_worker.get(worker_id, SlowdownHistory())
        if worker.reserved.cores <= 0 or worker.reported_at <= history.reported_at:
            continue
        history = _update_history(history, worker, now)
        history, worker_decisions = _decide_for_worker(history, model, worker, now)
        history_by_worker[worker_id] = history
        decisions.extend(worker_decisions)
    return ProtectionState(history_by_worker), tuple(decisions)


def _update_history(
    history: SlowdownHistory, worker: WorkerLoad, now: float
) -> SlowdownHistory:
    slowdown = worker.service_slowdown
    slow = (
        min(history.slow_since, now) if slowdown > THROTTLE_SLOWDOWN else float("inf")
    )
    recovered = (
        min(history.recovered_since, now)
        if slowdown < RECOVERED_SLOWDOWN
        else float("inf")
    )
    return replace(
        history,
        slow_since=slow,
        recovered_since=recovered,
        reported_at=worker.reported_at,
    )


def _decide_for_worker(
    history: SlowdownHistory, model: InterferenceModel, worker: WorkerLoad, now: float
) -> tuple[SlowdownHistory, list[Decision]]:
    """Throttle while the service is slow, then evict; unthrottle once it has recovered.

    Tasks are unthrottled one at a time, the least harmful first, each after the service
    has stayed below ``RECOVERED_SLOWDOWN`` for ``UNTHROTTLE_AFTER_S``.
    """
    if worker.service_slowdown > THROTTLE_SLOWDOWN:
        unthrottled = _sort_by_harm(
            [t for t in worker.running if not t.is_throttled], model, worker
        )
        if unthrottled:
            return history, _throttle_tasks(unthrottled, model, worker)
        return _evict_worst(history, model, worker, now)
    throttled = [task for task in worker.running if task.is_throttled]
    if throttled and now - history.recovered_since >= UNTHROTTLE_AFTER_S:
        least_harmful = _sort_by_harm(throttled, model, worker)[-1]
        decision = Throttle(
            least_harmful.task_id,
            worker.worker_id,
            False,
            "service latency has recovered",
        )
        return replace(history, recovered_since=now), [decision]
    return history, []


def _throttle_tasks(
    tasks: list[RunningTask], model: InterferenceModel, worker: WorkerLoad
) -> list[Decision]:
    """Throttle tasks until the expected slowdown is ``RECOVERED_SLOWDOWN``.

    Throttles at least one; ``tasks`` are sorted by harm.
    """
    excess = worker.service_slowdown - RECOVERED_SLOWDOWN
    load = service_load(worker)
    decisions: list[Decision] = []
    for task in tasks:
        if excess <= 0 and decisions:
            break
        # Throttling removes 1 - THROTTLED_SHARE of a task's exposure.
        excess -= 0.7 * model.expected(task.group) * exposure(task, worker, load)
        reason = f"service slowdown {worker.service_slowdown:.2f}"
        decisions.append(Throttle(task.task_id, worker.worker_id, True, reason))
    return decisions


def _evict_worst(
    history: SlowdownHistory, model: InterferenceModel, worker: WorkerLoad, now: float
) -> tuple[SlowdownHistory, list[Decision]]:
    """Evict the most harmful task of a worker whose service stays slow."""
    is_persistent = now - history.slow_since >= EVICT_AFTER_S
    is_cooldown_over = now - history.evicted_at >= EVICT_COOLDOWN_S
    running = [task for task in worker.running if not task.is_stopping]
    if worker.service_slowdown < EVICT_SLOWDOWN or not (
        is_persistent and is_cooldown_over and running
    ):
        return history, []
    worst = _sort_by_harm(running, model, worker)[0]
    reason = (
        f"service slowdown {worker.service_slowdown:.2f} with all batch tasks throttled"
    )
    decision = Evict(worst.task_id, worker.worker_id, reason)
    return replace(history, evicted_at=now), [decision]


def _sort_by_harm(
    tasks: list[RunningTask], model: InterferenceModel, worker: WorkerLoad
) -> list[RunningTask]:
    """Return the tasks by expected slowdown of the service, highest first."""
    load = service_load(worker)
    return sorted(
        tasks,
        key=lambda t: (-model.expected(t.group) * exposure(t, worker, load), t.task_id),
    )

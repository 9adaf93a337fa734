"""Co-location policy: batch tasks beside services, within a slowdown budget.

Placement by score follows Verma et al., Borg, EuroSys 2015; protection of the tail
latency of services follows Lo et al., Heracles, ISCA 2015.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from berylcleat.model import URGENT_PRIORITY, Resources

from ._base import (
    Decision,
    Evict,
    Place,
    PlacementView,
    PolicyStep,
    QueuedTask,
    RunningTask,
    Wait,
    WorkerLoad,
)
from ._failure_history import FailureHistory, record_outcomes
from ._interference import (
    LOAD_FLOOR,
    GroupEstimate,
    InterferenceModel,
    exposure,
    update_model,
)
from ._packing import (
    component_max,
    eligible_workers,
    free_by_worker,
    leftover_share,
    ordered_queue,
)
from ._service_protection import ProtectionState, protect_services

SLOWDOWN_BUDGET = 0.08
URGENT_HEADROOM_SHARE = 0.25
LOW_INTERFERENCE_COEFFICIENT = 0.15
PLANNED_LOAD = 0.8  # service load that placement assumes
STARVATION_TIMEOUT_S = 60.0


@dataclass(frozen=True, slots=True)
class ColocateState:
    """Interference model, failure history and service protection of one cell."""

    interference: InterferenceModel = field(default_factory=InterferenceModel)
    failure_history: FailureHistory = field(default_factory=FailureHistory)
    protection: ProtectionState = field(default_factory=ProtectionState)


@dataclass(frozen=True, slots=True)
class ColocatePolicy:
    """Policy that places batch tasks beside services within a slowdown budget.

    ``known_coefficients`` by group replaces the online estimate of interference.
    """

    name: str = "colocate"
    known_coefficients: Mapping[str, float] | None = None

    def make_initial_state(self) -> ColocateState:
        """Return the state for the first call of ``decide``."""
        if self.known_coefficients is None:
            return ColocateState()
        estimates = {
            group: GroupEstimate(coefficient, float("inf"))
            for group, coefficient in self.known_coefficients.items()
        }
        return ColocateState(InterferenceModel(estimates))

    def decide(self, state: ColocateState, view: PlacementView) -> PolicyStep:
        """Return decisions that protect services, then place the queue of ``view``."""
        model = state.interference
        if self.known_coefficients is None:
            model = update_model(model, view.worker_by_id)
        failure_history = record_outcomes(
            state.failure_history, view.ended, len(view.worker_by_id), view.now
        )
        protection, protection_decisions = protect_services(
            state.protection, model, view.worker_by_id, view.now
        )
        placement = _PlacementRound(view, model, failure_history, protection_decisions)
        decisions = (*protection_decisions, *placement.decide())
        return PolicyStep(ColocateState(model, failure_history, protection), decisions)


@dataclass(frozen=True, slots=True)
class _EquivalenceClass:
    """Attributes that decide, besides ``failed_on``, where a task may be placed."""

    group: str
    declared: Resources
    priority: int
    placement: str


def _equivalence_class(task: QueuedTask) -> _EquivalenceClass:
    return _EquivalenceClass(task.group, task.declared, task.priority, task.placement)


class _PlacementRound:
    """One pass over the queue; placements deduct capacity and slowdown budget."""

    def __init__(
        self,
        view: PlacementView,
        model: InterferenceModel,
        failure_history: FailureHistory,
        protection_decisions: tuple[Decision, ...],
    ):
        self._view = view
        self._model = model
        self._failure_history = failure_history
        self._free = free_by_worker(view)
        self._evicted = {
            decision.task_id
            for decision in protection_decisions
            if isinstance(decision, Evict)
        }
        self._slowdown_budget = {
            worker_id: self._remaining_budget(worker)
            for worker_id, worker in view.worker_by_id.items()
        }
        self._held_worker_id: str | None = None
        self._headroom_worker_id = self._choose_headroom_worker()
        self._wait_reason_by_class: dict[_EquivalenceClass, str] = {}

    def _choose_headroom_worker(self) -> str | None:
        """Return the worker that keeps headroom for urgent tasks.

        It is the one with the fewest cores reserved for services.
        """
        accepting = [w for w in self._view.worker_by_id.values() if w.accepts_tasks]
        if not accepting:
            return None
        return min(accepting, key=lambda w: (w.reserved.cores, w.worker_id)).worker_id

    def _remaining_budget(self, worker: WorkerLoad) -> float:
        """Return how much more slowdown new tasks may cause to the worker's service."""
        if worker.reserved.cores <= 0:
            return float("inf")
        spent = sum(
            self._model.upper_bound(task.group) * exposure(task, worker, PLANNED_LOAD)
            for task in worker.running
        )
        return SLOWDOWN_BUDGET - spent

    def decide(self) -> list[Decision]:
        """Return the decisions for all queued tasks, in queue order."""
        decisions: list[Decision] = []
        for task in ordered_queue(self._view):
            is_urgent = task.priority >= URGENT_PRIORITY
            if (
                not (is_urgent or task.failed_on)
                and _equivalence_class(task) in self._wait_reason_by_class
            ):
                # Capacity only shrinks during a pass, so if no worker was found
                # for an equivalent task, none will be found for this one.
                decisions.append(
                    Wait(
                        task.task_id,
                        self._wait_reason_by_class[_equivalence_class(task)],
                    )
                )
                continue
            best = self._choose_worker(task)
            if best:
                decisions.append(self._place(task, best))
            elif is_urgent:
                decisions.extend(self._preempt(task))
            else:
                self._hold_worker_if_starving(task)
                reason = self._wait_reason(task)
                if not task.failed_on:
                    self._wait_reason_by_class[_equivalence_class(task)] = reason
                decisions.append(Wait(task.task_id, reason))
        return decisions

    def _slowdown_bound(self, task: QueuedTask, worker: WorkerLoad) -> float:
        """Return an upper bound on the slowdown that the task adds to the service."""
        share = task.declared.cores / worker.capacity.cores
        return self._model.upper_bound(task.group) * share * (LOAD_FLOOR + PLANNED_LOAD)

    def _may_place(self, task: QueuedTask, worker: WorkerLoad) -> bool:
        worker_id = worker.worker_id
        if worker_id in task.failed_on or worker_id == self._held_worker_id:
            return False
        if self._failure_history.is_suspended(worker_id, self._view.now):
            return False
        if not task.declared.fits_in(self._free[worker_id]):
            return False
        if task.priority >= URGENT_PRIORITY:
            return True
        if worker_id == self._headroom_worker_id and not self._leaves_headroom(
            task, worker
        ):
            return False
        return self._slowdown_bound(task, worker) <= self._slowdown_budget[worker_id]

    def _leaves_headroom(self, task: QueuedTask, worker: WorkerLoad) -> bool:
        left = self._free[worker.worker_id].cores - task.declared.cores
        return left >= URGENT_HEADROOM_SHARE * worker.capacity.cores

    def _choose_worker(self, task: QueuedTask) -> WorkerLoad | None:
        fitting = [
            worker
            for worker in eligible_workers(task, self._view)
            if self._may_place(task, worker)
        ]
        if not fitting:
            return None
        return min(fitting, key=lambda worker: self._score(task, worker))

    def _score(self, task: QueuedTask, worker: WorkerLoad) -> tuple[bool, float, str]:
        """Return a sort key, lowest for the preferred worker.

        Tasks of low interference prefer workers with a service, other tasks prefer
        workers without one; then the best fit is preferred.
        """
        is_low_interference = (
            self._model.expected(task.group) <= LOW_INTERFERENCE_COEFFICIENT
        )
        has_service = worker.reserved.cores > 0
        free = self._free[worker.worker_id]
        left = leftover_share(free, task.declared, worker.capacity)
        return (has_service != is_low_interference, left, worker.worker_id)

    def _place(self, task: QueuedTask, worker: WorkerLoad) -> Place:
        worker_id = worker.worker_id
        self._free[worker_id] -= task.declared
        self._slowdown_budget[worker_id] -= self._slowdown_bound(task, worker)
        kind = "beside a service" if worker.reserved.cores > 0 else "without a service"
        return Place(task.task_id, worker_id, f"best fit on a worker {kind}")

    def _hold_worker_if_starving(self, task: QueuedTask) -> None:
        """Hold the worker with most free cores for the first starving task."""
        waited_s = self._view.now - task.queued_at
        if self._held_worker_id is not None or waited_s < STARVATION_TIMEOUT_S:
            return
        candidates = [
            worker
            for worker in eligible_workers(task, self._view)
            if task.declared.fits_in(worker.capacity - worker.reserved)
            and self._fits_slowdown_budget(task, worker)
            and not task.declared.fits_in(self._free[worker.worker_id])
        ]
        if candidates:
            best = max(
                candidates, key=lambda w: (self._free[w.worker_id].cores, w.worker_id)
            )
            self._held_worker_id = best.worker_id

    def _fits_slowdown_budget(self, task: QueuedTask, worker: WorkerLoad) -> bool:
        """Return whether the task alone stays within the service's slowdown budget."""
        has_service = worker.reserved.cores > 0
        return not has_service or self._slowdown_bound(task, worker) <= SLOWDOWN_BUDGET

    def _preempt(self, task: QueuedTask) -> list[Decision]:
        """Evict lower-priority tasks on the worker that needs the fewest evictions."""
        plans = []
        for worker in eligible_workers(task, self._view):
            if self._failure_history.is_suspended(worker.worker_id, self._view.now):
                continue
            victims = self._choose_victims(task, worker)
            if victims is not None:
                n_evictions = sum(not victim.is_stopping for victim in victims)
                plans.append((n_evictions, worker.worker_id, victims))
        if not plans:
            return [Wait(task.task_id, "no tasks of lower priority to evict")]
        _, worker_id, victims = min(plans, key=lambda plan: plan[:2])
        return self._evict_for(task, worker_id, victims)

    def _evict_for(
        self, task: QueuedTask, worker_id: str, victims: list[RunningTask]
    ) -> list[Decision]:
        self._evicted.update(victim.task_id for victim in victims)
        # Victims occupy their capacity until they have stopped, so nothing else may
        # be placed on this worker during this pass.
        self._free[worker_id] = Resources()
        reason = f"preempted by urgent task {task.task_id}"
        evictions = [
            Evict(victim.task_id, worker_id, reason)
            for victim in victims
            if not victim.is_stopping
        ]
        wait = Wait(task.task_id, f"waiting for evictions on {worker_id}")
        return [*evictions, wait]

    def _choose_victims(
        self, task: QueuedTask, worker: WorkerLoad
    ) -> list[RunningTask] | None:
        """Return tasks whose end frees enough for ``task``, or None if none suffice.

        Prefers tasks that are stopping already, then those of lowest priority, then
        those started last, which have made the least progress.
        """
        free = self._free[worker.worker_id]
        candidates = sorted(
            (
                running
                for running in worker.running
                if running.priority < task.priority
                and running.task_id not in self._evicted
            ),
            key=lambda r: (not r.is_stopping, r.priority, -r.started_at, r.task_id),
        )
        chosen: list[RunningTask] = []
        for running in candidates:
            if task.declared.fits_in(free):
                break
            chosen.append(running)
            free += component_max(running.declared, running.observed)
        if not task.declared.fits_in(free):
            return None
        return _drop_redundant(task, chosen, free)

    def _wait_reason(self, task: QueuedTask) -> str:
        eligible = eligible_workers(task, self._view)
        if not eligible:
            return f"no worker that accepts tasks matches placement {task.placement!r}"
        fitting = [
            w for w in eligible if task.declared.fits_in(self._free[w.worker_id])
        ]
        if not fitting:
            return f"none of {len(eligible)} eligible workers has enough free capacity"
        return (
            f"{len(fitting)} workers have enough free capacity, but are excluded by "
            "a service's slowdown budget, headroom for urgent tasks, a hold for a "
            "starving task, a suspension or an earlier failure"
        )


def _drop_redundant(
    task: QueuedTask, chosen: list[RunningTask], free: Resources
) -> list[RunningTask]:
    """Drop victims, smallest first, whose eviction the others make unnecessary."""
    kept = list(chosen)
    for victim in sorted(chosen, key=lambda r: (r.declared.cores, r.task_id)):
        free_without = free - component_max(victim.declared, victim.observed)
        if not victim.is_stopping and task.declared.fits_in(free_without):
            kept.remove(victim)
            free = free_without
    return kept


def make_colocate() -> ColocatePolicy:
    """Return the co-location policy that the planner uses."""
    return ColocatePolicy()


def make_informed(coefficient_by_group: Mapping[str, float]) -> ColocatePolicy:
    """Return the co-location policy with known interference, for comparison.

    Its results bound from above what the online estimate can achieve.
    """
    return ColocatePolicy("informed", coefficient_by_group)

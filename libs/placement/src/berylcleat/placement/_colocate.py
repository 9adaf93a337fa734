"""The product's policy: batch beside services, within what they can bear.

Placement by score after Verma et al., Borg, EuroSys 2015; protection of the tail
after Lo et al., Heracles, ISCA 2015.
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
from ._blame import BlameRecord, note_ends
from ._interference import (
    LOAD_FLOOR,
    GroupEstimate,
    InterferenceModel,
    exposure,
    learn,
)
from ._ladder import LadderState, climb
from ._packing import (
    eligible_workers,
    free_by_worker,
    larger,
    leftover_share,
    ordered_queue,
)

SLOWDOWN_BUDGET = 0.08
URGENT_HEADROOM_SHARE = 0.25
GENTLE_COEFFICIENT = 0.15
PLANNED_LOAD = 0.8
STARVING_S = 60.0


@dataclass(frozen=True, slots=True)
class ColocateState:
    """Hold all that the policy has learnt in one cell."""

    interference: InterferenceModel = field(default_factory=InterferenceModel)
    blame: BlameRecord = field(default_factory=BlameRecord)
    ladder: LadderState = field(default_factory=LadderState)


@dataclass(frozen=True, slots=True)
class ColocatePolicy:
    """Place batch beside services within what the services can bear.

    ``known`` holds coefficients that are given rather than learnt.
    """

    name: str = "colocate"
    known: Mapping[str, float] | None = None

    def make_initial_state(self) -> ColocateState:
        """Return the state of a policy that has seen nothing."""
        if self.known is None:
            return ColocateState()
        estimates = {
            group: GroupEstimate(coefficient, float("inf"))
            for group, coefficient in self.known.items()
        }
        return ColocateState(InterferenceModel(estimates))

    def decide(self, state: ColocateState, view: PlacementView) -> PolicyStep:
        """Return the decisions for ``view``: protect services, then place."""
        model = state.interference
        if self.known is None:
            model = learn(model, view.worker_by_id)
        blame = note_ends(state.blame, view.ended, len(view.worker_by_id), view.now)
        ladder, steps = climb(state.ladder, model, view.worker_by_id, view.now)
        placement = _Placement(view, model, blame, steps)
        decisions = (*steps, *placement.decide())
        return PolicyStep(ColocateState(model, blame, ladder), decisions)


@dataclass(frozen=True, slots=True)
class _Alike:
    """Name what makes two queued tasks find room on the same workers."""

    group: str
    declared: Resources
    priority: int
    placement: str


def _alike(task: QueuedTask) -> _Alike:
    return _Alike(task.group, task.declared, task.priority, task.placement)


class _Placement:
    """Serve the queue once: room and slowdown budget shrink as tasks are placed."""

    def __init__(
        self,
        view: PlacementView,
        model: InterferenceModel,
        blame: BlameRecord,
        steps: tuple[Decision, ...],
    ):
        self._view = view
        self._model = model
        self._blame = blame
        self._free = free_by_worker(view)
        self._evicted = {step.task_id for step in steps if isinstance(step, Evict)}
        self._budget = {
            worker_id: self._left_budget(worker)
            for worker_id, worker in view.worker_by_id.items()
        }
        self._held_for: str | None = None
        self._headroom_on = self._headroom_worker()
        self._blocked: dict[_Alike, str] = {}

    def _headroom_worker(self) -> str | None:
        """Return the worker that keeps room for urgent work: the least reserved."""
        open_now = [w for w in self._view.worker_by_id.values() if w.is_open]
        if not open_now:
            return None
        return min(open_now, key=lambda w: (w.reserved.cores, w.worker_id)).worker_id

    def _left_budget(self, worker: WorkerLoad) -> float:
        if worker.reserved.cores <= 0:
            return float("inf")
        spent = sum(
            self._model.upper_bound(task.group) * exposure(task, worker, PLANNED_LOAD)
            for task in worker.running
        )
        return SLOWDOWN_BUDGET - spent

    def decide(self) -> list[Decision]:
        """Return the decisions for the whole queue, in order."""
        decisions: list[Decision] = []
        for task in ordered_queue(self._view):
            is_urgent = task.priority >= URGENT_PRIORITY
            if not (is_urgent or task.failed_on) and _alike(task) in self._blocked:
                # Room only shrinks within a decision: its equals found none.
                decisions.append(Wait(task.task_id, self._blocked[_alike(task)]))
                continue
            best = self._best_worker(task)
            if best:
                decisions.append(self._place(task, best))
            elif is_urgent:
                decisions.extend(self._preempt(task))
            else:
                self._hold_if_starving(task)
                reason = self._why_waiting(task)
                if not task.failed_on:
                    self._blocked[_alike(task)] = reason
                decisions.append(Wait(task.task_id, reason))
        return decisions

    def _cost(self, task: QueuedTask, worker: WorkerLoad) -> float:
        """Return the slowdown that is feared from the task on the worker."""
        share = task.declared.cores / worker.capacity.cores
        return self._model.upper_bound(task.group) * share * (LOAD_FLOOR + PLANNED_LOAD)

    def _may_run(self, task: QueuedTask, worker: WorkerLoad) -> bool:
        worker_id = worker.worker_id
        if worker_id in task.failed_on or worker_id == self._held_for:
            return False
        if self._blame.is_suspended(worker_id, self._view.now):
            return False
        if not task.declared.fits_in(self._free[worker_id]):
            return False
        if task.priority >= URGENT_PRIORITY:
            return True
        if worker_id == self._headroom_on and not self._leaves_headroom(task, worker):
            return False
        return self._cost(task, worker) <= self._budget[worker_id]

    def _leaves_headroom(self, task: QueuedTask, worker: WorkerLoad) -> bool:
        left = self._free[worker.worker_id].cores - task.declared.cores
        return left >= URGENT_HEADROOM_SHARE * worker.capacity.cores

    def _best_worker(self, task: QueuedTask) -> WorkerLoad | None:
        fitting = [
            worker
            for worker in eligible_workers(task, self._view)
            if self._may_run(task, worker)
        ]
        if not fitting:
            return None
        return min(fitting, key=lambda worker: self._score(task, worker))

    def _score(self, task: QueuedTask, worker: WorkerLoad) -> tuple[bool, float, str]:
        """Rank workers: gentle tasks go beside services, others keep away."""
        is_gentle = self._model.expected(task.group) <= GENTLE_COEFFICIENT
        serves = worker.reserved.cores > 0
        room = self._free[worker.worker_id]
        left = leftover_share(room, task.declared, worker.capacity)
        return (serves != is_gentle, left, worker.worker_id)

    def _place(self, task: QueuedTask, worker: WorkerLoad) -> Place:
        worker_id = worker.worker_id
        self._free[worker_id] -= task.declared
        self._budget[worker_id] -= self._cost(task, worker)
        kind = "beside a service" if worker.reserved.cores > 0 else "away from services"
        return Place(task.task_id, worker_id, f"best fit {kind}")

    def _hold_if_starving(self, task: QueuedTask) -> None:
        """Keep the roomiest worker for the first task that has waited too long."""
        waited_s = self._view.now - task.queued_at
        if self._held_for is not None or waited_s < STARVING_S:
            return
        roomy = [
            worker
            for worker in eligible_workers(task, self._view)
            if task.declared.fits_in(worker.capacity - worker.reserved)
            and self._is_bearable(task, worker)
            and not task.declared.fits_in(self._free[worker.worker_id])
        ]
        if roomy:
            best = max(
                roomy, key=lambda w: (self._free[w.worker_id].cores, w.worker_id)
            )
            self._held_for = best.worker_id

    def _is_bearable(self, task: QueuedTask, worker: WorkerLoad) -> bool:
        """Tell whether the worker's service could bear the task were it alone."""
        serves = worker.reserved.cores > 0
        return not serves or self._cost(task, worker) <= SLOWDOWN_BUDGET

    def _preempt(self, task: QueuedTask) -> list[Decision]:
        """Evict the fewest, least advanced tasks of lower priority that make room."""
        plans = []
        for worker in eligible_workers(task, self._view):
            if self._blame.is_suspended(worker.worker_id, self._view.now):
                continue
            victims = self._victims(task, worker)
            if victims is not None:
                n_new = sum(not victim.is_stopping for victim in victims)
                plans.append((n_new, worker.worker_id, victims))
        if not plans:
            return [Wait(task.task_id, "no lower priority work to evict")]
        _, worker_id, victims = min(plans, key=lambda plan: plan[:2])
        return self._make_room(task, worker_id, victims)

    def _make_room(
        self, task: QueuedTask, worker_id: str, victims: list[RunningTask]
    ) -> list[Decision]:
        self._evicted.update(victim.task_id for victim in victims)
        # The victims still run: nothing else may start here until they have ended.
        self._free[worker_id] = Resources()
        reason = f"makes room for urgent {task.task_id}"
        evictions = [
            Evict(victim.task_id, worker_id, reason)
            for victim in victims
            if not victim.is_stopping
        ]
        waits = Wait(task.task_id, f"room is being made on {worker_id}")
        return [*evictions, waits]

    def _victims(
        self, task: QueuedTask, worker: WorkerLoad
    ) -> list[RunningTask] | None:
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
            free += larger(running.declared, running.observed)
        if not task.declared.fits_in(free):
            return None
        return _without_needless(task, chosen, free)

    def _why_waiting(self, task: QueuedTask) -> str:
        eligible = eligible_workers(task, self._view)
        if not eligible:
            return f"no open worker matches placement {task.placement!r}"
        roomy = [w for w in eligible if task.declared.fits_in(self._free[w.worker_id])]
        if not roomy:
            return f"none of {len(eligible)} eligible workers has room"
        return f"{len(roomy)} workers have room, but their services can't bear it now"


def _without_needless(
    task: QueuedTask, chosen: list[RunningTask], free: Resources
) -> list[RunningTask]:
    """Drop victims, smallest first, that the larger ones make needless."""
    kept = list(chosen)
    for victim in sorted(chosen, key=lambda r: (r.declared.cores, r.task_id)):
        without = free - larger(victim.declared, victim.observed)
        if not victim.is_stopping and task.declared.fits_in(without):
            kept.remove(victim)
            free = without
    return kept


def make_colocate() -> ColocatePolicy:
    """Return the product's policy."""
    return ColocatePolicy()


def make_informed(coefficient_by_group: Mapping[str, float]) -> ColocatePolicy:
    """Return a bound for comparison: the same policy, told the true interference."""
    return ColocatePolicy("informed", coefficient_by_group)

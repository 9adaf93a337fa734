"""The product's policy: best fit under priority, with cheapest preemption."""

from dataclasses import dataclass

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
from ._packing import (
    eligible_workers,
    free_by_worker,
    larger,
    leftover_share,
    ordered_queue,
)


@dataclass(frozen=True, slots=True)
class ColocatePolicy:
    """Place batch beside services within what the services can bear."""

    name: str = "colocate"

    def make_memory(self) -> object:
        """Return the memory of a policy that has seen nothing."""
        return None

    def decide(self, memory: object, view: PlacementView) -> PolicyStep:
        """Return the decisions for ``view``."""
        free = free_by_worker(view)
        decisions: list[Decision] = []
        evicted: set[str] = set()
        for task in ordered_queue(view):
            placed = _place(task, view, free)
            if placed:
                decisions.append(placed)
            elif task.priority >= URGENT_PRIORITY:
                decisions.extend(_preempt(task, view, free, evicted))
            else:
                decisions.append(Wait(task.task_id, _why_waiting(task, view)))
        return PolicyStep(memory, tuple(decisions))


def _place(
    task: QueuedTask, view: PlacementView, free: dict[str, Resources]
) -> Place | None:
    fitting = [
        worker
        for worker in eligible_workers(task, view)
        if worker.worker_id not in task.failed_on
        and task.declared.fits_in(free[worker.worker_id])
    ]
    if not fitting:
        return None
    best = min(fitting, key=lambda worker: _fit_key(task, worker, free))
    free[best.worker_id] -= task.declared
    return Place(
        task.task_id, best.worker_id, f"tightest fit of {len(fitting)} with room"
    )


def _fit_key(
    task: QueuedTask, worker: WorkerLoad, free: dict[str, Resources]
) -> tuple[float, str]:
    left = leftover_share(free[worker.worker_id], task.declared, worker.capacity)
    return (left, worker.worker_id)


def _preempt(
    task: QueuedTask,
    view: PlacementView,
    free: dict[str, Resources],
    evicted: set[str],
) -> list[Decision]:
    """Evict the fewest, youngest tasks of lower priority that make room."""
    plans = []
    for worker in eligible_workers(task, view):
        victims = _victims(task, worker, free[worker.worker_id], evicted)
        if victims is not None:
            plans.append((len(victims), worker, victims))
    if not plans:
        return [Wait(task.task_id, "no lower priority work to evict")]
    _, worker, victims = min(plans, key=lambda plan: (plan[0], plan[1].worker_id))
    free[worker.worker_id] -= task.declared
    for victim in victims:
        evicted.add(victim.task_id)
        free[worker.worker_id] += larger(victim.declared, victim.observed)
    reason = f"makes room for urgent {task.task_id}"
    evictions = [
        Evict(victim.task_id, worker.worker_id, reason)
        for victim in victims
        if not victim.is_leaving
    ]
    return [*evictions, Wait(task.task_id, f"room is being made on {worker.worker_id}")]


def _victims(
    task: QueuedTask, worker: WorkerLoad, free: Resources, evicted: set[str]
) -> list[RunningTask] | None:
    candidates = sorted(
        (
            running
            for running in worker.running
            if running.priority < task.priority and running.task_id not in evicted
        ),
        key=lambda r: (not r.is_leaving, r.priority, -r.started_at, r.task_id),
    )
    chosen: list[RunningTask] = []
    for running in candidates:
        if task.declared.fits_in(free):
            break
        chosen.append(running)
        free += larger(running.declared, running.observed)
    return chosen if task.declared.fits_in(free) else None


def _why_waiting(task: QueuedTask, view: PlacementView) -> str:
    eligible = eligible_workers(task, view)
    if not eligible:
        return f"no open worker matches placement {task.placement!r}"
    return f"none of {len(eligible)} eligible workers has room"


def make_colocate() -> ColocatePolicy:
    """Return the product's policy."""
    return ColocatePolicy()

"""Baseline policies: first fit by declared size, with or without co-location."""

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
from ._packing import eligible_workers, ordered_queue


@dataclass(frozen=True, slots=True)
class FirstFitPolicy:
    """Policy that places each task on the first worker with enough free capacity.

    Free capacity is computed from the declared sizes of tasks. Unless ``colocates``,
    workers with capacity reserved for services get no tasks.
    """

    name: str = "first-fit"
    colocates: bool = True

    def make_initial_state(self) -> object:
        """Return None: this policy is stateless."""
        return None

    def decide(self, state: object, view: PlacementView) -> PolicyStep:
        """Return first-fit decisions for the queue of ``view``."""
        free = {
            worker_id: self._free_capacity(worker)
            for worker_id, worker in view.worker_by_id.items()
            if worker.accepts_tasks
        }
        decisions: list[Decision] = []
        for task in ordered_queue(view):
            decisions.extend(self._decide_task(task, view, free))
        return PolicyStep(state, tuple(decisions))

    def _free_capacity(self, worker: WorkerLoad) -> Resources:
        if not self.colocates and worker.reserved.cores > 0:
            return Resources()
        free = worker.capacity - worker.reserved
        for task in worker.running:
            free -= task.declared
        return free

    def _decide_task(
        self, task: QueuedTask, view: PlacementView, free: dict[str, Resources]
    ) -> list[Decision]:
        for worker in eligible_workers(task, view):
            if task.declared.fits_in(free[worker.worker_id]):
                free[worker.worker_id] -= task.declared
                return [
                    Place(
                        task.task_id,
                        worker.worker_id,
                        "first worker with enough free capacity",
                    )
                ]
        if task.priority >= URGENT_PRIORITY:
            return self._preempt(task, view)
        return [Wait(task.task_id, "no eligible worker has enough free capacity")]

    def _preempt(self, task: QueuedTask, view: PlacementView) -> list[Decision]:
        for worker in eligible_workers(task, view):
            if not self.colocates and worker.reserved.cores:
                continue
            victims = _choose_victims(task, worker, self._free_capacity(worker))
            if victims:
                reason = f"preempted by {task.task_id}"
                return [Evict(v.task_id, worker.worker_id, reason) for v in victims]
        return [Wait(task.task_id, "no tasks of lower priority to evict")]


def _choose_victims(
    task: QueuedTask, worker: WorkerLoad, free: Resources
) -> list[RunningTask]:
    """Return the first tasks of lower priority whose eviction frees enough, or []."""
    chosen: list[RunningTask] = []
    for running in worker.running:
        if task.declared.fits_in(free):
            break
        if running.priority < task.priority:
            chosen.append(running)
            free += running.declared
    return chosen if task.declared.fits_in(free) else []


def make_first_fit() -> FirstFitPolicy:
    """Return the first-fit baseline with co-location."""
    return FirstFitPolicy()


def make_no_colocation() -> FirstFitPolicy:
    """Return the first-fit baseline that places no batch tasks beside services."""
    return FirstFitPolicy("no-colocation", colocates=False)

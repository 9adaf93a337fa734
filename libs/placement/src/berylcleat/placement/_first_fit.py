"""Baselines: first fit by declared size, with or without colocation."""

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
    """Place each task on the first worker whose declared sizes leave room.

    With ``colocates`` unset, workers that serve a service take no batch task.
    """

    name: str = "first-fit"
    colocates: bool = True

    def make_initial_state(self) -> object:
        """Return nothing: this policy learns nothing."""
        return None

    def decide(self, state: object, view: PlacementView) -> PolicyStep:
        """Return the decisions for ``view``."""
        free = {
            worker_id: self._free(worker)
            for worker_id, worker in view.worker_by_id.items()
            if worker.is_open
        }
        decisions: list[Decision] = []
        for task in ordered_queue(view):
            decisions.extend(self._decide_one(task, view, free))
        return PolicyStep(state, tuple(decisions))

    def _free(self, worker: WorkerLoad) -> Resources:
        if not self.colocates and worker.reserved.cores > 0:
            return Resources()
        free = worker.capacity - worker.reserved
        for task in worker.running:
            free -= task.declared
        return free

    def _decide_one(
        self, task: QueuedTask, view: PlacementView, free: dict[str, Resources]
    ) -> list[Decision]:
        for worker in eligible_workers(task, view):
            if task.declared.fits_in(free[worker.worker_id]):
                free[worker.worker_id] -= task.declared
                return [Place(task.task_id, worker.worker_id, "first with room")]
        if task.priority >= URGENT_PRIORITY:
            return self._preempt(task, view)
        return [Wait(task.task_id, "no worker has room")]

    def _preempt(self, task: QueuedTask, view: PlacementView) -> list[Decision]:
        for worker in eligible_workers(task, view):
            if not self.colocates and worker.reserved.cores:
                continue
            victims = _victims(task, worker, self._free(worker))
            if victims:
                reason = f"makes room for {task.task_id}"
                return [Evict(v.task_id, worker.worker_id, reason) for v in victims]
        return [Wait(task.task_id, "nothing of lower priority to evict")]


def _victims(
    task: QueuedTask, worker: WorkerLoad, free: Resources
) -> list[RunningTask]:
    """Return running tasks of lower priority, in order, that make room; or none."""
    chosen: list[RunningTask] = []
    for running in worker.running:
        if task.declared.fits_in(free):
            break
        if running.priority < task.priority:
            chosen.append(running)
            free += running.declared
    return chosen if task.declared.fits_in(free) else []


def make_first_fit() -> FirstFitPolicy:
    """Return first fit by declared size."""
    return FirstFitPolicy()


def make_no_colocation() -> FirstFitPolicy:
    """Return first fit that keeps batch off the workers of services."""
    return FirstFitPolicy("no-colocation", colocates=False)

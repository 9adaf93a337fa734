"""Free capacity of workers, and the order in which queued tasks are placed."""

from berylcleat.model import Resources, parse_selector

from ._base import PlacementView, QueuedTask, WorkerLoad


def used_by_tasks(worker: WorkerLoad) -> Resources:
    """Return the sum over tasks of the larger of declared and observed use."""
    total = Resources()
    for task in worker.running:
        total += component_max(task.declared, task.observed)
    return total


def component_max(one: Resources, other: Resources) -> Resources:
    """Return the component-wise maximum of two resource vectors."""
    return Resources(
        max(one.cores, other.cores),
        max(one.memory_gb, other.memory_gb),
        max(one.accelerators, other.accelerators),
    )


def free_by_worker(view: PlacementView) -> dict[str, Resources]:
    """Return the free capacity of each worker that accepts tasks, by worker id.

    Capacity reserved for services does not count as free.
    """
    return {
        worker_id: worker.capacity - worker.reserved - used_by_tasks(worker)
        for worker_id, worker in view.worker_by_id.items()
        if worker.accepts_tasks
    }


def ordered_queue(view: PlacementView) -> list[QueuedTask]:
    """Return the queue by priority, then deadline slack, then waiting time."""
    return sorted(
        view.queue,
        key=lambda task: (
            -task.priority,
            task.deadline_at - view.now - task.run_s,
            task.queued_at,
            task.task_id,
        ),
    )


def eligible_workers(task: QueuedTask, view: PlacementView) -> list[WorkerLoad]:
    """Return the workers that accept tasks and match the task's selector."""
    selector = parse_selector(task.placement)
    return [
        worker
        for worker in view.worker_by_id.values()
        if worker.accepts_tasks and selector.matches(worker.labels)
    ]


def leftover_share(free: Resources, need: Resources, capacity: Resources) -> float:
    """Return the largest unused share of any resource after placing ``need``.

    The worker with the lowest share is the best fit. Source: Panigrahy et al.,
    Heuristics for Vector Bin Packing, 2011.
    """
    left = free - need
    shares = [left.cores / capacity.cores if capacity.cores else 0.0]
    if capacity.memory_gb:
        shares.append(left.memory_gb / capacity.memory_gb)
    if capacity.accelerators:
        shares.append(left.accelerators / capacity.accelerators)
    return max(shares)

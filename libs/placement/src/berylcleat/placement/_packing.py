"""Room on workers, and the order of the queue."""

from berylcleat.model import Resources, parse_selector

from ._base import PlacementView, QueuedTask, WorkerLoad


def used_by_tasks(worker: WorkerLoad) -> Resources:
    """Return the larger of declared and observed use, summed over tasks."""
    total = Resources()
    for task in worker.running:
        total += larger(task.declared, task.observed)
    return total


def larger(one: Resources, other: Resources) -> Resources:
    """Return the component-wise maximum."""
    return Resources(
        max(one.cores, other.cores),
        max(one.memory_gb, other.memory_gb),
        max(one.accelerators, other.accelerators),
    )


def free_by_worker(view: PlacementView) -> dict[str, Resources]:
    """Return what is left on each open worker, reserve for services kept."""
    return {
        worker_id: worker.capacity - worker.reserved - used_by_tasks(worker)
        for worker_id, worker in view.worker_by_id.items()
        if worker.is_open
    }


def ordered_queue(view: PlacementView) -> list[QueuedTask]:
    """Return the queue by priority, then laxity, then waiting time."""
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
    """Return the open workers that the placement selector admits."""
    selector = parse_selector(task.placement)
    return [
        worker
        for worker in view.worker_by_id.values()
        if worker.is_open and selector.matches(worker.labels)
    ]


def leftover_share(free: Resources, need: Resources, capacity: Resources) -> float:
    """Return the largest share of a worker left unused after placing ``need``.

    Best fit by the tightest component. Source: Panigrahy et al., Heuristics for
    Vector Bin Packing, 2011.
    """
    left = free - need
    shares = [left.cores / capacity.cores if capacity.cores else 0.0]
    if capacity.memory_gb:
        shares.append(left.memory_gb / capacity.memory_gb)
    if capacity.accelerators:
        shares.append(left.accelerators / capacity.accelerators)
    return max(shares)

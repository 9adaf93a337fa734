"""What the workers of another cell have free, beside processor time.

A task starts on one worker: it needs the label, the memory and the accelerators there
where the processor time is free.
"""

from collections.abc import Iterable
from functools import lru_cache

import msgspec

from berylcleat.model import Count, Integer, Step, TaskDemand

from ._workers import WorkerView

# Longest text of all distinct label sets that a cell publishes, in characters.
MAX_LABEL_CHARS = 2000
# Counts of slots remembered: steps of one queue mostly have the same demand, and the
# loads of other cells stay the same for a second or more.
MAX_REMEMBERED_COUNTS = 8192


class WorkerRooms(msgspec.Struct, frozen=True, array_like=True):
    """Labels, free memory and free accelerators of a cell's workers, in one order.

    ``label_set_by_worker`` tells the place of each worker's labels in ``label_sets``.
    ``free_accelerators`` is empty if no worker has any free.
    """

    label_sets: tuple[tuple[str, ...], ...]
    label_set_by_worker: tuple[Count, ...]
    free_memory_mb: tuple[Integer, ...]
    free_accelerators: tuple[Integer, ...] = ()

    def has_label(self, step: Step) -> bool:
        """Return whether a worker has the label that a step requires."""
        return not step.required_label or any(
            step.required_label in labels for labels in self.label_sets
        )

    def labels_of(self, worker: int) -> tuple[str, ...] | None:
        """Return a worker's labels; None if they aren't told."""
        if worker >= len(self.label_set_by_worker):
            return None
        number = self.label_set_by_worker[worker]
        return self.label_sets[number] if number < len(self.label_sets) else None


def count_slots(
    step: Step,
    free_by_worker: tuple[int, ...],
    rooms: WorkerRooms | None,
    workers: range | None = None,
) -> int:
    """Return how many tasks of a step fit on a cell's workers, or on some of them.

    ``free_by_worker`` is free processor time, in thousandths of a core. Tasks that need
    none are counted up to one for each thousandth.
    """
    return _count_slots(
        step.allocation,
        step.required_label,
        step.max_per_worker,
        free_by_worker,
        rooms,
        workers or range(len(free_by_worker)),
    )


@lru_cache(maxsize=MAX_REMEMBERED_COUNTS)
def _count_slots(
    demand: TaskDemand,
    label: str,
    max_per_worker: int,
    free_by_worker: tuple[int, ...],
    rooms: WorkerRooms | None,
    workers: range,
) -> int:
    cpu_millis = max(demand.cpu_millis, 1)
    n_slots = 0
    for worker in workers:
        if worker >= len(free_by_worker):
            break
        n_by_cpu = free_by_worker[worker] // cpu_millis
        if rooms is not None:
            n_by_cpu = _limit_slots(
                n_by_cpu, demand, label, max_per_worker, rooms, worker
            )
        n_slots += max(0, n_by_cpu)
    return n_slots


def _limit_slots(
    n_by_cpu: int,
    demand: TaskDemand,
    label: str,
    max_per_worker: int,
    rooms: WorkerRooms,
    worker: int,
) -> int:
    """Return how many of the tasks that a worker's processors hold fit there."""
    if label:
        labels = rooms.labels_of(worker)
        if labels is not None and label not in labels:
            return 0
    limits = [n_by_cpu]
    if max_per_worker:
        limits.append(max_per_worker)
    if demand.memory_mb > 0 and worker < len(rooms.free_memory_mb):
        limits.append(rooms.free_memory_mb[worker] // demand.memory_mb)
    if demand.accelerators > 0:
        has_some = worker < len(rooms.free_accelerators)
        n_free = rooms.free_accelerators[worker] if has_some else 0
        limits.append(n_free // demand.accelerators)
    return min(limits)


def find_rooms(views: Iterable[WorkerView]) -> WorkerRooms | None:
    """Return the rooms of workers in order; None if their labels are too long.

    What fillers hold counts as free: they end within seconds, while a load is relied on
    for as long, and cells full of fillers would get no other task.
    """
    number_by_labels: dict[tuple[str, ...], int] = {}
    label_set_by_worker = []
    free_memory_mb = []
    free_accelerators = []
    for view in views:
        labels = tuple(sorted(view.entry.labels))
        number = number_by_labels.setdefault(labels, len(number_by_labels))
        label_set_by_worker.append(number)
        free = view.free()
        fillers = [run.step.demand for run in view.filler_runs()]
        free_memory_mb.append(free.memory_mb + sum(d.memory_mb for d in fillers))
        free_accelerators.append(
            free.accelerators + sum(d.accelerators for d in fillers)
        )
    n_chars = sum(len(label) for labels in number_by_labels for label in labels)
    if n_chars > MAX_LABEL_CHARS:
        return None
    return WorkerRooms(
        tuple(number_by_labels),
        tuple(label_set_by_worker),
        tuple(free_memory_mb),
        tuple(free_accelerators) if any(n > 0 for n in free_accelerators) else (),
    )

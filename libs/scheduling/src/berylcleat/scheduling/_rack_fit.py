"""Which racks could hold a gang that needs one rack, if their workers were empty."""

from collections import Counter
from collections.abc import Iterable

from berylcleat.model import Step
from berylcleat.ports import WorkerEntry


def fits_empty_rack(step: Step, service: str, entries: Iterable[WorkerEntry]) -> bool:
    """Return whether one rack of these workers could hold all tasks of a step."""
    slots_by_rack: Counter[str] = Counter()
    for entry in entries:
        if entry.service != service:
            continue
        if step.required_label and step.required_label not in entry.labels:
            continue
        slots_by_rack[entry.rack] += _count_slots(step, entry)
    return max(slots_by_rack.values(), default=0) >= step.n_tasks


def _count_slots(step: Step, entry: WorkerEntry) -> int:
    """Return how many tasks of a step an empty worker holds."""
    demand, capacity = step.demand, entry.capacity
    amounts = (
        (demand.cpu_millis, capacity.cpu_millis),
        (demand.memory_mb, capacity.memory_mb),
        (demand.accelerators, capacity.accelerators),
    )
    limits = [available // needed for needed, available in amounts if needed > 0]
    limits.append(step.max_per_worker or step.n_tasks)
    return max(0, min(limits))

"""Pure placement policies."""

from ._base import (
    Decision,
    Evict,
    Place,
    PlacementPolicy,
    PlacementView,
    PolicyStep,
    QueuedTask,
    RunningTask,
    Throttle,
    Wait,
    WorkerLoad,
)
from ._colocate import make_colocate
from ._first_fit import make_first_fit, make_no_colocation
from ._packing import free_by_worker, used_by_tasks

__all__ = [
    "Decision",
    "Evict",
    "Place",
    "PlacementPolicy",
    "PlacementView",
    "PolicyStep",
    "QueuedTask",
    "RunningTask",
    "Throttle",
    "Wait",
    "WorkerLoad",
    "free_by_worker",
    "make_colocate",
    "make_first_fit",
    "make_no_colocation",
    "used_by_tasks",
]

"""Placement policies and job claims of cells, as pure functions."""

from ._base import (
    Decision,
    EndedTask,
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
from ._claims import CellClaim, OpenJob, choose_claims
from ._colocate import make_colocate, make_informed
from ._first_fit import make_first_fit, make_no_colocation
from ._packing import free_by_worker, used_by_tasks

__all__ = [
    "CellClaim",
    "Decision",
    "EndedTask",
    "Evict",
    "OpenJob",
    "Place",
    "PlacementPolicy",
    "PlacementView",
    "PolicyStep",
    "QueuedTask",
    "RunningTask",
    "Throttle",
    "Wait",
    "WorkerLoad",
    "choose_claims",
    "free_by_worker",
    "make_colocate",
    "make_first_fit",
    "make_informed",
    "make_no_colocation",
    "used_by_tasks",
]

"""Scheduling decisions of a cell's owner, without input or output."""

from ._admission import (
    Account,
    AdmissionController,
    Admit,
    CellLoad,
    Refuse,
    ServiceLoads,
)
from ._backlog import CellBacklog
from ._backlog_meter import BacklogMeter, CompletedWork
from ._cell import CellScheduler
from ._evacuation import (
    AvailabilityTracker,
    CellEvacuation,
    EvacuationRules,
    choose_relocations,
)
from ._filler_stops import choose_fillers_to_stop
from ._interference import (
    ImageUse,
    InterferenceLevel,
    InterferenceModel,
    ServingReading,
)
from ._leases import CLOCK_DRIFT, LeaseTimes, WorkerClock
from ._moves import CellHeadroom, FillerHeadroom, MovedTaskEnd, MoveProposal, TaskMove
from ._orders import ProgressWrite, RecordBatch, WorkerOrder
from ._pacing import LoadEstimator, PacePlan, plan_paces
from ._placement import choose_worker
from ._progress import CrashEvidence, Progress, decode_progress, encode_progress
from ._submissions import SubmissionRegistry, TrackedSubmission
from ._uneven_workers import UnevenWorkers
from ._worker_health import RunOutcome, WorkerHealth
from ._worker_speed import WorkerSpeeds
from ._workers import Run, RunPhase, WorkerCondition, WorkerView

__all__ = [
    "CLOCK_DRIFT",
    "AvailabilityTracker",
    "CellEvacuation",
    "Account",
    "AdmissionController",
    "Admit",
    "BacklogMeter",
    "CellBacklog",
    "CellHeadroom",
    "CellLoad",
    "CellScheduler",
    "CompletedWork",
    "CrashEvidence",
    "EvacuationRules",
    "FillerHeadroom",
    "ImageUse",
    "InterferenceLevel",
    "InterferenceModel",
    "LeaseTimes",
    "LoadEstimator",
    "MoveProposal",
    "MovedTaskEnd",
    "PacePlan",
    "Progress",
    "ProgressWrite",
    "RecordBatch",
    "Refuse",
    "Run",
    "RunOutcome",
    "RunPhase",
    "ServiceLoads",
    "ServingReading",
    "SubmissionRegistry",
    "TaskMove",
    "TrackedSubmission",
    "UnevenWorkers",
    "WorkerClock",
    "WorkerCondition",
    "WorkerHealth",
    "WorkerOrder",
    "WorkerSpeeds",
    "WorkerView",
    "choose_fillers_to_stop",
    "choose_relocations",
    "choose_worker",
    "decode_progress",
    "encode_progress",
    "plan_paces",
]

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
from ._leases import (
    CLOCK_DRIFT,
    MAX_UNSETTLED_S,
    LeaseTimes,
    WorkerClock,
    wait_for_limit_s,
)
from ._machine_list import MACHINE_GONE_S, MachineList
from ._maintenance import MACHINE_LEASE_S, plan_maintenance
from ._moves import CellHeadroom, FillerHeadroom, MovedTaskEnd, MoveProposal, TaskMove
from ._orders import ProgressWrite, RecordBatch, WorkerOrder
from ._pacing import LoadEstimator, PacePlan, plan_paces
from ._placement import choose_worker, forcible_workers
from ._progress import (
    CrashEvidence,
    PresumedStart,
    Progress,
    compact_record,
    decode_progress,
    encode_progress,
)
from ._step_waits import StepWait, WaitReason
from ._submissions import ReadyStep, SubmissionRegistry, TrackedSubmission
from ._uneven_workers import UnevenWorkers
from ._wave_record import (
    FreeSlot,
    MachinePhase,
    MachineRecord,
    MaintenanceAction,
    MaintenanceCell,
    MaintenanceWave,
    ReportState,
    RequestMaintenance,
    TakeSlot,
    WaveRecord,
    WaveState,
    WorkerOccupancy,
    apply_actions,
    cordoned_workers,
    decode_wave_record,
    encode_wave_record,
)
from ._worker_health import RunOutcome, WorkerHealth
from ._worker_rooms import WorkerRooms, count_slots, find_rooms
from ._worker_speed import WorkerSpeeds
from ._workers import Run, RunPhase, WorkerCondition, WorkerView

__all__ = [
    "forcible_workers",
    "count_slots",
    "find_rooms",
    "CLOCK_DRIFT",
    "MACHINE_GONE_S",
    "MACHINE_LEASE_S",
    "MAX_UNSETTLED_S",
    "Account",
    "AdmissionController",
    "Admit",
    "AvailabilityTracker",
    "BacklogMeter",
    "CellBacklog",
    "CellEvacuation",
    "CellHeadroom",
    "CellLoad",
    "CellScheduler",
    "CompletedWork",
    "CrashEvidence",
    "EvacuationRules",
    "FillerHeadroom",
    "FreeSlot",
    "ImageUse",
    "InterferenceLevel",
    "InterferenceModel",
    "LeaseTimes",
    "LoadEstimator",
    "MachineList",
    "MachinePhase",
    "MachineRecord",
    "MaintenanceAction",
    "MaintenanceCell",
    "MaintenanceWave",
    "MoveProposal",
    "MovedTaskEnd",
    "PacePlan",
    "PresumedStart",
    "Progress",
    "ProgressWrite",
    "RecordBatch",
    "ReadyStep",
    "Refuse",
    "ReportState",
    "RequestMaintenance",
    "Run",
    "RunOutcome",
    "RunPhase",
    "ServiceLoads",
    "ServingReading",
    "StepWait",
    "SubmissionRegistry",
    "TakeSlot",
    "TaskMove",
    "TrackedSubmission",
    "UnevenWorkers",
    "WaitReason",
    "WaveRecord",
    "WaveState",
    "WorkerClock",
    "WorkerCondition",
    "WorkerHealth",
    "WorkerOccupancy",
    "WorkerOrder",
    "WorkerSpeeds",
    "WorkerRooms",
    "WorkerView",
    "apply_actions",
    "choose_fillers_to_stop",
    "choose_relocations",
    "choose_worker",
    "compact_record",
    "cordoned_workers",
    "decode_progress",
    "decode_wave_record",
    "encode_progress",
    "encode_wave_record",
    "plan_maintenance",
    "plan_paces",
    "wait_for_limit_s",
]

"""Pure decisions of a cell's owner."""

from ._book import SubmissionRegistry, TrackedSubmission
from ._cell import CellScheduler
from ._guard import choose_stops
from ._interference import ImageUse, InterferenceModel, ServingReading, Verdict
from ._leases import CLOCK_DRIFT, LeaseTimes, WorkerClock
from ._moves import CellHeadroom, FillerHeadroom, MovedTaskEnd, MoveProposal, TaskMove
from ._orders import ProgressWrite, RecordBatch, WorkerOrder
from ._placement import choose_worker
from ._pressure import LoadBook, PacePlan, plan_paces
from ._progress import Progress, decode_progress, encode_progress
from ._workers import Run, RunPhase, WorkerView

__all__ = [
    "CLOCK_DRIFT",
    "CellHeadroom",
    "CellScheduler",
    "FillerHeadroom",
    "ImageUse",
    "InterferenceModel",
    "LeaseTimes",
    "LoadBook",
    "MoveProposal",
    "MovedTaskEnd",
    "PacePlan",
    "Progress",
    "ProgressWrite",
    "RecordBatch",
    "Run",
    "RunPhase",
    "ServingReading",
    "SubmissionRegistry",
    "TaskMove",
    "TrackedSubmission",
    "Verdict",
    "WorkerClock",
    "WorkerOrder",
    "WorkerView",
    "choose_stops",
    "choose_worker",
    "decode_progress",
    "encode_progress",
    "plan_paces",
]

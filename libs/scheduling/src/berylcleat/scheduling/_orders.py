"""What a cell's owner wants done: orders to workers, and ends to record."""

from dataclasses import dataclass

from berylcleat.ports import PaceOrder, StartOrder, StopOrder


@dataclass(frozen=True, slots=True)
class WorkerOrder:
    """Hold an order and the worker that it goes to."""

    worker_id: str
    order: StartOrder | StopOrder | PaceOrder


@dataclass(frozen=True, slots=True)
class ProgressWrite:
    """Hold the progress of one submission to be recorded."""

    submission_id: str
    value: bytes
    is_final: bool


@dataclass(frozen=True, slots=True)
class RecordBatch:
    """Hold what to record, and the ends that may be acknowledged after it."""

    writes: tuple[ProgressWrite, ...]
    ack_by_worker: dict[str, tuple[int, int]]

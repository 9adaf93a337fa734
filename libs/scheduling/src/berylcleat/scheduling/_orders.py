"""Output of a cell's scheduler: orders to workers and progress to record."""

from dataclasses import dataclass

from berylcleat.ports import PaceOrder, StartOrder, StopOrder


@dataclass(frozen=True, slots=True)
class WorkerOrder:
    """Order addressed to one worker."""

    worker_id: str
    order: StartOrder | StopOrder | PaceOrder


@dataclass(frozen=True, slots=True)
class ProgressWrite:
    """Encoded progress of one submission to write to the store."""

    submission_id: str
    value: bytes
    is_final: bool


@dataclass(frozen=True, slots=True)
class RecordBatch:
    """Progress to record, and the task ends to acknowledge once it is durable.

    ``ack_by_worker`` maps a worker to its incarnation and its last end to acknowledge.
    """

    writes: tuple[ProgressWrite, ...]
    ack_by_worker: dict[str, tuple[int, int]]

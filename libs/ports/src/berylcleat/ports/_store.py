"""What the platform's store, lists and workers look like to the product."""

from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from berylcleat.model import BerylError, ErrorCode, QueuePolicy, TaskDemand, TaskKey


@dataclass(frozen=True, slots=True)
class StoreRow:
    """Hold one row; ``version`` comes from one counter of the whole store."""

    table: str
    part: str
    key: str
    value: bytes
    version: int
    is_removed: bool = False


@dataclass(frozen=True, slots=True)
class Condition:
    """Require that a row still has ``version`` (0: absent)."""

    table: str
    part: str
    key: str
    version: int


@dataclass(frozen=True, slots=True)
class RowWrite:
    """Write ``value`` to a row."""

    table: str
    part: str
    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Commit:
    """Change several rows at once, or none; of one part unless ``spans_parts``."""

    conditions: tuple[Condition, ...] = ()
    writes: tuple[RowWrite, ...] = ()
    spans_parts: bool = False


@dataclass(frozen=True, slots=True)
class CommitOutcome:
    """Tell whether a commit applied; if not, the rows its conditions name."""

    applied: bool
    version: int = 0
    current: tuple[StoreRow, ...] = ()


@dataclass(frozen=True, slots=True)
class RowPage:
    """Hold rows and the store's version when they were read."""

    rows: tuple[StoreRow, ...]
    version: int


class HistoryLostError(BerylError):
    """Report that the store no longer has the changes asked for."""

    code = ErrorCode.CONFLICT


class Store(Protocol):
    """Keep rows that change under conditions.

    Calls raise ``PlatformUnavailableError`` (nothing was done) or
    ``OutcomeUnknownError`` (it may have been done, or be done later).
    """

    async def commit(self, commit: Commit) -> CommitOutcome:
        """Apply ``commit`` or report the conflict."""

    async def read(
        self, table: str, part: str, first: str = "", end: str = ""
    ) -> RowPage:
        """Return all rows of a part from key ``first`` up to and without ``end``."""

    async def list_parts(self, table: str) -> tuple[str, ...]:
        """Return the parts of ``table`` that hold rows."""

    async def follow(self, table: str, after: int, wait_s: float) -> RowPage:
        """Return rows changed after version ``after``; may raise HistoryLostError."""


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """Describe one listed worker."""

    worker_id: str
    service: str
    address: str
    data_centre: str
    kind: str
    rack: str
    labels: frozenset[str]
    capacity: TaskDemand
    started_at_ms: int
    is_draining: bool = False
    remaining_s: float | None = None


@dataclass(frozen=True, slots=True)
class Queue:
    """Route requests of one host name and path prefix to a queue."""

    host: str
    prefix: str
    timeout_ms: int
    policy: QueuePolicy


@dataclass(frozen=True, slots=True)
class ServiceInfo:
    """Describe a pool of workers."""

    name: str
    checks_room: bool
    max_connections: int
    is_spare: bool = False


@dataclass(frozen=True, slots=True)
class OperatorConfig:
    """Hold one version of the operator's configuration."""

    version: int
    queues: tuple[Queue, ...] = ()
    service_by_name: dict[str, ServiceInfo] = field(default_factory=dict)
    max_body_bytes: int = 262_144


class RunEnd(Enum):
    """Name how a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclass(frozen=True, slots=True)
class RunningTask:
    """Report one run; ``reading`` is a latency in ms or thousandths of a core."""

    task: TaskKey
    run: int
    checkpoint: str
    percent: int
    reading: float = 0.0


@dataclass(frozen=True, slots=True)
class EndedTask:
    """Report how a run ended; ``number`` rises through the worker's life."""

    number: int
    task: TaskKey
    run: int
    end: RunEnd
    checkpoint: str


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """Hold what a worker runs and what has ended and not been acknowledged."""

    clock_ms: int
    started_at_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]


class OrderResult(Enum):
    """Name how a worker answered an order."""

    ACCEPTED = "accepted"
    FENCED = "fenced"
    OLD_RUN = "old-run"
    TOO_LATE = "too-late"
    NO_ROOM = "no-room"
    BAD_TICKET = "bad-ticket"
    REJECTED = "rejected"
    UNHEALTHY = "unhealthy"
    OTHER_LIFE = "other-life"
    NO_ANSWER = "no-answer"
    NOT_SENT = "not-sent"
    NOT_CONNECTED = "not-connected"


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """Hold a worker's answer; ``clock_ms`` is its steady clock, 0 if not told."""

    result: OrderResult
    clock_ms: int = 0
    report: WorkerReport | None = None


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Ask a worker to start one run before ``deadline_ms`` of its own clock."""

    task: TaskKey
    run: int
    spec: str
    deadline_ms: int
    epoch: int
    checkpoint: str = ""
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Ask a worker to stop one run."""

    task: TaskKey
    run: int
    epoch: int


@dataclass(frozen=True, slots=True)
class PaceOrder:
    """Ask a worker to let one run work at ``percent`` of its speed."""

    task: TaskKey
    run: int
    percent: int
    epoch: int


@dataclass(frozen=True, slots=True)
class HoldOrder:
    """Renew the lease to ``deadline_ms``, acknowledge ends, and ask for a report.

    One that renews goes only over the connection that answered last: a new one could
    lead to another life of the worker, whose ends have other numbers.
    """

    epoch: int
    acked_number: int
    deadline_ms: int | None
    wait_ms: int


class WorkerPort(Protocol):
    """Give orders to one life of one worker."""

    async def start(self, order: StartOrder) -> OrderAnswer:
        """Ask for a start."""

    async def stop(self, order: StopOrder) -> OrderAnswer:
        """Ask for a stop."""

    async def pace(self, order: PaceOrder) -> OrderAnswer:
        """Ask for another pace."""

    async def hold(self, order: HoldOrder) -> OrderAnswer:
        """Renew the lease and return a report."""

    def close(self) -> None:
        """Drop all connections."""

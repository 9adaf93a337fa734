"""Orders to workers that run tasks, and what they report."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from berylcleat.model import StepKey, TaskKey


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
    pace_percent: int
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
    OTHER_INCARNATION = "other-life"
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
class AdviceRequest:
    """Ask which of these workers may run a step of an advised queue."""

    step: StepKey
    worker_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Ticket:
    """Let the tasks of a step start on a worker, in this life of it."""

    worker_id: str
    text: str


class Advisor(Protocol):
    """Tell which workers may run a step."""

    async def advise(
        self, request: AdviceRequest, expected_s: float
    ) -> tuple[Ticket, ...]:
        """Return the tickets; raise ``PlatformUnavailableError`` without an answer."""


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

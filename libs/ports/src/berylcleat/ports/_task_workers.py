"""Orders to the workers that run tasks, and the workers' reports."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from berylcleat.http import ExchangeFailure
from berylcleat.model import StepKey, TaskKey


class RunEnd(Enum):
    """How a run ended, as reported by its worker.

    LAPSED: the worker ended the run because its lease expired.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclass(frozen=True, slots=True)
class RunningTask:
    """Running task in a worker's report.

    ``pace_percent`` is its speed in percent of full speed. ``reading`` is the latency
    in ms for a step with a latency target, else the CPU use in thousandths of a core;
    0 if not measured.
    """

    task: TaskKey
    run: int
    checkpoint: str
    pace_percent: int
    reading: float = 0.0


@dataclass(frozen=True, slots=True)
class EndedTask:
    """Ended run in a worker's report.

    ``number`` increases with each end; each incarnation of a worker counts anew.
    """

    number: int
    task: TaskKey
    run: int
    end: RunEnd
    checkpoint: str


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """Running tasks of a worker and its ended runs not yet acknowledged.

    ``clock_ms`` is the worker's monotonic clock. ``started_at_ms`` is the start time
    of the worker process and identifies its incarnation.
    """

    clock_ms: int
    started_at_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    # Numbers of listed ends that can't be read, and whether that holds for a run.
    unreadable_ends: tuple[int, ...] = ()
    has_unreadable_runs: bool = False

    @property
    def n_ends(self) -> int:
        """Return the number of ends that the worker has listed."""
        return len(self.ended) + len(self.unreadable_ends)


class OrderResult(Enum):
    """Result of an order to a worker.

    Rejected by the worker:
    FENCED: the order's epoch is older than one that the worker has seen.
    OLD_RUN: the run number isn't above those that the worker has seen for the task.
    TOO_LATE: the order arrived after its deadline.
    NO_ROOM: the task doesn't fit in the free capacity.
    BAD_TICKET: the ticket doesn't admit the start.
    UNHEALTHY: the worker answered with status 429 or 503.
    OTHER_INCARNATION: the order was meant for another incarnation of the worker.
    REJECTED: any other reason.

    Without an answer, or with one that doesn't show what was done:
    NO_ANSWER: the order was sent, so it may have been executed.
    NOT_SENT: the order was not sent, so it has no effect.
    NOT_CONNECTED: a lease renewal was not sent because no connection was open.
    """

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
class OrderTransmission:
    """Circumstances under which an order was written to its connection.

    ``waited_s`` is how long it waited for a connection, ``permission_age_s`` how long
    before the write it was permitted.
    """

    waited_s: float
    permission_age_s: float
    is_new_connection: bool


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """Result of an order, the worker's monotonic clock (0: unknown) and its report.

    ``transmission`` is None if the order wasn't sent, or isn't a start. ``failure``
    tells why there is no answer, if an exchange was attempted.
    """

    result: OrderResult
    clock_ms: int = 0
    report: WorkerReport | None = None
    transmission: OrderTransmission | None = None
    failure: ExchangeFailure | None = None


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Order to start a run, valid until ``deadline_ms`` on the worker's clock.

    ``incarnation_ms`` is the start time of the worker incarnation that the run was
    decided for. The order must reach no other, also one with the same worker id.
    """

    task: TaskKey
    run: int
    spec: str
    deadline_ms: int
    epoch: int
    checkpoint: str = ""
    ticket: str = ""
    incarnation_ms: int = 0


@dataclass(frozen=True, slots=True)
class AdviceRequest:
    """Query for those of ``worker_ids`` that may run a step of a queue with advice."""

    step: StepKey
    worker_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Ticket:
    """Permission to start a step's tasks on one incarnation of a worker."""

    worker_id: str
    text: str


class Advisor(Protocol):
    """Service that decides which workers may run a step."""

    async def advise(
        self, request: AdviceRequest, expected_s: float
    ) -> tuple[Ticket, ...]:
        """Return a ticket for each worker that may run the step.

        ``expected_s`` is the expected duration of the request in seconds. Raises
        ``PlatformUnavailableError`` if no answer arrives.
        """


@dataclass(frozen=True, slots=True)
class StopOrder:
    """Order to stop a run."""

    task: TaskKey
    run: int
    epoch: int


@dataclass(frozen=True, slots=True)
class PaceOrder:
    """Order to throttle a run to ``percent`` of its full speed."""

    task: TaskKey
    run: int
    percent: int
    epoch: int


@dataclass(frozen=True, slots=True)
class HoldOrder:
    """Order to acknowledge ends, poll the report and optionally renew the lease.

    Ends up to ``acked_number`` are acknowledged. The lease is extended to
    ``deadline_ms`` on the worker's clock, or left unchanged if that is None. The
    worker may delay its report for up to ``wait_ms`` (long poll).

    A renewal is sent only over a connection that is already open: a new one could
    reach another incarnation of the worker, which numbers its ends differently.
    """

    epoch: int
    acked_number: int
    deadline_ms: int | None
    wait_ms: int


class WorkerPort(Protocol):
    """Client that sends orders to one worker."""

    async def start(
        self, order: StartOrder, may_send: Callable[[], bool] | None = None
    ) -> OrderAnswer:
        """Order the start of a run over a connection to the order's incarnation.

        ``may_send`` is asked with the write, with nothing in between; if it returns
        False, the result is ``NOT_SENT``.
        """

    async def stop(self, order: StopOrder) -> OrderAnswer:
        """Order the stop of a run."""

    async def pace(self, order: PaceOrder) -> OrderAnswer:
        """Set the speed of a run."""

    async def hold(self, order: HoldOrder) -> OrderAnswer:
        """Acknowledge ends, poll the report and renew the lease if requested."""

    def close(self) -> None:
        """Close all connections."""

"""Cache of the tickets that queues with an advice policy need to start tasks.

The platform's advice service decides which workers may run a step of such a queue. A
ticket is valid for all tasks of the step on one incarnation of a worker, until it
expires.
"""

from dataclasses import dataclass, field

from berylcleat.model import StepKey, TaskKey
from berylcleat.ports import AdviceRequest, Ticket

from ._submissions import ReadyStep
from ._workers import WorkerView

# Maximum workers in one request: each adds to the response time.
MAX_WORKERS_PER_REQUEST = 30
# Seconds after which a request without a response is repeated.
ADVICE_RETRY_S = 1.0
# Seconds before its expiry from which a ticket is no longer used: the start order must
# reach the worker in time.
TICKET_MARGIN_S = 0.3


@dataclass(slots=True)
class _StepTickets:
    """Tickets of one step, and the incarnations of the workers already requested."""

    requested_at: float = float("-inf")
    is_request_pending: bool = False
    incarnation_by_worker: dict[str, int] = field(default_factory=dict)
    ticket_by_worker: dict[str, str] = field(default_factory=dict)
    valid_until: float = float("-inf")


class TicketCache:
    """Tickets of a cell's steps and the advice requests to send next."""

    def __init__(self):
        self._by_step: dict[StepKey, _StepTickets] = {}
        self._requests: list[AdviceRequest] = []

    def request_tickets(
        self, ready: ReadyStep, views: list[WorkerView], now: float
    ) -> None:
        """Enqueue a request for the least loaded workers not requested before.

        Expired tickets are dropped first; a step has one pending request at a time.
        """
        step_tickets = self._by_step.setdefault(ready.task(0).step_key, _StepTickets())
        if (
            step_tickets.is_request_pending
            and now - step_tickets.requested_at < ADVICE_RETRY_S
        ):
            return
        if now >= step_tickets.valid_until:
            step_tickets.incarnation_by_worker.clear()
            step_tickets.ticket_by_worker.clear()
        candidates = [
            view
            for view in views
            if step_tickets.incarnation_by_worker.get(view.entry.worker_id)
            != view.incarnation_ms
            and ready.step.allocation.fits_in(view.free())
        ]
        if not candidates:
            return
        candidates.sort(key=lambda view: -view.cpu_left())
        chosen = candidates[:MAX_WORKERS_PER_REQUEST]
        for view in chosen:
            step_tickets.incarnation_by_worker[view.entry.worker_id] = (
                view.incarnation_ms
            )
        step_tickets.requested_at = now
        step_tickets.is_request_pending = True
        worker_ids = tuple(view.entry.worker_id for view in chosen)
        self._requests.append(AdviceRequest(ready.task(0).step_key, worker_ids))

    def take_requests(self) -> list[AdviceRequest]:
        """Return and clear the requests to send."""
        requests, self._requests = self._requests, []
        return requests

    def on_answer(
        self, request: AdviceRequest, tickets: tuple[Ticket, ...], valid_until: float
    ) -> None:
        """Store the tickets of the workers that may run the step."""
        step_tickets = self._by_step.get(request.step)
        if step_tickets is None:
            return
        step_tickets.is_request_pending = False
        had_tickets = bool(step_tickets.ticket_by_worker)
        for ticket in tickets:
            step_tickets.ticket_by_worker[ticket.worker_id] = ticket.text
        # All tickets of a step expire together with the oldest.
        if not had_tickets:
            step_tickets.valid_until = valid_until

    def on_no_answer(self, request: AdviceRequest) -> None:
        """Allow the workers of a failed request to be requested again.

        That happens ``ADVICE_RETRY_S`` after the failed request at the earliest.
        """
        step_tickets = self._by_step.get(request.step)
        if step_tickets is not None:
            for worker_id in request.worker_ids:
                step_tickets.incarnation_by_worker.pop(worker_id, None)

    def ticket_of(self, task: TaskKey, view: WorkerView, now: float) -> str | None:
        """Return a valid ticket to start ``task`` on a worker, or None."""
        step_tickets = self._by_step.get(task.step_key)
        if step_tickets is None or now >= step_tickets.valid_until - TICKET_MARGIN_S:
            return None
        if (
            step_tickets.incarnation_by_worker.get(view.entry.worker_id)
            != view.incarnation_ms
        ):
            return None
        return step_tickets.ticket_by_worker.get(view.entry.worker_id)

    def drop_ticket(self, task: TaskKey, worker_id: str) -> None:
        """Drop a ticket that a worker rejected."""
        step_tickets = self._by_step.get(task.step_key)
        if step_tickets is not None:
            step_tickets.ticket_by_worker.pop(worker_id, None)
            step_tickets.incarnation_by_worker.pop(worker_id, None)

    def forget(self, submission_id: str) -> None:
        """Drop the tickets of a submission that has ended."""
        for step in [step for step in self._by_step if step[0] == submission_id]:
            del self._by_step[step]

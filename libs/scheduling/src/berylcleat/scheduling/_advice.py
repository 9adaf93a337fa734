"""Tickets of queues whose policy allows only some workers to run a step.

Only the platform's advice service knows which. A ticket holds for all tasks of the
step, for one life of the worker and for a time.
"""

from dataclasses import dataclass, field

from berylcleat.model import StepKey, TaskKey
from berylcleat.ports import AdviceRequest, Ticket

from ._submissions import ReadyStep
from ._workers import WorkerView

# Workers that one call names at most: each adds to the time of the answer.
MAX_WORKERS_PER_REQUEST = 30
# A call without an answer is repeated after this pause, in seconds.
ADVICE_RETRY_S = 1.0
# Kept back from a ticket's time for the way of the start, in seconds.
TICKET_MARGIN_S = 0.3


@dataclass(slots=True)
class _StepTickets:
    asked_at: float = float("-inf")
    is_request_pending: bool = False
    incarnation_by_worker: dict[str, int] = field(default_factory=dict)
    ticket_by_worker: dict[str, str] = field(default_factory=dict)
    valid_until: float = float("-inf")


class TicketCache:
    """Hold the tickets of a cell's steps, and what is still to be asked."""

    def __init__(self):
        self._by_step: dict[StepKey, _StepTickets] = {}
        self._requests: list[AdviceRequest] = []

    def request_tickets(
        self, ready: ReadyStep, views: list[WorkerView], now: float
    ) -> None:
        """Ask for the emptiest workers that haven't been asked for yet."""
        known = self._by_step.setdefault(ready.task(0).step_key, _StepTickets())
        if known.is_request_pending and now - known.asked_at < ADVICE_RETRY_S:
            return
        if now >= known.valid_until:
            known.incarnation_by_worker.clear()
            known.ticket_by_worker.clear()
        fresh = [
            view
            for view in views
            if known.incarnation_by_worker.get(view.entry.worker_id)
            != view.incarnation_ms
            and ready.step.room.fits_in(view.free())
        ]
        if not fresh:
            return
        fresh.sort(key=lambda view: -view.cpu_left())
        chosen = fresh[:MAX_WORKERS_PER_REQUEST]
        for view in chosen:
            known.incarnation_by_worker[view.entry.worker_id] = view.incarnation_ms
        known.asked_at = now
        known.is_request_pending = True
        worker_ids = tuple(view.entry.worker_id for view in chosen)
        self._requests.append(AdviceRequest(ready.task(0).step_key, worker_ids))

    def take_requests(self) -> list[AdviceRequest]:
        """Return what is to be asked now."""
        requests, self._requests = self._requests, []
        return requests

    def on_answer(
        self, request: AdviceRequest, tickets: tuple[Ticket, ...], valid_until: float
    ) -> None:
        """Take in the tickets for the workers that may run the step."""
        known = self._by_step.get(request.step)
        if known is None:
            return
        known.is_request_pending = False
        had_some = bool(known.ticket_by_worker)
        for ticket in tickets:
            known.ticket_by_worker[ticket.worker_id] = ticket.text
        # The oldest ticket decides for all.
        if not had_some:
            known.valid_until = valid_until

    def on_no_answer(self, request: AdviceRequest) -> None:
        """Let the workers of a failed call be asked for again after a pause."""
        known = self._by_step.get(request.step)
        if known is not None:
            for worker_id in request.worker_ids:
                known.incarnation_by_worker.pop(worker_id, None)

    def ticket_of(self, task: TaskKey, view: WorkerView, now: float) -> str | None:
        """Return the ticket that lets ``task`` start on a worker, or None."""
        known = self._by_step.get(task.step_key)
        if known is None or now >= known.valid_until - TICKET_MARGIN_S:
            return None
        if known.incarnation_by_worker.get(view.entry.worker_id) != view.incarnation_ms:
            return None
        return known.ticket_by_worker.get(view.entry.worker_id)

    def drop_ticket(self, task: TaskKey, worker_id: str) -> None:
        """Forget a ticket that a worker didn't take."""
        known = self._by_step.get(task.step_key)
        if known is not None:
            known.ticket_by_worker.pop(worker_id, None)
            known.incarnation_by_worker.pop(worker_id, None)

    def forget(self, submission_id: str) -> None:
        """Drop the tickets of a submission that is over."""
        for step in [step for step in self._by_step if step[0] == submission_id]:
            del self._by_step[step]

"""Send a cell's orders to its workers, and its questions to the advice service."""

import logging
from collections.abc import Callable, Mapping

from berylcleat.model import PlatformUnavailableError
from berylcleat.ports import (
    AdviceRequest,
    Advisor,
    OrderAnswer,
    OrderResult,
    PaceOrder,
    StartOrder,
    StopOrder,
    WorkerPort,
)
from berylcleat.scheduling import CellScheduler, WorkerOrder

from ._clock import now_s

# Seconds without a report, and between the permission and the write of a start, from
# which on an accepted start is logged: a worker reports about once a second.
UNUSUAL_REPORT_AGE_S = 1.5
UNUSUAL_PERMISSION_AGE_S = 0.05
logger = logging.getLogger(__name__)


class OrderSender:
    """Sender of orders that passes the answers to the scheduler.

    ``on_change`` is called when a new planning round is needed, ``may_act`` tells
    whether the ownership was confirmed lately and has not ended.
    """

    def __init__(
        self,
        scheduler: CellScheduler,
        client_by_worker: Mapping[str, WorkerPort],
        advisor: Advisor | None,
        on_change: Callable[[], None],
        may_act: Callable[[], bool],
    ):
        self._scheduler = scheduler
        self._client_by_worker = client_by_worker
        self._advisor = advisor
        self._on_change = on_change
        self._may_act = may_act

    async def send(self, worker_order: WorkerOrder) -> None:
        """Send one order and apply its answer."""
        worker_id, order = worker_order.worker_id, worker_order.order
        client = self._client_by_worker.get(worker_id)
        if client is None:
            logger.warning("order dropped: no client for worker %s", worker_id)
            return
        if isinstance(order, StartOrder):
            answer = await self._send_start(client, worker_order, order)
            self._scheduler.on_start_answer(worker_id, order, answer, now_s())
        elif isinstance(order, StopOrder):
            answer = await client.stop(order)
            self._scheduler.on_stop_answer(worker_id, order, answer, now_s())
        elif isinstance(order, PaceOrder):
            answer = await client.pace(order)
            self._scheduler.on_pace_answer(order, answer)
        if answer.result is not OrderResult.ACCEPTED:
            self._on_change()

    async def _send_start(
        self, client: WorkerPort, worker_order: WorkerOrder, order: StartOrder
    ) -> OrderAnswer:
        worker_id = worker_order.worker_id
        report_age_s = 0.0

        def may_send() -> bool:
            nonlocal report_age_s
            report_age_s = self._scheduler.report_age_s(worker_id, now_s())
            return self._may_send_start(order)

        answer = await client.start(order, may_send)
        _log_start(worker_order, answer, report_age_s)
        return answer

    def _may_send_start(self, order: StartOrder) -> bool:
        # The order may have waited for a connection.
        return self._may_act() and self._scheduler.may_send_start(order, now_s())

    async def request_advice(self, request: AdviceRequest) -> None:
        """Ask the advice service which workers may run a step, and apply the answer."""
        tracked = self._scheduler.submissions.by_id.get(request.step.submission_id)
        if self._advisor is None or tracked is None:
            logger.error(
                "step %s: advice required but no advice service is configured",
                request.step,
            )
            return
        policy = tracked.submission.queue.advice
        expected_s = policy.decide_s + policy.per_worker_s * len(request.worker_ids)
        requested_at = now_s()
        try:
            tickets = await self._advisor.advise(request, expected_s)
        except PlatformUnavailableError as error:
            logger.warning("step %s: advice request failed: %s", request.step, error)
            self._scheduler.advice.on_no_answer(request)
            return
        logger.info(
            "advice: step %s may run on %d of %d workers, answered in %.2f s",
            request.step,
            len(tickets),
            len(request.worker_ids),
            now_s() - requested_at,
        )
        self._scheduler.advice.on_answer(
            request, tickets, requested_at + policy.valid_s
        )
        self._on_change()


def _log_start(
    worker_order: WorkerOrder, answer: OrderAnswer, report_age_s: float
) -> None:
    """Log a start that wasn't accepted, or that was sent on old knowledge.

    ``report_age_s`` is the age of the worker's last report when it was permitted.
    """
    sent = answer.transmission
    is_accepted = answer.result is OrderResult.ACCEPTED
    if is_accepted and (
        sent is None
        or (
            report_age_s < UNUSUAL_REPORT_AGE_S
            and sent.permission_age_s < UNUSUAL_PERMISSION_AGE_S
        )
    ):
        return
    logger.info(
        "start %s: task %s run %d on %s: %s%s",
        "sent late" if is_accepted else "refused",
        worker_order.order.task,
        worker_order.order.run,
        worker_order.worker_id,
        answer.result.value,
        ""
        if sent is None
        else f", waited {sent.waited_s:.3f} s, permitted {sent.permission_age_s:.3f} s "
        f"before the write, last report {report_age_s:.3f} s before that, "
        f"new connection: {sent.is_new_connection}",
    )

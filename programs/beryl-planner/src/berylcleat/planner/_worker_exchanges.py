"""Exchanges with the workers of owned cells.

One exchange carries lease renewal, starts, stops, throttles and acknowledgements.
"""

import asyncio
import heapq
from collections.abc import Callable

from berylcleat.http import ExchangeError
from berylcleat.ownership import (
    Assign,
    TaskDirectives,
    apply_reply,
    is_fenced_out,
    make_exchange,
)
from berylcleat.ports import ExchangeReply, WorkerControl

from . import _metrics
from ._cell_ownership import CellOwnership
from ._cell_runtime import CellRuntime
from ._decision_log import DecisionLog

EXPECTED_END_MARGIN_S = 0.1
MIN_EXCHANGE_INTERVAL_S = 0.25


class WorkerExchanges:
    """Exchanges with workers, at most one in flight per worker.

    ``mark_dirty`` is called with a cell when a worker's reply requires a decision.
    """

    def __init__(
        self,
        ownership: CellOwnership,
        workers: WorkerControl,
        log: DecisionLog,
        period_s: float,
        mark_dirty: Callable[[CellRuntime], None],
    ):
        self._ownership = ownership
        self._workers = workers
        self._log = log
        self._period_s = period_s
        self._mark_dirty = mark_dirty
        self._in_flight: set[asyncio.Task] = set()

    def expect_end(self, cell: CellRuntime, assign: Assign, now: float) -> None:
        """Schedule an exchange for the time at which the task is expected to end."""
        task = cell.owned.cell.task_by_id[assign.task_id]
        run_s = cell.owned.cell.job_by_id[task.job_id].run_s - task.progress_s
        ends = cell.expected_ends_at.setdefault(assign.worker_id, [])
        heapq.heappush(ends, now + max(run_s, 0.0) + EXPECTED_END_MARGIN_S)

    def _next_exchange_at(self, cell: CellRuntime, worker_id: str, now: float) -> float:
        """Return the time of the next exchange.

        It is one period from now. A task end expected before that brings it forward, to
        ``MIN_EXCHANGE_INTERVAL_S`` from now at the earliest.
        """
        due_at = now + self._period_s
        ends = cell.expected_ends_at.get(worker_id, [])
        while ends and ends[0] <= now:
            heapq.heappop(ends)
        return (
            min(due_at, max(ends[0], now + MIN_EXCHANGE_INTERVAL_S)) if ends else due_at
        )

    def send_due(self) -> None:
        """Start the exchanges that are due; this does not depend on the table."""
        now = asyncio.get_running_loop().time()
        if not self._ownership.may_renew(now):
            return
        for cell in self._ownership.cell_by_id.values():
            for worker_id in cell.owned.worker_by_id:
                if (
                    worker_id in cell.workers_in_exchange
                    or cell.exchange_due_at.get(worker_id, 0.0) > now
                ):
                    continue
                if cell.owned.worker_by_id[worker_id].is_gone:
                    continue
                cell.workers_in_exchange.add(worker_id)
                task = asyncio.create_task(self._exchange(cell, worker_id))
                self._in_flight.add(task)
                task.add_done_callback(self._in_flight.discard)

    async def _exchange(self, cell: CellRuntime, worker_id: str) -> None:
        """Send one request to a worker and process its reply."""
        loop = asyncio.get_running_loop()
        spec = cell.spec_by_worker[worker_id]
        try:
            cell.exchange_due_at[worker_id] = self._next_exchange_at(
                cell, worker_id, loop.time()
            )
            cell.owned, request = make_exchange(
                cell.owned, worker_id, _task_directives(cell)
            )
            reply = await self._workers.exchange(spec.control_address, request)
        except ExchangeError as error:
            _metrics.EXCHANGES.labels(error.failure.value).inc()
            self._log.record(
                (f"worker/{worker_id}",), "does not answer", error.failure.value
            )
            return
        finally:
            cell.workers_in_exchange.discard(worker_id)
        if self._ownership.cell_by_id.get(cell.row.cell_id) is not cell:
            return
        _metrics.EXCHANGES.labels("answered" if reply.accepted else "refused").inc()
        if is_fenced_out(cell.owned, reply):
            self._ownership.drop_cell(cell.row.cell_id)
            return
        self._handle_reply(cell, worker_id, reply, loop.time())

    def _handle_reply(
        self, cell: CellRuntime, worker_id: str, reply: ExchangeReply, now: float
    ) -> None:
        previous = cell.owned.worker_by_id[worker_id].reply
        cell.owned = apply_reply(cell.owned, reply, now)
        is_new_incarnation = (
            previous is None or previous.incarnation != reply.incarnation
        )
        if _needs_decision(cell, worker_id, reply):
            cell.has_new_report = True
            self._mark_dirty(cell)
        if (
            reply.ended
            or reply.refused
            or is_new_incarnation
            or cell.owned.cell.cancelled
        ):
            self._mark_dirty(cell)
        if is_new_incarnation:
            cell.exchange_due_at[worker_id] = now

    async def drain(self) -> None:
        """Wait up to 2 s for exchanges in flight."""
        if self._in_flight:
            await asyncio.wait(self._in_flight, timeout=2.0)


def _needs_decision(cell: CellRuntime, worker_id: str, reply: ExchangeReply) -> bool:
    """Return whether the policy must see this report even if no task is queued."""
    if reply.service_slowdown > 1.0:
        return True
    return not cell.throttled.isdisjoint(cell.owned.cell.assigned_to(worker_id))


def _task_directives(cell: CellRuntime) -> TaskDirectives:
    return TaskDirectives(
        frozenset(cell.evictions), frozenset(cell.throttled), cell.trace_by_task
    )

"""Talk to the workers of owned cells: one exchange carries all."""

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
from ._cell_runtime import CellRuntime
from ._decision_log import DecisionLog
from ._ownership_keeper import OwnershipKeeper

END_MARGIN_S = 0.1
MIN_PAUSE_S = 0.25


class Exchanges:
    """Keep at most one exchange under way with each worker.

    ``mark`` is called with a cell whose reply calls for a decision.
    """

    def __init__(
        self,
        keeper: OwnershipKeeper,
        workers: WorkerControl,
        log: DecisionLog,
        period_s: float,
        mark: Callable[[CellRuntime], None],
    ):
        self._keeper = keeper
        self._workers = workers
        self._log = log
        self._period_s = period_s
        self._mark = mark
        self._under_way: set[asyncio.Task] = set()

    def expect_end(self, cell: CellRuntime, assign: Assign, now: float) -> None:
        """Plan an exchange for when the task should have ended."""
        task = cell.owned.cell.task_by_id[assign.task_id]
        run_s = cell.owned.cell.job_by_id[task.job_id].run_s - task.progress_s
        ends = cell.ends_at.setdefault(assign.worker_id, [])
        heapq.heappush(ends, now + max(run_s, 0.0) + END_MARGIN_S)

    def _next_due(self, cell: CellRuntime, worker_id: str, now: float) -> float:
        """Return when to talk to a worker next: a period on, or an expected end."""
        due_at = now + self._period_s
        ends = cell.ends_at.get(worker_id, [])
        while ends and ends[0] <= now:
            heapq.heappop(ends)
        return min(due_at, max(ends[0], now + MIN_PAUSE_S)) if ends else due_at

    def send_due(self) -> None:
        """Talk to the workers that are due, whether or not the table answers."""
        now = asyncio.get_running_loop().time()
        if not self._keeper.may_act(now):
            return
        for cell in self._keeper.cell_by_id.values():
            for worker_id in cell.owned.worker_by_id:
                if (
                    worker_id in cell.busy_workers
                    or cell.due_at.get(worker_id, 0.0) > now
                ):
                    continue
                if cell.owned.worker_by_id[worker_id].is_gone:
                    continue
                cell.busy_workers.add(worker_id)
                task = asyncio.create_task(self._exchange(cell, worker_id))
                self._under_way.add(task)
                task.add_done_callback(self._under_way.discard)

    async def _exchange(self, cell: CellRuntime, worker_id: str) -> None:
        """Send one request to a worker and note its reply."""
        loop = asyncio.get_running_loop()
        spec = cell.spec_by_worker[worker_id]
        try:
            cell.due_at[worker_id] = self._next_due(cell, worker_id, loop.time())
            cell.owned, request = make_exchange(
                cell.owned, worker_id, _task_directives(cell)
            )
            reply = await self._workers.exchange(spec.control_address, request)
        except ExchangeError as error:
            _metrics.EXCHANGES.labels(error.failure.value).inc()
            self._log.note(
                (f"worker/{worker_id}",), "does not answer", error.failure.value
            )
            return
        finally:
            cell.busy_workers.discard(worker_id)
        if self._keeper.cell_by_id.get(cell.row.cell_id) is not cell:
            return
        _metrics.EXCHANGES.labels("answered" if reply.accepted else "refused").inc()
        if is_fenced_out(cell.owned, reply):
            self._keeper.drop(cell.row.cell_id)
            return
        self._note_reply(cell, worker_id, reply, loop.time())

    def _note_reply(
        self, cell: CellRuntime, worker_id: str, reply: ExchangeReply, now: float
    ) -> None:
        before = cell.owned.worker_by_id[worker_id].reply
        cell.owned = apply_reply(cell.owned, reply, now)
        is_new = before is None or before.incarnation != reply.incarnation
        if _has_tension(cell, worker_id, reply):
            cell.has_new_report = True
            self._mark(cell)
        if reply.ended or reply.refused or is_new or cell.owned.cell.cancelled:
            self._mark(cell)
        if is_new:
            cell.due_at[worker_id] = now

    async def drain(self) -> None:
        """Wait for exchanges under way."""
        if self._under_way:
            await asyncio.wait(self._under_way, timeout=2.0)


def _has_tension(cell: CellRuntime, worker_id: str, reply: ExchangeReply) -> bool:
    """Tell whether the policy should see this report though nothing waits."""
    if reply.service_slowdown > 1.0:
        return True
    return not cell.throttled.isdisjoint(cell.owned.cell.assigned_to(worker_id))


def _task_directives(cell: CellRuntime) -> TaskDirectives:
    return TaskDirectives(
        frozenset(cell.evictions), frozenset(cell.throttled), cell.trace_by_task
    )

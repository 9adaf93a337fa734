"""Renew the leases on a cell's workers and process what they report."""

import asyncio
import logging
from collections.abc import Callable

from berylcleat.platform import WorkerClient
from berylcleat.ports import HoldOrder, OrderResult, WorkerEntry
from berylcleat.runtime import report_failure
from berylcleat.scheduling import CellScheduler, WorkerView

from ._clock import now_s
from ._probe_log import ProbeLog

# Long-poll timeout of a hold request: a worker answers it when a task ends or after
# this time, so this also bounds the time between two lease renewals.
HOLD_TIMEOUT_MS = 1000
# The same while leases are short for want of a confirmation: once that has come, they
# must be renewed before they end.
CAPPED_HOLD_TIMEOUT_MS = 250
HOLD_RETRY_S = 0.25
# While reported ends aren't recorded yet, the next hold request is delayed by up to 1.5
# times this value: a worker answers at once while it lists unacknowledged ends.
ACK_WAIT_S = 0.1
logger = logging.getLogger(__name__)


class HoldLoops:
    """A loop for each worker of one cell, with one hold request at a time.

    ``may_act`` tells whether the ownership has not ended, ``is_confirmed`` whether it
    was confirmed lately. ``on_report`` is called after the scheduler has changed,
    ``on_forgotten`` after a worker has been removed from it.
    """

    def __init__(
        self,
        scheduler: CellScheduler,
        may_act: Callable[[], bool],
        is_confirmed: Callable[[], bool],
        on_report: Callable[[], None],
        on_forgotten: Callable[[], None],
    ):
        self.client_by_worker: dict[str, WorkerClient] = {}
        self._scheduler = scheduler
        self._may_act = may_act
        self._is_confirmed = is_confirmed
        self._on_report = on_report
        self._on_forgotten = on_forgotten
        self._task_by_worker: dict[str, asyncio.Task] = {}
        self._entry_by_worker: dict[str, WorkerEntry] = {}
        self._probe_log = ProbeLog()

    def connect(self, entry: WorkerEntry) -> None:
        """Start the loop of a worker unless it has one to the same address.

        A later incarnation may have another address: the earlier one has ended.
        """
        worker_id = entry.worker_id
        known = self._entry_by_worker.get(worker_id)
        if known is not None:
            if not _has_moved(known, entry):
                return
            logger.info(
                "worker %s: listed at %s instead of %s, connecting anew",
                worker_id,
                entry.address,
                known.address,
            )
            self._disconnect(worker_id)
        self._entry_by_worker[worker_id] = entry
        client = WorkerClient(worker_id, entry.address)
        self.client_by_worker[worker_id] = client
        loop = asyncio.get_running_loop()
        self._task_by_worker[worker_id] = loop.create_task(self._run(worker_id, client))

    def tasks(self) -> list[asyncio.Task]:
        """Return the tasks of all loops."""
        return list(self._task_by_worker.values())

    def close(self) -> None:
        """Close the connections to all workers; cancel the loops before."""
        for client in self.client_by_worker.values():
            client.close()

    async def _run(self, worker_id: str, client: WorkerClient) -> None:
        """Renew the worker's lease and process its reports, one hold at a time.

        After an unexpected exception, as after a failed hold, no lease is renewed and
        no task starts on the worker until it has reported again.
        """
        result: OrderResult | None = None
        while self._may_act():
            if not self._is_confirmed():
                await asyncio.sleep(HOLD_RETRY_S)
                continue
            # After a failed hold the next one renews no lease: retries must not extend
            # the lease of a worker that doesn't answer.
            must_probe = result is not OrderResult.ACCEPTED
            try:
                result = await self._hold(worker_id, client, must_probe)
            except Exception as error:
                report_failure("HoldLoops._run", error, f"worker {worker_id}")
                result = OrderResult.NO_ANSWER
                self._scheduler.on_hold_failed(worker_id, now_s())
            if result is OrderResult.FENCED:
                return
            if result in (OrderResult.ACCEPTED, OrderResult.NOT_CONNECTED):
                continue
            if self._scheduler.can_forget(worker_id):
                break
            await asyncio.sleep(HOLD_RETRY_S)
        # After ownership has ended the scheduler keeps its workers: the recorded worker
        # list must still name them for the next owner.
        if self._may_act():
            self._forget(worker_id)

    async def _hold(
        self, worker_id: str, client: WorkerClient, must_probe: bool
    ) -> OrderResult:
        """Send one hold and pass its answer to the scheduler."""
        view = self._scheduler.worker_by_id[worker_id]
        requested_at = now_s()
        answer = await client.hold(self._hold_order(view, must_probe, requested_at))
        if answer.result is OrderResult.ACCEPTED:
            is_applied = self._scheduler.on_report(
                worker_id, answer.report, requested_at, now_s()
            )
            if not is_applied:
                # Another incarnation: the leases of the known one must expire.
                self._scheduler.on_hold_failed(worker_id, now_s())
                return OrderResult.REJECTED
            self._on_report()
            await self._wait_for_recording(view)
        elif answer.result is OrderResult.FENCED:
            self._scheduler.on_fenced(worker_id)
        else:
            self._scheduler.on_hold_failed(worker_id, now_s())
            self._probe_log.on_failure(self._scheduler, worker_id, answer, now_s())
            if answer.result is OrderResult.OTHER_INCARNATION:
                self._scheduler.on_other_incarnation(worker_id, now_s())
                self._on_report()
        return answer.result

    def _hold_order(self, view: WorkerView, must_probe: bool, now: float) -> HoldOrder:
        """Return a hold order; a probe renews no lease and is answered at once.

        A worker that hasn't answered under this epoch yet is only probed.
        """
        epoch = self._scheduler.epoch
        if must_probe or not view.has_seen_epoch:
            return HoldOrder(epoch, 0, None, 0)
        until_ms = self._scheduler.lease_until_ms(view, now)
        is_capped = self._scheduler.are_leases_capped(now)
        timeout_ms = CAPPED_HOLD_TIMEOUT_MS if is_capped else HOLD_TIMEOUT_MS
        return HoldOrder(epoch, view.acked_number, until_ms, timeout_ms)

    async def _wait_for_recording(self, view: WorkerView) -> None:
        """Wait for a limited time until the worker's reported ends are recorded."""
        for _ in range(3):
            if view.acked_number >= view.handled_number:
                return
            await asyncio.sleep(ACK_WAIT_S / 2)

    def _disconnect(self, worker_id: str) -> None:
        """End the loop of a worker; a hold under way renews no lease of another one."""
        self._task_by_worker.pop(worker_id).cancel()
        self._drop_client(worker_id)

    def _drop_client(self, worker_id: str) -> None:
        self.client_by_worker.pop(worker_id).close()
        del self._entry_by_worker[worker_id]

    def _forget(self, worker_id: str) -> None:
        self._drop_client(worker_id)
        del self._task_by_worker[worker_id]
        self._scheduler.worker_by_id.pop(worker_id, None)
        self._on_forgotten()


def _has_moved(known: WorkerEntry, entry: WorkerEntry) -> bool:
    """Return whether an entry is of a later incarnation at another address."""
    is_later = entry.started_at_ms > known.started_at_ms
    return is_later and entry.address != known.address

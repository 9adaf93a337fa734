"""Limits on the leases of draining workers, recorded for the next owner of a cell."""

from collections.abc import Iterable

from ._leases import LeaseTimes
from ._workers import MAX_ORDER_DELAY_S, WorkerView

# A limit is raised before it is within this many milliseconds of the lease to request:
# a write, and the hold before it, take less.
LIMIT_MARGIN_MS = 1500


class DrainLimits:
    """Times on the clocks of draining workers beyond which no lease is requested.

    The record of a cell's workers tells the next owner how long leases may last. A
    limit takes effect before it is written, and is raised only after a write with a
    later one.
    """

    def __init__(self, times: LeaseTimes):
        self._times = times
        self._limit_ms_by_worker: dict[str, int] = {}
        self._proposed_ms_by_worker: dict[str, int] = {}

    def on_inherited(self, worker_id: str) -> None:
        """Grant nothing before this owner has recorded a limit of its own.

        Until then the owner after it relies on the limit of the earlier one.
        """
        self._limit_ms_by_worker[worker_id] = 0

    def propose(self, views: Iterable[WorkerView], now: float) -> dict[str, int]:
        """Return the limits to record, by worker; they take effect."""
        self._proposed_ms_by_worker = {
            view.entry.worker_id: self._next_limit_ms(view, now)
            for view in views
            if view.entry.is_draining and _has_known_orders(view, now)
        }
        for worker_id, proposed_ms in self._proposed_ms_by_worker.items():
            limit_ms = self._limit_ms_by_worker.get(worker_id, proposed_ms)
            self._limit_ms_by_worker[worker_id] = min(limit_ms, proposed_ms)
        return self._proposed_ms_by_worker

    def on_recorded(self) -> None:
        """Replace the limits in effect by those that are now recorded."""
        self._limit_ms_by_worker = self._proposed_ms_by_worker

    def on_incarnation_ended(self, worker_id: str) -> bool:
        """Grant nothing by a new clock that isn't recorded; return whether limited."""
        if worker_id not in self._limit_ms_by_worker:
            return False
        self._limit_ms_by_worker[worker_id] = 0
        if worker_id in self._proposed_ms_by_worker:
            self._proposed_ms_by_worker[worker_id] = 0
        return True

    def cap(self, worker_id: str, until_ms: int) -> int:
        """Return the lease end to request instead of ``until_ms``."""
        return min(until_ms, self._limit_ms_by_worker.get(worker_id, until_ms))

    def must_raise(self, view: WorkerView, now: float) -> bool:
        """Return whether a later limit has to be recorded for the next leases."""
        if not view.entry.is_draining or not view.run_by_task:
            return False
        if not _has_known_orders(view, now):
            return False
        limit_ms = self._limit_ms_by_worker.get(view.entry.worker_id, 0)
        lease_ms = int(self._times.lease_s(is_draining=True) * 1000)
        return view.clock.earliest_ms(now) + lease_ms + LIMIT_MARGIN_MS > limit_ms

    def _next_limit_ms(self, view: WorkerView, now: float) -> int:
        if not view.incarnation_ms:
            return 0
        return view.clock.earliest_ms(now) + int(self._times.recorded_lease_s * 1000)


def _has_known_orders(view: WorkerView, now: float) -> bool:
    """Return whether no start may still be carried out, by whichever incarnation."""
    all_reported = all(run.was_reported for run in view.run_by_task.values())
    return all_reported and now - view.unanswered_start_at > MAX_ORDER_DELAY_S

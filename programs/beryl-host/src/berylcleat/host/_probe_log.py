"""Log lines and a metric of why holds and probes of workers fail."""

import logging
from collections import deque
from collections.abc import Set
from dataclasses import dataclass

from prometheus_client import Counter

from berylcleat.ports import OrderAnswer, OrderResult
from berylcleat.scheduling import CellScheduler

# Maximum lines of one cell within a second; a failure that is left out is logged with
# the next one of its worker.
MAX_LINES = 20
LINES_PERIOD_S = 1.0
_failure_counter = Counter(
    "beryl_host_hold_failures", "Failed holds and probes of workers by kind", ("kind",)
)
logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class _LoggedFailure:
    """Kind of a worker's last logged failure, and since when it hasn't reported."""

    kind: str
    failed_since: float | None


class ProbeLog:
    """Writer of a line when a worker of one cell fails, or fails in another way."""

    def __init__(self):
        self._logged_by_worker: dict[str, _LoggedFailure] = {}
        self._logged_at: deque[float] = deque(maxlen=MAX_LINES)

    def on_failure(
        self, scheduler: CellScheduler, worker_id: str, answer: OrderAnswer, now: float
    ) -> None:
        """Count a failed hold; log it if it is the worker's first or of a new kind.

        A renewal that wasn't sent for lack of a connection isn't one: a probe follows.
        """
        if answer.result is OrderResult.NOT_CONNECTED:
            return
        kind = (answer.failure or answer.result).value
        _failure_counter.labels(kind).inc()
        view = scheduler.worker_by_id[worker_id]
        failure = _LoggedFailure(kind, view.hold_failed_at)
        if failure == self._logged_by_worker.get(worker_id) or not self._may_log(now):
            return
        self._forget_all_but(scheduler.worker_by_id.keys())
        self._logged_by_worker[worker_id] = failure
        logger.info(
            "worker %s: hold failed: %s, %s, %s, %d runs, last report %.2f s ago, "
            "leases end in %.2f s",
            worker_id,
            kind,
            "listed" if view.is_listed else "not listed",
            "draining" if view.entry.is_draining else "not draining",
            len(view.run_by_task),
            now - view.clock.answered_at,
            view.leases_expire_at() - now,
        )

    def _may_log(self, now: float) -> bool:
        """Return whether a further line is within the limit; count it if so."""
        is_full = len(self._logged_at) == MAX_LINES
        if is_full and now - self._logged_at[0] < LINES_PERIOD_S:
            return False
        self._logged_at.append(now)
        return True

    def _forget_all_but(self, worker_ids: Set[str]) -> None:
        for worker_id in self._logged_by_worker.keys() - worker_ids:
            del self._logged_by_worker[worker_id]

"""Judge from the answers of the store whether this host reaches it."""

import itertools
import logging
from dataclasses import dataclass

from ._metrics import STORE_UNREACHABLE

# A call without an answer counts as overdue after so many times the usual time of a
# commit, within the bounds below.
OVERDUE_FACTOR = 4.0
MIN_OVERDUE_S = 0.1
MAX_OVERDUE_S = 1.0
# Weight of the newest commit in the usual time.
COMMIT_WEIGHT = 0.2
# Calls that fail fast, one after the other: a single rejection may be due to the limits
# that all hosts share.
MAX_FAST_FAILURES = 2
logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class _PendingCall:
    """Call without an answer; the store may take until ``due_at`` by request."""

    started_at: float
    due_at: float


class StoreReachability:
    """Judgement of whether the store answers this host.

    It counts as unreachable while a call is overdue, or has failed so, and no other
    call was answered since that call was sent; or after several failures in a row.
    """

    def __init__(self):
        self._numbers = itertools.count()
        self._pending_by_number: dict[int, _PendingCall] = {}
        self._answered_at = float("-inf")
        self._n_failures = 0
        self._is_silent = False
        self._commit_s = 0.0
        self._was_reachable = True

    def on_call(self, now: float, wait_s: float = 0.0) -> int:
        """Note a call whose answer may be held for ``wait_s``; return its number."""
        number = next(self._numbers)
        self._pending_by_number[number] = _PendingCall(now, now + wait_s)
        return number

    def on_answer(self, number: int, now: float, *, is_commit: bool = False) -> None:
        """Note the answer to a call."""
        call = self._pending_by_number.pop(number)
        if is_commit:
            elapsed_s = now - call.started_at
            self._commit_s += COMMIT_WEIGHT * (elapsed_s - self._commit_s)
        self._answered_at = now
        self._n_failures = 0
        self._is_silent = False

    def on_failure(self, number: int, now: float) -> None:
        """Note a call that was rejected, lost or given up without an answer."""
        call = self._pending_by_number.pop(number)
        self._n_failures += 1
        if self._is_overdue(call, now):
            self._is_silent = True

    def on_cancelled(self, number: int) -> None:
        """Forget a call whose answer is no longer awaited."""
        self._pending_by_number.pop(number)

    def overdue_s(self) -> float:
        """Return how long a call may take before it counts as overdue."""
        return min(max(MIN_OVERDUE_S, OVERDUE_FACTOR * self._commit_s), MAX_OVERDUE_S)

    def has_just_failed(self) -> bool:
        """Return whether the last call that ended has failed."""
        return self._n_failures > 0

    def is_reachable(self, now: float) -> bool:
        """Return whether the store is believed to answer this host."""
        is_reachable = not (
            self._is_silent
            or self._n_failures >= MAX_FAST_FAILURES
            or any(self._is_overdue(c, now) for c in self._pending_by_number.values())
        )
        if is_reachable != self._was_reachable:
            logger.info("store: %s", "reachable" if is_reachable else "unreachable")
            STORE_UNREACHABLE.set(not is_reachable)
            self._was_reachable = is_reachable
        return is_reachable

    def _is_overdue(self, call: _PendingCall, now: float) -> bool:
        is_late = now - call.due_at > self.overdue_s()
        return is_late and self._answered_at < call.started_at

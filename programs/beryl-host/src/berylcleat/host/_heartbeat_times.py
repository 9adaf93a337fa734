"""Times of this host's heartbeats that the store has acknowledged."""

from bisect import bisect_right
from collections import deque

# Heartbeats that are kept: those of the last 16 s or more.
MAX_KEPT = 64


class HeartbeatTimes:
    """When the last heartbeats were sent and acknowledged, the oldest first."""

    def __init__(self):
        self._sent_at: deque[float] = deque(maxlen=MAX_KEPT)
        self._acked_at: deque[float] = deque(maxlen=MAX_KEPT)

    @property
    def last_acked_at(self) -> float:
        """When the last heartbeat was acknowledged; minus infinity before the first."""
        return self._acked_at[-1] if self._acked_at else float("-inf")

    def add(self, sent_at: float, acked_at: float) -> None:
        """Take note of a heartbeat that the store has acknowledged."""
        self._sent_at.append(sent_at)
        self._acked_at.append(acked_at)

    def last_before(self, at: float) -> float:
        """Return when the last heartbeat was sent that was acknowledged by ``at``.

        Minus infinity if none is known.
        """
        n_acked = bisect_right(self._acked_at, at)
        return self._sent_at[n_acked - 1] if n_acked else float("-inf")

"""Times by which the store had reached its versions."""

from bisect import bisect_left

# Observations are kept for as long as a recorded lease may matter, in seconds.
MAX_AGE_S = 30.0


class VersionTimes:
    """Newest versions of the store, each with the time when an answer told it.

    One counter numbers all writes, so a row was written before any answer that tells
    its version or a later one.
    """

    def __init__(self):
        self._versions: list[int] = []
        self._observed_at: list[float] = []

    def observe(self, version: int, now: float) -> None:
        """Take note that the store had reached ``version`` by ``now``."""
        if self._versions and version <= self._versions[-1]:
            return
        self._versions.append(version)
        self._observed_at.append(now)
        n_old = bisect_left(self._observed_at, now - MAX_AGE_S)
        del self._versions[:n_old]
        del self._observed_at[:n_old]

    def written_by(self, version: int, now: float) -> float:
        """Return a time, at most ``now``, by which ``version`` had been written."""
        first = bisect_left(self._versions, version)
        is_observed = first < len(self._versions)
        return self._observed_at[first] if is_observed else now

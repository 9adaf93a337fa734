"""Bounds on the expiry of worker leases, computed from the owner's clock.

A worker grants leases and measures them on its own clock (Gray and Cheriton, SOSP
1989).
"""

from dataclasses import dataclass

# Relative amount by which a worker's clock may run slower than the owner's.
CLOCK_DRIFT = 0.02
# Milliseconds that a worker may take to stop its runs once a lease has expired: as long
# as for any other stop.
RUN_STOP_MS = 400
# Seconds after its last confirmation for which runs of an owner last that doesn't tell
# its limit: hosts of versions that didn't limit the leases themselves.
UNTOLD_LIMIT_S = 18.0
# Longest time for which runs of an earlier owner can outlive its last confirmation.
MAX_UNSETTLED_S = UNTOLD_LIMIT_S * (1 + 2 * CLOCK_DRIFT)


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Lease durations, in seconds.

    ``owner_limit_s`` bounds how long an owner sends orders, and its leases last, after
    the store last confirmed it: a next owner that can't ask it waits that long. It must
    exceed the store outages that running work should survive. ``max_lease_s`` is the
    longest lease that a worker grants. A draining worker gets ``draining_lease_s`` at
    most: one that has exited can't be told from one that is cut off, so its tasks wait
    for the end of its lease. The record of a cell's workers allows it leases for
    ``recorded_lease_s``.
    """

    worker_lease_s: float = 5.0
    max_lease_s: float = 6.0
    owner_limit_s: float = 9.0
    draining_lease_s: float = 2.0
    recorded_lease_s: float = 5.0

    def lease_s(self, is_draining: bool) -> float:
        """Return how long a lease to request lasts."""
        if is_draining:
            return min(self.worker_lease_s, self.draining_lease_s)
        return self.worker_lease_s

    def takeover_wait_s(self, owner_is_dead: bool) -> float:
        """Return how long runs of an earlier owner can outlive its last confirmation.

        If it has certainly stopped, its leases end that long after its stop.
        """
        return wait_for_limit_s(
            self.max_lease_s if owner_is_dead else self.owner_limit_s
        )


def wait_for_limit_s(limit_s: float) -> float:
    """Return how long a limit that another host's or a worker's clock measures lasts.

    The limit is 0 if it isn't told.
    """
    return (limit_s or UNTOLD_LIMIT_S) * (1 + 2 * CLOCK_DRIFT)


def latest_start(clock_ms: int, now: float) -> float:
    """Return the latest time at which a worker may have started.

    Its clock, which starts with it, had reached ``clock_ms`` by ``now``.
    """
    return now - clock_ms / 1000 / (1 + CLOCK_DRIFT)


@dataclass(slots=True)
class WorkerClock:
    """Bounds on a worker's monotonic clock, derived from its latest answer."""

    clock_ms: int = 0
    answered_at: float = 0.0
    lease_until_ms: int = 0

    def observe(self, clock_ms: int, now: float) -> None:
        """Store that the worker's clock had reached ``clock_ms`` by ``now``."""
        if clock_ms >= self.clock_ms:
            self.clock_ms = clock_ms
            self.answered_at = now

    def assume_longest_lease(self, now: float, max_lease_s: float) -> None:
        """Count the longest lease as granted at ``now`` by a clock not yet seen."""
        self.clock_ms = 0
        self.answered_at = now
        self.lease_until_ms = int(max_lease_s * 1000)

    def earliest_ms(self, now: float) -> int:
        """Return a lower bound of the worker's clock at ``now``."""
        elapsed_ms = (now - self.answered_at) * 1000 / (1 + CLOCK_DRIFT)
        return self.clock_ms + int(elapsed_ms)

    def extend_lease(self, until_ms: int) -> None:
        """Record that the worker may have granted a lease until ``until_ms``."""
        self.lease_until_ms = max(self.lease_until_ms, until_ms)

    def latest_reach_time(self, clock_ms: int) -> float:
        """Return the owner's time by which the worker's clock passes ``clock_ms``."""
        left_s = max(0, clock_ms - self.clock_ms) / 1000
        return self.answered_at + left_s * (1 + 2 * CLOCK_DRIFT)

    def all_leases_expire_at(self) -> float:
        """Return the owner's time by which every granted lease has expired."""
        return self.latest_reach_time(self.lease_until_ms)

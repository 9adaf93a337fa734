"""Load and health of one upstream, and this host's concurrency limit for it.

The limit follows additive increase and multiplicative decrease, with the upstream's
busy refusals as the congestion signal. Source: Jacobson, Congestion Avoidance and
Control, SIGCOMM 1988.
"""

from dataclasses import dataclass, replace

MIN_LIMIT = 1.0
DECREASE_FACTOR = 0.7
DECREASE_INTERVAL_S = 0.1
LATENCY_EWMA_WEIGHT = 0.1
FAILURES_TO_EJECT = 5
EJECT_BASE_S = 2.0
EJECT_MAX_S = 30.0
SLOW_START_S = 5.0
LEAVING_TTL_S = 30.0


@dataclass(frozen=True, slots=True)
class Upstream:
    """Location, load and health of one upstream, as seen by this entry host.

    ``limit`` bounds the requests in flight; ``latency_s`` is a moving average.
    """

    worker_id: str
    address: str
    data_centre: str
    rack: str
    n_slots: int
    limit: float
    n_in_flight: int = 0
    latency_s: float = 0.0
    n_failures: int = 0
    n_ejections: int = 0
    ejected_until: float = float("-inf")
    decreased_at: float = float("-inf")
    leaving_until: float = float("-inf")
    is_listed_leaving: bool = False

    def is_leaving(self, now: float) -> bool:
        """Return whether the upstream is draining and must get no new requests."""
        return self.is_listed_leaving or now < self.leaving_until

    def is_ejected(self, now: float) -> bool:
        """Return whether the upstream is ejected after repeated failures."""
        return now < self.ejected_until

    def free_capacity(self, now: float) -> float:
        """Return how many more requests this host may send to the upstream now."""
        return self.limit * self._slow_start_share(now) - self.n_in_flight

    def cost(self, now: float) -> float:
        """Return the expected wait: load relative to the limit, times latency."""
        load = (self.n_in_flight + 1) / max(
            self.limit * self._slow_start_share(now), MIN_LIMIT
        )
        # The added 1 ms ranks upstreams whose latency is not known yet by load.
        return load * (self.latency_s + 0.001)

    def _slow_start_share(self, now: float) -> float:
        """Return the usable share (0 to 1) of the limit, which grows after ejection."""
        elapsed_s = now - self.ejected_until
        if elapsed_s >= SLOW_START_S:
            return 1.0
        return max(MIN_LIMIT / self.limit, elapsed_s / SLOW_START_S)


def on_begin(upstream: Upstream) -> Upstream:
    """Return the upstream with one more request in flight."""
    return replace(upstream, n_in_flight=upstream.n_in_flight + 1)


def on_success(upstream: Upstream, latency_s: float) -> Upstream:
    """Return the upstream after a complete response.

    Raises its limit only if the requests in flight had nearly reached it.
    """
    was_at_limit = upstream.n_in_flight >= upstream.limit - 1
    step = 1.0 / upstream.limit if was_at_limit else 0.0
    previous = upstream.latency_s or latency_s
    return replace(
        upstream,
        n_in_flight=upstream.n_in_flight - 1,
        limit=min(float(upstream.n_slots), upstream.limit + step),
        latency_s=previous + LATENCY_EWMA_WEIGHT * (latency_s - previous),
        n_failures=0,
        n_ejections=0,
    )


def on_busy(upstream: Upstream, now: float) -> Upstream:
    """Return the upstream after it refused a request because its slots were busy."""
    updated = replace(upstream, n_in_flight=upstream.n_in_flight - 1)
    if now - upstream.decreased_at < DECREASE_INTERVAL_S:
        return updated
    limit = max(MIN_LIMIT, upstream.limit * DECREASE_FACTOR)
    return replace(updated, limit=limit, decreased_at=now)


def on_leaving(upstream: Upstream, now: float) -> Upstream:
    """Return the upstream after it refused a request because it is leaving."""
    return replace(
        upstream,
        n_in_flight=upstream.n_in_flight - 1,
        leaving_until=now + LEAVING_TTL_S,
    )


def on_failure(upstream: Upstream, now: float, may_eject: bool) -> Upstream:
    """Return the upstream after a failure.

    Ejects it after ``FAILURES_TO_EJECT`` consecutive failures if ``may_eject``, for
    twice as long each time. After that, one more failure ejects it again.
    """
    n_failures = upstream.n_failures + 1
    updated = replace(
        upstream, n_in_flight=upstream.n_in_flight - 1, n_failures=n_failures
    )
    if n_failures < FAILURES_TO_EJECT or not may_eject or upstream.is_ejected(now):
        return updated
    ejection_s = min(EJECT_MAX_S, EJECT_BASE_S * 2**upstream.n_ejections)
    return replace(
        updated,
        n_failures=FAILURES_TO_EJECT - 1,
        n_ejections=upstream.n_ejections + 1,
        ejected_until=now + ejection_s,
    )

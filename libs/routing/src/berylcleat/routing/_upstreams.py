"""What an entry host knows of one upstream, and its limit there.

The limit follows additive increase and multiplicative decrease on the upstream's own
refusals. Source: Jacobson, Congestion Avoidance and Control, SIGCOMM 1988.
"""

from dataclasses import dataclass, replace

MIN_LIMIT = 1.0
DECREASE_FACTOR = 0.7
DECREASE_PAUSE_S = 0.1
LATENCY_WEIGHT = 0.1
FAILURES_TO_EJECT = 5
EJECT_BASE_S = 2.0
EJECT_MOST_S = 30.0
RETURN_RAMP_S = 5.0
LEAVING_KEEP_S = 30.0


@dataclass(frozen=True, slots=True)
class Upstream:
    """Hold the place, load and health of one upstream."""

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
        """Tell whether it must get nothing new."""
        return self.is_listed_leaving or now < self.leaving_until

    def is_ejected(self, now: float) -> bool:
        """Tell whether it is taken out for failing."""
        return now < self.ejected_until

    def room(self, now: float) -> float:
        """Return how many more requests it may get from here."""
        return self.limit * self._ramp(now) - self.n_in_flight

    def cost(self, now: float) -> float:
        """Return the expected wait: load over limit, weighed by latency."""
        load = (self.n_in_flight + 1) / max(self.limit * self._ramp(now), MIN_LIMIT)
        return load * (self.latency_s + 0.001)

    def _ramp(self, now: float) -> float:
        """Return the share (0 to 1) of its limit since it came back."""
        since = now - self.ejected_until
        if since >= RETURN_RAMP_S:
            return 1.0
        return max(MIN_LIMIT / self.limit, since / RETURN_RAMP_S)


def on_begin(upstream: Upstream) -> Upstream:
    """Return the upstream with one more request in flight."""
    return replace(upstream, n_in_flight=upstream.n_in_flight + 1)


def on_success(upstream: Upstream, latency_s: float) -> Upstream:
    """Return the upstream after a whole answer."""
    was_full = upstream.n_in_flight >= upstream.limit - 1
    step = 1.0 / upstream.limit if was_full else 0.0
    old = upstream.latency_s or latency_s
    return replace(
        upstream,
        n_in_flight=upstream.n_in_flight - 1,
        limit=min(float(upstream.n_slots), upstream.limit + step),
        latency_s=old + LATENCY_WEIGHT * (latency_s - old),
        n_failures=0,
        n_ejections=0,
    )


def on_busy(upstream: Upstream, now: float) -> Upstream:
    """Return the upstream after it refused for want of a slot."""
    done = replace(upstream, n_in_flight=upstream.n_in_flight - 1)
    if now - upstream.decreased_at < DECREASE_PAUSE_S:
        return done
    limit = max(MIN_LIMIT, upstream.limit * DECREASE_FACTOR)
    return replace(done, limit=limit, decreased_at=now)


def on_leaving(upstream: Upstream, now: float) -> Upstream:
    """Return the upstream after its own word that it is leaving."""
    return replace(
        upstream,
        n_in_flight=upstream.n_in_flight - 1,
        leaving_until=now + LEAVING_KEEP_S,
    )


def on_failure(upstream: Upstream, now: float, may_eject: bool) -> Upstream:
    """Return the upstream after a failure; eject it if it fails everything."""
    n_failures = upstream.n_failures + 1
    done = replace(
        upstream, n_in_flight=upstream.n_in_flight - 1, n_failures=n_failures
    )
    if n_failures < FAILURES_TO_EJECT or not may_eject or upstream.is_ejected(now):
        return done
    pause_s = min(EJECT_MOST_S, EJECT_BASE_S * 2**upstream.n_ejections)
    return replace(
        done,
        n_failures=FAILURES_TO_EJECT - 1,
        n_ejections=upstream.n_ejections + 1,
        ejected_until=now + pause_s,
    )

"""Compare policies of upstream selection and concurrency limits in simulated time.

Entry hosts that don't see each other's requests send to 8 upstreams with 8 slots each.
The production Router runs unchanged; the baselines override its choice of an upstream
or its concurrency limit.
"""

import argparse
import heapq
import random
import statistics
import sys
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import numpy as np
from rich.console import Console
from rich.table import Table

from berylcleat.model import Resources, WorkerSpec
from berylcleat.routing import AttemptResult, ListedUpstream, Router, Upstream

N_UPSTREAMS = 8
N_SLOTS = 8
N_HOSTS = 6
SERVICE_S = 0.020
CAPACITY_PER_S = N_UPSTREAMS * N_SLOTS / SERVICE_S
NETWORK_S = 0.001
DEADLINE_S = 0.5
DURATION_S = 8.0
KILL_AT_S = 4.0
MAX_ATTEMPTS = 4


class StaticShareRouter(Router):
    """Baseline with a fixed concurrency limit: an equal share of the slots per host."""

    def finish(self, worker_id, result, latency_s, now):
        """Record the result of an attempt, then reset the limit to the fixed share."""
        super().finish(worker_id, result, latency_s, now)
        share = max(1.0, self.n_slots / self.n_entry_hosts)
        upstream = self.upstream_by_id[worker_id]
        if upstream.limit != share:
            self.upstream_by_id[worker_id] = replace(upstream, limit=share)


class UncappedRouter(Router):
    """Baseline without a limit per host: only the upstreams' guards refuse requests."""

    def finish(self, worker_id, result, latency_s, now):
        """Record the result of an attempt, then reset the limit to all slots."""
        super().finish(worker_id, result, latency_s, now)
        upstream = self.upstream_by_id[worker_id]
        self.upstream_by_id[worker_id] = replace(upstream, limit=float(self.n_slots))


class RoundRobinRouter(UncappedRouter):
    """Baseline that selects upstreams round robin, regardless of load."""

    n_choices = 0

    def choose(self, now, avoid=frozenset()):
        """Return the next upstream in order that isn't in ``avoid``, or None."""
        for _ in range(N_UPSTREAMS):
            self.n_choices += 1
            upstream = list(self.upstream_by_id.values())[self.n_choices % N_UPSTREAMS]
            if upstream.worker_id not in avoid:
                return upstream
        return None


class RandomRouter(UncappedRouter):
    """Baseline that selects upstreams uniformly at random."""

    def choose(self, now, avoid=frozenset()):
        """Return a random upstream that isn't in ``avoid``, or None."""
        candidates = [u for w, u in self.upstream_by_id.items() if w not in avoid]
        return self._random_state.choice(candidates) if candidates else None


class LeastLoadedRouter(UncappedRouter):
    """Baseline that selects the upstream with the fewest requests of this host."""

    def choose(self, now, avoid=frozenset()):
        """Return the upstream with the fewest requests in flight, or None."""
        candidates = [u for w, u in self.upstream_by_id.items() if w not in avoid]
        return min(candidates, key=lambda u: u.n_in_flight, default=None)


ROUTER_BY_NAME: dict[str, type[Router]] = {
    "product (adaptive)": Router,
    "static shares": StaticShareRouter,
    "guards only": UncappedRouter,
    "round robin": RoundRobinRouter,
    "random": RandomRouter,
    "least loaded": LeastLoadedRouter,
}


@dataclass(order=True)
class _ScheduledEvent:
    at_s: float
    sequence: int
    action: Callable = field(compare=False)


@dataclass
class _Request:
    number: int
    host: int
    arrived_at_s: float
    tried: frozenset[str] = frozenset()


@dataclass
class SimulationResult:
    """Metrics of one simulation run."""

    goodput_per_s: float
    p50_ms: float
    p99_ms: float
    p999_ms: float
    n_refused: int
    n_guard_refusals: int
    n_over_slots: int


class RoutingSimulation:
    """Discrete-event simulation of one scenario.

    ``rates`` are requests per second by host; upstream 0 is slower by ``slow_factor``;
    ``kills_host`` redirects the requests of host 0 to the others from ``KILL_AT_S``.
    """

    def __init__(self, router_type, rates, seed, slow_factor=1.0, kills_host=False):
        self._random = random.Random(seed)
        self._now = 0.0
        self._events: list[_ScheduledEvent] = []
        self._n_events = 0
        self._rates = rates
        self._kills_host = kills_host
        self._slow_factor = slow_factor
        self._n_busy_slots = dict.fromkeys(range(N_UPSTREAMS), 0)
        self._routers = [self._make_router(router_type, h) for h in range(N_HOSTS)]
        self._queued_by_host: list[list[_Request]] = [[] for _ in range(N_HOSTS)]
        self._latencies: list[float] = []
        self._n_refused = 0
        self._n_guard_refusals = 0
        self._n_over_slots = 0

    def _make_router(self, router_type, host: int) -> Router:
        router = router_type("dc", N_SLOTS, random.Random(self._random.random()))
        specs = [
            WorkerSpec(f"{i}", "dc", f"r{i % 3}", "", "", Resources(1, 1))
            for i in range(N_UPSTREAMS)
        ]
        router.update([ListedUpstream(s, False) for s in specs], N_HOSTS)
        return router

    def _schedule(self, at_s: float, action: Callable) -> None:
        self._n_events += 1
        heapq.heappush(self._events, _ScheduledEvent(at_s, self._n_events, action))

    def run(self) -> SimulationResult:
        """Run until all requests have ended and return the metrics."""
        for host, rate in enumerate(self._rates):
            self._schedule_arrival(host, rate, 0.0)
        while self._events:
            event = heapq.heappop(self._events)
            self._now = event.at_s
            event.action()
        latencies = np.array(self._latencies or [0.0]) * 1000
        p50, p99, p999 = np.percentile(latencies, (50, 99, 99.9))
        return SimulationResult(
            len(self._latencies) / DURATION_S, p50, p99, p999,
            self._n_refused, self._n_guard_refusals, self._n_over_slots,
        )  # fmt: skip

    def _schedule_arrival(self, host: int, rate: float, after_s: float) -> None:
        if rate <= 0:
            return
        at_s = after_s + self._random.expovariate(rate)
        if at_s < DURATION_S:
            self._schedule(at_s, lambda: self._arrive(host, rate))

    def _arrive(self, host: int, rate: float) -> None:
        self._schedule_arrival(host, rate, self._now)
        if self._kills_host and host == 0 and self._now > KILL_AT_S:
            host = 1 + self._random.randrange(N_HOSTS - 1)
        request = _Request(self._n_events, host, self._now)
        if not self._try_dispatch(request):
            self._enqueue(request)

    def _enqueue(self, request: _Request) -> None:
        """Enqueue the request, or refuse it if it is expected to miss its deadline."""
        router = self._routers[request.host]
        latency_s = router.mean_latency_s() or SERVICE_S
        queued = self._queued_by_host[request.host]
        wait_s = (len(queued) + 1) * latency_s / max(router.total_limit(self._now), 1.0)
        if self._now + wait_s + latency_s > request.arrived_at_s + DEADLINE_S:
            self._n_refused += 1
            return
        queued.append(request)

    def _try_dispatch(self, request: _Request) -> bool:
        router = self._routers[request.host]
        upstream = router.choose(self._now, request.tried)
        if upstream is None:
            return False
        router.begin(upstream.worker_id)
        sent_at_s = self._now
        self._schedule(
            self._now + NETWORK_S,
            lambda: self._arrive_at_upstream(request, upstream, sent_at_s),
        )
        return True

    def _arrive_at_upstream(
        self, request: _Request, upstream: Upstream, sent_at_s: float
    ) -> None:
        upstream_index = int(upstream.worker_id)
        if self._n_busy_slots[upstream_index] >= N_SLOTS:
            self._n_guard_refusals += 1
            refusal = AttemptResult.REFUSED_BUSY
            self._schedule(
                self._now + NETWORK_S,
                lambda: self._handle_result(request, upstream, refusal, sent_at_s),
            )
            return
        self._n_busy_slots[upstream_index] += 1
        self._n_over_slots += self._n_busy_slots[upstream_index] > N_SLOTS
        slow = self._slow_factor if upstream_index == 0 else 1.0
        service_s = SERVICE_S * slow * self._random.uniform(0.5, 1.5)
        self._schedule(
            self._now + service_s,
            lambda: self._finish_service(request, upstream, sent_at_s),
        )

    def _finish_service(
        self, request: _Request, upstream: Upstream, sent_at_s: float
    ) -> None:
        self._n_busy_slots[int(upstream.worker_id)] -= 1
        self._schedule(
            self._now + NETWORK_S,
            lambda: self._handle_result(
                request, upstream, AttemptResult.ANSWERED, sent_at_s
            ),
        )

    def _handle_result(
        self, request, upstream, result: AttemptResult, sent_at_s: float
    ) -> None:
        router = self._routers[request.host]
        router.finish(upstream.worker_id, result, self._now - sent_at_s, self._now)
        if result is AttemptResult.ANSWERED:
            latency = self._now - request.arrived_at_s
            if latency <= DEADLINE_S:
                self._latencies.append(latency)
        else:
            request.tried = request.tried | {upstream.worker_id}
            if len(request.tried) >= MAX_ATTEMPTS:
                self._n_refused += 1
            elif not self._try_dispatch(request):
                self._enqueue(request)
        self._dispatch_queued(request.host)

    def _dispatch_queued(self, host: int) -> None:
        queued = self._queued_by_host[host]
        while queued:
            if self._now > queued[0].arrived_at_s + DEADLINE_S:
                queued.pop(0)
                self._n_refused += 1
            elif self._try_dispatch(queued[0]):
                queued.pop(0)
            else:
                return


def _make_even_rates(load: float) -> list[float]:
    return [load * CAPACITY_PER_S / N_HOSTS] * N_HOSTS


def _make_uneven_rates(load: float) -> list[float]:
    shares = (0.5, 0.2, 0.1, 0.1, 0.05, 0.05)
    return [load * CAPACITY_PER_S * share for share in shares]


SCENARIOS: dict[str, dict] = {
    "low (30%)": {"rates": _make_even_rates(0.3)},
    "uneven (60%, half of it at one host)": {"rates": _make_uneven_rates(0.6)},
    "at capacity (95%)": {"rates": _make_even_rates(0.95)},
    "overload (200%)": {"rates": _make_even_rates(2.0)},
    "one upstream 10x slow (50%)": {
        "rates": _make_even_rates(0.5),
        "slow_factor": 10.0,
    },
    "one host killed (60%)": {"rates": _make_even_rates(0.6), "kills_host": True},
}


def main() -> int:
    """Print median and half range over the seeds for all scenarios and routers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", nargs="*", type=int, default=[1, 2, 3])
    arguments = parser.parse_args()
    console = Console(width=130)
    for title, scenario in SCENARIOS.items():
        table = Table(
            "router", "goodput/s", "p50 ms", "p99 ms", "p99.9 ms", "refused",
            "guard refusals", title=title,
        )  # fmt: skip
        for name, router_type in ROUTER_BY_NAME.items():
            runs = [
                RoutingSimulation(router_type, seed=s, **scenario).run()
                for s in arguments.seeds
            ]
            table.add_row(
                name,
                *(
                    _format_spread([getattr(run, column) for run in runs])
                    for column in (
                        "goodput_per_s",
                        "p50_ms",
                        "p99_ms",
                        "p999_ms",
                        "n_refused",
                        "n_guard_refusals",
                    )  # fmt: skip
                ),
            )
        console.print(table)
    return 0


def _format_spread(values: list[float]) -> str:
    median_value = statistics.median(values)
    return f"{median_value:.1f} ±{(max(values) - min(values)) / 2:.1f}"


if __name__ == "__main__":
    sys.exit(main())

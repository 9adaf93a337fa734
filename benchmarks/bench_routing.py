"""Compare ways to choose upstreams and to share their slots, in logical time.

Entry hosts that do not see each other's requests send to 8 upstreams of 8 slots. The
product's Router is driven as it is; the baselines replace its choice or its limit.
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
SECONDS = 8.0
KILL_AT_S = 4.0
MAX_ATTEMPTS = 4


class StaticRouter(Router):
    """Keep a fixed share of the slots."""

    def finish(self, worker_id, result, latency_s, now):
        """Note how an attempt ended, then set the limit."""
        super().finish(worker_id, result, latency_s, now)
        share = max(1.0, self.n_slots / self.n_entry_hosts)
        upstream = self.upstream_by_id[worker_id]
        if upstream.limit != share:
            self.upstream_by_id[worker_id] = replace(upstream, limit=share)


class UnlimitedRouter(Router):
    """Let the guards of the upstreams do all the refusing."""

    def finish(self, worker_id, result, latency_s, now):
        """Note how an attempt ended, then set the limit."""
        super().finish(worker_id, result, latency_s, now)
        upstream = self.upstream_by_id[worker_id]
        self.upstream_by_id[worker_id] = replace(upstream, limit=float(self.n_slots))


class RoundRobinRouter(UnlimitedRouter):
    """Take upstreams in turn, whatever their load."""

    turn = 0

    def choose(self, now, avoid=frozenset()):
        """Return an upstream by this baseline's rule."""
        for _ in range(N_UPSTREAMS):
            self.turn += 1
            upstream = list(self.upstream_by_id.values())[self.turn % N_UPSTREAMS]
            if upstream.worker_id not in avoid:
                return upstream
        return None


class RandomRouter(UnlimitedRouter):
    """Take any upstream."""

    def choose(self, now, avoid=frozenset()):
        """Return an upstream by this baseline's rule."""
        pool = [u for w, u in self.upstream_by_id.items() if w not in avoid]
        return self._random_state.choice(pool) if pool else None


class LeastLoadedRouter(UnlimitedRouter):
    """Take the upstream with the fewest requests of this host in flight."""

    def choose(self, now, avoid=frozenset()):
        """Return an upstream by this baseline's rule."""
        pool = [u for w, u in self.upstream_by_id.items() if w not in avoid]
        return min(pool, key=lambda u: u.n_in_flight, default=None)


ROUTER_BY_NAME: dict[str, type[Router]] = {
    "product (adaptive)": Router,
    "static shares": StaticRouter,
    "guards only": UnlimitedRouter,
    "round robin": RoundRobinRouter,
    "random": RandomRouter,
    "least loaded": LeastLoadedRouter,
}


@dataclass(order=True)
class _Event:
    at_s: float
    order: int
    action: Callable = field(compare=False)


@dataclass
class _Request:
    number: int
    host: int
    due_s: float
    tried: frozenset[str] = frozenset()


@dataclass
class Result:
    """Hold what one run gave; times in milliseconds."""

    goodput_per_s: float
    p50_ms: float
    p99_ms: float
    p999_ms: float
    n_refused: int
    n_guard_refusals: int
    n_over_slots: int


class Bench:
    """Run one scenario: rates by host, slow upstream, killed host."""

    def __init__(self, router_type, rates, seed, slow_factor=1.0, kills_host=False):
        self._random = random.Random(seed)
        self._now = 0.0
        self._events: list[_Event] = []
        self._n_events = 0
        self._rates = rates
        self._kills_host = kills_host
        self._slow_factor = slow_factor
        self._busy = dict.fromkeys(range(N_UPSTREAMS), 0)
        self._routers = [self._make_router(router_type, h) for h in range(N_HOSTS)]
        self._queues: list[list[_Request]] = [[] for _ in range(N_HOSTS)]
        self._latencies: list[float] = []
        self._n_refused = 0
        self._n_guard = 0
        self._n_over = 0

    def _make_router(self, router_type, host: int) -> Router:
        router = router_type("dc", N_SLOTS, random.Random(self._random.random()))
        specs = [
            WorkerSpec(f"{i}", "dc", f"r{i % 3}", "", "", Resources(1, 1))
            for i in range(N_UPSTREAMS)
        ]
        router.update([ListedUpstream(s, False) for s in specs], N_HOSTS)
        return router

    def _at(self, at_s: float, action: Callable) -> None:
        self._n_events += 1
        heapq.heappush(self._events, _Event(at_s, self._n_events, action))

    def run(self) -> Result:
        """Run to the end of all requests."""
        for host, rate in enumerate(self._rates):
            self._schedule_arrival(host, rate, 0.0)
        while self._events:
            event = heapq.heappop(self._events)
            self._now = event.at_s
            event.action()
        latencies = np.array(self._latencies or [0.0]) * 1000
        p50, p99, p999 = np.percentile(latencies, (50, 99, 99.9))
        return Result(
            len(self._latencies) / SECONDS, p50, p99, p999,
            self._n_refused, self._n_guard, self._n_over,
        )  # fmt: skip

    def _schedule_arrival(self, host: int, rate: float, after_s: float) -> None:
        if rate <= 0:
            return
        at_s = after_s + self._random.expovariate(rate)
        if at_s < SECONDS:
            self._at(at_s, lambda: self._arrive(host, rate))

    def _arrive(self, host: int, rate: float) -> None:
        self._schedule_arrival(host, rate, self._now)
        if self._kills_host and host == 0 and self._now > KILL_AT_S:
            host = 1 + self._random.randrange(N_HOSTS - 1)
        request = _Request(self._n_events, host, self._now)
        if not self._try(request):
            self._queue(request)

    def _queue(self, request: _Request) -> None:
        """Wait, unless the wait before it would pass its deadline."""
        router = self._routers[request.host]
        latency_s = router.mean_latency_s() or SERVICE_S
        waiting = self._queues[request.host]
        wait_s = (
            (len(waiting) + 1) * latency_s / max(router.total_limit(self._now), 1.0)
        )
        if self._now + wait_s + latency_s > request.due_s + DEADLINE_S:
            self._n_refused += 1
            return
        waiting.append(request)

    def _try(self, request: _Request) -> bool:
        router = self._routers[request.host]
        upstream = router.choose(self._now, request.tried)
        if upstream is None:
            return False
        router.begin(upstream.worker_id)
        started = self._now
        self._at(self._now + NETWORK_S, lambda: self._reach(request, upstream, started))
        return True

    def _reach(self, request: _Request, upstream: Upstream, started: float) -> None:
        number = int(upstream.worker_id)
        if self._busy[number] >= N_SLOTS:
            self._n_guard += 1
            refused = AttemptResult.REFUSED_BUSY
            self._at(
                self._now + NETWORK_S,
                lambda: self._back(request, upstream, refused, started),
            )
            return
        self._busy[number] += 1
        self._n_over += self._busy[number] > N_SLOTS
        slow = self._slow_factor if number == 0 else 1.0
        took_s = SERVICE_S * slow * self._random.uniform(0.5, 1.5)
        self._at(self._now + took_s, lambda: self._served(request, upstream, started))

    def _served(self, request: _Request, upstream: Upstream, started: float) -> None:
        self._busy[int(upstream.worker_id)] -= 1
        self._at(
            self._now + NETWORK_S,
            lambda: self._back(request, upstream, AttemptResult.ANSWERED, started),
        )

    def _back(self, request, upstream, result: AttemptResult, started: float) -> None:
        router = self._routers[request.host]
        router.finish(upstream.worker_id, result, self._now - started, self._now)
        if result is AttemptResult.ANSWERED:
            latency = self._now - request.due_s
            if latency <= DEADLINE_S:
                self._latencies.append(latency)
        else:
            request.tried = request.tried | {upstream.worker_id}
            if len(request.tried) >= MAX_ATTEMPTS:
                self._n_refused += 1
            elif not self._try(request):
                self._queue(request)
        self._serve_waiting(request.host)

    def _serve_waiting(self, host: int) -> None:
        waiting = self._queues[host]
        while waiting:
            if self._now > waiting[0].due_s + DEADLINE_S:
                waiting.pop(0)
                self._n_refused += 1
            elif self._try(waiting[0]):
                waiting.pop(0)
            else:
                return


def _even(load: float) -> list[float]:
    return [load * CAPACITY_PER_S / N_HOSTS] * N_HOSTS


def _uneven(load: float) -> list[float]:
    shares = (0.5, 0.2, 0.1, 0.1, 0.05, 0.05)
    return [load * CAPACITY_PER_S * share for share in shares]


SCENARIOS: dict[str, dict] = {
    "low (30%)": {"rates": _even(0.3)},
    "uneven (60%, half of it at one host)": {"rates": _uneven(0.6)},
    "at capacity (95%)": {"rates": _even(0.95)},
    "overload (200%)": {"rates": _even(2.0)},
    "one upstream 10x slow (50%)": {"rates": _even(0.5), "slow_factor": 10.0},
    "one host killed (60%)": {"rates": _even(0.6), "kills_host": True},
}


def main() -> int:
    """Print every scenario by every router, median and spread over seeds."""
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
                Bench(router_type, seed=s, **scenario).run() for s in arguments.seeds
            ]
            table.add_row(
                name,
                *(
                    _spread([getattr(run, column) for run in runs])
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


def _spread(values: list[float]) -> str:
    middle = statistics.median(values)
    return f"{middle:.1f} ±{(max(values) - min(values)) / 2:.1f}"


if __name__ == "__main__":
    sys.exit(main())

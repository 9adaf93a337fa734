"""Open-loop HTTP load generator: send times don't depend on the responses."""

import asyncio
from collections import Counter
from dataclasses import dataclass

import msgspec
import numpy as np
from hdrh.histogram import HdrHistogram

from berylcleat.http import ExchangeError, HttpClient, HttpRequest

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
MAX_CONNECTIONS_PER_ADDRESS = 512
US_PER_S = 1e6


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Target, mean rate (requests per second) and duration (s) of a load run."""

    addresses: tuple[str, ...]
    target: str
    rate: float
    seconds: float
    timeout_s: float = 5.0
    method: str = "GET"


class LoadReport(msgspec.Struct, frozen=True):
    """Statistics of a load run.

    Latencies count from a request's scheduled send time, also if it was sent later.
    """

    n_sent: int
    n_answered: int
    outcomes: dict[str, int]
    goodput_per_s: float
    p50_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float


class LoadGenerator:
    """Open-loop generator with exponentially distributed inter-arrival times."""

    def __init__(self, plan: LoadPlan, random_state: np.random.Generator):
        self._plan = plan
        self._random_state = random_state
        self._clients = [
            HttpClient(address, max_connections=MAX_CONNECTIONS_PER_ADDRESS)
            for address in plan.addresses
        ]
        self._histogram = HdrHistogram(
            MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
        )
        self._outcomes: Counter[str] = Counter()

    async def run(self) -> LoadReport:
        """Send requests for the planned duration, await all responses, report."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        due_at = started_at
        tasks = set()
        n_sent = 0
        while due_at < started_at + self._plan.seconds:
            if due_at > loop.time():
                await asyncio.sleep(due_at - loop.time())
            task = asyncio.create_task(self._send(n_sent, due_at))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            n_sent += 1
            due_at += float(self._random_state.exponential(1.0 / self._plan.rate))
        if tasks:
            await asyncio.wait(tasks)
        return self._make_report(n_sent)

    async def _send(self, request_number: int, due_at: float) -> None:
        client = self._clients[request_number % len(self._clients)]
        headers = (("x-request-id", f"load-{request_number}"),)
        request = HttpRequest(self._plan.method, self._plan.target, headers)
        try:
            response = await client.exchange(request, self._plan.timeout_s)
        except ExchangeError as error:
            self._outcomes[error.failure.value] += 1
            return
        code = response.header("beryl-code") or str(response.status)
        self._outcomes[code] += 1
        if response.status < 400:
            elapsed_us = (asyncio.get_running_loop().time() - due_at) * US_PER_S
            self._histogram.record_value(max(MIN_LATENCY_US, int(elapsed_us)))

    def _make_report(self, n_sent: int) -> LoadReport:
        histogram = self._histogram
        n_answered = histogram.get_total_count()
        return LoadReport(
            n_sent,
            n_answered,
            dict(self._outcomes),
            round(n_answered / self._plan.seconds, 1),
            histogram.get_value_at_percentile(50) / 1000,
            histogram.get_value_at_percentile(99) / 1000,
            histogram.get_value_at_percentile(99.9) / 1000,
            histogram.get_max_value() / 1000,
        )

"""Open-loop load: requests leave on schedule whatever the answers do."""

import asyncio
from collections import Counter
from dataclasses import dataclass

import msgspec
import numpy as np
from hdrh.histogram import HdrHistogram

from berylcleat.http import ExchangeError, HttpClient, HttpRequest

LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 3
N_CONNECTIONS = 512
US_PER_S = 1e6


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Say where to send, how fast (requests a second) and for how long (s)."""

    addresses: tuple[str, ...]
    target: str
    rate: float
    seconds: float
    timeout_s: float = 5.0
    method: str = "GET"


class LoadReport(msgspec.Struct, frozen=True):
    """Sum up a run; latencies count from when a request was due to leave."""

    n_sent: int
    n_answered: int
    outcomes: dict[str, int]
    goodput_per_s: float
    p50_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float


class LoadRun:
    """Send requests at an open rate with exponential gaps."""

    def __init__(self, plan: LoadPlan, random_state: np.random.Generator):
        self._plan = plan
        self._random_state = random_state
        self._clients = [
            HttpClient(address, max_connections=N_CONNECTIONS)
            for address in plan.addresses
        ]
        self._histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
        self._outcomes: Counter[str] = Counter()

    async def run(self) -> LoadReport:
        """Send for the planned time and return the report."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        due = started
        tasks = set()
        n_sent = 0
        while due < started + self._plan.seconds:
            if due > loop.time():
                await asyncio.sleep(due - loop.time())
            task = asyncio.create_task(self._send(n_sent, due))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            n_sent += 1
            due += float(self._random_state.exponential(1.0 / self._plan.rate))
        if tasks:
            await asyncio.wait(tasks)
        return self._report(n_sent)

    async def _send(self, number: int, due: float) -> None:
        client = self._clients[number % len(self._clients)]
        headers = (("x-request-id", f"load-{number}"),)
        request = HttpRequest(self._plan.method, self._plan.target, headers)
        try:
            response = await client.exchange(request, self._plan.timeout_s)
        except ExchangeError as error:
            self._outcomes[error.failure.value] += 1
            return
        code = response.header("beryl-code") or str(response.status)
        self._outcomes[code] += 1
        if response.status < 400:
            elapsed_us = (asyncio.get_running_loop().time() - due) * US_PER_S
            self._histogram.record_value(max(LOWEST_US, int(elapsed_us)))

    def _report(self, n_sent: int) -> LoadReport:
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

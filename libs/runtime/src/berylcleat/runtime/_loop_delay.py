"""Delay of the event loop: how late a timer fires behind other work of the process."""

import asyncio
import logging

from prometheus_client import Histogram

SAMPLE_PERIOD_S = 0.25
REPORT_PERIOD_S = 5.0
# A delay that callers with an objective of some hundred milliseconds notice.
MIN_REPORTED_DELAY_S = 0.05
LOOP_DELAY = Histogram(
    "beryl_event_loop_delay_seconds",
    "How late a periodic timer of the event loop fired",
    buckets=(0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5),
)
logger = logging.getLogger(__name__)


class LoopDelayMonitor:
    """Sampler of the event loop's delay, with a log line for each period above a limit.

    A period without a delay of ``MIN_REPORTED_DELAY_S`` or more is not logged.
    """

    def __init__(self):
        self._delays: list[float] = []
        self._reported_at: float | None = None

    async def run(self) -> None:
        """Sample the delay until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + SAMPLE_PERIOD_S
            await asyncio.sleep(SAMPLE_PERIOD_S)
            now = loop.time()
            self.observe(now - due_at, now)

    def observe(self, delay_s: float, now: float) -> None:
        """Add one sample; log a summary when the reporting period has passed."""
        LOOP_DELAY.observe(delay_s)
        if self._reported_at is None:
            self._reported_at = now
        self._delays.append(delay_s)
        if now - self._reported_at >= REPORT_PERIOD_S:
            self._report(now - self._reported_at)
            self._reported_at = now
            self._delays.clear()

    def _report(self, period_s: float) -> None:
        longest_s = max(self._delays)
        if longest_s < MIN_REPORTED_DELAY_S:
            return
        n_reported = sum(delay >= MIN_REPORTED_DELAY_S for delay in self._delays)
        logger.warning(
            "event loop: timers late by up to %.2f s, %.3f s on average, "
            "%d of %d by %.2f s or more, in the last %.1f s",
            longest_s,
            sum(self._delays) / len(self._delays),
            n_reported,
            len(self._delays),
            MIN_REPORTED_DELAY_S,
            period_s,
        )

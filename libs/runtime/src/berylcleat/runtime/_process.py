"""Process lifecycle: logging, signals, periodic calls and exit status."""

import asyncio
import logging
import signal
import sys
from collections.abc import Awaitable, Callable

from prometheus_client import Counter

from berylcleat.model import BerylError
from berylcleat.telemetry import setup_logging

EXIT_FATAL_ERROR = 2
RESTART_DELAY_S = 1.0
BACKGROUND_FAILURES = Counter(
    "beryl_background_failures",
    "Unexpected exceptions in tasks that run in the background",
    ("task",),
)
logger = logging.getLogger(__name__)


class StopSignal:
    """Signal handler: SIGTERM and SIGINT set an event, SIGHUP calls ``on_reload``."""

    def __init__(self):
        self._event = asyncio.Event()
        self.on_reload: Callable[[], None] | None = None

    def install(self) -> None:
        """Register the handlers with the running event loop."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._event.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)

    def _reload(self) -> None:
        logger.info("SIGHUP received; reload requested")
        if self.on_reload is not None:
            self.on_reload()

    async def wait(self) -> None:
        """Wait until SIGTERM or SIGINT is received."""
        await self._event.wait()


def run_process(name: str, serve: Callable[[StopSignal], Awaitable[None]]) -> None:
    """Run ``serve`` in a new event loop until it returns.

    A ``BerylError`` is printed as one line to standard error, and the process exits
    with ``EXIT_FATAL_ERROR``.
    """
    setup_logging(name)

    async def serve_until_stopped() -> None:
        stop = StopSignal()
        stop.install()
        await serve(stop)

    try:
        asyncio.run(serve_until_stopped())
    except BerylError as error:
        print(f"{name}: {error.code.value}: {error}", file=sys.stderr)
        raise SystemExit(EXIT_FATAL_ERROR) from error


async def run_periodically(
    period_s: float, step: Callable[[], Awaitable[None]]
) -> None:
    """Call ``step`` every ``period_s`` seconds until cancelled.

    An exception doesn't end the calls. Of consecutive failures only the first is
    logged, and then the recovery. After a step that took longer than the period, the
    next call follows at once; missed calls are not made up for.
    """
    loop = asyncio.get_running_loop()
    due_at = loop.time()
    name = step.__qualname__
    is_failing = False
    while True:
        try:
            await step()
            if is_failing:
                logger.info("%s recovered", name)
            is_failing = False
        except BerylError as error:
            if not is_failing:
                logger.warning("%s failed: %s", name, error)
            is_failing = True
        except Exception:
            if not is_failing:
                logger.exception("%s failed with an unexpected exception", name)
            is_failing = True
        due_at = max(due_at + period_s, loop.time())
        await asyncio.sleep(due_at - loop.time())


def report_failure(task: str, error: BaseException, subject: str = "") -> None:
    """Log an unexpected exception of a background task, and count it by task.

    ``subject`` tells in the log what the task was for.
    """
    BACKGROUND_FAILURES.labels(task).inc()
    name = f"{subject}: {task}" if subject else task
    logger.error("%s: background task failed", name, exc_info=error)


async def keep_running(
    run: Callable[[], Awaitable[None]], delay_s: float = RESTART_DELAY_S
) -> None:
    """Call ``run`` again after every exception until cancelled."""
    while True:
        try:
            return await run()
        except Exception as error:
            report_failure(run.__qualname__, error)
        await asyncio.sleep(delay_s)


async def cancel_all(tasks: list[asyncio.Task]) -> None:
    """Cancel ``tasks`` and wait until all have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)

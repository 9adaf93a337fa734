"""Run one process: settings, logs, signals, graceful stop."""

import asyncio
import logging
import signal
import sys
from collections.abc import Awaitable, Callable

from berylcleat.model import BerylError
from berylcleat.telemetry import setup_logging

EXIT_BAD_SETTINGS = 2
logger = logging.getLogger(__name__)


class StopSignal:
    """Turn SIGTERM and SIGINT into one awaitable event, SIGHUP into a call."""

    def __init__(self):
        self._event = asyncio.Event()
        self.on_reload: Callable[[], None] | None = None

    def install(self) -> None:
        """Start to listen for the signals."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._event.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)

    def _reload(self) -> None:
        logger.info("reload asked for by SIGHUP")
        if self.on_reload is not None:
            self.on_reload()

    async def wait(self) -> None:
        """Return when a signal has come."""
        await self._event.wait()


def run_process(name: str, serve: Callable[[StopSignal], Awaitable[None]]) -> None:
    """Run ``serve`` until it returns; print a typed error in one line."""
    setup_logging(name)

    async def body() -> None:
        stop = StopSignal()
        stop.install()
        await serve(stop)

    try:
        asyncio.run(body())
    except BerylError as error:
        print(f"{name}: {error.code.value}: {error}", file=sys.stderr)
        raise SystemExit(EXIT_BAD_SETTINGS) from error


async def run_periodically(
    period_s: float, step: Callable[[], Awaitable[None]]
) -> None:
    """Call ``step`` every ``period_s`` seconds; a failed step is logged, not fatal."""
    loop = asyncio.get_running_loop()
    due = loop.time()
    name = step.__qualname__
    is_failing = False
    while True:
        try:
            await step()
            if is_failing:
                logger.info("%s works again", name)
            is_failing = False
        except BerylError as error:
            if not is_failing:
                logger.warning("%s fails: %s", name, error)
            is_failing = True
        except Exception:
            if not is_failing:
                logger.exception("%s fails", name)
            is_failing = True
        due = max(due + period_s, loop.time())
        await asyncio.sleep(due - loop.time())


async def cancel_all(tasks: list[asyncio.Task]) -> None:
    """Cancel tasks and wait until they have ended."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)

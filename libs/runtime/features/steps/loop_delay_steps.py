import asyncio
import logging
import re
import selectors

from behave import given, then, when
from prometheus_client import REGISTRY

from berylcleat.runtime import LoopDelayMonitor, cancel_all

LINE = re.compile(r"event loop: timers late by up to ([\d.]+) s")


class SimulatedLoop(asyncio.SelectorEventLoop):
    """Event loop whose time passes only while it waits, or when ``block`` is called."""

    def __init__(self):
        super().__init__(_InstantSelector(self))
        self.now = 0.0

    def time(self):
        return self.now

    def block(self, length_s):
        """Let time pass as work does that gives other tasks no turn."""
        self.now += length_s


class _InstantSelector(selectors.DefaultSelector):
    """Selector that lets the loop's time pass instead of waiting."""

    def __init__(self, loop):
        super().__init__()
        self._loop = loop

    def select(self, timeout=None):
        self._loop.now += timeout or 0.0
        return super().select(0)


class _LineCollector(logging.Handler):
    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        self.lines.append(record.getMessage())


def count_long_delays():
    name = "beryl_event_loop_delay_seconds"
    n_all = REGISTRY.get_sample_value(f"{name}_count")
    return n_all - REGISTRY.get_sample_value(f"{name}_bucket", {"le": "0.25"})


async def _play(loop, seconds, block):
    monitor = loop.create_task(LoopDelayMonitor().run())
    blocker = loop.create_task(block)
    await asyncio.sleep(seconds)
    await cancel_all([monitor, blocker])


def _run(context, seconds, block):
    logger = logging.getLogger("berylcleat.runtime._loop_delay")
    collector = _LineCollector()
    logger.addHandler(collector)
    try:
        context.loop.run_until_complete(_play(context.loop, seconds, block))
    finally:
        logger.removeHandler(collector)
        context.loop.close()
    matches = map(LINE.match, collector.lines)
    context.delays = [float(match[1]) for match in matches if match]


@given("an event loop whose delay is monitored")
def step_monitored(context):
    context.loop = SimulatedLoop()
    context.n_long_delays = count_long_delays()


@when("it runs for {seconds:g} s and work blocks it for {length:g} s at {at:g} s")
def step_block_once(context, seconds, length, at):
    async def block():
        await asyncio.sleep(at)
        context.loop.block(length)

    _run(context, seconds, block())


@when(
    "it runs for {seconds:g} s and work blocks it for {length:g} s every {period:g} s"
)
def step_block_often(context, seconds, length, period):
    async def block():
        while True:
            await asyncio.sleep(period)
            context.loop.block(length)

    _run(context, seconds, block())


@then("{n:d} line reports a delay of {delay:g} s or more")
def step_one_line(context, n, delay):
    assert len(context.delays) == n, context.delays
    assert context.delays[0] >= delay, context.delays


@then("the histogram has counted a delay of over 0.25 s")
def step_counted(context):
    assert count_long_delays() > context.n_long_delays


@then("at least {low:d} and at most {high:d} lines report a delay")
def step_lines(context, low, high):
    assert low <= len(context.delays) <= high, context.delays


@then("no line reports a delay")
def step_no_line(context):
    assert not context.delays, context.delays

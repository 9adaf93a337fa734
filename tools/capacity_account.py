"""Show how much capacity a service had for short tasks over a play, from its log.

Reads the owners' periodic lines "load: worker ...", and from lines "event loop: ..."
the longest delay of each period. Slots are the tasks of the given size that fit, each
on one worker. In the seconds after a takeover runs that the new owner doesn't know yet
count as free.
"""

import argparse
import re
import sys
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

LOAD = re.compile(
    r"^\s*(?P<at>-?[\d.]+) \S+ .*load: worker (?P<worker>\S+) free (?P<free>-?\d+) of "
    r"(?P<capacity>\d+) left -?\d+, serving (?P<serving>\d+)"
)
DELAY = re.compile(
    r"^\s*(?P<at>-?[\d.]+) \S+ .*event loop: timers late by up to (?P<delay>[\d.]+) s"
)
# Owners log the load of each worker in this period.
LOAD_PERIOD_S = 5
# A worker whose load isn't logged for this time has no owner any more.
MAX_LOAD_AGE_S = 2 * LOAD_PERIOD_S


@dataclass(frozen=True, slots=True)
class WorkerLoad:
    """Load of one worker; CPU in thousandths of a core."""

    at: float
    free: int
    capacity: int
    n_serving: int


def read_loads(
    lines: Iterable[str],
) -> tuple[dict[int, dict[str, WorkerLoad]], dict[int, float]]:
    """Return the last load of each worker and the longest delay, by period."""
    load_by_worker: dict[str, WorkerLoad] = {}
    loads_by_period: dict[int, dict[str, WorkerLoad]] = {}
    delay_by_period: dict[int, float] = defaultdict(float)
    for line in lines:
        if match := LOAD.match(line):
            at = float(match["at"])
            load_by_worker[match["worker"]] = WorkerLoad(
                at, int(match["free"]), int(match["capacity"]), int(match["serving"])
            )
            loads_by_period[_period(at)] = dict(load_by_worker)
        elif match := DELAY.match(line):
            period = _period(float(match["at"]))
            delay_by_period[period] = max(
                delay_by_period[period], float(match["delay"])
            )
    return loads_by_period, delay_by_period


def _period(at: float) -> int:
    return int(at // LOAD_PERIOD_S) * LOAD_PERIOD_S


def print_account(
    loads_by_period: dict[int, dict[str, WorkerLoad]],
    delay_by_period: dict[int, float],
    slot_millis: int,
) -> None:
    """Print a line for each period."""
    print("from s  workers  cores   free  slots  serving tasks  loop delay s")
    for period, load_by_worker in sorted(loads_by_period.items()):
        oldest = period + LOAD_PERIOD_S - MAX_LOAD_AGE_S
        loads = [load for load in load_by_worker.values() if load.at >= oldest]
        print(
            f"{period:6} {len(loads):8} {_sum_cores(load.capacity for load in loads):6}"
            f" {_sum_cores(load.free for load in loads):6}"
            f" {sum(max(0, load.free) // slot_millis for load in loads):6}"
            f" {sum(load.n_serving for load in loads):14}"
            f" {delay_by_period.get(period, 0.0):13.2f}"
        )


def _sum_cores(millis: Iterable[int]) -> int:
    return sum(millis) // 1000


def main() -> int:
    """Print the account of a log; exit with 1 if it holds no load."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("log", help="output of a play with the logs of all hosts")
    parser.add_argument(
        "--slot", type=int, default=6400, help="demand of a task, thousandths of a core"
    )
    arguments = parser.parse_args()
    with open(arguments.log, encoding="utf-8", errors="replace") as lines:
        loads_by_period, delay_by_period = read_loads(lines)
    if not loads_by_period:
        print("no line of a worker's load: play with the logs of all hosts")
        return 1
    print_account(loads_by_period, delay_by_period, arguments.slot)
    return 0


if __name__ == "__main__":
    sys.exit(main())

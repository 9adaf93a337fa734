"""Break down the time of each submission of a simulated day from the host logs.

The patterns match log lines of beryl-host.
"""

import argparse
import json
import re
import statistics
import sys
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from wait_account import WaitAccount, print_waits

ACCEPTED = re.compile(r"submission (\S+): answered 200, queue (\S+), cell (\S+), (\d+)")
STARTED = re.compile(
    r"run started: task (\w+)\.(\d+)\.(\d+)\.(\d+) run (\d+) .* (-?[\d.]+) s before due"
)
ENDED = re.compile(
    r"run ended: task (\w+)\.(\d+)\.(\d+)\.(\d+) run (\d+) on \S+: (\w+)"
)
RECORDED = re.compile(r"submission (\S+): recorded as (\w+)")


@dataclass(slots=True)
class SubmissionTimeline:
    """Times of one submission, in seconds of the simulated day."""

    queue: str
    accepted_at: float
    recorded_at: float | None = None
    due_at: float | None = None
    last_end_at: float | None = None
    started_at: dict[str, list[float]] = field(default_factory=dict)
    ended_at: dict[str, list[float]] = field(default_factory=dict)
    n_runs_by_end: dict[str, int] = field(default_factory=dict)
    step_spans: dict[int, list[float]] = field(default_factory=dict)

    def compute_wait_s(self) -> float:
        """Return the time from acceptance to the first run start."""
        first_starts = [times[0] for times in self.started_at.values()]
        return min(first_starts) - self.accepted_at if first_starts else 0.0

    def compute_start_spread_s(self) -> float:
        """Return the spread of a step's first run starts, summed over the steps."""
        by_step: dict[str, list[float]] = defaultdict(list)
        for task, times in self.started_at.items():
            by_step[task.split(".")[1]].append(times[0])
        return sum(max(times) - min(times) for times in by_step.values())

    def compute_overrun_s(self) -> float | None:
        """Return how long after its estimated end the submission's end was recorded."""
        if self.recorded_at is None or self.due_at is None:
            return None
        return self.recorded_at - self.due_at


def read_messages(lines: Iterable[str]) -> Iterator[tuple[float, str]]:
    """Yield the messages in ``lines`` of a benchmark's log with their times."""
    for line in lines:
        parts = line.split(None, 2)
        if len(parts) < 3 or not parts[2].startswith("{"):
            continue
        try:
            yield float(parts[0]), json.loads(parts[2])["message"]
        except (ValueError, KeyError):
            continue


def read_timelines(
    messages: Iterable[tuple[float, str]],
) -> dict[str, SubmissionTimeline]:
    """Parse the submissions in ``messages``, by id."""
    timelines: dict[str, SubmissionTimeline] = {}
    for at, message in messages:
        _apply_message(timelines, at, message)
    return timelines


def _apply_message(
    timelines: dict[str, SubmissionTimeline], at: float, message: str
) -> None:
    if match := ACCEPTED.match(message):
        timelines.setdefault(match[1], SubmissionTimeline(match[2], at))
    elif match := STARTED.match(message):
        timeline = timelines.get(match[1])
        if timeline is not None:
            task = f"{match[2]}.{match[3]}.{match[4]}"
            timeline.started_at.setdefault(task, []).append(at)
            timeline.due_at = at + float(match[6])
    elif match := ENDED.match(message):
        timeline = timelines.get(match[1])
        if timeline is not None:
            task = f"{match[2]}.{match[3]}.{match[4]}"
            timeline.ended_at.setdefault(task, []).append(at)
            timeline.n_runs_by_end[match[6]] = (
                timeline.n_runs_by_end.get(match[6], 0) + 1
            )
            timeline.last_end_at = at
    elif match := RECORDED.match(message):
        timeline = timelines.get(match[1])
        if timeline is not None and timeline.recorded_at is None:
            timeline.recorded_at = at


def print_summary(timelines: dict[str, SubmissionTimeline]) -> None:
    """Print medians per queue and the submissions with the longest overruns."""
    by_queue: dict[str, list[SubmissionTimeline]] = defaultdict(list)
    for timeline in timelines.values():
        by_queue[timeline.queue].append(timeline)
    for queue, in_queue in by_queue.items():
        ended = [timeline for timeline in in_queue if timeline.recorded_at is not None]
        print(
            f"queue {queue}: {len(in_queue)} accepted, {len(ended)} ended; medians:"
            f" first start after {_median(s.compute_wait_s() for s in in_queue):.2f} s,"
            " spread of first starts"
            f" {_median(s.compute_start_spread_s() for s in in_queue):.2f} s,"
            f" length {_median(s.recorded_at - s.accepted_at for s in ended):.2f} s"
        )
        for end in ("done", "failed", "stopped", "lapsed"):
            print(f"  runs {end}: {sum(s.n_runs_by_end.get(end, 0) for s in in_queue)}")
        overruns = [
            (timeline.compute_overrun_s(), submission_id)
            for submission_id, timeline in timelines.items()
            if timeline.queue == queue and timeline.compute_overrun_s() is not None
        ]
        for overrun_s, submission_id in sorted(overruns, reverse=True)[:12]:
            timeline = timelines[submission_id]
            print(
                f"  {submission_id} from {timeline.accepted_at:.2f}:"
                f" {timeline.recorded_at - timeline.accepted_at:.2f} s,"
                f" {overrun_s:+.2f} s against the estimate,"
                f" waited {timeline.compute_wait_s():.2f} s,"
                f" spread {timeline.compute_start_spread_s():.2f} s,"
                f" ends {timeline.n_runs_by_end},"
                f" recorded {timeline.recorded_at - timeline.last_end_at:.2f} s"
                " after the end"
            )


def _median(values) -> float:
    value_list = list(values)
    return statistics.median(value_list) if value_list else 0.0


def main() -> None:
    """Print the summary of the log file named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("log", type=argparse.FileType("r"), default=sys.stdin)
    parser.add_argument(
        "--waits",
        action="store_true",
        help="account for what late and failed submissions waited for",
    )
    parser.add_argument("--bin", type=float, default=1.0, help="seconds to sum up")
    arguments = parser.parse_args()
    messages = read_messages(arguments.log)
    if not arguments.waits:
        print_summary(read_timelines(messages))
        return
    account = WaitAccount()
    for at, message in messages:
        account.read(at, message)
    print_waits(account, arguments.bin)


if __name__ == "__main__":
    main()

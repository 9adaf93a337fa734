"""Tell from the logs of a played day where the time of each submission went."""

import argparse
import json
import re
import statistics
import sys
from collections import defaultdict
from dataclasses import dataclass, field

ACCEPTED = re.compile(r"submission (\S+): answered 200, queue (\S+), cell (\S+), (\d+)")
STARTED = re.compile(
    r"run started: task (\w+)\.(\d+)\.(\d+)\.(\d+) run (\d+) .* (-?[\d.]+) s before due"
)
ENDED = re.compile(
    r"run ended: task (\w+)\.(\d+)\.(\d+)\.(\d+) run (\d+) on \S+: (\w+)"
)
RECORDED = re.compile(r"submission (\S+): recorded as (\w+)")


@dataclass(slots=True)
class Story:
    """Hold the times of one submission, in seconds of the played day."""

    queue: str
    accepted_at: float
    recorded_at: float | None = None
    due_at: float | None = None
    last_end_at: float | None = None
    started_at: dict[str, list[float]] = field(default_factory=dict)
    ended_at: dict[str, list[float]] = field(default_factory=dict)
    n_by_end: dict[str, int] = field(default_factory=dict)
    step_spans: dict[int, list[float]] = field(default_factory=dict)

    def wait_s(self) -> float:
        """Return the time from acceptance to the first start."""
        firsts = [times[0] for times in self.started_at.values()]
        return min(firsts) - self.accepted_at if firsts else 0.0

    def late_starts_s(self) -> float:
        """Return by how much the last first start of a step followed its first one."""
        by_step: dict[str, list[float]] = defaultdict(list)
        for task, times in self.started_at.items():
            by_step[task.split(".")[1]].append(times[0])
        return sum(max(times) - min(times) for times in by_step.values())

    def overrun_s(self) -> float | None:
        """Return by how much the end was recorded after it was due by estimate."""
        if self.recorded_at is None or self.due_at is None:
            return None
        return self.recorded_at - self.due_at


def read_stories(lines) -> dict[str, Story]:
    """Return the submissions that ``lines`` of a bench's log tell of, by id."""
    stories: dict[str, Story] = {}
    for line in lines:
        parts = line.split(None, 2)
        if len(parts) < 3 or not parts[2].startswith("{"):
            continue
        at = float(parts[0])
        try:
            message = json.loads(parts[2])["message"]
        except (json.JSONDecodeError, KeyError):
            continue
        _take(stories, at, message)
    return stories


def _take(stories: dict[str, Story], at: float, message: str) -> None:
    if match := ACCEPTED.match(message):
        stories.setdefault(match[1], Story(match[2], at))
    elif match := STARTED.match(message):
        story = stories.get(match[1])
        if story is not None:
            task = f"{match[2]}.{match[3]}.{match[4]}"
            story.started_at.setdefault(task, []).append(at)
            story.due_at = at + float(match[6])
    elif match := ENDED.match(message):
        story = stories.get(match[1])
        if story is not None:
            task = f"{match[2]}.{match[3]}.{match[4]}"
            story.ended_at.setdefault(task, []).append(at)
            story.n_by_end[match[6]] = story.n_by_end.get(match[6], 0) + 1
            story.last_end_at = at
    elif match := RECORDED.match(message):
        story = stories.get(match[1])
        if story is not None and story.recorded_at is None:
            story.recorded_at = at


def print_account(stories: dict[str, Story]) -> None:
    """Print a row a queue, and the submissions that ended latest."""
    by_queue: dict[str, list[Story]] = defaultdict(list)
    for story in stories.values():
        by_queue[story.queue].append(story)
    for queue, group in by_queue.items():
        ended = [story for story in group if story.recorded_at is not None]
        print(
            f"queue {queue}: {len(group)} accepted, {len(ended)} ended; medians:"
            f" first start after {_median(s.wait_s() for s in group):.2f} s,"
            " spread of first starts"
            f" {_median(s.late_starts_s() for s in group):.2f} s,"
            f" length {_median(s.recorded_at - s.accepted_at for s in ended):.2f} s"
        )
        for end in ("done", "failed", "stopped", "lapsed"):
            print(f"  runs {end}: {sum(s.n_by_end.get(end, 0) for s in group)}")
        overruns = [
            (story.overrun_s(), submission_id)
            for submission_id, story in stories.items()
            if story.queue == queue and story.overrun_s() is not None
        ]
        for overrun_s, submission_id in sorted(overruns, reverse=True)[:12]:
            story = stories[submission_id]
            print(
                f"  {submission_id} from {story.accepted_at:.2f}:"
                f" {story.recorded_at - story.accepted_at:.2f} s,"
                f" {overrun_s:+.2f} s against the estimate,"
                f" waited {story.wait_s():.2f} s,"
                f" spread {story.late_starts_s():.2f} s, ends {story.n_by_end},"
                f" recorded {story.recorded_at - story.last_end_at:.2f} s after the end"
            )


def _median(values) -> float:
    listed = list(values)
    return statistics.median(listed) if listed else 0.0


def main() -> None:
    """Read the log named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("log", type=argparse.FileType("r"), default=sys.stdin)
    print_account(read_stories(parser.parse_args().log))


if __name__ == "__main__":
    main()

"""Account for what late and failed submissions waited for, from the hosts' logs.

Of each submission the critical path is followed back from its last end: in each step
the task that ended last, from when the step could start. Steps are taken as a chain.
"""

import re
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

TASK = r"(\w+\.\d+\.\d+\.\d+)"
ACCEPTED = re.compile(
    r"submission (\S+): answered 200, queue (\S+), cell (\S+), \d+ steps, (\d+) tasks"
    r"(?:, after ([\d.]+) s)?"
)
STARTED = re.compile(rf"run started: task {TASK} run \d+ .* (-?[\d.]+) s before due")
ENDED = re.compile(rf"run ended: task {TASK} run \d+ on \S+: (\w+)")
LOST = re.compile(rf"run lost: task {TASK} run \d+ ")
PACED = re.compile(rf"filler paced: task {TASK} .* to (\d+) percent")
MOVED = re.compile(rf"task {TASK} to (\S+) above run")
WAITS = re.compile(r"step waits: (\w+\.\d+\.\d+) in cell (\S+): ([\w-]+),")
RECORDED = re.compile(r"submission (\S+): recorded as (\w+)")

# Objectives after which a result counts nothing.
LATE_LIMIT = 3.0
# An owner logs what a step waits for within this many seconds of knowing it.
MAX_LOG_DELAY_S = 0.5

ADMISSION = "admission"
FIRST_START = "first-start"
OWNER = "owner"
PROCESSOR = "processor-time"
PACE = "pace"
RECORDING = "recording"
UNKNOWN = "reason-not-logged"
# Names of outcomes, the best first.
IN_TIME, LATE, OVER_LIMIT, FAILED = "in time", "late", "over the limit", "failed"

Spans = Iterator[tuple[str, float]]


@dataclass(slots=True)
class TaskLog:
    """Logged events of one task, each with its time in seconds, in order."""

    runs: list["RunLog"] = field(default_factory=list)
    moves: list[tuple[float, str]] = field(default_factory=list)

    def ended_at(self) -> float | None:
        """Return when the last run ended, or None."""
        return self.runs[-1].ended_at if self.runs else None


@dataclass(slots=True)
class RunLog:
    """One run, how it ended, and the changes of its pace in percent."""

    started_at: float
    ended_at: float | None = None
    end: str = ""
    paces: list[tuple[float, int]] = field(default_factory=list)

    def paced_s(self, until: float) -> float:
        """Return the seconds that running below full pace has taken away."""
        ends = [at for at, _ in self.paces[1:]] + [until]
        return sum(
            max(0.0, end - at) * (1 - percent / 100)
            for (at, percent), end in zip(self.paces, ends, strict=False)
        )


@dataclass(slots=True)
class SubmissionLog:
    """Logged events of one submission."""

    queue: str
    home: str
    n_tasks: int
    admission_s: float
    accepted_at: float
    due_at: float | None = None
    recorded_at: float | None = None
    state: str = ""
    task_by_id: dict[str, TaskLog] = field(default_factory=dict)

    def outcome(self, now: float) -> str:
        """Return how the submission ended, as seen at ``now``."""
        if self.state == "failed":
            return FAILED
        due_at = self.accepted_at if self.due_at is None else self.due_at
        end = now if self.recorded_at is None else self.recorded_at
        if end <= due_at:
            return IN_TIME
        limit_at = self.accepted_at + LATE_LIMIT * (due_at - self.accepted_at)
        return LATE if end <= limit_at else OVER_LIMIT

    def is_running(self) -> bool:
        """Return whether each of its tasks runs, as standing ones do."""
        runs = [t.runs[-1] for t in self.task_by_id.values() if t.runs]
        n_running = sum(run.ended_at is None for run in runs)
        return self.recorded_at is None and n_running >= self.n_tasks


class WaitAccount:
    """Reader of log messages that accounts for the time of each submission."""

    def __init__(self):
        self.submission_by_id: dict[str, SubmissionLog] = {}
        self._waits_by_step: dict[tuple[str, str], list[tuple[float, str]]] = (
            defaultdict(list)
        )
        self._end_at = 0.0

    def read(self, at: float, message: str) -> None:
        """Add one message."""
        self._end_at = max(self._end_at, at)
        if match := ACCEPTED.match(message):
            submission_id, queue, cell, n_tasks, admission_s = match.groups()
            self.submission_by_id.setdefault(
                submission_id,
                SubmissionLog(queue, cell, int(n_tasks), float(admission_s or 0), at),
            )
        elif match := RECORDED.match(message):
            submission = self.submission_by_id.get(match[1])
            if submission is not None and submission.recorded_at is None:
                submission.recorded_at, submission.state = at, match[2]
        elif match := WAITS.match(message):
            self._waits_by_step[match[1], match[2]].append((at, match[3]))
        elif message.startswith("move proposed: "):
            for match in MOVED.finditer(message):
                if (task := self._find_task(match[1])) is not None:
                    task.moves.append((at, match[2]))
        else:
            self._read_run(at, message)

    def _read_run(self, at: float, message: str) -> None:
        if match := STARTED.match(message):
            task = self._find_task(match[1])
            if task is not None:
                task.runs.append(RunLog(at))
                submission = self._submission_of(match[1])
                submission.due_at = at + float(match[2])
        elif match := ENDED.match(message) or LOST.match(message):
            task = self._find_task(match[1])
            if task is not None and task.runs and task.runs[-1].ended_at is None:
                run = task.runs[-1]
                run.ended_at = at
                run.end = match[2] if match.re is ENDED else "lost"
        elif match := PACED.match(message):
            task = self._find_task(match[1])
            if task is not None and task.runs:
                task.runs[-1].paces.append((at, int(match[2])))

    def _submission_of(self, task_id: str) -> SubmissionLog | None:
        return self.submission_by_id.get(task_id.split(".", 1)[0])

    def _find_task(self, task_id: str) -> TaskLog | None:
        submission = self._submission_of(task_id)
        if submission is None:
            return None
        return submission.task_by_id.setdefault(task_id, TaskLog())

    def outcome_of(self, submission: SubmissionLog) -> str:
        """Return how a submission ended, as far as the log goes."""
        return submission.outcome(self._end_at)

    def seconds_by_cause(self, submission: SubmissionLog) -> dict[str, float]:
        """Return the seconds of a submission's critical path by what they went to."""
        seconds: dict[str, float] = defaultdict(float)
        for cause, length_s in self._spans(submission):
            seconds[cause] += length_s
        return dict(seconds)

    def _spans(self, submission: SubmissionLog) -> Spans:
        yield ADMISSION, submission.admission_s
        until = submission.recorded_at or self._end_at
        tasks = [
            (task_id, task, _number(task_id))
            for task_id, task in submission.task_by_id.items()
        ]
        if not tasks:
            yield from self._wait_spans(submission, "", submission.accepted_at, until)
            return
        end = until
        number = max(number for _, _, number in tasks)
        is_last = True
        while number >= 0:
            candidates = [item for item in tasks if item[2] == number]
            number -= 1
            if not candidates:
                continue
            earlier = [
                at
                for _, task, step in tasks
                if step <= number and (at := task.ended_at()) is not None
            ]
            ready_at = max(earlier, default=submission.accepted_at)
            task_id, task, _ = max(
                candidates,
                key=lambda item: min(item[1].ended_at() or self._end_at, end),
            )
            ended_at = min(task.ended_at() or end, end)
            if is_last and submission.recorded_at is not None:
                yield RECORDING, submission.recorded_at - ended_at
            is_last = False
            yield from self._task_spans(submission, task_id, task, ready_at, ended_at)
            end = ready_at

    def _task_spans(
        self,
        submission: SubmissionLog,
        task_id: str,
        task: TaskLog,
        ready_at: float,
        until: float,
    ) -> Spans:
        runs = [run for run in task.runs if run.started_at <= until]
        if not runs:
            yield from self._wait_spans(submission, task_id, ready_at, until)
            return
        first_at = max(ready_at, runs[0].started_at)
        yield from self._wait_spans(submission, task_id, ready_at, first_at)
        for run, following in zip(runs, runs[1:], strict=False):
            yield (
                f"run-again-{run.end or 'lost'}",
                following.started_at - run.started_at,
            )
        last = runs[-1]
        if last.end not in ("", "done"):
            yield f"run-again-{last.end}", until - last.started_at
            return
        paced_s = last.paced_s(until)
        yield PACE, paced_s
        yield PROCESSOR, max(0.0, until - max(ready_at, last.started_at) - paced_s)

    def _wait_spans(
        self, submission: SubmissionLog, task_id: str, since: float, until: float
    ) -> Spans:
        """Yield the reasons that were logged while a task waited for its first run."""
        if until <= since:
            return
        if not self._waits_by_step:
            yield UNKNOWN, until - since
            return
        task = submission.task_by_id.get(task_id, TaskLog())
        places = [(since, submission.home), *(m for m in task.moves if m[0] < until)]
        ends = [at for at, _ in places[1:]] + [until]
        for (at, cell), end in zip(places, ends, strict=True):
            yield from self._reasons_in_cell(task_id, cell, max(at, since), end)

    def _reasons_in_cell(
        self, task_id: str, cell: str, since: float, until: float
    ) -> Spans:
        step_id = task_id.rsplit(".", 1)[0]
        waits = self._waits_by_step.get((step_id, cell), ())
        before = [reason for at, reason in waits if at <= since]
        changes = [(at, reason) for at, reason in waits if since < at < until]
        first_at = changes[0][0] if changes else until
        if before:
            yield before[-1], first_at - since
        else:
            known_at = min(first_at, since + MAX_LOG_DELAY_S)
            yield FIRST_START, known_at - since
            yield OWNER, first_at - known_at
        ends = [at for at, _ in changes[1:]] + [until]
        for (at, reason), end in zip(changes, ends, strict=False):
            yield reason, end - at


def _number(task_id: str) -> int:
    """Return a sort key for the step of a task, by occurrence first."""
    _, occurrence, step, _ = task_id.split(".")
    return int(occurrence) * 100 + int(step)


def print_waits(account: WaitAccount, bin_s: float) -> None:
    """Print the account of late and failed submissions by queue and by time."""
    by_queue: dict[str, list[SubmissionLog]] = defaultdict(list)
    for submission in account.submission_by_id.values():
        if not submission.is_running():
            by_queue[submission.queue].append(submission)
    for queue, in_queue in sorted(by_queue.items()):
        if not any(submission.state for submission in in_queue):
            print(f"queue {queue}: not accounted for, no end is recorded")
            continue
        by_outcome: dict[str, list[SubmissionLog]] = defaultdict(list)
        for submission in in_queue:
            by_outcome[account.outcome_of(submission)].append(submission)
        counts = ", ".join(
            f"{len(by_outcome[name])} {name}"
            for name in (IN_TIME, LATE, OVER_LIMIT, FAILED)
        )
        print(f"queue {queue}: {counts}")
        for name in (IN_TIME, LATE, OVER_LIMIT, FAILED):
            _print_causes(f"  {name}, all", account, by_outcome[name])
        missed = by_outcome[LATE] + by_outcome[OVER_LIMIT] + by_outcome[FAILED]
        by_bin: dict[int, list[SubmissionLog]] = defaultdict(list)
        for submission in missed:
            by_bin[int(submission.accepted_at // bin_s)].append(submission)
        for number, in_bin in sorted(by_bin.items()):
            label = f"  late or failed, accepted from {number * bin_s:g} s"
            _print_causes(label, account, in_bin)


def _print_causes(
    label: str, account: WaitAccount, submissions: Iterable[SubmissionLog]
) -> None:
    sums: dict[str, float] = defaultdict(float)
    n_submissions = 0
    for submission in submissions:
        n_submissions += 1
        for cause, length_s in account.seconds_by_cause(submission).items():
            sums[cause] += length_s
    if not n_submissions:
        return
    largest = sorted(sums.items(), key=lambda item: -item[1])
    text = ", ".join(f"{cause} {sum_s:.1f}" for cause, sum_s in largest if sum_s > 0.05)
    print(f"{label} ({n_submissions}), s: {text}")

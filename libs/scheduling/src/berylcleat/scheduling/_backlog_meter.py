"""Counting of a cell's backlog by its owner."""

from bisect import bisect_left
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from berylcleat.model import QueuePolicy, Step, Submission

from ._backlog import (
    CORE_SECOND,
    RATE_WINDOW_S,
    SLACK_BOUNDS_S,
    CellBacklog,
    DrainRate,
    QueueWork,
    WaitingWork,
    objective_s,
    step_work,
)
from ._submissions import TrackedSubmission
from ._urgency import MIN_REMAINING_SHARE
from ._workers import Run, WorkerView

# The numbers of a cell are counted again after this time: the cell's load is asked for
# with every submission that its host receives.
MIN_COUNT_PERIOD_S = 0.2
# Most accounts that a cell reports; the rest are summed.
MAX_ACCOUNTS = 16
# A kind of work is saturated while this share of its processors is waited for: less is
# what arrives between two planning rounds.
MIN_WAITING_SHARE = 0.1
# More free capacity than this share beside waiting tasks means that they don't fit, not
# that the processors are used up.
MAX_FREE_SHARE = 0.25
# Seconds of saturation after which the counted ends tell the rate of the kind.
MIN_SATURATED_S = 2.0


class CompletedWork:
    """Declared work of the tasks that ended well within ``RATE_WINDOW_S``."""

    def __init__(self):
        self._ends: deque[tuple[float, bool, int, str]] = deque()

    def add(self, submission_id: str, step: Step, now: float) -> None:
        """Count the end of a task, or of a gang."""
        work = step_work(step, step.n_tasks if step.is_gang else 1)
        if work:
            self._ends.append((now, step.fills, work, submission_id))
        while self._ends and self._ends[0][0] < now - RATE_WINDOW_S:
            self._ends.popleft()

    def since(self, earliest: float, *, fills: bool) -> tuple[int, int]:
        """Return the work ended from ``earliest`` on, and of how many submissions."""
        ends = [
            (work, submission_id)
            for ended_at, ended_fills, work, submission_id in self._ends
            if ended_at >= earliest and ended_fills == fills
        ]
        return sum(work for work, _ in ends), len({name for _, name in ends})


@dataclass(frozen=True, slots=True)
class _Promise:
    """What doesn't change of a submission: its account and its work."""

    queue: QueuePolicy
    data_centre: str
    objective_s: float
    work: int


class BacklogMeter:
    """Counter of a cell's backlog for the load that its owner publishes.

    ``arrival_of`` returns the data centre where a submission arrived, or "". Nothing
    is kept that the next owner couldn't count again.
    """

    def __init__(
        self,
        completed: CompletedWork,
        arrival_of: Callable[[str], str],
        late_limit: float,
    ):
        self._completed = completed
        self._arrival_of = arrival_of
        self._late_limit = late_limit
        self._promise_by_id: dict[str, _Promise] = {}
        self._saturated_since: dict[bool, float] = {}
        # Work done by the runs in progress, by kind, at each count of the window.
        self._progress: deque[tuple[float, dict[bool, float]]] = deque()
        # Work of the submissions accepted within the window, with the time.
        self._admitted: list[tuple[float, int]] = []
        self._counted_at = float("-inf")
        self._last: CellBacklog | None = None

    def count(
        self,
        live: Iterable[TrackedSubmission],
        runs: Iterable[Run],
        workers: Iterable[WorkerView],
        now: float,
    ) -> CellBacklog:
        """Return the backlog; count it anew after ``MIN_COUNT_PERIOD_S``."""
        if self._last is None or now - self._counted_at >= MIN_COUNT_PERIOD_S:
            self._counted_at = now
            self._last = self._count(list(live), list(runs), list(workers), now)
        return self._last

    def _count(
        self,
        live: list[TrackedSubmission],
        runs: list[Run],
        workers: list[WorkerView],
        now: float,
    ) -> CellBacklog:
        tally = _Tally()
        promise_by_id: dict[str, _Promise] = {}
        for tracked in live:
            submission = tracked.submission
            if tracked.is_over or submission.is_scheduled:
                continue
            submission_id = submission.submission_id
            promise = self._promise_by_id.get(submission_id)
            if promise is None:
                promise = self._make(submission)
                if tracked.is_home:
                    accepted_at = tracked.due_at - promise.objective_s
                    self._admitted.append((accepted_at, promise.work))
            promise_by_id[submission_id] = promise
            self._count_waiting(tally, tracked, promise, now)
        self._admitted = [
            item for item in self._admitted if item[0] >= now - RATE_WINDOW_S
        ]
        self._promise_by_id = promise_by_id
        self._count_running(tally, runs, now)
        ordinary = self._ordinary_rate(tally, runs, workers, now)
        fillers = self._filler_rate(tally, runs, workers, now)
        return CellBacklog(
            tally.largest_accounts() if self._saturated_since else (),
            tally.waiting_work() if self._saturated_since else (),
            ordinary,
            fillers,
            sum(work for _, work in self._admitted),
        )

    def _count_running(self, tally: "_Tally", runs: list[Run], now: float) -> None:
        """Add what is left of the runs, and note what they have done."""
        done = {False: 0.0, True: 0.0}
        for run in runs:
            step = run.step
            promise = self._promise_by_id.get(run.task.submission_id)
            if promise is None or step.is_long_running:
                continue
            done_s = min(step.estimate_s, max(0.0, now - run.started_at))
            done[step.fills] += done_s * step.demand.cpu_millis
            left = int((step.estimate_s - done_s) * step.demand.cpu_millis)
            tally.add_running(promise.queue, promise.data_centre, step.fills, left)
        self._progress.append((now, done))
        while self._progress[0][0] < now - RATE_WINDOW_S:
            self._progress.popleft()

    def _make(self, submission: Submission) -> _Promise:
        work = sum(step_work(step, step.n_tasks) for step in submission.steps)
        arrival = self._arrival_of(submission.submission_id)
        return _Promise(submission.queue, arrival, objective_s(submission), work)

    def _count_waiting(
        self,
        tally: "_Tally",
        tracked: TrackedSubmission,
        promise: _Promise,
        now: float,
    ) -> None:
        """Add the waiting tasks of a submission, and the steps that follow at home."""
        if not promise.work:
            return
        slack_s = tracked.due_at - now
        extra_s = (self._late_limit - 1) * promise.objective_s
        is_given_up = slack_s < -extra_s
        needed_s = max(
            (tracked.remaining_s_by_step[n] for _, n in tracked.ready_by_step),
            default=0.0,
        )
        is_late = slack_s < needed_s * MIN_REMAINING_SHARE
        for number, step in enumerate(tracked.submission.steps):
            ready = tracked.ready_by_step.get((0, number))
            if ready is not None:
                n_tasks = len(ready.waiting)
                tally.add_cpu(step, n_tasks)
            elif tracked.is_home and (0, number) not in tracked.activated_steps:
                n_tasks = step.n_tasks
            else:
                continue
            # Work past its last use may be served after all other work, and an account
            # isn't charged for what the system has failed to do.
            if is_given_up:
                continue
            work = step_work(step, n_tasks)
            tally.add_account(promise.queue, promise.data_centre, step.fills, work)
            priority = promise.queue.priority
            tally.add_waiting(priority, step.fills, work, slack_s, is_late)

    def _ordinary_rate(
        self, tally: "_Tally", runs: list[Run], workers: list[WorkerView], now: float
    ) -> DrainRate:
        capacity = sum(view.entry.capacity.cpu_millis for view in workers)
        standing = sum(
            run.step.allocation.cpu_millis for run in runs if run.step.is_long_running
        )
        processors = max(0, capacity - standing)
        free = sum(max(0, view.free().cpu_millis) for view in workers)
        can_be_full = free <= MAX_FREE_SHARE * processors
        return self._rate(processors, tally.cpu[False] * can_be_full, now, fills=False)

    def _filler_rate(
        self, tally: "_Tally", runs: list[Run], workers: list[WorkerView], now: float
    ) -> DrainRate:
        left = sum(max(0, view.cpu_left()) for view in workers)
        used = sum(run.step.demand.cpu_millis for run in runs if run.step.fills)
        return self._rate(left + used, tally.cpu[True], now, fills=True)

    def _rate(
        self, processors: int, waiting_cpu: int, now: float, *, fills: bool
    ) -> DrainRate:
        if waiting_cpu <= MIN_WAITING_SHARE * processors:
            self._saturated_since.pop(fills, None)
            return DrainRate(processors)
        since = self._saturated_since.setdefault(fills, now)
        span_s = min(RATE_WINDOW_S, now - since)
        if span_s < MIN_SATURATED_S:
            return DrainRate(processors)
        work, n_submissions = self._completed.since(now - span_s, fills=fills)
        # Ends alone would miss what long runs do between them.
        earlier = next(done for at, done in self._progress if at >= now - span_s)
        work += max(0.0, self._progress[-1][1][fills] - earlier[fills])
        return DrainRate(processors, int(work / span_s), n_submissions)


class _Tally:
    """Sums of one count, by account and by priority and kind."""

    def __init__(self):
        self.cpu = {False: 0, True: 0}
        self._by_account: dict[tuple[str, str, int, bool], list[int]] = {}
        self._by_class: dict[tuple[int, bool], list[int]] = {}

    def add_cpu(self, step: Step, n_tasks: int) -> None:
        if not step.is_long_running:
            self.cpu[step.fills] += n_tasks * step.demand.cpu_millis

    def add_account(self, queue, data_centre: str, fills: bool, work: int) -> None:
        self._account(queue, data_centre, fills)[0] += work

    def add_running(self, queue, data_centre: str, fills: bool, work: int) -> None:
        if work:
            self._account(queue, data_centre, fills)[1] += work

    def _account(self, queue, data_centre: str, fills: bool) -> list[int]:
        key = (queue.name, data_centre, queue.priority, fills)
        return self._by_account.setdefault(key, [0, 0])

    def add_waiting(
        self, priority: int, fills: bool, work: int, slack_s: float, is_late: bool
    ) -> None:
        sums = self._by_class.setdefault(
            (priority, fills), [0] * (len(SLACK_BOUNDS_S) + 2)
        )
        sums[0 if is_late else 1 + bisect_left(SLACK_BOUNDS_S, slack_s)] += work

    def largest_accounts(self) -> tuple[QueueWork, ...]:
        rows = sorted(self._by_account.items(), key=lambda row: -sum(row[1]))
        queues: dict[tuple[str, int, bool], dict[str, tuple[int, int]]] = {}
        for (name, data_centre, priority, fills), sums in rows[:MAX_ACCOUNTS]:
            if any(sums):
                by_data_centre = queues.setdefault((name, priority, fills), {})
                by_data_centre[data_centre] = _to_core_seconds(sums)
        published = [QueueWork(*key, work) for key, work in queues.items()]
        rest = rows[MAX_ACCOUNTS:]
        if rest:
            # It may mix priorities and kinds; it stands under those of its largest.
            _, _, priority, fills = rest[0][0]
            sums = [
                sum(column) for column in zip(*(row[1] for row in rest), strict=True)
            ]
            work = {"": _to_core_seconds(sums)}
            published.append(QueueWork("", priority, fills, work))
        return tuple(published)

    def waiting_work(self) -> tuple[WaitingWork, ...]:
        rows = []
        for (priority, fills), (late, *by_slack) in sorted(self._by_class.items()):
            late, *by_slack = _to_core_seconds((late, *by_slack))
            while by_slack and not by_slack[-1]:
                by_slack.pop()
            if late or by_slack:
                rows.append(WaitingWork(priority, fills, late, tuple(by_slack)))
        return tuple(rows)


def _to_core_seconds(work: Iterable[int]) -> tuple[int, ...]:
    return tuple(item // CORE_SECOND for item in work)

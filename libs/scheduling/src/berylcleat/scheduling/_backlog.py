"""Work promised in a cell, how fast it drains, and when a new submission would end.

Work is counted as declared, in thousandths of a core-second, and published in whole
core-seconds. Ends are counted in the same unit, so an error that all estimates share
cancels out in the time to drain.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from berylcleat.model import Count, Integer, Step, Submission, critical_path_s

from ._urgency import MIN_REMAINING_SHARE

# Seconds over which ends and admissions are counted.
RATE_WINDOW_S = 5.0
# Upper bounds in seconds of the ranges of time left to the deadline. Within a range the
# work is taken as spread evenly.
SLACK_BOUNDS_S = tuple(0.5 * 1.5**n for n in range(14))
# A declared estimate may be this many times the true duration, or this part of it.
ESTIMATE_ERROR = 2.0
# Standard deviations that the true rate may lie above the counted one.
RATE_DEVIATIONS = 2.0
# Units of work in a published core-second.
CORE_SECOND = 1000


class QueueWork(msgspec.Struct, frozen=True, array_like=True):
    """Work of one queue and kind in core-seconds, waiting and running.

    An account is a queue and the data centre where its callers arrive. Both names are
    empty for the sum of the accounts that are not reported.
    """

    queue: str
    priority: Integer
    fills: bool
    by_data_centre: dict[str, tuple[Integer, Integer]]


class WaitingWork(msgspec.Struct, frozen=True, array_like=True):
    """Waiting work of one priority and kind, in core-seconds.

    ``by_slack`` follows ``SLACK_BOUNDS_S``, with the rest last; ``late`` can no longer
    meet its deadline.
    """

    priority: Integer
    fills: bool
    late: Integer
    by_slack: tuple[Integer, ...]

    def ahead(self, new: "NewWork", age_s: float) -> float:
        """Return the work that precedes a new submission.

        Late work of a higher priority precedes it. Late work of its own doesn't, nor
        what has become late since the report, ``age_s`` ago.
        """
        if self.priority > new.priority:
            return 0.0
        if self.priority < new.priority:
            return CORE_SECOND * (self.late + sum(self.by_slack))
        latest = age_s + new.due_in_s
        earliest = age_s + new.due_in_s - new.late_in_s
        return sum(
            CORE_SECOND
            * work
            * (_share_below(number, latest) - _share_below(number, earliest))
            for number, work in enumerate(self.by_slack)
        )


class DrainRate(msgspec.Struct, frozen=True, array_like=True):
    """Drain of one kind of work, a second.

    ``processors`` is what it could use, in thousandths of a core. ``done`` is work done
    a second, counted on ``n_submissions``; both are 0 until the kind has been saturated
    for long enough to tell.
    """

    processors: Integer = 0
    done: Integer = 0
    n_submissions: Count = 0

    def upper_bound(self) -> float:
        """Return the highest rate that the numbers allow.

        The tasks of a submission share the error of its estimates, so the count of
        submissions, not of tasks, tells how sure the rate is.
        """
        if self.n_submissions == 0:
            return self.processors * ESTIMATE_ERROR
        return self.done * (1 + RATE_DEVIATIONS / self.n_submissions**0.5)


class CellBacklog(msgspec.Struct, frozen=True, array_like=True):
    """Backlog of a cell as its owner publishes it.

    ``admitted`` is the work accepted for the cell within ``RATE_WINDOW_S``. Accounts
    and waiting work are left out while no kind of work is saturated: every host reads
    the loads of all cells, and there is nothing to refuse.
    """

    queues: tuple[QueueWork, ...]
    waiting: tuple[WaitingWork, ...]
    ordinary: DrainRate
    fillers: DrainRate
    admitted: Integer

    def rate(self, *, fills: bool) -> DrainRate:
        """Return the drain of ordinary work or of fillers."""
        return self.fillers if fills else self.ordinary


def total_rate(rates: Iterable[DrainRate]) -> float:
    """Return the highest rate at which several cells together may drain a kind."""
    rates = list(rates)
    counted = [rate for rate in rates if rate.n_submissions]
    total = DrainRate(
        0,
        sum(rate.done for rate in counted),
        sum(rate.n_submissions for rate in counted),
    )
    others = sum(rate.upper_bound() for rate in rates if not rate.n_submissions)
    return total.upper_bound() + others


def _share_below(number: int, slack_s: float) -> float:
    """Return which share of a range of slack lies below ``slack_s``."""
    if number >= len(SLACK_BOUNDS_S):
        return float(slack_s > SLACK_BOUNDS_S[-1])
    low = SLACK_BOUNDS_S[number - 1] if number else 0.0
    share = (slack_s - low) / (SLACK_BOUNDS_S[number] - low)
    return min(1.0, max(0.0, share))


def step_work(step: Step, n_tasks: int) -> int:
    """Return the declared work of tasks of a step; long-running ones have none."""
    if step.is_long_running:
        return 0
    return int(n_tasks * step.demand.cpu_millis * step.estimate_s)


def submission_work(submission: Submission, *, fills: bool) -> int:
    """Return the declared work of a submission's fillers or of its other tasks."""
    return sum(
        step_work(step, step.n_tasks)
        for step in submission.steps
        if step.fills == fills
    )


def objective_s(submission: Submission) -> float:
    """Return the time from acceptance to the deadline in seconds."""
    queue = submission.queue
    return critical_path_s(submission.steps) * queue.stretch + queue.objective_ms / 1000


# What a new submission may expect


@dataclass(frozen=True, slots=True)
class NewWork:
    """What the estimate needs of a new submission.

    ``work`` holds its declared work by whether it fills. The times are in seconds, from
    its acceptance.
    """

    priority: int
    work: dict[bool, int]
    starts_filling: bool
    path_s: float
    due_in_s: float

    @property
    def late_in_s(self) -> float:
        """Time after which it counts as late if it hasn't started."""
        return self.due_in_s - self.path_s * MIN_REMAINING_SHARE

    @property
    def kinds(self) -> set[bool]:
        """Kinds of its tasks that have work, and that of its first step."""
        return {
            self.starts_filling,
            *(kind for kind, work in self.work.items() if work),
        }

    @property
    def main_kind(self) -> bool:
        """Kind of most of its work."""
        return max(self.kinds, key=self.work.__getitem__)


def make_new_work(submission: Submission) -> NewWork:
    """Return the work of ``submission``."""
    return NewWork(
        submission.queue.priority,
        {fills: submission_work(submission, fills=fills) for fills in (False, True)},
        submission.steps[0].fills,
        critical_path_s(submission.steps),
        objective_s(submission),
    )


@dataclass(frozen=True, slots=True)
class Queued:
    """Work of one kind ahead of a new submission, and the rate at which it drains."""

    ahead: float
    rate: float


def reported_ahead(
    backlog: CellBacklog, new: NewWork, age_s: float, *, fills: bool
) -> float:
    """Return the work of one kind ahead of ``new`` when the report was made."""
    return sum(row.ahead(new, age_s) for row in backlog.waiting if row.fills == fills)


def expected_finish_s(new: NewWork, queued: dict[bool, Queued]) -> float:
    """Return the earliest time, in seconds from now, at which ``new`` can be done.

    Work that runs now delays it only through the rate: under saturation each start
    needs an end.
    """
    first = queued[new.starts_filling]
    finish_s = _drain_s(first.ahead, first.rate) + new.path_s / ESTIMATE_ERROR
    for fills, work in new.work.items():
        if work:
            kind = queued[fills]
            total = kind.ahead + work / ESTIMATE_ERROR
            finish_s = max(finish_s, _drain_s(total, kind.rate))
    return finish_s


def _drain_s(work: float, rate: float) -> float:
    if work <= 0:
        return 0.0
    return work / rate if rate > 0 else float("inf")

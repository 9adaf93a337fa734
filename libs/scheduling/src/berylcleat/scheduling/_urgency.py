"""Order of the steps that wait for a start, most urgent first."""

import logging
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from ._finish_estimate import FinishEstimator, declared_core_s, waiting_core_s

if TYPE_CHECKING:
    from ._submissions import ReadyStep, TrackedSubmission

# Share of the estimated remaining time taken as its lower bound: estimates are rough.
MIN_REMAINING_SHARE = 0.6
# Objectives after which a result counts nothing.
LATE_LIMIT = 3.0
# Seconds for which an assessment of all submissions is kept; plans are more frequent.
ASSESS_PERIOD_S = 0.2
# Seconds after its demotion in which a submission doesn't count as in time again.
MIN_DEMOTION_S = 2.0
# A submission that has begun and has at most this share of its work left is demoted
# only if it exceeds its deadline by more than this share of its objective.
NEARLY_DONE_SHARE = 0.3
SMALL_EXCESS_SHARE = 0.15
# Seconds for which the prospect of a submission without waiting steps is kept.
PROSPECT_MEMORY_S = 30.0
# Prospects of a submission, the best first.
IN_TIME, LATE, TOO_LATE = 0, 1, 2
logger = logging.getLogger(__name__)

SortKey = tuple


class UrgencyOrder(Protocol):
    """Order of ready steps."""

    def sort(self, ready: Iterable["ReadyStep"], now: float) -> list["ReadyStep"]:
        """Return the steps, most urgent first."""


def deadline_key(ready: "ReadyStep", now: float) -> SortKey:
    """Return the sort key by priority and deadline, most urgent first.

    Steps that can no longer meet their deadline come after those that can. A
    long-running step never counts as late: it is useful for as long as it runs.
    """
    tracked = ready.tracked
    return (
        tracked.submission.queue.priority,
        is_past_due(ready, now) and not ready.step.is_long_running,
        tracked.due_at,
        tracked.submission.submission_id,
        ready.occurrence,
        ready.number,
    )


def is_past_due(ready: "ReadyStep", now: float) -> bool:
    """Return whether a step can't meet its deadline even if it starts now."""
    tracked = ready.tracked
    remaining_s = tracked.remaining_s_by_step[ready.number] * MIN_REMAINING_SHARE
    return now + remaining_s > tracked.due_at


class DeadlineOrder:
    """Order by priority and deadline, judged by the declared estimates."""

    def sort(self, ready: Iterable["ReadyStep"], now: float) -> list["ReadyStep"]:
        """Return the steps, most urgent first."""
        return sorted(ready, key=lambda step: deadline_key(step, now))


@dataclass(slots=True)
class Prospect:
    """Whether a submission is expected to finish in time, and since when not."""

    rank: int = IN_TIME
    demoted_at: float = float("-inf")
    assessed_at: float = 0.0


class ExpectedFinishOrder:
    """Order by priority and by what is expected to finish in time.

    What is expected is computed for all submissions at a time: each has to wait for
    the work of those before it, at the rate at which such work gets done here.
    """

    def __init__(self, estimator: FinishEstimator):
        self._estimator = estimator
        self._prospect_by_id: dict[str, Prospect] = {}
        self._assessed_at = float("-inf")

    def sort(self, ready: Iterable["ReadyStep"], now: float) -> list["ReadyStep"]:
        """Return the steps, most urgent first."""
        steps = list(ready)
        if now - self._assessed_at >= ASSESS_PERIOD_S:
            self._assessed_at = now
            self._assess(steps, now)
        return sorted(steps, key=lambda step: self._key(step, now))

    def is_late(self, submission_id: str) -> bool:
        """Return whether a submission isn't expected to finish in time."""
        prospect = self._prospect_by_id.get(submission_id)
        return prospect is not None and prospect.rank != IN_TIME

    def counts(self) -> dict[int, int]:
        """Return the number of waiting submissions by prospect."""
        counts = dict.fromkeys((IN_TIME, LATE, TOO_LATE), 0)
        for prospect in self._prospect_by_id.values():
            counts[prospect.rank] += prospect.assessed_at == self._assessed_at
        return counts

    def _key(self, ready: "ReadyStep", now: float) -> SortKey:
        tracked = ready.tracked
        submission = tracked.submission
        if not _is_assessed(ready):
            _, is_late, *rest = deadline_key(ready, now)
            return (submission.queue.priority, LATE if is_late else IN_TIME, 0, *rest)
        prospect = self._prospect_by_id.get(submission.submission_id)
        rank = IN_TIME if prospect is None else prospect.rank
        due_at = late_at(tracked) if rank == LATE else tracked.due_at
        return (
            submission.queue.priority,
            rank,
            _begun_rank(ready) if rank == IN_TIME else 0,
            due_at,
            submission.submission_id,
            ready.occurrence,
            ready.number,
        )

    def _assess(self, steps: list["ReadyStep"], now: float) -> None:
        """Update the prospects of all submissions with waiting steps."""
        first_by_id: dict[str, ReadyStep] = {}
        for step in sorted(steps, key=lambda step: (step.occurrence, step.number)):
            if _is_assessed(step):
                first_by_id.setdefault(step.tracked.submission.submission_id, step)
        # A submission without waiting steps may have some again, and its ends must not
        # count as those of one in time meanwhile.
        self._prospect_by_id = {
            submission_id: prospect
            for submission_id, prospect in self._prospect_by_id.items()
            if now - prospect.assessed_at < PROSPECT_MEMORY_S
        }
        for submission_id in first_by_id:
            prospect = self._prospect_by_id.setdefault(submission_id, Prospect())
            prospect.assessed_at = now
        for fills in (False, True):
            candidates = [s for s in first_by_id.values() if s.step.fills == fills]
            ahead_core_s = self._estimator.running_core_s(fills)
            priorities = {s.tracked.submission.queue.priority for s in candidates}
            for priority in sorted(priorities):
                same = [
                    s
                    for s in candidates
                    if s.tracked.submission.queue.priority == priority
                ]
                ahead_core_s = self._assess_priority(same, ahead_core_s, now)

    def _assess_priority(
        self, steps: list["ReadyStep"], ahead_core_s: float, now: float
    ) -> float:
        """Assess submissions of one priority; return the work up to their end.

        One that can't finish in time is left out, so that it makes no other late.
        """
        steps.sort(key=lambda s: (_begun_rank(s), s.tracked.due_at, *_identity(s)))
        late: list[tuple[ReadyStep, float]] = []
        for ready in steps:
            work_core_s = waiting_core_s(ready.tracked)
            finish_at = self._finish_at(ready, ahead_core_s + work_core_s, now)
            if self._stays_in_time(ready, work_core_s, finish_at, now):
                ahead_core_s += work_core_s
            else:
                late.append((ready, work_core_s))
        late.sort(key=lambda item: (late_at(item[0].tracked), *_identity(item[0])))
        left_core_s = 0.0
        for ready, work_core_s in late:
            finish_at = self._finish_at(ready, ahead_core_s + work_core_s, now)
            prospect = self._prospect_by_id[ready.tracked.submission.submission_id]
            # Hopeless by this cell's rate alone: not put last before it is due, since
            # large submissions would never start otherwise.
            if now < ready.tracked.due_at or finish_at <= late_at(ready.tracked):
                prospect.rank = LATE
                ahead_core_s += work_core_s
            else:
                prospect.rank = TOO_LATE
                left_core_s += work_core_s
        return ahead_core_s + left_core_s

    def _finish_at(self, ready: "ReadyStep", work_core_s: float, now: float) -> float:
        return now + self._estimator.expected_remaining_s(
            ready.tracked, ready.number, now, work_core_s
        )

    def _stays_in_time(
        self, ready: "ReadyStep", work_core_s: float, finish_at: float, now: float
    ) -> bool:
        tracked = ready.tracked
        prospect = self._prospect_by_id[tracked.submission.submission_id]
        if prospect.rank != IN_TIME and now - prospect.demoted_at < MIN_DEMOTION_S:
            return False
        limit = tracked.due_at
        if prospect.rank == IN_TIME and _is_nearly_done(tracked, work_core_s):
            limit += SMALL_EXCESS_SHARE * objective_s(tracked)
        if finish_at <= limit:
            prospect.rank = IN_TIME
            return True
        if prospect.rank == IN_TIME:
            prospect.demoted_at = now
            logger.info(
                "submission %s: demoted as late, expected in %.1f s, due in %.1f s",
                tracked.submission.submission_id,
                finish_at - now,
                tracked.due_at - now,
            )
        return False


def objective_s(tracked: "TrackedSubmission") -> float:
    """Return the time from acceptance to the deadline."""
    queue = tracked.submission.queue
    path_s = max(tracked.remaining_s_by_step, default=0.0)
    return path_s * queue.stretch + queue.objective_ms / 1000


def late_at(tracked: "TrackedSubmission") -> float:
    """Return the time after which a result counts nothing."""
    return tracked.due_at + (LATE_LIMIT - 1) * objective_s(tracked)


def _is_assessed(ready: "ReadyStep") -> bool:
    """Return whether a step ends, so that its submission has a time to finish.

    Occurrences of scheduled submissions have no deadlines of their own.
    """
    return not ready.step.is_long_running and not ready.tracked.submission.is_scheduled


def _begun_rank(ready: "ReadyStep") -> int:
    """Return 0 for an ordinary step and a filler whose submission has begun, else 1.

    A cell knows only of what has begun there. Moved tasks must not count as begun: long
    ones would then pass short submissions in every cell that they are moved to.
    """
    return int(ready.step.fills and not ready.tracked.has_started)


def _identity(ready: "ReadyStep") -> tuple[str, int, int]:
    return (ready.tracked.submission.submission_id, ready.occurrence, ready.number)


def _is_nearly_done(tracked: "TrackedSubmission", work_core_s: float) -> bool:
    total_core_s = declared_core_s(tracked.submission.steps)
    return tracked.has_started and work_core_s <= NEARLY_DONE_SHARE * total_core_s

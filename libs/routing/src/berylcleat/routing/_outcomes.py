"""The closed set of outcomes, and what to do after an attempt."""

from dataclasses import dataclass
from enum import Enum


class Outcome(Enum):
    """Name the only three ends of a request."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class AttemptResult(Enum):
    """Name what one attempt at an upstream led to."""

    ANSWERED = "answered"
    FAILED_WHOLE = "failed-whole"
    REFUSED_BUSY = "refused-busy"
    REFUSED_LEAVING = "refused-leaving"
    NOT_SENT = "not-sent"
    LOST = "lost"
    TIMED_OUT = "timed-out"
    CUT_SHORT = "cut-short"


NOT_RUN_RESULTS = frozenset(
    (AttemptResult.REFUSED_BUSY, AttemptResult.REFUSED_LEAVING, AttemptResult.NOT_SENT)
)


class NextStep(Enum):
    """Name what follows an attempt."""

    ANSWER = "answer"
    TRY_AGAIN = "try-again"
    RETRY_IN_BUDGET = "retry-in-budget"
    REFUSE = "refuse"
    REPORT_UNKNOWN = "report-unknown"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """State what may be done with a request."""

    is_idempotent: bool
    priority: int
    deadline_at: float


def next_step(
    request: RequestClass, result: AttemptResult, n_attempts: int
) -> NextStep:
    """Return what follows ``result`` of the latest of ``n_attempts`` attempts.

    An attempt that provably did not run may be made again for any request; one whose
    outcome is unknown only for an idempotent request, and inside the retry budget.
    """
    if result is AttemptResult.ANSWERED:
        return NextStep.ANSWER
    if result in NOT_RUN_RESULTS:
        return NextStep.TRY_AGAIN if n_attempts < MAX_ATTEMPTS else NextStep.REFUSE
    if result is AttemptResult.FAILED_WHOLE:
        may_retry = request.is_idempotent and n_attempts < MAX_ATTEMPTS
        return NextStep.RETRY_IN_BUDGET if may_retry else NextStep.ANSWER
    if request.is_idempotent and n_attempts < MAX_ATTEMPTS:
        return NextStep.RETRY_IN_BUDGET
    return NextStep.REPORT_UNKNOWN


MAX_ATTEMPTS = 4

"""Outcomes of requests and attempts, and the retry decision after an attempt."""

from dataclasses import dataclass
from enum import Enum


class Outcome(Enum):
    """Final outcome of a request: answered, certainly not run, or not known."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class AttemptResult(Enum):
    """Result of one attempt at an upstream.

    FAILED_WHOLE: complete response with status 500 or above. REFUSED_BUSY and
    REFUSED_LEAVING: rejected by the upstream's guard before running. NOT_SENT: failed
    before the request was sent. LOST, TIMED_OUT, CUT_SHORT: sent, but no complete
    response arrived.
    """

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
    """What to do after an attempt.

    TRY_AGAIN needs no retry budget; RETRY_IN_BUDGET does. REFUSE: the last
    allowed attempt did not run. REPORT_UNKNOWN: the attempt may have run, and must not
    be retried.
    """

    ANSWER = "answer"
    TRY_AGAIN = "try-again"
    RETRY_IN_BUDGET = "retry-in-budget"
    REFUSE = "refuse"
    REPORT_UNKNOWN = "report-unknown"


@dataclass(frozen=True, slots=True)
class RequestOptions:
    """Idempotency, priority and deadline of a request."""

    is_idempotent: bool
    priority: int
    deadline_at: float


def next_step(
    options: RequestOptions, result: AttemptResult, n_attempts: int
) -> NextStep:
    """Return what to do after ``result`` of the latest of ``n_attempts`` attempts.

    Any request may be retried after an attempt that certainly did not run. After one
    that may have run, only idempotent requests may, within the retry budget.
    """
    if result is AttemptResult.ANSWERED:
        return NextStep.ANSWER
    if result in NOT_RUN_RESULTS:
        return NextStep.TRY_AGAIN if n_attempts < MAX_ATTEMPTS else NextStep.REFUSE
    if result is AttemptResult.FAILED_WHOLE:
        may_retry = options.is_idempotent and n_attempts < MAX_ATTEMPTS
        return NextStep.RETRY_IN_BUDGET if may_retry else NextStep.ANSWER
    if options.is_idempotent and n_attempts < MAX_ATTEMPTS:
        return NextStep.RETRY_IN_BUDGET
    return NextStep.REPORT_UNKNOWN


MAX_ATTEMPTS = 4

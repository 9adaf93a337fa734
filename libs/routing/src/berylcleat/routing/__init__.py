"""Request-path decisions: admission, load balancing, retries, idempotency keys.

Does no I/O and reads no clock.
"""

from ._admission import AdmissionDecision, AdmissionQueue
from ._budget import RetryBudget
from ._idempotency import (
    KeyDecision,
    KeyRow,
    KeyState,
    decide_key,
    request_digest,
)
from ._outcomes import (
    MAX_ATTEMPTS,
    NOT_RUN_RESULTS,
    AttemptResult,
    NextStep,
    Outcome,
    RequestOptions,
    next_step,
)
from ._router import ListedUpstream, Router
from ._upstreams import Upstream

__all__ = [
    "MAX_ATTEMPTS",
    "NOT_RUN_RESULTS",
    "AdmissionDecision",
    "AdmissionQueue",
    "AttemptResult",
    "KeyDecision",
    "KeyRow",
    "KeyState",
    "ListedUpstream",
    "NextStep",
    "Outcome",
    "RequestOptions",
    "RetryBudget",
    "Router",
    "Upstream",
    "decide_key",
    "next_step",
    "request_digest",
]

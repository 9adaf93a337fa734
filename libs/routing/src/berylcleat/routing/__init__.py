"""Pure decisions of the request path."""

from ._admission import Admission, WaitingRoom
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
    RequestClass,
    next_step,
)
from ._router import ListedUpstream, Router
from ._upstreams import Upstream

__all__ = [
    "MAX_ATTEMPTS",
    "NOT_RUN_RESULTS",
    "Admission",
    "AttemptResult",
    "KeyDecision",
    "KeyRow",
    "KeyState",
    "ListedUpstream",
    "NextStep",
    "Outcome",
    "RequestClass",
    "RetryBudget",
    "Router",
    "Upstream",
    "WaitingRoom",
    "decide_key",
    "next_step",
    "request_digest",
]

"""Counters of what servers refuse, and their log lines."""

import asyncio
import logging
from enum import Enum

from prometheus_client import Counter

# Seconds between two log lines on the same reason at one address.
LOG_PERIOD_S = 10.0
_closed_counter = Counter(
    "beryl_http_closed_connections",
    "Connections that a server closed at one of its limits",
    ("reason",),
)
_rejected_counter = Counter(
    "beryl_http_rejected_requests",
    "Requests that a server rejected before they were handled",
    ("status",),
)
logger = logging.getLogger(__name__)


class Closing(Enum):
    """Reason for which a server closes a connection at a limit."""

    TOO_MANY_CONNECTIONS = "too-many-connections"
    TOO_MANY_BYTES = "too-many-bytes"
    UNREAD_RESPONSE = "unread-response"


class RefusalReport:
    """Counts of one server's refusals; logs when refusals for a reason begin."""

    def __init__(self, address: str):
        self._address = address
        self._logged_at_by_reason: dict[Closing, float] = {}
        self._n_unlogged_by_reason: dict[Closing, int] = {}

    def count_closed(self, reason: Closing) -> None:
        """Count a closed connection."""
        _closed_counter.labels(reason.value).inc()
        n_closed = self._n_unlogged_by_reason.get(reason, 0) + 1
        self._n_unlogged_by_reason[reason] = n_closed
        now = asyncio.get_running_loop().time()
        if now - self._logged_at_by_reason.get(reason, float("-inf")) < LOG_PERIOD_S:
            return
        self._logged_at_by_reason[reason] = now
        self._n_unlogged_by_reason[reason] = 0
        logger.warning(
            "server %s: %s, %d connections closed",
            self._address,
            reason.value,
            n_closed,
        )

    def count_rejected(self, status: int) -> None:
        """Count a request that was rejected with ``status``."""
        _rejected_counter.labels(str(status)).inc()

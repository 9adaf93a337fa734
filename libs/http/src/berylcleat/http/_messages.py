"""Requests, responses and the failures of an exchange."""

from dataclasses import dataclass, field
from enum import Enum

from berylcleat.model import BerylError, ErrorCode

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """Hold one whole request; header names are lower case."""

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""

    def header(self, name: str, default: str = "") -> str:
        """Return the first value of header ``name``."""
        return _first(self.headers, name, default)


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Hold one whole response; header names are lower case."""

    status: int
    headers: Headers = ()
    body: bytes = b""

    def header(self, name: str, default: str = "") -> str:
        """Return the first value of header ``name``."""
        return _first(self.headers, name, default)


def _first(headers: Headers, name: str, default: str) -> str:
    for key, value in headers:
        if key == name:
            return value
    return default


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Bound what one connection may ask of the process."""

    max_body_bytes: int = 1_048_576
    receive_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
    send_timeout_s: float = 10.0
    headers: Headers = field(default_factory=tuple)


class ExchangeFailure(Enum):
    """Tell how an exchange with a server failed."""

    CONNECT_FAILED = "connect-failed"
    CONNECTION_LOST = "connection-lost"
    TIMED_OUT = "timed-out"
    CUT_SHORT = "cut-short"
    TOO_LARGE = "too-large"
    MALFORMED = "malformed"


class ExchangeError(BerylError):
    """Report a failed exchange; ``request_sent`` tells if any byte left."""

    code = ErrorCode.HOST_UNREACHABLE

    def __init__(self, failure: ExchangeFailure, address: str, request_sent: bool):
        super().__init__(f"{address}: {failure.value}", "Check that it runs there")
        self.failure = failure
        self.request_sent = request_sent


class AbandonConnectionError(Exception):
    """Tell the server to drop the connection without an answer."""

"""HTTP requests and responses, server limits and errors."""

from dataclasses import dataclass, field
from enum import Enum

from berylcleat.model import BerylError, ErrorCode

# Characters of an address in an error message: another process may have sent it.
MAX_LOGGED_ADDRESS = 80
Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """Complete HTTP request; header names are lower case."""

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""

    def header(self, name: str, default: str = "") -> str:
        """Return the first value of header ``name``, or ``default``."""
        return _find_header(self.headers, name, default)


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Complete HTTP response; header names are lower case."""

    status: int
    headers: Headers = ()
    body: bytes = b""

    def header(self, name: str, default: str = "") -> str:
        """Return the first value of header ``name``, or ``default``."""
        return _find_header(self.headers, name, default)


def _find_header(headers: Headers, name: str, default: str) -> str:
    for key, value in headers:
        if key == name:
            return value
    return default


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Server limits.

    A connection holds up to ``max_body_bytes`` of a body; handling a request takes
    ``handling_factor`` times its body in memory. The kernel keeps about
    ``kernel_buffer_bytes`` of what a connection has sent ahead. With more than
    ``max_connections`` the one that has waited longest for a request is closed.
    """

    max_body_bytes: int = 1_048_576
    receive_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0
    send_timeout_s: float = 10.0
    headers: Headers = field(default_factory=tuple)
    max_connections: int = 2000
    kernel_buffer_bytes: int = 32_768
    handling_factor: int = 2


class ExchangeFailure(Enum):
    """Kind of failure of an exchange (a request and its response).

    Without a connection, so that nothing was sent:
    CONNECT_REFUSED: the host at the address refused it.
    CONNECT_TIMED_OUT: there was no answer in time.
    CONNECT_FAILED: any other reason, no free descriptor or no route say.

    After the request was sent:
    CONNECTION_LOST: it was closed or reset before the head was complete.
    TIMED_OUT: no complete response arrived in time.
    CUT_SHORT: the response ended, or was no longer one, after its head.
    TOO_LARGE: the body exceeds the limit.
    MALFORMED: what arrived isn't a response.
    """

    CONNECT_FAILED = "connect-failed"
    CONNECT_REFUSED = "connect-refused"
    CONNECT_TIMED_OUT = "connect-timed-out"
    CONNECTION_LOST = "connection-lost"
    TIMED_OUT = "timed-out"
    CUT_SHORT = "cut-short"
    TOO_LARGE = "too-large"
    MALFORMED = "malformed"


class ExchangeError(BerylError):
    """Failed exchange; ``request_sent`` is False if no byte of the request was sent."""

    code = ErrorCode.HOST_UNREACHABLE

    def __init__(self, failure: ExchangeFailure, address: str, request_sent: bool):
        super().__init__(
            f"{address[:MAX_LOGGED_ADDRESS]}: {failure.value}",
            "Check that the server runs at this address",
        )
        self.failure = failure
        self.request_sent = request_sent


class AbandonConnectionError(Exception):
    """Raised by a handler to abort the connection without a response."""

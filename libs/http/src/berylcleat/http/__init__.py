"""HTTP/1.1 server and client based on h11."""

from ._client import ClientConnection, HttpClient
from ._messages import (
    AbandonConnectionError,
    ExchangeError,
    ExchangeFailure,
    HttpLimits,
    HttpRequest,
    HttpResponse,
)
from ._server import HttpServer, parse_address

__all__ = [
    "AbandonConnectionError",
    "ClientConnection",
    "ExchangeError",
    "ExchangeFailure",
    "HttpClient",
    "HttpLimits",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "parse_address",
]

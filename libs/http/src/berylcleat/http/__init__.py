"""HTTP/1.1 server and client based on h11."""

from ._byte_budget import DEFAULT_BUDGET_BYTES, ByteBudget
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
    "ByteBudget",
    "ClientConnection",
    "DEFAULT_BUDGET_BYTES",
    "ExchangeError",
    "ExchangeFailure",
    "HttpClient",
    "HttpLimits",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "parse_address",
]

"""Admin endpoint of every process."""

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from prometheus_client import REGISTRY, generate_latest

from berylcleat.http import HttpLimits, HttpRequest, HttpResponse
from berylcleat.model import BerylError, ErrorCode
from berylcleat.telemetry import Tracer

JSON_HEADERS = (("content-type", "application/json"),)
RETRY_AFTER_S = 1
STATUS_BY_CODE = {
    ErrorCode.CONFLICT: 409,
    ErrorCode.NOT_FOUND: 404,
    ErrorCode.PLATFORM_UNAVAILABLE: 503,
    ErrorCode.OUTCOME_UNKNOWN: 500,
    ErrorCode.NEVER_RUNNABLE: 422,
}
# Limits of servers that only operators, scrapers and probes call.
ADMIN_LIMITS = HttpLimits(max_connections=64)
RouteHandler = Callable[[HttpRequest], Awaitable[Any]]


def json_response(value: Any, status: int = 200) -> HttpResponse:
    """Encode ``value`` as a JSON response."""
    return HttpResponse(status, JSON_HEADERS, msgspec.json.encode(value))


def error_response(error: BerylError) -> HttpResponse:
    """Encode ``error`` as a JSON response with the status that matches its code."""
    status = STATUS_BY_CODE.get(error.code, 400)
    body = {
        "code": error.code.value,
        "message": error.message,
        "remedy": error.remedy,
    }
    retry_headers = (("retry-after", str(RETRY_AFTER_S)),) if status == 503 else ()
    return HttpResponse(status, JSON_HEADERS + retry_headers, msgspec.json.encode(body))


class AdminRouter:
    """Router of admin requests: /metrics, /ready, /traces/ID and registered routes."""

    def __init__(self, tracer: Tracer, is_ready: Callable[[], bool]):
        self._tracer = tracer
        self._is_ready = is_ready
        self.handler_by_route: dict[tuple[str, str], RouteHandler] = {}

    def add(self, method: str, prefix: str, handler: RouteHandler) -> None:
        """Route requests with ``method`` and a target under ``prefix`` to ``handler``.

        The handler's return value is encoded as JSON. Routes are tried in the order
        in which they were added.
        """
        self.handler_by_route[(method, prefix)] = handler

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to an admin request."""
        if request.target == "/metrics":
            return HttpResponse(
                200, (("content-type", "text/plain"),), generate_latest(REGISTRY)
            )
        if request.target == "/ready":
            is_ready = self._is_ready()
            return json_response({"ready": is_ready}, 200 if is_ready else 503)
        if request.target.startswith("/traces/"):
            return self._get_trace(request.target.removeprefix("/traces/"))
        return await self._dispatch(request)

    def _get_trace(self, trace_id: str) -> HttpResponse:
        try:
            return json_response(self._tracer.find_spans(trace_id))
        except ValueError:
            return json_response(
                {
                    "code": "bad-request",
                    "message": "not a trace id",
                    "remedy": "Give hex digits",
                },
                400,
            )

    async def _dispatch(self, request: HttpRequest) -> HttpResponse:
        for (method, prefix), handler in self.handler_by_route.items():
            if request.method == method and request.target.startswith(prefix):
                try:
                    return json_response(await handler(request))
                except BerylError as error:
                    return error_response(error)
        return json_response(
            {
                "code": "not-found",
                "message": f"no route {request.target}",
                "remedy": "See docs/OPERATORS.md",
            },
            404,
        )

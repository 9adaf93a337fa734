"""Answers that every process gives on its admin address."""

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from prometheus_client import REGISTRY, generate_latest

from berylcleat.http import HttpRequest, HttpResponse
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
Route = Callable[[HttpRequest], Awaitable[Any]]


def json_response(value: Any, status: int = 200) -> HttpResponse:
    """Return ``value`` as a JSON response."""
    return HttpResponse(status, JSON_HEADERS, msgspec.json.encode(value))


def error_response(error: BerylError) -> HttpResponse:
    """Return ``error`` as a JSON response with the status of its code."""
    status = STATUS_BY_CODE.get(error.code, 400)
    body = {
        "code": error.code.value,
        "message": error.message,
        "remedy": error.remedy,
    }
    retry = (("retry-after", str(RETRY_AFTER_S)),) if status == 503 else ()
    return HttpResponse(status, JSON_HEADERS + retry, msgspec.json.encode(body))


class AdminRouter:
    """Answer /metrics, /ready, /traces/ID and the routes of the process."""

    def __init__(self, tracer: Tracer, is_ready: Callable[[], bool]):
        self._tracer = tracer
        self._is_ready = is_ready
        self.by_route: dict[tuple[str, str], Route] = {}

    def add(self, method: str, prefix: str, route: Route) -> None:
        """Answer ``method`` on targets under ``prefix`` with ``route``."""
        self.by_route[(method, prefix)] = route

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one admin request."""
        if request.target == "/metrics":
            return HttpResponse(
                200, (("content-type", "text/plain"),), generate_latest(REGISTRY)
            )
        if request.target == "/ready":
            ready = self._is_ready()
            return json_response({"ready": ready}, 200 if ready else 503)
        if request.target.startswith("/traces/"):
            return self._traces(request.target.removeprefix("/traces/"))
        return await self._dispatch(request)

    def _traces(self, trace_id: str) -> HttpResponse:
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
        for (method, prefix), route in self.by_route.items():
            if request.method == method and request.target.startswith(prefix):
                try:
                    return json_response(await route(request))
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

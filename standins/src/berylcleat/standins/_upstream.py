"""Stand-in for the upstream service on a worker, with a limited number of slots."""

import asyncio
from dataclasses import dataclass, field

import msgspec

from berylcleat.http import AbandonConnectionError, HttpRequest, HttpResponse
from berylcleat.telemetry import TRACE_HEADER, Tracer

from ._history import History

JSON_HEADERS = (("content-type", "application/json"),)
REFUSED_HEADERS = (("x-guard", "refused"), ("retry-after", "1"))


@dataclass
class UpstreamStandin:
    """HTTP service that runs at most ``n_slots`` requests at once.

    It refuses further requests, and all requests while it is leaving, with 503 and
    headers that say that the request did not run. ``fails_all`` answers 500, and
    ``loses_answers`` closes the connection after the request ran.
    """

    worker_id: str
    history: History
    tracer: Tracer
    n_slots: int = 8
    service_ms: float = 20.0
    slowdown: float = 1.0
    is_leaving: bool = False
    fails_all: bool = False
    cuts_answers: bool = False
    loses_answers: bool = False
    n_busy: int = 0
    by_request_id: dict[str, int] = field(default_factory=dict)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Run one request, or refuse it before it runs."""
        if self.is_leaving:
            return self._refuse(request, "leaving")
        if self.n_busy >= self.n_slots:
            return self._refuse(request, "busy")
        self.n_busy += 1
        try:
            with self.tracer.span(
                "upstream.run",
                parent=request.header(TRACE_HEADER),
                worker=self.worker_id,
            ):
                return await self._run(request)
        finally:
            self.n_busy -= 1

    def _refuse(self, request: HttpRequest, reason: str) -> HttpResponse:
        request_id = request.header("x-request-id")
        self.history.write("request-refused", request_id, self.worker_id)
        return HttpResponse(503, (*REFUSED_HEADERS, ("x-guard-reason", reason)))

    async def _run(self, request: HttpRequest) -> HttpResponse:
        request_id = request.header("x-request-id")
        self.history.write("request-run", request_id, self.worker_id)
        if self.fails_all:
            return HttpResponse(500, JSON_HEADERS, b'{"error":"broken"}')
        await asyncio.sleep(self.service_ms * self.slowdown / 1000)
        self.history.write("request-done", request_id, self.worker_id)
        if self.loses_answers:
            raise AbandonConnectionError
        body = msgspec.json.encode(
            {
                "request_id": request_id,
                "worker": self.worker_id,
                "target": request.target,
                "echo": request.body.decode("utf-8", "replace"),
            }
        )
        return HttpResponse(200, JSON_HEADERS, body)

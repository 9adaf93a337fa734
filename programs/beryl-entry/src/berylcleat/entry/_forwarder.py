"""Forward one request to upstreams: attempts, retries, waiting."""

import asyncio
from dataclasses import dataclass

from berylcleat.http import (
    ExchangeError,
    ExchangeFailure,
    HttpClient,
    HttpRequest,
    HttpResponse,
)
from berylcleat.routing import (
    AttemptResult,
    NextStep,
    Outcome,
    RequestClass,
    Router,
    Upstream,
    WaitingRoom,
    next_step,
)
from berylcleat.telemetry import TRACE_HEADER, Tracer

from . import _metrics

GUARD_HEADER = "x-guard"
GUARD_REASON_HEADER = "x-guard-reason"
WAIT_CHECK_S = 0.05
HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        TRACE_HEADER,
    )
)
RESULT_BY_FAILURE = {
    ExchangeFailure.CONNECTION_LOST: AttemptResult.LOST,
    ExchangeFailure.TIMED_OUT: AttemptResult.TIMED_OUT,
}
FAILED_STATUS = 500


@dataclass(frozen=True, slots=True)
class Forwarded:
    """Hold the end of a request: its outcome, code and whole answer if any."""

    outcome: Outcome
    code: str
    response: HttpResponse | None = None


@dataclass(frozen=True, slots=True)
class _Attempt:
    """Hold the result of one attempt and its whole answer if any."""

    result: AttemptResult
    response: HttpResponse | None = None


@dataclass(frozen=True, slots=True)
class _Progress:
    """Hold what the attempts at one request have led to so far."""

    n_attempts: int = 0
    tried: frozenset[str] = frozenset()
    has_unknown: bool = False
    failed_whole: HttpResponse | None = None

    def after(self, worker_id: str, attempt: _Attempt) -> "_Progress":
        """Return the progress after one more attempt."""
        return _Progress(
            self.n_attempts + 1,
            self.tried | {worker_id},
            self.has_unknown or attempt.result in UNKNOWN_RESULTS,
            attempt.response
            if attempt.result is AttemptResult.FAILED_WHOLE
            else self.failed_whole,
        )

    def give_up(self) -> Forwarded:
        """Return the honest end: what may have run is never called not run."""
        if self.failed_whole:
            return Forwarded(Outcome.ANSWERED, "answered", self.failed_whole)
        if self.has_unknown:
            return Forwarded(Outcome.UNKNOWN, "retries-exhausted")
        code = "upstreams-refused" if self.tried else "overloaded"
        return Forwarded(Outcome.NOT_RUN, code)


UNKNOWN_RESULTS = frozenset(
    (AttemptResult.LOST, AttemptResult.TIMED_OUT, AttemptResult.CUT_SHORT)
)


def without_hop_headers(
    headers: tuple[tuple[str, str], ...],
) -> tuple[tuple[str, str], ...]:
    """Return the headers that go beyond one connection (RFC 9110, 7.6.1)."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name == "connection"
        for token in value.split(",")
    }
    return tuple(
        (name, value)
        for name, value in headers
        if name not in HOP_HEADERS and name not in named
    )


class Forwarder:
    """Make attempts at the upstreams of one service."""

    def __init__(
        self, router: Router, tracer: Tracer, n_places: int, n_connections: int
    ):
        self.router = router
        self._tracer = tracer
        self._n_connections = n_connections
        self._waiting_room = WaitingRoom(n_places)
        self._future_by_waiter: dict[int, asyncio.Future] = {}
        self._client_by_address: dict[str, HttpClient] = {}

    async def forward(
        self, request: HttpRequest, request_class: RequestClass, trace: str
    ) -> Forwarded:
        """Return the end of ``request``; at most one attempt has unknown outcome
        unless the request is idempotent.
        """
        self.router.budget = self.router.budget.earn()
        progress = _Progress()
        while True:
            upstream = await self._obtain(request_class, progress.tried)
            if upstream is None:
                return progress.give_up()
            attempt = await self._attempt(upstream, request, request_class, trace)
            progress = progress.after(upstream.worker_id, attempt)
            step = next_step(request_class, attempt.result, progress.n_attempts)
            if step is NextStep.RETRY_IN_BUDGET and not self._spend():
                return progress.give_up()
            if step is NextStep.ANSWER:
                return Forwarded(Outcome.ANSWERED, "answered", attempt.response)
            if step is NextStep.REPORT_UNKNOWN:
                return Forwarded(Outcome.UNKNOWN, attempt.result.value)
            if step is NextStep.REFUSE:
                return progress.give_up()

    def _spend(self) -> bool:
        budget = self.router.budget.spend()
        if budget is None:
            return False
        self.router.budget = budget
        _metrics.RETRIES.inc()
        return True

    async def _obtain(
        self, request_class: RequestClass, tried: frozenset[str]
    ) -> Upstream | None:
        """Return an upstream already counted as in flight, or None to refuse."""
        loop = asyncio.get_running_loop()
        if not self._future_by_waiter or tried:
            upstream = self._begin(loop.time(), tried)
            if upstream:
                return upstream
        if not self.router.has_any(loop.time()):
            return None
        return await self._wait(request_class)

    def _begin(self, now: float, tried: frozenset[str]) -> Upstream | None:
        upstream = self.router.choose(now, tried)
        if upstream:
            self.router.begin(upstream.worker_id)
        return upstream

    async def _wait(self, request_class: RequestClass) -> Upstream | None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        latency_s = self.router.mean_latency_s()
        admission, waiter_id = self._waiting_room.admit(
            request_class, now, latency_s, self.router.n_room(now)
        )
        if admission.shed_waiter_id:
            self._future_by_waiter[admission.shed_waiter_id].set_result(None)
        if not admission.is_admitted:
            return None
        future = self._future_by_waiter[waiter_id] = loop.create_future()
        _metrics.WAITING.set(len(self._waiting_room))
        loop.call_later(WAIT_CHECK_S, self._serve_waiting)
        try:
            async with asyncio.timeout_at(request_class.deadline_at - latency_s):
                return await future
        except TimeoutError:
            # A place given in the same turn of the loop is used, not lost.
            return future.result() if future.done() and not future.cancelled() else None
        finally:
            del self._future_by_waiter[waiter_id]
            self._waiting_room.leave(waiter_id)
            _metrics.WAITING.set(len(self._waiting_room))

    def _serve_waiting(self) -> None:
        """Hand free places to waiters, highest priority first."""
        loop = asyncio.get_running_loop()
        while len(self._waiting_room):
            upstream = self._begin(loop.time(), frozenset())
            if upstream is None:
                loop.call_later(WAIT_CHECK_S, self._serve_waiting)
                return
            if not self._hand_over(upstream):
                self.router.cancel(upstream.worker_id)
                return

    def _hand_over(self, upstream: Upstream) -> bool:
        while waiter := self._waiting_room.pop():
            future = self._future_by_waiter.get(waiter.waiter_id)
            if future and not future.done():
                future.set_result(upstream)
                return True
        return False

    async def _attempt(
        self,
        upstream: Upstream,
        request: HttpRequest,
        request_class: RequestClass,
        trace: str,
    ) -> _Attempt:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        result = AttemptResult.LOST
        try:
            with self._tracer.span(
                "entry.attempt", parent=trace, worker=upstream.worker_id
            ) as span:
                message = HttpRequest(
                    request.method,
                    request.target,
                    (
                        *request.headers,
                        (TRACE_HEADER, self._tracer.format_traceparent(span)),
                    ),
                    request.body,
                )
                timeout_s = request_class.deadline_at - started_at
                attempt = await self._exchange(upstream.address, message, timeout_s)
                result = attempt.result
                span.set_attribute("result", result.value)
            return attempt
        finally:
            now = loop.time()
            self.router.finish(upstream.worker_id, result, now - started_at, now)
            _metrics.ATTEMPTS.labels(result.value).inc()
            if len(self._waiting_room):
                self._serve_waiting()

    async def _exchange(
        self, address: str, message: HttpRequest, timeout_s: float
    ) -> _Attempt:
        if timeout_s <= 0:
            return _Attempt(AttemptResult.NOT_SENT)
        client = self._client_by_address.get(address)
        if client is None:
            client = HttpClient(address, max_connections=self._n_connections)
            self._client_by_address[address] = client
        try:
            response = await client.exchange(message, timeout_s)
        except ExchangeError as error:
            if not error.request_sent:
                return _Attempt(AttemptResult.NOT_SENT)
            cut = AttemptResult.CUT_SHORT
            return _Attempt(RESULT_BY_FAILURE.get(error.failure, cut))
        return _Attempt(_classify(response), response)


def _classify(response: HttpResponse) -> AttemptResult:
    if response.header(GUARD_HEADER) == "refused":
        if response.header(GUARD_REASON_HEADER) == "leaving":
            return AttemptResult.REFUSED_LEAVING
        return AttemptResult.REFUSED_BUSY
    if response.status >= FAILED_STATUS:
        return AttemptResult.FAILED_WHOLE
    return AttemptResult.ANSWERED

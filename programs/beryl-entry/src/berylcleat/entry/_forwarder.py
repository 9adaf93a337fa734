"""Forwarding of requests to upstreams: queueing, attempts and retries."""

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
    AdmissionQueue,
    AttemptResult,
    NextStep,
    Outcome,
    RequestOptions,
    Router,
    Upstream,
    next_step,
)
from berylcleat.telemetry import TRACE_HEADER, Tracer

from . import _metrics

GUARD_HEADER = "x-guard"
GUARD_REASON_HEADER = "x-guard-reason"
DISPATCH_INTERVAL_S = 0.05
# Hop-by-hop headers, Expect, and those that are set anew for each attempt.
NOT_FORWARDED_HEADERS = frozenset(
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
MIN_FAILURE_STATUS = 500


@dataclass(frozen=True, slots=True)
class ForwardResult:
    """Outcome and code of a request, and its complete response if there is one."""

    outcome: Outcome
    code: str
    response: HttpResponse | None = None


@dataclass(frozen=True, slots=True)
class _Attempt:
    """Result of one attempt, and its complete response if there is one."""

    result: AttemptResult
    response: HttpResponse | None = None


@dataclass(frozen=True, slots=True)
class _AttemptHistory:
    """Summary of the attempts made for one request so far."""

    n_attempts: int = 0
    tried_worker_ids: frozenset[str] = frozenset()
    may_have_run: bool = False
    failure_response: HttpResponse | None = None

    def after(self, worker_id: str, attempt: _Attempt) -> "_AttemptHistory":
        """Return the history after one more attempt."""
        return _AttemptHistory(
            self.n_attempts + 1,
            self.tried_worker_ids | {worker_id},
            self.may_have_run or attempt.result in UNKNOWN_RESULTS,
            attempt.response
            if attempt.result is AttemptResult.FAILED_WHOLE
            else self.failure_response,
        )

    def final_result(self) -> ForwardResult:
        """Return the result when no more attempts follow.

        Never reports NOT_RUN if an attempt may have run.
        """
        if self.failure_response:
            return ForwardResult(Outcome.ANSWERED, "answered", self.failure_response)
        if self.may_have_run:
            return ForwardResult(Outcome.UNKNOWN, "retries-exhausted")
        code = "upstreams-refused" if self.tried_worker_ids else "overloaded"
        return ForwardResult(Outcome.NOT_RUN, code)


UNKNOWN_RESULTS = frozenset(
    (AttemptResult.LOST, AttemptResult.TIMED_OUT, AttemptResult.CUT_SHORT)
)


def remove_hop_by_hop_headers(
    headers: tuple[tuple[str, str], ...],
) -> tuple[tuple[str, str], ...]:
    """Return the headers without hop-by-hop ones (RFC 9110, section 7.6.1).

    Also removes the other ``NOT_FORWARDED_HEADERS``.
    """
    connection_options = {
        token.strip().lower()
        for name, value in headers
        if name == "connection"
        for token in value.split(",")
    }
    return tuple(
        (name, value)
        for name, value in headers
        if name not in NOT_FORWARDED_HEADERS and name not in connection_options
    )


class Forwarder:
    """Forwards the requests of one service to its upstreams."""

    def __init__(
        self, router: Router, tracer: Tracer, queue_capacity: int, max_connections: int
    ):
        self.router = router
        self._tracer = tracer
        self._max_connections = max_connections
        self._admission_queue = AdmissionQueue(queue_capacity)
        self._future_by_waiter: dict[int, asyncio.Future] = {}
        self._client_by_address: dict[str, HttpClient] = {}

    async def forward(
        self, request: HttpRequest, options: RequestOptions, traceparent: str
    ) -> ForwardResult:
        """Forward ``request`` and return its result.

        Unless the request is idempotent, stops after the first attempt that may have
        run.
        """
        self.router.budget = self.router.budget.deposit()
        history = _AttemptHistory()
        while True:
            upstream = await self._acquire_upstream(options, history.tried_worker_ids)
            if upstream is None:
                return history.final_result()
            attempt = await self._make_attempt(upstream, request, options, traceparent)
            history = history.after(upstream.worker_id, attempt)
            step = next_step(options, attempt.result, history.n_attempts)
            if step is NextStep.RETRY_IN_BUDGET and not self._withdraw_retry():
                return history.final_result()
            if step is NextStep.ANSWER:
                return ForwardResult(Outcome.ANSWERED, "answered", attempt.response)
            if step is NextStep.REPORT_UNKNOWN:
                return ForwardResult(Outcome.UNKNOWN, attempt.result.value)
            if step is NextStep.REFUSE:
                return history.final_result()

    def _withdraw_retry(self) -> bool:
        budget = self.router.budget.withdraw()
        if budget is None:
            return False
        self.router.budget = budget
        _metrics.RETRIES.inc()
        return True

    async def _acquire_upstream(
        self, options: RequestOptions, tried_worker_ids: frozenset[str]
    ) -> Upstream | None:
        """Return an upstream with the attempt counted in flight, or None to reject."""
        loop = asyncio.get_running_loop()
        # A first attempt must not overtake waiting requests; a retry may.
        if not self._future_by_waiter or tried_worker_ids:
            upstream = self._try_begin(loop.time(), tried_worker_ids)
            if upstream:
                return upstream
        if not self.router.has_upstream(loop.time()):
            return None
        return await self._wait_for_upstream(options)

    def _try_begin(
        self, now: float, tried_worker_ids: frozenset[str]
    ) -> Upstream | None:
        upstream = self.router.choose(now, tried_worker_ids)
        if upstream:
            self.router.begin(upstream.worker_id)
        return upstream

    async def _wait_for_upstream(self, options: RequestOptions) -> Upstream | None:
        loop = asyncio.get_running_loop()
        now = loop.time()
        latency_s = self.router.mean_latency_s()
        admission, waiter_id = self._admission_queue.admit(
            options, now, latency_s, self.router.total_limit(now)
        )
        if admission.shed_waiter_id:
            self._future_by_waiter[admission.shed_waiter_id].set_result(None)
        if not admission.is_admitted:
            return None
        future = self._future_by_waiter[waiter_id] = loop.create_future()
        _metrics.WAITING.set(len(self._admission_queue))
        loop.call_later(DISPATCH_INTERVAL_S, self._dispatch_to_waiters)
        try:
            async with asyncio.timeout_at(options.deadline_at - latency_s):
                return await future
        except TimeoutError:
            # An upstream assigned in the same loop iteration as the timeout is used;
            # dropping it would leak its in-flight count.
            return future.result() if future.done() and not future.cancelled() else None
        finally:
            del self._future_by_waiter[waiter_id]
            self._admission_queue.remove(waiter_id)
            _metrics.WAITING.set(len(self._admission_queue))

    def _dispatch_to_waiters(self) -> None:
        """Assign upstreams with free capacity to waiters, highest priority first."""
        loop = asyncio.get_running_loop()
        while len(self._admission_queue):
            upstream = self._try_begin(loop.time(), frozenset())
            if upstream is None:
                loop.call_later(DISPATCH_INTERVAL_S, self._dispatch_to_waiters)
                return
            if not self._assign_to_waiter(upstream):
                self.router.cancel(upstream.worker_id)
                return

    def _assign_to_waiter(self, upstream: Upstream) -> bool:
        while waiter := self._admission_queue.pop():
            future = self._future_by_waiter.get(waiter.waiter_id)
            if future and not future.done():
                future.set_result(upstream)
                return True
        return False

    async def _make_attempt(
        self,
        upstream: Upstream,
        request: HttpRequest,
        options: RequestOptions,
        traceparent: str,
    ) -> _Attempt:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        result = AttemptResult.LOST
        try:
            with self._tracer.span(
                "entry.attempt", parent=traceparent, worker=upstream.worker_id
            ) as span:
                upstream_request = HttpRequest(
                    request.method,
                    request.target,
                    (
                        *request.headers,
                        (TRACE_HEADER, self._tracer.format_traceparent(span)),
                    ),
                    request.body,
                )
                timeout_s = options.deadline_at - started_at
                attempt = await self._exchange(
                    upstream.address, upstream_request, timeout_s
                )
                result = attempt.result
                span.set_attribute("result", result.value)
            return attempt
        finally:
            now = loop.time()
            self.router.finish(upstream.worker_id, result, now - started_at, now)
            _metrics.ATTEMPTS.labels(result.value).inc()
            if len(self._admission_queue):
                self._dispatch_to_waiters()

    async def _exchange(
        self, address: str, upstream_request: HttpRequest, timeout_s: float
    ) -> _Attempt:
        if timeout_s <= 0:
            return _Attempt(AttemptResult.NOT_SENT)
        client = self._client_by_address.get(address)
        if client is None:
            client = HttpClient(address, max_connections=self._max_connections)
            self._client_by_address[address] = client
        try:
            response = await client.exchange(upstream_request, timeout_s)
        except ExchangeError as error:
            if not error.request_sent:
                return _Attempt(AttemptResult.NOT_SENT)
            default = AttemptResult.CUT_SHORT
            return _Attempt(RESULT_BY_FAILURE.get(error.failure, default))
        return _Attempt(_classify_response(response), response)


def _classify_response(response: HttpResponse) -> AttemptResult:
    if response.header(GUARD_HEADER) == "refused":
        if response.header(GUARD_REASON_HEADER) == "leaving":
            return AttemptResult.REFUSED_LEAVING
        return AttemptResult.REFUSED_BUSY
    if response.status >= MIN_FAILURE_STATUS:
        return AttemptResult.FAILED_WHOLE
    return AttemptResult.ANSWERED

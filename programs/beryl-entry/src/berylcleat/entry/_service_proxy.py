"""HTTP handler for callers: finds the service, claims keys, forwards requests."""

import asyncio
import math
import random
import secrets

from berylcleat.http import HttpRequest, HttpResponse
from berylcleat.model import (
    ConfigDocument,
    PlatformUnavailableError,
    Service,
    effective_services,
    parse_selector,
    worker_labels,
)
from berylcleat.ports import ListedWorker
from berylcleat.routing import (
    KeyDecision,
    ListedUpstream,
    Outcome,
    RequestOptions,
    Router,
    request_digest,
)
from berylcleat.telemetry import TRACE_HEADER, Tracer, parse_trace_id

from . import _metrics
from ._forwarder import Forwarder, ForwardResult, remove_hop_by_hop_headers
from ._idempotency_keys import IdempotencyKeyStore, KeyClaim

KEY_HEADER = "idempotency-key"
REQUEST_ID_HEADER = "x-request-id"
DEADLINE_HEADER = "x-deadline-ms"
RETRY_AFTER_S = 1
MAX_KEY_CHARACTERS = 200
STATUS_BY_CODE = {
    "no-such-service": 404,
    "retired": 410,
    "bad-deadline": 400,
    "bad-key": 400,
    "key-mismatch": 422,
    "in-progress": 409,
    "overloaded": 503,
}
UNKNOWN_STATUS = 502


class ServiceProxy:
    """Reverse proxy with one forwarder for each configured service."""

    def __init__(
        self,
        data_centre: str,
        tracer: Tracer,
        key_store: IdempotencyKeyStore,
        queue_capacity: int,
        random_state: random.Random,
    ):
        self._data_centre = data_centre
        self._tracer = tracer
        self._key_store = key_store
        self._queue_capacity = queue_capacity
        self._random_state = random_state
        self._is_config_known = False
        self.service_by_name: dict[str, Service] = {}
        self.forwarder_by_service: dict[str, Forwarder] = {}
        self.n_in_flight = 0

    def apply_config(self, document: ConfigDocument) -> None:
        """Replace the configured services by those of ``document``."""
        self._is_config_known = True
        self.service_by_name = effective_services(document)
        for name in set(self.forwarder_by_service) - set(self.service_by_name):
            del self.forwarder_by_service[name]
        _metrics.CONFIG_VERSION.set(document.version)

    def apply_workers(
        self, workers: tuple[ListedWorker, ...], n_entry_hosts: int
    ) -> None:
        """Set each service's upstreams to the listed workers its selector matches."""
        for name, service in self.service_by_name.items():
            selector = parse_selector(service.placement)
            listed = [
                ListedUpstream(worker.spec, worker.is_leaving)
                for worker in workers
                if not worker.is_gone and selector.matches(worker_labels(worker.spec))
            ]
            self._get_or_make_forwarder(name, service).router.update(
                listed, n_entry_hosts
            )

    def _get_or_make_forwarder(self, name: str, service: Service) -> Forwarder:
        forwarder = self.forwarder_by_service.get(name)
        if forwarder is None:
            router = Router(
                self._data_centre, service.slots_per_worker, self._random_state
            )
            forwarder = Forwarder(
                router,
                self._tracer,
                self._queue_capacity,
                service.connections_per_worker,
            )
            self.forwarder_by_service[name] = forwarder
        forwarder.router.n_slots = service.slots_per_worker
        return forwarder

    def mark_leaving(self, worker_ids: tuple[str, ...]) -> None:
        """Mark upstreams as leaving, as reported by a peer."""
        now = asyncio.get_running_loop().time()
        for forwarder in self.forwarder_by_service.values():
            for worker_id in worker_ids:
                forwarder.router.mark_leaving(worker_id, now)

    def leaving_workers(self) -> tuple[str, ...]:
        """Return the ids of workers that a refusal or a peer reported as leaving."""
        now = asyncio.get_running_loop().time()
        found: set[str] = set()
        for forwarder in self.forwarder_by_service.values():
            found.update(forwarder.router.leaving_workers(now))
        return tuple(sorted(found))

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle one caller's request; trace it and record its metrics."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self.n_in_flight += 1
        try:
            parent = request.header(TRACE_HEADER)
            with self._tracer.span("entry.request", parent=parent) as span:
                traceparent = self._tracer.format_traceparent(span)
                result = await self._forward(request, traceparent, started_at)
                span.set_attribute("outcome", result.outcome.value)
                span.set_attribute("code", result.code)
            _metrics.REQUESTS.labels(result.outcome.value, result.code).inc()
            _metrics.LATENCY.observe(loop.time() - started_at)
            return _to_response(result, traceparent)
        finally:
            self.n_in_flight -= 1

    async def _forward(
        self, request: HttpRequest, traceparent: str, started_at: float
    ) -> ForwardResult:
        name = request.target.lstrip("/").split("/", 1)[0].split("?", 1)[0]
        service = self.service_by_name.get(name)
        rejection = self._rejection_code(service)
        if rejection:
            return ForwardResult(Outcome.NOT_RUN, rejection)
        deadline_ms = _parse_deadline_ms(request, service)
        if deadline_ms is None:
            return ForwardResult(Outcome.NOT_RUN, "bad-deadline")
        options = RequestOptions(
            request.method in service.idempotent_methods,
            service.priority,
            started_at + deadline_ms / 1000,
        )
        upstream_request = _make_upstream_request(request)
        forwarder = self.forwarder_by_service.get(name)
        if forwarder is None:
            return ForwardResult(Outcome.NOT_RUN, "no-upstream-known")
        key = request.header(KEY_HEADER)
        if len(key) > MAX_KEY_CHARACTERS:
            return ForwardResult(Outcome.NOT_RUN, "bad-key")
        if key and not options.is_idempotent:
            return await self._forward_with_key(
                forwarder, upstream_request, options, traceparent, key
            )
        return await forwarder.forward(upstream_request, options, traceparent)

    def _rejection_code(self, service: Service | None) -> str:
        if not self._is_config_known:
            return "configuration-unknown"
        if service is None:
            return "no-such-service"
        return "retired" if service.retired else ""

    async def _forward_with_key(
        self,
        forwarder: Forwarder,
        request: HttpRequest,
        options: RequestOptions,
        traceparent: str,
        key: str,
    ) -> ForwardResult:
        name = request.target.lstrip("/").split("/", 1)[0]
        digest = request_digest(request.method, request.target, request.body)
        with self._tracer.span("entry.claim-key", parent=traceparent):
            try:
                claim = await self._key_store.claim(
                    name, key, digest, options.deadline_at
                )
            except PlatformUnavailableError:
                return ForwardResult(Outcome.NOT_RUN, "key-store-unavailable")
        if claim.decision is not KeyDecision.CLAIM:
            return _result_of_existing_key(claim)
        # Recorded if forwarding is cancelled: the request may have run.
        result = ForwardResult(Outcome.UNKNOWN, "interrupted")
        try:
            result = await forwarder.forward(request, options, traceparent)
            return result
        finally:
            self._key_store.record_outcome(claim, result.outcome, result.response)


def _result_of_existing_key(claim: KeyClaim) -> ForwardResult:
    if claim.decision is KeyDecision.REPLAY:
        row = claim.row
        headers = (*row.headers, ("beryl-replayed", "1"))
        response = HttpResponse(row.status, headers, row.body)
        return ForwardResult(Outcome.ANSWERED, "replayed", response)
    if claim.decision is KeyDecision.MISMATCH:
        return ForwardResult(Outcome.NOT_RUN, "key-mismatch")
    return ForwardResult(Outcome.UNKNOWN, claim.decision.value)


def _parse_deadline_ms(request: HttpRequest, service: Service) -> float | None:
    text = request.header(DEADLINE_HEADER)
    if not text:
        return service.deadline_ms
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) and value > 0 else None


def _make_upstream_request(request: HttpRequest) -> HttpRequest:
    headers = remove_hop_by_hop_headers(request.headers)
    if not request.header(REQUEST_ID_HEADER):
        headers = (*headers, (REQUEST_ID_HEADER, secrets.token_hex(8)))
    return HttpRequest(request.method, request.target, headers, request.body)


def _to_response(result: ForwardResult, traceparent: str) -> HttpResponse:
    outcome_headers = (
        ("beryl-outcome", result.outcome.value),
        ("beryl-code", result.code),
        ("beryl-trace", parse_trace_id(traceparent)),
    )
    if result.response is not None:
        headers = remove_hop_by_hop_headers(result.response.headers)
        return HttpResponse(
            result.response.status, headers + outcome_headers, result.response.body
        )
    is_unknown = result.outcome is Outcome.UNKNOWN
    status = STATUS_BY_CODE.get(result.code, UNKNOWN_STATUS if is_unknown else 503)
    headers = (("retry-after", str(RETRY_AFTER_S)), ("content-type", "text/plain"))
    text = f"{result.outcome.value}: {result.code}\n"
    return HttpResponse(status, headers + outcome_headers, text.encode())

"""Answer callers: route by service, admit, claim keys, forward."""

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
    RequestClass,
    Router,
    request_digest,
)
from berylcleat.telemetry import TRACE_HEADER, Tracer, parse_trace_id

from . import _metrics
from ._forwarder import Forwarded, Forwarder, without_hop_headers
from ._keys import KeyClaim, KeyKeeper

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


class ServiceDesk:
    """Hold a forwarder for each service in force."""

    def __init__(
        self,
        data_centre: str,
        tracer: Tracer,
        keys: KeyKeeper,
        n_places: int,
        random_state: random.Random,
    ):
        self._data_centre = data_centre
        self._tracer = tracer
        self._keys = keys
        self._n_places = n_places
        self._random_state = random_state
        self._is_config_known = False
        self.service_by_name: dict[str, Service] = {}
        self.forwarder_by_service: dict[str, Forwarder] = {}
        self.n_in_flight = 0

    def apply_config(self, document: ConfigDocument) -> None:
        """Put every service of ``document`` in force at once."""
        self._is_config_known = True
        self.service_by_name = effective_services(document)
        for name in set(self.forwarder_by_service) - set(self.service_by_name):
            del self.forwarder_by_service[name]
        _metrics.CONFIG_VERSION.set(document.version)

    def apply_workers(self, workers: tuple[ListedWorker, ...], n_sharers: int) -> None:
        """Give each service the listed workers that its placement matches."""
        for name, service in self.service_by_name.items():
            selector = parse_selector(service.placement)
            listed = [
                ListedUpstream(worker.spec, worker.is_leaving)
                for worker in workers
                if not worker.is_gone and selector.matches(worker_labels(worker.spec))
            ]
            self._forwarder(name, service).router.update(listed, n_sharers)

    def _forwarder(self, name: str, service: Service) -> Forwarder:
        forwarder = self.forwarder_by_service.get(name)
        if forwarder is None:
            router = Router(
                self._data_centre, service.slots_per_worker, self._random_state
            )
            forwarder = Forwarder(
                router, self._tracer, self._n_places, service.connections_per_worker
            )
            self.forwarder_by_service[name] = forwarder
        forwarder.router.n_slots = service.slots_per_worker
        return forwarder

    def mark_leaving(self, worker_ids: tuple[str, ...]) -> None:
        """Take over the peers' word on leaving upstreams."""
        now = asyncio.get_running_loop().time()
        for forwarder in self.forwarder_by_service.values():
            for worker_id in worker_ids:
                forwarder.router.mark_leaving(worker_id, now)

    def leaving_workers(self) -> tuple[str, ...]:
        """Return the upstreams that told us themselves that they leave."""
        now = asyncio.get_running_loop().time()
        found: set[str] = set()
        for forwarder in self.forwarder_by_service.values():
            found.update(forwarder.router.leaving_workers(now))
        return tuple(sorted(found))

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one caller."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self.n_in_flight += 1
        try:
            parent = request.header(TRACE_HEADER)
            with self._tracer.span("entry.request", parent=parent) as span:
                trace = self._tracer.format_traceparent(span)
                ended = await self._serve(request, trace, started_at)
                span.set_attribute("outcome", ended.outcome.value)
                span.set_attribute("code", ended.code)
            _metrics.REQUESTS.labels(ended.outcome.value, ended.code).inc()
            _metrics.LATENCY.observe(loop.time() - started_at)
            return _to_response(ended, trace)
        finally:
            self.n_in_flight -= 1

    async def _serve(
        self, request: HttpRequest, trace: str, started_at: float
    ) -> Forwarded:
        name = request.target.lstrip("/").split("/", 1)[0].split("?", 1)[0]
        service = self.service_by_name.get(name)
        refusal = self._refusal(service)
        if refusal:
            return Forwarded(Outcome.NOT_RUN, refusal)
        deadline_ms = _deadline_ms(request, service)
        if deadline_ms is None:
            return Forwarded(Outcome.NOT_RUN, "bad-deadline")
        request_class = RequestClass(
            request.method in service.idempotent_methods,
            service.priority,
            started_at + deadline_ms / 1000,
        )
        message = _forwardable(request)
        forwarder = self.forwarder_by_service.get(name)
        if forwarder is None:
            return Forwarded(Outcome.NOT_RUN, "no-upstream-known")
        key = request.header(KEY_HEADER)
        if len(key) > MAX_KEY_CHARACTERS:
            return Forwarded(Outcome.NOT_RUN, "bad-key")
        if key and not request_class.is_idempotent:
            return await self._serve_keyed(
                forwarder, message, request_class, trace, key
            )
        return await forwarder.forward(message, request_class, trace)

    def _refusal(self, service: Service | None) -> str:
        if not self._is_config_known:
            return "configuration-unknown"
        if service is None:
            return "no-such-service"
        return "retired" if service.retired else ""

    async def _serve_keyed(
        self,
        forwarder: Forwarder,
        request: HttpRequest,
        request_class: RequestClass,
        trace: str,
        key: str,
    ) -> Forwarded:
        name = request.target.lstrip("/").split("/", 1)[0]
        digest = request_digest(request.method, request.target, request.body)
        with self._tracer.span("entry.claim-key", parent=trace):
            try:
                claim = await self._keys.claim(
                    name, key, digest, request_class.deadline_at
                )
            except PlatformUnavailableError:
                return Forwarded(Outcome.NOT_RUN, "key-store-unavailable")
        if claim.decision is not KeyDecision.CLAIM:
            return _without_run(claim)
        ended = Forwarded(Outcome.UNKNOWN, "interrupted")
        try:
            ended = await forwarder.forward(request, request_class, trace)
            return ended
        finally:
            self._keys.settle(claim, ended.outcome, ended.response)


def _without_run(claim: KeyClaim) -> Forwarded:
    if claim.decision is KeyDecision.REPLAY:
        row = claim.row
        headers = (*row.headers, ("beryl-replayed", "1"))
        response = HttpResponse(row.status, headers, row.body)
        return Forwarded(Outcome.ANSWERED, "replayed", response)
    if claim.decision is KeyDecision.MISMATCH:
        return Forwarded(Outcome.NOT_RUN, "key-mismatch")
    return Forwarded(Outcome.UNKNOWN, claim.decision.value)


def _deadline_ms(request: HttpRequest, service: Service) -> float | None:
    text = request.header(DEADLINE_HEADER)
    if not text:
        return service.deadline_ms
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) and value > 0 else None


def _forwardable(request: HttpRequest) -> HttpRequest:
    headers = without_hop_headers(request.headers)
    if not request.header(REQUEST_ID_HEADER):
        headers = (*headers, (REQUEST_ID_HEADER, secrets.token_hex(8)))
    return HttpRequest(request.method, request.target, headers, request.body)


def _to_response(ended: Forwarded, trace: str) -> HttpResponse:
    own = (
        ("beryl-outcome", ended.outcome.value),
        ("beryl-code", ended.code),
        ("beryl-trace", parse_trace_id(trace)),
    )
    if ended.response is not None:
        headers = without_hop_headers(ended.response.headers)
        return HttpResponse(ended.response.status, headers + own, ended.response.body)
    is_unknown = ended.outcome is Outcome.UNKNOWN
    status = STATUS_BY_CODE.get(ended.code, UNKNOWN_STATUS if is_unknown else 503)
    headers = (("retry-after", str(RETRY_AFTER_S)), ("content-type", "text/plain"))
    text = f"{ended.outcome.value}: {ended.code}\n"
    return HttpResponse(status, headers + own, text.encode())

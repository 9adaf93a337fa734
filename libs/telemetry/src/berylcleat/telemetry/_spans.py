"""Spans, kept in a bounded buffer and carried by the traceparent header.

The header is the W3C Trace Context of 2021, by OpenTelemetry's propagator.
"""

from collections import deque
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, Span, TracerProvider
from opentelemetry.sdk.trace.export import (
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.trace import set_span_in_context
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

N_SPANS_KEPT = 5_000
TRACE_HEADER = "traceparent"


@dataclass(frozen=True, slots=True)
class SpanRecord:
    """Describe one finished span; times are nanoseconds since the epoch."""

    trace_id: str
    span_id: str
    parent_id: str
    name: str
    process: str
    start_ns: int
    end_ns: int
    attributes: dict[str, str] = field(default_factory=dict)


class _BufferExporter(SpanExporter):
    """Keep the newest finished spans in memory."""

    def __init__(self, n_kept: int):
        self.spans: deque[ReadableSpan] = deque(maxlen=n_kept)

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        self.spans.extend(spans)
        return SpanExportResult.SUCCESS


class Tracer:
    """Open spans and give back those of a trace."""

    def __init__(self, process: str, n_kept: int = N_SPANS_KEPT):
        self._process = process
        self._exporter = _BufferExporter(n_kept)
        provider = TracerProvider(
            resource=Resource({"service.name": process}), shutdown_on_exit=False
        )
        provider.add_span_processor(SimpleSpanProcessor(self._exporter))
        self._tracer = provider.get_tracer("berylcleat")
        self._propagator = TraceContextTextMapPropagator()

    @contextmanager
    def span(self, name: str, *, parent: str = "", **attributes: str) -> Iterator[Span]:
        """Open a span under the ``parent`` header value while the block runs."""
        context = self._propagator.extract({TRACE_HEADER: parent}) if parent else None
        span = self._tracer.start_span(name, context=context, attributes=attributes)
        try:
            yield span
        finally:
            span.end()

    def format_traceparent(self, span: Span) -> str:
        """Return the header value that makes ``span`` the parent elsewhere."""
        carrier: dict[str, str] = {}
        self._propagator.inject(carrier, set_span_in_context(span))
        return carrier.get(TRACE_HEADER, "")

    def find(self, trace_id: str) -> tuple[SpanRecord, ...]:
        """Return the spans kept of ``trace_id`` (32 hex digits)."""
        wanted = int(trace_id, 16)
        found = (s for s in self._exporter.spans if s.context.trace_id == wanted)
        return tuple(self._record(span) for span in found)

    def _record(self, span: ReadableSpan) -> SpanRecord:
        return SpanRecord(
            trace_id=f"{span.context.trace_id:032x}",
            span_id=f"{span.context.span_id:016x}",
            parent_id=f"{span.parent.span_id:016x}" if span.parent else "",
            name=span.name,
            process=self._process,
            start_ns=span.start_time,
            end_ns=span.end_time,
            attributes={key: str(value) for key, value in span.attributes.items()},
        )


def parse_trace_id(header: str) -> str:
    """Return the trace id inside a traceparent header value, or ''."""
    parts = header.split("-")
    return parts[1] if len(parts) == 4 else ""

"""Trace spans, kept in a bounded in-memory buffer.

Trace context is propagated in the ``traceparent`` header of W3C Trace Context (2021),
encoded and decoded by OpenTelemetry.
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

MAX_SPANS = 5_000
TRACE_HEADER = "traceparent"


@dataclass(frozen=True, slots=True)
class SpanRecord:
    """Finished span; times are in nanoseconds since the Unix epoch."""

    trace_id: str
    span_id: str
    parent_id: str
    name: str
    process: str
    start_ns: int
    end_ns: int
    attributes: dict[str, str] = field(default_factory=dict)


class _BufferExporter(SpanExporter):
    """Exporter that keeps the newest ``max_spans`` finished spans in memory."""

    def __init__(self, max_spans: int):
        self.spans: deque[ReadableSpan] = deque(maxlen=max_spans)

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        self.spans.extend(spans)
        return SpanExportResult.SUCCESS


class Tracer:
    """Tracer that starts spans and looks up the finished spans of a trace."""

    def __init__(self, process: str, max_spans: int = MAX_SPANS):
        self._process = process
        self._exporter = _BufferExporter(max_spans)
        provider = TracerProvider(
            resource=Resource({"service.name": process}), shutdown_on_exit=False
        )
        provider.add_span_processor(SimpleSpanProcessor(self._exporter))
        self._tracer = provider.get_tracer("berylcleat")
        self._propagator = TraceContextTextMapPropagator()

    @contextmanager
    def span(self, name: str, *, parent: str = "", **attributes: str) -> Iterator[Span]:
        """Record a span for the duration of the ``with`` block.

        ``parent`` is the ``traceparent`` value of the parent span; without one, the
        span starts a new trace.
        """
        context = self._propagator.extract({TRACE_HEADER: parent}) if parent else None
        span = self._tracer.start_span(name, context=context, attributes=attributes)
        try:
            yield span
        finally:
            span.end()

    def format_traceparent(self, span: Span) -> str:
        """Return the ``traceparent`` value that propagates ``span`` as a parent."""
        carrier: dict[str, str] = {}
        self._propagator.inject(carrier, set_span_in_context(span))
        return carrier.get(TRACE_HEADER, "")

    def find_spans(self, trace_id: str) -> tuple[SpanRecord, ...]:
        """Return the buffered spans of ``trace_id`` (32 hexadecimal digits).

        Raises ``ValueError`` if ``trace_id`` is not hexadecimal.
        """
        trace_number = int(trace_id, 16)
        spans = (s for s in self._exporter.spans if s.context.trace_id == trace_number)
        return tuple(self._to_record(span) for span in spans)

    def _to_record(self, span: ReadableSpan) -> SpanRecord:
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


def parse_trace_id(traceparent: str) -> str:
    """Return the trace id in a ``traceparent`` value, or '' if it hasn't four parts."""
    parts = traceparent.split("-")
    return parts[1] if len(parts) == 4 else ""

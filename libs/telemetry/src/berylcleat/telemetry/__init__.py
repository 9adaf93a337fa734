"""Counters, structured logs and spans."""

from ._logs import BoundedHandler, setup_logging
from ._spans import TRACE_HEADER, SpanRecord, Tracer, parse_trace_id

__all__ = [
    "TRACE_HEADER",
    "BoundedHandler",
    "SpanRecord",
    "Tracer",
    "parse_trace_id",
    "setup_logging",
]

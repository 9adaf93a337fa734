"""Counters, structured logs and spans."""

from ._logs import BoundedHandler, setup_logging
from ._spans import TRACE_HEADER, SpanRecord, Tracer, trace_id_of

__all__ = [
    "TRACE_HEADER",
    "BoundedHandler",
    "SpanRecord",
    "Tracer",
    "setup_logging",
    "trace_id_of",
]

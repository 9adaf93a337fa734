"""Structured logs and trace spans."""

from ._logs import RateLimitedHandler, setup_logging
from ._spans import TRACE_HEADER, SpanRecord, Tracer, parse_trace_id

__all__ = [
    "TRACE_HEADER",
    "RateLimitedHandler",
    "SpanRecord",
    "Tracer",
    "parse_trace_id",
    "setup_logging",
]

"""Prometheus metrics of the entry process."""

from prometheus_client import Counter, Gauge, Histogram

REQUESTS = Counter(
    "beryl_entry_requests", "Requests by outcome and code", ("outcome", "code")
)
ATTEMPTS = Counter(
    "beryl_entry_attempts", "Attempts at upstreams by result", ("result",)
)
RETRIES = Counter("beryl_entry_retries", "Retries charged to the retry budget")
WAITING = Gauge("beryl_entry_waiting", "Requests waiting for an upstream")
CONFIG_VERSION = Gauge("beryl_entry_config_version", "Configuration version in effect")
CONTROL_BYTES = Gauge(
    "beryl_entry_control_bytes",
    "Control traffic sent and received, in bytes",
    ("channel",),
)
LATENCY = Histogram(
    "beryl_entry_latency_seconds", "Time from request to response, in seconds"
)

"""Prometheus metrics of the client API, the list of workers and the store."""

from prometheus_client import Counter, Gauge, Histogram

REFUSALS = Counter(
    "beryl_host_refusals",
    "Refused submissions by queue and reason",
    ("queue", "reason"),
)
ADMISSION_ESTIMATES = Histogram(
    "beryl_host_admission_estimate_seconds",
    "Estimated time to the end of submissions that found no free capacity",
    ("queue",),
    buckets=(1, 2, 4, 8, 16, 32, 64, 128),
)
HOME_CELLS = Counter(
    "beryl_host_home_cells",
    "Submissions by the choice of their home cell: drawn among cells that can hold the "
    "first step (fits), those with half of the most headroom (partial), or full cells",
    ("choice",),
)
REJECTED_WORKER_ENTRIES = Counter(
    "beryl_host_rejected_worker_entries",
    "Entries of the list of workers that name no worker to use, counted when they "
    "appear and when the reason changes",
)
STORE_UNREACHABLE = Gauge(
    "beryl_host_store_unreachable",
    "1 while the store is believed not to answer this host",
)
RELAYED_REQUESTS = Counter(
    "beryl_host_relayed_requests",
    "Client requests passed to other hosts by result: answered, refused, unknown or "
    "declined",
    ("result",),
)
EARLY_CANCELLATIONS = Counter(
    "beryl_host_early_cancellations",
    "Cancellations of submissions that aren't stored, by result: recorded, refused "
    "because there were too many, or removed after their time",
    ("result",),
)

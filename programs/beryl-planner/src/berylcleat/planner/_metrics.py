"""Prometheus metrics of the planner process."""

from prometheus_client import Counter, Gauge

STARTS = Counter("beryl_planner_task_starts", "Tasks assigned to workers")
ENDS = Counter("beryl_planner_task_ends", "Attempts ended by outcome", ("outcome",))
EVICTIONS = Counter("beryl_planner_evictions", "Tasks evicted")
THROTTLES = Counter("beryl_planner_throttles", "Throttles set or removed")
COMMITS = Counter("beryl_planner_commits", "Journal commits by result", ("result",))
RECORDS = Counter("beryl_planner_records", "Journal records written")
TAKEOVERS = Counter("beryl_planner_takeovers", "Cells taken over")
CELLS = Gauge("beryl_planner_cells", "Cells owned")
EXCHANGES = Counter(
    "beryl_planner_exchanges", "Worker exchanges by result", ("result",)
)
CONFIG_VERSION = Gauge("beryl_planner_config_version", "Configuration version in force")
CONTROL_BYTES = Gauge(
    "beryl_planner_control_bytes", "Bytes sent and received for control", ("channel",)
)
TABLE_WRITES = Gauge("beryl_planner_table_row_writes", "Table rows written")

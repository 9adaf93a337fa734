"""Small stand-ins of the platform and its workers, and a fleet to start them."""

from ._commands import platform_main, rack_main, task_platform_main
from ._fleet import (
    Fleet,
    FleetPlan,
    Host,
    find_free_ports,
    make_fleet_plan,
    send_request,
)
from ._history import History, HistoryEvent, read_history
from ._memory_store import MemoryStore
from ._platform import Faults, PlatformSettings
from ._rack import RackSettings, WorkerFault
from ._row_store import RowStore
from ._task_client import (
    DEADLINE_HEADER,
    HOST_NAME,
    PREFIX,
    make_operator_config,
    make_submission_body,
)
from ._task_platform import TaskPlatformSettings
from ._task_worker import TaskWorker, WorkerRun
from ._verdicts import double_runs, overlapping_attempts
from ._worker import WorkerStandin

__all__ = [
    "DEADLINE_HEADER",
    "Faults",
    "Fleet",
    "FleetPlan",
    "HOST_NAME",
    "History",
    "HistoryEvent",
    "Host",
    "MemoryStore",
    "PREFIX",
    "PlatformSettings",
    "RackSettings",
    "RowStore",
    "TaskPlatformSettings",
    "TaskWorker",
    "WorkerFault",
    "WorkerRun",
    "WorkerStandin",
    "double_runs",
    "find_free_ports",
    "make_fleet_plan",
    "make_operator_config",
    "make_submission_body",
    "overlapping_attempts",
    "platform_main",
    "rack_main",
    "read_history",
    "send_request",
    "task_platform_main",
]

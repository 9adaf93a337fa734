"""Stand-ins for the platform and its workers, and a local fleet that starts them."""

from ._commands import platform_main, rack_main, task_platform_main
from ._fleet import (
    Fleet,
    FleetPlan,
    Host,
    make_fleet_plan,
    send_request,
)
from ._history import History, HistoryEvent, read_history
from ._history_checks import find_overlapping_tasks, find_repeated_requests
from ._memory_store import MemoryStore
from ._platform import Faults, PlatformSettings
from ._ports import find_free_ports
from ._process_usage import ProcessUsage, read_process_usage
from ._rack import RackSettings, WorkerFault
from ._row_store import RowStore
from ._task_client import (
    DEADLINE_HEADER,
    HOST_NAME,
    PATH_PREFIX,
    make_operator_config,
    make_submission_body,
)
from ._task_platform import TaskPlatformSettings
from ._task_worker import TaskWorker, WorkerRun
from ._unruly_clients import Onslaught, OnslaughtResult, run_onslaught
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
    "Onslaught",
    "OnslaughtResult",
    "PATH_PREFIX",
    "PlatformSettings",
    "ProcessUsage",
    "RackSettings",
    "RowStore",
    "TaskPlatformSettings",
    "TaskWorker",
    "WorkerFault",
    "WorkerRun",
    "WorkerStandin",
    "find_free_ports",
    "find_overlapping_tasks",
    "find_repeated_requests",
    "make_fleet_plan",
    "make_operator_config",
    "make_submission_body",
    "platform_main",
    "rack_main",
    "read_history",
    "read_process_usage",
    "run_onslaught",
    "send_request",
    "task_platform_main",
]

"""Process lifecycle shared by all programs: signals, periodic calls, admin endpoint."""

from ._admin import ADMIN_LIMITS, AdminRouter, error_response, json_response
from ._loop_delay import LoopDelayMonitor
from ._process import (
    EXIT_FATAL_ERROR,
    StopSignal,
    cancel_all,
    keep_running,
    report_failure,
    run_periodically,
    run_process,
)
from ._version import VERSION

__all__ = [
    "ADMIN_LIMITS",
    "EXIT_FATAL_ERROR",
    "VERSION",
    "AdminRouter",
    "LoopDelayMonitor",
    "StopSignal",
    "cancel_all",
    "error_response",
    "json_response",
    "keep_running",
    "report_failure",
    "run_periodically",
    "run_process",
]

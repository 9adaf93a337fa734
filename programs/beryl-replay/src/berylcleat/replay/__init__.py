"""Generate and replay scheduling traces; generate HTTP load."""

from ._commands import main
from ._load import LoadGenerator, LoadPlan, LoadReport
from ._make import TRACE_MAKER_BY_KIND, make_trace
from ._outcomes import Report
from ._policies import POLICY_MAKER_BY_NAME, make_policy
from ._replay import Replay
from ._trace import Trace, load_trace, write_lines

__all__ = [
    "POLICY_MAKER_BY_NAME",
    "TRACE_MAKER_BY_KIND",
    "LoadGenerator",
    "LoadPlan",
    "LoadReport",
    "Replay",
    "Report",
    "Trace",
    "load_trace",
    "main",
    "make_policy",
    "make_trace",
    "write_lines",
]

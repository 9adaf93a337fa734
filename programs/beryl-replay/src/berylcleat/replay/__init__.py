"""Replay recorded traces through the decision code; send load."""

from ._commands import main
from ._load import LoadPlan, LoadReport, LoadRun
from ._make import MAKER_BY_KIND, make_trace
from ._outcomes import Report
from ._policies import MAKER_BY_NAME, make_policy
from ._replay import Replay
from ._trace import Trace, load_trace, write_lines

__all__ = [
    "MAKER_BY_KIND",
    "MAKER_BY_NAME",
    "LoadPlan",
    "LoadReport",
    "LoadRun",
    "Replay",
    "Report",
    "Trace",
    "load_trace",
    "main",
    "make_policy",
    "make_trace",
    "write_lines",
]

"""Planner process: cell ownership, task placement and the operator API."""

from ._commands import main
from ._process import PlannerProcess, serve_planner
from ._settings import PlannerSettings, check_planner_settings

__all__ = [
    "PlannerProcess",
    "PlannerSettings",
    "check_planner_settings",
    "main",
    "serve_planner",
]

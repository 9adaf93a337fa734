"""Host process: accepts submissions and schedules the cells that it owns."""

from ._commands import main

__all__ = ["main"]

"""The host process: takes submissions and drives the cells that it owns."""

from ._commands import main

__all__ = ["main"]

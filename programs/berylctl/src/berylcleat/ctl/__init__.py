"""The operators' command line."""

from ._commands import main

__all__ = ["main"]

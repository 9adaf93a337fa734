"""Command-line client of the admin API, for operators."""

from ._commands import main

__all__ = ["main"]

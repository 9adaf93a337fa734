"""Entry process: reverse proxy from callers to the upstreams of services."""

from ._commands import main
from ._process import EntryProcess, serve_entry
from ._settings import EntrySettings, check_entry_settings

__all__ = [
    "EntryProcess",
    "EntrySettings",
    "check_entry_settings",
    "main",
    "serve_entry",
]

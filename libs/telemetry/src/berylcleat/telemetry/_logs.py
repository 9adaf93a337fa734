"""Structured logs: one JSON object a line, for changes of state only."""

import logging
import sys
import time

import msgspec


class _JsonFormatter(logging.Formatter):
    """Write each record as one JSON object."""

    def __init__(self, process: str):
        super().__init__()
        self._process = process

    def format(self, record: logging.LogRecord) -> str:
        stamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        fields = {
            "time": f"{stamp}.{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "process": self._process,
            "logger": record.name,
            "message": record.getMessage(),
        }
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        return msgspec.json.encode(fields).decode()


def setup_logging(process: str, level: str = "INFO") -> None:
    """Send logs of this process to standard error as JSON lines."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(_JsonFormatter(process))
    logging.basicConfig(level=level, handlers=[handler], force=True)

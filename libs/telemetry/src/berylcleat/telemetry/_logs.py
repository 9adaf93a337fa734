"""Structured logs: one JSON object per line, rate-limited and non-blocking."""

import logging
import os
import sys
import time

import msgspec

# Further lines within the same second are dropped and counted.
MAX_LINES_PER_S = 400


class _JsonFormatter(logging.Formatter):
    """Formatter that encodes each record as one JSON object."""

    def __init__(self, process: str):
        super().__init__()
        self._process = process

    def format(self, record: logging.LogRecord) -> str:
        timestamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        fields = {
            "time": f"{timestamp}.{int(record.msecs):03d}Z",
            "level": record.levelname.lower(),
            "process": self._process,
            "logger": record.name,
            "message": record.getMessage(),
        }
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        return msgspec.json.encode(fields).decode()


class RateLimitedHandler(logging.Handler):
    """Log handler that writes to a file descriptor without blocking.

    Lines beyond ``max_lines_per_s``, and lines that can't be written completely
    because the pipe is full or closed, are dropped and counted. The next line written
    reports how many were dropped.
    """

    def __init__(self, descriptor: int, max_lines_per_s: int = MAX_LINES_PER_S):
        super().__init__()
        self._descriptor = descriptor
        self._max_lines_per_s = max_lines_per_s
        self._current_second = 0
        self._n_lines_this_second = 0
        self.n_dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write ``record``, or drop and count it."""
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second = second
            self._n_lines_this_second = 0
        self._n_lines_this_second += 1
        if self._n_lines_this_second > self._max_lines_per_s:
            self.n_dropped += 1
            return
        if self.n_dropped:
            record.msg = f"{record.getMessage()} ({self.n_dropped} lines dropped)"
            record.args = ()
        if self._write(self.format(record) + "\n"):
            self.n_dropped = 0
        else:
            self.n_dropped += 1

    def _write(self, line: str) -> bool:
        data = line.encode()
        try:
            n_written = os.write(self._descriptor, data)
        except OSError:
            # The pipe is full because its reader is slow, or it is closed. The caller
            # counts the line as dropped.
            return False
        return n_written == len(data)


def setup_logging(process: str, level: str = "INFO") -> None:
    """Write the logs of this process to standard output as JSON lines."""
    handler = RateLimitedHandler(sys.stdout.fileno())
    handler.setFormatter(_JsonFormatter(process))
    logging.basicConfig(level=level, handlers=[handler], force=True)

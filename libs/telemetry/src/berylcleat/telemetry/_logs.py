"""Structured logs: one JSON object a line, bounded, never waiting for a reader."""

import logging
import os
import sys
import time

import msgspec

# Lines a second beyond which further ones are counted instead of written.
MAX_LINES_PER_S = 400


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


class BoundedHandler(logging.Handler):
    """Write lines to a file descriptor without ever blocking.

    Lines beyond ``max_lines_per_s``, or that the reader leaves no room for, are
    dropped and counted; the next line that gets through tells how many.
    """

    def __init__(self, descriptor: int, max_lines_per_s: int = MAX_LINES_PER_S):
        super().__init__()
        self._descriptor = descriptor
        self._max_lines_per_s = max_lines_per_s
        self._second = 0
        self._n_lines = 0
        self.n_dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, or count it as dropped."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._n_lines = 0
        self._n_lines += 1
        if self._n_lines > self._max_lines_per_s:
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
            written = os.write(self._descriptor, data)
        except OSError:
            # The reader is slow or gone; its lines are counted as dropped.
            return False
        return written == len(data)


def setup_logging(process: str, level: str = "INFO") -> None:
    """Send logs of this process to standard output as JSON lines."""
    handler = BoundedHandler(sys.stdout.fileno())
    handler.setFormatter(_JsonFormatter(process))
    logging.basicConfig(level=level, handlers=[handler], force=True)

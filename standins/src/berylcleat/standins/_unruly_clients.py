"""Clients that send what no honest client sends, and read no response."""

import selectors
import socket
import time
from dataclasses import dataclass

from ._process_usage import ProcessUsage, read_process_usage

# Receive buffer of a client, in bytes: responses soon stay with the server.
RECEIVE_BUFFER_BYTES = 4096
# Bytes that a client sends before the next client's turn.
MAX_SEND_BYTES = 65_536
# Connections that are attempted in a row before others get a turn.
MAX_CONNECTS_PER_TURN = 50
USAGE_PERIOD_S = 0.05
RECONNECT_DELAY_S = 0.05
SELECT_TIMEOUT_S = 0.02
# A process that uses this many times its memory is stopped, to spare the machine.
STOP_FACTOR = 1.5


@dataclass(frozen=True, slots=True)
class Onslaught:
    """What each of ``n_clients`` sends: ``first`` once, then ``repeated`` without end.

    With a ``period_s`` each client sends ``repeated`` once in that time.
    """

    n_clients: int
    first: bytes = b""
    repeated: bytes = b""
    period_s: float = 0.0


class _UnrulyClient:
    """One connection, opened again whenever the server closes it."""

    def __init__(self, address: tuple[str, int], onslaught: Onslaught):
        self._address = address
        self._onslaught = onslaught
        # Whole messages in a buffer, so that a turn isn't spent on short sends.
        n_copies = MAX_SEND_BYTES // max(1, len(onslaught.repeated)) + 1
        is_paced = onslaught.period_s > 0
        self._repeated = onslaught.repeated * (1 if is_paced else n_copies)
        self._socket: socket.socket | None = None
        self._rest = memoryview(b"")
        self._next_at = 0.0
        self._events = 0

    @property
    def is_open(self) -> bool:
        return self._socket is not None

    def open(self, selector: selectors.BaseSelector, now: float) -> None:
        """Connect, unless the connection was closed a moment ago."""
        if now < self._next_at:
            return
        self._socket = socket.socket()
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._socket.setblocking(False)
        self._socket.connect_ex(self._address)
        self._rest = memoryview(self._onslaught.first)
        self._next_at = 0.0
        self._watch(selector, selectors.EVENT_WRITE)

    def wake(self, selector: selectors.BaseSelector, now: float) -> None:
        """Send again, if it is time for a client that sends periodically."""
        if self._repeated and self._onslaught.period_s and now >= self._next_at:
            self._watch(selector, selectors.EVENT_WRITE)

    def send(self, selector: selectors.BaseSelector, now: float) -> None:
        """Send as much as the connection takes."""
        if not self._rest and self._repeated and now >= self._next_at:
            self._rest = memoryview(self._repeated)
            self._next_at = now + self._onslaught.period_s
        try:
            n_sent = self._socket.send(self._rest[:MAX_SEND_BYTES])
            self._rest = self._rest[n_sent:]
        except BlockingIOError:
            return
        except OSError:
            self._lose(selector, now)
            return
        if not self._rest and (not self._repeated or self._onslaught.period_s):
            self._watch(selector, selectors.EVENT_READ)

    def peek(self, selector: selectors.BaseSelector, now: float) -> None:
        """Notice that the server has closed the connection; leave responses unread."""
        try:
            has_response = bool(self._socket.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return
        except OSError:
            has_response = False
        if has_response:
            self._watch(selector, 0)
        else:
            self._lose(selector, now)

    def close(self, selector: selectors.BaseSelector) -> None:
        """Close the connection, if it is open."""
        if self._socket is not None:
            self._watch(selector, 0)
            self._socket.close()
            self._socket = None

    def _lose(self, selector: selectors.BaseSelector, now: float) -> None:
        self.close(selector)
        self._next_at = now + RECONNECT_DELAY_S

    def _watch(self, selector: selectors.BaseSelector, events: int) -> None:
        if events == self._events:
            return
        if self._events:
            selector.unregister(self._socket)
        if events:
            selector.register(self._socket, events, self)
        self._events = events


@dataclass(frozen=True, slots=True)
class OnslaughtResult:
    """Peaks of a process during an onslaught, and whether it was stopped for them."""

    peak_bytes: int
    peak_unread_bytes: int
    peak_descriptors: int
    was_stopped: bool


class _Peaks:
    """Peaks of the usages of one process."""

    def __init__(self):
        self.n_bytes = 0
        self.n_unread_bytes = 0
        self.n_descriptors = 0

    def add(self, usage: ProcessUsage) -> None:
        self.n_bytes = max(self.n_bytes, usage.counted_bytes, usage.peak_resident_bytes)
        self.n_unread_bytes = max(self.n_unread_bytes, usage.unread_bytes)
        self.n_descriptors = max(self.n_descriptors, usage.n_descriptors)


def run_onslaught(
    process,
    address: str,
    ports: frozenset[int],
    onslaught: Onslaught,
    duration_s: float,
    memory_bytes: int,
) -> OnslaughtResult:
    """Send ``onslaught`` to ``address`` while ``process`` serves there.

    ``process`` is killed if it uses ``STOP_FACTOR`` times ``memory_bytes``.
    """
    host, _, port = address.rpartition(":")
    clients = [
        _UnrulyClient((host, int(port)), onslaught) for _ in range(onslaught.n_clients)
    ]
    peaks = _Peaks()
    was_stopped = False
    deadline = time.monotonic() + duration_s
    measure_at = 0.0
    with selectors.DefaultSelector() as selector:
        while (now := time.monotonic()) < deadline and process.poll() is None:
            _take_turn(clients, selector, now)
            if now >= measure_at:
                measure_at = now + USAGE_PERIOD_S
                peaks.add(read_process_usage(process.pid, ports))
                if peaks.n_bytes > STOP_FACTOR * memory_bytes:
                    process.kill()
                    was_stopped = True
                    break
        for client in clients:
            client.close(selector)
    return OnslaughtResult(
        peaks.n_bytes, peaks.n_unread_bytes, peaks.n_descriptors, was_stopped
    )


def _take_turn(
    clients: list[_UnrulyClient], selector: selectors.BaseSelector, now: float
) -> None:
    n_opened = 0
    for client in clients:
        if client.is_open:
            client.wake(selector, now)
        elif n_opened < MAX_CONNECTS_PER_TURN:
            client.open(selector, now)
            n_opened += 1
    for key, events in selector.select(SELECT_TIMEOUT_S):
        if events & selectors.EVENT_WRITE:
            key.data.send(selector, now)
        elif events:
            key.data.peek(selector, now)

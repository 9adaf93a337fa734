"""Server side of one HTTP/1.1 connection."""

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import Protocol

import h11

from ._byte_budget import ByteBudget
from ._messages import AbandonConnectionError, HttpLimits, HttpRequest, HttpResponse
from ._server_metrics import Closing, RefusalReport

# Bytes of the line and the headers of a request, and of a chunk's size line.
MAX_HEAD_BYTES = 65_536
# Bytes that a connection reads at a time. What a client sends ahead waits in the
# kernel, but for two such reads.
READ_BYTES = 16_384
# Unsent bytes of a response above which the next request waits.
MAX_UNSENT_BYTES = 16_384
# Time in which a client that was refused can still read why.
LINGER_S = 1.0
Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
logger = logging.getLogger(__name__)


class Server(Protocol):
    """What a connection uses of its server."""

    handler: Handler
    limits: HttpLimits
    is_stopping: bool
    n_client_disconnects: int
    # Shared by all connections: it is emptied before the next connection reads.
    read_buffer: memoryview
    connections: set["ServerConnection"]
    abandoned: set["ServerConnection"]
    waiting: OrderedDict["ServerConnection", None]
    budget: ByteBudget
    report: RefusalReport

    def make_room(self) -> bool:
        """Close a waiting connection if there are too many; return if there is room."""


class ServerConnection(asyncio.BufferedProtocol):
    """Server side of a connection; handles one request at a time.

    Reading pauses while a request is handled or a response is unread, as soon as more
    arrives than the one read that notices a client that has gone.
    """

    def __init__(self, server: Server):
        self._server = server
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._transport: asyncio.Transport | None = None
        self._request_head: h11.Request | None = None
        self._request_body = bytearray()
        self._timer: asyncio.TimerHandle | None = None
        self._send_timer: asyncio.TimerHandle | None = None
        self._handler_task: asyncio.Task | None = None
        self._is_receiving = False
        self._is_write_paused = False
        self._awaits_next_cycle = False
        self._has_received_eof = False
        self._is_rejected = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        if not self._server.make_room():
            self._is_rejected = True
            transport.abort()
            return
        transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        self._server.connections.add(self)
        self._server.waiting[self] = None
        self._start_timer(self._server.limits.idle_timeout_s, self._close)

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        self._server.waiting.pop(self, None)
        if self._handler_task is not None:
            self._server.abandoned.add(self)
        else:
            self._server.budget.release(self)
        self._cancel_timer()
        self._cancel_send_timer()

    def pause_writing(self) -> None:
        # Abort the connection if the client doesn't read its response in time.
        self._is_write_paused = True
        self._cancel_send_timer()
        timeout_s = self._server.limits.send_timeout_s
        self._send_timer = asyncio.get_running_loop().call_later(
            timeout_s, self._abort_unread
        )

    def _abort_unread(self) -> None:
        self._server.report.count_closed(Closing.UNREAD_RESPONSE)
        self._transport.abort()

    def abort(self) -> None:
        """Close the connection at once, in place of one that has more to do."""
        self._server.connections.discard(self)
        self._server.waiting.pop(self, None)
        self._transport.abort()

    def give_up(self) -> None:
        self._server.report.count_closed(Closing.TOO_MANY_BYTES)
        if self._is_receiving:
            self._reject(503, "too many large requests at once")
        else:
            self._transport.abort()

    def resume_writing(self) -> None:
        self._is_write_paused = False
        self._cancel_send_timer()
        if self._awaits_next_cycle:
            self._start_next_cycle()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._server.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        if self._is_rejected:
            return
        self._h11.receive_data(bytes(self._server.read_buffer[:nbytes]))
        if self._is_busy:
            self._transport.pause_reading()
        else:
            self._process_events()

    def eof_received(self) -> bool:
        # Keep the transport open while a request is handled: a client that has only
        # closed its sending side still reads the response.
        self._has_received_eof = True
        return self._is_busy

    @property
    def _is_busy(self) -> bool:
        """Whether a request is handled or its response still being sent."""
        return self._handler_task is not None or self._awaits_next_cycle

    @property
    def is_idle(self) -> bool:
        """Whether no request is being received or handled."""
        return not self._is_busy and self._h11.their_state is h11.IDLE

    def close_when_idle(self) -> None:
        """Close the connection unless a request is being handled.

        Otherwise it is closed after the response.
        """
        if self._handler_task is None:
            self._close()

    def _start_timer(self, seconds: float, action: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = asyncio.get_running_loop().call_later(seconds, action)

    def _cancel_timer(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def _cancel_send_timer(self) -> None:
        if self._send_timer:
            self._send_timer.cancel()
            self._send_timer = None

    def _close(self) -> None:
        """Close the connection once what has been written is sent, or in time."""
        self._awaits_next_cycle = False
        self._transport.close()
        self._start_timer(self._server.limits.send_timeout_s, self._transport.abort)

    def _process_events(self) -> None:
        try:
            while not self._is_busy and not self._is_closing:
                event = self._h11.next_event()
                if event in (h11.NEED_DATA, h11.PAUSED):
                    self._await_data()
                    break
                self._handle_event(event)
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint, str(error))

    def _await_data(self) -> None:
        if self._has_received_eof:
            self._close()
            return
        unparsed, _ = self._h11.trailing_data
        if unparsed or self._h11.their_state is not h11.IDLE:
            self._start_receiving()
            n_bytes = len(unparsed) + len(self._request_body)
            self._server.budget.hold(self, n_bytes)
        if not self._is_closing:
            self._transport.resume_reading()

    def _start_receiving(self) -> None:
        """Limit the time in which the whole request must arrive."""
        if self._is_receiving:
            return
        self._is_receiving = True
        timeout_s = self._server.limits.receive_timeout_s
        self._start_timer(
            timeout_s, lambda: self._reject(408, "request not received in time")
        )

    def _handle_event(self, event: h11.Event) -> None:
        if isinstance(event, h11.Request):
            self._request_head = event
            self._start_receiving()
            self._check_announced_size(event)
        elif isinstance(event, h11.Data):
            self._request_body += event.data
            self._check_size(len(self._request_body))
            self._server.budget.hold(self, len(self._request_body))
        elif isinstance(event, h11.EndOfMessage):
            self._start_handling()
        elif isinstance(event, h11.ConnectionClosed):
            self._close()
            # Stops the event processing; nothing is sent on the closing transport.
            raise h11.RemoteProtocolError("closed")

    def _check_announced_size(self, head: h11.Request) -> None:
        for name, value in head.headers:
            if name == b"content-length":
                self._check_size(int(value))

    def _check_size(self, n_bytes: int) -> None:
        if n_bytes > self._server.limits.max_body_bytes:
            raise h11.RemoteProtocolError("body too large", error_status_hint=413)

    def _start_handling(self) -> None:
        n_bytes = len(self._request_body)
        factor = self._server.limits.handling_factor
        if not self._server.budget.hold_busy(self, n_bytes, factor):
            self._server.report.count_closed(Closing.TOO_MANY_BYTES)
            self._reject(503, "too many large requests at once")
            return
        self._server.waiting.pop(self, None)
        self._cancel_timer()
        self._is_receiving = False
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in self._request_head.headers
        )
        method = self._request_head.method.decode("latin-1")
        target = self._request_head.target.decode("latin-1")
        request = HttpRequest(method, target, headers, bytes(self._request_body))
        self._request_body = bytearray()
        self._handler_task = asyncio.get_running_loop().create_task(
            self._handle_request(request)
        )

    async def _handle_request(self, request: HttpRequest) -> None:
        try:
            response = await self._server.handler(request)
        except AbandonConnectionError:
            self._finish_handling()
            self._transport.abort()
            return
        except asyncio.CancelledError:
            self._finish_handling()
            raise
        except Exception:
            logger.exception("unhandled exception in the handler of %s", request.target)
            response = HttpResponse(500, (("beryl-outcome", "unknown"),), b"")
        self._finish_handling()
        self._send(response, request.method)
        if self._is_write_paused and not self._transport.is_closing():
            self._awaits_next_cycle = True
            n_unsent = self._transport.get_write_buffer_size()
            self._server.budget.hold(self, n_unsent)
        else:
            self._start_next_cycle()

    def _finish_handling(self) -> None:
        self._handler_task = None
        self._server.abandoned.discard(self)
        self._server.budget.release(self)

    def _start_next_cycle(self) -> None:
        self._awaits_next_cycle = False
        self._server.budget.release(self)
        if self._transport.is_closing():
            return
        is_last = self._server.is_stopping or self._h11.our_state is not h11.DONE
        if is_last or self._h11.their_state is not h11.DONE:
            self._close()
            return
        self._h11.start_next_cycle()
        self._server.waiting[self] = None
        self._start_timer(self._server.limits.idle_timeout_s, self._close)
        self._process_events()

    def _send(self, response: HttpResponse, method: str = "GET") -> None:
        if self._transport.is_closing():
            self._server.n_client_disconnects += 1
            return
        body = b"" if method == "HEAD" else response.body
        headers = [*response.headers, ("content-length", str(len(response.body)))]
        if self._server.is_stopping:
            headers.append(("connection", "close"))
        head = h11.Response(status_code=response.status, headers=headers)
        parts = [self._h11.send(head)]
        if body:
            parts.append(self._h11.send(h11.Data(data=body)))
        parts.append(self._h11.send(h11.EndOfMessage()))
        self._transport.write(b"".join(parts))

    @property
    def _is_closing(self) -> bool:
        return self._is_rejected or self._transport.is_closing()

    def _reject(self, status: int, reason: str) -> None:
        """Refuse the request that is being received, and close the connection."""
        if self._is_closing:
            return
        self._server.report.count_rejected(status)
        if self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = (
                ("beryl-outcome", "not-run"),
                ("retry-after", "1"),
                ("connection", "close"),
                ("content-type", "text/plain"),
            )
            self._send(HttpResponse(status, headers, reason.encode()))
            self._linger()
        else:
            self._close()

    def _linger(self) -> None:
        """Close the connection once the client has, or in time; discard what it sends.

        A client that still sends couldn't read the response if it were closed at once.
        """
        self._is_rejected = True
        self._is_receiving = False
        self._request_body = bytearray()
        self._server.budget.release(self)
        self._transport.write_eof()
        self._transport.resume_reading()
        self._start_timer(LINGER_S, self._transport.abort)

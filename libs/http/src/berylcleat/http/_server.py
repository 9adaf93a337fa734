"""HTTP/1.1 server based on h11 and asyncio."""

import asyncio
import errno
import logging
from collections.abc import Awaitable, Callable

import h11

from berylcleat.model import PortInUseError, SettingsError

from ._messages import AbandonConnectionError, HttpLimits, HttpRequest, HttpResponse

# Highest port number of TCP.
MAX_PORT = 65_535
Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
logger = logging.getLogger(__name__)


def parse_address(address: str) -> tuple[str, int]:
    """Split ``host:port``; raise ``SettingsError`` if ``address`` has another form."""
    host, _, port = address.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    if not host or not is_number or int(port) > MAX_PORT:
        raise SettingsError(f"invalid address {address[:80]!r}", "Write it as IP:PORT")
    return host, int(port)


class _ServerConnection(asyncio.Protocol):
    """Server side of a connection; handles one request at a time."""

    def __init__(self, server: "HttpServer"):
        self._server = server
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=65_536)
        self._transport: asyncio.Transport | None = None
        self._request_head: h11.Request | None = None
        self._request_body = bytearray()
        self._timer: asyncio.TimerHandle | None = None
        self._send_timer: asyncio.TimerHandle | None = None
        self._handler_task: asyncio.Task | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._server.connections.add(self)
        self._start_timer(self._server.limits.idle_timeout_s, self._close)

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        self._cancel_timer()
        self.resume_writing()

    def pause_writing(self) -> None:
        # Abort the connection if the client doesn't read its response in time.
        loop = asyncio.get_running_loop()
        timeout_s = self._server.limits.send_timeout_s
        self._send_timer = loop.call_later(timeout_s, self._transport.abort)

    def resume_writing(self) -> None:
        if self._send_timer:
            self._send_timer.cancel()
            self._send_timer = None

    def data_received(self, data: bytes) -> None:
        self._h11.receive_data(data)
        self._process_events()

    def eof_received(self) -> bool:
        # Keep the transport open while a request is handled: a client that has only
        # closed its sending side still reads the response.
        return self._handler_task is not None

    @property
    def is_idle(self) -> bool:
        """Whether no request is being received or handled."""
        return self._handler_task is None and self._h11.their_state is h11.IDLE

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

    def _close(self) -> None:
        self._transport.close()

    def _process_events(self) -> None:
        try:
            while self._handler_task is None:
                event = self._h11.next_event()
                if event in (h11.NEED_DATA, h11.PAUSED):
                    break
                self._handle_event(event)
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint, str(error))

    def _handle_event(self, event: h11.Event) -> None:
        if isinstance(event, h11.Request):
            self._request_head = event
            self._request_body.clear()
            timeout_s = self._server.limits.receive_timeout_s
            self._start_timer(
                timeout_s, lambda: self._reject(408, "request not received in time")
            )
        elif isinstance(event, h11.Data):
            self._request_body += event.data
            if len(self._request_body) > self._server.limits.max_body_bytes:
                raise h11.RemoteProtocolError("body too large", error_status_hint=413)
        elif isinstance(event, h11.EndOfMessage):
            self._cancel_timer()
            self._handler_task = asyncio.get_running_loop().create_task(
                self._handle_request()
            )
        elif isinstance(event, h11.ConnectionClosed):
            self._close()
            # Stops the event processing; nothing is sent on the closing transport.
            raise h11.RemoteProtocolError("closed")

    async def _handle_request(self) -> None:
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in self._request_head.headers
        )
        method = self._request_head.method.decode("latin-1")
        target = self._request_head.target.decode("latin-1")
        request = HttpRequest(method, target, headers, bytes(self._request_body))
        try:
            response = await self._server.handler(request)
        except AbandonConnectionError:
            self._handler_task = None
            self._transport.abort()
            return
        except Exception:
            logger.exception("unhandled exception in the handler of %s", target)
            response = HttpResponse(500, (("beryl-outcome", "unknown"),), b"")
        self._send(response, method)
        self._handler_task = None
        self._start_next_cycle()

    def _start_next_cycle(self) -> None:
        if self._server.is_stopping or self._h11.our_state is not h11.DONE:
            self._close()
            return
        if self._h11.their_state is not h11.DONE:
            self._close()
            return
        self._h11.start_next_cycle()
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

    def _reject(self, status: int, reason: str) -> None:
        if self._transport.is_closing():
            return
        if self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = (
                ("beryl-outcome", "not-run"),
                ("retry-after", "1"),
                ("connection", "close"),
                ("content-type", "text/plain"),
            )
            self._send(HttpResponse(status, headers, reason.encode()))
        self._close()


class HttpServer:
    """HTTP server on one address; ``handler`` returns the response to a request."""

    def __init__(
        self, address: str, handler: Handler, limits: HttpLimits | None = None
    ):
        self.address = address
        self.handler = handler
        self.limits = limits or HttpLimits()
        self.connections: set[_ServerConnection] = set()
        self.is_stopping = False
        self.n_client_disconnects = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Bind and listen.

        Raises ``PortInUseError`` if the port is taken and ``SettingsError`` if the
        address can't be bound for another reason.
        """
        host, port = parse_address(self.address)
        loop = asyncio.get_running_loop()
        try:
            self._server = await loop.create_server(
                lambda: _ServerConnection(self), host, port, backlog=1024
            )
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise SettingsError(
                    f"{self.address}: {error.strerror}", "Use an address of this host"
                ) from error
            raise PortInUseError(
                f"{self.address} is in use", "Stop the other process or change the port"
            ) from error

    async def stop(self, grace_s: float = 10.0) -> None:
        """Stop listening and close the connections that handle no request.

        Waits up to ``grace_s`` seconds until the other connections are closed.
        """
        self.is_stopping = True
        if self._server:
            self._server.close()
        for connection in tuple(self.connections):
            connection.close_when_idle()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + grace_s
        while self.connections and loop.time() < deadline:
            await asyncio.sleep(0.01)

"""HTTP/1.1 server: h11 over an asyncio protocol."""

import asyncio
import errno
import logging
from collections.abc import Awaitable, Callable

import h11

from berylcleat.model import PortInUseError, SettingsError

from ._messages import AbandonConnectionError, HttpLimits, HttpRequest, HttpResponse

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
logger = logging.getLogger(__name__)


def parse_address(address: str) -> tuple[str, int]:
    """Return ``host:port`` as a pair; raise ``SettingsError`` otherwise."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise SettingsError(f"bad address {address!r}", "Write it as IP:PORT")
    return host, int(port)


class _ServerConnection(asyncio.Protocol):
    """Serve one caller's connection, one request at a time."""

    def __init__(self, server: "HttpServer"):
        self._server = server
        self._machine = h11.Connection(h11.SERVER, max_incomplete_event_size=65_536)
        self._transport: asyncio.Transport | None = None
        self._request: h11.Request | None = None
        self._body = bytearray()
        self._timer: asyncio.TimerHandle | None = None
        self._send_timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._server.connections.add(self)
        self._arm(self._server.limits.idle_timeout_s, self._close)

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        self._disarm()
        self.resume_writing()

    def pause_writing(self) -> None:
        loop = asyncio.get_running_loop()
        timeout_s = self._server.limits.send_timeout_s
        self._send_timer = loop.call_later(timeout_s, self._transport.abort)

    def resume_writing(self) -> None:
        if self._send_timer:
            self._send_timer.cancel()
            self._send_timer = None

    def data_received(self, data: bytes) -> None:
        self._machine.receive_data(data)
        self._advance()

    def eof_received(self) -> bool:
        # A half-closed caller still waits for its answer.
        return self._task is not None

    @property
    def is_idle(self) -> bool:
        """Tell whether no request is being received or answered."""
        return self._task is None and self._machine.their_state is h11.IDLE

    def close_when_idle(self) -> None:
        """Close now unless a request is in flight."""
        if self._task is None:
            self._close()

    def _arm(self, seconds: float, action: Callable[[], None]) -> None:
        self._disarm()
        self._timer = asyncio.get_running_loop().call_later(seconds, action)

    def _disarm(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def _close(self) -> None:
        self._transport.close()

    def _advance(self) -> None:
        try:
            while self._task is None:
                event = self._machine.next_event()
                if event in (h11.NEED_DATA, h11.PAUSED):
                    break
                self._accept(event)
        except h11.RemoteProtocolError as problem:
            self._refuse(problem.error_status_hint, str(problem))

    def _accept(self, event: h11.Event) -> None:
        if isinstance(event, h11.Request):
            self._request = event
            self._body.clear()
            timeout_s = self._server.limits.receive_timeout_s
            self._arm(
                timeout_s, lambda: self._refuse(408, "request not received in time")
            )
        elif isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > self._server.limits.max_body_bytes:
                raise h11.RemoteProtocolError("body too large", error_status_hint=413)
        elif isinstance(event, h11.EndOfMessage):
            self._disarm()
            self._task = asyncio.get_running_loop().create_task(self._answer())
        elif isinstance(event, h11.ConnectionClosed):
            self._close()
            raise h11.RemoteProtocolError("closed")

    async def _answer(self) -> None:
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in self._request.headers
        )
        method = self._request.method.decode("latin-1")
        target = self._request.target.decode("latin-1")
        request = HttpRequest(method, target, headers, bytes(self._body))
        try:
            response = await self._server.handler(request)
        except AbandonConnectionError:
            self._task = None
            self._transport.abort()
            return
        except Exception:
            logger.exception("handler failed for %s", target)
            response = HttpResponse(500, (("beryl-outcome", "unknown"),), b"")
        self._send(response, method)
        self._task = None
        self._next_cycle()

    def _next_cycle(self) -> None:
        if self._server.is_stopping or self._machine.our_state is not h11.DONE:
            self._close()
            return
        if self._machine.their_state is not h11.DONE:
            self._close()
            return
        self._machine.start_next_cycle()
        self._arm(self._server.limits.idle_timeout_s, self._close)
        self._advance()

    def _send(self, response: HttpResponse, method: str = "GET") -> None:
        if self._transport.is_closing():
            self._server.n_callers_gone += 1
            return
        body = b"" if method == "HEAD" else response.body
        headers = [*response.headers, ("content-length", str(len(response.body)))]
        if self._server.is_stopping:
            headers.append(("connection", "close"))
        head = h11.Response(status_code=response.status, headers=headers)
        parts = [self._machine.send(head)]
        if body:
            parts.append(self._machine.send(h11.Data(data=body)))
        parts.append(self._machine.send(h11.EndOfMessage()))
        self._transport.write(b"".join(parts))

    def _refuse(self, status: int, reason: str) -> None:
        if self._transport.is_closing():
            return
        if self._machine.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = (
                ("beryl-outcome", "not-run"),
                ("retry-after", "1"),
                ("connection", "close"),
                ("content-type", "text/plain"),
            )
            self._send(HttpResponse(status, headers, reason.encode()))
        self._close()


class HttpServer:
    """Listen on one address and answer requests with ``handler``."""

    def __init__(
        self, address: str, handler: Handler, limits: HttpLimits | None = None
    ):
        self.address = address
        self.handler = handler
        self.limits = limits or HttpLimits()
        self.connections: set[_ServerConnection] = set()
        self.is_stopping = False
        self.n_callers_gone = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Bind and listen; raise ``PortInUseError`` if another holds the port."""
        host, port = parse_address(self.address)
        loop = asyncio.get_running_loop()
        try:
            self._server = await loop.create_server(
                lambda: _ServerConnection(self), host, port, backlog=1024
            )
        except OSError as problem:
            if problem.errno != errno.EADDRINUSE:
                raise SettingsError(
                    f"{self.address}: {problem.strerror}", "Use an address of this host"
                ) from problem
            raise PortInUseError(
                f"{self.address} is in use", "Stop the other process or change the port"
            ) from problem

    async def stop(self, grace_s: float = 10.0) -> None:
        """Accept nothing new, finish what is in flight, then close."""
        self.is_stopping = True
        if self._server:
            self._server.close()
        for connection in tuple(self.connections):
            connection.close_when_idle()
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + grace_s
        while self.connections and loop.time() < give_up_at:
            await asyncio.sleep(0.01)

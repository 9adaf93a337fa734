"""HTTP/1.1 client: h11 over an asyncio protocol, with a bounded pool."""

import asyncio
from collections import deque

import h11

from ._messages import ExchangeError, ExchangeFailure, HttpRequest, HttpResponse
from ._server import parse_address

MAX_RESPONSE_BYTES = 4_194_304
# A large answer on a slow link may take so many timeouts while its bytes keep coming.
MAX_TIMEOUTS = 4


class _ClientConnection(asyncio.Protocol):
    """Carry one exchange at a time to one server."""

    def __init__(self, client: "HttpClient"):
        self._client = client
        self._address = client.address
        self._machine = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._future: asyncio.Future | None = None
        self._head: h11.Response | None = None
        self._body = bytearray()
        self.n_received = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport

    @property
    def is_usable(self) -> bool:
        """Tell whether a new exchange may start here."""
        return self._machine.our_state is h11.IDLE and not self._transport.is_closing()

    def close(self) -> None:
        """Drop the connection; whatever comes back late is never read."""
        self._transport.abort()

    def send(self, request: HttpRequest) -> asyncio.Future:
        """Write ``request`` and return the future of its response."""
        self._future = asyncio.get_running_loop().create_future()
        self._head = None
        self._body.clear()
        headers = [*request.headers, ("content-length", str(len(request.body)))]
        if not request.header("host"):
            headers.append(("host", self._address))
        head = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        parts = [self._machine.send(head)]
        if request.body:
            parts.append(self._machine.send(h11.Data(data=request.body)))
        parts.append(self._machine.send(h11.EndOfMessage()))
        data = b"".join(parts)
        self._client.n_bytes += len(data)
        self._transport.write(data)
        return self._future

    def data_received(self, data: bytes) -> None:
        self._client.n_bytes += len(data)
        self.n_received += len(data)
        self._machine.receive_data(data)
        self._advance()

    def eof_received(self) -> bool:
        self._machine.receive_data(b"")
        self._advance()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        failure = ExchangeFailure.CONNECTION_LOST
        self._fail(ExchangeFailure.CUT_SHORT if self._head else failure)

    def _advance(self) -> None:
        try:
            while self._future and not self._future.done():
                event = self._machine.next_event()
                if event in (h11.NEED_DATA, h11.PAUSED):
                    return
                self._accept(event)
        except h11.RemoteProtocolError:
            cut = self._machine.their_state is not h11.ERROR or self._head
            self._fail(ExchangeFailure.CUT_SHORT if cut else ExchangeFailure.MALFORMED)
            self.close()

    def _accept(self, event: h11.Event) -> None:
        if isinstance(event, h11.Response):
            self._head = event
        elif isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > MAX_RESPONSE_BYTES:
                self._fail(ExchangeFailure.TOO_LARGE)
                self.close()
        elif isinstance(event, h11.EndOfMessage):
            self._finish()
        elif isinstance(event, h11.ConnectionClosed):
            self._fail(ExchangeFailure.CONNECTION_LOST)

    def _finish(self) -> None:
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in self._head.headers
        )
        response = HttpResponse(self._head.status_code, headers, bytes(self._body))
        if self._machine.our_state is h11.DONE:
            self._machine.start_next_cycle()
        else:
            self._transport.close()
        self._future.set_result(response)
        self._client.free(self)

    def _fail(self, failure: ExchangeFailure) -> None:
        if self._future and not self._future.done():
            error = ExchangeError(failure, self._address, request_sent=True)
            self._future.set_exception(error)


class HttpClient:
    """Keep at most ``max_connections`` connections to one address."""

    def __init__(self, address: str, *, max_connections: int = 64):
        self.address = address
        self.max_connections = max_connections
        self.n_open = 0
        self.n_bytes = 0
        self._idle: deque[_ClientConnection] = deque()

    async def exchange(self, request: HttpRequest, timeout_s: float) -> HttpResponse:
        """Return the whole response within ``timeout_s`` seconds, longer if it flows.

        Raises ``ExchangeError``; the connection of a failed exchange is never reused.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        connection = await self._connect(timeout_s)
        future = connection.send(request)
        try:
            for _ in range(MAX_TIMEOUTS):
                n_before = connection.n_received
                await asyncio.wait((future,), timeout=deadline - loop.time())
                if future.done():
                    return future.result()
                if connection.n_received == n_before:
                    break
                deadline += timeout_s
        except (ExchangeError, asyncio.CancelledError):
            future.cancel()
            self._drop(connection)
            raise
        future.cancel()
        self._drop(connection)
        raise ExchangeError(ExchangeFailure.TIMED_OUT, self.address, request_sent=True)

    def has_connection(self) -> bool:
        """Tell whether an idle connection is open for the next exchange."""
        return any(connection.is_usable for connection in self._idle)

    def close(self) -> None:
        """Drop all idle connections."""
        while self._idle:
            self._drop(self._idle.pop())

    async def _connect(self, timeout_s: float) -> _ClientConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable:
                return connection
            self.n_open -= 1
        if self.n_open >= self.max_connections:
            raise ExchangeError(
                ExchangeFailure.CONNECT_FAILED, self.address, request_sent=False
            )
        return await self._open(timeout_s)

    async def _open(self, timeout_s: float) -> _ClientConnection:
        host, port = parse_address(self.address)
        loop = asyncio.get_running_loop()
        self.n_open += 1
        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    lambda: _ClientConnection(self), host, port
                )
            return connection
        except BaseException as problem:
            self.n_open -= 1
            if not isinstance(problem, (OSError, TimeoutError)):
                raise
            raise ExchangeError(
                ExchangeFailure.CONNECT_FAILED, self.address, request_sent=False
            ) from problem

    def free(self, connection: _ClientConnection) -> None:
        """Take back a connection whose exchange has ended whole."""
        if connection.is_usable:
            self._idle.append(connection)
        else:
            self.n_open -= 1

    def _drop(self, connection: _ClientConnection) -> None:
        self.n_open -= 1
        connection.close()

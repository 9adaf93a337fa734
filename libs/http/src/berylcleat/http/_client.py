"""HTTP/1.1 client based on h11 and asyncio, with a bounded connection pool."""

import asyncio
from collections import deque
from collections.abc import Callable

import h11

from berylcleat.model import SettingsError

from ._messages import ExchangeError, ExchangeFailure, HttpRequest, HttpResponse
from ._server import parse_address

MAX_RESPONSE_BYTES = 4_194_304
# A response that keeps arriving, such as a large one on a slow link, may take up to
# this many times the timeout.
MAX_TIMEOUT_PERIODS = 4
# First bytes of every response.
HTTP_PREFIX = b"HTTP/"
# Errors of an attempt to connect. ValueError and SettingsError: an address that another
# process has sent is no address; a host name with a zero byte, say.
CONNECT_ERRORS = (OSError, TimeoutError, SettingsError, ValueError)


class ClientConnection(asyncio.Protocol):
    """Client side of a connection; handles one request at a time.

    ``number`` counts the connections that its client has established.
    """

    def __init__(self, client: "HttpClient"):
        self._client = client
        self._address = client.address
        self._h11 = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._response_future: asyncio.Future | None = None
        self._response_head: h11.Response | None = None
        self._response_body = bytearray()
        self.n_received = 0
        self.number = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._client.n_established += 1
        self.number = self._client.n_established

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open and idle."""
        return self._h11.our_state is h11.IDLE and not self._transport.is_closing()

    def close(self) -> None:
        """Abort the connection, so that a late response is never read."""
        self._transport.abort()

    def send(self, request: HttpRequest) -> asyncio.Future:
        """Send ``request`` and return a future of its response."""
        self._response_future = asyncio.get_running_loop().create_future()
        self._response_head = None
        self._response_body.clear()
        headers = [*request.headers, ("content-length", str(len(request.body)))]
        if not request.header("host"):
            headers.append(("host", self._address))
        head = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        parts = [self._h11.send(head)]
        if request.body:
            parts.append(self._h11.send(h11.Data(data=request.body)))
        parts.append(self._h11.send(h11.EndOfMessage()))
        data = b"".join(parts)
        self._client.n_bytes += len(data)
        self._transport.write(data)
        return self._response_future

    def data_received(self, data: bytes) -> None:
        self._client.n_bytes += len(data)
        self.n_received += len(data)
        if self._response_future is None or self._response_future.done():
            # It would be read as the response to the next request.
            self.close()
            return
        self._h11.receive_data(data)
        self._process_events()

    def eof_received(self) -> bool:
        if self._response_head is None and self._received_response_start():
            self._fail(ExchangeFailure.CONNECTION_LOST)
            return False
        self._h11.receive_data(b"")
        self._process_events()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        failure = ExchangeFailure.CONNECTION_LOST
        self._fail(ExchangeFailure.CUT_SHORT if self._response_head else failure)

    def _received_response_start(self) -> bool:
        """Return whether what arrived before the head may be the start of one."""
        received, _ = self._h11.trailing_data
        return HTTP_PREFIX.startswith(received[: len(HTTP_PREFIX)])

    def _process_events(self) -> None:
        try:
            while self._response_future and not self._response_future.done():
                event = self._h11.next_event()
                if event in (h11.NEED_DATA, h11.PAUSED):
                    return
                self._handle_event(event)
        except h11.RemoteProtocolError:
            # After the response head, a protocol error counts as a truncated response.
            is_truncated = self._h11.their_state is not h11.ERROR or self._response_head
            self._fail(
                ExchangeFailure.CUT_SHORT if is_truncated else ExchangeFailure.MALFORMED
            )
            self.close()

    def _handle_event(self, event: h11.Event) -> None:
        if isinstance(event, h11.Response):
            self._response_head = event
        elif isinstance(event, h11.Data):
            self._response_body += event.data
            if len(self._response_body) > MAX_RESPONSE_BYTES:
                self._fail(ExchangeFailure.TOO_LARGE)
                self.close()
        elif isinstance(event, h11.EndOfMessage):
            self._complete()
        elif isinstance(event, h11.ConnectionClosed):
            self._fail(ExchangeFailure.CONNECTION_LOST)

    def _complete(self) -> None:
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in self._response_head.headers
        )
        response = HttpResponse(
            self._response_head.status_code, headers, bytes(self._response_body)
        )
        left_over, _ = self._h11.trailing_data
        if self._h11.our_state is h11.DONE and not left_over:
            self._h11.start_next_cycle()
        else:
            self._transport.close()
        self._response_future.set_result(response)
        self._client.release(self)

    def _fail(self, failure: ExchangeFailure) -> None:
        if self._response_future and not self._response_future.done():
            error = ExchangeError(failure, self._address, request_sent=True)
            self._response_future.set_exception(error)


class HttpClient:
    """HTTP client of one address with at most ``max_connections`` connections.

    Requests aren't queued: if all connections are in use, an exchange fails with
    ``CONNECT_FAILED``, as after any connect error that isn't a refusal or a timeout.
    """

    def __init__(self, address: str, *, max_connections: int = 64):
        self.address = address
        self.max_connections = max_connections
        self.n_open = 0
        self.n_established = 0
        self.n_bytes = 0
        self._idle: deque[ClientConnection] = deque()

    async def exchange(self, request: HttpRequest, timeout_s: float) -> HttpResponse:
        """Send ``request`` and return the complete response.

        The timeout of ``timeout_s`` seconds is extended while response bytes keep
        arriving, up to ``MAX_TIMEOUT_PERIODS`` times its length. Raises
        ``ExchangeError``; the connection of a failed exchange is never reused.
        """
        deadline = asyncio.get_running_loop().time() + timeout_s
        connection = self.take_idle() or await self.connect(timeout_s)
        return await self._exchange_until(connection, request, timeout_s, deadline)

    async def exchange_on(
        self, connection: ClientConnection, request: HttpRequest, timeout_s: float
    ) -> HttpResponse:
        """Exchange over a connection that was taken; it returns to the pool.

        The request is written before this first gives way to other tasks.
        """
        deadline = asyncio.get_running_loop().time() + timeout_s
        return await self._exchange_until(connection, request, timeout_s, deadline)

    async def _exchange_until(
        self,
        connection: ClientConnection,
        request: HttpRequest,
        timeout_s: float,
        deadline: float,
    ) -> HttpResponse:
        loop = asyncio.get_running_loop()
        response_future = connection.send(request)
        try:
            for _ in range(MAX_TIMEOUT_PERIODS):
                n_received_before = connection.n_received
                await asyncio.wait((response_future,), timeout=deadline - loop.time())
                if response_future.done():
                    return response_future.result()
                if connection.n_received == n_received_before:
                    break
                deadline += timeout_s
        except (ExchangeError, asyncio.CancelledError):
            response_future.cancel()
            self.discard(connection)
            raise
        response_future.cancel()
        self.discard(connection)
        raise ExchangeError(ExchangeFailure.TIMED_OUT, self.address, request_sent=True)

    def has_idle_connection(self) -> bool:
        """Return whether the pool holds an open idle connection."""
        return any(connection.is_usable for connection in self._idle)

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self.discard(self._idle.pop())

    def take_idle(
        self, suits: Callable[[ClientConnection], bool] | None = None
    ) -> ClientConnection | None:
        """Take the open idle connection that was used last, of those that suit."""
        taken = None
        unsuited: list[ClientConnection] = []
        while self._idle and taken is None:
            connection = self._idle.pop()
            if not connection.is_usable:
                self.n_open -= 1
            elif suits is None or suits(connection):
                taken = connection
            else:
                unsuited.append(connection)
        self._idle.extend(reversed(unsuited))
        return taken

    async def connect(self, timeout_s: float) -> ClientConnection:
        """Establish a connection and take it."""
        if self.n_open >= self.max_connections:
            raise ExchangeError(
                ExchangeFailure.CONNECT_FAILED, self.address, request_sent=False
            )
        return await self._open_connection(timeout_s)

    async def _open_connection(self, timeout_s: float) -> ClientConnection:
        loop = asyncio.get_running_loop()
        self.n_open += 1
        try:
            host, port = parse_address(self.address)
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(self), host, port
                )
            return connection
        except BaseException as error:
            self.n_open -= 1
            if not isinstance(error, CONNECT_ERRORS):
                raise
            raise ExchangeError(
                _connect_failure(error), self.address, request_sent=False
            ) from error

    def release(self, connection: ClientConnection) -> None:
        """Return a connection to the pool after a complete response."""
        if connection.is_usable:
            self._idle.append(connection)
        else:
            self.n_open -= 1

    def discard(self, connection: ClientConnection) -> None:
        """Close a connection that was taken."""
        self.n_open -= 1
        connection.close()


def _connect_failure(error: BaseException) -> ExchangeFailure:
    """Return the kind of a failed attempt to connect."""
    if isinstance(error, ConnectionRefusedError):
        return ExchangeFailure.CONNECT_REFUSED
    if isinstance(error, TimeoutError):
        return ExchangeFailure.CONNECT_TIMED_OUT
    return ExchangeFailure.CONNECT_FAILED

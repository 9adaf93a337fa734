"""HTTP/1.1 server based on h11 and asyncio."""

import asyncio
import contextlib
import errno
import socket
from collections import OrderedDict

from berylcleat.model import PortInUseError, SettingsError

from ._byte_budget import ByteBudget
from ._messages import HttpLimits
from ._server_connection import READ_BYTES, Handler, ServerConnection
from ._server_metrics import Closing, RefusalReport

# Highest port number of TCP.
MAX_PORT = 65_535
# Connections that wait in the kernel until they are accepted.
BACKLOG = 1024
# Connections accepted in one turn of the event loop. The descriptor of a connection
# that makes room is free three turns after the accept that asked for it, so up to three
# times this number are open beyond ``max_connections``.
MAX_ACCEPTS_PER_TURN = 32


def parse_address(address: str) -> tuple[str, int]:
    """Split ``host:port``; raise ``SettingsError`` if ``address`` has another form."""
    host, _, port = address.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    if not host or not is_number or int(port) > MAX_PORT:
        raise SettingsError(f"invalid address {address[:80]!r}", "Write it as IP:PORT")
    return host, int(port)


class HttpServer:
    """HTTP server on one address; ``handler`` returns the response to a request.

    Servers of one process share ``budget``.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        limits: HttpLimits | None = None,
        budget: ByteBudget | None = None,
    ):
        self.address = address
        self.handler = handler
        self.limits = limits or HttpLimits()
        self.budget = budget or ByteBudget()
        self.report = RefusalReport(address)
        self.connections: set[ServerConnection] = set()
        # Those that have closed, but whose request is still being handled.
        self.abandoned: set[ServerConnection] = set()
        # Those that wait for a request or the rest of one, longest first.
        self.waiting: OrderedDict[ServerConnection, None] = OrderedDict()
        self.is_stopping = False
        self.n_client_disconnects = 0
        self.read_buffer = memoryview(bytearray(READ_BYTES))
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
                lambda: ServerConnection(self),
                host,
                port,
                backlog=MAX_ACCEPTS_PER_TURN,
                start_serving=False,
            )
            self._limit_kernel_buffers()
            await self._server.start_serving()
            self._extend_backlog()
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise SettingsError(
                    f"{self.address}: {error.strerror}", "Use an address of this host"
                ) from error
            raise PortInUseError(
                f"{self.address} is in use", "Stop the other process or change the port"
            ) from error

    def _limit_kernel_buffers(self) -> None:
        """Limit the receive buffers of the connections, which inherit them."""
        for listener in self._server.sockets:
            # Without the option the kernel's own limits hold.
            with contextlib.suppress(OSError):
                listener.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_RCVBUF,
                    self.limits.kernel_buffer_bytes,
                )

    def _extend_backlog(self) -> None:
        """Let more connections wait in the kernel than are accepted in one turn.

        asyncio has one parameter for both numbers.
        """
        for listener in self._server.sockets:
            with listener.dup() as duplicate:
                duplicate.listen(BACKLOG)

    def make_room(self) -> bool:
        """Close a waiting connection if there are too many; return if there is room."""
        n_connections = len(self.connections) + len(self.abandoned)
        if n_connections < self.limits.max_connections:
            return True
        self.report.count_closed(Closing.TOO_MANY_CONNECTIONS)
        if not self.waiting:
            return False
        next(iter(self.waiting)).abort()
        return True

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

"""HTTP/1.1 server based on h11 and asyncio."""

import asyncio
import errno

from berylcleat.model import PortInUseError, SettingsError

from ._messages import HttpLimits
from ._server_connection import READ_BYTES, Handler, ServerConnection

# Highest port number of TCP.
MAX_PORT = 65_535


def parse_address(address: str) -> tuple[str, int]:
    """Split ``host:port``; raise ``SettingsError`` if ``address`` has another form."""
    host, _, port = address.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    if not host or not is_number or int(port) > MAX_PORT:
        raise SettingsError(f"invalid address {address[:80]!r}", "Write it as IP:PORT")
    return host, int(port)


class HttpServer:
    """HTTP server on one address; ``handler`` returns the response to a request."""

    def __init__(
        self, address: str, handler: Handler, limits: HttpLimits | None = None
    ):
        self.address = address
        self.handler = handler
        self.limits = limits or HttpLimits()
        self.connections: set[ServerConnection] = set()
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
                lambda: ServerConnection(self), host, port, backlog=1024
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

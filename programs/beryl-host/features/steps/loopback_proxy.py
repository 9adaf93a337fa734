"""TCP proxy on loopback that delays, blocks, refuses or resets connections."""

import asyncio
import socket
from enum import Enum

CHUNK_BYTES = 65536
DELAY_S = 0.3
# Connections that fill the backlog of a listener with a backlog of 0.
N_BACKLOG_FILLERS = 3


class LinkMode(Enum):
    """Fault injected into a proxied link."""

    OPEN = "open"
    DELAYED = "delayed"
    # Bytes to the server, or from it, are not forwarded.
    CUT_TO_SERVER = "cut to server"
    CUT_FROM_SERVER = "cut from server"
    SILENT = "silent"
    REFUSED = "refused"


class ConnectFault(Enum):
    """What attempts to connect meet while nothing reaches the server."""

    # They time out, as those to a machine that is cut off.
    HANGS = "hangs"
    # They are refused, as those to a process that has exited.
    REFUSED = "refused"


class LoopbackProxy:
    """Proxy that forwards connections to ``target``; ``mode`` selects the fault.

    Once a direction of a connection has dropped bytes, it forwards nothing more.
    """

    def __init__(self, address: str, target: str):
        self.address = address
        self.target = target
        self.mode = LinkMode.OPEN
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self._server: asyncio.Server | None = None
        self._connect_fault: ConnectFault | None = None
        # Hold the address while connections to it hang or are refused.
        self._sockets: list[socket.socket] = []
        self._connect_fault_lock = asyncio.Lock()
        self._keeps_open = False

    async def start(self) -> None:
        """Start listening."""
        host, port = self.address.rsplit(":", 1)
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def set_connect_fault(
        self, fault: ConnectFault | None, *, keeps_open: bool = False
    ) -> None:
        """Cut the link so that attempts to connect hang or are refused; None ends it.

        Open connections are reset at its end. They forward nothing meanwhile unless
        ``keeps_open``: then those who had connected before still reach the server.
        """
        async with self._connect_fault_lock:
            if fault is self._connect_fault:
                return
            self._connect_fault = fault
            self._keeps_open = keeps_open
            self._server.close()
            self._close_sockets()
            if fault is None:
                self.reset()
                await self.start()
                return
            self._sockets.append(self._bind())
            if fault is ConnectFault.HANGS:
                self._fill_backlog()

    def _bind(self) -> socket.socket:
        host, port = self.address.rsplit(":", 1)
        bound = socket.socket()
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind((host, int(port)))
        return bound

    def _fill_backlog(self) -> None:
        listener = self._sockets[0]
        listener.listen(0)
        for _ in range(N_BACKLOG_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
            self._sockets.append(filler)

    def _close_sockets(self) -> None:
        for held in self._sockets:
            held.close()
        self._sockets.clear()

    def reset(self) -> None:
        """Reset every open connection."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.close()
        self._close_sockets()
        self.reset()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer) -> None:
        if self.mode is LinkMode.REFUSED:
            writer.transport.abort()
            return
        host, port = self.target.rsplit(":", 1)
        try:
            server_reader, server_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, server_writer}
        self._spawn(self._forward(reader, server_writer, LinkMode.CUT_TO_SERVER))
        self._spawn(self._forward(server_reader, writer, LinkMode.CUT_FROM_SERVER))

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _forward(self, reader, writer, cut: LinkMode) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                is_cut = self.mode in (cut, LinkMode.SILENT)
                if is_cut or (self._connect_fault and not self._keeps_open):
                    # The bytes read are dropped, so never forward later ones.
                    await asyncio.Event().wait()
                if self.mode is LinkMode.DELAYED:
                    await asyncio.sleep(DELAY_S)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.transport.abort()
            self._writers.discard(writer)

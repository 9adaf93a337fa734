"""TCP proxy on loopback that delays, blocks, refuses or resets connections."""

import asyncio
from enum import Enum

CHUNK_BYTES = 65536
DELAY_S = 0.3


class LinkMode(Enum):
    """Fault injected into a proxied link."""

    OPEN = "open"
    DELAYED = "delayed"
    # Bytes to the server, or from it, are not forwarded.
    CUT_TO_SERVER = "cut to server"
    CUT_FROM_SERVER = "cut from server"
    SILENT = "silent"
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

    async def start(self) -> None:
        """Start listening."""
        host, port = self.address.rsplit(":", 1)
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def reset(self) -> None:
        """Reset every open connection."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.close()
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
                if self.mode in (cut, LinkMode.SILENT):
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

"""Minimal h11 relay over asyncio streams: the baseline of CPU time per request."""

import asyncio
import sys

import h11

CHUNK_BYTES = 65_536


async def _next_event(connection, reader):
    while True:
        event = connection.next_event()
        if event is not h11.NEED_DATA:
            return event
        connection.receive_data(await reader.read(CHUNK_BYTES))


async def _read_message(connection, reader):
    head, body = await _next_event(connection, reader), bytearray()
    if isinstance(head, h11.ConnectionClosed):
        return None, b""
    while not isinstance(
        event := await _next_event(connection, reader), h11.EndOfMessage
    ):
        body += event.data
    return head, bytes(body)


def _send_message(connection, writer, head, body):
    message = connection.send(head)
    if body:
        message += connection.send(h11.Data(data=body))
    writer.write(message + connection.send(h11.EndOfMessage()))


async def relay(reader, writer, upstreams, relay_state):
    """Relay the requests of one client connection to the upstreams, round robin."""
    caller = h11.Connection(h11.SERVER)
    idle_by_address = relay_state["pool"]
    while True:
        head, body = await _read_message(caller, reader)
        if head is None:
            writer.close()
            return
        relay_state["n"] += 1
        address = upstreams[relay_state["n"] % len(upstreams)]
        idle_connections = idle_by_address.setdefault(address, [])
        if idle_connections:
            connection, up_reader, up_writer = idle_connections.pop()
        else:
            host, port = address.split(":")
            up_reader, up_writer = await asyncio.open_connection(host, int(port))
            connection = h11.Connection(h11.CLIENT)
        request = h11.Request(
            method=head.method, target=head.target, headers=head.headers
        )
        _send_message(connection, up_writer, request, body)
        response, response_body = await _read_message(connection, up_reader)
        _send_message(caller, writer, response, response_body)
        connection.start_next_cycle()
        caller.start_next_cycle()
        idle_connections.append((connection, up_reader, up_writer))


async def main():
    """Listen on the first address of the command line and relay to the others."""
    host, port = sys.argv[1].split(":")
    relay_state = {"n": 0, "pool": {}}

    async def serve(reader, writer):
        await relay(reader, writer, sys.argv[2:], relay_state)

    server = await asyncio.start_server(serve, host, int(port))
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())

"""A bare h11 relay over asyncio streams: the yardstick for CPU a request."""

import asyncio
import sys

import h11

CHUNK_BYTES = 65_536


async def _next(machine, reader):
    while True:
        event = machine.next_event()
        if event is not h11.NEED_DATA:
            return event
        machine.receive_data(await reader.read(CHUNK_BYTES))


async def _message(machine, reader):
    head, body = await _next(machine, reader), bytearray()
    if isinstance(head, h11.ConnectionClosed):
        return None, b""
    while not isinstance(event := await _next(machine, reader), h11.EndOfMessage):
        body += event.data
    return head, bytes(body)


def _write(machine, writer, head, body):
    data = machine.send(head)
    if body:
        data += machine.send(h11.Data(data=body))
    writer.write(data + machine.send(h11.EndOfMessage()))


async def relay(reader, writer, upstreams, turn):
    """Relay one caller's requests to the upstreams in turn."""
    caller = h11.Connection(h11.SERVER)
    pool = turn["pool"]
    while True:
        head, body = await _message(caller, reader)
        if head is None:
            writer.close()
            return
        turn["n"] += 1
        address = upstreams[turn["n"] % len(upstreams)]
        idle = pool.setdefault(address, [])
        if idle:
            machine, up_reader, up_writer = idle.pop()
        else:
            host, port = address.split(":")
            up_reader, up_writer = await asyncio.open_connection(host, int(port))
            machine = h11.Connection(h11.CLIENT)
        request = h11.Request(
            method=head.method, target=head.target, headers=head.headers
        )
        _write(machine, up_writer, request, body)
        answer, data = await _message(machine, up_reader)
        _write(caller, writer, answer, data)
        machine.start_next_cycle()
        caller.start_next_cycle()
        idle.append((machine, up_reader, up_writer))


async def main():
    """Listen on the first address and relay to the others."""
    host, port = sys.argv[1].split(":")
    turn = {"n": 0, "pool": {}}

    async def serve(reader, writer):
        await relay(reader, writer, sys.argv[2:], turn)

    server = await asyncio.start_server(serve, host, int(port))
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())

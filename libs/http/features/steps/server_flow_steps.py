import asyncio

from behave import given, then, when

from berylcleat.http import HttpLimits, HttpResponse, HttpServer
from berylcleat.http._server_connection import ServerConnection

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


class FakeTransport(asyncio.Transport):
    """Transport that records what is done; a test sets whether it sends."""

    def __init__(self):
        super().__init__()
        self.connection = None
        self.sent = bytearray()
        self.is_read_paused = False
        self.is_closed = False
        self.has_written_eof = False
        self.is_holding = False

    def write(self, data):
        self.sent += data
        if self.is_holding:
            self.connection.pause_writing()

    def pause_reading(self):
        self.is_read_paused = True

    def resume_reading(self):
        self.is_read_paused = False

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def get_write_buffer_size(self):
        return len(self.sent) if self.is_holding else 0

    def write_eof(self):
        self.has_written_eof = True

    def is_closing(self):
        return self.is_closed

    def close(self):
        self.is_closed = True

    abort = close


def connect(context, limits=None):
    context.answers = []

    async def handle(request):
        context.answers.append(asyncio.get_running_loop().create_future())
        return await context.answers[-1]

    async def make_connection():
        context.server = HttpServer("127.0.0.1:0", handle, limits or HttpLimits())
        context.connection = ServerConnection(context.server)
        context.transport = FakeTransport()
        context.transport.connection = context.connection
        context.connection.connection_made(context.transport)

    context.run(make_connection())


def receive(context, data):
    async def deliver():
        buffer = context.connection.get_buffer(-1)
        for start in range(0, len(data), len(buffer)):
            part = data[start : start + len(buffer)]
            buffer[: len(part)] = part
            context.connection.buffer_updated(len(part))
        await asyncio.sleep(0)

    context.run(deliver())


def n_pending(context):
    return sum(not answer.done() for answer in context.answers)


async def answer_one(context):
    next(a for a in context.answers if not a.done()).set_result(HttpResponse(200))
    for _ in range(3):
        await asyncio.sleep(0)


@given("a connection of a server")
def step_connection(context):
    connect(context)


@when("{n:d} requests arrive in one read")
def step_arrive(context, n):
    receive(context, REQUEST * n)


@when("every request is answered in turn")
def step_answer_all(context):
    async def answer_all():
        while n_pending(context):
            await answer_one(context)

    context.run(answer_all())


@when("the request is answered")
def step_answer(context):
    context.run(answer_one(context))


@when("the transport holds what is written")
def step_hold(context):
    context.transport.is_holding = True


@when("the transport sends what is written")
def step_release(context):
    async def release():
        context.transport.is_holding = False
        context.connection.resume_writing()
        await asyncio.sleep(0)

    context.run(release())


@when("the client closes its sending side")
def step_eof(context):
    async def send_eof():
        assert context.connection.eof_received(), "the transport would close"

    context.run(send_eof())


@then("{n:d} request is being handled")
def step_n_handled(context, n):
    assert n_pending(context) == n, context.answers


@then("no request is being handled")
def step_none_handled(context):
    assert n_pending(context) == 0, context.answers


@then("{n:d} responses were sent")
def step_n_sent(context, n):
    assert context.transport.sent.count(b"HTTP/1.1 200") == n, context.transport.sent


@then("reading is paused")
def step_paused(context):
    assert context.transport.is_read_paused


@then("reading is not paused")
def step_not_paused(context):
    assert not context.transport.is_read_paused


@then("the connection is closed")
def step_closed(context):
    assert context.transport.is_closed


@given("a connection of a server with bodies of at most {n:d} bytes")
def step_body_limit(context, n):
    connect(context, HttpLimits(max_body_bytes=n))


@when("only an announced body of {n:d} bytes arrives")
def step_announced(context, n):
    receive(context, b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % n)


@when("a whole body of {n:d} bytes arrives")
def step_whole(context, n):
    head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % n
    receive(context, head + b"x" * n)


@when("a body without a length of {n:d} bytes arrives")
def step_chunked(context, n):
    head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    receive(context, head + b"%x\r\n%s" % (n, b"x" * n))


@then("it is refused with status {status:d} as not run")
def step_refused(context, status):
    sent = bytes(context.transport.sent)
    assert sent.startswith(b"HTTP/1.1 %d" % status), sent
    assert b"beryl-outcome: not-run" in sent, sent
    assert n_pending(context) == 0


@then("what still arrives is discarded")
def step_discarded(context):
    n_sent = len(context.transport.sent)
    receive(context, b"x" * 100_000 + REQUEST)
    assert len(context.transport.sent) == n_sent
    assert n_pending(context) == 0


@then("the connection closes after the client has closed it")
def step_closes(context):
    assert context.transport.has_written_eof and not context.transport.is_closed

    async def receive_eof():
        assert not context.connection.eof_received(), "the transport stays open"

    context.run(receive_eof())

import asyncio
import logging
import os
import re
import socket
import time

from behave import given, then, when
from prometheus_client import REGISTRY
from server_flow_steps import FakeTransport

from berylcleat.http import ByteBudget, HttpLimits, HttpResponse, HttpServer
from berylcleat.http._server_connection import ServerConnection
from berylcleat.standins import find_free_ports

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
# Patience with a connect to the loopback address, and with a crowd that is accepted.
CONNECT_TIMEOUT_S = 5.0
CROWD_TIMEOUT_S = 30.0


CLOSED_METRIC = "beryl_http_closed_connections_total"


def count_closed(reason):
    return REGISTRY.get_sample_value(CLOSED_METRIC, {"reason": reason}) or 0


class LineCollector(logging.Handler):
    """Collector of the log lines of servers."""

    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        self.lines.append(record.getMessage())


def make_server(context, limits, budget=None, address="127.0.0.1:0"):
    context.n_closed_before = count_closed("too-many-connections")
    context.collector = LineCollector()
    logging.getLogger("berylcleat.http").addHandler(context.collector)
    context.answers = []
    context.connection_by_number = {}
    context.transport_by_number = {}

    async def handle(request):
        context.answers.append(asyncio.get_running_loop().create_future())
        return await context.answers[-1]

    context.server = HttpServer(address, handle, limits, budget)


class Transport(FakeTransport):
    """Transport that tells its connection when it is aborted."""

    def abort(self):
        if not self.is_closed:
            self.is_closed = True
            asyncio.get_running_loop().call_soon(self.connection.connection_lost, None)


async def settle():
    for _ in range(4):
        await asyncio.sleep(0)


def read_numbers(text):
    return [int(number) for number in re.findall(r"\d+", text)]


async def open_connection(context, number):
    connection, transport = ServerConnection(context.server), Transport()
    transport.connection = connection
    context.connection_by_number[number] = connection
    context.transport_by_number[number] = transport
    connection.connection_made(transport)
    await settle()


async def deliver(context, number, data):
    connection = context.connection_by_number[number]
    size = len(connection.get_buffer(-1))
    for start in range(0, len(data), size):
        part = data[start : start + size]
        connection.get_buffer(-1)[: len(part)] = part
        connection.buffer_updated(len(part))
    await settle()


def count_descriptors():
    return len(os.listdir("/proc/self/fd"))


async def answer_all(context):
    for answer in context.answers:
        if not answer.done():
            answer.set_result(HttpResponse(200))
    await settle()


def make_post(n_announced, n_sent):
    head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % n_announced
    return head + b"x" * n_sent


@given("a server with at most {n:d} connections")
def step_max_connections(context, n):
    make_server(context, HttpLimits(max_connections=n))


@given("a listening server with at most {n:d} connections")
def step_listening(context, n):
    context.port = find_free_ports(1)[0]
    address = f"127.0.0.1:{context.port}"
    make_server(context, HttpLimits(max_connections=n), address=address)
    context.run(context.server.start())
    context.add_cleanup(lambda: context.run(context.server.stop(0.0)))


@given("a server whose connections hold at most {n:d} bytes")
def step_max_bytes(context, n):
    make_server(context, HttpLimits(handling_factor=1), ByteBudget(n))


@when("connection {number:d} is opened")
def step_open(context, number):
    context.run(open_connection(context, number))


@when("connections {numbers} are opened")
def step_open_several(context, numbers):
    for number in read_numbers(numbers):
        context.run(open_connection(context, number))


@when("connection {number:d} sends a request that is answered")
def step_answered(context, number):
    context.run(deliver(context, number, REQUEST))
    context.run(answer_all(context))


@when("{n:d} clients have connected before it accepts any")
def step_crowd(context, n):
    for _ in range(n):
        address = ("127.0.0.1", context.port)
        client = socket.create_connection(address, CONNECT_TIMEOUT_S)
        context.add_cleanup(client.close)


@when('it has closed {n:d} of them as "{reason}"')
def step_closed_crowd(context, n, reason):
    n_before = count_descriptors()
    context.peak = 0

    async def watch():
        deadline = time.monotonic() + CROWD_TIMEOUT_S
        while time.monotonic() < deadline:
            context.peak = max(context.peak, count_descriptors() - n_before)
            n_closed = count_closed(reason) - context.n_closed_before
            if n_closed == n:
                return
            await asyncio.sleep(0)
        raise AssertionError(f"{n_closed} closed")

    context.run(watch())
    context.run(settle())


@then("it used at most {n:d} descriptors beyond its limit")
def step_descriptors(context, n):
    limit = context.server.limits.max_connections
    assert context.peak <= limit + n, context.peak


@then("{n:d} of its connections are open")
def step_n_open(context, n):
    assert len(context.server.connections) == n, len(context.server.connections)


@when("connections {numbers} send a request")
def step_send(context, numbers):
    for number in read_numbers(numbers):
        context.run(deliver(context, number, REQUEST))


@when("connections {numbers} send {n:d} bytes of headers")
def step_headers(context, numbers, n):
    data = b"GET / HTTP/1.1\r\n" + b"x-more: yes\r\n" * n
    for number in read_numbers(numbers):
        context.run(deliver(context, number, data[:n]))


@when("connection {number:d} is lost")
def step_lost(context, number):
    async def lose():
        context.transport_by_number[number].abort()
        await settle()

    context.run(lose())


@when("the requests are answered")
def step_answer_all(context):
    context.run(answer_all(context))


@when("connection {number:d} sends {n:d} bytes of a longer body")
def step_part(context, number, n):
    context.run(deliver(context, number, make_post(n + 1000, n)))


@when("connection {number:d} sends a request of {n:d} bytes")
def step_whole(context, number, n):
    context.run(deliver(context, number, make_post(n, n)))


@then("connection {number:d} is closed")
def step_closed(context, number):
    assert context.transport_by_number[number].is_closed


@then('{n:d} closed connections were counted as "{reason}", and logged once')
def step_counted(context, n, reason):
    assert count_closed(reason) - context.n_closed_before == n
    lines = [line for line in context.collector.lines if reason in line]
    assert len(lines) == 1, context.collector.lines


@then("connections {numbers} are open")
def step_open_still(context, numbers):
    for number in read_numbers(numbers):
        transport = context.transport_by_number[number]
        assert not transport.is_closed and not transport.has_written_eof, number


@then("connection {number:d} is refused with status {status:d} as not run")
def step_refused(context, number, status):
    sent = bytes(context.transport_by_number[number].sent)
    assert sent.startswith(b"HTTP/1.1 %d" % status), sent
    assert b"beryl-outcome: not-run" in sent, sent


@then("{n:d} requests are handled")
def step_n_handled(context, n):
    assert len(context.answers) == n, context.answers


@then("nothing is held")
def step_nothing_held(context):
    assert context.server.budget.n_bytes == 0, context.server.budget.n_bytes

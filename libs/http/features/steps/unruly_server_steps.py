import subprocess
import sys
import time
from pathlib import Path

from behave import given, then, when

from berylcleat.http import ExchangeError, HttpClient, HttpRequest
from berylcleat.standins import Onslaught, find_free_ports, run_onslaught

# Limits of the users' machines: memory in MB, and descriptors without those for files.
MEMORY_BYTES = 300_000_000
MAX_DESCRIPTORS = 3_900
# Patience with the server after the crowd has gone; one that hangs never answers.
RECOVERY_TIMEOUT_S = 60.0
SERVER = Path(__file__).with_name("slow_server.py")
POST_HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 900000\r\n\r\n"
REPEATED_BY_NAME = {
    "GETs": b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
    "POSTs of 900 KB": POST_HEAD + b"x" * 900_000,
}


async def exchange(context, timeout_s):
    client = HttpClient(context.address)
    try:
        return await client.exchange(HttpRequest("GET", "/"), timeout_s)
    except ExchangeError:
        return None
    finally:
        client.close()


def wait_answered(context):
    deadline = time.monotonic() + RECOVERY_TIMEOUT_S
    while time.monotonic() < deadline:
        response = context.run(exchange(context, 10.0))
        if response is not None and response.status == 200:
            return
        time.sleep(0.1)
    raise AssertionError("no answer")


@given("a server whose handler takes {delay_s:g} s")
def step_server(context, delay_s):
    context.port = find_free_ports(1)[0]
    context.address = f"127.0.0.1:{context.port}"
    command = [sys.executable, str(SERVER), context.address, str(delay_s)]
    context.process = subprocess.Popen(command)
    wait_answered(context)


@when("{n:d} unruly clients send {what} for {duration_s:d} seconds")
def step_onslaught(context, n, what, duration_s):
    context.result = run_onslaught(
        context.process,
        context.address,
        frozenset((context.port,)),
        Onslaught(n, b"", REPEATED_BY_NAME[what]),
        duration_s,
        MEMORY_BYTES,
    )
    print(f"{what}: {context.result}")


@then("the server lives, within the memory and descriptors of a machine")
def step_lives(context):
    result = context.result
    assert not result.was_stopped, result
    assert context.process.poll() is None, "the server has ended"
    assert result.peak_bytes <= MEMORY_BYTES, result
    assert result.peak_descriptors <= MAX_DESCRIPTORS, result


@then("an ordinary request is answered")
def step_ordinary(context):
    wait_answered(context)

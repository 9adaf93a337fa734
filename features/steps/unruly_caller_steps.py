import time

from behave import then, when
from fleet_steps import send

from berylcleat.standins import Onslaught, run_onslaught

# Limits of the users' machines: memory in MB, and descriptors without those for files.
MEMORY_BYTES = 300_000_000
MAX_DESCRIPTORS = 3_900
# Patience with the process after the crowd has gone; one that hangs never answers.
RECOVERY_TIMEOUT_S = 60.0


def make_get(target):
    return b"GET %s HTTP/1.1\r\nHost: a\r\n\r\n" % target


def make_post(body, n_announced):
    head = b"POST /cards/order HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
    return head % n_announced + body


def make_onslaught(name, n):
    return {
        "nothing": Onslaught(n),
        "GETs of the service": Onslaught(n, b"", make_get(b"/cards/a")),
        "GETs of an unknown service": Onslaught(n, b"", make_get(b"/nothing/here")),
        "GETs of the metrics": Onslaught(n, b"", make_get(b"/metrics")),
        "orders of 900 KB": Onslaught(n, b"", make_post(b"x" * 900_000, 900_000)),
        "999 KB of 1 MB, then silence": Onslaught(
            n, make_post(b"x" * 999_000, 1_000_000)
        ),
    }[name]


@when("{n:d} unruly callers send {what} to {server} for {duration_s:d} seconds")
def step_onslaught(context, n, what, server, duration_s):
    host = context.fleet.hosts[0]
    program = server.partition("_")[0]
    context.process = context.fleet.process_by_name[f"{program}-{host.host_id}"]
    context.result = run_onslaught(
        context.process,
        host.address(server),
        frozenset((host.ports[server],)),
        make_onslaught(what, n),
        duration_s,
        MEMORY_BYTES,
    )
    print(f"{what} to {server}: {context.result}")


@then("its process lives, within the memory and descriptors of its machine")
def step_lives(context):
    result = context.result
    assert not result.was_stopped, result
    assert context.process.poll() is None, "the process has ended"
    assert result.peak_bytes <= MEMORY_BYTES, result
    assert result.peak_descriptors <= MAX_DESCRIPTORS, result


@then("an ordinary request to the service is answered")
def step_ordinary_request(context):
    deadline = time.monotonic() + RECOVERY_TIMEOUT_S
    status = 0
    while status != 200 and time.monotonic() < deadline:
        response = context.run(send(context, 0, "GET", "/cards/ordinary"))
        status = response.status if response else 0
    assert status == 200, status

import time

from behave import then, when

from berylcleat.standins import (
    HOST_NAME,
    Onslaught,
    make_submission_body,
    run_onslaught,
)

# Limits of the users' machines: memory in MB, and descriptors without those for files.
MEMORY_BYTES = 300_000_000
MAX_DESCRIPTORS = 3_900
SERVERS = ("front", "ready", "peer", "metrics")
ORDINARY_ID = "00000000000000a7"
# Patience with the host after the crowd has gone; a host that hangs never answers.
RECOVERY_TIMEOUT_S = 60.0
BODY = b"x" * 900_000
STEPS = b'{"steps":[' + b'{"count":1},' * 75_000 + b'{"count":1}]}'
# Within the limit of the client address.
FEWER_STEPS = b'{"steps":[' + b'{"count":1},' * 41_000 + b'{"count":1}]}'
RELAYED = (
    b'{"method":"POST","target":"/proofs/00000000000000b7","client_host":"%s",'
    b'"deadline_ms":3000,"body":"%s"}' % (HOST_NAME.encode(), b"eHh4" * 225_000)
)
HOST_LINE = f"Host: {HOST_NAME}\r\n".encode()
UNKNOWN_SUBMISSION = b"/proofs/00000000000000b7"


def make_get(target, version=b"1.1", host_line=HOST_LINE):
    return b"GET %s HTTP/%s\r\n%s\r\n" % (target, version, host_line)


def make_post(target, body, n_announced=None):
    n_bytes = len(body) if n_announced is None else n_announced
    head = b"POST %s HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n"
    return head % (target, HOST_LINE, n_bytes) + body


def make_onslaught(name, n):
    submission = UNKNOWN_SUBMISSION
    chunked_head = b"POST %s HTTP/1.1\r\n%sTransfer-Encoding: chunked\r\n\r\n"
    return {
        "nothing": Onslaught(n),
        "GETs of a submission": Onslaught(n, b"", make_get(submission)),
        "GETs without a Host": Onslaught(n, b"", make_get(submission, host_line=b"")),
        "GETs over HTTP/1.0": Onslaught(n, b"", make_get(submission, b"1.0")),
        "GETs of the readiness path": Onslaught(n, b"", make_get(b"/api/readiness")),
        "GETs of the metrics": Onslaught(n, b"", make_get(b"/metrics")),
        "GETs of a state": Onslaught(n, b"", make_get(b"/state/00000000000000b7")),
        "submissions of 900 KB": Onslaught(n, b"", make_post(submission, STEPS)),
        "submissions of 500 KB": Onslaught(n, b"", make_post(submission, FEWER_STEPS)),
        "520 KB of 521 KB, then silence": Onslaught(
            n, make_post(submission, b"x" * 520_000, 521_000)
        ),
        "relayed requests of 900 KB": Onslaught(
            n, b"", make_post(b"/client-request", RELAYED)
        ),
        "4 GB announced and sent": Onslaught(
            n, make_post(submission, BODY, 4_000_000_000), BODY
        ),
        "a chunked body without end": Onslaught(
            n, chunked_head % (submission, HOST_LINE), b"400\r\n%s\r\n" % BODY[:1024]
        ),
        "999 KB of 1 MB, then silence": Onslaught(
            n, make_post(submission, b"x" * 999_000, 1_000_000)
        ),
        "headers without end": Onslaught(
            n, b"GET %s HTTP/1.1\r\n" % submission, b"x-more: %s\r\n" % BODY[:100]
        ),
        "1 byte of a body at a time": Onslaught(
            n, make_post(submission, b"", 4000), b"x", period_s=0.5
        ),
    }[name]


@when("{n:d} unruly clients send {what} to {server} for {duration_s:d} seconds")
def step_onslaught(context, n, what, server, duration_s):
    group = context.group
    address_by_server = dict(zip(SERVERS, group.hosts[0], strict=True))
    ports = frozenset(int(address.rpartition(":")[2]) for address in group.hosts[0])
    context.result = run_onslaught(
        group.processes[0],
        address_by_server[server],
        ports,
        make_onslaught(what, n),
        duration_s,
        MEMORY_BYTES,
    )
    print(f"{what} to {server}: {context.result}")


@then("the host lives, within the memory and descriptors of its machine")
def step_lives(context):
    result = context.result
    assert not result.was_stopped, result
    assert context.group.processes[0].poll() is None, "the host has ended"
    assert result.peak_bytes <= MEMORY_BYTES, result
    assert result.peak_descriptors <= MAX_DESCRIPTORS, result


@then("an ordinary submission is accepted and done")
def step_ordinary_submission(context):
    async def check():
        group = context.group
        deadline = time.monotonic() + RECOVERY_TIMEOUT_S
        status = 0
        while status != 200 and time.monotonic() < deadline:
            status = await group.submit(0, ORDINARY_ID, make_submission_body())
        assert status == 200, status
        await group.wait_state(0, ORDINARY_ID, "done", RECOVERY_TIMEOUT_S)

    context.run(check())

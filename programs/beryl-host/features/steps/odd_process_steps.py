import asyncio
import json

from behave import given, then

DEEP = "[" * 100_000 + "]" * 100_000
RACK, ODD_RACK = "r1", "r9"
GOOD_ENTRY = {
    "service": "svc",
    "address": "127.0.0.1:9",
    "zone": "dc-1",
    "state": "ready",
    "capacity": {"cpu": 64000, "memMb": 128000},
    "born": 1700000000000,
    "seq": 4,
}
ODD_FIELDS = (
    {"address": "127.0.0.1:99999"},
    {"address": "127.0.0.1:-1"},
    {"address": "127.0.0\u0000.1:80"},
    {"born": 10**400},
    {"capacity": {"cpu": -5, "memMb": 100}},
    {"capacity": {"cpu": 1e308, "memMb": 100}},
    {"remainingMs": -1e300},
    {"zone": "z" * 10_000},
    {"state": "asleep"},
)


def make_odd_entries():
    """Yield values of odd entries, in the rack of the good workers and elsewhere."""
    for rack in (RACK, ODD_RACK):
        entry = {**GOOD_ENTRY, "labels": ["a", rack]}
        for odd in ODD_FIELDS:
            yield json.dumps({**entry, **odd})
        yield json.dumps(entry)[:-1] + f', "other": {DEEP}}}'
        yield json.dumps(entry)[:-1]
        yield DEEP


@given("odd entries stand among the workers, in the same rack and in others")
def step_odd_entries(context):
    async def write():
        for number, value in enumerate(make_odd_entries()):
            await context.group.send_command(
                "/write", table="servers", key=f"odd-{number}", value=value
            )
        await asyncio.sleep(1.5)

    context.run(write())


@then("no host has logged an unexpected error or owns a cell of an odd rack")
def step_logs(context):
    for number in range(len(context.group.hosts)):
        log = context.group.read_log(number)
        assert "background task failed" not in log
        assert "unexpected exception" not in log
        assert f"cell {ODD_RACK}" not in log
        assert "names no worker to use" in log

import asyncio
import json
import shutil
import time

from behave import given, then, when
from host_group import HostGroup
from loopback_proxy import LinkMode, LoopbackProxy

from berylcleat.standins import find_free_ports, make_submission_body

START_TIMEOUT_S = 25.0
END_TIMEOUT_S = 60.0
N_START_ATTEMPTS = 4


class EvacuationGroup(HostGroup):
    """A host and a worker in each data centre; hosts reach the store by proxies."""

    host_settings = {
        "evacuation_deadline_ms": 5000,
        "evacuation_outage_allowance_ms": 6000,
    }

    def _data_centre(self, number):
        return f"dc-{1 + number}"

    def _prepare(self):
        ports = find_free_ports(len(self.hosts))
        self.links = [LoopbackProxy(f"127.0.0.1:{port}", self.store) for port in ports]
        for link in self.links:
            link.mode = LinkMode.REFUSED
        self.store_by_host = [link.address for link in self.links]


class Feeder:
    """Sender of submissions to all hosts in turn."""

    def __init__(self, group):
        self._group = group
        self.accepted = []

    async def run(self, period_s):
        number = 0
        while True:
            number += 1
            submission_id = f"{number:016x}"
            front = self._group.hosts[number % 2][0]
            body = json.dumps(make_submission_body(0.2)).encode()
            target = f"/proofs/{submission_id}"
            status, _ = await self._group.call(front, "POST", target, body)
            if status == 200:
                self.accepted.append(submission_id)
            await asyncio.sleep(period_s)


async def start_group(context, make_group):
    """Start the processes; return whether each host owns its data centre's cell.

    The hosts reach the store once all of them are up: a host that starts a second later
    than the other one finds its data centre's cell adopted.
    """
    context.group = make_group()
    for link in context.group.links:
        await link.start()
    await context.group.wait_started()
    for link in context.group.links:
        link.mode = LinkMode.OPEN
    await context.group.wait_ready()
    return all(
        f"cell r{number + 1}: epoch" in context.group.read_log(number)
        for number in range(2)
    )


async def stop_group(context):
    for link in context.group.links:
        await link.stop()
    context.group.stop()
    shutil.rmtree(context.group.folder, ignore_errors=True)


@given('a host and a worker in each of the data centres "dc-1" and "dc-2"')
def step_group(context):
    start_one_owner_per_cell(context, lambda: EvacuationGroup(2, 2, n_racks=2))


def start_one_owner_per_cell(context, make_group):
    # A host knows the addresses of another data centre's hosts from the cells they own.
    for _ in range(N_START_ATTEMPTS):
        if context.run(start_group(context, make_group)):
            return
        context.run(stop_group(context))
    raise AssertionError("no start in which each host owns a cell")


@given("a submission is sent every {seconds:f} s")
def step_feed(context, seconds):
    context.feeder = Feeder(context.group)

    async def start():
        context.feeding = asyncio.create_task(context.feeder.run(seconds))

    context.run(start())


async def read_starts(context):
    return (await context.group.ledger())["n_starts_by_worker"]


@when('tasks have started on "{workers}"')
@then('tasks start on "{workers}"')
def step_starts(context, workers):
    async def wait():
        before = await read_starts(context)
        deadline = time.monotonic() + START_TIMEOUT_S
        for worker in workers.split():
            while (await read_starts(context)).get(worker, 0) <= before.get(worker, 0):
                assert time.monotonic() < deadline, (worker, before)
                await asyncio.sleep(0.1)

    context.run(wait())


@when('the operator evacuates "{name}"')
def step_evacuate(context, name):
    key = f"evacuate/{name}"
    context.run(context.group.send_command("/write", table="op", key=key, value="{}"))
    context.requested_at = time.monotonic()


@when('the evacuation of "{names}" is withdrawn')
def step_withdraw(context, names):
    for name in names.split():
        key = f"evacuate/{name}"
        context.run(context.group.send_command("/remove", table="op", key=key))


async def wait_for_line(context, number, text, seconds):
    while text not in context.group.read_log(number):
        assert time.monotonic() < context.requested_at + seconds, (number, text)
        await asyncio.sleep(0.05)


@then(
    'every host logs within {seconds:f} s that the evacuation of "{name}" was requested'
)
def step_logged(context, seconds, name):
    # A host whose read fails meanwhile may be told by the other one first.
    text = f"evacuation requested: data centre {name}, from "
    for number in range(2):
        context.run(wait_for_line(context, number, text, seconds))


@then('the host of "dc-2" logs within {seconds:f} s that another host told it so')
def step_told(context, seconds):
    text = "evacuation requested: data centre dc-2, from peer"
    context.run(wait_for_line(context, 1, text, seconds))


@then(
    "from {start:f} s after the request on no task starts on "
    '"{worker}" for {seconds:f} s'
)
def step_no_starts(context, start, worker, seconds):
    async def watch():
        await asyncio.sleep(context.requested_at + start - time.monotonic())
        before = (await read_starts(context))[worker]
        await asyncio.sleep(seconds)
        return before, (await read_starts(context))[worker]

    before, after = context.run(watch())
    assert before == after, (before, after)


@then('the host of "dc-2" serves the metrics of its evacuation')
def step_metrics(context):
    group = context.group
    _, body = context.run(group.call(group.hosts[1][3], "GET", "/metrics"))
    lines = body.decode().splitlines()
    assert 'beryl_evacuated_data_centre{data_centre="dc-2"} 1.0' in lines
    assert 'beryl_evacuation_running_tasks{data_centre="dc-2"} 0.0' in lines


@then("a submission is answered 503 at once")
def step_refused(context):
    group = context.group
    body = json.dumps(make_submission_body()).encode()
    target = f"/proofs/{'f' * 16}"
    for front, *_ in group.hosts:
        sent_at = time.monotonic()
        status, _ = context.run(group.call(front, "POST", target, body))
        assert status == 503, status
        assert time.monotonic() - sent_at < 1.0


@when('the store refuses the host of "dc-2"')
def step_refuse(context):
    context.group.links[1].mode = LinkMode.REFUSED
    context.group.links[1].reset()


@when('the store serves the host of "dc-2" again')
def step_serve(context):
    context.group.links[1].mode = LinkMode.OPEN


@then("every accepted submission ends, and no task ran twice at a time")
def step_all_end(context):
    async def check():
        context.feeding.cancel()
        for submission_id in context.feeder.accepted:
            await context.group.wait_state(0, submission_id, "done", END_TIMEOUT_S)
        for link in context.group.links:
            await link.stop()
        return await context.group.ledger()

    ledger = context.run(check())
    assert not ledger["overlaps"], ledger["overlaps"]

import asyncio
import json
import signal
import time

from behave import given, then, when
from evacuation_process_steps import EvacuationGroup, start_one_owner_per_cell

from berylcleat.standins import find_free_ports

MACHINES = [f"m-w{number}" for number in range(4)]
WAVE = {"wave": 1, "machines": MACHINES, "completeByS": 40, "maxCount": 1}


class MaintenanceGroup(EvacuationGroup):
    """A host and two workers in each data centre, and a machine service."""

    def _data_centre(self, number):
        return f"dc-{1 + number % 2}"

    def _prepare(self):
        super()._prepare()
        address = f"127.0.0.1:{find_free_ports(1)[0]}"
        self.platform_settings = {"machine_address": address, "maintenance_s": 1.0}
        self.host_settings = {"machine_service_address": address}


@given('a host and two workers in each of the data centres "dc-1" and "dc-2"')
def step_maintenance_group(context):
    start_one_owner_per_cell(context, lambda: MaintenanceGroup(2, 4, n_racks=2))


@when("the operator requests wave 1 of all machines, one at a time, within 40 s")
def step_wave(context):
    group = context.group
    value = json.dumps(WAVE)
    context.run(group.send_command("/write", table="op", key="wave/1", value=value))
    context.requested_at = time.monotonic()


@when("an answer of the machine service is lost")
def step_lose_answer(context):
    context.run(context.group.send_command("/lose-machine-answers", n=1))


@when('the host of "dc-2" is killed')
def step_kill(context):
    async def kill():
        # While a machine of its cell holds the only slot.
        deadline = time.monotonic() + 30.0
        while "taken out of use, cell r2" not in context.group.read_log(1):
            assert time.monotonic() < deadline, "no machine of r2 is emptied"
            await asyncio.sleep(0.02)
        context.group.processes[1].send_signal(signal.SIGKILL)

    context.run(kill())


async def read_wave(context):
    body = json.dumps({"wave": 1}).encode()
    _, answer = await context.group.call(context.group.control, "POST", "/wave", body)
    return json.loads(answer)


@then("the wave is done within {seconds:d} s, and not before all machines have begun")
def step_done(context, seconds):
    async def wait():
        while True:
            record = await read_wave(context)
            if record["status"] == {"state": "done"}:
                return record
            assert time.monotonic() < context.requested_at + seconds, record
            await asyncio.sleep(0.05)

    record = context.run(wait())
    assert record["begun"] == MACHINES, record


@then("never more than one machine was down, and each was called for by one holder")
def step_limits(context):
    record = context.run(read_wave(context))
    assert record["max_down"] == 1, record
    assert not record["faults"], record


@then("the logs of the hosts tell the steps of the wave")
def step_logs(context):
    logs = [context.group.read_log(number) for number in range(2)]
    for log in logs:
        assert log.count("maintenance: wave 1 requested: 4 machines") == 1
    for machine in MACHINES:
        for text in (
            f"maintenance: wave 1: machine {machine} is taken out of use",
            f"maintenance: wave 1: maintenance of machine {machine} is requested",
        ):
            assert any(text in log for log in logs), text
    # The host logs it after the store's answer, the row is read before.
    deadline = time.monotonic() + 2.0
    while count_done_lines(context) == 0 and time.monotonic() < deadline:
        time.sleep(0.05)
    assert count_done_lines(context) == 1


def count_done_lines(context):
    logs = (context.group.read_log(number) for number in range(2))
    return sum(log.count("maintenance: wave 1: done") for log in logs)


@then("the hosts read no list of machines after the wave")
def step_quiet(context):
    async def count():
        # The last machine may still be on its way up.
        await asyncio.sleep(6.0)
        before = (await read_wave(context))["n_list_reads"]
        await asyncio.sleep(2.0)
        return before, (await read_wave(context))["n_list_reads"]

    before, after = context.run(count())
    assert before == after, (before, after)

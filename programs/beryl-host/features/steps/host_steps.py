import asyncio
import json
import signal
import time

from behave import given, then, when
from host_group import HostGroup

from berylcleat.standins import DEADLINE_HEADER, make_submission_body

N_SUBMISSIONS = 6


def make_id(number):
    return f"{number:016x}"


@given("{n_hosts:d} hosts on the stand-in platform with {n_workers:d} workers")
def step_group(context, n_hosts, n_workers):
    context.group = HostGroup(n_hosts, n_workers)
    context.run(context.group.wait_ready())


@when("{n:d} submissions are sent to different hosts")
def step_submit(context, n):
    async def submit_all():
        group = context.group
        tasks = [
            group.submit(
                number % len(group.hosts), make_id(number), make_submission_body()
            )
            for number in range(n)
        ]
        return await asyncio.gather(*tasks)

    context.ids = [make_id(number) for number in range(n)]
    context.statuses = context.run(submit_all())
    assert set(context.statuses) == {200}, context.statuses


@when("the same submissions are sent again to other hosts")
def step_resubmit(context):
    async def resubmit_all():
        group = context.group
        return [
            await group.submit(
                (n + 1) % len(group.hosts), submission_id, make_submission_body()
            )
            for n, submission_id in enumerate(context.ids)
        ]

    assert set(context.run(resubmit_all())) == {200}


@when("the owner of the cell gets {name}")
def step_end_owner(context, name):
    group = context.group
    number = group.find_owner()
    group.processes[number].send_signal(getattr(signal, name))
    group.processes[number].wait()
    context.ended = number
    group.processes[number] = group.start_host(number)


@then("every host reports every submission as {state}")
def step_state_reported(context, state):
    async def check():
        for number in range(len(context.group.hosts)):
            for submission_id in context.ids:
                await context.group.wait_state(number, submission_id, state)

    context.run(check())


@then("{n:d} tasks are done and none ran twice")
def step_done(context, n):
    ledger = context.run(context.group.ledger())
    assert ledger["n_done"] == n, ledger
    assert not ledger["overlaps"], ledger["overlaps"]


@when("a submission that runs for minutes is sent")
def step_long(context):
    context.ids = [make_id(77)]
    status = context.run(
        context.group.submit(0, make_id(77), make_submission_body(run_s=200))
    )
    assert status == 200, status
    context.run(wait_running(context, 3))


async def wait_running(context, n):
    deadline = time.monotonic() + 10
    while (await context.group.ledger())["running"] != n:
        assert time.monotonic() < deadline, await context.group.ledger()
        await asyncio.sleep(0.1)


@when("it is cancelled at another host")
def step_cancel(context):
    group = context.group
    status, _ = context.run(
        group.call(group.hosts[1][0], "DELETE", f"/proofs/{context.ids[0]}")
    )
    assert status == 200, status


@then("no task is running")
def step_nothing_runs(context):
    context.run(wait_running(context, 0))


@then("invalid requests get these statuses")
def step_invalid_requests(context):
    group = context.group
    front = group.hosts[0][0]
    for row in context.table:
        body = row["body"].encode()
        status, _ = context.run(group.call(front, row["method"], row["target"], body))
        assert status == int(row["status"]), (dict(row.as_dict()), status)


@when("the store is {mode} for {seconds:d} seconds")
def step_outage(context, mode, seconds):
    async def outage():
        await context.group.send_command("/outage", mode=mode)
        await asyncio.sleep(seconds)
        await context.group.send_command("/outage", mode="")

    context.run(outage())


@when("a submission is sent while the store is {mode} for {seconds:d} seconds")
def step_submit_in_outage(context, mode, seconds):
    async def submit_in_outage():
        group = context.group
        await group.send_command("/outage", mode=mode)
        data = json.dumps(make_submission_body()).encode()
        deadline = ((DEADLINE_HEADER, "1500"),)
        status, _ = await group.call(
            group.hosts[0][0], "POST", f"/proofs/{make_id(5)}", data, headers=deadline
        )
        await asyncio.sleep(seconds)
        await group.send_command("/outage", mode="")
        return status

    context.status = context.run(submit_in_outage())


@then("the response has status {status:d}")
def step_status(context, status):
    assert context.status == status, context.status


@then("sending it again runs it once")
def step_runs_once(context):
    assert (
        context.run(context.group.submit(1, make_id(5), make_submission_body())) == 200
    )
    context.run(context.group.wait_state(0, make_id(5), "done"))
    ledger = context.run(context.group.ledger())
    assert ledger["n_done"] == 5 and not ledger["overlaps"], ledger


@when("the store drops its change history")
def step_lose_history(context):
    context.run(context.group.send_command("/forget"))


@when('worker "{worker}" drains')
def step_drain(context, worker):
    context.run(context.group.send_command("/drain", worker=worker))
    context.run(asyncio.sleep(1.5))


@then('no task is started on the drained worker "{worker}"')
def step_nothing_started(context, worker):
    group = context.group
    ledger = context.run(group.ledger())
    assert not ledger["overlaps"]
    lines = group.read_log(group.find_owner()).splitlines()
    assert any(f"worker {worker}: draining" in line for line in lines)


@when("every host gets SIGHUP")
def step_sighup(context):
    for process in context.group.processes:
        process.send_signal(signal.SIGHUP)
    context.run(asyncio.sleep(0.5))


@then("every host is still running and has logged the reload")
def step_runs_on(context):
    for number, process in enumerate(context.group.processes):
        assert process.poll() is None
        assert "reload" in context.group.read_log(number)


@when(
    "the operator writes an invalid configuration, then version {version:d} "
    "without routes"
)
def step_config(context, version):
    config = json.dumps({"version": version, "routes": [], "services": []})

    async def write():
        group = context.group
        await group.send_command("/write", table="op", key="config", value="{broken")
        await asyncio.sleep(1.2)
        status, _ = await group.call(group.hosts[0][0], "GET", "/proofs/")
        assert status == 200, status
        await group.send_command("/write", table="op", key="config", value=config)
        await asyncio.sleep(1.2)

    context.run(write())


@then("no host serves the queue")
def step_queue_removed(context):
    for front, *_ in context.group.hosts:
        status, _ = context.run(context.group.call(front, "GET", "/proofs/"))
        assert status == 404, status

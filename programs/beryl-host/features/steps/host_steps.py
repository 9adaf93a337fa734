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


@given("{n_hosts:d} hosts on the platform's stand-in with {n_workers:d} workers")
def step_group(context, n_hosts, n_workers):
    context.group = HostGroup(n_hosts, n_workers)
    context.run(context.group.wait_ready())


@when("{n:d} submissions are handed in at different hosts")
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


@when("the same submissions are handed in again at other hosts")
def step_resubmit(context):
    async def again():
        group = context.group
        return [
            await group.submit(
                (n + 1) % len(group.hosts), submission_id, make_submission_body()
            )
            for n, submission_id in enumerate(context.ids)
        ]

    assert set(context.run(again())) == {200}


@when("the owner of the cell is ended by {name}")
def step_end_owner(context, name):
    group = context.group
    number = group.find_owner()
    group.processes[number].send_signal(getattr(signal, name))
    group.processes[number].wait()
    context.ended = number
    group.processes[number] = group.start_host(number)


@then("every submission is shown as {state} by every host")
def step_state_reported(context, state):
    async def check():
        for number in range(len(context.group.hosts)):
            for submission_id in context.ids:
                await context.group.wait_state(number, submission_id, state)

    context.run(check())


@then("{n:d} tasks have ended as done and none ran twice")
def step_done(context, n):
    ledger = context.run(context.group.ledger())
    assert ledger["n_done"] == n, ledger
    assert not ledger["overlaps"], ledger["overlaps"]


@when("a submission that lasts for minutes is handed in")
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


@then("nothing runs any more")
def step_nothing_runs(context):
    context.run(wait_running(context, 0))


@then("bad requests get these answers")
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


@when("a submission is handed in while the store is {mode} for {seconds:d} seconds")
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


@then("it was answered with {status:d}")
def step_status(context, status):
    assert context.status == status, context.status


@then("handing it in again runs it once")
def step_runs_once(context):
    assert (
        context.run(context.group.submit(1, make_id(5), make_submission_body())) == 200
    )
    context.run(context.group.wait_state(0, make_id(5), "done"))
    ledger = context.run(context.group.ledger())
    assert ledger["n_done"] == 5 and not ledger["overlaps"], ledger


@when("the store forgets its history")
def step_lose_history(context):
    context.run(context.group.send_command("/forget"))


@when('worker "{worker}" drains')
def step_drain(context, worker):
    context.run(context.group.send_command("/drain", worker=worker))
    context.run(asyncio.sleep(1.5))


@then('nothing is started on worker "{worker}" any more')
def step_nothing_started(context, worker):
    group = context.group
    starts = context.run(group.ledger())
    assert not starts["overlaps"]
    lines = group.read_log(group.find_owner()).splitlines()
    assert any(f"worker {worker}: draining" in line for line in lines)


@when("every host gets SIGHUP")
def step_sighup(context):
    for process in context.group.processes:
        process.send_signal(signal.SIGHUP)
    context.run(asyncio.sleep(0.5))


@then("every host runs on and has logged the reload")
def step_runs_on(context):
    for number, process in enumerate(context.group.processes):
        assert process.poll() is None
        assert "reload" in context.group.read_log(number)


@when("the operator writes what can't be read, then version {version:d} with no routes")
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


@then("the queue is gone at every host")
def step_queue_removed(context):
    for front, *_ in context.group.hosts:
        status, _ = context.run(context.group.call(front, "GET", "/proofs/"))
        assert status == 404, status

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
    context.town = HostGroup(n_hosts, n_workers)
    context.run(context.town.wait_ready())


@when("{n:d} submissions are handed in at different hosts")
def step_submit(context, n):
    async def submit_all():
        town = context.town
        tasks = [
            town.submit(
                number % len(town.hosts), make_id(number), make_submission_body()
            )
            for number in range(n)
        ]
        return await asyncio.gather(*tasks)

    context.ids = [make_id(number) for number in range(n)]
    context.statuses = context.run(submit_all())
    assert set(context.statuses) == {200}, context.statuses


@when("the same submissions are handed in again at other hosts")
def step_again(context):
    async def again():
        town = context.town
        return [
            await town.submit(
                (n + 1) % len(town.hosts), submission_id, make_submission_body()
            )
            for n, submission_id in enumerate(context.ids)
        ]

    assert set(context.run(again())) == {200}


@when("the owner of the cell is ended by {name}")
def step_end_owner(context, name):
    town = context.town
    number = town.owner()
    town.processes[number].send_signal(getattr(signal, name))
    town.processes[number].wait()
    context.ended = number
    town.processes[number] = town.start_host(number)


@then("every submission is shown as {state} by every host")
def step_shown(context, state):
    async def check():
        for number in range(len(context.town.hosts)):
            for submission_id in context.ids:
                await context.town.wait_state(number, submission_id, state)

    context.run(check())


@then("{n:d} tasks have ended as done and none ran twice")
def step_done(context, n):
    ledger = context.run(context.town.ledger())
    assert ledger["n_done"] == n, ledger
    assert not ledger["overlaps"], ledger["overlaps"]


@when("a submission that lasts for minutes is handed in")
def step_long(context):
    context.ids = [make_id(77)]
    status = context.run(
        context.town.submit(0, make_id(77), make_submission_body(run_s=200))
    )
    assert status == 200, status
    context.run(wait_running(context, 3))


async def wait_running(context, n):
    deadline = time.monotonic() + 10
    while (await context.town.ledger())["running"] != n:
        assert time.monotonic() < deadline, await context.town.ledger()
        await asyncio.sleep(0.1)


@when("it is cancelled at another host")
def step_cancel(context):
    town = context.town
    status, _ = context.run(
        town.call(town.hosts[1][0], "DELETE", f"/proofs/{context.ids[0]}")
    )
    assert status == 200, status


@then("nothing runs any more")
def step_idle(context):
    context.run(wait_running(context, 0))


@then("bad requests get these answers")
def step_bad(context):
    town = context.town
    front = town.hosts[0][0]
    for row in context.table:
        body = row["body"].encode()
        status, _ = context.run(town.call(front, row["method"], row["target"], body))
        assert status == int(row["status"]), (dict(row.as_dict()), status)


@when("the store is {mode} for {seconds:d} seconds")
def step_outage(context, mode, seconds):
    async def outage():
        await context.town.order("/outage", mode=mode)
        await asyncio.sleep(seconds)
        await context.town.order("/outage", mode="")

    context.run(outage())


@when("a submission is handed in while the store is {mode} for {seconds:d} seconds")
def step_submit_in_outage(context, mode, seconds):
    async def play():
        town = context.town
        await town.order("/outage", mode=mode)
        data = json.dumps(make_submission_body()).encode()
        deadline = ((DEADLINE_HEADER, "1500"),)
        status, _ = await town.call(
            town.hosts[0][0], "POST", f"/proofs/{make_id(5)}", data, headers=deadline
        )
        await asyncio.sleep(seconds)
        await town.order("/outage", mode="")
        return status

    context.status = context.run(play())


@then("it was answered with {status:d}")
def step_status(context, status):
    assert context.status == status, context.status


@then("handing it in again runs it once")
def step_runs_once(context):
    assert (
        context.run(context.town.submit(1, make_id(5), make_submission_body())) == 200
    )
    context.run(context.town.wait_state(0, make_id(5), "done"))
    ledger = context.run(context.town.ledger())
    assert ledger["n_done"] == 5 and not ledger["overlaps"], ledger


@when("the store forgets its history")
def step_forget(context):
    context.run(context.town.order("/forget"))


@when('worker "{worker}" drains')
def step_drain(context, worker):
    context.run(context.town.order("/drain", worker=worker))
    context.run(asyncio.sleep(1.5))


@then('nothing is started on worker "{worker}" any more')
def step_not_on(context, worker):
    town = context.town
    starts = context.run(town.ledger())
    assert not starts["overlaps"]
    lines = town.log_of(town.owner()).splitlines()
    assert any(f"worker {worker}: draining" in line for line in lines)


@when("every host gets SIGHUP")
def step_hup(context):
    for process in context.town.processes:
        process.send_signal(signal.SIGHUP)
    context.run(asyncio.sleep(0.5))


@then("every host runs on and has logged the reload")
def step_runs_on(context):
    for number, process in enumerate(context.town.processes):
        assert process.poll() is None
        assert "reload" in context.town.log_of(number)


@when("the operator writes what can't be read, then version {version:d} with no routes")
def step_config(context, version):
    config = json.dumps({"version": version, "routes": [], "services": []})

    async def write():
        town = context.town
        await town.order("/write", table="op", key="config", value="{broken")
        await asyncio.sleep(1.2)
        status, _ = await town.call(town.hosts[0][0], "GET", "/proofs/")
        assert status == 200, status
        await town.order("/write", table="op", key="config", value=config)
        await asyncio.sleep(1.2)

    context.run(write())


@then("the queue is gone at every host")
def step_gone(context):
    for front, *_ in context.town.hosts:
        status, _ = context.run(context.town.call(front, "GET", "/proofs/"))
        assert status == 404, status

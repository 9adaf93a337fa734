import asyncio
import json
import time

from behave import given, then, when
from host_group import HostGroup
from loopback_proxy import LinkMode, LoopbackProxy

from berylcleat.standins import find_free_ports, make_submission_body

RECOVERY_TIMEOUT_S = 10.0
END_TIMEOUT_S = 40.0


class ProxiedGroup(HostGroup):
    """Hosts of one data centre that reach the store by proxies."""

    def _prepare(self):
        ports = find_free_ports(len(self.hosts))
        self.links = [LoopbackProxy(f"127.0.0.1:{port}", self.store) for port in ports]
        self.store_by_host = [link.address for link in self.links]


@given("{n_hosts:d} hosts with proxies to the store and {n_workers:d} workers")
def step_group(context, n_hosts, n_workers):
    async def start():
        context.group = ProxiedGroup(n_hosts, n_workers)
        for link in context.group.links:
            await link.start()
        await context.group.wait_ready()

    context.run(start())


@when("the proxy of the host {role} is {mode} for {seconds:d} s")
def step_cut(context, role, mode, seconds):
    owner = context.group.find_owner()
    n_hosts = len(context.group.hosts)
    context.number = owner if role == "that owns the cell" else (owner + 1) % n_hosts
    link = context.group.links[context.number]
    link.mode = LinkMode(mode)
    if link.mode is LinkMode.REFUSED:
        link.reset()
    context.run(asyncio.sleep(seconds))


async def submit(context, submission_id):
    """Return the status of one attempt at the cut-off host, and its seconds."""
    group = context.group
    body = json.dumps(make_submission_body()).encode()
    target = f"/proofs/{submission_id}"
    sent_at = time.monotonic()
    status, _ = await group.call(group.hosts[context.number][0], "POST", target, body)
    return status, time.monotonic() - sent_at


@then("{n:d} submissions to that host are answered 200 within {seconds:f} s each")
def step_served(context, n, seconds):
    context.ids = [f"{number:016x}" for number in range(n)]
    for submission_id in context.ids:
        status, elapsed_s = context.run(submit(context, submission_id))
        assert status == 200, status
        assert elapsed_s < seconds, elapsed_s


@then("that host reports them as done, and one that nobody has sent with 410")
def step_reported(context):
    group = context.group

    async def check():
        for submission_id in context.ids:
            await group.wait_state(context.number, submission_id, "done", END_TIMEOUT_S)
        return await group.state(context.number, "f" * 16)

    assert context.run(check()) == "410"


@then("no task ran twice")
def step_no_overlap(context):
    ledger = context.run(context.group.ledger())
    assert not ledger["overlaps"], ledger["overlaps"]
    n_tasks = sum(step["count"] for step in make_submission_body()["steps"])
    assert ledger["n_done"] == n_tasks * len(context.ids), ledger


@when("the proxy of that host is open again")
def step_open(context):
    link = context.group.links[context.number]
    link.mode = LinkMode.OPEN
    link.reset()


@then("that host answers a submission without its peers")
def step_answers_itself(context):
    async def check():
        deadline = time.monotonic() + RECOVERY_TIMEOUT_S
        number = 100
        while True:
            submission_id = f"{number:016x}"
            status, _ = await submit(context, submission_id)
            log = context.group.read_log(context.number)
            if status == 200 and f"{submission_id}: answered 200 by peer" not in log:
                break
            assert time.monotonic() < deadline, log[-500:]
            number += 1
            await asyncio.sleep(0.2)
        for link in context.group.links:
            await link.stop()

    context.run(check())

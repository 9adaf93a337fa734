import asyncio
import json
import signal
import time

from behave import given, then, when
from host_group import HostGroup
from loopback_proxy import ConnectFault, LoopbackProxy

from berylcleat.standins import find_free_ports

SUBMISSION_ID = f"{1:016x}"
# Time since the worker's last heartbeat when it is cut off: its entry is removed 4.5 s
# after that heartbeat, while its lease of 5 s still runs.
HEARTBEAT_AGE_S = 1.4
ENTRY_REMOVED_AFTER_S = 4.5 - HEARTBEAT_AGE_S
# Time in which hosts learn of a change in the list of workers.
LIST_DELAY_S = 0.5
START_TIMEOUT_S = 10.0
# What the hosts' logs tell of the owners, the worker and the runs.
LOG_TEXTS = (
    "begins with",
    "no longer listed",
    "incarnation ended",
    "run lost",
    "run started",
)


class ProxiedWorkerGroup(HostGroup):
    """Hosts that reach the workers of one cell by proxies."""

    def _prepare(self):
        addresses = [f"127.0.0.1:{port}" for port in find_free_ports(len(self.workers))]
        self.links = [
            LoopbackProxy(address, target)
            for address, target in zip(addresses, self.workers, strict=True)
        ]
        self.listed_by_worker = addresses


@given("{n_hosts:d} hosts and two workers behind proxies")
def step_group(context, n_hosts):
    async def start():
        context.group = ProxiedWorkerGroup(n_hosts, 2)
        for link in context.group.links:
            await link.start()
        await context.group.wait_ready()

    async def stop():
        for link in context.group.links:
            await link.stop()

    context.run(start())
    context.add_cleanup(lambda: context.run(stop()))


@given("a task of {seconds:f} s runs on one of the workers")
def step_task(context, seconds):
    step = {"count": 1, "cpu": 1000, "memMb": 100, "estimateMs": int(seconds * 1000)}
    body = {"spec": json.dumps({"run_s": seconds}), "steps": [step]}

    async def start():
        group = context.group
        assert await group.submit(0, SUBMISSION_ID, body) == 200
        deadline = time.monotonic() + START_TIMEOUT_S
        while not (started := (await group.ledger())["n_starts_by_worker"]):
            assert time.monotonic() < deadline, "task not started"
            await asyncio.sleep(0.05)
        (context.worker,) = started
        # The worker's lease has been renewed since.
        await asyncio.sleep(LIST_DELAY_S)

    context.run(start())
    context.link = context.group.links[int(context.worker.removeprefix("w"))]


@when("that worker begins to drain")
def step_drain(context):
    async def drain():
        await context.group.send_command("/drain", worker=context.worker)
        await asyncio.sleep(LIST_DELAY_S)

    context.run(drain())


async def cut_off_from_store(context):
    await context.group.send_command(
        "/cut-off", worker=context.worker, heartbeat_age_s=HEARTBEAT_AGE_S
    )


async def cut_off_from_hosts(context, fault, seconds):
    """Cut the worker off, from the store as well, and then connect it to both."""
    await context.link.set_connect_fault(ConnectFault(fault))
    await asyncio.sleep(seconds)
    await context.link.set_connect_fault(None)
    await context.group.send_command("/reconnect", worker=context.worker)


@when(
    "it is cut off from the store and from the hosts for {seconds:f} s,"
    " where a connect {fault}"
)
def step_cut(context, seconds, fault):
    async def cut():
        await cut_off_from_store(context)
        await cut_off_from_hosts(context, fault, seconds)

    context.run(cut())


@when("it is cut off from the store until its entry is removed")
def step_unlist(context):
    async def cut():
        await cut_off_from_store(context)
        await asyncio.sleep(ENTRY_REMOVED_AFTER_S + LIST_DELAY_S)

    context.run(cut())


@when(
    "the owner is killed while that worker is cut off from the hosts for {seconds:f} s,"
    " where a connect {fault}"
)
def step_kill(context, seconds, fault):
    group = context.group
    owner = group.find_owner()
    context.front = 1 - owner
    group.processes[owner].send_signal(signal.SIGKILL)
    context.run(cut_off_from_hosts(context, fault, seconds))


@then("no task ran on two workers at once")
def step_no_overlap(context):
    ledger = context.run(context.group.ledger())
    lines = context.group.find_lines(LOG_TEXTS)
    assert not ledger["overlaps"], "\n".join([*ledger["overlaps"], *lines])


@then("the submission ends although that worker exits")
def step_ends(context):
    async def check():
        group = context.group
        await group.send_command("/exit", worker=context.worker)
        await context.link.set_connect_fault(ConnectFault.REFUSED)
        front = getattr(context, "front", 0)
        await group.wait_state(front, SUBMISSION_ID, "done")
        ledger = await group.ledger()
        assert not ledger["overlaps"], ledger["overlaps"]
        assert ledger["n_done"] == 1, ledger

    context.run(check())

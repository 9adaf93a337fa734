import asyncio
import json
import signal
import time
from pathlib import Path

from behave import given, then, when
from host_group import HostGroup
from loopback_proxy import ConnectFault, LoopbackProxy

from berylcleat.standins import find_free_ports, make_submission_body

TRANSLATED_HOST = Path(__file__).with_name("translated_host.py")
LASTING_ID = f"{1:016x}"
LASTING_RUN_S = 3600.0
SHORT_RUN_S = 1.0
# Age of a worker's last heartbeat when it goes, and the age at which its entry goes.
HEARTBEAT_AGE_S = 1.4
REMOVED_AGE_S = 4.5
# Time in which hosts learn of a change in the list of workers.
LIST_DELAY_S = 1.0
START_TIMEOUT_S = 10.0
# Longer than any wait for runs of an earlier owner.
RESTART_TIMEOUT_S = 60.0
# Time in which an owner records a start and begins to connect to the worker, less than
# the time-out of that, and time in which it sends a start that it still holds.
RECORD_DELAY_S = 0.3
ORDER_DELAY_S = 3.0
POLL_INTERVAL_S = 0.1
LOG_TEXTS = (
    "begins with",
    "earlier owner",
    "no longer listed",
    "run ended",
    "run lost",
    "run started",
    "start refused",
    "stopped",
)


class IsolatedGroup(HostGroup):
    """Hosts and workers of one cell whose links can be cut one by one."""

    def _prepare(self):
        n_hosts, n_workers = len(self.hosts), len(self.workers)
        ports = find_free_ports(2 * n_hosts + n_workers)
        addresses = [f"127.0.0.1:{port}" for port in ports]
        self.peer_listeners = [peer for _, _, peer, _ in self.hosts]
        targets = [self.store] * n_hosts + self.peer_listeners + self.workers
        links = [
            LoopbackProxy(address, target)
            for address, target in zip(addresses, targets, strict=True)
        ]
        self.store_links, links = links[:n_hosts], links[n_hosts:]
        self.peer_links, self.worker_links = links[:n_hosts], links[n_hosts:]
        self.store_by_host = [link.address for link in self.store_links]
        self.listed_by_worker = [link.address for link in self.worker_links]
        for host, link in zip(self.hosts, self.peer_links, strict=True):
            host[2] = link.address

    def _host_arguments(self, number):
        published = self.hosts[number][2]
        return [str(TRANSLATED_HOST), published, self.peer_listeners[number]]

    @property
    def links(self):
        """All links of the group."""
        return [*self.store_links, *self.peer_links, *self.worker_links]

    def link_of(self, worker):
        """Return the link to a worker."""
        return self.worker_links[int(worker.removeprefix("w"))]

    async def remove_from_store(self, worker, heartbeat_age_s=HEARTBEAT_AGE_S):
        """Lose a worker's heartbeats, so that its entry is removed."""
        await self.send_command(
            "/cut-off", worker=worker, heartbeat_age_s=heartbeat_age_s
        )


@given("{n_hosts:d} isolated hosts and {n_workers:d} isolated workers")
def step_group(context, n_hosts, n_workers):
    async def start():
        context.group = IsolatedGroup(n_hosts, n_workers)
        for link in context.group.links:
            await link.start()
        await context.group.wait_ready()

    async def stop():
        for link in context.group.links:
            await link.stop()

    context.add_cleanup(lambda: context.run(stop()))
    context.run(start())
    context.owner = context.group.find_owner()
    context.other = 1 - context.owner


def make_lasting_body(n_tasks):
    step = {
        "count": n_tasks,
        "cpu": 1000,
        "memMb": 100,
        "estimateMs": 1000,
        "longRunning": True,
        "antiAffinity": 1,
    }
    return {"spec": json.dumps({"run_s": LASTING_RUN_S}), "steps": [step]}


async def read_lasting_workers(group):
    """Return the workers of each long-running task that runs."""
    workers_by_task = (await group.ledger())["running_workers_by_task"]
    return {
        task: workers
        for task, workers in workers_by_task.items()
        if task.startswith(LASTING_ID)
    }


async def wait_until(condition, seconds, failure):
    deadline = time.monotonic() + seconds
    while not await condition():
        assert time.monotonic() < deadline, failure()
        await asyncio.sleep(POLL_INTERVAL_S)


def show_lines(context):
    return "\n".join(context.group.find_lines(LOG_TEXTS))


@given("a submission with {n:d} long-running tasks, each on a worker of its own")
def step_lasting(context, n):
    group = context.group

    async def all_run():
        return len(await read_lasting_workers(group)) == n

    async def start():
        status = await group.submit(context.other, LASTING_ID, make_lasting_body(n))
        assert status == 200, status
        await wait_until(all_run, START_TIMEOUT_S, lambda: "long-running tasks wait")
        # The leases have been renewed since.
        await asyncio.sleep(LIST_DELAY_S)
        return await read_lasting_workers(group)

    context.lasting_workers = context.run(start())
    (context.worker,) = min(context.lasting_workers.values())


@given("{n:d} submissions of short tasks")
def step_short(context, n):
    context.short_ids = [f"{100 + number:016x}" for number in range(n)]

    async def submit():
        for submission_id in context.short_ids:
            body = make_submission_body(SHORT_RUN_S)
            status = await context.group.submit(context.other, submission_id, body)
            assert status == 200, status

    context.run(submit())


@when("the owner and a worker with a long-running task go for good")
def step_gone(context):
    group = context.group

    async def go():
        link = group.peer_links[context.owner]
        context.went_at = time.monotonic()
        await link.set_connect_fault(ConnectFault.HANGS)
        await group.link_of(context.worker).set_connect_fault(ConnectFault.HANGS)
        group.processes[context.owner].send_signal(signal.SIGKILL)
        await group.remove_from_store(context.worker)
        await group.send_command("/exit", worker=context.worker)

    context.run(go())


@then("every long-running task runs {seconds:f} s after the owner went")
def step_runs_again(context, seconds):
    async def read():
        await asyncio.sleep(context.went_at + seconds - time.monotonic())
        return await read_lasting_workers(context.group)

    running = context.run(read())
    idle = set(context.lasting_workers) - set(running)
    assert not idle, "\n".join([f"without a run: {sorted(idle)}", show_lines(context)])


@then("no task of the cell ran twice at once")
def step_no_overlap(context):
    ledger = context.run(context.group.ledger())
    overlaps = ledger["overlaps"]
    assert not overlaps, "\n".join([*overlaps, show_lines(context)])


@then("all submissions of short tasks end")
def step_short_end(context):
    async def check():
        for submission_id in context.short_ids:
            await context.group.wait_state(context.other, submission_id, "done")

    context.run(check())


@when("the owner and that worker are cut off together")
def step_cut(context):
    """Cut them off from the store and the other host; the owner reaches the worker."""
    group = context.group

    async def cut():
        for link in (group.store_links[context.owner], *group.peer_links):
            await link.set_connect_fault(ConnectFault.HANGS)
        worker_link = group.link_of(context.worker)
        await worker_link.set_connect_fault(ConnectFault.HANGS, keeps_open=True)
        await group.remove_from_store(context.worker)

    context.run(cut())


@then("the task runs on another worker")
def step_elsewhere(context):
    group = context.group

    async def runs_elsewhere():
        workers = [w for ws in (await read_lasting_workers(group)).values() for w in ws]
        return any(worker != context.worker for worker in workers)

    context.run(
        wait_until(runs_elsewhere, RESTART_TIMEOUT_S, lambda: show_lines(context))
    )


@when("they are connected again")
def step_connected(context):
    group = context.group

    async def connect():
        for link in group.links:
            await link.set_connect_fault(None)
        await group.send_command("/reconnect", worker=context.worker)
        await asyncio.sleep(ORDER_DELAY_S)

    context.run(connect())


@given("the entry of one worker is removed")
def step_unlist(context):
    context.worker, context.unlisted_worker = "w0", "w1"

    async def unlist():
        await context.group.remove_from_store(context.unlisted_worker, REMOVED_AGE_S)
        await asyncio.sleep(LIST_DELAY_S)

    context.run(unlist())


@when("new connections to the other worker hang")
def step_hang(context):
    """Let the owner's holds go on; its start order waits for a connection."""
    link = context.group.link_of(context.worker)
    context.run(link.set_connect_fault(ConnectFault.HANGS, keeps_open=True))


@when("a submission with a long-running task is sent to the other host")
def step_send(context):
    async def send():
        target = f"/proofs/{LASTING_ID}"
        front = context.group.hosts[context.other][0]
        body = json.dumps(make_lasting_body(1)).encode()
        status, _ = await context.group.call(front, "POST", target, body)
        assert status == 200, status
        await asyncio.sleep(RECORD_DELAY_S)

    context.run(send())


@when("the owner is suspended")
def step_suspend(context):
    group = context.group
    group.processes[context.owner].send_signal(signal.SIGSTOP)
    ledger = context.run(group.ledger())
    assert not ledger["n_starts"], "the start was sent before the owner was suspended"


@when("the other worker takes the place of the owner's")
def step_replace(context):
    group = context.group

    async def replace():
        link = group.link_of(context.worker)
        await link.set_connect_fault(None)
        await link.set_connect_fault(ConnectFault.HANGS)
        await group.remove_from_store(context.worker)
        await group.send_command("/reconnect", worker=context.unlisted_worker)

    context.run(replace())


@when("the owner continues and reaches its worker")
def step_continue(context):
    group = context.group

    async def go_on():
        await group.link_of(context.worker).set_connect_fault(None)
        group.processes[context.owner].send_signal(signal.SIGCONT)
        await asyncio.sleep(ORDER_DELAY_S)
        await group.send_command("/reconnect", worker=context.worker)
        await asyncio.sleep(ORDER_DELAY_S)

    context.run(go_on())

import asyncio
import json

import msgspec
from behave import given, then, when

from berylcleat.host._cell_directory import CellDirectory
from berylcleat.host._clock import now_s
from berylcleat.host._identity import HostIdentity
from berylcleat.host._operator_relay import OperatorRelay, choose_address
from berylcleat.host._operator_state import NO_EVACUATIONS, OperatorState
from berylcleat.host._peer_api import PeerApi
from berylcleat.host._peers import OperatorReply, PeerClient
from berylcleat.host._records import HostRow
from berylcleat.http import HttpResponse, HttpServer
from berylcleat.platform import CONFIG_KEY, OPERATOR_TABLE
from berylcleat.ports import StoreRow
from berylcleat.scheduling import EvacuationRules
from berylcleat.standins import find_free_ports

RULES = EvacuationRules(5.0, 6.0)


def config_value(version):
    return json.dumps({"version": version, "routes": [], "services": []}).encode()


class RelayHost:
    """Operator state of a host, its peer address and its stub of a follower."""

    def __init__(self, name, rules=RULES):
        self.state = OperatorState(rules)
        self.address = f"127.0.0.1:{find_free_ports(1)[0]}"
        self.identity = HostIdentity(name, "dc-1", "aa", self.address)
        self.failing_since = None
        self.confirmed_at = now_s()
        self.replies = []
        self.n_asked = 0

    def apply_config(self, version):
        value = config_value(version)
        row = StoreRow(OPERATOR_TABLE, "", CONFIG_KEY, value, version)
        self.state.on_config(row)

    async def handle(self, request):
        self.n_asked += 1
        api = PeerApi(self.identity, None, None, self.state)
        response = await api.handle(request)
        if response.status == 200:
            self.replies.append(json.loads(response.body))
        return response


def add_host(context, name, version=0, rules=RULES):
    if "hosts" not in context:
        context.hosts = {}
    host = context.hosts[name] = RelayHost(name, rules)
    if version:
        host.apply_config(version)
    return host


@given(
    'a host "{name}" that knows configuration {version:d} and that "{dc}" is evacuated'
)
def step_knowing_host(context, name, version, dc):
    host = add_host(context, name, version)
    host.state.on_requests(frozenset({dc}), 10, now_s())


@given('a host "{name}" that has not read the store')
def step_unread_host(context, name):
    add_host(context, name, 3)


@given('a host "{name}" of a deployment without evacuations')
def step_inactive_host(context, name):
    host = add_host(context, name, 3, NO_EVACUATIONS)
    host.state.on_requests(frozenset(), 10, now_s())


@given(
    'a host "{name}" that the store refuses and that knows configuration {version:d}'
)
def step_refused_host(context, name, version):
    host = add_host(context, name, version)
    host.failing_since = now_s() - 1.5


@given('a host "{name}" that reads the store and that knows configuration {version:d}')
def step_reading_host(context, name, version):
    add_host(context, name, version)


@given('the newest read of host "{name}" was sent {seconds:f} s ago')
def step_old_read(context, name, seconds):
    context.hosts[name].state.confirmed_at = now_s() - seconds


@given('host "{name}" has read later that nothing is evacuated')
def step_read_later(context, name):
    context.hosts[name].state.on_requests(frozenset(), 11, now_s())


@when(
    'a read that host "{name}" sent earlier tells at a higher version that "{dc}" is '
    "evacuated"
)
def step_late_read(context, name, dc):
    context.hosts[name].state.on_requests(frozenset({dc}), 12, now_s() - 1.5)


def add_peer(context, status, body):
    async def handle(request):
        context.peer.n_asked += 1
        return HttpResponse(status, (), body)

    context.peer = add_host(context, "peer")
    context.peer.handle = handle


@given('a peer of host "{name}" that answers with a configuration that is {fault}')
def step_bad_config_peer(context, name, fault):
    value = b"{" if fault == "broken" else config_value(4)
    reply = OperatorReply(0.0, 12, ("dc-2",), value)
    add_peer(context, 200, msgspec.json.encode(reply))


@given('a peer of host "{name}" that answers {status:d} with {answer}')
def step_malformed_peer(context, name, status, answer):
    add_peer(context, status, answer.encode())


@when('host "{name}" polls the others for {seconds:d} s')
def step_poll(context, name, seconds):
    host = context.hosts[name]
    others = {n: other for n, other in context.hosts.items() if n != name}
    rows = {n: HostRow("aa", other.address, 1.0) for n, other in others.items()}

    async def run():
        servers = [HttpServer(o.address, o.handle) for o in others.values()]
        for server in servers:
            await server.start()
        relay = OperatorRelay(
            host.identity,
            host.state,
            host,
            lambda: rows,
            CellDirectory("dc-1"),
            PeerClient(),
        )
        task = asyncio.create_task(relay.run())
        await asyncio.sleep(seconds)
        assert not task.done(), task
        task.cancel()
        for server in servers:
            await server.stop(0.1)

    context.run(run())


@then('host "{name}" knows that "{dc}" is evacuated')
def step_knows(context, name, dc):
    assert context.hosts[name].state.evacuated == {dc}


@then('host "{name}" knows of no evacuation')
def step_knows_none(context, name):
    assert not context.hosts[name].state.evacuated


@then('host "{name}" has configuration {version:d}')
def step_config(context, name, version):
    assert context.hosts[name].state.config_version == version


@then('the confirmation of host "{name}" is not newer than that of host "{other}"')
def step_not_newer(context, name, other):
    confirmed_at = context.hosts[name].state.confirmed_at
    assert float("-inf") < confirmed_at <= context.hosts[other].state.confirmed_at


@then('the confirmation of host "{name}" is at least {seconds:f} s old')
def step_at_least(context, name, seconds):
    assert now_s() - context.hosts[name].state.confirmed_at >= seconds


@then('the confirmation of host "{name}" is at most {seconds:f} s old')
def step_at_most(context, name, seconds):
    assert now_s() - context.hosts[name].state.confirmed_at <= seconds


@then('host "{name}" has confirmed nothing')
def step_unconfirmed(context, name):
    assert context.hosts[name].state.confirmed_at == float("-inf")


@then('host "{name}" was asked {n:d} times')
def step_asked(context, name, n):
    assert context.hosts[name].n_asked == n


@then("the peer was asked at least {n:d} times")
def step_peer_asked(context, n):
    assert context.peer.n_asked >= n


@then('the answers of host "{name}" held no configuration')
def step_no_config(context, name):
    replies = context.hosts[name].replies
    assert replies and not any("config" in reply for reply in replies), replies


@then(
    "with {n_local:d} hosts here and {n_remote:d} elsewhere they are asked in order "
    '"{order}"'
)
def step_order(context, n_local, n_remote, order):
    local = [f"l{n}" for n in range(n_local)]
    remote = [f"r{n}" for n in range(n_remote)]
    chosen = [choose_address(n, local, remote) for n in range(len(order.split()))]
    assert chosen == order.split(), chosen

import asyncio
import json
import time
from types import SimpleNamespace

from behave import given, then, when

from berylcleat.host._cell_chooser import CellChooser
from berylcleat.host._cell_directory import CellDirectory
from berylcleat.host._client_api import ClientApi
from berylcleat.host._client_responses import make_response
from berylcleat.host._clock import now_s
from berylcleat.host._identity import HostIdentity
from berylcleat.host._monitored_store import MonitoredStore
from berylcleat.host._operator_state import NO_EVACUATIONS, OperatorState
from berylcleat.host._peer_api import PeerApi
from berylcleat.host._peers import RELAY_PATH, PeerClient
from berylcleat.host._records import (
    CELL_TABLE,
    LOAD_PREFIX,
    OWNER_KEY,
    SUBMISSION_TABLE,
    CellSummary,
    HostRow,
    LoadRow,
    OwnerRow,
    encode,
    submission_part,
)
from berylcleat.host._relay_peers import RelayPeers
from berylcleat.host._relayed_requests import RelayedRequests
from berylcleat.host._relaying_api import RelayingApi
from berylcleat.host._request_relay import RelayOutcome, RequestRelay, merge_responses
from berylcleat.host._store_reachability import StoreReachability
from berylcleat.host._submission_directory import SubmissionDirectory
from berylcleat.host._submission_store import SubmissionStore
from berylcleat.http import HttpRequest, HttpServer
from berylcleat.model import OutcomeUnknownError, PlatformUnavailableError
from berylcleat.platform import CONFIG_KEY, OPERATOR_TABLE
from berylcleat.ports import StoreRow
from berylcleat.scheduling import InterferenceModel
from berylcleat.standins import (
    HOST_NAME,
    MemoryStore,
    find_free_ports,
    make_operator_config,
    make_submission_body,
)

DATA_CENTRE = "dc-1"
CELL = "r1"
CALL_TIMEOUT_S = 1.5
SLOW_READ_S = 0.2
KNOWN = "known to be unreachable"


class HostView:
    """One host's view of the shared store, with a fault of its own."""

    def __init__(self, memory, mode):
        self.memory = memory
        self.mode = mode

    async def _call(self, method, *arguments):
        if self.mode == "refusing":
            raise PlatformUnavailableError("store: refused", "Try again")
        if self.mode in ("silent", KNOWN):
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise OutcomeUnknownError("store: no answer", "Try again")
        if self.mode == "slow" and method == "read":
            await asyncio.sleep(SLOW_READ_S)
        result = await getattr(self.memory, method)(*arguments)
        if self.mode == "losing answers":
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise OutcomeUnknownError("store: answer lost", "Try again")
        return result

    async def commit(self, commit):
        return await self._call("commit", commit)

    async def read(self, *arguments):
        return await self._call("read", *arguments)


class RelayTestHost:
    """Client and peer API of a host that knows one cell."""

    def __init__(self, name, memory, mode):
        self.address = f"127.0.0.1:{find_free_ports(1)[0]}"
        self.identity = HostIdentity(name, DATA_CENTRE, "aa", self.address)
        self.is_silent = mode == "silent peer"
        self.silence_end = asyncio.Event()
        self.n_asked = 0
        self.rows = {}
        self.reachability = StoreReachability()
        store = MonitoredStore(HostView(memory, mode), self.reachability)
        if mode == KNOWN:
            self.note_silence()
        cells = self.cells = make_cells()
        operator = OperatorState(NO_EVACUATIONS)
        ownership = SimpleNamespace(controller_by_cell={}, summaries=dict)
        chooser = CellChooser(
            DATA_CENTRE, cells, ownership, InterferenceModel(), operator
        )
        peers = PeerClient()
        directory = SubmissionDirectory()
        self.api = ClientApi(
            store,
            SubmissionStore(store),
            directory,
            cells,
            ownership,
            chooser,
            peers,
        )
        operator.config_listeners.append(
            lambda config: setattr(self.api, "config", config)
        )
        value = json.dumps(make_operator_config()).encode()
        operator.on_config(StoreRow(OPERATOR_TABLE, "", CONFIG_KEY, value, 1))
        self.relay = RequestRelay(self.identity, lambda: self.rows, cells, peers)
        self.front = RelayingApi(self.api, self.reachability, self.relay)
        relayed = RelayedRequests(self.api, self.reachability, lambda: True)
        self.peer_api = PeerApi(self.identity, directory, ownership, operator, relayed)

    def note_silence(self):
        """Let a call to the store have timed out."""
        number = self.reachability.on_call(now_s() - CALL_TIMEOUT_S)
        self.reachability.on_failure(number, now_s())

    async def handle_peer(self, request):
        self.n_asked += request.target == RELAY_PATH
        if self.is_silent:
            await self.silence_end.wait()
        return await self.peer_api.handle(request)


def make_cells():
    cells = CellDirectory(DATA_CENTRE)
    owner = encode(OwnerRow(1, "host-9", "aa", 0.0, DATA_CENTRE, ""))
    cells.on_owner_rows((StoreRow(CELL_TABLE, CELL, OWNER_KEY, owner, 1),))
    summary = CellSummary(
        "svc", DATA_CENTRE, 16_000, 16_000, 0, (), 0, {}, 0, (16_000,), None
    )
    value = encode(LoadRow(1, summary))
    cells.on_data_centre_rows(
        (StoreRow("t", DATA_CENTRE, LOAD_PREFIX + CELL, value, 2),)
    )
    return cells


def add_peer(context, name, mode):
    if "peers" not in context:
        context.memory = MemoryStore()
        context.peers = {}
    context.peers[name] = RelayTestHost(name, context.memory, mode)


@given('a peer "{name}" that reaches the store')
def step_peer(context, name):
    add_peer(context, name, "answering")


@given('a peer "{name}" that is silent')
def step_silent_peer(context, name):
    add_peer(context, name, "silent peer")


@given('a peer "{name}" that takes 0.2 s for each read')
def step_slow_peer(context, name):
    add_peer(context, name, "slow")


@given("{n:d} peers to which the store is known to be unreachable")
def step_cut_off_peers(context, n):
    for number in range(n):
        add_peer(context, f"cut-off-{number}", KNOWN)


@given('a peer "{name}" to which the store is known to be unreachable')
def step_cut_off_peer(context, name):
    add_peer(context, name, KNOWN)


@given('host "a" to which the store is {mode}')
def step_host(context, mode):
    context.host = RelayTestHost("a", context.memory, mode)
    context.host.rows = {
        name: HostRow("aa", peer.address, 1.0) for name, peer in context.peers.items()
    }
    # Hosts ask their peers in an order by hash; here it is the order of the scenario.
    context.host.relay._choice = OrderedPeers(
        [peer.address for peer in context.peers.values()]
    )


class OrderedPeers(RelayPeers):
    """Choice among peers in a given order."""

    def __init__(self, order):
        super().__init__()
        self._order = order

    def choose(self, addresses, now):
        return super().choose(sorted(addresses, key=self._order.index), now)


@given('host "a" knows that it doesn\'t reach the store')
def step_known(context):
    context.host.note_silence()


@given('a submission that peer "{name}" has stored')
def step_stored(context, name):
    response = context.run(
        context.peers[name].front.handle(make_request("POST", make_id(0)))
    )
    assert response.status == 200, response


def make_id(number):
    return f"{number:016x}"


def make_request(method, submission_id):
    body = json.dumps(make_submission_body()).encode() if method == "POST" else b""
    target = f"/proofs/{submission_id}"
    return HttpRequest(method, target, (("host", HOST_NAME),), body)


async def send(context, requests):
    servers = [HttpServer(p.address, p.handle_peer) for p in context.peers.values()]
    for server in servers:
        await server.start()
    started_at = time.monotonic()
    responses = [await context.host.front.handle(request) for request in requests]
    context.elapsed_s = time.monotonic() - started_at
    for peer in context.peers.values():
        peer.silence_end.set()
    for server in servers:
        await server.stop(0.1)
    context.statuses = [response.status for response in responses]


@when('a submission is sent to host "a"')
def step_submit(context):
    context.run(send(context, [make_request("POST", make_id(0))]))


@when('{n:d} submissions are sent to host "a" in turn')
def step_submit_several(context, n):
    requests = [make_request("POST", make_id(number)) for number in range(n)]
    context.run(send(context, requests))


@when('a {method} of the submission is sent to host "a"')
def step_other_request(context, method):
    context.run(send(context, [make_request(method, make_id(0))]))


@when(
    'peer "{second}", without a cell, gets the {method} while peer "{first}" is asked '
    "to store"
)
def step_during_submission(context, second, method, first):
    context.peers[second].cells.owner_by_cell.clear()
    host, silent_peer = context.host, context.peers[first]

    async def send_both():
        servers = [HttpServer(p.address, p.handle_peer) for p in context.peers.values()]
        for server in servers:
            await server.start()
        submitting = asyncio.create_task(
            host.front.handle(make_request("POST", make_id(0)))
        )
        while not silent_peer.n_asked:
            await asyncio.sleep(0)
        # Another request has found the first peer silent meanwhile.
        host.relay._choice.on_not_served(silent_peer.address, now_s())
        assert not submitting.done(), "the first request has ended before"
        response = await host.front.handle(make_request(method, make_id(0)))
        await submitting
        silent_peer.silence_end.set()
        for server in servers:
            await server.stop(0.1)
        return response.status

    context.statuses = [context.run(send_both())]


@when('peer "{name}", without a cell, gets {n:d} submissions for one id')
def step_refused_twice(context, name, n):
    context.peers[name].cells.owner_by_cell.clear()
    requests = [make_request("POST", make_id(0)) for _ in range(n)]
    context.run(send(context, requests))


@then("the second answer is {status:d}")
def step_second_answer(context, status):
    assert context.statuses == [status], context.statuses


@then("the answer is {status:d} within {seconds:f} s")
def step_answer(context, status, seconds):
    assert context.statuses == [status], context.statuses
    assert context.elapsed_s < seconds, context.elapsed_s


@then("every answer is {status:d}")
def step_answers(context, status):
    assert set(context.statuses) == {status}, context.statuses


@then("the submission is stored {n:d} time")
def step_stored_once(context, n):
    part = submission_part(make_id(0))
    assert len(context.memory.rows_by_key(SUBMISSION_TABLE, part)) == n


@then('peer "{name}" was asked {n:d} times')
def step_asked(context, name, n):
    assert context.peers[name].n_asked == n, context.peers[name].n_asked


@then('peer "{name}" was asked at most {n:d} time')
def step_asked_at_most(context, name, n):
    assert context.peers[name].n_asked <= n, context.peers[name].n_asked


@then('peer "{name}" passed on {n:d} requests')
def step_passed_on(context, name, n):
    asked = [p.n_asked for other, p in context.peers.items() if other != name]
    # Host "a" asks the other peer once itself.
    assert sum(asked) - 1 == n, asked


OUTCOMES = {
    "none": RelayOutcome(),
    "200": RelayOutcome(make_response(200)),
    "410": RelayOutcome(make_response(410)),
    "503": RelayOutcome(make_response(503)),
    "unknown": RelayOutcome(is_unknown=True),
    "503 after unknown": RelayOutcome(make_response(503), is_unknown=True),
}


@then("own answer {own:d} and a peer's answer {peer} give {answer:d}")
def step_merged(context, own, peer, answer):
    response = merge_responses(make_response(own), OUTCOMES[peer])
    assert response.status == answer, response


@given('the peers "{names}"')
def step_peers(context, names):
    context.choice = RelayPeers()
    context.names = names.split()


@when('peer "{name}" has not served at {now:f}')
def step_not_served(context, name, now):
    context.choice.on_not_served(name, now)


@when('peer "{name}" has served')
def step_served(context, name):
    context.choice.on_served(name)


@then('peer "{name}" is chosen at {now:f}')
def step_chosen(context, name, now):
    assert context.choice.choose(context.names, now) == name


@then("no peer is chosen at {now:f}")
def step_none_chosen(context, now):
    assert context.choice.choose(context.names, now) is None

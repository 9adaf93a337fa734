import zlib

from behave import then, when

from berylcleat.host._cell_directory import CellDirectory
from berylcleat.host._identity import HostIdentity
from berylcleat.host._membership import Coverage, Membership
from berylcleat.host._operator_state import OperatorState
from berylcleat.host._pair_exchange import PairExchange
from berylcleat.host._peer_api import PeerApi
from berylcleat.host._peers import MovedTaskEnds, PeerClient, StateReply
from berylcleat.host._records import (
    AcceptedRow,
    CellSummary,
    HomeRow,
    HostRow,
    LiveOwnersRow,
    LoadRow,
    MoveRow,
    MovesRow,
    OwnerRow,
    PairRow,
    PairsRow,
    encode,
)
from berylcleat.host._submission_directory import SubmissionDirectory
from berylcleat.host._submission_store import SubmissionStore
from berylcleat.http import HttpRequest, HttpResponse, HttpServer
from berylcleat.model import (
    QueuePolicy,
    Step,
    Submission,
    SubmissionState,
    TaskDemand,
    TaskKey,
)
from berylcleat.ports import StoreRow
from berylcleat.scheduling import InterferenceModel, TaskMove
from berylcleat.standins import find_free_ports

DEEP = "[" * 100_000 + "]" * 100_000
ID = "0123456789abcdef"
STEP = Step(1, TaskDemand(1000, 1000))
ACCEPTED = AcceptedRow("r1", 0, Submission(ID, QueuePolicy("q", "s"), "", (STEP,)))
MOVES = MovesRow((MoveRow(TaskKey(ID, 0, 0, 0), TaskMove("r2", 1)),))
SUMMARY = CellSummary("s", "dc-2", 8, 8, 0, (), 0, {})
PAIRS = PairsRow("cc", (PairRow("a", "b", 2.0),))
COVERAGE = Coverage(float("-inf"), 0.0)


def nest(valid):
    """Return the bytes of ``valid`` with a further field that is nested too deeply."""
    return (
        valid[:-1]
        + b", "
        + (b'"x": ' if valid[:1] == b"{" else b"")
        + (DEEP.encode() + valid[-1:])
    )


class Reader:
    """Reader of the rows of one source; ``keys`` are table, part and key."""

    def __init__(self, keys, valid, apply, is_applied):
        self.keys = keys
        self.valid = valid
        self.apply = apply
        self.is_applied = is_applied


def make_pairs_reader(keys, valid, name):
    interference = InterferenceModel()
    identity = HostIdentity("host-1", "dc-1", "bb", "127.0.0.1:9")
    exchange = PairExchange(identity, interference, lambda: 0, lambda: 1)
    before = repr(vars(interference))

    def is_applied():
        return repr(vars(interference)) != before

    return Reader(keys, valid, getattr(exchange, name), is_applied)


def make_reader(source):
    operator = OperatorState()
    cells = CellDirectory("dc-1")
    membership = Membership()
    directory = SubmissionDirectory()
    homes = SubmissionStore(None)
    if source == "a configuration":
        return Reader(
            ("op", "", "config"),
            b'{"version": 3}',
            lambda rows: operator.on_config(rows[0]),
            lambda: operator.config_version == 3,
        )
    if source == "a wave":
        return Reader(
            ("op", "", "wave/1"),
            b'{"wave": 1, "machines": ["m"], "completeByS": 9, "maxCount": 1}',
            operator.on_waves,
            lambda: set(operator.wave_by_id) == {1},
        )
    if source == "an owner row":
        return Reader(
            ("cells", "r1", "owner"),
            encode(OwnerRow(2, "host-2", "aa")),
            cells.on_owner_rows,
            lambda: cells.epoch_of("r1") == 2,
        )
    if source == "a heartbeat":
        return Reader(
            ("centre-dc-1", "dc-1", "host/host-2"),
            encode(HostRow("aa", "127.0.0.1:9", 1.0)),
            membership.on_host_rows,
            lambda: set(membership.heartbeat_by_host) == {"host-2"},
        )
    if source == "a load":
        return Reader(
            ("centre-dc-1", "dc-1", "load/r1"),
            encode(LoadRow(1, SUMMARY)),
            cells.on_data_centre_rows,
            lambda: set(cells.last_summaries()) == {"r1"},
        )
    if source == "live owners":
        cells.on_digest_rows((StoreRow("digests", "dc-2", "heartbeat/h", b"", 1),))
        return Reader(
            ("digests", "dc-2", "owners/h"),
            encode(LiveOwnersRow({"host-2": "aa"})),
            cells.on_digest_rows,
            lambda: cells.remote_liveness.is_live("dc-2", "host-2", "aa", COVERAGE),
        )
    if source == "pairs":
        keys = ("centre-dc-1", "dc-1", "pairs/host-2")
        return make_pairs_reader(keys, encode(PAIRS), "on_data_centre_rows")
    if source == "a sum of pairs":
        keys = ("digests", "dc-2", "pairs/")
        return make_pairs_reader(keys, encode(PAIRS), "on_digest_rows")
    if source == "a submission":
        return Reader(
            ("cell-submissions-01", "0", ID),
            encode(ACCEPTED),
            directory.on_rows,
            lambda: directory.by_id[ID].accepted == ACCEPTED,
        )
    if source == "moves":
        return Reader(
            ("cell-submissions-01", "0", ID + ".moves"),
            encode(MOVES),
            directory.on_rows,
            lambda: len(directory.by_id[ID].move_by_task) == 1,
        )
    assert source == "a home", source
    return Reader(
        ("submissions", "0", ID),
        encode(HomeRow("r1")),
        homes._decode_homes,
        lambda: homes.cached_home(ID) == "r1",
    )


@when("a host reads {source} that is {fault}, and then a valid one")
def step_read(context, source, fault):
    if source.startswith("a peer's"):
        context.is_applied = context.run(read_peer(source, fault))
        return
    reader = make_reader(source)
    valid = reader.valid
    odd_by_fault = {"nested too deeply": nest(valid), "not text": b"\xff", "empty": b""}
    odd = odd_by_fault[fault]
    if source == "a sum of pairs":
        valid = zlib.compress(valid)
        odd = odd if fault == "not text" else zlib.compress(odd)
    reader.apply((StoreRow(*reader.keys, odd, 1),))
    assert not is_applied(reader)
    reader.apply((StoreRow(*reader.keys, valid, 2),))
    context.is_applied = is_applied(reader)


def is_applied(reader):
    try:
        return reader.is_applied()
    except KeyError:
        return False


async def read_peer(source, fault):
    """Return whether an odd message or reply alone counts as none."""
    valid = encode(StateReply("running"))
    odd = encode(StateReply("odd")) if fault == "of no known state" else nest(valid)
    if source == "a peer's message":
        ends = encode(MovedTaskEnds(ID, ()))
        api = PeerApi(None, SubmissionDirectory(), FakeOwnership(), None)
        responses = [
            await api.handle(HttpRequest("POST", "/ends", (), body))
            for body in (nest(ends), ends)
        ]
        return [response.status for response in responses] == [400, 409]
    bodies = [valid] if source == "a peer's address" else [odd, valid]
    address = f"127.0.0.1:{find_free_ports(1)[0]}"

    async def handle(request):
        return HttpResponse(200, (), bodies.pop(0))

    server = HttpServer(address, handle)
    await server.start()
    try:
        odd_address = "127.0.0.1:99999" if fault == "out of range" else address
        states = [
            await PeerClient().fetch_state(peer, ID) for peer in (odd_address, address)
        ]
    finally:
        await server.stop(0.1)
    return states == [None, SubmissionState.RUNNING]


class FakeOwnership:
    """Ownership of no cell."""

    controller_by_cell = {}


@then("it has applied the valid one")
def step_applied(context):
    assert context.is_applied

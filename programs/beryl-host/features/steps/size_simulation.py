"""Hosts that write and read rows of one store in simulated seconds; no network."""

import asyncio
import random
import time
from bisect import bisect_right
from collections import defaultdict
from contextlib import contextmanager
from dataclasses import dataclass, field
from functools import cache

from berylcleat.host._cell_directory import CellDirectory
from berylcleat.host._cell_loads import CellLoads
from berylcleat.host._follower import TableFollower
from berylcleat.host._identity import HostIdentity
from berylcleat.host._live_owners import LiveOwners
from berylcleat.host._membership import Coverage, Membership
from berylcleat.host._pair_exchange import PairExchange
from berylcleat.host._publisher import HostPublisher
from berylcleat.host._records import (
    CELL_TABLE,
    DIGEST_TABLE,
    OWNER_KEY,
    AcceptedRow,
    CellSummary,
    OwnerRow,
    cell_submission_table,
    data_centre_table,
    encode,
)
from berylcleat.host._submission_directory import SubmissionDirectory
from berylcleat.host._submission_store import SubmissionStore
from berylcleat.model import QueuePolicy, Step, Submission, TaskDemand
from berylcleat.ports import Commit, CommitOutcome, RowPage, RowWrite, StoreRow
from berylcleat.scheduling import FillerHeadroom, InterferenceModel

N_DATA_CENTRES = 5
HOSTS_PER_CELL = 4
START_S = 1000.0
# The first rows of every table are read before anything is counted.
N_WARM_UP_SECONDS = 3
N_SECONDS = 10
ACCEPTED_PER_HOST_AND_SECOND = 1 / 7
SPEC = "s" * 1500
N_IMAGES = 14
# Bytes of a row's names and punctuation, and of a call's head and answer, on the wire.
ROW_OVERHEAD_BYTES = 60
CALL_BYTES = 300


@dataclass(slots=True)
class Traffic:
    """Calls and bytes of one host, and the bytes that it read by table."""

    n_calls: int = 0
    n_bytes: int = 0
    read_by_table: dict[str, int] = field(default_factory=lambda: defaultdict(int))

    def add_call(self, rows):
        """Count one call that carries ``rows``."""
        self.n_calls += 1
        self.n_bytes += CALL_BYTES + sum(map(row_bytes, rows))

    def add_read(self, rows):
        """Count one call that is answered with ``rows``."""
        self.add_call(rows)
        for row in rows:
            self.read_by_table[row.table] += row_bytes(row)


def row_bytes(row):
    """Return the bytes of a row on the wire; its value is sent as base64."""
    names = len(row.table) + len(row.part) + len(row.key)
    return ROW_OVERHEAD_BYTES + names + len(row.value) * 4 // 3


class SharedRows:
    """Rows of the store with their history by table."""

    def __init__(self):
        self.version = 0
        self.row_by_key = {}
        self.versions_by_table = defaultdict(list)
        self.history_by_table = defaultdict(list)

    def apply(self, commit):
        """Apply a transaction if its conditions hold; return its outcome."""
        for c in commit.conditions:
            row = self.row_by_key.get((c.table, c.part, c.key))
            if (row.version if row else 0) != c.version:
                return CommitOutcome(False, self.version, (row,) if row else ())
        self.version += 1
        for w in commit.writes:
            row = StoreRow(w.table, w.part, w.key, w.value, self.version)
            self.row_by_key[(w.table, w.part, w.key)] = row
            self.versions_by_table[w.table].append(self.version)
            self.history_by_table[w.table].append(row)
        return CommitOutcome(True, self.version)

    def changes(self, table, after):
        """Return the changes of a table after a version."""
        first = bisect_right(self.versions_by_table[table], after)
        return tuple(self.history_by_table[table][first:])


class CountedStore:
    """Store as one host sees it; counts what the host moves."""

    def __init__(self, rows):
        self._rows = rows
        self.traffic = Traffic()

    async def commit(self, commit):
        outcome = self._rows.apply(commit)
        self.traffic.add_call(commit.writes)
        return outcome

    async def follow(self, table, after, wait_s):
        rows = self._rows.changes(table, after)
        self.traffic.add_read(rows)
        return RowPage(rows, self._rows.version)


@dataclass(slots=True)
class OwnedCell:
    """Stands in for a cell's controller: only its published load counts here."""

    owner: OwnerRow
    random_state: random.Random

    def summary(self):
        """Return a load that differs from second to second."""
        rooms = tuple(
            FillerHeadroom((f"im{n:04d}", f"im{n + 1:04d}"), self._millis())
            for n in range(8)
        )
        pending = {"proof-render": 1, "season-batch": 2}
        millis = [self._millis() for _ in range(4)]
        return CellSummary("cardhouse", "dc", *millis[:3], rooms, millis[3], pending)

    def _millis(self):
        return self.random_state.randrange(400_000)


class SimulatedHost:
    """Publishers and followers of one host."""

    def __init__(self, rows, number, random_state):
        self.store = CountedStore(rows)
        data_centre = f"lakeshore-{number % N_DATA_CENTRES}"
        self.identity = HostIdentity(
            f"edge-{number}", data_centre, f"{number:08x}", "a:1"
        )
        self.random_state = random_state
        self.controller_by_cell = {}
        self.interference = InterferenceModel()
        self.submissions = SubmissionStore(self.store)
        self._membership, self._cells = Membership(), CellDirectory(data_centre)
        live_owners = LiveOwners(
            self.identity, self._membership, self._cells, lambda: Coverage(0.0, 0.0)
        )
        self._pairs = PairExchange(
            self.identity,
            self.interference,
            live_owners.rank,
            lambda: len(self._cells.owner_by_cell),
        )
        loads = CellLoads(data_centre, self._cells, self)
        sources = (loads, live_owners, self._pairs)
        self.publisher = HostPublisher(self.store, self.identity, 1.0, sources)
        self.followers = [
            self._follow(data_centre_table(data_centre), self._on_data_centre_rows),
            self._follow(DIGEST_TABLE, self._on_digest_rows),
            self._follow(CELL_TABLE, self._cells.on_owner_rows),
        ]

    def _follow(self, table, on_rows):
        return TableFollower(self.store, table, on_rows, wait_s=0, min_period_s=1)

    def _on_data_centre_rows(self, rows):
        self._membership.on_host_rows(rows)
        self._cells.on_data_centre_rows(rows)
        self._pairs.on_data_centre_rows(rows)

    def _on_digest_rows(self, rows):
        self._cells.on_digest_rows(rows)
        self._pairs.on_digest_rows(rows)

    async def own(self, cell_id):
        """Own a cell and follow its submissions."""
        identity = self.identity
        row = OwnerRow(
            1, identity.host_id, identity.incarnation, 0.0, identity.data_centre, "a:1"
        )
        write = RowWrite(CELL_TABLE, cell_id, OWNER_KEY, encode(row))
        await self.store.commit(Commit((), (write,)))
        self.controller_by_cell[cell_id] = OwnedCell(row, self.random_state)
        directory = SubmissionDirectory()
        table = cell_submission_table(cell_id)
        self.followers.append(self._follow(table, directory.on_rows))

    async def live_second(self, n_cells):
        """Publish, accept and read what a host does in one second."""
        if self.controller_by_cell:
            self._learn()
        await self.publisher.publish()
        if self.random_state.random() < ACCEPTED_PER_HOST_AND_SECOND:
            await self._accept(f"r{self.random_state.randrange(n_cells)}")
        for follower in self.followers:
            await follower.refresh(follower.version + 1)

    def _learn(self):
        for _ in range(10):
            filler, serving = (self.random_state.randrange(N_IMAGES) for _ in "ab")
            pair = (f"im{filler:04d}", f"im{serving:04d}")
            learnt = self.interference.learned_log_odds()
            learnt[pair] = max(-4.0, learnt.get(pair, 0.0) - 1.0)

    async def _accept(self, cell_id):
        submission_id = f"{self.random_state.getrandbits(64):016x}"
        steps = (Step(9, TaskDemand(6400, 100)), Step(9, TaskDemand(6400, 100)))
        policy = QueuePolicy("q", "cardhouse")
        submission = Submission(submission_id, policy, SPEC, steps)
        await self.submissions.accept(AcceptedRow(cell_id, 0, submission))


@dataclass(slots=True)
class SimulatedClock:
    """Clock of all hosts, in seconds."""

    now: float = START_S


@contextmanager
def simulated_clock():
    """Replace the clock that the hosts read."""
    clock = SimulatedClock()
    read_clock = time.clock_gettime
    time.clock_gettime = lambda clock_id: clock.now
    try:
        yield clock
    finally:
        time.clock_gettime = read_clock


@cache
def simulate(n_hosts):
    """Return the hosts after the simulated seconds."""
    return asyncio.run(_simulate(n_hosts))


async def _simulate(n_hosts):
    rows = SharedRows()
    random_state = random.Random(17)
    hosts = [SimulatedHost(rows, n, random_state) for n in range(n_hosts)]
    n_cells = n_hosts // HOSTS_PER_CELL
    for number in range(n_cells):
        await hosts[number * HOSTS_PER_CELL].own(f"r{number}")
    with simulated_clock() as clock:
        for _ in range(N_WARM_UP_SECONDS + N_SECONDS):
            if clock.now == START_S + N_WARM_UP_SECONDS:
                for host in hosts:
                    host.store.traffic = Traffic()
            clock.now += 1.0
            for host in hosts:
                await host.live_second(n_cells)
    return hosts

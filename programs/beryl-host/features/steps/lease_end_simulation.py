"""An owner, the store and the next owner, which can't ask it, in simulated time.

Calls are slow, lost, answered late or carried out late, the owner freezes, and clocks
run up to 2% apart. The owner's limit and the next owner's wait are computed by the code
of the hosts.
"""

import random
from dataclasses import dataclass

from berylcleat.host._clock import now_s
from berylcleat.host._earlier_owners import read_latest_lease_end
from berylcleat.host._heartbeat_times import HeartbeatTimes
from berylcleat.host._records import (
    HOST_PREFIX,
    EarlierOwner,
    HostRow,
    data_centre_table,
    encode,
)
from berylcleat.host._version_times import VersionTimes
from berylcleat.ports import RowPage, StoreRow
from berylcleat.scheduling import CLOCK_DRIFT, LeaseTimes

LENGTH_S = 40.0
HEARTBEAT_PERIOD_S = 1.0
READ_PERIOD_S = 0.25
MAX_FREEZE_S = 12.0
MAX_LATE_S = 12.0
MAX_OUTAGE_S = 15.0
TIMES = LeaseTimes()


@dataclass(frozen=True, slots=True)
class Call:
    """One call to the store: when it was sent, carried out and answered."""

    sent_at: float
    carried_out_at: float
    answered_at: float


class StoredHeartbeat:
    """Store that holds one heartbeat row."""

    def __init__(self, owner: EarlierOwner, version: int):
        self._owner = owner
        self._version = version

    async def read(self, table, part, first="", end=""):
        """Return the row of the owner's heartbeat."""
        owner = self._owner
        assert (table, part) == (data_centre_table("dc"), "dc")
        value = encode(HostRow(owner.incarnation, "", 1.0))
        key = HOST_PREFIX + owner.host_id
        row = StoreRow(table, part, key, value, self._version)
        return RowPage((row,) if self._version else (), self._version)


class LeaseEndSimulation:
    """One takeover; ``overlap_s`` tells how long leases outlast the next one's wait.

    ``counts_from_heartbeats`` is false for an owner whose limit counts from its last
    confirmation.
    """

    def __init__(self, random_state: int, *, counts_from_heartbeats: bool = True):
        self._rng = random.Random(random_state)
        self._counts_from_heartbeats = counts_from_heartbeats
        # All times lie in the past, so that a version without a time counts as new.
        self._began_at = now_s() - 10 * LENGTH_S
        self._taken_over_at = self._began_at + self._rng.uniform(3.0, LENGTH_S / 2)
        self._freezes = [self._interval(MAX_FREEZE_S) for _ in range(2)]
        self._commit_outage = self._interval(MAX_OUTAGE_S)
        self._read_outage = self._interval(MAX_OUTAGE_S)
        # The owner's clock runs as fast as the next owner's, or slower.
        self._pace = 1 - self._rng.choice((0.0, CLOCK_DRIFT)) * self._rng.random()

    def _interval(self, max_s: float) -> tuple[float, float]:
        begin = self._began_at + self._rng.uniform(0.0, LENGTH_S / 2)
        return begin, begin + self._rng.uniform(0.0, max_s)

    def _after_freeze(self, at: float) -> float:
        """Return when the owner does what is due at ``at``."""
        for begin, end in sorted(self._freezes):
            if begin <= at < end:
                at = end
        return at

    def _call(self, sent_at: float, outage: tuple[float, float]) -> Call:
        """Return a call of the owner; infinity for what never happens."""
        rng = self._rng
        carried_out_at = sent_at + rng.expovariate(50.0)
        answered_at = carried_out_at + rng.expovariate(50.0)
        kind = rng.random()
        if outage[0] <= sent_at < outage[1]:
            carried_out_at = answered_at = float("inf")
            if kind < 0.2:
                carried_out_at = sent_at + rng.uniform(0.0, MAX_LATE_S)
        elif kind < 0.1:
            answered_at += rng.uniform(0.0, 3.0)
        elif kind < 0.2:
            answered_at = float("inf")
        return Call(sent_at, carried_out_at, self._after_freeze(answered_at))

    def _calls(self, period_s: float, outage: tuple[float, float]) -> list[Call]:
        """Return the owner's calls, one after the other's end."""
        calls, at = [], self._began_at
        while at < self._began_at + LENGTH_S:
            call = self._call(self._after_freeze(at), outage)
            calls.append(call)
            is_answered = call.answered_at < float("inf")
            at = max(call.sent_at + period_s, call.answered_at if is_answered else 0.0)
        return calls

    def _local(self, at: float) -> float:
        """Return the time of the owner's clock."""
        return self._began_at + (at - self._began_at) * self._pace

    def _from_local(self, at: float) -> float:
        return self._began_at + (at - self._began_at) / self._pace

    def last_lease_end(self, heartbeats: list[Call], reads: list[Call]) -> float:
        """Return when the last lease of the owner ends.

        Each answer of a read that was carried out before the takeover confirms it.
        """
        times = HeartbeatTimes()
        confirming = [r for r in reads if r.carried_out_at < self._taken_over_at]
        answers = [(h.answered_at, "heartbeat", h) for h in heartbeats]
        answers += [(r.answered_at, "read", r) for r in confirming]
        confirmed_at = limit_at = float("-inf")
        for answered_at, kind, call in sorted(answers, key=lambda item: item[:2]):
            if answered_at == float("inf"):
                break
            if kind == "heartbeat":
                times.add(self._local(call.sent_at), self._local(answered_at))
            else:
                confirmed_at = max(confirmed_at, self._local(call.sent_at))
            counted_from = confirmed_at
            if self._counts_from_heartbeats:
                counted_from = times.last_before(confirmed_at)
            limit_at = max(limit_at, counted_from + TIMES.owner_limit_s)
        if limit_at == float("-inf"):
            return limit_at
        # The last lease may have been granted 5 s before, by a slow clock.
        end = self._from_local(limit_at)
        return end + TIMES.worker_lease_s * CLOCK_DRIFT

    async def next_owner_starts_at(self, heartbeats: list[Call]) -> float:
        """Return when the next owner counts the leases as ended."""
        rng = self._rng
        acquired_at = self._taken_over_at + rng.expovariate(20.0)
        read_at = acquired_at + rng.expovariate(5.0)
        owner = EarlierOwner(1, "host-1", "aa", "", 1, "dc", TIMES.owner_limit_s)
        carried_out = sorted(h.carried_out_at for h in heartbeats)
        n_stored = sum(at < read_at for at in carried_out)
        version_times = VersionTimes()
        at = self._began_at + rng.uniform(0.0, 10.0)
        while at < read_at:
            told_at = at + rng.expovariate(20.0)
            version = sum(stored < at for stored in carried_out)
            version_times.observe(version, min(told_at, read_at))
            at = told_at + rng.uniform(0.0, 2.0)
        store = StoredHeartbeat(owner, n_stored)
        return await read_latest_lease_end(store, (owner,), acquired_at, version_times)

    async def overlap_s(self) -> float:
        """Return for how long leases outlast the wait; negative if they don't."""
        heartbeats = self._calls(HEARTBEAT_PERIOD_S, self._commit_outage)
        reads = self._calls(READ_PERIOD_S, self._read_outage)
        starts_at = await self.next_owner_starts_at(heartbeats)
        return self.last_lease_end(heartbeats, reads) - starts_at

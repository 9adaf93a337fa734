"""Learn what the operator asks for from other hosts while the store can't be read."""

import asyncio
from collections.abc import Callable

from berylcleat.platform import CONFIG_KEY, OPERATOR_TABLE
from berylcleat.ports import StoreRow

from ._cell_directory import CellDirectory
from ._clock import now_s
from ._follower import Follower
from ._identity import HostIdentity
from ._operator_state import OperatorState
from ._peer_addresses import order_peers
from ._peers import OperatorReply, PeerClient
from ._records import HostRow

POLL_PERIOD_S = 1.0
CHECK_PERIOD_S = 0.25
# Other hosts are asked once the follower has failed for this long.
FAILURE_S = 1.0
# They are also asked once the newest answered read was sent this long ago: a long poll
# of 1.8 s that is not answered fails 0.7 s later, and the second above follows.
MAX_READ_AGE_S = 3.5
# Hosts of the own data centre that are asked before the next one of another: all of the
# own data centre may be cut off, and news must come within the allowance of the outage.
LOCAL_POLLS_PER_REMOTE = 2


def make_operator_reply(
    state: OperatorState, config_version: int, now: float
) -> OperatorReply | None:
    """Return what a host tells another one; None if it has no evacuations or no read.

    The configuration is included if it is newer than ``config_version``.
    """
    if not state.has_evacuations or state.confirmed_at == float("-inf"):
        return None
    is_newer = state.config_version > config_version
    return OperatorReply(
        max(0.0, now - state.confirmed_at) * 1000,
        state.version,
        tuple(sorted(state.evacuated)),
        state.config_value if is_newer else b"",
    )


def apply_operator_reply(
    state: OperatorState, reply: OperatorReply, polled_at: float, address: str
) -> None:
    """Apply the answer of the host at ``address`` to a poll sent at ``polled_at``.

    The answer was made after that, so the time of its read is not overstated.
    """
    if reply.config:
        state.on_config(StoreRow(OPERATOR_TABLE, "", CONFIG_KEY, reply.config, 0))
    confirmed_at = polled_at - reply.age_ms / 1000
    source = f"peer {address}"
    state.on_requests(frozenset(reply.evacuated), reply.version, confirmed_at, source)


def choose_address(n_polls: int, local: list[str], remote: list[str]) -> str | None:
    """Return the address to ask after ``n_polls`` polls, None if there is none."""
    if not local or not remote:
        addresses = local or remote
        return addresses[n_polls % len(addresses)] if addresses else None
    n_rounds, place = divmod(n_polls, LOCAL_POLLS_PER_REMOTE + 1)
    if place == LOCAL_POLLS_PER_REMOTE:
        return remote[n_rounds % len(remote)]
    return local[(n_rounds * LOCAL_POLLS_PER_REMOTE + place) % len(local)]


class OperatorRelay:
    """Poller of other hosts, one a second, while this host's follower fails.

    ``live_hosts`` returns the hosts of the data centre that were alive when its table
    was last read.
    """

    def __init__(
        self,
        identity: HostIdentity,
        state: OperatorState,
        follower: Follower,
        live_hosts: Callable[[], dict[str, HostRow]],
        cells: CellDirectory,
        peers: PeerClient,
        clock: Callable[[], float] = now_s,
    ):
        self._identity = identity
        self._state = state
        self._follower = follower
        self._live_hosts = live_hosts
        self._cells = cells
        self._peers = peers
        self._clock = clock
        self._started_at = clock()
        self._n_polls = 0

    async def run(self) -> None:
        """Poll other hosts whenever the follower fails, until cancelled."""
        while True:
            if self.is_needed():
                await self.poll()
                await asyncio.sleep(POLL_PERIOD_S)
            else:
                self._n_polls = 0
                await asyncio.sleep(CHECK_PERIOD_S)

    def is_needed(self) -> bool:
        """Return whether the follower fails, or has no answer, for too long."""
        now = self._clock()
        failing_since = self._follower.failing_since
        if failing_since is not None and now - failing_since >= FAILURE_S:
            return True
        read_at = max(self._follower.confirmed_at, self._started_at)
        return now - read_at >= MAX_READ_AGE_S

    async def poll(self) -> None:
        """Ask the next host and apply its answer."""
        local, remote = order_peers(self._identity, self._live_hosts(), self._cells)
        address = choose_address(self._n_polls, local, remote)
        if address is None:
            return
        self._n_polls += 1
        polled_at = self._clock()
        reply = await self._peers.fetch_operator_state(
            address, self._state.config_version
        )
        if reply is not None:
            apply_operator_reply(self._state, reply, polled_at, address)

"""State exchange with the peers of a data centre, with configuration relay."""

import asyncio
from collections.abc import Callable

import msgspec

from berylcleat.model import ConfigDocument

from ._membership import PeerTable, apply_peer_state, live_peers, remove_expired_peers
from ._messages import PeerState
from ._transport import PeerTransport

# Interval between the state messages of a process.
PEER_PERIOD_S = 1.0
# A peer is live for this long after its last message.
PEER_TIMEOUT_S = 3.5
# A peer is removed from the table this long after its last message.
PEER_EXPIRY_S = 30.0


class PeerGroup:
    """Exchange of states with the peers, and a table of the states received.

    ``make_state`` returns the state to send, ``get_addresses`` the peers' addresses
    and ``get_document`` the configuration to relay. ``on_document`` is called with
    each configuration document that a peer relays.
    """

    def __init__(
        self,
        transport: PeerTransport,
        make_state: Callable[[], PeerState],
        get_addresses: Callable[[], frozenset[str]],
        get_document: Callable[[], ConfigDocument],
        on_document: Callable[[ConfigDocument], None],
    ):
        self.transport = transport
        self.table = PeerTable()
        self._make_state = make_state
        self._get_addresses = get_addresses
        self._get_document = get_document
        self._on_document = on_document

    def live(self) -> tuple[PeerState, ...]:
        """Return the live peers."""
        return live_peers(self.table, asyncio.get_running_loop().time(), PEER_TIMEOUT_S)

    async def broadcast_state(self) -> None:
        """Send this process's state to every peer and remove expired peers.

        The configuration document is included if a live peer has an older version.
        """
        addresses = self._get_addresses() - {self.transport.address}
        self.transport.close_sockets_except(addresses)
        state = self._make_state()
        if any(self._is_config_outdated(peer, state) for peer in self.live()):
            state = msgspec.structs.replace(state, document=self._get_document())
        for address in sorted(addresses):
            self.transport.send(address, state)
        now = asyncio.get_running_loop().time()
        self.table = remove_expired_peers(self.table, now, PEER_EXPIRY_S)

    async def receive_forever(self) -> None:
        """Receive peer messages and apply them to the table until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            state = await self.transport.receive()
            if state is None:
                continue
            self.table = apply_peer_state(
                self.table, msgspec.structs.replace(state, document=None), loop.time()
            )
            if state.document and state.config_known:
                self._on_document(state.document)

    @staticmethod
    def _is_config_outdated(peer: PeerState, own: PeerState) -> bool:
        if not own.config_known:
            return False
        return not peer.config_known or peer.config_version < own.config_version

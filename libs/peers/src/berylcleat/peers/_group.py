"""Exchange states with the peers of a data centre and relay configuration."""

import asyncio
from collections.abc import Callable

import msgspec

from berylcleat.model import ConfigDocument

from ._membership import PeerTable, forget_silent, live_peers, on_peer_state
from ._messages import PeerState
from ._transport import PeerTransport

PEER_PERIOD_S = 1.0
PEER_LAPSE_S = 3.5
PEER_FORGET_S = 30.0


class PeerGroup:
    """Keep the peer table fresh; call back on a newer configuration."""

    def __init__(
        self,
        transport: PeerTransport,
        describe: Callable[[], PeerState],
        addresses: Callable[[], frozenset[str]],
        current_document: Callable[[], ConfigDocument],
        on_document: Callable[[ConfigDocument], None],
    ):
        self.transport = transport
        self.table = PeerTable()
        self._describe = describe
        self._addresses = addresses
        self._current_document = current_document
        self._on_document = on_document

    def live(self) -> tuple[PeerState, ...]:
        """Return the live peers."""
        return live_peers(self.table, asyncio.get_running_loop().time(), PEER_LAPSE_S)

    async def broadcast_state(self) -> None:
        """Send our state to every peer, with the document if some peer is behind."""
        addresses = self._addresses() - {self.transport.address}
        self.transport.keep_only(addresses)
        state = self._describe()
        if any(self._is_behind(peer, state) for peer in self.live()):
            state = msgspec.structs.replace(state, document=self._current_document())
        for address in sorted(addresses):
            self.transport.send(address, state)
        now = asyncio.get_running_loop().time()
        self.table = forget_silent(self.table, now, PEER_FORGET_S)

    async def receive_forever(self) -> None:
        """Note every message that comes."""
        loop = asyncio.get_running_loop()
        while True:
            state = await self.transport.receive()
            if state is None:
                continue
            self.table = on_peer_state(
                self.table, msgspec.structs.replace(state, document=None), loop.time()
            )
            if state.document and state.config_known:
                self._on_document(state.document)

    @staticmethod
    def _is_behind(peer: PeerState, me: PeerState) -> bool:
        if not me.config_known:
            return False
        return not peer.config_known or peer.config_version < me.config_version

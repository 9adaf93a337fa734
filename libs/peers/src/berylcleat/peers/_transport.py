"""Transport of peer messages over pynng: one pull socket, one push socket per peer."""

import logging

import msgspec
import pynng

from berylcleat.model import PortInUseError

from ._messages import PeerState

SEND_BUFFER_MESSAGES = 8
logger = logging.getLogger(__name__)


class PeerTransport:
    """Sender and receiver of peer messages that never blocks on a slow peer."""

    def __init__(self, address: str):
        self.address = address
        self.n_sent = 0
        self.n_dropped = 0
        self.n_bytes = 0
        self._encoder = msgspec.json.Encoder()
        self._decoder = msgspec.json.Decoder(PeerState)
        self._pull: pynng.Pull0 | None = None
        self._push_by_address: dict[str, pynng.Push0] = {}

    def start(self) -> None:
        """Listen on ``address``; raise ``PortInUseError`` if the port is taken."""
        self._pull = pynng.Pull0()
        try:
            self._pull.listen(f"tcp://{self.address}")
        except pynng.AddressInUse as error:
            raise PortInUseError(
                f"{self.address} is in use", "Stop the other process or change the port"
            ) from error

    async def receive(self) -> PeerState | None:
        """Return the next message, or None if a field has the wrong type.

        Raises ``msgspec.DecodeError`` if the message is not JSON.
        """
        data = await self._pull.arecv()
        self.n_bytes += len(data)
        try:
            return self._decoder.decode(data)
        except msgspec.ValidationError:
            return None

    def send(self, address: str, state: PeerState) -> None:
        """Send ``state``, or drop it if the send buffer is full.

        A dropped message is superseded by that of the next period.
        """
        data = self._encoder.encode(state)
        try:
            self._get_socket(address).send(data, block=False)
            self.n_sent += 1
            self.n_bytes += len(data)
        except pynng.TryAgain:
            self.n_dropped += 1

    def close_sockets_except(self, addresses: frozenset[str]) -> None:
        """Close the push sockets to all addresses but ``addresses``."""
        for address in set(self._push_by_address) - addresses:
            self._push_by_address.pop(address).close()

    def stop(self) -> None:
        """Close all sockets."""
        self.close_sockets_except(frozenset())
        if self._pull:
            self._pull.close()

    def _get_socket(self, address: str) -> pynng.Push0:
        socket = self._push_by_address.get(address)
        if socket is None:
            socket = pynng.Push0(send_buffer_size=SEND_BUFFER_MESSAGES)
            socket.dial(f"tcp://{address}", block=False)
            self._push_by_address[address] = socket
        return socket

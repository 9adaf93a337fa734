"""Choose the host that serves a client request while this one can't reach the store."""

from collections.abc import Sequence

# A peer that has not served a request is not asked again for this long.
PEER_EXCLUSION_S = 3.0
# After a request that no peer has served, none is passed on for this long: the store
# may be down for all of them.
RELAY_PAUSE_S = 1.0


class RelayPeers:
    """Peers by the results of earlier requests; the last one that served is kept."""

    def __init__(self):
        self._preferred = ""
        self._excluded_until_by_address: dict[str, float] = {}
        self._paused_until = float("-inf")

    def is_paused(self, now: float) -> bool:
        """Return whether no request is to be passed on at present."""
        return now < self._paused_until

    def choose(self, addresses: Sequence[str], now: float) -> str | None:
        """Return the address to ask, the earlier ones of equals first; None if none."""
        usable = [
            address
            for address in addresses
            if self._excluded_until_by_address.get(address, now) <= now
        ]
        if self._preferred in usable:
            return self._preferred
        return usable[0] if usable else None

    def on_served(self, address: str) -> None:
        """Note that a peer has served a request."""
        self._preferred = address
        self._excluded_until_by_address.pop(address, None)
        self._paused_until = float("-inf")

    def on_not_served(self, address: str, now: float) -> None:
        """Note that a peer has not served a request."""
        self._excluded_until_by_address[address] = now + PEER_EXCLUSION_S
        if address == self._preferred:
            self._preferred = ""

    def on_given_up(self, now: float) -> None:
        """Note that no peer has served a request."""
        self._paused_until = now + RELAY_PAUSE_S

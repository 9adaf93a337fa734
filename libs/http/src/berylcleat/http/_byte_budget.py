"""Limit of the bytes that all connections of a process hold."""

from typing import Protocol

# Bytes that each connection may hold without being counted: more than an ordinary
# request needs. The number of connections limits them.
UNCOUNTED_BYTES = 16_384
DEFAULT_BUDGET_BYTES = 50_331_648


class Holder(Protocol):
    """Connection that holds part of a request or of a response."""

    def give_up(self) -> None:
        """Release what the connection holds, and close it."""


class ByteBudget:
    """Bytes of requests and unsent responses that all connections of a process hold.

    Above ``max_bytes`` the connection that holds most gives up. A request that is
    being handled may have run: what it holds counts, but it goes on.
    """

    def __init__(self, max_bytes: int = DEFAULT_BUDGET_BYTES):
        self.max_bytes = max_bytes
        self.n_bytes = 0
        self._bytes_by_holder: dict[Holder, int] = {}
        self._bytes_by_busy_holder: dict[Holder, int] = {}

    def hold(self, holder: Holder, n_bytes: int) -> None:
        """Count ``n_bytes`` for ``holder``, instead of what it held before."""
        self.release(holder)
        if n_bytes <= UNCOUNTED_BYTES:
            return
        self._bytes_by_holder[holder] = n_bytes
        self.n_bytes += n_bytes
        self._make_room()

    def hold_busy(self, holder: Holder, n_bytes: int, factor: int) -> bool:
        """Count a request that is to be handled ``factor`` times, if there is room."""
        self.release(holder)
        if n_bytes <= UNCOUNTED_BYTES:
            return True
        n_busy = sum(self._bytes_by_busy_holder.values())
        if self._bytes_by_busy_holder and n_busy + factor * n_bytes > self.max_bytes:
            return False
        self._bytes_by_busy_holder[holder] = factor * n_bytes
        self.n_bytes += factor * n_bytes
        self._make_room()
        return True

    def _make_room(self) -> None:
        while self.n_bytes > self.max_bytes and self._bytes_by_holder:
            largest = max(self._bytes_by_holder, key=self._bytes_by_holder.get)
            self.release(largest)
            largest.give_up()

    def release(self, holder: Holder) -> None:
        """Count nothing for ``holder`` any more."""
        self.n_bytes -= self._bytes_by_holder.pop(holder, 0)
        self.n_bytes -= self._bytes_by_busy_holder.pop(holder, 0)

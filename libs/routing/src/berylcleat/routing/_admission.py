"""A bounded queue before the upstreams: by priority, shed early, by deadline."""

import heapq
import itertools
from dataclasses import dataclass, field

from ._outcomes import RequestClass


@dataclass(order=True, frozen=True, slots=True)
class Waiter:
    """Hold one waiting request; the highest priority comes first."""

    rank: tuple[int, int]
    waiter_id: int = field(compare=False)
    request: RequestClass = field(compare=False)


@dataclass(frozen=True, slots=True)
class Admission:
    """State whether a request may wait, and who must go to make room."""

    is_admitted: bool
    shed_waiter_id: int = 0


class WaitingRoom:
    """Hold at most ``n_places`` waiters; deterministic, in place, no clock."""

    def __init__(self, n_places: int):
        self.n_places = n_places
        self._heap: list[Waiter] = []
        self._counter = itertools.count(1)
        self._gone: set[int] = set()

    def __len__(self) -> int:
        return len(self._heap) - len(self._gone)

    def expected_wait_s(self, latency_s: float, total_limit: float) -> float:
        """Return the wait of a newcomer: those before it, served in parallel."""
        return (len(self) + 1) * latency_s / max(total_limit, 1.0)

    def admit(
        self, request: RequestClass, now: float, latency_s: float, total_limit: float
    ) -> tuple[Admission, int]:
        """Return whether ``request`` may wait, and its waiter id.

        It is refused at once if it could not be answered by its deadline.
        """
        wait_s = self.expected_wait_s(latency_s, total_limit)
        if now + wait_s + latency_s > request.deadline_at:
            return Admission(False), 0
        shed = 0
        if len(self) >= self.n_places:
            lowest = self._lowest()
            if lowest.request.priority >= request.priority:
                return Admission(False), 0
            shed = lowest.waiter_id
            self.leave(shed)
        waiter_id = next(self._counter)
        waiter = Waiter((-request.priority, waiter_id), waiter_id, request)
        heapq.heappush(self._heap, waiter)
        return Admission(True, shed), waiter_id

    def _lowest(self) -> Waiter:
        return max(w for w in self._heap if w.waiter_id not in self._gone)

    def leave(self, waiter_id: int) -> None:
        """Take a waiter out, wherever it stands."""
        if any(w.waiter_id == waiter_id for w in self._heap):
            self._gone.add(waiter_id)

    def pop(self) -> Waiter | None:
        """Return the next waiter, highest priority first."""
        while self._heap:
            waiter = heapq.heappop(self._heap)
            if waiter.waiter_id not in self._gone:
                return waiter
            self._gone.discard(waiter.waiter_id)
        return None

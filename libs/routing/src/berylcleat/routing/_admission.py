"""Bounded admission queue: priority order, load shedding, deadline check."""

import heapq
import itertools
from dataclasses import dataclass, field

from ._outcomes import RequestOptions


@dataclass(order=True, frozen=True, slots=True)
class Waiter:
    """Request in the admission queue; sorts by priority, then arrival."""

    rank: tuple[int, int]  # (-priority, waiter_id)
    waiter_id: int = field(compare=False)
    options: RequestOptions = field(compare=False)


@dataclass(frozen=True, slots=True)
class AdmissionDecision:
    """Whether a request is admitted, and the id of the waiter shed for it, or 0."""

    is_admitted: bool
    shed_waiter_id: int = 0


class AdmissionQueue:
    """Priority queue of at most ``capacity`` requests.

    Deterministic: reads no clock.
    """

    def __init__(self, capacity: int):
        self.capacity = capacity
        self._heap: list[Waiter] = []
        self._counter = itertools.count(1)
        self._removed: set[int] = set()

    def __len__(self) -> int:
        return len(self._heap) - len(self._removed)

    def expected_wait_s(self, latency_s: float, concurrency: float) -> float:
        """Return the estimated queueing time in seconds of a request that arrives now.

        Assumes that ``concurrency`` requests run at a time, for ``latency_s`` each.
        """
        return (len(self) + 1) * latency_s / max(concurrency, 1.0)

    def admit(
        self, options: RequestOptions, now: float, latency_s: float, concurrency: float
    ) -> tuple[AdmissionDecision, int]:
        """Return whether the request is admitted, and its waiter id (0 if not).

        Rejects at once a request that is not expected to be answered by its deadline.
        A full queue sheds its last waiter if the request has a higher priority.
        """
        wait_s = self.expected_wait_s(latency_s, concurrency)
        if now + wait_s + latency_s > options.deadline_at:
            return AdmissionDecision(False), 0
        shed_waiter_id = 0
        if len(self) >= self.capacity:
            last = self._last_waiter()
            if last.options.priority >= options.priority:
                return AdmissionDecision(False), 0
            shed_waiter_id = last.waiter_id
            self.remove(shed_waiter_id)
        waiter_id = next(self._counter)
        waiter = Waiter((-options.priority, waiter_id), waiter_id, options)
        heapq.heappush(self._heap, waiter)
        return AdmissionDecision(True, shed_waiter_id), waiter_id

    def _last_waiter(self) -> Waiter:
        return max(w for w in self._heap if w.waiter_id not in self._removed)

    def remove(self, waiter_id: int) -> None:
        """Remove a waiter from any position; ignores ids that are not queued."""
        if any(w.waiter_id == waiter_id for w in self._heap):
            self._removed.add(waiter_id)

    def pop(self) -> Waiter | None:
        """Remove and return the waiter with the highest priority, or None if empty."""
        while self._heap:
            waiter = heapq.heappop(self._heap)
            if waiter.waiter_id not in self._removed:
                return waiter
            self._removed.discard(waiter.waiter_id)
        return None

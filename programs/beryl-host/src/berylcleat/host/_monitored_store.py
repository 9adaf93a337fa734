"""Store whose calls are reported to a judgement of its reachability."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from berylcleat.model import BerylError, RejectedWriteError
from berylcleat.ports import (
    Commit,
    CommitOutcome,
    HistoryLostError,
    RowPage,
    Store,
)

from ._clock import now_s
from ._store_clock import StoreClock
from ._store_reachability import StoreReachability
from ._version_times import VersionTimes

# Errors with which the store answers a call.
ANSWER_ERRORS = (HistoryLostError, RejectedWriteError)
T = TypeVar("T")
Answer = TypeVar("Answer", CommitOutcome, RowPage)


class MonitoredStore:
    """Store that reports the start and the result of each call.

    ``version_times`` tells by when the store had reached its versions, ``store_clock``
    what its clock shows.
    """

    def __init__(
        self,
        store: Store,
        reachability: StoreReachability,
        clock: Callable[[], float] = now_s,
    ):
        self._store = store
        self._reachability = reachability
        self._clock = clock
        self.version_times = VersionTimes()
        self.store_clock = StoreClock()

    async def commit(self, commit: Commit) -> CommitOutcome:
        """Apply ``commit``, or return the rows that conflict with its conditions."""
        requested_at = self._clock()
        call = self._store.commit(commit)
        return self._observe(await self._report(call, is_commit=True), requested_at)

    async def read(
        self, table: str, part: str, first: str = "", end: str = ""
    ) -> RowPage:
        """Return the rows of a part with keys from ``first`` to before ``end``."""
        requested_at = self._clock()
        call = self._store.read(table, part, first, end)
        return self._observe(await self._report(call), requested_at)

    async def list_parts(self, table: str) -> tuple[str, ...]:
        """Return the parts of ``table`` that contain rows."""
        return await self._report(self._store.list_parts(table))

    async def follow(self, table: str, after: int, wait_s: float) -> RowPage:
        """Long-poll for rows changed after version ``after``."""
        requested_at = self._clock()
        call = self._store.follow(table, after, wait_s)
        return self._observe(await self._report(call, wait_s=wait_s), requested_at)

    def _observe(self, result: Answer, requested_at: float) -> Answer:
        now = self._clock()
        self.version_times.observe(result.version, now)
        self.store_clock.observe(result.store_ms, requested_at, now)
        return result

    async def _report(
        self, call: Awaitable[T], *, wait_s: float = 0.0, is_commit: bool = False
    ) -> T:
        reachability = self._reachability
        number = reachability.on_call(self._clock(), wait_s)
        try:
            result = await call
        except ANSWER_ERRORS:
            reachability.on_answer(number, self._clock())
            raise
        except BerylError:
            reachability.on_failure(number, self._clock())
            raise
        except BaseException:
            reachability.on_cancelled(number)
            raise
        reachability.on_answer(number, self._clock(), is_commit=is_commit)
        return result

"""Publish what other hosts must know of this one, in one transaction a second."""

import asyncio
import logging
from typing import Protocol

from berylcleat.model import BerylError, ConflictError
from berylcleat.ports import Commit, CommitOutcome, Condition, RowWrite, Store

from ._clock import now_s
from ._heartbeat_times import HeartbeatTimes
from ._identity import HostIdentity
from ._records import HOST_PREFIX, HostRow, data_centre_table, encode
from ._store_clock import StoreClock

HEARTBEAT_PERIOD_S = 1.0
CONFLICT_RETRY_S = 0.2
CHECK_PERIOD_S = 0.25
logger = logging.getLogger(__name__)


class RowSource(Protocol):
    """Source of rows to publish with the heartbeat, all in the data centre's part."""

    def due_writes(self, now: float) -> list[RowWrite]:
        """Return the rows that have changed and are due."""

    def is_urgent(self) -> bool:
        """Return whether a row must be published before the next heartbeat."""

    def on_written(self) -> None:
        """Remember that the rows returned last are stored."""


class HostPublisher:
    """Writer of this host's heartbeat and of the rows of its sources.

    ``heartbeats`` tells when the last heartbeats were sent and acknowledged.
    """

    def __init__(
        self,
        store: Store,
        identity: HostIdentity,
        cpu_power: float,
        sources: tuple[RowSource, ...],
        store_clock: StoreClock | None = None,
    ):
        self.is_leaving = False
        self.heartbeats = HeartbeatTimes()
        self._store = store
        self._identity = identity
        self._cpu_power = cpu_power
        self._sources = sources
        self._store_clock = store_clock or StoreClock()
        self._heartbeat_version = 0
        self._published_at = float("-inf")

    async def run(self) -> None:
        """Publish periodically; log the first of several failures in a row."""
        is_failing = False
        while True:
            started_at = now_s()
            try:
                await self.publish_if_due()
                is_failing = False
            except ConflictError as error:
                logger.info("%s", error)
                await asyncio.sleep(CONFLICT_RETRY_S)
            except BerylError as error:
                if not is_failing:
                    logger.warning("could not publish the heartbeat: %s", error)
                is_failing = True
                # No further pause after a call that timed out: a host whose heartbeat
                # is missing for 3 s after an outage counts as dead.
                await asyncio.sleep(HEARTBEAT_PERIOD_S - (now_s() - started_at))
            await asyncio.sleep(CHECK_PERIOD_S)

    async def publish_if_due(self) -> None:
        """Publish after the heartbeat period, or at once if a source is urgent."""
        is_due = now_s() - self._published_at >= HEARTBEAT_PERIOD_S
        if is_due or any(source.is_urgent() for source in self._sources):
            await self.publish()

    async def publish(self) -> None:
        """Write the heartbeat and the due rows.

        Raises ``ConflictError`` if the heartbeat row has another version than expected.
        """
        now = now_s()
        heartbeat = self._heartbeat_write(now)
        writes = [heartbeat]
        for source in self._sources:
            writes += source.due_writes(now)
        # A delayed write of an earlier incarnation must not overwrite this one's row.
        condition = Condition(
            heartbeat.table, heartbeat.part, heartbeat.key, self._heartbeat_version
        )
        outcome = await self._store.commit(Commit((condition,), tuple(writes)))
        if not outcome.applied:
            self._on_conflict(outcome)
        self._heartbeat_version = outcome.version
        self._published_at = now
        self.heartbeats.add(now, now_s())
        for source in self._sources:
            source.on_written()

    def _on_conflict(self, outcome: CommitOutcome) -> None:
        for current in outcome.current:
            self._heartbeat_version = current.version
        raise ConflictError("heartbeat: the host row has changed", "Write it again")

    def _heartbeat_write(self, now: float) -> RowWrite:
        identity = self._identity
        row = HostRow(
            identity.incarnation,
            identity.peer_address,
            self._cpu_power,
            self.is_leaving,
            self._store_clock.latest_ms(now),
        )
        table = data_centre_table(identity.data_centre)
        key = HOST_PREFIX + identity.host_id
        return RowWrite(table, identity.data_centre, key, encode(row))

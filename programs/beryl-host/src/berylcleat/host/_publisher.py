"""Publish what other hosts must know of this one: heartbeat, loads, live owners."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from berylcleat.model import BerylError, ConflictError
from berylcleat.ports import (
    Commit,
    CommitOutcome,
    Condition,
    RowWrite,
    Store,
)

from ._cell_directory import CellDirectory
from ._cell_ownership import CellOwnershipManager
from ._clock import now_s
from ._identity import HostIdentity
from ._membership import Coverage, Membership, rank_by_power
from ._records import (
    LIVE_OWNERS_PREFIX,
    LOAD_PREFIX,
    LOAD_TABLE,
    HostRow,
    LiveOwnersRow,
    LoadRow,
    encode,
    host_table,
)

CONFLICT_RETRY_S = 0.2
# Hosts of a data centre that publish its live owners: two may be lost unnoticed.
N_DIGEST_WRITERS = 3
HEARTBEAT_PERIOD_S = 1.0
# An unchanged load is written again after this time: a delayed write of an earlier
# owner may have replaced it.
MAX_LOAD_AGE_S = 5.0
logger = logging.getLogger(__name__)


async def publish_periodically(
    publish: Callable[[], Awaitable[None]], what: str, period_s: float
) -> None:
    """Call ``publish`` periodically; log the first of several failures in a row."""
    is_failing = False
    while True:
        try:
            await publish()
            is_failing = False
        except ConflictError as error:
            logger.info("%s", error)
            await asyncio.sleep(CONFLICT_RETRY_S)
            continue
        except BerylError as error:
            if not is_failing:
                logger.warning("could not publish the %s: %s", what, error)
            is_failing = True
        await asyncio.sleep(period_s)


@dataclass(frozen=True, slots=True)
class _WrittenLoad:
    value: bytes
    written_at: float


class CellLoads:
    """Source of the load rows of this host's cells, read by every host."""

    def __init__(self, ownership: CellOwnershipManager):
        self._ownership = ownership
        self._written_by_cell: dict[str, _WrittenLoad] = {}

    def changed(self) -> dict[str, bytes]:
        """Return the loads, by cell, that changed or were written long ago."""
        value_by_cell = {}
        for cell_id, controller in self._ownership.controller_by_cell.items():
            summary = controller.summary()
            if summary is None:
                continue
            value = encode(LoadRow(controller.owner.epoch, summary))
            if not self._is_written(cell_id, value):
                value_by_cell[cell_id] = value
        return value_by_cell

    def on_written(self, value_by_cell: dict[str, bytes]) -> None:
        """Remember which loads the store holds."""
        now = now_s()
        for cell_id, value in value_by_cell.items():
            self._written_by_cell[cell_id] = _WrittenLoad(value, now)

    def _is_written(self, cell_id: str, value: bytes) -> bool:
        written = self._written_by_cell.get(cell_id)
        if written is None or written.value != value:
            return False
        return now_s() - written.written_at < MAX_LOAD_AGE_S


class HostPublisher:
    """Writer of this host's heartbeat, its cells' loads and its data centre's digest.

    They are written in one transaction, so all lie in the data centre's part.
    """

    def __init__(
        self,
        store: Store,
        identity: HostIdentity,
        cpu_power: float,
        loads: CellLoads,
        membership: Membership,
        cells: CellDirectory,
    ):
        self.is_leaving = False
        self._store = store
        self._identity = identity
        self._cpu_power = cpu_power
        self._loads = loads
        self._membership = membership
        self._cells = cells
        self._heartbeat_version = 0
        self._digest: LiveOwnersRow | None = None
        self._published_at = float("-inf")

    async def publish_if_due(self, coverage: Coverage) -> None:
        """Publish after the heartbeat period, or at once if the digest changes.

        Raises ``ConflictError`` if the heartbeat row has another version than expected.
        """
        digest = self.make_digest(coverage)
        is_due = now_s() - self._published_at >= HEARTBEAT_PERIOD_S
        if is_due or digest != self._digest:
            await self.publish(digest)

    async def publish(self, digest: LiveOwnersRow | None = None) -> None:
        """Write the heartbeat, changed loads, and ``digest`` if it is given."""
        loads = self._loads.changed()
        writes = [self._heartbeat_write()]
        writes += [
            self._load_table_write(LOAD_PREFIX + cell_id, value)
            for cell_id, value in loads.items()
        ]
        if digest is not None:
            key = f"{LIVE_OWNERS_PREFIX}{digest.data_centre}/{self._identity.host_id}"
            writes.append(self._load_table_write(key, encode(digest)))
        row_key = (writes[0].table, writes[0].part, writes[0].key)
        # A delayed write of an earlier incarnation must not overwrite this one's row.
        condition = Condition(*row_key, self._heartbeat_version)
        outcome = await self._store.commit(Commit((condition,), tuple(writes)))
        if not outcome.applied:
            self._on_conflict(outcome)
        self._heartbeat_version = outcome.version
        self._loads.on_written(loads)
        self._digest = digest
        self._published_at = now_s()

    def _on_conflict(self, outcome: CommitOutcome) -> None:
        for current in outcome.current:
            self._heartbeat_version = current.version
        raise ConflictError("heartbeat: the host row has changed", "Write it again")

    def _heartbeat_write(self) -> RowWrite:
        identity = self._identity
        row = HostRow(
            identity.incarnation,
            identity.data_centre,
            identity.peer_address,
            self._cpu_power,
            self.is_leaving,
        )
        table = host_table(identity.data_centre)
        return RowWrite(table, identity.data_centre, identity.host_id, encode(row))

    def _load_table_write(self, key: str, value: bytes) -> RowWrite:
        return RowWrite(LOAD_TABLE, self._identity.data_centre, key, value)

    def make_digest(self, coverage: Coverage) -> LiveOwnersRow | None:
        """Return the live owners of the data centre if this host has to publish them.

        They are sorted, so that equal digests compare and encode equally.
        """
        live = self._membership.live_hosts(coverage)
        if self._identity.host_id not in rank_by_power(live)[:N_DIGEST_WRITERS]:
            return None
        owners = {
            owner.row.host_id: owner.row.incarnation
            for owner in self._cells.owner_by_cell.values()
            if self._membership.is_live(
                owner.row.host_id, owner.row.incarnation, coverage
            )
        }
        return LiveOwnersRow(self._identity.data_centre, dict(sorted(owners.items())))

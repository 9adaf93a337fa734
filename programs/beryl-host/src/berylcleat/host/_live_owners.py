"""Live owners of this data centre, published to the hosts of the others."""

from collections.abc import Callable

from berylcleat.ports import RowWrite

from ._cell_directory import CellDirectory
from ._identity import HostIdentity
from ._membership import Coverage, Membership, rank_by_power
from ._records import (
    DIGEST_HEARTBEAT_PREFIX,
    DIGEST_TABLE,
    OWNERS_PREFIX,
    LiveOwnersRow,
    encode,
)

# Hosts of a data centre that publish its live owners: two may be lost unnoticed.
N_DIGEST_WRITERS = 3


class LiveOwners:
    """Source of the rows from which other data centres tell that owners live.

    The list is written when it changes, a heartbeat every second.
    """

    def __init__(
        self,
        identity: HostIdentity,
        membership: Membership,
        cells: CellDirectory,
        coverage: Callable[[], Coverage],
    ):
        self._identity = identity
        self._membership = membership
        self._cells = cells
        self._coverage = coverage
        self._written: LiveOwnersRow | None = None
        self._pending: LiveOwnersRow | None = None

    def rank(self) -> int | None:
        """Return this host's rank among the live ones, or None if it isn't listed."""
        ranking = rank_by_power(self._membership.live_hosts(self._coverage()))
        host_id = self._identity.host_id
        return ranking.index(host_id) if host_id in ranking else None

    def due_writes(self, now: float) -> list[RowWrite]:
        """Return the heartbeat and a changed list, if this host is a writer."""
        self._pending = self._make_list()
        if self._pending is None:
            return []
        writes = [self._write(DIGEST_HEARTBEAT_PREFIX, b"")]
        if self._pending != self._written:
            writes.append(self._write(OWNERS_PREFIX, encode(self._pending)))
        return writes

    def is_urgent(self) -> bool:
        """Return whether the list has changed."""
        live_owners = self._make_list()
        return live_owners is not None and live_owners != self._written

    def on_written(self) -> None:
        """Remember which list is stored."""
        self._written = self._pending

    def _write(self, prefix: str, value: bytes) -> RowWrite:
        key = prefix + self._identity.host_id
        return RowWrite(DIGEST_TABLE, self._identity.data_centre, key, value)

    def _make_list(self) -> LiveOwnersRow | None:
        """Return the live owners if this host has to publish them."""
        rank = self.rank()
        if rank is None or rank >= N_DIGEST_WRITERS:
            return None
        coverage = self._coverage()
        owners = (owner.row for owner in self._cells.owner_by_cell.values())
        return LiveOwnersRow(
            {
                row.host_id: row.incarnation
                for row in owners
                if self._membership.is_live(row.host_id, row.incarnation, coverage)
            }
        )

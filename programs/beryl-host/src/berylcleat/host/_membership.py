"""Live hosts and cell owners, as observed in the store."""

import logging
from dataclasses import dataclass

import msgspec

from berylcleat.ports import StoreRow

from ._clock import now_s
from ._records import OWNER_KEY, CellSummary, HostRow, OwnerRow

# A host whose heartbeat has not changed for this long is considered dead.
HEARTBEAT_TIMEOUT_S = 3.0
logger = logging.getLogger(__name__)
_host_decoder = msgspec.json.Decoder(HostRow)
_owner_decoder = msgspec.json.Decoder(OwnerRow)


@dataclass(frozen=True, slots=True)
class HostHeartbeat:
    """Last heartbeat row of a host and when it was observed."""

    row: HostRow
    observed_at: float


@dataclass(frozen=True, slots=True)
class ObservedOwner:
    """Owner row of a cell, its version, and when it was first observed."""

    row: OwnerRow
    version: int
    observed_at: float

    def unsettled_s(self, now: float) -> float:
        """Return the seconds for which earlier runs may be unaccounted for."""
        return max(0.0, self.row.unsettled_s - (now - self.observed_at))


@dataclass(frozen=True, slots=True)
class HeartbeatCoverage:
    """Interval in which every heartbeat was received from the store without a gap."""

    since: float
    until: float


class Membership:
    """Observed hosts by id and owners by cell."""

    def __init__(self):
        self.heartbeat_by_host: dict[str, HostHeartbeat] = {}
        self.owner_by_cell: dict[str, ObservedOwner] = {}

    def on_host_rows(self, rows: tuple[StoreRow, ...]) -> None:
        """Apply rows of the host table."""
        for row in rows:
            try:
                host = _host_decoder.decode(row.value)
            except msgspec.MsgspecError as error:
                logger.error("host row %s can't be decoded: %s", row.key, error)
                continue
            known = self.heartbeat_by_host.get(row.key)
            if known is None or known.row.incarnation != host.incarnation:
                logger.info("host %s: new incarnation %s", row.key, host.incarnation)
            self.heartbeat_by_host[row.key] = HostHeartbeat(host, now_s())

    def on_owner_rows(self, rows: tuple[StoreRow, ...]) -> None:
        """Apply owner rows of the cell table; other rows are ignored."""
        for row in rows:
            if row.key != OWNER_KEY:
                continue
            try:
                owner = _owner_decoder.decode(row.value)
            except msgspec.MsgspecError as error:
                logger.error(
                    "owner row of cell %s can't be decoded: %s", row.part, error
                )
                continue
            known = self.owner_by_cell.get(row.part)
            if known is None or row.version > known.version:
                self.owner_by_cell[row.part] = ObservedOwner(
                    owner, row.version, now_s()
                )
                logger.info(
                    "cell %s: owner %s epoch %d",
                    row.part,
                    owner.host_id or "(none)",
                    owner.epoch,
                )

    def is_live(
        self, host_id: str, incarnation: str, coverage: "HeartbeatCoverage"
    ) -> bool:
        """Return whether an incarnation of a host is considered alive.

        Only silence within ``coverage`` counts: an outage of the store must not make
        every host appear dead.
        """
        heartbeat = self.heartbeat_by_host.get(host_id)
        if heartbeat is None or heartbeat.row.incarnation != incarnation:
            return False
        silent_since = max(heartbeat.observed_at, coverage.since)
        return coverage.until - silent_since < HEARTBEAT_TIMEOUT_S

    def live_hosts(self, coverage: "HeartbeatCoverage") -> dict[str, HostRow]:
        """Return the hosts that may own cells: alive and not leaving."""
        return {
            host_id: heartbeat.row
            for host_id, heartbeat in self.heartbeat_by_host.items()
            if not heartbeat.row.is_leaving
            and self.is_live(host_id, heartbeat.row.incarnation, coverage)
        }

    def summaries(self) -> dict[str, CellSummary]:
        """Return the load summaries that current owners published last, by cell."""
        summaries: dict[str, CellSummary] = {}
        for host_id, heartbeat in self.heartbeat_by_host.items():
            for cell_id, summary in heartbeat.row.summary_by_cell.items():
                owner = self.owner_by_cell.get(cell_id)
                if owner is not None and owner.row.host_id == host_id:
                    summaries[cell_id] = summary
        return summaries

    def owner_address(self, cell_id: str) -> str | None:
        """Return the peer address of a cell's owner."""
        owner = self.owner_by_cell.get(cell_id)
        if owner is None or not owner.row.host_id:
            return None
        heartbeat = self.heartbeat_by_host.get(owner.row.host_id)
        return heartbeat.row.peer_address if heartbeat else None


def assign_cells(
    data_centre_by_cell: dict[str, str],
    owner_by_cell: dict[str, str],
    host_by_id: dict[str, HostRow],
) -> dict[str, str]:
    """Return the host that should acquire each cell without a live owner.

    Prefers hosts of the cell's data centre, then those with the fewest cells relative
    to their processing capacity.
    """
    n_owned = dict.fromkeys(host_by_id, 0)
    for host_id in owner_by_cell.values():
        if host_id in n_owned:
            n_owned[host_id] += 1
    host_by_cell = {}
    for cell_id in sorted(data_centre_by_cell):
        if owner_by_cell.get(cell_id) in host_by_id or not host_by_id:
            continue
        data_centre = data_centre_by_cell[cell_id]
        best = min(
            host_by_id,
            key=lambda host_id: (
                host_by_id[host_id].data_centre != data_centre,
                (n_owned[host_id] + 1) / host_by_id[host_id].cpu_power,
                host_id,
            ),
        )
        host_by_cell[cell_id] = best
        n_owned[best] += 1
    return host_by_cell

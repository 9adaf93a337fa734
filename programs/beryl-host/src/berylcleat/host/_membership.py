"""Live hosts of this host's data centre, as observed in the store."""

import logging
from dataclasses import dataclass

import msgspec

from berylcleat.model import MalformedValueError, decode_json
from berylcleat.ports import StoreRow

from ._clock import now_s
from ._records import HOST_PREFIX, HostRow

# A host whose heartbeat has not changed for this long is considered dead.
HEARTBEAT_TIMEOUT_S = 3.0
logger = logging.getLogger(__name__)
_host_decoder = msgspec.json.Decoder(HostRow)


@dataclass(frozen=True, slots=True)
class HostHeartbeat:
    """Last heartbeat row of a host, its version, and when it was observed."""

    row: HostRow
    version: int
    observed_at: float


@dataclass(frozen=True, slots=True)
class Coverage:
    """Interval in which every change of a table was received without a gap."""

    since: float
    until: float

    def is_recent(self, observed_at: float) -> bool:
        """Return whether a heartbeat observed then still shows a live sender.

        Only silence within the interval counts: an outage of the store must not make
        every host appear dead.
        """
        return self.until - max(observed_at, self.since) < HEARTBEAT_TIMEOUT_S


class Membership:
    """Observed hosts of one data centre, by id."""

    def __init__(self):
        self.heartbeat_by_host: dict[str, HostHeartbeat] = {}

    def on_host_rows(self, rows: tuple[StoreRow, ...]) -> None:
        """Apply the heartbeats in the table of the data centre; ignore other rows."""
        for row in rows:
            if row.key.startswith(HOST_PREFIX):
                self._on_host_row(row)

    def _on_host_row(self, row: StoreRow) -> None:
        host_id = row.key.removeprefix(HOST_PREFIX)
        try:
            host = decode_json(_host_decoder, row.value)
        except MalformedValueError as error:
            logger.error("heartbeat of host %s can't be decoded: %s", host_id, error)
            return
        known = self.heartbeat_by_host.get(host_id)
        if known is None or known.row.incarnation != host.incarnation:
            logger.info("host %s: new incarnation %s", host_id, host.incarnation)
        self.heartbeat_by_host[host_id] = HostHeartbeat(host, row.version, now_s())

    def is_live(self, host_id: str, incarnation: str, coverage: Coverage) -> bool:
        """Return whether an incarnation of a host is considered alive."""
        heartbeat = self.heartbeat_by_host.get(host_id)
        if heartbeat is None or heartbeat.row.incarnation != incarnation:
            return False
        return coverage.is_recent(heartbeat.observed_at)

    def is_replaced(self, host_id: str, incarnation: str, version: int) -> bool:
        """Return whether an incarnation that wrote a row at ``version`` was replaced.

        An older heartbeat of another incarnation is that of an earlier one.
        """
        heartbeat = self.heartbeat_by_host.get(host_id)
        if heartbeat is None or heartbeat.row.incarnation == incarnation:
            return False
        return heartbeat.version > version

    def live_hosts(self, coverage: Coverage) -> dict[str, HostRow]:
        """Return the hosts that may own cells: alive and not leaving."""
        return {
            host_id: heartbeat.row
            for host_id, heartbeat in self.heartbeat_by_host.items()
            if not heartbeat.row.is_leaving
            and coverage.is_recent(heartbeat.observed_at)
        }


def rank_by_power(host_by_id: dict[str, HostRow]) -> list[str]:
    """Return the ids of hosts, the one with the most processing capacity first."""
    return sorted(
        host_by_id, key=lambda host_id: (-host_by_id[host_id].cpu_power, host_id)
    )


def assign_cells(
    cell_ids: set[str],
    owner_by_cell: dict[str, str],
    host_by_id: dict[str, HostRow],
) -> dict[str, str]:
    """Return the host that should acquire each of the cells without a live owner.

    Prefers the hosts with the fewest cells relative to their processing capacity.
    """
    n_owned = dict.fromkeys(host_by_id, 0)
    for host_id in owner_by_cell.values():
        if host_id in n_owned:
            n_owned[host_id] += 1
    host_by_cell = {}
    for cell_id in sorted(cell_ids - owner_by_cell.keys()):
        if not host_by_id:
            continue
        best = min(
            host_by_id,
            key=lambda host_id: (
                (n_owned[host_id] + 1) / host_by_id[host_id].cpu_power,
                host_id,
            ),
        )
        host_by_cell[cell_id] = best
        n_owned[best] += 1
    return host_by_cell

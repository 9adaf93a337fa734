"""Heartbeats of host incarnations and assignment of cells to hosts."""

from dataclasses import dataclass, field

import msgspec

from ._records import CellRow, HostRow


def incarnation_id(host_id: str, incarnation: str) -> str:
    """Return the ID of one incarnation of a host, as in ``CellRow.owner``."""
    return f"{host_id}.{incarnation}"


@dataclass(frozen=True, slots=True)
class HostHeartbeat:
    """Last observed heartbeat row of a host.

    ``changed_at`` is the local time at which the row was last seen to change.
    """

    row: HostRow
    version: int
    changed_at: float


@dataclass(frozen=True, slots=True)
class HeartbeatView:
    """Heartbeats of a data centre's hosts by host ID.

    ``scan_sent_at`` is the local time at which the newest answered scan was sent. A
    host's heartbeat age is measured up to it, because a table that doesn't answer is
    no evidence that a host is down.
    """

    by_host_id: dict[str, HostHeartbeat] = field(default_factory=dict)
    scan_sent_at: float = float("-inf")


def apply_heartbeats(
    heartbeats: HeartbeatView,
    changed: tuple[tuple[HostRow, int], ...],
    sent_at: float,
    now: float,
) -> HeartbeatView:
    """Return ``heartbeats`` after a scan sent at ``sent_at``, answered at ``now``."""
    by_host_id = dict(heartbeats.by_host_id)
    for row, version in changed:
        by_host_id[row.host_id] = HostHeartbeat(row, version, now)
    return HeartbeatView(by_host_id, sent_at)


def has_lapsed(heartbeats: HeartbeatView, owner: str, lapse_s: float) -> bool:
    """Return whether the heartbeat of ``owner``, a host incarnation, has lapsed.

    It has if the row stayed unchanged for more than ``lapse_s`` seconds. Both ends of
    the interval are read from the local clock: when the row was last seen to change,
    and when the newest answered scan was sent.
    """
    for heartbeat in heartbeats.by_host_id.values():
        row = heartbeat.row
        if incarnation_id(row.host_id, row.incarnation) == owner:
            return heartbeats.scan_sent_at - heartbeat.changed_at > lapse_s
    # A newer incarnation has overwritten the row, or the row never existed.
    return bool(owner) and heartbeats.scan_sent_at > float("-inf")


def live_hosts(heartbeats: HeartbeatView, lapse_s: float) -> tuple[str, ...]:
    """Return the incarnations with a live heartbeat that are not leaving, sorted."""
    owner_ids = (
        incarnation_id(heartbeat.row.host_id, heartbeat.row.incarnation)
        for heartbeat in heartbeats.by_host_id.values()
        if not heartbeat.row.is_leaving
    )
    return tuple(
        sorted(
            owner_id
            for owner_id in owner_ids
            if not has_lapsed(heartbeats, owner_id, lapse_s)
        )
    )


@dataclass(frozen=True, slots=True)
class OwnershipChange:
    """IDs of cells to acquire and of cells to release."""

    acquire: tuple[str, ...] = ()
    release: tuple[str, ...] = ()


def plan_ownership(
    cell_by_id: dict[str, CellRow],
    heartbeats: HeartbeatView,
    owner_id: str,
    lapse_s: float,
) -> OwnershipChange:
    """Return the cells that ``owner_id`` should acquire or release.

    A host's fair share is the number of cells divided by the number of live hosts,
    rounded up. At most one cell is released per call. Hosts start at different
    offsets in the list of free cells, so that they seldom compete for the same one.
    """
    live = live_hosts(heartbeats, lapse_s)
    if owner_id not in live:
        return OwnershipChange()
    fair_share = -(-len(cell_by_id) // len(live))
    own_cells = sorted(
        cell_id for cell_id, row in cell_by_id.items() if row.owner == owner_id
    )
    free = [
        cell_id
        for cell_id, row in sorted(cell_by_id.items())
        if row.owner != owner_id and _is_free(row, heartbeats, lapse_s)
    ]
    if len(own_cells) > fair_share:
        return OwnershipChange(release=tuple(own_cells[fair_share:][:1]))
    offset = live.index(owner_id)
    rotated = free[offset:] + free[:offset]
    return OwnershipChange(acquire=tuple(rotated[: fair_share - len(own_cells)]))


def _is_free(row: CellRow, heartbeats: HeartbeatView, lapse_s: float) -> bool:
    return not row.owner or has_lapsed(heartbeats, row.owner, lapse_s)


def acquire_cell(row: CellRow, owner_id: str) -> CellRow:
    """Return the row owned by ``owner_id`` under the next epoch."""
    return msgspec.structs.replace(row, epoch=row.epoch + 1, owner=owner_id)


def release_cell(row: CellRow) -> CellRow:
    """Return the row without an owner, under the next epoch."""
    return msgspec.structs.replace(row, epoch=row.epoch + 1, owner="")

"""Heartbeats of host incarnations and who should own which cell."""

from dataclasses import dataclass, field

import msgspec

from ._records import CellRow, HostRow


def incarnation_id(host_id: str, incarnation: str) -> str:
    """Return the name of one incarnation of a host."""
    return f"{host_id}.{incarnation}"


@dataclass(frozen=True, slots=True)
class HostHeartbeat:
    """Hold a heartbeat row and when, on our clock, it was last seen to change."""

    row: HostRow
    version: int
    changed_at: float


@dataclass(frozen=True, slots=True)
class HeartbeatView:
    """Hold the sightings of a data centre's hosts by host id.

    ``observed_at`` is when the table last answered: silence of the table itself
    proves nothing about a host.
    """

    by_host_id: dict[str, HostHeartbeat] = field(default_factory=dict)
    observed_at: float = float("-inf")


def apply_heartbeats(
    sightings: HeartbeatView,
    changed: tuple[tuple[HostRow, int], ...],
    asked_at: float,
    now: float,
) -> HeartbeatView:
    """Return ``sightings`` after a scan sent at ``asked_at``, answered at ``now``."""
    by_host_id = dict(sightings.by_host_id)
    for row, version in changed:
        by_host_id[row.host_id] = HostHeartbeat(row, version, now)
    return HeartbeatView(by_host_id, asked_at)


def has_lapsed(sightings: HeartbeatView, owner: str, lapse_s: float) -> bool:
    """Tell whether ``owner`` (a host incarnation) is proven not to beat.

    Both ends are on our own clock: the row has not changed between when it was last
    seen to and the sending of the newest answered scan.
    """
    for sighting in sightings.by_host_id.values():
        row = sighting.row
        if incarnation_id(row.host_id, row.incarnation) == owner:
            return sightings.observed_at - sighting.changed_at > lapse_s
    # A newer incarnation has overwritten the row, or the row was never there.
    return bool(owner) and sightings.observed_at > float("-inf")


def live_hosts(sightings: HeartbeatView, lapse_s: float) -> tuple[str, ...]:
    """Return the incarnations that beat and are not leaving, sorted."""
    names = (
        incarnation_id(sighting.row.host_id, sighting.row.incarnation)
        for sighting in sightings.by_host_id.values()
        if not sighting.row.is_leaving
    )
    return tuple(sorted(n for n in names if not has_lapsed(sightings, n, lapse_s)))


@dataclass(frozen=True, slots=True)
class OwnershipChange:
    """Name cells to take over and cells to release."""

    take: tuple[str, ...] = ()
    release: tuple[str, ...] = ()


def plan_ownership(
    cell_by_id: dict[str, CellRow], sightings: HeartbeatView, me: str, lapse_s: float
) -> OwnershipChange:
    """Return what ``me`` should take over or release to hold a fair share."""
    live = live_hosts(sightings, lapse_s)
    if me not in live:
        return OwnershipChange()
    share = -(-len(cell_by_id) // len(live))
    mine = sorted(cell_id for cell_id, row in cell_by_id.items() if row.owner == me)
    free = [
        cell_id
        for cell_id, row in sorted(cell_by_id.items())
        if row.owner != me and _is_free(row, sightings, lapse_s)
    ]
    if len(mine) > share:
        return OwnershipChange(release=tuple(mine[share:][:1]))
    offset = live.index(me)
    rotated = free[offset:] + free[:offset]
    return OwnershipChange(take=tuple(rotated[: share - len(mine)]))


def _is_free(row: CellRow, sightings: HeartbeatView, lapse_s: float) -> bool:
    return not row.owner or has_lapsed(sightings, row.owner, lapse_s)


def take_cell(row: CellRow, me: str) -> CellRow:
    """Return the row under a new owner: the epoch rises with every change."""
    return msgspec.structs.replace(row, epoch=row.epoch + 1, owner=me)


def release_cell(row: CellRow) -> CellRow:
    """Return the row without an owner."""
    return msgspec.structs.replace(row, epoch=row.epoch + 1, owner="")

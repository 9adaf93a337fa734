"""Peer membership, derived from the time of each peer's last message."""

from dataclasses import dataclass, field

from ._messages import PeerState


@dataclass(frozen=True, slots=True)
class PeerRecord:
    """Newest message of a peer and its time of receipt on the local clock."""

    state: PeerState
    received_at: float


@dataclass(frozen=True, slots=True)
class PeerTable:
    """Known peers by name."""

    record_by_name: dict[str, PeerRecord] = field(default_factory=dict)


def apply_peer_state(table: PeerTable, state: PeerState, now: float) -> PeerTable:
    """Return ``table`` updated with a message received at ``now``.

    A message of the same incarnation with a heartbeat number that isn't higher has
    arrived late and is ignored. A message of another incarnation replaces the record.
    """
    known = table.record_by_name.get(state.name)
    is_same_incarnation = known and known.state.incarnation == state.incarnation
    if is_same_incarnation and state.beat <= known.state.beat:
        return table
    return PeerTable({**table.record_by_name, state.name: PeerRecord(state, now)})


def live_peers(table: PeerTable, now: float, timeout_s: float) -> tuple[PeerState, ...]:
    """Return the peers that aren't leaving and sent a message within ``timeout_s``."""
    return tuple(
        record.state
        for _, record in sorted(table.record_by_name.items())
        if now - record.received_at <= timeout_s and not record.state.is_leaving
    )


def remove_expired_peers(table: PeerTable, now: float, expiry_s: float) -> PeerTable:
    """Return ``table`` without peers whose last message is older than ``expiry_s``."""
    remaining = {
        name: record
        for name, record in table.record_by_name.items()
        if now - record.received_at <= expiry_s
    }
    return PeerTable(remaining)

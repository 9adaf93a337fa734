"""Which peers of the data centre are live, by their own messages."""

from dataclasses import dataclass, field

from ._messages import PeerState


@dataclass(frozen=True, slots=True)
class PeerView:
    """Hold a peer's newest message and when it came, on our clock."""

    state: PeerState
    heard_at: float


@dataclass(frozen=True, slots=True)
class PeerTable:
    """Hold peers by name."""

    by_name: dict[str, PeerView] = field(default_factory=dict)


def on_peer_state(table: PeerTable, state: PeerState, now: float) -> PeerTable:
    """Return ``table`` after a message.

    An older beat of the same incarnation came late and is passed over. Of two
    incarnations of a name the one heard last counts.
    """
    known = table.by_name.get(state.name)
    is_same = known and known.state.incarnation == state.incarnation
    if is_same and state.beat <= known.state.beat:
        return table
    return PeerTable({**table.by_name, state.name: PeerView(state, now)})


def live_peers(table: PeerTable, now: float, lapse_s: float) -> tuple[PeerState, ...]:
    """Return the peers heard within ``lapse_s`` that are not leaving."""
    return tuple(
        view.state
        for _, view in sorted(table.by_name.items())
        if now - view.heard_at <= lapse_s and not view.state.is_leaving
    )


def forget_silent(table: PeerTable, now: float, forget_s: float) -> PeerTable:
    """Return ``table`` without the peers silent for ``forget_s``."""
    kept = {n: v for n, v in table.by_name.items() if now - v.heard_at <= forget_s}
    return PeerTable(kept)

"""Peer membership, peer messages and configuration relay within a data centre."""

from ._config_source import CONFIG_HEAD_KEY, ConfigSource, config_key
from ._group import PEER_PERIOD_S, PEER_TIMEOUT_S, PeerGroup
from ._membership import (
    PeerRecord,
    PeerTable,
    apply_peer_state,
    live_peers,
    remove_expired_peers,
)
from ._messages import PeerState
from ._transport import PeerTransport

__all__ = [
    "CONFIG_HEAD_KEY",
    "PEER_PERIOD_S",
    "PEER_TIMEOUT_S",
    "ConfigSource",
    "PeerGroup",
    "PeerRecord",
    "PeerState",
    "PeerTable",
    "PeerTransport",
    "apply_peer_state",
    "config_key",
    "live_peers",
    "remove_expired_peers",
]

"""Membership and messages between the hosts of a data centre."""

from ._config_source import CONFIG_HEAD_KEY, ConfigSource, config_key
from ._group import PEER_LAPSE_S, PEER_PERIOD_S, PeerGroup
from ._membership import (
    PeerTable,
    PeerView,
    forget_silent,
    live_peers,
    on_peer_state,
)
from ._messages import PeerState
from ._transport import PeerTransport

__all__ = [
    "CONFIG_HEAD_KEY",
    "PEER_LAPSE_S",
    "PEER_PERIOD_S",
    "ConfigSource",
    "PeerGroup",
    "PeerState",
    "PeerTable",
    "PeerTransport",
    "PeerView",
    "config_key",
    "forget_silent",
    "live_peers",
    "on_peer_state",
]

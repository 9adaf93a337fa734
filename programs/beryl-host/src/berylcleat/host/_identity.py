"""Identity of this host process."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HostIdentity:
    """Id, data centre, incarnation and peer address of this host process."""

    host_id: str
    data_centre: str
    incarnation: str
    peer_address: str

"""State message that the hosts of a data centre send each other periodically."""

import msgspec

from berylcleat.model import ConfigDocument


class PeerState(msgspec.Struct, frozen=True, omit_defaults=True):
    """State of one process: identity, heartbeat, configuration version and status.

    ``document`` is set only while a live peer reports an older configuration or none.
    """

    name: str
    incarnation: str
    data_centre: str
    beat: int
    config_version: int = 0
    config_known: bool = False
    is_entry: bool = False
    is_leaving: bool = False
    leaving_workers: tuple[str, ...] = ()
    document: ConfigDocument | None = None

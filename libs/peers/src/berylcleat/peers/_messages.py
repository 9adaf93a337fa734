"""The one message that hosts of a data centre send each other, on a period."""

import msgspec

from berylcleat.model import ConfigDocument


class PeerState(msgspec.Struct, frozen=True, omit_defaults=True):
    """Tell peers what this process is, serves and knows.

    ``document`` is set only for peers that said they have an older version.
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

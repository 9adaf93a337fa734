"""Configuration version in force on a host, which never decreases."""

from dataclasses import dataclass, replace

from berylcleat.model import ConfigDocument


@dataclass(frozen=True, slots=True)
class ConfigFollower:
    """Configuration document in force on a host.

    ``is_known`` is false until the table or a peer has supplied a version. A host that
    starts during a platform outage has no previous version to compare with and must
    not serve before then.
    """

    document: ConfigDocument = ConfigDocument()
    is_known: bool = False


def apply_document(
    follower: ConfigFollower, document: ConfigDocument
) -> ConfigFollower:
    """Return ``follower`` with ``document`` in force unless it is older."""
    if document.version < follower.document.version:
        return replace(follower, is_known=True)
    return ConfigFollower(document, is_known=True)

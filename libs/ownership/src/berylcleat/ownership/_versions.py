"""Which configuration version is in force on a host: it only rises."""

from dataclasses import dataclass, replace

from berylcleat.model import ConfigDocument


@dataclass(frozen=True, slots=True)
class ConfigFollower:
    """Hold the document in force and whether it is known to be recent enough.

    A host that starts while the platform is out knows nothing of versions in force
    before: it may serve only after the table or a peer has told it one.
    """

    document: ConfigDocument = ConfigDocument()
    is_known: bool = False


def apply_document(
    follower: ConfigFollower, document: ConfigDocument
) -> ConfigFollower:
    """Return ``follower`` with ``document`` if that is not older."""
    if document.version < follower.document.version:
        return replace(follower, is_known=True)
    return ConfigFollower(document, is_known=True)

"""Source of the configuration: the table, or peers while the table is unavailable."""

import logging

import msgspec

from berylcleat.model import ConfigDocument
from berylcleat.ownership import ConfigFollower, apply_document
from berylcleat.ports import Changes

CONFIG_HEAD_KEY = "config/head"
logger = logging.getLogger(__name__)


def config_key(version: int) -> str:
    """Return the key of the immutable row that holds ``version``."""
    return f"config/{version}"


class ConfigSource:
    """Newest configuration received from the table or a peer.

    ``has_changed`` is set when the first document or a new version is adopted; the
    caller resets it.
    """

    def __init__(self):
        self.follower = ConfigFollower()
        self.has_changed = False

    def on_changes(self, changes: Changes) -> None:
        """Adopt a newer document from the table.

        A response without rows while no configuration is known means that none has
        been written: the empty document (version 0) is adopted.
        """
        for row in changes.rows:
            self.on_document(msgspec.json.decode(row.value, type=ConfigDocument))
        if not changes.rows and not self.follower.is_known:
            self.on_document(ConfigDocument())

    def on_document(self, document: ConfigDocument) -> None:
        """Adopt ``document`` unless it is older than the current one."""
        previous = self.follower
        self.follower = apply_document(previous, document)
        if self.follower.document.version != previous.document.version:
            self.has_changed = True
            logger.info("configuration version %d is active", document.version)
        elif not previous.is_known:
            self.has_changed = True

    def current(self) -> ConfigDocument:
        """Return the active document."""
        return self.follower.document

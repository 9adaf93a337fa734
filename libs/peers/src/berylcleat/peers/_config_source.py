"""Follow the configuration: from the table, or from peers when it is out."""

import logging

import msgspec

from berylcleat.model import ConfigDocument
from berylcleat.ownership import ConfigFollower, apply_document
from berylcleat.ports import Changes

CONFIG_HEAD_KEY = "config/head"
logger = logging.getLogger(__name__)


def config_key(version: int) -> str:
    """Return the key of the immutable row of ``version``."""
    return f"config/{version}"


class ConfigSource:
    """Keep the highest version heard of in force."""

    def __init__(self):
        self.follower = ConfigFollower()
        self.has_changed = False

    def on_changes(self, changes: Changes) -> None:
        """Take over a newer document from the table; its silence means version 0."""
        for row in changes.rows:
            self.on_document(msgspec.json.decode(row.value, type=ConfigDocument))
        if not changes.rows and not self.follower.is_known:
            self.on_document(ConfigDocument())

    def on_document(self, document: ConfigDocument) -> None:
        """Adopt ``document`` unless it is older than what is in force."""
        before = self.follower
        self.follower = apply_document(before, document)
        if self.follower.document.version != before.document.version:
            self.has_changed = True
            logger.info("configuration %d is in force", document.version)
        elif not before.is_known:
            self.has_changed = True

    def current(self) -> ConfigDocument:
        """Return the document in force."""
        return self.follower.document

"""Rows that can't be read, each logged once until it is readable again."""

import logging
from collections import OrderedDict

from berylcleat.model import MalformedValueError

# Rows remembered as logged; the oldest is logged again if it is still unreadable.
MAX_REMEMBERED_ROWS = 1000
logger = logging.getLogger(__name__)


class UnreadableRows:
    """Names of rows that are unreadable as they were read last."""

    def __init__(self):
        self._names: OrderedDict[str, None] = OrderedDict()

    def __contains__(self, name: str) -> bool:
        return name in self._names

    def add(self, name: str, error: MalformedValueError) -> None:
        """Remember an unreadable row, and log it if it wasn't one before."""
        if name in self._names:
            return
        self._names[name] = None
        if len(self._names) > MAX_REMEMBERED_ROWS:
            self._names.popitem(last=False)
        logger.error("%s can't be read: %s", name, error)

    def discard(self, name: str) -> None:
        """Forget a row that is readable."""
        self._names.pop(name, None)

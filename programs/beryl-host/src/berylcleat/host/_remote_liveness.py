"""Liveness of the owners in other data centres.

Hosts of a data centre observe each other's heartbeats. Between data centres only a
digest is read: the live owners of each data centre, which a few of its hosts write.
"""

import logging
from dataclasses import dataclass

import msgspec
import xxhash

from berylcleat.model import MalformedValueError, decode_json
from berylcleat.ports import StoreRow

from ._clock import now_s
from ._membership import Coverage
from ._records import DIGEST_HEARTBEAT_PREFIX, OWNERS_PREFIX, LiveOwnersRow

logger = logging.getLogger(__name__)
_live_owners_decoder = msgspec.json.Decoder(LiveOwnersRow)


@dataclass(slots=True)
class _Writer:
    """A host that writes the digest of its data centre."""

    data_centre: str
    heartbeat_at: float = float("-inf")
    owners: LiveOwnersRow = LiveOwnersRow({})


class RemoteLiveness:
    """Live owners of each data centre, as several of its hosts publish them."""

    def __init__(self):
        self._writer_by_host: dict[str, _Writer] = {}

    def on_row(self, row: StoreRow) -> None:
        """Apply a heartbeat or a list of live owners; other rows are ignored."""
        if row.key.startswith(DIGEST_HEARTBEAT_PREFIX):
            self._writer(row, DIGEST_HEARTBEAT_PREFIX).heartbeat_at = now_s()
        elif row.key.startswith(OWNERS_PREFIX):
            try:
                owners = decode_json(_live_owners_decoder, row.value)
            except MalformedValueError as error:
                logger.error("row %s can't be decoded: %s", row.key, error)
                return
            self._writer(row, OWNERS_PREFIX).owners = owners

    def _writer(self, row: StoreRow, prefix: str) -> _Writer:
        host_id = row.key.removeprefix(prefix)
        return self._writer_by_host.setdefault(host_id, _Writer(row.part))

    def is_live(
        self, data_centre: str, host_id: str, incarnation: str, coverage: Coverage
    ) -> bool:
        """Return whether a live writer of the data centre lists the owner."""
        return any(
            writer.owners.incarnation_by_host.get(host_id) == incarnation
            for writer in self._writer_by_host.values()
            if writer.data_centre == data_centre
            and coverage.is_recent(writer.heartbeat_at)
        )

    def live_data_centres(self, coverage: Coverage) -> set[str]:
        """Return the data centres with a live writer."""
        return {
            writer.data_centre
            for writer in self._writer_by_host.values()
            if coverage.is_recent(writer.heartbeat_at)
        }


def choose_adopting_data_centre(cell_id: str, live: set[str]) -> str:
    """Return the data centre whose hosts own a cell while its own has no live host."""
    return max(
        live, key=lambda name: xxhash.xxh64_intdigest(f"{name}/{cell_id}".encode())
    )

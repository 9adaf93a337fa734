"""Liveness of the owners in other data centres.

Hosts of a data centre observe each other's heartbeats. Between data centres only a
digest is read: the live owners of each data centre, which a few of its hosts write.
"""

import logging
from dataclasses import dataclass

import msgspec
import xxhash

from berylcleat.ports import StoreRow

from ._clock import now_s
from ._membership import Coverage
from ._records import LiveOwnersRow

logger = logging.getLogger(__name__)
_live_owners_decoder = msgspec.json.Decoder(LiveOwnersRow)


@dataclass(frozen=True, slots=True)
class _ObservedDigest:
    row: LiveOwnersRow
    observed_at: float


class RemoteLiveness:
    """Digests of live owners, by row key: several hosts of a data centre write one."""

    def __init__(self):
        self._digest_by_key: dict[str, _ObservedDigest] = {}

    def on_row(self, row: StoreRow) -> None:
        """Apply the digest that one host wrote for its data centre."""
        try:
            digest = _live_owners_decoder.decode(row.value)
        except msgspec.MsgspecError as error:
            logger.error("row %s of live owners can't be decoded: %s", row.key, error)
            return
        self._digest_by_key[row.key] = _ObservedDigest(digest, now_s())

    def is_live(
        self, data_centre: str, host_id: str, incarnation: str, coverage: Coverage
    ) -> bool:
        """Return whether a recent digest of the data centre lists the owner."""
        return any(
            digest.row.incarnation_by_host.get(host_id) == incarnation
            for digest in self._digest_by_key.values()
            if digest.row.data_centre == data_centre
            and coverage.is_recent(digest.observed_at)
        )

    def live_data_centres(self, coverage: Coverage) -> set[str]:
        """Return the data centres that at least one live host has a digest of."""
        return {
            digest.row.data_centre
            for digest in self._digest_by_key.values()
            if coverage.is_recent(digest.observed_at)
        }


def choose_adopting_data_centre(cell_id: str, live: set[str]) -> str:
    """Return the data centre whose hosts own a cell while its own has no live host."""
    return max(
        live, key=lambda name: xxhash.xxh64_intdigest(f"{name}/{cell_id}".encode())
    )

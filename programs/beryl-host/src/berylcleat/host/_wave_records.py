"""Shared records of maintenance waves, changed by conditional commits only."""

import logging

from berylcleat.model import MalformedValueError
from berylcleat.ports import Commit, CommitOutcome, Condition, RowWrite, Store
from berylcleat.scheduling import WaveRecord, decode_wave_record, encode_wave_record

MAINTENANCE_TABLE = "maintenance"
logger = logging.getLogger(__name__)


def _wave_key(wave_id: int) -> str:
    return f"wave-{wave_id}"


class WaveRecords:
    """Records of waves as this host read or wrote them last.

    ``by_wave`` lacks a wave whose record hasn't been read or can't be decoded. Methods
    raise ``PlatformUnavailableError`` and ``OutcomeUnknownError`` like the store; after
    a commit of unknown outcome, the next one conflicts and returns the present record.
    """

    def __init__(self, store: Store):
        self.by_wave: dict[int, WaveRecord] = {}
        self._store = store
        self._version_by_wave: dict[int, int] = {}
        self._n_bytes_by_wave: dict[int, int] = {}

    async def refresh(self, wave_id: int) -> None:
        """Read a record unless it is unchanged.

        Only its version is checked, since the record of a large wave holds tens of
        kilobytes: a conflict returns the present row.
        """
        outcome = await self._store.commit(Commit((self._condition(wave_id),)))
        if not outcome.applied:
            self._on_conflict(wave_id, outcome)
        elif not self._version_by_wave.get(wave_id):
            self.by_wave[wave_id] = WaveRecord()

    async def commit(
        self, wave_id: int, record: WaveRecord, writes: tuple[RowWrite, ...]
    ) -> bool:
        """Replace a record, and write other rows with it, unless it has changed.

        Returns whether it was replaced; if not, the present one is known now.
        """
        key = (MAINTENANCE_TABLE, "", _wave_key(wave_id))
        value = encode_wave_record(record)
        write = RowWrite(*key, value)
        commit = Commit((self._condition(wave_id),), (write, *writes))
        outcome = await self._store.commit(commit)
        if not outcome.applied:
            self._on_conflict(wave_id, outcome)
            return False
        self._version_by_wave[wave_id] = outcome.version
        self._n_bytes_by_wave[wave_id] = len(value)
        self.by_wave[wave_id] = record
        return True

    def n_bytes(self, wave_id: int) -> int:
        """Return the size of a record in its stored form, 0 if it isn't known."""
        return self._n_bytes_by_wave.get(wave_id, 0)

    def forget(self, wave_id: int) -> None:
        """Drop what is known of a record."""
        self.by_wave.pop(wave_id, None)
        self._version_by_wave.pop(wave_id, None)
        self._n_bytes_by_wave.pop(wave_id, None)

    def _condition(self, wave_id: int) -> Condition:
        version = self._version_by_wave.get(wave_id, 0)
        return Condition(MAINTENANCE_TABLE, "", _wave_key(wave_id), version)

    def _on_conflict(self, wave_id: int, outcome: CommitOutcome) -> None:
        self.forget(wave_id)
        for row in outcome.current:
            if row.key != _wave_key(wave_id):
                continue
            self._version_by_wave[wave_id] = row.version
            self._n_bytes_by_wave[wave_id] = len(row.value)
            try:
                self.by_wave[wave_id] = decode_wave_record(row.value)
            except MalformedValueError as error:
                logger.error(
                    "maintenance: record of wave %d can't be decoded: %s",
                    wave_id,
                    error,
                )

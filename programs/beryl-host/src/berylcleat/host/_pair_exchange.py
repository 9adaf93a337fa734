"""Exchange between hosts of what each has learnt of pairs of images.

Each host writes two rows: all its pairs, rarely, and often those that have changed
since. A reader that misses versions of either still ends with the newest values.
"""

import logging
from dataclasses import dataclass, field

import msgspec

from berylcleat.ports import Commit, RowWrite, Store, StoreRow
from berylcleat.scheduling import InterferenceModel

from ._clock import now_s
from ._identity import HostIdentity
from ._records import PAIR_PART, PAIR_TABLE, PairRow, PairsRow, encode

RECENT_SUFFIX = ".recent"
FULL_PERIOD_S = 10.0
# Log odds are published in steps of this size: they change with every reading.
LOG_ODDS_STEP = 0.5
logger = logging.getLogger(__name__)
_pairs_decoder = msgspec.json.Decoder(PairsRow)
LogOddsByPair = dict[tuple[str, str], float]


@dataclass(slots=True)
class _PeerPairs:
    """Published pairs of one host: all, and those that have changed since."""

    all: LogOddsByPair = field(default_factory=dict)
    recent: LogOddsByPair = field(default_factory=dict)


class PairExchange:
    """Writer of the pairs that this host has learnt, and reader of all others'."""

    def __init__(
        self, store: Store, identity: HostIdentity, interference: InterferenceModel
    ):
        self._store = store
        self._identity = identity
        self._interference = interference
        self._written_all: LogOddsByPair = {}
        self._written_recent: LogOddsByPair = {}
        self._written_all_at = float("-inf")
        self._pairs_by_host: dict[str, _PeerPairs] = {}

    async def publish(self) -> None:
        """Write the pairs that have changed, or all if that was long ago."""
        learnt = {
            pair: round(log_odds / LOG_ODDS_STEP) * LOG_ODDS_STEP
            for pair, log_odds in self._interference.learned_log_odds().items()
        }
        recent = {
            pair: log_odds
            for pair, log_odds in learnt.items()
            if log_odds != self._written_all.get(pair, 0.0)
        }
        if recent == self._written_recent:
            return
        if now_s() - self._written_all_at < FULL_PERIOD_S:
            await self._store.commit(Commit((), (self._recent_write(recent),)))
            self._written_recent = recent
            return
        full_write = self._write(self._identity.host_id, learnt)
        await self._store.commit(Commit((), (full_write, self._recent_write({}))))
        self._written_all, self._written_recent = learnt, {}
        self._written_all_at = now_s()

    def _recent_write(self, log_odds_by_pair: LogOddsByPair) -> RowWrite:
        return self._write(self._identity.host_id + RECENT_SUFFIX, log_odds_by_pair)

    def _write(self, key: str, log_odds_by_pair: LogOddsByPair) -> RowWrite:
        pairs = tuple(PairRow(*pair, value) for pair, value in log_odds_by_pair.items())
        row = PairsRow(self._identity.incarnation, pairs)
        return RowWrite(PAIR_TABLE, PAIR_PART, key, encode(row))

    def on_rows(self, rows: tuple[StoreRow, ...]) -> None:
        """Apply what other hosts, or this one before its restart, have learnt."""
        for row in rows:
            try:
                published = _pairs_decoder.decode(row.value)
            except msgspec.MsgspecError as error:
                logger.error("pairs of host %s can't be decoded: %s", row.key, error)
                continue
            if published.incarnation != self._identity.incarnation:
                log_odds_by_pair = {
                    (pair.filler, pair.serving): pair.log_odds
                    for pair in published.pairs
                }
                self._apply(row.key, log_odds_by_pair)

    def _apply(self, key: str, log_odds_by_pair: LogOddsByPair) -> None:
        host_id = key.removesuffix(RECENT_SUFFIX)
        pairs = self._pairs_by_host.setdefault(host_id, _PeerPairs())
        if key == host_id:
            pairs.all, pairs.recent = log_odds_by_pair, {}
        else:
            pairs.recent = log_odds_by_pair
        known = {**pairs.all, **pairs.recent}
        if host_id == self._identity.host_id:
            self._interference.restore(known)
        else:
            self._interference.set_peer_log_odds(host_id, known)

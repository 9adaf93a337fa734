"""Exchange of the interference that hosts have learnt of pairs of images.

Within a data centre each host writes two rows: one with all its pairs, every ten
seconds, and one with the pairs that have changed since, every second or so. A reader
that misses versions of either row still ends with the newest values. For the other data
centres one host writes the sum over all hosts of its own.
"""

import logging
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from berylcleat.model import MalformedValueError, decode_json
from berylcleat.ports import RowWrite, StoreRow
from berylcleat.scheduling import InterferenceModel

from ._identity import HostIdentity
from ._records import (
    DIGEST_TABLE,
    PAIRS_PREFIX,
    PairRow,
    PairsRow,
    data_centre_table,
    encode,
)

RECENT_SUFFIX = "/recent"
FULL_PERIOD_S = 10.0
# The period of a data centre's sum grows with the cells of the system, so that the sums
# that a host reads a second don't grow with them.
MIN_SUM_PERIOD_S = 1.0
SUM_PERIOD_PER_CELL_S = 0.125
# The same for the pairs of a host and the hosts of its data centre that publish some.
OWN_PERIOD_PER_HOST_S = 1 / 3
# Publishing is checked in steps, so a row is due this much earlier.
DUE_MARGIN_S = 0.1
# Log odds are published in steps of this size: they change with every reading.
LOG_ODDS_STEP = 0.5
# Bound on the sum that a data centre publishes: receivers bound all peers anyway.
MAX_SUM = 8.0
logger = logging.getLogger(__name__)
_pairs_decoder = msgspec.json.Decoder(PairsRow)
LogOddsByPair = dict[tuple[str, str], float]


@dataclass(slots=True)
class _PeerPairs:
    """Published pairs of one host: all, and those that have changed since."""

    all: LogOddsByPair = field(default_factory=dict)
    recent: LogOddsByPair = field(default_factory=dict)

    def known(self) -> LogOddsByPair:
        """Return the newest values."""
        return {**self.all, **self.recent}


class PairExchange:
    """Source of the pairs that this host has learnt, and reader of all others'."""

    def __init__(
        self,
        identity: HostIdentity,
        interference: InterferenceModel,
        rank: Callable[[], int | None],
        count_cells: Callable[[], int],
    ):
        self._identity = identity
        self._interference = interference
        self._rank = rank
        self._count_cells = count_cells
        self._table = data_centre_table(identity.data_centre)
        self._own_key = PAIRS_PREFIX + identity.host_id
        self._written = _PeerPairs()
        self._pending = _PeerPairs()
        self._due_at = float("-inf")
        self._full_due_at = float("-inf")
        self._sum_due_at = float("-inf")
        self._written_sum: LogOddsByPair = {}
        self._pending_sum: LogOddsByPair = {}
        self._pairs_by_host: dict[str, _PeerPairs] = {}

    def due_writes(self, now: float) -> list[RowWrite]:
        """Return this host's pairs, and the sum over the data centre, if due."""
        return [*self._own_writes(now), *self._sum_writes(now)]

    def is_urgent(self) -> bool:
        """Return False: what is learnt waits for the next heartbeat."""
        return False

    def on_written(self) -> None:
        """Remember which pairs, and which sum, are stored."""
        self._written = self._pending
        self._written_sum = self._pending_sum

    def _own_writes(self, now: float) -> list[RowWrite]:
        learnt = _quantize(self._interference.learned_log_odds())
        recent = {
            pair: learnt.get(pair, 0.0)
            for pair in learnt.keys() | self._written.all.keys()
            if learnt.get(pair, 0.0) != self._written.all.get(pair, 0.0)
        }
        self._pending = _PeerPairs(self._written.all, recent)
        if recent == self._written.recent or now < self._due_at:
            self._pending = self._written
            return []
        n_hosts = len(self._pairs_by_host) + 1
        self._due_at = now + n_hosts * OWN_PERIOD_PER_HOST_S - DUE_MARGIN_S
        if now < self._full_due_at:
            return [self._write(self._own_key + RECENT_SUFFIX, recent)]
        self._pending = _PeerPairs(learnt)
        self._full_due_at = now + FULL_PERIOD_S
        return [
            self._write(self._own_key, learnt),
            self._write(self._own_key + RECENT_SUFFIX, {}),
        ]

    def _write(self, key: str, log_odds_by_pair: LogOddsByPair) -> RowWrite:
        value = encode(self._make_row(log_odds_by_pair))
        return RowWrite(self._table, self._identity.data_centre, key, value)

    def _sum_writes(self, now: float) -> list[RowWrite]:
        self._pending_sum = self._written_sum
        if now < self._sum_due_at or self._rank() != 0:
            return []
        total = dict(self._interference.learned_log_odds())
        for pairs in self._pairs_by_host.values():
            for pair, log_odds in pairs.known().items():
                total[pair] = total.get(pair, 0.0) + log_odds
        total = _quantize(total)
        if total == self._written_sum:
            return []
        period_s = self._count_cells() * SUM_PERIOD_PER_CELL_S
        self._sum_due_at = now + max(MIN_SUM_PERIOD_S, period_s) - DUE_MARGIN_S
        self._pending_sum = total
        data_centre = self._identity.data_centre
        value = zlib.compress(encode(self._make_row(total)))
        return [RowWrite(DIGEST_TABLE, data_centre, PAIRS_PREFIX, value)]

    def _make_row(self, log_odds_by_pair: LogOddsByPair) -> PairsRow:
        pairs = tuple(PairRow(*pair, value) for pair, value in log_odds_by_pair.items())
        return PairsRow(self._identity.incarnation, pairs)

    def on_data_centre_rows(self, rows: tuple[StoreRow, ...]) -> None:
        """Apply what hosts of this data centre have learnt; ignore other rows."""
        for row in rows:
            if not row.key.startswith(PAIRS_PREFIX):
                continue
            published = _decode(row, row.value)
            if published and published.incarnation != self._identity.incarnation:
                self._apply(row.key, _log_odds_by_pair(published))

    def _apply(self, key: str, log_odds_by_pair: LogOddsByPair) -> None:
        host_key = key.removesuffix(RECENT_SUFFIX)
        if host_key == self._own_key:
            # This host learnt them before its restart.
            self._interference.restore(log_odds_by_pair)
            return
        pairs = self._pairs_by_host.setdefault(host_key, _PeerPairs())
        if key == host_key:
            pairs.all, pairs.recent = log_odds_by_pair, {}
        else:
            pairs.recent = log_odds_by_pair
        self._interference.set_peer_log_odds(host_key, pairs.known())

    def on_digest_rows(self, rows: tuple[StoreRow, ...]) -> None:
        """Apply the sums of the other data centres; ignore other rows."""
        for row in rows:
            is_own = row.part == self._identity.data_centre
            if row.key != PAIRS_PREFIX or is_own:
                continue
            try:
                value = zlib.decompress(row.value)
            except zlib.error as error:
                logger.error("pairs of %s can't be read: %s", row.part, error)
                continue
            published = _decode(row, value)
            if published:
                sums = _log_odds_by_pair(published)
                self._interference.set_peer_log_odds(f"centre {row.part}", sums)


def _quantize(log_odds_by_pair: LogOddsByPair) -> LogOddsByPair:
    """Return the log odds in steps and within the published bound; drop zeros."""
    bounded = {
        pair: max(-MAX_SUM, min(MAX_SUM, log_odds))
        for pair, log_odds in log_odds_by_pair.items()
    }
    steps = {
        pair: round(log_odds / LOG_ODDS_STEP) * LOG_ODDS_STEP
        for pair, log_odds in bounded.items()
    }
    return {pair: log_odds for pair, log_odds in steps.items() if log_odds}


def _decode(row: StoreRow, value: bytes) -> PairsRow | None:
    try:
        return decode_json(_pairs_decoder, value)
    except MalformedValueError as error:
        logger.error("pairs in row %s can't be decoded: %s", row.key, error)
        return None


def _log_odds_by_pair(row: PairsRow) -> LogOddsByPair:
    return {(pair.filler, pair.serving): pair.log_odds for pair in row.pairs}

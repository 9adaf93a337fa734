"""Learn which filling images disturb which serving images.

Interference is a property of a pair of images, and most pairs are harmless while the
others multiply the tail latency even at a small share of a worker. So each pair has a
verdict instead of a coefficient, as in Bubble-Flux (Yang et al., ISCA 2013) probed with
few tasks at first.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

# Tail latency relative to the target: calm below, disturbed above.
CALM_RATIO = 0.7
DISTURBED_RATIO = 1.0
# Calm readings after which a pair counts as mild.
N_CALM_READINGS = 2
# How long a pair stays suspected when several could be behind a disturbance.
SUSPECT_S = 4.0
# Share of a worker's processors below which a filler's effect would not show.
MIN_SHARE = 0.03


class Verdict(Enum):
    """Tell what is known of a filling image beside a serving image."""

    UNKNOWN = "unknown"
    MILD = "mild"
    SUSPECT = "suspect"
    HEAVY = "heavy"


@dataclass(frozen=True, slots=True)
class FillerUse:
    """Hold the share of a worker's processors that an image's fillers use."""

    image: str
    share: float


@dataclass(frozen=True, slots=True)
class ServingReading:
    """Hold a serving image's tail latency relative to its target."""

    image: str
    ratio: float


Pair = tuple[str, str]


class PairTable:
    """Hold the verdict on each pair (filling image, serving image)."""

    def __init__(self):
        self._verdict_by_pair: dict[Pair, Verdict] = {}
        self._n_calm_by_pair: dict[Pair, int] = {}
        self._suspected_at_by_pair: dict[Pair, float] = {}

    def verdict(self, filler: str, serving: str, now: float) -> Verdict:
        """Return what is known of a pair."""
        pair = (filler, serving)
        verdict = self._verdict_by_pair.get(pair, Verdict.UNKNOWN)
        if verdict is not Verdict.SUSPECT:
            return verdict
        is_fresh = now - self._suspected_at_by_pair[pair] < SUSPECT_S
        return Verdict.SUSPECT if is_fresh else Verdict.UNKNOWN

    def worst(self, filler: str, serving: Iterable[str], now: float) -> Verdict:
        """Return the worst verdict on ``filler`` beside any of ``serving``."""
        verdicts = {self.verdict(filler, image, now) for image in serving}
        for verdict in (Verdict.HEAVY, Verdict.SUSPECT, Verdict.UNKNOWN):
            if verdict in verdicts:
                return verdict
        return Verdict.MILD

    def observe(
        self,
        fillers: Iterable[FillerUse],
        readings: Iterable[ServingReading],
        now: float,
    ) -> None:
        """Learn from the readings of one worker and what filled beside them."""
        present = [filler for filler in fillers if filler.share >= MIN_SHARE]
        if not present:
            return
        for reading in readings:
            pairs = [(filler.image, reading.image) for filler in present]
            if reading.ratio < CALM_RATIO:
                self._note_calm(pairs)
            elif reading.ratio > DISTURBED_RATIO:
                self._blame(pairs, now)

    def heavy_pairs(self) -> tuple[Pair, ...]:
        """Return the pairs known to be heavy."""
        return self._pairs_with(Verdict.HEAVY)

    def mild_pairs(self) -> tuple[Pair, ...]:
        """Return the pairs known to be mild."""
        return self._pairs_with(Verdict.MILD)

    def merge(self, heavy: Iterable[Pair], mild: Iterable[Pair]) -> None:
        """Take in what another host has learnt; what is known here stays."""
        for pair in heavy:
            self._verdict_by_pair[pair] = Verdict.HEAVY
        for pair in mild:
            self._verdict_by_pair.setdefault(pair, Verdict.MILD)

    def _pairs_with(self, wanted: Verdict) -> tuple[Pair, ...]:
        return tuple(
            pair for pair, verdict in self._verdict_by_pair.items() if verdict is wanted
        )

    def _note_calm(self, pairs: list[Pair]) -> None:
        for pair in pairs:
            n_calm = self._n_calm_by_pair.get(pair, 0) + 1
            self._n_calm_by_pair[pair] = n_calm
            known = self._verdict_by_pair.get(pair)
            if known is not Verdict.HEAVY and n_calm >= N_CALM_READINGS:
                self._verdict_by_pair[pair] = Verdict.MILD

    def _blame(self, pairs: list[Pair], now: float) -> None:
        """Find the pair behind a disturbance: a heavy one explains it."""
        by_verdict: dict[Verdict, list[Pair]] = {}
        for pair in pairs:
            verdict = self.verdict(*pair, now)
            by_verdict.setdefault(verdict, []).append(pair)
        if Verdict.HEAVY in by_verdict:
            return
        doubtful = by_verdict.get(Verdict.UNKNOWN, [])
        doubtful += by_verdict.get(Verdict.SUSPECT, [])
        suspects = doubtful or by_verdict.get(Verdict.MILD, [])
        is_proof = len(suspects) == 1 and bool(doubtful)
        for pair in suspects:
            self._n_calm_by_pair.pop(pair, None)
            verdict = Verdict.HEAVY if is_proof else Verdict.SUSPECT
            self._verdict_by_pair[pair] = verdict
            self._suspected_at_by_pair[pair] = now

"""Learn which images disturb which serving images.

Interference is a property of a pair of images: most pairs are harmless, the others
multiply the tail latency even at a small share of a worker. Each pair has a
probability of being heavy. A reading is a noisy-OR of the pairs present (Pearl,
Probabilistic Reasoning in Intelligent Systems, 1988), so that a disturbance is
shared among its possible causes and a calm reading clears all of them.
"""

import logging
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

# Tail latency relative to the target: calm below, disturbed above.
CALM_RATIO = 0.7
DISTURBED_RATIO = 1.0
# Between the two a serving image's own load may be the cause: nothing is learnt.
BLAMED_RATIO = 1.5
# Share of a worker's processors below which a filler's effect would not show.
MIN_SHARE = 0.03
PRIOR_HEAVY = 0.25
# Probabilities of a disturbed reading with a heavy pair present, and with none. A heavy
# pair stays calm while the serving tasks have little load.
HIT = 0.6
NOISE = 0.03
MILD_BELOW = 0.1
HEAVY_ABOVE = 0.6
MAX_LOG_ODDS = 4.0
logger = logging.getLogger(__name__)


class Verdict(Enum):
    """Tell what is known of a filling image beside a serving image."""

    MILD = "mild"
    UNKNOWN = "unknown"
    HEAVY = "heavy"


@dataclass(frozen=True, slots=True)
class ImageUse:
    """Hold the share of a worker's processors that an image's tasks use.

    ``is_settled`` tells that they were at work through the whole span of a reading.
    """

    image: str
    share: float
    is_settled: bool = True


@dataclass(frozen=True, slots=True)
class ServingReading:
    """Hold a serving image's tail latency relative to its target."""

    image: str
    ratio: float


Pair = tuple[str, str]


def is_slow_worker(worst_by_image: Mapping[str, float]) -> bool:
    """Tell whether so much is disturbed that the worker itself must be slow."""
    n_disturbed = sum(ratio > BLAMED_RATIO for ratio in worst_by_image.values())
    return n_disturbed >= 2 and n_disturbed == len(worst_by_image)


def _pairs(uses: list[ImageUse], serving: str) -> list[Pair]:
    return [(use.image, serving) for use in uses if use.image != serving]


def _log_odds(probability: float) -> float:
    return math.log(probability / (1 - probability))


def _probability(log_odds: float) -> float:
    return 1 / (1 + math.exp(-log_odds))


class PairTable:
    """Hold the probability that each pair (filling image, serving image) is heavy.

    What other hosts have seen is kept apart by host, so that nothing counts twice.
    """

    def __init__(self):
        self._seen_by_pair: dict[Pair, float] = {}
        self._told_by_host: dict[str, Mapping[Pair, float]] = {}

    def probability(self, filler: str, serving: str) -> float:
        """Return the probability that the pair is heavy."""
        pair = (filler, serving)
        log_odds = _log_odds(PRIOR_HEAVY) + self._seen_by_pair.get(pair, 0.0)
        for told in self._told_by_host.values():
            log_odds += told.get(pair, 0.0)
        return _probability(max(-MAX_LOG_ODDS, min(MAX_LOG_ODDS, log_odds)))

    def worst_probability(self, filler: str, serving: Iterable[str]) -> float:
        """Return the highest probability of ``filler`` beside any of ``serving``."""
        return max((self.probability(filler, image) for image in serving), default=0.0)

    def worst(self, filler: str, serving: Iterable[str]) -> Verdict:
        """Return the verdict on ``filler`` beside all of ``serving``."""
        probability = self.worst_probability(filler, serving)
        if probability > HEAVY_ABOVE:
            return Verdict.HEAVY
        return Verdict.MILD if probability < MILD_BELOW else Verdict.UNKNOWN

    def observe(
        self, uses: Iterable[ImageUse], readings: Iterable[ServingReading]
    ) -> None:
        """Learn from the readings of one worker and what ran beside them."""
        present = list(uses)
        at_work = [f for f in present if f.is_settled and f.share >= MIN_SHARE]
        worst_by_image: dict[str, float] = {}
        for reading in readings:
            known = worst_by_image.get(reading.image, 0.0)
            worst_by_image[reading.image] = max(known, reading.ratio)
        is_slow = is_slow_worker(worst_by_image)
        for image, ratio in worst_by_image.items():
            if ratio < CALM_RATIO:
                self._clear(_pairs(at_work, image))
            elif ratio > BLAMED_RATIO and not is_slow:
                self._blame(ratio, _pairs(present, image))

    def seen(self) -> dict[Pair, float]:
        """Return what was learnt here, as log odds beyond the prior."""
        return self._seen_by_pair

    def restore(self, seen: Mapping[Pair, float]) -> None:
        """Take back what an earlier incarnation of this host had learnt."""
        for pair, log_odds in seen.items():
            self._seen_by_pair.setdefault(pair, log_odds)

    def tell(self, host_id: str, seen: Mapping[Pair, float]) -> None:
        """Take in all that another host has learnt."""
        self._told_by_host[host_id] = seen

    def _clear(self, pairs: list[Pair]) -> None:
        for pair in pairs:
            self._add(pair, math.log((1 - HIT) / (1 - NOISE)))

    def _blame(self, ratio: float, pairs: list[Pair]) -> None:
        if not pairs:
            return
        before = {pair: self.probability(*pair) for pair in pairs}
        for pair in pairs:
            calm = 1 - NOISE
            for other in pairs:
                if other != pair:
                    calm *= 1 - (HIT - NOISE) * before[other]
            self._add(pair, math.log(HIT / (1 - calm)))
        logger.info(
            "disturbed: %s at %.1f of its target: %s",
            pairs[0][1],
            ratio,
            " ".join(f"{pair[0]}={self.probability(*pair):.2f}" for pair in pairs),
        )

    def _add(self, pair: Pair, log_odds: float) -> None:
        total = self._seen_by_pair.get(pair, 0.0) + log_odds
        self._seen_by_pair[pair] = max(-MAX_LOG_ODDS, min(MAX_LOG_ODDS, total))

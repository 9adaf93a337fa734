"""Learn which images disturb which serving images.

Interference is a property of a pair of images: a filler adds load to what serves
beside it, little in most pairs and much in the heavy ones, in proportion to the
processor time it uses. The tail latency of a serving task follows its load as in a
queue: it grows with 1 / (1 - load) (Kleinrock, Queueing Systems, 1975). Each pair has
a probability of being heavy; a reading moves it by how much better one of the two
explains the load seen, given what all others present are expected to add.
"""

import logging
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

# Tail latency relative to the target above which a serving image is disturbed.
DISTURBED_RATIO = 1.0
# Above this ratio a reading is logged, and counts towards a worker that is slow itself.
STRONGLY_DISTURBED_RATIO = 1.5
# Share of a worker's processors below which a filler's effect would not show.
MIN_VISIBLE_SHARE = 0.03
PRIOR_HEAVY_PROBABILITY = 0.25
# Tail latency at no load, relative to the target: targets are six idle tails.
IDLE_RATIO = 0.17
# Load that fillers of a heavy and of a mild pair would add with all processors, as
# readings of both show (docs/design/platform.md).
HEAVY_ADDED_LOAD = 3.0
MILD_ADDED_LOAD = 0.2
# Readings beyond this load tell no more than that the queue is full.
MAX_LOAD = 0.95
# Load of a serving task whose own load is not known: the mean of a day; and standard
# deviations of loads read beside it, and beside a known one.
DEFAULT_OWN_LOAD = 0.48
DEFAULT_LOAD_STD = 0.2
KNOWN_LOAD_STD = 0.12
# Probabilities that a heavy pair presses at a moment, and that a mild one seems to:
# what a pair adds changes within seconds.
HEAVY_EFFECT_PROBABILITY = 0.6
FALSE_EFFECT_PROBABILITY = 0.03
# A reading that neither explains tells nothing.
MIN_LIKELIHOOD = 1e-6
MILD_BELOW = 0.1
HEAVY_ABOVE = 0.6
MAX_LOG_ODDS = 4.0
logger = logging.getLogger(__name__)


class InterferenceLevel(Enum):
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
    """Hold a serving image's tail latency relative to its target.

    ``own_load`` is the load without what disturbs it here, if that is known.
    """

    image: str
    ratio: float
    own_load: float | None = None


Pair = tuple[str, str]


def load_from_tail_ratio(ratio: float) -> float:
    """Return the load at which the tail is ``ratio`` times the target."""
    return max(0.0, 1 - IDLE_RATIO / ratio) if ratio > 0 else 0.0


def is_slow_worker(worst_by_image: Mapping[str, float]) -> bool:
    """Tell whether so much is disturbed that the worker itself must be slow."""
    n_disturbed = sum(
        ratio > STRONGLY_DISTURBED_RATIO for ratio in worst_by_image.values()
    )
    return n_disturbed >= 2 and n_disturbed == len(worst_by_image)


def _pairs(uses: list[ImageUse], serving: str) -> list[Pair]:
    return [(use.image, serving) for use in uses if use.image != serving]


def _log_odds(probability: float) -> float:
    return math.log(probability / (1 - probability))


def _probability(log_odds: float) -> float:
    return 1 / (1 + math.exp(-log_odds))


class InterferenceModel:
    """Hold the probability that each pair (filling image, serving image) is heavy.

    What other hosts have seen is kept apart by host, so that nothing counts twice.
    """

    def __init__(self):
        self._learned_by_pair: dict[Pair, float] = {}
        self._log_odds_by_peer: dict[str, Mapping[Pair, float]] = {}

    def probability(self, filler: str, serving: str) -> float:
        """Return the probability that the pair is heavy."""
        pair = (filler, serving)
        log_odds = _log_odds(PRIOR_HEAVY_PROBABILITY) + self._learned_by_pair.get(
            pair, 0.0
        )
        for told in self._log_odds_by_peer.values():
            log_odds += told.get(pair, 0.0)
        return _probability(max(-MAX_LOG_ODDS, min(MAX_LOG_ODDS, log_odds)))

    def worst_probability(self, filler: str, serving: Iterable[str]) -> float:
        """Return the highest probability of ``filler`` beside any of ``serving``."""
        return max((self.probability(filler, image) for image in serving), default=0.0)

    def worst_level(self, filler: str, serving: Iterable[str]) -> InterferenceLevel:
        """Return the verdict on ``filler`` beside all of ``serving``."""
        probability = self.worst_probability(filler, serving)
        if probability > HEAVY_ABOVE:
            return InterferenceLevel.HEAVY
        return (
            InterferenceLevel.MILD
            if probability < MILD_BELOW
            else InterferenceLevel.UNKNOWN
        )

    def observe(
        self, uses: Iterable[ImageUse], readings: Iterable[ServingReading]
    ) -> None:
        """Learn from the readings of one worker and what ran beside them."""
        present = [use for use in uses if use.share >= MIN_VISIBLE_SHARE]
        worst_by_image: dict[str, ServingReading] = {}
        for reading in readings:
            known = worst_by_image.get(reading.image)
            if known is None or reading.ratio > known.ratio:
                worst_by_image[reading.image] = reading
        ratios = {image: worst.ratio for image, worst in worst_by_image.items()}
        if is_slow_worker(ratios):
            return
        for image, reading in worst_by_image.items():
            self._learn(reading, [use for use in present if use.image != image])

    def learned_log_odds(self) -> dict[Pair, float]:
        """Return what was learnt here, as log odds beyond the prior."""
        return self._learned_by_pair

    def restore(self, seen: Mapping[Pair, float]) -> None:
        """Take back what an earlier incarnation of this host had learnt."""
        for pair, log_odds in seen.items():
            self._learned_by_pair.setdefault(pair, log_odds)

    def set_peer_log_odds(self, host_id: str, seen: Mapping[Pair, float]) -> None:
        """Take in all that another host has learnt."""
        self._log_odds_by_peer[host_id] = seen

    def _learn(self, reading: ServingReading, uses: list[ImageUse]) -> None:
        """Weigh for each pair present whether it is heavy, given all others."""
        load = min(load_from_tail_ratio(reading.ratio), MAX_LOAD)
        own_load = DEFAULT_OWN_LOAD if reading.own_load is None else reading.own_load
        spread = DEFAULT_LOAD_STD if reading.own_load is None else KNOWN_LOAD_STD
        added = {use.image: self._expected_load(use, reading.image) for use in uses}
        total = own_load + sum(added.values())
        for use in uses:
            others = total - added[use.image]
            if_mild = min(others + MILD_ADDED_LOAD * use.share, MAX_LOAD)
            if_heavy = min(others + HEAVY_ADDED_LOAD * use.share, MAX_LOAD)
            mild = math.exp(-(((load - if_mild) / spread) ** 2) / 2)
            heavy = math.exp(-(((load - if_heavy) / spread) ** 2) / 2)
            if_heavy_pair = (
                HEAVY_EFFECT_PROBABILITY * heavy + (1 - HEAVY_EFFECT_PROBABILITY) * mild
            )
            if_mild_pair = (
                FALSE_EFFECT_PROBABILITY * heavy + (1 - FALSE_EFFECT_PROBABILITY) * mild
            )
            if if_mild_pair < MIN_LIKELIHOOD:
                continue
            evidence = math.log(if_heavy_pair / if_mild_pair)
            if use.is_settled or evidence > 0:
                self._add((use.image, reading.image), evidence)
        if reading.ratio > STRONGLY_DISTURBED_RATIO and uses:
            self._log_disturbed(reading, uses)

    def _expected_load(self, use: ImageUse, serving: str) -> float:
        """Return the load that an image is expected to add."""
        probability = self.probability(use.image, serving)
        heavy = probability * HEAVY_ADDED_LOAD
        return use.share * (heavy + (1 - probability) * MILD_ADDED_LOAD)

    def _log_disturbed(self, reading: ServingReading, uses: list[ImageUse]) -> None:
        logger.info(
            "disturbed: %s at %.1f of its target, own load %s: %s",
            reading.image,
            reading.ratio,
            "unknown" if reading.own_load is None else f"{reading.own_load:.2f}",
            " ".join(
                f"{use.image}={self.probability(use.image, reading.image):.2f}"
                for use in uses
            ),
        )

    def _add(self, pair: Pair, log_odds: float) -> None:
        total = self._learned_by_pair.get(pair, 0.0) + log_odds
        self._learned_by_pair[pair] = max(-MAX_LOG_ODDS, min(MAX_LOG_ODDS, total))

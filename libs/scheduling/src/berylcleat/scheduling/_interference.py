"""Online model of the interference between co-located images.

Interference is a property of a pair of images: a filler adds load to a serving task on
the same worker, little in most (mild) pairs and much in the heavy ones, in proportion
to the processor time that it uses. Tail latency grows with 1 / (1 - load), as in a
queue (Kleinrock, Queueing Systems, 1975). Each pair has a probability of being heavy; a
reading updates its log odds by the likelihood ratio of the observed load under both
hypotheses, given the load that all other images present are expected to add.
"""

import logging
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

# Tail latency relative to the target above which a serving image is disturbed.
DISTURBED_RATIO = 1.0
# Ratio above which a reading is logged and counts as a sign that the worker is slow.
STRONGLY_DISTURBED_RATIO = 1.5
# Share of a worker's processors below which the load that an image adds is too small
# to show in a reading.
MIN_VISIBLE_SHARE = 0.03
PRIOR_HEAVY_PROBABILITY = 0.25
# Tail latency at no load, relative to the target: targets are six times the idle tail.
IDLE_RATIO = 0.17
# Load that a filler of a heavy and of a mild pair adds if it uses all processors, as
# measured on both (docs/design/platform.md).
HEAVY_ADDED_LOAD = 3.0
MILD_ADDED_LOAD = 0.2
# Loads are clipped here: readings above it show only that the queue is saturated.
MAX_LOAD = 0.95
# Own load of a serving task without an estimate: the mean of a day. The standard
# deviations are those of observed loads around the expected load, without and with an
# estimate of the own load.
DEFAULT_OWN_LOAD = 0.48
DEFAULT_LOAD_STD = 0.2
KNOWN_LOAD_STD = 0.12
# Probabilities that a reading shows the full effect of a heavy pair, and that a mild
# pair appears to have it: the load that a pair adds changes within seconds.
HEAVY_EFFECT_PROBABILITY = 0.6
FALSE_EFFECT_PROBABILITY = 0.03
# A reading is ignored below this likelihood, as neither hypothesis explains it.
MIN_LIKELIHOOD = 1e-6
MILD_BELOW = 0.1
HEAVY_ABOVE = 0.6
MAX_LOG_ODDS = 4.0
# Bound on the log odds that all other hosts contribute together. Their readings err
# alike, for example while a serving image has little load of its own, so that many
# hosts know hardly more than a few; a host's own readings must be able to prevail.
MAX_PEER_LOG_ODDS = 2.0
logger = logging.getLogger(__name__)


class InterferenceLevel(Enum):
    """Estimated interference of a filler image with a serving image."""

    MILD = "mild"
    UNKNOWN = "unknown"
    HEAVY = "heavy"


@dataclass(frozen=True, slots=True)
class ImageUse:
    """Share of a worker's processors that the tasks of an image use.

    ``covers_reading`` is true if all of them ran during the whole span of a reading.
    """

    image: str
    share: float
    covers_reading: bool = True


@dataclass(frozen=True, slots=True)
class ServingReading:
    """Tail latency of a serving image relative to its target.

    ``own_load`` is its load without the load that other tasks add, if known.
    """

    image: str
    ratio: float
    own_load: float | None = None


Pair = tuple[str, str]


def load_from_tail_ratio(ratio: float) -> float:
    """Return the load at which the tail latency is ``ratio`` times the target."""
    return max(0.0, 1 - IDLE_RATIO / ratio) if ratio > 0 else 0.0


def is_slow_worker(worst_by_image: Mapping[str, float]) -> bool:
    """Return whether at least two images, and all, are strongly disturbed."""
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


def _clip(value: float, limit: float) -> float:
    return max(-limit, min(limit, value))


PRIOR_LOG_ODDS = _log_odds(PRIOR_HEAVY_PROBABILITY)


class InterferenceModel:
    """Probability that each pair (filler image, serving image) is heavy.

    Log odds learned by other hosts are stored by host and replaced as a whole, so that
    no evidence counts twice. Their sum is kept by pair, so that a probability costs the
    same with any number of hosts.
    """

    def __init__(self):
        self._learned_by_pair: dict[Pair, float] = {}
        self._log_odds_by_peer: dict[str, Mapping[Pair, float]] = {}
        self._peer_sum_by_pair: dict[Pair, float] = {}

    def probability(self, filler: str, serving: str) -> float:
        """Return the probability that the pair is heavy."""
        pair = (filler, serving)
        peers = _clip(self._peer_sum_by_pair.get(pair, 0.0), MAX_PEER_LOG_ODDS)
        log_odds = PRIOR_LOG_ODDS + self._learned_by_pair.get(pair, 0.0) + peers
        return _probability(_clip(log_odds, MAX_LOG_ODDS))

    def worst_probability(self, filler: str, serving: Iterable[str]) -> float:
        """Return the highest probability that ``filler`` is heavy beside an image."""
        return max((self.probability(filler, image) for image in serving), default=0.0)

    def worst_level(self, filler: str, serving: Iterable[str]) -> InterferenceLevel:
        """Return the interference level of the pair most probably heavy."""
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
        """Update the pairs on one worker from its readings and image uses."""
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
            self._update_pairs(reading, [use for use in present if use.image != image])

    def learned_log_odds(self) -> dict[Pair, float]:
        """Return the log odds beyond the prior that this host has learned, by pair."""
        return self._learned_by_pair

    def restore(self, log_odds_by_pair: Mapping[Pair, float]) -> None:
        """Restore log odds that an earlier incarnation of this host learned."""
        for pair, log_odds in log_odds_by_pair.items():
            self._learned_by_pair.setdefault(pair, log_odds)

    def set_peer_log_odds(
        self, host_id: str, log_odds_by_pair: Mapping[Pair, float]
    ) -> None:
        """Replace the log odds learned by another host."""
        for pair, log_odds in self._log_odds_by_peer.get(host_id, {}).items():
            self._peer_sum_by_pair[pair] -= log_odds
        for pair, log_odds in log_odds_by_pair.items():
            known = self._peer_sum_by_pair.get(pair, 0.0)
            self._peer_sum_by_pair[pair] = known + log_odds
        self._log_odds_by_peer[host_id] = log_odds_by_pair

    def _update_pairs(self, reading: ServingReading, uses: list[ImageUse]) -> None:
        """Add the evidence of one reading to each pair present, given the others."""
        load = min(load_from_tail_ratio(reading.ratio), MAX_LOAD)
        own_load = DEFAULT_OWN_LOAD if reading.own_load is None else reading.own_load
        load_std = DEFAULT_LOAD_STD if reading.own_load is None else KNOWN_LOAD_STD
        added = {use.image: self._expected_load(use, reading.image) for use in uses}
        total = own_load + sum(added.values())
        for use in uses:
            others = total - added[use.image]
            load_if_mild = min(others + MILD_ADDED_LOAD * use.share, MAX_LOAD)
            load_if_heavy = min(others + HEAVY_ADDED_LOAD * use.share, MAX_LOAD)
            mild = math.exp(-(((load - load_if_mild) / load_std) ** 2) / 2)
            heavy = math.exp(-(((load - load_if_heavy) / load_std) ** 2) / 2)
            likelihood_if_heavy = (
                HEAVY_EFFECT_PROBABILITY * heavy + (1 - HEAVY_EFFECT_PROBABILITY) * mild
            )
            likelihood_if_mild = (
                FALSE_EFFECT_PROBABILITY * heavy + (1 - FALSE_EFFECT_PROBABILITY) * mild
            )
            if likelihood_if_mild < MIN_LIKELIHOOD:
                continue
            evidence = math.log(likelihood_if_heavy / likelihood_if_mild)
            if use.covers_reading or evidence > 0:
                self._add_evidence((use.image, reading.image), evidence)
        if reading.ratio > STRONGLY_DISTURBED_RATIO and uses:
            self._log_disturbed(reading, uses)

    def _expected_load(self, use: ImageUse, serving: str) -> float:
        """Return the load that an image is expected to add to a serving image."""
        probability = self.probability(use.image, serving)
        heavy = probability * HEAVY_ADDED_LOAD
        return use.share * (heavy + (1 - probability) * MILD_ADDED_LOAD)

    def _log_disturbed(self, reading: ServingReading, uses: list[ImageUse]) -> None:
        logger.info(
            "serving image disturbed: %s at %.1f times its target, own load %s, "
            "probabilities of heavy interference: %s",
            reading.image,
            reading.ratio,
            "unknown" if reading.own_load is None else f"{reading.own_load:.2f}",
            " ".join(
                f"{use.image}={self.probability(use.image, reading.image):.2f}"
                for use in uses
            ),
        )

    def _add_evidence(self, pair: Pair, log_odds: float) -> None:
        total = self._learned_by_pair.get(pair, 0.0) + log_odds
        self._learned_by_pair[pair] = _clip(total, MAX_LOG_ODDS)

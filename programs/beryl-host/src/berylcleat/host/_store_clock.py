"""Bound on the store's steady clock, from the answers that told it."""

from berylcleat.scheduling import CLOCK_DRIFT


class StoreClock:
    """Latest reading that the store's clock can show, from the closest answer."""

    def __init__(self):
        self._store_ms: float | None = None
        self._requested_at = 0.0

    def observe(self, store_ms: float | None, requested_at: float, now: float) -> None:
        """Take note of the reading in an answer to a call sent at ``requested_at``.

        It was taken after that. One that bounds the clock less closely than what is
        known is ignored, unless it shows that bound to be wrong.
        """
        if store_ms is None:
            return
        latest_ms = _add_s(store_ms, now - requested_at)
        if self._store_ms is None or not store_ms <= self.latest_ms(now) < latest_ms:
            self._store_ms = store_ms
            self._requested_at = requested_at

    def latest_ms(self, now: float) -> float:
        """Return what the clock shows at most at ``now``; 0 if it isn't known."""
        if self._store_ms is None:
            return 0.0
        return _add_s(self._store_ms, now - self._requested_at)


def _add_s(store_ms: float, seconds: float) -> float:
    """Return a reading of the store's clock, later by our seconds at most."""
    return store_ms + seconds * 1000 * (1 + CLOCK_DRIFT)


def shown_by(sent_ms: float, store_ms: float | None, now: float) -> float:
    """Return a time, at most ``now``, by which the clock had shown ``sent_ms``.

    It showed ``store_ms`` by ``now``; None if that isn't known.
    """
    if store_ms is None or not sent_ms:
        return now
    return now - max(0.0, store_ms - sent_ms) / 1000 / (1 + CLOCK_DRIFT)

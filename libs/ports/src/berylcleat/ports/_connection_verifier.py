"""Check that a connection to a worker can't reach a later incarnation of it.

A worker that starts again under its id accepts orders that were meant for the one
before, but no connection outlives an incarnation.
"""


class ConnectionVerifier:
    """Record of which connections to a worker reach the incarnation known last.

    Connections are numbered as they are established. One that was established before a
    request was sent reaches the incarnation that answered it, or one that had ended by
    then. Incarnations are named by their start times.
    """

    def __init__(self):
        self._incarnation_ms = -1
        self._last_verified = 0
        # Connections up to this number belong to incarnations that have ended.
        self.last_ended = 0

    def on_answer(self, incarnation_ms: int, n_established: int) -> None:
        """Take note that an incarnation has answered a request.

        ``n_established`` connections were established before the request was sent. A
        late answer of an earlier incarnation changes nothing.
        """
        if incarnation_ms < self._incarnation_ms:
            return
        if incarnation_ms > self._incarnation_ms:
            self.last_ended = self._last_verified
            self._incarnation_ms = incarnation_ms
        self._last_verified = max(self._last_verified, n_established)

    def reaches_only(self, number: int, incarnation_ms: int) -> bool:
        """Return whether a connection reaches an incarnation or nobody."""
        return (
            incarnation_ms == self._incarnation_ms
            and self.last_ended < number <= self._last_verified
        )

    def is_ended(self, incarnation_ms: int) -> bool:
        """Return whether a later incarnation has answered."""
        return incarnation_ms < self._incarnation_ms

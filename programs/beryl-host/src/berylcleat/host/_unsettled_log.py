"""Log of the workers on which runs of earlier owners may be unknown."""

import logging
from collections.abc import Mapping

# Workers that a log line names at most.
MAX_LOGGED_WORKERS = 4
logger = logging.getLogger(__name__)


class UnsettledLog:
    """Writer of a line whenever the workers that a cell waits for have changed."""

    def __init__(self, cell_id: str):
        self._cell_id = cell_id
        self._logged: frozenset[str] = frozenset()

    def update(self, unsettled_s_by_worker: Mapping[str, float]) -> None:
        """Log the workers, with the seconds until their runs have certainly ended."""
        worker_ids = frozenset(unsettled_s_by_worker)
        if worker_ids == self._logged:
            return
        self._logged = worker_ids
        named = sorted(unsettled_s_by_worker.items())[:MAX_LOGGED_WORKERS]
        logger.info(
            "cell %s: runs of earlier owners may be unknown on %d workers: %s",
            self._cell_id,
            len(worker_ids),
            ", ".join(f"{worker_id} for {s:.1f} s" for worker_id, s in named) or "none",
        )

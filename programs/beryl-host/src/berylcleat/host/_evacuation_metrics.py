"""Metrics of evacuated data centres, and the log line when a cell there is empty."""

import asyncio
import logging
from collections import Counter as TallyCounter
from collections.abc import Iterable

from prometheus_client import Counter, Gauge

from ._clock import now_s
from ._known_cells import KnownCells
from ._operator_state import OperatorState
from ._owned_cells import OwnedCell

CHECK_PERIOD_S = 0.5
# Time for the list of workers to be read before a data centre counts as unknown.
UNKNOWN_AFTER_S = 15.0
_evacuated_gauge = Gauge(
    "beryl_evacuated_data_centre",
    "1 for every data centre whose evacuation this host knows",
    ("data_centre",),
)
_running_gauge = Gauge(
    "beryl_evacuation_running_tasks",
    "Tasks still running in this host's cells of an evacuated data centre",
    ("data_centre",),
)
_moved_counter = Counter(
    "beryl_evacuation_moved_tasks",
    "Tasks that this host moved away from an evacuated data centre",
    ("data_centre",),
)
logger = logging.getLogger(__name__)


def count_moved_tasks(data_centre: str, n_tasks: int) -> None:
    """Count tasks that were moved away from an evacuated data centre."""
    _moved_counter.labels(data_centre).inc(n_tasks)


class EvacuationMetrics:
    """Observer of the evacuated data centres and of this host's cells there."""

    def __init__(
        self,
        state: OperatorState,
        known_cells: KnownCells,
        controller_by_cell: dict[str, OwnedCell],
    ):
        self._state = state
        self._known_cells = known_cells
        self._controller_by_cell = controller_by_cell
        self._published: set[str] = set()
        self._empty_cells: set[str] = set()
        self._unknown_since_by_data_centre: dict[str, float] = {}
        self._reported_unknown: set[str] = set()

    async def run(self) -> None:
        """Observe periodically until cancelled."""
        while True:
            self.observe(now_s())
            await asyncio.sleep(CHECK_PERIOD_S)

    def observe(self, now: float) -> None:
        """Update the metrics and log what has changed."""
        evacuated = self._state.evacuated
        self._report_unknown(evacuated, now)
        self._publish(evacuated, self._count_runs(evacuated, now))

    def _count_runs(self, evacuated: frozenset[str], now: float) -> TallyCounter[str]:
        """Return the runs by evacuated data centre; log which cells are empty now."""
        n_runs_by_data_centre: TallyCounter[str] = TallyCounter()
        empty_cells = set()
        for cell_id, controller in self._controller_by_cell.items():
            scheduler = controller.scheduler
            if scheduler is None or controller.data_centre not in evacuated:
                continue
            n_runs = scheduler.n_runs()
            n_runs_by_data_centre[controller.data_centre] += n_runs
            # Runs of an earlier owner may be unknown until the takeover has settled.
            if n_runs == 0 and scheduler.has_settled(now):
                empty_cells.add(cell_id)
                if cell_id not in self._empty_cells:
                    logger.info(
                        "evacuation: the last run in cell %s has ended, data centre %s",
                        cell_id,
                        controller.data_centre,
                    )
        self._empty_cells = empty_cells
        return n_runs_by_data_centre

    def _publish(
        self, evacuated: frozenset[str], n_runs_by_data_centre: TallyCounter[str]
    ) -> None:
        for name in evacuated:
            _evacuated_gauge.labels(name).set(1)
            _running_gauge.labels(name).set(n_runs_by_data_centre[name])
        self._remove_labels(self._published - evacuated)
        self._published = set(evacuated)

    def _remove_labels(self, names: Iterable[str]) -> None:
        for name in names:
            _evacuated_gauge.remove(name)
            _running_gauge.remove(name)

    def _report_unknown(self, evacuated: frozenset[str], now: float) -> None:
        """Log requests for data centres that have no cell."""
        unknown = evacuated - self._known_cells.data_centres()
        self._unknown_since_by_data_centre = {
            name: self._unknown_since_by_data_centre.get(name, now) for name in unknown
        }
        self._reported_unknown &= unknown
        for name, since in self._unknown_since_by_data_centre.items():
            if now - since >= UNKNOWN_AFTER_S and name not in self._reported_unknown:
                self._reported_unknown.add(name)
                logger.warning(
                    "evacuation of data centre %s has no effect: no worker is listed "
                    "there; check the name of the row",
                    name,
                )

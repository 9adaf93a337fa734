"""Metrics of the slow and failing workers in this host's cells."""

from contextlib import suppress

from prometheus_client import Gauge

from berylcleat.scheduling import CellScheduler

_slow_gauge = Gauge(
    "beryl_host_slow_workers", "Workers that count as slow", labelnames=("cell",)
)
_probation_gauge = Gauge(
    "beryl_host_workers_on_probation",
    "Workers that get few tasks after failures or outages",
    labelnames=("cell",),
)


def observe_uneven_workers(scheduler: CellScheduler) -> None:
    """Read the metrics of a cell from its scheduler from now on."""
    uneven_workers = scheduler.uneven_workers
    _slow_gauge.labels(scheduler.cell_id).set_function(uneven_workers.n_slow)
    _probation_gauge.labels(scheduler.cell_id).set_function(
        lambda: uneven_workers.n_on_probation(scheduler.worker_by_id)
    )


def ignore_uneven_workers(scheduler: CellScheduler) -> None:
    """Remove the metrics of a cell that this host no longer owns."""
    for gauge in (_slow_gauge, _probation_gauge):
        # Older versions of the library raise an error for a cell without metrics.
        with suppress(KeyError):
            gauge.remove(scheduler.cell_id)

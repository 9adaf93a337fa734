"""Prometheus metrics of the order by expected finish."""

from prometheus_client import Counter, Gauge

from berylcleat.scheduling import CellScheduler

from ._clock import now_s

UPDATE_PERIOD_S = 1.0
PROSPECT_NAMES = ("in-time", "late", "too-late")
_waiting_gauge = Gauge(
    "beryl_host_submissions_waiting",
    "Submissions with waiting tasks, by what is expected of their deadline",
    ("cell", "prospect"),
)
_ratio_gauge = Gauge(
    "beryl_host_step_time_ratio",
    "Learnt ratio of the time of a step to its estimate",
    ("cell", "queue", "kind"),
)
_moved_counter = Counter(
    "beryl_host_tasks_moved", "Tasks moved to other cells, by reason", ("reason",)
)
_yielded_counter = Counter(
    "beryl_host_runs_yielded",
    "Runs of long-running tasks stopped for short tasks",
    ("cell",),
)


def count_moved(reason: str, n_tasks: int) -> None:
    """Count tasks whose move is recorded."""
    _moved_counter.labels(reason).inc(n_tasks)


class OrderMetrics:
    """Metrics of one cell, which are removed when its ownership ends."""

    def __init__(self, cell_id: str):
        self._cell_id = cell_id
        self._updated_at = float("-inf")
        self._n_yielded = 0

    def update(self, scheduler: CellScheduler) -> None:
        """Update the metrics once a second."""
        now = now_s()
        if scheduler.finish_order is None or now - self._updated_at < UPDATE_PERIOD_S:
            return
        self._updated_at = now
        for rank, n in scheduler.finish_order.counts().items():
            _waiting_gauge.labels(self._cell_id, PROSPECT_NAMES[rank]).set(n)
        ratios = scheduler.estimator.run_times.ratios(now)
        for (queue, fills), ratio in ratios.items():
            kind = "filler" if fills else "ordinary"
            _ratio_gauge.labels(self._cell_id, queue, kind).set(ratio)
        n_yielded = scheduler.preemption.n_yielded
        _yielded_counter.labels(self._cell_id).inc(n_yielded - self._n_yielded)
        self._n_yielded = n_yielded

    def clear(self) -> None:
        """Remove the metrics of the cell from this process."""
        for gauge in (_waiting_gauge, _ratio_gauge):
            for labels in [s.labels for m in gauge.collect() for s in m.samples]:
                if labels["cell"] == self._cell_id:
                    gauge.remove(*labels.values())

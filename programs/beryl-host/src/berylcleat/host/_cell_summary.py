"""Load summary of an owned cell, and its periodic log lines."""

import logging
from collections import Counter

from berylcleat.scheduling import (
    BacklogMeter,
    CellScheduler,
    FillerHeadroom,
    WorkerView,
    find_rooms,
)

from ._records import CellSummary

logger = logging.getLogger(__name__)


def make_summary(
    scheduler: CellScheduler,
    data_centre: str,
    now: float,
    meter: BacklogMeter | None = None,
) -> CellSummary:
    """Return the load summary of a cell, with its backlog if there is a meter.

    After an evacuation only a growing share of the free capacity is published: other
    hosts base decisions on loads of up to 2 s ago, and would all send their work to an
    empty data centre at once.
    """
    views = [v for v in scheduler.worker_by_id.values() if v.can_start(now)]
    views.sort(key=lambda view: view.entry.rack)
    n_by_rack = Counter(view.entry.rack for view in views)
    live = scheduler.submissions.live_by_id.values()
    fill_waiting = sum(
        len(ready.waiting) * ready.step.demand.cpu_millis
        for tracked in live
        for ready in tracked.ready_by_step.values()
        if ready.step.fills
    )
    evacuation = scheduler.evacuation
    share = 1.0 if evacuation is None else evacuation.capacity_share(now)
    free_by_worker = tuple(int(v.effective_free_millis() * share) for v in views)
    avoided = scheduler.avoided_capacity(now)
    backlog = None
    if meter is not None:
        backlog = meter.count(live, scheduler.run_by_task.values(), views, now)
    return CellSummary(
        service=_service(scheduler, views),
        data_centre=data_centre,
        cpu_capacity=sum(v.effective_cpu_millis() for v in views),
        cpu_free=sum(free_by_worker),
        cpu_waiting=scheduler.waiting_cpu(),
        cpu_stuck=scheduler.stuck_cpu(now),
        filler_rooms=_share_headrooms(scheduler.filler_headrooms(), share),
        fill_waiting=fill_waiting,
        pending_by_queue=scheduler.submissions.n_pending_by_queue(),
        free_by_worker=free_by_worker,
        backlog=backlog,
        n_workers_by_rack=tuple(n_by_rack.values()) if len(n_by_rack) > 1 else (),
        avoided_capacity=avoided.total,
        avoided_free=int(avoided.free * share),
        rooms=find_rooms(views),
    )


def _service(scheduler: CellScheduler, usable: list[WorkerView]) -> str:
    """Return the service of a cell's workers, also while none is usable."""
    views = usable or [v for v in scheduler.worker_by_id.values() if v.is_listed]
    return views[0].entry.service if views else ""


def _share_headrooms(
    headrooms: tuple[FillerHeadroom, ...], share: float
) -> tuple[FillerHeadroom, ...]:
    if share >= 1.0:
        return headrooms
    return tuple(
        FillerHeadroom(item.serving_images, int(item.cpu_left * share))
        for item in headrooms
    )


def log_load(scheduler: CellScheduler, now: float) -> None:
    """Log the load of each worker, and what waits and why."""
    for view in scheduler.worker_by_id.values():
        logger.info(
            "load: worker %s free %d of %d left %d, serving %d, filling %d, "
            "latency ratios %s",
            view.entry.worker_id,
            view.free().cpu_millis,
            view.entry.capacity.cpu_millis,
            view.cpu_left(),
            len(view.serving_runs()),
            len(view.filler_runs()),
            " ".join(f"{r.image}={r.ratio:.2f}" for r in view.readings()),
        )
    for ready in scheduler.submissions.ready_steps(now):
        logger.info(
            "waiting: %d tasks, the first is %s (filler %s, long-running %s): %s%s%s%s",
            len(ready.waiting),
            ready.task(min(ready.waiting)),
            ready.step.fills,
            ready.step.is_long_running,
            scheduler.explain_waiting(ready, now),
            scheduler.explain_other_cells(ready),
            scheduler.explain_stay(ready, now),
            scheduler.explain_record(ready),
        )

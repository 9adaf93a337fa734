"""Load of a cell as its owner counts it for the other hosts."""

from berylcleat.scheduling import BacklogMeter, CellScheduler

from ._records import CellSummary


def make_summary(
    scheduler: CellScheduler, data_centre: str, meter: BacklogMeter | None, now: float
) -> CellSummary:
    """Return the load summary of a cell, with its backlog if there is a meter."""
    views = [v for v in scheduler.worker_by_id.values() if v.can_start(now)]
    live = scheduler.submissions.live_by_id.values()
    fill_waiting = sum(
        len(ready.waiting) * ready.step.demand.cpu_millis
        for tracked in live
        for ready in tracked.ready_by_step.values()
        if ready.step.fills
    )
    free_by_worker = tuple(max(0, v.free().cpu_millis) for v in views)
    backlog = None
    if meter is not None:
        backlog = meter.count(live, scheduler.run_by_task.values(), views, now)
    return CellSummary(
        service=views[0].entry.service if views else "",
        data_centre=data_centre,
        cpu_capacity=sum(v.entry.capacity.cpu_millis for v in views),
        cpu_free=sum(free_by_worker),
        cpu_waiting=scheduler.waiting_cpu(),
        cpu_stuck=scheduler.stuck_cpu(now),
        filler_rooms=scheduler.filler_headrooms(),
        fill_waiting=fill_waiting,
        pending_by_queue=scheduler.submissions.n_pending_by_queue(),
        free_by_worker=free_by_worker,
        backlog=backlog,
    )

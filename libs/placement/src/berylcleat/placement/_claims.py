"""Choice of how many tasks of each job a cell claims."""

from collections.abc import Mapping
from dataclasses import dataclass

from berylcleat.model import (
    URGENT_PRIORITY,
    EffectivePolicy,
    JobSpec,
    Resources,
    parse_selector,
)

from ._base import PlacementView
from ._packing import free_by_worker

MAX_CLAIM_TASKS = 64
# No further job is considered from this many claims on; the last one may exceed it.
MAX_CLAIMS = 16


@dataclass(frozen=True, slots=True)
class OpenJob:
    """Job with tasks that no cell has claimed, and its effective steering."""

    spec: JobSpec
    steering: EffectivePolicy
    n_unclaimed: int


@dataclass(frozen=True, slots=True)
class CellClaim:
    """Claim of a cell on the next ``n_tasks`` tasks of a job."""

    cell_id: str
    job_id: str
    n_tasks: int


def choose_claims(
    jobs: list[OpenJob], view_by_cell: Mapping[str, PlacementView]
) -> tuple[CellClaim, ...]:
    """Return the claims that each cell should make, highest job priority first.

    Claims fit the cells' free capacity; an urgent job that fits nowhere in a cell may
    claim capacity that preemption can free.
    """
    free_by_cell = {
        cell_id: _free_after_queue(view) for cell_id, view in view_by_cell.items()
    }
    claims: list[CellClaim] = []
    for job in _sort_by_urgency(jobs):
        claims.extend(_claim_job(job, view_by_cell, free_by_cell))
        if len(claims) >= MAX_CLAIMS:
            break
    return tuple(claims)


def _sort_by_urgency(jobs: list[OpenJob]) -> list[OpenJob]:
    """Return the jobs that are not retired, by priority, then deadline."""
    active = [job for job in jobs if not job.steering.retired]
    return sorted(
        active,
        key=lambda job: (
            -job.steering.priority,
            job.spec.deadline_s or float("inf"),
            job.spec.job_id,
        ),
    )


def _claim_job(
    job: OpenJob,
    view_by_cell: Mapping[str, PlacementView],
    free_by_cell: dict[str, dict[str, Resources]],
) -> list[CellClaim]:
    """Return the claims on one job, cell by cell, and deduct their capacity."""
    n_unclaimed = job.n_unclaimed
    claims = []
    for cell_id, view in view_by_cell.items():
        if n_unclaimed <= 0:
            break
        n_tasks = _reserve_capacity(job, view, free_by_cell[cell_id], n_unclaimed)
        if n_tasks:
            claims.append(CellClaim(cell_id, job.spec.job_id, n_tasks))
            n_unclaimed -= n_tasks
    return claims


def _free_after_queue(view: PlacementView) -> dict[str, Resources]:
    """Return the free capacity by worker id after first-fit placement of the queue.

    An estimate: selectors and priorities of the queued tasks are ignored.
    """
    free = free_by_worker(view)
    for task in view.queue:
        for worker_id, capacity in free.items():
            if task.declared.fits_in(capacity):
                free[worker_id] = capacity - task.declared
                break
    return free


def _reserve_capacity(
    job: OpenJob, view: PlacementView, free: dict[str, Resources], n_wanted: int
) -> int:
    """Return how many tasks the cell can claim; deduct their capacity from ``free``.

    If no task of an urgent job fits, counts those that would fit after preemption, and
    deducts nothing.
    """
    selector = parse_selector(job.steering.placement)
    per_task = job.spec.per_task
    max_tasks = min(n_wanted, MAX_CLAIM_TASKS)
    n_reserved = 0
    for worker_id in free:
        if not selector.matches(view.worker_by_id[worker_id].labels):
            continue
        while n_reserved < max_tasks and per_task.fits_in(free[worker_id]):
            free[worker_id] -= per_task
            n_reserved += 1
    if n_reserved == 0 and job.steering.priority >= URGENT_PRIORITY:
        return _count_fitting_after_preemption(job, view, max_tasks)
    return n_reserved


def _count_fitting_after_preemption(
    job: OpenJob, view: PlacementView, max_tasks: int
) -> int:
    """Return how many tasks would fit if all of lower priority were preempted.

    Counts at most one per worker, less the queued tasks of at least this priority.
    """
    selector = parse_selector(job.steering.placement)
    n_fitting = 0
    for worker in view.worker_by_id.values():
        if not worker.accepts_tasks or not selector.matches(worker.labels):
            continue
        free = worker.capacity - worker.reserved
        for task in worker.running:
            if task.priority >= job.steering.priority:
                free -= task.declared
        n_fitting += job.spec.per_task.fits_in(free)
    n_queued = sum(task.priority >= job.steering.priority for task in view.queue)
    return max(0, min(n_fitting - n_queued, max_tasks))

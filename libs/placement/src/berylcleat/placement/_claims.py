"""Choose how many tasks of which job a cell takes in."""

from collections.abc import Mapping
from dataclasses import dataclass

from berylcleat.model import (
    URGENT_PRIORITY,
    JobSpec,
    Resources,
    Steering,
    parse_selector,
)

from ._base import PlacementView
from ._packing import free_by_worker

MAX_CLAIM_TASKS = 64
MAX_CLAIMS = 16


@dataclass(frozen=True, slots=True)
class OpenJob:
    """Hold a job with tasks that no cell has claimed, and its steering in force."""

    spec: JobSpec
    steering: Steering
    n_unclaimed: int


@dataclass(frozen=True, slots=True)
class CellClaim:
    """Give a cell the next ``n_tasks`` of a job."""

    cell_id: str
    job_id: str
    n_tasks: int


def choose_claims(
    jobs: list[OpenJob], view_by_cell: Mapping[str, PlacementView]
) -> tuple[CellClaim, ...]:
    """Return what the cells have room for, the highest priority first."""
    free_by_cell = {
        cell_id: _free_after_queue(view) for cell_id, view in view_by_cell.items()
    }
    claims: list[CellClaim] = []
    for job in _in_order(jobs):
        claims.extend(_claims_of(job, view_by_cell, free_by_cell))
        if len(claims) >= MAX_CLAIMS:
            break
    return tuple(claims)


def _in_order(jobs: list[OpenJob]) -> list[OpenJob]:
    """Return the jobs by priority, then deadline, those retired left out."""
    kept = [job for job in jobs if not job.steering.retired]
    return sorted(
        kept,
        key=lambda job: (
            -job.steering.priority,
            job.spec.deadline_s or float("inf"),
            job.spec.job_id,
        ),
    )


def _claims_of(
    job: OpenJob,
    view_by_cell: Mapping[str, PlacementView],
    free_by_cell: dict[str, dict[str, Resources]],
) -> list[CellClaim]:
    n_left = job.n_unclaimed
    claims = []
    for cell_id, view in view_by_cell.items():
        if n_left <= 0:
            break
        n_tasks = _take_room(job, view, free_by_cell[cell_id], n_left)
        if n_tasks:
            claims.append(CellClaim(cell_id, job.spec.job_id, n_tasks))
            n_left -= n_tasks
    return claims


def _free_after_queue(view: PlacementView) -> dict[str, Resources]:
    """Return the room left once the cell's own queue has been served."""
    free = free_by_worker(view)
    for task in view.queue:
        for worker_id, room in free.items():
            if task.declared.fits_in(room):
                free[worker_id] = room - task.declared
                break
    return free


def _take_room(
    job: OpenJob, view: PlacementView, free: dict[str, Resources], n_wanted: int
) -> int:
    """Return how many tasks fit, and take their room out of ``free``."""
    selector = parse_selector(job.steering.placement)
    per_task = job.spec.per_task
    n_most = min(n_wanted, MAX_CLAIM_TASKS)
    n_taken = 0
    for worker_id in free:
        if not selector.matches(view.worker_by_id[worker_id].labels):
            continue
        while n_taken < n_most and per_task.fits_in(free[worker_id]):
            free[worker_id] -= per_task
            n_taken += 1
    if n_taken == 0 and job.steering.priority >= URGENT_PRIORITY:
        return _preemptible(job, view, n_most)
    return n_taken


def _preemptible(job: OpenJob, view: PlacementView, n_most: int) -> int:
    """Return how many urgent tasks would fit if lower priorities made room."""
    selector = parse_selector(job.steering.placement)
    n_fitting = 0
    for worker in view.worker_by_id.values():
        if not worker.is_open or not selector.matches(worker.labels):
            continue
        room = worker.capacity - worker.reserved
        for task in worker.running:
            if task.priority >= job.steering.priority:
                room -= task.declared
        n_fitting += job.spec.per_task.fits_in(room)
    n_queued = sum(task.priority >= job.steering.priority for task in view.queue)
    return max(0, min(n_fitting - n_queued, n_most))

"""Follow submitted jobs and choose what to claim for a cell."""

from dataclasses import dataclass

import msgspec

from berylcleat.model import (
    URGENT_PRIORITY,
    ConfigDocument,
    JobSpec,
    Resources,
    Steering,
    parse_selector,
    steer,
)
from berylcleat.ownership import Claim, DoneRow, JobRow
from berylcleat.placement import PlacementView, free_by_worker
from berylcleat.ports import Changes

JOB_PREFIX = "job/"
DONE_PREFIX = "done/"
MAX_CLAIM_TASKS = 64
MAX_CLAIMS_PER_TICK = 16


def job_key(job_id: str) -> str:
    """Return the key of a job's row."""
    return JOB_PREFIX + job_id


def done_key(job_id: str, first: int) -> str:
    """Return the key of a settled claim's row."""
    return f"{DONE_PREFIX}{job_id}/{first}"


def steer_job(spec: JobSpec, document: ConfigDocument) -> Steering:
    """Return the steering in force for a job."""
    base = Steering(spec.priority, spec.placement, spec.retired)
    return steer(base, "job", spec.labels, document.rules)


@dataclass(frozen=True, slots=True)
class ListedJob:
    """Hold a job's row and its table version."""

    row: JobRow
    version: int

    @property
    def n_unclaimed(self) -> int:
        """Return how many tasks no cell has claimed."""
        return self.row.spec.n_tasks - self.row.n_claimed


class JobBoard:
    """Keep jobs and settled claims by id, from the table's changes."""

    def __init__(self):
        self.job_by_id: dict[str, ListedJob] = {}
        self.open_by_id: dict[str, ListedJob] = {}
        self.done_by_key: dict[str, DoneRow] = {}
        self._cancelled: set[str] = set()

    def on_jobs(self, changes: Changes) -> None:
        """Note changed jobs."""
        for row in changes.rows:
            job = ListedJob(msgspec.json.decode(row.value, type=JobRow), row.version)
            self.put(job)
            if job.row.state == "cancelled":
                self._cancelled.add(job.row.spec.job_id)

    def on_done(self, changes: Changes) -> None:
        """Note settled claims."""
        for row in changes.rows:
            self.done_by_key[row.key] = msgspec.json.decode(row.value, type=DoneRow)

    def take_cancelled(self) -> frozenset[str]:
        """Return the jobs found cancelled since the last call."""
        found, self._cancelled = frozenset(self._cancelled), set()
        return found

    def put(self, job: ListedJob) -> None:
        """Note a job's newest row."""
        job_id = job.row.spec.job_id
        known = self.job_by_id.get(job_id)
        if known and known.version > job.version:
            return
        self.job_by_id[job_id] = job
        if job.row.state == "open" and job.n_unclaimed > 0:
            self.open_by_id[job_id] = job
        else:
            self.open_by_id.pop(job_id, None)

    def progress_of(self, job_id: str) -> tuple[DoneRow, ...]:
        """Return the settled claims of a job."""
        prefix = f"{DONE_PREFIX}{job_id}/"
        return tuple(d for key, d in self.done_by_key.items() if key.startswith(prefix))

    def choose_claims(
        self, view_by_cell: dict[str, PlacementView], document: ConfigDocument
    ) -> tuple[Claim, ...]:
        """Return what the cells have room for, the highest priority first."""
        claims: list[Claim] = []
        free_by_cell = {
            cell_id: _free_after_queue(view) for cell_id, view in view_by_cell.items()
        }
        for job in self._in_order(document):
            claims.extend(self._claims_of(job, view_by_cell, free_by_cell, document))
            if len(claims) >= MAX_CLAIMS_PER_TICK:
                break
        return tuple(claims)

    def _in_order(self, document: ConfigDocument) -> list[ListedJob]:
        steered = [
            (steer_job(job.row.spec, document), job) for job in self.open_by_id.values()
        ]
        kept = [(s, job) for s, job in steered if not s.retired]
        kept.sort(key=lambda item: (-item[0].priority, item[1].row.spec.job_id))
        return [job for _, job in kept]

    def _claims_of(
        self,
        job: ListedJob,
        view_by_cell: dict[str, PlacementView],
        free_by_cell: dict[str, dict[str, Resources]],
        document: ConfigDocument,
    ) -> list[Claim]:
        spec = job.row.spec
        steering = steer_job(spec, document)
        first = job.row.n_claimed
        claims = []
        for cell_id, view in view_by_cell.items():
            n_left = spec.n_tasks - first
            if n_left <= 0:
                break
            n_tasks = _take_room(spec, steering, view, free_by_cell[cell_id], n_left)
            if n_tasks:
                claims.append(Claim(cell_id, spec, first, n_tasks))
                first += n_tasks
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
    spec: JobSpec,
    steering: Steering,
    view: PlacementView,
    free: dict[str, Resources],
    n_wanted: int,
) -> int:
    """Return how many tasks fit, and take their room out of ``free``."""
    selector = parse_selector(steering.placement)
    n_most = min(n_wanted, MAX_CLAIM_TASKS)
    n_taken = 0
    for worker_id in free:
        if not selector.matches(view.worker_by_id[worker_id].labels):
            continue
        while n_taken < n_most and spec.per_task.fits_in(free[worker_id]):
            free[worker_id] -= spec.per_task
            n_taken += 1
    if n_taken == 0 and steering.priority >= URGENT_PRIORITY:
        return _preemptible(spec, steering, view, n_most)
    return n_taken


def _preemptible(
    spec: JobSpec, steering: Steering, view: PlacementView, n_most: int
) -> int:
    """Return how many urgent tasks would fit if lower priorities made room."""
    n_fitting = 0
    selector = parse_selector(steering.placement)
    for worker in view.worker_by_id.values():
        if not worker.is_open or not selector.matches(worker.labels):
            continue
        room = worker.capacity - worker.reserved
        for task in worker.running:
            if task.priority >= steering.priority:
                room -= task.declared
        n_fitting += spec.per_task.fits_in(room)
    n_queued = sum(task.priority >= steering.priority for task in view.queue)
    return max(0, min(n_fitting - n_queued, n_most))

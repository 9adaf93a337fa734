"""Follow submitted jobs and choose what to claim for a cell."""

from dataclasses import dataclass

import msgspec

from berylcleat.model import ConfigDocument, JobSpec, Steering, steer
from berylcleat.ownership import Adopt, Claim, DoneRow, JobRow
from berylcleat.placement import OpenJob, PlacementView, choose_claims
from berylcleat.ports import Changes

JOB_PREFIX = "job/"
DONE_PREFIX = "done/"


def job_key(job_id: str) -> str:
    """Return the key of a job's row."""
    return JOB_PREFIX + job_id


def done_key(job_id: str, first: int, attempt: int) -> str:
    """Return the key of a settled claim's row.

    A returned task is claimed again: the attempts of a claim's first task tell its
    claims apart.
    """
    return f"{DONE_PREFIX}{job_id}/{first}.{attempt}"


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
        """Return how many tasks no cell has."""
        n_new = self.row.spec.n_tasks - self.row.n_claimed
        return n_new + len(self.row.returned)


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
    ) -> tuple[Claim | Adopt, ...]:
        """Return the tasks that the cells take in now."""
        jobs = [
            OpenJob(job.row.spec, steer_job(job.row.spec, document), job.n_unclaimed)
            for job in self.open_by_id.values()
        ]
        row_by_job = {job_id: job.row for job_id, job in self.open_by_id.items()}
        claims: list[Claim | Adopt] = []
        for chosen in choose_claims(jobs, view_by_cell):
            row, taken = take_tasks(
                row_by_job[chosen.job_id], chosen.cell_id, chosen.n_tasks
            )
            row_by_job[chosen.job_id] = row
            claims.extend(taken)
        return tuple(claims)


def take_tasks(
    row: JobRow, cell_id: str, n_tasks: int
) -> tuple[JobRow, tuple[Claim | Adopt, ...]]:
    """Return the row without ``n_tasks`` more, and the records: returned ones first."""
    records: list[Claim | Adopt] = []
    adopted = row.returned[:n_tasks]
    if adopted:
        records.append(Adopt(cell_id, row.spec, adopted))
    n_new = n_tasks - len(adopted)
    if n_new:
        records.append(Claim(cell_id, row.spec, row.n_claimed, n_new))
    left = msgspec.structs.replace(
        row, n_claimed=row.n_claimed + n_new, returned=row.returned[n_tasks:]
    )
    return left, tuple(records)

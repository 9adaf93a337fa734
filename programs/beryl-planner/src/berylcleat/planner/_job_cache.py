"""Cache of submitted jobs from the table, and the choice of tasks to claim."""

from dataclasses import dataclass

import msgspec

from berylcleat.model import ConfigDocument, EffectivePolicy, JobSpec, apply_rules
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

    A returned task is claimed again, possibly at the same index, so the key includes
    the attempt of the claim's first task to keep such claims apart.
    """
    return f"{DONE_PREFIX}{job_id}/{first}.{attempt}"


def steer_job(spec: JobSpec, document: ConfigDocument) -> EffectivePolicy:
    """Return the priority, placement and retirement in force for a job."""
    base = EffectivePolicy(spec.priority, spec.placement, spec.retired)
    return apply_rules(base, "job", spec.labels, document.rules)


@dataclass(frozen=True, slots=True)
class VersionedJob:
    """A job's row and its version in the table."""

    row: JobRow
    version: int

    @property
    def n_unclaimed(self) -> int:
        """Number of tasks that no cell holds: unclaimed or returned."""
        n_new = self.row.spec.n_tasks - self.row.n_claimed
        return n_new + len(self.row.returned)


class JobCache:
    """Jobs and settled claims by ID, updated from the table's change feed."""

    def __init__(self):
        self.job_by_id: dict[str, VersionedJob] = {}
        self.open_by_id: dict[str, VersionedJob] = {}
        self.done_row_by_key: dict[str, DoneRow] = {}
        self._cancelled: set[str] = set()

    def on_job_changes(self, changes: Changes) -> None:
        """Update the cached jobs and collect newly cancelled ones."""
        for row in changes.rows:
            job = VersionedJob(msgspec.json.decode(row.value, type=JobRow), row.version)
            self.update_job(job)
            if job.row.state == "cancelled":
                self._cancelled.add(job.row.spec.job_id)

    def on_settled_claim_changes(self, changes: Changes) -> None:
        """Update the cached settled claims."""
        for row in changes.rows:
            self.done_row_by_key[row.key] = msgspec.json.decode(row.value, type=DoneRow)

    def pop_cancelled(self) -> frozenset[str]:
        """Return the IDs of jobs observed as cancelled since the last call."""
        job_ids, self._cancelled = frozenset(self._cancelled), set()
        return job_ids

    def update_job(self, job: VersionedJob) -> None:
        """Cache a job's row unless a newer version is cached."""
        job_id = job.row.spec.job_id
        cached = self.job_by_id.get(job_id)
        if cached and cached.version > job.version:
            return
        self.job_by_id[job_id] = job
        if job.row.state == "open" and job.n_unclaimed > 0:
            self.open_by_id[job_id] = job
        else:
            self.open_by_id.pop(job_id, None)

    def settled_claims_of(self, job_id: str) -> tuple[DoneRow, ...]:
        """Return the settled claims of a job."""
        prefix = f"{DONE_PREFIX}{job_id}/"
        return tuple(
            d for key, d in self.done_row_by_key.items() if key.startswith(prefix)
        )

    def choose_claims(
        self, view_by_cell: dict[str, PlacementView], document: ConfigDocument
    ) -> tuple[Claim | Adopt, ...]:
        """Return records that claim tasks of open jobs for the cells."""
        jobs = [
            OpenJob(job.row.spec, steer_job(job.row.spec, document), job.n_unclaimed)
            for job in self.open_by_id.values()
        ]
        row_by_job = {job_id: job.row for job_id, job in self.open_by_id.items()}
        claims: list[Claim | Adopt] = []
        for chosen in choose_claims(jobs, view_by_cell):
            row, records = claim_tasks(
                row_by_job[chosen.job_id], chosen.cell_id, chosen.n_tasks
            )
            row_by_job[chosen.job_id] = row
            claims.extend(records)
        return tuple(claims)


def claim_tasks(
    row: JobRow, cell_id: str, n_tasks: int
) -> tuple[JobRow, tuple[Claim | Adopt, ...]]:
    """Claim ``n_tasks``, returned ones first; return the new row and the records."""
    records: list[Claim | Adopt] = []
    adopted = row.returned[:n_tasks]
    if adopted:
        records.append(Adopt(cell_id, row.spec, adopted))
    n_new = n_tasks - len(adopted)
    if n_new:
        records.append(Claim(cell_id, row.spec, row.n_claimed, n_new))
    remaining = msgspec.structs.replace(
        row, n_claimed=row.n_claimed + n_new, returned=row.returned[n_tasks:]
    )
    return remaining, tuple(records)

"""Journal records and table rows.

The owner of a cell commits a record before it acts on the decision.
"""

import msgspec

from berylcleat.model import JobSpec


class TaskState(msgspec.Struct, frozen=True, array_like=True):
    """Durable state of one task.

    ``state`` is queued, assigned, finished, failed, cancelled or returned. ``attempt``
    counts assignments; ``progress_s`` is the work saved by the last checkpoint.
    """

    job_id: str
    state: str = "queued"
    attempt: int = 0
    worker_id: str = ""
    incarnation: str = ""
    progress_s: float = 0.0
    n_failures: int = 0


class ClaimState(msgspec.Struct, frozen=True, array_like=True):
    """One claimed range of a job's tasks."""

    job_id: str
    first: int
    n_tasks: int


class Claim(msgspec.Struct, frozen=True, array_like=True, tag="claim"):
    """Claim a range of a job's tasks for the cell."""

    cell_id: str
    spec: JobSpec
    first: int
    n_tasks: int


class ReturnedTask(msgspec.Struct, frozen=True, array_like=True):
    """A task returned to its job: its attempts so far and its checkpointed work."""

    index: int
    attempt: int
    progress_s: float


class Return(msgspec.Struct, frozen=True, array_like=True, tag="return"):
    """Return a queued task to its job, so that any cell may adopt it."""

    cell_id: str
    task_id: str


class Adopt(msgspec.Struct, frozen=True, array_like=True, tag="adopt"):
    """Claim returned tasks of a job for the cell."""

    cell_id: str
    spec: JobSpec
    tasks: tuple[ReturnedTask, ...]


class Assign(msgspec.Struct, frozen=True, array_like=True, tag="assign"):
    """Assign the next attempt of a task to one incarnation of a worker."""

    cell_id: str
    task_id: str
    attempt: int
    worker_id: str
    incarnation: str


class End(msgspec.Struct, frozen=True, array_like=True, tag="end"):
    """Record how an attempt ended.

    ``outcome`` is finished, failed, checkpointed, stopped, lapsed, lost or refused.
    """

    cell_id: str
    task_id: str
    attempt: int
    outcome: str
    progress_s: float = 0.0


class CancelJob(msgspec.Struct, frozen=True, array_like=True, tag="cancel"):
    """Cancel the tasks of a job that have not ended."""

    cell_id: str
    job_id: str


class Settle(msgspec.Struct, frozen=True, array_like=True, tag="settle"):
    """Remove a claim whose tasks have all ended; its totals are in a ``DoneRow``."""

    cell_id: str
    job_id: str
    first: int


class Snapshot(msgspec.Struct, frozen=True, array_like=True, tag="full"):
    """Whole state of a cell; replay needs no older records."""

    cell_id: str
    jobs: dict[str, JobSpec]
    tasks: dict[str, TaskState]
    claims: tuple[ClaimState, ...]
    cancelled: tuple[str, ...]


Record = Claim | Adopt | Return | Assign | End | CancelJob | Settle | Snapshot


class JournalRow(msgspec.Struct, frozen=True):
    """Records of one group commit; ``sequence`` orders the rows of a journal."""

    sequence: int
    records: tuple[Record, ...]


class CellRow(msgspec.Struct, frozen=True):
    """Owner of a cell and the position in the journal where its state begins.

    ``owner`` is a host incarnation, or '' for none. The state is replayed from the
    records of ``journal`` at sequence ``journal_from`` and above; a ``journal`` of ''
    means that the cell has no records yet.
    """

    cell_id: str
    epoch: int = 0
    owner: str = ""
    journal: str = ""
    journal_from: int = 0


class HostRow(msgspec.Struct, frozen=True):
    """Heartbeat of one host incarnation."""

    host_id: str
    incarnation: str
    beat: int
    admin_address: str
    config_version: int = 0
    is_leaving: bool = False


class JobRow(msgspec.Struct, frozen=True):
    """A submitted job, its state and the number of its tasks claimed by cells.

    ``returned`` holds claimed tasks that a cell returned because its workers had all
    stopped answering.
    """

    spec: JobSpec
    state: str = "open"
    n_claimed: int = 0
    reason: str = ""
    trace: str = ""
    returned: tuple[ReturnedTask, ...] = ()


class DoneRow(msgspec.Struct, frozen=True):
    """Counts of ended tasks of a settled claim."""

    job_id: str
    first: int
    n_finished: int
    n_failed: int
    n_cancelled: int

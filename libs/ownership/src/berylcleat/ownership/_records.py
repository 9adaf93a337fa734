"""Journal records: what a cell's owner makes durable before it acts."""

import msgspec

from berylcleat.model import JobSpec


class TaskState(msgspec.Struct, frozen=True, array_like=True):
    """Hold the durable state of one task.

    ``state`` is queued, assigned, finished, failed, cancelled or returned. ``attempt``
    counts assignments; ``progress_s`` is the work kept by the last checkpoint.
    """

    job_id: str
    state: str = "queued"
    attempt: int = 0
    worker_id: str = ""
    incarnation: str = ""
    progress_s: float = 0.0
    n_failures: int = 0


class ClaimState(msgspec.Struct, frozen=True, array_like=True):
    """Hold one claimed range of a job's tasks."""

    job_id: str
    first: int
    n_tasks: int


class Claim(msgspec.Struct, frozen=True, array_like=True, tag="claim"):
    """Take a range of a job's tasks into the cell."""

    cell_id: str
    spec: JobSpec
    first: int
    n_tasks: int


class ReturnedTask(msgspec.Struct, frozen=True, array_like=True):
    """Hold a task that no cell has: its attempts so far and its kept work."""

    index: int
    attempt: int
    progress_s: float


class Return(msgspec.Struct, frozen=True, array_like=True, tag="return"):
    """Give a queued task back to its job, for any cell to adopt."""

    cell_id: str
    task_id: str


class Adopt(msgspec.Struct, frozen=True, array_like=True, tag="adopt"):
    """Take returned tasks of a job into the cell."""

    cell_id: str
    spec: JobSpec
    tasks: tuple[ReturnedTask, ...]


class Assign(msgspec.Struct, frozen=True, array_like=True, tag="assign"):
    """Bind the next attempt of a task to one incarnation of a worker."""

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
    """Drop a claim whose every task has ended; its sum stands in a row."""

    cell_id: str
    job_id: str
    first: int


class Full(msgspec.Struct, frozen=True, array_like=True, tag="full"):
    """Hold the whole state of a cell; older records are not needed."""

    cell_id: str
    jobs: dict[str, JobSpec]
    tasks: dict[str, TaskState]
    claims: tuple[ClaimState, ...]
    cancelled: tuple[str, ...]


Record = Claim | Adopt | Return | Assign | End | CancelJob | Settle | Full


class JournalRow(msgspec.Struct, frozen=True):
    """Hold the records of one group commit; ``sequence`` orders a journal's rows."""

    sequence: int
    records: tuple[Record, ...]


class CellRow(msgspec.Struct, frozen=True):
    """Name the owner of a cell and where its state begins.

    ``owner`` is a host incarnation or '' for none. State is the records of
    ``journal`` from sequence ``journal_from`` on; '' means none was ever written.
    """

    cell_id: str
    epoch: int = 0
    owner: str = ""
    journal: str = ""
    journal_from: int = 0


class HostRow(msgspec.Struct, frozen=True):
    """Hold the heartbeat of one host incarnation."""

    host_id: str
    incarnation: str
    beat: int
    admin_address: str
    config_version: int = 0
    is_leaving: bool = False


class JobRow(msgspec.Struct, frozen=True):
    """Hold a submitted job, its state and how many tasks cells have claimed.

    ``returned`` holds claimed tasks that a cell without workers has given back.
    """

    spec: JobSpec
    state: str = "open"
    n_claimed: int = 0
    reason: str = ""
    trace: str = ""
    returned: tuple[ReturnedTask, ...] = ()


class DoneRow(msgspec.Struct, frozen=True):
    """Sum up a settled claim."""

    job_id: str
    first: int
    n_finished: int
    n_failed: int
    n_cancelled: int

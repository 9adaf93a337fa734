"""Rows that the host process keeps in the store."""

from typing import Annotated

import msgspec
import xxhash

from berylcleat.model import Count, Epoch, Integer, Step, Submission, TaskKey
from berylcleat.ports import WorkerEntry
from berylcleat.scheduling import (
    CellBacklog,
    CellHeadroom,
    FillerHeadroom,
    TaskMove,
    WorkerRooms,
    count_slots,
)

# Home cell of each submission, by submission id. No host follows this table.
SUBMISSION_TABLE = "submissions"
# Ids whose cancellation came before they were stored; they are removed after a time.
EARLY_CANCELLATION_TABLE = "early-cancellations"
# Owner of each cell; every host follows it, so it holds rows that rarely change only.
CELL_TABLE = "cells"
# Workers on which the owner of each cell may have started tasks.
RECORDED_WORKER_TABLE = "cell-workers"
# What the hosts of a data centre tell those of the others, in its own part; every host
# follows it.
DIGEST_TABLE = "digests"
PROGRESS_TABLE = "progress"
OWNER_KEY = "owner"
WORKERS_KEY = "workers"
# Beginnings of keys in the tables of data centres and in the digests.
HOST_PREFIX = "host/"
LOAD_PREFIX = "load/"
PAIRS_PREFIX = "pairs/"
DIGEST_HEARTBEAT_PREFIX = "heartbeat/"
OWNERS_PREFIX = "owners/"
CANCEL_SUFFIX = ".cancel"
MOVES_SUFFIX = ".moves"
# Parts of the submission tables: the store limits the transactions per part.
N_SUBMISSION_PARTS = 4
SUBMISSION_PARTS = tuple(str(number) for number in range(N_SUBMISSION_PARTS))
# Tables of the submissions of cells. A change feed delivers a whole table, so the cells
# are spread over several; the store holds at most 100 tables.
N_CELL_SUBMISSION_TABLES = 84


class HomeRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """Home cell of an accepted submission, or its cancellation before it was stored.

    The latter has no cell, and a row of its id keeps a write that the store carries out
    late from storing the submission. ``is_submitted`` tells that it was submitted
    after that, and was cancelled thereby. Hosts that don't know of early cancellations
    can't decode their rows, and answer that the store can't tell.
    """

    cell_id: str = ""
    cancelled_at_ms: Count = 0
    is_submitted: bool = False

    def __post_init__(self) -> None:
        """Reject a row that is neither."""
        if bool(self.cell_id) == bool(self.cancelled_at_ms):
            raise ValueError("a home row names a cell or an early cancellation")

    @property
    def is_early_cancellation(self) -> bool:
        """Whether the submission was cancelled before it was stored."""
        return bool(self.cancelled_at_ms)


class AcceptedRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """Accepted submission, its home cell and the data centre where it arrived."""

    cell_id: str
    accepted_at_ms: Count
    submission: Submission
    arrival_data_centre: str = ""


class EarlierOwner(msgspec.Struct, frozen=True, array_like=True):
    """Owner that a later one replaced without knowing whether it had stopped.

    ``version`` is the version of the owner row that it wrote, ``data_centre`` the
    owner's, empty if it isn't known, and ``limit_s`` as in that row.
    """

    epoch: Epoch
    host_id: str
    incarnation: str
    peer_address: str
    version: Count
    data_centre: str = ""
    limit_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class OwnerRow(msgspec.Struct, frozen=True):
    """Owner of a cell; ``host_id`` is empty if the cell was released.

    For ``unsettled_s`` seconds after the row was written, earlier owners may still have
    runs that are unaccounted for. ``earlier_owners`` names the ones that may still have
    been running then; None if they aren't known, so that none can be asked.
    ``data_centre`` is the owner's, ``cell_data_centre`` that of the cell's workers; it
    is empty in rows of hosts that don't record it. A released row tells for how long
    the leases on each worker may last, in seconds from the time it was written; None
    if that isn't known. For ``limit_s`` seconds after a heartbeat of the owner that
    came before its last confirmation it acts and grants leases; 0 in rows of hosts that
    don't limit their leases so.
    """

    epoch: Epoch
    host_id: str
    incarnation: str
    unsettled_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    data_centre: str = ""
    peer_address: str = ""
    earlier_owners: tuple[EarlierOwner, ...] | None = None
    cell_data_centre: str = ""
    lease_left_s_by_worker: dict[str, Annotated[float, msgspec.Meta(ge=0)]] | None = (
        None
    )
    limit_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class WorkersRow(msgspec.Struct, frozen=True):
    """Workers on which the owner of a cell may have started tasks.

    No lease on a worker of ``lease_left_s_by_worker`` lasts longer than so many seconds
    from the time when the row was written, whether or not that owner goes on. That
    holds for leases of the owner under ``epoch`` and of earlier ones; it is 0 in rows
    of hosts that don't record it. Such a host may own the cell later without replacing
    the row, and its leases aren't limited.
    """

    workers: tuple[WorkerEntry, ...]
    epoch: Annotated[int, msgspec.Meta(ge=0)] = 0
    lease_left_s_by_worker: dict[str, Annotated[float, msgspec.Meta(ge=0)]] = (
        msgspec.field(default_factory=dict)
    )


class MoveRow(msgspec.Struct, frozen=True, array_like=True):
    """Task that runs in another cell than its submission's home cell."""

    task: TaskKey
    move: TaskMove


class MovesRow(msgspec.Struct, frozen=True):
    """All moved tasks of a submission."""

    moves: tuple[MoveRow, ...]


class CellSummary(msgspec.Struct, frozen=True, array_like=True):
    """Load of a cell, published to other hosts; CPU in thousandths of a core."""

    service: str
    data_centre: str
    cpu_capacity: Integer
    cpu_free: Integer
    cpu_waiting: Integer
    filler_rooms: tuple[FillerHeadroom, ...]
    fill_waiting: Integer
    pending_by_queue: dict[str, Integer]
    # Part of cpu_waiting that fits on no worker, so it doesn't use up cpu_free.
    cpu_stuck: Integer = 0
    # Free processor time of each worker: what is spread over many holds no large task.
    free_by_worker: tuple[Integer, ...] = ()
    # None without admission control, and in loads of hosts that don't know of it.
    backlog: CellBacklog | None = None
    # How many of free_by_worker are of each rack, in order; empty if all are of one.
    n_workers_by_rack: tuple[Count, ...] = ()
    # Capacity of workers on which nothing may start for now, not in cpu_capacity.
    avoided_capacity: Count = 0
    avoided_free: Count = 0
    # None in loads of hosts that don't publish it.
    rooms: WorkerRooms | None = None

    def count_slots(self, step: Step) -> int:
        """Return how many more tasks of a step fit beside those that wait here."""
        cpu = max(step.allocation.cpu_millis, 1)
        n_waiting = -(-max(0, self.cpu_waiting - self.cpu_stuck) // cpu)
        return count_slots(step, self.free_by_worker, self.rooms) - n_waiting


def headroom_from_summary(cell_id: str, summary: CellSummary) -> CellHeadroom:
    """Return the headroom that a cell's summary reports."""
    return CellHeadroom(
        cell_id,
        summary.service,
        summary.cpu_free - (summary.cpu_waiting - summary.cpu_stuck),
        summary.filler_rooms,
        summary.fill_waiting,
        summary.cpu_capacity,
        summary.free_by_worker,
        waiting=summary.cpu_waiting,
        n_workers_by_rack=summary.n_workers_by_rack,
        avoided_capacity=summary.avoided_capacity,
        avoided_free=summary.avoided_free,
        rooms=summary.rooms,
    )


class LoadRow(msgspec.Struct, frozen=True, array_like=True):
    """Load of a cell, as its owner under ``epoch`` published it last."""

    epoch: Epoch
    summary: CellSummary


class LiveOwnersRow(msgspec.Struct, frozen=True, array_like=True):
    """Hosts of one data centre that own cells and are alive, with their incarnation."""

    incarnation_by_host: dict[str, str]


class PairRow(msgspec.Struct, frozen=True, array_like=True):
    """Evidence that a filler image interferes with a serving image, as log odds.

    Learnt by one host; receivers add it to their prior.
    """

    filler: str
    serving: str
    log_odds: float


class PairsRow(msgspec.Struct, frozen=True, array_like=True):
    """What one incarnation of a host, or a whole data centre, has learnt of pairs."""

    incarnation: str
    pairs: tuple[PairRow, ...]


class HostRow(msgspec.Struct, frozen=True, array_like=True):
    """Heartbeat row of one host, read by the hosts of its data centre.

    ``sent_store_ms`` is what the store's clock showed at most when it was sent, 0 if
    that wasn't known.
    """

    incarnation: str
    peer_address: str
    cpu_power: Annotated[float, msgspec.Meta(gt=0)]
    is_leaving: bool = False
    sent_store_ms: Annotated[float, msgspec.Meta(ge=0)] = 0.0


def data_centre_table(data_centre: str) -> str:
    """Return the table that the hosts of a data centre write for each other."""
    return f"centre-{data_centre}"


def cell_submission_table(cell_id: str) -> str:
    """Return the table that holds the submissions with tasks in a cell."""
    number = xxhash.xxh64_intdigest(cell_id.encode()) % N_CELL_SUBMISSION_TABLES
    return f"cell-submissions-{number:02d}"


def submission_part(submission_id: str) -> str:
    """Return the part that holds the rows of a submission in every table."""
    return str(int(submission_id[-4:], 16) % N_SUBMISSION_PARTS)


def encode(row: msgspec.Struct) -> bytes:
    """Return ``row`` in its stored form, JSON."""
    return msgspec.json.encode(row)

"""Rows that the host process keeps in the store."""

import msgspec

from berylcleat.model import Submission, TaskKey
from berylcleat.ports import WorkerEntry
from berylcleat.scheduling import CellHeadroom, FillerHeadroom, TaskMove

SUBMISSION_TABLE = "submissions"
CELL_TABLE = "cells"
HOST_TABLE = "hosts"
PROGRESS_TABLE = "progress"
OWNER_KEY = "owner"
WORKERS_KEY = "workers"
HOST_PART = ""
CANCEL_SUFFIX = ".cancel"
MOVES_SUFFIX = ".moves"
# Partitions of the submission table: one sustains 250 transactions per second.
N_SUBMISSION_PARTS = 4


class AcceptedRow(msgspec.Struct, frozen=True):
    """Accepted submission and its home cell."""

    cell_id: str
    accepted_at_ms: int
    submission: Submission


class OwnerRow(msgspec.Struct, frozen=True):
    """Owner of a cell; ``host_id`` is empty if the cell was released.

    For ``unsettled_s`` seconds after the row was written, earlier owners may still have
    runs that are unaccounted for.
    """

    epoch: int
    host_id: str
    incarnation: str
    unsettled_s: float = 0.0


class WorkersRow(msgspec.Struct, frozen=True):
    """Workers on which the owner of a cell may have started tasks."""

    workers: tuple[WorkerEntry, ...]


class MoveRow(msgspec.Struct, frozen=True, array_like=True):
    """Task that runs in another cell than its submission's home cell."""

    task: TaskKey
    move: TaskMove


class MovesRow(msgspec.Struct, frozen=True):
    """All moved tasks of a submission."""

    moves: tuple[MoveRow, ...]


class CellSummary(msgspec.Struct, frozen=True):
    """Load of a cell, published to other hosts; CPU in thousandths of a core."""

    service: str
    data_centre: str
    cpu_capacity: int
    cpu_free: int
    cpu_waiting: int
    filler_rooms: tuple[FillerHeadroom, ...]
    fill_waiting: int
    pending_by_queue: dict[str, int]
    # Part of cpu_waiting that fits on no worker, so it doesn't use up cpu_free.
    cpu_stuck: int = 0


def headroom_from_summary(cell_id: str, summary: CellSummary) -> CellHeadroom:
    """Return the headroom that a cell's summary reports."""
    return CellHeadroom(
        cell_id,
        summary.service,
        summary.cpu_free - (summary.cpu_waiting - summary.cpu_stuck),
        summary.filler_rooms,
        summary.fill_waiting,
        summary.cpu_capacity,
    )


class PairRow(msgspec.Struct, frozen=True, array_like=True):
    """Evidence that a filler image interferes with a serving image, as log odds.

    Learnt by one host; receivers add it to their prior.
    """

    filler: str
    serving: str
    log_odds: float


class HostRow(msgspec.Struct, frozen=True):
    """Heartbeat row of one host."""

    incarnation: str
    data_centre: str
    peer_address: str
    cpu_power: float
    is_leaving: bool = False
    summary_by_cell: dict[str, CellSummary] = {}
    pairs: tuple[PairRow, ...] = ()


def submission_part(submission_id: str) -> str:
    """Return the table partition that holds the rows of a submission."""
    return str(int(submission_id[-4:], 16) % N_SUBMISSION_PARTS)


def encode(row: msgspec.Struct) -> bytes:
    """Return ``row`` in its stored form, JSON."""
    return msgspec.json.encode(row)

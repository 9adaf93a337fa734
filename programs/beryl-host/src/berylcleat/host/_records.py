"""Rows that this program keeps in the store."""

import msgspec

from berylcleat.model import Submission, TaskKey
from berylcleat.ports import WorkerEntry
from berylcleat.scheduling import CellRoom, FillerRoom, TaskMove

SUBMISSION_TABLE = "submissions"
CELL_TABLE = "cells"
HOST_TABLE = "hosts"
PROGRESS_TABLE = "progress"
OWNER_KEY = "owner"
WORKERS_KEY = "workers"
HOST_PART = ""
CANCEL_SUFFIX = ".cancel"
MOVES_SUFFIX = ".moves"
# Parts of the submission table: one part carries 250 transactions a second.
N_SUBMISSION_PARTS = 4


class AcceptedRow(msgspec.Struct, frozen=True):
    """Hold an accepted submission and the cell that runs it."""

    cell_id: str
    accepted_at_ms: int
    submission: Submission


class OwnerRow(msgspec.Struct, frozen=True):
    """Name the owner of a cell; ``host_id`` is empty when it was given up.

    For ``unsettled_s`` seconds from the writing of the row, owners before this one may
    still have runs that nobody has heard of.
    """

    epoch: int
    host_id: str
    incarnation: str
    unsettled_s: float = 0.0


class WorkersRow(msgspec.Struct, frozen=True):
    """List the workers on which the owner of a cell may have started something."""

    workers: tuple[WorkerEntry, ...]


class MoveRow(msgspec.Struct, frozen=True, array_like=True):
    """Tell that one task runs in another cell than its submission's home."""

    task: TaskKey
    move: TaskMove


class MovesRow(msgspec.Struct, frozen=True):
    """List every task of a submission that was moved."""

    moves: tuple[MoveRow, ...]


class CellSummary(msgspec.Struct, frozen=True):
    """Tell other hosts about a cell's load; amounts in thousandths of a core."""

    service: str
    data_centre: str
    cpu_capacity: int
    cpu_free: int
    cpu_waiting: int
    filler_rooms: tuple[FillerRoom, ...]
    fill_waiting: int
    pending_by_queue: dict[str, int]
    # Part of cpu_waiting that fits on no worker: it leaves the free room to others.
    cpu_stuck: int = 0


def headroom_from_summary(cell_id: str, summary: CellSummary) -> CellRoom:
    """Return the room that a cell's summary tells of."""
    return CellRoom(
        cell_id,
        summary.service,
        summary.cpu_free - (summary.cpu_waiting - summary.cpu_stuck),
        summary.filler_rooms,
        summary.fill_waiting,
        summary.cpu_capacity,
    )


class PairRow(msgspec.Struct, frozen=True, array_like=True):
    """Tell what was learnt here of a filling image beside a serving image."""

    filler: str
    serving: str
    log_odds: float


class HostRow(msgspec.Struct, frozen=True):
    """Heartbeat of one host."""

    incarnation: str
    data_centre: str
    peer_address: str
    cpu_power: float
    is_leaving: bool = False
    summary_by_cell: dict[str, CellSummary] = {}
    pairs: tuple[PairRow, ...] = ()


def submission_part(submission_id: str) -> str:
    """Return the part that the rows of a submission lie in."""
    return str(int(submission_id[-4:], 16) % N_SUBMISSION_PARTS)


def encode(row: msgspec.Struct) -> bytes:
    """Return ``row`` as stored."""
    return msgspec.json.encode(row)

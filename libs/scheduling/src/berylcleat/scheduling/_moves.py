"""Tasks that run in another cell than their submission's home."""

from dataclasses import dataclass

from berylcleat.model import Step, TaskKey

from ._book import ReadyStep, TrackedSubmission

# A task that found no place for so long may go to another cell.
STUCK_S = 0.5
STUCK_FILLER_S = 2.0
# The most tasks that one round moves to one cell.
MAX_MOVED = 12
# Share of another cell's free room that one round may take.
USABLE_SHARE = 0.7


@dataclass(frozen=True, slots=True)
class TaskMove:
    """Hold where a task runs now, and what its next owner must know of it."""

    cell_id: str
    run_floor: int
    n_failures: int = 0
    checkpoint: str = ""


@dataclass(frozen=True, slots=True)
class CellRoom:
    """Hold the room of another cell, in thousandths of a core."""

    cell_id: str
    service: str
    free: int
    left_for_fillers: int


@dataclass(frozen=True, slots=True)
class MoveProposal:
    """Hold tasks of one submission that should go to other cells."""

    submission_id: str
    move_by_task: dict[TaskKey, TaskMove]


@dataclass(frozen=True, slots=True)
class GuestEnd:
    """Tell a submission's home how a task ended elsewhere for good."""

    task: TaskKey
    has_failed: bool


class RoomBook:
    """Share out the room of other cells among the tasks of one round."""

    def __init__(self, rooms: tuple[CellRoom, ...]):
        self._room_by_id = {room.cell_id: room for room in rooms}
        self._free = {r.cell_id: int(r.free * USABLE_SHARE) for r in rooms}
        self._left = {r.cell_id: int(r.left_for_fillers * USABLE_SHARE) for r in rooms}
        self._n_moved = dict.fromkeys(self._free, 0)

    def take(self, step: Step, service: str) -> str | None:
        """Return the cell with most room for a task of ``step``, or None."""
        room = self._left if step.fills else self._free
        suitable = [
            cell_id
            for cell_id, cell in self._room_by_id.items()
            if cell.service == service
            and room[cell_id] >= step.demand.cpu_millis
            and self._n_moved[cell_id] < MAX_MOVED
        ]
        if not suitable:
            return None
        chosen = max(suitable, key=lambda cell_id: room[cell_id])
        room[chosen] -= step.demand.cpu_millis
        self._n_moved[chosen] += 1
        return chosen


def is_stuck(ready: ReadyStep, now: float) -> bool:
    """Tell whether the waiting tasks of a step should look for another cell."""
    if ready.stuck_since is None or ready.step.is_gang:
        return False
    limit_s = STUCK_FILLER_S if ready.step.fills else STUCK_S
    return now - ready.stuck_since > limit_s


def make_move(tracked: TrackedSubmission, task: TaskKey, cell_id: str) -> TaskMove:
    """Return the move of ``task`` to ``cell_id``."""
    return TaskMove(
        cell_id,
        tracked.run_floor_by_task.get(task, 0),
        tracked.n_failures(task),
        tracked.progress.checkpoint_by_task.get(task, ""),
    )

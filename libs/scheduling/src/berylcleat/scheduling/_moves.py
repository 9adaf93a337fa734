"""Tasks that run in another cell than their submission's home."""

from dataclasses import dataclass

from berylcleat.model import Step, TaskKey

from ._interference import InterferenceLevel, InterferenceModel
from ._submissions import ReadyStep, TrackedSubmission

# A task that found no place for so long may go to another cell.
MOVE_AFTER_STUCK_S = 0.5
MOVE_FILLER_AFTER_STUCK_S = 1.0
# The most tasks that one round moves to one cell.
MAX_MOVES_PER_CELL = 12
# Share of another cell's free room that one round may take.
USABLE_HEADROOM_SHARE = 0.7


@dataclass(frozen=True, slots=True)
class TaskMove:
    """Hold where a task runs now, and what its next owner must know of it."""

    cell_id: str
    run_floor: int
    failed_runs: tuple[int, ...] = ()
    checkpoint: str = ""


@dataclass(frozen=True, slots=True)
class FillerHeadroom:
    """Hold the processor time left on workers that serve the same images."""

    serving_images: tuple[str, ...]
    cpu_left: int


@dataclass(frozen=True, slots=True)
class CellHeadroom:
    """Hold the room of a cell, in thousandths of a core."""

    cell_id: str
    service: str
    free: int
    filler_rooms: tuple[FillerHeadroom, ...]
    fill_waiting: int
    capacity: int = 0

    def headroom_for_filler(self, image: str, interference: InterferenceModel) -> int:
        """Return what is left for a filler of ``image`` where it is mild."""
        total = sum(room.cpu_left for room in self.filler_rooms)
        if total <= 0:
            return 0
        left = sum(
            room.cpu_left
            for room in self.filler_rooms
            if interference.worst_level(image, room.serving_images)
            is InterferenceLevel.MILD
        )
        return int(left * max(0.0, 1 - self.fill_waiting / total))


@dataclass(frozen=True, slots=True)
class MoveProposal:
    """Hold tasks of one submission that should go to other cells."""

    submission_id: str
    move_by_task: dict[TaskKey, TaskMove]


@dataclass(frozen=True, slots=True)
class MovedTaskEnd:
    """Tell a submission's home how a task ended elsewhere for good."""

    task: TaskKey
    has_failed: bool


class HeadroomReservations:
    """Share out the room of other cells among the tasks of one round."""

    def __init__(
        self, rooms: tuple[CellHeadroom, ...], interference: InterferenceModel
    ):
        self._headroom_by_id = {room.cell_id: room for room in rooms}
        self._pairs = interference
        self._reserved = dict.fromkeys(self._headroom_by_id, 0)
        self._reserved_for_fillers = dict.fromkeys(self._headroom_by_id, 0)
        self._n_moved = dict.fromkeys(self._headroom_by_id, 0)

    def reserve(self, step: Step, service: str) -> str | None:
        """Return the cell with most room for a task of ``step``, or None."""
        room_by_id = {
            cell_id: self._headroom_for(step, room)
            for cell_id, room in self._headroom_by_id.items()
            if room.service == service and self._n_moved[cell_id] < MAX_MOVES_PER_CELL
        }
        if not room_by_id:
            return None
        chosen = max(room_by_id, key=room_by_id.__getitem__)
        if room_by_id[chosen] < step.demand.cpu_millis:
            return None
        self._add_reserved(step, chosen, 1)
        return chosen

    def reserve_gang(self, step: Step, service: str) -> str | None:
        """Return a cell with room for all tasks of ``step`` at once, or None."""
        room_by_id = {
            cell_id: self._headroom_for(step, room)
            for cell_id, room in self._headroom_by_id.items()
            if room.service == service
        }
        chosen = max(room_by_id, key=room_by_id.__getitem__, default=None)
        if chosen is None:
            return None
        if room_by_id[chosen] < step.demand.cpu_millis * step.n_tasks:
            return None
        self._add_reserved(step, chosen, step.n_tasks)
        return chosen

    def _add_reserved(self, step: Step, cell_id: str, n_tasks: int) -> None:
        taken = self._reserved_for_fillers if step.fills else self._reserved
        taken[cell_id] += step.demand.cpu_millis * n_tasks
        self._n_moved[cell_id] += n_tasks

    def _headroom_for(self, step: Step, room: CellHeadroom) -> float:
        if not step.fills:
            return room.free * USABLE_HEADROOM_SHARE - self._reserved[room.cell_id]
        left = room.headroom_for_filler(step.image, self._pairs) * USABLE_HEADROOM_SHARE
        return left - self._reserved_for_fillers[room.cell_id]


def is_stuck(ready: ReadyStep, now: float) -> bool:
    """Tell whether the waiting tasks of a step should look for another cell."""
    if ready.stuck_since is None:
        return False
    limit_s = MOVE_FILLER_AFTER_STUCK_S if ready.step.fills else MOVE_AFTER_STUCK_S
    return now - ready.stuck_since > limit_s


def make_move(tracked: TrackedSubmission, task: TaskKey, cell_id: str) -> TaskMove:
    """Return the move of ``task`` to ``cell_id``."""
    return TaskMove(
        cell_id,
        tracked.run_floor_by_task.get(task, 0),
        tuple(sorted(tracked.progress.failed_runs_by_task.get(task, ()))),
        tracked.checkpoint_of(task),
    )

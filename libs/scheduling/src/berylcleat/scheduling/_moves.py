"""Moves of stuck tasks to cells with headroom."""

import sys
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from berylcleat.model import Count, Epoch, Integer, RunNumber, Step, TaskKey

from ._interference import InterferenceLevel, InterferenceModel
from ._progress import CrashEvidence
from ._submissions import ReadyStep, TrackedSubmission
from ._worker_rooms import WorkerRooms, count_slots

# Seconds that a task, or a filler, fits on no worker before it may move elsewhere.
MOVE_AFTER_STUCK_S = 0.5
MOVE_FILLER_AFTER_STUCK_S = 1.0
# Maximum tasks, except those of gangs, that one round moves to one cell.
MAX_MOVES_PER_CELL = 12
# Share of another cell's headroom that one round may reserve.
USABLE_HEADROOM_SHARE = 0.7


class TaskMove(msgspec.Struct, frozen=True, array_like=True):
    """Cell that a task moves to, with the state that the cell needs to resume it.

    Runs there get numbers above ``run_floor``. It is stored once for each cell.
    """

    cell_id: str
    run_floor: RunNumber
    failed_runs: tuple[RunNumber, ...] = ()
    checkpoint: str = ""
    crashed_runs: tuple[tuple[RunNumber, CrashEvidence], ...] = ()
    # Moves of the task so far, counted where ``expected_finish`` is set.
    n_moves: Count = 0
    # Epoch of the target cell's owner as the moving owner knew it; 0 if it didn't.
    target_epoch: Epoch = 0
    # Milliseconds for which the submission had no run where the move was decided.
    idle_ms: Count = 0


class FillerHeadroom(msgspec.Struct, frozen=True, array_like=True):
    """Unused processor time of the workers that serve the same images.

    It is stored and read by every host.
    """

    serving_images: tuple[str, ...]
    cpu_left: Integer


@dataclass(frozen=True, slots=True)
class CellHeadroom:
    """Spare capacity of a cell, in thousandths of a core.

    ``fill_waiting`` is the processor demand of the fillers waiting in the cell,
    ``free_by_worker`` the part of ``free`` on each worker. ``age_s`` is the age of the
    load that reports it, ``is_near`` whether the cell is in the same data centre,
    ``epoch`` that of the cell's owner, or 0 if it isn't known. ``waiting`` is what the
    cell's own waiting tasks would reserve. ``n_workers_by_rack`` tells how many of
    ``free_by_worker`` are of each rack, one after the other; it is empty if all are.
    ``avoided_capacity`` and ``avoided_free`` are what workers have on which nothing may
    start for now, beside ``capacity`` and ``free``. ``rooms`` is what the workers of
    ``free_by_worker`` have beside processor time; None if the load doesn't tell.
    """

    cell_id: str
    service: str
    free: int
    filler_headrooms: tuple[FillerHeadroom, ...]
    fill_waiting: int
    capacity: int = 0
    free_by_worker: tuple[int, ...] = ()
    age_s: float = 0.0
    is_near: bool = True
    epoch: int = 0
    waiting: int = 0
    n_workers_by_rack: tuple[int, ...] = ()
    avoided_capacity: int = 0
    avoided_free: int = 0
    rooms: WorkerRooms | None = None

    def can_hold(self, step: Step) -> bool:
        """Return whether a worker has a filler's label, memory and accelerators free.

        Processor time doesn't count: that for fillers isn't told by worker.
        """
        if self.rooms is None or not self.free_by_worker:
            return True
        unlimited = (sys.maxsize,) * len(self.free_by_worker)
        return count_slots(step, unlimited, self.rooms) > 0

    def has_label(self, step: Step) -> bool:
        """Return whether a worker, maybe a full one, has the label of a step."""
        return self.rooms is None or self.rooms.has_label(step)

    def n_slots(self, step: Step) -> int:
        """Return how many tasks of a step fit, of a filler by its needs alone."""
        if step.fills:
            left = sum(headroom.cpu_left for headroom in self.filler_headrooms)
            return left // max(step.demand.cpu_millis, 1) * self.can_hold(step)
        return self.whole_slots(step) // max(step.demand.cpu_millis, 1)

    def free_for(self, step: Step) -> int:
        """Return the part of ``free`` that tasks of a step can use.

        What is left over on each worker holds none of them, and no task starts on a
        worker without its label, memory or accelerators.
        """
        return min(self.free, self.whole_slots(step))

    def whole_slots(self, step: Step) -> int:
        """Return the processor time of all slots for tasks of a step.

        Unlike ``free`` it isn't reduced by what waits in the cell.
        """
        if not self.free_by_worker:
            return self.free
        return self._slots_of(step)

    def free_in_one_rack(self, step: Step) -> int:
        """Return the part of ``free`` that tasks of a step can use in one rack."""
        if not self.n_workers_by_rack:
            return self.free_for(step)
        racks = self._workers_by_rack()
        return min(self.free, max(self._slots_of(step, rack) for rack in racks))

    def fits_empty_worker(self, step: Step) -> bool:
        """Return whether a worker with the label of a step could hold a task if empty.

        The workers are taken to be equal: the load tells the sum of their capacities.
        """
        n_workers = max(len(self.free_by_worker), 1)
        is_large_enough = self.capacity // n_workers >= step.demand.cpu_millis
        return is_large_enough and self.has_label(step)

    def fits_empty_rack(self, step: Step) -> bool:
        """Return whether a rack could hold all tasks of a step if it were empty.

        Its workers are taken to be equal: the load tells the sum of their capacities.
        """
        cpu_millis = max(step.demand.cpu_millis, 1)
        n_workers = len(self.free_by_worker)
        if not n_workers:
            return self.capacity // cpu_millis >= step.n_tasks
        n_in_rack = max(map(len, self._workers_by_rack()))
        slots_by_worker = self.capacity // n_workers // cpu_millis
        return n_in_rack * slots_by_worker >= step.n_tasks

    def _workers_by_rack(self) -> list[range]:
        """Return the places of each rack's workers in ``free_by_worker``."""
        first = 0
        racks = []
        for n_workers in self.n_workers_by_rack or (len(self.free_by_worker),):
            racks.append(range(first, first + n_workers))
            first += n_workers
        return racks

    def _slots_of(self, step: Step, workers: range | None = None) -> int:
        """Return the processor time of the slots for tasks of a step on workers."""
        n_slots = count_slots(step, self.free_by_worker, self.rooms, workers)
        return n_slots * step.allocation.cpu_millis

    def headroom_for_filler(self, image: str, interference: InterferenceModel) -> int:
        """Return the processor time left where ``image`` interferes only mildly.

        It is reduced in proportion to the demand of the fillers waiting in the cell.
        """
        total = sum(headroom.cpu_left for headroom in self.filler_headrooms)
        if total <= 0:
            return 0
        left = sum(
            headroom.cpu_left
            for headroom in self.filler_headrooms
            if interference.worst_level(image, headroom.serving_images)
            is InterferenceLevel.MILD
        )
        return int(left * max(0.0, 1 - self.fill_waiting / total))


@dataclass(frozen=True, slots=True)
class MoveProposal:
    """Proposed moves of tasks of one submission to other cells.

    ``reason`` is "stuck" for a step that has waited, "no-worker" for a move at once.
    """

    submission_id: str
    move_by_task: dict[TaskKey, TaskMove]
    reason: str = "stuck"

    def describe(self) -> str:
        """Return each task with its target cell and the highest run known of it."""
        return ", ".join(
            f"task {task} to {move.cell_id} above run {move.run_floor}"
            for task, move in self.move_by_task.items()
        )


@dataclass(frozen=True, slots=True)
class MovedTaskEnd:
    """Final result of a moved task, reported to its submission's home cell.

    The field names are sent to other hosts.
    """

    task: TaskKey
    has_failed: bool


class HeadroomReservations:
    """Reservations of other cells' headroom for the tasks moved in one round.

    ``taken_before`` is what earlier moves take, in thousandths of a core by cell, that
    the loads may not show yet; only ``rooms`` deducts it.
    """

    def __init__(
        self,
        headrooms: tuple[CellHeadroom, ...],
        interference: InterferenceModel,
        taken_before: Mapping[str, int] | None = None,
    ):
        self.cell_ids = frozenset(headroom.cell_id for headroom in headrooms)
        self._taken_before = taken_before or {}
        self._headroom_by_id = {headroom.cell_id: headroom for headroom in headrooms}
        self._interference = interference
        self._reserved = dict.fromkeys(self._headroom_by_id, 0)
        self._reserved_for_fillers = dict.fromkeys(self._headroom_by_id, 0)
        self._n_moved = dict.fromkeys(self._headroom_by_id, 0)

    def reserve(self, step: Step, service: str) -> str | None:
        """Reserve headroom for a task in the cell with the most; return it or None."""
        available_by_id = {
            cell_id: self._headroom_for(step, headroom)
            for cell_id, headroom in self._headroom_by_id.items()
            if headroom.service == service
            and self._n_moved[cell_id] < MAX_MOVES_PER_CELL
        }
        if not available_by_id:
            return None
        chosen = max(available_by_id, key=available_by_id.__getitem__)
        if available_by_id[chosen] < step.demand.cpu_millis:
            return None
        self._add_reserved(step, chosen, 1)
        return chosen

    def rooms(
        self,
        step: Step,
        service: str,
        share: float,
        max_age_s: float,
        *,
        beside_waiting: bool = True,
    ) -> dict[str, int]:
        """Return the processor time left, by cell, where a task of ``step`` fits.

        It is the part of the headroom that ``share`` allows to use, in thousandths of a
        core, ``beside_waiting`` less what waits in the cell. Cells whose load is older
        than ``max_age_s`` are left out.
        """
        left_by_id = {
            cell_id: int(
                (
                    headroom.free_for(step)
                    if beside_waiting
                    else headroom.whole_slots(step)
                )
                * share
                - self._reserved[cell_id]
                - self._taken_before.get(cell_id, 0)
            )
            for cell_id, headroom in self._headroom_by_id.items()
            if headroom.service == service
            and headroom.age_s <= max_age_s
            and self._n_moved[cell_id] < MAX_MOVES_PER_CELL
        }
        needed = step.demand.cpu_millis
        return {c: left for c, left in left_by_id.items() if left >= needed}

    def reserve_slot(
        self, step: Step, service: str, max_age_s: float = float("inf")
    ) -> str | None:
        """Reserve a slot for a task in the cell with the most; return it or None.

        Unlike ``reserve``, it counts the whole headroom and nothing of what waits.
        """
        rooms = self.rooms(step, service, 1.0, max_age_s, beside_waiting=False)
        if not rooms:
            return None
        chosen = max(rooms, key=rooms.__getitem__)
        self.add_task(step, chosen)
        return chosen

    def capacities(self, step: Step, service: str) -> dict[str, int]:
        """Return the processor capacity of the cells that a task could ever run in.

        Full cells count too. It is less what this round has reserved there.
        """
        left_by_id = {
            cell_id: headroom.capacity - self._reserved[cell_id]
            for cell_id, headroom in self._headroom_by_id.items()
            if headroom.service == service
            and headroom.fits_empty_worker(step)
            and self._n_moved[cell_id] < MAX_MOVES_PER_CELL
        }
        return {cell_id: left for cell_id, left in left_by_id.items() if left > 0}

    def reserve_capacity(self, step: Step, service: str) -> str | None:
        """Reserve capacity, not headroom, for a task; return its cell or None."""
        capacities = self.capacities(step, service)
        if not capacities:
            return None
        chosen = max(capacities, key=capacities.__getitem__)
        self.add_task(step, chosen)
        return chosen

    def add_task(self, step: Step, cell_id: str) -> None:
        """Reserve headroom of a cell for a task of ``step``."""
        self._add_reserved(step, cell_id, 1)

    def reserve_beside_any(
        self, step: Step, service: str, *, shares_cpu: bool = False
    ) -> str | None:
        """Reserve processor time for a filler beside images that it may disturb.

        For fillers that can't stay: the cell with the most left, less what waits there,
        holds them until they fit or are forced. One that ``shares_cpu`` may go where
        nothing is left, if fillers may start there.
        """
        left_by_id = {
            cell_id: sum(fillers.cpu_left for fillers in headroom.filler_headrooms)
            - headroom.fill_waiting
            - self._reserved_for_fillers[cell_id]
            for cell_id, headroom in self._headroom_by_id.items()
            if headroom.service == service
            and headroom.filler_headrooms
            and headroom.can_hold(step)
            and self._n_moved[cell_id] < MAX_MOVES_PER_CELL
        }
        chosen = max(left_by_id, key=left_by_id.__getitem__, default=None)
        if chosen is None:
            return None
        if left_by_id[chosen] < step.demand.cpu_millis and not shares_cpu:
            return None
        self._add_reserved(step, chosen, 1)
        return chosen

    def reserve_gang(
        self, step: Step, service: str, share: float = USABLE_HEADROOM_SHARE
    ) -> str | None:
        """Reserve headroom for all tasks of ``step`` in one cell; return it or None.

        It is ``share`` of the headroom, in one rack if the step needs one.
        """
        available_by_id = {
            cell_id: self._headroom_for(step, headroom, share)
            for cell_id, headroom in self._headroom_by_id.items()
            if headroom.service == service
        }
        chosen = max(available_by_id, key=available_by_id.__getitem__, default=None)
        if chosen is None:
            return None
        if available_by_id[chosen] < step.demand.cpu_millis * step.n_tasks:
            return None
        self._add_reserved(step, chosen, step.n_tasks)
        return chosen

    def reserve_gang_capacity(self, step: Step, service: str) -> str | None:
        """Reserve capacity, not headroom, for all tasks of a gang; return its cell."""
        needed = step.demand.cpu_millis * step.n_tasks
        needs_rack = step.same_rack
        capacities = {
            cell_id: left
            for cell_id, left in self.capacities(step, service).items()
            if left >= needed
            and (not needs_rack or self._headroom_by_id[cell_id].fits_empty_rack(step))
        }
        if not capacities:
            return None
        chosen = max(capacities, key=capacities.__getitem__)
        self._add_reserved(step, chosen, step.n_tasks)
        return chosen

    def _add_reserved(self, step: Step, cell_id: str, n_tasks: int) -> None:
        reserved = self._reserved_for_fillers if step.fills else self._reserved
        reserved[cell_id] += step.demand.cpu_millis * n_tasks
        self._n_moved[cell_id] += n_tasks

    def _headroom_for(
        self,
        step: Step,
        headroom: CellHeadroom,
        share: float = USABLE_HEADROOM_SHARE,
    ) -> float:
        if not step.fills:
            free = _free_for_step(step, headroom)
            return free * share - self._reserved[headroom.cell_id]
        if not headroom.can_hold(step):
            return 0.0
        left = headroom.headroom_for_filler(step.image, self._interference) * share
        return left - self._reserved_for_fillers[headroom.cell_id]


def _free_for_step(step: Step, headroom: CellHeadroom) -> int:
    """Return what tasks of a step can use, in one rack if all must run in one."""
    if step.is_gang and step.same_rack:
        return headroom.free_in_one_rack(step)
    return headroom.free_for(step)


def is_stuck(ready: ReadyStep, now: float) -> bool:
    """Return whether tasks of a step have fitted on no worker for too long."""
    if ready.stuck_since is None:
        return False
    limit_s = MOVE_FILLER_AFTER_STUCK_S if ready.step.fills else MOVE_AFTER_STUCK_S
    return now - ready.stuck_since > limit_s


def make_move(
    tracked: TrackedSubmission,
    task: TaskKey,
    cell_id: str,
    epoch: int,
    now: float,
    *,
    counts: bool = False,
    target_epoch: int = 0,
) -> TaskMove:
    """Return the move of ``task`` to ``cell_id`` with its runs and checkpoint.

    One that ``counts`` adds to the task's number of moves, which is limited.

    Runs of owners before ``epoch`` may be unknown; the floor is above them too.
    """
    idle_s = 0.0 if tracked.idle_since is None else now - tracked.idle_since
    return TaskMove(
        cell_id,
        tracked.next_run(task, epoch) - 1,
        tuple(sorted(tracked.progress.failed_runs_by_task.get(task, ()))),
        tracked.checkpoint_of(task),
        tuple(sorted(tracked.crashes(task).items())),
        tracked.n_moves_by_task.get(task, 0) + counts,
        target_epoch,
        int(idle_s * 1000),
    )

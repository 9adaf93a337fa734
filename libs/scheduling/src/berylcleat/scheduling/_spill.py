"""Moves at once of tasks that can't start in their cell, and of stuck standing tasks.

Several cells see the same headroom of a cell before its next load tells them of each
other. So each takes only its part of it: all parts together are no more than there is,
except for ordinary tasks of cells that have begun to wait since their last loads.
Standing tasks, which are few and large, are spread in proportion to the room instead.
"""

import math
import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from berylcleat.model import Step, TaskKey

from ._interference import InterferenceModel
from ._moves import USABLE_HEADROOM_SHARE, CellHeadroom, HeadroomReservations
from ._submissions import ReadyStep, TrackedSubmission

# Seconds from the decision to move a task to its start in the other cell.
MOVE_S = 0.2
# Moves of a task, and seconds between two of them. A task that is then stuck for the
# last time may move again, since the workers of its cell may be gone; sooner if it must
# run within 3 s and can't start in its cell by then.
MAX_MOVES = 2
MIN_MOVE_INTERVAL_S = 1.0
LAST_RESORT_STUCK_S = 5.0
OVERDUE_STUCK_S = 2.2
# Maximum age of a load that a move relies on, in seconds.
MAX_LOAD_AGE_S = 3.0
# Seconds after which the loads show the tasks that were moved there.
LOAD_DELAY_S = 2.0
# Seconds after a rejected proposal until the step is proposed again.
CONFLICT_RETRY_S = 0.3
# Shares of the headroom that a standing task may use, and whether what waits there
# counts as taken, the preferred first. The platform requires a standing task to run
# where there is capacity for it, whatever else waits.
STANDING_ROOMS = ((USABLE_HEADROOM_SHARE, True), (1.0, True), (1.0, False))
# Milliseconds for which the same cells share a cell's headroom. For fillers its parts
# have at least this many thousandths of a core, and every fourth time one cell gets
# all, for large tasks.
SHARE_PERIOD_MS = 2000
MIN_PART_MILLIS = 4000
WHOLE_PERIOD = 4
# Multiples of it, modulo 1, are spaced evenly however many there are.
GOLDEN_RATIO = 0.6180339887
MIX_FACTORS = (0x9E3779B97F4A7C15, 0xBF58476D1CE4E5B9)
MIX_RANGE = 2**64


@dataclass(frozen=True, slots=True)
class _Taken:
    """Processor time taken from the headroom of a cell, in thousandths of a core."""

    taken_at: float
    cell_id: str
    fills: bool
    cpu_millis: int


class SpillPlanner:
    """Planner of one cell's moves, and its part of the other cells' headroom."""

    def __init__(self, cell_id: str):
        self._cell_id = cell_id
        self._taken: list[_Taken] = []
        self._retry_at_by_step: dict[tuple[str, int, int], float] = {}
        # Places among the cells that share a target, drawn anew each turn.
        self._turn = -1
        self._place_by_target: dict[str, int] = {}
        # Standing tasks moved so far; each takes the next evenly spaced point.
        self._n_standing = 0

    def choose_tasks(
        self,
        ready: ReadyStep,
        tasks: list[TaskKey],
        n_staying: int,
        now: float,
        *,
        must_leave: bool = False,
    ) -> list[TaskKey]:
        """Return the tasks of a step that may move now.

        The first ``n_staying`` of them are expected to start here before a move ends.
        Tasks of a step that ``must_leave`` may move soon again.
        """
        if ready.stuck_since is None or not tasks:
            return []
        if now < self._retry_at_by_step.get(tasks[0][:3], now):
            return []
        stuck_s = now - ready.stuck_since
        return [
            task
            for task in tasks[n_staying:]
            if may_move(ready.tracked, task, stuck_s, now, must_leave=must_leave)
        ]

    def reserve(
        self,
        step: Step,
        service: str,
        n_tasks: int,
        headrooms: Iterable[CellHeadroom],
        interference: InterferenceModel,
        wall_ms: float,
        now: float,
    ) -> list[str]:
        """Take headroom for up to ``n_tasks``; return the cell of each that fits."""
        if not n_tasks:
            return []
        self._forget_taken(now)
        suitable = {h.cell_id: h for h in headrooms if h.service == service}
        turn = int(wall_ms // SHARE_PERIOD_MS)
        slots: list[tuple[bool, bool, int, str]] = []
        for cell_id, headroom in suitable.items():
            if headroom.age_s > MAX_LOAD_AGE_S:
                continue
            if step.fills:
                n_sharing = self._count_sharing(headroom, suitable, turn)
                n_slots = self._count_filler_slots(
                    step, headroom, n_sharing, interference
                )
            else:
                n_slots = self._count_slots(step, headroom, suitable, turn)
            # Cells that hold all tasks are equal; the near ones of them come first.
            is_small = n_slots < n_tasks
            slots.append((is_small, not headroom.is_near, -n_slots, cell_id))
        chosen: list[str] = []
        for _, _, n_negative, cell_id in sorted(slots):
            n = min(-n_negative, n_tasks - len(chosen))
            if n > 0:
                chosen += [cell_id] * n
                cpu_millis = n * step.demand.cpu_millis
                self._taken.append(_Taken(now, cell_id, step.fills, cpu_millis))
        return chosen

    def _forget_taken(self, now: float) -> None:
        self._taken = [t for t in self._taken if now - t.taken_at < LOAD_DELAY_S]

    def taken_cpu_by_cell(self, now: float) -> dict[str, int]:
        """Return what ordinary tasks take of cells whose loads may not show it yet."""
        self._forget_taken(now)
        taken: dict[str, int] = {}
        for item in self._taken:
            if not item.fills:
                taken[item.cell_id] = taken.get(item.cell_id, 0) + item.cpu_millis
        return taken

    def reserve_standing(
        self,
        step: Step,
        service: str,
        reservations: HeadroomReservations,
        wall_ms: float,
        now: float,
        *,
        is_stranded: bool = False,
    ) -> str | None:
        """Take headroom for a stuck standing task; return its cell, or None.

        Cells are chosen in proportion to the room left: the cells whose tasks are stuck
        choose evenly spaced points of all the room, and so do the tasks of each. Where
        the usual share of no headroom holds the task, the whole headroom counts, then
        also what the tasks that wait in its cell would take. One that is stranded in a
        cell without workers moves to a full cell at last: there it is among the first
        to start.
        """
        for share, beside_waiting in STANDING_ROOMS:
            rooms = reservations.rooms(
                step, service, share, MAX_LOAD_AGE_S, beside_waiting=beside_waiting
            )
            if rooms:
                break
        if not rooms and is_stranded:
            rooms = reservations.capacities(step, service)
        if not rooms:
            return None
        names = {self._cell_id, *reservations.cell_ids}
        place = self._draw_place("", names, int(wall_ms // SHARE_PERIOD_MS))
        self._n_standing += 1
        point = (place / len(names) + self._n_standing * GOLDEN_RATIO) % 1.0
        point *= sum(rooms.values())
        for cell_id in sorted(rooms):
            point -= rooms[cell_id]
            if point < 0:
                break
        reservations.add_task(step, cell_id)
        self._taken.append(_Taken(now, cell_id, step.fills, step.demand.cpu_millis))
        return cell_id

    def reserve_slot(
        self,
        step: Step,
        service: str,
        reservations: HeadroomReservations,
        now: float,
    ) -> list[str]:
        """Take a slot for one task of a starving step; return its cell, if any."""
        cell_id = reservations.reserve_slot(step, service, MAX_LOAD_AGE_S)
        if cell_id is None:
            return []
        self._taken.append(_Taken(now, cell_id, step.fills, step.demand.cpu_millis))
        return [cell_id]

    def _count_sharing(
        self, headroom: CellHeadroom, suitable: Mapping[str, CellHeadroom], turn: int
    ) -> int:
        """Return how many cells share a cell's headroom for fillers now.

        It is 0 if this one doesn't. Every cell but the target itself may. All compute
        the same from one load.
        """
        names = {self._cell_id, *suitable} - {headroom.cell_id}
        total = sum(item.cpu_left for item in headroom.filler_headrooms)
        n_parts = int(total * USABLE_HEADROOM_SHARE) // MIN_PART_MILLIS
        if (turn + _draw(headroom.cell_id)) % WHOLE_PERIOD == 0:
            n_parts = 1
        n_sharing = min(len(names), max(1, n_parts))
        place = self._draw_place(headroom.cell_id, names, turn)
        return n_sharing if place < n_sharing else 0

    def _draw_place(self, target: str, names: set[str], turn: int) -> int:
        """Return this cell's place among those that may share a target's headroom.

        An empty target stands for the headroom of all cells.
        """
        if turn != self._turn:
            self._turn = turn
            self._place_by_target.clear()
        place = self._place_by_target.get(target)
        if place is None:
            place = self._compute_place(target, names, turn)
            self._place_by_target[target] = place
        return place

    def _compute_place(self, target: str, names: set[str], turn: int) -> int:
        own = _draw(f"{self._cell_id}/{target}/{turn}")
        return sum(_draw(f"{name}/{target}/{turn}") < own for name in names)

    def _count_slots(
        self,
        step: Step,
        headroom: CellHeadroom,
        suitable: Mapping[str, CellHeadroom],
        turn: int,
    ) -> int:
        """Return how many more ordinary tasks this cell's part of another holds.

        The parts are whole tasks, for cells whose tasks wait: in a full service each
        worker has room for one task at most, which a share in processor time never
        holds.
        """
        cpu_millis = max(1, step.demand.cpu_millis)
        n_free = headroom.free_for(step) // cpu_millis
        if n_free <= 0:
            return 0
        n_usable = max(1, int(n_free * USABLE_HEADROOM_SHARE))
        names = {h.cell_id for h in suitable.values() if h.waiting > 0}
        names = (names | {self._cell_id}) - {headroom.cell_id}
        place = self._compute_place(headroom.cell_id, names, turn)
        n_own = n_usable // len(names) + (place < n_usable % len(names))
        return max(0, n_own - math.ceil(self._taken_cpu(headroom, step) / cpu_millis))

    def _count_filler_slots(
        self,
        step: Step,
        headroom: CellHeadroom,
        n_sharing: int,
        interference: InterferenceModel,
    ) -> int:
        """Return how many more fillers this cell's part of another holds."""
        if not n_sharing or not headroom.can_hold(step):
            return 0
        left = headroom.headroom_for_filler(step.image, interference)
        part = int(left * USABLE_HEADROOM_SHARE) // n_sharing
        part -= self._taken_cpu(headroom, step)
        return max(0, part) // max(1, step.demand.cpu_millis)

    def _taken_cpu(self, headroom: CellHeadroom, step: Step) -> int:
        """Return what was taken from a headroom for tasks of the kind of ``step``."""
        return sum(
            item.cpu_millis
            for item in self._taken
            if item.cell_id == headroom.cell_id and item.fills == step.fills
        )

    def on_settled(self, still_here: Iterable[TaskKey], now: float) -> None:
        """Delay the next proposal of a step whose tasks weren't moved."""
        retries = self._retry_at_by_step.items()
        self._retry_at_by_step = {step: at for step, at in retries if at > now}
        for task in still_here:
            self._retry_at_by_step[task[:3]] = now + CONFLICT_RETRY_S


def may_move(
    tracked: TrackedSubmission,
    task: TaskKey,
    stuck_s: float,
    now: float,
    *,
    must_leave: bool = False,
) -> bool:
    """Return whether a task has not moved too often or too recently.

    One of a step that ``must_leave`` its cell moves on sooner.
    """
    moved_at = tracked.moved_at_by_task.get(task)
    if moved_at is not None and now - moved_at < MIN_MOVE_INTERVAL_S:
        return False
    if tracked.n_moves_by_task.get(task, 0) < MAX_MOVES:
        return True
    return stuck_s > (OVERDUE_STUCK_S if must_leave else LAST_RESORT_STUCK_S)


def _draw(name: str) -> int:
    """Return a number drawn for a name, the same on every host.

    Checksums of similar names are related, so that one cell would precede another for
    most targets at once; multiplying their bits mixes them (Steele, Lea and Flood, Fast
    Splittable Pseudorandom Number Generators, 2014).
    """
    number = zlib.crc32(name.encode()) * MIX_FACTORS[0] % MIX_RANGE
    number = (number ^ number >> 30) * MIX_FACTORS[1] % MIX_RANGE
    return number ^ number >> 27

"""Reasons why waiting steps don't start, for the log of what submissions wait for."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from berylcleat.model import Step

from ._interference import InterferenceModel
from ._moves import CellHeadroom
from ._placement import explain_rejection
from ._spill import MAX_LOAD_AGE_S
from ._submissions import ReadyStep
from ._workers import WorkerView


class WaitReason(Enum):
    """What a waiting step waits for."""

    # The cell may start nothing, or may have runs of an earlier owner.
    OWNER = "owner"
    MOVE = "move"
    # A worker fits: the step waits for the next planning round or for its turn.
    TURN = "turn"
    NO_USABLE_WORKER = "no-usable-worker"
    MAX_PER_WORKER = "max-per-worker"
    CAPACITY_ELSEWHERE = "capacity-elsewhere"
    CAPACITY_IN_PIECES = "capacity-in-pieces"
    NO_CAPACITY = "no-capacity"
    TRIAL = "trial"
    PACE = "pace"
    DISTURBED = "disturbed"
    NO_PROCESSOR_TIME = "no-processor-time"


# Why workers reject a filler, what has to change least for it to start first.
FILLER_REASONS = (
    ("no further trial of the image allowed", WaitReason.TRIAL),
    ("pace would be too low", WaitReason.PACE),
    ("serving task over target", WaitReason.DISTURBED),
    ("recovering", WaitReason.DISTURBED),
    ("no processor time left", WaitReason.NO_PROCESSOR_TIME),
)


@dataclass(frozen=True, slots=True)
class StepWait:
    """Reason why a step waits, with capacities in thousandths of a core.

    ``largest`` is the most that is free on one usable worker, ``n_cells_with_capacity``
    how many other cells report a worker that holds a task.
    """

    reason: WaitReason
    free: int = 0
    largest: int = 0
    n_cells_with_capacity: int = 0


def explain_capacity(
    ready: ReadyStep,
    usable: list[WorkerView],
    headrooms: Iterable[CellHeadroom],
    interference: InterferenceModel,
) -> StepWait:
    """Return why no usable worker runs the first waiting task of a step."""
    step = ready.step
    service = ready.tracked.submission.queue.service
    task = ready.task(min(ready.waiting))
    suitable = [view for view in usable if view.entry.service == service]
    free_by_worker = [max(0, view.free().cpu_millis) for view in suitable]
    rejections = {
        explain_rejection(task, step, service, view, interference) for view in suitable
    }
    n_cells = _count_cells_with_capacity(step, service, headrooms)
    return StepWait(
        _find_reason(step, rejections, sum(free_by_worker), n_cells),
        sum(free_by_worker),
        max(free_by_worker, default=0),
        n_cells,
    )


def _find_reason(
    step: Step, rejections: set[str], free: int, n_cells: int
) -> WaitReason:
    if not rejections:
        return WaitReason.NO_USABLE_WORKER
    if "" in rejections:
        return WaitReason.TURN
    for text, reason in FILLER_REASONS:
        if text in rejections:
            return reason
    if "max_per_worker reached" in rejections:
        return WaitReason.MAX_PER_WORKER
    if n_cells:
        return WaitReason.CAPACITY_ELSEWHERE
    if free >= step.demand.cpu_millis:
        return WaitReason.CAPACITY_IN_PIECES
    return WaitReason.NO_CAPACITY


def _count_cells_with_capacity(
    step: Step, service: str, headrooms: Iterable[CellHeadroom]
) -> int:
    """Return how many cells had a worker that holds a task, by their last loads."""
    if step.fills:
        return 0
    return sum(
        headroom.service == service
        and headroom.age_s <= MAX_LOAD_AGE_S
        and headroom.free_for(step) >= step.allocation.cpu_millis
        for headroom in headrooms
    )

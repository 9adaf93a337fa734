"""Log lines of what the waiting steps of a cell wait for, one for each change."""

import logging

from berylcleat.model import StepKey
from berylcleat.scheduling import CellScheduler, ReadyStep, StepWait, WaitReason

# Maximum lines of one update; further changes are logged by the next ones.
MAX_LINES = 20
logger = logging.getLogger(__name__)


class WaitingLog:
    """Writer of a line whenever the reason changes why a step waits."""

    def __init__(self):
        self._reason_by_step: dict[StepKey, WaitReason] = {}

    def update(self, scheduler: CellScheduler, now: float) -> None:
        """Log the reasons that have changed since the last call."""
        known_by_step = self._reason_by_step
        self._reason_by_step = {}
        n_lines = 0
        for ready in scheduler.submissions.iter_ready():
            step_key = ready.task(0).step_key
            known = known_by_step.get(step_key)
            if n_lines < MAX_LINES:
                wait = scheduler.explain_step_wait(ready, now)
                if wait.reason is not known:
                    n_lines += 1
                    _log_wait(scheduler.cell_id, step_key, ready, wait)
                known = wait.reason
            if known is not None:
                self._reason_by_step[step_key] = known


def _log_wait(
    cell_id: str, step_key: StepKey, ready: ReadyStep, wait: StepWait
) -> None:
    logger.info(
        "step waits: %s in cell %s: %s, %d tasks of %d, %d free, %d on one worker, "
        "%d other cells with capacity",
        step_key,
        cell_id,
        wait.reason.value,
        len(ready.waiting),
        ready.step.demand.cpu_millis,
        wait.free,
        wait.largest,
        wait.n_cells_with_capacity,
    )

"""Stops of long-running tasks for short ones that are in time and have no room."""

import logging
from collections.abc import Iterator

from berylcleat.model import TaskKey

from ._cell_relocations import CellRelocations
from ._preemption import ShortTask
from ._spill import MAX_LOAD_AGE_S
from ._submissions import ReadyStep
from ._urgency import deadline_key, is_past_due

# Seconds that a step waits for a move to another cell that reports capacity.
MOVE_WAIT_S = 0.1
# Maximum tasks for which one planning round makes room.
MAX_TASKS_PER_ROUND = 16
logger = logging.getLogger(__name__)


class CellPreemptions(CellRelocations):
    """Preemption where waiting tasks are ordered by their expected finish."""

    def _preempt_for_short_tasks(self, now: float) -> None:
        """Stop long-running tasks for short ones that found no worker in this round."""
        if self.preemption is None:
            return
        waiting = list(self._short_tasks_without_room(now))
        if not waiting:
            return
        views = self._startable_workers(now)
        for run in self.preemption.choose(waiting, views, self._priority_of, now):
            logger.info(
                "run yields to short tasks: task %s run %d on %s, after %.1f s",
                run.task,
                run.number,
                run.worker_id,
                now - run.started_at,
            )
            self._stop(run, now)

    def _short_tasks_without_room(self, now: float) -> Iterator[ShortTask]:
        steps = [
            ready
            for ready in self.submissions.iter_ready()
            if ready.stuck_since is not None and self._may_preempt(ready, now)
        ]
        steps.sort(key=lambda ready: deadline_key(ready, now))
        n_left = MAX_TASKS_PER_ROUND
        for ready in steps:
            queue = ready.tracked.submission.queue
            for task in self._startable_tasks(ready, now)[:n_left]:
                n_left -= 1
                yield ShortTask(task, ready.step, queue.service, queue.priority)

    def _may_preempt(self, ready: ReadyStep, now: float) -> bool:
        """Return whether a stuck step is short, in time, and can't move elsewhere."""
        step, tracked = ready.step, ready.tracked
        if step.fills or step.is_long_running or step.is_gang:
            return False
        submission = tracked.submission
        if submission.is_scheduled or submission.queue.advice is not None:
            return False
        if is_past_due(ready, now) or self.finish_order.is_late(
            submission.submission_id
        ):
            return False
        if any(tracked.n_crashes(ready.task(index)) for index in ready.waiting):
            return False
        return now - ready.stuck_since > MOVE_WAIT_S or not self._fits_elsewhere(ready)

    def _fits_elsewhere(self, ready: ReadyStep) -> bool:
        """Return whether other cells report capacity for a step's waiting tasks."""
        cpu_millis = max(1, ready.step.allocation.cpu_millis)
        service = ready.tracked.submission.queue.service
        n_slots = sum(
            max(0, headroom.free_for(ready.step)) // cpu_millis
            for headroom in self._other_headrooms
            if headroom.service == service and headroom.age_s <= MAX_LOAD_AGE_S
        )
        return n_slots >= len(ready.waiting)

    def _priority_of(self, task: TaskKey) -> int:
        return self.submissions.by_id[task.submission_id].submission.queue.priority

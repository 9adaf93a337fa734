"""Steps that fit on no worker of their cell, and whether they must leave it.

The platform requires work for which there is capacity to run within 3 s while less than
half of a service is in use. Starts, forced starts and moves each may decline a step;
here is decided which of them has to serve it by then.
"""

from enum import Enum

from berylcleat.model import TaskKey

from ._cell_preemptions import CellPreemptions
from ._moves import is_stuck
from ._placement import can_ever_hold
from ._service_use import MAX_RESERVED_SHARE, STARVATION_S
from ._spill import may_move
from ._submissions import ReadyStep


class StayReason(Enum):
    """Why the waiting tasks of a step don't move to another cell."""

    NOT_STUCK = "not stuck for long"
    MOVED = "moved too often or just now"
    MAY_START_HERE = "may start here in time"
    IN_USE = "much of the service reserved"
    NO_HEADROOM = "no headroom elsewhere"


class CellStarvation(CellPreemptions):
    """Decisions on steps that fit on no worker for long."""

    def _is_stuck(self, ready: ReadyStep, now: float) -> bool:
        """Return whether a step should move: in an evacuated cell, each should."""
        return self._is_evacuated() or is_stuck(ready, now)

    def _counts_moves(self, ready: ReadyStep) -> bool:
        """Return whether the moves of a step's tasks are limited in number.

        Those of fillers always are: a filler that moves on can't be forced.
        """
        if self._is_evacuated() or ready.step.is_gang or ready.step.is_long_running:
            return False
        return ready.step.fills or self.spill is not None

    def _may_move(
        self, ready: ReadyStep, task: TaskKey, now: float, *, must_leave: bool
    ) -> bool:
        """Return whether a stuck task has not moved too often or too recently.

        Moves are limited for fillers, and for others where tasks move at once, but not
        for tasks that last.
        """
        if not self._counts_moves(ready):
            return True
        stuck_s = 0.0 if ready.stuck_since is None else now - ready.stuck_since
        return may_move(ready.tracked, task, stuck_s, now, must_leave=must_leave)

    def _must_leave(self, ready: ReadyStep, now: float) -> bool:
        """Return whether a starving step can't start here in time."""
        if self._is_stranded(ready, now):
            return True
        if ready.step.fills:
            return self._can_only_start_elsewhere(ready, now)
        return self._starves(ready, now)

    def _is_stranded(self, ready: ReadyStep, now: float) -> bool:
        """Return whether no worker of the cell can hold a stuck step, now or later.

        All may be gone. In other cells the tasks that wait there start first, so that
        none of them ever reports room for it.
        """
        if self._is_evacuated() or ready.starved_s(now) <= STARVATION_S:
            return False
        return not self._can_ever_hold(ready)

    def _can_ever_hold(self, ready: ReadyStep) -> bool:
        """Return whether a worker of the cell can hold a step, now or later."""
        service = ready.tracked.submission.queue.service
        return any(
            view.is_listed
            and not view.entry.is_draining
            and can_ever_hold(ready.step, service, view.entry)
            for view in self.worker_by_id.values()
        )

    def _starves(self, ready: ReadyStep, now: float) -> bool:
        """Return whether a step is stuck while much of its service isn't reserved."""
        if ready.starved_s(now) <= STARVATION_S:
            return False
        service = ready.tracked.submission.queue.service
        share = self._share_by_service.get(service)
        if share is None:
            share = self._share_by_service[service] = self._reserved_share(service, now)
        return share < MAX_RESERVED_SHARE

    def _can_only_start_elsewhere(self, ready: ReadyStep, now: float) -> bool:
        """Return whether fillers starve here and can't be forced onto any worker.

        As fillers are, they move only while much of the service isn't reserved.
        """
        if not ready.step.fills or not self._may_start(now):
            return False
        if not self._starves(ready, now):
            return False
        return not self._can_force_below_target(ready, now)

    def explain_stay(self, ready: ReadyStep, now: float) -> str:
        """Return why a step doesn't move, and for how long nothing of it has run."""
        service = ready.tracked.submission.queue.service
        share = self._reserved_share(service, now)
        idle_since = ready.tracked.idle_since
        idle_s = 0.0 if idle_since is None else now - idle_since
        reason = self._find_stay_reason(ready, now)
        return (
            f", stays: {reason.value}, {share:.2f} of the service reserved, "
            f"no run for {idle_s:.1f} s"
        )

    def _find_stay_reason(self, ready: ReadyStep, now: float) -> StayReason:
        if not self._is_stuck(ready, now):
            return StayReason.NOT_STUCK
        task = ready.task(min(ready.waiting))
        must_leave = self._must_leave(ready, now)
        if not self._may_move(ready, task, now, must_leave=must_leave):
            return StayReason.MOVED
        if must_leave or self._is_evacuated():
            return StayReason.NO_HEADROOM
        if ready.starved_s(now) > STARVATION_S and not self._starves(ready, now):
            return StayReason.IN_USE
        if ready.step.fills and self._can_ever_hold(ready):
            return StayReason.MAY_START_HERE
        return StayReason.NO_HEADROOM

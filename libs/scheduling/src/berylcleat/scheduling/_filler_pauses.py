"""Pauses of fillers that disturb serving tasks, in place of stops.

A pause takes effect at once and keeps the filler's work; a stop takes time, and the
task has to start again elsewhere. A filler stays paused for as long as a stop would
cost and is then stopped, so that it loses at most twice the time of the better choice
(the ski rental problem; Karlin et al., Competitive Snoopy Caching, 1988).
"""

from dataclasses import dataclass

from ._interference import DISTURBED_RATIO
from ._pacing import PaceChange
from ._workers import Run, RunPhase, WorkerView

PAUSED_PERCENT = 0
# Seconds from the end of a stopped task to its next start.
RESTART_S = 0.3
# Seconds from a pause until readings show its effect: they cover the last half second.
RESUME_DELAY_S = 0.7
# Maximum pause in seconds of a filler that a stop would throw back to its beginning.
MAX_PAUSE_S = 4.0


@dataclass(frozen=True, slots=True)
class PauseRules:
    """Cost of a stop in seconds: the longest stop, and the resumption of a task."""

    stop_s: float
    restore_s: float

    @property
    def is_enabled(self) -> bool:
        """Return whether a stop costs more than a pause must last to show effect."""
        return self.stop_s + self.restore_s > RESUME_DELAY_S

    def max_pause_s(self, run: Run) -> float:
        """Return for how many seconds a run stays paused before it is stopped.

        A task that saves its progress is saved by a stop; others begin anew.
        """
        cost_s = self.stop_s + self.restore_s + RESTART_S
        if not run.step.saves_progress and run.paused_since is not None:
            cost_s += run.paused_since - run.started_at
        return min(cost_s, MAX_PAUSE_S)

    def has_paused_too_long(self, run: Run, now: float) -> bool:
        """Return whether a run has been paused for so long that it should stop."""
        if run.paused_since is None or run.phase is not RunPhase.RUNNING:
            return False
        return now - run.paused_since > self.max_pause_s(run)


def can_pause(run: Run) -> bool:
    """Return whether a run may be paused instead of stopped.

    A forced filler runs beside tasks that it disturbs, and only for a short time.
    """
    return run.phase is RunPhase.RUNNING and not run.is_forced


def may_resume(run: Run, view: WorkerView) -> bool:
    """Return whether readings from after a run's pause allow to resume it."""
    if run.paused_since is None:
        return True
    if view.is_recovering or view.worst_reading() > DISTURBED_RATIO:
        return False
    return view.clock.answered_at - run.paused_since >= RESUME_DELAY_S


def allowed_changes(
    changes: tuple[PaceChange, ...], view: WorkerView
) -> list[PaceChange]:
    """Return the pace changes without those that would resume a run too early."""
    return [change for change in changes if may_resume(change.run, view)]

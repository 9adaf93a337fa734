"""Choose the fillers to stop so that what serves beside them keeps its target."""

from ._interference import DISTURBED_RATIO, InterferenceModel, is_slow_worker
from ._workers import FORCED_RUN_S, READING_SPAN_S, Run, RunPhase, WorkerView

# A filler with a lower probability of being heavy is not stopped for it alone.
MIN_STOP_PROBABILITY = 0.15
# After so long over a target on end, all fillers leave the worker. The platform allows
# 4 seconds, of which a stop and the age of a reading take their part.
MAX_OVER_TARGET_S = 1.8


def must_stop_all_fillers(view: WorkerView, now: float) -> bool:
    """Tell whether all fillers must leave a worker and none may come."""
    return view.over_target_s(now) > MAX_OVER_TARGET_S


def choose_fillers_to_stop(
    view: WorkerView, interference: InterferenceModel, now: float
) -> list[Run]:
    """Return the fillers on a worker that should stop now."""
    fillers = [run for run in view.filler_runs() if run.phase is RunPhase.RUNNING]
    if not fillers:
        return []
    if must_stop_all_fillers(view, now):
        return fillers
    unforced = [run for run in fillers if not _is_in_forced_period(run, now)]
    if not unforced or now - view.fillers_stopped_at <= READING_SPAN_S:
        return []
    return _likely_disturbers(view, unforced, interference)


def _is_in_forced_period(run: Run, now: float) -> bool:
    return run.is_forced and now - run.started_at < FORCED_RUN_S


def _likely_disturbers(
    view: WorkerView, fillers: list[Run], interference: InterferenceModel
) -> list[Run]:
    """Return the fillers that most likely disturb something on a worker.

    Where none is suspected, the load of what serves is the cause; that one, and a
    worker that is slow by itself, get no better by a stop.
    """
    worst = view.worst_reading_by_image()
    disturbed = {image for image, ratio in worst.items() if ratio > DISTURBED_RATIO}
    if not disturbed or is_slow_worker(worst):
        return []
    suspicion, image = max(
        (interference.worst_probability(run.step.image, disturbed), run.step.image)
        for run in fillers
    )
    if suspicion < MIN_STOP_PROBABILITY:
        return []
    return [run for run in fillers if run.step.image == image]

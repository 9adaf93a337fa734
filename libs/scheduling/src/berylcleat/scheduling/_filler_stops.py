"""Choice of the fillers to stop when serving tasks exceed their latency target."""

from ._interference import DISTURBED_RATIO, InterferenceModel, is_slow_worker
from ._workers import (
    FORCED_RUN_S,
    FORCED_START_WINDOW_S,
    READING_SPAN_S,
    Run,
    RunPhase,
    WorkerView,
)

# Minimum probability of heavy interference at which a filler is stopped.
MIN_STOP_PROBABILITY = 0.15
# Seconds of continuous excess over a target after which all fillers of the worker are
# stopped. The platform allows 4 seconds, which include the delay of the stop and the
# age of the reading.
MAX_OVER_TARGET_S = 1.8


def must_stop_all_fillers(view: WorkerView, now: float) -> bool:
    """Return whether all fillers of a worker must stop and none may start."""
    return view.over_target_s(now) > MAX_OVER_TARGET_S


def choose_fillers_to_stop(
    view: WorkerView, interference: InterferenceModel, now: float
) -> list[Run]:
    """Return the fillers on a worker to stop now."""
    fillers = [run for run in view.filler_runs() if run.phase is RunPhase.RUNNING]
    if not fillers:
        return []
    if must_stop_all_fillers(view, now):
        return [run for run in fillers if not _is_beside_own_load(run, view, now)]
    unforced = [run for run in fillers if not _is_in_forced_period(run, now)]
    if not unforced or now - view.fillers_stopped_at <= READING_SPAN_S:
        return []
    return _likely_disturbers(view, unforced, interference)


def _is_beside_own_load(run: Run, view: WorkerView, now: float) -> bool:
    """Return whether a filler was forced beside tasks that were over their targets.

    They were so by their own load. It runs for less time than the platform allows
    fillers to keep a task over its target, as their load may fall meanwhile.
    """
    since_s = run.started_at - view.forced_beside_own_load_at
    return 0 <= since_s < FORCED_START_WINDOW_S and _is_in_forced_period(run, now)


def _is_in_forced_period(run: Run, now: float) -> bool:
    return run.is_forced and now - run.started_at < FORCED_RUN_S


def _likely_disturbers(
    view: WorkerView, fillers: list[Run], interference: InterferenceModel
) -> list[Run]:
    """Return the fillers of the image that most likely disturbs a serving image.

    The list is empty when no filler is likely to interfere, as the serving tasks' own
    load is then the cause, or when the worker itself is slow: a stop helps in neither
    case.
    """
    worst = view.worst_reading_by_image()
    disturbed = {image for image, ratio in worst.items() if ratio > DISTURBED_RATIO}
    if not disturbed or is_slow_worker(worst):
        return []
    probability, image = max(
        (interference.worst_probability(run.step.image, disturbed), run.step.image)
        for run in fillers
    )
    if probability < MIN_STOP_PROBABILITY:
        return []
    return [run for run in fillers if run.step.image == image]

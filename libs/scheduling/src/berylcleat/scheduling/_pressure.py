"""Hold the load that fillers add to what serves beside them within a budget.

A filler of a heavy pair adds load in proportion to the processor time it uses. While
the serving task's own load is low it is therefore harmless, and a paced one for longer.
"""

from dataclasses import dataclass

from ._interference import (
    HEAVY_PRESSURE,
    MILD_BELOW,
    MILD_PRESSURE,
    InterferenceModel,
    load_of,
)
from ._workers import Run, RunPhase, WorkerView

# Tail latency relative to the target that fillers may bring a serving task to: the rest
# is for its own load, which changes while a filler runs.
AIMED_RATIO = 0.7
# Readings of one submission's tasks tell its load for so long, in seconds.
READING_AGE_S = 1.6
# Percent: a filler that would be paced below the first is stopped, one that would be
# below the second isn't started; a rise by less than the third isn't ordered.
MIN_PACE = 20
START_PACE = 60
PACE_STEP = 20
# Load that a serving task and all fillers beside it may come to.
BUDGET = load_of(AIMED_RATIO)


@dataclass(frozen=True, slots=True)
class _Sighting:
    ratio: float
    seen_at: float


class LoadBook:
    """Estimate the own load of serving tasks: those of a submission share it.

    The task that is disturbed least tells the load of its siblings.
    """

    def __init__(self):
        self._by_submission: dict[str, dict[str, _Sighting]] = {}

    def observe(self, view: WorkerView, now: float) -> None:
        """Take in the readings of one worker and estimate its serving tasks' load."""
        serving = [run for run in view.serving_runs() if run.reading > 0]
        for run in serving:
            ratio = run.reading / run.step.target_latency_ms
            by_worker = self._by_submission.setdefault(run.task.submission_id, {})
            known = by_worker.get(run.worker_id)
            if known is not None and known.seen_at == now:
                ratio = min(ratio, known.ratio)
            by_worker[run.worker_id] = _Sighting(ratio, now)
        for run in serving:
            self._estimate(run, now)

    def _estimate(self, run: Run, now: float) -> None:
        by_worker = self._by_submission[run.task.submission_id]
        for worker_id, sighting in tuple(by_worker.items()):
            if now - sighting.seen_at > READING_AGE_S:
                del by_worker[worker_id]
        calmest = min(by_worker, key=lambda worker_id: by_worker[worker_id].ratio)
        run.own_load = load_of(by_worker[calmest].ratio)
        run.has_calm_sibling = calmest != run.worker_id

    def forget(self, submission_id: str) -> None:
        """Drop what is known of a submission that is over."""
        self._by_submission.pop(submission_id, None)


@dataclass(frozen=True, slots=True)
class PaceChange:
    """Hold a running filler and the percent that it should work at."""

    run: Run
    percent: int


@dataclass(frozen=True, slots=True)
class PacePlan:
    """Hold the fillers of one worker to pace otherwise, and those to stop."""

    changes: tuple[PaceChange, ...] = ()
    stops: tuple[Run, ...] = ()


def pressure(image: str, serving: str, pairs: InterferenceModel) -> float:
    """Return the load that a filling image would add with all processors."""
    probability = pairs.probability(image, serving)
    if probability < MILD_BELOW:
        return MILD_PRESSURE
    return probability * HEAVY_PRESSURE


def pace_with(
    image: str, cpu_millis: int, view: WorkerView, pairs: InterferenceModel
) -> int:
    """Return the percent that pressing fillers could work at with one more."""
    share = cpu_millis / view.entry.capacity.cpu_millis
    return _common_pace(view, _pressing(view, pairs), pairs, {image: share})


def plan_paces(view: WorkerView, pairs: InterferenceModel) -> PacePlan:
    """Return how the fillers of a worker should go on."""
    pressing = [run for run in _pressing(view, pairs) if not run.is_forced]
    stops: list[Run] = []
    percent = 100
    while pressing:
        percent = _common_pace(view, pressing, pairs, {})
        if percent >= MIN_PACE:
            break
        worst = max(pressing, key=lambda run: _weight(run, view, pairs))
        pressing.remove(worst)
        stops.append(worst)
    changes = []
    for run in _running_fillers(view):
        wanted = percent if run in pressing else 100
        if run not in stops and not run.is_forced and _differs(run.pace, wanted):
            changes.append(PaceChange(run, wanted))
    return PacePlan(tuple(changes), tuple(stops))


def _differs(pace: int | None, wanted: int) -> bool:
    if pace is None or wanted == 100:
        return pace != wanted
    return wanted < pace or wanted >= pace + PACE_STEP


def _running_fillers(view: WorkerView) -> list[Run]:
    return [run for run in view.filler_runs() if run.phase is RunPhase.RUNNING]


def _pressing(view: WorkerView, pairs: InterferenceModel) -> list[Run]:
    """Return the fillers that aren't known to be mild beside all that serves."""
    images = view.serving_images()
    return [
        run
        for run in view.filler_runs()
        if run.phase is not RunPhase.STOPPING
        and pairs.worst_probability(run.step.image, images) >= MILD_BELOW
    ]


def _weight(run: Run, view: WorkerView, pairs: InterferenceModel) -> float:
    images = view.serving_images()
    probability = pairs.worst_probability(run.step.image, images)
    return probability * run.step.demand.cpu_millis


def _common_pace(
    view: WorkerView,
    pressing: list[Run],
    pairs: InterferenceModel,
    more: dict[str, float],
) -> int:
    """Return the percent at which fillers keep every serving task in its budget."""
    capacity = view.entry.capacity.cpu_millis
    share_by_image: dict[str, float] = dict(more)
    for run in pressing:
        image = run.step.image
        share = run.step.demand.cpu_millis / capacity
        share_by_image[image] = share_by_image.get(image, 0.0) + share
    least = 1.0
    load_by_image: dict[str, float] = {}
    for run in view.serving_runs():
        known = load_by_image.get(run.step.image, 0.0)
        load_by_image[run.step.image] = max(known, run.own_load)
    for serving, own_load in load_by_image.items():
        added = sum(
            pressure(image, serving, pairs) * share
            for image, share in share_by_image.items()
        )
        if added > 0:
            least = min(least, max(0.0, BUDGET - own_load) / added)
    return int(least * 10) * 10

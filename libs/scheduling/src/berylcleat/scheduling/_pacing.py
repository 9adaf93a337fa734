"""Throttling of fillers so that the load of the serving tasks stays within a budget.

A filler of a heavy pair adds load to a serving task in proportion to the processor time
that it uses. It is harmless while the serving task's own load is low, and a throttled
filler remains harmless at a higher own load. The pace of a filler is the percentage of
its processor time that it may use.
"""

from dataclasses import dataclass

from ._interference import (
    HEAVY_ADDED_LOAD,
    MILD_ADDED_LOAD,
    MILD_BELOW,
    InterferenceModel,
    load_from_tail_ratio,
)
from ._workers import Run, RunPhase, WorkerView

# Maximum tail latency, relative to the target, of a serving task beside paced fillers:
# the rest is a margin for changes of its own load while a filler runs.
MAX_PACED_RATIO = 0.7
# Maximum age of a reading that the load of a submission is estimated from, in seconds.
MAX_READING_AGE_S = 1.6
# In percent: a filler is stopped instead of paced below the first limit and not started
# below the second; a rise of the pace below the third is not sent.
MIN_PACE_PERCENT = 20
MIN_START_PACE_PERCENT = 60
MIN_PACE_RISE_PERCENT = 20
# Maximum load of a serving task including the load that fillers add to it.
LOAD_BUDGET = load_from_tail_ratio(MAX_PACED_RATIO)


@dataclass(frozen=True, slots=True)
class _LoadReading:
    ratio: float
    read_at: float


class LoadEstimator:
    """Estimator of the load of serving tasks without the load that others add.

    The tasks of a submission share their load equally, so the lowest recent reading of
    any of them is the estimate for all.
    """

    def __init__(self):
        self._by_submission: dict[str, dict[str, _LoadReading]] = {}

    def observe(self, view: WorkerView, now: float) -> None:
        """Store the readings of one worker and update its serving tasks' own load."""
        serving = [run for run in view.serving_runs() if run.reading > 0]
        for run in serving:
            ratio = run.reading / run.step.target_latency_ms
            by_worker = self._by_submission.setdefault(run.task.submission_id, {})
            known = by_worker.get(run.worker_id)
            if known is not None and known.read_at == now:
                ratio = min(ratio, known.ratio)
            by_worker[run.worker_id] = _LoadReading(ratio, now)
        for run in serving:
            self._estimate(run, now)

    def _estimate(self, run: Run, now: float) -> None:
        by_worker = self._by_submission[run.task.submission_id]
        for worker_id, load_reading in tuple(by_worker.items()):
            if now - load_reading.read_at > MAX_READING_AGE_S:
                del by_worker[worker_id]
        least_loaded = min(by_worker, key=lambda worker_id: by_worker[worker_id].ratio)
        run.own_load = load_from_tail_ratio(by_worker[least_loaded].ratio)
        run.is_load_from_sibling = least_loaded != run.worker_id

    def forget(self, submission_id: str) -> None:
        """Drop the readings of a submission that has ended."""
        self._by_submission.pop(submission_id, None)


@dataclass(frozen=True, slots=True)
class PaceChange:
    """Running filler and the new pace, in percent, to order for it."""

    run: Run
    percent: int


@dataclass(frozen=True, slots=True)
class PacePlan:
    """Pace changes and stops of the fillers on one worker."""

    changes: tuple[PaceChange, ...] = ()
    stops: tuple[Run, ...] = ()


def added_load(image: str, serving: str, interference: InterferenceModel) -> float:
    """Return the expected load that a filler image adds if it uses all processors."""
    probability = interference.probability(image, serving)
    if probability < MILD_BELOW:
        return MILD_ADDED_LOAD
    return probability * HEAVY_ADDED_LOAD


def pace_with_new_filler(
    image: str, cpu_millis: int, view: WorkerView, interference: InterferenceModel
) -> int:
    """Return the pace of the disturbing fillers if one more filler were started."""
    share = view.cpu_share(cpu_millis)
    return _common_pace(
        view, _disturbing_fillers(view, interference), interference, {image: share}
    )


def plan_paces(view: WorkerView, interference: InterferenceModel) -> PacePlan:
    """Return the pace changes and stops that keep a worker within its load budget.

    The filler with the highest expected interference is stopped first, until the pace
    of the others reaches ``MIN_PACE_PERCENT``. Forced fillers are neither paced nor
    stopped.
    """
    disturbing = [
        run for run in _disturbing_fillers(view, interference) if not run.is_forced
    ]
    stops: list[Run] = []
    percent = 100
    while disturbing:
        percent = _common_pace(view, disturbing, interference, {})
        if percent >= MIN_PACE_PERCENT:
            break
        worst = max(
            disturbing, key=lambda run: _expected_interference(run, view, interference)
        )
        disturbing.remove(worst)
        stops.append(worst)
    changes = []
    for run in _running_fillers(view):
        wanted = percent if run in disturbing else 100
        if (
            run not in stops
            and not run.is_forced
            and _needs_pace_order(run.pace, wanted)
        ):
            changes.append(PaceChange(run, wanted))
    return PacePlan(tuple(changes), tuple(stops))


def _needs_pace_order(pace: int | None, wanted: int) -> bool:
    if pace is None or wanted == 100:
        return pace != wanted
    return wanted < pace or wanted >= pace + MIN_PACE_RISE_PERCENT


def _running_fillers(view: WorkerView) -> list[Run]:
    return [run for run in view.filler_runs() if run.phase is RunPhase.RUNNING]


def _disturbing_fillers(view: WorkerView, interference: InterferenceModel) -> list[Run]:
    """Return the fillers not known to be mild beside all serving images."""
    images = view.serving_images()
    return [
        run
        for run in view.filler_runs()
        if run.phase is not RunPhase.STOPPING
        and interference.worst_probability(run.step.image, images) >= MILD_BELOW
    ]


def _expected_interference(
    run: Run, view: WorkerView, interference: InterferenceModel
) -> float:
    """Return the probability that a filler is heavy times its processor demand."""
    images = view.serving_images()
    probability = interference.worst_probability(run.step.image, images)
    return probability * run.step.demand.cpu_millis


def _common_pace(
    view: WorkerView,
    disturbing: list[Run],
    interference: InterferenceModel,
    extra_share_by_image: dict[str, float],
) -> int:
    """Return the highest pace, in steps of 10 percent, that keeps the load budget."""
    share_by_image: dict[str, float] = dict(extra_share_by_image)
    for run in disturbing:
        image = run.step.image
        share = view.cpu_share(run.step.demand.cpu_millis)
        share_by_image[image] = share_by_image.get(image, 0.0) + share
    lowest_pace = 1.0
    load_by_image: dict[str, float] = {}
    for run in view.serving_runs():
        known = load_by_image.get(run.step.image, 0.0)
        load_by_image[run.step.image] = max(known, run.own_load)
    for serving, own_load in load_by_image.items():
        added = sum(
            added_load(image, serving, interference) * share
            for image, share in share_by_image.items()
        )
        if added > 0:
            lowest_pace = min(lowest_pace, max(0.0, LOAD_BUDGET - own_load) / added)
    return int(lowest_pace * 10) * 10

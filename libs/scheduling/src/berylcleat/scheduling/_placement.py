"""Choose the worker for a task.

Ordinary tasks are packed; serving tasks are spread over workers and kept off fillers
that disturb them; fillers go where they are known to be mild, and an image that is not
known yet is tried with few tasks on a calm worker.
"""

from collections.abc import Iterable

from berylcleat.model import Step, TaskKey

from ._interference import DISTURBED_RATIO, InterferenceLevel, InterferenceModel
from ._pacing import MIN_START_PACE_PERCENT, pace_with_new_filler
from ._workers import WorkerView

Score = tuple[float, ...]
# Tasks of an image that may be tried at once beside an image it is not known with.
N_TRIAL_TASKS = 2


def choose_worker(
    task: TaskKey,
    step: Step,
    service: str,
    workers: Iterable[WorkerView],
    interference: InterferenceModel,
) -> WorkerView | None:
    """Return the best of ``workers`` that may run ``task``, or None."""
    best: WorkerView | None = None
    best_score: Score | None = None
    for worker in workers:
        if not _is_feasible(task, step, service, worker):
            continue
        if step.fills and _explain_filler_rejection(step, worker, interference):
            continue
        score = _score(task, step, worker, interference)
        if best_score is None or score < best_score:
            best, best_score = worker, score
    return best


def choose_forced_worker(
    task: TaskKey,
    step: Step,
    service: str,
    workers: Iterable[WorkerView],
    interference: InterferenceModel,
    now: float,
) -> WorkerView | None:
    """Return the worker where a filler that fits nowhere else does least harm.

    Forced fillers of one worker begin together, so that it can recover in between.
    """
    best: WorkerView | None = None
    best_score = 0.0
    for worker in workers:
        if not _is_feasible(task, step, service, worker):
            continue
        left = worker.cpu_left()
        if left < step.demand.cpu_millis or not worker.can_force_filler(now):
            continue
        if worker.is_recovering:
            continue
        harmed = sum(
            interference.probability(step.image, run.step.image)
            for run in worker.serving_runs()
        )
        score = harmed / left
        if best is None or score < best_score:
            best, best_score = worker, score
    return best


def explain_rejection(
    task: TaskKey,
    step: Step,
    service: str,
    worker: WorkerView,
    interference: InterferenceModel,
) -> str:
    """Return why ``worker`` may not run ``task``, or an empty text if it may."""
    entry = worker.entry
    if entry.service != service:
        return "other service"
    if step.required_label and step.required_label not in entry.labels:
        return "label missing"
    if not step.room.fits_in(worker.free()):
        return "no room"
    if step.max_per_worker and _n_siblings(task, worker) >= step.max_per_worker:
        return "too many siblings"
    return _explain_filler_rejection(step, worker, interference) if step.fills else ""


def _is_feasible(task: TaskKey, step: Step, service: str, worker: WorkerView) -> bool:
    entry = worker.entry
    if entry.service != service:
        return False
    if step.required_label and step.required_label not in entry.labels:
        return False
    if not step.room.fits_in(worker.free()):
        return False
    return not step.max_per_worker or _n_siblings(task, worker) < step.max_per_worker


def _explain_filler_rejection(
    step: Step, worker: WorkerView, interference: InterferenceModel
) -> str:
    """Return why a filler may not go to ``worker``, or an empty text if it may."""
    if worker.cpu_left() < step.demand.cpu_millis:
        return "no processor time left"
    if worker.is_recovering:
        return "recovering"
    level = interference.worst_level(step.image, worker.serving_images())
    if level is InterferenceLevel.MILD:
        return ""
    if worker.worst_reading() > DISTURBED_RATIO:
        return "disturbed now"
    if level is InterferenceLevel.UNKNOWN and not _can_trial(
        step, worker, interference
    ):
        return "tried by others"
    pace = pace_with_new_filler(
        step.image, step.demand.cpu_millis, worker, interference
    )
    return "" if pace >= MIN_START_PACE_PERCENT else "would disturb"


def _can_trial(step: Step, worker: WorkerView, interference: InterferenceModel) -> bool:
    """Tell whether a trial on this worker would show its effect apart from others."""
    images = worker.serving_images()
    n_same = 0
    for run in worker.filler_runs():
        if run.step.image == step.image:
            n_same += 1
        elif (
            interference.worst_level(run.step.image, images)
            is not InterferenceLevel.MILD
        ):
            return False
    return n_same < N_TRIAL_TASKS


def _n_siblings(task: TaskKey, worker: WorkerView) -> int:
    step_key = task[:3]
    return sum(1 for other in worker.run_by_task if other[:3] == step_key)


def _score(
    task: TaskKey, step: Step, worker: WorkerView, interference: InterferenceModel
) -> Score:
    free_cpu = worker.free().cpu_millis
    if step.target_latency_ms:
        # Few images a worker leave room for more kinds of fillers.
        n_others = len(worker.serving_images() - {step.image})
        return (
            _expected_interference(step.image, worker, interference),
            n_others,
            free_cpu,
        )
    if step.fills:
        if (
            interference.worst_level(step.image, worker.serving_images())
            is InterferenceLevel.MILD
        ):
            return (0.0, -worker.cpu_left())
        pace = pace_with_new_filler(
            step.image, step.demand.cpu_millis, worker, interference
        )
        return (1.0, -pace)
    return (-worker.cpu_left(),)


def _expected_interference(
    image: str, worker: WorkerView, interference: InterferenceModel
) -> float:
    """Return how much a serving image and what runs there would likely disturb."""
    others = {
        run.step.image
        for run in worker.run_by_task.values()
        if run.step.image and run.step.image != image
    }
    serving = worker.serving_images()
    probabilities = [interference.probability(other, image) for other in others]
    probabilities += [
        interference.probability(image, other) for other in others & serving
    ]
    return round(sum(probabilities), 1)

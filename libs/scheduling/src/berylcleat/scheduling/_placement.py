"""Choice of the worker for a task.

Ordinary tasks go to the worker with the most processor time left. Serving tasks go to
workers with the least expected interference, then where they take the fewest slots for
ordinary tasks, then with the fewest other serving images, then with the least free
capacity. Fillers go where they are known to be mild; an image whose effect is unknown
is tried with a few tasks on an undisturbed worker. Workers where runs are expected to
take longer than elsewhere come last for all of them.
"""

import math
from collections.abc import Iterable

from berylcleat.model import Step, TaskKey
from berylcleat.ports import WorkerEntry

from ._interference import DISTURBED_RATIO, InterferenceLevel, InterferenceModel
from ._pacing import MIN_START_PACE_PERCENT, pace_with_new_filler
from ._workers import FORCED_PERIOD_S, FORCED_START_WINDOW_S, WorkerView

Score = tuple[float, ...]
# Parts of the workers that begin their periods of forced fillers one after the other.
N_PARTS = 3
# Maximum concurrent trial tasks of an image on a worker where its effect is unknown.
N_TRIAL_TASKS = 2


def choose_worker(
    task: TaskKey,
    step: Step,
    service: str,
    workers: Iterable[WorkerView],
    interference: InterferenceModel,
    slot_millis: int = 0,
) -> WorkerView | None:
    """Return the feasible worker with the lowest score for ``task``, or None.

    ``slot_millis`` is the usual demand of an ordinary task, 0 if it isn't known.
    """
    best: WorkerView | None = None
    best_score: Score | None = None
    best_penalty = 0.0
    for worker in workers:
        if not _is_feasible(task, step, service, worker):
            continue
        if step.fills and _explain_filler_rejection(step, worker, interference):
            continue
        penalty = 0.0 if worker.condition is None else worker.start_penalty()
        if best_score is not None and penalty > best_penalty:
            continue
        score = _score(task, step, worker, interference, slot_millis)
        if best_score is None or penalty < best_penalty or score < best_score:
            best, best_score, best_penalty = worker, score, penalty
    return best


def choose_forced_worker(
    task: TaskKey,
    step: Step,
    service: str,
    workers: Iterable[WorkerView],
    interference: InterferenceModel,
    now: float,
    *,
    is_last_resort: bool = False,
) -> WorkerView | None:
    """Return the worker where a forced filler is expected to interfere least, or None.

    Forced fillers of one worker start within one window, so that its serving tasks
    recover before the next ones. As a last resort a filler starts outside of it, shares
    the processor time that other fillers use, or runs beside tasks that are over their
    targets by their own load.
    """
    best: WorkerView | None = None
    best_score: Score = ()
    for worker in workers:
        if not _is_feasible(task, step, service, worker):
            continue
        if worker.is_recovering and not worker.is_over_by_own_load(now):
            continue
        is_closed = not worker.can_force_filler(now)
        lacks_cpu = worker.cpu_left() < step.demand.cpu_millis
        is_unfit = worker.is_recovering or is_closed or lacks_cpu
        if is_unfit and not is_last_resort:
            continue
        expected_interference = sum(
            interference.probability(step.image, run.step.image)
            for run in worker.serving_runs()
        )
        score = (
            worker.is_recovering,
            worker.over_target_s(now) > 0,
            is_closed,
            lacks_cpu,
            worker.start_penalty(),
            -worker.cpu_left() if lacks_cpu else 0,
            expected_interference / max(1, worker.cpu_left()),
        )
        if best is None or score < best_score:
            best, best_score = worker, score
    return best


def forcible_workers(workers: list[WorkerView], now: float) -> list[WorkerView]:
    """Return the workers that forced fillers may start on now.

    Within a period of a worker's forced fillers only a part of all workers begin one:
    so one of them is soon free again for a filler that starves later.
    """
    n_begun = sum(now - w.last_forced_at < FORCED_PERIOD_S / N_PARTS for w in workers)
    may_begin = n_begun < math.ceil(len(workers) / N_PARTS)
    return [
        worker
        for worker in workers
        if worker.is_forced_window_open(now)
        or (may_begin and worker.can_force_filler(now))
    ]


def is_own_load_round_open(worker: WorkerView, now: float) -> bool:
    """Return whether fillers were just forced beside tasks over their targets.

    Those were so by their own load, and others may join within the window.
    """
    since_s = now - worker.forced_beside_own_load_at
    return worker.is_recovering and since_s < FORCED_START_WINDOW_S


def can_force_filler(
    task: TaskKey, step: Step, service: str, workers: Iterable[WorkerView]
) -> bool:
    """Return whether one of the workers has room for a filler, and isn't recovering.

    Nobody knows when one whose serving tasks stay over their targets has recovered.
    """
    return any(
        not worker.is_recovering and _is_feasible(task, step, service, worker)
        for worker in workers
    )


def can_ever_hold(step: Step, service: str, entry: WorkerEntry) -> bool:
    """Return whether a worker could hold a task of a step if it were empty."""
    if entry.service != service:
        return False
    if step.required_label and step.required_label not in entry.labels:
        return False
    return step.allocation.fits_in(entry.capacity)


def explain_rejection(
    task: TaskKey,
    step: Step,
    service: str,
    worker: WorkerView,
    interference: InterferenceModel,
) -> str:
    """Return why ``worker`` can't run ``task``, or an empty string if it can."""
    entry = worker.entry
    if entry.service != service:
        return "worker of another service"
    if step.required_label and step.required_label not in entry.labels:
        return "required label missing"
    if not step.allocation.fits_in(worker.free()):
        return "not enough free capacity"
    if step.max_per_worker and _n_siblings(task, worker) >= step.max_per_worker:
        return "max_per_worker reached"
    return _explain_filler_rejection(step, worker, interference) if step.fills else ""


def _is_feasible(task: TaskKey, step: Step, service: str, worker: WorkerView) -> bool:
    entry = worker.entry
    if entry.service != service:
        return False
    if step.required_label and step.required_label not in entry.labels:
        return False
    if not step.allocation.fits_in(worker.free()):
        return False
    return not step.max_per_worker or _n_siblings(task, worker) < step.max_per_worker


def _explain_filler_rejection(
    step: Step, worker: WorkerView, interference: InterferenceModel
) -> str:
    """Return why a filler can't run on ``worker``, or an empty string if it can."""
    if worker.cpu_left() < step.demand.cpu_millis:
        return "no processor time left"
    if worker.is_recovering:
        return "recovering"
    level = interference.worst_level(step.image, worker.serving_images())
    if level is InterferenceLevel.MILD:
        return ""
    if worker.worst_reading() > DISTURBED_RATIO:
        return "serving task over target"
    if level is InterferenceLevel.UNKNOWN and not _can_trial(
        step, worker, interference
    ):
        return "no further trial of the image allowed"
    pace = pace_with_new_filler(
        step.image, step.demand.cpu_millis, worker, interference
    )
    return "" if pace >= MIN_START_PACE_PERCENT else "pace would be too low"


def _can_trial(step: Step, worker: WorkerView, interference: InterferenceModel) -> bool:
    """Return whether another trial task of the image may start on this worker.

    All fillers of other images there must be mild, so that a disturbance can be
    attributed to the trial.
    """
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
    n_running = sum(1 for other in worker.run_by_task if other[:3] == step_key)
    n_kept = sum(1 for other in worker.kept_step_by_task if other[:3] == step_key)
    return n_running + n_kept


def _score(
    task: TaskKey,
    step: Step,
    worker: WorkerView,
    interference: InterferenceModel,
    slot_millis: int,
) -> Score:
    free_cpu = worker.free().cpu_millis
    if step.target_latency_ms:
        # The fewer images a worker serves, the more filler images are mild to all.
        n_others = len(worker.serving_images() - {step.image})
        return (
            _expected_interference(step.image, worker, interference),
            _slots_taken(step.allocation.cpu_millis, free_cpu, slot_millis),
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


def _slots_taken(cpu_millis: int, free_cpu: int, slot_millis: int) -> int:
    """Return how many fewer ordinary tasks fit on a worker beside one more task."""
    if slot_millis <= 0:
        return 0
    return free_cpu // slot_millis - (free_cpu - cpu_millis) // slot_millis


def _expected_interference(
    image: str, worker: WorkerView, interference: InterferenceModel
) -> float:
    """Return the sum of the probabilities of interference with images on a worker.

    Counts the images there that would disturb ``image`` and the serving ones that
    ``image`` would disturb.
    """
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

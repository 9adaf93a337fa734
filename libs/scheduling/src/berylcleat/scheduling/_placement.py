"""Choose the worker for a task.

Filling tasks and serving tasks disturb each other, so they are kept on different
workers; ordinary tasks are packed beside the serving ones.
"""

from collections.abc import Iterable

from berylcleat.model import Step, TaskKey

from ._workers import WorkerView

Score = tuple[float, ...]


def choose_worker(
    task: TaskKey,
    step: Step,
    service: str,
    workers: Iterable[WorkerView],
    now: float,
    avoid: frozenset[str] = frozenset(),
) -> WorkerView | None:
    """Return the best worker that may run ``task`` now, or None."""
    best: WorkerView | None = None
    best_score: Score | None = None
    for worker in workers:
        if not _may_run(task, step, service, worker, now):
            continue
        score = (float(worker.entry.worker_id in avoid), *_score(task, step, worker))
        if best_score is None or score < best_score:
            best, best_score = worker, score
    return best


def _may_run(
    task: TaskKey, step: Step, service: str, worker: WorkerView, now: float
) -> bool:
    entry = worker.entry
    if entry.service != service or not worker.can_start(now):
        return False
    if step.required_label and step.required_label not in entry.labels:
        return False
    if not step.room.fits_in(worker.free()):
        return False
    if step.max_per_worker and _n_siblings(task, worker) >= step.max_per_worker:
        return False
    return not (step.fills and worker.n_serving())


def _n_siblings(task: TaskKey, worker: WorkerView) -> int:
    family = task[:3]
    return sum(1 for other in worker.run_by_task if other[:3] == family)


def _score(task: TaskKey, step: Step, worker: WorkerView) -> Score:
    free_cpu = worker.free().cpu_millis
    if step.target_latency_ms:
        # Two siblings a worker at first, so that one loss costs little; workers
        # without serving tasks are left to the fillers.
        n_pairs = _n_siblings(task, worker) // 2
        return (worker.n_fills(), n_pairs, float(worker.n_serving() == 0), free_cpu)
    if step.fills:
        return (worker.fills_cpu() - free_cpu,)
    return (float(worker.n_fills() > 0), free_cpu)

"""Batch jobs and workers, and checks of job specifications."""

from dataclasses import dataclass, field

from ._errors import DocumentError, NeverRunnableError
from ._resources import Resources
from ._selectors import Labels, parse_selector

URGENT_PRIORITY = 1000


@dataclass(frozen=True, slots=True)
class JobSpec:
    """Specification of a batch job of identical tasks.

    ``run_s`` is the run time of a task in seconds.
    """

    job_id: str
    n_tasks: int = 1
    per_task: Resources = field(default_factory=lambda: Resources(cores=1, memory_gb=1))
    run_s: float = 1.0
    labels: Labels = field(default_factory=dict)
    team: str = "default"
    priority: int = 10
    placement: str = "*"
    deadline_s: float = 0.0
    retired: bool = False


@dataclass(frozen=True, slots=True)
class WorkerSpec:
    """Worker with its location, addresses, capacity and labels."""

    worker_id: str
    data_centre: str
    rack: str
    control_address: str
    upstream_address: str
    capacity: Resources
    labels: Labels = field(default_factory=dict)


def worker_labels(worker: WorkerSpec) -> Labels:
    """Return the labels that placement selectors match, with the built-in ones."""
    built_in = {
        "worker": worker.worker_id,
        "data_centre": worker.data_centre,
        "rack": worker.rack,
    }
    return {**worker.labels, **built_in}


def check_job(spec: JobSpec) -> None:
    """Raise ``DocumentError`` if ``spec`` is invalid."""
    subject = f"job {spec.job_id!r}"
    parse_selector(spec.placement)
    if not spec.job_id or "/" in spec.job_id:
        raise DocumentError(
            f"{subject}: bad job_id", "Use a non-empty id without slashes"
        )
    if spec.n_tasks < 1:
        raise DocumentError(f"{subject}: n_tasks below 1", "Set at least 1 task")
    if spec.run_s <= 0:
        raise DocumentError(
            f"{subject}: run_s not above 0", "Set a positive number of seconds"
        )
    amounts = (spec.per_task.cores, spec.per_task.memory_gb, spec.per_task.accelerators)
    if min(amounts) < 0 or max(amounts) == 0:
        raise DocumentError(
            f"{subject}: per_task is zero or has a negative amount",
            "Set cores, memory_gb or accelerators above 0 and none below 0",
        )


def check_runnable(spec: JobSpec, workers: tuple[WorkerSpec, ...]) -> None:
    """Raise ``NeverRunnableError`` if no worker has the capacity for one task."""
    selector = parse_selector(spec.placement)
    eligible = [worker for worker in workers if selector.matches(worker_labels(worker))]
    if not eligible:
        raise NeverRunnableError(
            f"job {spec.job_id!r}: placement {spec.placement!r} matches no worker",
            "Change the placement selector",
        )
    if any(spec.per_task.fits_in(worker.capacity) for worker in eligible):
        return
    raise NeverRunnableError(
        _describe_shortfall(spec, eligible), "Request fewer resources per task"
    )


def _describe_shortfall(spec: JobSpec, eligible: list[WorkerSpec]) -> str:
    closest = min(
        eligible, key=lambda worker: len(spec.per_task.excess_over(worker.capacity))
    )
    resource = spec.per_task.excess_over(closest.capacity)[0]
    largest = max(getattr(worker.capacity, resource) for worker in eligible)
    requested = getattr(spec.per_task, resource)
    return (
        f"job {spec.job_id!r}: needs {requested} {resource}; "
        f"the largest eligible worker has {largest}"
    )

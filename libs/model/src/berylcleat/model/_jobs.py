"""Batch jobs and their tasks."""

from dataclasses import dataclass, field

from ._errors import DocumentError, NeverRunnableError
from ._resources import Resources
from ._selectors import Labels, parse_selector

URGENT_PRIORITY = 1000


@dataclass(frozen=True, slots=True)
class JobSpec:
    """Describe a batch job of equal tasks."""

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
    """Describe a worker: where it stands and what it holds."""

    worker_id: str
    data_centre: str
    rack: str
    control_address: str
    upstream_address: str
    capacity: Resources
    labels: Labels = field(default_factory=dict)


def worker_labels(worker: WorkerSpec) -> Labels:
    """Return the labels that placement selectors see for ``worker``."""
    built_in = {
        "worker": worker.worker_id,
        "data_centre": worker.data_centre,
        "rack": worker.rack,
    }
    return {**worker.labels, **built_in}


def check_job(spec: JobSpec) -> None:
    """Raise ``DocumentError`` unless ``spec`` can be used."""
    place = f"job {spec.job_id!r}"
    parse_selector(spec.placement)
    if not spec.job_id or "/" in spec.job_id:
        raise DocumentError(f"{place}: bad job_id", "Use an id without slashes")
    if spec.n_tasks < 1:
        raise DocumentError(f"{place}: n_tasks below 1", "Ask for at least one task")
    if spec.run_s <= 0:
        raise DocumentError(f"{place}: run_s not above 0", "Give seconds above 0")
    amounts = (spec.per_task.cores, spec.per_task.memory_gb, spec.per_task.accelerators)
    if min(amounts) < 0 or max(amounts) == 0:
        raise DocumentError(
            f"{place}: per_task asks for nothing or less",
            "Give cores, memory_gb or accelerators above 0",
        )


def check_runnable(spec: JobSpec, workers: tuple[WorkerSpec, ...]) -> None:
    """Raise ``NeverRunnableError`` if no worker could ever hold one task."""
    selector = parse_selector(spec.placement)
    eligible = [w for w in workers if selector.matches(worker_labels(w))]
    if not eligible:
        raise NeverRunnableError(
            f"job {spec.job_id!r}: placement {spec.placement!r} matches no worker",
            "Change the placement selector",
        )
    if any(spec.per_task.fits_in(worker.capacity) for worker in eligible):
        return
    raise NeverRunnableError(_shortfall(spec, eligible), "Ask for less per task")


def _shortfall(spec: JobSpec, eligible: list[WorkerSpec]) -> str:
    closest = min(
        eligible, key=lambda worker: len(spec.per_task.excess_over(worker.capacity))
    )
    name = spec.per_task.excess_over(closest.capacity)[0]
    largest = max(getattr(worker.capacity, name) for worker in eligible)
    wanted = getattr(spec.per_task, name)
    return (
        f"job {spec.job_id!r}: needs {wanted} {name}; "
        f"the largest eligible worker has {largest}"
    )

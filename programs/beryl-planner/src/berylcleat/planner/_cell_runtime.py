"""In-memory state of an owned cell, and the placement view built from it."""

from dataclasses import dataclass, field

from berylcleat.model import (
    ConfigDocument,
    JobSpec,
    Labels,
    Resources,
    WorkerSpec,
    effective_services,
    parse_selector,
    worker_labels,
)
from berylcleat.ownership import (
    CellRow,
    CellState,
    OwnedCell,
    TaskState,
    is_schedulable,
)
from berylcleat.placement import (
    EndedTask,
    PlacementView,
    QueuedTask,
    RunningTask,
    WorkerLoad,
)
from berylcleat.ports import TaskRunning

from ._job_cache import steer_job


def cell_id_of(spec: WorkerSpec) -> str:
    """Return the cell ID of a worker: data centre and rack."""
    return f"{spec.data_centre}/{spec.rack}"


def interference_group_of(labels: Labels) -> str:
    """Return the key under which policies learn interference: the sorted labels."""
    return ",".join(f"{key}={value}" for key, value in sorted(labels.items()))


@dataclass
class CellRuntime:
    """In-memory state of a cell owned by this process.

    Times are in seconds of the event loop's clock.
    """

    row: CellRow
    row_version: int
    owned: OwnedCell
    spec_by_worker: dict[str, WorkerSpec]
    policy_state: object
    owned_at: float
    is_dirty: bool = True
    has_new_report: bool = False
    evictions: set[str] = field(default_factory=set)
    throttled: set[str] = field(default_factory=set)
    ended_tasks: list[EndedTask] = field(default_factory=list)
    failed_on: dict[str, frozenset[str]] = field(default_factory=dict)
    started_at: dict[str, float] = field(default_factory=dict)
    queued_at: dict[str, float] = field(default_factory=dict)
    workers_in_exchange: set[str] = field(default_factory=set)
    exchange_due_at: dict[str, float] = field(default_factory=dict)
    expected_ends_at: dict[str, list[float]] = field(default_factory=dict)
    trace_by_task: dict[str, str] = field(default_factory=dict)


def is_unresponsive(cell: CellRuntime, now: float, max_silence_s: float) -> bool:
    """Return whether no worker of the cell has answered for ``max_silence_s``.

    The time before this process acquired the cell doesn't count.
    """
    reply_times = (view.replied_at for view in cell.owned.worker_by_id.values())
    return now - max(cell.owned_at, *reply_times) > max_silence_s


def reserve_by_worker(
    specs: dict[str, WorkerSpec], document: ConfigDocument
) -> dict[str, Resources]:
    """Return the resources that services in force reserve on each worker."""
    reserves = dict.fromkeys(specs, Resources())
    for service in effective_services(document).values():
        if service.retired:
            continue
        selector = parse_selector(service.placement)
        for worker_id, spec in specs.items():
            if selector.matches(worker_labels(spec)):
                reserves[worker_id] += service.reserve
    return reserves


def make_placement_view(
    cell: CellRuntime,
    owned: OwnedCell,
    document: ConfigDocument,
    now: float,
    max_reply_age_s: float,
) -> PlacementView:
    """Return the placement policy's view of a cell in the state ``owned``."""
    reserves = reserve_by_worker(cell.spec_by_worker, document)
    workers = {
        worker_id: _worker_load(
            cell, owned, spec, reserves[worker_id], document, now, max_reply_age_s
        )
        for worker_id, spec in cell.spec_by_worker.items()
    }
    queue = _queue(cell, owned.cell, document, now)
    return PlacementView(now, workers, queue, tuple(cell.ended_tasks))


def _worker_load(
    cell: CellRuntime,
    owned: OwnedCell,
    spec: WorkerSpec,
    reserved: Resources,
    document: ConfigDocument,
    now: float,
    max_reply_age_s: float,
) -> WorkerLoad:
    report_by_task = {}
    view = owned.worker_by_id[spec.worker_id]
    reply = view.reply
    if reply:
        report_by_task = {item.task_id: item for item in reply.running}
    running = tuple(
        _running_task(cell, owned.cell, task_id, report_by_task.get(task_id), document)
        for task_id in sorted(owned.cell.assigned_to(spec.worker_id))
    )
    return WorkerLoad(
        spec.worker_id,
        worker_labels(spec),
        spec.capacity,
        reserved,
        running,
        is_schedulable(owned, spec.worker_id, now, max_reply_age_s),
        reply.service_slowdown if reply else 1.0,
        reply.service_cores_used if reply else 0.0,
        view.replied_at,
    )


def _running_task(
    cell: CellRuntime,
    state: CellState,
    task_id: str,
    report: TaskRunning | None,
    document: ConfigDocument,
) -> RunningTask:
    task = state.task_by_id[task_id]
    spec = state.job_by_id[task.job_id]
    observed = Resources()
    if report:
        observed = Resources(report.cores_used, report.memory_gb_used)
    return RunningTask(
        task_id,
        spec.team,
        interference_group_of(spec.labels),
        spec.per_task,
        observed,
        steer_job(spec, document).priority,
        cell.started_at.get(task_id, 0.0),
        task_id in cell.throttled,
        is_stopping=task_id in cell.evictions or task.job_id in state.cancelled,
    )


def _queue(
    cell: CellRuntime, state: CellState, document: ConfigDocument, now: float
) -> tuple[QueuedTask, ...]:
    return tuple(
        _queued_task(cell, state.job_by_id[task.job_id], task_id, task, document, now)
        for task_id, task in state.task_by_id.items()
        if task.state == "queued" and task.job_id not in state.cancelled
    )


def _queued_task(
    cell: CellRuntime,
    spec: JobSpec,
    task_id: str,
    task: TaskState,
    document: ConfigDocument,
    now: float,
) -> QueuedTask:
    steering = steer_job(spec, document)
    return QueuedTask(
        task_id,
        task.job_id,
        spec.team,
        interference_group_of(spec.labels),
        spec.per_task,
        spec.run_s - task.progress_s,
        steering.priority,
        cell.queued_at.setdefault(task_id, now),
        steering.placement,
        failed_on=cell.failed_on.get(task_id, frozenset()),
    )

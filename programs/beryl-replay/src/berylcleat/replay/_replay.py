"""Replay a trace through the production decision code on simulated workers."""

import time
from collections import deque
from dataclasses import dataclass, field

import numpy as np

from berylcleat.model import EffectivePolicy, JobSpec
from berylcleat.ownership import (
    Assign,
    CancelJob,
    CellState,
    Claim,
    End,
    Record,
    TaskState,
    apply_records,
)
from berylcleat.placement import (
    EndedTask,
    Evict,
    OpenJob,
    Place,
    PlacementPolicy,
    PlacementView,
    QueuedTask,
    Throttle,
    WorkerLoad,
    choose_claims,
)

from ._outcomes import Outcomes
from ._simulated_workers import RunningAttempt, SimulatedWorker
from ._trace import (
    BrokenLine,
    CancelLine,
    Event,
    JobLine,
    LoadLine,
    NoiseLine,
    Trace,
)

STEP_S = 1.0


@dataclass
class ReplayedJob:
    """A submitted job and its progress."""

    spec: JobSpec
    submitted_at: float
    n_claimed: int = 0
    n_finished: int = 0
    is_cancelled: bool = False
    finished_at: float = float("inf")

    @property
    def group(self) -> str:
        """Return the name of the group that the job's tasks belong to."""
        return self.spec.labels["kind"]


@dataclass
class ReplayedCell:
    """A cell: its workers, durable state and the placement policy's state."""

    cell_id: str
    workers: dict[str, SimulatedWorker]
    state: CellState
    policy_state: object
    ended_tasks: list[EndedTask] = field(default_factory=list)
    failed_worker_ids_by_task: dict[str, frozenset[str]] = field(default_factory=dict)
    queued_at_by_task: dict[str, float] = field(default_factory=dict)


class Replay:
    """Discrete-time simulation of one trace under one placement policy."""

    def __init__(self, trace: Trace, policy: PlacementPolicy, seed: int):
        self._trace = trace
        self._policy = policy
        self._random_state = np.random.default_rng(seed)
        self._group_by_name = {line.group: line for line in trace.groups}
        self._events: deque[Event] = deque(trace.events)
        self._interference_factor_by_group: dict[str, float] = {}
        self.now = 0.0
        self.job_by_id: dict[str, ReplayedJob] = {}
        self.worker_by_id = {
            line.worker_id: SimulatedWorker(line) for line in trace.workers
        }
        self.cell_by_id = self._make_cells()
        self.outcomes = Outcomes(trace.header.deadline_ms)

    def _make_cells(self) -> dict[str, ReplayedCell]:
        cells: dict[str, ReplayedCell] = {}
        for worker in self.worker_by_id.values():
            cell_id = f"{worker.line.data_centre}/{worker.line.rack}"
            cell = cells.get(cell_id)
            if cell is None:
                policy_state = self._policy.make_initial_state()
                cell = ReplayedCell(cell_id, {}, CellState(cell_id), policy_state)
                cells[cell_id] = cell
            cell.workers[worker.line.worker_id] = worker
        return cells

    def run(self) -> Outcomes:
        """Replay the trace up to its horizon and return the outcomes."""
        while self.now < self._trace.header.horizon_s:
            self._apply_due_events()
            self._advance_workers()
            self._claim_tasks()
            for cell in self.cell_by_id.values():
                self._run_policy(cell)
            self.outcomes.check_capacity(self.worker_by_id, self.now)
            self.now += STEP_S
        self.outcomes.finalize(
            self.job_by_id, self.cell_by_id, self.worker_by_id, self.now
        )
        return self.outcomes

    def _apply_due_events(self) -> None:
        while self._events and self._events[0].at_s <= self.now:
            self._apply_event(self._events.popleft())

    def _apply_event(self, event: Event) -> None:
        match event:
            case JobLine():
                job = ReplayedJob(event.spec, event.at_s)
                self.job_by_id[event.spec.job_id] = job
            case CancelLine():
                self._cancel_job(event.job_id)
            case LoadLine():
                self.worker_by_id[event.worker_id].load = event.level
            case NoiseLine():
                self._interference_factor_by_group[event.group] = event.factor
            case BrokenLine():
                self.worker_by_id[event.worker_id].is_broken = event.is_broken

    def _cancel_job(self, job_id: str) -> None:
        """Cancel a job: stop its running tasks and start none of its tasks again."""
        job = self.job_by_id[job_id]
        job.is_cancelled = True
        for cell in self.cell_by_id.values():
            if job_id not in cell.state.job_by_id:
                continue
            self._apply_records(cell, (CancelJob(cell.cell_id, job_id),))
            for worker in cell.workers.values():
                for attempt in tuple(worker.attempt_by_task.values()):
                    if attempt.task_id.rsplit("/", 1)[0] == job_id:
                        del worker.attempt_by_task[attempt.task_id]
                        self._record_end(cell, attempt, "stopped", 0.0)

    def _advance_workers(self) -> None:
        for cell in self.cell_by_id.values():
            for worker in cell.workers.values():
                finished, failed = worker.advance(self.now, STEP_S)
                for attempt in finished:
                    self._record_finish(cell, worker, attempt)
                for attempt in failed:
                    self._record_end(cell, attempt, "failed", 0.0)
                    self._record_failure(cell, worker, attempt)
                worker.record_report(
                    self.now, self._interference_factor_by_group, self._random_state
                )
                if worker.is_serving:
                    slowdown = worker.compute_slowdown(
                        self._interference_factor_by_group
                    )
                    self.outcomes.record_service_second(slowdown, worker.load)

    def _record_finish(
        self, cell: ReplayedCell, worker: SimulatedWorker, attempt: RunningAttempt
    ) -> None:
        self._record_end(cell, attempt, "finished", attempt.run_s)
        cell.ended_tasks.append(
            EndedTask(
                attempt.task_id, worker.line.worker_id, attempt.group.group, "finished"
            )
        )
        job = self.job_by_id[attempt.task_id.rsplit("/", 1)[0]]
        job.n_finished += 1
        if job.n_finished == job.spec.n_tasks:
            job.finished_at = self.now
        self.outcomes.record_finish(attempt)

    def _record_failure(
        self, cell: ReplayedCell, worker: SimulatedWorker, attempt: RunningAttempt
    ) -> None:
        worker_id = worker.line.worker_id
        earlier_workers = cell.failed_worker_ids_by_task.get(
            attempt.task_id, frozenset()
        )
        cell.failed_worker_ids_by_task[attempt.task_id] = earlier_workers | {worker_id}
        cell.ended_tasks.append(
            EndedTask(attempt.task_id, worker_id, attempt.group.group, "failed")
        )

    def _record_end(
        self,
        cell: ReplayedCell,
        attempt: RunningAttempt,
        outcome: str,
        progress_s: float,
    ) -> None:
        task = cell.state.task_by_id[attempt.task_id]
        end = End(cell.cell_id, attempt.task_id, task.attempt, outcome, progress_s)
        self._apply_records(cell, (end,))
        cell.queued_at_by_task.pop(attempt.task_id, None)

    def _apply_records(self, cell: ReplayedCell, records: tuple[Record, ...]) -> None:
        cell.state = apply_records(cell.state, records)

    def _claim_tasks(self) -> None:
        jobs = [
            OpenJob(
                job.spec, _make_steering(job.spec), job.spec.n_tasks - job.n_claimed
            )
            for job in self.job_by_id.values()
            if not job.is_cancelled and job.n_claimed < job.spec.n_tasks
        ]
        if not jobs:
            return
        views = {
            cell_id: self._make_view(cell) for cell_id, cell in self.cell_by_id.items()
        }
        cpu_started_s = time.process_time()
        claims = choose_claims(jobs, views)
        self.outcomes.decision_cpu_s += time.process_time() - cpu_started_s
        for claim in claims:
            job = self.job_by_id[claim.job_id]
            record = Claim(claim.cell_id, job.spec, job.n_claimed, claim.n_tasks)
            job.n_claimed += claim.n_tasks
            self._apply_records(self.cell_by_id[claim.cell_id], (record,))

    def _make_view(
        self, cell: ReplayedCell, ended_tasks: tuple[EndedTask, ...] = ()
    ) -> PlacementView:
        workers = {
            worker_id: self._make_worker_load(worker)
            for worker_id, worker in cell.workers.items()
        }
        queue = tuple(
            self._make_queued_task(cell, task_id, task)
            for task_id, task in cell.state.task_by_id.items()
            if task.state == "queued" and task.job_id not in cell.state.cancelled
        )
        return PlacementView(self.now, workers, queue, ended_tasks)

    def _make_worker_load(self, worker: SimulatedWorker) -> WorkerLoad:
        report = worker.latest_visible_report(self.now)
        line = worker.line
        return WorkerLoad(
            line.worker_id,
            {
                "worker": line.worker_id,
                "rack": line.rack,
                "data_centre": line.data_centre,
            },
            line.capacity,
            line.reserved,
            worker.make_running_tasks(report),
            True,
            report.slowdown,
            report.service_cores,
            report.at_s,
        )

    def _make_queued_task(
        self, cell: ReplayedCell, task_id: str, task: TaskState
    ) -> QueuedTask:
        job = self.job_by_id[task.job_id]
        return QueuedTask(
            task_id,
            task.job_id,
            job.spec.team,
            job.group,
            job.spec.per_task,
            job.spec.run_s - task.progress_s,
            job.spec.priority,
            cell.queued_at_by_task.setdefault(task_id, self.now),
            job.spec.placement,
            job.spec.deadline_s or float("inf"),
            cell.failed_worker_ids_by_task.get(task_id, frozenset()),
        )

    def _run_policy(self, cell: ReplayedCell) -> None:
        ended_tasks, cell.ended_tasks = tuple(cell.ended_tasks), []
        view = self._make_view(cell, ended_tasks)
        cpu_started_s = time.process_time()
        step = self._policy.decide(cell.policy_state, view)
        self.outcomes.decision_cpu_s += time.process_time() - cpu_started_s
        cell.policy_state = step.state
        for decision in step.decisions:
            match decision:
                case Place():
                    self._start_attempt(cell, decision)
                case Evict():
                    self._evict(cell, decision)
                case Throttle():
                    self._set_throttle(cell, decision)

    def _start_attempt(self, cell: ReplayedCell, decision: Place) -> None:
        task = cell.state.task_by_id[decision.task_id]
        job = self.job_by_id[task.job_id]
        worker = cell.workers[decision.worker_id]
        self.outcomes.record_placement(decision, task, job, self.worker_by_id, self.now)
        self._apply_records(
            cell,
            (
                Assign(
                    cell.cell_id,
                    decision.task_id,
                    task.attempt + 1,
                    decision.worker_id,
                    "replay",
                ),
            ),
        )
        worker.attempt_by_task[decision.task_id] = RunningAttempt(
            decision.task_id,
            self._group_by_name[job.group],
            job.spec.per_task,
            job.spec.run_s,
            job.spec.priority,
            job.spec.team,
            self.now,
            task.progress_s,
        )

    def _evict(self, cell: ReplayedCell, decision: Evict) -> None:
        worker = cell.workers[decision.worker_id]
        attempt = worker.attempt_by_task.pop(decision.task_id, None)
        if attempt is None:
            return
        self.outcomes.n_evictions += 1
        self.outcomes.n_decisions += 1
        self._record_end(cell, attempt, "checkpointed", attempt.progress_s)

    def _set_throttle(self, cell: ReplayedCell, decision: Throttle) -> None:
        attempt = cell.workers[decision.worker_id].attempt_by_task.get(decision.task_id)
        if attempt:
            self.outcomes.n_throttles += 1
            self.outcomes.n_decisions += 1
            attempt.is_throttled = decision.is_on


def _make_steering(spec: JobSpec) -> EffectivePolicy:
    return EffectivePolicy(spec.priority, spec.placement, spec.retired)

"""Replay a trace through the real decision code against stated outcomes."""

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

from ._fake_workers import FakeWorker, RunningAttempt
from ._outcomes import Outcomes
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
    """Hold a submitted job and what became of it."""

    spec: JobSpec
    submitted_at: float
    n_claimed: int = 0
    n_finished: int = 0
    is_cancelled: bool = False
    finished_at: float = float("inf")

    @property
    def group(self) -> str:
        """Return the group of its tasks."""
        return self.spec.labels["kind"]


@dataclass
class ReplayedCell:
    """Hold one cell: its durable state, its workers, its policy's memory."""

    cell_id: str
    workers: dict[str, FakeWorker]
    state: CellState
    memory: object
    ended: list[EndedTask] = field(default_factory=list)
    failed_on: dict[str, frozenset[str]] = field(default_factory=dict)
    queued_at: dict[str, float] = field(default_factory=dict)


class Replay:
    """Run one trace under one policy."""

    def __init__(self, trace: Trace, policy: PlacementPolicy, seed: int):
        self._trace = trace
        self._policy = policy
        self._random_state = np.random.default_rng(seed)
        self._group_by_name = {line.group: line for line in trace.groups}
        self._events: deque[Event] = deque(trace.events)
        self._noise: dict[str, float] = {}
        self.now = 0.0
        self.job_by_id: dict[str, ReplayedJob] = {}
        self.worker_by_id = {line.worker_id: FakeWorker(line) for line in trace.workers}
        self.cell_by_id = self._make_cells()
        self.outcomes = Outcomes(trace.header.deadline_ms)

    def _make_cells(self) -> dict[str, ReplayedCell]:
        cells: dict[str, ReplayedCell] = {}
        for worker in self.worker_by_id.values():
            cell_id = f"{worker.line.data_centre}/{worker.line.rack}"
            cell = cells.get(cell_id)
            if cell is None:
                memory = self._policy.make_initial_state()
                cell = ReplayedCell(cell_id, {}, CellState(cell_id), memory)
                cells[cell_id] = cell
            cell.workers[worker.line.worker_id] = worker
        return cells

    def run(self) -> Outcomes:
        """Replay to the end and return the outcomes."""
        while self.now < self._trace.header.horizon_s:
            self._take_events()
            self._let_work_pass()
            self._claim()
            for cell in self.cell_by_id.values():
                self._decide(cell)
            self.outcomes.check(self.worker_by_id, self.now)
            self.now += STEP_S
        self.outcomes.close(
            self.job_by_id, self.cell_by_id, self.worker_by_id, self.now
        )
        return self.outcomes

    def _take_events(self) -> None:
        while self._events and self._events[0].at_s <= self.now:
            self._take(self._events.popleft())

    def _take(self, event: Event) -> None:
        match event:
            case JobLine():
                job = ReplayedJob(event.spec, event.at_s)
                self.job_by_id[event.spec.job_id] = job
            case CancelLine():
                self._cancel(event.job_id)
            case LoadLine():
                self.worker_by_id[event.worker_id].load = event.level
            case NoiseLine():
                self._noise[event.group] = event.factor
            case BrokenLine():
                self.worker_by_id[event.worker_id].is_broken = event.is_broken

    def _cancel(self, job_id: str) -> None:
        """Cancel a job: nothing of it may start any more; what runs is stopped."""
        job = self.job_by_id[job_id]
        job.is_cancelled = True
        for cell in self.cell_by_id.values():
            if job_id not in cell.state.job_by_id:
                continue
            self._apply(cell, (CancelJob(cell.cell_id, job_id),))
            for worker in cell.workers.values():
                for attempt in tuple(worker.attempt_by_task.values()):
                    if attempt.task_id.rsplit("/", 1)[0] == job_id:
                        del worker.attempt_by_task[attempt.task_id]
                        self._end(cell, attempt, "stopped", 0.0)

    def _let_work_pass(self) -> None:
        for cell in self.cell_by_id.values():
            for worker in cell.workers.values():
                finished, failed = worker.step(self.now, STEP_S)
                for attempt in finished:
                    self._finish(cell, worker, attempt)
                for attempt in failed:
                    self._end(cell, attempt, "failed", 0.0)
                    self._note_failure(cell, worker, attempt)
                worker.observe(self.now, self._noise, self._random_state)
                if worker.is_serving:
                    slowdown = worker.slowdown(self._noise)
                    self.outcomes.note_service(slowdown, worker.load)

    def _finish(
        self, cell: ReplayedCell, worker: FakeWorker, attempt: RunningAttempt
    ) -> None:
        self._end(cell, attempt, "finished", attempt.run_s)
        cell.ended.append(
            EndedTask(
                attempt.task_id, worker.line.worker_id, attempt.group.group, "finished"
            )
        )
        job = self.job_by_id[attempt.task_id.rsplit("/", 1)[0]]
        job.n_finished += 1
        if job.n_finished == job.spec.n_tasks:
            job.finished_at = self.now
        self.outcomes.note_finish(attempt)

    def _note_failure(
        self, cell: ReplayedCell, worker: FakeWorker, attempt: RunningAttempt
    ) -> None:
        worker_id = worker.line.worker_id
        known = cell.failed_on.get(attempt.task_id, frozenset())
        cell.failed_on[attempt.task_id] = known | {worker_id}
        cell.ended.append(
            EndedTask(attempt.task_id, worker_id, attempt.group.group, "failed")
        )

    def _end(
        self,
        cell: ReplayedCell,
        attempt: RunningAttempt,
        outcome: str,
        progress_s: float,
    ) -> None:
        task = cell.state.task_by_id[attempt.task_id]
        end = End(cell.cell_id, attempt.task_id, task.attempt, outcome, progress_s)
        self._apply(cell, (end,))
        cell.queued_at.pop(attempt.task_id, None)

    def _apply(self, cell: ReplayedCell, records: tuple[Record, ...]) -> None:
        cell.state = apply_records(cell.state, records)

    def _claim(self) -> None:
        jobs = [
            OpenJob(job.spec, _steering(job.spec), job.spec.n_tasks - job.n_claimed)
            for job in self.job_by_id.values()
            if not job.is_cancelled and job.n_claimed < job.spec.n_tasks
        ]
        if not jobs:
            return
        views = {cell_id: self._view(cell) for cell_id, cell in self.cell_by_id.items()}
        before = time.process_time()
        claims = choose_claims(jobs, views)
        self.outcomes.decision_cpu_s += time.process_time() - before
        for claim in claims:
            job = self.job_by_id[claim.job_id]
            record = Claim(claim.cell_id, job.spec, job.n_claimed, claim.n_tasks)
            job.n_claimed += claim.n_tasks
            self._apply(self.cell_by_id[claim.cell_id], (record,))

    def _view(
        self, cell: ReplayedCell, ended: tuple[EndedTask, ...] = ()
    ) -> PlacementView:
        workers = {
            worker_id: self._worker_load(worker)
            for worker_id, worker in cell.workers.items()
        }
        queue = tuple(
            self._queued(cell, task_id, task)
            for task_id, task in cell.state.task_by_id.items()
            if task.state == "queued" and task.job_id not in cell.state.cancelled
        )
        return PlacementView(self.now, workers, queue, ended)

    def _worker_load(self, worker: FakeWorker) -> WorkerLoad:
        report = worker.visible_report(self.now)
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
            worker.running_tasks(report),
            True,
            report.slowdown,
            report.service_cores,
            report.at_s,
        )

    def _queued(self, cell: ReplayedCell, task_id: str, task: TaskState) -> QueuedTask:
        job = self.job_by_id[task.job_id]
        return QueuedTask(
            task_id,
            task.job_id,
            job.spec.team,
            job.group,
            job.spec.per_task,
            job.spec.run_s - task.progress_s,
            job.spec.priority,
            cell.queued_at.setdefault(task_id, self.now),
            job.spec.placement,
            job.spec.deadline_s or float("inf"),
            cell.failed_on.get(task_id, frozenset()),
        )

    def _decide(self, cell: ReplayedCell) -> None:
        ended, cell.ended = tuple(cell.ended), []
        view = self._view(cell, ended)
        before = time.process_time()
        step = self._policy.decide(cell.memory, view)
        self.outcomes.decision_cpu_s += time.process_time() - before
        cell.memory = step.state
        for decision in step.decisions:
            match decision:
                case Place():
                    self._place(cell, decision)
                case Evict():
                    self._evict(cell, decision)
                case Throttle():
                    self._throttle(cell, decision)

    def _place(self, cell: ReplayedCell, decision: Place) -> None:
        task = cell.state.task_by_id[decision.task_id]
        job = self.job_by_id[task.job_id]
        worker = cell.workers[decision.worker_id]
        self.outcomes.note_place(decision, task, job, self.worker_by_id, self.now)
        self._apply(
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
        self._end(cell, attempt, "checkpointed", attempt.progress_s)

    def _throttle(self, cell: ReplayedCell, decision: Throttle) -> None:
        attempt = cell.workers[decision.worker_id].attempt_by_task.get(decision.task_id)
        if attempt:
            self.outcomes.n_throttles += 1
            self.outcomes.n_decisions += 1
            attempt.is_throttled = decision.is_on


def _steering(spec: JobSpec) -> EffectivePolicy:
    return EffectivePolicy(spec.priority, spec.placement, spec.retired)

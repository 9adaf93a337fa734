"""A worker of the platform in logical time, as far as owners see it."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from berylcleat.model import Step, TaskDemand, TaskKey
from berylcleat.ports import (
    EndedTask,
    HoldOrder,
    OrderAnswer,
    OrderResult,
    RunEnd,
    RunningTask,
    StartOrder,
    StopOrder,
    WorkerEntry,
    WorkerReport,
)

STOP_S = 0.2
MAX_LEASE_MS = 6000


RunPlan = Callable[[TaskKey, int], tuple[float, RunEnd]]


class RunLedger(Protocol):
    """Note what truly happens on workers."""

    def on_start(self, task: TaskKey, run: int, worker_id: str, now: float) -> None:
        """Note a run that has begun."""

    def on_end(self, task: TaskKey, worker_id: str, end: RunEnd | None) -> None:
        """Note a run's end; None stands for a crash."""

    def on_acknowledged(self, end: EndedTask) -> None:
        """Note an end that the worker was told to forget."""


@dataclass(slots=True)
class WorkerRun:
    """Hold one run on a worker; ``ends_at`` and ``stops_at`` are true times."""

    run: int
    step: Step
    ends_at: float
    end: RunEnd
    stops_at: float | None = None


@dataclass(slots=True)
class TaskWorker:
    """Keep runs, ends, a lease and the highest epoch, through one life."""

    entry: WorkerEntry
    steps_by_id: dict[str, tuple[Step, ...]]
    ledger: RunLedger
    rate: float = 1.0
    born_at: float = 0.0
    started_at_ms: int = 1
    epoch: int = 0
    lease_until_ms: int = 0
    is_up: bool = True
    run_by_task: dict[TaskKey, WorkerRun] = field(default_factory=dict)
    highest_run: dict[TaskKey, int] = field(default_factory=dict)
    ended: list[EndedTask] = field(default_factory=list)
    n_ended: int = 0
    # Ends up to this number came before a lapse of the lease: acknowledging them
    # later doesn't count as taking note of them.
    lapsed_upto: int = 0

    def clock_ms(self, now: float) -> int:
        """Return the worker's steady clock."""
        return int((now - self.born_at) * 1000 * self.rate) + 1

    def advance(self, now: float) -> None:
        """End what is due, and everything once the lease has lapsed."""
        if not self.is_up:
            return
        for task, run in list(self.run_by_task.items()):
            if run.ends_at <= now and (
                run.stops_at is None or run.ends_at <= run.stops_at
            ):
                self._end(task, run.end)
            elif run.stops_at is not None and run.stops_at <= now:
                self._end(task, RunEnd.STOPPED)
        if self.clock_ms(now) > self.lease_until_ms:
            for task in list(self.run_by_task):
                self._end(task, RunEnd.LAPSED)
            self.lapsed_upto = self.n_ended

    def crash(self, now: float) -> None:
        """Lose everything and start a new life at once."""
        for task in self.run_by_task:
            self.ledger.on_end(task, self.entry.worker_id, None)
        self.run_by_task.clear()
        self.highest_run.clear()
        self.ended.clear()
        self.n_ended = 0
        self.lapsed_upto = 0
        self.epoch = 0
        self.lease_until_ms = 0
        self.born_at = now
        self.started_at_ms += 1000

    def start(self, order: StartOrder, now: float, plan: RunPlan) -> OrderAnswer:
        """Take a start; ``plan`` gives how long the run takes and how it ends."""
        self.advance(now)
        clock = self.clock_ms(now)
        if order.epoch < self.epoch:
            return OrderAnswer(OrderResult.FENCED, clock)
        self.epoch = order.epoch
        known = self.run_by_task.get(order.task)
        if known and known.run == order.run:
            return OrderAnswer(OrderResult.ACCEPTED, clock)
        if clock > order.deadline_ms:
            return OrderAnswer(OrderResult.TOO_LATE, clock)
        self._renew(order.deadline_ms, clock)
        if known or order.run <= self.highest_run.get(order.task, 0):
            return OrderAnswer(OrderResult.OLD_RUN, clock)
        step = self.steps_by_id[order.task.submission_id][order.task.step]
        if not step.room.fits_in(self._free()):
            return OrderAnswer(OrderResult.NO_ROOM, clock)
        length_s, end = plan(order.task, order.run)
        self.run_by_task[order.task] = WorkerRun(order.run, step, now + length_s, end)
        self.ledger.on_start(order.task, order.run, self.entry.worker_id, now)
        return OrderAnswer(OrderResult.ACCEPTED, clock)

    def stop(self, order: StopOrder, now: float) -> OrderAnswer:
        """Take a stop."""
        self.advance(now)
        clock = self.clock_ms(now)
        if order.epoch < self.epoch:
            return OrderAnswer(OrderResult.FENCED, clock)
        self.epoch = order.epoch
        floor = self.highest_run.get(order.task, 0)
        self.highest_run[order.task] = max(floor, order.run)
        run = self.run_by_task.get(order.task)
        if run and run.run == order.run and run.stops_at is None:
            run.stops_at = now + STOP_S
        return OrderAnswer(OrderResult.ACCEPTED, clock)

    def hold(self, order: HoldOrder, now: float) -> OrderAnswer:
        """Take a hold and report."""
        self.advance(now)
        clock = self.clock_ms(now)
        if order.epoch < self.epoch:
            return OrderAnswer(OrderResult.FENCED, clock)
        self.epoch = order.epoch
        for end in self.ended:
            if self.lapsed_upto < end.number <= order.acked_number:
                self.ledger.on_acknowledged(end)
        self.ended = [end for end in self.ended if end.number > order.acked_number]
        if order.deadline_ms is not None:
            self._renew(order.deadline_ms, clock)
        running = tuple(
            RunningTask(task, run.run, "", 100)
            for task, run in self.run_by_task.items()
        )
        report = WorkerReport(clock, self.started_at_ms, running, tuple(self.ended))
        return OrderAnswer(OrderResult.ACCEPTED, clock, report)

    def _renew(self, deadline_ms: int, clock: int) -> None:
        granted = min(deadline_ms, clock + MAX_LEASE_MS)
        self.lease_until_ms = max(self.lease_until_ms, granted)

    def _free(self) -> TaskDemand:
        used = TaskDemand()
        for run in self.run_by_task.values():
            used = used + run.step.room
        return self.entry.capacity - used

    def _end(self, task: TaskKey, end: RunEnd) -> None:
        run = self.run_by_task.pop(task)
        self.n_ended += 1
        self.highest_run[task] = max(self.highest_run.get(task, 0), run.run)
        self.ended.append(EndedTask(self.n_ended, task, run.run, end, ""))
        self.ledger.on_end(task, self.entry.worker_id, end)

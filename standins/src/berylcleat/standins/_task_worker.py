"""Worker of the platform in logical time, with the behaviour that owners observe."""

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

STOP_DELAY_S = 0.2
MAX_LEASE_MS = 6000


RunOutcomePlan = Callable[[TaskKey, int], tuple[float, RunEnd]]


class RunObserver(Protocol):
    """Callbacks for the runs on workers, independent of what owners are told."""

    def on_start(self, task: TaskKey, run: int, worker_id: str, now: float) -> None:
        """Handle the start of a run."""

    def on_end(self, task: TaskKey, worker_id: str, end: RunEnd | None) -> None:
        """Handle the end of a run; ``end`` is None after a crash of the worker."""

    def on_acknowledged(self, end: EndedTask) -> None:
        """Handle the owner's acknowledgement of an end."""


@dataclass(slots=True)
class WorkerRun:
    """One run on a worker; times are of the simulation, not the worker's clock."""

    run: int
    step: Step
    ends_at: float
    end: RunEnd
    stops_at: float | None = None


@dataclass(slots=True)
class TaskWorker:
    """State of one worker: runs, unacknowledged ends, lease and highest epoch.

    A crash resets it and starts a new incarnation. ``rate`` is the speed of the
    worker's clock relative to true time.
    """

    entry: WorkerEntry
    steps_by_id: dict[str, tuple[Step, ...]]
    observer: RunObserver
    rate: float = 1.0
    clock_started_at: float = 0.0
    started_at_ms: int = 1
    epoch: int = 0
    lease_until_ms: int = 0
    is_up: bool = True
    run_by_task: dict[TaskKey, WorkerRun] = field(default_factory=dict)
    highest_run: dict[TaskKey, int] = field(default_factory=dict)
    ended: list[EndedTask] = field(default_factory=list)
    n_ended: int = 0
    # Ends up to this number precede a lapse of the lease. An acknowledgement of them
    # after the lapse doesn't count as recorded and isn't passed to the observer.
    last_lapsed_number: int = 0

    def clock_ms(self, now: float) -> int:
        """Return the worker's monotonic clock in ms at true time ``now``."""
        return int((now - self.clock_started_at) * 1000 * self.rate) + 1

    def advance(self, now: float) -> None:
        """End due runs, and all runs once the lease has lapsed."""
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
            self.last_lapsed_number = self.n_ended

    def crash(self, now: float) -> None:
        """Lose all state and start a new incarnation immediately."""
        for task in self.run_by_task:
            self.observer.on_end(task, self.entry.worker_id, None)
        self.run_by_task.clear()
        self.highest_run.clear()
        self.ended.clear()
        self.n_ended = 0
        self.last_lapsed_number = 0
        self.epoch = 0
        self.lease_until_ms = 0
        self.clock_started_at = now
        self.started_at_ms += 1000

    def start(self, order: StartOrder, now: float, plan: RunOutcomePlan) -> OrderAnswer:
        """Execute a start order.

        ``plan`` returns the run's duration in seconds and its end.
        """
        self.advance(now)
        clock_ms_now = self.clock_ms(now)
        if order.epoch < self.epoch:
            return OrderAnswer(OrderResult.FENCED, clock_ms_now)
        self.epoch = order.epoch
        current_run = self.run_by_task.get(order.task)
        if current_run and current_run.run == order.run:
            return OrderAnswer(OrderResult.ACCEPTED, clock_ms_now)
        if clock_ms_now > order.deadline_ms:
            return OrderAnswer(OrderResult.TOO_LATE, clock_ms_now)
        self._extend_lease(order.deadline_ms, clock_ms_now)
        if current_run or order.run <= self.highest_run.get(order.task, 0):
            return OrderAnswer(OrderResult.OLD_RUN, clock_ms_now)
        step = self.steps_by_id[order.task.submission_id][order.task.step]
        if not step.allocation.fits_in(self._free_capacity()):
            return OrderAnswer(OrderResult.NO_ROOM, clock_ms_now)
        duration_s, end = plan(order.task, order.run)
        self.run_by_task[order.task] = WorkerRun(order.run, step, now + duration_s, end)
        self.observer.on_start(order.task, order.run, self.entry.worker_id, now)
        return OrderAnswer(OrderResult.ACCEPTED, clock_ms_now)

    def stop(self, order: StopOrder, now: float) -> OrderAnswer:
        """Execute a stop order; the run ends after ``STOP_DELAY_S``."""
        self.advance(now)
        clock_ms_now = self.clock_ms(now)
        if order.epoch < self.epoch:
            return OrderAnswer(OrderResult.FENCED, clock_ms_now)
        self.epoch = order.epoch
        previous_highest = self.highest_run.get(order.task, 0)
        self.highest_run[order.task] = max(previous_highest, order.run)
        run = self.run_by_task.get(order.task)
        if run and run.run == order.run and run.stops_at is None:
            run.stops_at = now + STOP_DELAY_S
        return OrderAnswer(OrderResult.ACCEPTED, clock_ms_now)

    def hold(self, order: HoldOrder, now: float) -> OrderAnswer:
        """Acknowledge ends, extend the lease and return a report."""
        self.advance(now)
        clock_ms_now = self.clock_ms(now)
        if order.epoch < self.epoch:
            return OrderAnswer(OrderResult.FENCED, clock_ms_now)
        self.epoch = order.epoch
        for end in self.ended:
            if self.last_lapsed_number < end.number <= order.acked_number:
                self.observer.on_acknowledged(end)
        self.ended = [end for end in self.ended if end.number > order.acked_number]
        if order.deadline_ms is not None:
            self._extend_lease(order.deadline_ms, clock_ms_now)
        running = tuple(
            RunningTask(task, run.run, "", 100)
            for task, run in self.run_by_task.items()
        )
        report = WorkerReport(
            clock_ms_now, self.started_at_ms, running, tuple(self.ended)
        )
        return OrderAnswer(OrderResult.ACCEPTED, clock_ms_now, report)

    def _extend_lease(self, deadline_ms: int, clock_ms_now: int) -> None:
        granted = min(deadline_ms, clock_ms_now + MAX_LEASE_MS)
        self.lease_until_ms = max(self.lease_until_ms, granted)

    def _free_capacity(self) -> TaskDemand:
        used = TaskDemand()
        for run in self.run_by_task.values():
            used = used + run.step.allocation
        return self.entry.capacity - used

    def _end(self, task: TaskKey, end: RunEnd) -> None:
        run = self.run_by_task.pop(task)
        self.n_ended += 1
        self.highest_run[task] = max(self.highest_run.get(task, 0), run.run)
        self.ended.append(EndedTask(self.n_ended, task, run.run, end, ""))
        self.observer.on_end(task, self.entry.worker_id, end)

"""Stand-in for a worker that runs tasks under a lease measured on its own clock."""

import secrets
from dataclasses import dataclass, field

from berylcleat.model import Resources, WorkerSpec
from berylcleat.ports import (
    ExchangeReply,
    ExchangeRequest,
    TaskEnd,
    TaskRunning,
    TaskStart,
    TaskStop,
    TaskThrottle,
)

from ._history import History

THROTTLED_RATE = 0.3


@dataclass(frozen=True, slots=True)
class _RunningAttempt:
    """Running attempt of a task.

    ``progress_at_update_s`` is the work done until ``updated_at``, in seconds at full
    rate and including earlier attempts.
    """

    start: TaskStart
    updated_at: float
    progress_at_update_s: float
    rate: float = 1.0

    def progress_s(self, now: float) -> float:
        """Return the work done at ``now``, in seconds at full rate."""
        return min(
            self.start.run_s,
            self.progress_at_update_s + self.rate * (now - self.updated_at),
        )

    def finishes_at(self) -> float:
        """Return the time at which the work is done at the current rate."""
        return (
            self.updated_at + (self.start.run_s - self.progress_at_update_s) / self.rate
        )

    def with_rate(self, rate: float, now: float) -> "_RunningAttempt":
        """Return the attempt with another rate from ``now`` on."""
        return _RunningAttempt(self.start, now, self.progress_s(now), rate)


@dataclass
class WorkerStandin:
    """Worker that runs tasks and refuses orders of old epochs or without a lease."""

    spec: WorkerSpec
    history: History
    fails_all: bool = False
    is_fencing: bool = True
    is_leaving: bool = False
    slowdown: float = 1.0
    incarnation: str = field(default_factory=lambda: secrets.token_hex(4))
    epoch: int = 0
    sequence: int = 0
    lease_until: float = 0.0
    attempt_by_task: dict[str, _RunningAttempt] = field(default_factory=dict)
    end_by_task: dict[str, TaskEnd] = field(default_factory=dict)
    version: int = 1
    version_by_task: dict[str, int] = field(default_factory=dict)

    def exchange(self, request: ExchangeRequest, now: float) -> ExchangeReply:
        """Apply one exchange at ``now`` on the worker's clock and return the reply.

        Rejects a request whose epoch and sequence are not newer than the last ones.
        A request for another incarnation renews no lease and starts no task.
        """
        self.advance(now)
        request_order = (request.epoch, request.sequence)
        if self.is_fencing and request_order <= (self.epoch, self.sequence):
            return self._reply(now, accepted=False)
        self.epoch, self.sequence = request_order
        is_same_incarnation = request.incarnation == self.incarnation
        if is_same_incarnation:
            granted_until = request.echo_time_s + request.lease_s
            self.lease_until = max(self.lease_until, granted_until)
        for stop in request.stops:
            self._stop(stop, now)
        for throttle in request.throttles:
            self._throttle(throttle, now)
        for forget in request.forget:
            self._drop_end(forget)
        seen_version = request.seen_version if is_same_incarnation else 0
        refused = [
            s
            for s in request.starts
            if not is_same_incarnation or not self._start(s, now)
        ]
        return self._reply(
            now,
            seen_version=seen_version,
            refused=tuple(TaskStop(s.task_id, s.attempt) for s in refused),
        )

    def advance(self, now: float) -> None:
        """End finished attempts, and all attempts once the lease has expired."""
        for task_id, attempt in tuple(self.attempt_by_task.items()):
            finishes_at = attempt.finishes_at()
            if finishes_at <= min(now, self.lease_until):
                self._end(task_id, "failed" if self.fails_all else "finished", now)
            elif now >= self.lease_until:
                # A frozen worker ran nothing after its lease had expired, so the end is
                # recorded at the expiry, not at the time at which it is noticed.
                self._end(task_id, "lapsed", self.lease_until)

    def _start(self, start: TaskStart, now: float) -> bool:
        running_attempt = self.attempt_by_task.get(start.task_id)
        if running_attempt:
            return running_attempt.start.attempt == start.attempt
        ended = self.end_by_task.get(start.task_id)
        if ended and ended.attempt >= start.attempt:
            return ended.attempt == start.attempt
        if now >= self.lease_until or not self._has_capacity(start):
            return False
        self.end_by_task.pop(start.task_id, None)
        if start.progress_s > 0:
            worker_id = self.spec.worker_id
            self.history.write("task-resumed", start.task_id, worker_id, start.attempt)
        self.attempt_by_task[start.task_id] = _RunningAttempt(
            start, now, start.progress_s
        )
        self.version += 1
        self.version_by_task[start.task_id] = self.version
        self.history.write(
            "task-start", start.task_id, self.spec.worker_id, start.attempt
        )
        return True

    def _has_capacity(self, start: TaskStart) -> bool:
        used = Resources(start.cores, start.memory_gb, start.accelerators)
        for attempt in self.attempt_by_task.values():
            other_start = attempt.start
            used += Resources(
                other_start.cores, other_start.memory_gb, other_start.accelerators
            )
        return used.fits_in(self.spec.capacity)

    def _stop(self, stop: TaskStop, now: float) -> None:
        attempt = self.attempt_by_task.get(stop.task_id)
        if attempt and attempt.start.attempt == stop.attempt:
            self._end(
                stop.task_id, "checkpointed" if stop.checkpoint else "stopped", now
            )

    def _throttle(self, throttle: TaskThrottle, now: float) -> None:
        attempt = self.attempt_by_task.get(throttle.task_id)
        if attempt is None or attempt.start.attempt != throttle.attempt:
            return
        rate = THROTTLED_RATE if throttle.is_on else 1.0
        self.attempt_by_task[throttle.task_id] = attempt.with_rate(rate, now)
        self.version += 1
        self.version_by_task[throttle.task_id] = self.version
        kind = "task-throttled" if throttle.is_on else "task-freed"
        self.history.write(
            kind, throttle.task_id, self.spec.worker_id, throttle.attempt
        )

    def _end(self, task_id: str, state: str, now: float) -> None:
        attempt = self.attempt_by_task.pop(task_id)
        del self.version_by_task[task_id]
        self.version += 1
        attempt_number = attempt.start.attempt
        keeps_progress = state in ("finished", "checkpointed")
        progress_s = (
            attempt.progress_s(now) if keeps_progress else attempt.start.progress_s
        )
        self.end_by_task[task_id] = TaskEnd(task_id, attempt_number, state, progress_s)
        kind = f"task-{state}"
        self.history.write(kind, task_id, self.spec.worker_id, attempt_number, now)

    def _drop_end(self, forget: TaskStop) -> None:
        ended = self.end_by_task.get(forget.task_id)
        if ended and ended.attempt == forget.attempt:
            del self.end_by_task[forget.task_id]

    def _reply(
        self,
        now: float,
        *,
        seen_version: int = 0,
        accepted: bool = True,
        refused: tuple[TaskStop, ...] = (),
    ) -> ExchangeReply:
        running = tuple(
            TaskRunning(
                task_id,
                a.start.attempt,
                a.start.cores * a.rate,
                a.start.memory_gb,
                a.rate < 1.0,
            )
            for task_id, a in self.attempt_by_task.items()
            if self.version_by_task[task_id] > seen_version
        )
        return ExchangeReply(
            worker_id=self.spec.worker_id,
            incarnation=self.incarnation,
            epoch=self.epoch,
            worker_time_s=now,
            version=self.version,
            base_version=seen_version,
            accepted=accepted,
            running=running,
            ended=tuple(self.end_by_task.values()),
            refused=refused,
            is_leaving=self.is_leaving,
            service_slowdown=self.slowdown,
        )

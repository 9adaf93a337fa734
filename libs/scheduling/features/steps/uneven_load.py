"""Seeded load on one cell whose stand-in workers are uneven, without a network.

The same load is run with and without ``UnevenWorkers``; what a task takes and which
workers are disturbed depends on the seed alone.
"""

import random
from collections import Counter
from dataclasses import dataclass, replace

from berylcleat.model import (
    QueuePolicy,
    Step,
    Submission,
    SubmissionState,
    TaskDemand,
    TaskKey,
)
from berylcleat.ports import (
    HoldOrder,
    OrderAnswer,
    OrderResult,
    RunEnd,
    StartOrder,
    StopOrder,
    WorkerEntry,
)
from berylcleat.scheduling import (
    CellScheduler,
    InterferenceModel,
    LeaseTimes,
    Progress,
    UnevenWorkers,
)
from berylcleat.standins import TaskWorker

TICK_S = 0.05
HOLD_PERIOD_S = 0.4
N_WORKERS = 20
LOAD_S = 20.0
MAX_S = 80.0
DISTURBED_FROM_S = 5.0
DISTURBED_UNTIL_S = 11.0
NEVER_S = 1000.0
# Seconds after which a run fails on a worker that fails everything.
FAILS_AFTER_S = 0.3
# Seconds for which a flapping worker is up and down by turns.
FLAP_S = 1.0
QUEUE = QueuePolicy("q", "svc", max_attempts=2, stretch=2.0, objective_ms=1000)
LATE_LIMIT = 3.0


@dataclass(frozen=True, slots=True)
class Disturbance:
    """What goes wrong from ``DISTURBED_FROM_S`` to ``until_s``.

    ``worker_share`` of the workers are affected; ``long_share`` of all tasks take
    ``long_factor`` times as long for the whole time, and ``failing_share`` of the
    submissions have a first task that fails everywhere.
    """

    worker_share: float = 0.0
    until_s: float = DISTURBED_UNTIL_S
    slowdown: float = 1.0
    fails: bool = False
    flaps: bool = False
    long_share: float = 0.0
    long_factor: float = 7.0
    failing_share: float = 0.0


class NoObserver:
    """Observer of runs that ignores them."""

    def on_start(self, task, run, worker_id, now):
        """Ignore a start."""

    def on_end(self, task, worker_id, end):
        """Ignore an end."""

    def on_acknowledged(self, end):
        """Ignore an acknowledgement."""


class UnevenLoad:
    """One cell under a seeded load; ``learns`` switches ``UnevenWorkers`` on."""

    def __init__(self, seed: int, disturbance: Disturbance, *, learns: bool):
        self.seed = seed
        self.disturbance = disturbance
        self.learns = learns
        self.now = 0.0
        self.epoch = 0
        self.accepted_at: dict[str, float] = {}
        self.submission_by_id: dict[str, Submission] = {}
        self.progress_by_id: dict[str, Progress] = {}
        self.done_at: dict[str, float] = {}
        self.failed: set[str] = set()
        self.bad_tasks: set[TaskKey] = set()
        self.work_s: dict[tuple[str, int], float] = {}
        self.steps_by_id: dict[str, tuple[Step, ...]] = {}
        self.next_hold_at: dict[str, float] = {}
        self.workers = {
            f"w{n:02}": self._make_worker(f"w{n:02}") for n in range(N_WORKERS)
        }
        n_disturbed = round(disturbance.worker_share * N_WORKERS)
        self.disturbed = set(
            random.Random(f"workers {seed}").sample(sorted(self.workers), n_disturbed)
        )
        self.arrivals = self._plan_arrivals()
        self.take_over()

    def _make_worker(self, worker_id: str) -> TaskWorker:
        entry = WorkerEntry(
            worker_id, "svc", "a:1", "dc", "k", "r1", frozenset(), TaskDemand(8000), 1
        )
        return TaskWorker(entry, self.steps_by_id, NoObserver())

    def _plan_arrivals(self) -> list[tuple[float, Submission]]:
        """Return submissions of two steps that use some 60% of the workers."""
        rng = random.Random(f"load {self.seed}")
        arrivals = []
        at = 0.3
        while at < LOAD_S:
            submission_id = f"{len(arrivals) + 1:016x}"
            steps = []
            for after in ((), (0,)):
                estimate_s = rng.choice((0.5, 1.0, 1.5))
                demand = TaskDemand(rng.choice((1000, 2000)))
                n_tasks = rng.randint(2, 6)
                steps.append(Step(n_tasks, demand, estimate_s, after))
                # Durations spread within a queue, and little within a step.
                work_s = estimate_s * rng.lognormvariate(0.0, 0.4)
                self.work_s[(submission_id, len(steps) - 1)] = work_s
            submission = Submission(submission_id, QUEUE, "s", tuple(steps))
            if rng.random() < self.disturbance.failing_share:
                self.bad_tasks.add(TaskKey(submission_id, 0, 0, 0))
            arrivals.append((at, submission))
            at += rng.expovariate(8.0)
        return arrivals

    def take_over(self) -> None:
        """Make a new owner that knows the recorded state alone."""
        self.epoch += 1
        self.slow_seen: set[str] = set()
        self.probation_seen: set[str] = set()
        self.deviated_at = 0.0
        entries = tuple(worker.entry for worker in self.workers.values())
        self.cell = CellScheduler(
            "c",
            self.epoch,
            LeaseTimes(worker_lease_s=5.0, max_lease_s=6.0, owner_limit_s=12.0),
            self.now,
            self.now,
            entries if self.epoch > 1 else (),
            InterferenceModel(),
        )
        if self.learns:
            self.cell.uneven_workers = UnevenWorkers()
        for entry in entries:
            self.cell.list_worker(entry, self.now)
        self.cell.on_workers_recorded(frozenset(self.workers))
        for submission_id, submission in self.submission_by_id.items():
            progress = self.progress_by_id.get(submission_id, Progress())
            accepted_at = self.accepted_at[submission_id]
            self.cell.add_submission(
                submission, progress, accepted_at, self.now, inherited=True
            )

    def run(self, until_s: float = MAX_S) -> None:
        """Run until the time, or until all submissions have ended."""
        while self.now < until_s:
            self.now = round(self.now + TICK_S, 6)
            self._disturb()
            self._accept_due()
            for worker_id in self.workers:
                self._hold(worker_id)
            self._record()
            for item in self.cell.plan(self.now, 0.0):
                self._execute(item.worker_id, item.order)
            self._watch()
            ended = len(self.done_at) + len(self.failed)
            if not self.arrivals and ended == len(self.submission_by_id):
                return

    def outcomes(self) -> Counter:
        """Return how many submissions ended in time, late, failed or too late."""
        counts = Counter()
        for submission_id, accepted_at in self.accepted_at.items():
            tracked = self.cell.submissions.by_id[submission_id]
            limit_s = tracked.due_at - accepted_at
            took_s = self.done_at.get(submission_id, float("inf")) - accepted_at
            if submission_id in self.failed or took_s > LATE_LIMIT * limit_s:
                counts["failed"] += 1
            else:
                counts["in time" if took_s <= limit_s else "late"] += 1
        return counts

    def _disturb(self) -> None:
        if not self.disturbance.flaps:
            return
        for worker_id in self.disturbed:
            worker = self.workers[worker_id]
            phase = int((self.now - DISTURBED_FROM_S) / FLAP_S)
            is_up = not self._is_disturbed(worker_id) or phase % 2 == 1
            if worker.is_up and not is_up:
                worker.crash(self.now)
            elif is_up and not worker.is_up:
                entry = replace(worker.entry, started_at_ms=worker.started_at_ms)
                worker.entry = entry
                self.cell.list_worker(entry, self.now)
            worker.is_up = is_up

    def _is_disturbed(self, worker_id: str) -> bool:
        is_time = DISTURBED_FROM_S <= self.now < self.disturbance.until_s
        return is_time and worker_id in self.disturbed

    def _accept_due(self) -> None:
        while self.arrivals and self.arrivals[0][0] <= self.now:
            _, submission = self.arrivals.pop(0)
            submission_id = submission.submission_id
            self.steps_by_id[submission_id] = submission.steps
            self.submission_by_id[submission_id] = submission
            self.accepted_at[submission_id] = self.now
            self.cell.add_submission(
                submission, Progress(), self.now, self.now, inherited=False
            )

    def _hold(self, worker_id: str) -> None:
        worker = self.workers[worker_id]
        worker.advance(self.now)
        if not worker.ended and self.now < self.next_hold_at.get(worker_id, 0.0):
            return
        self.next_hold_at[worker_id] = self.now + HOLD_PERIOD_S
        if not worker.is_up:
            self.cell.on_hold_failed(worker_id, self.now)
            return
        view = self.cell.worker_by_id[worker_id]
        order = HoldOrder(self.epoch, 0, None, 0)
        if view.has_seen_epoch and view.incarnation_ms == worker.started_at_ms:
            until_ms = self.cell.lease_until_ms(view, self.now)
            order = HoldOrder(self.epoch, view.acked_number, until_ms, 0)
        answer = worker.hold(order, self.now)
        self.cell.on_report(worker_id, answer.report, self.now, self.now)

    def _record(self) -> None:
        batch = self.cell.take_batch()
        self.cell.on_recorded(batch)
        for write in batch.writes:
            tracked = self.cell.submissions.by_id[write.submission_id]
            self.progress_by_id[write.submission_id] = tracked.progress
            if tracked.progress.final_state is SubmissionState.DONE:
                self.done_at.setdefault(write.submission_id, self.now)
            elif tracked.progress.final_state is SubmissionState.FAILED:
                self.failed.add(write.submission_id)

    def _execute(self, worker_id: str, order) -> None:
        worker = self.workers[worker_id]
        if isinstance(order, StopOrder):
            answer = worker.stop(order, self.now)
            self.cell.on_stop_answer(worker_id, order, answer, self.now)
        elif isinstance(order, StartOrder):
            answer = OrderAnswer(OrderResult.NOT_SENT, 0)
            if worker.is_up:
                answer = worker.start(
                    order, self.now, lambda task, run: self._plan_run(task, worker_id)
                )
            self.cell.on_start_answer(worker_id, order, answer, self.now)

    def _plan_run(self, task: TaskKey, worker_id: str) -> tuple[float, RunEnd]:
        """Return the duration of a run that starts now, and how it ends."""
        rng = random.Random(f"{self.seed} {task}")
        work_s = self.work_s[(task.submission_id, task.step)]
        work_s *= rng.uniform(0.85, 1.15)
        if rng.random() < self.disturbance.long_share:
            work_s *= self.disturbance.long_factor
        if task in self.bad_tasks:
            return work_s, RunEnd.FAILED
        if self._is_disturbed(worker_id) and self.disturbance.fails:
            return FAILS_AFTER_S, RunEnd.FAILED
        return self._slowed(worker_id, work_s), RunEnd.DONE

    def _slowed(self, worker_id: str, work_s: float) -> float:
        """Return how long work takes on a worker that is slow for a while."""
        slowdown = self.disturbance.slowdown
        if worker_id not in self.disturbed or self.now >= self.disturbance.until_s:
            return work_s
        normal_s = max(0.0, DISTURBED_FROM_S - self.now)
        if work_s <= normal_s:
            return work_s
        slow_s = min(
            (work_s - normal_s) * slowdown,
            self.disturbance.until_s - max(self.now, DISTURBED_FROM_S),
        )
        return normal_s + slow_s + (work_s - normal_s - slow_s / slowdown)

    def _watch(self) -> None:
        """Note which workers count as slow or are on probation."""
        for worker_id, view in self.cell.worker_by_id.items():
            if view.condition is None:
                continue
            self.deviated_at = self.now
            if view.condition.slowdown > 1.0:
                self.slow_seen.add(worker_id)
            if view.condition.is_on_probation:
                self.probation_seen.add(worker_id)

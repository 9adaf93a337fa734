"""Seeded load on one cell whose stand-in workers are uneven, without a network.

The same load is run with and without ``UnevenWorkers``; what a task takes and which
workers are disturbed depends on the seed alone.
"""

import random
from collections import Counter
from dataclasses import dataclass, replace

from cell_loop import CellLoop, lateness

from berylcleat.model import (
    QueuePolicy,
    Step,
    Submission,
    SubmissionState,
    TaskDemand,
    TaskKey,
)
from berylcleat.ports import RunEnd
from berylcleat.scheduling import CellScheduler, InterferenceModel, Progress

CELL = "r1"
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


class UnevenLoad(CellLoop):
    """One cell under a seeded load; ``learns`` switches ``UnevenWorkers`` on."""

    tick_s = 0.05
    hold_period_s = 0.4

    def __init__(self, seed: int, disturbance: Disturbance, *, learns: bool):
        super().__init__(seed, 0.0, uneven_workers=learns)
        self.disturbance = disturbance
        self.epoch = 0
        self.accepted_at: dict[str, float] = {}
        self.submission_by_id: dict[str, Submission] = {}
        self.progress_by_id: dict[str, Progress] = {}
        self.done_at: dict[str, float] = {}
        self.failed: set[str] = set()
        self.bad_tasks: set[TaskKey] = set()
        self.work_s: dict[tuple[str, int], float] = {}
        for number in range(N_WORKERS):
            self.add_worker(f"w{number:02}", CELL, TaskDemand(8000))
        n_disturbed = round(disturbance.worker_share * N_WORKERS)
        self.disturbed = set(
            random.Random(f"workers {seed}").sample(sorted(self.workers), n_disturbed)
        )
        self.arrivals = self._plan_arrivals()
        self.take_over()

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
        self.interference = InterferenceModel()
        self.cells = [self.make_scheduler(CELL, self.epoch)]
        for submission_id, submission in self.submission_by_id.items():
            progress = self.progress_by_id.get(submission_id, Progress())
            accepted_at = self.accepted_at[submission_id]
            self.cell.add_submission(
                submission, progress, accepted_at, self.now, inherited=True
            )

    @property
    def cell(self) -> CellScheduler:
        """Return the scheduler of the present owner."""
        return self.cells[0]

    def run(self, until_s: float = MAX_S) -> None:
        """Run until the time, or until all submissions have ended."""
        while self.now < until_s:
            self.tick()
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
            has_failed = submission_id in self.failed
            outcome = "missed" if has_failed else lateness(took_s, limit_s)
            counts["failed" if outcome == "missed" else outcome] += 1
        return counts

    def on_tick(self) -> None:
        """Take workers down and up, and accept what has arrived."""
        self._disturb()
        while self.arrivals and self.arrivals[0][0] <= self.now:
            _, submission = self.arrivals.pop(0)
            self.submission_by_id[submission.submission_id] = submission
            self.accepted_at[submission.submission_id] = self.now
            self.accept(0, submission)

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

    def on_recorded(self, cell: CellScheduler, batch) -> None:
        """Note the recorded progress and which submissions have ended."""
        for write in batch.writes:
            tracked = cell.submissions.by_id[write.submission_id]
            self.progress_by_id[write.submission_id] = tracked.progress
            if tracked.progress.final_state is SubmissionState.DONE:
                self.done_at.setdefault(write.submission_id, self.now)
            elif tracked.progress.final_state is SubmissionState.FAILED:
                self.failed.add(write.submission_id)

    def plan_run(self, task: TaskKey, worker_id: str) -> tuple[float, RunEnd]:
        """Return what a run takes on this worker, and whether it fails."""
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

    def on_tick_end(self) -> None:
        """Note which workers count as slow or are on probation."""
        for worker_id, view in self.cell.worker_by_id.items():
            if view.condition is None:
                continue
            self.deviated_at = self.now
            if view.condition.slowdown > 1.0:
                self.slow_seen.add(worker_id)
            if view.condition.is_on_probation:
                self.probation_seen.add(worker_id)

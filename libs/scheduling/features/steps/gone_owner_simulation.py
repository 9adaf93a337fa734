"""Simulated histories of an owner and a worker that never come back.

Until the owner goes, orders are lost or late and workers restart; afterwards all is
calm, so that a long-running task without a run is a fault of the next owner.
"""

import random
from collections import Counter
from dataclasses import replace
from enum import Enum

from cell_simulation import SimCell, SimOwner
from connection_simulation import ConnectionSimulation
from drain_simulation import Cut, DrainConnectionSimulation
from liveness_simulation import LivenessChecker

from berylcleat.model import Step, TaskKey
from berylcleat.ports import RunEnd

# Seconds after a fault until the machines count as in touch (contactMs).
# LivenessChecker adds the 4 s and the 3 s of LOST.
CONTACT_S = 3.0
N_WORKERS = 4
# Bounds in seconds of the time at which the owner goes, until another one takes its
# cell over, and until that one goes as well.
GOES_AT_S = (8.0, 14.0)
TAKEOVER_S = (3.5, 4.0)
GOES_NEXT_S = (0.5, 8.0)
# Share of the histories in which the next owner goes as well.
NEXT_GOES_SHARE = 0.3
# Longest time in seconds by which the worker goes before the owner.
MAX_EARLIER_S = 1.0
# Bounds in seconds of a suspension, and longest time from its end until the owner reads
# the store.
SUSPENDED_S = (4.5, 20.0)
MAX_READ_S = 1.0
# Bounds in seconds of the time for which heartbeats fail though reads succeed, and
# longest time from a takeover until such an owner reads it.
HEARTBEATS_FAIL_S = (4.0, 8.0)
MAX_TAKEOVER_READ_S = 4.0
# Shares of the ticks of a cell in which something is submitted or a worker restarts.
SUBMIT_SHARE = 0.02
RESTART_SHARE = 0.002
LASTING_SHARE = 0.4
# Share of all processors that long-running tasks may reserve.
MAX_LASTING_SHARE = 0.3
LASTING_RUN_S = (5.0, 60.0)
CAPACITY_CPU_MILLIS = 4000


class OwnerFault(Enum):
    """How an owner goes that never tells that it has stopped."""

    GONE = "gone"
    RESTARTED = "restarted"
    CUT_OFF_FROM_STORE = "cut off from the store"
    CUT_OFF_WITH_WORKER = "cut off together with a worker"
    SUSPENDED = "suspended"
    HEARTBEATS_FAIL = "heartbeats fail"


# Faults that are drawn unless a history is to have a given one.
DRAWN_FAULTS = (
    OwnerFault.GONE,
    OwnerFault.CUT_OFF_FROM_STORE,
    OwnerFault.CUT_OFF_WITH_WORKER,
    OwnerFault.SUSPENDED,
)


class ReachableRoomChecker(LivenessChecker):
    """Check of waiting work that counts room on workers that answer only."""

    def usable_workers(self) -> list:
        """Return the listed workers that are up and that later owners reach."""
        return [
            worker
            for worker in super().usable_workers()
            if worker.entry.worker_id not in self.sim.silent_workers
        ]


class GoneOwnerSimulation(DrainConnectionSimulation):
    """History in which an owner goes for good together with a worker."""

    def __init__(
        self,
        random_state: int,
        disabled_mechanism: str = "",
        n_cells: int = 2,
        *,
        faults: tuple[OwnerFault, ...] = DRAWN_FAULTS,
        **options,
    ):
        self.faults = faults
        self.gone_rng = random.Random(f"gone owners {random_state}")
        self.calm_since: float | None = None
        self.silent_workers: set[str] = set()
        self.n_by_fault: Counter = Counter()
        # Runs on workers at the time at which they fall silent.
        self.n_silent_runs = 0
        super().__init__(random_state, disabled_mechanism, n_cells, **options)
        self.liveness = ReachableRoomChecker(self)
        sim_cell = self.gone_rng.choice(list(self.cell_by_id.values()))
        at = self.gone_rng.uniform(*GOES_AT_S)
        self.schedule_event(at, lambda: self._lose_pair(sim_cell))

    def _make_cell_with_workers(self, cell_id: str, n_workers: int) -> None:
        super()._make_cell_with_workers(cell_id, N_WORKERS)

    def observe(self) -> None:
        """Check that no work waits beside free capacity."""
        super().observe()
        self.liveness.observe(self.calm_since)

    # Submissions

    def submit(self) -> None:
        """Accept a submission of short tasks, or of long-running ones."""
        ConnectionSimulation.submit(self)
        submission_id, submission = list(self.submission_by_id.items())[-1]
        step = replace(submission.steps[0], is_long_running=True)
        if self.gone_rng.random() < LASTING_SHARE and self._has_lasting_room(step):
            submission = replace(submission, steps=(step,))
            self.submission_by_id[submission_id] = submission
            self.checker.steps_by_id[submission_id] = submission.steps

    def _has_lasting_room(self, step: Step) -> bool:
        submissions = self.submission_by_id.values()
        steps = [s for submission in submissions for s in submission.steps]
        lasting = [s for s in steps if s.is_long_running]
        reserved = sum(s.n_tasks * s.demand.cpu_millis for s in [*lasting, step])
        capacity = CAPACITY_CPU_MILLIS * len(self.workers)
        return reserved <= capacity * MAX_LASTING_SHARE

    def _plan_run(self, task: TaskKey, run: int) -> tuple[float, RunEnd]:
        if self.checker.steps_by_id[task.submission_id][task.step].is_long_running:
            return self.gone_rng.uniform(*LASTING_RUN_S), RunEnd.FAILED
        return super()._plan_run(task, run)

    # Faults

    def _inject_faults(self, sim_cell: SimCell, *, is_fault_free: bool) -> None:
        draw = self.gone_rng.random()
        if draw < SUBMIT_SHARE:
            self.submit()
        elif draw < SUBMIT_SHARE + RESTART_SHARE and not self.is_calm:
            self._restart_worker(sim_cell, self.gone_rng.choice(sim_cell.worker_ids))

    def _lose_pair(self, sim_cell: SimCell) -> None:
        """Let a busy worker of a cell fall silent, and then the cell's owner go."""
        fault = self.gone_rng.choice(self.faults)
        workers = [self.workers[worker_id] for worker_id in sim_cell.worker_ids]
        worker_id = max(workers, key=lambda w: len(w.run_by_task)).entry.worker_id
        with_owner = fault is OwnerFault.CUT_OFF_WITH_WORKER
        self._silence(sim_cell, worker_id, is_cut=with_owner)
        at = self.now + self.gone_rng.uniform(0.0, MAX_EARLIER_S)
        self.schedule_event(at, lambda: self._lose_owner(sim_cell, fault))

    def _silence(self, sim_cell: SimCell, worker_id: str, *, is_cut: bool) -> None:
        """Let a worker go for good, or be reached by the present owner alone."""
        worker = self.workers[worker_id]
        self.silent_workers.add(worker_id)
        self.n_silent_runs += len(worker.run_by_task)
        if is_cut or self.gone_rng.random() < 0.5:
            self.cut_by_worker[worker_id] = Cut(float("inf"), sim_cell.epoch + 1)
            return
        worker.crash(self.now)
        worker.is_up = False

    def _lose_owner(self, sim_cell: SimCell, fault: OwnerFault) -> None:
        """Let an owner go; another one takes its cell over, and may go as well."""
        self.n_by_fault[fault] += 1
        self.is_calm = True
        self.calm_since = self.now + CONTACT_S
        owner = sim_cell.owner
        self._apply(owner, fault)
        takeover_at = self.now + self.gone_rng.uniform(*TAKEOVER_S)
        self.schedule_event(takeover_at, lambda: self._replace(owner))
        if owner.epoch == 1 and self.gone_rng.random() < NEXT_GOES_SHARE:
            at = takeover_at + self.gone_rng.uniform(*GOES_NEXT_S)
            next_fault = self.gone_rng.choice(self.faults)
            self.schedule_event(at, lambda: self._lose_owner(sim_cell, next_fault))

    def _apply(self, owner: SimOwner, fault: OwnerFault) -> None:
        if fault in (OwnerFault.GONE, OwnerFault.RESTARTED):
            owner.is_dead = True
            return
        if fault is OwnerFault.HEARTBEATS_FAIL:
            fail_s = self.gone_rng.uniform(*HEARTBEATS_FAIL_S)
            owner.heartbeats_fail_until = self.now + fail_s
            return
        owner.is_partitioned = True
        if fault is OwnerFault.CUT_OFF_WITH_WORKER:
            owner.unreachable |= set(owner.sim_cell.worker_ids) - self.silent_workers
        elif fault is OwnerFault.SUSPENDED:
            owner.paused_until = self.now + self.gone_rng.uniform(*SUSPENDED_S)
            reads_at = owner.paused_until + self.gone_rng.uniform(0.0, MAX_READ_S)
            self.schedule_event(
                reads_at, lambda: setattr(owner, "is_partitioned", False)
            )

    def _replace(self, owner: SimOwner) -> None:
        """Take an owner's cell over; one that still reads learns of it late."""
        if owner.sim_cell.epoch != owner.epoch:
            return
        self.take_over(owner.sim_cell, is_dead=False)
        if not owner.is_out_of_touch:
            owner.is_unaware = True
            learns_at = self.now + self.gone_rng.uniform(0.0, MAX_TAKEOVER_READ_S)
            self.schedule_event(learns_at, lambda: setattr(owner, "is_unaware", False))

"""Simulated histories of workers that drain, exit, return and are cut off meanwhile.

A worker's entry goes after three liveness report intervals without a report, whether
the worker has exited or is cut off from the store; all entries may be lost with the
store. Owners handle holds that fail as the hold loops of a host do.
"""

import random
from dataclasses import dataclass, replace

from cell_simulation import TIMES, SimCell, SimOwner, Simulation
from connection_simulation import ConnectionSimulation

from berylcleat.model import TaskKey
from berylcleat.ports import HoldOrder, OrderAnswer, OrderResult, RunEnd, WorkerEntry
from berylcleat.scheduling import CellScheduler
from berylcleat.standins import TaskWorker

# Mechanisms that a history can do without.
WAIT_FOR_LEASE = "wait for the lease"
RECORDED_LEASES = "recorded leases"
HEARTBEAT_S = 1.5
ENTRY_LIFE_S = 3 * HEARTBEAT_S
LIST_READ_PERIOD_S = 0.25
MAX_CONNECT_S = 1.0
MAX_REFUSAL_S = 0.3
# Seconds until a record of workers is written, and then until it is answered; share of
# those that aren't answered.
MAX_WRITE_S = 0.3
CALM_WRITE_S = 0.05
LOST_WRITE_SHARE = 0.1
# Shares of the ticks of a cell in which a worker begins to drain or is cut off, or all
# entries are lost.
DRAIN_SHARE = 0.006
CUT_SHARE = 0.003
STORE_LOSS_SHARE = 0.001
# Bounds in seconds of a drain, a cut, the time between two lives and a store outage.
DRAIN_S = (2.0, 8.0)
CUT_S = (3.0, 7.0)
GONE_S = (0.5, 8.0)
STORE_AWAY_S = (3.0, 7.0)
# Share of the drains during which the worker is cut off, and bounds in seconds of the
# time until then.
CUT_DRAIN_SHARE = 0.7
CUT_DRAIN_S = (0.1, 1.5)
# Bounds in seconds of such a drain and such a cut, and of other faults of the network.
CUT_OFF_DRAIN_S = (6.0, 8.0)
CUT_OFF_S = (4.5, 7.0)
NETWORK_FAULT_S = (1.0, 5.0)
# Shares of the cuts that leave the worker reachable for all owners, or only for those
# before the next takeover.
REACHED_BY_ALL_SHARE = 0.1
REACHED_BY_EARLIER_SHARE = 0.25
TAKEOVER_IN_CUT_SHARE = 0.2
# Share of the exits after which the entry goes at once.
ENTRY_REMOVED_SHARE = 0.3
# Bounds in seconds of runs that outlast the entry of their worker.
LONG_RUN_S = (6.0, 10.0)
# Seconds from a submission of long runs to the drain of a worker that has some.
LONG_RUN_LEAD_S = 1.0
# Share of the other submissions that are left out: the workers have less time for
# tasks.
OMITTED_SHARE = 0.85
# Share of the orders to an unreachable worker that aren't sent; others get no answer.
NOT_SENT_SHARE = 0.6


@dataclass(frozen=True, slots=True)
class Cut:
    """Time until which a worker can't reach the store nor later owners of its cell.

    Owners with an epoch of at least ``first_epoch`` can't reach it either.
    """

    until: float
    first_epoch: float


@dataclass(frozen=True, slots=True)
class WorkersRecord:
    """Recorded workers, and how long leases on draining ones last at most."""

    workers: tuple[WorkerEntry, ...]
    lease_left_s_by_worker: dict[str, float]


@dataclass(frozen=True, slots=True)
class RecordedLeases:
    """How long leases on draining workers last, from a write by an epoch's owner."""

    epoch: int
    written_at: float
    left_s_by_worker: dict[str, float]


class DrainOwner(SimOwner):
    """Owner that reads the list, and forgets workers as a host does."""

    def __init__(self, sim, sim_cell: SimCell, settled_at: float, workers):
        super().__init__(sim, sim_cell, settled_at, workers)
        self.pending_holds: set[str] = set()
        self.reads_list_at = sim.now
        self.is_recording_workers = False
        # The record of workers that was written and is still to be answered.
        self.written_row: WorkersRecord | None = None

    def step(self) -> None:
        """Read the list, then act as any owner."""
        is_in_touch = not (self.is_out_of_touch or self.cell.is_fenced_out)
        if is_in_touch and self.sim.now >= self.reads_list_at:
            self.reads_list_at = self.sim.now + LIST_READ_PERIOD_S
            self._read_list()
        super().step()

    def _record_workers(self) -> None:
        """Record the workers and how long leases on them last, unless it is under way.

        The write is rejected once the cell was taken over, and its answer may be lost.
        """
        if self.is_recording_workers:
            return
        self.is_recording_workers = True
        rng, now = self.sim.drain_rng, self.sim.now
        entry_by_worker = {
            worker_id: view.entry for worker_id, view in self.cell.worker_by_id.items()
        }
        leases = self.cell.on_recording_workers(frozenset(entry_by_worker), now)
        if self.sim.disabled_mechanism == RECORDED_LEASES:
            leases = dict.fromkeys(leases, 0.0)
        row = WorkersRecord(tuple(entry_by_worker.values()), leases)
        max_write_s = CALM_WRITE_S if self.sim.is_calm else MAX_WRITE_S
        is_answered = self.sim.is_calm or rng.random() >= LOST_WRITE_SHARE
        written_at = now + rng.uniform(0.0, max_write_s)
        self.sim.schedule_event(written_at, lambda: self._write_workers(row))
        answered_at = written_at + rng.uniform(0.0, max_write_s)
        self.sim.schedule_event(
            answered_at, lambda: self._on_workers_written(entry_by_worker, is_answered)
        )

    def _write_workers(self, row: WorkersRecord) -> None:
        if self.epoch == self.sim_cell.epoch and not self.is_partitioned:
            self.written_row = row
            self.sim_cell.recorded_workers = row.workers
            self.sim.leases_by_cell[self.sim_cell.cell_id] = RecordedLeases(
                self.epoch, self.sim.now, row.lease_left_s_by_worker
            )

    def _on_workers_written(
        self, entry_by_worker: dict[str, WorkerEntry], is_answered: bool
    ) -> None:
        """Take note of a written record, except of workers that have changed since."""
        self.is_recording_workers = False
        is_written, self.written_row = self.written_row is not None, None
        if not (is_answered and is_written) or self.is_out_of_touch:
            return
        views = self.cell.worker_by_id
        self.cell.on_workers_recorded(
            frozenset(
                worker_id
                for worker_id, entry in entry_by_worker.items()
                if worker_id in views
                and views[worker_id].entry.is_draining == entry.is_draining
                and views[worker_id].entry.address == entry.address
            )
        )

    def _read_list(self) -> None:
        entries = self.sim.listed_entries(self.sim_cell)
        for entry in entries:
            self.cell.list_worker(entry, self.sim.now)
        listed = {entry.worker_id for entry in entries}
        for worker_id in self.cell.worker_by_id.keys() - listed:
            self.cell.unlist_worker(worker_id)

    def _hold(self, worker_id: str) -> None:
        """Send a hold unless one is still to be answered."""
        if worker_id not in self.pending_holds:
            super()._hold(worker_id)

    def receive_answer(
        self, worker_id: str, order, answer: OrderAnswer, sent_at: float
    ) -> None:
        """Pass an answer, or its loss, to the scheduler."""
        super().receive_answer(worker_id, order, answer, sent_at)
        if self.is_paused or not isinstance(order, HoldOrder):
            return
        self.pending_holds.discard(worker_id)
        if self.is_dead or worker_id not in self.cell.worker_by_id:
            return
        if answer.result not in (OrderResult.ACCEPTED, OrderResult.FENCED):
            self._on_hold_failed(worker_id, answer.result)

    def _on_hold_failed(self, worker_id: str, result: OrderResult) -> None:
        """Handle a failed hold as the hold loop of a worker does."""
        cell, now = self.cell, self.sim.now
        cell.on_hold_failed(worker_id, now)
        if result is OrderResult.NOT_SENT:
            self.sim.on_probe_not_sent(self, worker_id)
        if self.may_act and not cell.is_fenced_out and cell.can_forget(worker_id):
            del cell.worker_by_id[worker_id]
            self.sim.n_forgotten += 1


class DrainFaults:
    """Workers that drain and are cut off, for histories of any kind."""

    def __init__(
        self,
        random_state: int,
        *args,
        draining_lease_s: float = TIMES.draining_lease_s,
        **options,
    ):
        self.times = replace(TIMES, draining_lease_s=draining_lease_s)
        self.drain_rng = random.Random(f"drains {random_state}")
        self.entry_by_worker: dict[str, WorkerEntry] = {}
        self.heard_at: dict[str, float] = {}
        self.reports_at: dict[str, float] = {}
        self.cut_by_worker: dict[str, Cut] = {}
        self.returns_at: dict[str, float] = {}
        self.store_returns_at = 0.0
        self.leases_by_cell: dict[str, RecordedLeases] = {}
        # Submissions just before a drain, whose first tasks run long.
        self.long_submissions: set[str] = set()
        self.n_drains = 0
        self.n_exits = 0
        self.n_cuts = 0
        self.n_forgotten = 0
        self.n_recorded_leases = 0
        # Probes not sent to a draining worker that lives but isn't listed.
        self.n_mistakable = 0
        super().__init__(random_state, *args, **options)

    def make_owner(self, sim_cell: SimCell, settled_at: float, workers) -> SimOwner:
        """Create a host that owns a cell under its present epoch."""
        return DrainOwner(self, sim_cell, settled_at, workers)

    def make_cell(self, sim_cell: SimCell, settled_at: float, workers) -> CellScheduler:
        """Create a new owner's scheduler from the recorded state."""
        cell = super().make_cell(sim_cell, settled_at, workers)
        leases = self.leases_by_cell.get(sim_cell.cell_id)
        # Leases of an owner that has recorded none aren't limited.
        if leases is not None and leases.epoch == cell.epoch - 1:
            self.n_recorded_leases += len(leases.left_s_by_worker)
            cell.on_recorded_leases(leases.left_s_by_worker, leases.written_at)
        return cell

    def listed_entries(self, sim_cell: SimCell) -> list[WorkerEntry]:
        """Return the entries of a cell's workers on the list."""
        found = (self.entry_by_worker.get(w) for w in sim_cell.worker_ids)
        return [entry for entry in found if entry is not None]

    def _make_worker(self, worker_id: str, cell_id: str) -> TaskWorker:
        worker = super()._make_worker(worker_id, cell_id)
        self.entry_by_worker[worker_id] = worker.entry
        self.heard_at[worker_id] = self.now
        self.reports_at[worker_id] = self.drain_rng.uniform(0.0, HEARTBEAT_S)
        return worker

    # Liveness reports and entries

    def observe(self) -> None:
        """Send liveness reports and remove the entries of silent workers."""
        super().observe()
        for worker_id, worker in self.workers.items():
            if self.now >= self.reports_at[worker_id]:
                self.reports_at[worker_id] = self.now + HEARTBEAT_S
                self._report_liveness(worker)
            if self.now - self.heard_at[worker_id] >= ENTRY_LIFE_S:
                self.entry_by_worker.pop(worker_id, None)

    def _report_liveness(self, worker: TaskWorker) -> None:
        worker_id = worker.entry.worker_id
        is_cut = worker_id in self.cut_by_worker
        if not worker.is_up or is_cut or self.now < self.store_returns_at:
            return
        worker.entry = replace(worker.entry, started_at_ms=worker.started_at_ms)
        self.entry_by_worker[worker_id] = worker.entry
        self.heard_at[worker_id] = self.now

    def _list_worker(self, sim_cell: SimCell, entry: WorkerEntry) -> None:
        """List a worker's incarnation if it reaches the store."""
        self._report_liveness(self.workers[entry.worker_id])

    # Faults

    def _inject_faults(self, sim_cell: SimCell, *, is_fault_free: bool) -> None:
        owner = sim_cell.owner
        unreachable, was_partitioned = set(owner.unreachable), owner.is_partitioned
        super()._inject_faults(sim_cell, is_fault_free=is_fault_free)
        self._end_later(owner, owner.unreachable - unreachable)
        if owner.is_partitioned and not was_partitioned:
            self._end_partition_later(owner)
        self.is_calm = is_fault_free
        if is_fault_free:
            self.cut_by_worker.clear()
            return
        draw = self.drain_rng.random()
        if draw < DRAIN_SHARE:
            self._drain_busy_worker(sim_cell)
        elif draw < DRAIN_SHARE + CUT_SHARE:
            self._cut(sim_cell, self.drain_rng.choice(sim_cell.worker_ids), CUT_S)
        elif draw < DRAIN_SHARE + CUT_SHARE + STORE_LOSS_SHARE:
            self._lose_store()

    def _end_later(self, owner: SimOwner, unreachable: set[str]) -> None:
        """Let an owner reach workers again that it can't reach any more."""
        for worker_id in sorted(unreachable):
            self.schedule_event(
                self.now + self.drain_rng.uniform(*NETWORK_FAULT_S),
                lambda w=worker_id: owner.unreachable.discard(w),
            )

    def _end_partition_later(self, owner: SimOwner) -> None:
        """Let an owner reach the store again unless its cell was taken over."""

        def end_partition() -> None:
            if owner.epoch == owner.sim_cell.epoch:
                owner.is_partitioned = False

        end_at = self.now + self.drain_rng.uniform(*NETWORK_FAULT_S)
        self.schedule_event(end_at, end_partition)

    def _drain_busy_worker(self, sim_cell: SimCell) -> None:
        """Let a worker drain soon after tasks were submitted, so that it has runs."""
        super().submit()
        submission_id = list(self.submission_by_id)[-1]
        self.home_by_id[submission_id] = sim_cell.cell_id
        self.long_submissions.add(submission_id)
        self.schedule_event(self.now + LONG_RUN_LEAD_S, lambda: self._drain(sim_cell))

    def _drain(self, sim_cell: SimCell) -> None:
        """Let the worker with most runs drain, exit, and return as a later one."""
        workers = (self.workers[worker_id] for worker_id in sim_cell.worker_ids)
        worker = max(workers, key=lambda w: len(w.run_by_task))
        worker_id = worker.entry.worker_id
        if self.is_calm or not worker.is_up or worker.entry.is_draining:
            return
        self.n_drains += 1
        worker.entry = replace(worker.entry, is_draining=True)
        self._report_liveness(worker)
        is_cut_off = self.drain_rng.random() < CUT_DRAIN_SHARE
        drain_s = CUT_OFF_DRAIN_S if is_cut_off else DRAIN_S
        exits_at = self.now + self.drain_rng.uniform(*drain_s)
        self.schedule_event(exits_at, lambda: self._exit(worker))
        if is_cut_off:
            cut_at = self.now + self.drain_rng.uniform(*CUT_DRAIN_S)
            self.schedule_event(
                cut_at, lambda: self._cut(sim_cell, worker_id, CUT_OFF_S)
            )

    def _exit(self, worker: TaskWorker) -> None:
        self.n_exits += 1
        worker.crash(self.now)
        worker.is_up = False
        if self.drain_rng.random() < ENTRY_REMOVED_SHARE:
            self.entry_by_worker.pop(worker.entry.worker_id, None)
        returns_at = self.now + self.drain_rng.uniform(*GONE_S)
        self.schedule_event(returns_at, lambda: self._return(worker))

    def _return(self, worker: TaskWorker) -> None:
        worker.is_up = True
        worker.clock_started_at = self.now
        worker.entry = replace(worker.entry, is_draining=False)
        self.reports_at[worker.entry.worker_id] = self.now

    def _cut(
        self, sim_cell: SimCell, worker_id: str, bounds_s: tuple[float, float]
    ) -> None:
        """Cut a worker off from the store and from owners of its cell."""
        if self.is_calm or worker_id in self.cut_by_worker:
            return
        rng = self.drain_rng
        draw = rng.random()
        first_epoch: float = 0
        if draw < REACHED_BY_ALL_SHARE:
            first_epoch = float("inf")
        elif draw < REACHED_BY_ALL_SHARE + REACHED_BY_EARLIER_SHARE:
            first_epoch = sim_cell.epoch + 1
        self.n_cuts += 1
        cut = Cut(self.now + rng.uniform(*bounds_s), first_epoch)
        self.cut_by_worker[worker_id] = cut
        self.schedule_event(cut.until, lambda: self._end_cut(worker_id, cut))
        if rng.random() < TAKEOVER_IN_CUT_SHARE:
            at = self.now + rng.uniform(0.0, ENTRY_LIFE_S)
            self.schedule_event(at, lambda: self._fail_owner_unless_calm(sim_cell))

    def _end_cut(self, worker_id: str, cut: Cut) -> None:
        if self.cut_by_worker.get(worker_id) is cut:
            del self.cut_by_worker[worker_id]

    def submit(self) -> None:
        """Accept a submission, or leave it out."""
        if self.drain_rng.random() >= OMITTED_SHARE:
            super().submit()

    def _fail_owner_unless_calm(self, sim_cell: SimCell) -> None:
        if not self.is_calm:
            self._fail_owner(sim_cell)

    def _lose_store(self) -> None:
        """Close the store for a while; all entries are lost with it."""
        self.store_returns_at = self.now + self.drain_rng.uniform(*STORE_AWAY_S)
        owners = [sim_cell.owner for sim_cell in self.cell_by_id.values()]
        for owner in owners:
            owner.is_partitioned = True

        def return_store() -> None:
            self.entry_by_worker.clear()
            for owner in owners:
                if owner.epoch == owner.sim_cell.epoch:
                    owner.is_partitioned = False

        self.schedule_event(self.store_returns_at, return_store)

    def _plan_run(self, task: TaskKey, run: int) -> tuple[float, RunEnd]:
        duration_s, end = super()._plan_run(task, run)
        if task.submission_id in self.long_submissions and task.step == 0:
            duration_s = self.drain_rng.uniform(*LONG_RUN_S)
        return duration_s, end

    def _restart_worker(self, sim_cell: SimCell, worker_id: str) -> None:
        if self.workers[worker_id].is_up:
            super()._restart_worker(sim_cell, worker_id)

    # Orders

    def is_reached_by(self, owner: SimOwner, worker_id: str) -> bool:
        """Return whether an owner can connect to a worker."""
        if not self.workers[worker_id].is_up or worker_id in owner.unreachable:
            return False
        cut = self.cut_by_worker.get(worker_id)
        return cut is None or owner.epoch < cut.first_epoch

    def send(
        self, owner: SimOwner, worker_id: str, order, incarnation_ms: int | None = None
    ) -> None:
        """Send an order, unless its worker has exited or can't be reached."""
        if isinstance(order, HoldOrder):
            owner.pending_holds.add(worker_id)
        if self.is_reached_by(owner, worker_id):
            super().send(owner, worker_id, order, incarnation_ms)
            return
        rng = self.drain_rng
        if not self.workers[worker_id].is_up or rng.random() < NOT_SENT_SHARE:
            answer = OrderAnswer(OrderResult.NOT_SENT)
            delay_s = rng.uniform(0.001, MAX_REFUSAL_S)
        else:
            answer = None
            delay_s = MAX_CONNECT_S
        self._deliver_answer(delay_s, owner, worker_id, order, answer, self.now)

    def on_probe_not_sent(self, owner: SimOwner, worker_id: str) -> None:
        """Observe a probe that wasn't sent, or count its worker as exited."""
        view = owner.cell.worker_by_id[worker_id]
        if view.is_listed or not view.entry.is_draining:
            return
        if self.workers[worker_id].is_up:
            self.n_mistakable += 1
        if self.disabled_mechanism == WAIT_FOR_LEASE:
            owner.cell.on_other_incarnation(worker_id, self.now)


class DrainSimulation(DrainFaults, Simulation):
    """History with workers that drain and are cut off."""


class DrainConnectionSimulation(DrainFaults, ConnectionSimulation):
    """History in which connections open late and workers drain and are cut off."""

    def _open(self, owner: SimOwner, item) -> None:
        if self.is_reached_by(owner, item.worker_id):
            super()._open(owner, item)
        else:
            self._refuse(owner, item, OrderResult.NOT_SENT)

    def _probe(self, owner: SimOwner, item, connection, n_established) -> None:
        if self.is_reached_by(owner, item.worker_id):
            super()._probe(owner, item, connection, n_established)
        else:
            self._refuse(owner, item, OrderResult.NOT_SENT)

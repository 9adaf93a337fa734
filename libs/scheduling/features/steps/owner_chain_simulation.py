"""Simulated histories of cells that change their owner several times in a short time.

Owners lose the store, are suspended, or their process ends; it comes back as the next
owner or not at all. Meanwhile a share of the orders gets no answer and is carried out
late or never, and some workers don't answer the next owner at first. Reports may have
rows that can't be decoded, or may fail half-way. The next owner waits as the ownership
manager of a host does.
"""

from collections import Counter
from dataclasses import dataclass, replace

from cell_simulation import TIMES, SimCell, SimOwner
from drain_simulation import DrainOwner
from failing_rows import FailingRow, FailingRowError
from gone_owner_simulation import GoneOwnerSimulation, OwnerFault

from berylcleat.model import Step, TaskKey
from berylcleat.ports import HoldOrder, OrderAnswer, OrderResult, RunEnd
from berylcleat.scheduling import wait_for_limit_s

# Bounds in seconds of the time until an owner goes, from the start and after a
# takeover, and of the time from then until the next owner acquires the cell.
GOES_AT_S = (5.0, 9.0)
GOES_NEXT_S = (0.5, 9.0)
TAKEOVER_S = (3.2, 4.0)
# Bounds in seconds of the time without the store, or for which a host is suspended.
AWAY_S = (3.0, 7.0)
HANDOVER_RETRY_S = 0.5
# Share of orders without an answer from when an owner goes, and how long; what happens
# to them, and by how many seconds they are late.
LOSS_SHARE = 0.25
LOSS_S = 10.0
CARRIED_OUT, LATE, NEVER = range(3)
LATE_S = (2.0, 12.0)
# Share of workers that the next owner doesn't reach at first, and for how many seconds.
UNREACHED_SHARE = 0.3
UNREACHED_S = (0.3, 4.0)
# Shares of running tasks and of ends whose rows can't be decoded, and of reports whose
# processing fails in histories with such.
UNREADABLE_RUN_SHARE = 0.01
UNREADABLE_END_SHARE = 0.002
FAILING_SHARE = 0.02
# Shares of the ticks of a cell in which something is submitted or a worker restarts.
SUBMIT_SHARE = 0.04
RESTART_SHARE = 0.0015
# Share of the submissions that arrive at the first cell, so that tasks move on, and of
# the tasks that run for long.
FIRST_HOME_SHARE = 0.6
LONG_SHARE = 0.15
LONG_RUN_S = (5.0, 25.0)
FAULTS = (
    OwnerFault.RESTARTED,
    OwnerFault.RESTARTED,
    OwnerFault.GONE,
    OwnerFault.CUT_OFF_FROM_STORE,
    OwnerFault.SUSPENDED,
    OwnerFault.HEARTBEATS_FAIL,
)


@dataclass(frozen=True, slots=True)
class ToldLeases:
    """When the leases of a stopped owner end, by worker."""

    expiry_by_worker: dict[str, float]

    def left_s_by_worker(self, now: float) -> dict[str, float]:
        """Return the seconds until each lease has certainly expired."""
        expiries = self.expiry_by_worker.items()
        return {worker_id: max(0.0, at - now) for worker_id, at in expiries}


class ChainOwner(DrainOwner):
    """Owner that tells the next one of its leases once it has stopped."""

    def __init__(self, sim, sim_cell: SimCell, settled_at: float, workers):
        super().__init__(sim, sim_cell, settled_at, workers)
        # What its row tells.
        self.acquired_at = sim.now
        self.unsettled_for_s = 0.0
        self.earlier: tuple[ChainOwner, ...] = ()
        # Whether its process has ended, and whether its host has another one.
        self.is_gone = False
        self.is_replaced = False
        self.answers_peers = True
        self.told: ToldLeases | None = None

    def unsettled_s(self, now: float) -> float:
        """Return for how many seconds its row names earlier owners."""
        return max(0.0, self.unsettled_for_s - (now - self.acquired_at))

    def step(self) -> None:
        """Act as any owner, and keep the leases when it stops."""
        super().step()
        self.keep_leases()

    def keep_leases(self) -> None:
        """Keep the leases of an owner that has stopped, for the next one's question."""
        if not self.is_dead or self.is_gone or self.told is not None:
            return
        now = self.sim.now
        self.cell.give_up_starts(now)
        left_s = self.cell.lease_left_s_by_worker(now)
        self.told = ToldLeases({worker: now + left for worker, left in left_s.items()})

    def confirm_stop(self) -> dict[str, float] | None:
        """Stop, and return how long leases last; None if it doesn't answer."""
        if self.is_gone or self.is_paused or not self.answers_peers:
            return None
        self.is_dead = True
        self.keep_leases()
        return self.told.left_s_by_worker(self.sim.now)

    def receive_answer(
        self, worker_id: str, order, answer: OrderAnswer, sent_at: float
    ) -> None:
        """Handle a report whose processing fails as the hold loop of a worker does."""
        try:
            super().receive_answer(worker_id, order, answer, sent_at)
        except FailingRowError:
            self.pending_holds.discard(worker_id)
            self.needs_probe[worker_id] = True
            self.cell.on_hold_failed(worker_id, self.sim.now)


class OwnerChainSimulation(GoneOwnerSimulation):
    """History in which cells change their owner several times in a short time."""

    def __init__(
        self,
        random_state: int,
        disabled_mechanism: str = "",
        n_cells: int = 2,
        *,
        has_unreadable_rows: bool = False,
        has_failing_reports: bool = False,
    ):
        self.has_unreadable_rows = has_unreadable_rows
        self.has_failing_reports = has_failing_reports
        self.loses_orders_until = 0.0
        self.n_by_loss: Counter = Counter()
        self.n_unreadable = 0
        self.n_failing = 0
        self.n_told = 0
        self.n_untold = 0
        # Whether rows can be decoded: always or never, as a worker repeats them.
        self.is_unreadable_by_row: dict[tuple, bool] = {}
        super().__init__(
            random_state,
            disabled_mechanism,
            n_cells,
            faults=FAULTS,
            expected_finish=True,
        )
        for sim_cell in self.cell_by_id.values():
            at = self.gone_rng.uniform(*GOES_AT_S)
            self.schedule_event(at, lambda cell=sim_cell: self._lose_next(cell))

    def make_owner(self, sim_cell: SimCell, settled_at: float, workers) -> SimOwner:
        """Create a host that owns a cell under its present epoch."""
        return ChainOwner(self, sim_cell, settled_at, workers)

    def n_yielded(self) -> int:
        """Return how many runs of long-running tasks have yielded."""
        owners = [o for cell in self.cell_by_id.values() for o in cell.owners]
        return sum(owner.cell.preemption.n_yielded for owner in owners)

    # Submissions

    def submit(self) -> None:
        """Accept a submission, most often in the first cell."""
        super().submit()
        if self.gone_rng.random() < FIRST_HOME_SHARE:
            self.home_by_id[list(self.submission_by_id)[-1]] = next(
                iter(self.cell_by_id)
            )

    def _plan_run(self, task: TaskKey, run: int) -> tuple[float, RunEnd]:
        duration_s, end = super()._plan_run(task, run)
        step: Step = self.checker.steps_by_id[task.submission_id][task.step]
        if not step.is_long_running and self.gone_rng.random() < LONG_SHARE:
            duration_s = self.gone_rng.uniform(*LONG_RUN_S)
        return duration_s, end

    # Owners

    def _inject_faults(self, sim_cell: SimCell, *, is_fault_free: bool) -> None:
        self.is_calm = is_fault_free
        draw = self.gone_rng.random()
        if is_fault_free:
            return
        if draw < SUBMIT_SHARE:
            self.submit()
        elif draw < SUBMIT_SHARE + RESTART_SHARE:
            self._restart_worker(sim_cell, self.gone_rng.choice(sim_cell.worker_ids))

    def _lose_pair(self, sim_cell: SimCell) -> None:
        """No worker goes for good here."""

    def _lose_next(self, sim_cell: SimCell) -> None:
        """Let an owner go, and the next one after it."""
        if self.is_calm:
            return
        rng = self.gone_rng
        fault = rng.choice(self.faults)
        owner = sim_cell.owner
        self.n_by_fault[fault] += 1
        self.loses_orders_until = self.now + LOSS_S
        self._apply(owner, fault)
        takeover_at = self.now + rng.uniform(*TAKEOVER_S)
        self.schedule_event(takeover_at, lambda: self._replace(owner))
        next_at = takeover_at + rng.uniform(*GOES_NEXT_S)
        self.schedule_event(next_at, lambda: self._lose_next(sim_cell))

    def _apply(self, owner: ChainOwner, fault: OwnerFault) -> None:
        super()._apply(owner, fault)
        rng = self.gone_rng
        if owner.is_dead:
            owner.is_gone = True
            owner.is_replaced = fault is OwnerFault.RESTARTED
            return
        if fault is OwnerFault.SUSPENDED:
            owner.paused_until = self.now + rng.uniform(*AWAY_S)
        owner.answers_peers = rng.random() < 0.5
        back_at = self.now + rng.uniform(*AWAY_S)
        self.schedule_event(back_at, lambda: self._end_cut_off(owner))

    def _end_cut_off(self, owner: ChainOwner) -> None:
        owner.answers_peers = True
        owner.is_partitioned = False

    def take_over(self, sim_cell: SimCell, *, is_dead: bool) -> None:
        """Create a new owner that waits as the ownership manager of a host does."""
        if not sim_cell.owners:
            super().take_over(sim_cell, is_dead=is_dead)
            return
        now = self.now
        previous = sim_cell.owner
        previous.date_lease_ends(is_dead=False)
        left_s = previous.unsettled_s(now)
        named = previous.earlier if left_s else ()
        owners = tuple(o for o in (*named, previous) if not o.is_replaced)
        sim_cell.epoch += 1
        told = self._confirm_stops(owners, previous)
        stop_wait_s = TIMES.takeover_wait_s(owner_is_dead=True)
        settled_at = now + stop_wait_s
        if told is None:
            stopped_by = now
            if previous in owners and set(named) <= set(owners):
                stopped_by = previous.acquired_at
            ends = [owner.leases_ended_by for owner in owners]
            settled_at = max(stopped_by + stop_wait_s, *ends)
        if self.disabled_mechanism == "takeover wait":
            settled_at, told = now, {}
        owner = self.make_owner(sim_cell, settled_at, sim_cell.recorded_workers)
        owner.earlier = owners
        owner.unsettled_for_s = max(left_s, wait_for_limit_s(TIMES.owner_limit_s))
        sim_cell.owners.append(owner)
        if told is None:
            self._ask_later(owner, previous)
        else:
            owner.cell.on_leases_told(told, now)
        self._hide_workers(owner)

    def _confirm_stops(
        self, owners: tuple[ChainOwner, ...], previous: ChainOwner
    ) -> dict[str, float] | None:
        """Return how long leases of earlier owners last; None if one may run."""
        for owner in reversed(owners):
            told = owner.confirm_stop()
            if told is None:
                self.n_untold += 1
                return None
            if owner is previous:
                self.n_told += 1
                return told
        return {}

    def _ask_later(self, owner: ChainOwner, previous: ChainOwner) -> None:
        """Ask the earlier owners again until their runs are known."""

        def ask() -> None:
            if owner.is_dead or owner.cell.has_settled(self.now):
                return
            if owner.is_paused or owner.is_partitioned:
                self._ask_later(owner, previous)
                return
            told = self._confirm_stops(owner.earlier, previous)
            if told is None:
                self._ask_later(owner, previous)
                return
            owner.cell.on_earlier_owner_stopped(0.0, self.now)
            owner.cell.on_leases_told(told, self.now)

        self.schedule_event(self.now + HANDOVER_RETRY_S, ask)

    def _hide_workers(self, owner: ChainOwner) -> None:
        """Let an owner reach some workers after a while only."""
        for worker_id in owner.sim_cell.worker_ids:
            if self.gone_rng.random() < UNREACHED_SHARE:
                owner.unreachable.add(worker_id)
                reached_at = self.now + self.gone_rng.uniform(*UNREACHED_S)
                self.schedule_event(
                    reached_at, lambda w=worker_id: owner.unreachable.discard(w)
                )

    # Orders and reports

    def send(
        self, owner: SimOwner, worker_id: str, order, incarnation_ms: int | None = None
    ) -> None:
        """Send an order; some get no answer and are carried out, also late, or not."""
        loses = not self.is_calm and self.now < self.loses_orders_until
        if not loses or self.gone_rng.random() >= LOSS_SHARE:
            super().send(owner, worker_id, order, incarnation_ms)
            return
        if isinstance(order, HoldOrder):
            owner.pending_holds.add(worker_id)
        if incarnation_ms is None:
            incarnation_ms = self.workers[worker_id].started_at_ms
        loss = self.gone_rng.choice((CARRIED_OUT, LATE, LATE, NEVER))
        if not self.is_reached_by(owner, worker_id):
            loss = NEVER
        self.n_by_loss[(type(order).__name__, loss)] += 1
        if loss != NEVER:
            late_s = self.gone_rng.uniform(*LATE_S) if loss == LATE else 0.03
            self._schedule_order(late_s, worker_id, order, incarnation_ms)
        self._deliver_answer(1.0, owner, worker_id, order, None, self.now)

    def _execute_order(self, worker_id: str, order) -> OrderAnswer:
        answer = super()._execute_order(worker_id, order)
        if answer.report is None or answer.result is not OrderResult.ACCEPTED:
            return answer
        report = answer.report
        boot = (worker_id, report.started_at_ms)
        running = tuple(
            row
            for row in report.running
            if self._is_readable((*boot, row.task, row.run), UNREADABLE_RUN_SHARE)
        )
        ended = tuple(
            row
            for row in report.ended
            if self._is_readable((*boot, row.number), UNREADABLE_END_SHARE)
        )
        lost_ends = tuple(row.number for row in report.ended if row not in ended)
        has_lost_run = len(running) < len(report.running)
        if self._fails_report() and running:
            self.n_failing += 1
            index = self.gone_rng.randrange(len(running))
            row = running[index]
            failing = FailingRow(0, row.task, row.run)
            running = (*running[:index], failing, *running[index + 1 :])
        report = replace(
            report,
            running=running,
            ended=ended,
            unreadable_ends=lost_ends,
            has_unreadable_runs=has_lost_run,
        )
        return replace(answer, report=report)

    def _is_readable(self, row: tuple, share: float) -> bool:
        if not self.has_unreadable_rows:
            return True
        is_known = row in self.is_unreadable_by_row
        if not is_known:
            self.is_unreadable_by_row[row] = self.gone_rng.random() < share
            self.n_unreadable += self.is_unreadable_by_row[row]
        return not self.is_unreadable_by_row[row]

    def _fails_report(self) -> bool:
        if not self.has_failing_reports or self.is_calm:
            return False
        return self.gone_rng.random() < FAILING_SHARE

"""Simulated histories with evacuations, owners that learn of them late, and pauses.

Each cell is a data centre of its own. An owner reads the operator's requests about
three times a second, at times slowly or without an answer. One that the store refuses
asks other owners. Start orders are at times sent long after they were decided.
"""

import random
from dataclasses import replace

from cell_simulation import QUEUE, SimCell, SimOwner, Simulation

from berylcleat.model import Step, Submission, TaskDemand, TaskKey
from berylcleat.ports import OrderAnswer, OrderResult, RunEnd, StartOrder, StopOrder
from berylcleat.scheduling import (
    CellEvacuation,
    CellHeadroom,
    CellScheduler,
    EvacuationRules,
    WorkerOrder,
)

RULES = EvacuationRules(start_deadline_s=5.0, outage_allowance_s=6.0)
# Seconds that an order sent in time may take to its worker.
ORDER_FLIGHT_S = 1.0
READ_PERIOD_S = 0.3
# Seconds within which the answer to a read arrives, usually and at times.
READ_DELAY_S = 0.3
SLOW_READ_DELAY_S = 1.5
RELAY_PERIOD_S = 1.0
# Seconds after which an owner whose read isn't answered counts as refused by the store.
LATE_READ_S = 0.5
# Seconds before a request in which a refused read may delay its arrival.
READ_MEMORY_S = 2.0
# Seconds for which a relocated task counts as unavailable.
AVAILABILITY_WINDOW_S = 5.0


class EvacuationSimulation(Simulation):
    """History with evacuations; ``violations`` of the checker name late starts."""

    def __init__(
        self, random_state: int, disabled_mechanism: str = "", n_cells: int = 2
    ):
        # Separate, so that the draws for other faults don't depend on evacuations.
        self.evacuation_rng = random.Random(f"evacuations {random_state}")
        self.requested_at: dict[str, float] = {}
        self.n_evacuations = 0
        self.n_withheld = 0
        self.n_starts_in_evacuated = 0
        self.refused_at: dict[SimOwner, float] = {}
        self.relocation_orders: set[tuple[TaskKey, int]] = set()
        self.relocated_at: dict[TaskKey, float] = {}
        self.n_relocated = 0
        super().__init__(random_state, disabled_mechanism, n_cells)

    # What the owners know

    def make_cell(self, sim_cell: SimCell, settled_at: float, workers) -> CellScheduler:
        """Create a new owner's scheduler, which has not read the requests yet."""
        cell = super().make_cell(sim_cell, settled_at, workers)
        cell.evacuation = CellEvacuation(sim_cell.cell_id, RULES)
        if self.disabled_mechanism == "evacuation":
            cell.evacuation = None
        return cell

    def take_over(self, sim_cell: SimCell, *, is_dead: bool) -> None:
        """Create a new owner of a cell and let it read the requests."""
        super().take_over(sim_cell, is_dead=is_dead)
        owner = sim_cell.owner
        self.schedule_event(self.now, lambda: self._read(owner))

    def _read(self, owner: SimOwner) -> None:
        """Read the requests from the store, or ask another owner if it refuses."""
        if owner.is_dead:
            return
        if owner.is_paused:
            self.schedule_event(owner.paused_until, lambda: self._read(owner))
            return
        rng = self.evacuation_rng
        sent_at = self.now
        if owner.is_partitioned:
            self.refused_at[owner] = self.now
            self._poll_other_owner(owner)
            period_s = RELAY_PERIOD_S
        else:
            draw = rng.random()
            delay_s = rng.uniform(0.01, READ_DELAY_S)
            if draw < 0.05:
                delay_s = rng.uniform(READ_DELAY_S, SLOW_READ_DELAY_S)
            if draw < 0.08:
                self.refused_at[owner] = self.now + delay_s
            if draw < 0.05 or draw >= 0.08:
                self._answer_read(owner, sent_at, delay_s)
            period_s = delay_s + READ_PERIOD_S
        self.schedule_event(self.now + period_s, lambda: self._read(owner))

    def _answer_read(self, owner: SimOwner, sent_at: float, delay_s: float) -> None:
        """Read the requests at some time before the answer arrives."""
        read_at = sent_at + delay_s * self.evacuation_rng.random()

        def read() -> None:
            evacuated = frozenset(self.requested_at)
            self.schedule_event(
                sent_at + delay_s,
                lambda: self._update(owner, evacuated, sent_at),
            )

        self.schedule_event(read_at, read)

    def _poll_other_owner(self, owner: SimOwner) -> None:
        others = [
            cell.owner
            for cell in self.cell_by_id.values()
            if cell.owner is not owner and not cell.owner.is_out_of_touch
        ]
        if not others or self.evacuation_rng.random() < 0.5:
            return
        known = self.evacuation_rng.choice(others)
        if getattr(known, "evacuated_by_read", None) is None:
            return
        evacuated, confirmed_at = known.evacuated_by_read
        self.schedule_event(
            self.now + self.evacuation_rng.uniform(0.01, 0.2),
            lambda: self._update(owner, evacuated, confirmed_at),
        )

    def _update(
        self, owner: SimOwner, evacuated: frozenset[str], confirmed_at: float
    ) -> None:
        """Deliver a read, to a paused owner after its pause."""
        if owner.is_dead or owner.cell.evacuation is None:
            return
        if owner.is_paused:
            self.schedule_event(
                owner.paused_until,
                lambda: self._update(owner, evacuated, confirmed_at),
            )
            return
        newest = getattr(owner, "evacuated_by_read", None)
        if newest is None or confirmed_at >= newest[1]:
            owner.evacuated_by_read = (evacuated, confirmed_at)
        owner.cell.evacuation.update(evacuated, confirmed_at, self.now)

    def other_headrooms(self, owner: SimOwner) -> tuple[CellHeadroom, ...]:
        """Return the headroom of the cells that the owner believes in use."""
        known = getattr(owner, "evacuated_by_read", None) or (frozenset(), 0.0)
        return tuple(
            replace(headroom, free=int(headroom.free * self._share(headroom)))
            for headroom in super().other_headrooms(owner)
            if headroom.cell_id not in known[0]
        )

    def _share(self, headroom: CellHeadroom) -> float:
        evacuation = self.cell_by_id[headroom.cell_id].owner.cell.evacuation
        return 1.0 if evacuation is None else evacuation.capacity_share(self.now)

    # Orders

    def dispatch(self, owner: SimOwner, item: WorkerOrder) -> None:
        """Send an order of a planning round; some starts are sent late."""
        if isinstance(item.order, StopOrder):
            key = (item.order.task, item.order.run)
            if item.order.task in owner.cell._relocating_tasks:
                self.relocation_orders.add(key)
        if not isinstance(item.order, StartOrder):
            super().dispatch(owner, item)
        elif self.evacuation_rng.random() < 0.1:
            delay_s = self.evacuation_rng.uniform(0.1, 8.0)
            self.schedule_event(
                self.now + delay_s, lambda: self._send_start(owner, item)
            )
        else:
            self._send_start(owner, item)

    def _send_start(self, owner: SimOwner, item: WorkerOrder) -> None:
        if owner.is_dead:
            return
        if owner.is_paused:
            self.schedule_event(
                owner.paused_until, lambda: self._send_start(owner, item)
            )
            return
        may_send = owner.cell.may_send_start(item.order, self.now)
        if not may_send and self.disabled_mechanism != "check before sending":
            self.n_withheld += 1
            return
        self._check_start(owner, item)
        self.send(owner, item.worker_id, item.order)

    def _check_start(self, owner: SimOwner, item: WorkerOrder) -> None:
        """Check that a start isn't sent later than the bound after the request."""
        requested_at = self.requested_at.get(owner.sim_cell.cell_id)
        if requested_at is None:
            return
        self.n_starts_in_evacuated += 1
        bound_s = RULES.start_deadline_s - ORDER_FLIGHT_S
        refused_at = self.refused_at.get(owner, float("-inf"))
        if refused_at > requested_at - READ_MEMORY_S:
            bound_s += RULES.outage_allowance_s
        late_s = self.now - requested_at
        if late_s > bound_s:
            self.checker.violations.append(
                f"{self.now:.2f}: start of {item.order.task} is sent {late_s:.2f} s "
                f"after the request, bound {bound_s:.1f} s"
            )

    def _execute_order(self, worker_id: str, order) -> OrderAnswer:
        answer = super()._execute_order(worker_id, order)
        if isinstance(order, StopOrder) and answer.result is OrderResult.ACCEPTED:
            self._note_relocation(worker_id, order)
        return answer

    def _note_relocation(self, worker_id: str, order: StopOrder) -> None:
        """Check that relocations don't exceed ``max_unavailable`` of the step."""
        key = (order.task, order.run)
        run = self.workers[worker_id].run_by_task.get(order.task)
        if key not in self.relocation_orders or run is None or run.run != order.run:
            return
        self.relocation_orders.discard(key)
        self.n_relocated += 1
        self.relocated_at[order.task] = self.now
        n_away = sum(
            task.step_key == order.task.step_key
            and self.now - at < AVAILABILITY_WINDOW_S
            for task, at in self.relocated_at.items()
        )
        allowed = run.step.max_unavailable
        if allowed is None or n_away > allowed:
            self.checker.violations.append(
                f"{self.now:.2f}: {order.task} is relocated, {n_away} away, "
                f"allowed {allowed}"
            )

    # Load and faults

    def submit(self) -> None:
        """Accept a submission of two steps, or a long-running one, or none.

        Evacuated cells start nothing, so all cells together can do less.
        """
        draw = self.evacuation_rng.random()
        if draw < 0.5:
            super().submit()
        elif draw < 0.7:
            self._submit_long_running()

    def _submit_long_running(self) -> None:
        rng = self.evacuation_rng
        submission_id = f"{len(self.submission_by_id):016x}"
        step = Step(
            rng.randint(1, 3),
            TaskDemand(300, 500, 0),
            is_long_running=True,
            max_unavailable=rng.choice((None, 0, 1, 2)),
        )
        self.checker.steps_by_id[submission_id] = (step,)
        self.submission_by_id[submission_id] = Submission(
            submission_id, QUEUE, "s", (step,)
        )
        self.home_by_id[submission_id] = rng.choice(list(self.cell_by_id))
        self._notify_owners(submission_id)

    def _plan_run(self, task: TaskKey, run: int) -> tuple[float, RunEnd]:
        outcome = super()._plan_run(task, run)
        if self.checker.steps_by_id[task.submission_id][task.step].is_long_running:
            return float("inf"), RunEnd.DONE
        return outcome

    def _inject_faults(self, sim_cell: SimCell, *, is_fault_free: bool) -> None:
        super()._inject_faults(sim_cell, is_fault_free=is_fault_free)
        if is_fault_free:
            self.requested_at.clear()
            sim_cell.owner.paused_until = min(sim_cell.owner.paused_until, self.now)
            return
        draw = self.evacuation_rng.random()
        if draw < 0.003:
            self._toggle_evacuation(sim_cell.cell_id)
        elif draw < 0.0045:
            pause_s = self.evacuation_rng.uniform(0.2, 15.0)
            sim_cell.owner.paused_until = self.now + pause_s

    def _toggle_evacuation(self, data_centre: str) -> None:
        if self.requested_at.pop(data_centre, None) is None:
            self.requested_at[data_centre] = self.now
            self.n_evacuations += 1

    def unfinished_submissions(self) -> list[str]:
        """Return the submissions that should have ended but have not."""
        return [
            submission_id
            for submission_id in super().unfinished_submissions()
            if not self.checker.steps_by_id[submission_id][0].is_long_running
        ]

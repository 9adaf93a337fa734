"""Simulated histories of fillers that starve, and a check that bounds their waits.

Cells lose all of their workers for good, fillers disturb the serving tasks beside them,
some serving tasks exceed their targets by their own load, tasks that reserve much end
late, and capacities grow again. Neither orders, writes nor owners are disturbed, so
that every wait beside free capacity is a fault of the owners' rules.
"""

import random
from dataclasses import dataclass, field, replace

from cell_simulation import QUEUE, SimCell, SimOwner
from liveness_simulation import (
    MAX_USED_SHARE,
    MIN_SLOTS,
    LivenessChecker,
    LivenessSimulation,
)

from berylcleat.model import Step, Submission, TaskDemand, TaskKey
from berylcleat.ports import (
    HoldOrder,
    OrderAnswer,
    OrderResult,
    PaceOrder,
    RunEnd,
    StopOrder,
)
from berylcleat.scheduling import CellHeadroom, CellScheduler
from berylcleat.standins import TaskWorker

N_WORKERS_PER_CELL = 3
WORKER_CAPACITY = TaskDemand(8000, 16000)
TARGET_MS = 100
SERVING_IMAGES = ("web", "api", "mail")
FILLER_IMAGES = ("batch", "index", "press")
# Share of their reserved processor time that serving tasks use, and the processor time
# that a serving task and a task without a target reserve.
SERVING_USE = 0.48
SERVING_MILLIS = 2400
RESERVING_MILLIS = 3600
# Tail latency at no load relative to the target, and the load that a filler of a heavy
# and of a mild pair adds if it uses all processors of a worker.
IDLE_RATIO = 0.17
HEAVY_ADDED_LOAD = 3.0
MILD_ADDED_LOAD = 0.2
MAX_LOAD = 0.95
# Log odds of a pair that the owners know from earlier.
KNOWN_LOG_ODDS = 3.5
# Own loads of serving tasks: usual ones, and such that exceed the target.
USUAL_LOADS = (0.3, 0.6)
OVERLOADS = (0.86, 0.92)
# Limit of the rule HARM: seconds for which fillers may keep a serving task over its
# target.
MAX_HARM_S = 4.0
# Seconds within which the list and the connections show that a worker is gone.
MAX_LOSS_NEWS_S = 1.0
MAX_REFUSAL_S = 0.06
PERMANENT_S = 1000.0
# Seconds of calm that a history ends with: the platform asks for submissions 14 s after
# the end of the traffic.
CALM_S = 18.0


@dataclass(slots=True)
class StarvationChecker(LivenessChecker):
    """Work that waits while under half of the service's processors are in use.

    In use is what running tasks reserve and running fillers demand; if
    ``counts_real_use``, of a serving task what it really uses. As the bench counts,
    with ``counts_reserved_only``, what fillers demand is neither in use nor needed.
    """

    counts_real_use: bool = False
    counts_reserved_only: bool = False

    def _waiting_work(self, submission_id: str) -> dict:
        if submission_id in self.sim.cancelled_ids:
            return {}
        return super(StarvationChecker, self)._waiting_work(submission_id)

    def usable_workers(self) -> list[TaskWorker]:
        """Return the workers that aren't gone."""
        return [worker for worker in self.sim.workers.values() if worker.is_up]

    def has_room(self, step: Step, workers: list[TaskWorker]) -> bool:
        """Return whether a task fits twice over and, unless it lasts, half is free."""
        is_half_free = self.used_share(workers) < MAX_USED_SHARE
        if not (step.is_long_running or is_half_free):
            return False
        return sum(self._n_slots(step, worker) for worker in workers) >= MIN_SLOTS

    def _n_slots(self, step: Step, worker: TaskWorker) -> int:
        """Return how many more tasks of a step fit on a worker."""
        steps = [run.step for run in worker.run_by_task.values()]
        used = sum((other.allocation for other in steps), TaskDemand())
        free = worker.entry.capacity - used
        if step.fills and self.counts_reserved_only:
            free = replace(free, cpu_millis=worker.entry.capacity.cpu_millis)
        elif step.fills:
            unused = worker.entry.capacity.cpu_millis - self._used(worker)
            free = replace(free, cpu_millis=int(unused))
        max_slots = worker.entry.capacity.cpu_millis // step.demand.cpu_millis
        if step.max_per_worker:
            n_siblings = sum(other is step for other in steps)
            max_slots = max(0, step.max_per_worker - n_siblings)
        n_slots = 0
        while n_slots < max_slots and step.demand.fits_in(free):
            n_slots += 1
            free = free - step.demand
        return n_slots

    def used_share(self, workers: list[TaskWorker]) -> float:
        """Return the share of the workers' processors that is in use."""
        capacity = sum(worker.entry.capacity.cpu_millis for worker in workers)
        return sum(map(self._used, workers)) / max(capacity, 1)

    def _used(self, worker: TaskWorker) -> float:
        return sum(self._used_by(run.step) for run in worker.run_by_task.values())

    def _used_by(self, step: Step) -> float:
        if step.fills and self.counts_reserved_only:
            return 0.0
        is_partial = self.counts_real_use and step.target_latency_ms
        return step.demand.cpu_millis * (SERVING_USE if is_partial else 1.0)

    def explain(self, task: TaskKey) -> str:
        """Return why the owner says a task waits, its moves and what is in use."""
        cell = self.sim.cell_by_id[self.sim.cell_of(task)].owner.cell
        tracked = cell.submissions.by_id.get(task.submission_id)
        n_moves = tracked.n_moves_by_task.get(task, 0) if tracked else 0
        share = self.used_share(self.usable_workers())
        text = super(StarvationChecker, self).explain(task)
        return f"{text}, {n_moves} moves, {share:.2f} in use"


@dataclass(slots=True)
class HarmChecker:
    """Serving tasks that fillers keep over their targets for too long."""

    sim: "StarvationSimulation"
    since_by_task: dict[TaskKey, float] = field(default_factory=dict)
    violations: dict[TaskKey, str] = field(default_factory=dict)

    def observe(self) -> None:
        """Check all serving tasks that run."""
        sim = self.sim
        harmed = set()
        for worker in sim.workers.values():
            for task, run in worker.run_by_task.items():
                if not run.step.target_latency_ms:
                    continue
                own_load = sim.own_load_by_id[task.submission_id]
                is_harmed = (
                    tail_ratio(own_load) <= 1.0 < sim.tail_ratio_of(worker, task)
                )
                if is_harmed:
                    harmed.add(task)
        for task in self.since_by_task.keys() - harmed:
            del self.since_by_task[task]
        for task in harmed:
            since = self.since_by_task.setdefault(task, sim.now)
            if sim.now - since > MAX_HARM_S:
                text = f"{sim.now:.2f}: {task} is over its target since {since:.2f}"
                self.violations.setdefault(task, text)


def tail_ratio(load: float) -> float:
    """Return the tail latency relative to the target at a load."""
    return IDLE_RATIO / (1.0 - min(load, MAX_LOAD))


class StarvationSimulation(LivenessSimulation):
    """History whose traffic ends in a burst of fillers beside serving tasks.

    Without ``has_moves`` no cell hears of the room of others, so nothing moves.
    Without ``has_stops`` workers neither stop nor pace what they run.
    """

    def __init__(
        self,
        random_state: int,
        n_cells: int = 2,
        *,
        counts_real_use: bool = False,
        counts_reserved_only: bool = False,
        has_moves: bool = True,
        has_stops: bool = True,
    ):
        self.has_moves = has_moves
        self.has_stops = has_stops
        self.starvation_rng = random.Random(f"starvation {random_state}")
        self.pace_by_task: dict[TaskKey, int] = {}
        self.own_load_by_id: dict[str, float] = {}
        self.duration_by_task: dict[TaskKey, float] = {}
        self.n_lost = 0
        self.n_overloaded = 0
        self.cancelled_ids: set[str] = set()
        self.n_grown = 0
        heavy_share = self.starvation_rng.uniform(0.2, 1.0)
        self.heavy_pairs = {
            (filler, serving)
            for filler in FILLER_IMAGES
            for serving in SERVING_IMAGES
            if self.starvation_rng.random() < heavy_share
        }
        super().__init__(random_state, n_cells)
        self.has_crashing_tasks = False
        self.is_calm = True
        self.liveness = StarvationChecker(
            self,
            counts_real_use=counts_real_use,
            counts_reserved_only=counts_reserved_only,
        )
        self.harm = HarmChecker(self)

    def _make_cell_with_workers(self, cell_id: str, n_workers: int) -> None:
        super()._make_cell_with_workers(cell_id, N_WORKERS_PER_CELL)

    def _make_worker(self, worker_id: str, cell_id: str) -> TaskWorker:
        worker = super()._make_worker(worker_id, cell_id)
        worker.entry = replace(worker.entry, capacity=WORKER_CAPACITY)
        return worker

    def make_cell(self, sim_cell: SimCell, settled_at: float, workers) -> CellScheduler:
        """Create an owner's scheduler that knows the pairs from earlier."""
        cell = super().make_cell(sim_cell, settled_at, workers)
        cell.interference.restore(
            {
                (filler, serving): KNOWN_LOG_ODDS
                if (filler, serving) in self.heavy_pairs
                else -KNOWN_LOG_ODDS
                for filler in FILLER_IMAGES
                for serving in SERVING_IMAGES
            }
        )
        return cell

    def other_headrooms(self, owner: SimOwner) -> tuple[CellHeadroom, ...]:
        """Return what the owners of other cells published last."""
        return super().other_headrooms(owner) if self.has_moves else ()

    def simulate(self, length_s: float, fault_free_s: float = CALM_S) -> None:
        """Play a day whose traffic and faults end after ``length_s``."""
        self._schedule_day(length_s)
        super().simulate(length_s, fault_free_s)

    def _inject_faults(self, sim_cell: SimCell, *, is_fault_free: bool) -> None:
        if is_fault_free and self.calm_since is None:
            self.calm_since = self.now

    def observe(self) -> None:
        """Check that no work waits, nor fillers harm serving tasks, for long."""
        super().observe()
        self.harm.observe()

    def _schedule_day(self, length_s: float) -> None:
        rng = self.starvation_rng
        cells = list(self.cell_by_id.values())
        serving_by_cell = {}
        for sim_cell in cells:
            serving_by_cell[sim_cell.cell_id] = self._accept_serving(sim_cell)
        burst_at = length_s - 6.0
        if rng.random() < 0.6:
            self._schedule_reserving(cells, length_s)
        if rng.random() < 0.5:
            lost = rng.choice(cells)
            lost_at = rng.uniform(burst_at - 2.0, length_s)
            self.schedule_event(lost_at, lambda: self._lose_workers(lost))
        for sim_cell in cells:
            if rng.random() < 0.4:
                submission_id = serving_by_cell[sim_cell.cell_id]
                load = rng.uniform(*OVERLOADS)
                at = rng.uniform(burst_at - 6.0, length_s)
                self.schedule_event(
                    at, lambda s=submission_id, v=load: self._overload(s, v)
                )
            for worker_id in sim_cell.worker_ids:
                if rng.random() < 0.2:
                    part = rng.uniform(0.5, 0.8)
                    self._schedule_shrunk(sim_cell, worker_id, part, length_s)
        load = rng.uniform(0.3, 2.0)
        self._schedule_fillers(cells, load, burst_at, length_s)

    def _accept(self, sim_cell: SimCell, step: Step) -> str:
        submission_id = f"{len(self.submission_by_id):016x}"
        submission = Submission(submission_id, QUEUE, "s", (step,))
        self.checker.steps_by_id[submission_id] = (step,)
        self.submission_by_id[submission_id] = submission
        self.home_by_id[submission_id] = sim_cell.cell_id
        self._notify_owners(submission_id)
        return submission_id

    def _accept_serving(self, sim_cell: SimCell) -> str:
        step = Step(
            N_WORKERS_PER_CELL,
            TaskDemand(SERVING_MILLIS, 500),
            is_long_running=True,
            max_per_worker=1,
            image=self.starvation_rng.choice(SERVING_IMAGES),
            target_latency_ms=TARGET_MS,
        )
        submission_id = self._accept(sim_cell, step)
        self.own_load_by_id[submission_id] = self.starvation_rng.uniform(*USUAL_LOADS)
        return submission_id

    def _schedule_reserving(self, cells: list[SimCell], length_s: float) -> None:
        """Reserve more than half by tasks that last and are cancelled late."""
        rng = self.starvation_rng
        step = Step(
            N_WORKERS_PER_CELL,
            TaskDemand(RESERVING_MILLIS, 500),
            is_long_running=True,
            max_per_worker=1,
        )
        for sim_cell in cells:
            at = rng.uniform(1.0, 4.0)
            cancelled_at = length_s + rng.uniform(-4.0, 10.0)

            def accept(sim_cell=sim_cell, cancelled_at=cancelled_at) -> None:
                submission_id = self._accept(sim_cell, step)
                self.schedule_event(cancelled_at, lambda: self._cancel(submission_id))

            self.schedule_event(at, accept)

    def _cancel(self, submission_id: str) -> None:
        self.cancelled_ids.add(submission_id)
        for sim_cell in self.cell_by_id.values():
            sim_cell.owner.cell.cancel(submission_id, self.now)

    def _overload(self, submission_id: str, load: float) -> None:
        """Raise the own load of a serving submission over its target for good."""
        self.own_load_by_id[submission_id] = load
        self.n_overloaded += 1

    def _schedule_shrunk(
        self, sim_cell: SimCell, worker_id: str, part: float, length_s: float
    ) -> None:
        """Shrink a worker's capacity early and let it grow again near the end."""
        rng = self.starvation_rng
        small = TaskDemand(
            int(WORKER_CAPACITY.cpu_millis * part), WORKER_CAPACITY.memory_mb
        )
        self.schedule_event(
            rng.uniform(2.0, 6.0),
            lambda: self._change_capacity(sim_cell, worker_id, small),
        )

        def grow() -> None:
            self.n_grown += 1
            self._change_capacity(sim_cell, worker_id, WORKER_CAPACITY)

        self.schedule_event(length_s + rng.uniform(-3.0, 6.0), grow)

    def _change_capacity(
        self, sim_cell: SimCell, worker_id: str, capacity: TaskDemand
    ) -> None:
        worker = self.workers[worker_id]
        if worker.is_up:
            worker.entry = replace(worker.entry, capacity=capacity)
            self._list_worker(sim_cell, worker.entry)

    def _schedule_fillers(
        self, cells: list[SimCell], load: float, burst_at: float, length_s: float
    ) -> None:
        """Schedule fillers whose demand is ``load`` times all processors."""
        rng = self.starvation_rng
        total = WORKER_CAPACITY.cpu_millis * len(self.workers) * load
        while total > 0:
            step = Step(
                rng.choice((1, 1, 2, 4)),
                TaskDemand(rng.choice((500, 1000, 2000)), 300),
                estimate_s=4.0,
                fills=True,
                image=rng.choice(FILLER_IMAGES),
            )
            total -= step.n_tasks * step.demand.cpu_millis
            at = rng.uniform(burst_at, length_s)
            sim_cell = rng.choice(cells)
            self.schedule_event(at, lambda c=sim_cell, s=step: self._accept(c, s))

    def _lose_workers(self, sim_cell: SimCell) -> None:
        """Lose all workers of a cell for good; the list drops them."""
        self.n_lost += 1
        owner = sim_cell.owner
        for worker_id in sim_cell.worker_ids:
            worker = self.workers[worker_id]
            worker.crash(self.now)
            worker.is_up = False
            refused_at = self.now + self.starvation_rng.uniform(0.0, MAX_REFUSAL_S)
            dropped_at = self.now + self.starvation_rng.uniform(0.0, MAX_LOSS_NEWS_S)
            self.schedule_event(
                refused_at, lambda w=worker_id: owner.cell.on_hold_failed(w, self.now)
            )
            self.schedule_event(
                dropped_at, lambda w=worker_id: owner.cell.unlist_worker(w)
            )

    def send(
        self, owner, worker_id: str, order, incarnation_ms: int | None = None
    ) -> None:
        """Send an order; one to a lost worker is refused, and the worker forgotten."""
        if self.workers[worker_id].is_up:
            super().send(owner, worker_id, order, incarnation_ms)
            return
        cell = owner.cell

        def refuse() -> None:
            if worker_id not in cell.worker_by_id:
                return
            if isinstance(order, HoldOrder):
                cell.on_hold_failed(worker_id, self.now)
                if cell.can_forget(worker_id):
                    del cell.worker_by_id[worker_id]

        self.schedule_event(
            self.now + self.starvation_rng.uniform(0.0, MAX_REFUSAL_S), refuse
        )
        if not isinstance(order, HoldOrder):
            self._deliver_answer(MAX_REFUSAL_S, owner, worker_id, order, None)

    def _execute_order(self, worker_id: str, order):
        worker = self.workers[worker_id]
        if isinstance(order, StopOrder | PaceOrder) and not self.has_stops:
            return OrderAnswer(OrderResult.ACCEPTED, worker.clock_ms(self.now))
        if isinstance(order, PaceOrder):
            self.pace_by_task[order.task] = order.percent
        answer = super()._execute_order(worker_id, order)
        if not isinstance(order, HoldOrder) or answer.result is not (
            OrderResult.ACCEPTED
        ):
            return answer
        running = tuple(
            replace(
                item,
                pace_percent=self._pace(item.task),
                reading=self._reading(worker, item.task),
            )
            for item in answer.report.running
        )
        return replace(answer, report=replace(answer.report, running=running))

    def _pace(self, task: TaskKey) -> int:
        return self.pace_by_task.get(task, 100)

    def _reading(self, worker: TaskWorker, task: TaskKey) -> float:
        """Return the tail latency of a serving task, or the use of another."""
        step = worker.run_by_task[task].step
        if not step.target_latency_ms:
            return step.demand.cpu_millis * self._pace(task) / 100
        return TARGET_MS * self.tail_ratio_of(worker, task)

    def tail_ratio_of(self, worker: TaskWorker, task: TaskKey) -> float:
        """Return a serving task's tail latency relative to its target."""
        image = worker.run_by_task[task].step.image
        load = self.own_load_by_id[task.submission_id]
        for other, run in worker.run_by_task.items():
            if run.step.fills:
                is_heavy = (run.step.image, image) in self.heavy_pairs
                share = run.step.demand.cpu_millis / worker.entry.capacity.cpu_millis
                added_load = HEAVY_ADDED_LOAD if is_heavy else MILD_ADDED_LOAD
                load += added_load * share * self._pace(other) / 100
        return tail_ratio(load)

    def _plan_run(self, task: TaskKey, run: int) -> tuple[float, RunEnd]:
        """Return the duration of a run; a pace order of an earlier run is void."""
        self.pace_by_task.pop(task, None)
        if self.checker.steps_by_id[task.submission_id][task.step].is_long_running:
            return PERMANENT_S, RunEnd.DONE
        if task not in self.duration_by_task:
            self.duration_by_task[task] = self.starvation_rng.uniform(2.0, 6.0)
        return self.duration_by_task[task], RunEnd.DONE

"""Simulated histories of changing capacity, and a check that waiting tasks start.

Capacities shrink and grow, some tasks last, fillers run beside serving tasks, and
owners die just after they have sent a start. Orders and writes are undisturbed once the
faults have ended, so that every wait beside free capacity is a fault of the owners.
"""

import random
from dataclasses import dataclass, field, replace

from cell_simulation import SimCell, SimOwner, Simulation

from berylcleat.model import Step, TaskDemand, TaskKey
from berylcleat.ports import RunEnd, StartOrder
from berylcleat.scheduling import CellHeadroom, CellScheduler, UnevenWorkers

# Limits of the rule LOST: seconds that work may wait beside free capacity, from when
# after the faults this holds for submissions (3 s before they are asked for, at 14 s)
# and for tasks that last, and seconds after its last run that such a task may wait.
MAX_WAIT_S = 3.0
SETTLE_S = 11.0
LASTING_SETTLE_S = 4.0
LASTING_RESTART_S = 6.0
MIN_SLOTS = 2
MAX_USED_SHARE = 0.5
CHECK_PERIOD_S = 0.2
# Seconds between two loads that a cell publishes, and until a list shows a capacity.
LOAD_PERIOD_S = 1.0
MAX_LIST_DELAY_S = 0.7
FULL_CAPACITY = TaskDemand(4000, 8000, 0)
# Share of all processors that tasks which last may reserve.
MAX_LASTING_SHARE = 0.3
SHRINK_SHARE = 0.004
# Share of the starts after which the owner dies, usually and for tasks that crash.
FATAL_START_SHARE = 0.004
FATAL_CRASH_START_SHARE = 0.1


@dataclass(slots=True)
class LivenessChecker:
    """Work that waits although it could run, found from what really runs."""

    sim: Simulation
    since_by_key: dict = field(default_factory=dict)
    last_ran_at: dict[TaskKey, float] = field(default_factory=dict)
    violations: dict = field(default_factory=dict)
    next_check_at: float = 0.0

    def observe(self, calm_since: float | None) -> None:
        """Check all unfinished submissions."""
        sim = self.sim
        if sim.now < self.next_check_at:
            return
        self.next_check_at = sim.now + CHECK_PERIOD_S
        waiting = {}
        for submission_id in sim.submission_by_id:
            waiting.update(self._waiting_work(submission_id))
        workers = self.usable_workers()
        for key in self.since_by_key.keys() - waiting.keys():
            del self.since_by_key[key]
        for key, task in waiting.items():
            step = sim.submission_by_id[task.submission_id].steps[task.step]
            if calm_since is None or not self.has_room(step, workers):
                self.since_by_key.pop(key, None)
                continue
            since = calm_since + SETTLE_S
            if step.is_long_running:
                last_ran_at = self.last_ran_at.get(task, calm_since)
                since = calm_since + LASTING_SETTLE_S
                since = max(since, last_ran_at + LASTING_RESTART_S)
            since = max(self.since_by_key.setdefault(key, sim.now), since)
            # A task that crashes its worker may run between two checks.
            since = max(since, self._last_start_of(key))
            if sim.now - since >= MAX_WAIT_S:
                self.violations.setdefault(
                    key, f"{sim.now:.2f}: {task} waits, {self.explain(task)}"
                )

    def usable_workers(self) -> list:
        """Return the workers whose present incarnation the list shows."""
        return [w for w in self.sim.workers.values() if _is_usable(w)]

    def has_room(self, step: Step, workers: list) -> bool:
        """Return whether work of a step must not wait beside what runs now."""
        return _has_room(step, workers)

    def _waiting_work(self, submission_id: str) -> dict:
        """Return the tasks that could run now, by what must not wait.

        That is each task that lasts, or else a submission of which nothing runs.
        """
        checker = self.sim.checker
        records = [
            progress
            for (_, known_id), progress in checker.recorded.items()
            if known_id == submission_id
        ]
        if any(progress.final_state is not None for progress in records):
            return {}
        steps = self.sim.submission_by_id[submission_id].steps
        waiting = {}
        is_running = False
        for number, step in enumerate(steps):
            tasks = _tasks(submission_id, number, step)
            running = {task for task in tasks if checker.running.get(task)}
            self.last_ran_at.update(dict.fromkeys(running, self.sim.now))
            is_running |= bool(running)
            earlier = [
                task for n in step.after for task in _tasks(submission_id, n, steps[n])
            ]
            if not all(any(p.is_done(task) for p in records) for task in earlier):
                continue
            for task in tasks:
                if task in running or any(p.is_done(task) for p in records):
                    continue
                key = task if step.is_long_running else submission_id
                waiting.setdefault(key, task)
        if is_running:
            waiting.pop(submission_id, None)
        return waiting

    def _last_start_of(self, key: TaskKey | str) -> float:
        """Return when a task that lasts, or any task of a submission, last started."""
        started_at = self.sim.checker.started_at
        if isinstance(key, TaskKey):
            return started_at.get(key, 0.0)
        times = (at for task, at in started_at.items() if task.submission_id == key)
        return max(times, default=0.0)

    def explain(self, task: TaskKey) -> str:
        """Return what the owner of a task's cell tells of its wait."""
        owner = self.sim.cell_by_id[self.sim.cell_of(task)].owner
        cell = owner.cell
        tracked = cell.submissions.by_id.get(task.submission_id)
        if tracked is None:
            return f"unknown in cell {cell.cell_id}"
        run = cell.run_by_task.get(task)
        if run is not None:
            return f"run {run.number} is {run.phase.value} on {run.worker_id}"
        ready = tracked.ready_by_step.get((task.occurrence, task.step))
        if ready is None:
            return f"not queued in cell {cell.cell_id}"
        reasons = cell.explain_waiting(ready, self.sim.now)
        is_presumed = task in tracked.presumed_run_by_task
        return f"{cell.cell_id}: {reasons}, presumed: {is_presumed}"


def _tasks(submission_id: str, number: int, step: Step) -> list[TaskKey]:
    return [TaskKey(submission_id, 0, number, n) for n in range(step.n_tasks)]


def _is_usable(worker) -> bool:
    """Return whether the list shows a worker's present incarnation."""
    return worker.entry.started_at_ms == worker.started_at_ms


def _used(worker) -> TaskDemand:
    return sum((r.step.allocation for r in worker.run_by_task.values()), TaskDemand())


def _has_room(step: Step, workers) -> bool:
    """Return whether a task fits twice over and, unless it lasts, half is free."""
    n_slots = 0
    used_cpu = capacity_cpu = 0
    for worker in workers:
        capacity = worker.entry.capacity
        used_cpu += _used(worker).cpu_millis
        capacity_cpu += capacity.cpu_millis
        free = capacity - _used(worker)
        if step.fills:
            fills = (r.step for r in worker.run_by_task.values() if r.step.fills)
            taken = sum(other.demand.cpu_millis for other in fills)
            free = free - TaskDemand(taken, 0, 0)
        while step.demand.fits_in(free):
            n_slots += 1
            free = free - step.demand
    if n_slots < MIN_SLOTS:
        return False
    return step.is_long_running or used_cpu < MAX_USED_SHARE * capacity_cpu


class LivenessSimulation(Simulation):
    """History with changing capacity; the owners of even seeds learn uneven workers."""

    def __init__(self, random_state: int, n_cells: int = 1):
        self.day_rng = random.Random(f"day {random_state}")
        self.has_health = random_state % 2 == 0
        self.calm_since: float | None = None
        self.load_by_cell: dict[str, tuple[float, CellHeadroom]] = {}
        self.n_shrunk = 0
        self.n_killed = 0
        super().__init__(
            random_state,
            n_cells=n_cells,
            has_crashing_tasks=True,
            expected_finish=self.has_health,
        )
        self.liveness = LivenessChecker(self)

    def make_cell(self, sim_cell: SimCell, settled_at: float, workers) -> CellScheduler:
        """Create a new owner's scheduler."""
        cell = super().make_cell(sim_cell, settled_at, workers)
        if self.has_health:
            cell.uneven_workers = UnevenWorkers()
        return cell

    def submit(self) -> None:
        """Accept a submission of short, large or lasting tasks, or of fillers."""
        super().submit()
        submission_id, submission = list(self.submission_by_id.items())[-1]
        steps = self._draw_steps(submission.steps)
        submission = replace(submission, steps=steps)
        self.submission_by_id[submission_id] = submission
        self.checker.steps_by_id[submission_id] = steps

    def _draw_steps(self, steps: tuple[Step, ...]) -> tuple[Step, ...]:
        draw = self.day_rng.random()
        if draw < 0.15:
            image = self.day_rng.choice(("", "web", "api"))
            step = replace(
                steps[0],
                n_tasks=self.day_rng.randint(1, 2),
                is_long_running=True,
                image=image,
                target_latency_ms=100 if image else 0,
            )
            lasting = [
                step
                for submission in self.submission_by_id.values()
                for step in submission.steps
                if step.is_long_running
            ]
            reserved = sum(s.n_tasks * s.demand.cpu_millis for s in [*lasting, step])
            limit = FULL_CAPACITY.cpu_millis * len(self.workers) * MAX_LASTING_SHARE
            return (step,) if reserved <= limit else steps
        if draw < 0.3:
            image = self.day_rng.choice(("batch", "index"))
            return tuple(replace(step, fills=True, image=image) for step in steps)
        if draw < 0.5:
            demand = TaskDemand(self.day_rng.choice((2000, 2500)), 500, 0)
            return tuple(replace(step, demand=demand) for step in steps)
        return steps

    def _plan_run(self, task: TaskKey, run: int) -> tuple[float, RunEnd]:
        if self.checker.steps_by_id[task.submission_id][task.step].is_long_running:
            return self.day_rng.uniform(2.0, 60.0), RunEnd.FAILED
        return super()._plan_run(task, run)

    def other_headrooms(self, owner: SimOwner) -> tuple[CellHeadroom, ...]:
        """Return what the owners of other cells published last."""
        found = []
        for cell_id, sim_cell in self.cell_by_id.items():
            published_at, load = self.load_by_cell.get(cell_id, (-1.0, None))
            if not sim_cell.owner.is_out_of_touch and (
                self.now - published_at >= LOAD_PERIOD_S
            ):
                published_at, load = self.now, _make_load(sim_cell, self.now)
                self.load_by_cell[cell_id] = (published_at, load)
            if load is not None and sim_cell is not owner.sim_cell:
                age_s = self.now - published_at
                found.append(replace(load, age_s=age_s, epoch=sim_cell.epoch))
        return tuple(found)

    def dispatch(self, owner: SimOwner, item) -> None:
        """Send an order; an owner may die just after it has sent a start."""
        super().dispatch(owner, item)
        if self.is_calm or not isinstance(item.order, StartOrder):
            return
        crashes = self.checker.crashes_workers(item.order.task)
        share = FATAL_CRASH_START_SHARE if crashes else FATAL_START_SHARE
        if self.day_rng.random() < share:
            self.schedule_event(
                self.now + self.day_rng.uniform(0.0, 0.1), lambda: self._kill(owner)
            )

    def _kill(self, owner: SimOwner) -> None:
        """Kill an owner; its cell is taken over once that is noticed."""
        owner.is_dead = True
        self.n_killed += 1

        def take_over() -> None:
            if owner.sim_cell.epoch == owner.epoch:
                self.take_over(owner.sim_cell, is_dead=True)

        self.schedule_event(self.now + self.day_rng.uniform(0.5, 3.0), take_over)

    def _inject_faults(self, sim_cell: SimCell, *, is_fault_free: bool) -> None:
        super()._inject_faults(sim_cell, is_fault_free=is_fault_free)
        if is_fault_free and not self.is_calm:
            self.is_calm = True
            self.calm_since = self.now
        if self.day_rng.random() < SHRINK_SHARE:
            worker_id = self.day_rng.choice(sim_cell.worker_ids)
            part = self.day_rng.uniform(0.4, 0.7)
            self._set_capacity(sim_cell, worker_id, part)
            self.n_shrunk += 1
            self.schedule_event(
                self.now + self.day_rng.uniform(3.0, 30.0),
                lambda: self._set_capacity(sim_cell, worker_id, 1.0),
            )

    def _set_capacity(self, sim_cell: SimCell, worker_id: str, part: float) -> None:
        """Change what a worker accepts; what runs stays. The list shows it later."""
        worker = self.workers[worker_id]
        capacity = TaskDemand(
            int(FULL_CAPACITY.cpu_millis * part), int(FULL_CAPACITY.memory_mb * part), 0
        )
        worker.entry = replace(worker.entry, capacity=capacity)
        self.schedule_event(
            self.now + self.day_rng.uniform(0.0, MAX_LIST_DELAY_S),
            lambda: self._list_worker(sim_cell, worker.entry),
        )

    def observe(self) -> None:
        """Check that no work waits beside free capacity."""
        self.liveness.observe(self.calm_since)

    def unfinished_submissions(self) -> list[str]:
        """Return the submissions that have not ended, except those that last."""
        return [
            submission_id
            for submission_id in super().unfinished_submissions()
            if not self.submission_by_id[submission_id].steps[0].is_long_running
        ]


def _make_load(sim_cell: SimCell, now: float) -> CellHeadroom:
    """Return a cell's load as its host publishes it."""
    cell = sim_cell.owner.cell
    views = [view for view in cell.worker_by_id.values() if view.can_start(now)]
    free_by_worker = tuple(view.effective_free_millis() for view in views)
    avoided = cell.avoided_capacity(now)
    fillers = (r for r in cell.submissions.iter_ready() if r.step.fills)
    return CellHeadroom(
        sim_cell.cell_id,
        "svc",
        sum(free_by_worker) - (cell.waiting_cpu() - cell.stuck_cpu(now)),
        cell.filler_headrooms(),
        sum(len(r.waiting) * r.step.demand.cpu_millis for r in fillers),
        sum(view.effective_cpu_millis() for view in views),
        free_by_worker,
        waiting=cell.waiting_cpu(),
        avoided_capacity=avoided.total,
        avoided_free=avoided.free,
    )

"""Discrete-event simulation of owners, workers, a store and a faulty network.

The owners run the real ``CellScheduler``; everything else is simulated.
"""

import heapq
import random
from dataclasses import dataclass, field, replace

import msgspec

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
    PaceOrder,
    RunEnd,
    StartOrder,
    StopOrder,
    WorkerEntry,
)
from berylcleat.scheduling import (
    CellHeadroom,
    CellScheduler,
    InterferenceModel,
    LeaseTimes,
    MovedTaskEnd,
    MoveProposal,
    Progress,
    TaskMove,
    WorkerOrder,
    decode_progress,
)
from berylcleat.standins import TaskWorker

TICK_S = 0.05
HOLD_PERIOD_S = 0.4
MOVE_RETRY_S = 0.3
# Seconds for which an owner may read submissions before its own row; new ones are held
# back for longer (HANDOVER_GRACE_S).
MAX_UNAWARE_S = 4.0
# Seconds after which every host in touch has learned that a submission is done.
MAX_LATE_START_S = 1.0
# Crashes of workers under a task after which it may be given up, and after which it may
# be started only so many times more.
MIN_CRASHES_TO_GIVE_UP = 2
MAX_CRASHES = 3
MAX_STARTS_AFTER_CRASHES = 2
CRASHING_SHARE = 0.2
# Mechanisms that a history can do without.
LIMIT_OF_LEASES = "limit of leases"
HEARTBEAT_BEFORE_CONFIRMATION = "heartbeat before the confirmation"
ORDER_FAULT_SHARE = 0.06
# Seconds that the store takes to record a move while nothing disturbs it.
CALM_COMMIT_S = 0.05
QUEUE = QueuePolicy("q", "svc", max_attempts=3, stretch=2.0, objective_ms=1000)
TIMES = LeaseTimes(worker_lease_s=5.0, max_lease_s=6.0, owner_limit_s=9.0)
# Seconds between two heartbeats of a host, and until the store has one and answers.
HOST_HEARTBEAT_S = 1.0
MAX_HEARTBEAT_WRITE_S = 0.3


@dataclass(frozen=True, slots=True)
class ObservedEnd:
    """End of a task's last run on a worker at a time in seconds."""

    worker_id: str
    run: int
    at: float


@dataclass(slots=True)
class InvariantChecker:
    """Actual runs and ends of all tasks, and the violations of invariants."""

    steps_by_id: dict = field(default_factory=dict)
    running: dict[TaskKey, list[str]] = field(default_factory=dict)
    done: set[TaskKey] = field(default_factory=set)
    acknowledged: set[TaskKey] = field(default_factory=set)
    n_failed: dict[TaskKey, int] = field(default_factory=dict)
    recorded: dict[tuple[str, str], Progress] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    n_starts: int = 0
    n_crashes: dict[TaskKey, int] = field(default_factory=dict)
    n_starts_after_crashes: dict[TaskKey, int] = field(default_factory=dict)
    done_at_by_id: dict[str, float] = field(default_factory=dict)
    crashing_tasks: set[TaskKey] = field(default_factory=set)
    n_failed_ends: dict[TaskKey, int] = field(default_factory=dict)
    started_at: dict[TaskKey, float] = field(default_factory=dict)
    now: float = 0.0
    last_run_by_task: dict[TaskKey, int] = field(default_factory=dict)
    last_end_by_task: dict[TaskKey, "ObservedEnd"] = field(default_factory=dict)

    def on_start(self, task: TaskKey, run: int, worker_id: str, now: float) -> None:
        """Record a started run and check the invariants of a start."""
        self.n_starts += 1
        self.started_at[task] = now
        self.last_run_by_task[task] = run
        others = self.running.setdefault(task, [])
        if others:
            self.violations.append(
                f"{now:.2f}: {task} runs twice, on {others}, {worker_id}"
            )
        others.append(worker_id)
        if task in self.acknowledged:
            self.violations.append(
                f"{now:.2f}: {task} starts after its end was acknowledged"
            )
        steps = self.steps_by_id[task.submission_id]
        for earlier in steps[task.step].after:
            for index in range(steps[earlier].n_tasks):
                if TaskKey(task.submission_id, 0, earlier, index) not in self.done:
                    self.violations.append(
                        f"{now:.2f}: {task} starts before step {earlier}"
                    )
        is_limited = not steps[task.step].is_long_running
        if is_limited and self.n_failed.get(task, 0) >= QUEUE.max_attempts:
            self.violations.append(f"{now:.2f}: {task} starts after its attempts")
        self._check_crashes(task, now)

    def _check_crashes(self, task: TaskKey, now: float) -> None:
        if self.n_crashes.get(task, 0) < MAX_CRASHES:
            return
        n_starts = self.n_starts_after_crashes.get(task, 0) + 1
        self.n_starts_after_crashes[task] = n_starts
        if self.crashes_workers(task) and n_starts > MAX_STARTS_AFTER_CRASHES:
            self.violations.append(f"{now:.2f}: {task} starts after its crashes")

    def crashes_workers(self, task: TaskKey) -> bool:
        """Return whether a task crashes each worker that starts it."""
        return task in self.crashing_tasks

    def check_given_up(self, submission_id: str) -> None:
        """Check that a failed submission had the attempts or crashes for it."""
        had_cause = any(
            self.n_failed_ends.get(task, 0) >= QUEUE.max_attempts
            or self.n_crashes.get(task, 0) >= MIN_CRASHES_TO_GIVE_UP
            for task in self.n_failed_ends.keys() | self.n_crashes.keys()
            if task.submission_id == submission_id
        )
        if not had_cause:
            self.violations.append(f"{submission_id} failed without a cause")

    def on_start_order(self, task: TaskKey, now: float) -> None:
        """Check that a start isn't ordered for a submission that is done."""
        done_at = self.done_at_by_id.get(task.submission_id, now)
        if now - done_at > MAX_LATE_START_S:
            self.violations.append(f"{now:.2f}: {task} is ordered after it was done")

    def on_end(self, task: TaskKey, worker_id: str, end: RunEnd | None) -> None:
        """Remove an ended run; ``end`` is None after a crash."""
        self.running[task].remove(worker_id)
        run = self.last_run_by_task[task]
        self.last_end_by_task[task] = ObservedEnd(worker_id, run, self.now)
        if end is RunEnd.DONE:
            self.done.add(task)
        elif end is RunEnd.FAILED:
            self.n_failed_ends[task] = self.n_failed_ends.get(task, 0) + 1
        elif end is None:
            self.n_crashes[task] = self.n_crashes.get(task, 0) + 1

    def store_recorded(
        self, cell_id: str, write, progress: Progress, now: float
    ) -> None:
        """Store the progress that a cell's owner has recorded."""
        self.recorded[(cell_id, write.submission_id)] = progress
        if progress.final_state is SubmissionState.FAILED:
            self.check_given_up(write.submission_id)
        if progress.final_state is SubmissionState.DONE:
            self.done_at_by_id.setdefault(write.submission_id, now)

    def _is_recorded(self, task: TaskKey) -> bool:
        return any(
            progress.is_done(task) or progress.final_state is not None
            for (_, submission_id), progress in self.recorded.items()
            if submission_id == task.submission_id
        )

    def on_acknowledged(self, end) -> None:
        """Check that an end was recorded before it is acknowledged."""
        if end.end is RunEnd.FAILED:
            self.n_failed[end.task] = self.n_failed.get(end.task, 0) + 1
        if end.end is not RunEnd.DONE:
            return
        self.acknowledged.add(end.task)
        # Ends of other tasks need no record once their submission has failed.
        if not self._is_recorded(end.task):
            self.violations.append(f"{end.task} acknowledged before it was recorded")


@dataclass(frozen=True, slots=True)
class SimHeartbeat:
    """Heartbeat of a host that the store has; times are in seconds."""

    sent_at: float
    stored_at: float
    answered_at: float


class SimCell:
    """Stored rows of one cell, its workers and all its owners so far."""

    def __init__(self, cell_id: str, worker_ids: tuple[str, ...]):
        self.cell_id = cell_id
        self.worker_ids = worker_ids
        self.epoch = 0
        self.rows: dict[str, bytes] = {}
        self.recorded_workers: tuple[WorkerEntry, ...] = ()
        self.owners: list[SimOwner] = []

    @property
    def owner(self) -> "SimOwner":
        """Return the latest owner."""
        return self.owners[-1]


class SimOwner:
    """Host that owns a cell under one epoch."""

    def __init__(
        self, sim: "Simulation", sim_cell: SimCell, settled_at: float, workers
    ):
        self.sim = sim
        self.sim_cell = sim_cell
        self.epoch = sim_cell.epoch
        self.confirmed_at = sim.now
        self.is_dead = False
        self.is_partitioned = False
        # Whether it reads submissions but hasn't read yet that its cell was taken over.
        self.is_unaware = False
        self.paused_until = 0.0
        self.unreachable: set[str] = set()
        # Time until which the store takes no heartbeat of the host.
        self.heartbeats_fail_until = 0.0
        # When the newest request was sent whose answer named this owner.
        self.confirmation_requested_at = sim.now
        # By when its leases have ended, as the next owner counts; known once replaced.
        self.leases_ended_by = float("inf")
        heartbeat_at = sim.now - sim.heartbeat_rng.uniform(0.0, HOST_HEARTBEAT_S)
        self.heartbeats = [SimHeartbeat(heartbeat_at, heartbeat_at, heartbeat_at)]
        self.cell = sim.make_cell(sim_cell, settled_at, workers)
        if sim.disabled_mechanism != "confirmation by the store":
            self.cell.confirmation.confirmed_at = sim.now
        # Runs whose end a worker has reported to this owner.
        self.reported_ends: set[tuple[TaskKey, int]] = set()
        self.next_hold_at: dict[str, float] = {}
        self.needs_probe: dict[str, bool] = {}
        self.answered_incarnation: dict[str, int] = {}
        self.delayed_submissions: set[str] = set()

    @property
    def is_paused(self) -> bool:
        """Return whether the host is suspended."""
        return self.sim.now < self.paused_until

    @property
    def limit_at(self) -> float:
        """Return until when the owner may act, and its leases last.

        The time counts from a heartbeat that was answered before the store last named
        this owner.
        """
        if self.sim.disabled_mechanism == HEARTBEAT_BEFORE_CONFIRMATION:
            return self.confirmed_at + TIMES.owner_limit_s
        return TIMES.owner_limit_s + next(
            heartbeat.sent_at
            for heartbeat in reversed(self.heartbeats)
            if heartbeat.answered_at <= self.confirmation_requested_at
        )

    @property
    def may_act(self) -> bool:
        """Return whether the owner may send orders."""
        return self.sim.now < self.limit_at

    @property
    def is_out_of_touch(self) -> bool:
        """Return whether the host neither reads the store nor answers other hosts."""
        return self.is_dead or self.is_partitioned or self.is_paused

    @property
    def is_out_of_date(self) -> bool:
        """Return whether the host may not know what the store holds."""
        return self.is_partitioned or self.is_unaware

    def step(self) -> None:
        """Record progress, renew leases and send orders unless dead or fenced."""
        now = self.sim.now
        if self.is_dead or self.is_paused or self.cell.is_fenced_out:
            return
        self._send_heartbeat()
        if self.is_unaware:
            if self.sim.fault_rng.random() <= 0.2:
                self._propose_moves()
        elif not self.is_partitioned:
            self.confirmed_at = now
            while self.delayed_submissions:
                self.receive_submission(self.delayed_submissions.pop())
            if self.sim_cell.epoch != self.epoch:
                self.is_dead = True
                return
            # The answer to a read that was sent in the previous tick.
            self.confirmation_requested_at = max(
                self.confirmation_requested_at, now - TICK_S
            )
            self.cell.confirmation.confirm(now - TICK_S)
            self._record()
            if self.sim.rng.random() <= 0.2:
                self._propose_moves()
                self._report_moved_task_ends()
                self._settle_stray_ends()
        elif self.sim.fault_rng.random() <= 0.2:
            self._propose_moves()
        if not self.may_act:
            return
        if self.sim.disabled_mechanism != LIMIT_OF_LEASES:
            self.cell.confirmation.leases_end_by = self.limit_at
        for worker_id in self.cell.worker_by_id:
            if now >= self.next_hold_at.get(worker_id, 0.0):
                self.next_hold_at[worker_id] = now + HOLD_PERIOD_S
                self._hold(worker_id)
        for item in self.cell.plan(now, now * 1000):
            self.sim.dispatch(self, item)

    def _send_heartbeat(self) -> None:
        """Send a heartbeat if the last one is old and the store takes it."""
        now = self.sim.now
        if self.is_partitioned or now < self.heartbeats_fail_until:
            return
        if now - self.heartbeats[-1].sent_at >= HOST_HEARTBEAT_S:
            draw = self.sim.heartbeat_rng.uniform
            stored_at = now + draw(0.0, MAX_HEARTBEAT_WRITE_S)
            answered_at = stored_at + draw(0.0, MAX_HEARTBEAT_WRITE_S)
            self.heartbeats.append(SimHeartbeat(now, stored_at, answered_at))

    def date_lease_ends(self, *, is_dead: bool) -> None:
        """Tell by when the leases have ended, as early as the next owner may count.

        Its last heartbeat in the store can't be dated earlier than it was sent.
        """
        now = self.sim.now
        stored = (h for h in reversed(self.heartbeats) if h.stored_at <= now)
        heartbeat_at = next(stored).sent_at
        self.leases_ended_by = heartbeat_at + TIMES.takeover_wait_s(owner_is_dead=False)
        if is_dead:
            stopped_by = now + TIMES.takeover_wait_s(owner_is_dead=True)
            self.leases_ended_by = min(self.leases_ended_by, stopped_by)

    def _hold(self, worker_id: str) -> None:
        view = self.cell.worker_by_id[worker_id]
        needs_probe = self.needs_probe.get(worker_id, True) or not view.has_seen_epoch
        self.needs_probe[worker_id] = True
        if needs_probe:
            self.sim.send(self, worker_id, HoldOrder(self.epoch, 0, None, 0))
            return
        if (
            self.sim.workers[worker_id].started_at_ms
            != self.answered_incarnation[worker_id]
        ):
            # The last connection belonged to an earlier incarnation of the worker.
            return
        until = self.cell.lease_until_ms(view, self.sim.now)
        order = HoldOrder(self.epoch, view.acked_number, until, 0)
        self.sim.send(self, worker_id, order)

    def _record(self) -> None:
        batch = self.cell.take_batch()
        for write in batch.writes:
            self.sim_cell.rows[write.submission_id] = write.value
            progress = decode_progress(write.submission_id, write.value)
            self.sim.checker.store_recorded(
                self.sim_cell.cell_id, write, progress, self.sim.now
            )
        self.cell.on_recorded(batch)
        if self.cell.must_record_workers():
            self._record_workers()

    def _record_workers(self) -> None:
        self.sim_cell.recorded_workers = tuple(
            view.entry for view in self.cell.worker_by_id.values()
        )
        self.cell.on_workers_recorded(frozenset(self.cell.worker_by_id))

    def _propose_moves(self) -> None:
        """Propose moves of stuck tasks; a partition delays their commit."""
        other_headrooms = self.sim.other_headrooms(self)
        for proposal in self.cell.propose_moves(other_headrooms, self.sim.now):
            self.sim.commit_move(self, proposal)

    def _report_moved_task_ends(self) -> None:
        """Report ends of moved tasks to their home cells."""
        for submission_id, ends in self.cell.unconfirmed_moved_task_ends().items():
            home = self.sim.cell_by_id[self.sim.home_by_id[submission_id]].owner
            if home.is_out_of_touch:
                continue
            if home.cell.on_moved_task_ends(submission_id, ends, self.sim.now):
                self.cell.on_moved_task_ends_confirmed(
                    submission_id, ends, self.sim.now
                )

    def _settle_stray_ends(self) -> None:
        """Report ends that other cells count to these."""
        for submission_id, ends in self.cell.stray_ends(self.sim.now).items():
            for end in ends:
                cell_id = self.sim.cell_of(end.task)
                owner = self.sim.cell_by_id[cell_id].owner
                if owner is self or owner.is_out_of_touch:
                    continue
                if end.end is not RunEnd.DONE:
                    self.cell.on_stray_ends_settled([end])
                    continue
                report = [MovedTaskEnd(end.task, has_failed=False)]
                if owner.cell.on_moved_task_ends(submission_id, report, self.sim.now):
                    self.cell.on_stray_ends_settled([end])

    def receive_submission(self, submission_id: str) -> None:
        """Add a submission and its moves, or delay both during a partition."""
        if self.is_dead or self.cell.is_fenced_out:
            return
        if self.is_partitioned or self.is_paused:
            self.delayed_submissions.add(submission_id)
            return
        self.sim.add_submission_to(
            self.cell, self.sim_cell, submission_id, inherited=False
        )

    def receive_answer(
        self, worker_id: str, order, answer: OrderAnswer, sent_at: float
    ) -> None:
        """Pass an answer, or its loss, to the scheduler."""
        now = self.sim.now
        if self.is_dead or worker_id not in self.cell.worker_by_id:
            return
        if self.is_paused:
            self.sim.schedule_event(
                self.paused_until,
                lambda: self.receive_answer(worker_id, order, answer, sent_at),
            )
            return
        if isinstance(order, StartOrder):
            self.cell.on_start_answer(worker_id, order, answer, now)
        elif isinstance(order, StopOrder):
            self.cell.on_stop_answer(worker_id, order, answer, now)
        elif isinstance(order, PaceOrder):
            self.cell.on_pace_answer(order, answer)
        elif answer.result is OrderResult.ACCEPTED:
            self.needs_probe[worker_id] = False
            self.answered_incarnation[worker_id] = answer.report.started_at_ms
            self.reported_ends.update((e.task, e.run) for e in answer.report.ended)
            self.cell.on_report(worker_id, answer.report, sent_at, now)
        elif answer.result is OrderResult.FENCED:
            self.cell.on_fenced(worker_id)


class Simulation:
    """One simulated history, determined by its seed."""

    # Lease durations of the owners.
    times = TIMES

    def __init__(
        self,
        random_state: int,
        disabled_mechanism: str = "",
        n_cells: int = 1,
        *,
        has_crashing_tasks: bool = False,
        expected_finish: bool = False,
        has_unaware_owners: bool = False,
    ):
        self.rng = random.Random(random_state)
        # Separate, so that the draws of ``rng`` stay as they are for a seed.
        self.fault_rng = random.Random(f"faults {random_state}")
        self.heartbeat_rng = random.Random(f"heartbeats {random_state}")
        self.disabled_mechanism = disabled_mechanism
        self.has_crashing_tasks = has_crashing_tasks
        self.expected_finish = expected_finish
        self.has_unaware_owners = has_unaware_owners
        self.now = 0.0
        # Whether neither orders nor writes are disturbed any more.
        self.is_calm = False
        self.checker = InvariantChecker()
        self.home_by_id: dict[str, str] = {}
        self.submission_by_id: dict[str, Submission] = {}
        self.moves_by_id: dict[str, dict[TaskKey, TaskMove]] = {}
        self.workers: dict[str, TaskWorker] = {}
        self.cell_by_id: dict[str, SimCell] = {}
        self.queue: list = []
        self.n_events = 0
        n_workers = 4 if n_cells == 1 else 2
        for number in range(1, n_cells + 1):
            self._make_cell_with_workers(f"r{number}", n_workers)

    def _make_cell_with_workers(self, cell_id: str, n_workers: int) -> None:
        ids = tuple(f"{cell_id}-w{number}" for number in range(n_workers))
        for worker_id in ids:
            self.workers[worker_id] = self._make_worker(worker_id, cell_id)
        sim_cell = SimCell(cell_id, ids)
        self.cell_by_id[cell_id] = sim_cell
        self.take_over(sim_cell, is_dead=True)

    def _make_worker(self, worker_id: str, cell_id: str) -> TaskWorker:
        entry = WorkerEntry(
            worker_id,
            "svc",
            "a:1",
            "dc",
            "k",
            cell_id,
            frozenset({"k", cell_id}),
            TaskDemand(4000, 8000, 0),
            1,
        )
        clock_rate = self.rng.choice((0.98, 1.0, 1.02))
        return TaskWorker(entry, self.checker.steps_by_id, self.checker, clock_rate)

    def make_cell(self, sim_cell: SimCell, settled_at: float, workers) -> CellScheduler:
        """Create a new owner's scheduler from the recorded state."""
        epoch = sim_cell.epoch
        cell = CellScheduler(
            sim_cell.cell_id,
            epoch,
            self.times,
            self.now,
            settled_at,
            workers,
            InterferenceModel(),
            expected_finish=self.expected_finish,
        )
        for submission_id in self.submission_by_id:
            self.add_submission_to(cell, sim_cell, submission_id, inherited=epoch > 1)
        for entry in self.listed_entries(sim_cell):
            cell.list_worker(entry, self.now)
        return cell

    def listed_entries(self, sim_cell: SimCell) -> list[WorkerEntry]:
        """Return the entries of a cell's workers on the list."""
        return [self.workers[worker_id].entry for worker_id in sim_cell.worker_ids]

    def add_submission_to(
        self,
        cell: CellScheduler,
        sim_cell: SimCell,
        submission_id: str,
        *,
        inherited: bool,
    ) -> None:
        """Add a submission and its moves to its home or to a cell with moved tasks."""
        moves = self.moves_by_id.get(submission_id, {})
        if self.disabled_mechanism == "epoch in a move":
            moves = {
                task: msgspec.structs.replace(
                    move, target_epoch=min(move.target_epoch, cell.epoch)
                )
                for task, move in moves.items()
            }
        is_home = self.home_by_id[submission_id] == sim_cell.cell_id
        has_moved_tasks = any(
            move.cell_id == sim_cell.cell_id for move in moves.values()
        )
        if not (is_home or has_moved_tasks or submission_id in cell.submissions.by_id):
            return
        data = sim_cell.rows.get(submission_id)
        progress = decode_progress(submission_id, data) if data else Progress()
        cell.add_submission(
            self.submission_by_id[submission_id],
            progress,
            self.now,
            self.now,
            inherited=inherited,
            is_home=is_home,
            move_by_task=moves,
        )
        cell.update_moves(submission_id, moves, self.now)

    def cell_of(self, task: TaskKey) -> str:
        """Return the cell that a task is assigned to."""
        move = self.moves_by_id.get(task.submission_id, {}).get(task)
        return self.home_by_id[task.submission_id] if move is None else move.cell_id

    def take_over(self, sim_cell: SimCell, *, is_dead: bool) -> None:
        """Create a new owner of a cell under the next epoch."""
        sim_cell.epoch += 1
        if sim_cell.owners:
            sim_cell.owner.date_lease_ends(is_dead=is_dead)
        settled_at = max((o.leases_ended_by for o in sim_cell.owners), default=self.now)
        workers = (
            ()
            if self.disabled_mechanism == "recorded workers"
            else sim_cell.recorded_workers
        )
        if self.disabled_mechanism == "takeover wait":
            settled_at = self.now
        owner = self.make_owner(sim_cell, settled_at, workers)
        sim_cell.owners.append(owner)

    def make_owner(self, sim_cell: SimCell, settled_at: float, workers) -> SimOwner:
        """Create a host that owns a cell under its present epoch."""
        return SimOwner(self, sim_cell, settled_at, workers)

    def other_headrooms(self, owner: SimOwner) -> tuple[CellHeadroom, ...]:
        """Return the headroom of all cells but that of ``owner``."""
        return tuple(
            CellHeadroom(
                sim_cell.cell_id,
                "svc",
                self._free_cpu(sim_cell),
                (),
                0,
                epoch=sim_cell.epoch,
            )
            for sim_cell in self.cell_by_id.values()
            if sim_cell is not owner.sim_cell
        )

    def _free_cpu(self, sim_cell: SimCell) -> int:
        views = sim_cell.owner.cell.worker_by_id.values()
        return sum(view.free().cpu_millis for view in views)

    def commit_move(self, owner: SimOwner, proposal: MoveProposal) -> None:
        """Record a move after a delay.

        It is rejected if the owner has lost its cell or other moves came first.
        """
        known = dict(self.moves_by_id.get(proposal.submission_id, {}))
        delay_s = self.rng.choice((0.01, 0.02, 0.05, 3.0))
        if self.is_calm:
            delay_s = min(delay_s, CALM_COMMIT_S)

        def commit() -> None:
            if owner.is_out_of_touch and not owner.is_dead:
                self.schedule_event(self.now + MOVE_RETRY_S, commit)
                return
            current = self.moves_by_id.get(proposal.submission_id, {})
            is_owner = owner.sim_cell.epoch == owner.epoch or (
                self.disabled_mechanism == "condition on the owner"
            )
            if not is_owner or current != known:
                self._notify_move_settled(owner, proposal)
                return
            self.moves_by_id[proposal.submission_id] = {
                **current,
                **proposal.move_by_task,
            }
            self._notify_move_settled(owner, proposal)
            self._notify_owners(proposal.submission_id)

        self.schedule_event(self.now + delay_s, commit)

    def _notify_move_settled(self, owner: SimOwner, proposal: MoveProposal) -> None:
        """Report a move's outcome to its owner, after a partition if there is one."""
        if owner.is_partitioned or owner.is_paused:
            self.schedule_event(
                self.now + 0.5, lambda: self._notify_move_settled(owner, proposal)
            )
            return
        owner.receive_submission(proposal.submission_id)
        owner.cell.on_move_settled(proposal, self.now)

    def _notify_owners(self, submission_id: str) -> None:
        """Deliver a submission to every live owner, each after a random delay."""
        for sim_cell in self.cell_by_id.values():
            for owner in sim_cell.owners:
                if not owner.is_dead:
                    delay_s = self.rng.uniform(0.0, 0.5)
                    self.schedule_event(
                        self.now + delay_s,
                        lambda owner=owner: owner.receive_submission(submission_id),
                    )

    def submit(self) -> None:
        """Accept a submission of two steps."""
        submission_id = f"{len(self.submission_by_id):016x}"
        demand = TaskDemand(self.rng.choice((500, 1500)), 500, 0)
        first = Step(self.rng.randint(1, 4), demand, estimate_s=1.0)
        second = Step(self.rng.randint(1, 3), demand, estimate_s=1.0, after=(0,))
        submission = Submission(submission_id, QUEUE, "s", (first, second))
        self.checker.steps_by_id[submission_id] = submission.steps
        self.submission_by_id[submission_id] = submission
        self.home_by_id[submission_id] = self.rng.choice(list(self.cell_by_id))
        if self.has_crashing_tasks and self.fault_rng.random() < CRASHING_SHARE:
            self.checker.crashing_tasks.add(TaskKey(submission_id, 0, 0, 0))
        self._notify_owners(submission_id)

    def dispatch(self, owner: SimOwner, item: WorkerOrder) -> None:
        """Send an order of a planning round."""
        if isinstance(item.order, StartOrder):
            self._check_beliefs(owner, item)
            if not owner.is_out_of_date:
                self.checker.on_start_order(item.order.task, self.now)
            if not owner.cell.may_send_start(item.order, self.now):
                return
        self.send(owner, item.worker_id, item.order)

    def _check_beliefs(self, owner: SimOwner, item: WorkerOrder) -> None:
        """Check that a start relies on nothing that a later owner may know better.

        That is what has happened after the owner's last confirmation: the end of the
        task's last run that no worker has reported to it, or a restart of the worker.
        """
        task = item.order.task
        confirmed_at = owner.confirmed_at
        end = self.checker.last_end_by_task.get(task)
        if (
            end is not None
            and end.worker_id in owner.sim_cell.worker_ids
            and end.at > confirmed_at
            and (task, end.run) not in owner.reported_ends
            and self.must_know_end(item, end)
        ):
            self.checker.violations.append(
                f"{self.now:.2f}: {task} is ordered after an end that no worker told, "
                f"of {end.at:.2f}, owner confirmed at {confirmed_at:.2f}"
            )
        worker = self.workers[item.worker_id]
        view = owner.cell.worker_by_id[item.worker_id]
        is_present = view.incarnation_ms == worker.started_at_ms
        if is_present and worker.clock_started_at > confirmed_at:
            self.checker.violations.append(
                f"{self.now:.2f}: {task} is ordered on {item.worker_id}, restarted at "
                f"{worker.clock_started_at:.2f}, owner confirmed at {confirmed_at:.2f}"
            )

    def must_know_end(self, item: WorkerOrder, end: ObservedEnd) -> bool:
        """Return whether a start's owner must have been told of an end by a worker."""
        return True

    def send(
        self, owner: SimOwner, worker_id: str, order, incarnation_ms: int | None = None
    ) -> None:
        """Send an order that may be delayed or lost, or whose answer may be lost.

        It reaches only ``incarnation_ms``, or the present one.
        """
        if incarnation_ms is None:
            incarnation_ms = self.workers[worker_id].started_at_ms
        fault_draw = self.rng.random()
        delay_s = self.rng.uniform(0.001, 0.06)
        if worker_id in owner.unreachable:
            self._deliver_answer(1.0, owner, worker_id, order, None)
            return
        if fault_draw < ORDER_FAULT_SHARE and not self.is_calm:
            # The order is executed, in time or late, and its answer is lost.
            order_delay_s = delay_s if fault_draw < 0.03 else self.rng.uniform(1.0, 9.0)
            self._schedule_order(order_delay_s, worker_id, order, incarnation_ms)
            self._deliver_answer(1.0, owner, worker_id, order, None)
            return
        sent_at = self.now
        self.schedule_event(
            self.now + delay_s,
            lambda: self._exchange(owner, worker_id, order, sent_at, incarnation_ms),
        )

    def _schedule_order(
        self, delay_s: float, worker_id: str, order, incarnation_ms: int
    ) -> None:
        """Execute an order after a delay unless the worker crashes first."""
        worker = self.workers[worker_id]

        def execute_order() -> None:
            if worker.started_at_ms == incarnation_ms:
                self._execute_order(worker_id, order)
                if isinstance(order, StartOrder):
                    self._crash_after(worker_id, order)

        self.schedule_event(self.now + delay_s, execute_order)

    def _exchange(self, owner, worker_id: str, order, sent_at, incarnation_ms) -> None:
        return_delay_s = self.rng.uniform(0.001, 0.06)
        if self.workers[worker_id].started_at_ms != incarnation_ms:
            self._deliver_answer(return_delay_s, owner, worker_id, order, None, sent_at)
            return
        answer = self._execute_order(worker_id, order)
        if isinstance(order, StartOrder) and self._crash_after(worker_id, order):
            answer = None
        self._deliver_answer(return_delay_s, owner, worker_id, order, answer, sent_at)

    def _crash_after(self, worker_id: str, order: StartOrder) -> bool:
        """Crash the worker of a task that crashes it; return whether it was silent."""
        worker = self.workers[worker_id]
        run = worker.run_by_task.get(order.task)
        if run is None or run.run != order.run:
            return False
        if not self.checker.crashes_workers(order.task):
            return False
        sim_cell = next(
            c for c in self.cell_by_id.values() if worker_id in c.worker_ids
        )
        self._restart_worker(sim_cell, worker_id)
        return self.fault_rng.random() < 0.5

    def _deliver_answer(
        self, delay_s, owner, worker_id, order, answer, sent_at=0.0
    ) -> None:
        answer = answer or OrderAnswer(OrderResult.NO_ANSWER)
        self.schedule_event(
            self.now + delay_s,
            lambda: owner.receive_answer(worker_id, order, answer, sent_at),
        )

    def _execute_order(self, worker_id: str, order) -> OrderAnswer:
        worker = self.workers[worker_id]
        if isinstance(order, StartOrder):
            return worker.start(order, self.now, self._plan_run)
        if isinstance(order, StopOrder):
            return worker.stop(order, self.now)
        if isinstance(order, PaceOrder):
            return OrderAnswer(OrderResult.ACCEPTED, worker.clock_ms(self.now))
        return worker.hold(order, self.now)

    def _plan_run(self, task: TaskKey, run: int) -> tuple[float, RunEnd]:
        fails_often = int(task.submission_id, 16) % 5 == 0
        fails = self.rng.random() < (0.6 if fails_often else 0.1)
        return self.rng.uniform(0.2, 4.0), RunEnd.FAILED if fails else RunEnd.DONE

    def schedule_event(self, at: float, action) -> None:
        """Call ``action`` at a time."""
        self.n_events += 1
        heapq.heappush(self.queue, (at, self.n_events, action))

    def simulate(self, length_s: float, fault_free_s: float = 40.0) -> None:
        """Inject faults for ``length_s``, then run ``fault_free_s`` without any."""
        end = self.now + length_s + fault_free_s
        while self.now < end:
            self.now += TICK_S
            self.checker.now = self.now
            for sim_cell in self.cell_by_id.values():
                self._inject_faults(
                    sim_cell, is_fault_free=self.now >= end - fault_free_s
                )
            while self.queue and self.queue[0][0] <= self.now:
                heapq.heappop(self.queue)[2]()
            for worker in self.workers.values():
                worker.advance(self.now)
            for sim_cell in self.cell_by_id.values():
                for owner in sim_cell.owners:
                    owner.step()
            self.observe()

    def observe(self) -> None:
        """Observe the state after each tick; histories with more checks use it."""

    def _inject_faults(self, sim_cell: SimCell, *, is_fault_free: bool) -> None:
        owner = sim_cell.owner
        if is_fault_free:
            owner.is_partitioned = False
            owner.unreachable.clear()
            return
        draw = self.rng.random()
        if draw < 0.02:
            self.submit()
        elif draw < 0.023:
            self._fail_owner(sim_cell)
        elif draw < 0.026:
            self._restart_worker(sim_cell, self.rng.choice(sim_cell.worker_ids))
        elif draw < 0.030:
            owner.unreachable ^= {self.rng.choice(sim_cell.worker_ids)}
        elif draw < 0.032:
            owner.is_partitioned = not owner.is_partitioned

    def _restart_worker(self, sim_cell: SimCell, worker_id: str) -> None:
        """Crash a worker, and list its next incarnation after a delay.

        The crash ends the holds of all owners that reach it. An owner may send orders
        before it learns of that, or of the restart from the list or from a report.
        """
        worker = self.workers[worker_id]
        worker.crash(self.now)
        for owner in sim_cell.owners:
            if worker_id not in owner.unreachable:
                self.schedule_event(
                    self.now + self.fault_rng.uniform(0.0, 0.06) + self.news_delay_s(),
                    lambda owner=owner: owner.cell.on_hold_failed(worker_id, self.now),
                )
        entry = replace(worker.entry, started_at_ms=worker.started_at_ms)
        self.schedule_event(
            self.now + self.fault_rng.uniform(0.0, 1.0),
            lambda: self._list_worker(sim_cell, entry),
        )

    def news_delay_s(self) -> float:
        """Return how much later than usual an owner notices a worker's restart."""
        return 0.0

    def _list_worker(self, sim_cell: SimCell, entry: WorkerEntry) -> None:
        """List a worker's incarnation, to a partitioned owner after the partition."""
        worker = self.workers[entry.worker_id]
        if entry.started_at_ms > worker.entry.started_at_ms:
            worker.entry = entry
        owner = sim_cell.owner
        if owner.is_out_of_touch:
            self.schedule_event(
                self.now + 0.5, lambda: self._list_worker(sim_cell, entry)
            )
            return
        owner.cell.list_worker(worker.entry, self.now)

    def _fail_owner(self, sim_cell: SimCell) -> None:
        is_dead = self.rng.random() < 0.5
        earlier = sim_cell.owner
        if is_dead:
            earlier.is_dead = True
        elif self.has_unaware_owners:
            earlier.is_unaware = True
            learns_at = self.now + self.fault_rng.uniform(0.0, MAX_UNAWARE_S)
            self.schedule_event(
                learns_at, lambda: setattr(earlier, "is_unaware", False)
            )
        else:
            earlier.is_partitioned = True
        self.take_over(sim_cell, is_dead=is_dead)
        if self.has_unaware_owners:
            sim_cell.owner.unreachable.add(self.fault_rng.choice(sim_cell.worker_ids))

    def unfinished_submissions(self) -> list[str]:
        """Return the submissions that have not ended according to their home cell."""
        ended = (SubmissionState.DONE, SubmissionState.FAILED)
        return [
            submission_id
            for submission_id, home in self.home_by_id.items()
            if self.cell_by_id[home].owner.cell.state_of(submission_id) not in ended
        ]

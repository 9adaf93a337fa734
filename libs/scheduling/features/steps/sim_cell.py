"""Owners, workers, a store and a faulty network in logical time.

The owners decide with the real ``Cell``; everything around it is simulated.
"""

import heapq
import random
from dataclasses import dataclass, field

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
    Cell,
    CellRoom,
    LeaseTimes,
    MoveProposal,
    PairTable,
    Progress,
    TaskMove,
    decode_progress,
)
from berylcleat.standins import TaskWorker

TICK_S = 0.05
HOLD_PERIOD_S = 0.4
QUEUE = QueuePolicy("q", "svc", max_attempts=3, stretch=2.0, objective_ms=1000)
TIMES = LeaseTimes(worker_lease_s=5.0, max_lease_s=6.0, owner_limit_s=12.0)


@dataclass(slots=True)
class Ledger:
    """Hold what truly happened, and every broken promise."""

    steps_by_id: dict = field(default_factory=dict)
    running: dict[TaskKey, list[str]] = field(default_factory=dict)
    done: set[TaskKey] = field(default_factory=set)
    noted: set[TaskKey] = field(default_factory=set)
    n_failed: dict[TaskKey, int] = field(default_factory=dict)
    recorded: dict[tuple[str, str], Progress] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)
    n_starts: int = 0

    def on_start(self, task: TaskKey, run: int, worker_id: str, now: float) -> None:
        """Check a run that has just begun."""
        self.n_starts += 1
        others = self.running.setdefault(task, [])
        if others:
            self.broken.append(
                f"{now:.2f}: {task} runs twice, on {others}, {worker_id}"
            )
        others.append(worker_id)
        if task in self.noted:
            self.broken.append(f"{now:.2f}: {task} starts after its end was noted")
        steps = self.steps_by_id[task.submission_id]
        for earlier in steps[task.step].after:
            for index in range(steps[earlier].n_tasks):
                if TaskKey(task.submission_id, 0, earlier, index) not in self.done:
                    self.broken.append(
                        f"{now:.2f}: {task} starts before step {earlier}"
                    )
        if self.n_failed.get(task, 0) >= QUEUE.max_attempts:
            self.broken.append(f"{now:.2f}: {task} starts after its attempts")

    def on_end(self, task: TaskKey, worker_id: str, end: RunEnd | None) -> None:
        """Note a run's end; None stands for a crash."""
        self.running[task].remove(worker_id)
        if end is RunEnd.DONE:
            self.done.add(task)

    def note_record(self, cell_id: str, write, progress: Progress) -> None:
        """Note what a cell's owner has recorded of a submission."""
        self.recorded[(cell_id, write.submission_id)] = progress

    def _is_recorded(self, task: TaskKey) -> bool:
        return any(
            progress.is_done(task) or progress.final_state is not None
            for (_, submission_id), progress in self.recorded.items()
            if submission_id == task.submission_id
        )

    def on_acknowledged(self, end) -> None:
        """Check that an end was recorded before its worker forgets it."""
        if end.end is RunEnd.FAILED:
            self.n_failed[end.task] = self.n_failed.get(end.task, 0) + 1
        if end.end is not RunEnd.DONE:
            return
        self.noted.add(end.task)
        # A submission that has failed no longer needs what its other tasks did.
        if not self._is_recorded(end.task):
            self.broken.append(f"{end.task} acknowledged before it was recorded")


class SimPlace:
    """What the store keeps of one cell, its workers and all its owners so far."""

    def __init__(self, cell_id: str, worker_ids: tuple[str, ...]):
        self.cell_id = cell_id
        self.worker_ids = worker_ids
        self.epoch = 0
        self.rows: dict[str, bytes] = {}
        self.worker_rows: tuple[WorkerEntry, ...] = ()
        self.owners: list[SimOwner] = []

    @property
    def owner(self) -> "SimOwner":
        """Return the newest owner."""
        return self.owners[-1]


class SimOwner:
    """One host that owns a cell under one epoch."""

    def __init__(self, sim: "Simulation", place: SimPlace, settled_at: float, workers):
        self.sim = sim
        self.place = place
        self.epoch = place.epoch
        self.confirmed_at = sim.now
        self.is_dead = False
        self.is_cut = False
        self.unreachable: set[str] = set()
        self.cell = sim.make_cell(place, settled_at, workers)
        self.next_hold: dict[str, float] = {}
        self.must_look: dict[str, bool] = {}
        self.answered_life: dict[str, int] = {}
        self.unlearnt: set[str] = set()

    def step(self) -> None:
        """Do what is due."""
        now = self.sim.now
        if self.is_dead or self.cell.is_fenced_out:
            return
        if not self.is_cut:
            self.confirmed_at = now
            while self.unlearnt:
                self.learn(self.unlearnt.pop())
            if self.place.epoch != self.epoch:
                self.is_dead = True
                return
            self._record()
            self._carry()
        if now - self.confirmed_at >= TIMES.owner_limit_s:
            return
        for worker_id in self.cell.worker_by_id:
            if now >= self.next_hold.get(worker_id, 0.0):
                self.next_hold[worker_id] = now + HOLD_PERIOD_S
                self._hold(worker_id)
        for item in self.cell.plan(now, 0.0):
            self.sim.send(self, item.worker_id, item.order)

    def _hold(self, worker_id: str) -> None:
        view = self.cell.worker_by_id[worker_id]
        must_look = self.must_look.get(worker_id, True) or not view.is_fenced
        self.must_look[worker_id] = True
        if must_look:
            self.sim.send(self, worker_id, HoldOrder(self.epoch, 0, None, 0))
            return
        if self.sim.workers[worker_id].started_at_ms != self.answered_life[worker_id]:
            # The connection that answered last has gone with that life.
            return
        until = self.cell.lease_until_ms(view, self.sim.now)
        order = HoldOrder(self.epoch, view.acked_number, until, 0)
        self.sim.send(self, worker_id, order)

    def _record(self) -> None:
        batch = self.cell.take_batch()
        for write in batch.writes:
            self.place.rows[write.submission_id] = write.value
            progress = decode_progress(write.submission_id, write.value)
            self.sim.ledger.note_record(self.place.cell_id, write, progress)
        self.cell.on_recorded(batch)
        if self.cell.must_record_workers():
            self.place.worker_rows = tuple(
                view.entry for view in self.cell.worker_by_id.values()
            )
            self.cell.on_workers_recorded(frozenset(self.cell.worker_by_id))

    def _carry(self) -> None:
        """Move stuck tasks, and report the ends of guests."""
        if self.sim.rng.random() > 0.2:
            return
        rooms = self.sim.rooms(self.place)
        for proposal in self.cell.propose_moves(rooms, self.sim.now):
            self.sim.commit_move(self, proposal)
        for submission_id, ends in self.cell.guest_ends().items():
            home = self.sim.place_by_id[self.sim.home_by_id[submission_id]].owner
            if home.is_dead or home.is_cut:
                continue
            if home.cell.on_guest_ends(submission_id, ends, self.sim.now):
                self.cell.on_guest_ends_confirmed(submission_id, ends, self.sim.now)

    def learn(self, submission_id: str) -> None:
        """Take in a submission and its moves from the store's feed."""
        if self.is_dead or self.cell.is_fenced_out:
            return
        if self.is_cut:
            self.unlearnt.add(submission_id)
            return
        self.sim.add_to(self.cell, self.place, submission_id, inherited=False)

    def answer(
        self, worker_id: str, order, answer: OrderAnswer, sent_at: float
    ) -> None:
        """Take in an answer, or its loss."""
        now = self.sim.now
        if self.is_dead or worker_id not in self.cell.worker_by_id:
            return
        if isinstance(order, StartOrder):
            self.cell.on_start_answer(worker_id, order, answer, now)
        elif isinstance(order, StopOrder):
            self.cell.on_stop_answer(worker_id, order, answer, now)
        elif answer.result is OrderResult.ACCEPTED:
            self.must_look[worker_id] = False
            self.answered_life[worker_id] = answer.report.started_at_ms
            self.cell.on_report(worker_id, answer.report, sent_at, now)
        elif answer.result is OrderResult.FENCED:
            self.cell.on_fenced(worker_id)


class Simulation:
    """Play one seeded history."""

    def __init__(self, random_state: int, without: str = "", n_cells: int = 1):
        self.rng = random.Random(random_state)
        self.without = without
        self.now = 0.0
        self.ledger = Ledger()
        self.home_by_id: dict[str, str] = {}
        self.submission_by_id: dict[str, Submission] = {}
        self.moves_by_id: dict[str, dict[TaskKey, TaskMove]] = {}
        self.workers: dict[str, TaskWorker] = {}
        self.place_by_id: dict[str, SimPlace] = {}
        self.queue: list = []
        self.n_sent = 0
        n_workers = 4 if n_cells == 1 else 2
        for number in range(1, n_cells + 1):
            self._make_place(f"r{number}", n_workers)

    def _make_place(self, cell_id: str, n_workers: int) -> None:
        ids = tuple(f"{cell_id}-w{number}" for number in range(n_workers))
        for worker_id in ids:
            self.workers[worker_id] = self._make_worker(worker_id, cell_id)
        place = SimPlace(cell_id, ids)
        self.place_by_id[cell_id] = place
        self.take_over(place, is_dead=True)

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
        rate = self.rng.choice((0.98, 1.0, 1.02))
        return TaskWorker(entry, self.ledger.steps_by_id, self.ledger, rate)

    def make_cell(self, place: SimPlace, settled_at: float, workers) -> Cell:
        """Return a new owner's cell with all that is recorded."""
        epoch = place.epoch
        cell = Cell(
            place.cell_id, epoch, TIMES, self.now, settled_at, workers, PairTable()
        )
        for submission_id in self.submission_by_id:
            self.add_to(cell, place, submission_id, inherited=epoch > 1)
        for worker_id in place.worker_ids:
            cell.list_worker(self.workers[worker_id].entry, self.now)
        return cell

    def add_to(
        self, cell: Cell, place: SimPlace, submission_id: str, *, inherited: bool
    ) -> None:
        """Tell a cell of a submission that has tasks there, and of its moves."""
        moves = self.moves_by_id.get(submission_id, {})
        is_home = self.home_by_id[submission_id] == place.cell_id
        is_guest = any(move.cell_id == place.cell_id for move in moves.values())
        if not (is_home or is_guest or submission_id in cell.book.by_id):
            return
        data = place.rows.get(submission_id)
        progress = decode_progress(submission_id, data) if data else Progress()
        cell.add_submission(
            self.submission_by_id[submission_id],
            progress,
            self.now,
            self.now,
            inherited=inherited,
            is_home=is_home,
        )
        cell.update_moves(submission_id, moves, self.now)

    def take_over(self, place: SimPlace, *, is_dead: bool) -> None:
        """Let a new owner take a cell."""
        place.epoch += 1
        wait_s = TIMES.takeover_wait_s(is_dead) if place.epoch > 1 else 0.0
        workers = () if self.without == "recorded workers" else place.worker_rows
        if self.without == "wait for an earlier owner":
            wait_s = 0.0
        place.owners.append(SimOwner(self, place, self.now + wait_s, workers))

    def rooms(self, own: SimPlace) -> tuple[CellRoom, ...]:
        """Return the room of the other cells."""
        return tuple(
            CellRoom(place.cell_id, "svc", self._free(place), (), 0)
            for place in self.place_by_id.values()
            if place is not own
        )

    def _free(self, place: SimPlace) -> int:
        views = place.owner.cell.worker_by_id.values()
        return sum(view.free().cpu_millis for view in views)

    def commit_move(self, owner: SimOwner, proposal: MoveProposal) -> None:
        """Record a move now or late, as long as its owner still owns the cell."""
        known = dict(self.moves_by_id.get(proposal.submission_id, {}))
        delay_s = self.rng.choice((0.01, 0.02, 0.05, 3.0))

        def commit() -> None:
            current = self.moves_by_id.get(proposal.submission_id, {})
            is_owner = owner.place.epoch == owner.epoch or (
                self.without == "condition on the owner"
            )
            if not is_owner or current != known:
                self._settle(owner, proposal)
                return
            self.moves_by_id[proposal.submission_id] = {
                **current,
                **proposal.move_by_task,
            }
            self._settle(owner, proposal)
            self._tell(proposal.submission_id)

        self._push(self.now + delay_s, commit)

    def _settle(self, owner: SimOwner, proposal: MoveProposal) -> None:
        """Tell an owner the outcome of its move as soon as the store answers it."""
        if owner.is_cut:
            self._push(self.now + 0.5, lambda: self._settle(owner, proposal))
            return
        owner.learn(proposal.submission_id)
        owner.cell.on_move_settled(proposal)

    def _tell(self, submission_id: str) -> None:
        """Let every owner hear of a submission, each after a while."""
        for place in self.place_by_id.values():
            for owner in place.owners:
                if not owner.is_dead:
                    delay_s = self.rng.uniform(0.0, 0.5)
                    self._push(
                        self.now + delay_s,
                        lambda owner=owner: owner.learn(submission_id),
                    )

    def submit(self) -> None:
        """Accept a submission of two steps."""
        submission_id = f"{len(self.submission_by_id):016x}"
        demand = TaskDemand(self.rng.choice((500, 1500)), 500, 0)
        first = Step(self.rng.randint(1, 4), demand, estimate_s=1.0)
        second = Step(self.rng.randint(1, 3), demand, estimate_s=1.0, after=(0,))
        submission = Submission(submission_id, QUEUE, "s", (first, second))
        self.ledger.steps_by_id[submission_id] = submission.steps
        self.submission_by_id[submission_id] = submission
        self.home_by_id[submission_id] = self.rng.choice(list(self.place_by_id))
        self._tell(submission_id)

    def send(self, owner: SimOwner, worker_id: str, order) -> None:
        """Put an order on its way: in time, late, lost, or with a lost answer."""
        fate = self.rng.random()
        delay_s = self.rng.uniform(0.001, 0.06)
        if worker_id in owner.unreachable:
            self._later(1.0, owner, worker_id, order, None)
            return
        if fate < 0.06:
            # Carried out in time or late, and answered to nobody.
            late_s = delay_s if fate < 0.03 else self.rng.uniform(1.0, 9.0)
            self._push_order(late_s, worker_id, order)
            self._later(1.0, owner, worker_id, order, None)
            return
        sent_at = self.now
        life_ms = self.workers[worker_id].started_at_ms
        self._push(
            self.now + delay_s,
            lambda: self._exchange(owner, worker_id, order, sent_at, life_ms),
        )

    def _push_order(self, delay_s: float, worker_id: str, order) -> None:
        """Let a worker carry out an order later, unless it crashes before."""
        worker = self.workers[worker_id]
        life_ms = worker.started_at_ms

        def carry_out() -> None:
            if worker.started_at_ms == life_ms:
                self._carry_out(worker_id, order)

        self._push(self.now + delay_s, carry_out)

    def _exchange(self, owner, worker_id: str, order, sent_at, life_ms) -> None:
        back_s = self.rng.uniform(0.001, 0.06)
        if self.workers[worker_id].started_at_ms != life_ms:
            self._later(back_s, owner, worker_id, order, None, sent_at)
            return
        answer = self._carry_out(worker_id, order)
        self._later(back_s, owner, worker_id, order, answer, sent_at)

    def _later(self, delay_s, owner, worker_id, order, answer, sent_at=0.0) -> None:
        answer = answer or OrderAnswer(OrderResult.NO_ANSWER)
        self._push(
            self.now + delay_s,
            lambda: owner.answer(worker_id, order, answer, sent_at),
        )

    def _carry_out(self, worker_id: str, order) -> OrderAnswer:
        worker = self.workers[worker_id]
        if isinstance(order, StartOrder):
            return worker.start(order, self.now, self._plan_run)
        if isinstance(order, StopOrder):
            return worker.stop(order, self.now)
        return worker.hold(order, self.now)

    def _plan_run(self, task: TaskKey, run: int) -> tuple[float, RunEnd]:
        is_poor = int(task.submission_id, 16) % 5 == 0
        fails = self.rng.random() < (0.6 if is_poor else 0.1)
        return self.rng.uniform(0.2, 4.0), RunEnd.FAILED if fails else RunEnd.DONE

    def _push(self, at: float, action) -> None:
        self.n_sent += 1
        heapq.heappush(self.queue, (at, self.n_sent, action))

    def play(self, length_s: float, settle_s: float = 40.0) -> None:
        """Play faults for ``length_s`` seconds, then calm for ``settle_s``."""
        end = self.now + length_s + settle_s
        while self.now < end:
            self.now += TICK_S
            for place in self.place_by_id.values():
                self._disturb(place, is_calm=self.now >= end - settle_s)
            while self.queue and self.queue[0][0] <= self.now:
                heapq.heappop(self.queue)[2]()
            for worker in self.workers.values():
                worker.advance(self.now)
            for place in self.place_by_id.values():
                for owner in place.owners:
                    owner.step()

    def _disturb(self, place: SimPlace, *, is_calm: bool) -> None:
        owner = place.owner
        if is_calm:
            owner.is_cut = False
            owner.unreachable.clear()
            return
        draw = self.rng.random()
        if draw < 0.02:
            self.submit()
        elif draw < 0.023:
            self._lose_owner(place)
        elif draw < 0.026:
            self.workers[self.rng.choice(place.worker_ids)].crash(self.now)
        elif draw < 0.030:
            owner.unreachable ^= {self.rng.choice(place.worker_ids)}
        elif draw < 0.032:
            owner.is_cut = not owner.is_cut

    def _lose_owner(self, place: SimPlace) -> None:
        is_dead = self.rng.random() < 0.5
        if is_dead:
            place.owner.is_dead = True
        else:
            place.owner.is_cut = True
        self.take_over(place, is_dead=is_dead)

    def unfinished(self) -> list[str]:
        """Return submissions that their home doesn't show as ended."""
        ended = (SubmissionState.DONE, SubmissionState.FAILED)
        return [
            submission_id
            for submission_id, home in self.home_by_id.items()
            if self.place_by_id[home].owner.cell.state_of(submission_id) not in ended
        ]

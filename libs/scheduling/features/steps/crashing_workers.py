"""Cells whose workers crash, in logical time: workers, store and takeovers."""

from dataclasses import dataclass, field

from cell_loop import make_entry

from berylcleat.model import QueuePolicy, Step, Submission, TaskDemand, TaskKey
from berylcleat.ports import (
    EndedTask,
    OrderAnswer,
    OrderResult,
    RunEnd,
    RunningTask,
    StartOrder,
    StopOrder,
    WorkerEntry,
    WorkerReport,
)
from berylcleat.scheduling import (
    CellHeadroom,
    CellScheduler,
    CrashEvidence,
    InterferenceModel,
    LeaseTimes,
    Progress,
    RecordBatch,
    decode_progress,
    encode_progress,
)

STEP_S = 0.1
HOLD_PERIOD_S = 0.4
ANSWER_TIMEOUT_S = 1.0
TIMES = LeaseTimes()
QUEUE = QueuePolicy("q", "svc", max_attempts=3)
DEADLY_ID = "d" * 16
DEADLY_TASK = TaskKey(DEADLY_ID, 0, 0, 0)


@dataclass
class CrashingWorker:
    """Worker at one address; ``worker_id`` may change with each incarnation."""

    address: str
    worker_id: str
    started_at_ms: int = 1
    clock_from: float = 0.0
    down_until: float = 0.0
    silent_until: float = 0.0
    epoch: int = 0
    lease_until: float = 0.0
    run_by_task: dict[TaskKey, tuple[int, float]] = field(default_factory=dict)
    highest_run: dict[TaskKey, int] = field(default_factory=dict)
    ended: list[EndedTask] = field(default_factory=list)
    n_ended: int = 0

    def entry(self) -> WorkerEntry:
        """Return the entry on the platform's list."""
        return make_entry(
            self.worker_id,
            TaskDemand(16000, 64000),
            address=self.address,
            started_at_ms=self.started_at_ms,
        )

    def clock_ms(self, now: float) -> int:
        """Return the worker's clock, which starts anew with each incarnation."""
        return int((now - self.clock_from) * 1000) + 1

    def end(self, task: TaskKey, end: RunEnd) -> None:
        """End a run and list its end."""
        run, _ = self.run_by_task.pop(task)
        self.n_ended += 1
        self.highest_run[task] = run
        self.ended.append(EndedTask(self.n_ended, task, run, end, ""))


class CrashingCells:
    """Cell with workers that the deadly task crashes; the owner and cell may change."""

    def __init__(self, n_workers: int, *, is_long_running: bool = False):
        self.now = 1.0
        self.workers = [CrashingWorker(f"a{n}:1", f"w{n}") for n in range(n_workers)]
        self.keeps_id = False
        self.answers_before_crash = True
        self.down_s = 3.2
        self.is_crash_silent = False
        self.takeover_s = None
        self.moves_after_crash = False
        self.n_losses_left = 0
        self.lost_with_owner = "no worker"
        self.n_crashes_left = 1000
        self.crash_age_s = 0.0
        self.silent_s = 0.0
        self.n_starts = 0
        self.n_ids = n_workers
        self.epoch = 0
        self.progress_by_id: dict[str, bytes] = {}
        # How long a record takes, and the one under way.
        self.record_s = 0.0
        self.recorded_at = 0.0
        self.pending_batch: RecordBatch | None = None
        self.recorded_workers: tuple[WorkerEntry, ...] = ()
        self.move_by_task = {}
        self.next_hold_at: dict[str, float] = {}
        self.pending_answers: list = []
        self.takeover_at = None
        step = Step(1, TaskDemand(1000, 100), is_long_running=is_long_running)
        deadly = Submission(DEADLY_ID, QUEUE, "s", (step,))
        self.submission_by_id = {DEADLY_ID: deadly}
        self.cell_id = "r1"
        self.take_over()

    def add_others(self, n: int) -> None:
        """Add submissions of four short tasks each."""
        for number in range(n):
            submission_id = f"{number:016x}"
            step = Step(4, TaskDemand(1000, 100), estimate_s=1.0)
            submission = Submission(submission_id, QUEUE, "s", (step,))
            self.submission_by_id[submission_id] = submission
            self.add_submission(submission, inherited=False)

    def add_other(self, number: int, cpu_millis: int) -> None:
        """Add a submission of one short task."""
        step = Step(1, TaskDemand(cpu_millis, 100), estimate_s=1.0)
        submission = Submission(f"{number:016x}", QUEUE, "s", (step,))
        self.submission_by_id[submission.submission_id] = submission
        self.add_submission(submission, inherited=False)

    def add_suspects(self, n: int, step: Step) -> list[str]:
        """Store submissions of a task each that may have crashed a worker."""
        ids = [f"c{number:015x}" for number in range(n)]
        for submission_id in ids:
            crashes = {TaskKey(submission_id, 0, 0, 0): {1: CrashEvidence.POSSIBLE}}
            progress = Progress(crashed_runs_by_task=crashes)
            self.progress_by_id[submission_id] = encode_progress(progress)
            submission = Submission(submission_id, QUEUE, "s", (step,))
            self.submission_by_id[submission_id] = submission
        return ids

    def add_submission(self, submission: Submission, *, inherited: bool) -> None:
        """Let the owner track a submission, with the progress that is recorded."""
        data = self.progress_by_id.get(submission.submission_id)
        progress = (
            decode_progress(submission.submission_id, data) if data else Progress()
        )
        self.cell.add_submission(
            submission,
            progress,
            self.now,
            self.now,
            inherited=inherited,
            is_home=self.cell_id == "r1",
            move_by_task=self.move_by_task,
        )

    def take_over(self) -> None:
        """Replace the owner, which has died."""
        self.epoch += 1
        settled_at = self.now + (TIMES.takeover_wait_s(True) if self.epoch > 1 else 0)
        self.cell = CellScheduler(
            self.cell_id,
            self.epoch,
            TIMES,
            self.now,
            settled_at,
            self.recorded_workers,
            InterferenceModel(),
        )
        self.next_hold_at.clear()
        self.pending_answers.clear()
        self.pending_batch = None
        for submission in self.submission_by_id.values():
            self.add_submission(submission, inherited=self.epoch > 1)

    def move_to_next_cell(self) -> None:
        """Move the deadly task to a cell of its own, with workers of its own."""
        headroom = CellHeadroom(f"{self.cell_id}+", "svc", 64000, (), 0)
        proposals = self.cell.propose_moves((headroom,), self.now)
        if not proposals:
            return
        self.move_by_task = proposals[0].move_by_task
        self.cell_id = headroom.cell_id
        self.progress_by_id.clear()
        self.recorded_workers = ()
        self.epoch = 0
        for worker in self.workers:
            self._revive(worker)
            self._boot(worker)
        self.take_over()

    def advance(self, seconds: float) -> None:
        """Play for some seconds."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            self._step_workers()
            if self.takeover_at is not None and self.now >= self.takeover_at:
                self.takeover_at = None
                self.take_over()
            self._list_workers()
            self._record()
            if self.n_losses_left:
                self._lose_owner_before_start()
            self._deliver_answers()
            for worker_id in tuple(self.cell.worker_by_id):
                self._hold(worker_id)
            if self.moves_after_crash and any(w.down_until for w in self.workers):
                self.move_to_next_cell()
            for item in self.cell.plan(self.now, 0.0):
                self._execute(item.worker_id, item.order)

    def state(self, submission_id: str = DEADLY_ID):
        """Return the state that the owner shows of a submission."""
        return self.cell.state_of(submission_id)

    def _step_workers(self) -> None:
        for worker in self.workers:
            if worker.down_until and self.now >= worker.down_until:
                self._revive(worker)
            for task, (_, ends_at) in tuple(worker.run_by_task.items()):
                if self.crash_age_s and self.now >= ends_at:
                    self._crash(worker)
                    break
                if self.now >= ends_at:
                    worker.end(task, RunEnd.DONE)
            if self.now > worker.lease_until:
                for task in tuple(worker.run_by_task):
                    worker.end(task, RunEnd.LAPSED)

    def _crash(self, worker: CrashingWorker) -> None:
        self.n_crashes_left -= 1
        worker.run_by_task.clear()
        worker.ended.clear()
        worker.down_until = self.now + self.down_s
        if not self.is_crash_silent:
            self.cell.on_hold_failed(worker.worker_id, self.now)
        if self.takeover_s is not None:
            self.takeover_at = self.now + self.takeover_s

    def _revive(self, worker: CrashingWorker) -> None:
        worker.down_until = 0.0
        if not self.keeps_id:
            worker.worker_id = f"w{self.n_ids}"
            self.n_ids += 1
        self._boot(worker)

    def _boot(self, worker: CrashingWorker) -> None:
        worker.started_at_ms += 1000
        worker.clock_from = self.now
        worker.epoch = worker.n_ended = 0
        worker.highest_run.clear()
        worker.run_by_task.clear()
        worker.ended.clear()

    def _list_workers(self) -> None:
        listed = {w.worker_id: w for w in self.workers if not w.down_until}
        for worker in listed.values():
            self.cell.list_worker(worker.entry(), self.now)
        for worker_id in self.cell.worker_by_id.keys() - listed.keys():
            if not self.keeps_id:
                self.cell.unlist_worker(worker_id)

    def _record(self) -> None:
        if self.cell.must_record_workers():
            views = self.cell.worker_by_id
            self.recorded_workers = tuple(view.entry for view in views.values())
            self.cell.on_workers_recorded(frozenset(views))
        if not self.record_s:
            self._store(self.cell.take_batch())
        elif self.pending_batch is None:
            self.pending_batch = self.cell.take_batch()
            self.recorded_at = self.now + self.record_s
        elif self.now >= self.recorded_at:
            self._store(self.pending_batch)
            self.pending_batch = None

    def _store(self, batch: RecordBatch) -> None:
        for write in batch.writes:
            self.progress_by_id[write.submission_id] = write.value
        self.cell.on_recorded(batch)

    def _lose_owner_before_start(self) -> None:
        """Replace the owner right after it has recorded the deadly task's next run."""
        data = self.progress_by_id.get(DEADLY_ID)
        progress = decode_progress(DEADLY_ID, data) if data else Progress()
        starts = {run: s for (_, run), s in progress.presumed_start_by_run.items()}
        if not starts or DEADLY_TASK in self.cell.run_by_task:
            return
        run_worker_id = starts[max(starts)].worker_id
        self.n_losses_left -= 1
        for worker in [w for w in self.workers if not w.down_until]:
            is_run_worker = worker.worker_id == run_worker_id
            if self.lost_with_owner == ("its worker" if is_run_worker else "another"):
                self._revive(worker)
                break
        self.take_over()

    def _worker_at(self, worker_id: str) -> CrashingWorker:
        address = self.cell.worker_by_id[worker_id].entry.address
        return next(w for w in self.workers if w.address == address)

    def _hold(self, worker_id: str) -> None:
        if self.now < self.next_hold_at.get(worker_id, 0.0):
            return
        self.next_hold_at[worker_id] = self.now + HOLD_PERIOD_S
        worker = self._worker_at(worker_id)
        view = self.cell.worker_by_id[worker_id]
        if worker.down_until or self.now < worker.silent_until:
            self.cell.on_hold_failed(worker_id, self.now)
            return
        if worker.worker_id != worker_id:
            self.cell.on_hold_failed(worker_id, self.now)
            self.cell.on_other_incarnation(worker_id, self.now)
            if self.cell.can_forget(worker_id):
                del self.cell.worker_by_id[worker_id]
            return
        if view.incarnation_ms == worker.started_at_ms and view.has_seen_epoch:
            self._acknowledge(worker, view)
        worker.epoch = self.epoch
        clock_ms = worker.clock_ms(self.now)
        running = tuple(
            RunningTask(task, run, "", 100)
            for task, (run, _) in worker.run_by_task.items()
        )
        report = WorkerReport(
            clock_ms, worker.started_at_ms, running, tuple(worker.ended)
        )
        self.cell.on_report(worker_id, report, self.now, self.now)

    def _acknowledge(self, worker: CrashingWorker, view) -> None:
        until_ms = self.cell.lease_until_ms(view, self.now)
        worker.lease_until = worker.clock_from + until_ms / 1000
        worker.ended = [end for end in worker.ended if end.number > view.acked_number]

    def _execute(self, worker_id: str, order) -> None:
        if worker_id not in self.cell.worker_by_id:
            # The owner has closed its connections to this worker.
            return
        worker = self._worker_at(worker_id)
        is_reached = not worker.down_until and self.now >= worker.silent_until
        if worker.worker_id != worker_id or not is_reached:
            self._answer(worker_id, order, OrderResult.NOT_SENT)
        elif isinstance(order, StopOrder):
            worker.highest_run[order.task] = max(
                worker.highest_run.get(order.task, 0), order.run
            )
            if worker.run_by_task.get(order.task, (0, 0))[0] == order.run:
                worker.end(order.task, RunEnd.STOPPED)
            self._answer(worker_id, order, OrderResult.ACCEPTED)
        elif self.cell.may_send_start(order, self.now):
            self._start(worker, worker_id, order)

    def _start(self, worker: CrashingWorker, worker_id: str, order) -> None:
        if order.run <= worker.highest_run.get(order.task, 0):
            self._answer(worker_id, order, OrderResult.OLD_RUN)
            return
        worker.lease_until = worker.clock_from + order.deadline_ms / 1000
        length_s = self.crash_age_s or 1.0
        worker.run_by_task[order.task] = (order.run, self.now + length_s)
        result = OrderResult.ACCEPTED
        if order.task == DEADLY_TASK:
            self.n_starts += 1
            if self.silent_s:
                worker.silent_until = self.now + self.silent_s
                worker.run_by_task[order.task] = (order.run, self.now + 1000)
                result = OrderResult.NO_ANSWER
            elif not self.crash_age_s and self.n_crashes_left:
                self._crash(worker)
                if not self.answers_before_crash:
                    result = OrderResult.NO_ANSWER
        self._answer(worker_id, order, result)

    def _answer(self, worker_id: str, order, result: OrderResult) -> None:
        delay_s = ANSWER_TIMEOUT_S if result is OrderResult.NO_ANSWER else 0.0
        clock_ms = self._worker_at(worker_id).clock_ms(self.now)
        answer = OrderAnswer(result, clock_ms)
        self.pending_answers.append((self.now + delay_s, worker_id, order, answer))
        self._deliver_answers()

    def _deliver_answers(self) -> None:
        due = [item for item in self.pending_answers if item[0] <= self.now]
        for item in due:
            self.pending_answers.remove(item)
            _, worker_id, order, answer = item
            if worker_id not in self.cell.worker_by_id:
                continue
            if isinstance(order, StartOrder):
                self.cell.on_start_answer(worker_id, order, answer, self.now)
            elif isinstance(order, StopOrder):
                self.cell.on_stop_answer(worker_id, order, answer, self.now)

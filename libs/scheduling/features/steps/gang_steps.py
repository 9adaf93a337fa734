from collections import Counter
from dataclasses import replace

from behave import given, then, when
from cell_loop import make_entry

from berylcleat.model import QueuePolicy, Step, Submission, SubmissionState, TaskDemand
from berylcleat.ports import (
    EndedTask,
    OrderAnswer,
    OrderResult,
    RunEnd,
    RunningTask,
    StartOrder,
    StopOrder,
    WorkerReport,
)
from berylcleat.scheduling import (
    CellHeadroom,
    CellScheduler,
    InterferenceModel,
    LeaseTimes,
    Progress,
    RecordBatch,
)

SUBMISSION_ID = "a" * 16
QUEUE = QueuePolicy("q", "svc")


class ScriptedCell:
    """Cell scheduler with simulated workers that a scenario controls.

    With ``settled_at`` the cell was taken over from an owner of all these workers.
    """

    def __init__(
        self,
        n_workers,
        cpu_millis,
        *,
        settled_at=0.0,
        epoch=None,
        expected_finish=False,
    ):
        self.now = 1.0
        self.running = {f"w{n}": {} for n in range(n_workers)}
        self.ended = {worker_id: [] for worker_id in self.running}
        self.started_at_ms = dict.fromkeys(self.running, 1)
        # When the clock of each worker began.
        self.clock_began_at = dict.fromkeys(self.running, 0.0)
        self.silent = set()
        self.unreadable_ends = {}
        self.unreadable_runs = set()
        self.starts = []
        self.stops = []
        capacity = TaskDemand(cpu_millis, 64000)
        entries = tuple(make_entry(worker_id, capacity) for worker_id in self.running)
        self.cell = CellScheduler(
            "r1",
            epoch or (2 if settled_at else 1),
            LeaseTimes(),
            0.0,
            settled_at,
            entries if settled_at else (),
            InterferenceModel(),
            expected_finish=expected_finish,
        )
        for entry in entries:
            self.cell.list_worker(entry, self.now)
        self.cell.on_workers_recorded(frozenset(self.running))

    def submit(
        self,
        *steps,
        submission_id=SUBMISSION_ID,
        queue=QUEUE,
        progress=None,
        accepted_at=None,
        inherited=False,
        is_home=True,
        moves=None,
    ):
        """Add a submission, accepted now if the time isn't given."""
        self.cell.add_submission(
            Submission(submission_id, queue, "s", steps),
            progress or Progress(),
            self.now if accepted_at is None else accepted_at,
            self.now,
            inherited=inherited,
            is_home=is_home,
            move_by_task=moves,
        )

    def step(self, seconds=0.2, *, records=True):
        """Deliver a report of every worker, then collect the scheduler's orders.

        Progress is recorded unless ``records`` is false, but no end is acknowledged.
        """
        self.now += seconds
        if records:
            self.cell.on_recorded(RecordBatch(self.cell.take_batch().writes, {}))
        for worker_id, running in self.running.items():
            if worker_id in self.silent:
                continue
            rows = tuple(
                RunningTask(t, run, "", 100, 0.0) for t, run in running.items()
            )
            ended = tuple(self.ended[worker_id])
            clock_ms = int((self.now - self.clock_began_at[worker_id]) * 1000)
            report = WorkerReport(
                clock_ms,
                self.started_at_ms[worker_id],
                rows,
                ended,
                self.unreadable_ends.get(worker_id, ()),
                has_unreadable_runs=worker_id in self.unreadable_runs,
            )
            self.cell.on_report(worker_id, report, self.now, self.now)
        for item in self.cell.plan(self.now, 0.0):
            if isinstance(item.order, StartOrder):
                self.starts.append(item)
            elif isinstance(item.order, StopOrder):
                self.stops.append(item)

    def accept(self, item):
        self.running[item.worker_id][item.order.task] = item.order.run
        answer = OrderAnswer(OrderResult.ACCEPTED)
        self.cell.on_start_answer(item.worker_id, item.order, answer, self.now)

    def accept_all(self, items):
        for item in items:
            self.accept(item)
        self.step()

    def end(self, item, run_end, checkpoint=""):
        run = self.running[item.worker_id].pop(item.order.task)
        ends = self.ended[item.worker_id]
        ends.append(EndedTask(len(ends) + 1, item.order.task, run, run_end, checkpoint))


@given("a cell with {n:d} workers of {cores:d} cores")
def step_cell(context, n, cores):
    context.scripted_cell = ScriptedCell(n, cores * 1000)
    context.scripted_cell.step()


def submit(context, n, cores, n_attempts):
    step = Step(n, TaskDemand(cores * 1000, 100), is_gang=True, saves_progress=True)
    queue = QueuePolicy("q", "svc", max_attempts=n_attempts)
    scripted_cell = context.scripted_cell
    scripted_cell.submit(step, queue=queue)
    scripted_cell.step()
    context.first_starts = list(scripted_cell.starts)


@when("a gang of {n:d} tasks of {cores:d} cores is added")
def step_submit(context, n, cores):
    submit(context, n, cores, 3)


@when("a gang of {n:d} tasks of {cores:d} cores with {n_attempts:d} attempts is added")
def step_submit_with_attempts(context, n, cores, n_attempts):
    submit(context, n, cores, n_attempts)


@when("one member is rejected")
def step_rejected(context):
    scripted_cell = context.scripted_cell
    rejected, *others = scripted_cell.starts
    answer = OrderAnswer(OrderResult.NO_ROOM)
    scripted_cell.cell.on_start_answer(
        rejected.worker_id, rejected.order, answer, scripted_cell.now
    )
    for item in others:
        scripted_cell.accept(item)
    scripted_cell.step()


@then("the others are stopped")
def step_stopped(context):
    stopped = {item.order.task for item in context.scripted_cell.stops}
    assert stopped == {item.order.task for item in context.first_starts[1:]}, stopped


@when("they have ended")
def step_ended(context):
    scripted_cell = context.scripted_cell
    scripted_cell.starts.clear()
    for item in context.first_starts[1:]:
        scripted_cell.end(item, RunEnd.STOPPED)
    for _ in range(3):
        scripted_cell.step()


@when("one member is reported as done")
def step_done(context):
    end_members(context, 1, RunEnd.DONE)


@when("two members are reported as failed")
def step_failed(context):
    end_members(context, 2, RunEnd.FAILED)


def end_members(context, n, run_end):
    scripted_cell = context.scripted_cell
    scripted_cell.accept_all(context.first_starts)
    for item in context.first_starts[:n]:
        scripted_cell.end(item, run_end)
    scripted_cell.step()


@when("all members are stopped with different checkpoints")
def step_checkpoints(context):
    scripted_cell = context.scripted_cell
    scripted_cell.accept_all(context.first_starts)
    scripted_cell.starts.clear()
    for number, item in enumerate(context.first_starts):
        scripted_cell.end(item, RunEnd.STOPPED, f"c{number}")
    for _ in range(3):
        scripted_cell.step()


@when("another cell has {cores:d} free cores")
def step_other_headroom(context, cores):
    scripted_cell = context.scripted_cell
    headroom = CellHeadroom("r2", "svc", cores * 1000, (), 0, cores * 1000)
    context.proposals = scripted_cell.cell.propose_moves(
        (headroom,), scripted_cell.now + 1.0
    )


@then("{n:d} members are started under one run number")
def step_started(context, n):
    starts = context.scripted_cell.starts
    assert len(starts) == n, starts
    assert len({item.order.run for item in starts}) <= 1, starts


@then("that number is higher than the first")
def step_higher_run_number(context):
    assert context.scripted_cell.starts[0].order.run > context.first_starts[0].order.run


@then("the submission is done")
def step_submission_done(context):
    tracked = context.scripted_cell.cell.submissions.by_id[SUBMISSION_ID]
    assert tracked.progress.final_state is SubmissionState.DONE


@then("the submission is not failed")
def step_not_failed(context):
    tracked = context.scripted_cell.cell.submissions.by_id[SUBMISSION_ID]
    assert tracked.progress.final_state is None


@then("{n:d} members are started from one checkpoint")
def step_started_from_one_checkpoint(context, n):
    starts = context.scripted_cell.starts
    assert len(starts) == n, starts
    checkpoints = {item.order.checkpoint for item in starts}
    assert len(checkpoints) == 1 and checkpoints != {""}, checkpoints


@then("a move of all {n:d} members to that cell is proposed")
def step_move_whole(context, n):
    (proposal,) = context.proposals
    assert len(proposal.move_by_task) == n
    assert {move.cell_id for move in proposal.move_by_task.values()} == {"r2"}


@given("a cell with {n:d} workers of {cores:d} cores in two racks")
def step_two_racks(context, n, cores):
    scripted_cell = context.scripted_cell = ScriptedCell(n, cores * 1000)
    context.rack_by_worker = {}
    for number, view in enumerate(scripted_cell.cell.worker_by_id.values()):
        rack = "r1" if number < n // 2 else "r2"
        view.entry = replace(view.entry, rack=rack)
        context.rack_by_worker[view.entry.worker_id] = rack
    scripted_cell.step()


@when("a gang of {n:d} tasks of {cores:d} cores that needs one rack is added")
def step_submit_same_rack(context, n, cores):
    demand = TaskDemand(cores * 1000, 100)
    context.scripted_cell.submit(Step(n, demand, is_gang=True, same_rack=True))
    context.scripted_cell.step()


@when("{n:d} tasks of {cores:d} cores with their data in the second rack are added")
def step_submit_near(context, n, cores):
    demand = TaskDemand(cores * 1000, 100)
    context.scripted_cell.submit(Step(n, demand, data_rack="r2"))
    context.scripted_cell.step()


@when("{n:d} tasks of {cores:d} cores with their data in the first rack are added")
def step_submit_in_first(context, n, cores):
    step = Step(n, TaskDemand(cores * 1000, 100), data_rack="r1")
    context.scripted_cell.submit(step, submission_id="b" * 16)
    context.scripted_cell.step()


@when(
    "another cell has {n:d} workers of {free:d} free cores in two racks, of {cores:d} "
    "cores each"
)
def step_other_racks(context, n, free, cores):
    context.headroom = CellHeadroom(
        "r2",
        "svc",
        n * free * 1000,
        (),
        0,
        n * cores * 1000,
        (free * 1000,) * n,
        n_workers_by_rack=(n - n // 2, n // 2),
    )


@when("the gang waits for {seconds:d} s")
def step_pass(context, seconds):
    scripted_cell = context.scripted_cell
    scripted_cell.starts.clear()
    context.n_moved = 0
    for _ in range(seconds * 5):
        if hasattr(context, "headroom"):
            proposals = scripted_cell.cell.propose_moves(
                (context.headroom,), scripted_cell.now
            )
            context.n_moved += sum(len(item.move_by_task) for item in proposals)
        scripted_cell.step()


@then("{n:d} members are proposed to move")
def step_members_moved(context, n):
    assert context.n_moved == n, context.n_moved


def count_starts_by_rack(context):
    starts = context.scripted_cell.starts
    return Counter(context.rack_by_worker[item.worker_id] for item in starts)


@then("all of them are started in one rack")
def step_one_rack(context):
    counts = count_starts_by_rack(context)
    assert len(counts) == 1, counts


@then("{n_near:d} of them are started in the second rack and {n_far:d} in the first")
def step_near_first(context, n_near, n_far):
    counts = count_starts_by_rack(context)
    assert (counts["r2"], counts["r1"]) == (n_near, n_far), counts

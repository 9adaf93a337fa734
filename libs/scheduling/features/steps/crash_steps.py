from dataclasses import replace

from behave import given, then, when
from crashing_workers import DEADLY_ID, STEP_S, CrashingCells
from gang_steps import SUBMISSION_ID, ScriptedCell

from berylcleat.model import (
    QueuePolicy,
    Step,
    SubmissionState,
    TaskDemand,
    TaskKey,
)
from berylcleat.ports import OrderAnswer, OrderResult, RunEnd
from berylcleat.scheduling import (
    CrashEvidence,
    Progress,
    RecordBatch,
    decode_progress,
)


@given("{n:d} workers, of which the first crashes once when the task starts there")
def step_crash_once(context, n):
    context.cells = CrashingCells(n)
    context.cells.n_crashes_left = 1


@given("{n:d} workers and a task that crashes them")
def step_deadly(context, n):
    context.cells = CrashingCells(n)


@given("{n:d} workers, a task that crashes them and {n_others:d} other submissions")
def step_deadly_beside_others(context, n, n_others):
    context.cells = CrashingCells(n)
    context.cells.add_others(n_others)


@given(
    "{n:d} workers, of which each falls silent for {seconds:d} seconds when the task "
    "starts there"
)
def step_silent_workers(context, n, seconds):
    context.cells = CrashingCells(n)
    context.cells.silent_s = seconds


@given(
    "{n:d} workers and a long-running task, and each crashes {seconds:d} seconds after "
    "its start"
)
def step_late_crashes(context, n, seconds):
    context.cells = CrashingCells(n, is_long_running=True)
    context.cells.crash_age_s = seconds


@given(
    "{n:d} workers and {n_tasks:d} tasks of an earlier owner that may each have "
    "crashed a worker"
)
def step_inherited_suspects(context, n, n_tasks):
    context.cells = CrashingCells(n)
    context.cells.n_crashes_left = 0
    context.cells.advance(1.0)
    step = Step(1, TaskDemand(1000, 100), estimate_s=1.0)
    context.suspects = context.cells.add_suspects(n_tasks, step)
    context.cells.take_over()


@given(
    "1 worker with room for one task, and a standing task that may have crashed a "
    "worker"
)
def step_suspect_without_room(context):
    cells = CrashingCells(1)
    cells.n_crashes_left = 0
    cells.advance(3.0)
    context.cells = cells
    step = Step(1, TaskDemand(16000, 100), is_long_running=True)
    context.suspects = cells.add_suspects(1, step)
    cells.take_over()


@when("other tasks arrive in each round for {seconds:d} seconds")
def step_others_arrive(context, seconds):
    for number in range(seconds * 10):
        context.cells.add_other(number, cpu_millis=16000)
        context.cells.advance(STEP_S)


@given("a record takes {seconds:g} seconds")
def step_record_time(context, seconds):
    context.cells.record_s = seconds


@then("each of these tasks has started")
def step_suspects_started(context):
    waiting = [
        submission_id
        for submission_id in context.suspects
        if context.cells.state(submission_id) is SubmissionState.QUEUED
    ]
    assert not waiting, f"{len(waiting)} of {len(context.suspects)} wait"


@given("crashed workers are {place}")
def step_return(context, place):
    cells = context.cells
    cells.keeps_id = place == "back under their old id"
    if place == "silent for 9 seconds":
        cells.down_s = 9.0
        cells.is_crash_silent = True


@given("starts before a crash are {answer}")
def step_answer(context, answer):
    context.cells.answers_before_crash = answer == "answered"


@given("another host takes over {seconds:g} seconds after each crash")
def step_takeovers(context, seconds):
    context.cells.takeover_s = seconds


@given("{n:d} owners in turn are lost before the task restarts, and {which} with them")
def step_losses(context, n, which):
    context.cells.n_losses_left = n
    context.cells.lost_with_owner = which


@then("all of these owners were lost")
def step_all_lost(context):
    assert not context.cells.n_losses_left


@given("the task moves to another cell after each crash")
def step_moves(context):
    context.cells.moves_after_crash = True


@when("{seconds:d} seconds are played")
def step_play(context, seconds):
    context.cells.advance(seconds)


@then("the task has been started twice")
def step_twice(context):
    assert context.cells.n_starts == 2, context.cells.n_starts


@then("the task has been started {least:d} to {most:d} times")
def step_n_starts(context, least, most):
    assert least <= context.cells.n_starts <= most, context.cells.n_starts


@then("the submission of the task {verb} {state_name}")
def step_state(context, verb, state_name):
    state = context.cells.state()
    assert state is SubmissionState[state_name.upper()], state


@then("the other submissions are done")
def step_others_done(context):
    cells = context.cells
    states = {i: cells.state(i) for i in cells.submission_by_id if i != DEADLY_ID}
    not_done = {i: s for i, s in states.items() if s is not SubmissionState.DONE}
    assert not not_done, not_done


@given("a gang of 2 tasks with other run numbers, of which one has crashed a worker")
def step_gang(context):
    scripted_cell = context.scripted_cell = ScriptedCell(2, 8000)
    scripted_cell.step()
    step = Step(2, TaskDemand(1000, 100), is_gang=True)
    queue = QueuePolicy("q", "svc", max_attempts=3)
    crashed = TaskKey(SUBMISSION_ID, 0, 0, 0)
    progress = Progress(crashed_runs_by_task={crashed: {4: CrashEvidence.CERTAIN}})
    scripted_cell.submit(step, queue=queue, progress=progress)
    tracked = scripted_cell.cell.submissions.by_id[SUBMISSION_ID]
    tracked.raise_run_floor(TaskKey(SUBMISSION_ID, 0, 0, 1), 7)


@given(
    "{n_workers:d} workers of 8 cores and a gang of {n:d} tasks of 4 cores, of which "
    "{n_crashed:d} may have crashed a worker"
)
def step_gang_with_suspects(context, n_workers, n, n_crashed):
    scripted_cell = context.scripted_cell = ScriptedCell(n_workers, 8000)
    scripted_cell.step()
    step = Step(n, TaskDemand(4000, 100), is_gang=True)
    crashes = {
        TaskKey(SUBMISSION_ID, 0, 0, index): {1: CrashEvidence.POSSIBLE}
        for index in range(n_crashed)
    }
    scripted_cell.submit(step, progress=Progress(crashed_runs_by_task=crashes))
    for task in crashes:
        scripted_cell.cell.submissions.by_id[SUBMISSION_ID].raise_run_floor(task, 1)
    scripted_cell.step(0.1)


@given(
    "{n:d} workers and an earlier owner's step of {n_tasks:d} tasks, one for a worker, "
    "after a worker was lost"
)
def step_inherited_spread(context, n, n_tasks):
    scripted_cell = context.scripted_cell = ScriptedCell(n, 8000)
    scripted_cell.step()
    scripted_cell.cell.crashes.has_lost_worker = True
    step = Step(n_tasks, TaskDemand(1000, 100), max_per_worker=1)
    scripted_cell.submit(step, inherited=True)


@when("{n:d} rounds are planned")
def step_rounds(context, n):
    for _ in range(n):
        context.scripted_cell.step()


@given(
    "{n:d} workers of 8 cores, of which {n_full:d} are full, and a task of {cores:d} "
    "cores that may have crashed a worker"
)
def step_suspect_beside_full(context, n, n_full, cores):
    scripted_cell = context.scripted_cell = ScriptedCell(n, 8000)
    scripted_cell.step()
    full = Step(n_full, TaskDemand(8000, 100), is_long_running=True)
    scripted_cell.submit(full, submission_id="f" * 16)
    scripted_cell.step()
    scripted_cell.accept_all(scripted_cell.starts)
    scripted_cell.starts.clear()
    scripted_cell.step()
    task = TaskKey(SUBMISSION_ID, 0, 0, 0)
    crashes = {task: {1: CrashEvidence.POSSIBLE}}
    context.suspect_step = Step(1, TaskDemand(cores * 1000, 100))
    context.suspect_progress = Progress(crashed_runs_by_task=crashes)


@when("{n:d} short tasks arrive, one in each round of 0.1 s")
def step_short_tasks(context, n):
    scripted_cell = context.scripted_cell
    started = []
    for number in range(n):
        if number == 1:
            scripted_cell.submit(
                context.suspect_step, progress=context.suspect_progress
            )
            tracked = scripted_cell.cell.submissions.by_id[SUBMISSION_ID]
            tracked.raise_run_floor(TaskKey(SUBMISSION_ID, 0, 0, 0), 1)
        step = Step(1, TaskDemand(1000, 100))
        scripted_cell.submit(step, submission_id=f"{number:016x}")
        scripted_cell.step(0.1)
        for item in [i for i in scripted_cell.starts if i not in started]:
            started.append(item)
            scripted_cell.accept(item)
            if item.order.task.submission_id != SUBMISSION_ID:
                scripted_cell.end(item, RunEnd.DONE)


@then("the task that may have crashed a worker has started")
def step_suspect_started(context):
    starts = [i.order.task.submission_id for i in context.scripted_cell.starts]
    assert SUBMISSION_ID in starts, starts


@given("{n:d} submissions of a task each, and records that hold {n_held:d} submissions")
def step_many_submissions(context, n, n_held):
    scripted_cell = context.scripted_cell = ScriptedCell(1, 8000)
    for number in range(n):
        step = Step(1, TaskDemand(1000, 100))
        scripted_cell.submit(step, submission_id=f"{number:016x}")
    context.n_held = n_held


@when("the progress of all changes before each of {n:d} records")
def step_all_change(context, n):
    cell = context.scripted_cell.cell
    context.recorded = set()
    for _ in range(n):
        for tracked in cell.submissions.by_id.values():
            tracked.is_dirty = True
        writes = cell.take_batch().writes[: context.n_held]
        context.recorded |= {write.submission_id for write in writes}
        cell.on_recorded(RecordBatch(writes, {}))


@then("each of them has been recorded")
def step_all_recorded(context):
    assert context.recorded == context.scripted_cell.cell.submissions.by_id.keys()


@then("{free:d} thousandths of a core are free and {waiting:d} are waited for")
def step_room(context, free, waiting):
    cell = context.scripted_cell.cell
    n_free = sum(view.free().cpu_millis for view in cell.worker_by_id.values())
    assert (n_free, cell.waiting_cpu()) == (free, waiting), (n_free, cell.waiting_cpu())


@then("{n:d} workers have got a task each")
def step_spread(context, n):
    workers = [item.worker_id for item in context.scripted_cell.starts]
    assert len(workers) == len(set(workers)) == n, workers


@when("{n:d} tasks of {cores:d} cores arrive, one in each round of 0.1 s")
def step_gang_beside_others(context, n, cores):
    scripted_cell = context.scripted_cell
    for number in range(n):
        step = Step(1, TaskDemand(cores * 1000, 100))
        scripted_cell.submit(step, submission_id=f"{number:016x}")
        scripted_cell.step(0.1)


@then("{n:d} tasks of the gang and {n_others:d} other tasks have started")
def step_gang_and_others(context, n, n_others):
    starts = [i.order.task.submission_id for i in context.scripted_cell.starts]
    n_gang = starts.count(SUBMISSION_ID)
    assert (n_gang, len(starts) - n_gang) == (n, n_others), starts


@then("the gang's next run number is still {number:d}")
def step_gang_number(context, number):
    cell = context.scripted_cell.cell
    tracked = cell.submissions.by_id[SUBMISSION_ID]
    next_run = tracked.next_run(TaskKey(SUBMISSION_ID, 0, 0, 0), cell.epoch)
    assert next_run == number, next_run


@then("the record counts no crash that hasn't happened")
def step_no_presumed_crash(context):
    tracked = context.scripted_cell.cell.submissions.by_id[SUBMISSION_ID]
    assert not tracked.presumed_run_by_task, tracked.presumed_run_by_task


@when("the gang has started again")
def step_gang_starts(context):
    for _ in range(3):
        context.scripted_cell.step()
    assert {item.order.run for item in context.scripted_cell.starts} == {8}


@then("the record counts the suspect's run as crashed")
def step_recorded(context):
    tracked = context.scripted_cell.cell.submissions.by_id[SUBMISSION_ID]
    assert tracked.is_crash_recorded(TaskKey(SUBMISSION_ID, 0, 0, 0), 8)


@when("the gang has failed")
def step_gang_fails(context):
    scripted_cell = context.scripted_cell
    scripted_cell.accept_all(scripted_cell.starts)
    for item in scripted_cell.starts:
        scripted_cell.end(item, RunEnd.FAILED)
    scripted_cell.starts.clear()
    scripted_cell.step()


@then("only the crash that happened is counted")
def step_only_crash(context):
    tracked = context.scripted_cell.cell.submissions.by_id[SUBMISSION_ID]
    crashes = tracked.crashes(TaskKey(SUBMISSION_ID, 0, 0, 0))
    assert crashes == {4: CrashEvidence.CERTAIN}, crashes
    assert not tracked.crashes(TaskKey(SUBMISSION_ID, 0, 0, 1))


@given("two tasks on workers of which one falls silent until its lease expires")
def step_silent_until_expiry(context):
    scripted_cell = context.scripted_cell = ScriptedCell(2, 8000)
    scripted_cell.step()
    step = Step(2, TaskDemand(5000, 100))
    scripted_cell.submit(step, queue=QueuePolicy("q", "svc", max_attempts=3))
    scripted_cell.step()
    context.item, other = scripted_cell.starts
    scripted_cell.starts.clear()
    scripted_cell.accept(context.item)
    scripted_cell.accept(other)
    scripted_cell.silent.add(context.item.worker_id)
    scripted_cell.step()
    scripted_cell.end(other, RunEnd.FAILED)
    for _ in range(40):
        scripted_cell.step()


@when("its task is done elsewhere and the list names its restart")
def step_done_elsewhere(context):
    scripted_cell = context.scripted_cell
    task = context.item.order.task
    tracked = scripted_cell.cell.submissions.by_id[SUBMISSION_ID]
    tracked.add_done(task)
    worker_id = context.item.worker_id
    entry = scripted_cell.cell.worker_by_id[worker_id].entry
    listed = replace(entry, started_at_ms=entry.started_at_ms + 1)
    scripted_cell.cell.list_worker(listed, scripted_cell.now)


@then("no crash is counted")
def step_no_crash(context):
    tracked = context.scripted_cell.cell.submissions.by_id[SUBMISSION_ID]
    assert not tracked.progress.crashed_runs_by_task


@given(
    "a run that its worker has accepted, and a later one that the restarted worker has"
)
def step_accepted_by_both_incarnations(context):
    scripted_cell = context.scripted_cell = ScriptedCell(1, 8000)
    scripted_cell.step()
    scripted_cell.silent.add("w0")
    for submission_id, clock_ms in ((SUBMISSION_ID, 2000), ("f" * 16, 1)):
        scripted_cell.submit(
            Step(1, TaskDemand(1000, 100)), submission_id=submission_id
        )
        scripted_cell.step(0.4)
        item = scripted_cell.starts.pop()
        answer = OrderAnswer(OrderResult.ACCEPTED, clock_ms)
        scripted_cell.cell.on_start_answer("w0", item.order, answer, scripted_cell.now)


@given(
    "a suspect's run whose start wasn't answered, and a later one that its worker has "
    "accepted"
)
def step_unanswered_start(context):
    scripted_cell = context.scripted_cell = ScriptedCell(1, 8000)
    scripted_cell.step()
    task = TaskKey(SUBMISSION_ID, 0, 0, 0)
    suspect = Progress(crashed_runs_by_task={task: {4: CrashEvidence.CERTAIN}})
    scripted_cell.submit(Step(1, TaskDemand(1000, 100)), progress=suspect)
    scripted_cell.step()
    scripted_cell.silent.add("w0")
    scripted_cell.step()
    unanswered = scripted_cell.starts.pop().order
    scripted_cell.submit(Step(1, TaskDemand(1000, 100)), submission_id="f" * 16)
    scripted_cell.step(0.4)
    accepted = scripted_cell.starts.pop().order
    for order, answer in (
        (unanswered, OrderAnswer(OrderResult.NO_ANSWER)),
        (accepted, OrderAnswer(OrderResult.ACCEPTED, 2000)),
    ):
        scripted_cell.cell.on_start_answer("w0", order, answer, scripted_cell.now)


@given("a run that its worker has accepted but not reported")
def step_accepted_only(context):
    scripted_cell = context.scripted_cell = ScriptedCell(1, 8000)
    scripted_cell.step()
    scripted_cell.silent.add("w0")
    scripted_cell.submit(Step(1, TaskDemand(1000, 100)))
    scripted_cell.step()
    item = scripted_cell.starts.pop()
    answer = OrderAnswer(OrderResult.ACCEPTED, 2000)
    scripted_cell.cell.on_start_answer("w0", item.order, answer, scripted_cell.now)


@given("a start that waits to be permitted when its worker restarts")
def step_unsent(context):
    scripted_cell = context.scripted_cell = ScriptedCell(1, 8000)
    scripted_cell.step()
    scripted_cell.silent.add("w0")
    scripted_cell.submit(Step(1, TaskDemand(1000, 100)))
    scripted_cell.step()
    context.order = scripted_cell.starts.pop().order


@given("a start that has been permitted when its worker restarts")
def step_permitted(context):
    step_unsent(context)
    scripted_cell = context.scripted_cell
    assert scripted_cell.cell.may_send_start(context.order, scripted_cell.now)


@then("{n:d} crashes of it are counted")
def step_crashes_of_start(context, n):
    tracked = context.scripted_cell.cell.submissions.by_id[SUBMISSION_ID]
    assert tracked.n_crashes(context.order.task) == n


@then("the start is no longer allowed")
def step_start_withdrawn(context):
    scripted_cell = context.scripted_cell
    assert not scripted_cell.cell.may_send_start(context.order, scripted_cell.now)
    assert context.order.task not in scripted_cell.cell.run_by_task


@then("the start is still expected")
def step_start_expected(context):
    assert context.order.task in context.scripted_cell.cell.run_by_task


@when("the list names the restart")
def step_list_names_restart(context):
    cell = context.scripted_cell.cell
    entry = cell.worker_by_id["w0"].entry
    listed = replace(entry, started_at_ms=entry.started_at_ms + 1)
    cell.list_worker(listed, context.scripted_cell.now)


@when("the restarted worker answers after the run's lease has expired")
def step_answer_after_expiry(context):
    scripted_cell = context.scripted_cell
    for _ in range(40):
        scripted_cell.step()
    assert not scripted_cell.cell.run_by_task
    scripted_cell.started_at_ms["w0"] += 1
    scripted_cell.silent.clear()
    for _ in range(2):
        scripted_cell.step()


@then("a crash of the first run is counted")
def step_first_crash(context):
    tracked = context.scripted_cell.cell.submissions.by_id[SUBMISSION_ID]
    crashes = tracked.crashes(TaskKey(SUBMISSION_ID, 0, 0, 0))
    assert 1 in crashes, crashes


@given(
    "a task that may have crashed a worker, and {seconds:d} seconds in which nothing "
    "is recorded"
)
def step_late_record(context, seconds):
    scripted_cell = context.scripted_cell = ScriptedCell(2, 8000)
    scripted_cell.step()
    task = TaskKey(SUBMISSION_ID, 0, 0, 0)
    progress = Progress(crashed_runs_by_task={task: {4: CrashEvidence.CERTAIN}})
    scripted_cell.submit(Step(1, TaskDemand(1000, 100)), progress=progress)
    for _ in range(seconds * 5):
        scripted_cell.step(records=False)
    assert not scripted_cell.starts


@when("its next run is recorded")
def step_record_next_run(context):
    cell = context.scripted_cell.cell
    batch = cell.take_batch()
    context.record = decode_progress(SUBMISSION_ID, batch.writes[0].value)
    cell.on_recorded(RecordBatch(batch.writes, {}))


@then("the record names the worker where the run is to start")
def step_names_worker(context):
    (start,) = context.record.presumed_start_by_run.values()
    assert start.worker_id in context.scripted_cell.running, start
    context.start = start


@then("the run starts there in the next round")
def step_starts_there(context):
    context.scripted_cell.step(records=False)
    workers = [item.worker_id for item in context.scripted_cell.starts]
    assert workers == [context.start.worker_id], workers

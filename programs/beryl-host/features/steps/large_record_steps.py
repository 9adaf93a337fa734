import asyncio
import zlib

import msgspec
import xxhash
from behave import given, then, when
from host_parts import CELL, make_worker_entry
from ownership_steps import make_owner, read_row

from berylcleat.host._clock import now_s
from berylcleat.host._records import OWNER_KEY, PROGRESS_TABLE, AcceptedRow, OwnerRow
from berylcleat.model import (
    MalformedValueError,
    QueuePolicy,
    Step,
    Submission,
    SubmissionState,
    TaskDemand,
    TaskKey,
)
from berylcleat.ports import EndedTask, RunEnd, WorkerReport
from berylcleat.scheduling import (
    CrashEvidence,
    PresumedStart,
    Progress,
    compact_record,
    decode_progress,
    encode_progress,
)

LARGE_ID = "a" * 16
# The platform's usual limit on a row.
MAX_ROW_BYTES = 65_536
QUEUE = QueuePolicy("q", "cardhouse")
# "about half" has no pattern, so its bitmap can't be compressed.
IS_DONE_BY_NAME = {
    "all": lambda index, n: True,
    "all but one": lambda index, n: index != n // 2,
    "about half": lambda index, n: xxhash.xxh64_intdigest(b"%d" % index) % 2,
}


def make_submission(submission_id, n_tasks):
    step = Step(n_tasks, TaskDemand(1000, 1000))
    return Submission(submission_id, QUEUE, "", (step,))


def make_others(n, n_tasks):
    return [make_submission(f"{number:016x}", n_tasks) for number in range(n)]


@given("a submission of {n_tasks:d} tasks and {n:d} of one task in the cell")
def step_submissions(context, n_tasks, n):
    context.store.limit_rows(MAX_ROW_BYTES)
    context.others = make_others(n, 1)
    context.submissions = [make_submission(LARGE_ID, n_tasks), *context.others]


@given("{n:d} submissions of {n_tasks:d} tasks in the cell")
def step_many(context, n, n_tasks):
    context.store.limit_rows(MAX_ROW_BYTES)
    context.submissions = context.others = make_others(n, n_tasks)


@given("the store rejects rows of more than {n:d} bytes")
def step_limit(context, n):
    context.store.limit_rows(n)


def list_ends(submissions, which):
    """Return the ends of a report: ``which`` of the tasks of the large submission."""
    tasks = [
        TaskKey(submission.submission_id, 0, 0, index)
        for submission in submissions
        for n in (submission.steps[0].n_tasks,)
        for index in range(n)
        if submission.submission_id != LARGE_ID or IS_DONE_BY_NAME[which](index, n)
    ]
    return tuple(
        EndedTask(number, task, 1, RunEnd.DONE, "")
        for number, task in enumerate(tasks, 1)
    )


@when(
    "{which} of the {n_tasks:d} tasks and the {n:d} others end, and the cell records "
    "for {seconds:d} s"
)
def step_record(context, which, n_tasks, n, seconds):
    ends = list_ends(context.submissions, which)
    context.done = {
        end.task.index for end in ends if end.task.submission_id == LARGE_ID
    }
    context.run(record(context, ends, seconds))


@when("all of their tasks end and the cell records for {seconds:d} s")
def step_record_all(context, seconds):
    context.run(record(context, list_ends(context.submissions, "all"), seconds))


async def record(context, ends, seconds):
    controller = make_owner(context, 0)
    for submission in context.submissions:
        controller._directory.add_accepted(AcceptedRow(CELL, 0, submission))
    await controller.start({"w1": make_worker_entry("w1")})
    scheduler = controller.scheduler
    now = now_s()
    scheduler.on_report("w1", WorkerReport(1000, 1, (), ends), now, now)
    if seconds:
        controller._record_needed.set()
        await asyncio.sleep(seconds)
    context.n_ends = len(ends)
    context.n_acked = scheduler.worker_by_id["w1"].acked_number
    context.n_rejected = context.store.n_rejected_commits
    context.states = {
        submission.submission_id: scheduler.state_of(submission.submission_id)
        for submission in context.submissions
    }
    await controller.release()


def read_progress(context, submission_id):
    row = context.store.rows_by_key(PROGRESS_TABLE, CELL)[submission_id]
    return decode_progress(submission_id, row.value)


@then("all {n:d} others are recorded as done")
def step_others_done(context, n):
    ids = [submission.submission_id for submission in context.others]
    assert len(ids) == n
    rows = context.store.rows_by_key(PROGRESS_TABLE, CELL)
    missing = [name for name in ids if name not in rows]
    assert not missing, f"{len(missing)} of {n} aren't recorded"
    for submission_id in ids:
        assert context.states[submission_id] is SubmissionState.DONE
        progress = read_progress(context, submission_id)
        assert progress.final_state is SubmissionState.DONE


@then("the next owner reads the same tasks of the large one as done")
def step_large_done(context):
    progress = read_progress(context, LARGE_ID)
    assert progress.done_by_step == {(0, 0): context.done}
    is_over = len(context.done) == context.submissions[0].steps[0].n_tasks
    assert (progress.final_state is SubmissionState.DONE) == is_over


@then("all ends are acknowledged")
def step_acked(context):
    assert context.n_acked == context.n_ends, (context.n_acked, context.n_ends)


@then("nothing is acknowledged")
def step_not_acked(context):
    assert context.n_acked == 0, context.n_acked


@then("the store rejected at most {n:d} commits")
def step_rejected(context, n):
    assert context.n_rejected <= n, context.n_rejected


@then("the cell has no owner")
def step_no_owner(context):
    row = read_row(context, OWNER_KEY, OwnerRow)
    assert not row.host_id, row


@given("progress with a final state, failed, crashed and presumed runs and checkpoints")
def step_progress(context):
    tasks = [TaskKey(LARGE_ID, 3, 1, index) for index in range(4)]
    done_by_step = {(occurrence, 0): {0, 1, 5, 16} for occurrence in range(3)}
    context.progress = Progress(
        SubmissionState.FAILED,
        {(7, 1): {2}, **done_by_step, (4, 0): {0, 1, 5, 16}},
        {tasks[0]: {1, 4}},
        {tasks[1]: "00000bb87a21d94b"},
        {tasks[2]: {2: CrashEvidence.CERTAIN}, tasks[3]: {3: CrashEvidence.PRESUMED}},
        {(tasks[3], 3): PresumedStart("w1", 5)},
    )


@then("its plain record is as the earlier version writes it")
def step_plain(context):
    assert encode_progress(context.progress) == (
        b'["failed",[[7,1,[2]],[0,0,[0,1,5,16]],[1,0,[0,1,5,16]],[2,0,[0,1,5,16]],'
        b'[4,0,[0,1,5,16]]],[[3,1,0,[1,4]]],[[3,1,1,"00000bb87a21d94b"]],'
        b'[[3,1,2,[[2,3]]],[3,1,3,[[3,0]]]],[[3,1,3,3,"w1",5]]]'
    )


def make_compact(context):
    return compact_record(encode_progress(context.progress))


@then("its compact record is read as the same progress")
def step_compact(context):
    assert decode_progress(LARGE_ID, make_compact(context)) == context.progress


@then("the earlier version rejects its compact record")
def step_earlier(context):
    # The earlier version decodes every record as JSON text.
    try:
        value = msgspec.json.decode(make_compact(context))
    except msgspec.DecodeError:
        return
    raise AssertionError(value)


def spoil_compact(value, fault):
    text = zlib.decompress(value)
    return {
        "cut short": value[:-1],
        "followed by more": value + b"x",
        "of no compressed text": value[:2] + b"\xff" * 20,
        "of 32 MB of text": zlib.compress(text + b" " * 32_000_000),
        "of a billion tasks": zlib.compress(
            b'[["",[],[],[]],[[0,1000000000,0,"/w=="]]]'
        ),
    }[fault]


@then("its compact record that is {fault} is malformed")
def step_malformed(context, fault):
    value = spoil_compact(make_compact(context), fault)
    try:
        progress = decode_progress(LARGE_ID, value)
    except MalformedValueError:
        return
    raise AssertionError(progress)

"""Durable progress of one submission, which the next owner of the cell reads.

A plain record is JSON text. A compact one is for what the store rejects as plain: the
text is compressed and holds done tasks as bitmaps. Hosts that don't know of compact
records find them unreadable, and start none of the submission's tasks.
"""

import zlib
from dataclasses import dataclass, field
from enum import IntEnum
from itertools import groupby
from typing import NamedTuple

import msgspec

from berylcleat.model import (
    Count,
    MalformedValueError,
    RunNumber,
    Submission,
    SubmissionState,
    TaskKey,
    decode_json,
)

# First byte of all compact records, that of a zlib stream; no JSON text begins with it.
COMPACT_START = b"\x78"
# Bounds on what a compact record expands to, far above what a host can hold in memory
# and still run: a few bytes may stand for any amount.
MAX_TEXT_BYTES = 16_000_000
MAX_DONE_TASKS = 10_000_000
BITS_PER_BYTE = 8


class CrashEvidence(IntEnum):
    """What is known of a run and the crash of its worker.

    PRESUMED: the run was to start; its owner hasn't recorded since what became of it.
    SILENT: the worker was silent until the run's lease expired; it may have crashed.
    POSSIBLE: the worker crashed; it isn't certain that the run was running then.
    CERTAIN: the worker crashed during the run.
    EXPLAINED: besides, no other run had just started there.
    """

    PRESUMED = 0
    SILENT = 1
    POSSIBLE = 2
    CERTAIN = 3
    EXPLAINED = 4


CrashedRuns = dict[int, CrashEvidence]


class PresumedStart(NamedTuple):
    """Worker on which a presumed run was to start, and its start time in ms."""

    worker_id: str
    incarnation_ms: int


class _ProgressRecord(msgspec.Struct, frozen=True, array_like=True):
    """Stored form of progress: rows [occurrence, step, ...] instead of task keys."""

    final_state: str
    done: tuple[tuple[Count, Count, tuple[Count, ...]], ...]
    failed: tuple[tuple[Count, Count, Count, tuple[RunNumber, ...]], ...]
    checkpoints: tuple[tuple[Count, Count, Count, str], ...]
    crashed: tuple[
        tuple[Count, Count, Count, tuple[tuple[RunNumber, CrashEvidence], ...]], ...
    ] = ()
    # [occurrence, step, index, run, worker id, start time of the worker in ms].
    presumed: tuple[tuple[Count, Count, Count, RunNumber, str, Count], ...] = ()


class _DoneBitmap(msgspec.Struct, frozen=True, array_like=True):
    """Done tasks of a step, the same ones in successive occurrences."""

    first_occurrence: Count
    n_occurrences: Count
    step: Count
    bitmap: bytes

    def n_tasks(self) -> int:
        """Return the number of done tasks."""
        bits = int.from_bytes(self.bitmap, "little")
        return bits.bit_count() * self.n_occurrences

    def indices(self) -> tuple[int, ...]:
        """Return the indices of the done tasks."""
        return tuple(
            number * BITS_PER_BYTE + bit
            for number, byte in enumerate(self.bitmap)
            if byte
            for bit in range(BITS_PER_BYTE)
            if byte >> bit & 1
        )


class _CompactRecord(msgspec.Struct, frozen=True, array_like=True):
    """Text of a compact record: a plain one without done tasks, and these."""

    rest: _ProgressRecord
    done: tuple[_DoneBitmap, ...]


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(_ProgressRecord)
_compact_decoder = msgspec.json.Decoder(_CompactRecord)


@dataclass(slots=True)
class Progress:
    """Done tasks, failed runs and checkpoints of one submission.

    ``crashed_runs_by_task`` holds the runs of a task during which their worker crashed,
    or may have. ``presumed_start_by_run`` tells where those presumed may have started.
    """

    final_state: SubmissionState | None = None
    done_by_step: dict[tuple[int, int], set[int]] = field(default_factory=dict)
    failed_runs_by_task: dict[TaskKey, set[int]] = field(default_factory=dict)
    checkpoint_by_task: dict[TaskKey, str] = field(default_factory=dict)
    crashed_runs_by_task: dict[TaskKey, CrashedRuns] = field(default_factory=dict)
    presumed_start_by_run: dict[tuple[TaskKey, int], PresumedStart] = field(
        default_factory=dict
    )

    def find_odd_tasks(self, submission: Submission) -> list[TaskKey]:
        """Return the tasks named here that a submission doesn't have."""
        submission_id = submission.submission_id
        done = (
            TaskKey(submission_id, *step, index)
            for step, indices in self.done_by_step.items()
            if indices
            for index in (min(indices), max(indices))
        )
        named = (
            *done,
            *self.failed_runs_by_task,
            *self.checkpoint_by_task,
            *self.crashed_runs_by_task,
            *(task for task, _ in self.presumed_start_by_run),
        )
        return [task for task in named if not submission.has_task(task)]

    def is_done(self, task: TaskKey) -> bool:
        """Return whether ``task`` is done."""
        done = self.done_by_step.get((task.occurrence, task.step))
        return done is not None and task.index in done

    def add_done(self, task: TaskKey) -> None:
        """Mark ``task`` as done and drop its checkpoint and crashes."""
        key = (task.occurrence, task.step)
        self.done_by_step.setdefault(key, set()).add(task.index)
        self.checkpoint_by_task.pop(task, None)
        self.drop_crashes(task)

    def drop_crashes(self, task: TaskKey) -> None:
        """Drop all crashed runs of ``task``."""
        for run in self.crashed_runs_by_task.pop(task, ()):
            self.presumed_start_by_run.pop((task, run), None)

    def add_failure(self, task: TaskKey, run: int) -> None:
        """Add a failed run; a repeated report of the same run counts once."""
        self.failed_runs_by_task.setdefault(task, set()).add(run)

    def n_failures(self, task: TaskKey) -> int:
        """Return the number of failed runs of ``task``."""
        return len(self.failed_runs_by_task.get(task, ()))


def encode_progress(progress: Progress) -> bytes:
    """Encode ``progress`` for the store as a plain record."""
    record = _ProgressRecord(
        progress.final_state.value if progress.final_state else "",
        tuple(
            (occurrence, step, tuple(sorted(indices)))
            for (occurrence, step), indices in progress.done_by_step.items()
        ),
        tuple(
            (task.occurrence, task.step, task.index, tuple(sorted(runs)))
            for task, runs in progress.failed_runs_by_task.items()
        ),
        tuple(
            (task.occurrence, task.step, task.index, checkpoint)
            for task, checkpoint in progress.checkpoint_by_task.items()
        ),
        tuple(
            (task.occurrence, task.step, task.index, tuple(sorted(runs.items())))
            for task, runs in progress.crashed_runs_by_task.items()
        ),
        tuple(
            (task.occurrence, task.step, task.index, run, *start)
            for (task, run), start in progress.presumed_start_by_run.items()
        ),
    )
    return _encoder.encode(record)


def decode_progress(submission_id: str, data: bytes) -> Progress:
    """Decode stored progress; raise ``MalformedValueError`` if it is malformed."""
    if data.startswith(COMPACT_START):
        record = _expand_record(data)
    else:
        record = decode_json(_decoder, data)
    state = _decode_state(record.final_state)
    return Progress(
        state,
        {(occurrence, step): set(indices) for occurrence, step, indices in record.done},
        {
            TaskKey(submission_id, occurrence, step, index): set(runs)
            for occurrence, step, index, runs in record.failed
        },
        {
            TaskKey(submission_id, occurrence, step, index): checkpoint
            for occurrence, step, index, checkpoint in record.checkpoints
        },
        {
            TaskKey(submission_id, occurrence, step, index): dict(runs)
            for occurrence, step, index, runs in record.crashed
        },
        {
            (TaskKey(submission_id, *task), run): PresumedStart(*start)
            for *task, run, worker_id, incarnation_ms in record.presumed
            for start in ((worker_id, incarnation_ms),)
        },
    )


def compact_record(data: bytes) -> bytes:
    """Return the compact form of a plain record."""
    record = _decoder.decode(data)
    # In this order successive occurrences of a step with the same bitmap are adjacent.
    done = sorted(
        (step, occurrence, _make_bitmap(indices))
        for occurrence, step, indices in record.done
    )
    bitmaps = []
    # The occurrence less its position is the same in successive occurrences.
    for (_, step, bitmap), run in groupby(
        enumerate(done), lambda item: (item[1][1] - item[0], item[1][0], item[1][2])
    ):
        occurrences = [occurrence for _, (_, occurrence, _) in run]
        bitmaps.append(_DoneBitmap(occurrences[0], len(occurrences), step, bitmap))
    rest = msgspec.structs.replace(record, done=())
    return zlib.compress(_encoder.encode(_CompactRecord(rest, tuple(bitmaps))))


def _make_bitmap(indices: tuple[int, ...]) -> bytes:
    bitmap = bytearray(max(indices, default=0) // BITS_PER_BYTE + 1)
    for index in indices:
        bitmap[index // BITS_PER_BYTE] |= 1 << index % BITS_PER_BYTE
    return bytes(bitmap)


def _expand_record(data: bytes) -> _ProgressRecord:
    """Return the plain record of a compact one."""
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(data, MAX_TEXT_BYTES)
    except zlib.error as error:
        raise MalformedValueError(f"it can't be decompressed: {error}") from error
    if not decompressor.eof or decompressor.unused_data:
        raise MalformedValueError("its compressed text is cut short or too long")
    compact = decode_json(_compact_decoder, text)
    if sum(bitmap.n_tasks() for bitmap in compact.done) > MAX_DONE_TASKS:
        raise MalformedValueError(f"more than {MAX_DONE_TASKS} tasks are done")
    done = tuple(
        (bitmap.first_occurrence + number, bitmap.step, indices)
        for bitmap in compact.done
        for indices in (bitmap.indices(),)
        for number in range(bitmap.n_occurrences if indices else 0)
    )
    return msgspec.structs.replace(compact.rest, done=done)


def _decode_state(value: str) -> SubmissionState | None:
    if not value:
        return None
    try:
        return SubmissionState(value)
    except ValueError as error:
        raise MalformedValueError(f"unknown state {value[:40]!r}") from error

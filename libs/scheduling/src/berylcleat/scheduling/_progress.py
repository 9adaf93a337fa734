"""Durable progress of one submission, which the next owner of the cell reads."""

from dataclasses import dataclass, field
from enum import IntEnum
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


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(_ProgressRecord)


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
    """Encode ``progress`` for the store."""
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


def _decode_state(value: str) -> SubmissionState | None:
    if not value:
        return None
    try:
        return SubmissionState(value)
    except ValueError as error:
        raise MalformedValueError(f"unknown state {value[:40]!r}") from error

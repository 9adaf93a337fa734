"""Tasks that may crash the workers that start them.

Only tasks that may have crashed a worker restart with care: their next run is recorded
as crashed before it starts, until it shows otherwise. So the count survives the loss of
the owner at any moment. The record names the worker, so that the next owner counts a
run that may never have started only if this worker has crashed.
"""

import logging
from collections.abc import Collection, Iterable

from berylcleat.model import TaskKey
from berylcleat.ports import WorkerEntry

from ._progress import CrashedRuns, CrashEvidence, PresumedStart
from ._submissions import SubmissionRegistry, TrackedSubmission
from ._workers import Run, RunPhase, WorkerView

# Seconds after its start within which a run is the likely cause of a crash.
LIKELY_CAUSE_AGE_S = 0.3
# Seconds after its start from which a run has shown that its task crashes no worker.
PROOF_AGE_S = 5.0
# Seconds that a suspect waits for a worker on which nothing else has just started.
MAX_QUIET_WAIT_S = 1.0
# Certain crashes that suffice to give up a task, of which one must be explained or
# followed by another.
MIN_CERTAIN_CRASHES = 2
# Crashes after which a task is given up, possible ones included, and with those of
# workers that may only have been silent.
MAX_CRASHES = 4
MAX_CRASHES_WITH_SILENT = 5
logger = logging.getLogger(__name__)


def find_suspects(runs: Collection[Run], alive_at: float) -> tuple[list[Run], bool]:
    """Return the runs that may have crashed their worker, last alive at ``alive_at``.

    These are the runs that had just started; without any, all that were too young to
    have shown otherwise. Also return whether they had just started.
    """
    likely = [
        run
        for run in runs
        if alive_at - run.started_at < LIKELY_CAUSE_AGE_S and not run.is_adopted
    ]
    if likely:
        return likely, True
    return [run for run in runs if alive_at - run.started_at < PROOF_AGE_S], False


def _was_running(run: Run, hold_failed_at: float | None) -> bool:
    """Return whether a run had certainly started and not ended when its worker crashed.

    The hold failed at the crash; the end of a run would have answered it before.
    """
    if hold_failed_at is None or not (run.was_accepted or run.was_reported):
        return False
    return hold_failed_at - run.started_at < LIKELY_CAUSE_AGE_S


def _may_start_late(run: Run) -> bool:
    """Return whether a run's start may be executed at any time after its sending."""
    if run.phase not in (RunPhase.UNCONFIRMED, RunPhase.STOPPING):
        return False
    return not (run.is_adopted or run.was_accepted or run.was_reported)


def must_give_up(crashed_runs: CrashedRuns) -> bool:
    """Return whether a task with these crashed runs isn't started any more."""
    if len(crashed_runs) >= MAX_CRASHES_WITH_SILENT:
        return True
    levels = [known for known in crashed_runs.values() if known > CrashEvidence.SILENT]
    if len(levels) >= MAX_CRASHES:
        return True
    n_certain = sum(known >= CrashEvidence.CERTAIN for known in levels)
    if n_certain < MIN_CERTAIN_CRASHES:
        return False
    return CrashEvidence.EXPLAINED in levels or len(levels) > MIN_CERTAIN_CRASHES


class CrashTracker:
    """Crashes counted for the tasks of a cell, under one owner."""

    def __init__(
        self, submissions: SubmissionRegistry, earlier_workers: Iterable[WorkerEntry]
    ):
        self._submissions = submissions
        self._earlier_start_by_worker = {
            entry.worker_id: entry.started_at_ms for entry in earlier_workers
        }
        # Start time of each worker when it first reported here.
        self._first_start_by_worker: dict[str, int] = {}
        # Whether a worker of an earlier owner may have crashed before it reported here.
        self.has_lost_worker = False
        # Whether a start waits until its run is recorded as crashed.
        self.awaits_record = False

    def on_first_report(self, worker_id: str, started_at_ms: int) -> None:
        """Note whether a worker has restarted since an earlier owner used it."""
        self._first_start_by_worker.setdefault(worker_id, started_at_ms)
        earlier_start = self._earlier_start_by_worker.get(worker_id, started_at_ms)
        if started_at_ms != earlier_start:
            self.has_lost_worker = True

    def has_crashed_since(
        self, start: PresumedStart, view: WorkerView | None, *, is_awaited: bool
    ) -> bool | None:
        """Return whether a worker crashed after a presumed start, until it reported.

        Later crashes are counted for the runs that are known by then. None while the
        first report ``is_awaited``. One that drains isn't taken for crashed.
        """
        first_start = self._first_start_by_worker.get(start.worker_id)
        if first_start is not None:
            return first_start != start.incarnation_ms
        if view is None:
            return True
        if view.entry.is_draining:
            return None if is_awaited else False
        has_restarted = view.entry.started_at_ms > start.incarnation_ms
        return True if has_restarted or not is_awaited else None

    def on_crash(self, view: WorkerView, runs: Collection[Run]) -> bool:
        """Count a worker's crash for the runs that may have caused it.

        Return whether a task is its likely cause that may have crashed a worker before.
        """
        suspects, have_just_started = find_suspects(runs, view.alive_at)
        is_repeated = have_just_started and any(
            tracked.n_crashes(run.task)
            for run in suspects
            if (tracked := self._tracked(run)) is not None
        )
        for run in runs:
            tracked = self._tracked(run)
            if tracked is None:
                continue
            if run in suspects:
                evidence = CrashEvidence.POSSIBLE
                if have_just_started and _was_running(run, view.hold_failed_at):
                    evidence = CrashEvidence.CERTAIN
                    if len(suspects) == 1:
                        evidence = CrashEvidence.EXPLAINED
                self._count(tracked, run, evidence)
            elif tracked.is_crash_presumed(run.task, run.number):
                if _may_start_late(run):
                    self._count(tracked, run, CrashEvidence.POSSIBLE)
                else:
                    tracked.drop_presumption(run.task)
        return is_repeated

    def on_silence(self, view: WorkerView, runs: Collection[Run]) -> None:
        """Count a possible crash of a worker whose leases have expired.

        ``on_return`` takes it back.
        """
        for run in runs:
            tracked = self._tracked(run)
            if tracked is None:
                continue
            is_presumed = tracked.is_crash_presumed(run.task, run.number)
            if is_presumed or view.alive_at - run.started_at < LIKELY_CAUSE_AGE_S:
                self._count(tracked, run, CrashEvidence.SILENT)

    def on_return(self, runs: Iterable[Run]) -> None:
        """Take back what the silence of a worker counted, since it hasn't crashed.

        A crash of the incarnation before it stays counted for a run that may have
        started in either.
        """
        for run in runs:
            tracked = self._submissions.by_id.get(run.task.submission_id)
            if tracked is None:
                continue
            known = tracked.crashes(run.task).get(run.number)
            if known is CrashEvidence.SILENT:
                tracked.clear_crash(run.task, run.number)

    def on_survival(self, runs: Iterable[Run]) -> None:
        """Take back the possible crashes of runs that crashed no worker."""
        for run in runs:
            tracked = self._submissions.by_id.get(run.task.submission_id)
            if tracked is not None:
                tracked.clear_crash(run.task, run.number)

    def on_running(self, tracked: TrackedSubmission, run: Run, now: float) -> None:
        """Take note that a run is alive."""
        if not tracked.progress.crashed_runs_by_task.get(run.task):
            return
        if now - run.started_at >= PROOF_AGE_S:
            tracked.clear_crashes(run.task)
        elif tracked.is_crashed_run(run.task, run.number):
            tracked.presumed_run_by_task[run.task] = run.number

    def ensure_start_recorded(
        self,
        tracked: TrackedSubmission,
        task: TaskKey,
        run: int,
        start: PresumedStart | None,
        now: float,
    ) -> bool:
        """Have a suspect's next run recorded as crashed; return whether it is."""
        is_presumed = tracked.is_crash_presumed(task, run)
        if not is_presumed or tracked.presumed_start(task) != start:
            tracked.presume_crash(task, run, start, now)
        is_recorded = tracked.is_start_recorded(task, run, start)
        self.awaits_record |= not is_recorded
        return is_recorded

    def _tracked(self, run: Run) -> TrackedSubmission | None:
        """Return the submission of a run if its crash counts here."""
        tracked = self._submissions.by_id.get(run.task.submission_id)
        if tracked is None or tracked.is_over or tracked.progress.is_done(run.task):
            return None
        return tracked if tracked.runs_here(run.task) else None

    def _count(
        self, tracked: TrackedSubmission, run: Run, evidence: CrashEvidence
    ) -> None:
        tracked.add_crash(run.task, run.number, evidence)
        logger.info(
            "crash counted: task %s run %d on %s, %s, %d crashes",
            run.task,
            run.number,
            run.worker_id,
            evidence.name.lower(),
            tracked.n_crashes(run.task),
        )
        self.give_up_crashing(tracked, run.task)

    def give_up_crashing(self, tracked: TrackedSubmission, task: TaskKey) -> bool:
        """End the submission as failed if a task has crashed too many workers."""
        if not must_give_up(tracked.crashes(task)):
            return False
        logger.warning(
            "submission %s: failed, task %s crashed workers in runs %s",
            task.submission_id,
            task,
            sorted(tracked.crashes(task)),
        )
        tracked.fail()
        return True

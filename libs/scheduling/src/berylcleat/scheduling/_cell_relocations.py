"""Stops of long-running tasks that have to leave their worker or data centre."""

import logging
from collections.abc import Callable, Iterable

from berylcleat.model import TaskKey

from ._cell_reports import CellReports
from ._cell_starts import MAX_RELOCATING
from ._evacuation import UNAVAILABLE_MEMORY_S, choose_relocations, is_relocatable
from ._moves import HeadroomReservations
from ._submissions import TrackedSubmission
from ._workers import Run, RunPhase

# Age in seconds of the headroom that other cells report: until then it may lack a task
# that has moved there.
HEADROOM_AGE_S = 2.0
logger = logging.getLogger(__name__)


class CellRelocations(CellReports):
    """Stops for an evacuation or a maintenance, within ``max_unavailable``."""

    def _relocate_from_evacuated(
        self, reservations: HeadroomReservations, now: float
    ) -> None:
        """Stop long-running tasks that another cell can hold.

        They move once they have ended. Only the home cell knows the step's other tasks.
        """
        runs = self.run_by_task.values()
        self._relocate_elsewhere(runs, reservations, "the evacuation", now)

    def _relocate_to_other_cells(
        self, reservations: HeadroomReservations, now: float
    ) -> None:
        """Stop long-running tasks on cordoned workers that another cell can hold.

        Those that fit in the cell are stopped one by one in the planning rounds.
        """
        runs = [r for r in self._cordoned_runs() if not self._can_relocate(r, now)]
        self._relocate_elsewhere(runs, reservations, "maintenance", now)

    def _relocate_within_cell(self, now: float) -> None:
        """Stop a long-running task on a cordoned worker if another worker fits it.

        One at a time: the capacity that is free for it isn't reserved.
        """
        if not self._cordoned or self._is_evacuated():
            return
        n_allowed = 1 - len(self._tasks_in_relocation())
        if n_allowed > 0:
            self._stop_relocatable(
                self._cordoned_runs(),
                n_allowed,
                lambda run: self._can_relocate(run, now),
                "maintenance",
                now,
            )

    def _cordoned_runs(self) -> list[Run]:
        return [
            run
            for worker_id in sorted(self._cordoned)
            if worker_id in self.worker_by_id
            for run in self.worker_by_id[worker_id].run_by_task.values()
        ]

    def _relocate_elsewhere(
        self,
        runs: Iterable[Run],
        reservations: HeadroomReservations,
        reason: str,
        now: float,
    ) -> None:
        """Stop those of ``runs`` that the headroom of other cells can hold."""
        for task in self._tasks_in_relocation():
            run = self.run_by_task.get(task)
            if run is not None:
                self._reserve_for_run(run, reservations)
        n_moving = self._availability.n_moved_since(now - HEADROOM_AGE_S)
        self._stop_relocatable(
            runs,
            MAX_RELOCATING - len(self._tasks_in_relocation()) - n_moving,
            lambda run: self._reserve_for_run(run, reservations),
            reason,
            now,
        )

    def _stop_relocatable(
        self,
        runs: Iterable[Run],
        n_allowed: int,
        reserve: Callable[[Run], bool],
        reason: str,
        now: float,
    ) -> None:
        """Stop runs whose tasks ``reserve`` finds a place for, within their bounds."""
        runs = [run for run in runs if self._is_home_of(run)]
        for run in choose_relocations(
            runs,
            self._unavailable_tasks(filter(is_relocatable, runs), now),
            n_allowed,
            reserve,
        ):
            logger.info(
                "run stopped for %s: task %s run %d on %s",
                reason,
                run.task,
                run.number,
                run.worker_id,
            )
            self._relocating_tasks.add(run.task)
            self._stop(run, now)

    def _is_home_of(self, run: Run) -> bool:
        tracked = self.submissions.by_id.get(run.task.submission_id)
        return tracked is not None and tracked.is_home and not tracked.is_over

    def _reserve_for_run(self, run: Run, reservations: HeadroomReservations) -> bool:
        tracked = self.submissions.by_id[run.task.submission_id]
        service = tracked.submission.queue.service
        return reservations.reserve(run.step, service) is not None

    def _tasks_in_relocation(self) -> set[TaskKey]:
        """Return the long-running tasks that stop, or wait here after such a stop."""
        stopping = {
            run.task
            for run in self.run_by_task.values()
            if run.step.is_long_running
            and run.phase is RunPhase.STOPPING
            and not self._has_yielded(run.task)
        }
        self._relocating_tasks = {
            task
            for task in self._relocating_tasks
            if task in stopping or self._is_waiting(task)
        }
        return stopping | self._relocating_tasks

    def _is_waiting(self, task: TaskKey) -> bool:
        tracked = self.submissions.live_by_id.get(task.submission_id)
        if tracked is None:
            return False
        ready = tracked.ready_by_step.get((task.occurrence, task.step))
        return ready is not None and task.index in ready.waiting

    def _unavailable_tasks(self, runs: Iterable[Run], now: float) -> set[TaskKey]:
        """Return the tasks of the runs' steps that were unavailable recently."""
        unavailable: set[TaskKey] = set()
        for task in {run.task._replace(index=0): run.task for run in runs}.values():
            tracked = self.submissions.by_id[task.submission_id]
            for member in tracked.step_tasks(task):
                if self._counts_as_unavailable(tracked, member, now):
                    unavailable.add(member)
        return unavailable

    def _counts_as_unavailable(
        self, tracked: TrackedSubmission, task: TaskKey, now: float
    ) -> bool:
        if not tracked.runs_here(task):
            since = now - UNAVAILABLE_MEMORY_S
            return self._availability.has_moved_since(task, since)
        return self._availability.is_unavailable(task, self.run_by_task.get(task), now)

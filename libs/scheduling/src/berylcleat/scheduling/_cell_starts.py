"""Starts of a cell's waiting tasks and relocations of its running ones."""

import logging
from collections.abc import Callable, Iterator
from functools import cache
from itertools import islice

from berylcleat.model import TaskKey
from berylcleat.ports import (
    StartOrder,
)

from ._cell_runs import NEVER_RAN, CellRuns
from ._crashes import LIKELY_CAUSE_AGE_S, MAX_QUIET_WAIT_S
from ._moves import is_stuck
from ._placement import (
    can_force_filler,
    choose_forced_worker,
    choose_worker,
    forcible_workers,
    is_own_load_round_open,
)
from ._preemption import count_slots
from ._progress import PresumedStart
from ._rack_fit import fits_empty_rack
from ._service_use import (
    LAST_RESORT_S,
    MAX_RESERVED_SHARE,
    STARVATION_S,
    reserved_share,
)
from ._submissions import ReadyStep, TrackedSubmission
from ._urgency import is_past_due
from ._workers import Run, RunPhase, WorkerView

# Seconds after which the list of workers may lack that a capacity has shrunk: longer
# than two waits for its changes, shorter than the platform allows.
MAX_LIST_AGE_S = 4.0
# Maximum starts that are prepared for a worker while suspects wait: after each of them
# nothing else may start there for LIKELY_CAUSE_AGE_S.
MAX_PREPARED_STARTS = 2
# Maximum tasks of one step that one planning round forces.
MAX_FORCED_PER_STEP = 6
# Maximum long-running tasks that are relocated at a time, from draining workers
# or from an evacuated cell.
MAX_RELOCATING = 3
logger = logging.getLogger(__name__)


def _is_quiet(view: WorkerView, now: float) -> bool:
    """Return whether nothing has just started on a worker."""
    return now - view.last_start_at >= LIKELY_CAUSE_AGE_S


def _near_first(groups: list[list[WorkerView]], rack: str) -> list[list[WorkerView]]:
    """Split groups of workers so that in each those of a rack precede the others."""
    near = ([view for view in group if view.entry.rack == rack] for group in groups)
    far = ([view for view in group if view.entry.rack != rack] for group in groups)
    pairs = zip(near, far, strict=True)
    return [group for pair in pairs for group in pair if group]


class CellStarts(CellRuns):
    """Choice of the tasks to start and of the workers that run them."""

    def _start_tasks(self, now: float) -> None:
        """Start the waiting tasks that fit, and prepare starts that need a record.

        Such a start takes several rounds. Its record is withdrawn only if no way of
        choosing a worker has found one in this round: the next owner would count a run
        that never started as a possible crash.
        """
        self._unplaced_tasks.clear()
        self._prepared_tasks.clear()
        self._answering_workers = self._find_answering_workers(now)
        self._start_in_order(self.submissions.ready_steps(now), now)
        self._force_starving_fillers(now)
        self._answering_workers = None
        for tracked, task in self._unplaced_tasks:
            if task not in self._prepared_tasks:
                tracked.drop_presumption(task)
        for task in self._keeper_by_task.keys() - self._prepared_tasks:
            self._release_capacity(task)

    def _start_in_order(self, steps: list[ReadyStep], now: float) -> None:
        """Start the tasks of steps, the most urgent step first.

        Long-running tasks that have not run yet, or have yielded, come after the short
        tasks of their priority that are in time: what they get they keep for good.
        """
        deferred: list[ReadyStep] = []
        for ready in steps:
            if deferred and not self._precedes_deferred(ready, deferred[0], now):
                self._start_deferred(deferred, now)
                deferred = []
            if self.preemption is None or not ready.step.is_long_running:
                self._start_waiting(ready, now)
                continue
            if ready.step.is_gang:
                self._start_waiting(ready, now)
                continue
            self._start_waiting(ready, now, self._needs_no_gap)
            deferred.append(ready)
        self._start_deferred(deferred, now)

    def _start_deferred(self, deferred: list[ReadyStep], now: float) -> None:
        for ready in deferred:
            if not ready.waiting:
                continue
            if not self._leaves_gap(ready, now):
                self._start_waiting(ready, now)
            elif ready.stuck_since is None:
                ready.stuck_since = now

    def _leaves_gap(self, ready: ReadyStep, now: float) -> bool:
        service = ready.tracked.submission.queue.service
        n_slots = count_slots(ready.step, service, self._startable_workers(now))
        step_key = ready.task(min(ready.waiting))[:3]
        return self.preemption.leaves_gap(step_key, n_slots, now)

    def _precedes_deferred(
        self, ready: ReadyStep, deferred: ReadyStep, now: float
    ) -> bool:
        """Return whether a step comes before long-running tasks that were deferred."""
        submission = ready.tracked.submission
        if submission.queue.priority != deferred.tracked.submission.queue.priority:
            return False
        if ready.step.is_long_running:
            return True
        if ready.step.fills or is_past_due(ready, now):
            return False
        return not self.finish_order.is_late(submission.submission_id)

    def _needs_no_gap(self, task: TaskKey) -> bool:
        """Return whether a long-running task starts before short ones.

        It does if it has run and didn't yield, or if its start is being prepared: the
        gap was there, and the capacity that is kept for it no longer counts as free.
        """
        return task in self._keeper_by_task or self._has_lost_its_run(task)

    def _has_lost_its_run(self, task: TaskKey) -> bool:
        """Return whether a long-running task has run, and didn't yield."""
        tracked = self.submissions.by_id[task.submission_id]
        if self._has_yielded(task):
            return False
        return bool(tracked.run_floor_by_task.get(task))

    def _keep_capacity(self, tracked: TrackedSubmission, task: TaskKey, view) -> None:
        """Keep capacity of a worker for a task that can't start in this round yet.

        Otherwise tasks without a record would take it in each round, and all tasks with
        one would be recorded for the same worker.
        """
        view.kept_step_by_task[task] = tracked.submission.steps[task.step]
        self._keeper_by_task[task] = view

    def _release_capacity(self, task: TaskKey) -> WorkerView | None:
        """Release the capacity kept for a task; return the worker that kept it."""
        view = self._keeper_by_task.pop(task, None)
        if view is not None:
            del view.kept_step_by_task[task]
        return view

    def _startable_tasks(self, ready: ReadyStep, now: float) -> list[TaskKey]:
        """Return the waiting tasks of a step that certainly run nowhere, in order."""
        return list(self._iter_startable(ready, now))

    def _iter_startable(self, ready: ReadyStep, now: float) -> Iterator[TaskKey]:
        """Yield what ``_startable_tasks`` returns, for a caller that may stop early."""
        for index in sorted(ready.waiting):
            task = ready.task(index)
            if (
                task not in self.run_by_task
                and task not in self._tasks_with_pending_move
                and not self._is_held(task, now)
                and not self._explain_doubt(task, now)
            ):
                yield task

    def _has_yielded(self, task: TaskKey) -> bool:
        return self.preemption is not None and self.preemption.has_yielded(task)

    def _is_held(self, task: TaskKey, now: float) -> bool:
        """Return whether a long-running task that has yielded mustn't start yet."""
        return self.preemption is not None and self.preemption.is_held(task, now)

    def _is_whole_gang_startable(self, ready: ReadyStep, now: float) -> bool:
        return len(self._startable_tasks(ready, now)) == ready.step.n_tasks

    def _relocate_from_draining(self, now: float) -> None:
        """Stop long-running tasks of draining workers if another worker fits them."""
        n_relocating = sum(
            run.step.is_long_running
            and run.phase is RunPhase.STOPPING
            and not self._has_yielded(run.task)
            for run in self.run_by_task.values()
        )
        for view in self.worker_by_id.values():
            if not view.entry.is_draining or not view.is_listed:
                continue
            for run in tuple(view.run_by_task.values()):
                if n_relocating >= MAX_RELOCATING:
                    return
                if self._can_relocate(run, now):
                    n_relocating += 1
                    self._stop(run, now)

    def _can_relocate(self, run: Run, now: float) -> bool:
        if not run.step.is_long_running or run.phase is not RunPhase.RUNNING:
            return False
        tracked = self.submissions.by_id[run.task.submission_id]
        service = tracked.submission.queue.service
        workers = self._startable_workers(now)
        target = choose_worker(run.task, run.step, service, workers, self.interference)
        return target is not None

    def may_send_start(self, order: StartOrder, now: float) -> bool:
        """Return whether a start may still be sent; call it right before sending.

        If not, the run is withdrawn, or unconfirmed if an earlier try may have arrived.
        """
        run = self.run_by_task.get(order.task)
        if run is None or run.number != order.run:
            return False
        if self._may_still_start(run, now):
            run.may_have_been_sent = True
            return True
        if not run.may_have_been_sent:
            self.crashes.on_survival((run,))
            self._mark_lost(run, "its start was not sent", now, ended_by=NEVER_RAN)
        elif run.phase is RunPhase.STARTING:
            self._mark_unconfirmed(run, now)
        return False

    def _may_still_start(self, run: Run, now: float) -> bool:
        """Return whether the reasons for a start's decision hold when it is sent.

        A worker that has restarted accepts orders of earlier owners, so a late one
        could start a task that a new owner has started elsewhere.
        """
        view = self.worker_by_id.get(run.worker_id)
        if self.awaits_cordon or self.is_fenced_out or view is None:
            return False
        if view.explain_out_of_use() or view.is_overcommitted:
            return False
        if view.incarnation_ms != run.incarnation_ms:
            return False
        if not run.may_have_been_sent and run.phase is RunPhase.STOPPING:
            return False
        if not self._has_evacuations():
            return True
        return not self._is_paused(now) and self._may_start(now)

    def _mark_unconfirmed(self, run: Run, now: float) -> None:
        """Take note that a worker may or may not run an order that it got."""
        view = self.worker_by_id.get(run.worker_id)
        if view is not None and not view.incarnation_ms:
            view.clock.assume_longest_lease(now, self.times.max_lease_s)
        run.phase = RunPhase.UNCONFIRMED
        run.phase_since = now

    def _start_gang(self, ready: ReadyStep, now: float) -> None:
        """Start all members of a gang under one run number, or none."""
        if not self._is_whole_gang_startable(ready, now):
            return
        tracked = ready.tracked
        tasks = self._startable_tasks(ready, now)
        if any(self._give_up_crashing(tracked, task, now) for task in tasks):
            return
        for task in tasks:
            self._release_capacity(task)
        number = max(tracked.next_run(task, self.epoch) for task in tasks)
        runs = self._place_gang(ready, tasks, number, now)
        if not runs:
            self._unplaced_tasks += [(tracked, task) for task in tasks]
            if ready.stuck_since is None:
                ready.stuck_since = now
            return
        ready.stuck_since = None
        are_recorded = [
            self._ensure_start_recorded(tracked, task, number, None, now)
            for task in tasks
        ]
        if not all(are_recorded):
            for run in runs:
                self._keep_capacity(tracked, run.task, self.worker_by_id[run.worker_id])
            self._prepared_tasks.update(tasks)
            return
        for run in runs:
            self._add_run(tracked, run)
        for run in runs:
            self._send_start(tracked, run, now)

    def _place_gang(
        self, ready: ReadyStep, tasks: list[TaskKey], number: int, now: float
    ) -> list[Run]:
        """Return a run for each member of a gang, or none if not all of them fit.

        Members that need one rack are tried on each of the racks, and on all together
        if no rack can ever hold them: they take longer, but start. No run is added: a
        try that fails leaves workers and run numbers as they are.
        """
        for rack in self._racks_for_gang(ready, now):
            runs = self._place_gang_in(rack, ready, tasks, number, now)
            if runs:
                return runs
        return []

    def _racks_for_gang(self, ready: ReadyStep, now: float) -> list[str | None]:
        """Return the racks to try for a gang, in order; None stands for all."""
        if not ready.step.same_rack or self._exceeds_all_racks(ready, now):
            return [None]
        racks = {view.entry.rack for view in self._startable_workers(now)}
        return sorted(racks, key=lambda rack: (rack != ready.step.data_rack, rack))

    def _exceeds_all_racks(self, ready: ReadyStep, now: float) -> bool:
        """Return whether no rack could hold a gang, as far as other cells tell.

        Their loads are known by the time that the gang is stuck.
        """
        if not is_stuck(ready, now) or not self._exceeds_racks_here(ready):
            return False
        service = ready.tracked.submission.queue.service
        return not any(
            headroom.service == service and headroom.fits_empty_rack(ready.step)
            for headroom in self._other_headrooms
        )

    def _exceeds_racks_here(self, ready: ReadyStep) -> bool:
        """Return whether a gang needs one rack, and none here could ever hold it."""
        if not ready.step.is_gang or not ready.step.same_rack:
            return False
        entries = (
            view.entry
            for view in self.worker_by_id.values()
            if view.is_listed and not view.entry.is_draining
        )
        service = ready.tracked.submission.queue.service
        return not fits_empty_rack(ready.step, service, entries)

    def _place_gang_in(
        self,
        rack: str | None,
        ready: ReadyStep,
        tasks: list[TaskKey],
        number: int,
        now: float,
    ) -> list[Run]:
        """Return a run for each member on workers of one rack, or of any if None."""
        runs: list[Run] = []
        for task in tasks:
            view = self._choose_worker(ready, task, now, rack)
            if view is None:
                break
            run = self._make_run(ready.tracked, task, view, number, now)
            view.add_run(run)
            runs.append(run)
        for run in runs:
            self.worker_by_id[run.worker_id].withdraw_run(run)
        return runs if len(runs) == len(tasks) else []

    def _start_waiting(
        self,
        ready: ReadyStep,
        now: float,
        selects: Callable[[TaskKey], bool] | None = None,
    ) -> None:
        """Start the waiting tasks of a step, only those that ``selects`` if given."""
        if ready.step.is_gang:
            self._start_gang(ready, now)
            return
        for task in self._iter_startable(ready, now):
            if selects is not None and not selects(task):
                continue
            if self._give_up_crashing(ready.tracked, task, now):
                return
            keeper = self._release_capacity(task)
            view = self._choose_worker(ready, task, now)
            if view is None:
                if keeper is not None and ready.step.fills:
                    # It may be forced there at the end of the round.
                    self._keep_capacity(ready.tracked, task, keeper)
                self._unplaced_tasks.append((ready.tracked, task))
                if ready.stuck_since is None:
                    ready.stuck_since = now
                if self._has_failed_here(task):
                    # Another task of the step may fit where this one has failed.
                    continue
                return
            ready.stuck_since = None
            if self._is_start_prepared(ready.tracked, task, view, now):
                self._start(ready.tracked, task, view, now)
            else:
                self._keep_capacity(ready.tracked, task, view)

    def _is_start_prepared(
        self, tracked: TrackedSubmission, task: TaskKey, view: WorkerView, now: float
    ) -> bool:
        """Return whether a task may start now; if not, prepare its start."""
        number = tracked.next_run(task, self.epoch)
        if not self._ensure_start_recorded(tracked, task, number, view, now):
            return False
        return self._may_start_beside_others(tracked, task, view, now)

    def _give_up_crashing(
        self, tracked: TrackedSubmission, task: TaskKey, now: float
    ) -> bool:
        """Fail a submission whose task has crashed too many workers; return whether.

        Runs that an earlier owner presumed count only if their worker has crashed.
        """
        if not tracked.n_crashes(task):
            return False
        tracked.settle_inherited_presumptions(task, self._has_crashed_since)
        if not self.crashes.give_up_crashing(tracked, task):
            return False
        self._stop_runs_of(task.submission_id, now)
        return True

    def _has_crashed_since(self, start: PresumedStart | None) -> bool | None:
        """Return whether a worker has crashed since a run was to start there.

        None if it hasn't answered yet. Without ``start`` any worker counts.
        """
        if start is None:
            return self._may_have_lost_worker()
        view = self.worker_by_id.get(start.worker_id)
        is_awaited = start.worker_id in self._unsettled_workers
        return self.crashes.has_crashed_since(start, view, is_awaited=is_awaited)

    def _ensure_start_recorded(
        self,
        tracked: TrackedSubmission,
        task: TaskKey,
        number: int,
        view: WorkerView | None,
        now: float,
    ) -> bool:
        """Have the next run of a suspect recorded first; return whether it may start.

        The next run of a task that may have crashed a worker, also under an earlier
        owner, is recorded as crashed on its worker before it starts there. No worker is
        recorded for a gang's run, which is chosen with those of the others.
        """
        if not tracked.n_crashes(task) and not self._may_have_crashed_before(task):
            return True
        self._prepared_tasks.add(task)
        start = None
        if view is not None:
            start = PresumedStart(view.entry.worker_id, view.incarnation_ms)
        return self.crashes.ensure_start_recorded(tracked, task, number, start, now)

    def _drop_presumptions(self, now: float) -> None:
        """Take back the presumed runs of waiting tasks while nothing may start.

        The next owner would count a run that never started as a possible crash.
        """
        for task in tuple(self._keeper_by_task):
            self._release_capacity(task)
        for ready in self.submissions.ready_steps(now):
            if ready.tracked.presumed_run_by_task:
                for index in ready.waiting:
                    ready.tracked.drop_presumption(ready.task(index))

    def _may_have_crashed_before(self, task: TaskKey) -> bool:
        """Return whether a task may have crashed a worker of an earlier owner."""
        if task.submission_id not in self._inherited_submissions:
            return False
        if task in self._tasks_with_known_run:
            return False
        return self._may_have_lost_worker()

    def _may_have_lost_worker(self) -> bool:
        """Return whether a worker of an earlier owner may have crashed."""
        return self.crashes.has_lost_worker or bool(self._unsettled_workers)

    def _may_start_beside_others(
        self, tracked: TrackedSubmission, task: TaskKey, view: WorkerView, now: float
    ) -> bool:
        """Return whether a crash of ``view`` would show whether ``task`` causes it."""
        if now < view.trial_until:
            return False
        if not tracked.n_crashes(task):
            return True
        if _is_quiet(view, now):
            return True
        return self._has_waited_for_quiet(tracked, task, now)

    def _has_waited_for_quiet(
        self, tracked: TrackedSubmission, task: TaskKey, now: float
    ) -> bool:
        return now - tracked.presumed_at_by_task.get(task, now) > MAX_QUIET_WAIT_S

    def _choose_worker(
        self, ready: ReadyStep, task: TaskKey, now: float, rack: str | None = None
    ) -> WorkerView | None:
        for views in self._preferred_workers(ready, task, now):
            if rack is not None:
                views = [view for view in views if view.entry.rack == rack]
            for group in self._candidate_groups(ready, task, views, now):
                chosen = self._choose_among(ready, task, group, now)
                if chosen is not None:
                    return chosen
        return None

    def _preferred_workers(
        self, ready: ReadyStep, task: TaskKey, now: float
    ) -> list[list[WorkerView]]:
        """Return the workers where a start may be prepared, the preferred ones first.

        A suspect prefers workers where nothing has just started. These may be full, so
        the others are a choice too: it waits there for its start.
        """
        if not ready.tracked.n_crashes(task):
            return [self._startable_workers(now)]
        if ready.step.is_gang:
            quiet, others = [], []
            for view in self._startable_workers(now):
                (quiet if _is_quiet(view, now) else others).append(view)
            return [quiet, others]
        return self._workers_for_suspect(ready.tracked, task, now)

    def _workers_for_suspect(
        self, tracked: TrackedSubmission, task: TaskKey, now: float
    ) -> list[list[WorkerView]]:
        """Return the workers where a suspect's start may be prepared, the best first.

        The best are the worker that it is recorded for, and those that the fewest
        starts are prepared for, if nothing has just started there.
        """
        start = tracked.presumed_start(task)
        recorded_id = "" if start is None else start.worker_id
        views = [
            view
            for view in self._usable_workers(now)
            if len(view.kept_step_by_task) < MAX_PREPARED_STARTS
            or view.entry.worker_id == recorded_id
        ]
        n_prepared = min((len(view.kept_step_by_task) for view in views), default=0)
        best, others = [], []
        for view in views:
            is_best = view.entry.worker_id == recorded_id or (
                _is_quiet(view, now) and len(view.kept_step_by_task) == n_prepared
            )
            (best if is_best else others).append(view)
        return [best, others]

    def _candidate_groups(
        self, ready: ReadyStep, task: TaskKey, views: list[WorkerView], now: float
    ) -> list[list[WorkerView]]:
        """Return the workers that may run a task, the preferred group first.

        The worker that the task's next run is recorded for precedes the others of its
        group, for which the run would have to be recorded again.
        """
        groups = [views]
        if self.uneven_workers is not None:
            groups = self.uneven_workers.candidate_groups(ready, task, views, now)
        if ready.step.data_rack:
            groups = _near_first(groups, ready.step.data_rack)
        start = ready.tracked.presumed_start(task)
        if start is None:
            return groups
        recorded = (
            [v for v in g if v.entry.worker_id == start.worker_id] for g in groups
        )
        pairs = zip(recorded, groups, strict=True)
        return [group for pair in pairs for group in pair if group]

    def _has_failed_here(self, task: TaskKey) -> bool:
        """Return whether a task is kept from workers where it has failed."""
        uneven_workers = self.uneven_workers
        return uneven_workers is not None and uneven_workers.health.has_failed(task)

    def _choose_among(
        self, ready: ReadyStep, task: TaskKey, views: list[WorkerView], now: float
    ) -> WorkerView | None:
        queue = ready.tracked.submission.queue
        if queue.advice is None:
            return choose_worker(
                task,
                ready.step,
                queue.service,
                views,
                self.interference,
                self.submissions.usual_demand_millis,
            )
        allowed = self._advised_workers(task, views, now)
        chosen = choose_worker(
            task, ready.step, queue.service, allowed, self.interference
        )
        if chosen is None:
            views = [view for view in views if view.entry.service == queue.service]
            self.advice.request_tickets(ready, views, now)
        return chosen

    def _advised_workers(
        self, task: TaskKey, views: list[WorkerView], now: float
    ) -> list[WorkerView]:
        """Return the workers that the advice service has named for a task."""
        return [v for v in views if self.advice.ticket_of(task, v, now) is not None]

    def _force_starving_fillers(self, now: float) -> None:
        """Start starving fillers despite interference.

        They run for less time than the platform allows a task to exceed its target, and
        their worker then recovers. A task of each submission without a run comes first,
        then the least recently forced submission.
        """
        forcible = self._forcible_steps(now)
        starving = [r for r in forcible if r.starved_s(now) > STARVATION_S]
        with_run = {task.submission_id for task in self.run_by_task}
        starving.sort(key=lambda ready: -ready.starved_s(now))
        for ready in starving:
            if ready.tracked.submission.submission_id not in with_run:
                is_last_resort = ready.starved_s(now) > LAST_RESORT_S
                self._force_tasks(ready, 1, now, is_last_resort=is_last_resort)
        self._join_rounds_beside_own_load(forcible, now)
        if not any(view.can_force_filler(now) for view in self.worker_by_id.values()):
            return
        starving.sort(key=lambda ready: ready.tracked.last_forced_at)
        for ready in starving:
            self._force_tasks(ready, MAX_FORCED_PER_STEP, now)

    def _forcible_steps(self, now: float) -> list[ReadyStep]:
        """Return the waiting fillers of services of which enough isn't reserved."""
        reserved_share_of = cache(lambda service: self._reserved_share(service, now))
        return [
            ready
            for ready in self.submissions.ready_steps(now)
            if ready.step.fills
            and not ready.step.is_gang
            and ready.stuck_since is not None
            and reserved_share_of(ready.tracked.submission.queue.service)
            < MAX_RESERVED_SHARE
        ]

    def _join_rounds_beside_own_load(
        self, forcible: list[ReadyStep], now: float
    ) -> None:
        """Force a task of each submission without a run where others just were.

        Only where no worker is below its targets, for submissions that don't starve
        yet: once they do, these workers may not take fillers again for over 3 s.
        """
        if not any(is_own_load_round_open(v, now) for v in self.worker_by_id.values()):
            return
        with_run = {task.submission_id for task in self.run_by_task}
        for ready in forcible:
            if ready.tracked.submission.submission_id in with_run:
                continue
            if not self._can_force_below_target(ready, now):
                self._force_tasks(ready, 1, now, is_last_resort=True, joins_round=True)

    def _can_force_below_target(self, ready: ReadyStep, now: float) -> bool:
        """Return whether a filler can be forced onto a worker that isn't recovering.

        One where a suspect of a crash has just started counts: it soon takes others.
        """
        queue = ready.tracked.submission.queue
        task = ready.task(min(ready.waiting))
        workers = self._usable_workers(now)
        if queue.advice is not None:
            workers = self._advised_workers(task, workers, now)
        return can_force_filler(task, ready.step, queue.service, workers)

    def _force_tasks(
        self,
        ready: ReadyStep,
        n_tasks: int,
        now: float,
        *,
        is_last_resort: bool = False,
        joins_round: bool = False,
    ) -> None:
        """Start up to ``n_tasks`` of a step despite interference, or prepare that.

        As a last resort any worker with room will do, unless it recovers from what
        fillers did there. One that ``joins_round`` starts only where others have just
        been forced beside tasks over their targets.
        """
        for task in islice(self._iter_startable(ready, now), n_tasks):
            self._release_capacity(task)
            view = self._choose_forced_worker(
                ready, task, now, is_last_resort=is_last_resort, joins_round=joins_round
            )
            if view is None:
                self._unplaced_tasks.append((ready.tracked, task))
                break
            number = ready.tracked.next_run(task, self.epoch)
            if self._ensure_start_recorded(ready.tracked, task, number, view, now):
                self._force_start(ready, task, view, now)
            else:
                self._keep_capacity(ready.tracked, task, view)

    def _reserved_share(self, service: str, now: float) -> float:
        """Return the reserved share of a service's processors in all known cells."""
        views = self.worker_by_id.values()
        return reserved_share(service, views, self._other_headrooms, now)

    def _choose_forced_worker(
        self,
        ready: ReadyStep,
        task: TaskKey,
        now: float,
        *,
        is_last_resort: bool,
        joins_round: bool,
    ) -> WorkerView | None:
        """Return the worker where a filler should interfere least, if it fits any."""
        queue = ready.tracked.submission.queue
        workers = [
            view
            for view in self._startable_workers(now)
            if view.entry.service == queue.service
        ]
        if joins_round:
            workers = [view for view in workers if is_own_load_round_open(view, now)]
        elif not is_last_resort:
            workers = forcible_workers(workers, now)
        if queue.advice is not None:
            workers = self._advised_workers(task, workers, now)
        for group in self._candidate_groups(ready, task, workers, now):
            view = choose_forced_worker(
                task,
                ready.step,
                queue.service,
                group,
                self.interference,
                now,
                is_last_resort=is_last_resort,
            )
            if view is not None:
                return view
        return None

    def _force_start(
        self, ready: ReadyStep, task: TaskKey, view: WorkerView, now: float
    ) -> None:
        """Start a filler on a worker despite interference."""
        view.on_forced(now)
        logger.info(
            "filler started despite interference: task %s image %s on %s",
            task,
            ready.step.image,
            view.entry.worker_id,
        )
        self._start(ready.tracked, task, view, now)
        ready.tracked.last_forced_at = now
        self.run_by_task[task].is_forced = True

    def _startable_workers(self, now: float) -> list[WorkerView]:
        return [v for v in self._usable_workers(now) if now >= v.trial_until]

    def _usable_workers(self, now: float) -> list[WorkerView]:
        """Return the workers that starts may be prepared for.

        A start there may have to wait for the trial of a suspect.
        """
        if not self._may_start(now):
            return []
        views = self._answering_workers
        if views is None:
            views = self._find_answering_workers(now)
        return [view for view in views if not view.explain_unreleased(now)]

    def _find_answering_workers(self, now: float) -> list[WorkerView]:
        """Return the recorded workers that are in use, avoided ones included.

        They stay the same during the starts of a planning round.
        """
        is_list_outdated = now - self.workers_listed_at > MAX_LIST_AGE_S
        unsafe_services = self.unguarded_services if is_list_outdated else ()
        return [
            view
            for worker_id, view in self.worker_by_id.items()
            if worker_id in self._recorded_workers
            and not view.explain_no_answer(now)
            and view.entry.service not in unsafe_services
            and self.confirmation.covers(view.started_by)
        ]

    def _start(
        self, tracked: TrackedSubmission, task: TaskKey, view: WorkerView, now: float
    ) -> None:
        number = tracked.next_run(task, self.epoch)
        run = self._make_run(tracked, task, view, number, now)
        self._add_run(tracked, run)
        self._send_start(tracked, run, now)

    def _make_run(
        self,
        tracked: TrackedSubmission,
        task: TaskKey,
        view: WorkerView,
        number: int,
        now: float,
    ) -> Run:
        return Run(
            task,
            number,
            view.entry.worker_id,
            tracked.submission.steps[task.step],
            RunPhase.STARTING,
            now,
            now,
            checkpoint=tracked.checkpoint_of(task),
            incarnation_ms=view.incarnation_ms,
            is_resumed=bool(tracked.checkpoint_of(task)),
        )

    def _send_start(self, tracked: TrackedSubmission, run: Run, now: float) -> None:
        tracked.has_started = True
        view = self.worker_by_id[run.worker_id]
        view.last_start_at = now
        if tracked.n_crashes(run.task):
            view.trial_until = now + LIKELY_CAUSE_AGE_S
        logger.info(
            "run started: task %s run %d on %s, %d of %d left, %.1f s before due%s",
            run.task,
            run.number,
            run.worker_id,
            view.cpu_left(),
            view.entry.capacity.cpu_millis,
            tracked.due_at - now,
            f", inherited: {run.certainty}" if run.certainty else "",
        )
        order = StartOrder(
            run.task,
            run.number,
            tracked.submission.spec,
            self.lease_until_ms(view, now),
            self.epoch,
            run.checkpoint,
            self.advice.ticket_of(run.task, view, now) or "",
            run.incarnation_ms,
        )
        self._enqueue_order(run.worker_id, order)

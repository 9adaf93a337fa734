"""Scheduling loop: decide for all owned cells, commit, then exchange with workers."""

import asyncio
import logging
from dataclasses import replace
from functools import partial

import msgspec

from berylcleat.model import OutcomeUnknownError, PlatformUnavailableError
from berylcleat.ownership import (
    ENDED_STATES,
    Adopt,
    Assign,
    CancelJob,
    CellState,
    Claim,
    DoneRow,
    End,
    JobRow,
    OwnedCell,
    Return,
    ReturnedTask,
    Settle,
    apply_records,
    detect_ends,
    task_id_of,
    task_index_of,
)
from berylcleat.peers import ConfigSource
from berylcleat.placement import (
    EndedTask,
    Evict,
    Place,
    PlacementPolicy,
    PlacementView,
    Throttle,
    Wait,
)
from berylcleat.ports import (
    ChangeFeed,
    Check,
    Put,
    Table,
    WorkerControl,
)
from berylcleat.telemetry import Tracer

from . import _metrics
from ._cell_ownership import CellOwnership, cell_key
from ._cell_runtime import (
    CellRuntime,
    interference_group_of,
    is_unresponsive,
    make_placement_view,
)
from ._commit_batch import CommitBatch
from ._decision_log import DecisionLog
from ._job_cache import (
    JobCache,
    VersionedJob,
    done_key,
    job_key,
)
from ._journal import JournalWriter
from ._settings import PlannerSettings
from ._worker_exchanges import WorkerExchanges

SNAPSHOT_INTERVAL_ROWS = 200
MAX_REPLY_AGE_PERIODS = 2.5
logger = logging.getLogger(__name__)


class Scheduler:
    """Scheduling loop over the cells that ``ownership`` holds."""

    def __init__(
        self,
        settings: PlannerSettings,
        ownership: CellOwnership,
        table: Table,
        workers: WorkerControl,
        job_cache: JobCache,
        feed: ChangeFeed,
        config: ConfigSource,
        policy: PlacementPolicy,
        tracer: Tracer,
        log: DecisionLog,
    ):
        self._settings = settings
        self._ownership = ownership
        self._job_cache = job_cache
        self._feed = feed
        self._config = config
        self._policy = policy
        self._tracer = tracer
        self._log = log
        self.journal = JournalWriter(table, ownership.owner_id)
        self._pending_batch: CommitBatch | None = None
        self._has_work = asyncio.Event()
        self.exchanges = WorkerExchanges(
            ownership, workers, log, settings.exchange_period_s, self.mark_dirty
        )

    def mark_dirty(self, cell: CellRuntime) -> None:
        """Schedule a decision for ``cell``."""
        cell.is_dirty = True
        self._has_work.set()

    def wake(self) -> None:
        """Start the next tick early, to claim tasks of open jobs."""
        self._has_work.set()

    async def run(self) -> None:
        """Tick when woken, or after ``idle_period_s`` without an event."""
        while True:
            try:
                async with asyncio.timeout(self._settings.idle_period_s):
                    await self._has_work.wait()
            except TimeoutError:
                pass
            self._has_work.clear()
            if self._config.follower.is_known:
                await self.tick()
            # Collect further events for the next group commit.
            await asyncio.sleep(self._settings.commit_period_s)

    async def tick(self) -> None:
        """Decide and commit for every cell, then start the exchanges that are due."""
        now = asyncio.get_running_loop().time()
        if not self._ownership.may_renew(now):
            return
        self._mark_cells_with_lapsed_leases(now)
        try:
            await self._commit_ends_and_starts(now)
            await self._commit_claims(now)
        except (OutcomeUnknownError, PlatformUnavailableError):
            # Exchanges keep renewing worker leases; no decision is made until the
            # table answers.
            logger.debug("table did not answer; decisions are postponed")
        self.exchanges.send_due()

    def _mark_cells_with_lapsed_leases(self, now: float) -> None:
        for cell in self._ownership.cell_by_id.values():
            for worker_id, view in cell.owned.worker_by_id.items():
                if now > view.lease_ends_by and cell.owned.cell.assigned_to(worker_id):
                    cell.is_dirty = True

    async def _commit_ends_and_starts(self, now: float) -> None:
        if not self.journal.is_resolved:
            await self._apply_commit_result(await self.journal.resolve_pending())
            return
        batch = CommitBatch()
        for cell in self._ownership.cell_by_id.values():
            if cell.is_dirty or cell.has_new_report or _has_queued_tasks(cell.owned):
                self._decide_cell(cell, batch, now)
        self._add_snapshots(batch)
        await self._commit(batch)

    def _decide_cell(self, cell: CellRuntime, batch: CommitBatch, now: float) -> None:
        """Add ends, cancellations, settled claims, returns and assignments."""
        ends = detect_ends(cell.owned, now)
        cancels = self._cancel_records(cell)
        ended = apply_records(cell.owned.cell, (*cancels, *ends))
        settled = self._settle_claims(ended, batch)
        batch.add(cell, (*cancels, *ends, *settled))
        self._return_queued_tasks(cell, apply_records(ended, settled), batch, now)
        for end in ends:
            batch.on_applied.append(partial(self._record_end, cell, end))
        after = _with_cell_state(cell.owned, apply_records(ended, settled))
        batch.add(cell, self._place_tasks(cell, after, batch, now))
        cell.is_dirty = False

    def _cancel_records(self, cell: CellRuntime) -> tuple[CancelJob, ...]:
        state = cell.owned.cell
        return tuple(
            CancelJob(state.cell_id, job_id)
            for job_id in state.job_by_id
            if job_id not in state.cancelled
            and (job := self._job_cache.job_by_id.get(job_id))
            and job.row.state == "cancelled"
        )

    def _settle_claims(
        self, after: CellState, batch: CommitBatch
    ) -> tuple[Settle, ...]:
        settled = []
        for claim in after.claims:
            states = [task.state for task in after.tasks_of(claim)]
            if any(state not in ENDED_STATES for state in states):
                continue
            counts = {name: states.count(name) for name in ENDED_STATES}
            row = DoneRow(
                claim.job_id,
                claim.first,
                counts["finished"],
                counts["failed"],
                counts["cancelled"],
            )
            attempt = after.tasks_of(claim)[0].attempt
            key = done_key(claim.job_id, claim.first, attempt)
            batch.checks.append(Check(key, 0))
            batch.puts.append(Put(key, msgspec.json.encode(row).decode()))
            settled.append(Settle(after.cell_id, claim.job_id, claim.first))
        return tuple(settled)

    def _record_end(self, cell: CellRuntime, end: End) -> None:
        """Update metrics, cell state and decision log for an ended attempt.

        Call it before the record is applied, while the task still names its worker.
        """
        _metrics.ENDS.labels(end.outcome).inc()
        task = cell.owned.cell.task_by_id[end.task_id]
        if end.outcome in ("failed", "refused"):
            workers = cell.failed_on.get(end.task_id, frozenset())
            cell.failed_on[end.task_id] = workers | {task.worker_id}
        cell.evictions.discard(end.task_id)
        cell.throttled.discard(end.task_id)
        cell.trace_by_task.pop(end.task_id, None)
        group = interference_group_of(cell.owned.cell.job_by_id[task.job_id].labels)
        cell.ended_tasks.append(
            EndedTask(end.task_id, task.worker_id, group, end.outcome)
        )
        cell.queued_at.pop(end.task_id, None)
        subjects = (f"task/{end.task_id}", f"worker/{task.worker_id}")
        reason = f"attempt {end.attempt} on {task.worker_id}"
        self._log.record(subjects, f"ended: {end.outcome}", reason)

    def _place_tasks(
        self, cell: CellRuntime, after: OwnedCell, batch: CommitBatch, now: float
    ) -> tuple[Assign, ...]:
        """Return the policy's assignments for the state ``after``.

        Evictions and throttles that the policy decides take effect on ``cell``.
        """
        if not _has_queued_tasks(after) and not cell.has_new_report:
            return ()
        view = self.placement_view_of(cell, after, now)
        step = self._policy.decide(cell.policy_state, view)
        cell.policy_state = step.state
        cell.ended_tasks.clear()
        cell.has_new_report = False
        assigns = []
        for decision in step.decisions:
            if isinstance(decision, Place):
                assign = _make_assign(after, decision)
                assigns.append(assign)
                on_applied = partial(
                    self._record_assignment, cell, assign, decision.reason, now
                )
                batch.on_applied.append(on_applied)
            elif isinstance(decision, Evict):
                self._evict(cell, decision)
            elif isinstance(decision, Throttle):
                self._throttle(cell, decision)
            elif isinstance(decision, Wait):
                self._log.record(
                    (f"task/{decision.task_id}",), "waits", decision.reason
                )
        return tuple(assigns)

    def placement_view_of(
        self, cell: CellRuntime, owned: OwnedCell, now: float
    ) -> PlacementView:
        """Return the placement view of ``cell`` in the state ``owned``."""
        max_reply_age_s = MAX_REPLY_AGE_PERIODS * self._settings.exchange_period_s
        return make_placement_view(
            cell, owned, self._config.current(), now, max_reply_age_s
        )

    def _record_assignment(
        self, cell: CellRuntime, assign: Assign, reason: str, now: float
    ) -> None:
        """Update metrics, trace and decision log; exchange with the worker at once."""
        task_id, worker_id = assign.task_id, assign.worker_id
        job = self._job_cache.job_by_id.get(cell.owned.cell.task_by_id[task_id].job_id)
        with self._tracer.span(
            "planner.assign",
            parent=job.row.trace if job else "",
            task=task_id,
            worker=worker_id,
        ) as span:
            cell.trace_by_task[task_id] = self._tracer.format_traceparent(span)
        cell.started_at[task_id] = now
        cell.exchange_due_at[worker_id] = now
        self.exchanges.expect_end(cell, assign, now)
        _metrics.STARTS.inc()
        subjects = (f"task/{task_id}", f"worker/{worker_id}")
        action = f"attempt {assign.attempt} placed on {worker_id}"
        self._log.record(subjects, action, reason)

    def _evict(self, cell: CellRuntime, decision: Evict) -> None:
        if decision.task_id in cell.evictions:
            return
        cell.evictions.add(decision.task_id)
        cell.exchange_due_at[decision.worker_id] = 0.0
        _metrics.EVICTIONS.inc()
        subjects = (f"task/{decision.task_id}", f"worker/{decision.worker_id}")
        self._log.record(
            subjects, f"evicted from {decision.worker_id}", decision.reason
        )

    def _throttle(self, cell: CellRuntime, decision: Throttle) -> None:
        if decision.is_on:
            cell.throttled.add(decision.task_id)
        else:
            cell.throttled.discard(decision.task_id)
        cell.exchange_due_at[decision.worker_id] = 0.0
        _metrics.THROTTLES.inc()
        action = "throttled" if decision.is_on else "no longer throttled"
        subjects = (f"task/{decision.task_id}", f"worker/{decision.worker_id}")
        self._log.record(subjects, f"{action} on {decision.worker_id}", decision.reason)

    def _add_snapshots(self, batch: CommitBatch) -> None:
        """Add a snapshot of each cell that needs one to the batch.

        A cell whose state begins in this journal needs one after
        ``SNAPSHOT_INTERVAL_ROWS`` rows, any other cell as soon as it has records in the
        batch.
        """
        for cell in self._ownership.cell_by_id.values():
            row = cell.row
            is_own = row.journal == self.journal.journal_id
            if (
                is_own
                and self.journal.sequence - row.journal_from < SNAPSHOT_INTERVAL_ROWS
            ):
                continue
            if not is_own and cell.row.cell_id not in batch.cells:
                continue
            after = apply_records(cell.owned.cell, tuple(batch.records))
            batch.add(cell, (after.snapshot_record(),))
            batch.snapshot_row_by_cell[row.cell_id] = msgspec.structs.replace(
                row, journal=self.journal.journal_id, journal_from=self.journal.sequence
            )

    async def _commit_claims(self, now: float) -> None:
        if not self._job_cache.open_by_id or not self._ownership.cell_by_id:
            return
        views = {
            cell_id: self.placement_view_of(cell, cell.owned, now)
            for cell_id, cell in self._ownership.cell_by_id.items()
        }
        claims = self._job_cache.choose_claims(views, self._config.current())
        batch = CommitBatch()
        for claim in claims:
            if self._holds_returned_task(claim):
                continue
            batch.add(self._ownership.cell_by_id[claim.cell_id], (claim,))
            self._update_claimed_job(batch, claim)
        self._add_snapshots(batch)
        await self._commit(batch)

    def _job_row(self, batch: CommitBatch, job_id: str) -> JobRow:
        """Return the job row as changed by the batch; add a check of its version."""
        cached = self._job_cache.job_by_id[job_id]
        if job_id not in batch.job_by_id:
            batch.checks.append(Check(job_key(job_id), cached.version))
            batch.job_by_id[job_id] = cached.row
        return batch.job_by_id[job_id]

    def _update_claimed_job(self, batch: CommitBatch, claim: Claim | Adopt) -> None:
        job_id = claim.spec.job_id
        row = self._job_row(batch, job_id)
        if isinstance(claim, Claim):
            n_claimed = row.n_claimed + claim.n_tasks
            row = msgspec.structs.replace(row, n_claimed=n_claimed)
        else:
            remaining = tuple(task for task in row.returned if task not in claim.tasks)
            row = msgspec.structs.replace(row, returned=remaining)
        batch.job_by_id[job_id] = row

    def _holds_returned_task(self, claim: Claim | Adopt) -> bool:
        """Return whether the cell still holds a task that it returned to its job."""
        if isinstance(claim, Claim):
            return False
        task_by_id = self._ownership.cell_by_id[claim.cell_id].owned.cell.task_by_id
        job_id = claim.spec.job_id
        return any(task_id_of(job_id, task.index) in task_by_id for task in claim.tasks)

    def _return_queued_tasks(
        self, cell: CellRuntime, after: CellState, batch: CommitBatch, now: float
    ) -> None:
        """Return queued tasks to their jobs if no worker of the cell answers."""
        if not is_unresponsive(cell, now, self._settings.return_after_s):
            return
        for task_id, task in after.task_by_id.items():
            if task.state != "queued" or task.job_id not in self._job_cache.job_by_id:
                continue
            row = self._job_row(batch, task.job_id)
            returned = ReturnedTask(
                task_index_of(task_id), task.attempt, task.progress_s
            )
            batch.job_by_id[task.job_id] = msgspec.structs.replace(
                row, returned=(*row.returned, returned)
            )
            batch.add(cell, (Return(after.cell_id, task_id),))
            record_return = partial(
                self._log.record, (f"task/{task_id}",), "returned to its job"
            )
            batch.on_applied.append(
                partial(record_return, "no worker of its cell answers")
            )

    async def _commit(self, batch: CommitBatch) -> None:
        if not batch.records:
            return
        for cell in batch.cells.values():
            batch.checks.append(Check(cell_key(cell.row.cell_id), cell.row_version))
        for cell_id, row in batch.snapshot_row_by_cell.items():
            value = msgspec.json.encode(row).decode()
            batch.puts.append(Put(cell_key(cell_id), value))
        for job_id, row in batch.job_by_id.items():
            batch.puts.append(Put(job_key(job_id), msgspec.json.encode(row).decode()))
        self._pending_batch = batch
        result = await self.journal.commit(
            tuple(batch.records),
            tuple(batch.checks),
            tuple(batch.puts),
        )
        await self._apply_commit_result(result)

    async def _apply_commit_result(self, result) -> None:
        """Apply the pending batch, or handle its conflict with another writer."""
        batch, self._pending_batch = self._pending_batch, None
        if not result.applied:
            await self._handle_conflict(batch, result.failed_key)
            return
        for callback in batch.on_applied:
            callback()
        for cell in batch.cells.values():
            state = apply_records(cell.owned.cell, tuple(batch.records))
            cell.owned = _with_cell_state(cell.owned, state)
            self.mark_dirty(cell)
        for cell_id, row in batch.snapshot_row_by_cell.items():
            cell = batch.cells[cell_id]
            cell.row, cell.row_version = row, result.version
            self._ownership.row_by_cell[cell_id] = (row, result.version)
        for job_id, row in batch.job_by_id.items():
            self._job_cache.update_job(VersionedJob(row, result.version))
            self._log.record(
                (f"job/{job_id}",),
                f"claimed {row.n_claimed} of {row.spec.n_tasks} tasks",
                "cells of this host have free capacity",
            )

    async def _handle_conflict(self, batch: CommitBatch, failed_key: str) -> None:
        logger.info("commit conflict: another writer changed row %s", failed_key)
        for cell in batch.cells.values():
            self.mark_dirty(cell)
        if failed_key.startswith("cell/"):
            self._ownership.drop_cell(failed_key.removeprefix("cell/"))
        elif failed_key.startswith("job/"):
            await self._feed.poll()


def _has_queued_tasks(owned: OwnedCell) -> bool:
    return any(task.state == "queued" for task in owned.cell.task_by_id.values())


def _with_cell_state(owned: OwnedCell, state: CellState) -> OwnedCell:
    return replace(owned, cell=state)


def _make_assign(owned: OwnedCell, decision: Place) -> Assign:
    """Return the record that assigns the next attempt to the worker's incarnation."""
    task = owned.cell.task_by_id[decision.task_id]
    reply = owned.worker_by_id[decision.worker_id].reply
    return Assign(
        owned.cell.cell_id,
        decision.task_id,
        task.attempt + 1,
        decision.worker_id,
        reply.incarnation,
    )

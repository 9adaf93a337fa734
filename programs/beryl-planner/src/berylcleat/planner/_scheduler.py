"""Decide, make durable, act: the tick over all owned cells."""

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
    derive_ends,
    index_of,
    task_id_of,
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
from ._batch import Batch
from ._cell_runtime import CellRuntime, group_of, is_deserted, make_view
from ._decision_log import DecisionLog
from ._exchanges import Exchanges
from ._job_board import (
    JobBoard,
    ListedJob,
    done_key,
    job_key,
)
from ._journal import JournalWriter
from ._ownership_keeper import OwnershipKeeper, cell_key
from ._settings import PlannerSettings

SNAPSHOT_EVERY_ROWS = 200
FRESH_PERIODS = 2.5
logger = logging.getLogger(__name__)


class Scheduler:
    """Run the cells that ``keeper`` owns."""

    def __init__(
        self,
        settings: PlannerSettings,
        keeper: OwnershipKeeper,
        table: Table,
        workers: WorkerControl,
        board: JobBoard,
        feed: ChangeFeed,
        config: ConfigSource,
        policy: PlacementPolicy,
        tracer: Tracer,
        log: DecisionLog,
    ):
        self._settings = settings
        self._keeper = keeper
        self._board = board
        self._feed = feed
        self._config = config
        self._policy = policy
        self._tracer = tracer
        self._log = log
        self.journal = JournalWriter(table, keeper.me)
        self._pending: Batch | None = None
        self._has_work = asyncio.Event()
        self.exchanges = Exchanges(
            keeper, workers, log, settings.exchange_period_s, self.mark
        )

    def mark(self, cell: CellRuntime) -> None:
        """Note that ``cell`` needs a decision soon."""
        cell.is_dirty = True
        self._has_work.set()

    def wake(self) -> None:
        """Decide soon: there may be something to claim."""
        self._has_work.set()

    async def run(self) -> None:
        """Decide when something has happened, or a period has passed without."""
        while True:
            try:
                async with asyncio.timeout(self._settings.idle_period_s):
                    await self._has_work.wait()
            except TimeoutError:
                pass
            self._has_work.clear()
            if self._config.follower.is_known:
                await self.tick()
            # What comes meanwhile shares the next group commit.
            await asyncio.sleep(self._settings.commit_period_s)

    async def tick(self) -> None:
        """Decide and commit for every cell, then talk to the workers that are due."""
        now = asyncio.get_running_loop().time()
        if not self._keeper.may_act(now):
            return
        self._notice_lapses(now)
        try:
            await self._commit_ends_and_starts(now)
            await self._commit_claims(now)
        except (OutcomeUnknownError, PlatformUnavailableError):
            # Renewals go on; nothing new is decided until the table answers.
            logger.debug("the table does not answer")
        self.exchanges.send_due()

    def _notice_lapses(self, now: float) -> None:
        for cell in self._keeper.cell_by_id.values():
            for worker_id, view in cell.owned.worker_by_id.items():
                if now > view.lease_ends_by and cell.owned.cell.assigned_to(worker_id):
                    cell.is_dirty = True

    async def _commit_ends_and_starts(self, now: float) -> None:
        if not self.journal.is_settled:
            await self._finish(await self.journal.settle())
            return
        batch = Batch()
        for cell in self._keeper.cell_by_id.values():
            if cell.is_dirty or cell.has_new_report or _has_queue(cell.owned):
                self._decide(cell, batch, now)
        self._add_snapshot(batch)
        await self._commit(batch)

    def _decide(self, cell: CellRuntime, batch: Batch, now: float) -> None:
        """Add what has ended, was cancelled, is settled or can start in ``cell``."""
        ends = derive_ends(cell.owned, now)
        cancels = self._cancels(cell)
        ended = apply_records(cell.owned.cell, (*cancels, *ends))
        settled = self._settle_claims(ended, batch)
        batch.add(cell, (*cancels, *ends, *settled))
        self._returns(cell, apply_records(ended, settled), batch, now)
        for end in ends:
            batch.on_applied.append(partial(self._note_end, cell, end))
        after = _with_cell(cell.owned, apply_records(ended, settled))
        batch.add(cell, self._starts(cell, after, batch, now))
        cell.is_dirty = False

    def _cancels(self, cell: CellRuntime) -> tuple[CancelJob, ...]:
        state = cell.owned.cell
        return tuple(
            CancelJob(state.cell_id, job_id)
            for job_id in state.job_by_id
            if job_id not in state.cancelled
            and (job := self._board.job_by_id.get(job_id))
            and job.row.state == "cancelled"
        )

    def _settle_claims(self, after: CellState, batch: Batch) -> tuple[Settle, ...]:
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

    def _note_end(self, cell: CellRuntime, end: End) -> None:
        """Count and explain an end; the cell still shows where it ran."""
        _metrics.ENDS.labels(end.outcome).inc()
        task = cell.owned.cell.task_by_id[end.task_id]
        if end.outcome in ("failed", "refused"):
            known = cell.failed_on.get(end.task_id, frozenset())
            cell.failed_on[end.task_id] = known | {task.worker_id}
        cell.evictions.discard(end.task_id)
        cell.throttled.discard(end.task_id)
        cell.trace_by_task.pop(end.task_id, None)
        group = group_of(cell.owned.cell.job_by_id[task.job_id].labels)
        cell.ended.append(EndedTask(end.task_id, task.worker_id, group, end.outcome))
        cell.queued_at.pop(end.task_id, None)
        subjects = (f"task/{end.task_id}", f"worker/{task.worker_id}")
        reason = f"attempt {end.attempt} on {task.worker_id}"
        self._log.note(subjects, f"ended: {end.outcome}", reason)

    def _starts(
        self, cell: CellRuntime, after: OwnedCell, batch: Batch, now: float
    ) -> tuple[Assign, ...]:
        """Return the assignments that the policy wants once ``after`` holds."""
        if not _has_queue(after) and not cell.has_new_report:
            return ()
        view = self.view_of(cell, after, now)
        step = self._policy.decide(cell.memory, view)
        cell.memory = step.memory
        cell.ended.clear()
        cell.has_new_report = False
        assigns = []
        for decision in step.decisions:
            if isinstance(decision, Place):
                assign = _assign(after, decision)
                assigns.append(assign)
                note = partial(self._note_assign, cell, assign, decision.reason, now)
                batch.on_applied.append(note)
            elif isinstance(decision, Evict):
                self._evict(cell, decision)
            elif isinstance(decision, Throttle):
                self._throttle(cell, decision)
            elif isinstance(decision, Wait):
                self._log.note((f"task/{decision.task_id}",), "waits", decision.reason)
        return tuple(assigns)

    def view_of(self, cell: CellRuntime, owned: OwnedCell, now: float) -> PlacementView:
        """Return the placement view of ``cell`` in the state ``owned``."""
        fresh_s = FRESH_PERIODS * self._settings.exchange_period_s
        return make_view(cell, owned, self._config.current(), now, fresh_s)

    def _note_assign(
        self, cell: CellRuntime, assign: Assign, reason: str, now: float
    ) -> None:
        """Count, trace and explain a durable assignment; the worker is due."""
        task_id, worker_id = assign.task_id, assign.worker_id
        job = self._board.job_by_id.get(cell.owned.cell.task_by_id[task_id].job_id)
        with self._tracer.span(
            "planner.assign",
            parent=job.row.trace if job else "",
            task=task_id,
            worker=worker_id,
        ) as span:
            cell.trace_by_task[task_id] = self._tracer.format_traceparent(span)
        cell.started_at[task_id] = now
        cell.due_at[worker_id] = now
        self.exchanges.expect_end(cell, assign, now)
        _metrics.STARTS.inc()
        subjects = (f"task/{task_id}", f"worker/{worker_id}")
        action = f"attempt {assign.attempt} placed on {worker_id}"
        self._log.note(subjects, action, reason)

    def _evict(self, cell: CellRuntime, decision: Evict) -> None:
        if decision.task_id in cell.evictions:
            return
        cell.evictions.add(decision.task_id)
        cell.due_at[decision.worker_id] = 0.0
        _metrics.EVICTIONS.inc()
        subjects = (f"task/{decision.task_id}", f"worker/{decision.worker_id}")
        self._log.note(subjects, f"evicted from {decision.worker_id}", decision.reason)

    def _throttle(self, cell: CellRuntime, decision: Throttle) -> None:
        if decision.is_on:
            cell.throttled.add(decision.task_id)
        else:
            cell.throttled.discard(decision.task_id)
        cell.due_at[decision.worker_id] = 0.0
        _metrics.THROTTLES.inc()
        action = "throttled" if decision.is_on else "runs freely again"
        subjects = (f"task/{decision.task_id}", f"worker/{decision.worker_id}")
        self._log.note(subjects, f"{action} on {decision.worker_id}", decision.reason)

    def _add_snapshot(self, batch: Batch) -> None:
        """Write a cell whole when its state begins in another journal or far back."""
        for cell in self._keeper.cell_by_id.values():
            row = cell.row
            is_own = row.journal == self.journal.journal
            if (
                is_own
                and self.journal.sequence - row.journal_from < SNAPSHOT_EVERY_ROWS
            ):
                continue
            if not is_own and cell.row.cell_id not in batch.cells:
                continue
            after = apply_records(cell.owned.cell, tuple(batch.records))
            batch.add(cell, (after.full_record(),))
            batch.pointer_by_cell[row.cell_id] = msgspec.structs.replace(
                row, journal=self.journal.journal, journal_from=self.journal.sequence
            )

    async def _commit_claims(self, now: float) -> None:
        if not self._board.open_by_id or not self._keeper.cell_by_id:
            return
        views = {
            cell_id: self.view_of(cell, cell.owned, now)
            for cell_id, cell in self._keeper.cell_by_id.items()
        }
        claims = self._board.choose_claims(views, self._config.current())
        batch = Batch()
        for claim in claims:
            if self._is_held(claim):
                continue
            batch.add(self._keeper.cell_by_id[claim.cell_id], (claim,))
            self._claim_job(batch, claim)
        self._add_snapshot(batch)
        await self._commit(batch)

    def _job_row(self, batch: Batch, job_id: str) -> JobRow:
        """Return the job as the batch leaves it; the commit checks its version."""
        listed = self._board.job_by_id[job_id]
        if job_id not in batch.job_by_id:
            batch.checks.append(Check(job_key(job_id), listed.version))
            batch.job_by_id[job_id] = listed.row
        return batch.job_by_id[job_id]

    def _claim_job(self, batch: Batch, claim: Claim | Adopt) -> None:
        job_id = claim.spec.job_id
        row = self._job_row(batch, job_id)
        if isinstance(claim, Claim):
            n_claimed = row.n_claimed + claim.n_tasks
            row = msgspec.structs.replace(row, n_claimed=n_claimed)
        else:
            left = tuple(task for task in row.returned if task not in claim.tasks)
            row = msgspec.structs.replace(row, returned=left)
        batch.job_by_id[job_id] = row

    def _is_held(self, claim: Claim | Adopt) -> bool:
        """Tell whether the cell still keeps the record of a task it gave back."""
        if isinstance(claim, Claim):
            return False
        held = self._keeper.cell_by_id[claim.cell_id].owned.cell.task_by_id
        job_id = claim.spec.job_id
        return any(task_id_of(job_id, task.index) in held for task in claim.tasks)

    def _returns(
        self, cell: CellRuntime, after: CellState, batch: Batch, now: float
    ) -> None:
        """Give back what waits in a cell whose workers have all gone silent."""
        if not is_deserted(cell, now, self._settings.return_after_s):
            return
        for task_id, task in after.task_by_id.items():
            if task.state != "queued" or task.job_id not in self._board.job_by_id:
                continue
            row = self._job_row(batch, task.job_id)
            given = ReturnedTask(index_of(task_id), task.attempt, task.progress_s)
            batch.job_by_id[task.job_id] = msgspec.structs.replace(
                row, returned=(*row.returned, given)
            )
            batch.add(cell, (Return(after.cell_id, task_id),))
            note = partial(self._log.note, (f"task/{task_id}",), "returned to its job")
            batch.on_applied.append(partial(note, "no worker of its cell answers"))

    async def _commit(self, batch: Batch) -> None:
        if not batch.records:
            return
        for cell in batch.cells.values():
            batch.checks.append(Check(cell_key(cell.row.cell_id), cell.row_version))
        for cell_id, row in batch.pointer_by_cell.items():
            value = msgspec.json.encode(row).decode()
            batch.puts.append(Put(cell_key(cell_id), value))
        for job_id, row in batch.job_by_id.items():
            batch.puts.append(Put(job_key(job_id), msgspec.json.encode(row).decode()))
        self._pending = batch
        result = await self.journal.commit(
            tuple(batch.records),
            tuple(batch.checks),
            tuple(batch.puts),
        )
        await self._finish(result)

    async def _finish(self, result) -> None:
        """Apply the pending batch, or undo what it was based on."""
        batch, self._pending = self._pending, None
        if not result.applied:
            await self._on_conflict(batch, result.failed_key)
            return
        for note in batch.on_applied:
            note()
        for cell in batch.cells.values():
            state = apply_records(cell.owned.cell, tuple(batch.records))
            cell.owned = _with_cell(cell.owned, state)
            self.mark(cell)
        for cell_id, row in batch.pointer_by_cell.items():
            cell = batch.cells[cell_id]
            cell.row, cell.row_version = row, result.version
            self._keeper.row_by_cell[cell_id] = (row, result.version)
        for job_id, row in batch.job_by_id.items():
            self._board.put(ListedJob(row, result.version))
            self._log.note(
                (f"job/{job_id}",),
                f"claimed {row.n_claimed} of {row.spec.n_tasks} tasks",
                "cells of this host have room",
            )

    async def _on_conflict(self, batch: Batch, failed_key: str) -> None:
        logger.info("commit lost to another writer at %s", failed_key)
        for cell in batch.cells.values():
            self.mark(cell)
        if failed_key.startswith("cell/"):
            self._keeper.drop(failed_key.removeprefix("cell/"))
        elif failed_key.startswith("job/"):
            await self._feed.poll()


def _has_queue(owned: OwnedCell) -> bool:
    return any(task.state == "queued" for task in owned.cell.task_by_id.values())


def _with_cell(owned: OwnedCell, state: CellState) -> OwnedCell:
    return replace(owned, cell=state)


def _assign(owned: OwnedCell, decision: Place) -> Assign:
    """Return the record that binds the next attempt to the worker as it is now."""
    task = owned.cell.task_by_id[decision.task_id]
    reply = owned.worker_by_id[decision.worker_id].reply
    return Assign(
        owned.cell.cell_id,
        decision.task_id,
        task.attempt + 1,
        decision.worker_id,
        reply.incarnation,
    )

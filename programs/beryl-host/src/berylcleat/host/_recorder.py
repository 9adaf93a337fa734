"""Record a cell's progress and workers in the store, fenced by its owner row."""

import asyncio
import logging
from itertools import accumulate
from typing import Annotated

import msgspec

from berylcleat.model import (
    BerylError,
    MalformedValueError,
    RejectedWriteError,
    TaskDemand,
    decode_json,
)
from berylcleat.platform import check_address
from berylcleat.ports import (
    Commit,
    CommitOutcome,
    Condition,
    RowWrite,
    Store,
    StoreRow,
    WorkerEntry,
)
from berylcleat.scheduling import (
    CellScheduler,
    Progress,
    ProgressWrite,
    RecordBatch,
    compact_record,
    decode_progress,
)

from ._clock import now_s
from ._records import (
    CELL_TABLE,
    OWNER_KEY,
    PROGRESS_TABLE,
    RECORDED_WORKER_TABLE,
    WORKERS_KEY,
    WorkersRow,
    encode,
)

# The store accepts at most 100 entries, conditions and writes, per transaction.
MAX_TRANSACTION_ENTRIES = 100
# Bytes of records in a transaction: base64 makes a third more of them, and the store
# accepts at most 1 MB.
MAX_TRANSACTION_BYTES = 500_000
# The store doesn't reject a record of less than this for its size.
MIN_COMPACTED_BYTES = 4096
# Seconds before a record that the store rejected alone is sent again.
REJECTED_RETRY_S = 10.0
# Seconds until records are looked for again that can be written beside rejected ones.
REJECTED_PAUSE_S = 0.3
MAX_RELEASE_ATTEMPTS = 3
logger = logging.getLogger(__name__)
# Stands for recorded workers that can't be decoded. It never reports, so that inherited
# tasks wait until all leases of earlier owners have expired.
UNKNOWN_WORKER = WorkerEntry(
    worker_id="",
    service="",
    address="",
    data_centre="",
    kind="",
    rack="",
    labels=frozenset(),
    capacity=TaskDemand(),
    started_at_ms=0,
)


class _RawWorkersRow(msgspec.Struct, frozen=True):
    """Recorded workers, each still to be decoded."""

    workers: tuple[msgspec.Raw, ...]


class _RawLeasesRow(msgspec.Struct, frozen=True):
    """How long leases last at most, by worker, each still to be decoded."""

    lease_left_s_by_worker: dict[str, msgspec.Raw] = msgspec.field(default_factory=dict)


_row_decoder = msgspec.json.Decoder(_RawWorkersRow)
_leases_decoder = msgspec.json.Decoder(_RawLeasesRow)
_lease_decoder = msgspec.json.Decoder(Annotated[float, msgspec.Meta(ge=0)])
_entry_decoder = msgspec.json.Decoder(WorkerEntry)


def _first_chunk(
    writes: tuple[ProgressWrite, ...], extra_writes: tuple[RowWrite, ...]
) -> tuple[ProgressWrite, ...]:
    """Return the first writes that fit into one transaction beside others."""
    # The owner condition is one entry; each row takes two, a condition and a write.
    max_writes = (MAX_TRANSACTION_ENTRIES - 1 - len(extra_writes)) // 2
    sizes = accumulate(len(write.value) for write in writes[:max_writes])
    n_fitting = sum(size <= MAX_TRANSACTION_BYTES for size in sizes)
    return writes[: max(1, n_fitting)]


def _smaller_half(writes: tuple[ProgressWrite, ...]) -> tuple[ProgressWrite, ...]:
    """Return the half of writes with the smaller records, none of a single one."""
    by_size = sorted(writes, key=lambda write: len(write.value))
    return tuple(by_size[: len(writes) // 2])


class ProgressRecorder:
    """Writer of one cell's rows, as long as its owner row has not changed.

    Each write is also conditional on its own row's version, so that a delayed write
    can't overwrite a newer one. ``confirmed_at`` is when the newest request was sent
    whose answer showed the owner row unchanged. ``unreadable_ids`` are the submissions
    whose recorded progress can't be relied on: which of their tasks are done isn't
    known.

    A record that the store rejects is written in its compact form from then on. One
    that it rejects in this form too is sent alone, and seldom, so that it doesn't keep
    others from being written.
    """

    def __init__(self, store: Store, cell_id: str, owner_version: int):
        self.has_lost_ownership = False
        self.confirmed_at = float("-inf")
        self.unreadable_ids: set[str] = set()
        self._store = store
        self._cell_id = cell_id
        self._owner_condition = Condition(CELL_TABLE, cell_id, OWNER_KEY, owner_version)
        self._version_by_id: dict[str, int] = {}
        self._compact_ids: set[str] = set()
        self._retry_at_by_rejected_id: dict[str, float] = {}
        self._workers_version = 0
        # How long leases on recorded workers last at most, in seconds from the write.
        self.lease_left_s_by_worker: dict[str, float] = {}

    async def confirm_ownership(self) -> None:
        """Read the owner row. Raises ``BerylError`` if the store doesn't answer."""
        requested_at = now_s()
        page = await self._store.read(
            CELL_TABLE, self._cell_id, OWNER_KEY, OWNER_KEY + "\x00"
        )
        if [row.version for row in page.rows] == [self._owner_condition.version]:
            self._on_confirmed(requested_at)
        else:
            self._on_lost()

    async def read_progress(self) -> dict[str, Progress]:
        """Return the progress that earlier owners recorded, by submission id."""
        page = await self._store.read(PROGRESS_TABLE, self._cell_id)
        return self._decode_rows(page.rows)

    async def read_workers(self) -> tuple[WorkerEntry, ...]:
        """Return the workers on which an earlier owner may have started tasks.

        ``UNKNOWN_WORKER`` is among them if one can't be decoded. Those without a usable
        address are left out: nothing can have started there.
        """
        page = await self._store.read(RECORDED_WORKER_TABLE, self._cell_id, WORKERS_KEY)
        for row in page.rows:
            self._workers_version = row.version
            self.lease_left_s_by_worker = self._decode_leases(row.value)
            return self._decode_workers(row.value)
        return ()

    def _decode_leases(self, value: bytes) -> dict[str, float]:
        """Return how long leases last at most, as far as it can be decoded."""
        left_s_by_worker = {}
        try:
            raw_by_worker = decode_json(_leases_decoder, value).lease_left_s_by_worker
            for worker_id, raw in raw_by_worker.items():
                left_s_by_worker[worker_id] = decode_json(_lease_decoder, raw)
        except MalformedValueError as error:
            self._log_workers(error)
        return left_s_by_worker

    def _decode_workers(self, value: bytes) -> tuple[WorkerEntry, ...]:
        try:
            raw_entries = decode_json(_row_decoder, value).workers
        except MalformedValueError as error:
            self._log_workers(error)
            return (UNKNOWN_WORKER,)
        entry_by_id = {}
        for raw in raw_entries:
            entry = self._decode_worker(raw)
            if entry is not None:
                entry_by_id[entry.worker_id] = entry
        return tuple(entry_by_id.values())

    def _decode_worker(self, raw: msgspec.Raw) -> WorkerEntry | None:
        try:
            entry = decode_json(_entry_decoder, raw)
        except MalformedValueError as error:
            self._log_workers(error)
            return UNKNOWN_WORKER
        if entry == UNKNOWN_WORKER:
            return entry
        try:
            check_address(entry.address)
        except MalformedValueError as error:
            self._log_workers(error)
            return None
        return entry

    def _log_workers(self, error: MalformedValueError) -> None:
        logger.error(
            "cell %s: recorded workers can't be decoded: %s", self._cell_id, error
        )

    @property
    def workers_version(self) -> int:
        """Version of the row of recorded workers that was read or written last."""
        return self._workers_version

    async def record_workers(self, scheduler: CellScheduler) -> bool:
        """Record the cell's workers; return whether they are durable."""
        views = dict(scheduler.worker_by_id)
        requested_at = now_s()
        leases = scheduler.on_recording_workers(frozenset(views), requested_at)
        entry_by_worker = {worker_id: view.entry for worker_id, view in views.items()}
        row = WorkersRow(tuple(entry_by_worker.values()), leases)
        row_key = (RECORDED_WORKER_TABLE, self._cell_id, WORKERS_KEY)
        conditions = (self._owner_condition, Condition(*row_key, self._workers_version))
        try:
            outcome = await self._store.commit(
                Commit(conditions, (RowWrite(*row_key, encode(row)),))
            )
        except BerylError as error:
            logger.warning(
                "cell %s: could not record workers: %s", self._cell_id, error
            )
            return False
        if not outcome.applied:
            self._on_conflict(outcome)
            return False
        self._on_confirmed(requested_at)
        self._workers_version = outcome.version
        # Workers that began to drain, or came back at another address, during the write
        # are recorded by the next one.
        scheduler.on_workers_recorded(
            frozenset(
                worker_id
                for worker_id, entry in entry_by_worker.items()
                if views[worker_id].entry.is_draining == entry.is_draining
                and views[worker_id].entry.address == entry.address
            )
        )
        return True

    async def commit(self, scheduler: CellScheduler | None, batch: RecordBatch) -> bool:
        """Commit as much of a batch as one transaction holds.

        Returns whether the whole batch is durable. Raises ``RejectedWriteError`` if the
        store rejects a record that is sent alone.
        """
        chunk = self._choose_chunk(batch)
        if batch.writes and not chunk:
            await asyncio.sleep(REJECTED_PAUSE_S)
            return False
        while True:
            try:
                is_applied = await self._commit_chunk(chunk)
                break
            except RejectedWriteError as error:
                chunk = self._reduce_chunk(chunk, error)
        if not is_applied:
            return False
        for write in chunk:
            self._retry_at_by_rejected_id.pop(write.submission_id, None)
        is_complete = len(chunk) == len(batch.writes)
        acks = batch.ack_by_worker if is_complete else {}
        if scheduler is not None:
            scheduler.on_recorded(RecordBatch(chunk, acks))
        return is_complete

    def _choose_chunk(self, batch: RecordBatch) -> tuple[ProgressWrite, ...]:
        """Return the writes to send next: a rejected one that is due, or others."""
        retry_at_by_id = self._retry_at_by_rejected_id
        now = now_s()
        for write in batch.writes:
            if retry_at_by_id.get(write.submission_id, float("inf")) <= now:
                return (write,)
        return _first_chunk(self._without_rejected(batch.writes), ())

    def _without_rejected(
        self, writes: tuple[ProgressWrite, ...]
    ) -> tuple[ProgressWrite, ...]:
        rejected_ids = self._retry_at_by_rejected_id
        return tuple(
            write for write in writes if write.submission_id not in rejected_ids
        )

    def _reduce_chunk(
        self, chunk: tuple[ProgressWrite, ...], error: RejectedWriteError
    ) -> tuple[ProgressWrite, ...]:
        """Return what to send instead of writes that the store rejected together.

        Raises ``error`` if it rejects a single one in every form.
        """
        if len(chunk) != 1:
            return _smaller_half(chunk)
        submission_id, value = chunk[0].submission_id, chunk[0].value
        if submission_id not in self._compact_ids and len(value) >= MIN_COMPACTED_BYTES:
            self._compact_ids.add(submission_id)
            return chunk
        self._retry_at_by_rejected_id[submission_id] = now_s() + REJECTED_RETRY_S
        logger.error(
            "submission %s: the store rejects its record, %d bytes as plain text",
            submission_id,
            len(value),
        )
        raise error

    async def release(self, batch: RecordBatch, owner_write: RowWrite) -> bool:
        """Replace the owner row, and record as much of a batch as fits with it.

        Returns whether the row was replaced. Progress may conflict with an earlier
        commit of this recorder whose answer was lost; the next try takes it over. What
        the store rejects is left out.
        """
        chunk = _first_chunk(self._without_rejected(batch.writes), (owner_write,))
        n_attempts = 0
        while n_attempts < MAX_RELEASE_ATTEMPTS and not self.has_lost_ownership:
            try:
                if await self._commit_chunk(chunk, (owner_write,)):
                    return True
                n_attempts += 1
            except RejectedWriteError:
                if not chunk:
                    raise
                chunk = _smaller_half(chunk)
        return False

    async def _commit_chunk(
        self,
        chunk: tuple[ProgressWrite, ...],
        extra_writes: tuple[RowWrite, ...] = (),
    ) -> bool:
        """Commit writes in one transaction; return whether they are durable."""
        conditions = [self._owner_condition]
        writes = list(extra_writes)
        for write in chunk:
            version = self._version_by_id.get(write.submission_id, 0)
            key = (PROGRESS_TABLE, self._cell_id, write.submission_id)
            conditions.append(Condition(*key, version))
            is_compact = write.submission_id in self._compact_ids
            value = compact_record(write.value) if is_compact else write.value
            writes.append(RowWrite(*key, value))
        requested_at = now_s()
        outcome = await self._store.commit(Commit(tuple(conditions), tuple(writes)))
        if not outcome.applied:
            self._on_conflict(outcome)
            return False
        self._on_confirmed(requested_at)
        for write in chunk:
            self._version_by_id[write.submission_id] = outcome.version
        return True

    def _on_conflict(self, outcome: CommitOutcome) -> None:
        for row in outcome.current:
            if row.key == WORKERS_KEY:
                self._workers_version = row.version
            elif row.table == PROGRESS_TABLE:
                # Written by an earlier commit of this recorder whose answer was lost.
                self._version_by_id[row.key] = row.version
            elif row.version != self._owner_condition.version:
                self._on_lost()

    def _on_confirmed(self, requested_at: float) -> None:
        self.confirmed_at = max(self.confirmed_at, requested_at)

    def _on_lost(self) -> None:
        logger.warning(
            "cell %s: ownership lost, the owner row has changed", self._cell_id
        )
        self.has_lost_ownership = True

    def _decode_rows(self, rows: tuple[StoreRow, ...]) -> dict[str, Progress]:
        progress_by_id = {}
        for row in rows:
            self._version_by_id[row.key] = row.version
            try:
                progress_by_id[row.key] = decode_progress(row.key, row.value)
            except MalformedValueError as error:
                self.unreadable_ids.add(row.key)
                logger.error(
                    "submission %s: its progress can't be decoded, so none of its "
                    "tasks starts: %s",
                    row.key,
                    error,
                )
        return progress_by_id

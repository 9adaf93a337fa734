"""Idempotency keys in the platform's table.

A key is claimed before its request is sent; the outcome is recorded afterwards.
"""

import asyncio
import logging
import secrets

import msgspec

from berylcleat.http import HttpResponse
from berylcleat.model import OutcomeUnknownError, PlatformUnavailableError
from berylcleat.ports import Check, Put, Table, Transaction
from berylcleat.routing import KeyDecision, KeyRow, KeyState, Outcome, decide_key

MAX_STORED_BODY_BYTES = 65_536
WRITE_RETRY_INTERVAL_S = 0.5
logger = logging.getLogger(__name__)


class KeyClaim(msgspec.Struct, frozen=True):
    """Decision on a key, with the row that it is based on and the row's version."""

    decision: KeyDecision
    key: str
    version: int = 0
    row: KeyRow | None = None


class IdempotencyKeyStore:
    """Client of the key table for one incarnation of an entry host."""

    def __init__(self, table: Table, claimant: str):
        self._table = table
        self._claimant = claimant
        self._background_writes: set[asyncio.Task] = set()

    @property
    def n_pending_writes(self) -> int:
        """Return how many claims wait to be released or to have an outcome stored."""
        return len(self._background_writes)

    async def claim(
        self, service: str, key: str, digest: str, deadline_at: float
    ) -> KeyClaim:
        """Claim ``key`` durably, or return the decision that an existing row implies.

        Raises ``PlatformUnavailableError`` if the claim is not confirmed by
        ``deadline_at``. The caller must not send the request then; a claim that may
        have been stored is released in the background.
        """
        row_key = f"idem/{service}/{key}"
        own_row = KeyRow(KeyState.CLAIMED, self._claimant, digest)
        task = asyncio.ensure_future(self._try_claim(row_key, own_row, 0))
        try:
            async with asyncio.timeout_at(deadline_at):
                return await asyncio.shield(task)
        except (TimeoutError, OutcomeUnknownError, PlatformUnavailableError) as error:
            # PlatformUnavailableError means that the claim was not stored, so there is
            # nothing to release.
            if not isinstance(error, PlatformUnavailableError):
                self._run_in_background(
                    self._release_unconfirmed(task, row_key, own_row)
                )
            raise PlatformUnavailableError(
                "cannot claim idempotency key: the table does not answer",
                "Retry with the same key after the Retry-After delay",
            ) from error
        except asyncio.CancelledError:
            self._run_in_background(self._release_unconfirmed(task, row_key, own_row))
            raise

    async def _try_claim(self, row_key: str, own_row: KeyRow, version: int) -> KeyClaim:
        result = await self._put(row_key, own_row, version)
        if result.applied:
            return KeyClaim(KeyDecision.CLAIM, row_key, result.version, own_row)
        found = await self._table.read(row_key)
        row = msgspec.json.decode(found.value, type=KeyRow) if found else None
        decision = decide_key(row, own_row.digest)
        if decision is KeyDecision.CLAIM and found and version != found.version:
            return await self._try_claim(row_key, own_row, found.version)
        if decision is KeyDecision.CLAIM:
            raise PlatformUnavailableError(
                "idempotency key was changed concurrently", "Retry with the same key"
            )
        return KeyClaim(decision, row_key, found.version, row)

    async def _put(self, row_key: str, row: KeyRow, version: int):
        transaction = Transaction(
            secrets.token_hex(8),
            row_key,
            (Check(row_key, version),),
            (Put(row_key, msgspec.json.encode(row).decode()),),
        )
        return await self._table.commit(transaction)

    def record_outcome(
        self, claim: KeyClaim, outcome: Outcome, response: HttpResponse | None
    ) -> None:
        """Store the outcome of a claimed request in the background, with retries."""
        row = msgspec.structs.replace(claim.row, state=KeyState.UNKNOWN)
        if outcome is Outcome.NOT_RUN:
            row = msgspec.structs.replace(claim.row, state=KeyState.RELEASED)
        elif outcome is Outcome.ANSWERED:
            row = _make_done_row(claim.row, response)
        self._run_in_background(self._write_with_retries(claim, row))

    async def _write_with_retries(self, claim: KeyClaim, row: KeyRow) -> None:
        while True:
            try:
                await self._put(claim.key, row, claim.version)
                return
            except (OutcomeUnknownError, PlatformUnavailableError):
                await asyncio.sleep(WRITE_RETRY_INTERVAL_S)

    async def _release_unconfirmed(
        self, task: asyncio.Future, row_key: str, own_row: KeyRow
    ) -> None:
        """Resolve a claim that the caller no longer waits for, and release it."""
        try:
            claim = await task
        except (OutcomeUnknownError, PlatformUnavailableError):
            claim = await self._resolve_claim(row_key, own_row)
        if claim.decision is KeyDecision.CLAIM:
            row = msgspec.structs.replace(own_row, state=KeyState.RELEASED)
            await self._write_with_retries(claim, row)

    async def _resolve_claim(self, row_key: str, own_row: KeyRow) -> KeyClaim:
        """Return the decision on the stored row, or claim the key if there is none.

        Claiming it makes a delayed write of the earlier claim fail its version check.
        """
        while True:
            try:
                found = await self._table.read(row_key)
                if found:
                    row = msgspec.json.decode(found.value, type=KeyRow)
                    is_own = row == own_row
                    # No row has an empty digest, so the decision on another's row is
                    # never to claim the key.
                    decision = KeyDecision.CLAIM if is_own else decide_key(row, "")
                    return KeyClaim(decision, row_key, found.version, row)
                return await self._try_claim(row_key, own_row, 0)
            except (OutcomeUnknownError, PlatformUnavailableError):
                await asyncio.sleep(WRITE_RETRY_INTERVAL_S)

    def _run_in_background(self, coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self._background_writes.add(task)
        task.add_done_callback(self._background_writes.discard)

    async def flush(self, grace_s: float) -> None:
        """Wait up to ``grace_s`` seconds for pending background writes."""
        if self._background_writes:
            await asyncio.wait(self._background_writes, timeout=grace_s)


def _make_done_row(row: KeyRow, response: HttpResponse) -> KeyRow:
    has_body = len(response.body) <= MAX_STORED_BODY_BYTES
    return msgspec.structs.replace(
        row,
        state=KeyState.DONE,
        status=response.status,
        headers=response.headers,
        body=response.body if has_body else b"",
        has_body=has_body,
    )

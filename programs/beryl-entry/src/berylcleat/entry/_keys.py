"""Idempotency keys in the table: claim before sending, settle after."""

import asyncio
import logging
import secrets

import msgspec

from berylcleat.http import HttpResponse
from berylcleat.model import OutcomeUnknownError, PlatformUnavailableError
from berylcleat.ports import Check, Put, Table, Transaction
from berylcleat.routing import KeyDecision, KeyRow, KeyState, Outcome, decide_key

MAX_KEPT_BODY_BYTES = 65_536
SETTLE_PAUSE_S = 0.5
logger = logging.getLogger(__name__)


class KeyClaim(msgspec.Struct, frozen=True):
    """Hold the verdict on a key, and the row that gave it."""

    decision: KeyDecision
    key: str
    version: int = 0
    row: KeyRow | None = None


class KeyKeeper:
    """Claim and settle idempotency keys for one entry host incarnation."""

    def __init__(self, table: Table, claimant: str):
        self._table = table
        self._claimant = claimant
        self._settling: set[asyncio.Task] = set()

    @property
    def n_settling(self) -> int:
        """Return how many keys wait to be settled."""
        return len(self._settling)

    async def claim(
        self, service: str, key: str, digest: str, deadline_at: float
    ) -> KeyClaim:
        """Claim ``key`` durably or say why it can't be.

        Raises ``PlatformUnavailableError`` if no claim stands by ``deadline_at``; the
        request then was not sent, and a claim that may have landed is released.
        """
        row_key = f"idem/{service}/{key}"
        mine = KeyRow(KeyState.CLAIMED, self._claimant, digest)
        task = asyncio.ensure_future(self._claim(row_key, mine, 0))
        try:
            async with asyncio.timeout_at(deadline_at):
                return await asyncio.shield(task)
        except (TimeoutError, OutcomeUnknownError, PlatformUnavailableError) as problem:
            # A claim that never left this process needs no release.
            if not isinstance(problem, PlatformUnavailableError):
                self._in_background(self._release_late(task, row_key, mine))
            raise PlatformUnavailableError(
                "idempotency key can't be claimed: the table does not answer",
                "Send it again with the same key after the pause",
            ) from problem
        except asyncio.CancelledError:
            self._in_background(self._release_late(task, row_key, mine))
            raise

    async def _claim(self, row_key: str, mine: KeyRow, version: int) -> KeyClaim:
        result = await self._put(row_key, mine, version)
        if result.applied:
            return KeyClaim(KeyDecision.CLAIM, row_key, result.version, mine)
        found = await self._table.read(row_key)
        row = msgspec.json.decode(found.value, type=KeyRow) if found else None
        decision = decide_key(row, mine.digest)
        if decision is KeyDecision.CLAIM and found and version != found.version:
            return await self._claim(row_key, mine, found.version)
        if decision is KeyDecision.CLAIM:
            raise PlatformUnavailableError("key is contended", "Send it again")
        return KeyClaim(decision, row_key, found.version, row)

    async def _put(self, row_key: str, row: KeyRow, version: int):
        transaction = Transaction(
            secrets.token_hex(8),
            row_key,
            (Check(row_key, version),),
            (Put(row_key, msgspec.json.encode(row).decode()),),
        )
        return await self._table.commit(transaction)

    def settle(
        self, claim: KeyClaim, outcome: Outcome, response: HttpResponse | None
    ) -> None:
        """Record the end of a claimed request; the caller does not wait for it."""
        row = msgspec.structs.replace(claim.row, state=KeyState.UNKNOWN)
        if outcome is Outcome.NOT_RUN:
            row = msgspec.structs.replace(claim.row, state=KeyState.RELEASED)
        elif outcome is Outcome.ANSWERED:
            row = _done_row(claim.row, response)
        self._in_background(self._write_until_done(claim, row))

    async def _write_until_done(self, claim: KeyClaim, row: KeyRow) -> None:
        while True:
            try:
                await self._put(claim.key, row, claim.version)
                return
            except (OutcomeUnknownError, PlatformUnavailableError):
                await asyncio.sleep(SETTLE_PAUSE_S)

    async def _release_late(
        self, task: asyncio.Future, row_key: str, mine: KeyRow
    ) -> None:
        """Find out what became of a claim nobody waits for, and release it."""
        try:
            claim = await task
        except (OutcomeUnknownError, PlatformUnavailableError):
            claim = await self._claim_until_known(row_key, mine)
        if claim.decision is KeyDecision.CLAIM:
            row = msgspec.structs.replace(mine, state=KeyState.RELEASED)
            await self._write_until_done(claim, row)

    async def _claim_until_known(self, row_key: str, mine: KeyRow) -> KeyClaim:
        """Return our claim if it landed, else one made now so that it can't land."""
        while True:
            try:
                found = await self._table.read(row_key)
                if found:
                    row = msgspec.json.decode(found.value, type=KeyRow)
                    is_mine = row == mine
                    decision = KeyDecision.CLAIM if is_mine else decide_key(row, "")
                    return KeyClaim(decision, row_key, found.version, row)
                return await self._claim(row_key, mine, 0)
            except (OutcomeUnknownError, PlatformUnavailableError):
                await asyncio.sleep(SETTLE_PAUSE_S)

    def _in_background(self, work) -> None:
        task = asyncio.ensure_future(work)
        self._settling.add(task)
        task.add_done_callback(self._settling.discard)

    async def flush(self, grace_s: float) -> None:
        """Wait up to ``grace_s`` for the keys still to be settled."""
        if self._settling:
            await asyncio.wait(self._settling, timeout=grace_s)


def _done_row(row: KeyRow, response: HttpResponse) -> KeyRow:
    keeps = len(response.body) <= MAX_KEPT_BODY_BYTES
    return msgspec.structs.replace(
        row,
        state=KeyState.DONE,
        status=response.status,
        headers=response.headers,
        body=response.body if keeps else b"",
        has_body=keeps,
    )

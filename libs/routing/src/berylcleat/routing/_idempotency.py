"""Idempotency keys: a durable claim before a request is sent, once."""

from enum import Enum

import msgspec
import xxhash


class KeyState(Enum):
    """Name the states of an idempotency key."""

    CLAIMED = "claimed"
    RELEASED = "released"
    DONE = "done"
    UNKNOWN = "unknown"


class KeyRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold one key: who claimed it, for which content, and the answer."""

    state: KeyState
    claimant: str
    digest: str
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    has_body: bool = True


class KeyDecision(Enum):
    """Name what a request may do given the row of its key."""

    CLAIM = "claim"
    REPLAY = "replay"
    IN_PROGRESS = "in-progress"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"


def request_digest(method: str, target: str, body: bytes) -> str:
    """Return a digest of what the request asks for."""
    head = f"{method} {target}\n".encode()
    return xxhash.xxh3_128_hexdigest(head + body)


def decide_key(row: KeyRow | None, digest: str) -> KeyDecision:
    """Return what a request with ``digest`` may do.

    A key that someone claimed is never sent again on a guess.
    """
    if row is None:
        return KeyDecision.CLAIM
    if row.digest != digest:
        return KeyDecision.MISMATCH
    if row.state is KeyState.RELEASED:
        return KeyDecision.CLAIM
    if row.state is KeyState.DONE:
        return KeyDecision.REPLAY if row.has_body else KeyDecision.UNKNOWN
    if row.state is KeyState.UNKNOWN:
        return KeyDecision.UNKNOWN
    return KeyDecision.IN_PROGRESS

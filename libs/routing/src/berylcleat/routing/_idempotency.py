"""Idempotency keys: at most one request per key runs.

A request is sent only after its key has been claimed durably.
"""

from enum import Enum

import msgspec
import xxhash


class KeyState(Enum):
    """State of an idempotency key.

    CLAIMED: its request may have been sent. RELEASED: that request did not run, so
    the key may be claimed again. DONE: answered. UNKNOWN: may have run, no answer.
    """

    CLAIMED = "claimed"
    RELEASED = "released"
    DONE = "done"
    UNKNOWN = "unknown"


class KeyRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """Stored row of a key: its claimant, the digest of its request, the response.

    ``has_body`` is false if the response's body was not stored.
    """

    state: KeyState
    claimant: str
    digest: str
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    has_body: bool = True


class KeyDecision(Enum):
    """What to do with a request, given the stored row of its key."""

    CLAIM = "claim"
    REPLAY = "replay"
    IN_PROGRESS = "in-progress"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"


def request_digest(method: str, target: str, body: bytes) -> str:
    """Return a digest of the request's method, target and body."""
    head = f"{method} {target}\n".encode()
    return xxhash.xxh3_128_hexdigest(head + body)


def decide_key(row: KeyRow | None, digest: str) -> KeyDecision:
    """Return what to do with a request whose digest is ``digest``.

    Never allows a second request under a claimed key whose outcome is not known, as
    the first one may have run.
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

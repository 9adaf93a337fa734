"""Protocol classes and data types of the platform's services."""

from dataclasses import dataclass, field
from typing import Protocol

from berylcleat.model import WorkerSpec

from ._worker_messages import ExchangeReply, ExchangeRequest


@dataclass(frozen=True, slots=True)
class Row:
    """Row of the table; ``version`` is drawn from one counter of the whole table."""

    key: str
    version: int
    txn_id: str
    value: str


@dataclass(frozen=True, slots=True)
class Check:
    """Precondition that ``key`` still has ``version`` (0: the row doesn't exist)."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Put:
    """Write of ``value`` (JSON text) to the row ``key``."""

    key: str
    value: str


@dataclass(frozen=True, slots=True)
class Transaction:
    """Conditional transaction: all of its writes and deletes take effect, or none.

    ``evidence`` is the key of one of ``puts``. No other transaction may overwrite
    that row before the writer has read it back: after a lost response, the row's
    ``txn_id`` shows whether this transaction was applied.
    """

    txn_id: str
    evidence: str
    checks: tuple[Check, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class CommitResult:
    """Outcome of a transaction: its version, or the key of the failed check."""

    applied: bool
    version: int = 0
    failed_key: str = ""


@dataclass(frozen=True, slots=True)
class ScanResult:
    """Rows found by a scan, and the table's version at which they were read."""

    version: int
    rows: tuple[Row, ...] = ()


@dataclass(frozen=True, slots=True)
class ListedHost:
    """Host of this scheduler on the platform's eventually consistent list."""

    host_id: str
    data_centre: str
    entry_address: str
    admin_address: str
    planner_admin_address: str
    entry_peer_address: str
    planner_peer_address: str
    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class ListedWorker:
    """Worker on the platform's eventually consistent list.

    ``is_gone`` means that the platform reported the worker as deleted.
    """

    spec: WorkerSpec
    is_leaving: bool = False
    is_gone: bool = False


@dataclass(frozen=True, slots=True)
class PlatformList:
    """Entries of the list that changed after the requested version."""

    version: int
    hosts: tuple[ListedHost, ...] = field(default_factory=tuple)
    workers: tuple[ListedWorker, ...] = field(default_factory=tuple)


class Table(Protocol):
    """Table with conditional multi-row transactions."""

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Apply ``transaction``.

        Raises ``OutcomeUnknownError`` if it may or may not have been applied.
        """

    async def read(self, key: str) -> Row | None:
        """Return the row ``key``, or None if it doesn't exist."""

    async def scan(self, prefixes: tuple[str, ...], since: int = 0) -> ScanResult:
        """Return rows written after version ``since`` with one of the key prefixes."""


class ObjectStore(Protocol):
    """Store of immutable objects."""

    async def put(self, key: str, value: bytes) -> None:
        """Store ``value`` as the object ``key``."""

    async def get(self, key: str) -> bytes | None:
        """Return the object ``key``, or None if it doesn't exist."""


class HostList(Protocol):
    """Eventually consistent list of live and leaving hosts and workers."""

    async def list_changes(self, since: int = 0) -> PlatformList:
        """Return entries that changed after version ``since``."""


class WorkerControl(Protocol):
    """Channel to workers for lease renewals, starts, stops and reports."""

    async def exchange(self, address: str, request: ExchangeRequest) -> ExchangeReply:
        """Send ``request`` to the worker at ``address`` and return its reply."""

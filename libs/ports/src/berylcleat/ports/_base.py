"""Protocol types of what the platform gives."""

from dataclasses import dataclass, field
from typing import Protocol

from berylcleat.model import WorkerSpec

from ._worker_messages import ExchangeReply, ExchangeRequest


@dataclass(frozen=True, slots=True)
class Row:
    """Hold one table row; ``version`` rises with each write anywhere."""

    key: str
    version: int
    txn_id: str
    value: str


@dataclass(frozen=True, slots=True)
class Check:
    """Require that ``key`` still has ``version`` (0: absent)."""

    key: str
    version: int


@dataclass(frozen=True, slots=True)
class Put:
    """Write ``value`` (JSON text) under ``key``."""

    key: str
    value: str


@dataclass(frozen=True, slots=True)
class Transaction:
    """Change several rows at once or none.

    ``evidence`` names a put key that no other transaction would overwrite before
    the writer has read it back.
    """

    txn_id: str
    evidence: str
    checks: tuple[Check, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class CommitResult:
    """Tell whether a transaction applied, at which version, or what failed."""

    applied: bool
    version: int = 0
    failed_key: str = ""


@dataclass(frozen=True, slots=True)
class ScanResult:
    """Hold the rows of a scan and the table's version when it was made."""

    version: int
    rows: tuple[Row, ...] = ()


@dataclass(frozen=True, slots=True)
class ListedHost:
    """Describe one host of ours on the platform's lagging list."""

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
    """Describe one worker on the platform's lagging list."""

    spec: WorkerSpec
    is_leaving: bool = False
    is_gone: bool = False


@dataclass(frozen=True, slots=True)
class PlatformList:
    """Hold the part of the list that changed after ``since``."""

    version: int
    hosts: tuple[ListedHost, ...] = field(default_factory=tuple)
    workers: tuple[ListedWorker, ...] = field(default_factory=tuple)


class Table(Protocol):
    """Read and change rows of the transactional table."""

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Apply ``transaction``; raise ``OutcomeUnknownError`` when in doubt."""

    async def read(self, key: str) -> Row | None:
        """Return the row under ``key``."""

    async def scan(self, prefixes: tuple[str, ...], since: int = 0) -> ScanResult:
        """Return rows under any of ``prefixes`` written after version ``since``."""


class ObjectStore(Protocol):
    """Keep immutable objects."""

    async def put(self, key: str, value: bytes) -> None:
        """Store ``value`` under ``key``."""

    async def get(self, key: str) -> bytes | None:
        """Return the object under ``key``."""


class HostList(Protocol):
    """List live and leaving hosts and workers, with a lag."""

    async def list_changes(self, since: int = 0) -> PlatformList:
        """Return entries that changed after version ``since``."""


class WorkerControl(Protocol):
    """Exchange renewals, starts, stops and reports with one worker."""

    async def exchange(self, address: str, request: ExchangeRequest) -> ExchangeReply:
        """Send ``request`` to the worker at ``address``."""

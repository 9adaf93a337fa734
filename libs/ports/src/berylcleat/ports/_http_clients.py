"""HTTP clients of the platform and its workers."""

import asyncio
from typing import Any, TypeVar
from urllib.parse import quote

import msgspec

from berylcleat.http import ExchangeError, HttpClient, HttpRequest, HttpResponse
from berylcleat.model import OutcomeUnknownError, PlatformUnavailableError

from ._base import CommitResult, PlatformList, Row, ScanResult, Transaction
from ._worker_messages import ExchangeReply, ExchangeRequest

T = TypeVar("T")
N_READ_BACKS = 4
READ_BACK_PAUSE_S = 0.2
REMEDY_LATER = "Try again when the platform answers"


class _PlatformCaller:
    """Send one request to the platform and decode the answer."""

    def __init__(self, address: str, timeout_s: float):
        self._client = HttpClient(address)
        self._timeout_s = timeout_s
        self.n_calls = 0

    @property
    def n_bytes(self) -> int:
        """Return the bytes sent and received."""
        return self._client.n_bytes

    async def call(self, method: str, target: str, body: bytes = b"") -> HttpResponse:
        """Return the answer; tell apart not sent and outcome unknown."""
        self.n_calls += 1
        try:
            request = HttpRequest(method, target, (), body)
            response = await self._client.exchange(request, self._timeout_s)
        except ExchangeError as error:
            if error.request_sent:
                raise OutcomeUnknownError(
                    f"platform: no answer ({error.failure.value})", REMEDY_LATER
                ) from error
            raise PlatformUnavailableError(
                "platform: can't connect", REMEDY_LATER
            ) from error
        if response.status == 503:
            raise PlatformUnavailableError("platform: refused, not run", REMEDY_LATER)
        return response

    async def decode(
        self, kind: type[T], method: str, target: str, value: Any = None
    ) -> T:
        """Return the answer's body as a ``kind``."""
        body = b"" if value is None else msgspec.json.encode(value)
        response = await self.call(method, target, body)
        return msgspec.json.decode(response.body, type=kind)


class HttpTable:
    """Use the platform's table; settle lost answers by reading back."""

    def __init__(self, address: str, timeout_s: float = 2.0):
        self._caller = _PlatformCaller(address, timeout_s)
        self.n_commits = 0
        self.n_row_writes = 0
        self.n_read_backs = 0

    @property
    def n_bytes(self) -> int:
        """Return the bytes sent and received."""
        return self._caller.n_bytes

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Apply ``transaction``; raise ``OutcomeUnknownError`` when in doubt.

        After a lost answer the evidence row is read back. Only when it proves that
        nothing took effect is the same conditional transaction sent again.
        """
        self.n_commits += 1
        self.n_row_writes += len(transaction.puts) + len(transaction.deletes)
        try:
            return await self._send(transaction)
        except OutcomeUnknownError:
            return await self._settle(transaction)

    async def read(self, key: str) -> Row | None:
        """Return the row under ``key``."""
        target = f"/rows?key={quote(key, safe='')}"
        return await self._caller.decode(Row | None, "GET", target)

    async def scan(self, prefixes: tuple[str, ...], since: int = 0) -> ScanResult:
        """Return rows under any of ``prefixes`` written after version ``since``."""
        words = "&".join(f"prefix={quote(prefix, safe='')}" for prefix in prefixes)
        target = f"/scan?{words}&since={since}"
        return await self._caller.decode(ScanResult, "GET", target)

    async def _send(self, transaction: Transaction) -> CommitResult:
        return await self._caller.decode(CommitResult, "POST", "/commit", transaction)

    async def _settle(self, transaction: Transaction) -> CommitResult:
        for _ in range(N_READ_BACKS):
            self.n_read_backs += 1
            try:
                row = await self.read(transaction.evidence)
                if row and row.txn_id == transaction.txn_id:
                    return CommitResult(applied=True, version=row.version)
                result = await self._send(transaction)
                return await self._confirm(transaction, result)
            except (OutcomeUnknownError, PlatformUnavailableError):
                await asyncio.sleep(READ_BACK_PAUSE_S)
        raise OutcomeUnknownError(
            f"table: transaction {transaction.txn_id} not settled",
            "Read its evidence row back before deciding",
        )

    async def _confirm(
        self, transaction: Transaction, result: CommitResult
    ) -> CommitResult:
        """Tell a conflict with our own first try from one with another writer."""
        if result.applied:
            return result
        row = await self.read(transaction.evidence)
        if row and row.txn_id == transaction.txn_id:
            return CommitResult(applied=True, version=row.version)
        return result


class HttpObjectStore:
    """Use the platform's object store."""

    def __init__(self, address: str, timeout_s: float = 2.0):
        self._caller = _PlatformCaller(address, timeout_s)

    async def put(self, key: str, value: bytes) -> None:
        """Store ``value`` under ``key``; the same put twice is harmless."""
        await self._caller.call("PUT", f"/objects/{quote(key, safe='/')}", value)

    async def get(self, key: str) -> bytes | None:
        """Return the object under ``key``."""
        response = await self._caller.call("GET", f"/objects/{quote(key, safe='/')}")
        return response.body if response.status == 200 else None


class HttpHostList:
    """Read the platform's lagging list."""

    def __init__(self, address: str, timeout_s: float = 2.0):
        self._caller = _PlatformCaller(address, timeout_s)

    @property
    def n_bytes(self) -> int:
        """Return the bytes sent and received."""
        return self._caller.n_bytes

    async def list_changes(self, since: int = 0) -> PlatformList:
        """Return entries that changed after version ``since``."""
        return await self._caller.decode(PlatformList, "GET", f"/list?since={since}")


class HttpWorkerControl:
    """Exchange messages with workers."""

    def __init__(self, timeout_s: float = 1.0):
        self._timeout_s = timeout_s
        self._encoder = msgspec.json.Encoder()
        self._decoder = msgspec.json.Decoder(ExchangeReply)
        self.client_by_address: dict[str, HttpClient] = {}
        self.n_exchanges = 0

    @property
    def n_bytes(self) -> int:
        """Return the bytes sent and received."""
        return sum(client.n_bytes for client in self.client_by_address.values())

    async def exchange(self, address: str, request: ExchangeRequest) -> ExchangeReply:
        """Send ``request`` to the worker at ``address``.

        Raises ``ExchangeError`` (outcome unknown if a byte was sent).
        """
        client = self.client_by_address.get(address)
        if client is None:
            client = self.client_by_address[address] = HttpClient(
                address, max_connections=2
            )
        body = self._encoder.encode(request)
        message = HttpRequest("POST", "/exchange", (), body)
        response = await client.exchange(message, self._timeout_s)
        self.n_exchanges += 1
        return self._decoder.decode(response.body)

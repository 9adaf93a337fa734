"""HTTP clients for the platform's services and its workers."""

import asyncio
from typing import Any, TypeVar
from urllib.parse import quote

import msgspec

from berylcleat.http import ExchangeError, HttpClient, HttpRequest, HttpResponse
from berylcleat.model import OutcomeUnknownError, PlatformUnavailableError

from ._base import CommitResult, PlatformList, Row, ScanResult, Transaction
from ._worker_messages import ExchangeReply, ExchangeRequest

T = TypeVar("T")
MAX_READ_BACKS = 4
READ_BACK_INTERVAL_S = 0.2
RETRY_REMEDY = "Try again when the platform answers"


class _PlatformClient:
    """HTTP client of the platform that maps failures to typed errors."""

    def __init__(self, address: str, timeout_s: float):
        self._client = HttpClient(address)
        self._timeout_s = timeout_s
        self.n_calls = 0

    @property
    def n_bytes(self) -> int:
        """Return the bytes sent and received."""
        return self._client.n_bytes

    async def call(self, method: str, target: str, body: bytes = b"") -> HttpResponse:
        """Send a request and return the response.

        Raises ``PlatformUnavailableError`` if the request had no effect and
        ``OutcomeUnknownError`` if it was sent but no response arrived.
        """
        self.n_calls += 1
        try:
            request = HttpRequest(method, target, (), body)
            response = await self._client.exchange(request, self._timeout_s)
        except ExchangeError as error:
            if error.request_sent:
                raise OutcomeUnknownError(
                    f"platform: no response ({error.failure.value})", RETRY_REMEDY
                ) from error
            raise PlatformUnavailableError(
                "platform: connection failed", RETRY_REMEDY
            ) from error
        if response.status == 503:
            raise PlatformUnavailableError(
                "platform: request rejected with status 503, not executed", RETRY_REMEDY
            )
        return response

    async def decode(
        self, response_type: type[T], method: str, target: str, value: Any = None
    ) -> T:
        """Send a request and return the response body decoded as ``response_type``.

        ``value`` is sent as JSON unless it is None.
        """
        body = b"" if value is None else msgspec.json.encode(value)
        response = await self.call(method, target, body)
        return msgspec.json.decode(response.body, type=response_type)


class HttpTable:
    """Client of the platform's table; resolves lost responses by reading back."""

    def __init__(self, address: str, timeout_s: float = 2.0):
        self._client = _PlatformClient(address, timeout_s)
        self.n_commits = 0
        self.n_row_writes = 0
        self.n_read_backs = 0

    @property
    def n_bytes(self) -> int:
        """Return the bytes sent and received."""
        return self._client.n_bytes

    async def commit(self, transaction: Transaction) -> CommitResult:
        """Apply ``transaction``.

        After a lost response, the evidence row is read back. The same conditional
        transaction is sent again only if that row wasn't written by it. Raises
        ``OutcomeUnknownError`` if the outcome can't be determined.
        """
        self.n_commits += 1
        self.n_row_writes += len(transaction.puts) + len(transaction.deletes)
        try:
            return await self._send(transaction)
        except OutcomeUnknownError:
            return await self._resolve_outcome(transaction)

    async def read(self, key: str) -> Row | None:
        """Return the row ``key``, or None if it doesn't exist."""
        target = f"/rows?key={quote(key, safe='')}"
        return await self._client.decode(Row | None, "GET", target)

    async def scan(self, prefixes: tuple[str, ...], since: int = 0) -> ScanResult:
        """Return rows written after version ``since`` with one of the key prefixes."""
        query = "&".join(f"prefix={quote(prefix, safe='')}" for prefix in prefixes)
        target = f"/scan?{query}&since={since}"
        return await self._client.decode(ScanResult, "GET", target)

    async def _send(self, transaction: Transaction) -> CommitResult:
        return await self._client.decode(CommitResult, "POST", "/commit", transaction)

    async def _resolve_outcome(self, transaction: Transaction) -> CommitResult:
        for _ in range(MAX_READ_BACKS):
            self.n_read_backs += 1
            try:
                row = await self.read(transaction.evidence)
                if row and row.txn_id == transaction.txn_id:
                    return CommitResult(applied=True, version=row.version)
                result = await self._send(transaction)
                return await self._check_conflict(transaction, result)
            except (OutcomeUnknownError, PlatformUnavailableError):
                await asyncio.sleep(READ_BACK_INTERVAL_S)
        raise OutcomeUnknownError(
            f"table: outcome of transaction {transaction.txn_id} is unknown",
            "Read its evidence row to find out whether it was applied",
        )

    async def _check_conflict(
        self, transaction: Transaction, result: CommitResult
    ) -> CommitResult:
        """Return ``result``, or success if the first attempt caused the conflict."""
        if result.applied:
            return result
        row = await self.read(transaction.evidence)
        if row and row.txn_id == transaction.txn_id:
            return CommitResult(applied=True, version=row.version)
        return result


class HttpObjectStore:
    """Client of the platform's object store."""

    def __init__(self, address: str, timeout_s: float = 2.0):
        self._client = _PlatformClient(address, timeout_s)

    async def put(self, key: str, value: bytes) -> None:
        """Store ``value`` as the object ``key``; repeating the call is harmless."""
        await self._client.call("PUT", f"/objects/{quote(key, safe='/')}", value)

    async def get(self, key: str) -> bytes | None:
        """Return the object ``key``, or None if it doesn't exist."""
        response = await self._client.call("GET", f"/objects/{quote(key, safe='/')}")
        return response.body if response.status == 200 else None


class HttpHostList:
    """Client of the platform's eventually consistent list of hosts and workers."""

    def __init__(self, address: str, timeout_s: float = 2.0):
        self._client = _PlatformClient(address, timeout_s)

    @property
    def n_bytes(self) -> int:
        """Return the bytes sent and received."""
        return self._client.n_bytes

    async def list_changes(self, since: int = 0) -> PlatformList:
        """Return entries that changed after version ``since``."""
        return await self._client.decode(PlatformList, "GET", f"/list?since={since}")


class HttpWorkerControl:
    """Client of the workers' exchange endpoint; counts exchanges and bytes."""

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
        """Send ``request`` to the worker at ``address`` and return its reply.

        Raises ``ExchangeError``; if any byte was sent, the worker may have processed
        the request.
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

"""HTTP stand-in for the platform: table, object store and eventually consistent list.

Changes of the list become visible after a configured lag.
"""

import asyncio
from dataclasses import dataclass, field, replace
from urllib.parse import parse_qs, unquote, urlsplit

import msgspec

from berylcleat.http import (
    AbandonConnectionError,
    HttpRequest,
    HttpResponse,
    HttpServer,
)
from berylcleat.ports import (
    CommitResult,
    ListedHost,
    ListedWorker,
    PlatformList,
    Row,
    ScanResult,
    Transaction,
)
from berylcleat.runtime import StopSignal, json_response

UNANSWERED_DELAY_S = 3600.0


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Address of the stand-in, lag of its list in seconds and initial list entries."""

    address: str
    list_lag_s: float = 2.0
    hosts: tuple[ListedHost, ...] = ()
    workers: tuple[ListedWorker, ...] = ()


@dataclass(frozen=True, slots=True)
class Faults:
    """Faults to inject into the platform.

    ``mode`` is "up", "down" (answers 503) or "swallow" (never answers). ``delay_ms``
    delays each answer. The next ``n_answers_to_lose`` writes take effect and get no
    answer.
    """

    mode: str = "up"
    delay_ms: float = 0.0
    n_answers_to_lose: int = 0
    cut_callers: tuple[str, ...] = field(default_factory=tuple)


class PlatformStandin:
    """Rows, objects and list of the platform, kept in memory."""

    def __init__(self, settings: PlatformSettings):
        self.settings = settings
        self.row_by_key: dict[str, Row] = {}
        self.object_by_key: dict[str, bytes] = {}
        self.version = 0
        self.faults = Faults()
        self.n_commits = 0
        self.n_row_writes = 0
        self._list_entries: list[tuple[int, float, ListedHost | ListedWorker]] = []
        for entry in (*settings.hosts, *settings.workers):
            self._list_entries.append((1, 0.0, entry))

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request, subject to the injected faults."""
        url = urlsplit(request.target)
        if url.path == "/faults":
            self.faults = msgspec.json.decode(request.body, type=Faults)
            return json_response(self.faults)
        if url.path == "/counts":
            return json_response(
                {"commits": self.n_commits, "row_writes": self.n_row_writes}
            )
        if url.path == "/mark":
            return self._append_list_entry(request)
        if self.faults.mode == "down":
            return HttpResponse(503, (("retry-after", "1"),))
        if self.faults.mode == "swallow":
            await asyncio.sleep(UNANSWERED_DELAY_S)
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        query = parse_qs(url.query)
        response = self._route_request(request, url.path, query)
        if request.method in ("POST", "PUT") and self.faults.n_answers_to_lose:
            self.faults = replace(
                self.faults, n_answers_to_lose=self.faults.n_answers_to_lose - 1
            )
            raise AbandonConnectionError
        return response

    def _route_request(
        self, request: HttpRequest, path: str, query: dict[str, list[str]]
    ) -> HttpResponse:
        if path == "/commit":
            return json_response(
                self._commit(msgspec.json.decode(request.body, type=Transaction))
            )
        if path == "/rows":
            return json_response(self.row_by_key.get(query["key"][0]))
        if path == "/scan":
            return json_response(
                self._scan(tuple(query["prefix"]), int(query["since"][0]))
            )
        if path == "/list":
            return json_response(self._read_list(int(query["since"][0])))
        return self._handle_object_request(
            request, unquote(path.removeprefix("/objects/"))
        )

    def _commit(self, transaction: Transaction) -> CommitResult:
        for check in transaction.checks:
            row = self.row_by_key.get(check.key)
            if (row.version if row else 0) != check.version:
                return CommitResult(False, failed_key=check.key)
        self.version += 1
        self.n_commits += 1
        for put in transaction.puts:
            self.row_by_key[put.key] = Row(
                put.key, self.version, transaction.txn_id, put.value
            )
        for key in transaction.deletes:
            self.row_by_key.pop(key, None)
        self.n_row_writes += len(transaction.puts) + len(transaction.deletes)
        return CommitResult(True, version=self.version)

    def _scan(self, prefixes: tuple[str, ...], since: int) -> ScanResult:
        rows = (
            row
            for key, row in self.row_by_key.items()
            if row.version > since and key.startswith(prefixes)
        )
        return ScanResult(self.version, tuple(sorted(rows, key=lambda row: row.key)))

    def _read_list(self, since: int) -> PlatformList:
        visible_until = asyncio.get_running_loop().time() - self.settings.list_lag_s
        visible_entries = [
            item for item in self._list_entries if item[1] <= visible_until
        ]
        newest_version = max((version for version, _, _ in visible_entries), default=0)
        entries = [entry for version, _, entry in visible_entries if version > since]
        return PlatformList(
            newest_version,
            tuple(e for e in entries if isinstance(e, ListedHost)),
            tuple(e for e in entries if isinstance(e, ListedWorker)),
        )

    def _append_list_entry(self, request: HttpRequest) -> HttpResponse:
        """Append a changed worker entry to the list, visible after the lag."""
        entry = msgspec.json.decode(request.body, type=ListedWorker)
        version = max(version for version, _, _ in self._list_entries) + 1
        self._list_entries.append((version, asyncio.get_running_loop().time(), entry))
        return json_response({"version": version})

    def _handle_object_request(self, request: HttpRequest, key: str) -> HttpResponse:
        if request.method == "PUT":
            self.object_by_key[key] = request.body
            return HttpResponse(200)
        value = self.object_by_key.get(key)
        return HttpResponse(404) if value is None else HttpResponse(200, (), value)


async def serve_platform(settings: PlatformSettings, stop: StopSignal) -> None:
    """Serve the platform until the stop signal."""
    server = HttpServer(settings.address, PlatformStandin(settings).handle)
    await server.start()
    await stop.wait()
    await server.stop(grace_s=0.5)

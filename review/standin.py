"""Stand-ins for the platform's store, workers and clients, and a runner for hosts.

Everything but the hosts runs in one process and one event loop, on loopback addresses.
The hosts are the project's own program, started with the command of the deploy file.
"""

import asyncio
import base64
import bisect
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl

ROOT = Path(__file__).resolve().parents[1]
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST_NAME = "queues.example"
CONTRACTS = "base drain config cost recover sched platform advice upkeep sharing"
# Bounds of the small deployments, from their sheets.
MAX_HOLD_MS = 6000
GANG_S = 3.0
STOP_S = 0.1
HEARTBEAT_S = 1.5
TX_S = 0.004
PORT_RANGE = (11_000, 30_000)
PORTS_PER_BLOCK = 100
# Sockets that keep a block of ports for this process.
_claims: list[socket.socket] = []
FORBIDDEN_TABLES = ("op", "servers")
Handler = Callable[[str, str, dict[str, str], bytes], Awaitable[tuple[int, Any] | None]]


class CaseError(Exception):
    """The case could not run as meant, so it shows nothing."""


# HTTP/1.1, as much of it as hosts and clients need.


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict, bytes]:
    """Return the first line, the headers and the body of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return head[0], headers, body


async def serve(address: str, handler: Handler) -> asyncio.Server:
    """Serve requests; a handler that returns None ends the channel silently."""

    async def on_channel(reader, writer):
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                answer = await handler(method, target, headers, body)
                if answer is None:
                    break
                status, value = answer
                data = b"" if value is None else json.dumps(value).encode()
                head = f"HTTP/1.1 {status} X\r\ncontent-length: {len(data)}\r\n"
                head += "content-type: application/json\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    host, port = address.split(":")
    return await asyncio.start_server(on_channel, host, int(port))


async def request(
    address: str,
    method: str,
    target: str,
    value: Any = None,
    *,
    timeout_s: float = 3.0,
    host: str = HOST_NAME,
) -> tuple[int, Any]:
    """Send a request over a new channel; return (0, None) without an answer."""
    data = b"" if value is None else json.dumps(value).encode()
    head = f"{method} {target} HTTP/1.1\r\nhost: {host}\r\n"
    head += f"content-type: application/json\r\ncontent-length: {len(data)}\r\n"
    head += f"berylcleat-deadline-ms: {int(timeout_s * 1000)}\r\n\r\n"
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            ip, port = address.split(":")
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(head.encode() + data)
            line, _, body = await read_message(reader)
            return int(line.split(" ")[1]), json.loads(body) if body else None
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses with ports that are free now.

    They lie below the ports that outgoing channels take, in a block that this process
    keeps for itself by its first port.
    """
    for first in random.sample(range(*PORT_RANGE, PORTS_PER_BLOCK), 50):
        claim = socket.socket()
        try:
            claim.bind(("127.0.0.1", first))
            claim.listen()
        except OSError:
            claim.close()
            continue
        ports = [p for p in range(first + 1, first + PORTS_PER_BLOCK) if _is_free(p)]
        if len(ports) >= count:
            _claims.append(claim)
            return [f"127.0.0.1:{port}" for port in ports[:count]]
        claim.close()
    raise CaseError("too few free ports")


def _is_free(port: int) -> bool:
    with socket.socket() as each:
        try:
            each.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


# Store


class Store:
    """The platform's store: versioned rows, transactions, and a feed of changes."""

    def __init__(self):
        self.version = 0
        self.rows: dict[tuple[str, str, str], dict] = {}
        self.changes: dict[str, list[dict]] = {}
        # The history of a table is known after this version.
        self.oldest: dict[str, int] = {}
        # Sorted keys of each table and part; dropped when a key comes or goes.
        self._keys: dict[tuple[str, str], list[str]] = {}
        self._changed = asyncio.Event()
        # Called with the body of each transaction; it returns None to execute it at
        # once, or the seconds after which it is executed without an answer.
        self.delay_of: Callable[[dict], float | None] = lambda body: None
        self.n_tx_by_status: dict[int, int] = {}
        self.row_bytes = 65_536
        self._late: set[asyncio.Task] = set()

    def put(self, table: str, key: str, value: Any, part: str = "") -> None:
        """Write a row as the operator or a worker does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        put = {"table": table, "part": part, "key": key, "value": text}
        self._apply({"puts": [put]})

    def load(self, table: str, part: str, key: str, value: bytes) -> None:
        """Add a row that was written so long ago that the history lacks it."""
        self.version += 1
        text = base64.b64encode(value).decode()
        row = {"table": table, "part": part, "key": key, "value": text}
        self.rows[table, part, key] = {**row, "ver": self.version}
        self._keys.pop((table, part), None)
        self.changes.pop(table, None)
        self.oldest[table] = self.version

    def remove(self, table: str, key: str) -> None:
        """Remove a row as the operator or a worker does."""
        self._apply({"remove": [{"table": table, "part": "", "key": key}]})

    def value(self, table: str, part: str, key: str) -> Any:
        """Return the decoded value of a row, or None."""
        row = self.rows.get((table, part, key))
        return json.loads(base64.b64decode(row["value"])) if row else None

    def transact(self, body: dict) -> tuple[int, dict]:
        """Apply all entries of a transaction or none."""
        entries = [body.get(n, []) for n in ("expectedRev", "puts", "remove")]
        if sum(map(len, entries)) > 100:
            return 400, {"error": "too many entries"}
        for put in body.get("puts", []):
            if put["table"] in FORBIDDEN_TABLES:
                return 403, {"error": "forbidden"}
            if len(base64.b64decode(put["value"])) > self.row_bytes:
                return 400, {"error": "row too large"}
        current, holds = [], True
        for expected in body.get("expectedRev", []):
            row = self.rows.get(_key(expected))
            if row:
                current.append(row)
            holds = holds and (row["ver"] if row else 0) == expected["ver"]
        if not holds:
            return 412, {**self._stamp(), "rows": current}
        self._apply(body)
        return 200, self._stamp()

    def _stamp(self) -> dict:
        return {"ver": self.version, "nowMs": int(time.monotonic() * 1000)}

    def _apply(self, body: dict) -> None:
        self.version += 1
        for put in body.get("puts", []):
            row = {**put, "ver": self.version}
            if _key(row) not in self.rows:
                self._keys.pop((row["table"], row["part"]), None)
            self.rows[_key(row)] = row
            self.changes.setdefault(row["table"], []).append(row)
        for removed in body.get("remove", []):
            self.rows.pop(_key(removed), None)
            self._keys.pop((removed["table"], removed["part"]), None)
            gone = {**removed, "ver": self.version, "tombstone": True}
            self.changes.setdefault(removed["table"], []).append(gone)
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, method, target, headers, body):
        """Answer one call."""
        path, _, query_text = target.partition("?")
        query = _parse_query(query_text)
        if path == "/api/rows-tx":
            value = json.loads(body)
            delay_s = self.delay_of(value)
            if delay_s is not None:
                task = asyncio.create_task(self._transact_late(value, delay_s))
                self._late.add(task)
                task.add_done_callback(self._late.discard)
                await asyncio.sleep(30)
                return None
            await asyncio.sleep(TX_S)
            status, answer = self.transact(value)
            self.n_tx_by_status[status] = self.n_tx_by_status.get(status, 0) + 1
            return status, answer
        if path == "/api/rows-get":
            return 200, self._read(query)
        if path == "/api/rows-parts":
            parts = sorted({p for t, p, _ in self.rows if t == query["table"]})
            after = query.get("after", "")
            return 200, {**self._stamp(), "parts": [p for p in parts if p > after]}
        if path == "/api/rows-feed":
            if int(query["after"]) < self.oldest.get(query["table"], 0):
                return 410, self._stamp()
            return 200, await self._feed(query)
        return 404, {}

    async def _transact_late(self, body: dict, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        self.transact(body)

    def _read(self, query: dict[str, str]) -> dict:
        table, part = query["table"], query.get("part", "")
        keys = self._keys.get((table, part))
        if keys is None:
            keys = sorted(k for t, p, k in self.rows if (t, p) == (table, part))
            self._keys[table, part] = keys
        first = bisect.bisect_left(keys, query.get("from", ""))
        end = query.get("to", "")
        last = bisect.bisect_left(keys, end) if end else len(keys)
        limit = min(int(query.get("limit", "500")), 500)
        names = keys[first : min(last, first + limit)]
        rows = [self.rows[table, part, name] for name in names]
        page = {"rows": rows, "morePages": last > first + limit}
        return {**self._stamp(), **page}

    async def _feed(self, query: dict[str, str]) -> dict:
        table, after = query["table"], int(query["after"])
        deadline = time.monotonic() + min(int(query["waitMs"]), 30_000) / 1000
        while True:
            changes = self.changes.get(table, [])
            rows = changes[bisect.bisect_right(changes, after, key=_version) :]
            left_s = deadline - time.monotonic()
            if rows or left_s <= 0:
                return {**self._stamp(), "rows": rows}
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                pass


def _version(row: dict) -> int:
    return row["ver"]


def _key(row: dict) -> tuple[str, str, str]:
    return row["table"], row["part"], row["key"]


def _parse_query(text: str) -> dict[str, str]:
    return dict(parse_qsl(text, keep_blank_values=True))


# Workers


@dataclass
class Run:
    """One run on a worker."""

    number: int
    step: dict
    started_at: float
    work_left_s: float
    saved: str = ""
    stops_at: float | None = None


@dataclass
class Worker:
    """One worker, over all its lives."""

    worker_id: str
    address: str
    zone: str
    rack: str
    kind: str = "a"
    cpu: int = 32_000
    mem_mb: int = 128_000
    is_up: bool = False
    is_listed: bool = True
    born: int = 0
    born_at: float = 0.0
    seq: int = 0
    fence: int = 0
    lease_until: float = 0.0
    n_ends: int = 0
    n_acked: int = 0
    runs: dict[str, Run] = field(default_factory=dict)
    highest: dict[str, int] = field(default_factory=dict)
    ends: list[list] = field(default_factory=list)

    def clock_ms(self) -> int:
        """Return the worker's own clock."""
        return int((time.monotonic() - self.born_at) * 1000) + 5000


class Fleet:
    """All workers; it knows the submissions, so that it can size what it runs.

    ``work_s`` tells how long a run of a task works, ``fails`` whether it then fails.
    """

    def __init__(self, store: Store, record: Callable[[str], None]):
        self.store = store
        self.record = record
        self.workers: dict[str, Worker] = {}
        self.steps: dict[str, list[dict]] = {}
        self.work_s: Callable[[str, int], float] = lambda task, run: 1.0
        # (time, task, run, worker, what) of every start and end.
        self.events: list[tuple[float, str, int, str, str]] = []
        self._servers: dict[str, asyncio.Server] = {}
        self._last = time.monotonic()

    async def start(self, worker: Worker) -> None:
        """Begin a new life of a worker at its address, and register it."""
        worker.is_up, worker.is_listed = True, True
        born = max(int(time.time() * 1000), worker.born + 1)
        worker.born, worker.born_at = born, time.monotonic()
        worker.fence = worker.n_ends = worker.n_acked = worker.seq = 0
        worker.lease_until = 0.0
        worker.runs, worker.highest, worker.ends = {}, {}, []
        self.workers[worker.worker_id] = worker

        async def handle(method, target, headers, body):
            return await self._handle(worker, target, headers, body)

        self._servers[worker.worker_id] = await serve(worker.address, handle)
        self._register(worker)

    def crash(self, worker_id: str) -> None:
        """End a worker's life at once; it says nothing."""
        worker = self.workers[worker_id]
        worker.is_up = False
        self._servers.pop(worker_id).close()
        lost, worker.runs = worker.runs, {}
        for task, run in lost.items():
            self._note(worker, task, run.number, "crashed")
            if run.step.get("gang"):
                for other, member in self._members(task, run.number):
                    if member in other.runs:
                        self._end(other, member, "broken")
        self.record(f"worker {worker_id} ({worker.rack}) crashed")

    def running(self, submission_id: str) -> list[tuple[str, int, str]]:
        """Return task, run and worker of all that runs of a submission."""
        return [
            (task, run.number, worker.worker_id)
            for worker in self.workers.values()
            for task, run in worker.runs.items()
            if task.startswith(submission_id)
        ]

    async def advance_forever(self) -> None:
        """Let the runs work, and leases expire."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            elapsed_s, self._last = now - self._last, now
            for worker in self.workers.values():
                if worker.is_up:
                    self._advance(worker, now, elapsed_s)

    async def register_forever(self) -> None:
        """Write the entries of living workers; drop those of silent ones."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for worker in self.workers.values():
                if worker.is_up:
                    self._register(worker)

    def unlist(self, worker_id: str) -> None:
        """Remove a worker's entry, as the store does after three silent intervals."""
        self.store.remove("servers", worker_id)

    def _register(self, worker: Worker) -> None:
        worker.seq += 1
        entry = {
            "service": "svc",
            "address": worker.address,
            "zone": worker.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "capacity": {"cpu": worker.cpu, "memMb": worker.mem_mb, "gpu": 0},
            "labels": [worker.kind, worker.rack],
            "born": worker.born,
        }
        old = self.store.value("servers", "", worker.worker_id)
        if old is not None and {**old, "seq": 0} == {**entry, "seq": 0}:
            return
        self.store.put("servers", worker.worker_id, {**entry, "seq": worker.seq})

    def _advance(self, worker: Worker, now: float, elapsed_s: float) -> None:
        if now > worker.lease_until:
            for task in tuple(worker.runs):
                # The end of one member of a gang ends the others.
                if task in worker.runs:
                    self._end(worker, task, "lapsed")
        for task, run in tuple(worker.runs.items()):
            if task not in worker.runs:
                continue
            if run.stops_at is not None:
                if now >= run.stops_at:
                    self._end(worker, task, "stopped")
                continue
            if run.step.get("gang") and not self._is_gang_present(task, run):
                if now - run.started_at > GANG_S:
                    self._end(worker, task, "alone")
                continue
            run.work_left_s -= elapsed_s
            if run.step.get("longRunning"):
                continue
            if run.work_left_s <= 0:
                self._end(worker, task, "done")

    def _members(self, task: str, number: int) -> list[tuple[Worker, str]]:
        prefix = task.rpartition(".")[0] + "."
        return [
            (worker, other)
            for worker in self.workers.values()
            for other, run in worker.runs.items()
            if other.startswith(prefix) and run.number == number
        ]

    def _is_gang_present(self, task: str, run: Run) -> bool:
        return len(self._members(task, run.number)) >= run.step["count"]

    def _end(self, worker: Worker, task: str, how: str) -> None:
        run = worker.runs.pop(task)
        worker.n_ends += 1
        worker.highest[task] = max(worker.highest.get(task, 0), run.number)
        worker.ends.append([worker.n_ends, task, run.number, how, run.saved])
        self._note(worker, task, run.number, how)
        if run.step.get("gang") and how != "broken":
            for other, member in self._members(task, run.number):
                if member in other.runs:
                    self._end(other, member, "done" if how == "done" else "broken")

    def _note(self, worker: Worker, task: str, number: int, what: str) -> None:
        self.events.append((time.monotonic(), task, number, worker.worker_id, what))
        self.record(f"{task} run {number} on {worker.worker_id} ({worker.rack}) {what}")

    async def _handle(self, worker, target, headers, body):
        if not worker.is_up:
            return None
        expected = headers.get("berylcleat-expect-instance", worker.worker_id)
        if expected != worker.worker_id:
            return 421, {"clockMs": worker.clock_ms(), "born": worker.born}
        order = json.loads(body) if body else {}
        if order.get("fence", 0) < worker.fence:
            return 409, self._stamp(worker, "fence")
        worker.fence = order.get("fence", 0)
        if target == "/api/run-start":
            return self._start_run(worker, order)
        if target == "/api/run-stop":
            return self._stop_run(worker, order)
        if target == "/api/hold":
            return await self._hold(worker, order)
        if target == "/api/pace":
            return 200, self._stamp(worker)
        return 404, {}

    def _stamp(self, worker: Worker, reason: str = "") -> dict:
        stamp = {"clockMs": worker.clock_ms(), "born": worker.born}
        return {**stamp, "reason": reason} if reason else stamp

    def _grant(self, worker: Worker, deadline_ms: int | None) -> None:
        if deadline_ms is None:
            return
        left_s = min(deadline_ms - worker.clock_ms(), MAX_HOLD_MS) / 1000
        worker.lease_until = max(worker.lease_until, time.monotonic() + left_s)

    def _start_run(self, worker: Worker, order: dict) -> tuple[int, dict]:
        task, number = order["task"], order["run"]
        present = worker.runs.get(task)
        if present is not None and present.number == number:
            return 200, self._stamp(worker)
        if order["deadlineMs"] < worker.clock_ms():
            return 409, self._stamp(worker, "late")
        self._grant(worker, order["deadlineMs"])
        if present is not None or number <= worker.highest.get(task, 0):
            return 409, self._stamp(worker, "old")
        submission_id, _, step_number, _ = task.split(".")
        step = self.steps[submission_id][int(step_number)]
        used_cpu = sum(_cpu_of(run.step) for run in worker.runs.values())
        used_mb = sum(run.step.get("memMb", 0) for run in worker.runs.values())
        if (
            used_cpu + _cpu_of(step) > worker.cpu
            or used_mb + step.get("memMb", 0) > worker.mem_mb
        ):
            return 409, self._stamp(worker, "room")
        now = time.monotonic()
        worker.runs[task] = Run(number, step, now, self.work_s(task, number))
        self._note(worker, task, number, "started")
        return 200, self._stamp(worker)

    def _stop_run(self, worker: Worker, order: dict) -> tuple[int, dict]:
        task, number = order["task"], order["run"]
        worker.highest[task] = max(worker.highest.get(task, 0), number)
        run = worker.runs.get(task)
        if run is not None and run.number == number and run.stops_at is None:
            run.stops_at = time.monotonic() + STOP_S
        return 200, self._stamp(worker)

    async def _hold(self, worker: Worker, order: dict) -> tuple[int, dict] | None:
        acked = order.get("ackedUpto", 0)
        worker.n_acked = max(worker.n_acked, acked)
        worker.ends = [end for end in worker.ends if end[0] > acked]
        self._grant(worker, order.get("deadlineMs"))
        born = worker.born
        deadline = time.monotonic() + min(order.get("waitMs", 0), 2000) / 1000
        while time.monotonic() < deadline and not worker.ends:
            await asyncio.sleep(0.02)
            if not worker.is_up or worker.born != born:
                return None
        running = [
            [task, run.number, run.saved, 100, run.step.get("cpu", 0)]
            for task, run in worker.runs.items()
        ]
        lists = {"running": running, "ended": worker.ends[:500]}
        return 200, {**self._stamp(worker), **lists}


def _cpu_of(step: dict) -> int:
    return 0 if step.get("fills") else step.get("cpu", 0)


# Hosts


class Deployment:
    """A small deployment: hosts in three zones, and a rack of workers in each."""

    def __init__(self, folder: Path, *, n_hosts: int = 6, per_rack: int = 8):
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.began_at = time.monotonic()
        self._record_file = (folder / "record.txt").open("w", encoding="utf-8")
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.zones = ["zone-a", "zone-b", "zone-c"]
        self.store = Store()
        self.fleet = Fleet(self.store, self.record)
        self.store_address, *rest = free_addresses(1 + 4 * n_hosts + 3 * per_rack)
        self.host_addresses = [rest[4 * n : 4 * n + 4] for n in range(n_hosts)]
        worker_addresses = rest[4 * n_hosts :]
        self.new_workers = [
            Worker(f"w{n:02d}", address, self.zones[n % 3], f"r{1 + n % 3}")
            for n, address in enumerate(worker_addresses)
        ]
        # Address of the store as each host is told it.
        self.store_by_host = [self.store_address] * n_hosts
        self.processes: list[subprocess.Popen] = []
        self._tasks: list[asyncio.Task] = []
        self.route = {
            "name": "queue",
            "host": HOST_NAME,
            "pathPrefix": "/jobs/",
            "service": "svc",
            "timeoutMs": 3000,
            "priority": 0,
            "maxAttempts": 3,
            "stretch": 2.0,
            "sloMs": 1000,
        }

    def record(self, text: str) -> None:
        """Write a line with the time since the start of the case."""
        line = f"{time.monotonic() - self.began_at:8.3f}  {text}"
        print(line, file=self._record_file, flush=True)

    async def __aenter__(self) -> "Deployment":
        await serve(self.store_address, self.store.handle)
        services = [{"name": "svc", "admissionCheck": True}]
        config = {"version": 3, "routes": [self.route], "services": services}
        self.store.put("op", "config", config)
        for worker in self.new_workers:
            await self.fleet.start(worker)
        for loop in (self.fleet.advance_forever, self.fleet.register_forever):
            self._tasks.append(asyncio.create_task(loop()))
        for number in range(len(self.host_addresses)):
            self.processes.append(self.start_host(number))
        return self

    async def __aexit__(self, *_) -> None:
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        logs = os.environ.get("HOST_LOGS")
        if logs:
            shutil.copytree(self.temporary, logs, dirs_exist_ok=True)
        shutil.rmtree(self.temporary, ignore_errors=True)
        for task in self._tasks:
            if task.done():
                raise CaseError(f"a stand-in has ended: {task.exception()!r}")
            task.cancel()

    def start_host(self, number: int) -> subprocess.Popen:
        """Start a host with settings as the platform fills in the template."""
        front, ready, peer, metrics = self.host_addresses[number]
        settings = {
            "host_id": f"host-{number}",
            "data_centre": self.zones[number % 3],
            "front_address": front,
            "ready_address": ready,
            "peer_address": peer,
            "metrics_address": metrics,
            "store_address": self.store_by_host[number],
            "advice_address": "",
            "machine_service_address": "",
            "operator_duties": [],
            "cpu_share": 0.537,
            "core_speed": 2,
            "drain_grace_s": 6.0,
            "orders_mode": "push",
            "evacuation_outage_allowance_ms": 5000,
            "contracts": CONTRACTS.split(),
        }
        path = self.temporary / f"host-{number}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        names = ("PATH", "HOME", "LANG")
        environment = {n: os.environ[n] for n in names if n in os.environ}
        environment["BERYLCLEAT_SETTINGS"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = (self.temporary / f"host-{number}.log").open("ab")
        command = [sys.executable, "-m", "berylcleat.host"]
        return subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )

    async def wait_ready(self) -> None:
        """Wait until all hosts are ready and every cell has an owner."""
        deadline = time.monotonic() + 40
        for _, ready, _, _ in self.host_addresses:
            while (await request(ready, "GET", "/api/readiness"))[0] != 200:
                if time.monotonic() > deadline:
                    raise CaseError("a host isn't ready")
                await asyncio.sleep(0.1)
        while len(self.owners()) < 3:
            if time.monotonic() > deadline:
                raise CaseError("a cell has no owner")
            await asyncio.sleep(0.1)
        # Traffic starts 12 s after the machines do.
        await asyncio.sleep(max(3.0, 12.0 - (time.monotonic() - self.began_at)))

    def owners(self) -> dict[str, str]:
        """Return the host that owns each cell, as the store tells."""
        return {
            part: owner["host_id"]
            for (table, part, key) in tuple(self.store.rows)
            if table == "cells" and key == "owner"
            if (owner := self.store.value(table, part, key))["host_id"]
        }

    async def call(
        self, number: int, method: str, target: str, value: Any = None, **options: Any
    ) -> tuple[int, Any]:
        """Send a client's request to a host and record both."""
        front = self.host_addresses[number][0]
        self.record(f"client: {method} {target} to host-{number}")
        status, answer = await request(front, method, target, value, **options)
        self.record(
            f"client: {method} {target} answered {status or 'nothing'} {answer}"
        )
        return status, answer

    async def submit(self, submission_id: str, steps: list[dict], number: int) -> None:
        """Hand a submission in; it must be accepted."""
        self.fleet.steps[submission_id] = steps
        body = {"spec": "work", "steps": steps}
        status, _ = await self.call(number, "POST", f"/jobs/{submission_id}", body)
        if status != 200:
            raise CaseError(f"submission {submission_id} was answered {status}")

    async def state(self, submission_id: str, number: int) -> str:
        """Return the state that a client is told, or the status as a text."""
        status, answer = await self.call(number, "GET", f"/jobs/{submission_id}")
        return answer["state"] if status == 200 else str(status)


def run_case(case: Callable[[], Awaitable[int]]) -> None:
    """Run a case for 120 s at most and exit with its result."""

    async def limited() -> int:
        async with asyncio.timeout(115):
            return await case()

    try:
        result = asyncio.run(limited())
    except (CaseError, TimeoutError, OSError) as error:
        print(f"could not run: {error!r}")
        result = NOT_RUN
    print({HELD: "held", BROKEN: "BROKEN", NOT_RUN: "not run"}[result])
    sys.exit(result)

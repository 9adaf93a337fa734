"""Stand-ins and a client for the scripts of the third review.

One process holds the platform's store and the workers, each at its own loopback
address, and starts the hosts with the command of the deploy file. They behave as the
users' pages tell; what the pages leave open is done as a sound platform would.
"""

import asyncio
import base64
import contextlib
import json
import logging
import os
import random
import re
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import deque
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST_NAME = "nony24.example"
HEARTBEAT_S = 1.5
MAX_HOLD_MS = 6000
STOP_S = 0.2
GANG_S = 3.0
MAX_ENDS = 500
MIN_ADVANCE_S = 0.01
HISTORY_S = 20.0
RESTART_S = 1.0
PAGE_BYTES = 4096
START_TIMEOUT_S = 20.0
# Bounds of the pages: when submissions are asked for after the end of the traffic, for
# how long nothing of one may run then, how long clients wait and how often they try.
FINISH_S = 14.0
IDLE_S = 3.0
CLIENT_LIMIT_S = 3.0
CLIENT_TRIES = 5
CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "recover",
    "sched",
    "platform",
    "advice",
    "upkeep",
    "sharing",
]
# A script runs for less than 120 s.
MAX_PLAY_S = 114.0


def free_ports(n_ports: int) -> list[int]:
    """Return free ports of the loopback address, which no client's end is given."""
    ports: list[int] = []
    for port in random.sample(range(10_000, 32_000), 20_000):
        with socket.socket() as trial, contextlib.suppress(OSError):
            trial.bind(("127.0.0.1", port))
            ports.append(port)
        if len(ports) == n_ports:
            break
    return ports


# HTTP


async def read_message(reader) -> tuple[str, dict[str, str], bytes]:
    """Return the first line, the headers and the body of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in head[1:] if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return head[0], headers, body


async def serve(address: str, handle) -> asyncio.Server:
    """Serve HTTP/1.1 at an address; ``handle`` returns status and body or None."""

    async def on_connection(reader, writer) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ")
                answer = await handle(method, target, headers, body)
                if answer is None:
                    break
                data = json.dumps(answer[1]).encode()
                head = (
                    f"HTTP/1.1 {answer[0]} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        writer.close()

    host, _, port = address.rpartition(":")
    return await asyncio.start_server(on_connection, host, int(port), limit=2**20)


async def call(
    address: str, method: str, target: str, body=None, timeout_s: float = 3.0
) -> tuple[int, bytes]:
    """Send one client request; return status 0 if no answer comes in time."""
    data = b"" if body is None else json.dumps(body).encode()
    head = (
        f"{method} {target} HTTP/1.1\r\nhost: {HOST_NAME}\r\n"
        "content-type: application/json\r\nconnection: close\r\n"
        f"berylcleat-deadline-ms: {int(timeout_s * 1000)}\r\n"
        f"content-length: {len(data)}\r\n\r\n"
    )
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode() + data)
            line, _, answer = await read_message(reader)
            return int(line.split(" ")[1]), answer
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


# Store


class Store:
    """Rows in tables, transactions and the feed of changes."""

    def __init__(self):
        self.version = 1
        self.rows: dict[tuple[str, str, str], dict] = {}
        self.history: deque[tuple[float, dict]] = deque()
        self.lost_up_to = 0
        self._changed = asyncio.Event()

    def write(self, table: str, key: str, value: dict | None) -> None:
        """Write a row of the operator or of a worker, or remove it."""
        self.version += 1
        if value is None:
            self._remove((table, "", key))
        else:
            data = base64.b64encode(json.dumps(value).encode()).decode()
            self._put((table, "", key), data)
        self._notify()

    async def handle(self, method, target, headers, body):
        """Answer one call to the store."""
        del method, headers
        parts = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        if parts.path == "/api/rows-tx":
            return self._transact(json.loads(body))
        if parts.path == "/api/rows-get":
            return 200, self._read(query)
        if parts.path == "/api/rows-parts":
            names = {part for table, part, _ in self.rows if table == query["table"]}
            after = query.get("after", "")
            later = sorted(name for name in names if not after or name > after)
            return 200, {"parts": later[:1000], **self._stamp()}
        if parts.path == "/api/rows-feed":
            return await self._follow(query)
        return 404, {}

    def _stamp(self) -> dict:
        return {"ver": self.version, "nowMs": time.monotonic() * 1000}

    def _transact(self, transaction: dict):
        expected = transaction.get("expectedRev", [])
        puts, removals = transaction.get("puts", []), transaction.get("remove", [])
        entries = [*expected, *puts, *removals]
        if len(entries) > 100 or any(
            len(base64.b64decode(row["value"])) > 65536 for row in puts
        ):
            return 400, {}
        keys = [(row["table"], row["part"], row["key"]) for row in expected]
        current = [self.rows.get(key, {"ver": 0})["ver"] for key in keys]
        if current != [row["ver"] for row in expected]:
            found = [self.rows[key] for key in keys if key in self.rows]
            return 412, {"rows": found, **self._stamp()}
        self.version += 1
        for row in puts:
            self._put((row["table"], row["part"], row["key"]), row["value"])
        for row in removals:
            self._remove((row["table"], row["part"], row["key"]))
        self._notify()
        return 200, self._stamp()

    def _put(self, key: tuple[str, str, str], value: str) -> None:
        names = dict(zip(("table", "part", "key"), key, strict=True))
        self.rows[key] = {**names, "value": value, "ver": self.version}
        self.history.append((time.monotonic(), self.rows[key]))

    def _remove(self, key: tuple[str, str, str]) -> None:
        if self.rows.pop(key, None) is None:
            return
        names = dict(zip(("table", "part", "key"), key, strict=True))
        row = {**names, "value": "", "ver": self.version, "tombstone": True}
        self.history.append((time.monotonic(), row))

    def _notify(self) -> None:
        while self.history and time.monotonic() - self.history[0][0] > HISTORY_S:
            self.lost_up_to = self.history.popleft()[1]["ver"]
        self._changed.set()
        self._changed = asyncio.Event()

    def _read(self, query: dict) -> dict:
        first, end = query.get("from", ""), query.get("to", "")
        limit = min(int(query.get("limit", "500")), 500)
        rows = sorted(
            (row["key"].encode(), row)
            for key, row in self.rows.items()
            if key[:2] == (query["table"], query.get("part", ""))
            and key[2] >= first
            and (not end or key[2] < end)
        )
        page = [row for _, row in rows[:limit]]
        return {"rows": page, "morePages": len(rows) > limit, **self._stamp()}

    async def _follow(self, query: dict):
        after, table = int(query["after"]), query["table"]
        deadline = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            if after < self.lost_up_to:
                return 410, {}
            latest = {
                (row["part"], row["key"]): row
                for _, row in self.history
                if row["table"] == table and row["ver"] > after
            }
            left_s = deadline - time.monotonic()
            if latest or left_s <= 0:
                rows = sorted(latest.values(), key=lambda row: row["ver"])
                return 200, {"rows": rows, **self._stamp()}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._changed.wait()


# Workers


class Worker:
    """One worker: its capacity, runs, ends, lease and fence."""

    def __init__(self, lab: "Lab", worker_id: str, address: str, zone: str, rack: str):
        self.lab = lab
        self.worker_id = worker_id
        self.address = address
        self.zone = zone
        self.rack = rack
        self.is_up = False
        self.server: asyncio.Server | None = None
        self.begin()

    def begin(self) -> None:
        """Start a new life, which knows nothing of before."""
        self.born = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.fence = 0
        self.lease_until_ms = 0
        self.runs: dict[str, dict] = {}
        self.used = dict.fromkeys(self.lab.capacity, 0)
        self.advanced_at = 0.0
        self.highest: dict[str, int] = {}
        self.ended: list[list] = []
        self.n_ended = 0
        self.seq = 0
        self.is_up = True

    def entry(self) -> dict:
        """Return what the worker writes into the store of itself."""
        self.seq += 1
        return {
            "service": "svc",
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": self.seq,
            "capacity": self.lab.capacity,
            "labels": ["a", self.rack],
            "born": self.born,
        }

    def crash(self) -> None:
        """End the worker; nothing runs on it any more."""
        for task, run in self.runs.items():
            self.lab.on_end(task, run["run"], self, "gone")
        self.runs.clear()
        self.used = dict.fromkeys(self.used, 0)
        self.is_up = False

    def count_use(self, step: dict, sign: int) -> None:
        """Count what a run of a step uses, or no longer uses."""
        for name in self.used:
            self.used[name] += sign * step.get(name, 0)

    def clock_ms(self) -> int:
        """Return the worker's clock."""
        return int((time.monotonic() - self.started_at) * 1000) + 1

    async def handle(self, method, target, headers, body):
        """Answer one order."""
        del method
        if not self.is_up:
            return None
        self.advance()
        if headers.get("berylcleat-expect-instance", self.worker_id) != self.worker_id:
            return 421, {"clockMs": self.clock_ms(), "born": self.born}
        order = json.loads(body)
        fence = order.get("fence", 0)
        if fence < self.fence:
            return self._answer(409, reason="fence")
        self.fence = fence
        if target == "/api/run-start":
            return self._start(order)
        if target == "/api/run-stop":
            return self._stop(order)
        if target == "/api/pace":
            return self._answer(200)
        if target == "/api/hold":
            return await self._hold(order)
        return 404, {}

    def _answer(self, status: int, **fields):
        return status, {"clockMs": self.clock_ms(), "born": self.born, **fields}

    def _extend(self, deadline_ms: int) -> None:
        granted = min(deadline_ms, self.clock_ms() + MAX_HOLD_MS)
        self.lease_until_ms = max(self.lease_until_ms, granted)

    def _start(self, order: dict):
        task, number = order["task"], order["run"]
        run = self.runs.get(task)
        if run is not None and run["run"] == number:
            return self._answer(200)
        if not self.lab.is_ticket_valid(task, self, order.get("ticket", "")):
            return self._answer(409, reason="ticket")
        if self.clock_ms() > order["deadlineMs"]:
            return self._answer(409, reason="late")
        self._extend(order["deadlineMs"])
        if run is not None or number <= self.highest.get(task, 0):
            return self._answer(409, reason="old")
        step = self.lab.step_of(task)
        for name, room in self.lab.capacity.items():
            if self.used[name] + step.get(name, 0) > room:
                return self._answer(409, reason="room")
        self.runs[task] = {
            "run": number,
            "step": step,
            "since": time.monotonic(),
            "work_since": None,
            "stop_at": None,
        }
        self.count_use(step, 1)
        self.lab.on_start(task, number, self)
        return self._answer(200)

    def _stop(self, order: dict):
        task, number = order["task"], order["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run["run"] == number and run["stop_at"] is None:
            run["stop_at"] = time.monotonic() + STOP_S
        return self._answer(200)

    async def _hold(self, order: dict):
        if order.get("deadlineMs") is not None:
            self._extend(order["deadlineMs"])
        acked = order["ackedUpto"]
        self.ended = [end for end in self.ended if end[0] > acked]
        deadline = time.monotonic() + order.get("waitMs", 0) / 1000
        while not self.ended and time.monotonic() < deadline and self.is_up:
            await asyncio.sleep(0.02)
            self.advance()
        if not self.is_up:
            return None
        if order.get("fence", 0) < self.fence:
            return self._answer(409, reason="fence")
        running = [
            [task, run["run"], "", 100, run["step"].get("cpu", 0)]
            for task, run in self.runs.items()
        ]
        return self._answer(200, running=running, ended=self.ended[:MAX_ENDS])

    def advance(self) -> None:
        """End the runs that are due, and all once the lease has expired."""
        if not self.is_up:
            return
        now = time.monotonic()
        if now - self.advanced_at < MIN_ADVANCE_S:
            return
        self.advanced_at = now
        for task, run in list(self.runs.items()):
            if run["work_since"] is None:
                if self.lab.is_gang_present(task, run):
                    run["work_since"] = now
                elif now - run["since"] > GANG_S:
                    self.end(task, "alone")
                    continue
            is_due = run["work_since"] is not None and now - run[
                "work_since"
            ] >= self.lab.work_s(task)
            if run["stop_at"] is not None and run["stop_at"] <= now:
                self.end(task, "stopped")
            elif is_due:
                self.lab.end_done(task, run, self)
        if self.clock_ms() > self.lease_until_ms:
            for task in list(self.runs):
                self.end(task, "lapsed")

    def end(self, task: str, how: str) -> None:
        """End a run."""
        run = self.runs.pop(task, None)
        if run is None:
            return
        self.count_use(run["step"], -1)
        self.n_ended += 1
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.ended.append([self.n_ended, task, run["run"], how, ""])
        self.lab.on_end(task, run["run"], self, how)


# Hosts


def render(template: str, fields: dict) -> str:
    """Fill in a template as the pages tell, as far as this project's uses it."""

    def find(name: str):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def fill_section(match) -> str:
        value = find(match[1])
        return "" if value in (None, False, [], {}) else match[2]

    def fill(match) -> str:
        value = find(match[1])
        if match[2]:
            return json.dumps(value)
        if isinstance(value, list):
            return ",".join(map(str, value))
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", fill_section, template)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill, text)


class Host:
    """One host process, which the platform restarts when it ends."""

    def __init__(self, lab: "Lab", number: int, ports: list[int], zone: str):
        self.lab = lab
        self.name = f"edge-{zone}-{number}"
        self.front, self.ready = (f"127.0.0.1:{port}" for port in ports[:2])
        self.n_ends = 0
        self.max_mb = 0.0
        # Since when its readiness has had no answer, and the longest such time.
        self.silent_since: float | None = None
        self.silent_s = 0.0
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["host"]
        fields = {
            **lab.fields,
            "nodeName": self.name,
            "role": "host",
            "machineClass": "edge",
            "ip": "127.0.0.1",
            "zone": zone,
            "listen": {"front": self.front, "ready": self.ready},
            "portRange": ports[2:4],
        }
        path = lab.folder / f"{self.name}.json"
        path.write_text(render((ROOT / role["template"]).read_text(), fields))
        self.command = shlex.split(role["run"])
        self.environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        self.environment["BERYLCLEAT_SETTINGS"] = str(path)
        self.environment["PYTHONPATH"] = str(ROOT / "target/deps")
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        log = open(self.lab.folder / f"{self.name}.log", "ab")  # noqa: SIM115
        self.process = subprocess.Popen(
            self.command, cwd=ROOT, env=self.environment, stdout=log, stderr=log
        )
        log.close()

    def memory_mb(self) -> float:
        """Return the memory of the process, 0 if it has ended."""
        try:
            text = Path(f"/proc/{self.process.pid}/statm").read_text()
            return int(text.split()[1]) * PAGE_BYTES / 1e6
        except (OSError, IndexError):
            return 0.0

    async def probe(self) -> None:
        """Ask each second whether the host is ready, as the platform does."""
        while True:
            asked_at = time.monotonic()
            status, _ = await call(self.ready, "GET", "/api/readiness", None, 1.0)
            if status:
                self.silent_since = None
            elif self.silent_since is None:
                self.silent_since = asked_at
            if self.silent_since is not None:
                silent_s = time.monotonic() - self.silent_since
                self.silent_s = max(self.silent_s, silent_s)
            await asyncio.sleep(max(0.0, asked_at + 1.0 - time.monotonic()))

    async def supervise(self) -> None:
        """Kill the process above its memory, and restart it whenever it has ended."""
        while True:
            await asyncio.sleep(0.02)
            memory_mb = self.memory_mb()
            self.max_mb = max(self.max_mb, memory_mb)
            if memory_mb > self.lab.memory_mb:
                self.process.send_signal(signal.SIGKILL)
                self.process.wait()
                self.lab.note(
                    f"host      {self.name} killed: {memory_mb:.0f} MB, its machine "
                    f"has {self.lab.memory_mb}"
                )
            if self.process.poll() is not None:
                self.n_ends += 1
                self.lab.note(
                    f"host      {self.name} ended, code {self.process.returncode}"
                )
                await asyncio.sleep(RESTART_S)
                self.start()


class Lab:
    """Store, workers and hosts of one script, and the record of what they do.

    ``racks`` maps the name of each zone to the numbers of workers of its racks.
    """

    def __init__(self, record_path: Path, racks: dict[str, list[int]], n_hosts: int):
        self.record = open(record_path, "w", encoding="utf-8")  # noqa: SIM115
        self.folder = Path(tempfile.mkdtemp(prefix="review-3-"))
        self.began_at = time.monotonic()
        self.capacity = {"cpu": 32000, "memMb": 128000, "gpu": 0}
        self.memory_mb = 300
        self.steps_by_id: dict[str, list[dict]] = {}
        self.work_by_id: dict[str, float] = {}
        self.n_runs_by_id: dict[str, int] = {}
        self.done_by_id: dict[str, set[str]] = {}
        self.starts: list[tuple[float, str, int, str]] = []
        self.ends: list[tuple[float, str, int, str, str]] = []
        self.tasks: set[asyncio.Task] = set()
        self.store = Store()
        zones = list(racks)
        n_workers = sum(map(sum, racks.values()))
        ports = free_ports(2 + n_workers + 4 * n_hosts)
        self.store_address = f"127.0.0.1:{ports.pop()}"
        self.advice_address = f"127.0.0.1:{ports.pop()}"
        self.fields = {
            "region": "lakeshore",
            "zones": dict.fromkeys(zones, "lakeshore"),
            "platform": {"address": self.store_address, "rowBytes": 65536},
            "cloud": {"address": "", "duties": []},
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4100},
            "bounds": {"graceS": 6, "maxStretchMs": 5000},
            "orders": "push",
            "advice": self.advice_address,
            "contracts": CONTRACTS,
        }
        # The workers that the advice service names; None: no queue asks it.
        self.advised: set[str] | None = None
        self.advice_policy = {"decideMs": 100, "eachMs": 5, "validMs": 20000}
        self.workers: dict[str, Worker] = {}
        n_racks = 0
        for zone, sizes in racks.items():
            for size in sizes:
                n_racks += 1
                for _ in range(size):
                    worker_id = f"w{len(self.workers):02d}"
                    address = f"127.0.0.1:{ports.pop()}"
                    rack = f"r1-{n_racks}"
                    worker = Worker(self, worker_id, address, zone, rack)
                    self.workers[worker_id] = worker
        self.hosts = [
            Host(self, n, [ports.pop() for _ in range(4)], zones[n % len(zones)])
            for n in range(n_hosts)
        ]

    def note(self, text: str) -> None:
        """Write a line into the record."""
        self.record.write(f"{time.monotonic() - self.began_at:8.3f}  {text}\n")
        self.record.flush()

    async def start(self) -> None:
        """Start everything, and wait until every host is ready and has cells."""
        await serve(self.store_address, self.store.handle)
        await serve(self.advice_address, self.advise)
        self.write_config()
        for worker in self.workers.values():
            await serve(worker.address, worker.handle)
        self._spawn(self._beat())
        for host in self.hosts:
            host.start()
            self._spawn(host.supervise())
        deadline = time.monotonic() + START_TIMEOUT_S
        for host in self.hosts:
            while (await call(host.ready, "GET", "/api/readiness"))[0] != 200:
                if time.monotonic() > deadline:
                    raise TimeoutError("hosts not ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(4.0)
        for host in self.hosts:
            self._spawn(host.probe())
        self.note(f"ready     {len(self.hosts)} hosts, {len(self.workers)} workers")

    def write_config(self, **changes) -> None:
        """Write the operator's configuration."""
        route = {
            "name": "season-batch",
            "host": HOST_NAME,
            "pathPrefix": "/batch/",
            "service": "svc",
            "timeoutMs": 3000,
            "sloMs": 1000,
            "priority": 2,
            "maxAttempts": 4,
            "stretch": 2.0,
            **changes,
        }
        if self.advised is not None:
            route["advice"] = self.advice_policy
        service = {"name": "svc", "admissionCheck": True, "maxConns": 64}
        config = {
            "version": self.store.version + 1,
            "routes": [route],
            "services": [service],
            "limits": {"maxBodyBytes": 262144},
        }
        self.store.write("op", "config", config)

    def _spawn(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)

    async def _beat(self) -> None:
        """Have the workers report, and end their runs when they are due."""
        beat_at = 0.0
        while True:
            now = time.monotonic()
            if now >= beat_at:
                beat_at = now + HEARTBEAT_S
                for worker in self.workers.values():
                    if worker.is_up:
                        self.store.write("servers", worker.worker_id, worker.entry())
            for worker in self.workers.values():
                worker.advance()
            await asyncio.sleep(0.02)

    async def lose_worker(self, worker_id: str) -> None:
        """Crash a worker for good; its entry goes after three missing reports."""
        self.note(f"lost      worker {worker_id}, for good")
        self.workers[worker_id].crash()
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.store.write("servers", worker_id, None)

    async def advise(self, method, target, headers, body):
        """Answer for the advice service which workers may run a step."""
        del method, target, headers
        asked = json.loads(body)
        policy, ids = self.advice_policy, asked["workers"]
        await asyncio.sleep((policy["decideMs"] + policy["eachMs"] * len(ids)) / 1000)
        good = [
            [worker_id, self.ticket(asked["step"], self.workers[worker_id])]
            for worker_id in ids
            if worker_id in (self.advised or ())
        ]
        self.note(f"advised   {asked['step']}: {len(good)} of {ids}")
        return 200, {"good": good}

    def ticket(self, step: str, worker: Worker) -> str:
        """Return the ticket of a step for a life of a worker."""
        return f"{step}/{worker.worker_id}/{worker.born}"

    def is_ticket_valid(self, task: str, worker: Worker, ticket: str) -> bool:
        """Return whether a start carries the ticket that it needs."""
        if self.advised is None:
            return True
        return ticket == self.ticket(task.rpartition(".")[0], worker)

    # What the workers tell

    def step_of(self, task: str) -> dict:
        """Return the step of a task."""
        submission_id, _, step, _ = task.split(".")
        return self.steps_by_id[submission_id][int(step)]

    def work_s(self, task: str) -> float:
        """Return how long a run of a task works."""
        return self.work_by_id[task.split(".")[0]]

    def members(self, task: str) -> list[str]:
        """Return the tasks of a task's gang."""
        key = task.rpartition(".")[0]
        return [f"{key}.{n}" for n in range(self.step_of(task)["count"])]

    def is_gang_present(self, task: str, run: dict) -> bool:
        """Return whether a run needs no others, or all of its gang are there."""
        if not run["step"].get("gang"):
            return True
        present = {
            item
            for worker in self.workers.values()
            for item, other in worker.runs.items()
            if other["run"] == run["run"]
        }
        return present.issuperset(self.members(task))

    def end_done(self, task: str, run: dict, worker: Worker) -> None:
        """End a run as done, a gang's on all workers."""
        if not run["step"].get("gang"):
            worker.end(task, "done")
            return
        for member in self.members(task):
            for other in self.workers.values():
                if other.runs.get(member, {}).get("run") == run["run"]:
                    other.end(member, "done")

    def on_start(self, task: str, number: int, worker: Worker) -> None:
        """Record the start of a run."""
        submission_id = task.split(".")[0]
        n_runs = self.n_runs_by_id.get(submission_id, 0)
        self.n_runs_by_id[submission_id] = n_runs + 1
        self.starts.append((time.monotonic(), task, number, worker.worker_id))
        self.note(f"run begun {task} run {number} on {worker.worker_id}")

    def on_end(self, task: str, number: int, worker: Worker, how: str) -> None:
        """Record the end of a run."""
        submission_id = task.split(".")[0]
        self.n_runs_by_id[submission_id] -= 1
        if how == "done":
            self.done_by_id.setdefault(submission_id, set()).add(task)
        self.ends.append((time.monotonic(), task, number, worker.worker_id, how))
        self.note(f"run ended {task} run {number} on {worker.worker_id}: {how}")

    # The client

    async def submit(
        self, submission_id: str, body: dict, work_s: float, n_tries: int = 5
    ) -> int:
        """Hand a submission in as the pages' clients do; return the last status."""
        self.steps_by_id[submission_id] = body["steps"]
        self.work_by_id[submission_id] = work_s
        status = 0
        for number in range(n_tries):
            host = self.hosts[number % len(self.hosts)]
            target = f"/batch/{submission_id}"
            status, _ = await call(host.front, "POST", target, body)
            answer = status or "no answer"
            self.note(f"sent      POST {target} to {host.name}: {answer}")
            if status not in (0, 502, 504, 503, 429):
                break
            await asyncio.sleep(0.5)
        return status

    async def state(self, submission_id: str) -> str:
        """Return the state that the first host that answers shows, or the status."""
        status = 0
        for host in self.hosts:
            target = f"/batch/{submission_id}"
            status, body = await call(host.front, "GET", target)
            if status == 200:
                return json.loads(body)["state"]
            if status == 410:
                break
        return str(status) if status else "no answer"

    async def wait_state(self, submission_id: str, wanted: str, limit_s: float) -> str:
        """Ask for a state until it is the one that is wanted; return the last."""
        deadline = time.monotonic() + limit_s
        shown = ""
        while time.monotonic() < deadline:
            state = await self.state(submission_id)
            if state != shown:
                self.note(f"shown     {submission_id} as {state}")
                shown = state
            if state == wanted:
                break
            await asyncio.sleep(0.25)
        return shown

    async def kill_all(self) -> None:
        """Kill all hosts at once, and wait until all are ready again."""
        self.note("killed    all hosts, by SIGKILL")
        for host in self.hosts:
            host.process.send_signal(signal.SIGKILL)
        await asyncio.sleep(0.5)
        deadline = time.monotonic() + START_TIMEOUT_S
        for host in self.hosts:
            while (await call(host.ready, "GET", "/api/readiness"))[0] != 200:
                if time.monotonic() > deadline:
                    raise TimeoutError("a host doesn't come back")
                await asyncio.sleep(0.1)
        self.note("ready     all hosts")

    # What the rule LOST asks for

    def n_left(self, submission_id: str) -> int:
        """Return how many tasks of a submission aren't done yet."""
        n_tasks = sum(step["count"] for step in self.steps_by_id[submission_id])
        return n_tasks - len(self.done_by_id.get(submission_id, ()))

    def n_slots(self, step: dict, workers=None) -> int:
        """Return how many tasks of a step fit beside what runs."""
        n_slots = 0
        for worker_id in workers or self.workers:
            worker = self.workers[worker_id]
            if worker.is_up:
                n_slots += min(
                    (room - worker.used[name]) // step[name]
                    for name, room in self.capacity.items()
                    if step.get(name)
                )
        return n_slots

    def used_share(self) -> float:
        """Return the part of the service's processors that is in use."""
        used = [w.used["cpu"] for w in self.workers.values() if w.is_up]
        return sum(used) / (self.capacity["cpu"] * len(used))

    async def is_kept(
        self, submission_id: str, workers=None, *, each: bool = False
    ) -> bool:
        """Return whether LOST holds for an accepted submission of one step.

        Call it at the end of the traffic: ``finish_s`` later the submission may not be
        at rest for 3 s beside capacity for all that waits of it twice over; ``each`` of
        its tasks may not, if they last.
        """
        self.note(f"traffic   ended, {submission_id} is looked at in {FINISH_S} s")
        await asyncio.sleep(FINISH_S)
        (step,) = self.steps_by_id[submission_id]
        idle_since = None
        until = time.monotonic() + 3 * IDLE_S
        while time.monotonic() < until:
            n_left = self.n_left(submission_id)
            if not n_left:
                return True
            n_runs = self.n_runs_by_id.get(submission_id, 0)
            n_left -= n_runs
            is_idle = (
                (n_left > 0 if each else not n_runs)
                and self.n_slots(step, workers) >= 2 * n_left
                and self.used_share() < 0.5
            )
            now = time.monotonic()
            idle_since = (idle_since or now) if is_idle else None
            if idle_since is not None and now - idle_since > IDLE_S:
                n_slots = self.n_slots(step, workers)
                self.note(
                    f"LOST      {submission_id}: {n_left} tasks wait, none of them "
                    f"has run for {IDLE_S} s, capacity for {n_slots}, "
                    f"{self.used_share():.2f} of the service in use"
                )
                return False
            await asyncio.sleep(0.05)
        return True

    async def is_answered(self, submission_id: str) -> bool:
        """Return whether a client that asks for a submission gets an answer in time."""
        for number in range(CLIENT_TRIES):
            host = self.hosts[number % len(self.hosts)]
            target = f"/batch/{submission_id}"
            status, _ = await call(host.front, "GET", target, None, CLIENT_LIMIT_S)
            self.note(f"asked     GET {target} of {host.name}: {status or 'no answer'}")
            if status == 200:
                return True
        self.note(f"LOST      {submission_id}: no answer in time")
        return False

    def stop(self) -> None:
        """End all processes that were started here."""
        for task in self.tasks:
            task.cancel()
        for host in self.hosts:
            if host.process is not None:
                host.process.kill()
                host.process.wait()
            self.note(
                f"host      {host.name}: {host.n_ends} ends, at most "
                f"{host.max_mb:.0f} MB, no answer to the platform for at most "
                f"{host.silent_s:.0f} s"
            )
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(run, make) -> None:
    """Play a script: ``make`` returns the lab, ``run`` whether the rule held.

    The second argument of ``run`` tells whether the disruption is played.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    lab = make(Path(sys.argv[0]).resolve().parent / "record.txt")

    async def play() -> bool:
        async with asyncio.timeout(MAX_PLAY_S):
            await lab.start()
            return await run(lab, has_trouble)

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

    # Ends of connections that are cut off at the end are no news.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    try:
        held = asyncio.run(play())
    except Exception as error:  # noqa: BLE001
        lab.note(f"the case couldn't run: {error!r}")
        code = 2
    else:
        lab.note("the rule held" if held else "the rule was broken")
        code = 0 if held else 1
    finally:
        lab.stop()
    sys.exit(code)

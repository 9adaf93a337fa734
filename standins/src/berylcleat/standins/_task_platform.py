"""HTTP stand-in for the users' platform: metadata store, operator and workers.

It implements the platform's protocol, so the platform adapter runs against it
unchanged.
"""

import asyncio
import base64
import json
import time
from dataclasses import dataclass, field, replace
from typing import Any
from urllib.parse import parse_qs, urlsplit

from berylcleat.http import (
    AbandonConnectionError,
    HttpRequest,
    HttpResponse,
    HttpServer,
)
from berylcleat.model import Step, TaskDemand, TaskKey
from berylcleat.ports import (
    EndedTask,
    HoldOrder,
    OrderAnswer,
    OrderResult,
    RunEnd,
    StartOrder,
    StopOrder,
    WorkerEntry,
)
from berylcleat.runtime import StopSignal, cancel_all

from ._machine_service import StandinMachineService
from ._ports import find_free_ports
from ._row_store import RowStore
from ._task_worker import TaskWorker
from ._worker_entries import WorkerEntries

JSON_HEADERS = (("content-type", "application/json"),)
REASON_BY_RESULT = {
    OrderResult.FENCED: "fence",
    OrderResult.OLD_RUN: "old",
    OrderResult.TOO_LATE: "late",
    OrderResult.NO_ROOM: "room",
}
HOLD_POLL_INTERVAL_S = 0.02
# Workers end due runs at this period, also while no host sends them requests.
ADVANCE_PERIOD_S = 0.02


@dataclass(frozen=True, slots=True)
class WorkerSettings:
    """Address, rack and capacity of a stand-in worker.

    The worker listens on ``address``. The store publishes ``listed_address`` instead
    when it is set, for example the address of a proxy.
    """

    worker_id: str
    address: str
    data_centre: str
    rack: str
    listed_address: str = ""
    cpu_millis: int = 8000
    memory_mb: int = 16000


@dataclass(frozen=True, slots=True)
class TaskPlatformSettings:
    """Addresses of the stand-in and the operator's initial configuration.

    Without a ``machine_address`` there is no machine service; ``maintenance_s`` is how
    long its machines are down for their maintenance.
    """

    store_address: str
    control_address: str
    workers: tuple[WorkerSettings, ...]
    config: dict[str, Any]
    machine_address: str = ""
    maintenance_s: float = 2.0


@dataclass(slots=True)
class RunRecorder:
    """Record of all runs on the workers and of every violation of run-once.

    A task may start again after a run of it was done only if no owner acknowledges
    that end, which happens when the worker's lease lapsed before the report.
    """

    n_starts: int = 0
    n_starts_by_worker: dict[str, int] = field(default_factory=dict)
    workers_by_task: dict[TaskKey, list[str]] = field(default_factory=dict)
    started_ids: set[str] = field(default_factory=set)
    n_done_by_task: dict[TaskKey, int] = field(default_factory=dict)
    overlaps: list[str] = field(default_factory=list)
    acknowledged_done_tasks: set[TaskKey] = field(default_factory=set)
    done_runs_by_task: dict[TaskKey, set[int]] = field(default_factory=dict)
    done_runs_before_restart: dict[TaskKey, set[int]] = field(default_factory=dict)
    run_by_task_and_worker: dict[tuple[TaskKey, str], int] = field(default_factory=dict)
    ended_at_by_task: dict[TaskKey, float] = field(default_factory=dict)

    def on_start(self, task: TaskKey, run: int, worker_id: str, now: float) -> None:
        """Record the start of a run and report an overlap with an earlier run."""
        self.n_starts += 1
        n_starts = self.n_starts_by_worker.get(worker_id, 0)
        self.n_starts_by_worker[worker_id] = n_starts + 1
        self.started_ids.add(task.submission_id)
        running_on = self.workers_by_task.setdefault(task, [])
        if running_on:
            self.overlaps.append(
                f"{task} run {run} on {worker_id} while running on {running_on}"
            )
        elif task in self.acknowledged_done_tasks:
            self.overlaps.append(
                f"{task} run {run} on {worker_id} after an acknowledged end"
            )
        elif task in self.done_runs_by_task:
            self.done_runs_before_restart[task] = set(self.done_runs_by_task[task])
        running_on.append(worker_id)
        self.run_by_task_and_worker[task, worker_id] = run

    def on_end(self, task: TaskKey, worker_id: str, end: RunEnd | None) -> None:
        """Record the end of a run."""
        self.workers_by_task[task].remove(worker_id)
        self.ended_at_by_task[task] = time.monotonic()
        if end is RunEnd.DONE:
            run = self.run_by_task_and_worker[task, worker_id]
            self.done_runs_by_task.setdefault(task, set()).add(run)
            self.n_done_by_task[task] = self.n_done_by_task.get(task, 0) + 1

    def running_workers_by_task(self) -> dict[str, list[str]]:
        """Return the workers of each task that runs, by the task's name."""
        return {
            _format_task(task): workers
            for task, workers in self.workers_by_task.items()
            if workers
        }

    def idle_since_by_task(self) -> dict[str, float]:
        """Return when the last run ended of each task that isn't done and doesn't run.

        Times are of the machine's monotonic clock, in seconds.
        """
        return {
            _format_task(task): self.ended_at_by_task[task]
            for task, workers in self.workers_by_task.items()
            if not workers and task not in self.n_done_by_task
        }

    def on_acknowledged(self, end: EndedTask) -> None:
        """Record an end that an owner acknowledged to the worker."""
        if end.end is not RunEnd.DONE:
            return
        self.acknowledged_done_tasks.add(end.task)
        if end.run in self.done_runs_before_restart.get(end.task, ()):
            text = f"{end.task} was restarted before run {end.run} was acknowledged"
            self.overlaps.append(text)


def _parse_run_options(spec: str) -> dict[str, Any]:
    """Parse the options for the tasks' runs that a test put into ``spec``."""
    return json.loads(spec) if spec.startswith("{") else {}


class TaskPlatform:
    """Metadata store and workers of the platform, each at its own address."""

    def __init__(self, settings: TaskPlatformSettings):
        self.store = RowStore()
        self.run_recorder = RunRecorder()
        self.steps_by_id: dict[str, tuple[Step, ...]] = {}
        self.outage_mode = ""
        self.entries = WorkerEntries(
            self._write_entry, lambda worker_id: self.store.remove("servers", worker_id)
        )
        self.settings_by_worker = {
            worker_settings.worker_id: worker_settings
            for worker_settings in settings.workers
        }
        self.worker_by_id = {
            worker_settings.worker_id: self._make_worker(worker_settings)
            for worker_settings in settings.workers
        }
        self.machines = StandinMachineService(
            tuple(self.worker_by_id), self, self._read_wave, settings.maintenance_s
        )
        self._server_by_worker: dict[str, HttpServer] = {}
        self._store_address = settings.store_address
        self._store_server: HttpServer | None = None
        self.store.write("op", "config", json.dumps(settings.config).encode())
        for worker_settings in settings.workers:
            self.entries.publish(worker_settings.worker_id, "ready")

    def _make_worker(self, worker_settings: WorkerSettings) -> TaskWorker:
        entry = WorkerEntry(
            worker_settings.worker_id,
            "svc",
            worker_settings.address,
            worker_settings.data_centre,
            "a",
            worker_settings.rack,
            frozenset({"a", worker_settings.rack}),
            TaskDemand(worker_settings.cpu_millis, worker_settings.memory_mb, 0),
            int(time.time() * 1000),
        )
        worker = TaskWorker(
            entry, _UniformSteps(), self.run_recorder, clock_started_at=time.monotonic()
        )
        worker.started_at_ms = entry.started_at_ms
        return worker

    def _write_entry(self, worker_id: str, state: str) -> None:
        worker_settings = self.settings_by_worker[worker_id]
        entry = {
            "service": "svc",
            "address": worker_settings.listed_address or worker_settings.address,
            "zone": worker_settings.data_centre,
            "state": state,
            "capacity": {
                "cpu": worker_settings.cpu_millis,
                "memMb": worker_settings.memory_mb,
                "gpu": 0,
            },
            "labels": ["a", worker_settings.rack],
            "born": self.worker_by_id[worker_id].started_at_ms,
            "seq": 1,
        }
        self.store.write("servers", worker_id, json.dumps(entry).encode())

    async def start_store(self) -> None:
        """Begin to serve the store at its address."""
        server = HttpServer(self._store_address, self.handle_store_request)
        await server.start()
        self._store_server = server

    async def close_store(self) -> None:
        """Close the store's connections and refuse new ones; all entries lapse."""
        server, self._store_server = self._store_server, None
        self.store.wake_waiters()
        await server.stop(0.0)
        self.entries.remove_all()

    async def open_store(self) -> None:
        """Serve the closed store again; the workers write their entries anew."""
        await self.start_store()
        self.entries.return_all(time.monotonic())

    async def start_worker(self, worker_id: str) -> None:
        """Begin to serve a worker at its address."""
        address = self.settings_by_worker[worker_id].address
        server = HttpServer(address, self.make_worker_handler(worker_id))
        await server.start()
        self._server_by_worker[worker_id] = server

    async def end_worker(self, worker_id: str) -> None:
        """Terminate a worker and everything on it, and take it off the list."""
        worker = self.worker_by_id[worker_id]
        worker.crash(time.monotonic())
        worker.is_up = False
        self.entries.leave(worker_id)
        await self._server_by_worker.pop(worker_id).stop(0.0)

    async def return_worker(self, worker_id: str) -> None:
        """Start an ended worker again, which knows nothing of before."""
        worker = self.worker_by_id[worker_id]
        worker.clock_started_at = time.monotonic()
        worker.is_up = True
        await self.start_worker(worker_id)
        self.entries.publish(worker_id, "ready")

    async def join_worker(self, worker_id: str, new_worker_id: str) -> None:
        """Start the worker that replaces an ended one, at another address."""
        worker_settings = replace(
            self.settings_by_worker[worker_id],
            worker_id=new_worker_id,
            address=f"127.0.0.1:{find_free_ports(1)[0]}",
            listed_address="",
        )
        self.settings_by_worker[new_worker_id] = worker_settings
        self.worker_by_id[new_worker_id] = self._make_worker(worker_settings)
        await self.start_worker(new_worker_id)
        self.entries.publish(new_worker_id, "ready")

    def _read_wave(self, wave_id: int) -> dict[str, Any] | None:
        return self._read_row("op", f"wave/{wave_id}")

    def _read_row(self, table: str, key: str) -> dict[str, Any] | None:
        row = self.store.row_by_key.get((table, "", key))
        return json.loads(base64.b64decode(row["value"])) if row else None

    async def handle_store_request(self, request: HttpRequest) -> HttpResponse:
        """Execute one store request under the outage mode in force.

        "silent" never answers, "busy" answers 503, and "lost" executes writes and then
        closes the connection without an answer.
        """
        if self.outage_mode == "silent":
            await asyncio.sleep(30)
            raise AbandonConnectionError
        if self.outage_mode == "busy":
            return HttpResponse(503)
        if self._store_server is None:
            raise AbandonConnectionError
        answer = await self._execute_store_request(request)
        if self.outage_mode == "lost" and request.method == "POST":
            raise AbandonConnectionError
        return answer

    async def _execute_store_request(self, request: HttpRequest) -> HttpResponse:
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/api/rows-tx":
            status, body = self.store.transact(json.loads(request.body))
            return _json_response(body, status)
        if parts.path == "/api/rows-get":
            first, end = query.get("from", ""), query.get("to", "")
            part = query.get("part", "")
            limit = int(query.get("limit", "500"))
            return _json_response(
                self.store.read(query["table"], part, first, end, limit)
            )
        if parts.path == "/api/rows-parts":
            return _json_response(self.store.list_parts(query["table"]))
        if parts.path == "/api/rows-feed":
            return await self._long_poll_changes(query)
        return HttpResponse(404)

    async def _long_poll_changes(self, query: dict[str, str]) -> HttpResponse:
        table, after = query["table"], int(query["after"])
        deadline = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            rows = self.store.changes_after(table, after)
            if rows is None:
                return HttpResponse(410)
            remaining_s = deadline - time.monotonic()
            if self._store_server is None:
                raise AbandonConnectionError
            if rows or remaining_s <= 0:
                return _json_response({"rows": rows, **self.store.stamp()})
            await self.store.wait_for_change(remaining_s)

    def make_worker_handler(self, worker_id: str):
        """Return the HTTP handler for requests to one worker."""

        async def handle(request: HttpRequest) -> HttpResponse:
            return await self._handle_worker_request(
                self.worker_by_id[worker_id], request
            )

        return handle

    async def _handle_worker_request(
        self, worker: TaskWorker, request: HttpRequest
    ) -> HttpResponse:
        if not worker.is_up:
            raise AbandonConnectionError
        body = json.loads(request.body)
        if request.target == "/api/run-start":
            return _order_response(self._start(worker, body))
        if request.target == "/api/run-stop":
            task = _parse_task(body["task"])
            order = StopOrder(task, body["run"], body.get("fence", 0))
            return _order_response(worker.stop(order, time.monotonic()))
        if request.target == "/api/hold":
            return _order_response(await self._long_poll_report(worker, body))
        return HttpResponse(404)

    def _start(self, worker: TaskWorker, body: dict[str, Any]) -> OrderAnswer:
        order = StartOrder(
            _parse_task(body["task"]),
            body["run"],
            body["spec"],
            body["deadlineMs"],
            body.get("fence", 0),
        )
        run_options = _parse_run_options(order.spec)
        duration_s = run_options.get("run_s", 0.2)
        end = RunEnd.FAILED if run_options.get("fails") else RunEnd.DONE
        return worker.start(order, time.monotonic(), lambda *_: (duration_s, end))

    async def _long_poll_report(
        self, worker: TaskWorker, body: dict[str, Any]
    ) -> OrderAnswer:
        order = HoldOrder(
            body.get("fence", 0),
            body.get("ackedUpto", 0),
            body.get("deadlineMs"),
            body.get("waitMs", 0),
        )
        deadline = time.monotonic() + order.wait_ms / 1000
        while True:
            if not worker.is_up:
                raise AbandonConnectionError
            answer = worker.hold(order, time.monotonic())
            is_over = time.monotonic() >= deadline
            if answer.report is None or answer.report.ended or is_over:
                return answer
            await asyncio.sleep(HOLD_POLL_INTERVAL_S)

    async def advance_workers(self) -> None:
        """End due runs on every worker periodically, until cancelled."""
        while True:
            for worker in tuple(self.worker_by_id.values()):
                worker.advance(time.monotonic())
            self.entries.advance(time.monotonic())
            await asyncio.sleep(ADVANCE_PERIOD_S)

    async def handle_control_request(self, request: HttpRequest) -> HttpResponse:
        """Execute a test's control request.

        It reads the run record, sets the outage mode, closes or opens the store, drains
        a worker, ends one, starts it again, cuts one off from the store, writes a row,
        removes one, drops the store's change history, reads what the machine service
        recorded of a wave, or loses answers of that service.
        """
        if request.target == "/ledger":
            return _json_response(
                {
                    "n_starts": self.run_recorder.n_starts,
                    "n_starts_by_worker": self.run_recorder.n_starts_by_worker,
                    "n_done": sum(self.run_recorder.n_done_by_task.values()),
                    "overlaps": self.run_recorder.overlaps,
                    "started_ids": sorted(self.run_recorder.started_ids),
                    "running": sum(
                        map(len, self.run_recorder.workers_by_task.values())
                    ),
                    "running_workers_by_task": (
                        self.run_recorder.running_workers_by_task()
                    ),
                    "idle_since_by_task": self.run_recorder.idle_since_by_task(),
                }
            )
        body = json.loads(request.body)
        if request.target == "/outage":
            self.outage_mode = body["mode"]
        elif request.target == "/drain":
            self.entries.publish(body["worker"], "draining")
        elif request.target == "/exit":
            await self.end_worker(body["worker"])
        elif request.target == "/return":
            await self.return_worker(body["worker"])
        elif request.target == "/cut-off":
            self.entries.cut_off(
                body["worker"], time.monotonic(), body["heartbeat_age_s"]
            )
        elif request.target == "/reconnect":
            self.entries.reconnect(body["worker"])
        elif request.target == "/close-store":
            await self.close_store()
        elif request.target == "/open-store":
            await self.open_store()
        elif request.target == "/write":
            self.store.write(body["table"], body["key"], body["value"].encode())
        elif request.target == "/remove":
            self.store.remove(body["table"], body["key"])
        elif request.target == "/wave":
            key = f"wave/{body['wave']}"
            record = self.machines.record(body["wave"])
            return _json_response({**record, "status": self._read_row("status", key)})
        elif request.target == "/lose-machine-answers":
            self.machines.n_lost_answers = body["n"]
        elif request.target == "/forget":
            self.store.forget_history()
        return _json_response({})


class _UniformSteps:
    """Mapping that returns a step of one core for every submission and step index.

    The tests that use it count runs and don't depend on bin packing.
    """

    def __getitem__(self, submission_id: str) -> "_UniformSteps | Step":
        if isinstance(submission_id, int):
            return Step(1, TaskDemand(1000, 100, 0))
        return self


def _parse_task(name: str) -> TaskKey:
    submission_id, occurrence, step, index = name.split(".")
    return TaskKey(submission_id, int(occurrence), int(step), int(index))


def _format_task(task: TaskKey) -> str:
    return ".".join(map(str, task))


def _json_response(body: Any, status: int = 200) -> HttpResponse:
    return HttpResponse(status, JSON_HEADERS, json.dumps(body).encode())


def _order_response(answer: OrderAnswer) -> HttpResponse:
    body: dict[str, Any] = {"clockMs": answer.clock_ms}
    if answer.result is not OrderResult.ACCEPTED:
        return _json_response({**body, "reason": REASON_BY_RESULT[answer.result]}, 409)
    report = answer.report
    if report is not None:
        body["born"] = report.started_at_ms
        body["running"] = [
            [_format_task(run.task), run.run, run.checkpoint, run.pace_percent, 0]
            for run in report.running
        ]
        body["ended"] = [
            [
                end.number,
                _format_task(end.task),
                end.run,
                end.end.value,
                end.checkpoint,
            ]
            for end in report.ended
        ]
    return _json_response(body)


async def serve_task_platform(settings: TaskPlatformSettings, stop: StopSignal) -> None:
    """Serve the store, the control address and all workers until the stop signal."""
    platform = TaskPlatform(settings)
    servers = [
        HttpServer(settings.control_address, platform.handle_control_request),
    ]
    if settings.machine_address:
        servers.append(HttpServer(settings.machine_address, platform.machines.handle))
    for server in servers:
        await server.start()
    await platform.start_store()
    for worker_id in tuple(platform.worker_by_id):
        await platform.start_worker(worker_id)
    advance_task = asyncio.get_running_loop().create_task(platform.advance_workers())
    await stop.wait()
    await cancel_all([advance_task])

"""A small stand-in of the users' platform: store, operator and workers over HTTP.

It speaks the platform's protocol, so that the adapter runs unchanged against it.
"""

import asyncio
import json
import time
from dataclasses import dataclass, field
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

from ._row_store import RowStore
from ._task_worker import TaskWorker

JSON_HEADERS = (("content-type", "application/json"),)
REASON_BY_RESULT = {
    OrderResult.FENCED: "fence",
    OrderResult.OLD_RUN: "old",
    OrderResult.TOO_LATE: "late",
    OrderResult.NO_ROOM: "room",
}
HOLD_POLL_S = 0.02
# Workers end what is due this often, whether anybody calls them or not.
ADVANCE_PERIOD_S = 0.02


@dataclass(frozen=True, slots=True)
class WorkerPlace:
    """Say where a stand-in worker listens and in which rack it stands.

    Hosts reach it at ``listed_address``, if that is another one.
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
    """Set addresses and the configuration that the operator has written."""

    store_address: str
    control_address: str
    workers: tuple[WorkerPlace, ...]
    config: dict[str, Any]


@dataclass(slots=True)
class TaskLedger:
    """Count what truly ran, and keep every overlap.

    A task whose run has ended as done may start again only if that end is never taken
    note of: its worker's lease lapsed first.
    """

    n_starts: int = 0
    running: dict[TaskKey, list[str]] = field(default_factory=dict)
    started_ids: set[str] = field(default_factory=set)
    n_done: dict[TaskKey, int] = field(default_factory=dict)
    overlaps: list[str] = field(default_factory=list)
    noted: set[TaskKey] = field(default_factory=set)
    done_runs: dict[TaskKey, set[int]] = field(default_factory=dict)
    runs_before_restart: dict[TaskKey, set[int]] = field(default_factory=dict)
    run_by_worker: dict[tuple[TaskKey, str], int] = field(default_factory=dict)

    def on_start(self, task: TaskKey, run: int, worker_id: str, now: float) -> None:
        """Note a run that has begun."""
        self.n_starts += 1
        self.started_ids.add(task.submission_id)
        others = self.running.setdefault(task, [])
        if others:
            self.overlaps.append(f"{task} run {run} on {worker_id} beside {others}")
        elif task in self.noted:
            self.overlaps.append(f"{task} run {run} on {worker_id} after a noted end")
        elif task in self.done_runs:
            self.runs_before_restart[task] = set(self.done_runs[task])
        others.append(worker_id)
        self.run_by_worker[task, worker_id] = run

    def on_end(self, task: TaskKey, worker_id: str, end: RunEnd | None) -> None:
        """Note a run's end."""
        self.running[task].remove(worker_id)
        if end is RunEnd.DONE:
            run = self.run_by_worker[task, worker_id]
            self.done_runs.setdefault(task, set()).add(run)
            self.n_done[task] = self.n_done.get(task, 0) + 1

    def on_acknowledged(self, end: EndedTask) -> None:
        """Note an end that a worker was told to forget."""
        if end.end is not RunEnd.DONE:
            return
        self.noted.add(end.task)
        if end.run in self.runs_before_restart.get(end.task, ()):
            text = f"{end.task} was started again, then run {end.run} noted as done"
            self.overlaps.append(text)


def parse_spec(spec: str) -> dict[str, Any]:
    """Return what a test wrote into a submission's spec for its tasks."""
    return json.loads(spec) if spec.startswith("{") else {}


class TaskPlatform:
    """Serve the store, and each worker at its own address."""

    def __init__(self, settings: TaskPlatformSettings):
        self.store = RowStore()
        self.ledger = TaskLedger()
        self.steps_by_id: dict[str, tuple[Step, ...]] = {}
        self.outage = ""
        self.place_by_id = {place.worker_id: place for place in settings.workers}
        self.worker_by_id = {
            place.worker_id: self._make_worker(place) for place in settings.workers
        }
        self.store.write("op", "config", json.dumps(settings.config).encode())
        for place in settings.workers:
            self.list_worker(place, "ready")

    def _make_worker(self, place: WorkerPlace) -> TaskWorker:
        entry = WorkerEntry(
            place.worker_id,
            "svc",
            place.address,
            place.data_centre,
            "a",
            place.rack,
            frozenset({"a", place.rack}),
            TaskDemand(place.cpu_millis, place.memory_mb, 0),
            int(time.time() * 1000),
        )
        worker = TaskWorker(entry, _AnyStep(), self.ledger, born_at=time.monotonic())
        worker.started_at_ms = entry.started_at_ms
        return worker

    def list_worker(self, place: WorkerPlace, state: str) -> None:
        """Write a worker's entry into the store."""
        entry = {
            "service": "svc",
            "address": place.listed_address or place.address,
            "zone": place.data_centre,
            "state": state,
            "capacity": {"cpu": place.cpu_millis, "memMb": place.memory_mb, "gpu": 0},
            "labels": ["a", place.rack],
            "born": self.worker_by_id[place.worker_id].started_at_ms,
            "seq": 1,
        }
        self.store.write("servers", place.worker_id, json.dumps(entry).encode())

    async def on_store(self, request: HttpRequest) -> HttpResponse:
        """Answer one call to the store; ``outage`` is silent, busy, lost or empty."""
        if self.outage == "silent":
            await asyncio.sleep(30)
            raise AbandonConnectionError
        if self.outage == "busy":
            return HttpResponse(503)
        answer = await self._store_call(request)
        if self.outage == "lost" and request.method == "POST":
            raise AbandonConnectionError
        return answer

    async def _store_call(self, request: HttpRequest) -> HttpResponse:
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/api/rows-tx":
            status, body = self.store.transact(json.loads(request.body))
            return _json(body, status)
        if parts.path == "/api/rows-get":
            first, end = query.get("from", ""), query.get("to", "")
            part = query.get("part", "")
            limit = int(query.get("limit", "500"))
            return _json(self.store.read(query["table"], part, first, end, limit))
        if parts.path == "/api/rows-parts":
            return _json(self.store.parts(query["table"]))
        if parts.path == "/api/rows-feed":
            return await self._feed(query)
        return HttpResponse(404)

    async def _feed(self, query: dict[str, str]) -> HttpResponse:
        table, after = query["table"], int(query["after"])
        deadline = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            rows = self.store.changes_after(table, after)
            if rows is None:
                return HttpResponse(410)
            left_s = deadline - time.monotonic()
            if rows or left_s <= 0:
                return _json({"rows": rows, "ver": self.store.version})
            await self.store.wait(left_s)

    def worker_handler(self, worker_id: str):
        """Return what answers calls to one worker."""

        async def handle(request: HttpRequest) -> HttpResponse:
            return await self._worker_call(self.worker_by_id[worker_id], request)

        return handle

    async def _worker_call(
        self, worker: TaskWorker, request: HttpRequest
    ) -> HttpResponse:
        body = json.loads(request.body)
        if request.target == "/api/run-start":
            return _answer(self._start(worker, body))
        if request.target == "/api/run-stop":
            task = _parse_task(body["task"])
            order = StopOrder(task, body["run"], body.get("fence", 0))
            return _answer(worker.stop(order, time.monotonic()))
        if request.target == "/api/hold":
            return _answer(await self._hold(worker, body))
        return HttpResponse(404)

    def _start(self, worker: TaskWorker, body: dict[str, Any]) -> OrderAnswer:
        order = StartOrder(
            _parse_task(body["task"]),
            body["run"],
            body["spec"],
            body["deadlineMs"],
            body.get("fence", 0),
        )
        wish = parse_spec(order.spec)
        length_s = wish.get("run_s", 0.2)
        end = RunEnd.FAILED if wish.get("fails") else RunEnd.DONE
        return worker.start(order, time.monotonic(), lambda *_: (length_s, end))

    async def _hold(self, worker: TaskWorker, body: dict[str, Any]) -> OrderAnswer:
        order = HoldOrder(
            body.get("fence", 0),
            body.get("ackedUpto", 0),
            body.get("deadlineMs"),
            body.get("waitMs", 0),
        )
        deadline = time.monotonic() + order.wait_ms / 1000
        while True:
            answer = worker.hold(order, time.monotonic())
            is_over = time.monotonic() >= deadline
            if answer.report is None or answer.report.ended or is_over:
                return answer
            await asyncio.sleep(HOLD_POLL_S)

    async def advance_workers(self) -> None:
        """End what is due on every worker, until cancelled."""
        while True:
            for worker in self.worker_by_id.values():
                worker.advance(time.monotonic())
            await asyncio.sleep(ADVANCE_PERIOD_S)

    async def on_control(self, request: HttpRequest) -> HttpResponse:
        """Let a test set an outage, drain a worker, or read the ledger."""
        if request.target == "/ledger":
            return _json(
                {
                    "n_starts": self.ledger.n_starts,
                    "n_done": sum(self.ledger.n_done.values()),
                    "overlaps": self.ledger.overlaps,
                    "started_ids": sorted(self.ledger.started_ids),
                    "running": sum(map(len, self.ledger.running.values())),
                }
            )
        body = json.loads(request.body)
        if request.target == "/outage":
            self.outage = body["mode"]
        elif request.target == "/drain":
            self.list_worker(self.place_by_id[body["worker"]], "draining")
        elif request.target == "/write":
            self.store.write(body["table"], body["key"], body["value"].encode())
        elif request.target == "/forget":
            self.store.forget_history()
        return _json({})


class _AnyStep:
    """Give a step of one core for every task: tests count, they don't pack."""

    def __getitem__(self, submission_id: str) -> "_AnyStep | Step":
        if isinstance(submission_id, int):
            return Step(1, TaskDemand(1000, 100, 0))
        return self


def _parse_task(name: str) -> TaskKey:
    submission_id, occurrence, step, index = name.split(".")
    return TaskKey(submission_id, int(occurrence), int(step), int(index))


def _json(body: Any, status: int = 200) -> HttpResponse:
    return HttpResponse(status, JSON_HEADERS, json.dumps(body).encode())


def _answer(answer: OrderAnswer) -> HttpResponse:
    body: dict[str, Any] = {"clockMs": answer.clock_ms}
    if answer.result is not OrderResult.ACCEPTED:
        return _json({**body, "reason": REASON_BY_RESULT[answer.result]}, 409)
    report = answer.report
    if report is not None:
        body["born"] = report.started_at_ms
        body["running"] = [
            [".".join(map(str, run.task)), run.run, run.checkpoint, run.percent, 0]
            for run in report.running
        ]
        body["ended"] = [
            [
                end.number,
                ".".join(map(str, end.task)),
                end.run,
                end.end.value,
                end.checkpoint,
            ]
            for end in report.ended
        ]
    return _json(body)


async def serve_task_platform(settings: TaskPlatformSettings, stop: StopSignal) -> None:
    """Serve until a stop signal."""
    platform = TaskPlatform(settings)
    servers = [
        HttpServer(settings.store_address, platform.on_store),
        HttpServer(settings.control_address, platform.on_control),
    ]
    for place in settings.workers:
        handler = platform.worker_handler(place.worker_id)
        servers.append(HttpServer(place.address, handler))
    for server in servers:
        await server.start()
    advancing = asyncio.get_running_loop().create_task(platform.advance_workers())
    await stop.wait()
    await cancel_all([advancing])

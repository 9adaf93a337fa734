"""Stand-in for a rack: one process that serves all workers and upstreams of it."""

import asyncio
from dataclasses import dataclass

import msgspec

from berylcleat.http import HttpLimits, HttpRequest, HttpResponse, HttpServer
from berylcleat.model import WorkerSpec
from berylcleat.ports import ExchangeRequest
from berylcleat.runtime import AdminRouter, StopSignal, json_response
from berylcleat.telemetry import Tracer

from ._history import History
from ._upstream import UpstreamStandin
from ._worker import WorkerStandin

ADVANCE_PERIOD_S = 0.05


@dataclass(frozen=True, slots=True)
class RackSettings:
    """Workers of a rack and the capacity and service time of their upstreams."""

    name: str
    admin_address: str
    workers: tuple[WorkerSpec, ...]
    history_path: str = ""
    n_slots: int = 8
    service_ms: float = 20.0
    is_fencing: bool = True


@dataclass(frozen=True, slots=True)
class WorkerFault:
    """Fault to inject into a worker and its upstream; unset fields don't change."""

    worker_id: str
    slowdown: float | None = None
    is_leaving: bool | None = None
    fails_all: bool | None = None
    loses_answers: bool | None = None
    restart: bool = False


class RackStandin:
    """Workers and upstreams of one rack."""

    def __init__(self, settings: RackSettings):
        self.settings = settings
        self.tracer = Tracer(settings.name)
        self.history = History(settings.history_path)
        self.worker_by_id = {
            spec.worker_id: self._make_worker(spec) for spec in settings.workers
        }
        self.upstream_by_id = {
            spec.worker_id: UpstreamStandin(
                spec.worker_id,
                self.history,
                self.tracer,
                settings.n_slots,
                settings.service_ms,
            )
            for spec in settings.workers
        }

    def _make_worker(self, spec: WorkerSpec) -> WorkerStandin:
        return WorkerStandin(spec, self.history, is_fencing=self.settings.is_fencing)

    def make_servers(self) -> list[HttpServer]:
        """Return the admin server, and a control and an upstream server per worker."""
        admin = AdminRouter(self.tracer, lambda: True)
        admin.add("POST", "/fault", self._set_fault)
        servers = [HttpServer(self.settings.admin_address, admin.handle)]
        for spec in self.settings.workers:
            servers.append(
                HttpServer(
                    spec.control_address, self._make_control_handler(spec.worker_id)
                )
            )
            upstream = self.upstream_by_id[spec.worker_id]
            limits = HttpLimits(idle_timeout_s=300)
            servers.append(HttpServer(spec.upstream_address, upstream.handle, limits))
        return servers

    def _make_control_handler(self, worker_id: str):
        async def handle(request: HttpRequest) -> HttpResponse:
            exchange_request = msgspec.json.decode(request.body, type=ExchangeRequest)
            worker = self.worker_by_id[worker_id]
            with self.tracer.span(
                "worker.exchange",
                parent=exchange_request.starts[0].trace
                if exchange_request.starts
                else "",
                worker=worker_id,
                starts=str(len(exchange_request.starts)),
            ):
                now = asyncio.get_running_loop().time()
                return json_response(worker.exchange(exchange_request, now))

        return handle

    async def _set_fault(self, request: HttpRequest) -> WorkerFault:
        fault = msgspec.json.decode(request.body, type=WorkerFault)
        if fault.restart:
            spec = self.worker_by_id[fault.worker_id].spec
            self.history.write("worker-restart", fault.worker_id, fault.worker_id)
            self.worker_by_id[fault.worker_id] = self._make_worker(spec)
        for target in (
            self.worker_by_id[fault.worker_id],
            self.upstream_by_id[fault.worker_id],
        ):
            _apply_fault(target, fault)
        return fault

    async def advance_workers(self) -> None:
        """End finished tasks and tasks with expired leases periodically."""
        loop = asyncio.get_running_loop()
        while True:
            for worker in self.worker_by_id.values():
                worker.advance(loop.time())
            await asyncio.sleep(ADVANCE_PERIOD_S)


def _apply_fault(target: WorkerStandin | UpstreamStandin, fault: WorkerFault) -> None:
    for name in ("slowdown", "is_leaving", "fails_all", "loses_answers"):
        value = getattr(fault, name)
        if value is not None and hasattr(target, name):
            setattr(target, name, value)


async def serve_rack(settings: RackSettings, stop: StopSignal) -> None:
    """Serve the rack until the stop signal."""
    rack = RackStandin(settings)
    servers = rack.make_servers()
    for server in servers:
        await server.start()
    advance_task = asyncio.create_task(rack.advance_workers())
    await stop.wait()
    advance_task.cancel()
    for server in servers:
        await server.stop(grace_s=0.2)

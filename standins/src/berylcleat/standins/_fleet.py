"""Start and stop a complete installation on loopback, for the demo and the tests."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import json5
import msgspec

from berylcleat.http import ExchangeError, HttpClient, HttpRequest, HttpResponse

from ._history import History
from ._ports import LOOPBACK, find_free_ports

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 25.0


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """Size of an installation and settings of its processes.

    ``entry`` and ``planner`` override settings of the entry and planner processes.
    """

    data_centres: tuple[str, ...]
    n_hosts: int = 6
    n_racks_per_data_centre: int = 1
    n_workers_per_rack: int = 8
    cores: float = 32.0
    memory_gb: float = 125.0
    accelerators: int = 0
    n_slots: int = 8
    service_ms: float = 20.0
    is_fencing: bool = True
    list_lag_s: float = 1.0
    entry: dict[str, Any] = field(default_factory=dict)
    planner: dict[str, Any] = field(default_factory=dict)


def make_fleet_plan(path: Path, **changes: Any) -> FleetPlan:
    """Return the plan in the JSON5 file at ``path``, with ``changes`` to its fields."""
    value = json5.loads(path.read_text(encoding="utf-8"))
    return msgspec.convert({**value, **changes}, FleetPlan)


@dataclass
class Host:
    """Addresses of the entry and planner processes of one host."""

    host_id: str
    data_centre: str
    ports: dict[str, int]

    def address(self, name: str) -> str:
        """Return the address of a named port.

        Names are entry, entry_admin, entry_peer, planner_admin and planner_peer.
        """
        return f"{LOOPBACK}:{self.ports[name]}"


class Fleet:
    """Processes of one installation, by name."""

    def __init__(self, plan: FleetPlan, folder: Path):
        self.plan = plan
        self.folder = folder
        self.process_by_name: dict[str, subprocess.Popen] = {}
        self.hosts = [self._make_host(i) for i in range(plan.n_hosts)]
        self.platform_address = f"{LOOPBACK}:{find_free_ports(1)[0]}"
        self.worker_specs: list[dict[str, Any]] = []
        self.admin_address_by_rack: dict[str, str] = {}
        self._log_files = []

    def _make_host(self, index: int) -> Host:
        names = ("entry", "entry_admin", "entry_peer", "planner_admin", "planner_peer")
        data_centre = self.plan.data_centres[index % len(self.plan.data_centres)]
        return Host(
            f"host-{index + 1}",
            data_centre,
            dict(zip(names, find_free_ports(5), strict=True)),
        )

    def history_paths(self) -> list[Path]:
        """Return the files in which the racks recorded tasks and requests."""
        return sorted(self.folder.glob("history-*.jsonl"))

    def start(self) -> None:
        """Start the platform, the racks and all hosts."""
        self.folder.mkdir(parents=True, exist_ok=True)
        for path in self.history_paths():
            path.unlink()
        rack_settings = [
            self._make_rack_settings(data_centre, index)
            for data_centre in self.plan.data_centres
            for index in range(self.plan.n_racks_per_data_centre)
        ]
        self._start_platform()
        for settings in rack_settings:
            self.start_process(settings["name"], "standin-rack", settings)
        for host in self.hosts:
            self.start_host(host)
        self._write_settings("berylctl", self._make_berylctl_settings())

    def _make_rack_settings(self, data_centre: str, index: int) -> dict[str, Any]:
        plan = self.plan
        rack = f"rack-{index + 1}"
        name = f"{data_centre}-{rack}"
        ports = find_free_ports(2 * plan.n_workers_per_rack + 1)
        workers = [
            {
                "worker_id": f"{name}-w{i + 1}",
                "data_centre": data_centre,
                "rack": rack,
                "control_address": f"{LOOPBACK}:{ports[2 * i]}",
                "upstream_address": f"{LOOPBACK}:{ports[2 * i + 1]}",
                "capacity": {
                    "cores": plan.cores,
                    "memory_gb": plan.memory_gb,
                    "accelerators": plan.accelerators,
                },
            }
            for i in range(plan.n_workers_per_rack)
        ]
        self.worker_specs.extend(workers)
        self.admin_address_by_rack[name] = f"{LOOPBACK}:{ports[-1]}"
        return {
            "name": name,
            "admin_address": self.admin_address_by_rack[name],
            "workers": workers,
            "history_path": str(self.folder / f"history-{name}.jsonl"),
            "n_slots": plan.n_slots,
            "service_ms": plan.service_ms,
            "is_fencing": plan.is_fencing,
        }

    def _start_platform(self) -> None:
        settings = {
            "address": self.platform_address,
            "list_lag_s": self.plan.list_lag_s,
            "hosts": [self._make_listed_host(host) for host in self.hosts],
            "workers": [{"spec": spec} for spec in self.worker_specs],
        }
        self.start_process("platform", "standin-platform", settings)

    def _make_listed_host(self, host: Host) -> dict[str, Any]:
        return {
            "host_id": host.host_id,
            "data_centre": host.data_centre,
            "entry_address": host.address("entry"),
            "admin_address": host.address("entry_admin"),
            "planner_admin_address": host.address("planner_admin"),
            "entry_peer_address": host.address("entry_peer"),
            "planner_peer_address": host.address("planner_peer"),
        }

    def start_host(self, host: Host) -> None:
        """Start the entry and the planner process of a host."""
        self.start_entry(host)
        self.start_planner(host)

    def _find_seed_peers(self, host: Host) -> list[str]:
        return [
            other.address("entry_peer")
            for other in self.hosts
            if other.data_centre == host.data_centre and other is not host
        ]

    def start_entry(self, host: Host) -> None:
        """Start the entry process of a host."""
        settings = {
            "host_id": host.host_id,
            "data_centre": host.data_centre,
            "entry_address": host.address("entry"),
            "admin_address": host.address("entry_admin"),
            "peer_address": host.address("entry_peer"),
            "platform_address": self.platform_address,
            "seed_peers": [*self._find_seed_peers(host), host.address("planner_peer")],
            **self.plan.entry,
        }
        self.start_process(f"entry-{host.host_id}", "beryl-entry", settings)

    def start_planner(self, host: Host) -> None:
        """Start the planner process of a host."""
        settings = {
            "host_id": host.host_id,
            "data_centre": host.data_centre,
            "admin_address": host.address("planner_admin"),
            "peer_address": host.address("planner_peer"),
            "platform_address": self.platform_address,
            "seed_peers": [host.address("entry_peer")],
            **self.plan.planner,
        }
        self.start_process(f"planner-{host.host_id}", "beryl-planner", settings)

    def _make_berylctl_settings(self) -> dict[str, Any]:
        return {
            "author": os.environ.get("USER", "operator"),
            "planners": [host.address("planner_admin") for host in self.hosts],
            "entries": [host.address("entry_admin") for host in self.hosts]
            + list(self.admin_address_by_rack.values()),
        }

    def _write_settings(self, name: str, settings: dict[str, Any]) -> Path:
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2), encoding="utf-8")
        return path

    def start_process(self, name: str, program: str, settings: dict[str, Any]) -> None:
        """Start ``program`` under ``name`` and append its output to ``name``.log.

        ``settings`` are written to ``name``.json in the fleet's folder.
        """
        path = self._write_settings(name, settings)
        log = (self.folder / f"{name}.log").open("ab")  # noqa: SIM115
        self._log_files.append(log)
        executable = Path(sys.executable).with_name(program)
        self.process_by_name[name] = subprocess.Popen(
            [str(executable), "--settings", str(path)], stdout=log, stderr=log
        )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.process_by_name[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process; for a rack, record that its workers are lost."""
        process = self.process_by_name.pop(name)
        process.kill()
        process.wait()
        if name in self.admin_address_by_rack:
            self._record_rack_loss(name)

    def _record_rack_loss(self, rack: str) -> None:
        """Record the loss of all workers of a killed rack, which ended their tasks."""
        history = History(str(self.folder / f"history-{rack}.jsonl"))
        for spec in self.worker_specs:
            if spec["worker_id"].startswith(f"{rack}-w"):
                history.write("worker-lost", spec["worker_id"], spec["worker_id"])

    def stop_process(self, name: str) -> int:
        """Stop a process with SIGTERM and return its exit status."""
        process = self.process_by_name.pop(name)
        process.send_signal(signal.SIGTERM)
        return process.wait(STOP_TIMEOUT_S)

    def stop(self) -> dict[str, int]:
        """Stop all processes, entries and planners first; return statuses by name.

        Processes that a test froze are resumed first. A process that doesn't end within
        ``STOP_TIMEOUT_S`` is killed.
        """
        for process in self.process_by_name.values():
            process.send_signal(signal.SIGCONT)
        groups = ("entry-", "planner-", "")
        statuses: dict[str, int] = {}
        for prefix in groups:
            group = {
                n: p for n, p in self.process_by_name.items() if n.startswith(prefix)
            }
            for process in group.values():
                process.send_signal(signal.SIGTERM)
            for name, process in group.items():
                statuses[name] = self._wait_or_kill(process)
                del self.process_by_name[name]
        for log in self._log_files:
            log.close()
        return statuses

    @staticmethod
    def _wait_or_kill(process: subprocess.Popen) -> int:
        try:
            return process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    async def wait_ready(self) -> None:
        """Wait until all hosts are ready and every worker has answered an owner.

        Raises ``TimeoutError`` after ``START_TIMEOUT_S``, and ``RuntimeError`` if a
        process ended.
        """
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            if await self._is_ready():
                return
            self._raise_if_process_ended()
            await asyncio.sleep(0.1)
        raise TimeoutError(
            f"fleet not ready within {START_TIMEOUT_S} s; see the logs in {self.folder}"
        )

    def _raise_if_process_ended(self) -> None:
        for name, process in self.process_by_name.items():
            if process.poll() is not None:
                raise RuntimeError(
                    f"process {name} ended before the fleet was ready; "
                    f"see {self.folder / name}.log"
                )

    async def _is_ready(self) -> bool:
        for host in self.hosts:
            for name in ("entry_admin", "planner_admin"):
                response = await send_request(host.address(name), "GET", "/ready")
                if response is None or response.status != 200:
                    return False
        return await self.count_owned_workers() == len(self.worker_specs)

    async def count_owned_workers(self) -> int:
        """Return the number of workers that have answered the owner of their cell."""
        n_workers = 0
        for host in self.hosts:
            response = await send_request(
                host.address("planner_admin"), "GET", "/v1/status"
            )
            if response and response.status == 200:
                cells = msgspec.json.decode(response.body)["cells"]
                n_workers += sum(cell["n_workers_answering"] for cell in cells)
        return n_workers

    async def set_platform_faults(self, **faults: Any) -> None:
        """Replace the platform's injected faults by the fields of ``Faults``."""
        body = msgspec.json.encode(faults)
        await send_request(self.platform_address, "POST", "/faults", body)

    async def set_worker_fault(self, worker_id: str, **fault: Any) -> None:
        """Inject a fault into one worker; ``fault`` has fields of ``WorkerFault``."""
        rack = worker_id.rsplit("-w", 1)[0]
        body = msgspec.json.encode({"worker_id": worker_id, **fault})
        await send_request(self.admin_address_by_rack[rack], "POST", "/fault", body)


async def send_request(
    address: str,
    method: str,
    target: str,
    body: bytes = b"",
    headers: tuple[tuple[str, str], ...] = (),
    timeout_s: float = 5.0,
) -> HttpResponse | None:
    """Send one HTTP request; return the response, or None if the exchange failed."""
    client = HttpClient(address)
    try:
        return await client.exchange(
            HttpRequest(method, target, headers, body), timeout_s
        )
    except ExchangeError:
        return None
    finally:
        client.close()

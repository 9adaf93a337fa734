"""Start and stop a whole installation on loopback: for the demo and the tests."""

import asyncio
import itertools
import json
import os
import signal
import socket
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

LOOPBACK = "127.0.0.1"
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 25.0
FIRST_PORT = 12_000
N_PORTS = 18_000
_PORT_COUNTER = itertools.count(os.getpid() * 97)


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """Say how large an installation is and how its processes are set."""

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
    """Return the plan in the JSON file at ``path`` with ``changes``."""
    value = json5.loads(path.read_text(encoding="utf-8"))
    return msgspec.convert({**value, **changes}, FleetPlan)


def find_free_ports(n_ports: int) -> list[int]:
    """Return ports that are free on loopback now.

    They lie below the range that the system gives to outgoing connections, so that
    none is taken between this call and the start of its process.
    """
    found: list[int] = []
    while len(found) < n_ports:
        port = FIRST_PORT + next(_PORT_COUNTER) % N_PORTS
        if _is_free(port):
            found.append(port)
    return found


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


@dataclass
class Host:
    """Hold the addresses of one of our hosts."""

    host_id: str
    data_centre: str
    ports: dict[str, int]

    def address(self, name: str) -> str:
        """Return one of entry, entry_admin, entry_peer, planner_admin, planner_peer."""
        return f"{LOOPBACK}:{self.ports[name]}"


class Fleet:
    """Hold the processes of one installation by name."""

    def __init__(self, plan: FleetPlan, folder: Path):
        self.plan = plan
        self.folder = folder
        self.process_by_name: dict[str, subprocess.Popen] = {}
        self.hosts = [self._plan_host(i) for i in range(plan.n_hosts)]
        self.platform_address = f"{LOOPBACK}:{find_free_ports(1)[0]}"
        self.worker_specs: list[dict[str, Any]] = []
        self.rack_admin: dict[str, str] = {}
        self._logs = []

    def _plan_host(self, index: int) -> Host:
        names = ("entry", "entry_admin", "entry_peer", "planner_admin", "planner_peer")
        data_centre = self.plan.data_centres[index % len(self.plan.data_centres)]
        return Host(
            f"host-{index + 1}",
            data_centre,
            dict(zip(names, find_free_ports(5), strict=True)),
        )

    def history_paths(self) -> list[Path]:
        """Return the files in which the racks recorded what ran."""
        return sorted(self.folder.glob("history-*.jsonl"))

    def start(self) -> None:
        """Start the platform, the racks and all hosts."""
        self.folder.mkdir(parents=True, exist_ok=True)
        for path in self.history_paths():
            path.unlink()
        rack_settings = [
            self._plan_rack(data_centre, index)
            for data_centre in self.plan.data_centres
            for index in range(self.plan.n_racks_per_data_centre)
        ]
        self._start_platform()
        for settings in rack_settings:
            self.spawn(settings["name"], "standin-rack", settings)
        for host in self.hosts:
            self.start_host(host)
        self._write("berylctl", self._ctl_settings())

    def _plan_rack(self, data_centre: str, index: int) -> dict[str, Any]:
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
        self.rack_admin[name] = f"{LOOPBACK}:{ports[-1]}"
        return {
            "name": name,
            "admin_address": self.rack_admin[name],
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
            "hosts": [self._listed(host) for host in self.hosts],
            "workers": [{"spec": spec} for spec in self.worker_specs],
        }
        self.spawn("platform", "standin-platform", settings)

    def _listed(self, host: Host) -> dict[str, Any]:
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

    def _seed_peers(self, host: Host) -> list[str]:
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
            "seed_peers": [*self._seed_peers(host), host.address("planner_peer")],
            **self.plan.entry,
        }
        self.spawn(f"entry-{host.host_id}", "beryl-entry", settings)

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
        self.spawn(f"planner-{host.host_id}", "beryl-planner", settings)

    def _ctl_settings(self) -> dict[str, Any]:
        return {
            "author": os.environ.get("USER", "operator"),
            "planners": [host.address("planner_admin") for host in self.hosts],
            "entries": [host.address("entry_admin") for host in self.hosts]
            + list(self.rack_admin.values()),
        }

    def _write(self, name: str, settings: dict[str, Any]) -> Path:
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2), encoding="utf-8")
        return path

    def spawn(self, name: str, program: str, settings: dict[str, Any]) -> None:
        """Start ``program`` under ``name`` with ``settings``; its log is kept."""
        path = self._write(name, settings)
        log = (self.folder / f"{name}.log").open("ab")  # noqa: SIM115
        self._logs.append(log)
        executable = Path(sys.executable).with_name(program)
        self.process_by_name[name] = subprocess.Popen(
            [str(executable), "--settings", str(path)], stdout=log, stderr=log
        )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one of our processes."""
        self.process_by_name[name].send_signal(number)

    def kill(self, name: str) -> None:
        """End a process without warning."""
        process = self.process_by_name.pop(name)
        process.kill()
        process.wait()
        if name in self.rack_admin:
            self._record_loss(name)

    def _record_loss(self, rack: str) -> None:
        """Record that what ran on the workers of a killed rack runs no more."""
        history = History(str(self.folder / f"history-{rack}.jsonl"))
        for spec in self.worker_specs:
            if spec["worker_id"].startswith(f"{rack}-w"):
                history.write("worker-lost", spec["worker_id"], spec["worker_id"])

    def stop_one(self, name: str) -> int:
        """Stop a process gracefully and return its exit status."""
        process = self.process_by_name.pop(name)
        process.send_signal(signal.SIGTERM)
        return process.wait(STOP_TIMEOUT_S)

    def stop(self) -> dict[str, int]:
        """Stop everything, hosts first; return exit statuses by name."""
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
                statuses[name] = self._wait(process)
                del self.process_by_name[name]
        for log in self._logs:
            log.close()
        return statuses

    @staticmethod
    def _wait(process: subprocess.Popen) -> int:
        try:
            return process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    async def wait_ready(self) -> None:
        """Return when every process of ours is ready and every cell has an owner."""
        give_up_at = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < give_up_at:
            if await self._is_ready():
                return
            self._check_alive()
            await asyncio.sleep(0.1)
        raise TimeoutError(
            f"not ready within {START_TIMEOUT_S} s; logs in {self.folder}"
        )

    def _check_alive(self) -> None:
        for name, process in self.process_by_name.items():
            if process.poll() is not None:
                raise RuntimeError(f"{name} ended; see {self.folder / name}.log")

    async def _is_ready(self) -> bool:
        for host in self.hosts:
            for name in ("entry_admin", "planner_admin"):
                response = await send_request(host.address(name), "GET", "/ready")
                if response is None or response.status != 200:
                    return False
        return await self.n_owned_workers() == len(self.worker_specs)

    async def n_owned_workers(self) -> int:
        """Return how many workers have answered the owner of their cell."""
        n_workers = 0
        for host in self.hosts:
            response = await send_request(
                host.address("planner_admin"), "GET", "/v1/status"
            )
            if response and response.status == 200:
                cells = msgspec.json.decode(response.body)["cells"]
                n_workers += sum(cell["n_workers_answering"] for cell in cells)
        return n_workers

    async def set_faults(self, **faults: Any) -> None:
        """Set how the platform misbehaves from now on."""
        body = msgspec.json.encode(faults)
        await send_request(self.platform_address, "POST", "/faults", body)

    async def set_worker_fault(self, worker_id: str, **fault: Any) -> None:
        """Set how one worker misbehaves from now on."""
        rack = worker_id.rsplit("-w", 1)[0]
        body = msgspec.json.encode({"worker_id": worker_id, **fault})
        await send_request(self.rack_admin[rack], "POST", "/fault", body)


async def send_request(
    address: str,
    method: str,
    target: str,
    body: bytes = b"",
    headers: tuple[tuple[str, str], ...] = (),
    timeout_s: float = 5.0,
) -> HttpResponse | None:
    """Return the response, or None when there was none."""
    client = HttpClient(address)
    try:
        return await client.exchange(
            HttpRequest(method, target, headers, body), timeout_s
        )
    except ExchangeError:
        return None
    finally:
        client.close()

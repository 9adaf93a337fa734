"""Host processes on the stand-in platform, and a client for them."""

import asyncio
import json
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from berylcleat.http import ExchangeError, HttpClient, HttpRequest
from berylcleat.standins import HOST_NAME, find_free_ports, make_operator_config

START_TIMEOUT_S = 20.0
# The stand-in may be late on a busy machine; only the record counts.
LEDGER_TIMEOUT_S = 30.0


class HostGroup:
    """Processes of one scenario."""

    # Settings of the hosts besides their id, data centre and addresses.
    host_settings: dict = {}
    # Settings of the stand-in platform besides addresses, workers and configuration.
    platform_settings: dict = {}

    def __init__(self, n_hosts: int, n_workers: int, *, n_racks: int = 1):
        self.folder = Path(tempfile.mkdtemp(prefix="beryl-host-"))
        ports = find_free_ports(2 + n_workers + 4 * n_hosts)
        self.addresses = [f"127.0.0.1:{port}" for port in ports]
        self.store, self.control, *rest = self.addresses
        self.workers, rest = rest[:n_workers], rest[n_workers:]
        self.hosts = [rest[4 * n : 4 * n + 4] for n in range(n_hosts)]
        self.n_racks = n_racks
        self.store_by_host = [self.store] * n_hosts
        self.listed_by_worker = list(self.workers)
        self._prepare()
        self.processes: list[subprocess.Popen] = []
        self.platform = self._start_platform()
        for number in range(n_hosts):
            self.processes.append(self.start_host(number))

    def _prepare(self) -> None:
        """Hook for subclasses to change addresses before any process starts."""

    def _data_centre(self, number: int) -> str:
        """Return the data centre of the host, and of the worker, with this number."""
        return "dc-1"

    def _start_platform(self) -> subprocess.Popen:
        settings = {
            "store_address": self.store,
            "control_address": self.control,
            "config": make_operator_config(),
            "workers": [
                {
                    "worker_id": f"w{n}",
                    "address": address,
                    "data_centre": self._data_centre(n),
                    "rack": f"r{1 + n % self.n_racks}",
                    "listed_address": self.listed_by_worker[n],
                }
                for n, address in enumerate(self.workers)
            ],
            **self.platform_settings,
        }
        code = "from berylcleat.standins import task_platform_main as m; m()"
        return self._spawn("platform", ["-c", code], settings)

    def start_host(self, number: int) -> subprocess.Popen:
        """Start the host with this number; return its process."""
        front, ready, peer, metrics = self.hosts[number]
        settings = {
            "host_id": self.host_id(number),
            "data_centre": self._data_centre(number),
            "front_address": front,
            "ready_address": ready,
            "peer_address": peer,
            "metrics_address": metrics,
            "store_address": self.store_by_host[number],
            **self.host_settings,
        }
        name = settings["host_id"]
        return self._spawn(name, self._host_arguments(number), settings)

    def _host_arguments(self, number: int) -> list[str]:
        """Return the arguments of the interpreter that runs a host."""
        return ["-m", "berylcleat.host"]

    def host_id(self, number: int) -> str:
        """Return the id under which a host runs, which also names its log."""
        return f"host-{number}"

    def _spawn(
        self, name: str, arguments: list[str], settings: dict
    ) -> subprocess.Popen:
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        log = open(self.folder / f"{name}.log", "ab")  # noqa: SIM115
        command = [sys.executable, *arguments, "--settings", str(path)]
        return subprocess.Popen(command, stdout=log, stderr=log)

    def read_log(self, number: int) -> str:
        """Return the log of a host."""
        path = self.folder / f"{self.host_id(number)}.log"
        return path.read_text(encoding="utf-8")

    def find_lines(self, texts) -> list[str]:
        """Return the lines of the hosts' logs that contain one of the texts."""
        return [
            f"{self.host_id(number)}: {line}"
            for number in range(len(self.hosts))
            for line in self.read_log(number).splitlines()
            if any(text in line for text in texts)
        ]

    async def call(self, address, method, target, body=b"", timeout_s=5.0, headers=()):
        """Return status and body, or (0, b"") without an answer."""
        client = HttpClient(address)
        all_headers = (("host", HOST_NAME), *headers)
        request = HttpRequest(method, target, all_headers, body)
        try:
            response = await client.exchange(request, timeout_s)
        except ExchangeError:
            return 0, b""
        finally:
            client.close()
        return response.status, response.body

    async def wait_started(self) -> None:
        """Wait until every host answers, ready or not."""
        deadline = time.monotonic() + START_TIMEOUT_S
        for _, ready, _, _ in self.hosts:
            while (await self.call(ready, "GET", "/api/readiness", b"", 1.0))[0] == 0:
                assert time.monotonic() < deadline, "host not started"
                await asyncio.sleep(0.05)

    async def wait_ready(self) -> None:
        """Wait until every host is ready and a cell has an owner."""
        deadline = time.monotonic() + START_TIMEOUT_S
        for _, ready, _, _ in self.hosts:
            while (await self.call(ready, "GET", "/api/readiness", b"", 1.0))[0] != 200:
                assert time.monotonic() < deadline, "host not ready"
                await asyncio.sleep(0.1)
        while not any(
            "begins with" in self.read_log(n) for n in range(len(self.hosts))
        ):
            assert time.monotonic() < deadline, "no cell has an owner"
            await asyncio.sleep(0.1)
        # Other hosts learn the owner's load from its next heartbeat.
        await asyncio.sleep(2.0)

    async def submit(self, number: int, submission_id: str, body: dict) -> int:
        """Send a submission to the hosts in turn until one answers it finally."""
        target = f"/proofs/{submission_id}"
        data = json.dumps(body).encode()
        status = 0
        for _ in range(30):
            status, _ = await self.call(self.hosts[number][0], "POST", target, data)
            if status not in (0, 502, 503, 504):
                return status
            number = (number + 1) % len(self.hosts)
            await asyncio.sleep(0.3)
        return status

    async def state(self, number: int, submission_id: str) -> str:
        """Return the state that a host reports, or its status code."""
        target = f"/proofs/{submission_id}"
        status, body = await self.call(self.hosts[number][0], "GET", target)
        return json.loads(body)["state"] if status == 200 else str(status)

    async def wait_state(self, number, submission_id, expected, timeout_s=30.0) -> None:
        """Wait until a host reports the expected state."""
        deadline = time.monotonic() + timeout_s
        state = ""
        while time.monotonic() < deadline:
            state = await self.state(number, submission_id)
            if state == expected:
                return
            await asyncio.sleep(0.1)
        raise AssertionError(f"{submission_id}: {state}, not {expected}")

    async def ledger(self) -> dict:
        """Return the stand-in platform's record of the runs."""
        _, body = await self.call(
            self.control, "GET", "/ledger", timeout_s=LEDGER_TIMEOUT_S
        )
        return json.loads(body)

    async def send_command(self, target: str, **body) -> None:
        """Send a control command to the stand-in platform."""
        await self.call(self.control, "POST", target, json.dumps(body).encode())

    def find_owner(self) -> int:
        """Return the number of the host that acquired a cell last."""
        return self._find_owner("cell ")

    async def wait_owner(self, cell_id: str) -> int:
        """Return the number of the host that acquired a cell last; wait for one."""
        text = f"cell {cell_id}: "
        deadline = time.monotonic() + START_TIMEOUT_S
        while not self.find_lines((text + "epoch",)):
            assert time.monotonic() < deadline, f"cell {cell_id} has no owner"
            await asyncio.sleep(0.05)
        return self._find_owner(text)

    def _find_owner(self, text: str) -> int:
        owner_by_time = {}
        for number in range(len(self.hosts)):
            for line in self.read_log(number).splitlines():
                if "begins with" in line and text in line:
                    owner_by_time[line.split('"time":"')[1][:24]] = number
        return owner_by_time[max(owner_by_time)]

    def stop(self) -> None:
        """Kill every process of the group."""
        for process in [*self.processes, self.platform]:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()

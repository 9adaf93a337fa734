"""Stand-in for the platform's machine service: one machine for each worker."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol
from urllib.parse import parse_qs, urlsplit

from berylcleat.http import AbandonConnectionError, HttpRequest, HttpResponse

MACHINES_PER_PAGE = 2
JSON_HEADERS = (("content-type", "application/json"),)


class MachineWorkers(Protocol):
    """What the service does to the worker of a machine."""

    async def end_worker(self, worker_id: str) -> None:
        """Terminate a worker and everything on it, and take it off the list."""

    async def join_worker(self, worker_id: str, new_worker_id: str) -> None:
        """Start the worker that replaces an ended one under another id."""


@dataclass(slots=True)
class StandinMachine:
    """One machine; ``fence`` is the highest token seen and its holder."""

    machine_id: str
    first_worker_id: str
    worker_id: str
    state: str = "up"
    fence: tuple[int, str] = (0, "")
    n_maintenances: int = 0
    waves: set[int] = field(default_factory=set)


class StandinMachineService:
    """Machine service in memory that records what callers must not do.

    ``read_wave`` returns the body of the operator's row of a wave, None without one.
    The next ``n_lost_answers`` calls for maintenance are executed and not answered.
    """

    def __init__(
        self,
        worker_ids: tuple[str, ...],
        workers: MachineWorkers,
        read_wave: Callable[[int], dict[str, Any] | None],
        maintenance_s: float,
    ):
        self.machine_by_id = {
            f"m-{worker_id}": StandinMachine(f"m-{worker_id}", worker_id, worker_id)
            for worker_id in worker_ids
        }
        self.n_lost_answers = 0
        self.n_list_reads = 0
        self.n_calls = 0
        self.max_down = 0
        self.faults: list[str] = []
        self._workers = workers
        self._read_wave = read_wave
        self._maintenance_s = maintenance_s
        self._tasks: set[asyncio.Task] = set()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer a request to the service."""
        parts = urlsplit(request.target)
        if parts.path == "/api/machines":
            query = parse_qs(parts.query)
            return self._list(int(query.get("pageToken", ["0"])[0]))
        if parts.path == "/api/machine-upkeep":
            self.n_calls += 1
            status, reason = await self._begin(request)
            if self.n_lost_answers:
                self.n_lost_answers -= 1
                raise AbandonConnectionError
            return _json_response({"reason": reason} if reason else {}, status)
        return HttpResponse(404)

    def record(self, wave_id: int) -> dict[str, Any]:
        """Return which machines have begun a wave, and all faults of callers."""
        return {
            "begun": sorted(
                machine.machine_id
                for machine in self.machine_by_id.values()
                if wave_id in machine.waves
            ),
            "max_down": self.max_down,
            "faults": self.faults,
            "n_calls": self.n_calls,
            "n_list_reads": self.n_list_reads,
        }

    def _list(self, first: int) -> HttpResponse:
        self.n_list_reads += 1
        machines = sorted(self.machine_by_id.values(), key=lambda m: m.machine_id)
        end = first + MACHINES_PER_PAGE
        page = [
            {
                "machine": machine.machine_id,
                "pool": "svc",
                "state": machine.state,
                "id": machine.worker_id if machine.state == "up" else None,
            }
            for machine in machines[first:end]
        ]
        next_token = str(end) if end < len(machines) else None
        return _json_response({"machines": page, "nextToken": next_token})

    async def _begin(self, request: HttpRequest) -> tuple[int, str]:
        """Begin a maintenance; return the status and the reason of a rejection."""
        body = json.loads(request.body)
        machine = self.machine_by_id.get(body["machine"])
        if machine is None:
            return 400, ""
        wave = self._read_wave(body["wave"])
        if wave is None or machine.machine_id not in wave["machines"]:
            return 409, "wave"
        token = int(request.header("berylcleat-fencing-token"))
        holder = request.header("berylcleat-holder")
        highest, known_holder = machine.fence
        if token < highest or (token == highest and holder != known_holder):
            text = f"{machine.machine_id}: {holder} {token} after {machine.fence}"
            self.faults.append(text)
            return 409, "fence"
        machine.fence = (token, holder)
        if body["wave"] in machine.waves:
            return 200, ""
        if machine.state != "up":
            return 409, "busy"
        machine.waves.add(body["wave"])
        await self._take_down(machine, wave["maxCount"])
        return 200, ""

    async def _take_down(self, machine: StandinMachine, limit: int) -> None:
        machine.state = "upkeep"
        down = [m.machine_id for m in self.machine_by_id.values() if m.state != "up"]
        self.max_down = max(self.max_down, len(down))
        if len(down) > limit:
            self.faults.append(f"{down} are down at once, {limit} may be")
        await self._workers.end_worker(machine.worker_id)
        task = asyncio.get_running_loop().create_task(self._bring_up(machine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _bring_up(self, machine: StandinMachine) -> None:
        await asyncio.sleep(self._maintenance_s)
        machine.n_maintenances += 1
        ended_id = machine.worker_id
        machine.worker_id = f"{machine.first_worker_id}-{machine.n_maintenances}"
        await self._workers.join_worker(ended_id, machine.worker_id)
        machine.state = "up"


def _json_response(body: dict[str, Any], status: int = 200) -> HttpResponse:
    return HttpResponse(status, JSON_HEADERS, json.dumps(body).encode())

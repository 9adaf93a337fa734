"""Measure the cost per unit of each thing that grows, at three sizes or more.

Costs are CPU seconds, bytes and memory of the process that runs our code; the
stand-ins run in processes of their own. Each point is measured several times.
"""

import argparse
import asyncio
import gc
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass
from pathlib import Path

import msgspec
import numpy as np

from berylcleat.model import (
    ConfigDocument,
    JobSpec,
    Resources,
    Service,
    effective_services,
)
from berylcleat.ownership import (
    Assign,
    CellRow,
    CellState,
    Claim,
    End,
    HostRow,
    JournalRow,
    LeaseRules,
    Sightings,
    apply_records,
    make_exchange,
    observe,
    on_reply,
    own_cell,
    plan_ownership,
    task_id_of,
)
from berylcleat.peers import PeerLink, PeerState
from berylcleat.ports import (
    Check,
    HttpTable,
    HttpWorkerControl,
    Put,
    Transaction,
)
from berylcleat.standins import Fleet, FleetPlan, find_free_ports, send_request

N_REPEATS = 5
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
MICROSECONDS = 1e6


@dataclass
class Point:
    """Hold the cost of ``size`` units, one value a repeat."""

    size: int
    cpu_us: list[float]
    n_bytes: list[float]
    memory_bytes: list[float]


@dataclass
class Slope:
    """Hold the points of one unit and the fitted cost per unit and at zero."""

    unit: str
    points: list[Point]
    cpu_us_per_unit: float = 0.0
    cpu_us_base: float = 0.0
    bytes_per_unit: float = 0.0
    bytes_base: float = 0.0
    memory_bytes_per_unit: float = 0.0
    cpu_spread: float = 0.0
    cpu_bend: float = 0.0

    def fit(self) -> None:
        """Fit lines through the medians; spread and bend as shares."""
        sizes = [point.size for point in self.points]
        self.cpu_us_per_unit, self.cpu_us_base = _line(
            sizes, [statistics.median(p.cpu_us) for p in self.points]
        )
        self.bytes_per_unit, self.bytes_base = _line(
            sizes, [statistics.median(p.n_bytes) for p in self.points]
        )
        self.memory_bytes_per_unit, _ = _line(
            sizes, [statistics.median(p.memory_bytes) for p in self.points]
        )
        last = self.points[-1].cpu_us
        self.cpu_spread = (max(last) - min(last)) / max(statistics.median(last), 1e-9)
        self.cpu_bend = self._bend()

    def _bend(self) -> float:
        """Return the cost per unit over the last step relative to the first."""
        values = [statistics.median(p.cpu_us) for p in self.points]
        sizes = [p.size for p in self.points]
        first = (values[1] - values[0]) / (sizes[1] - sizes[0])
        last = (values[-1] - values[-2]) / (sizes[-1] - sizes[-2])
        return last / first if first > 0 else float("nan")


def _line(sizes: list[int], values: list[float]) -> tuple[float, float]:
    slope, base = np.polyfit(sizes, values, 1)
    return float(slope), float(base)


Measure = Callable[[int], Awaitable[tuple[float, float, float]]]


async def measure_slope(unit: str, sizes: tuple[int, ...], measure: Measure) -> Slope:
    """Return the slope of ``measure`` (CPU us, bytes, memory bytes) over ``sizes``."""
    points = []
    for size in sizes:
        values = [await measure(size) for _ in range(N_REPEATS)]
        columns = [list(column) for column in zip(*values, strict=True)]
        points.append(Point(size, *columns))
    slope = Slope(unit, points)
    slope.fit()
    print(
        f"{unit:36s} cpu {slope.cpu_us_per_unit:8.1f} us",
        f"bytes {slope.bytes_per_unit:6.1f}",
        f"memory {slope.memory_bytes_per_unit:7.1f}",
        f"spread {slope.cpu_spread:5.2f}",
        f"bend {slope.cpu_bend:5.2f}",
        flush=True,
    )
    return slope


def _cell_with_tasks(n_tasks: int, n_workers: int = 8) -> CellState:
    spec = JobSpec("job", n_tasks, Resources(1, 1), 60.0, {"kind": "render"})
    records = [Claim("dc-1/rack-1", spec, 0, n_tasks)]
    for index in range(n_tasks):
        task_id = task_id_of("job", index)
        worker_id = f"w{index % n_workers}"
        records.append(Assign("dc-1/rack-1", task_id, 1, worker_id, "i"))
    return apply_records(CellState("dc-1/rack-1"), tuple(records))


class WorkerBench:
    """Measure exchanges with one worker stand-in in another process."""

    def __init__(self, address: str, worker_id: str):
        self._address = address
        self._worker_id = worker_id
        self._epoch = 0

    async def renewals(self, n_exchanges: int, n_running: int = 0):
        """Return the cost of renewals of a worker with ``n_running`` tasks."""
        self._epoch += 1
        control = HttpWorkerControl()
        state = _cell_with_tasks(0)
        rules = LeaseRules(worker_lease_s=600.0)
        owned = own_cell(state, self._epoch, rules, (self._worker_id,), 0.0)
        owned = await self._once(control, owned)
        owned = await self._load(control, owned, n_running)
        before_bytes = control.n_bytes
        before = time.process_time()
        for _ in range(n_exchanges):
            owned = await self._once(control, owned)
        cpu_us = (time.process_time() - before) * MICROSECONDS
        n_bytes = control.n_bytes - before_bytes
        for client in control.by_address.values():
            client.close()
        return cpu_us, float(n_bytes), 0.0

    async def _once(self, control, owned):
        owned, request = make_exchange(owned, self._worker_id)
        reply = await control.exchange(self._address, request)
        return on_reply(owned, reply, 0.0)

    async def _load(self, control, owned, n_running: int):
        if not n_running:
            return owned
        spec = JobSpec(f"job{self._epoch}", n_running, Resources(0.01, 0.01), 600.0)
        cell_id = owned.cell.cell_id
        incarnation = owned.worker_by_id[self._worker_id].reply.incarnation
        records = [Claim(cell_id, spec, 0, n_running)]
        for index in range(n_running):
            task_id = task_id_of(spec.job_id, index)
            records.append(Assign(cell_id, task_id, 1, self._worker_id, incarnation))
        cell = apply_records(owned.cell, tuple(records))
        owned = type(owned)(cell, owned.epoch, owned.rules, owned.worker_by_id)
        return await self._once(control, owned)


async def commit_cost(address: str, n_records: int):
    """Return the cost of 20 group commits of ``n_records`` records each."""
    table = HttpTable(address)
    run = os.urandom(4).hex()
    records = tuple(
        End("dc-1/rack-1", task_id_of("job", index), 1, "finished", 3.0)
        for index in range(n_records)
    )
    before_bytes = table.n_bytes
    before = time.process_time()
    for sequence in range(20):
        key = f"log/{run}/{sequence}"
        value = msgspec.json.encode(JournalRow(sequence, records)).decode()
        await table.commit(
            Transaction(f"{run}{sequence}", key, (Check(key, 0),), (Put(key, value),))
        )
    cpu_us = (time.process_time() - before) * MICROSECONDS
    return cpu_us / 20, (table.n_bytes - before_bytes) / 20, 0.0


async def recover_cost(n_tasks: int):
    """Return the cost of folding a journal of ``n_tasks`` assigned tasks."""
    state = _cell_with_tasks(n_tasks)
    text = msgspec.json.encode(JournalRow(0, (state.full_record(),)))
    before = time.process_time()
    records = msgspec.json.decode(text, type=JournalRow).records
    apply_records(CellState("dc-1/rack-1"), records)
    return (time.process_time() - before) * MICROSECONDS, float(len(text)), 0.0


async def hold_cost(n_tasks: int):
    """Return the memory of a cell that holds ``n_tasks`` tasks."""
    gc.collect()
    tracemalloc.start()
    before = time.process_time()
    state = _cell_with_tasks(n_tasks)
    cpu_us = (time.process_time() - before) * MICROSECONDS
    gc.collect()
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(state.task_by_id) == n_tasks
    return cpu_us, 0.0, float(memory)


async def look_cost(n_hosts: int):
    """Return the cost of one look at ``n_hosts`` heartbeats and 8 cells a host."""
    rows = tuple(
        (HostRow(f"h{i}", "aaaa", 1, "127.0.0.1:1000"), i) for i in range(n_hosts)
    )
    text = msgspec.json.encode([row for row, _ in rows])
    cells = {
        f"dc/{i}": CellRow(f"dc/{i}", 1, f"h{i % n_hosts}.aaaa")
        for i in range(8 * n_hosts)
    }
    before = time.process_time()
    for _ in range(20):
        msgspec.json.decode(text, type=list[HostRow])
        seen = observe(Sightings(), rows, 0.0, 0.0)
        plan_ownership(cells, seen, "h0.aaaa", 5.0)
    cpu_us = (time.process_time() - before) * MICROSECONDS / 20
    return cpu_us, float(len(text)), 0.0


async def config_cost(n_services: int):
    """Return the cost of taking over a version with ``n_services`` services."""
    services = tuple(
        Service(f"service-{i}", {"app": f"a{i}", "owner": "none"})
        for i in range(n_services)
    )
    text = msgspec.json.encode(ConfigDocument(7, "operator", services))
    before = time.process_time()
    for _ in range(20):
        effective_services(msgspec.json.decode(text, type=ConfigDocument))
    cpu_us = (time.process_time() - before) * MICROSECONDS / 20
    return cpu_us, float(len(text)), 0.0


async def peer_cost(n_messages: int):
    """Return the cost of sending and receiving ``n_messages`` peer messages."""
    port = find_free_ports(1)[0]
    link = PeerLink(f"127.0.0.1:{port}")
    link.start()
    state = PeerState("entry@host-1", "aaaa", "dc-1", 1, 7, True, is_entry=True)
    link.send(link.address, state)
    await link.receive()
    before_bytes = link.n_bytes
    before = time.process_time()
    for _ in range(n_messages):
        link.send(link.address, state)
        await link.receive()
    cpu_us = (time.process_time() - before) * MICROSECONDS
    n_bytes = link.n_bytes - before_bytes
    link.stop()
    return cpu_us, float(n_bytes), 0.0


def _process_cpu_us(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S * MICROSECONDS


def _process_rss(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return float(line.split()[1]) * 1024
    return 0.0


async def _metrics_of(fleet: Fleet, name: str = "planner_admin") -> dict[str, float]:
    response = await send_request(fleet.hosts[0].address(name), "GET", "/metrics")
    values = {}
    for line in response.body.decode().splitlines():
        if not line.startswith("#"):
            name, value = line.rsplit(" ", 1)
            values[name] = float(value)
    return values


def _control_bytes(metrics: dict[str, float]) -> float:
    return sum(v for n, v in metrics.items() if "_control_bytes{" in n)


async def idle_planner(n_workers: int, seconds: float = 8.0):
    """Return the cost of one second of a planner that owns idle workers."""
    fleet = _one_host_fleet(n_workers)
    try:
        await fleet.wait_ready()
        pid = fleet.process_by_name["planner-host-1"].pid
        before, bytes_before = (
            _process_cpu_us(pid),
            _control_bytes(await _metrics_of(fleet)),
        )
        await asyncio.sleep(seconds)
        cpu_us = (_process_cpu_us(pid) - before) / seconds
        n_bytes = (_control_bytes(await _metrics_of(fleet)) - bytes_before) / seconds
        return cpu_us, n_bytes, _process_rss(pid)
    finally:
        fleet.stop()


async def idle_entry(n_hosts: int, seconds: float = 8.0):
    """Return the cost of one second of an idle entry among ``n_hosts`` hosts."""
    fleet = _one_host_fleet(8, n_hosts)
    try:
        await fleet.wait_ready()
        pid = fleet.process_by_name["entry-host-1"].pid
        before = _process_cpu_us(pid)
        bytes_before = _control_bytes(await _metrics_of(fleet, "entry_admin"))
        await asyncio.sleep(seconds)
        cpu_us = (_process_cpu_us(pid) - before) / seconds
        n_bytes = _control_bytes(await _metrics_of(fleet, "entry_admin")) - bytes_before
        return cpu_us, n_bytes / seconds, _process_rss(pid)
    finally:
        fleet.stop()


async def run_tasks(n_tasks: int):
    """Return the cost of starting and finishing ``n_tasks``, idle cost taken off."""
    fleet = _one_host_fleet(64)
    try:
        await fleet.wait_ready()
        pid = fleet.process_by_name["planner-host-1"].pid
        before, metrics = _process_cpu_us(pid), await _metrics_of(fleet)
        started = time.monotonic()
        spec = JobSpec("job", n_tasks, Resources(1, 1), 1.0, {"kind": "render"})
        address = fleet.hosts[0].address("planner_admin")
        await send_request(address, "POST", "/v1/jobs", msgspec.json.encode(spec))
        while True:
            response = await send_request(address, "GET", "/v1/status")
            jobs = msgspec.json.decode(response.body)["jobs"]
            if jobs and jobs[0]["n_finished"] == n_tasks:
                break
            await asyncio.sleep(0.5)
        seconds = time.monotonic() - started
        cpu_us = _process_cpu_us(pid) - before - seconds * IDLE_CPU_US[64]
        after = await _metrics_of(fleet)
        n_bytes = (
            _control_bytes(after) - _control_bytes(metrics) - seconds * IDLE_BYTES[64]
        )
        writes = (
            after["beryl_planner_table_row_writes"]
            - metrics["beryl_planner_table_row_writes"]
        )
        ROW_WRITES.append((n_tasks, seconds, writes))
        return cpu_us, n_bytes, _process_rss(pid)
    finally:
        fleet.stop()


IDLE_CPU_US: dict[int, float] = {}
IDLE_BYTES: dict[int, float] = {}
ROW_WRITES: list[tuple[int, float, float]] = []


def _one_host_fleet(n_workers: int, n_hosts: int = 1) -> Fleet:
    plan = FleetPlan(
        ("dc-1",),
        n_hosts=n_hosts,
        n_racks_per_data_centre=n_workers // 8,
        n_workers_per_rack=8,
    )
    fleet = Fleet(plan, Path(tempfile.mkdtemp(prefix="beryl-slopes-")))
    fleet.start()
    return fleet


async def measure_all() -> dict[str, Slope]:
    """Measure every slope."""
    slopes: dict[str, Slope] = {}
    slopes["held_task"] = await measure_slope("task held", (200, 800, 3200), hold_cost)
    slopes["recovered_task"] = await measure_slope(
        "task recovered at takeover", (200, 800, 3200), recover_cost
    )
    slopes["observed_host"] = await measure_slope(
        "host observed a look", (2, 7, 42), look_cost
    )
    slopes["config_service"] = await measure_slope(
        "service in a configuration version", (5, 20, 80), config_cost
    )
    slopes["peer_message"] = await measure_slope(
        "peer message, both ends", (50, 200, 800), peer_cost
    )
    fleet = _one_host_fleet(8)
    try:
        await fleet.wait_ready()
        fleet.kill("planner-host-1")
        spec = fleet.worker_specs[0]
        bench = WorkerBench(spec["control_address"], spec["worker_id"])
        bench._epoch = 1000
        slopes["renewal"] = await measure_slope(
            "renewal of an idle worker", (50, 200, 800), bench.renewals
        )

        async def loaded(n_running: int):
            cpu_us, n_bytes, _ = await bench.renewals(100, n_running)
            return cpu_us / 100, n_bytes / 100, 0.0

        slopes["reported_task"] = await measure_slope(
            "task reported in an exchange", (1, 24, 96), loaded
        )

        async def commits(n_records: int):
            return await commit_cost(fleet.platform_address, n_records)

        slopes["journal_record"] = await measure_slope(
            "record in a group commit", (1, 20, 100), commits
        )
    finally:
        fleet.stop()
    slopes["entry_host_second"] = await measure_slope(
        "entry, a second, by hosts", (1, 4, 7), idle_entry
    )
    slopes["owned_worker_second"] = await measure_slope(
        "worker owned, a second", (8, 24, 64), idle_planner
    )
    for point in slopes["owned_worker_second"].points:
        IDLE_CPU_US[point.size] = statistics.median(point.cpu_us)
        IDLE_BYTES[point.size] = statistics.median(point.n_bytes)
    slopes["task_start_and_finish"] = await measure_slope(
        "task started and finished", (200, 800, 1600), run_tasks
    )
    return slopes


def _commit() -> str:
    done = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        capture_output=True,
        text=True,
        check=False,
    )
    return done.stdout.strip()


def main() -> int:
    """Measure, and write the results if asked."""
    global N_REPEATS
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--write", type=Path, help="JSON file to write")
    parser.add_argument("--repeats", type=int, default=N_REPEATS)
    arguments = parser.parse_args()
    N_REPEATS = arguments.repeats
    slopes = asyncio.run(measure_all())
    result = {
        "command": "make slopes",
        "commit": _commit(),
        "n_repeats": N_REPEATS,
        "python": sys.version.split()[0],
        "row_writes": [
            {"n_tasks": n, "seconds": round(s, 2), "row_writes": w}
            for n, s, w in ROW_WRITES
        ],
        "slopes": {name: asdict(slope) for name, slope in slopes.items()},
    }
    if arguments.write:
        arguments.write.write_text(
            json.dumps(result, indent=1) + "\n", encoding="utf-8"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""Measure the cost per unit (slope) of each quantity that scales, at several sizes.

Costs are CPU time, transferred bytes and memory of the process that runs our code; the
stand-ins run in separate processes. Each point is measured ``N_REPEATS`` times.
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
    HeartbeatView,
    HostRow,
    JournalRow,
    LeaseRules,
    apply_heartbeats,
    apply_records,
    apply_reply,
    make_exchange,
    make_owned_cell,
    plan_ownership,
    task_id_of,
)
from berylcleat.peers import PeerState, PeerTransport
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
US_PER_S = 1e6


@dataclass
class Point:
    """Costs of ``size`` units, one value per repeat."""

    size: int
    cpu_us: list[float]
    n_bytes: list[float]
    memory_bytes: list[float]


@dataclass
class Slope:
    """Measured points of one unit and the fitted costs per unit and at zero units.

    ``cpu_spread`` is the range over the median at the largest size; ``cpu_bend`` is
    the slope over the last step relative to the first, 1 for a straight line.
    """

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
        """Fit lines to the medians; compute spread and bend of the CPU time."""
        sizes = [point.size for point in self.points]
        self.cpu_us_per_unit, self.cpu_us_base = _fit_line(
            sizes, [statistics.median(p.cpu_us) for p in self.points]
        )
        self.bytes_per_unit, self.bytes_base = _fit_line(
            sizes, [statistics.median(p.n_bytes) for p in self.points]
        )
        self.memory_bytes_per_unit, _ = _fit_line(
            sizes, [statistics.median(p.memory_bytes) for p in self.points]
        )
        last = self.points[-1].cpu_us
        self.cpu_spread = (max(last) - min(last)) / max(statistics.median(last), 1e-9)
        self.cpu_bend = self._compute_bend()

    def _compute_bend(self) -> float:
        """Return the CPU cost per unit over the last step relative to the first."""
        values = [statistics.median(p.cpu_us) for p in self.points]
        sizes = [p.size for p in self.points]
        first = (values[1] - values[0]) / (sizes[1] - sizes[0])
        last = (values[-1] - values[-2]) / (sizes[-1] - sizes[-2])
        return last / first if first > 0 else float("nan")


def _fit_line(sizes: list[int], values: list[float]) -> tuple[float, float]:
    slope, base = np.polyfit(sizes, values, 1)
    return float(slope), float(base)


MeasureFunction = Callable[[int], Awaitable[tuple[float, float, float]]]


async def measure_slope(
    unit: str, sizes: tuple[int, ...], measure: MeasureFunction
) -> Slope:
    """Measure the slope of ``measure`` (CPU us, bytes, memory bytes) over ``sizes``."""
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


def _make_cell_with_tasks(n_tasks: int, n_workers: int = 8) -> CellState:
    spec = JobSpec("job", n_tasks, Resources(1, 1), 60.0, {"kind": "render"})
    records = [Claim("dc-1/rack-1", spec, 0, n_tasks)]
    for index in range(n_tasks):
        task_id = task_id_of("job", index)
        worker_id = f"w{index % n_workers}"
        records.append(Assign("dc-1/rack-1", task_id, 1, worker_id, "i"))
    return apply_records(CellState("dc-1/rack-1"), tuple(records))


class RenewalBenchmark:
    """Benchmark of exchanges with one worker stand-in in another process."""

    def __init__(self, address: str, worker_id: str):
        self._address = address
        self._worker_id = worker_id
        self._epoch = 0

    async def measure_renewals(self, n_exchanges: int, n_running: int = 0):
        """Measure lease renewals of a worker that runs ``n_running`` tasks."""
        self._epoch += 1
        control = HttpWorkerControl()
        state = _make_cell_with_tasks(0)
        rules = LeaseRules(worker_lease_s=600.0)
        owned = make_owned_cell(state, self._epoch, rules, (self._worker_id,), 0.0)
        owned = await self._exchange_once(control, owned)
        owned = await self._start_tasks(control, owned, n_running)
        before_bytes = control.n_bytes
        cpu_before = time.process_time()
        for _ in range(n_exchanges):
            owned = await self._exchange_once(control, owned)
        cpu_us = (time.process_time() - cpu_before) * US_PER_S
        n_bytes = control.n_bytes - before_bytes
        for client in control.client_by_address.values():
            client.close()
        return cpu_us, float(n_bytes), 0.0

    async def _exchange_once(self, control, owned):
        owned, request = make_exchange(owned, self._worker_id)
        reply = await control.exchange(self._address, request)
        return apply_reply(owned, reply, 0.0)

    async def _start_tasks(self, control, owned, n_running: int):
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
        return await self._exchange_once(control, owned)


async def measure_commits(address: str, n_records: int):
    """Measure the mean cost of a group commit of ``n_records`` records, over 20."""
    table = HttpTable(address)
    run = os.urandom(4).hex()
    records = tuple(
        End("dc-1/rack-1", task_id_of("job", index), 1, "finished", 3.0)
        for index in range(n_records)
    )
    before_bytes = table.n_bytes
    cpu_before = time.process_time()
    for sequence in range(20):
        key = f"log/{run}/{sequence}"
        value = msgspec.json.encode(JournalRow(sequence, records)).decode()
        await table.commit(
            Transaction(f"{run}{sequence}", key, (Check(key, 0),), (Put(key, value),))
        )
    cpu_us = (time.process_time() - cpu_before) * US_PER_S
    return cpu_us / 20, (table.n_bytes - before_bytes) / 20, 0.0


async def measure_recovery(n_tasks: int):
    """Measure the replay of a journal with ``n_tasks`` assigned tasks."""
    state = _make_cell_with_tasks(n_tasks)
    text = msgspec.json.encode(JournalRow(0, (state.snapshot_record(),)))
    cpu_before = time.process_time()
    records = msgspec.json.decode(text, type=JournalRow).records
    apply_records(CellState("dc-1/rack-1"), records)
    return (time.process_time() - cpu_before) * US_PER_S, float(len(text)), 0.0


async def measure_held_tasks(n_tasks: int):
    """Measure CPU time and memory of the state of a cell with ``n_tasks`` tasks."""
    gc.collect()
    tracemalloc.start()
    cpu_before = time.process_time()
    state = _make_cell_with_tasks(n_tasks)
    cpu_us = (time.process_time() - cpu_before) * US_PER_S
    gc.collect()
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(state.task_by_id) == n_tasks
    return cpu_us, 0.0, float(memory)


async def measure_observation(n_hosts: int):
    """Measure one ownership pass over ``n_hosts`` heartbeats and 8 cells per host."""
    rows = tuple(
        (HostRow(f"h{i}", "aaaa", 1, "127.0.0.1:1000"), i) for i in range(n_hosts)
    )
    text = msgspec.json.encode([row for row, _ in rows])
    cells = {
        f"dc/{i}": CellRow(f"dc/{i}", 1, f"h{i % n_hosts}.aaaa")
        for i in range(8 * n_hosts)
    }
    cpu_before = time.process_time()
    for _ in range(20):
        msgspec.json.decode(text, type=list[HostRow])
        heartbeats = apply_heartbeats(HeartbeatView(), rows, 0.0, 0.0)
        plan_ownership(cells, heartbeats, "h0.aaaa", 5.0)
    cpu_us = (time.process_time() - cpu_before) * US_PER_S / 20
    return cpu_us, float(len(text)), 0.0


async def measure_config(n_services: int):
    """Measure decoding and resolving a configuration of ``n_services`` services."""
    services = tuple(
        Service(f"service-{i}", {"app": f"a{i}", "owner": "none"})
        for i in range(n_services)
    )
    text = msgspec.json.encode(ConfigDocument(7, "operator", services))
    cpu_before = time.process_time()
    for _ in range(20):
        effective_services(msgspec.json.decode(text, type=ConfigDocument))
    cpu_us = (time.process_time() - cpu_before) * US_PER_S / 20
    return cpu_us, float(len(text)), 0.0


async def measure_peer_messages(n_messages: int):
    """Measure sending and receiving ``n_messages`` peer messages."""
    port = find_free_ports(1)[0]
    link = PeerTransport(f"127.0.0.1:{port}")
    link.start()
    state = PeerState("entry@host-1", "aaaa", "dc-1", 1, 7, True, is_entry=True)
    link.send(link.address, state)
    await link.receive()
    before_bytes = link.n_bytes
    cpu_before = time.process_time()
    for _ in range(n_messages):
        link.send(link.address, state)
        await link.receive()
    cpu_us = (time.process_time() - cpu_before) * US_PER_S
    n_bytes = link.n_bytes - before_bytes
    link.stop()
    return cpu_us, float(n_bytes), 0.0


def _process_cpu_us(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S * US_PER_S


def _process_rss_bytes(pid: int) -> float:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return float(line.split()[1]) * 1024
    return 0.0


async def _fetch_metrics(fleet: Fleet, name: str = "planner_admin") -> dict[str, float]:
    response = await send_request(fleet.hosts[0].address(name), "GET", "/metrics")
    values = {}
    for line in response.body.decode().splitlines():
        if not line.startswith("#"):
            name, value = line.rsplit(" ", 1)
            values[name] = float(value)
    return values


def _control_bytes(metrics: dict[str, float]) -> float:
    return sum(v for n, v in metrics.items() if "_control_bytes{" in n)


async def measure_idle_planner(n_workers: int, seconds: float = 8.0):
    """Measure the cost per second of a planner that owns ``n_workers`` idle workers."""
    fleet = _start_one_host_fleet(n_workers)
    try:
        await fleet.wait_ready()
        pid = fleet.process_by_name["planner-host-1"].pid
        cpu_before, bytes_before = (
            _process_cpu_us(pid),
            _control_bytes(await _fetch_metrics(fleet)),
        )
        await asyncio.sleep(seconds)
        cpu_us = (_process_cpu_us(pid) - cpu_before) / seconds
        n_bytes = (_control_bytes(await _fetch_metrics(fleet)) - bytes_before) / seconds
        return cpu_us, n_bytes, _process_rss_bytes(pid)
    finally:
        fleet.stop()


async def measure_idle_entry(n_hosts: int, seconds: float = 8.0):
    """Measure the cost per second of an idle entry process among ``n_hosts`` hosts."""
    fleet = _start_one_host_fleet(8, n_hosts)
    try:
        await fleet.wait_ready()
        pid = fleet.process_by_name["entry-host-1"].pid
        cpu_before = _process_cpu_us(pid)
        bytes_before = _control_bytes(await _fetch_metrics(fleet, "entry_admin"))
        await asyncio.sleep(seconds)
        cpu_us = (_process_cpu_us(pid) - cpu_before) / seconds
        n_bytes = (
            _control_bytes(await _fetch_metrics(fleet, "entry_admin")) - bytes_before
        )
        return cpu_us, n_bytes / seconds, _process_rss_bytes(pid)
    finally:
        fleet.stop()


async def measure_task_runs(n_tasks: int):
    """Measure starting and finishing ``n_tasks`` tasks, less the idle cost."""
    fleet = _start_one_host_fleet(64)
    try:
        await fleet.wait_ready()
        pid = fleet.process_by_name["planner-host-1"].pid
        cpu_before, metrics_before = _process_cpu_us(pid), await _fetch_metrics(fleet)
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
        cpu_us = _process_cpu_us(pid) - cpu_before - seconds * IDLE_CPU_US[64]
        metrics_after = await _fetch_metrics(fleet)
        n_bytes = (
            _control_bytes(metrics_after)
            - _control_bytes(metrics_before)
            - seconds * IDLE_BYTES[64]
        )
        writes = (
            metrics_after["beryl_planner_table_row_writes"]
            - metrics_before["beryl_planner_table_row_writes"]
        )
        ROW_WRITES.append((n_tasks, seconds, writes))
        return cpu_us, n_bytes, _process_rss_bytes(pid)
    finally:
        fleet.stop()


IDLE_CPU_US: dict[int, float] = {}
IDLE_BYTES: dict[int, float] = {}
ROW_WRITES: list[tuple[int, float, float]] = []


def _start_one_host_fleet(n_workers: int, n_hosts: int = 1) -> Fleet:
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
    """Measure all slopes.

    The idle cost of the planner is measured before ``task_start_and_finish``, which
    subtracts it.
    """
    slopes: dict[str, Slope] = {}
    slopes["held_task"] = await measure_slope(
        "task held", (200, 800, 3200), measure_held_tasks
    )
    slopes["recovered_task"] = await measure_slope(
        "task recovered at takeover", (200, 800, 3200), measure_recovery
    )
    slopes["observed_host"] = await measure_slope(
        "host observed a look", (2, 7, 42), measure_observation
    )
    slopes["config_service"] = await measure_slope(
        "service in a configuration version", (5, 20, 80), measure_config
    )
    slopes["peer_message"] = await measure_slope(
        "peer message, both ends", (50, 200, 800), measure_peer_messages
    )
    fleet = _start_one_host_fleet(8)
    try:
        await fleet.wait_ready()
        fleet.kill("planner-host-1")
        spec = fleet.worker_specs[0]
        renewal_benchmark = RenewalBenchmark(spec["control_address"], spec["worker_id"])
        renewal_benchmark._epoch = 1000
        slopes["renewal"] = await measure_slope(
            "renewal of an idle worker",
            (50, 200, 800),
            renewal_benchmark.measure_renewals,
        )

        async def measure_loaded_renewal(n_running: int):
            cpu_us, n_bytes, _ = await renewal_benchmark.measure_renewals(
                100, n_running
            )
            return cpu_us / 100, n_bytes / 100, 0.0

        slopes["reported_task"] = await measure_slope(
            "task reported in an exchange", (1, 24, 96), measure_loaded_renewal
        )

        async def measure_commits_on_fleet(n_records: int):
            return await measure_commits(fleet.platform_address, n_records)

        slopes["journal_record"] = await measure_slope(
            "record in a group commit", (1, 20, 100), measure_commits_on_fleet
        )
    finally:
        fleet.stop()
    slopes["entry_host_second"] = await measure_slope(
        "entry, a second, by hosts", (1, 4, 7), measure_idle_entry
    )
    slopes["owned_worker_second"] = await measure_slope(
        "worker owned, a second", (8, 24, 64), measure_idle_planner
    )
    for point in slopes["owned_worker_second"].points:
        IDLE_CPU_US[point.size] = statistics.median(point.cpu_us)
        IDLE_BYTES[point.size] = statistics.median(point.n_bytes)
    slopes["task_start_and_finish"] = await measure_slope(
        "task started and finished", (200, 800, 1600), measure_task_runs
    )
    return slopes


def _commit_id() -> str:
    done = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        capture_output=True,
        text=True,
        check=False,
    )
    return done.stdout.strip()


def main() -> int:
    """Measure all slopes and write them to the file of ``--write``."""
    global N_REPEATS
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--write", type=Path, help="JSON file for the results")
    parser.add_argument("--repeats", type=int, default=N_REPEATS)
    arguments = parser.parse_args()
    N_REPEATS = arguments.repeats
    slopes = asyncio.run(measure_all())
    result = {
        "command": "make slopes",
        "commit": _commit_id(),
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

"""Compare CPU time per request of the entry process and of a minimal h11 relay."""

import argparse
import asyncio
import os
import subprocess
import sys
import tempfile
from pathlib import Path

import msgspec
import numpy as np

from berylcleat.replay import LoadGenerator, LoadPlan
from berylcleat.standins import Fleet, FleetPlan, find_free_ports, send_request

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
CPU_RATIO_TARGET = 1.5
SERVICE_CHANGE = {
    "author": "bench",
    "base_version": 0,
    "services": [{"name": "cards", "labels": {}, "deadline_ms": 2000}],
}


def _cpu_s(pid: int) -> float:
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


async def _measure_cpu_us(
    pid: int, address: str, rate: float, seconds: float, seed: int
):
    plan = LoadPlan((address,), "/cards/render", rate, seconds)
    cpu_before_s = _cpu_s(pid)
    report = await LoadGenerator(plan, np.random.default_rng(seed)).run()
    return (_cpu_s(pid) - cpu_before_s) / report.n_sent * 1e6, report


async def measure(rate: float, seconds: float, seeds: list[int]) -> None:
    """Measure relay and entry one after the other for each seed; print the ratios."""
    plan = FleetPlan(("dc-1",), n_hosts=1, n_workers_per_rack=8, service_ms=10.0)
    fleet = Fleet(plan, Path(tempfile.mkdtemp(prefix="beryl-bench-")))
    fleet.start()
    relay_address = f"127.0.0.1:{find_free_ports(1)[0]}"
    upstreams = [spec["upstream_address"] for spec in fleet.worker_specs]
    script = Path(__file__).with_name("bare_relay.py")
    relay = subprocess.Popen([sys.executable, str(script), relay_address, *upstreams])
    try:
        await fleet.wait_ready()
        admin = fleet.hosts[0].address("planner_admin")
        await send_request(
            admin, "POST", "/v1/apply", msgspec.json.encode(SERVICE_CHANGE)
        )
        await asyncio.sleep(3.0)
        entry_pid = fleet.process_by_name["entry-host-1"].pid
        entry_address = fleet.hosts[0].address("entry")
        for seed in seeds:
            relay_us, relay_report = await _measure_cpu_us(
                relay.pid, relay_address, rate, seconds, seed
            )
            entry_us, entry_report = await _measure_cpu_us(
                entry_pid, entry_address, rate, seconds, seed
            )
            print(
                f"seed {seed}: entry {entry_us:.0f} us per request,"
                f" p99 {entry_report.p99_ms:.1f} ms,"
                f" {entry_report.n_answered}/{entry_report.n_sent} answered;"
                f" bare relay {relay_us:.0f} us, p99 {relay_report.p99_ms:.1f} ms;"
                f" ratio {entry_us / relay_us:.2f} (target {CPU_RATIO_TARGET})"
            )
    finally:
        relay.terminate()
        relay.wait()
        fleet.stop()


def main() -> int:
    """Parse the command line and run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=200.0)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--seeds", nargs="*", type=int, default=[1, 2, 3])
    arguments = parser.parse_args()
    asyncio.run(measure(arguments.rate, arguments.seconds, arguments.seeds))
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""A rack is lost for good, and the hosts are stopped and started in turn after it."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standin import BROKEN, HELD, CaseError, Deployment, run_case

SUBMISSION = "9200000000000001"
RACK = "r3"
FIRST = {"count": 2, "cpu": 2_300, "memMb": 4_600, "estimateMs": 12_000}
FIRST |= {"affinity": RACK}
SECOND = {"count": 2, "cpu": 2_300, "memMb": 4_600, "estimateMs": 800, "after": [0]}
LISTED_S = 4.5
GAP_S = 1.3
GRACE_S = 6.0
FINISH_S = 14.0
WATCH_S = 25.0


async def restart(deployment: Deployment, number: int) -> None:
    """Stop a host as the platform does, and start it again."""
    process = deployment.processes[number]
    deployment.record(f"host-{number} gets SIGTERM")
    process.send_signal(signal.SIGTERM)
    deadline = time.monotonic() + GRACE_S
    while process.poll() is None:
        if time.monotonic() > deadline:
            process.kill()
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.3)
    deployment.processes[number] = deployment.start_host(number)
    deployment.record(f"host-{number} is started")


async def case() -> int:
    """Return whether a submission stands still while most of the service is idle."""
    async with Deployment(Path(__file__).parent) as deployment:
        fleet = deployment.fleet
        fleet.work_s = lambda task, run: 12.0 if ".0.0." in task else 0.8
        await deployment.wait_ready()
        await deployment.submit(SUBMISSION, [FIRST, SECOND], 0)
        await asyncio.sleep(3.0)
        runs = fleet.running(SUBMISSION)
        if {fleet.workers[worker_id].rack for _, _, worker_id in runs} != {RACK}:
            raise CaseError("the submission doesn't run in the rack")
        if deployment.has_trouble:
            lost = [w.worker_id for w in fleet.workers.values() if w.rack == RACK]
            for worker_id in lost:
                fleet.crash(worker_id)
            await asyncio.sleep(LISTED_S)
            for worker_id in lost:
                fleet.unlist(worker_id)
        restarts = []
        for number in range(len(deployment.processes)):
            restarts.append(asyncio.create_task(restart(deployment, number)))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*restarts)
        await asyncio.sleep(FINISH_S)
        still_since, longest_s = time.monotonic(), 0.0
        deadline = time.monotonic() + WATCH_S
        state = ""
        while time.monotonic() < deadline:
            state = await deployment.state(SUBMISSION, 1)
            if state == "done":
                return HELD
            if fleet.running(SUBMISSION):
                still_since = time.monotonic()
            longest_s = max(longest_s, time.monotonic() - still_since)
            await asyncio.sleep(0.5)
        deployment.record(f"owners of cells: {deployment.owners()}")
        deployment.record(
            f"state {state}; nothing of the submission ran for {longest_s:.1f} s; 16 "
            "workers are up and run nothing"
        )
        return BROKEN if longest_s >= 3.0 else HELD


run_case(case)

"""Tasks that require a label, after the workers with it in two racks are lost."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standin import BROKEN, HELD, CaseError, Deployment, run_case

STANDING = "9b00000000000001"
FIRST = "9b00000000000002"
LABELLED = "9b00000000000003"
FINISH_S = 14.0
WATCH_S = 30.0


def labelled_step(count: int) -> dict:
    """Return a step whose tasks run on workers of kind b only."""
    step = {"count": count, "cpu": 4_000, "memMb": 1_000, "estimateMs": 2_000}
    return {**step, "requires": "b"}


async def case() -> int:
    """Return whether a task that requires a label stands still with room for it."""
    deployment = Deployment(Path(__file__).parent)
    # Each rack of eight has one worker of kind b; in rack r2 there are two.
    for number in (0, 1, 2, 4):
        deployment.new_workers[number].kind = "b"
    async with deployment:
        fleet = deployment.fleet
        fleet.work_s = lambda task, run: 2.0
        await deployment.wait_ready()
        # Four tasks that last take a quarter of rack r2.
        standing = {"count": 4, "cpu": 16_000, "memMb": 1_000, "estimateMs": 500}
        standing |= {"longRunning": True, "affinity": "r2"}
        await deployment.submit(STANDING, [standing], 0)
        await asyncio.sleep(3.0)
        await deployment.submit(FIRST, [labelled_step(1)], 0)
        await asyncio.sleep(5.0)
        if await deployment.state(FIRST, 1) != "done":
            raise CaseError("a labelled task did not run before the disruption")
        if deployment.has_trouble:
            # 2 of 24 workers are lost for good: a share of 0.083.
            for worker_id in ("w00", "w02"):
                fleet.crash(worker_id)
            await asyncio.sleep(4.5)
            for worker_id in ("w00", "w02"):
                fleet.unlist(worker_id)
            await asyncio.sleep(3.0)
        await deployment.submit(LABELLED, [labelled_step(1)], 2)
        await asyncio.sleep(FINISH_S)
        began_at = time.monotonic()
        while time.monotonic() < began_at + WATCH_S:
            state = await deployment.state(LABELLED, 1)
            if state == "done" or fleet.running(LABELLED):
                return HELD
            await asyncio.sleep(0.5)
        free = {
            worker.worker_id: worker.cpu
            - sum(r.step["cpu"] for r in worker.runs.values())
            for worker in fleet.workers.values()
            if worker.is_up and worker.kind == "b"
        }
        deployment.record(
            f"state {state}; no run for {FINISH_S + WATCH_S:.0f} s; free on the "
            f"workers of kind b, in thousandths of a core: {free}; the task needs 4000"
        )
        return BROKEN


run_case(case)

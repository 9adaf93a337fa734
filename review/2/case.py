"""A cancellation at another host than the one whose commit is carried out late."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standin import BROKEN, HELD, CaseError, Deployment, run_case

CANCELLED = "9c00000000000001"
STEP = {
    "count": 2,
    "cpu": 1_000,
    "memMb": 500,
    "estimateMs": 1_000,
    "longRunning": True,
}
# A call without an answer is carried out at most 6 s later.
LATE_S = 5.8
CANCEL_S = 3.0
WATCH_S = 25.0


def names(body: dict, submission_id: str) -> bool:
    """Return whether a transaction writes the home row of a submission."""
    puts = body.get("puts", [])
    return any(p["table"] == "submissions" and p["key"] == submission_id for p in puts)


async def case() -> int:
    """Return whether tasks of a cancelled submission start."""
    async with Deployment(Path(__file__).parent) as deployment:
        fleet, store = deployment.fleet, deployment.store
        fleet.steps[CANCELLED] = [STEP]
        await deployment.wait_ready()
        began_at = time.monotonic()

        def delay_of(body: dict) -> float | None:
            # In the half second from the first call on, the store loses answers.
            is_lossy = time.monotonic() < began_at + 0.5
            if not is_lossy or not names(body, CANCELLED):
                return None
            deployment.record(f"store: a write isn't answered, done {LATE_S} s later")
            return LATE_S

        if deployment.has_trouble:
            store.delay_of = delay_of
        target = f"/jobs/{CANCELLED}"
        body = {"spec": "work", "steps": [STEP]}
        # The client leaves before its time limit, and takes back what it asked for.
        await deployment.call(0, "POST", target, body, timeout_s=1.0)
        acknowledged_at = None
        for number in (1, 2, 1, 2):
            status, _ = await deployment.call(number, "DELETE", target)
            if status in (200, 410):
                acknowledged_at = time.monotonic()
                break
        if acknowledged_at is None:
            raise CaseError("the cancellation was not acknowledged")
        await asyncio.sleep(WATCH_S)
        late = [
            event
            for event in fleet.events
            if event[4] == "started" and event[0] > acknowledged_at + CANCEL_S
        ]
        for at, task, run, worker_id, _ in late:
            deployment.record(
                f"{task} run {run} started on {worker_id} {at - acknowledged_at:.2f} s "
                "after the cancellation was acknowledged"
            )
        left = fleet.running(CANCELLED)
        deployment.record(f"still running {WATCH_S} s after it: {left}")
        return BROKEN if late else HELD


run_case(case)

"""What a client and the operator of the users' platform write, for tests."""

import json
from typing import Any

HOST_NAME = "press.example"
PREFIX = "/proofs/"
DEADLINE_HEADER = "berylcleat-deadline-ms"


def make_operator_config() -> dict[str, Any]:
    """Return a configuration with one queue."""
    route = {
        "name": "proofs",
        "host": HOST_NAME,
        "pathPrefix": PREFIX,
        "timeoutMs": 3000,
        "sloMs": 1000,
        "priority": 0,
        "service": "svc",
        "maxAttempts": 2,
        "stretch": 2.0,
    }
    services = [{"name": "svc", "admissionCheck": True}]
    return {"version": 3, "routes": [route], "services": services}


def make_submission_body(run_s: float = 0.3, n_tasks: int = 3) -> dict[str, Any]:
    """Return a submission of two steps, the second of two tasks."""
    step = {"count": n_tasks, "cpu": 1000, "memMb": 100, "estimateMs": 300}
    last = {**step, "count": 2, "after": [0]}
    return {"spec": json.dumps({"run_s": run_s}), "steps": [step, last]}

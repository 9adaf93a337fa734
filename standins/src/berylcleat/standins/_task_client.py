"""Sample configuration and submission of the users' platform, for tests."""

import json
from typing import Any

HOST_NAME = "press.example"
PATH_PREFIX = "/proofs/"
DEADLINE_HEADER = "berylcleat-deadline-ms"


def make_operator_config() -> dict[str, Any]:
    """Return an operator's configuration with one route and one service."""
    route = {
        "name": "proofs",
        "host": HOST_NAME,
        "pathPrefix": PATH_PREFIX,
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
    """Return a submission of two steps; the second needs the first."""
    first_step = {"count": n_tasks, "cpu": 1000, "memMb": 100, "estimateMs": 300}
    second_step = {**first_step, "count": 2, "after": [0]}
    return {"spec": json.dumps({"run_s": run_s}), "steps": [first_step, second_step]}

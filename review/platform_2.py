"""The project's stand-in platform with what its pages say besides.

A row has a limited size, a worker lists the reading of each run that the run's ``spec``
names, and takes orders on pace.
"""

import json
import time
from functools import partial

import berylcleat.standins._task_platform as standin
from berylcleat.http import HttpResponse
from berylcleat.standins import task_platform_main

MAX_ROW_BYTES = 65_536

_reading_by_task = {}
_percent_by_task = {}
_make_response = standin._order_response


class Platform(standin.TaskPlatform):
    """Stand-in whose workers tell readings."""

    def _start(self, worker, body):
        options = standin._parse_run_options(body["spec"])
        _reading_by_task[body["task"]] = options.get("reading", 0)
        _percent_by_task[body["task"]] = 100
        return super()._start(worker, body)

    async def _handle_worker_request(self, worker, request):
        if request.target != "/api/pace" or not worker.is_up:
            return await super()._handle_worker_request(worker, request)
        body = json.loads(request.body)
        clock_ms = worker.clock_ms(time.monotonic())
        if body.get("fence", 0) < worker.epoch:
            answer = {"clockMs": clock_ms, "reason": "fence"}
            return standin._json_response(answer, 409)
        worker.epoch = body.get("fence", 0)
        _percent_by_task[body["task"]] = body["percent"]
        return standin._json_response({"clockMs": clock_ms})


def _order_response(answer) -> HttpResponse:
    """Return a worker's answer with the percentage and the reading of each run."""
    response = _make_response(answer)
    body = json.loads(response.body)
    for row in body.get("running", ()):
        row[3] = _percent_by_task.get(row[0], 100)
        row[4] = _reading_by_task.get(row[0], 0)
    return HttpResponse(response.status, response.headers, json.dumps(body).encode())


standin.TaskPlatform = Platform
standin._order_response = _order_response
standin.RowStore = partial(standin.RowStore, max_row_bytes=MAX_ROW_BYTES)

if __name__ == "__main__":
    task_platform_main()

"""The project's stand-in platform with what its pages say besides.

A row has a limited size, a worker lists the reading of each run that the run's ``spec``
names, and takes orders on pace. The store finds rows by an index, as it may hold many.
"""

import bisect
import json
import time
from collections import defaultdict
from functools import partial

import berylcleat.standins._task_platform as standin
from berylcleat.http import HttpResponse
from berylcleat.standins import task_platform_main

MAX_ROW_BYTES = 65_536

_reading_by_task = {}
_percent_by_task = {}
_make_response = standin._order_response


class IndexedStore(standin.RowStore):
    """Rows with the keys of each part, and the changes of each table, in order."""

    def __init__(self, **options):
        super().__init__(**options)
        self._keys_by_part = defaultdict(list)
        self._changes_by_table = defaultdict(list)

    def read(self, table, part, first, end, limit=500):
        """Return the first rows of a part in key order."""
        keys = self._keys_by_part[table, part]
        start = bisect.bisect_left(keys, first)
        stop = bisect.bisect_left(keys, end) if end else len(keys)
        found = keys[start : min(stop, start + limit)]
        rows = [self.row_by_key[table, part, key] for key in found]
        more = stop - start > limit
        return {"rows": rows, "morePages": more, **self.stamp()}

    def list_parts(self, table):
        """Return the parts of a table that hold rows."""
        parts = {
            p for (t, p), keys in self._keys_by_part.items() if t == table and keys
        }
        return {"parts": sorted(parts)}

    def changes_after(self, table, after):
        """Return a table's changes after a version, or None if they were dropped."""
        if after < self.oldest_version:
            return None
        changes = self._changes_by_table[table]
        return changes[bisect.bisect_right(changes, after, key=lambda r: r["ver"]) :]

    def forget_history(self):
        """Drop the change history and keep the rows."""
        super().forget_history()
        self._changes_by_table.clear()

    def _put(self, row):
        table, part, key = row["table"], row["part"], row["key"]
        if (table, part, key) not in self.row_by_key:
            bisect.insort(self._keys_by_part[table, part], key)
        super()._put(row)
        self._changes_by_table[table].append(self.changes.pop())

    def _remove(self, key_body):
        table, part, key = (key_body[name] for name in ("table", "part", "key"))
        if (table, part, key) in self.row_by_key:
            self._keys_by_part[table, part].remove(key)
        super()._remove(key_body)
        self._changes_by_table[table].append(self.changes.pop())


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
standin.RowStore = partial(IndexedStore, max_row_bytes=MAX_ROW_BYTES)

if __name__ == "__main__":
    task_platform_main()

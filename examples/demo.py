"""Run one user's installation on stand-ins under load and failures, and check it."""

import argparse
import asyncio
import json
import subprocess
import sys
import time
from collections import Counter
from dataclasses import asdict, dataclass, field
from pathlib import Path

from rich.console import Console
from rich.table import Table

from berylcleat.http import ExchangeError, HttpClient, HttpRequest
from berylcleat.standins import (
    Fleet,
    find_overlapping_tasks,
    find_repeated_requests,
    make_fleet_plan,
    read_history,
)

EXAMPLES = Path(__file__).parent
SERVICE_BY_USER = {"press": "cards", "agency": "permits"}
REQUEST_PERIOD_S = 0.02
JOB_TIMEOUT_S = 40.0
console = Console()


@dataclass
class SentRequest:
    """One request and the outcome that its caller received."""

    request_id: str
    kind: str
    host: str
    outcome: str = "connection-lost"
    is_complete: bool = False
    sent_to_killed_host: bool = False


@dataclass
class Summary:
    """Results of one run of the demo, as written to summary.json."""

    user: str
    outcomes: dict[str, int] = field(default_factory=dict)
    wrong_answers: list[str] = field(default_factory=list)
    lost_unreported: list[str] = field(default_factory=list)
    requests_run_twice: list[str] = field(default_factory=list)
    tasks_run_twice: list[str] = field(default_factory=list)
    job: dict = field(default_factory=dict)
    drained_worker: str = ""
    requests_after_drain: int = 0
    exit_statuses: dict[str, int] = field(default_factory=dict)
    trace_spans: int = 0
    seconds: float = 0.0

    def find_failures(self) -> list[str]:
        """Return a message for each violated expectation."""
        failures = []
        if self.wrong_answers:
            failures.append(f"wrong or incomplete answers: {self.wrong_answers[:3]}")
        if self.lost_unreported:
            failures.append(f"missing answers: {self.lost_unreported[:3]}")
        if self.requests_run_twice:
            failures.append(f"requests run twice: {self.requests_run_twice[:3]}")
        if self.tasks_run_twice:
            failures.append(f"tasks run twice: {self.tasks_run_twice[:3]}")
        if self.job.get("state") != "finished":
            failures.append(f"job did not finish: {self.job}")
        if self.requests_after_drain:
            failures.append(
                f"drained worker received {self.requests_after_drain} requests"
            )
        nonzero_statuses = {n: s for n, s in self.exit_statuses.items() if s != 0}
        if nonzero_statuses:
            failures.append(f"processes with a nonzero exit status: {nonzero_statuses}")
        return failures


class Demo:
    """One run of the demo: requests, a batch job, a drain and a killed host."""

    def __init__(self, user: str, folder: Path):
        self.user = user
        self.service = SERVICE_BY_USER[user]
        self.fleet = Fleet(make_fleet_plan(EXAMPLES / user / "fleet.json"), folder)
        self.sent_requests: list[SentRequest] = []
        self.summary = Summary(user)
        self._clients: dict[str, HttpClient] = {}
        self._killed_host_ids: set[str] = set()
        self._is_sending = True

    def print_progress(self, text: str) -> None:
        """Print a message with the time since the start."""
        console.print(
            f"[{time.monotonic() - self._started:5.1f}s] {text}", highlight=False
        )

    async def run(self) -> Summary:
        """Start the fleet, run all steps, stop the fleet and return the results."""
        self._started = time.monotonic()
        self.print_progress(
            f"starting the {self.user}: platform, racks, {len(self.fleet.hosts)} hosts"
        )
        self.fleet.start()
        try:
            await self.fleet.wait_ready()
            await self._run_steps()
        finally:
            self.print_progress("stopping all processes gracefully")
            self.summary.exit_statuses = self.fleet.stop()
        self._evaluate()
        self.summary.seconds = round(time.monotonic() - self._started, 1)
        return self.summary

    async def _run_steps(self) -> None:
        self.print_progress("ready: every worker has answered the owner of its cell")
        self._run_berylctl("apply", str(EXAMPLES / self.user / "services.json"))
        await asyncio.sleep(2.5)
        send_task = asyncio.create_task(self._send_requests())
        self.print_progress("callers send renders and orders through every entry host")
        job = self._run_berylctl("apply", str(EXAMPLES / self.user / "season.json"))[0]
        self.print_progress(f"batch job {job['job_id']} submitted")
        await asyncio.sleep(2.0)
        change = self._run_berylctl("set", "owner=none", "--priority", "20")
        self.print_progress(
            f"selector owner=none changed at version {change['version']}: "
            f"{', '.join(change['matches'])}"
        )
        drained_at = await self._drain_upstream()
        await self._kill_host()
        await self._wait_for_job(job["job_id"])
        self.summary.trace_spans = len(self._run_berylctl("trace", job["trace_id"]))
        self.print_progress(
            f"trace {job['trace_id']} has {self.summary.trace_spans} spans"
        )
        self._is_sending = False
        await send_task
        self._count_requests_after_drain(drained_at)

    async def _drain_upstream(self) -> float:
        worker_id = self.fleet.worker_specs[0]["worker_id"]
        self.summary.drained_worker = worker_id
        await self.fleet.set_worker_fault(worker_id, is_leaving=True)
        self.print_progress(f"upstream on {worker_id} is leaving")
        await asyncio.sleep(3.0)
        return time.monotonic()

    def _count_requests_after_drain(self, drained_at: float) -> None:
        events = [e for p in self.fleet.history_paths() for e in read_history(p)]
        self.summary.requests_after_drain = sum(
            e.kind in ("request-run", "request-refused")
            and e.place == self.summary.drained_worker
            and e.at_s > drained_at
            for e in events
        )

    async def _kill_host(self) -> None:
        host = self.fleet.hosts[1]
        self._killed_host_ids.add(host.host_id)
        self.fleet.kill(f"entry-{host.host_id}")
        self.fleet.kill(f"planner-{host.host_id}")
        self.print_progress(f"killed {host.host_id}: its peer takes over its cells")

    async def _wait_for_job(self, job_id: str) -> None:
        deadline = time.monotonic() + JOB_TIMEOUT_S
        while time.monotonic() < deadline:
            self.summary.job = self._job_status(job_id)
            if self.summary.job.get("state") in ("finished", "failed"):
                self.print_progress(f"job {job_id}: {self.summary.job['state']}")
                return
            await asyncio.sleep(0.5)
        self.print_progress(f"job {job_id} did not end before the timeout")

    def _job_status(self, job_id: str) -> dict:
        answers = self._run_berylctl("status")
        rows = [
            j for a in answers.values() if a for j in a["jobs"] if j["job_id"] == job_id
        ]
        return max(rows, key=lambda j: j["n_finished"], default={})

    def _run_berylctl(self, *arguments: str):
        program = Path(sys.executable).with_name("berylctl")
        settings = self.fleet.folder / "berylctl.json"
        command = [
            str(program),
            "--settings",
            str(settings),
            "--format",
            "json",
            *arguments,
        ]
        completed = subprocess.run(command, capture_output=True, text=True, check=False)
        if completed.returncode:
            raise RuntimeError(f"berylctl {arguments}: {completed.stderr}")
        return json.loads(completed.stdout)

    async def _send_requests(self) -> None:
        """Send one request per period, round-robin over the hosts that are alive."""
        tasks = set()
        n_sent = 0
        while self._is_sending:
            hosts = [
                h for h in self.fleet.hosts if h.host_id not in self._killed_host_ids
            ]
            host = hosts[n_sent % len(hosts)]
            task = asyncio.create_task(self._send_request(n_sent, host))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            n_sent += 1
            await asyncio.sleep(REQUEST_PERIOD_S)
        if tasks:
            await asyncio.wait(tasks)

    async def _send_request(self, number: int, host) -> None:
        is_order = number % 5 == 0
        request_id = f"demo-{number}"
        sent = SentRequest(request_id, "order" if is_order else "render", host.host_id)
        self.sent_requests.append(sent)
        headers = [("x-request-id", request_id)]
        if is_order:
            headers.append(("idempotency-key", request_id))
        method, path = ("POST", "orders") if is_order else ("GET", f"renders/{number}")
        body = request_id.encode() if is_order else b""
        request = HttpRequest(method, f"/{self.service}/{path}", tuple(headers), body)
        address = host.address("entry")
        client = self._clients.setdefault(address, HttpClient(address))
        try:
            response = await client.exchange(request, 5.0)
        except ExchangeError:
            sent.sent_to_killed_host = host.host_id in self._killed_host_ids
            return
        sent.outcome = response.header("beryl-outcome")
        if sent.outcome == "answered":
            answer = json.loads(response.body)
            sent.is_complete = (
                answer["request_id"] == request_id and answer["echo"] == body.decode()
            )

    def _evaluate(self) -> None:
        summary = self.summary
        events = [e for p in self.fleet.history_paths() for e in read_history(p)]
        summary.outcomes = dict(
            Counter(f"{s.kind} {s.outcome}" for s in self.sent_requests)
        )
        summary.wrong_answers = [
            s.request_id
            for s in self.sent_requests
            if s.outcome == "answered" and not s.is_complete
        ]
        summary.lost_unreported = [
            s.request_id
            for s in self.sent_requests
            if s.outcome == "connection-lost" and not s.sent_to_killed_host
        ]
        order_ids = {s.request_id for s in self.sent_requests if s.kind == "order"}
        summary.requests_run_twice = [
            r for r in find_repeated_requests(events) if r in order_ids
        ]
        run_request_ids = {e.subject for e in events if e.kind == "request-run"}
        summary.wrong_answers += [
            f"{s.request_id} ran although it was reported as not run"
            for s in self.sent_requests
            if s.outcome == "not-run" and s.request_id in run_request_ids
        ]
        summary.tasks_run_twice = find_overlapping_tasks(events)


def print_summary(summary: Summary) -> None:
    """Print the results as a table."""
    table = Table("what", "seen", title="demo")
    for outcome, n in sorted(summary.outcomes.items()):
        table.add_row(outcome, str(n))
    table.add_row(
        "job", f"{summary.job.get('n_finished')}/{summary.job.get('n_tasks')} finished"
    )
    table.add_row("requests run twice", str(len(summary.requests_run_twice)))
    table.add_row("tasks run twice", str(len(summary.tasks_run_twice)))
    table.add_row("requests after drain", str(summary.requests_after_drain))
    table.add_row("seconds", str(summary.seconds))
    console.print(table)


def main() -> int:
    """Run the demo; return 0 if no expectation was violated, else 1."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--user", choices=sorted(SERVICE_BY_USER), default="press")
    parser.add_argument("--folder", type=Path, default=Path("out/demo"))
    arguments = parser.parse_args()
    summary = asyncio.run(Demo(arguments.user, arguments.folder).run())
    print_summary(summary)
    path = arguments.folder / "summary.json"
    path.write_text(json.dumps(asdict(summary), indent=2), encoding="utf-8")
    console.print(f"summary in {path}")
    for failure in summary.find_failures():
        console.print(f"FAULT: {failure}")
    return 1 if summary.find_failures() else 0


if __name__ == "__main__":
    sys.exit(main())

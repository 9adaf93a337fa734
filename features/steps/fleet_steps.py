import asyncio
import json
import subprocess
import sys
import time
from pathlib import Path

from behave import given, then, when
from environment import read_fleet_history, start_fleet

from berylcleat.standins import (
    find_overlapping_tasks,
    find_repeated_requests,
    send_request,
)

SERVICE = {
    "name": "cards",
    "labels": {"app": "cards", "owner": "none"},
    "reserve": {"cores": 16, "memory_gb": 32},
    "deadline_ms": 2000,
}
WAIT_TIMEOUT_S = 45.0


def berylctl(context, *arguments, as_json=True):
    program = Path(sys.executable).with_name("berylctl")
    settings = context.fleet.folder / "berylctl.json"
    command = [str(program), "--settings", str(settings)]
    command += ["--format", "json"] if as_json else []
    completed = subprocess.run(
        [*command, *arguments], capture_output=True, text=True, check=False
    )
    context.ctl_result = completed
    return (
        json.loads(completed.stdout) if as_json and completed.returncode == 0 else None
    )


def apply_document(context, document, name="document"):
    path = context.fleet.folder / f"{name}.json5"
    path.write_text(json.dumps(document), encoding="utf-8")
    return berylctl(context, "apply", str(path))


def wait_until(context, condition, description, timeout_s=WAIT_TIMEOUT_S):
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if condition():
            return
        context.run(asyncio.sleep(0.1))
    raise AssertionError(f"{description} did not happen in time")


def job_status(context, job_id):
    answers = berylctl(context, "status") or {}
    rows = [j for a in answers.values() if a for j in a["jobs"]]
    rows = [j for j in rows if j["job_id"] == job_id]
    return max(rows, key=lambda j: j["n_finished"] + j["n_cancelled"], default=None)


def config_versions(context):
    answers = berylctl(context, "status")
    return {a: (v and v["config_version"]) for a, v in answers.items()}


def send(context, index, method, path, body=b"", timeout_s=5.0, **headers):
    host = context.fleet.hosts[index]
    pairs = tuple((name.replace("_", "-"), value) for name, value in headers.items())
    address = host.address("entry")
    return send_request(address, method, path, body, pairs, timeout_s)


@given("a fleet of {n_hosts:d} hosts and {n_workers:d} workers in one data centre")
def given_fleet(context, n_hosts, n_workers):
    start_fleet(context, n_hosts=n_hosts, n_workers_per_rack=n_workers)


@given("a fleet whose workers do not check epochs")
def given_fleet_without_fencing(context):
    start_fleet(context, is_fencing=False)


@given("a fleet whose upstreams take {ms:d} ms")
def given_slow_fleet(context, ms):
    start_fleet(context, service_ms=ms)


@given("the service cards is in force everywhere")
def given_service(context):
    accepted = apply_document(context, {"services": [SERVICE]})
    assert accepted, context.ctl_result.stderr
    wait_version(context, accepted[0]["version"])


def wait_version(context, version):
    async def answered():
        responses = [
            await send_request(host.address("entry"), "GET", "/cards/probe")
            for host in context.fleet.hosts
        ]
        return all(r and r.header("beryl-code") != "no-such-service" for r in responses)

    wait_until(context, lambda: context.run(answered()), f"version {version} in force")


@when(
    'a job "{job_id}" of {n:d} tasks of {cores:d} cores running {run_s:g} s is applied'
)
def when_job(context, job_id, n, cores, run_s):
    apply_job(context, job_id, n, cores, run_s)
    assert context.ctl_result.returncode == 0, context.ctl_result.stderr


def apply_job(context, job_id, n, cores, run_s, **fields):
    job = {
        "job_id": job_id,
        "n_tasks": n,
        "per_task": {"cores": cores, "memory_gb": 1},
        "run_s": run_s,
        **fields,
    }
    context.accepted = apply_document(context, {"jobs": [job]}, job_id)


@when('{n:d} tasks of "{job_id}" have started')
def when_started(context, n, job_id):
    def count():
        starts = {
            e.subject
            for e in read_fleet_history(context)
            if e.kind == "task-start" and e.subject.startswith(f"{job_id}/")
        }
        return len(starts) >= n

    wait_until(context, count, f"{n} starts of {job_id}")


@then('the job "{job_id}" finishes all {n:d} tasks')
def then_finishes(context, job_id, n):
    def finished():
        status = job_status(context, job_id)
        return status and status["n_finished"] == n

    wait_until(context, finished, f"{job_id} finished")


@then("no two attempts of a task overlapped")
def then_no_overlap(context):
    assert find_overlapping_tasks(read_fleet_history(context)) == []


@then("two attempts of some task overlapped")
def then_overlap(context):
    assert find_overlapping_tasks(read_fleet_history(context)) != []


@then('no task of "{job_id}" finished twice')
def then_finished_once(context, job_id):
    ended = [
        e.subject for e in read_fleet_history(context) if e.kind == "task-finished"
    ]
    ended = [subject for subject in ended if subject.startswith(f"{job_id}/")]
    assert len(ended) == len(set(ended)), sorted(ended)


@then("no request ran twice")
def then_no_double_run(context):
    assert find_repeated_requests(read_fleet_history(context)) == []


@when("I wait {seconds:g} s")
def when_wait(context, seconds):
    context.run(asyncio.sleep(seconds))

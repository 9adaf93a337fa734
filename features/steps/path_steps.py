import asyncio
import json
import subprocess
import sys
from pathlib import Path

from behave import then, when
from fleet_steps import apply_document, berylctl, send

from berylcleat.standins import send_request


@when("a render is sent through every host")
def when_render(context):
    context.answers = {}
    for index in range(len(context.fleet.hosts)):
        request_id = f"render-{index}"
        response = context.run(
            send(context, index, "GET", f"/cards/{request_id}", x_request_id=request_id)
        )
        context.answers[request_id] = response


@then("every answer is complete and for its caller's own request")
def then_answers_complete(context):
    for request_id, response in context.answers.items():
        assert response and response.status == 200, (request_id, response)
        assert response.header("beryl-outcome") == "answered"
        assert json.loads(response.body)["request_id"] == request_id


@then("the trace of the last request has a span for each hop")
def then_trace(context):
    trace_id = list(context.answers.values())[-1].header("beryl-trace")
    spans = berylctl(context, "trace", trace_id)
    names = [span["name"] for span in spans]
    assert names == ["entry.request", "entry.attempt", "upstream.run"], names
    by_id = {span["span_id"]: span for span in spans}
    assert by_id[spans[2]["parent_id"]]["name"] == "entry.attempt"


@then('berylctl explains the job "{job_id}" and its first task')
def then_explains(context, job_id):
    records = berylctl(context, "explain", f"job/{job_id}")
    assert any("claimed" in record["action"] for record in records), records
    records = berylctl(context, "explain", f"task/{job_id}/0")
    assert any("placed on" in record["action"] for record in records), records
    assert any("finished" in record["action"] for record in records), records


@then("the trace of the job has spans of planner and worker")
def then_job_trace(context):
    spans = berylctl(context, "trace", context.accepted[0]["trace_id"])
    names = {span["name"] for span in spans}
    assert {"planner.submit", "planner.assign", "worker.exchange"} <= names, names


def check_refusal(response, status):
    assert response is not None
    assert response.status == status, response
    assert response.header("beryl-outcome") == "not-run"
    assert response.header("retry-after"), response


@then("an unknown service answers 404 as not run with code {code}")
def then_unknown_service(context, code):
    response = context.run(send(context, 0, "GET", "/nothing/here"))
    check_refusal(response, 404)
    assert response.header("beryl-code") == code


@then("an oversize body answers 413 as not run")
def then_oversize(context):
    response = context.run(send(context, 0, "POST", "/cards/big", b"x" * 1_200_000))
    check_refusal(response, 413)


async def exchange_raw_bytes(address, data, timeout_s=8.0):
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    try:
        async with asyncio.timeout(timeout_s):
            return await reader.read()
    finally:
        writer.close()


@then("a malformed request answers 400 as not run")
def then_malformed(context):
    address = context.fleet.hosts[0].address("entry")
    answer = context.run(exchange_raw_bytes(address, b"THIS IS NOT HTTP\r\n\r\n"))
    assert answer.startswith(b"HTTP/1.1 400"), answer
    assert b"beryl-outcome: not-run" in answer


@then("a caller that never completes its request gets 408 as not run")
def then_slow_caller(context):
    fleet = context.fleet
    settings = json.loads((fleet.folder / "entry-host-1.json").read_text())
    fleet.stop_process("entry-host-1")
    fleet.start_process(
        "entry-host-1", "beryl-entry", {**settings, "receive_timeout_s": 0.5}
    )
    context.run(fleet.wait_ready())
    head = b"POST /cards/slow HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nabc"
    answer = context.run(exchange_raw_bytes(fleet.hosts[0].address("entry"), head))
    assert answer.startswith(b"HTTP/1.1 408"), answer
    assert b"beryl-outcome: not-run" in answer


def run_program(context, program, name, settings):
    path = context.fleet.folder / f"{name}.json5"
    path.write_text(settings, encoding="utf-8")
    command = [str(Path(sys.executable).with_name(program)), "--settings", str(path)]
    return subprocess.run(
        command, capture_output=True, text=True, check=False, timeout=20
    )


def entry_settings(context):
    return json.loads((context.fleet.folder / "entry-host-1.json").read_text())


@then("a second entry on the same port exits 2 with code port-in-use")
def then_port_in_use(context):
    text = json.dumps(entry_settings(context))
    completed = run_program(context, "beryl-entry", "second", text)
    assert completed.returncode == 2, completed
    assert "port-in-use" in completed.stderr and "change the port" in completed.stderr


@then("settings with an unknown key exit 2 naming its location")
def then_unknown_key(context):
    text = json.dumps({**entry_settings(context), "entry_adress": "typo"})
    completed = run_program(context, "beryl-entry", "unknown", text)
    assert completed.returncode == 2, completed
    assert "$.entry_adress" in completed.stderr and "entry_address" in completed.stderr
    assert len(completed.stderr.strip().splitlines()) == 1, completed.stderr


@then("settings with a wrong type exit 2 naming its location")
def then_wrong_type(context):
    text = json.dumps({**entry_settings(context), "drain_delay_s": "soon"})
    completed = run_program(context, "beryl-entry", "wrong", text)
    assert completed.returncode == 2, completed
    assert "$.drain_delay_s" in completed.stderr, completed.stderr


@then("a job file with an unknown key exits 2 naming its location")
def then_bad_job(context):
    apply_document(context, {"jobs": [{"job_id": "a", "tasks": 3}]}, "bad")
    assert context.ctl_result.returncode == 2, context.ctl_result
    assert "$.jobs[0].tasks" in context.ctl_result.stderr, context.ctl_result.stderr


@then("a job that fits on no worker is refused with the reason")
def then_fits_no_worker(context):
    job = {"job_id": "huge", "per_task": {"cores": 1, "accelerators": 3}}
    apply_document(context, {"jobs": [job]}, "huge")
    assert context.ctl_result.returncode == 1, context.ctl_result
    assert "needs 3 accelerators" in context.ctl_result.stderr, (
        context.ctl_result.stderr
    )


@when("{n:d} callers disconnect before their answer")
def when_callers_disconnect(context, n):
    async def disconnect():
        address = context.fleet.hosts[0].address("entry")
        await asyncio.gather(
            *(
                send_request(address, "GET", f"/cards/left-{i}", timeout_s=0.1)
                for i in range(n)
            )
        )

    context.run(disconnect())


@then("berylctl without reachable hosts exits 4 for status and for cancel")
def then_no_reachable_hosts(context):
    program = str(Path(sys.executable).with_name("berylctl"))
    path = context.fleet.folder / "gone.json"
    path.write_text('{"author": "a", "planners": ["127.0.0.1:9"]}', encoding="utf-8")
    for words in (["status"], ["cancel", "x"]):
        command = [program, "--settings", str(path), *words]
        completed = subprocess.run(command, capture_output=True, text=True, check=False)
        assert completed.returncode == 4, completed
        assert "Check the addresses" in completed.stderr, completed

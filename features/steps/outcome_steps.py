import asyncio
import json
import signal
from collections import Counter

from behave import then, when
from environment import read_fleet_history
from fleet_steps import send, wait_until

from berylcleat.standins import send_request

ORDER_BODY = b"12 cards"


def send_order(context, index, key, body=ORDER_BODY, timeout_s=8.0):
    return send(
        context,
        index - 1,
        "POST",
        "/cards/orders",
        body,
        timeout_s,
        idempotency_key=key,
        x_request_id=key,
    )


def count_runs(context, request_id):
    events = read_fleet_history(context)
    return sum(e.kind == "request-run" and e.subject == request_id for e in events)


@when(
    'an order with key "{key}" is sent through host 1 which is killed before it answers'
)
def when_killed(context, key):
    async def run_scenario():
        task = asyncio.create_task(send_order(context, 1, key))
        while count_runs(context, key) == 0:
            await asyncio.sleep(0.02)
        context.fleet.kill("entry-host-1")
        return await task

    assert context.run(run_scenario()) is None


@when('the order with key "{key}" is sent again through host {index:d}')
def when_order_sent_again(context, key, index):
    context.second = context.run(send_order(context, index, key))


@when(
    'the order with key "{key}" is sent again through host {index:d} '
    "until it is answered"
)
def when_until_answered(context, key, index):
    def answered():
        context.first = context.run(send_order(context, index, key))
        return context.first and context.first.header("beryl-outcome") == "answered"

    wait_until(context, answered, f"answer to {key}", 20.0)


@then("the second answer has the outcome unknown and code {code}")
def then_unknown(context, code):
    assert context.second.header("beryl-outcome") == "unknown", context.second
    assert context.second.header("beryl-code") == code, context.second


@then("the second answer replays the first answer")
def then_replayed(context):
    assert context.second.header("beryl-replayed") == "1", context.second
    assert context.second.body == context.first.body


@then('the order "{key}" ran at most once')
def then_once(context, key):
    assert count_runs(context, key) <= 1, count_runs(context, key)


@then('the order "{key}" ran at most {n:d} times')
def then_at_most(context, key, n):
    assert count_runs(context, key) <= n, count_runs(context, key)


@then('the order "{key}" was answered completely in the end')
def then_answered(context, key):
    assert json.loads(context.first.body)["request_id"] == key


@when(
    'an order with key "{key}" is sent through host 1 '
    "which freezes for 3 s while claiming the key"
)
def when_frozen(context, key):
    async def run_scenario():
        task = asyncio.create_task(send_order(context, 1, key, timeout_s=12.0))
        await asyncio.sleep(0.2)
        context.fleet.signal("entry-host-1", signal.SIGSTOP)
        await asyncio.sleep(3.0)
        context.fleet.signal("entry-host-1", signal.SIGCONT)
        return await task

    response = context.run(run_scenario())
    assert response.header("beryl-outcome") == "not-run", response
    assert count_runs(context, key) == 0


@when("the platform delays its answers by {ms:d} ms")
def when_delay(context, ms):
    context.run(context.fleet.set_platform_faults(delay_ms=ms))


@when("the platform loses the next {n:d} answers to writes after they took effect")
def when_platform_loses_answers(context, n):
    context.run(context.fleet.set_platform_faults(n_answers_to_lose=n))


@when("the platform is down")
def when_platform_down(context):
    context.run(context.fleet.set_platform_faults(mode="down"))


@when("the platform leaves requests unanswered")
def when_platform_unanswering(context):
    context.run(context.fleet.set_platform_faults(mode="swallow"))


@when("the platform has recovered")
def when_platform_recovered(context):
    context.run(context.fleet.set_platform_faults(mode="up"))


@then('an order with key "{key}" is refused as not run with code {code}')
def then_refused(context, key, code):
    response = context.run(send_order(context, 1, key))
    assert response.status == 503, response
    assert response.header("beryl-outcome") == "not-run"
    assert response.header("beryl-code") == code
    assert response.header("retry-after")


@then("a render is still answered completely")
def then_render(context):
    response = context.run(send(context, 0, "GET", "/cards/r", x_request_id="still"))
    assert response.status == 200, response
    assert json.loads(response.body)["request_id"] == "still"


def set_fault_on_all_workers(context, **fault):
    for spec in context.fleet.worker_specs:
        context.run(context.fleet.set_worker_fault(spec["worker_id"], **fault))


@when("every upstream runs requests but loses the answers")
def when_upstreams_lose_answers(context):
    set_fault_on_all_workers(context, loses_answers=True)


@when("every upstream fails all requests")
def when_all_fail(context):
    set_fault_on_all_workers(context, fails_all=True)


@then("an order without a key gets the outcome unknown")
def then_unkeyed(context):
    response = context.run(
        send(context, 0, "POST", "/cards/orders", ORDER_BODY, x_request_id="no-key")
    )
    assert response.header("beryl-outcome") == "unknown", response
    assert count_runs(context, "no-key") == 1


def worker_id_of(context, number):
    return context.fleet.worker_specs[number - 1]["worker_id"]


@when("worker {number:d} fails all requests")
def when_fails(context, number):
    context.run(
        context.fleet.set_worker_fault(worker_id_of(context, number), fails_all=True)
    )


@when("worker {number:d} is leaving")
def when_leaving(context, number):
    context.run(
        context.fleet.set_worker_fault(worker_id_of(context, number), is_leaving=True)
    )


@when("{n:d} renders are sent at once through every host")
def when_renders_at_once(context, n):
    async def run_scenario():
        renders = (
            send(
                context,
                i % len(context.fleet.hosts),
                "GET",
                f"/cards/{i}",
                x_request_id=f"at-once-{i}",
            )
            for i in range(n)
        )
        return await asyncio.gather(*renders)

    context.renders = getattr(context, "renders", []) + context.run(run_scenario())


@then("no render that was refused as not run had run")
def then_refused_unrun(context):
    ran = {e.subject for e in read_fleet_history(context) if e.kind == "request-run"}
    for index, response in enumerate(context.renders):
        refused = response.header("beryl-outcome") == "not-run"
        assert not refused or f"at-once-{index}" not in ran, response


@when("{n:d} renders are sent through every host")
def when_renders(context, n):
    async def run_scenario():
        sends = []
        for number in range(n):
            request_id = f"batch{context.n_batches}-{number}"
            index = number % len(context.fleet.hosts)
            render = send(
                context, index, "GET", f"/cards/{number}", x_request_id=request_id
            )
            sends.append(asyncio.ensure_future(render))
            await asyncio.sleep(0.01)
        return await asyncio.gather(*sends)

    context.n_batches = getattr(context, "n_batches", 0) + 1
    context.renders = getattr(context, "renders", []) + context.run(run_scenario())


@then("every render is answered with status {status:d}")
def then_statuses(context, status):
    seen = Counter((r.status, r.header("beryl-code")) for r in context.renders)
    assert {seen_status for seen_status, _ in seen} == {status}, seen


@then("worker {number:d} was sent none of the last {n:d} renders")
def then_worker_got_no_render(context, number, n):
    last = f"batch{context.n_batches}-"
    ran = [
        e.subject
        for e in read_fleet_history(context)
        if e.kind in ("request-run", "request-refused")
        and e.place == worker_id_of(context, number)
        and e.subject.startswith(last)
    ]
    assert ran == [], ran


@then('an order with key "{key}" and other content is refused with code {code}')
def then_mismatch(context, key, code):
    response = context.run(send_order(context, 2, key, b"13 cards"))
    assert response.status == 422, response
    assert response.header("beryl-code") == code
    assert response.header("beryl-outcome") == "not-run"


@when(
    "{n:d} renders with deadlines around the service time are sent through every host"
)
def when_deadlines(context, n):
    async def run_scenario():
        sends = {}
        for number in range(n):
            request_id = f"late-{number}"
            sends[request_id] = send(
                context,
                number % len(context.fleet.hosts),
                "GET",
                f"/cards/{number}",
                x_request_id=request_id,
                x_deadline_ms=str(250 + 10 * (number % 12)),
            )
        responses = await asyncio.gather(*sends.values())
        return dict(zip(sends, responses, strict=True))

    context.late = context.run(run_scenario())


@then("every received answer is for its caller's own request")
def then_answers_match_callers(context):
    for request_id, response in context.late.items():
        assert response is not None, request_id
        if response.header("beryl-outcome") == "answered":
            assert json.loads(response.body)["request_id"] == request_id


@then("every other caller got the outcome unknown or not run")
def then_other_outcomes(context):
    ran = {e.subject for e in read_fleet_history(context) if e.kind == "request-run"}
    for request_id, response in context.late.items():
        outcome = response.header("beryl-outcome")
        assert outcome in ("answered", "unknown", "not-run"), response
        assert response.status == 200 or response.header("retry-after"), response
        assert outcome != "not-run" or request_id not in ran, request_id


@when("host 1 is stopped while {n:d} renders are in flight through it")
def when_stopped(context, n):
    async def run_scenario():
        tasks = [
            asyncio.create_task(
                send(context, 0, "GET", f"/cards/{i}", x_request_id=f"drain-{i}")
            )
            for i in range(n)
        ]
        await asyncio.sleep(0.05)
        context.fleet.signal("entry-host-1", signal.SIGTERM)
        admin = context.fleet.hosts[0].address("entry_admin")
        while True:
            ready = await send_request(admin, "GET", "/ready")
            if ready is None or ready.status != 200:
                break
            tasks.append(asyncio.create_task(send(context, 0, "GET", "/cards/late")))
            await asyncio.sleep(0.01)
        return await asyncio.gather(*tasks)

    context.renders = context.run(run_scenario())


@then("every render sent while host 1 was ready is answered completely")
def then_drained(context):
    seen = Counter(
        r.header("beryl-outcome") if r else "cut-off" for r in context.renders
    )
    assert set(seen) == {"answered"}, seen


@then("the entry of host 1 exited with status 0")
def then_exited(context):
    process = context.fleet.process_by_name.pop("entry-host-1")
    assert process.wait(20) == 0

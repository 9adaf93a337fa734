import subprocess
import sys
from pathlib import Path

from behave import given, then, when
from environment import read_fleet_history
from fleet_steps import (
    SERVICE,
    apply_document,
    apply_job,
    berylctl,
    config_versions,
    send,
    wait_until,
)

from berylcleat.standins import send_request


def set_command(context, priority):
    program = Path(sys.executable).with_name("berylctl")
    settings = context.fleet.folder / "berylctl.json"
    words = ["set", "app=cards", "--priority", str(priority), "--base-version", "1"]
    return [str(program), "--settings", str(settings), *words]


@when("two operators set the priority of app=cards on the same version")
def when_set_concurrently(context):
    processes = [
        subprocess.Popen(
            set_command(context, priority),
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
            text=True,
        )
        for priority in (5, 6)
    ]
    context.results = [(p.communicate()[1], p.returncode) for p in processes]


@then("one is accepted and the other exits 3 naming the accepted version")
def then_one_wins(context):
    assert sorted(status for _, status in context.results) == [0, 3], context.results
    loser = next(text for text, status in context.results if status == 3)
    assert "version 2 by" in loser, loser


def is_version_in_force(context, version):
    async def entries():
        for host in context.fleet.hosts:
            response = await send_request(
                host.address("entry_admin"), "GET", "/metrics"
            )
            if f"beryl_entry_config_version {version}.0" not in response.body.decode():
                return False
        return True

    planners = set(config_versions(context).values()) == {version}
    return planners and context.run(entries())


@then("every planner and entry has the accepted version in force")
def then_in_force(context):
    wait_until(
        context, lambda: is_version_in_force(context, 2), "version 2 everywhere", 11.0
    )


@given("three services of which two have the label owner=none")
def given_three_services(context):
    services = [
        {**SERVICE, "name": "one", "labels": {"owner": "none", "n": "1"}},
        {**SERVICE, "name": "two", "labels": {"owner": "none"}},
        {**SERVICE, "name": "three", "labels": {"owner": "art"}},
    ]
    apply_document(context, {"services": services})
    wait_until(context, lambda: is_version_in_force(context, 1), "version 1 everywhere")


@when("the operator retires owner=none")
def when_retires(context):
    preview = berylctl(context, "preview", "owner=none")
    context.matched = preview["services"]
    accepted = berylctl(context, "retire", "owner=none")
    assert accepted["matches"] == context.matched


@then("both matching services answer 410 as not run on every host")
def then_retired(context):
    assert context.matched == ["one", "two"]
    wait_until(context, lambda: is_version_in_force(context, 2), "version 2 everywhere")
    for index in range(len(context.fleet.hosts)):
        for name in ("one", "two"):
            response = context.run(send(context, index, "GET", f"/{name}/x"))
            assert response.status == 410, response
            assert response.header("beryl-outcome") == "not-run"


@then("the third service still answers")
def then_third_answers(context):
    for index in range(len(context.fleet.hosts)):
        assert context.run(send(context, index, "GET", "/three/x")).status == 200


@then('berylctl explains the service "{name}" by the rule')
def then_explains(context, name):
    records = berylctl(context, "explain", f"service/{name}")
    assert "retired" in records[0]["action"], records
    assert "owner=none" in records[0]["reason"], records


@when("the operator retires owner=none and it is in force")
def when_retired(context):
    berylctl(context, "retire", "owner=none")
    wait_until(context, lambda: is_version_in_force(context, 2), "version 2 everywhere")


@when("the entry of host 1 is killed and restarted")
def when_entry_restarted(context):
    context.fleet.kill("entry-host-1")
    context.fleet.start_entry(context.fleet.hosts[0])


@then("host 1 never answers for cards by a version older than 2")
def then_no_older_version(context):
    seen = set()

    def is_settled():
        response = context.run(send(context, 0, "GET", "/cards/x"))
        if response:
            assert response.header("beryl-outcome") == "not-run", response
            seen.add(response.header("beryl-code"))
        return "retired" in seen

    wait_until(context, is_settled, "version 2 on host 1", 15.0)
    assert seen <= {"retired", "configuration-unknown"}, seen


@when("every host is killed and the entry of host 1 is restarted")
def when_all_killed(context):
    for host in context.fleet.hosts:
        context.fleet.kill(f"entry-{host.host_id}")
        context.fleet.kill(f"planner-{host.host_id}")
    context.fleet.start_entry(context.fleet.hosts[0])


@then("host 1 refuses as not run with code {code}")
def then_refuses(context, code):
    def answered():
        context.first = context.run(send(context, 0, "GET", "/cards/x"))
        return context.first is not None

    wait_until(context, answered, "an answer of host 1", 15.0)
    assert context.first.header("beryl-code") == code, context.first
    assert context.first.header("beryl-outcome") == "not-run"
    assert context.first.status == 503


@when("jobs that match {selector} are retired")
def when_jobs_retired(context, selector):
    accepted = berylctl(context, "retire", selector, "--kind", "job")
    version = accepted["version"]
    wait_until(
        context, lambda: is_version_in_force(context, version), f"version {version}"
    )


@when("jobs that match {selector} are restored")
def when_jobs_restored(context, selector):
    assert berylctl(context, "retire", selector, "--kind", "job", "--undo")


@when('a job "{job_id}" with label kind=render is applied')
def when_labelled(context, job_id):
    apply_job(context, job_id, 4, 1, 0.5, labels={"kind": "render"})


@then('no task of "{job_id}" has started')
def then_not_started(context, job_id):
    assert not any(e.subject.startswith(job_id) for e in read_fleet_history(context))

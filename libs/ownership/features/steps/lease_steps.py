import random

import msgspec
from behave import then, when
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test
from lease_machine import LeaseMachine

from berylcleat.model import ConfigDocument, JobSpec, Resources
from berylcleat.ownership import (
    Assign,
    CellState,
    Claim,
    ConfigFollower,
    End,
    HeartbeatView,
    HostRow,
    JournalRow,
    apply_document,
    apply_heartbeats,
    apply_records,
    has_lapsed,
)


def run_histories(machine, n_histories, n_events):
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=n_histories,
            stateful_step_count=n_events,
            derandomize=True,
            database=None,
            deadline=None,
            phases=(Phase.generate,),
            suppress_health_check=list(HealthCheck),
        ),
    )


def find_violation(machine, n_histories, n_events):
    try:
        run_histories(machine, n_histories, n_events)
    except AssertionError as error:
        return str(error) or "unnamed invariant"
    return ""


@when("{n:d} generated histories of up to {length:d} events are run")
def when_histories_run(context, n, length):
    context.violation = find_violation(LeaseMachine, n, length)


def run_epoch_history(machine):
    """Delay an old owner's start until the new owner has renewed the lease."""
    machine.exchange_immediately(0, "w0")
    machine.commit(0)
    machine.send(0, "w0")
    machine.take_over()
    machine.exchange_immediately(1, "w0")
    machine.advance_clock(4.5)
    machine.exchange_immediately(1, "w1")
    machine.commit(1)
    machine.exchange_immediately(1, "w1")
    machine.exchange_immediately(1, "w0")
    machine.exchange_immediately(1, "w0")


def run_sequence_history(machine):
    """Delay a start until the reply to a newer request shows that nothing runs."""
    machine.exchange_immediately(0, "w0")
    machine.commit(0)
    machine.send(0, "w0")
    machine.cancel()
    machine.exchange_immediately(0, "w0")
    machine.commit(0)


def run_echo_history(machine):
    """Delay a start until its lease has lapsed and the task runs elsewhere."""
    machine.exchange_immediately(0, "w0")
    machine.commit(0)
    machine.send(0, "w0")
    machine.advance_clock(4.5)
    machine.exchange_immediately(0, "w1")
    machine.commit(0)
    machine.exchange_immediately(0, "w1")


def run_incarnation_history(machine):
    """Delay a start until the worker has restarted and lost its epoch."""
    machine.exchange_immediately(0, "w0")
    machine.commit(0)
    machine.send(0, "w0")
    machine.restart_worker("w0")
    machine.take_over()
    machine.exchange_immediately(1, "w0")
    machine.advance_clock(3.1)
    machine.exchange_immediately(1, "w1")
    machine.commit(1)
    machine.exchange_immediately(1, "w1")
    machine.restart_worker("w0")


HISTORIES = {
    "epoch": run_epoch_history,
    "sequence": run_sequence_history,
    "echo": run_echo_history,
    "incarnation": run_incarnation_history,
}


def violates_invariant(mechanism, without):
    """Return whether delivering the delayed request last violates an invariant."""
    machine_class = type("Machine", (LeaseMachine,), {"without": without, "n_tasks": 1})
    machine = machine_class()
    machine.start_first_owner()
    HISTORIES[mechanism](machine)
    assert len(machine.in_flight) == 1, machine.in_flight
    machine.each_task_runs_on_one_worker()
    machine.deliver(0, False)
    try:
        machine.each_task_runs_on_one_worker()
        machine.no_ended_task_runs()
    except AssertionError:
        return True
    return False


@when('the history "{mechanism}" is run with and without that check')
def when_scripted_history_runs(context, mechanism):
    context.violations = (
        violates_invariant(mechanism, ""),
        violates_invariant(mechanism, mechanism),
    )


@then("it violates an invariant only without the check")
def then_violated_only_without_check(context):
    assert context.violations == (False, True), context.violations


@then("no history violates an invariant")
def then_no_violation(context):
    assert not context.violation, context.violation


def random_journal(random_state, n_tasks):
    spec = JobSpec("job", n_tasks, Resources(1, 1))
    records = [Claim("c", spec, 0, n_tasks)]
    attempts = dict.fromkeys(range(n_tasks), 0)
    for _ in range(4 * n_tasks):
        index = random_state.randrange(n_tasks)
        task_id = f"job/{index}"
        if random_state.random() < 0.5:
            attempts[index] += 1
            worker = f"w{random_state.randrange(3)}"
            records.append(Assign("c", task_id, attempts[index], worker, "i"))
        else:
            outcome = random_state.choice(("finished", "failed", "lapsed"))
            records.append(End("c", task_id, attempts[index], outcome, 1.0))
    return records


@when("random journals are replayed with and without snapshots")
def when_journals_replayed(context):
    random_state = random.Random(7)
    context.state_pairs = []
    for _ in range(50):
        records = random_journal(random_state, random_state.randint(1, 8))
        full_replay = apply_records(CellState("c"), tuple(records))
        cut = random_state.randint(1, len(records))
        prefix = apply_records(CellState("c"), tuple(records[:cut]))
        row = msgspec.json.encode(
            JournalRow(0, (prefix.snapshot_record(), *records[cut:]))
        )
        read_back = msgspec.json.decode(row, type=JournalRow).records
        context.state_pairs.append(
            (full_replay, apply_records(CellState("c"), read_back))
        )


@then("both replays give the same state")
def then_same_state(context):
    for full_replay, from_snapshot in context.state_pairs:
        assert full_replay.task_by_id == from_snapshot.task_by_id
        assert full_replay.claims == from_snapshot.claims
        for worker in ("w0", "w1", "w2"):
            assert full_replay.assigned_to(worker) == from_snapshot.assigned_to(worker)


@when("heartbeats are observed late and the table does not answer")
def when_heartbeats_are_late(context):
    row = HostRow("h", "i", 1, "a")
    context.first_scan = apply_heartbeats(HeartbeatView(), ((row, 1),), 0.0, 4.0)
    context.unchanged_scan = apply_heartbeats(context.first_scan, (), 9.5, 9.9)
    changed = ((HostRow("h", "i", 2, "a"), 2),)
    context.changed_scan = apply_heartbeats(context.unchanged_scan, changed, 9.95, 10.0)


@then("a host lapses only after its row stayed unchanged for the whole lease")
def then_lapses_after_whole_lease(context):
    assert not has_lapsed(context.first_scan, "h.i", 5.0)
    assert has_lapsed(context.unchanged_scan, "h.i", 5.0)
    assert not has_lapsed(context.unchanged_scan, "h.i", 6.0)
    assert not has_lapsed(context.changed_scan, "h.i", 5.0)
    assert has_lapsed(context.changed_scan, "h.older", 5.0)
    assert not has_lapsed(HeartbeatView(), "h.i", 5.0)


@when("configuration documents arrive in random order")
def when_documents_arrive(context):
    random_state = random.Random(3)
    follower = ConfigFollower()
    context.versions = []
    for _ in range(500):
        follower = apply_document(follower, ConfigDocument(random_state.randrange(50)))
        context.versions.append(follower.document.version)


@then("the version in force never decreases")
def then_version_never_decreases(context):
    assert context.versions == sorted(context.versions)

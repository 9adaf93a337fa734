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


def play(machine, n_histories, n_events):
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


def broken_promise(machine, n_histories, n_events):
    try:
        play(machine, n_histories, n_events)
    except AssertionError as problem:
        return str(problem) or "a promise"
    return ""


@when("{n:d} histories of up to {length:d} events are played")
def when_played(context, n, length):
    context.broken = broken_promise(LeaseMachine, n, length)


def play_epoch(machine):
    """An old owner's start comes after the new owner has renewed the lease."""
    machine.exchange_at_once(0, "w0")
    machine.commit(0)
    machine.send(0, "w0")
    machine.take_over()
    machine.exchange_at_once(1, "w0")
    machine.advance(4.5)
    machine.exchange_at_once(1, "w1")
    machine.commit(1)
    machine.exchange_at_once(1, "w1")
    machine.exchange_at_once(1, "w0")
    machine.exchange_at_once(1, "w0")


def play_sequence(machine):
    """A start comes after a newer request has shown that nothing runs."""
    machine.exchange_at_once(0, "w0")
    machine.commit(0)
    machine.send(0, "w0")
    machine.cancel()
    machine.exchange_at_once(0, "w0")
    machine.commit(0)


def play_echo(machine):
    """A start comes after its lease has run out and the task runs elsewhere."""
    machine.exchange_at_once(0, "w0")
    machine.commit(0)
    machine.send(0, "w0")
    machine.advance(4.5)
    machine.exchange_at_once(0, "w1")
    machine.commit(0)
    machine.exchange_at_once(0, "w1")


def play_incarnation(machine):
    """A start comes to a worker that has restarted and forgotten its epoch."""
    machine.exchange_at_once(0, "w0")
    machine.commit(0)
    machine.send(0, "w0")
    machine.restart_worker("w0")
    machine.take_over()
    machine.exchange_at_once(1, "w0")
    machine.advance(3.1)
    machine.exchange_at_once(1, "w1")
    machine.commit(1)
    machine.exchange_at_once(1, "w1")
    machine.restart_worker("w0")


HISTORIES = {
    "epoch": play_epoch,
    "sequence": play_sequence,
    "echo": play_echo,
    "incarnation": play_incarnation,
}


def breaks(mechanism, without):
    """Play a history, deliver the oldest request last, and check the promises."""
    kind = type("Machine", (LeaseMachine,), {"without": without, "n_tasks": 1})
    machine = kind()
    machine.begin()
    HISTORIES[mechanism](machine)
    assert len(machine.in_flight) == 1, machine.in_flight
    machine.runs_in_one_place()
    machine.deliver(0, False)
    try:
        machine.runs_in_one_place()
        machine.nothing_runs_after_its_end()
    except AssertionError:
        return True
    return False


@when('the history "{mechanism}" is played with and without it')
def when_scripted(context, mechanism):
    context.verdicts = (breaks(mechanism, ""), breaks(mechanism, mechanism))


@then("it breaks a promise only without")
def then_only_without(context):
    assert context.verdicts == (False, True), context.verdicts


@then("none of them breaks a promise")
def then_none(context):
    assert not context.broken, context.broken


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


@when("random journals are folded with and without snapshots")
def when_folded(context):
    random_state = random.Random(7)
    context.pairs = []
    for _ in range(50):
        records = random_journal(random_state, random_state.randint(1, 8))
        whole = apply_records(CellState("c"), tuple(records))
        cut = random_state.randint(1, len(records))
        part = apply_records(CellState("c"), tuple(records[:cut]))
        row = msgspec.json.encode(
            JournalRow(0, (part.snapshot_record(), *records[cut:]))
        )
        read_back = msgspec.json.decode(row, type=JournalRow).records
        context.pairs.append((whole, apply_records(CellState("c"), read_back)))


@then("both states are the same")
def then_same(context):
    for whole, resumed in context.pairs:
        assert whole.task_by_id == resumed.task_by_id
        assert whole.claims == resumed.claims
        for worker in ("w0", "w1", "w2"):
            assert whole.assigned_to(worker) == resumed.assigned_to(worker)


@when("heartbeats are seen late, and the table is silent")
def when_beats(context):
    row = HostRow("h", "i", 1, "a")
    context.sightings = apply_heartbeats(HeartbeatView(), ((row, 1),), 0.0, 4.0)
    context.still = apply_heartbeats(context.sightings, (), 9.5, 9.9)
    beaten = ((HostRow("h", "i", 2, "a"), 2),)
    context.beaten = apply_heartbeats(context.still, beaten, 9.95, 10.0)


@then("a host lapses only after its row stood still for the whole lease")
def then_lapses(context):
    assert not has_lapsed(context.sightings, "h.i", 5.0)
    assert has_lapsed(context.still, "h.i", 5.0)
    assert not has_lapsed(context.still, "h.i", 6.0)
    assert not has_lapsed(context.beaten, "h.i", 5.0)
    assert has_lapsed(context.beaten, "h.older", 5.0)
    assert not has_lapsed(HeartbeatView(), "h.i", 5.0)


@when("documents arrive in any order")
def when_documents(context):
    random_state = random.Random(3)
    follower = ConfigFollower()
    context.versions = []
    for _ in range(500):
        follower = apply_document(follower, ConfigDocument(random_state.randrange(50)))
        context.versions.append(follower.document.version)


@then("the version in force never falls")
def then_rises(context):
    assert context.versions == sorted(context.versions)

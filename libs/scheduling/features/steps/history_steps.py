from behave import then, when
from cell_simulation import Simulation
from connection_simulation import ConnectionSimulation
from evacuation_simulation import EvacuationSimulation
from liveness_simulation import LivenessSimulation

SEED_LIMIT = 120
# Seconds without faults at the end of a history with evacuations, of which the tasks
# that wait for the withdrawal use up some.
CALM_AFTER_EVACUATIONS_S = 80.0


def simulate(
    random_state,
    length_s,
    disabled_mechanism="",
    n_cells=1,
    *,
    has_crashing_tasks=False,
    expected_finish=False,
    has_unaware_owners=False,
):
    sim = Simulation(
        random_state,
        disabled_mechanism,
        n_cells,
        has_crashing_tasks=has_crashing_tasks,
        expected_finish=expected_finish,
        has_unaware_owners=has_unaware_owners,
    )
    sim.simulate(length_s)
    return sim


@when(
    "{n:d} histories of {length:d} seconds with {n_cells:d} cells are simulated "
    "from seed {seed:d}"
)
def step_simulate(context, n, length, n_cells, seed):
    context.sims = {
        s: simulate(s, length, n_cells=n_cells) for s in range(seed, seed + n)
    }
    assert sum(sim.checker.n_starts for sim in context.sims.values()) > 10 * n


@when(
    "{n:d} histories of {length:d} seconds with {n_cells:d} cells and tasks that crash "
    "workers are simulated from seed {seed:d}"
)
def step_simulate_crashes(context, n, length, n_cells, seed):
    context.sims = {
        s: simulate(s, length, n_cells=n_cells, has_crashing_tasks=True)
        for s in range(seed, seed + n)
    }
    assert any(sim.checker.crashing_tasks for sim in context.sims.values())


@when(
    "{n:d} histories of {length:d} seconds with {n_cells:d} cells and evacuations are "
    "simulated from seed {seed:d}"
)
def step_simulate_evacuations(context, n, length, n_cells, seed):
    context.sims = {}
    for random_state in range(seed, seed + n):
        sim = EvacuationSimulation(random_state, n_cells=n_cells)
        sim.simulate(length, CALM_AFTER_EVACUATIONS_S)
        context.sims[random_state] = sim
    for name in ("n_evacuations", "n_starts_in_evacuated", "n_withheld", "n_relocated"):
        assert sum(getattr(sim, name) for sim in context.sims.values()) > 0, name


@then("no start was sent after the deadline, and no task relocated beyond its bound")
def step_no_late_start(context):
    found = [
        (seed, text)
        for seed, sim in context.sims.items()
        for text in sim.checker.violations
        if is_evacuation_violation(text)
    ]
    assert not found, found[:3]


def is_evacuation_violation(text):
    return "after the request" in text or "is relocated" in text


@when(
    "histories with evacuations are simulated without the {mechanism} until one is late"
)
def step_simulate_late(context, mechanism):
    context.violation = None
    for seed in range(1, SEED_LIMIT):
        sim = EvacuationSimulation(seed, mechanism, n_cells=3)
        sim.simulate(40, 0.0)
        late = [text for text in sim.checker.violations if "after the request" in text]
        if late:
            context.violation = late[0]
            return


@when(
    "{n:d} histories of {length:d} seconds with {n_cells:d} cells and tasks ordered by "
    "expected finish are simulated from seed {seed:d}"
)
def step_simulate_expected_finish(context, n, length, n_cells, seed):
    context.sims = {
        s: simulate(s, length, n_cells=n_cells, expected_finish=True)
        for s in range(seed, seed + n)
    }
    assert sum(sim.checker.n_starts for sim in context.sims.values()) > 10 * n


@when(
    "{n:d} histories of {length:d} seconds with {n_cells:d} cells and owners that "
    "learn late are simulated from seed {seed:d}"
)
def step_simulate_unaware(context, n, length, n_cells, seed):
    context.sims = {
        s: simulate(s, length, n_cells=n_cells, has_unaware_owners=True)
        for s in range(seed, seed + n)
    }


@when(
    "{n:d} histories of {length:d} seconds with {n_cells:d} cells and changing "
    "capacity are simulated from seed {seed:d}"
)
def step_simulate_changing(context, n, length, n_cells, seed):
    context.sims = {}
    for random_state in range(seed, seed + n):
        sim = LivenessSimulation(random_state, n_cells)
        sim.simulate(length)
        context.sims[random_state] = sim
    for name in ("n_shrunk", "n_killed"):
        assert sum(getattr(sim, name) for sim in context.sims.values()) > 0, name


@when(
    "{n:d} histories of {length:d} seconds with {n_cells:d} cells and late "
    "connections are simulated from seed {seed:d}"
)
def step_simulate_connections(context, n, length, n_cells, seed):
    context.sims = {}
    for random_state in range(seed, seed + n):
        sim = ConnectionSimulation(random_state, n_cells=n_cells)
        sim.simulate(length)
        context.sims[random_state] = sim
    for name in ("n_opened", "n_probes", "n_refused"):
        assert sum(getattr(sim, name) for sim in context.sims.values()) > 0, name


@when(
    'histories with late connections are simulated without "{mechanism}" until a task '
    "runs twice"
)
def step_simulate_without_connections(context, mechanism):
    context.violation = None
    for seed in range(1, SEED_LIMIT):
        sim = ConnectionSimulation(seed, mechanism, n_cells=4)
        sim.simulate(40)
        twice = [text for text in sim.checker.violations if "runs twice" in text]
        if twice:
            context.violation = twice[0]
            return


@then("no work waited for long beside free capacity")
def step_none_waited(context):
    waited = {seed: sim.liveness.violations for seed, sim in context.sims.items()}
    found = {seed: list(texts.values())[:3] for seed, texts in waited.items() if texts}
    assert not found, found


@then("no task ran twice, before its dependencies, or beyond its attempts")
def step_no_violation(context):
    violations = {
        seed: [text for text in sim.checker.violations if "recorded" not in text]
        for seed, sim in context.sims.items()
    }
    found = {seed: texts[:3] for seed, texts in violations.items() if texts}
    assert not found, found


@then("no end was acknowledged before it was recorded")
def step_recorded(context):
    found = [
        text
        for sim in context.sims.values()
        for text in sim.checker.violations
        if "recorded" in text
    ]
    assert not found, found[:3]


@then("every submission has ended in every history")
def step_ended(context):
    left = {seed: sim.unfinished_submissions() for seed, sim in context.sims.items()}
    left = {seed: ids for seed, ids in left.items() if ids}
    assert not left, left


@when('histories are simulated without "{mechanism}" until an invariant is violated')
def step_simulate_without(context, mechanism):
    context.violation = None
    for seed in range(1, SEED_LIMIT):
        # Only an owner that learns late starts a task that moves here after a takeover,
        # or takes a run for lost that its successor knows.
        is_late = mechanism in ("epoch in a move", "confirmation by the store")
        sim = simulate(seed, 40, mechanism, n_cells=2, has_unaware_owners=is_late)
        if sim.checker.violations:
            context.violation = sim.checker.violations[0]
            return


@then("a violation was found")
def step_violation_found(context):
    assert context.violation, "no history violated an invariant"


@then("tasks were moved between cells")
def step_tasks_moved(context):
    assert any(sim.moves_by_id for sim in context.sims.values())

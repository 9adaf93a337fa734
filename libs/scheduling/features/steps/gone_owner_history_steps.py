"""Steps of simulated histories in which an owner and a worker never come back."""

from behave import when
from gone_owner_simulation import DRAWN_FAULTS, GoneOwnerSimulation, OwnerFault

SEED_LIMIT = 120
N_CELLS = 2


@when(
    "{n:d} histories of {length:d} seconds with {n_cells:d} cells and a pair that "
    "never comes back are simulated from seed {seed:d}"
)
def step_simulate(context, n, length, n_cells, seed):
    context.sims = {}
    for random_state in range(seed, seed + n):
        sim = GoneOwnerSimulation(random_state, n_cells=n_cells)
        sim.simulate(length, 0.0)
        context.sims[random_state] = sim
    for fault in DRAWN_FAULTS:
        assert any(sim.n_by_fault[fault] for sim in context.sims.values()), fault
    assert sum(sim.n_silent_runs for sim in context.sims.values()) > n


@when(
    "{n:d} histories of {length:d} seconds with {n_cells:d} cells and an owner whose "
    "heartbeats fail are simulated from seed {seed:d}"
)
def step_simulate_heartbeats(context, n, length, n_cells, seed):
    context.sims = {}
    for random_state in range(seed, seed + n):
        sim = GoneOwnerSimulation(
            random_state, n_cells=n_cells, faults=(OwnerFault.HEARTBEATS_FAIL,)
        )
        sim.simulate(length, 0.0)
        context.sims[random_state] = sim
    assert all(sim.n_by_fault.total() for sim in context.sims.values())


@when(
    'histories with a pair that never comes back are simulated without "{mechanism}" '
    "until a task runs twice"
)
def step_simulate_without(context, mechanism):
    context.violation = find_second_run(mechanism, DRAWN_FAULTS)


@when(
    "histories with an owner whose heartbeats fail are simulated without "
    '"{mechanism}" until a task runs twice'
)
def step_simulate_heartbeats_without(context, mechanism):
    context.violation = find_second_run(mechanism, (OwnerFault.HEARTBEATS_FAIL,))


def find_second_run(mechanism: str, faults: tuple[OwnerFault, ...]) -> str | None:
    """Return the first second run of a task in histories without a mechanism."""
    for seed in range(1, SEED_LIMIT):
        sim = GoneOwnerSimulation(seed, mechanism, n_cells=N_CELLS, faults=faults)
        sim.simulate(40, 0.0)
        twice = [text for text in sim.checker.violations if "runs twice" in text]
        if twice:
            return twice[0]
    return None

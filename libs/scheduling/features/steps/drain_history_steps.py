"""Steps of simulated histories in which workers drain and are cut off."""

from behave import when
from drain_simulation import DrainConnectionSimulation, DrainSimulation

SEED_LIMIT = 120
# Seconds without faults at the end of a history: the runs are longer than in others,
# and work waits while its workers are gone.
CALM_S = 80.0
N_CELLS = 2
LONG_LEASE_S = 5.0


def simulate_all(sims: dict, length_s: float) -> dict:
    """Simulate histories and check that their faults have occurred."""
    for sim in sims.values():
        sim.simulate(length_s, CALM_S)
    for name in ("n_exits", "n_cuts", "n_mistakable", "n_recorded_leases"):
        assert sum(getattr(sim, name) for sim in sims.values()) > 0, name
    return sims


@when(
    "{n:d} histories of {length:d} seconds with {n_cells:d} cells and draining workers "
    "that get leases of {lease:d} s are simulated from seed {seed:d}"
)
def step_simulate(context, n, length, n_cells, lease, seed):
    sims = {
        s: DrainSimulation(s, n_cells=n_cells, draining_lease_s=float(lease))
        for s in range(seed, seed + n)
    }
    context.sims = simulate_all(sims, length)


@when(
    "{n:d} histories of {length:d} seconds with draining workers and owners that learn "
    "late are simulated from seed {seed:d}"
)
def step_simulate_unaware(context, n, length, seed):
    sims = {
        s: DrainSimulation(s, n_cells=N_CELLS, has_unaware_owners=True)
        for s in range(seed, seed + n)
    }
    context.sims = simulate_all(sims, length)


@when(
    "{n:d} histories of {length:d} seconds with draining workers and late connections "
    "are simulated from seed {seed:d}"
)
def step_simulate_connections(context, n, length, seed):
    seeds = range(seed, seed + n)
    sims = {s: DrainConnectionSimulation(s, n_cells=N_CELLS) for s in seeds}
    context.sims = simulate_all(sims, length)


@when(
    'histories with draining workers are simulated without "{mechanism}" until a task '
    "runs twice"
)
def step_simulate_without(context, mechanism):
    context.violation = None
    for seed in range(1, SEED_LIMIT):
        # An owner that doesn't wait is found sooner if leases outlast the entries.
        sim = DrainSimulation(
            seed, mechanism, n_cells=N_CELLS, draining_lease_s=LONG_LEASE_S
        )
        sim.simulate(40, 0.0)
        twice = [text for text in sim.checker.violations if "runs twice" in text]
        if twice:
            context.violation = twice[0]
            return

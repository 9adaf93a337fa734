"""Steps of simulated histories of cells that change their owner several times."""

from behave import when
from gone_owner_simulation import OwnerFault
from owner_chain_simulation import CARRIED_OUT, LATE, NEVER, OwnerChainSimulation

SEED_LIMIT = 120
# Seconds without faults at the end, in which late orders are still carried out.
CALM_S = 10.0


def simulate(n, length, n_cells, seed, **options):
    sims = {}
    for random_state in range(seed, seed + n):
        sim = OwnerChainSimulation(random_state, n_cells=n_cells, **options)
        sim.simulate(length, CALM_S)
        sims[random_state] = sim
    for fault in (OwnerFault.RESTARTED, OwnerFault.CUT_OFF_FROM_STORE):
        assert any(sim.n_by_fault[fault] for sim in sims.values()), fault
    for order in ("HoldOrder", "StartOrder", "StopOrder"):
        for loss in (CARRIED_OUT, LATE, NEVER):
            n_lost = sum(sim.n_by_loss[(order, loss)] for sim in sims.values())
            assert n_lost, (order, loss)
    assert any(sim.n_yielded() for sim in sims.values())
    return sims


@when(
    "{n:d} histories of {length:d} seconds with {n_cells:d} cells and owners in chains "
    "are simulated from seed {seed:d}"
)
def step_simulate(context, n, length, n_cells, seed):
    context.sims = simulate(n, length, n_cells, seed)


@when(
    "{n:d} histories of {length:d} seconds with {n_cells:d} cells, owners in chains "
    "and unreadable rows are simulated from seed {seed:d}"
)
def step_simulate_unreadable(context, n, length, n_cells, seed):
    context.sims = simulate(n, length, n_cells, seed, has_unreadable_rows=True)
    assert sum(sim.n_unreadable for sim in context.sims.values()) > n


@when(
    "{n:d} histories of {length:d} seconds with {n_cells:d} cells, owners in chains "
    "and failing reports are simulated from seed {seed:d}"
)
def step_simulate_failing(context, n, length, n_cells, seed):
    context.sims = simulate(n, length, n_cells, seed, has_failing_reports=True)
    assert sum(sim.n_failing for sim in context.sims.values()) > n


@when(
    'histories with owners in chains are simulated without "{mechanism}" until a task '
    "runs twice"
)
def step_simulate_without(context, mechanism):
    context.violation = None
    for seed in range(1, SEED_LIMIT):
        sim = OwnerChainSimulation(seed, mechanism, n_cells=2)
        sim.simulate(40, CALM_S)
        twice = [text for text in sim.checker.violations if "runs twice" in text]
        if twice:
            context.violation = twice[0]
            return

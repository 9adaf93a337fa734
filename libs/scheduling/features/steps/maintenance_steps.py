from dataclasses import replace

from behave import given, then, when
from wave_simulation import WaveSimulation

from berylcleat.ports import Machine, MachineState
from berylcleat.scheduling import (
    FreeSlot,
    MachineList,
    MachinePhase,
    MachineRecord,
    MaintenanceCell,
    MaintenanceWave,
    ReportState,
    RequestMaintenance,
    TakeSlot,
    WaveRecord,
    WaveState,
    WorkerOccupancy,
    apply_actions,
    plan_maintenance,
)

TAKEN_AT_S = 1000.0


def describe(action, wall_ms):
    match action:
        case TakeSlot():
            left_s = (action.terminate_at_ms - wall_ms) / 1000
            return f"take {action.machine_id} for {left_s:.1f} s"
        case RequestMaintenance():
            return f"request {action.machine_id}"
        case FreeSlot():
            return f"free {action.machine_id} ({action.reason})"
        case ReportState():
            return f"report {action.state.value}"


@when("{n:d} waves of {n_machines:d} machines, 2 at a time, are simulated with faults")
def step_simulate_faults(context, n, n_machines):
    sims = [WaveSimulation(i, n_machines, 2, 60, has_faults=True) for i in range(n)]
    context.late = [seed for seed, sim in enumerate(sims) if not sim.run(600)]


@when(
    "{n:d} waves of {n_machines:d} machines, {n_max:d} at a time, are simulated within "
    "{by:d} s, some that can't be emptied: {stuck}"
)
def step_simulate_in_time(context, n, n_machines, n_max, by, stuck):
    context.late = []
    for seed in range(n):
        sim = WaveSimulation(seed, n_machines, n_max, by, has_faults=False)
        for machine in list(sim.machines.values())[1:4] if stuck == "yes" else ():
            machine.n_protected = 1
        sim.run(by)
        for machine in sim.machines.values():
            if machine.begun_at is None and not machine.n_protected:
                context.late.append((seed, machine.name))


@then("no wave or machine is late")
def step_in_time(context):
    assert not context.late, context.late


@given("machines {machines} of a wave with at most 1 down")
def step_machines(context, machines):
    context.listed, context.occupancies, entries = [], {}, {}
    context.machines, context.earlier = MachineList(), []
    words = [word.split(":") for word in machines.split()]
    for name, state, runs, *rest in words:
        is_seen = rest[1:] in (["seen"], ["shared"])
        worker = f"{name}-new" if rest[1:] == ["new"] or is_seen else name
        if is_seen:
            earlier_states = (MachineState.UP, MachineState.MAINTENANCE)
            context.earlier = [[Machine(name, s, name)] for s in earlier_states]
            context.machines.on_requested(1, [name], TAKEN_AT_S)
        if rest[1:] == ["shared"]:
            context.machines.on_requested(2, [name], TAKEN_AT_S)
        if state != "gone":
            context.listed.append(Machine(name, MachineState(state), worker))
        n_runs = int(runs.removeprefix("p"))
        context.occupancies[worker] = WorkerOccupancy(
            n_runs == 0, runs.startswith("p"), bool(rest), n_runs
        )
        if rest and rest[0] != "unknown":
            epoch = 4 if rest[0] == "overtaken" else 2
            has_call = rest[0] in ("confirmed", "overtaken")
            phase = MachinePhase("requested" if has_call else rest[0])
            due_ms = int(TAKEN_AT_S + 5) * 1000
            entries[name] = MachineRecord(phase, epoch, "r1", name, due_ms)
        if rest and rest[0] == "confirmed":
            context.machines.on_maintenance_begun(1, name, name, TAKEN_AT_S + 3)
    began_ms = int(TAKEN_AT_S - 10) * 1000
    is_new = words[0][3:] == ["unknown"]
    state = None if is_new else WaveState.RUNNING
    # Its time is shorter than before.
    is_rewritten = words[0][4:] == ["rewritten"]
    context.record = WaveRecord(5, began_ms, state, entries)
    names = tuple(word[0] for word in words)
    wave = MaintenanceWave(1, names, 1, 60.0, 5)
    if is_rewritten:
        wave = replace(wave, complete_by_s=6.0, version=6)
    context.read_age_s = 2.1 if words[0][4:] == ["unread"] else 0.0
    if words[0][4:] == ["outdated"]:
        wave = replace(wave, version=4)
    context.wave = None if words[0][4:] == ["removed"] else wave


@when("the owner of {owned:g} s plans {age:g} s after the slot was taken")
def step_plan(context, owned, age):
    now = TAKEN_AT_S + age
    reads = [*(context.earlier or 2 * [context.listed]), context.listed]
    for age_s, listed in zip((10, 5, context.read_age_s), reads, strict=True):
        context.machines.observe(listed, now - age_s)
    may_call_at = now - owned + 3.0
    cell = MaintenanceCell("r1", 3, may_call_at, context.occupancies)
    actions = plan_maintenance(
        context.wave, context.record, context.machines, cell, now, now * 1000
    )
    context.actions = [describe(action, now * 1000) for action in actions]
    # A call may be on its way while a machine's phase is "requested".
    record = apply_actions(context.record, actions, cell)
    for name, entry in record.machine_by_id.items():
        known = context.record.machine_by_id.get(name, entry)
        if entry.terminate_at_ms < known.terminate_at_ms:
            left_s = entry.terminate_at_ms / 1000 - now
            context.actions.append(f"keep {name} for {left_s:.1f} s")
        if known.phase is not entry.phase:
            assert entry.phase is not MachinePhase.EMPTYING, name


@then("it plans: {actions}")
def step_actions(context, actions):
    found = ", ".join(context.actions) or "nothing"
    assert found == actions, found

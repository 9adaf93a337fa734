"""Maintenance waves of three cells against a simulated store and machine service."""

import random
from dataclasses import dataclass, field

from berylcleat.ports import Machine, MachineState
from berylcleat.scheduling import (
    MACHINE_LEASE_S,
    MachineList,
    MaintenanceCell,
    MaintenanceWave,
    ReportState,
    RequestMaintenance,
    WaveRecord,
    WaveState,
    WorkerOccupancy,
    apply_actions,
    cordoned_workers,
    decode_wave_record,
    encode_wave_record,
    plan_maintenance,
)

TICK_S = 0.2
MAINTENANCE_S = 2.0
BEGAN_AT = 100.0


@dataclass
class SimulatedMachine:
    """Machine with the ends of its runs and the number of protected ones."""

    name: str
    cell_id: str
    state: MachineState = MachineState.UP
    n_workers: int = 0
    ends: list[float] = field(default_factory=list)
    n_protected: int = 0
    up_at: float = 0.0
    token: int = 0
    begun_at: float | None = None

    def to_listed(self):
        worker_id = f"{self.name}-{self.n_workers}"
        is_up = self.state is MachineState.UP
        return Machine(self.name, self.state, worker_id if is_up else "")

    def end_worker(self, state, now):
        self.state, self.up_at = state, now + MAINTENANCE_S
        self.ends, self.n_protected = [], 0


@dataclass
class Owner:
    """Owner of a cell on a host of its own."""

    epoch: int = 1
    may_call_at: float = 0.0
    record: WaveRecord = field(default_factory=WaveRecord)
    version: int = 0
    machines: MachineList = field(default_factory=MachineList)


class WaveSimulation:
    """One wave; ``has_faults`` adds takeovers, crashes, and lost calls and answers."""

    def __init__(self, seed, n_machines, max_down, complete_by_s, *, has_faults):
        self.random = random.Random(seed)
        self.has_faults = has_faults
        self.now = BEGAN_AT
        self.owners = {f"r{n}": Owner() for n in range(3)}
        names = tuple(f"m{n}" for n in range(n_machines))
        self.machines = {
            name: SimulatedMachine(
                name,
                f"r{n % 3}",
                ends=[self._run_end() for _ in range(n % 4)],
                n_protected=2 * (n % 2) * has_faults,
            )
            for n, name in enumerate(names)
        }
        self.wave = MaintenanceWave(1, names, max_down, complete_by_s, version=7)
        self.value, self.version = encode_wave_record(WaveRecord()), 0
        self.is_done = False
        self.calls = []

    def _run_end(self):
        return self.now + self.random.uniform(1, 60 if self.has_faults else 600)

    def _fails(self, probability):
        return self.has_faults and self.random.random() < probability

    def run(self, seconds):
        """Run until the wave is done; return whether it is within ``seconds``."""
        while self.now < BEGAN_AT + seconds and not self.is_done:
            self.now = round(self.now + TICK_S, 3)
            for machine in self.machines.values():
                self._run_machine(machine)
            for cell_id in self.owners:
                self._run_owner(cell_id)
            due = [call for call in self.calls if call[0] <= self.now]
            self.calls = [call for call in self.calls if call[0] > self.now]
            for _, machine, owner, is_answered in due:
                self._execute(machine, owner, is_answered)
        return self.is_done

    def _run_machine(self, machine):
        if machine.state is not MachineState.UP and self.now >= machine.up_at:
            machine.state = MachineState.UP
            machine.n_workers += 1
        machine.ends = [end for end in machine.ends if end > self.now]
        if machine.state is MachineState.UP and self._fails(0.0005):
            machine.end_worker(MachineState.DOWN, self.now)

    def _run_owner(self, cell_id):
        owner = self.owners[cell_id]
        if self._fails(0.005):
            record = decode_wave_record(self.value)
            owner = Owner(owner.epoch + 1, self.now + MACHINE_LEASE_S, record)
            self.owners[cell_id] = owner
        if self.now - owner.machines.read_sent_at >= 1.0 and not self._fails(0.2):
            listed = [m.to_listed() for m in self.machines.values()]
            owner.machines.observe(listed, self.now)
        if owner.version != self.version and not self._fails(0.3):
            owner.record, owner.version = decode_wave_record(self.value), self.version
        cell = self._cell(cell_id, owner)
        wall_ms = (self.now + 1e6) * 1000  # It differs from the monotonic clock.
        actions = plan_maintenance(
            self.wave, owner.record, owner.machines, cell, self.now, wall_ms
        )
        if self._commit(owner, cell, actions):
            for action in actions:
                if isinstance(action, RequestMaintenance) and not self._fails(0.2):
                    due_at = self.now + self.has_faults * self.random.random()
                    machine = self.machines[action.machine_id]
                    self.calls.append((due_at, machine, owner, not self._fails(0.3)))

    def _commit(self, owner, cell, actions):
        """Commit a plan; return whether the owner knows that it is committed."""
        record = apply_actions(owner.record, actions, cell)
        if record == owner.record:
            return True
        if owner.version != self.version:
            return False
        self.value, self.version = encode_wave_record(record), self.version + 1
        if any(a.state is WaveState.DONE for a in actions if type(a) is ReportState):
            late = [m.name for m in self.machines.values() if m.begun_at is None]
            assert not late, f"done before the maintenance of {late}"
            self.is_done = True
        if self._fails(0.1):
            return False
        owner.record, owner.version = record, self.version
        return True

    def _cell(self, cell_id, owner):
        occupancies = {}
        cell = MaintenanceCell(cell_id, owner.epoch, owner.may_call_at, occupancies)
        cordoned = cordoned_workers(self.wave, owner.record, cell)
        for machine in self.machines.values():
            worker_id = machine.to_listed().worker_id
            if machine.cell_id != cell_id or not worker_id:
                continue
            is_cordoned = worker_id in cordoned
            if not is_cordoned and self.random.random() < 0.02:
                machine.ends.append(self._run_end())
                machine.n_protected += self._fails(0.1)
            elif is_cordoned and machine.n_protected and self._fails(0.03):
                machine.n_protected -= 1
            n_runs = len(machine.ends) + machine.n_protected
            occupancies[worker_id] = WorkerOccupancy(
                n_runs == 0, machine.n_protected > 0, is_cordoned, n_runs
            )
        return cell

    def _execute(self, machine, owner, is_answered):
        if owner.epoch < machine.token:
            return
        if machine.begun_at is None:
            if machine.state is not MachineState.UP:
                return
            assert machine.n_protected == 0, f"{machine.name}: protected task ended"
            machine.begun_at, machine.token = self.now, owner.epoch
            machine.end_worker(MachineState.MAINTENANCE, self.now)
            states = [m.state for m in self.machines.values()]
            assert states.count(MachineState.MAINTENANCE) <= self.wave.max_down
        if is_answered:
            worker_id = owner.record.machine_by_id[machine.name].worker_id
            owner.machines.on_maintenance_begun(1, machine.name, worker_id, self.now)

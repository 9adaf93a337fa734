"""Maintenance wave, its shared record and the actions that change the record."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from berylcleat.model import decode_json


class MachinePhase(Enum):
    """Phase of a machine in a wave; it holds a slot unless it is ``DONE``."""

    EMPTYING = "emptying"
    REQUESTED = "requested"
    DONE = "done"


class WaveState(Enum):
    """State of a wave as reported to the operator."""

    RUNNING = "running"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class MaintenanceWave:
    """Operator's request to maintain machines, at most ``max_down`` at a time.

    Each must begin its maintenance within ``complete_by_s`` seconds. ``version`` is the
    store's version of the request: the time counts anew when it is written again.
    ``learned_at_ms`` (wall clock) is when the host read this version, 0 if unknown: the
    time then counts from the first plan.
    """

    wave_id: int
    machine_ids: tuple[str, ...]
    max_down: int
    complete_by_s: float
    version: int = 0
    learned_at_ms: int = 0


class MachineRecord(msgspec.Struct, frozen=True, array_like=True):
    """Phase of one machine, set by the owner of ``cell_id`` under ``epoch``.

    ``worker_id`` is the machine's worker before its maintenance. From
    ``terminate_at_ms`` (wall clock) on, tasks that don't end are terminated.
    """

    phase: MachinePhase
    epoch: int
    cell_id: str
    worker_id: str
    terminate_at_ms: int


class WaveRecord(msgspec.Struct, frozen=True, array_like=True):
    """Shared state of a wave, stored once and changed by conditional commits only.

    ``began_at_ms`` (wall clock) is when the request of ``version`` became known.
    ``deferred_until_ms`` holds machines that gave their slot back because a task on
    them must not be terminated.
    """

    version: int = 0
    began_at_ms: int = 0
    # None before the first report.
    reported_state: WaveState | None = None
    machine_by_id: dict[str, MachineRecord] = {}
    deferred_until_ms: dict[str, int] = {}


_decoder = msgspec.json.Decoder(WaveRecord)


@dataclass(frozen=True, slots=True)
class WorkerOccupancy:
    """Whether a worker's machine can be taken down.

    ``forbids_maintenance`` is true while a long-running task with ``max_unavailable``
    runs on it, or may run. ``n_runs`` is the number of runs known.
    """

    is_empty: bool
    forbids_maintenance: bool
    is_cordoned: bool = False
    n_runs: int = 0


@dataclass(frozen=True, slots=True)
class MaintenanceCell:
    """Owned cell, as the planner needs it.

    ``may_call_at`` is when the owner may send its first call: ``MACHINE_LEASE_S`` after
    it acquired the cell, or at once if the previous owner has confirmed its stop. The
    occupancies are those of all workers of the cell.
    """

    cell_id: str
    epoch: int
    may_call_at: float
    occupancy_by_worker: Mapping[str, WorkerOccupancy] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class TakeSlot:
    """Begin to empty a machine; it holds a slot once this is committed."""

    machine_id: str
    worker_id: str
    terminate_at_ms: int


@dataclass(frozen=True, slots=True)
class RequestMaintenance:
    """Commit the phase ``REQUESTED`` under the owner's epoch, then call the service.

    It is planned again, with the record unchanged, until the maintenance has begun:
    ``apply_actions`` then returns an equal record and only the call is repeated.
    """

    machine_id: str
    worker_id: str


@dataclass(frozen=True, slots=True)
class FreeSlot:
    """Free a machine's slot: its maintenance is over, or it didn't take place.

    ``reason`` is "done", "gone", "withdrawn" or "deferred". Only after "done" the
    machine counts as maintained; ``worker_id`` is then the worker that has ended, empty
    if the machine had been maintained before. ``retry_at_ms`` is when a deferred one
    may be emptied again.
    """

    machine_id: str
    reason: str
    worker_id: str = ""
    retry_at_ms: int = 0


@dataclass(frozen=True, slots=True)
class ReportState:
    """Write the wave's status row, in the commit that changes its record.

    ``terminate_by_ms`` (wall clock), unless 0, bounds ``terminate_at_ms`` of the
    machines that hold a slot: a request that is written again may leave less time.
    """

    state: WaveState
    version: int
    began_at_ms: int
    terminate_by_ms: int = 0


MaintenanceAction = TakeSlot | RequestMaintenance | FreeSlot | ReportState


def apply_actions(
    record: WaveRecord,
    actions: Iterable[MaintenanceAction],
    cell: MaintenanceCell,
) -> WaveRecord:
    """Return the record to commit for the actions of a plan."""
    machine_by_id = dict(record.machine_by_id)
    deferred_until_ms = dict(record.deferred_until_ms)
    version, began_at_ms = record.version, record.began_at_ms
    state = record.reported_state
    for action in actions:
        match action:
            case ReportState():
                state, version = action.state, action.version
                began_at_ms = action.began_at_ms
                if action.terminate_by_ms:
                    machine_by_id = _bound_ends(machine_by_id, action.terminate_by_ms)
            case TakeSlot():
                deferred_until_ms.pop(action.machine_id, None)
                # A call that was sent for an earlier worker may still be on its way.
                entry = machine_by_id.get(action.machine_id)
                machine_by_id[action.machine_id] = MachineRecord(
                    entry.phase if entry else MachinePhase.EMPTYING,
                    cell.epoch,
                    cell.cell_id,
                    action.worker_id,
                    action.terminate_at_ms,
                )
            case RequestMaintenance():
                machine_by_id[action.machine_id] = msgspec.structs.replace(
                    machine_by_id[action.machine_id],
                    phase=MachinePhase.REQUESTED,
                    epoch=cell.epoch,
                )
            case FreeSlot(reason="done"):
                machine_by_id[action.machine_id] = msgspec.structs.replace(
                    machine_by_id[action.machine_id],
                    phase=MachinePhase.DONE,
                    epoch=cell.epoch,
                    worker_id=action.worker_id,
                )
            case FreeSlot():
                del machine_by_id[action.machine_id]
                if action.retry_at_ms:
                    deferred_until_ms[action.machine_id] = action.retry_at_ms
    return WaveRecord(version, began_at_ms, state, machine_by_id, deferred_until_ms)


def _bound_ends(
    machine_by_id: Mapping[str, MachineRecord], terminate_by_ms: int
) -> dict[str, MachineRecord]:
    return {
        machine_id: entry
        if entry.phase is MachinePhase.DONE
        else msgspec.structs.replace(
            entry, terminate_at_ms=min(entry.terminate_at_ms, terminate_by_ms)
        )
        for machine_id, entry in machine_by_id.items()
    }


def cordoned_workers(
    wave: MaintenanceWave | None, record: WaveRecord, cell: MaintenanceCell
) -> frozenset[str]:
    """Return the workers of a cell on which nothing may start because of a wave.

    Pass the union of all waves to ``CellScheduler.set_cordoned`` before each plan. A
    worker stays among them after its maintenance, so that its end isn't taken for a
    crash; the machine's next worker isn't.
    """
    if wave is None:
        return frozenset()
    wanted = frozenset(wave.machine_ids)
    if record.version > wave.version:
        # The request that this host doesn't know yet may name other machines.
        wanted = frozenset(record.machine_by_id)
    return frozenset(
        entry.worker_id
        for machine_id, entry in record.machine_by_id.items()
        if machine_id in wanted and entry.cell_id == cell.cell_id and entry.worker_id
    )


def encode_wave_record(record: WaveRecord) -> bytes:
    """Return a record in its stored form, JSON."""
    return msgspec.json.encode(record)


def decode_wave_record(value: bytes) -> WaveRecord:
    """Return a stored record.

    Raises ``MalformedValueError`` if it is malformed.
    """
    return decode_json(_decoder, value)

"""Plan of a maintenance wave: which machines are emptied and taken down, and when."""

from collections.abc import Mapping

from berylcleat.ports import Machine, MachineState

from ._machine_list import MACHINE_GONE_S, MachineList
from ._wave_record import (
    FreeSlot,
    MachinePhase,
    MachineRecord,
    MaintenanceAction,
    MaintenanceCell,
    MaintenanceWave,
    ReportState,
    RequestMaintenance,
    TakeSlot,
    WaveRecord,
    WaveState,
)

# Seconds after the acquisition of a cell before the first call for its machines: a call
# of the previous owner may still be executed until then.
MACHINE_LEASE_S = 3.0
# Seconds after which the owners of other cells also free the slot of a gone machine:
# its own cell may have no owner any more.
ORPHANED_SLOT_S = 15.0
# Seconds from the call until the slot can be free again: 2 s of maintenance, a read of
# the list each second, and the commits.
DOWN_S = 4.0
# Seconds after a confirmed call in which the same worker is still listed until the
# maintenance counts as over: then it was confirmed because it had been done before.
SAME_WORKER_S = 4.0
# Maximum age in seconds of the read of the list by which a machine is taken down: by
# now it may have another worker, with tasks that must not be terminated.
MAX_READ_AGE_S = 2.0
# Seconds by which a host may learn of a wave late.
NOTICE_S = 1.0
# Seconds in which a step with a ``max_unavailable`` of 1 moves one task.
MOVE_ONE_S = 6.0


def plan_maintenance(
    wave: MaintenanceWave | None,
    record: WaveRecord,
    machines: MachineList,
    cell: MaintenanceCell,
    now: float,
    wall_ms: float,
) -> tuple[MaintenanceAction, ...]:
    """Return what the owner of a cell does for a wave, None if it was removed.

    ``now`` is the host's monotonic clock in seconds, ``wall_ms`` the wall clock in
    milliseconds. All actions of a plan go into one commit, conditional on the version
    of ``record``; after a conflict, plan again with the present record. ``machines``
    takes note of the requests in ``record``, which the plans of other waves need.
    """
    if wave is not None:
        requested = [
            entry.worker_id
            for entry in record.machine_by_id.values()
            if entry.phase is not MachinePhase.EMPTYING
            and entry.worker_id
            and entry.cell_id == cell.cell_id
        ]
        machines.on_requested(wave.wave_id, requested, now)
    planner = _WavePlanner(wave, record, machines, cell, now, int(wall_ms))
    return tuple(planner.plan())


class _WavePlanner:
    """One plan for one wave and one cell."""

    def __init__(
        self,
        wave: MaintenanceWave | None,
        record: WaveRecord,
        machines: MachineList,
        cell: MaintenanceCell,
        now: float,
        wall_ms: int,
    ):
        self._wave = wave
        self._record = record
        self._machines = machines
        self._cell = cell
        self._now = now
        self._wall_ms = wall_ms
        self._wanted = frozenset(wave.machine_ids) if wave else frozenset()
        # Machines whose maintenance is or may be requested; at most ``max_down``.
        self._callable = self._requested()[: wave.max_down] if wave else []

    def plan(self) -> list[MaintenanceAction]:
        """Return the actions, those that free slots before those that take them."""
        actions = [
            action
            for machine_id, entry in self._record.machine_by_id.items()
            if entry.phase is not MachinePhase.DONE
            and (action := self._continue(machine_id, entry)) is not None
        ]
        if self._wave is None or self._is_outdated():
            return actions
        if not self._is_begun():
            return actions + self._begin()
        if self._record.reported_state is WaveState.DONE:
            return actions
        if not actions and self._is_done():
            began_at_ms = self._record.began_at_ms
            return [ReportState(WaveState.DONE, self._wave.version, began_at_ms)]
        freed = {a.machine_id: a for a in actions if isinstance(a, FreeSlot)}
        return actions + self._take_slots(freed, self._record.began_at_ms)

    def _is_outdated(self) -> bool:
        """Return whether the request was written again and this host doesn't know it.

        Its limits and machines may have changed: only what has been requested goes on.
        """
        return self._wave is not None and self._record.version > self._wave.version

    def _requested(self) -> list[str]:
        return [
            machine_id
            for machine_id, entry in self._record.machine_by_id.items()
            if entry.phase is MachinePhase.REQUESTED
        ]

    def _may_request(self, machine_id: str) -> bool:
        """Return whether a machine may go down within ``max_down``, and count it.

        More machines than that hold slots if the request was written again with a lower
        ``max_down``.
        """
        if machine_id in self._callable:
            return True
        entry = self._record.machine_by_id[machine_id]
        if entry.phase is MachinePhase.REQUESTED:
            return False
        if len(self._callable) >= self._wave.max_down:
            return False
        self._callable.append(machine_id)
        return True

    def _is_begun(self) -> bool:
        """Return whether the record is of the wave as it was last written."""
        is_reported = self._record.reported_state is not None
        return is_reported and self._record.version == self._wave.version

    def _begin(self) -> list[MaintenanceAction]:
        if not self._is_concerned():
            return []
        running = ReportState(
            WaveState.RUNNING,
            self._wave.version,
            self._wall_ms,
            self._terminate_by_ms(self._wall_ms),
        )
        return [running, *self._take_slots({}, self._wall_ms)]

    def _terminate_by_ms(self, began_at_ms: int) -> int:
        """Return the latest termination on machines that hold slots, 0 if none does."""
        n_held = sum(
            entry.phase is not MachinePhase.DONE
            for entry in self._record.machine_by_id.values()
        )
        if not n_held:
            return 0
        return self._terminate_at_ms(len(self._left()) + n_held, began_at_ms)

    def _is_concerned(self) -> bool:
        """Return whether the owner reports the state of the wave.

        If no cell has any of its machines, every owner does.
        """
        if any(self._is_here(machine_id) for machine_id in self._wanted):
            return True
        entries = self._record.machine_by_id.values()
        if any(entry.cell_id == self._cell.cell_id for entry in entries):
            return True
        return not entries and all(self._is_gone(m) for m in self._wanted)

    def _is_done(self) -> bool:
        if not self._is_concerned():
            return False
        for machine_id in self._wanted:
            entry = self._record.machine_by_id.get(machine_id)
            if entry is None and not self._is_gone(machine_id):
                return False
            if entry is not None and entry.phase is not MachinePhase.DONE:
                return False
        return True

    def _is_here(self, machine_id: str) -> bool:
        machine = self._machines.by_id.get(machine_id)
        return machine is not None and (
            machine.worker_id in self._cell.occupancy_by_worker
        )

    def _is_gone(self, machine_id: str) -> bool:
        return self._machines.missing_s(machine_id, self._now) >= MACHINE_GONE_S

    def _continue(
        self, machine_id: str, entry: MachineRecord
    ) -> MaintenanceAction | None:
        """Return the next action for a machine that holds a slot."""
        missing_s = self._machines.missing_s(machine_id, self._now)
        if entry.cell_id != self._cell.cell_id:
            if missing_s >= ORPHANED_SLOT_S:
                return FreeSlot(machine_id, "gone")
            return None
        if entry.epoch > self._cell.epoch:
            return None
        if missing_s >= MACHINE_GONE_S:
            return FreeSlot(machine_id, "gone")
        machine = self._machines.by_id.get(machine_id)
        if machine is None or machine.state is not MachineState.UP:
            return None
        if entry.phase is MachinePhase.REQUESTED:
            begun_at = self._begun_at(machine_id, entry)
            if begun_at is not None:
                return self._return_to_use(machine, entry, begun_at)
        if self._is_outdated() and entry.phase is not MachinePhase.REQUESTED:
            return None
        if machine_id not in self._wanted:
            if self._is_outdated():
                return None
            return FreeSlot(machine_id, "withdrawn")
        if machine.worker_id != entry.worker_id:
            return self._empty_next_worker(machine, entry)
        return self._request_or_defer(machine, entry)

    def _begun_at(self, machine_id: str, entry: MachineRecord) -> float | None:
        if self._now < self._cell.may_call_at:
            # The requests of other waves may not be known yet.
            return None
        wave_id = self._wave.wave_id if self._wave else 0
        return self._machines.begun_at(wave_id, machine_id, entry.worker_id)

    def _return_to_use(
        self, machine: Machine, entry: MachineRecord, begun_at: float
    ) -> FreeSlot | None:
        """Return the action for a machine that is up after its maintenance began.

        A read that was sent before the call's answer may show the time before the call.
        """
        read_s = self._machines.read_sent_at - begun_at
        if machine.worker_id and machine.worker_id != entry.worker_id and read_s > 0:
            return FreeSlot(machine.machine_id, "done", entry.worker_id)
        if machine.worker_id == entry.worker_id and read_s > SAME_WORKER_S:
            return FreeSlot(machine.machine_id, "done")
        return None

    def _empty_next_worker(
        self, machine: Machine, entry: MachineRecord
    ) -> TakeSlot | None:
        """Empty the worker that has replaced another one, by all that is known a crash.

        If it was the maintenance, the service confirms that at the next call.
        """
        if machine.worker_id not in self._cell.occupancy_by_worker:
            return None
        is_requested = entry.phase is MachinePhase.REQUESTED
        if is_requested and self._now < self._cell.may_call_at:
            return None
        return TakeSlot(machine.machine_id, machine.worker_id, entry.terminate_at_ms)

    def _request_or_defer(
        self, machine: Machine, entry: MachineRecord
    ) -> RequestMaintenance | FreeSlot | None:
        occupancy = self._cell.occupancy_by_worker.get(machine.worker_id)
        if occupancy is None or not occupancy.is_cordoned:
            return None
        if occupancy.forbids_maintenance:
            # After the request, a call may still be on its way: the slot is kept.
            if entry.phase is MachinePhase.EMPTYING:
                return self._defer(machine.machine_id, entry)
            return None
        if self._now < self._cell.may_call_at:
            return None
        if self._now - self._machines.read_sent_at > MAX_READ_AGE_S:
            return None
        is_due = occupancy.is_empty or self._wall_ms >= entry.terminate_at_ms
        if is_due and self._may_request(machine.machine_id):
            return RequestMaintenance(machine.machine_id, machine.worker_id)
        return None

    def _defer(self, machine_id: str, entry: MachineRecord) -> FreeSlot | None:
        """Let another machine have the slot of one that can't be emptied in time."""
        if self._wall_ms < entry.terminate_at_ms + MOVE_ONE_S * 1000:
            return None
        if not any(not self._is_deferred(m) for m in self._left()):
            return None
        retry_at_ms = self._wall_ms + int(MOVE_ONE_S * 1000)
        return FreeSlot(machine_id, "deferred", retry_at_ms=retry_at_ms)

    def _is_deferred(self, machine_id: str) -> bool:
        return self._wall_ms < self._record.deferred_until_ms.get(machine_id, 0)

    def _left(self) -> list[str]:
        """Return the existing machines of the wave that have yet to take a slot."""
        return [
            machine_id
            for machine_id in dict.fromkeys(self._wave.machine_ids)
            if machine_id not in self._record.machine_by_id
            and not self._is_gone(machine_id)
        ]

    def _take_slots(
        self, freed: Mapping[str, FreeSlot], began_at_ms: int
    ) -> list[TakeSlot]:
        """Return the slots to take, for the emptiest machines of the cell first."""
        n_held = sum(
            entry.phase is not MachinePhase.DONE and machine_id not in freed
            for machine_id, entry in self._record.machine_by_id.items()
        )
        n_free = self._wave.max_down - n_held
        if n_free <= 0:
            return []
        left = self._left()
        candidates = sorted(
            (
                machine_id
                for machine_id in left
                if self._is_here(machine_id)
                and self._machines.by_id[machine_id].state is MachineState.UP
                and not self._is_deferred(machine_id)
            ),
            key=self._effort,
        )
        if not candidates:
            return []
        # Those that are put off now need a slot later.
        n_left = len(left) + sum(free.retry_at_ms > 0 for free in freed.values())
        terminate_at_ms = self._terminate_at_ms(n_left, began_at_ms)
        return [
            TakeSlot(
                machine_id, self._machines.by_id[machine_id].worker_id, terminate_at_ms
            )
            for machine_id in candidates[:n_free]
        ]

    def _effort(self, machine_id: str) -> tuple[bool, bool, int]:
        worker_id = self._machines.by_id[machine_id].worker_id
        occupancy = self._cell.occupancy_by_worker[worker_id]
        return (
            occupancy.forbids_maintenance,
            not occupancy.is_empty,
            occupancy.n_runs,
        )

    def _terminate_at_ms(self, n_left: int, began_at_ms: int) -> int:
        """Return when tasks on a machine that is now emptied are terminated.

        The time left for the wave is divided by the number of machines that use the
        same slot one after the other; half of a machine's part is for its tasks.
        """
        until_ms = began_at_ms + (self._wave.complete_by_s - NOTICE_S) * 1000
        n_rounds = -(-n_left // self._wave.max_down)
        left_ms = until_ms - self._wall_ms - (n_rounds - 1) * DOWN_S * 1000
        return self._wall_ms + int(max(0.0, left_ms) / n_rounds / 2)

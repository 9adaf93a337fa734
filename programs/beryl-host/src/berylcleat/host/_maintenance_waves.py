"""Carry out maintenance waves on the machines of this host's cells."""

import asyncio
import logging
from collections.abc import Callable, Iterable

from berylcleat.model import BerylError
from berylcleat.platform import encode_wave_status
from berylcleat.ports import MachineService, Store
from berylcleat.scheduling import (
    FreeSlot,
    MachineList,
    MachinePhase,
    MaintenanceAction,
    MaintenanceWave,
    ReportState,
    RequestMaintenance,
    TakeSlot,
    WaveRecord,
    WaveState,
    apply_actions,
    cordoned_workers,
    plan_maintenance,
)

from ._clock import now_s, wall_ms
from ._machine_list_reader import MachineListReader
from ._maintained_cells import MaintainedCell, MaintainedCells
from ._maintenance_calls import MaintenanceCalls
from ._maintenance_metrics import observe_waves
from ._operator_state import OperatorState
from ._wave_records import WaveRecords

STEP_PERIOD_S = 0.2
# Seconds from one read to the next for a host with machines of a wave in its cells, and
# for another one, which only has to learn that machines are gone or all are done.
RECORD_PERIOD_S = 0.5
LIST_PERIOD_S = 1.0
IDLE_PERIOD_S = 5.0
# Pages a second that all hosts with a slot, and all others, may read from the machine
# service: together less than the 60 a second that it accepts.
SLOT_PAGES_PER_S = 30
OTHER_PAGES_PER_S = 20
# Bytes a second that the reads and commits of one record may take, base64 not counted:
# the record of 830 machines has about 35 kB and may change ten times a second.
RECORD_BYTES_PER_S = 15_000
# Seconds of that rate by which commits may be ahead, so that a slot that is freed can
# be taken at once.
COMMIT_BURST_S = 1.5
# Pause after a call that the store didn't answer.
RETRY_S = 0.3
# Conflicting commits after which a cell waits for the next step.
MAX_ATTEMPTS = 3
logger = logging.getLogger(__name__)


class MaintenanceWaves:
    """Shell around ``plan_maintenance`` for the cells that this host owns.

    While no wave is in progress, or the host owns no cell, it calls nothing.
    """

    def __init__(
        self,
        store: Store,
        service: MachineService,
        host_id: str,
        state: OperatorState,
        cells: MaintainedCells,
        count_hosts: Callable[[], int] = lambda: 1,
    ):
        self._state = state
        self._cells = cells
        self._service = service
        self._count_hosts = count_hosts
        self._machines = MachineList()
        self._records = WaveRecords(store)
        self._calls = MaintenanceCalls(store, service, host_id, self._machines)
        self._list_reader = MachineListReader(
            service, self._machines, self._list_period_s
        )
        # Version of the request of each wave that is over.
        self._over: dict[int, int] = {}
        self._read_at_by_wave: dict[int, float] = {}
        # When the bytes of all commits of a record so far are within the rate.
        self._paid_at_by_wave: dict[int, float] = {}
        # Waves with machines that aren't done yet in this host's cells.
        self._involved: set[int] = set()
        # Waves whose last step failed, so that consecutive failures are logged once.
        self._failing: set[int] = set()
        # Cells at the last step, by id and epoch, and those that were told of cordons.
        self._known_cells: set[tuple[str, int]] = set()
        self._cordoned_cells: set[tuple[str, int]] = set()
        self._has_published = False

    async def read_list(self) -> None:
        """Read the list of machines if a wave is in progress and a read is due.

        Raises the errors of the machine service.
        """
        await self._list_reader.step()

    async def step(self) -> None:
        """Advance every wave in every cell of this host.

        Raises the errors of the store, after a wait of ``RETRY_S``.
        """
        self._cells.update(now_s())
        active = self._cells.active()
        wave_by_id = self._waves_in_progress() if active else {}
        withdrawn = self._records.by_wave.keys() - self._state.wave_by_id.keys()
        if not wave_by_id and not withdrawn and not self._cordoned_cells:
            self._cordon({}, active)
            self._publish({}, [])
            return
        try:
            read = await self._read_records(wave_by_id, active)
            self._involved = self._find_involved(wave_by_id, active)
            self._cordon(wave_by_id, active)
            # Without machines here, a wave is planned once for each read of its record.
            for wave_id in [*((self._involved | read) & wave_by_id.keys()), *withdrawn]:
                await self._advance_in_cells(wave_id, wave_by_id.get(wave_id), active)
        except BerylError:
            await asyncio.sleep(RETRY_S)
            raise
        for wave_id in withdrawn:
            self._end(wave_id)
        for wave_id, wave in wave_by_id.items():
            if _is_over(wave, self._records.by_wave.get(wave_id)):
                self._over[wave_id] = wave.version
                self._end(wave_id)
        wave_by_id = self._waves_in_progress() if active else {}
        self._cordon(wave_by_id, active)
        self._publish(wave_by_id, active)

    def _waves_in_progress(self) -> dict[int, MaintenanceWave]:
        return {
            wave_id: wave
            for wave_id, wave in self._state.wave_by_id.items()
            if self._over.get(wave_id) != wave.version
        }

    def _list_period_s(self) -> float | None:
        active = self._cells.active()
        wave_by_id = self._waves_in_progress() if active else {}
        if not wave_by_id:
            return None
        n_pages = self._service.n_pages
        slot_cells = self._cells_with_slots(wave_by_id)
        if slot_cells & {cell.cell_id for cell in active}:
            return max(LIST_PERIOD_S, len(slot_cells) * n_pages / SLOT_PAGES_PER_S)
        is_involved = not self._machines.by_id or wave_by_id.keys() & self._involved
        return max(
            LIST_PERIOD_S if is_involved else IDLE_PERIOD_S,
            self._count_hosts() * n_pages / OTHER_PAGES_PER_S,
        )

    def _cells_with_slots(self, wave_by_id: Iterable[int]) -> set[str]:
        """Return the cells that empty a machine or have requested its maintenance."""
        records = (self._records.by_wave.get(wave_id) for wave_id in wave_by_id)
        return {
            entry.cell_id
            for record in records
            if record is not None
            for entry in record.machine_by_id.values()
            if entry.phase is not MachinePhase.DONE
        }

    def _find_involved(
        self, wave_by_id: dict[int, MaintenanceWave], active: list[MaintainedCell]
    ) -> set[int]:
        """Return the waves with machines in these cells that aren't done."""
        cell_ids = {cell.cell_id for cell in active}
        worker_ids = set().union(*(cell.scheduler.worker_by_id for cell in active))
        return {
            wave_id
            for wave_id, wave in wave_by_id.items()
            if self._is_involved(wave, cell_ids, worker_ids)
        }

    def _is_involved(
        self, wave: MaintenanceWave, cell_ids: set[str], worker_ids: set[str]
    ) -> bool:
        record = self._records.by_wave.get(wave.wave_id)
        if record is None:
            return True
        for machine_id in wave.machine_ids:
            entry = record.machine_by_id.get(machine_id)
            if entry is not None:
                is_here = entry.cell_id in cell_ids
                if is_here and entry.phase is not MachinePhase.DONE:
                    return True
                continue
            machine = self._machines.by_id.get(machine_id)
            if machine is not None and machine.worker_id in worker_ids:
                return True
        # The owners whose machines were the last ones report the wave as done.
        return record.reported_state is not WaveState.DONE and any(
            entry.cell_id in cell_ids for entry in record.machine_by_id.values()
        )

    async def _read_records(
        self, wave_by_id: dict[int, MaintenanceWave], active: list[MaintainedCell]
    ) -> set[int]:
        """Read the records that are due, all of them for a new cell; return which."""
        known_cells = {(cell.cell_id, cell.owner.epoch) for cell in active}
        has_new_cell = not known_cells <= self._known_cells
        read = set()
        for wave_id in wave_by_id:
            read_at = self._read_at_by_wave.get(wave_id, float("-inf"))
            if has_new_cell or now_s() >= read_at + self._record_period_s(wave_id):
                self._read_at_by_wave[wave_id] = now_s()
                await self._records.refresh(wave_id)
                read.add(wave_id)
        self._known_cells = known_cells
        return read

    def _record_period_s(self, wave_id: int) -> float:
        if wave_id not in self._involved:
            return IDLE_PERIOD_S
        n_bytes = self._records.n_bytes(wave_id)
        return max(RECORD_PERIOD_S, n_bytes / RECORD_BYTES_PER_S)

    async def _advance_in_cells(
        self, wave_id: int, wave: MaintenanceWave | None, cells: list[MaintainedCell]
    ) -> None:
        """Advance a wave; an unexpected failure doesn't keep other waves from it.

        Raises the errors of the store, which concern all waves.
        """
        try:
            for cell in cells:
                await self._advance(wave_id, wave, cell)
        except BerylError:
            raise
        except Exception:
            if wave_id not in self._failing:
                logger.exception("maintenance: wave %d can't be planned", wave_id)
            self._failing.add(wave_id)
        else:
            self._failing.discard(wave_id)

    async def _advance(
        self, wave_id: int, wave: MaintenanceWave | None, cell: MaintainedCell
    ) -> None:
        """Plan and carry out what one cell does for a wave; None if it is withdrawn."""
        for _ in range(MAX_ATTEMPTS):
            record = self._records.by_wave.get(wave_id)
            if record is None or cell.is_inactive:
                return
            now = now_s()
            planned_cell = self._cells.describe(cell, now)
            actions = plan_maintenance(
                wave, record, self._machines, planned_cell, now, wall_ms()
            )
            if not actions:
                return
            changed = apply_actions(record, actions, planned_cell)
            if changed != record:
                # A withdrawn wave is forgotten after this step, so it can't wait.
                if wave is not None and not self._may_commit(wave_id, now):
                    return
                if not await self._commit(wave_id, changed, actions):
                    continue
                self._log(wave_id, actions, cell, record)
            for action in actions:
                if isinstance(action, RequestMaintenance):
                    self._calls.request(
                        wave_id, action.machine_id, action.worker_id, cell
                    )
            return

    def _may_commit(self, wave_id: int, now: float) -> bool:
        return self._paid_at_by_wave.get(wave_id, now) <= now + COMMIT_BURST_S

    async def _commit(
        self, wave_id: int, record: WaveRecord, actions: Iterable[MaintenanceAction]
    ) -> bool:
        writes = tuple(
            encode_wave_status(wave_id, is_done=action.state is WaveState.DONE)
            for action in actions
            if isinstance(action, ReportState)
        )
        is_applied = await self._records.commit(wave_id, record, writes)
        # A conflict returns the present record, so this counts as a read too.
        now = now_s()
        self._read_at_by_wave[wave_id] = now
        paid_at = max(now, self._paid_at_by_wave.get(wave_id, now))
        paid_at += self._records.n_bytes(wave_id) / RECORD_BYTES_PER_S
        self._paid_at_by_wave[wave_id] = paid_at
        return is_applied

    def _log(
        self,
        wave_id: int,
        actions: Iterable[MaintenanceAction],
        cell: MaintainedCell,
        previous: WaveRecord,
    ) -> None:
        """Log what a commit has changed in the record ``previous``."""
        for action in actions:
            match action:
                case RequestMaintenance() if _is_requested(previous, action):
                    # The call is only repeated; another machine has changed.
                    continue
                case TakeSlot():
                    text = f"machine {action.machine_id} is taken out of use"
                    text += f", cell {cell.cell_id}, worker {action.worker_id}"
                case RequestMaintenance():
                    text = f"maintenance of machine {action.machine_id} is requested"
                    text += f", cell {cell.cell_id}, worker {action.worker_id}"
                case FreeSlot():
                    text = f"machine {action.machine_id} holds no slot any more"
                    text += f": {action.reason}"
                case ReportState():
                    text = action.state.value
            logger.info("maintenance: wave %d: %s", wave_id, text)

    def _cordon(
        self, wave_by_id: dict[int, MaintenanceWave], active: list[MaintainedCell]
    ) -> None:
        """Keep tasks from starting on the workers of machines in maintenance.

        Without the record of a wave, cells keep their cordons, and new ones wait.
        """
        if not wave_by_id.keys() <= self._records.by_wave.keys():
            return
        for cell in active:
            key = (cell.cell_id, cell.owner.epoch)
            if not wave_by_id and key not in self._cordoned_cells:
                cell.scheduler.awaits_cordon = False
                continue
            planned_cell = self._cells.describe(cell, now_s())
            worker_ids: frozenset[str] = frozenset()
            for wave_id, wave in wave_by_id.items():
                record = self._records.by_wave[wave_id]
                worker_ids |= cordoned_workers(wave, record, planned_cell)
            cell.scheduler.set_cordoned(worker_ids)
            cell.scheduler.awaits_cordon = False
        # Without a wave all workers have just been returned to use.
        keys = {(cell.cell_id, cell.owner.epoch) for cell in active}
        self._cordoned_cells = keys if wave_by_id else set()

    def _end(self, wave_id: int) -> None:
        self._records.forget(wave_id)
        self._read_at_by_wave.pop(wave_id, None)
        self._paid_at_by_wave.pop(wave_id, None)
        self._calls.forget(wave_id)
        self._failing.discard(wave_id)

    def _publish(
        self, wave_by_id: dict[int, MaintenanceWave], active: list[MaintainedCell]
    ) -> None:
        if wave_by_id or self._has_published:
            records = [self._records.by_wave.get(wave_id) for wave_id in wave_by_id]
            observe_waves(records, {cell.cell_id for cell in active})
        self._has_published = bool(wave_by_id)


def _is_requested(record: WaveRecord, action: RequestMaintenance) -> bool:
    entry = record.machine_by_id.get(action.machine_id)
    return entry is not None and entry.phase is MachinePhase.REQUESTED


def _is_over(wave: MaintenanceWave, record: WaveRecord | None) -> bool:
    """Return whether a wave is reported as done and all of its machines are back."""
    return (
        record is not None
        and record.version == wave.version
        and record.reported_state is WaveState.DONE
        and all(
            machine.phase is MachinePhase.DONE
            for machine in record.machine_by_id.values()
        )
    )

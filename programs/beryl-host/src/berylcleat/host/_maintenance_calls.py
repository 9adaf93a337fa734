"""Request the maintenance of machines from the machine service."""

import asyncio
import logging
from collections.abc import Callable

from berylcleat.model import BerylError
from berylcleat.ports import Commit, Condition, MachineService, MaintenanceReply, Store
from berylcleat.scheduling import MachineList

from ._clock import now_s
from ._maintained_cells import MaintainedCell
from ._records import CELL_TABLE, OWNER_KEY

# A new owner of a cell sends its first call 3 s after it acquired the cell. A call is
# sent at most this long after the check of the ownership, so that it arrives by then.
MAX_CHECK_AGE_S = 0.7
MIN_BACKOFF_S = 0.25
MAX_BACKOFF_S = 2.0
logger = logging.getLogger(__name__)


class MaintenanceCalls:
    """Calls for the maintenance of machines in this host's cells.

    One call at a time is in progress for a machine. A call that fails is repeated with
    exponential backoff, when it is requested again.
    """

    def __init__(
        self,
        store: Store,
        service: MachineService,
        host_id: str,
        machines: MachineList,
        clock: Callable[[], float] = now_s,
    ):
        self._store = store
        self._service = service
        self._host_id = host_id
        self._machines = machines
        self._clock = clock
        self._task_by_call: dict[tuple[int, str], asyncio.Task] = {}
        # Backoff in seconds and time of the next attempt, by call.
        self._retry_by_call: dict[tuple[int, str], tuple[float, float]] = {}

    def request(
        self, wave_id: int, machine_id: str, worker_id: str, cell: MaintainedCell
    ) -> None:
        """Begin a call unless one is in progress or has to wait.

        The record must say already that the owner of ``cell`` requests it.
        """
        call = (wave_id, machine_id)
        _, retry_at = self._retry_by_call.get(call, (0.0, 0.0))
        if call in self._task_by_call or self._clock() < retry_at:
            return
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._call(call, worker_id, cell))
        self._task_by_call[call] = task
        task.add_done_callback(lambda done: self._on_done(call, done))

    def forget(self, wave_id: int) -> None:
        """Forget the backoffs of a wave that is over."""
        for call in [call for call in self._retry_by_call if call[0] == wave_id]:
            del self._retry_by_call[call]

    async def _call(
        self, call: tuple[int, str], worker_id: str, cell: MaintainedCell
    ) -> None:
        wave_id, machine_id = call
        try:
            # Runs that the cell adopts may have become known since the plan.
            if (
                not await self._is_owned(cell)
                or cell.scheduler.occupancy(worker_id).forbids_maintenance
            ):
                self._delay(call)
                return
            reply = await self._service.request_maintenance(
                machine_id, wave_id, self._host_id, cell.owner.epoch
            )
        except BerylError as error:
            self._log_failure(call, str(error))
            self._delay(call)
            return
        if reply is MaintenanceReply.ACCEPTED:
            self._retry_by_call.pop(call, None)
            now = self._clock()
            self._machines.on_maintenance_begun(wave_id, machine_id, worker_id, now)
        else:
            self._log_failure(call, f"rejected, {reply.value}")
            self._delay(call)

    async def _is_owned(self, cell: MaintainedCell) -> bool:
        """Ask the store whether the cell is still this host's.

        The change feed of owners isn't enough: a host that the store doesn't answer
        keeps its cells for up to 12 s, and another one calls 3 s after a takeover.
        """
        checked_at = self._clock()
        key = (CELL_TABLE, cell.cell_id, OWNER_KEY)
        outcome = await self._store.commit(
            Commit((Condition(*key, cell.owner_version),))
        )
        is_recent = self._clock() - checked_at <= MAX_CHECK_AGE_S
        return outcome.applied and is_recent and not cell.is_inactive

    def _delay(self, call: tuple[int, str]) -> None:
        backoff_s, _ = self._retry_by_call.get(call, (0.0, 0.0))
        backoff_s = min(max(2 * backoff_s, MIN_BACKOFF_S), MAX_BACKOFF_S)
        self._retry_by_call[call] = (backoff_s, self._clock() + backoff_s)

    def _log_failure(self, call: tuple[int, str], text: str) -> None:
        """Log the first of consecutive failures of a call."""
        if call not in self._retry_by_call:
            logger.warning("maintenance: wave %d, machine %s: %s", *call, text)

    def _on_done(self, call: tuple[int, str], task: asyncio.Task) -> None:
        del self._task_by_call[call]
        if not task.cancelled() and task.exception() is not None:
            if call not in self._retry_by_call:
                logger.error(
                    "maintenance: wave %d, machine %s: call failed",
                    *call,
                    exc_info=task.exception(),
                )
            self._delay(call)

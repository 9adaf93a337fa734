"""Read the list of machines periodically while a maintenance wave is in progress."""

import asyncio
import logging
from collections.abc import Callable

from berylcleat.model import BerylError
from berylcleat.ports import Machine, MachineService
from berylcleat.scheduling import Machine as PlannedMachine
from berylcleat.scheduling import MachineList, MachineState

from ._clock import now_s

CHECK_PERIOD_S = 0.1
MIN_BACKOFF_S = 0.25
MAX_BACKOFF_S = 2.0
logger = logging.getLogger(__name__)


class MachineListReader:
    """Reader of the machine service's list into ``machines``.

    ``choose_period_s`` returns the seconds from one read to the next, None while the
    list isn't needed.
    """

    def __init__(
        self,
        service: MachineService,
        machines: MachineList,
        choose_period_s: Callable[[], float | None],
    ):
        self._service = service
        self._machines = machines
        self._choose_period_s = choose_period_s
        self._backoff_s = 0.0

    async def run(self) -> None:
        """Read the list whenever it is due, until cancelled."""
        read_at = float("-inf")
        while True:
            period_s = self._choose_period_s()
            if period_s is not None and now_s() >= read_at + period_s:
                read_at = now_s()
                await self._read(read_at)
                await asyncio.sleep(self._backoff_s)
            await asyncio.sleep(CHECK_PERIOD_S)

    async def _read(self, sent_at: float) -> None:
        try:
            machines = await self._service.list_machines()
        except BerylError as error:
            if not self._backoff_s:
                logger.warning("maintenance: machines can't be listed: %s", error)
            self._backoff_s = min(
                max(2 * self._backoff_s, MIN_BACKOFF_S), MAX_BACKOFF_S
            )
            return
        if self._backoff_s:
            logger.info("maintenance: machines are listed again")
            self._backoff_s = 0.0
        self._machines.observe(map(_to_planned, machines), sent_at)


def _to_planned(machine: Machine) -> PlannedMachine:
    state = MachineState[machine.state.name]
    return PlannedMachine(machine.machine_id, state, machine.worker_id)

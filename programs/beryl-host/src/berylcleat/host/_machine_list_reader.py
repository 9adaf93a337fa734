"""Read the list of machines periodically while a maintenance wave is in progress."""

import asyncio
from collections.abc import Callable

from berylcleat.model import BerylError
from berylcleat.ports import MachineService
from berylcleat.scheduling import MachineList

from ._clock import now_s

MIN_BACKOFF_S = 0.25
MAX_BACKOFF_S = 2.0


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
        self._read_at = float("-inf")
        self._backoff_s = 0.0

    async def step(self) -> None:
        """Read the list if it is due.

        Raises the service's errors after a wait with exponential backoff.
        """
        period_s = self._choose_period_s()
        if period_s is None or now_s() < self._read_at + period_s:
            return
        sent_at = now_s()
        try:
            machines = await self._service.list_machines()
        except BerylError:
            self._backoff_s = min(
                max(2 * self._backoff_s, MIN_BACKOFF_S), MAX_BACKOFF_S
            )
            await asyncio.sleep(self._backoff_s)
            raise
        self._backoff_s = 0.0
        self._read_at = sent_at
        self._machines.observe(machines, sent_at)

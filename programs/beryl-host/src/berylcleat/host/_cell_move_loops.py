"""Loops that move a cell's tasks and report the ends that other cells count."""

import asyncio
import logging
from collections.abc import Callable, Coroutine

from berylcleat.model import BerylError, UnreadableRecordError
from berylcleat.scheduling import MovedTaskEnd

from ._clock import now_s
from ._owned_cells import OwnedCell
from ._task_mover import TaskMover

MOVE_PERIOD_S = 0.25
# With ``expected_finish`` tasks that can't start move at once.
SPILL_PERIOD_S = 0.1
STRAY_END_PERIOD_S = 0.5
logger = logging.getLogger(__name__)

EndsById = dict[str, list[MovedTaskEnd]]


class CellMoveLoops:
    """Loops of one owned cell; ``may_act`` tells whether its owner may act now."""

    def __init__(
        self,
        cell: OwnedCell,
        mover: TaskMover,
        may_act: Callable[[], bool],
        spawn: Callable[[Coroutine], None],
        move_period_s: float,
    ):
        self._cell = cell
        self._mover = mover
        self._may_act = may_act
        self._spawn = spawn
        self._move_period_s = move_period_s
        # Home cells to which ends are being reported.
        self._reported_homes: set[str] = set()

    async def run_moves(self, on_round: Callable[[], None]) -> None:
        """Move tasks to other cells and report ends of tasks moved here."""
        while True:
            await asyncio.sleep(self._move_period_s)
            on_round()
            if self._may_act():
                self._propose_moves()
                self._start_reports()

    def _propose_moves(self) -> None:
        cell = self._cell
        headrooms = self._mover.headrooms(cell.cell_id, cell.data_centre)
        for proposal in cell.scheduler.propose_moves(headrooms, now_s()):
            self._spawn(self._mover.move(cell, proposal))

    def _start_reports(self) -> None:
        """Report ends to each home cell by itself.

        A home that doesn't answer delays neither the moves nor other reports.
        """
        ends_by_home: dict[str, EndsById] = {}
        ends_by_id = self._cell.scheduler.unconfirmed_moved_task_ends()
        for submission_id, ends in ends_by_id.items():
            home = self._mover.home_of(submission_id)
            ends_by_home.setdefault(home, {})[submission_id] = ends
        for home in ends_by_home.keys() - self._reported_homes:
            self._reported_homes.add(home)
            self._spawn(self._report_ends(home, ends_by_home[home]))

    async def _report_ends(self, home: str, ends_by_id: EndsById) -> None:
        scheduler = self._cell.scheduler
        try:
            for submission_id, ends in ends_by_id.items():
                if await self._mover.report_moved_task_ends(submission_id, ends):
                    scheduler.on_moved_task_ends_confirmed(submission_id, ends, now_s())
        finally:
            self._reported_homes.discard(home)

    async def run_stray_ends(self, on_settled: Callable[[], None]) -> None:
        """Report ends that other cells count to these, before they are acknowledged."""
        while True:
            await asyncio.sleep(STRAY_END_PERIOD_S)
            if not self._may_act():
                continue
            for submission_id, ends in self._cell.scheduler.stray_ends(now_s()).items():
                try:
                    await self._mover.settle_stray_ends(self._cell, submission_id, ends)
                except UnreadableRecordError as error:
                    logger.debug(
                        "submission %s: stray ends wait: %s", submission_id, error
                    )
                except BerylError as error:
                    logger.info(
                        "submission %s: stray ends wait: %s", submission_id, error
                    )
                on_settled()

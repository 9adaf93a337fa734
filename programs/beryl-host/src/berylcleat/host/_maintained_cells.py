"""What maintenance waves need of the cells that this host owns."""

from collections.abc import Mapping
from typing import Protocol

from berylcleat.scheduling import (
    MACHINE_LEASE_S,
    CellScheduler,
    MaintenanceCell,
)

from ._records import OwnerRow


class MaintainedCell(Protocol):
    """Cell that this host owns; ``scheduler`` is None until its state is loaded."""

    cell_id: str
    owner: OwnerRow
    owner_version: int
    scheduler: CellScheduler | None

    @property
    def is_inactive(self) -> bool:
        """Return whether task starts and lease renewals are no longer allowed."""


class MaintainedCells:
    """Cells of this host, and from when on the host may call for their machines."""

    def __init__(self, controller_by_cell: Mapping[str, MaintainedCell]):
        self._controller_by_cell = controller_by_cell
        # When each cell was first seen, by its id and the epoch of this host.
        self._seen_at: dict[tuple[str, int], float] = {}

    def update(self, now: float) -> None:
        """Take note of the cells that were acquired or lost."""
        self._seen_at = {
            key: self._seen_at.get(key, now)
            for key in (
                (cell_id, controller.owner.epoch)
                for cell_id, controller in self._controller_by_cell.items()
            )
        }

    def active(self) -> list[MaintainedCell]:
        """Return the cells in which this host may start tasks."""
        return [
            controller
            for controller in self._controller_by_cell.values()
            if controller.scheduler is not None and not controller.is_inactive
        ]

    def describe(self, controller: MaintainedCell, now: float) -> MaintenanceCell:
        """Return a cell as the planner needs it.

        Every earlier owner is waited for, also one that has confirmed its stop: a call
        of it may be under way. The first owner of a cell has no earlier one.
        """
        epoch = controller.owner.epoch
        seen_at = self._seen_at.get((controller.cell_id, epoch), now)
        scheduler = controller.scheduler
        return MaintenanceCell(
            controller.cell_id,
            epoch,
            seen_at + (MACHINE_LEASE_S if epoch > 1 else 0.0),
            {
                worker_id: scheduler.occupancy(worker_id)
                for worker_id in scheduler.worker_by_id
            },
        )

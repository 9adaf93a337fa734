"""What the movers of tasks need of the cells that this host owns."""

from collections.abc import Mapping
from typing import Protocol

from berylcleat.scheduling import CellScheduler, MovedTaskEnd

from ._records import CellSummary


class OwnedCell(Protocol):
    """Cell that this host owns; ``scheduler`` is None until its state is loaded."""

    cell_id: str
    data_centre: str
    owner_version: int
    scheduler: CellScheduler | None

    @property
    def is_inactive(self) -> bool:
        """Return whether task starts and lease renewals are no longer allowed."""

    def on_moved_task_ends(self, submission_id: str, ends: list[MovedTaskEnd]) -> bool:
        """Apply ends that another cell reported; return whether they are durable."""


class OwnedCells(Protocol):
    """Cells that this host owns, by id, and the loads that it publishes of them."""

    controller_by_cell: Mapping[str, OwnedCell]

    def summaries(self) -> dict[str, CellSummary]:
        """Return the load summaries by cell id."""

"""Cells that must have an owner, and the data centre of each."""

from ._cell_directory import CellDirectory
from ._worker_list import WorkerList


class KnownCells:
    """Cells with listed workers, and those of which the store has an owner row.

    A cell whose workers are all gone may still hold submissions. What a process has
    seen listed since its start doesn't tell of it; the owner row does.
    """

    def __init__(self, workers: WorkerList, cells: CellDirectory):
        self._workers = workers
        self._cells = cells

    def data_centre_by_cell(self) -> dict[str, str]:
        """Return the data centre of every cell, "" where it isn't known."""
        data_centre_by_cell = {
            cell_id: owner.row.cell_data_centre
            for cell_id, owner in self._cells.owner_by_cell.items()
        }
        return data_centre_by_cell | self._workers.data_centre_by_cell()

    def data_centre_of(self, cell_id: str) -> str:
        """Return the data centre of a cell, or "" if it isn't known."""
        listed = self._workers.data_centre_by_cell().get(cell_id)
        if listed is not None:
            return listed
        owner = self._cells.owner_by_cell.get(cell_id)
        return "" if owner is None else owner.row.cell_data_centre

    def data_centres(self) -> set[str]:
        """Return every data centre that has a cell."""
        return set(self.data_centre_by_cell().values()) - {""}

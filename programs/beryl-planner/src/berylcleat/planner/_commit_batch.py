"""Changes collected for one group commit."""

from collections.abc import Callable
from dataclasses import dataclass, field

from berylcleat.ownership import CellRow, JobRow, Record
from berylcleat.ports import Check, Put

from ._cell_runtime import CellRuntime


@dataclass
class CommitBatch:
    """Records, row changes and callbacks of one group commit.

    ``on_applied`` is called after the table has applied the commit, before the records
    change the cells.
    """

    records: list[Record] = field(default_factory=list)
    checks: list[Check] = field(default_factory=list)
    puts: list[Put] = field(default_factory=list)
    cells: dict[str, CellRuntime] = field(default_factory=dict)
    snapshot_row_by_cell: dict[str, CellRow] = field(default_factory=dict)
    job_by_id: dict[str, JobRow] = field(default_factory=dict)
    on_applied: list[Callable[[], None]] = field(default_factory=list)

    def add(self, cell: CellRuntime, records: tuple[Record, ...]) -> None:
        """Add records of one cell; do nothing if there are none."""
        if records:
            self.records.extend(records)
            self.cells[cell.row.cell_id] = cell

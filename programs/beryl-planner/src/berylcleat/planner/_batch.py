"""What one group commit changes."""

from collections.abc import Callable
from dataclasses import dataclass, field

from berylcleat.ownership import CellRow, JobRow, Record
from berylcleat.ports import Check, Put

from ._cell_runtime import CellRuntime


@dataclass
class Batch:
    """Gather what one group commit changes."""

    records: list[Record] = field(default_factory=list)
    checks: list[Check] = field(default_factory=list)
    puts: list[Put] = field(default_factory=list)
    cells: dict[str, CellRuntime] = field(default_factory=dict)
    pointer_by_cell: dict[str, CellRow] = field(default_factory=dict)
    job_by_id: dict[str, JobRow] = field(default_factory=dict)
    on_applied: list[Callable[[], None]] = field(default_factory=list)

    def add(self, cell: CellRuntime, records: tuple[Record, ...]) -> None:
        """Add records of one cell."""
        if records:
            self.records.extend(records)
            self.cells[cell.row.cell_id] = cell

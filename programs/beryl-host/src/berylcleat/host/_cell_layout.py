"""Division of the workers into cells."""

import re
from dataclasses import dataclass

# Longer numbers are taken for part of a name.
_NUMBERED_RACK = re.compile(r"(|.*[^0-9])([0-9]{1,9})", re.DOTALL)


@dataclass(frozen=True, slots=True)
class CellLayout:
    """Cells of one rack each, or of ``racks_per_cell`` racks with successive numbers.

    A cell of several racks has the name of the first rack that may belong to it. The
    cell of a rack depends on its name alone, so that all hosts agree on it whichever
    racks they know. Racks whose names differ only in the number at the end must belong
    to one data centre.
    """

    racks_per_cell: int = 1

    def cell_of(self, rack: str) -> str:
        """Return the id of the cell that a rack belongs to."""
        match = _NUMBERED_RACK.fullmatch(rack)
        if self.racks_per_cell == 1 or match is None:
            return rack
        prefix, number = match[1], int(match[2])
        if not number:
            return rack
        first = number - (number - 1) % self.racks_per_cell
        return f"{prefix}{first}"

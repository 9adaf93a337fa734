"""Draw the home cell of a submission among cells with headroom.

All hosts decide from the same loads, which are up to 2 s old: if each took the cell
with the most headroom, all new work of that time would go to one cell (herd effect).
"""

import math
from collections.abc import Mapping

import xxhash

# Part of the highest headroom from which a cell is a candidate where no cell can hold a
# whole step: nearly full cells would only pass most of its tasks on.
CANDIDATE_SHARE = 0.5
HASH_RANGE = 2**64


def find_candidates(
    headroom_by_cell: Mapping[str, float], needed: float
) -> dict[str, float]:
    """Return the cells that can hold what is needed, or those with the most headroom.

    Headroom and need have the same unit.
    """
    highest = max(headroom_by_cell.values(), default=0.0)
    limit = needed if highest >= needed else highest * CANDIDATE_SHARE
    return {
        cell_id: headroom
        for cell_id, headroom in headroom_by_cell.items()
        if headroom >= limit and headroom > 0
    }


def draw_cell(weight_by_cell: Mapping[str, float], key: str) -> str | None:
    """Draw a cell with a probability in proportion to its weight; None if none has any.

    The same key and weights give the same cell: weighted rendezvous hashing
    (Schindelhauer and Schomaker, Weighted Distributed Hash Tables, 2005).
    """

    def rank(cell_id: str) -> float:
        number = xxhash.xxh64_intdigest(f"{key}/{cell_id}".encode())
        return -math.log((number + 0.5) / HASH_RANGE) / weight_by_cell[cell_id]

    positive = [cell_id for cell_id, weight in weight_by_cell.items() if weight > 0]
    return min(positive, key=rank, default=None)

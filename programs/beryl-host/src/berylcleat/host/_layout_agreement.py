"""Agreement of all hosts on the division of the workers into cells."""

import asyncio
import logging
from typing import Annotated

import msgspec

from berylcleat.model import BerylError, MalformedValueError, decode_json
from berylcleat.ports import Commit, Condition, RowWrite, Store
from berylcleat.runtime import report_failure

from ._cell_layout import CellLayout
from ._records import CELL_TABLE, encode

# The layout is a row of the table of cells, in the part that belongs to no cell.
LAYOUT_PART = ""
LAYOUT_KEY = "layout"
RETRY_S = 0.25
logger = logging.getLogger(__name__)


class LayoutRow(msgspec.Struct, frozen=True):
    """Racks of a cell; written once, before the first cell has an owner."""

    racks_per_cell: Annotated[int, msgspec.Meta(ge=1, le=10**6)]


_decoder = msgspec.json.Decoder(LayoutRow)


async def agree_on_layout(store: Store, racks_per_cell: int) -> CellLayout:
    """Return the layout that the store holds; record the wanted one if it holds none.

    With another layout a host would take over workers of cells that have an owner, and
    submissions of cells that no longer exist would never run. So where cells have had
    owners before a layout was recorded, each rack stays a cell. Waits for the store; of
    consecutive failures the first is logged.
    """
    is_failing = False
    while True:
        layout = None
        try:
            layout = await _read_or_record(store, racks_per_cell)
        except (BerylError, MalformedValueError) as error:
            if not is_failing:
                logger.warning("layout of the cells not known yet: %s", error)
            is_failing = True
        except Exception as error:
            if not is_failing:
                report_failure("agree_on_layout", error)
            is_failing = True
        else:
            is_failing = False
        if layout is not None:
            logger.info("cells are formed of %d racks", layout.racks_per_cell)
            return layout
        await asyncio.sleep(RETRY_S)


async def _read_or_record(store: Store, racks_per_cell: int) -> CellLayout | None:
    """Return the recorded layout; None if another host may just have recorded one."""
    page = await store.read(CELL_TABLE, LAYOUT_PART)
    for row in page.rows:
        if row.key == LAYOUT_KEY:
            return CellLayout(decode_json(_decoder, row.value).racks_per_cell)
    if any(part != LAYOUT_PART for part in await store.list_parts(CELL_TABLE)):
        racks_per_cell = 1
    condition = Condition(CELL_TABLE, LAYOUT_PART, LAYOUT_KEY, 0)
    value = encode(LayoutRow(racks_per_cell))
    write = RowWrite(CELL_TABLE, LAYOUT_PART, LAYOUT_KEY, value)
    outcome = await store.commit(Commit((condition,), (write,)))
    return CellLayout(racks_per_cell) if outcome.applied else None

"""Share of a service's processors that is reserved, over all known cells.

The platform requires waiting work to run within 3 s while less than half of a service's
capacity is in use. Every rule that starts or moves work for that bound goes by this
share.
"""

from collections.abc import Iterable

from ._moves import CellHeadroom
from ._workers import WorkerView

# Seconds that a step fits nowhere before these rules apply to it, and before a filler
# starts on any worker that has room, where it shares processor time with other fillers:
# what they use isn't reserved, so a service full of them counts as free. The reserved
# share up to which the rules apply: loads of other cells are up to 2 s old.
STARVATION_S = 1.5
LAST_RESORT_S = 2.0
MAX_RESERVED_SHARE = 0.6


def reserved_share(
    service: str,
    views: Iterable[WorkerView],
    others: Iterable[CellHeadroom],
    now: float,
) -> float:
    """Return the reserved share of a service's processors, 1 if none is known.

    Workers that answer but may start nothing for now count too, and what waits in a
    cell doesn't count as reserved: neither is in use.
    """
    capacity = free = 0
    for view in views:
        if view.entry.service == service and not view.explain_no_answer(now):
            capacity += view.entry.capacity.cpu_millis
            free += max(0, view.free().cpu_millis)
    for headroom in others:
        if headroom.service == service:
            capacity += headroom.capacity + headroom.avoided_capacity
            free += sum(headroom.free_by_worker) or max(0, headroom.free)
            free += headroom.avoided_free
    return 1 - free / capacity if capacity else 1.0

"""The policies that a replay knows by name."""

from collections.abc import Callable

from berylcleat.model import NotFoundError
from berylcleat.placement import (
    PlacementPolicy,
    make_colocate,
    make_first_fit,
    make_informed,
    make_no_colocation,
)

from ._trace import Trace


def _informed(trace: Trace) -> PlacementPolicy:
    return make_informed({line.group: line.interference for line in trace.groups})


MAKER_BY_NAME: dict[str, Callable[[Trace], PlacementPolicy]] = {
    "colocate": lambda trace: make_colocate(),
    "first-fit": lambda trace: make_first_fit(),
    "no-colocation": lambda trace: make_no_colocation(),
    "informed": _informed,
}


def make_policy(name: str, trace: Trace) -> PlacementPolicy:
    """Return the policy called ``name``; raise ``NotFoundError`` for others."""
    if name not in MAKER_BY_NAME:
        raise NotFoundError(
            f"no policy {name!r}", f"Use one of {', '.join(MAKER_BY_NAME)}"
        )
    return MAKER_BY_NAME[name](trace)

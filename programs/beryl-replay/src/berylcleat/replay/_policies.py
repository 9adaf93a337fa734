"""Placement policies that a replay can select by name."""

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


def _make_informed_policy(trace: Trace) -> PlacementPolicy:
    return make_informed({line.group: line.interference for line in trace.groups})


POLICY_MAKER_BY_NAME: dict[str, Callable[[Trace], PlacementPolicy]] = {
    "colocate": lambda trace: make_colocate(),
    "first-fit": lambda trace: make_first_fit(),
    "no-colocation": lambda trace: make_no_colocation(),
    "informed": _make_informed_policy,
}


def make_policy(name: str, trace: Trace) -> PlacementPolicy:
    """Return the policy called ``name``; raise ``NotFoundError`` if there is none."""
    if name not in POLICY_MAKER_BY_NAME:
        raise NotFoundError(
            f"unknown policy {name!r}", f"Use one of {', '.join(POLICY_MAKER_BY_NAME)}"
        )
    return POLICY_MAKER_BY_NAME[name](trace)

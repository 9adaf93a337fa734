"""Max-min fair shares of a capacity over accounts of equal weight.

Progressive filling (Bertsekas and Gallager, Data Networks, 1992): small demands are met
whole, the others get equal parts of the rest.
"""

from collections.abc import Hashable, Mapping


def fair_level(demands: Mapping[Hashable, float], capacity: float) -> float:
    """Return the most that one account gets; infinity if all demands can be met."""
    left = max(0.0, capacity)
    n_left = len(demands)
    for demand in sorted(demands.values()):
        level = left / n_left
        if demand > level:
            return level
        left -= demand
        n_left -= 1
    return float("inf")


def fair_shares(
    demands: Mapping[Hashable, float], capacity: float
) -> dict[Hashable, float]:
    """Return what each account gets of ``capacity``, at most its demand."""
    level = fair_level(demands, capacity)
    return {account: min(demand, level) for account, demand in demands.items()}


def is_below_share(
    account: Hashable, demands: Mapping[Hashable, float], asked: float, capacity: float
) -> bool:
    """Return whether an account that asks for more uses less than its fair share."""
    used = demands.get(account, 0.0)
    return used < fair_level({**demands, account: used + asked}, capacity)

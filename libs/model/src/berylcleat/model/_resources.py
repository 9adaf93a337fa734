"""Resource vectors: cores, memory and accelerators."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Resources:
    """Amounts of cores, memory (GB) and accelerators."""

    cores: float = 0.0
    memory_gb: float = 0.0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cores + other.cores,
            self.memory_gb + other.memory_gb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cores - other.cores,
            self.memory_gb - other.memory_gb,
            self.accelerators - other.accelerators,
        )

    def fits_in(self, other: "Resources") -> bool:
        """Return whether every component is at most that of ``other``."""
        return not self.excess_over(other)

    def excess_over(self, other: "Resources") -> tuple[str, ...]:
        """Return the names of the components that exceed ``other``."""
        pairs = (
            ("cores", self.cores, other.cores),
            ("memory_gb", self.memory_gb, other.memory_gb),
            ("accelerators", self.accelerators, other.accelerators),
        )
        return tuple(name for name, amount, bound in pairs if amount > bound + 1e-9)

    def dominant_share(self, total: "Resources") -> float:
        """Return the largest share of ``total`` among the components (dominant share).

        Source: Ghodsi et al., Dominant Resource Fairness, NSDI 2011.
        """
        shares = [self.cores / total.cores if total.cores else 0.0]
        shares.append(self.memory_gb / total.memory_gb if total.memory_gb else 0.0)
        if total.accelerators:
            shares.append(self.accelerators / total.accelerators)
        return max(shares)

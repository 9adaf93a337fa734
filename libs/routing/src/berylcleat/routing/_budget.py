"""Retry budget: retries are a share of requests, not a count for each."""

from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """Hold tokens; each request earns ``share``, each retry spends one."""

    share: float = 0.2
    most: float = 20.0
    tokens: float = 10.0

    def earn(self) -> "RetryBudget":
        """Return the budget after one more request."""
        return replace(self, tokens=min(self.most, self.tokens + self.share))

    def spend(self) -> "RetryBudget | None":
        """Return the budget after one retry, or None if it is spent."""
        if self.tokens < 1.0:
            return None
        return replace(self, tokens=self.tokens - 1.0)

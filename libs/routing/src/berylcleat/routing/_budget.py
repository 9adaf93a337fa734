"""Retry budget: limits retries to a share of requests, not a count per request."""

from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """Token bucket: each request adds ``retry_ratio`` tokens, each retry takes one."""

    retry_ratio: float = 0.2
    max_tokens: float = 20.0
    tokens: float = 10.0

    def deposit(self) -> "RetryBudget":
        """Return the budget after one more request."""
        return replace(
            self, tokens=min(self.max_tokens, self.tokens + self.retry_ratio)
        )

    def withdraw(self) -> "RetryBudget | None":
        """Return the budget after one retry, or None if it is exhausted."""
        if self.tokens < 1.0:
            return None
        return replace(self, tokens=self.tokens - 1.0)

"""Reported ends of runs that a cell can't count yet, so doesn't acknowledge."""

from dataclasses import dataclass
from enum import Enum

from berylcleat.ports import EndedTask

# Seconds after which an unknown submission is looked for in the store: by then the feed
# has delivered it, unless its tasks have left this cell.
UNKNOWN_SUBMISSION_TIMEOUT_S = 3.0


class DeferralReason(Enum):
    """Why an end can't be counted yet."""

    UNKNOWN_SUBMISSION = "its submission is unknown"
    PENDING_MOVE = "its task is being moved"
    OTHER_CELL = "its task is assigned to another cell"


@dataclass(frozen=True, slots=True)
class DeferredEnd:
    """End that waits since a time in seconds."""

    end: EndedTask
    reason: DeferralReason
    since: float

    def is_stray(self, now: float) -> bool:
        """Return whether the cell that counts the end must be looked for."""
        if self.reason is DeferralReason.UNKNOWN_SUBMISSION:
            return now - self.since > UNKNOWN_SUBMISSION_TIMEOUT_S
        return self.reason is DeferralReason.OTHER_CELL

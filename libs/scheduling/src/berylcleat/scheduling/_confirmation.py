"""Confirmation of an owner by the store, and the beliefs that must wait for it.

What an owner concludes without a worker's word, such as from an expired lease, holds
only while no later owner acts: one that renews the lease makes it wrong.
"""


class OwnershipConfirmation:
    """Record of when the store last named this owner; times are in seconds.

    ``confirmed_at`` is when the newest request was sent whose answer named this owner:
    no later owner had acted by then. It is infinite where nobody else can own the cell.
    ``is_awaited`` tells whether a decision of this planning round waits for a newer
    one. ``leases_end_by`` is the time by which all runs must have stopped unless this
    owner is confirmed anew: the next owner, if it can't ask this one, waits no longer.
    """

    def __init__(self):
        self.confirmed_at = float("inf")
        self.leases_end_by = float("inf")
        self.is_awaited = False

    def confirm(self, requested_at: float) -> None:
        """Take note of an answer that named this owner."""
        self.confirmed_at = max(self.confirmed_at, requested_at)

    def covers(self, since: float) -> bool:
        """Return whether no later owner had acted by ``since``; await it otherwise."""
        if since <= self.confirmed_at:
            return True
        self.is_awaited = True
        return False

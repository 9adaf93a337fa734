"""Choose the cell of a new submission from the loads that owners tell."""

from dataclasses import dataclass

from berylcleat.model import Submission

from ._cells import CellKeeper
from ._clock import now_s
from ._membership import Membership
from ._records import CellSummary

# How much fuller the cell of our own data centre may be before another is chosen.
LOCAL_ADVANTAGE = 0.03
# What we sent to a cell counts until its owner's next heartbeat is sure to show it.
MEMORY_S = 1.6


@dataclass(frozen=True, slots=True)
class _Sent:
    """Remember work that was sent to a cell; ``cpu`` in thousandths of a core."""

    sent_at: float
    cell_id: str
    cpu: int
    fills: bool


class CellChooser:
    """Choose cells for submissions that clients of this host hand in."""

    def __init__(self, data_centre: str, membership: Membership, keeper: CellKeeper):
        self._data_centre = data_centre
        self._membership = membership
        self._keeper = keeper
        self._sent: list[_Sent] = []

    def choose(self, submission: Submission) -> str | None:
        """Return the cell to run ``submission``, or None if none is known."""
        summaries = self._summaries()
        service = submission.queue.service
        suitable = {
            cell_id: summary
            for cell_id, summary in summaries.items()
            if summary.service == service and summary.cpu_capacity > 0
        }
        if not suitable:
            return None
        wanted = next((s.data_rack for s in submission.steps if s.data_rack), "")
        fills = all(step.fills for step in submission.steps)
        chosen = wanted
        if wanted not in suitable:
            chosen = min(
                suitable, key=lambda cell: self._load(cell, suitable[cell], fills)
            )
        cpu = sum(step.n_tasks * step.demand.cpu_millis for step in submission.steps)
        self._sent.append(_Sent(now_s(), chosen, cpu, fills))
        return chosen

    def n_pending(self, queue: str) -> int:
        """Return how many submissions of ``queue`` have not begun."""
        return sum(
            summary.pending_by_queue.get(queue, 0)
            for summary in self._summaries().values()
        )

    def _load(self, cell_id: str, summary: CellSummary, fills: bool) -> float:
        """Return how full a cell is for fillers, or for all other work."""
        oldest = now_s() - MEMORY_S
        self._sent = [item for item in self._sent if item.sent_at >= oldest]
        sent = sum(
            item.cpu
            for item in self._sent
            if item.cell_id == cell_id and item.fills == fills
        )
        free = summary.cpu_left if fills else summary.cpu_free
        waiting = summary.fill_waiting if fills else summary.cpu_waiting
        used = summary.cpu_capacity - free
        load = (used + waiting + sent) / summary.cpu_capacity
        is_local = summary.data_centre == self._data_centre
        return load - LOCAL_ADVANTAGE if is_local else load

    def _summaries(self) -> dict[str, CellSummary]:
        summaries = self._membership.summaries()
        summaries.update(self._keeper.summaries())
        return summaries

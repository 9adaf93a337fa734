"""Choose the home cell of a new submission from the loads that owners publish."""

from collections.abc import Callable, Set
from dataclasses import dataclass

import xxhash

from berylcleat.model import Step, Submission
from berylcleat.scheduling import (
    AdmissionController,
    Admit,
    CellLoad,
    InterferenceModel,
    Refuse,
    ServiceLoads,
)

from ._cell_directory import CellDirectory
from ._cell_ownership import CellOwnershipManager
from ._clock import now_s
from ._home_choice import draw_cell, find_candidates
from ._metrics import HOME_CELLS
from ._operator_state import OperatorState
from ._records import CellSummary, headroom_from_summary

# Relative load by which a local cell may exceed a remote one and still be chosen.
LOCAL_PREFERENCE = 0.03
# Work assigned to a cell is added to its load for this long: by then its owner's next
# heartbeat is sure to include it.
ASSIGNMENT_MEMORY_S = 1.6
# Serving tasks of one image are packed into one cell up to this load, so that fillers
# find workers without the images they interfere with.
MAX_SERVING_LOAD = 0.9
# Mean seconds between the count of a remote cell's load and its receipt.
LOAD_DELAY_S = 0.5
# A cell that has lost its owner may have a new one by this time after its last load.
# One without an owner for longer can't take any work.
MISSING_LOAD_S = 10.0


def image_rank(image: str, cell_id: str) -> int:
    """Return a cell's sort key for an image (rendezvous hashing)."""
    return xxhash.xxh64_intdigest(f"{image}/{cell_id}".encode())


def _keep_labelled(
    step: Step, summary_by_cell: dict[str, CellSummary]
) -> dict[str, CellSummary]:
    """Return the cells with a worker that has a step's label, or all if none has."""
    if not step.required_label:
        return summary_by_cell
    labelled = {
        cell_id: summary
        for cell_id, summary in summary_by_cell.items()
        if headroom_from_summary(cell_id, summary).has_label(step)
    }
    return labelled or summary_by_cell


def _keep_holders(
    step: Step, summary_by_cell: dict[str, CellSummary]
) -> dict[str, CellSummary]:
    """Return the cells with a worker that has what a task needs beside processors.

    All if none has.
    """
    holders = {
        cell_id: summary
        for cell_id, summary in summary_by_cell.items()
        if headroom_from_summary(cell_id, summary).can_hold(step)
    }
    return holders or summary_by_cell


@dataclass(frozen=True, slots=True)
class _RecentAssignment:
    """Work recently assigned to a cell; ``cpu`` in thousandths of a core."""

    assigned_at: float
    cell_id: str
    cpu: int
    fills: bool


class CellChooser:
    """Chooser of home cells for the submissions that this host accepts."""

    def __init__(
        self,
        data_centre: str,
        cells: CellDirectory,
        ownership: CellOwnershipManager,
        interference: InterferenceModel,
        operator: OperatorState,
        admission_late_limit: float = 0.0,
        *,
        draws_home: bool = False,
        cell_of: Callable[[str], str] = str,
    ):
        self._operator = operator
        self._draws_home = draws_home
        # Cell of a rack; each rack is a cell of its own by default.
        self._cell_of = cell_of
        self._admission = (
            AdmissionController(admission_late_limit) if admission_late_limit else None
        )
        self._data_centre = data_centre
        self._cells = cells
        self._ownership = ownership
        self._interference = interference
        self._recent_assignments: list[_RecentAssignment] = []

    def decide(
        self, submission: Submission, *, may_refuse: bool = True
    ) -> Admit | Refuse | None:
        """Choose the home cell of ``submission``, or refuse it for load.

        Returns None if no cell suits it.

        Cells of evacuated data centres suit none.
        """
        service = submission.queue.service
        summaries = self._summaries()
        suitable = {
            cell_id: summary
            for cell_id, summary in summaries.items()
            if summary.service == service
            and summary.cpu_capacity > 0
            and summary.data_centre not in self._operator.evacuated
        }
        if not suitable:
            return None
        suitable = _keep_labelled(submission.steps[0], suitable)
        oldest = now_s() - ASSIGNMENT_MEMORY_S
        self._recent_assignments = [
            item for item in self._recent_assignments if item.assigned_at >= oldest
        ]
        decision = Admit(self._choose_among(submission, suitable))
        if self._admission is not None and may_refuse:
            loads = self._service_loads(
                submission, suitable, summaries.keys(), decision.cell_id
            )
            decision = self._admission.decide(submission, loads, now_s())
        if isinstance(decision, Refuse):
            return decision
        cpu = sum(step.n_tasks * step.demand.cpu_millis for step in submission.steps)
        fills = all(step.fills for step in submission.steps)
        self._recent_assignments.append(
            _RecentAssignment(now_s(), decision.cell_id, cpu, fills)
        )
        return decision

    def withdraw(self, submission_id: str) -> None:
        """Forget the admission of a submission that was not stored."""
        if self._admission is not None:
            self._admission.withdraw(submission_id)

    def _service_loads(
        self,
        submission: Submission,
        suitable: dict[str, CellSummary],
        known_cell_ids: Set[str],
        chosen: str,
    ) -> ServiceLoads:
        now = now_s()
        step = submission.steps[0]
        cells = [
            self._cell_load(cell_id, summary, step, now)
            for cell_id, summary in suitable.items()
        ]
        service = submission.queue.service
        cells += self._missing_loads(service, known_cell_ids, now)
        n_hosts = self._cells.count_owning_hosts()
        return ServiceLoads(tuple(cells), chosen, self._data_centre, *n_hosts)

    def _cell_load(
        self, cell_id: str, summary: CellSummary, step: Step, now: float
    ) -> CellLoad:
        age_s = 0.0
        if cell_id not in self._ownership.controller_by_cell:
            age_s = self._cells.load_age_s(cell_id, now) + LOAD_DELAY_S
        if step.fills:
            headroom = headroom_from_summary(cell_id, summary)
            room = headroom.headroom_for_filler(step.image, self._interference)
        else:
            room = summary.count_slots(step) * step.demand.cpu_millis
        return CellLoad(cell_id, summary.backlog, age_s, max(0, room))

    def _missing_loads(
        self, service: str, known_cell_ids: Set[str], now: float
    ) -> list[CellLoad]:
        """Return the cells that have lately lost the owner that reported their load."""
        return [
            CellLoad(cell_id, None, self._cells.load_age_s(cell_id, now), 0)
            for cell_id, summary in self._cells.last_summaries().items()
            if summary.service == service
            and summary.data_centre not in self._operator.evacuated
            and cell_id not in known_cell_ids
            and self._cells.load_age_s(cell_id, now) <= MISSING_LOAD_S
        ]

    def explain_refusal(self) -> str:
        """Return why ``decide`` has found no cell."""
        if not self._operator.evacuated:
            return "no suitable cell is known"
        names = " ".join(sorted(self._operator.evacuated))
        return f"no suitable cell is known outside the evacuated data centres {names}"

    def n_pending(self, queue: str) -> int:
        """Return how many submissions of ``queue`` have not started.

        A cell without a current owner counts with what its last one published.
        """
        summaries = self._cells.last_summaries()
        summaries.update(self._ownership.summaries())
        return sum(
            summary.pending_by_queue.get(queue, 0) for summary in summaries.values()
        )

    def _choose_among(
        self, submission: Submission, suitable: dict[str, CellSummary]
    ) -> str:
        data_rack = next((s.data_rack for s in submission.steps if s.data_rack), "")
        data_cell_id = self._cell_of(data_rack)
        if data_cell_id in suitable:
            return data_cell_id
        first_step = submission.steps[0]
        if self._draws_home and not first_step.target_latency_ms:
            return self._draw_among(submission, suitable)
        if first_step.fills:
            return self._choose_for_fillers(first_step, suitable)
        if first_step.target_latency_ms:
            return self._choose_for_image(first_step, suitable)
        return self._choose_by_slots(first_step, suitable)

    def _choose_for_fillers(self, step: Step, suitable: dict[str, CellSummary]) -> str:
        """Return the cell with the most headroom for fillers of a step's image."""
        return max(
            suitable,
            key=lambda cell_id: self._filler_headroom(cell_id, suitable[cell_id], step),
        )

    def _draw_among(
        self, submission: Submission, suitable: dict[str, CellSummary]
    ) -> str:
        """Draw a cell among those that can hold the first step."""
        step = submission.steps[0]
        if step.fills:
            needed = float(step.n_tasks * step.demand.cpu_millis)
            headroom_by_cell = {
                cell_id: float(self._filler_cpu_left(cell_id, summary, step))
                for cell_id, summary in suitable.items()
            }
        else:
            needed = float(step.n_tasks)
            headroom_by_cell = {
                cell_id: float(self._n_slots_left(cell_id, summary, step))
                for cell_id, summary in suitable.items()
            }
        candidates = find_candidates(headroom_by_cell, needed)
        drawn = draw_cell(candidates, submission.submission_id)
        if drawn is not None:
            fits = headroom_by_cell[drawn] >= needed
            HOME_CELLS.labels("fits" if fits else "partial").inc()
            return drawn
        HOME_CELLS.labels("full").inc()
        if step.fills:
            return self._choose_for_fillers(step, suitable)
        return self._choose_by_slots(step, suitable)

    def _n_slots_left(self, cell_id: str, summary: CellSummary, step: Step) -> int:
        """Return how many more tasks fit beside those that this host assigned there."""
        cpu = max(step.allocation.cpu_millis, 1)
        n_assigned = self._recently_assigned_cpu(cell_id, fills=False) // cpu
        return summary.count_slots(step) - n_assigned

    def _choose_by_slots(self, step: Step, suitable: dict[str, CellSummary]) -> str:
        """Return the cell where most tasks of a step start at once.

        Among equals it is the least loaded one.
        """

        def rank(cell_id: str) -> tuple[int, float]:
            summary = suitable[cell_id]
            n_slots = self._n_slots_left(cell_id, summary, step)
            return -min(n_slots, step.n_tasks), self._load(cell_id, summary)

        return min(suitable, key=rank)

    def _choose_for_image(self, step: Step, suitable: dict[str, CellSummary]) -> str:
        """Return the first cell with headroom in the image's hash order."""
        suitable = _keep_holders(step, suitable)
        cpu = step.n_tasks * step.demand.cpu_millis
        ranked = sorted(suitable, key=lambda cell_id: image_rank(step.image, cell_id))
        for cell_id in ranked:
            summary = suitable[cell_id]
            if (
                self._load(cell_id, summary) + cpu / summary.cpu_capacity
                < MAX_SERVING_LOAD
            ):
                return cell_id
        return min(suitable, key=lambda cell_id: self._load(cell_id, suitable[cell_id]))

    def _load(self, cell_id: str, summary: CellSummary) -> float:
        """Return a cell's load relative to its capacity, lowered for a local cell."""
        used = summary.cpu_capacity - summary.cpu_free
        total = (
            used
            + summary.cpu_waiting
            + self._recently_assigned_cpu(cell_id, fills=False)
        )
        load = total / summary.cpu_capacity
        is_local = summary.data_centre == self._data_centre
        return load - LOCAL_PREFERENCE if is_local else load

    def _filler_headroom(self, cell_id: str, summary: CellSummary, step: Step) -> float:
        """Return the headroom for fillers of a step's image, raised for a local cell.

        The headroom is relative to the cell's capacity.
        """
        cpu_left = self._filler_cpu_left(cell_id, summary, step)
        is_local = summary.data_centre == self._data_centre
        preference = LOCAL_PREFERENCE if is_local else 0.0
        return cpu_left / summary.cpu_capacity + preference

    def _filler_cpu_left(self, cell_id: str, summary: CellSummary, step: Step) -> int:
        """Return the processor time left beside images that a step doesn't disturb."""
        headroom = headroom_from_summary(cell_id, summary)
        if not headroom.can_hold(step):
            return 0
        cpu_left = headroom.headroom_for_filler(step.image, self._interference)
        return cpu_left - self._recently_assigned_cpu(cell_id, fills=True)

    def _recently_assigned_cpu(self, cell_id: str, *, fills: bool) -> int:
        return sum(
            item.cpu
            for item in self._recent_assignments
            if item.cell_id == cell_id and item.fills == fills
        )

    def _summaries(self) -> dict[str, CellSummary]:
        summaries = self._cells.summaries()
        summaries.update(self._ownership.summaries())
        return summaries

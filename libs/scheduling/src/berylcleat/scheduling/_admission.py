"""Admission of new submissions while their service has more work than it can do.

A submission is refused only if the reports show that the cells of its service together
can't finish it within the limit: whatever is unknown counts in its favour.
"""

import math
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from berylcleat.model import Submission

from ._backlog import (
    CORE_SECOND,
    RATE_WINDOW_S,
    CellBacklog,
    DrainRate,
    NewWork,
    Queued,
    expected_finish_s,
    make_new_work,
    reported_ahead,
    total_rate,
)
from ._fair_shares import is_below_share

# Age in seconds from which a report counts as unknown.
MAX_REPORT_AGE_S = 5.0


@dataclass(frozen=True, slots=True)
class Account:
    """Clients that share one part of the capacity: a queue and where they arrive."""

    queue: str
    data_centre: str

    def __str__(self) -> str:
        return f"{self.queue}@{self.data_centre}"


# Accounts that are not named one by one.
REST = Account("", "")


@dataclass(frozen=True, slots=True)
class CellLoad:
    """Load of a cell as this host knows it.

    ``backlog`` is None if it isn't known. ``room`` is the processor time in which tasks
    of the submission's first step can start at once, in thousandths of a core.
    """

    cell_id: str
    backlog: CellBacklog | None
    age_s: float
    room: int

    @property
    def is_known(self) -> bool:
        """Whether the report can be relied on."""
        return self.backlog is not None and self.age_s <= MAX_REPORT_AGE_S


@dataclass(frozen=True, slots=True)
class ServiceLoads:
    """Loads of all cells of a service, and the cell chosen for a submission.

    ``n_hosts`` is how many hosts accept submissions, ``n_local_hosts`` how many of them
    are in ``data_centre``, where the submission arrived.
    """

    cells: tuple[CellLoad, ...]
    preferred_cell_id: str
    data_centre: str
    n_hosts: int = 1
    n_local_hosts: int = 1


class RefusalReason(Enum):
    """Why a submission is refused."""

    # Its account has its fair share of the outstanding work, or more.
    OVER_SHARE = "over-share"


@dataclass(frozen=True, slots=True)
class Admit:
    """Admission to a cell; ``estimate_s`` is None if it was not needed or known."""

    cell_id: str
    estimate_s: float | None = None


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refusal, with the time after which to send the submission again."""

    retry_after_s: int
    estimate_s: float
    limit_s: float
    account: Account
    reason: RefusalReason


@dataclass(frozen=True, slots=True)
class _Admission:
    """Submission that this host has admitted, with its first step's processor time."""

    submission_id: str
    cell_id: str
    account: Account
    admitted_at: float
    due_at: float
    late_at: float
    priority: int
    work: dict[bool, int]
    fills: bool
    cpu: int

    def precedes(self, new: NewWork, now: float) -> bool:
        """Return whether it is still to be served before a new submission."""
        if self.priority != new.priority:
            return self.priority < new.priority
        return self.late_at > now and self.due_at <= now + new.due_in_s


class AdmissionController:
    """Decisions of one host about the submissions that it receives.

    It keeps what the host has admitted and refused in the last seconds; nothing is lost
    with it that the next reports don't tell.
    """

    def __init__(self, late_limit: float):
        self._late_limit = late_limit
        self._admissions: list[_Admission] = []
        self._turns: defaultdict[tuple[int, bool], _RetryTurns] = defaultdict(
            _RetryTurns
        )

    def decide(
        self, submission: Submission, loads: ServiceLoads, now: float
    ) -> Admit | Refuse:
        """Admit a submission, or refuse it for load."""
        decision = self._decide(submission, loads, now)
        if isinstance(decision, Admit):
            self._remember(submission, loads, decision.cell_id, now)
        return decision

    def withdraw(self, submission_id: str) -> None:
        """Forget an admission that was not stored."""
        self._admissions = [
            item for item in self._admissions if item.submission_id != submission_id
        ]

    def _decide(
        self, submission: Submission, loads: ServiceLoads, now: float
    ) -> Admit | Refuse:
        preferred = Admit(loads.preferred_cell_id)
        oldest = now - MAX_REPORT_AGE_S - RATE_WINDOW_S
        self._admissions = [
            item for item in self._admissions if item.admitted_at > oldest
        ]
        if is_never_refused(submission):
            return preferred
        if not loads.cells or not all(cell.is_known for cell in loads.cells):
            return preferred
        views = self._view_cells(loads, now)
        if _has_capacity(submission, views):
            return preferred
        new = make_new_work(submission)
        limit_s = self._late_limit * new.due_in_s
        best = _best_estimate(new, views, loads.preferred_cell_id, limit_s)
        if best is None or best.estimate_s <= limit_s:
            return best or preferred
        account = Account(submission.queue.name, loads.data_centre)
        if _is_below_share(account, new, views, limit_s):
            return Admit(loads.preferred_cell_id, best.estimate_s)
        return self._refuse(account, new, views, best.estimate_s, limit_s, now)

    def _view_cells(self, loads: ServiceLoads, now: float) -> list["_CellView"]:
        by_cell = defaultdict(list)
        for item in self._admissions:
            by_cell[item.cell_id].append(item)
        share = _own_share(loads, by_cell, now)
        return [
            _CellView(cell, loads, share, by_cell[cell.cell_id], now)
            for cell in loads.cells
        ]

    def _refuse(
        self,
        account: Account,
        new: NewWork,
        views: list["_CellView"],
        estimate_s: float,
        limit_s: float,
        now: float,
    ) -> Refuse:
        kind = new.main_kind
        own_rate = sum(view.share * view.rate(kind).upper_bound() for view in views)
        retry_after_s = self._turns[(new.priority, kind)].assign(
            now,
            excess_s=estimate_s - limit_s,
            spacing_s=new.work[kind] / own_rate,
            latest_s=limit_s - new.path_s,
        )
        reason = RefusalReason.OVER_SHARE
        return Refuse(retry_after_s, estimate_s, limit_s, account, reason)

    def _remember(
        self, submission: Submission, loads: ServiceLoads, cell_id: str, now: float
    ) -> None:
        new = make_new_work(submission)
        first = submission.steps[0]
        account = Account(submission.queue.name, loads.data_centre)
        self._admissions.append(
            _Admission(
                submission.submission_id,
                cell_id,
                account,
                now,
                now + new.due_in_s,
                now + new.late_in_s,
                new.priority,
                new.work,
                first.fills,
                first.n_tasks * first.demand.cpu_millis,
            )
        )


def _is_below_share(
    account: Account, new: NewWork, views: list["_CellView"], limit_s: float
) -> bool:
    """Return whether an account uses less than its share of what can be done."""
    kind = new.main_kind
    used: defaultdict[Account, float] = defaultdict(float)
    preceding = 0.0
    for view in views:
        for row in view.backlog.queues:
            if row.fills != kind or row.priority > new.priority:
                continue
            for data_centre, work in row.by_data_centre.items():
                outstanding = CORE_SECOND * sum(work)
                if row.priority < new.priority:
                    preceding += outstanding
                else:
                    used[Account(row.queue, data_centre)] += outstanding
        for item in view.since:
            if item.priority == new.priority:
                work = item.work[kind]
                used[item.account] += work / view.account_share
                # The hosts of other data centres have admitted other accounts.
                used[REST] += work / view.share - work / view.account_share
    rate = total_rate(view.rate(kind) for view in views)
    capacity = rate * limit_s - preceding
    return is_below_share(account, used, new.work[kind], capacity)


def _own_share(
    loads: ServiceLoads, by_cell: Mapping[str, list[_Admission]], now: float
) -> float:
    """Return which part of the capacity that the reports leave is this host's.

    It is the mean of an equal part and of the host's share of the recent admissions:
    that share is of few submissions, and clients may have just come from other hosts.
    The parts of all hosts add up to 1.
    """
    equal = 1 / max(loads.n_hosts, 1)
    own = 0
    for cell in loads.cells:
        reported_at = now - cell.age_s
        own += sum(
            sum(item.work.values())
            for item in by_cell[cell.cell_id]
            if reported_at - RATE_WINDOW_S < item.admitted_at <= reported_at
        )
    if not own:
        return equal
    total = sum(cell.backlog.admitted for cell in loads.cells)
    return (equal + own / max(own, total)) / 2


class _CellView:
    """What a host expects of a cell now, from its report and its own admissions."""

    def __init__(
        self,
        load: CellLoad,
        loads: ServiceLoads,
        share: float,
        here: list[_Admission],
        now: float,
    ):
        self.cell_id = load.cell_id
        self.room = load.room
        self.backlog = load.backlog
        self.share = share
        # An account's clients come to the hosts of one data centre only.
        n_hosts_a_local = loads.n_hosts / max(loads.n_local_hosts, 1)
        self.account_share = min(1.0, share * n_hosts_a_local)
        self._age_s = load.age_s
        self._now = now
        # Admitted after the report was made.
        self.since = [item for item in here if item.admitted_at > now - load.age_s]

    def rate(self, fills: bool) -> DrainRate:
        """Return the drain of a kind of work."""
        return self.backlog.rate(fills=fills)

    def room_left(self, fills: bool) -> float:
        """Return the room that the host's own admissions have left of its part."""
        used = sum(item.cpu for item in self.since if item.fills == fills)
        return self.room - used / self.share

    def queued(self, new: NewWork, fills: bool, rate: float) -> Queued:
        """Return the work ahead of a new submission if it drains at ``rate``."""
        reported = reported_ahead(self.backlog, new, self._age_s, fills=fills)
        own = sum(
            item.work[fills] for item in self.since if item.precedes(new, self._now)
        )
        # The host uses its part of the capacity only, so its own count for the others'.
        drained = rate * self._age_s
        return Queued(max(0.0, reported + own / self.share - drained), rate)


class _RetryTurns:
    """Times at which refused clients are told to return, in the order of refusal."""

    def __init__(self):
        self._next_turn = float("-inf")
        self._last_told = float("-inf")

    def assign(
        self, now: float, *, excess_s: float, spacing_s: float, latest_s: float
    ) -> int:
        """Return after how many whole seconds to return, at most ``latest_s``.

        The backlog admits one more submission ``excess_s`` from now, and then one every
        ``spacing_s``. Turns that nobody can wait for are not taken.
        """
        latest_s = max(1, math.floor(latest_s))
        turn = max(now + excess_s, self._next_turn)
        wait_s = max(1, math.ceil(max(turn, self._last_told) - now))
        if wait_s > latest_s:
            return latest_s
        self._next_turn = turn + spacing_s
        self._last_told = now + wait_s
        return wait_s


def is_never_refused(submission: Submission) -> bool:
    """Return whether load is no reason to refuse: it has no end, or starts later."""
    return submission.is_scheduled or any(
        step.is_long_running for step in submission.steps
    )


def _has_capacity(submission: Submission, views: list[_CellView]) -> bool:
    """Return whether the first step can start at once, a gang in one cell."""
    step = submission.steps[0]
    needed = step.n_tasks * step.demand.cpu_millis
    rooms = [max(0.0, view.room_left(step.fills)) for view in views]
    return (max(rooms) if step.is_gang else sum(rooms)) >= needed


def _best_estimate(
    new: NewWork, views: list[_CellView], preferred_cell_id: str, limit_s: float
) -> Admit | None:
    """Return the earliest finish with its cell, or None if load doesn't matter.

    Waiting tasks move between cells, so either all cells together may do the work, or
    one cell alone that has less ahead than the others.
    """
    rates = {kind: total_rate(v.rate(kind) for v in views) for kind in new.kinds}
    if min(rates.values()) <= 0:
        return None
    queued_by_cell = {
        view.cell_id: {
            kind: view.queued(new, kind, _cell_rate(view, views, kind, rates[kind]))
            for kind in new.kinds
        }
        for view in views
    }
    together = {
        kind: _sum_queued([q[kind] for q in queued_by_cell.values()], rates[kind])
        for kind in new.kinds
    }
    if not any(queued.ahead for queued in together.values()):
        return None
    estimate_by_cell = {
        cell_id: expected_finish_s(new, queued)
        for cell_id, queued in queued_by_cell.items()
    }
    together_s = expected_finish_s(new, together)
    preferred_s = min(together_s, estimate_by_cell.get(preferred_cell_id, together_s))
    best_id = min(estimate_by_cell, key=estimate_by_cell.__getitem__)
    if preferred_s <= limit_s or preferred_s <= estimate_by_cell[best_id]:
        return Admit(preferred_cell_id, preferred_s)
    return Admit(best_id, estimate_by_cell[best_id])


def _cell_rate(
    view: _CellView, views: list[_CellView], kind: bool, rate: float
) -> float:
    """Return a cell's part of the common rate, by the processors it can use.

    A single cell ends too few submissions to tell its rate.
    """
    processors = sum(other.rate(kind).processors for other in views)
    return rate * view.rate(kind).processors / processors if processors else 0.0


def _sum_queued(parts: list[Queued], rate: float) -> Queued:
    return Queued(sum(part.ahead for part in parts), rate)

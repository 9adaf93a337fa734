"""Release of workers that are avoided or on probation, for tasks that wait too long.

Failures and outages keep starts from a worker, at most for some seconds. That is too
long for a task that no other worker can hold while most of the capacity is free.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from ._interference import InterferenceModel
from ._moves import CellHeadroom
from ._placement import explain_rejection
from ._service_use import reserved_share
from ._submissions import ReadyStep
from ._workers import WorkerView

# Seconds that a step is stuck before it may use such a worker, and seconds between two
# starts there; the platform requires waiting work to run within 3 s while less than
# half of the capacity is in use. A release lasts long enough for a record of the start.
MAX_AVOIDANCE_WAIT_S = 1.5
MIN_RELEASE_PERIOD_S = 0.5
RELEASE_S = 1.0
MAX_RESERVED_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class AvoidedCapacity:
    """Processors of workers that answer but may start nothing for now.

    The unit is a thousandth of a core.
    """

    total: int
    free: int


def count_avoided(views: Iterable[WorkerView], now: float) -> AvoidedCapacity:
    """Return the capacity of workers that are avoided or on probation.

    A service whose cells avoid much of it isn't as full as what may start tells.
    """
    avoided = [
        view
        for view in views
        if not view.explain_no_answer(now) and not view.can_start(now)
    ]
    return AvoidedCapacity(
        sum(view.effective_cpu_millis() for view in avoided),
        sum(view.effective_free_millis() for view in avoided),
    )


def release_workers(
    views: Iterable[WorkerView],
    waiting: Iterable[ReadyStep],
    others: tuple[CellHeadroom, ...],
    interference: InterferenceModel,
    now: float,
) -> None:
    """Release each worker for one start that holds a step which has waited too long.

    ``others`` is the headroom of other cells, which counts as capacity too.
    """
    views = list(views)
    avoided = [
        view
        for view in views
        if now >= view.released_until
        and now - view.last_start_at > MIN_RELEASE_PERIOD_S
        and view.explain_avoidance(now)
    ]
    if not avoided:
        return
    for ready in waiting:
        if ready.starved_s(now) <= MAX_AVOIDANCE_WAIT_S:
            continue
        service = ready.tracked.submission.queue.service
        if not ready.step.is_long_running and (
            reserved_share(service, views, others, now) >= MAX_RESERVED_SHARE
        ):
            continue
        task = ready.task(min(ready.waiting))
        for view in avoided:
            if not explain_rejection(task, ready.step, service, view, interference):
                view.released_until = now + RELEASE_S

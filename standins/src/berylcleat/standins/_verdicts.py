"""Verdicts over recorded histories."""

from collections import Counter

from ._history import HistoryEvent

TASK_END_KINDS = (
    "task-finished",
    "task-failed",
    "task-checkpointed",
    "task-stopped",
    "task-lapsed",
)
WORKER_END_KINDS = ("worker-restart", "worker-lost")


def overlapping_attempts(events: list[HistoryEvent]) -> list[str]:
    """Return the tasks that ran in two places at once.

    Events of one machine share its monotonic clock, so they can be ordered across
    processes. A worker's restart or loss ends all that it ran.
    """
    place_by_task: dict[str, str] = {}
    doubled = []
    for event in sorted(events, key=lambda event: event.at_s):
        if event.kind == "task-start":
            if event.subject in place_by_task:
                doubled.append(event.subject)
            place_by_task[event.subject] = event.place
        elif event.kind in TASK_END_KINDS:
            if place_by_task.get(event.subject) == event.place:
                del place_by_task[event.subject]
        elif event.kind in WORKER_END_KINDS:
            gone = [t for t, place in place_by_task.items() if place == event.place]
            for task_id in gone:
                del place_by_task[task_id]
    return doubled


def double_runs(events: list[HistoryEvent]) -> list[str]:
    """Return the request ids that upstreams began to run more than once."""
    counts = Counter(e.subject for e in events if e.kind == "request-run")
    return sorted(request_id for request_id, n in counts.items() if n > 1)

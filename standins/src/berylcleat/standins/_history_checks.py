"""Checks for tasks and requests that ran twice, on recorded histories."""

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


def find_overlapping_tasks(events: list[HistoryEvent]) -> list[str]:
    """Return the ids of tasks that started while an earlier attempt was running.

    All processes run on one machine and share its monotonic clock, so their events
    can be sorted by time. A worker's restart or loss ends all of its tasks.
    """
    worker_by_task: dict[str, str] = {}
    overlapping = []
    for event in sorted(events, key=lambda event: event.at_s):
        if event.kind == "task-start":
            if event.subject in worker_by_task:
                overlapping.append(event.subject)
            worker_by_task[event.subject] = event.place
        elif event.kind in TASK_END_KINDS:
            if worker_by_task.get(event.subject) == event.place:
                del worker_by_task[event.subject]
        elif event.kind in WORKER_END_KINDS:
            ended_tasks = [
                task_id
                for task_id, worker_id in worker_by_task.items()
                if worker_id == event.place
            ]
            for task_id in ended_tasks:
                del worker_by_task[task_id]
    return overlapping


def find_repeated_requests(events: list[HistoryEvent]) -> list[str]:
    """Return the ids of requests that upstreams started more than once, sorted."""
    counts = Counter(e.subject for e in events if e.kind == "request-run")
    return sorted(request_id for request_id, n in counts.items() if n > 1)

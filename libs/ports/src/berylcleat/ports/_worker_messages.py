"""Messages between a cell's owner and a worker: one exchange carries all.

A worker grants its lease from its own clock: each reply carries ``worker_time_s``
and the next request echoes it, so that a request which was long under way can't
extend a lease. Source: Gray and Cheriton, Leases, SOSP 1989 (the grantor's clock).
"""

import msgspec


class TaskStart(msgspec.Struct, frozen=True, array_like=True):
    """Ask to start one attempt of a task."""

    task_id: str
    attempt: int
    cores: float
    memory_gb: float
    accelerators: int
    run_s: float
    progress_s: float = 0.0
    trace: str = ""


class TaskStop(msgspec.Struct, frozen=True, array_like=True):
    """Ask to stop one attempt, after a checkpoint if ``checkpoint`` is set."""

    task_id: str
    attempt: int
    checkpoint: bool = False


class TaskThrottle(msgspec.Struct, frozen=True, array_like=True):
    """Ask to slow one attempt down, or to let it run freely again."""

    task_id: str
    attempt: int
    is_on: bool


class TaskRunning(msgspec.Struct, frozen=True, array_like=True):
    """Report one running attempt with its lagging usage."""

    task_id: str
    attempt: int
    cores_used: float = 0.0
    memory_gb_used: float = 0.0
    is_throttled: bool = False


class TaskEnd(msgspec.Struct, frozen=True, array_like=True):
    """Report how one attempt ended; kept until the owner forgets it.

    ``state`` is finished, failed, checkpointed, stopped or lapsed.
    """

    task_id: str
    attempt: int
    state: str
    progress_s: float = 0.0


class ExchangeRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Renew the lease of a worker and change what it runs.

    ``incarnation`` is the worker's own, as of its last reply; starts are refused
    when it is another one. ``echo_time_s`` is the last reply's ``worker_time_s``.
    ``sequence`` rises with each request under an epoch; an older one that arrives
    late is refused. ``seen_version`` is the version of the worker's state that the
    owner has; 0 asks for everything.
    """

    worker_id: str
    cell_id: str
    epoch: int
    sequence: int
    lease_s: float
    incarnation: str = ""
    echo_time_s: float = 0.0
    seen_version: int = 0
    starts: tuple[TaskStart, ...] = ()
    stops: tuple[TaskStop, ...] = ()
    forget: tuple[TaskStop, ...] = ()
    throttles: tuple[TaskThrottle, ...] = ()


class ExchangeReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """Report what the worker runs, what ended and what it uses.

    With ``base_version`` above 0, ``running`` holds only what is new since that
    version; what was known and is not in ``ended`` runs on. ``service_slowdown`` is
    the lagging ratio of the service's tail latency to its target.
    """

    worker_id: str
    incarnation: str
    epoch: int
    worker_time_s: float
    version: int = 0
    base_version: int = 0
    accepted: bool = True
    running: tuple[TaskRunning, ...] = ()
    ended: tuple[TaskEnd, ...] = ()
    refused: tuple[TaskStop, ...] = ()
    is_leaving: bool = False
    service_slowdown: float = 1.0
    service_cores_used: float = 0.0

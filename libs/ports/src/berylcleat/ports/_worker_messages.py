"""Messages between a cell's owner and a worker.

One request and its reply carry renewals, starts, stops, throttles and reports.

A worker computes the lease expiry on its own clock: each reply carries
``worker_time_s`` and the next request echoes it. The lease counts from the echoed
time, so a delayed request can't extend it. Source: Gray and Cheriton, Leases,
SOSP 1989 (the grantor's clock).
"""

import msgspec


class TaskStart(msgspec.Struct, frozen=True, array_like=True):
    """Order to start an attempt of a task."""

    task_id: str
    attempt: int
    cores: float
    memory_gb: float
    accelerators: int
    run_s: float
    progress_s: float = 0.0
    trace: str = ""


class TaskStop(msgspec.Struct, frozen=True, array_like=True):
    """Order to stop an attempt, after a checkpoint if ``checkpoint`` is set."""

    task_id: str
    attempt: int
    checkpoint: bool = False


class TaskThrottle(msgspec.Struct, frozen=True, array_like=True):
    """Order to throttle an attempt or to lift the throttle."""

    task_id: str
    attempt: int
    is_on: bool


class TaskRunning(msgspec.Struct, frozen=True, array_like=True):
    """Running attempt and its latest known resource usage, which lags behind."""

    task_id: str
    attempt: int
    cores_used: float = 0.0
    memory_gb_used: float = 0.0
    is_throttled: bool = False


class TaskEnd(msgspec.Struct, frozen=True, array_like=True):
    """Ended attempt; the worker reports it until the owner lists it in ``forget``.

    ``state`` is finished, failed, checkpointed, stopped or lapsed.
    """

    task_id: str
    attempt: int
    state: str
    progress_s: float = 0.0


class ExchangeRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Lease renewal and orders for a worker.

    ``incarnation`` is that of the worker's last reply; the worker rejects starts
    that name another incarnation. ``echo_time_s`` is the last reply's
    ``worker_time_s``. ``sequence`` increases with each request of an epoch, and the
    worker rejects requests that arrive out of order. ``seen_version`` is the version
    of the worker's state known to the owner; 0 requests the full state.
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
    """State of a worker: running attempts, ended attempts and resource usage.

    If ``base_version`` is above 0, ``running`` is a delta: it holds only attempts
    that changed after that version, and known attempts not in ``ended`` still run.
    ``service_slowdown`` is the ratio of the service's tail latency to its target, and
    lags behind.
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

"""Generate seeded traces of six kinds: a base load combined with one stress each."""

from collections.abc import Callable

import numpy as np

from berylcleat.model import URGENT_PRIORITY, JobSpec, Resources

from ._trace import (
    TRACE_VERSION,
    BrokenLine,
    CancelLine,
    Event,
    GroupLine,
    Header,
    JobLine,
    LoadLine,
    NoiseLine,
    Trace,
    WorkerLine,
)

HORIZON_S = 1_800
N_WORKERS = 24
N_WORKERS_PER_RACK = 8
N_SERVING_PER_RACK = 5
LOAD_STEP_S = 15
DEADLINE_MS = 60.0
URGENT_INTERVAL_S = 90

GROUPS = (
    GroupLine("quiet", 0.03),
    GroupLine("render", 0.12),
    GroupLine("index", 0.25),
    GroupLine("noisy", 0.90),
)
GROUP_SHARES = (0.35, 0.35, 0.20, 0.10)


def _make_workers(cores: float, memory_gb: float) -> tuple[WorkerLine, ...]:
    lines = []
    for index in range(N_WORKERS):
        rack, position = divmod(index, N_WORKERS_PER_RACK)
        has_replica = position < N_SERVING_PER_RACK
        reserved = (
            Resources(cores * 0.4, memory_gb * 0.25) if has_replica else Resources()
        )
        capacity = Resources(
            cores, memory_gb, 2 if position == N_WORKERS_PER_RACK - 1 else 0
        )
        lines.append(
            WorkerLine(
                f"w{index}", f"dc-{rack + 1}", f"rack-{rack + 1}", capacity, reserved
            )
        )
    return tuple(lines)


def _make_load_events(
    workers: tuple[WorkerLine, ...], random_state: np.random.Generator
) -> list[Event]:
    """Return a sinusoidal service load with one step change and per-worker noise."""
    phase = random_state.uniform(0, 2 * np.pi)
    shift_at = random_state.uniform(0.3, 0.7) * HORIZON_S
    shift = random_state.uniform(-0.2, 0.25)
    events: list[Event] = []
    for at_s in range(0, HORIZON_S, LOAD_STEP_S):
        base = 0.5 + 0.25 * np.sin(phase + 2 * np.pi * at_s / HORIZON_S)
        base += shift if at_s > shift_at else 0.0
        for worker in workers:
            if worker.reserved.cores:
                level = float(np.clip(base + random_state.normal(0, 0.05), 0.05, 0.95))
                events.append(LoadLine(float(at_s), worker.worker_id, round(level, 3)))
    return events


def _make_job(
    job_id: str,
    at_s: float,
    group: str,
    random_state: np.random.Generator,
    *,
    priority: int = 10,
    n_tasks: int | None = None,
    run_s: float | None = None,
) -> JobLine:
    cores = int(random_state.choice([1, 2, 4, 8], p=[0.3, 0.35, 0.25, 0.1]))
    run_s = run_s or float(np.round(random_state.uniform(30, 180), 1))
    n_tasks = n_tasks or int(random_state.integers(10, 60))
    deadline_s = float(np.round(at_s + run_s * random_state.uniform(4, 9), 1))
    spec = JobSpec(
        job_id,
        n_tasks,
        Resources(cores, float(cores * 2)),
        run_s,
        {"kind": group},
        f"team-{int(random_state.integers(0, 20))}",
        priority,
        deadline_s=deadline_s,
    )
    return JobLine(float(np.round(at_s, 1)), spec)


def _make_batch_jobs(random_state: np.random.Generator, n_jobs: int) -> list[Event]:
    """Return batch jobs that exceed the capacity; a quarter is submitted at time 0."""
    group_names = [group.group for group in GROUPS]
    events: list[Event] = []
    for index in range(n_jobs):
        at_s = 0.0 if index < n_jobs // 4 else random_state.uniform(0, HORIZON_S * 0.85)
        group = str(random_state.choice(group_names, p=GROUP_SHARES))
        events.append(_make_job(f"batch-{index}", at_s, group, random_state))
    return events


def _make_urgent_jobs(random_state: np.random.Generator) -> list[Event]:
    events: list[Event] = []
    for index, at_s in enumerate(range(120, HORIZON_S - 120, URGENT_INTERVAL_S)):
        submitted_at_s = at_s + random_state.uniform(0, 30)
        events.append(
            _make_job(
                f"urgent-{index}",
                submitted_at_s,
                "render",
                random_state,
                priority=URGENT_PRIORITY,
                n_tasks=int(random_state.integers(1, 4)),
                run_s=20.0,
            )
        )
    return events


def _make_interference_events(random_state: np.random.Generator) -> list[Event]:
    """Return periods in which one group's interference is multiplied by 3 to 8."""
    events: list[Event] = []
    at_s = 150.0
    while at_s < HORIZON_S - 200:
        group = str(random_state.choice(["render", "index", "quiet"]))
        factor = float(np.round(random_state.uniform(3, 8), 2))
        events.append(NoiseLine(at_s, group, factor))
        at_s += random_state.uniform(60, 120)
        events.append(NoiseLine(float(at_s), group, 1.0))
        at_s += random_state.uniform(80, 200)
    return events


def _make_misdeclared_groups(
    random_state: np.random.Generator,
) -> tuple[GroupLine, ...]:
    return tuple(
        GroupLine(
            group.group,
            group.interference,
            size_ratio=float(np.round(random_state.uniform(0.4, 1.7), 2)),
            run_ratio=float(np.round(random_state.uniform(0.5, 2.5), 2)),
        )
        for group in GROUPS
    )


def _make_broken_worker_events(random_state: np.random.Generator) -> list[Event]:
    events: list[Event] = []
    for worker in random_state.choice(N_WORKERS, size=3, replace=False):
        at_s = float(np.round(random_state.uniform(60, 600), 1))
        events.append(BrokenLine(at_s, f"w{worker}", True))
        events.append(BrokenLine(at_s + 600, f"w{worker}", False))
    events.append(
        _make_job("cursed", 100.0, "cursed", random_state, n_tasks=10, run_s=30.0)
    )
    return events


def _make_cancellations(
    batch: list[Event], random_state: np.random.Generator
) -> list[Event]:
    events: list[Event] = []
    for at_s in (300.0, 700.0, 1_100.0):
        jobs = [e for e in batch if isinstance(e, JobLine) and e.at_s <= at_s]
        for line in jobs:
            if random_state.random() < 0.35:
                cancelled_at_s = at_s + float(np.round(random_state.uniform(0, 3), 1))
                events.append(CancelLine(cancelled_at_s, line.spec.job_id))
    return events


def _make_press_season(random_state: np.random.Generator) -> Trace:
    batch = _make_batch_jobs(random_state, 110)
    return _assemble_trace(
        "press-season", random_state, batch + _make_urgent_jobs(random_state)
    )


def _make_permit_desk(random_state: np.random.Generator) -> Trace:
    events = _make_batch_jobs(random_state, 200) + _make_urgent_jobs(random_state)
    return _assemble_trace(
        "permit-desk", random_state, events, cores=64.0, memory_gb=250.0
    )


def _make_noisy_waves(random_state: np.random.Generator) -> Trace:
    events = (
        _make_batch_jobs(random_state, 90)
        + _make_urgent_jobs(random_state)
        + _make_interference_events(random_state)
    )
    return _assemble_trace("noisy-waves", random_state, events)


def _make_misdeclared(random_state: np.random.Generator) -> Trace:
    groups = _make_misdeclared_groups(random_state)
    events = _make_batch_jobs(random_state, 90) + _make_urgent_jobs(random_state)
    return _assemble_trace("misdeclared", random_state, events, groups=groups)


def _make_failing_worker(random_state: np.random.Generator) -> Trace:
    events = (
        _make_batch_jobs(random_state, 90)
        + _make_urgent_jobs(random_state)
        + _make_broken_worker_events(random_state)
    )
    groups = (*GROUPS, GroupLine("cursed", 0.03, fails_always=True))
    return _assemble_trace("failing-worker", random_state, events, groups=groups)


def _make_cancellation_wave(random_state: np.random.Generator) -> Trace:
    batch = _make_batch_jobs(random_state, 130)
    events = (
        batch
        + _make_cancellations(batch, random_state)
        + _make_urgent_jobs(random_state)
    )
    return _assemble_trace("cancellation-wave", random_state, events)


def _assemble_trace(
    kind: str,
    random_state: np.random.Generator,
    events: list[Event],
    *,
    groups: tuple[GroupLine, ...] = GROUPS,
    cores: float = 32.0,
    memory_gb: float = 125.0,
) -> Trace:
    workers = _make_workers(cores, memory_gb)
    ordered_events = sorted(
        _make_load_events(workers, random_state) + events, key=lambda e: e.at_s
    )
    header = Header(TRACE_VERSION, kind, 0, HORIZON_S, DEADLINE_MS)
    return Trace(header, workers, groups, tuple(ordered_events))


TRACE_MAKER_BY_KIND: dict[str, Callable[[np.random.Generator], Trace]] = {
    "press-season": _make_press_season,
    "permit-desk": _make_permit_desk,
    "noisy-waves": _make_noisy_waves,
    "misdeclared": _make_misdeclared,
    "failing-worker": _make_failing_worker,
    "cancellation-wave": _make_cancellation_wave,
}


def make_trace(kind: str, seed: int) -> Trace:
    """Generate the trace of ``kind`` with ``seed``."""
    trace = TRACE_MAKER_BY_KIND[kind](np.random.default_rng(seed))
    header = Header(TRACE_VERSION, kind, seed, HORIZON_S, DEADLINE_MS)
    return Trace(header, trace.workers, trace.groups, trace.events)

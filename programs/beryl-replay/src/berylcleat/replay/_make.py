"""Make traces by seed: six kinds, each a mix of a base load and one trouble."""

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
URGENT_EVERY_S = 90

GROUPS = (
    GroupLine("quiet", 0.03),
    GroupLine("render", 0.12),
    GroupLine("index", 0.25),
    GroupLine("noisy", 0.90),
)
GROUP_SHARES = (0.35, 0.35, 0.20, 0.10)


def _workers(cores: float, memory_gb: float) -> tuple[WorkerLine, ...]:
    lines = []
    for index in range(N_WORKERS):
        rack, place = divmod(index, N_WORKERS_PER_RACK)
        serves = place < N_SERVING_PER_RACK
        reserved = Resources(cores * 0.4, memory_gb * 0.25) if serves else Resources()
        capacity = Resources(
            cores, memory_gb, 2 if place == N_WORKERS_PER_RACK - 1 else 0
        )
        lines.append(
            WorkerLine(
                f"w{index}", f"dc-{rack + 1}", f"rack-{rack + 1}", capacity, reserved
            )
        )
    return tuple(lines)


def _loads(
    workers: tuple[WorkerLine, ...], random_state: np.random.Generator
) -> list[Event]:
    """Return a daily wave with sudden shifts, a little different on each worker."""
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


def _job(
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


def _batch(random_state: np.random.Generator, n_jobs: int) -> list[Event]:
    """Return batch jobs that ask for more than there is, early ones at once."""
    names = [group.group for group in GROUPS]
    events: list[Event] = []
    for index in range(n_jobs):
        at_s = 0.0 if index < n_jobs // 4 else random_state.uniform(0, HORIZON_S * 0.85)
        group = str(random_state.choice(names, p=GROUP_SHARES))
        events.append(_job(f"batch-{index}", at_s, group, random_state))
    return events


def _urgent(random_state: np.random.Generator) -> list[Event]:
    events: list[Event] = []
    for index, at_s in enumerate(range(120, HORIZON_S - 120, URGENT_EVERY_S)):
        at = at_s + random_state.uniform(0, 30)
        events.append(
            _job(
                f"urgent-{index}",
                at,
                "render",
                random_state,
                priority=URGENT_PRIORITY,
                n_tasks=int(random_state.integers(1, 4)),
                run_s=20.0,
            )
        )
    return events


def _noise(random_state: np.random.Generator) -> list[Event]:
    """Return waves in which one group becomes several times as noisy."""
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


def _misdeclared(random_state: np.random.Generator) -> tuple[GroupLine, ...]:
    return tuple(
        GroupLine(
            group.group,
            group.interference,
            size_ratio=float(np.round(random_state.uniform(0.4, 1.7), 2)),
            run_ratio=float(np.round(random_state.uniform(0.5, 2.5), 2)),
        )
        for group in GROUPS
    )


def _broken(random_state: np.random.Generator) -> list[Event]:
    events: list[Event] = []
    for worker in random_state.choice(N_WORKERS, size=3, replace=False):
        at_s = float(np.round(random_state.uniform(60, 600), 1))
        events.append(BrokenLine(at_s, f"w{worker}", True))
        events.append(BrokenLine(at_s + 600, f"w{worker}", False))
    events.append(_job("cursed", 100.0, "cursed", random_state, n_tasks=10, run_s=30.0))
    return events


def _cancellations(
    batch: list[Event], random_state: np.random.Generator
) -> list[Event]:
    events: list[Event] = []
    for at_s in (300.0, 700.0, 1_100.0):
        jobs = [e for e in batch if isinstance(e, JobLine) and e.at_s <= at_s]
        for line in jobs:
            if random_state.random() < 0.35:
                when = at_s + float(np.round(random_state.uniform(0, 3), 1))
                events.append(CancelLine(when, line.spec.job_id))
    return events


def _press_season(random_state: np.random.Generator) -> Trace:
    batch = _batch(random_state, 110)
    return _trace("press-season", random_state, batch + _urgent(random_state))


def _permit_desk(random_state: np.random.Generator) -> Trace:
    events = _batch(random_state, 200) + _urgent(random_state)
    return _trace("permit-desk", random_state, events, cores=64.0, memory_gb=250.0)


def _noisy_waves(random_state: np.random.Generator) -> Trace:
    events = _batch(random_state, 90) + _urgent(random_state) + _noise(random_state)
    return _trace("noisy-waves", random_state, events)


def _misdeclared_trace(random_state: np.random.Generator) -> Trace:
    groups = _misdeclared(random_state)
    events = _batch(random_state, 90) + _urgent(random_state)
    return _trace("misdeclared", random_state, events, groups=groups)


def _failing_worker(random_state: np.random.Generator) -> Trace:
    events = _batch(random_state, 90) + _urgent(random_state) + _broken(random_state)
    groups = (*GROUPS, GroupLine("cursed", 0.03, fails_always=True))
    return _trace("failing-worker", random_state, events, groups=groups)


def _cancellation_wave(random_state: np.random.Generator) -> Trace:
    batch = _batch(random_state, 130)
    events = batch + _cancellations(batch, random_state) + _urgent(random_state)
    return _trace("cancellation-wave", random_state, events)


def _trace(
    kind: str,
    random_state: np.random.Generator,
    events: list[Event],
    *,
    groups: tuple[GroupLine, ...] = GROUPS,
    cores: float = 32.0,
    memory_gb: float = 125.0,
) -> Trace:
    workers = _workers(cores, memory_gb)
    ordered = sorted(_loads(workers, random_state) + events, key=lambda e: e.at_s)
    header = Header(TRACE_VERSION, kind, 0, HORIZON_S, DEADLINE_MS)
    return Trace(header, workers, groups, tuple(ordered))


MAKER_BY_KIND: dict[str, Callable[[np.random.Generator], Trace]] = {
    "press-season": _press_season,
    "permit-desk": _permit_desk,
    "noisy-waves": _noisy_waves,
    "misdeclared": _misdeclared_trace,
    "failing-worker": _failing_worker,
    "cancellation-wave": _cancellation_wave,
}


def make_trace(kind: str, seed: int) -> Trace:
    """Return the trace of ``kind`` that ``seed`` gives."""
    trace = MAKER_BY_KIND[kind](np.random.default_rng(seed))
    header = Header(TRACE_VERSION, kind, seed, HORIZON_S, DEADLINE_MS)
    return Trace(header, trace.workers, trace.groups, trace.events)

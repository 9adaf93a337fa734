"""Estimates of how much longer runs take on each worker than elsewhere.

The duration of a run is compared with those of its siblings on other workers, or, if
none has ended, with what runs of its queue take relative to their estimates. Each
comparison is weak evidence, since some tasks are long by themselves: a worker counts as
slow when the sum of its recent evidence passes a threshold that one run can't reach.
"""

import math
from collections import deque
from collections.abc import Callable, Set
from dataclasses import dataclass, field
from statistics import median, median_low

from berylcleat.model import Step, TaskKey

from ._interference import is_slow_worker
from ._workers import Run, RunPhase, WorkerView

# Seconds within which the weight of a piece of evidence falls to 0.
EVIDENCE_SPAN_S = 4.0
# Sums of evidence above which a worker becomes slow, and below which a slow worker is
# given work again. A worker that is given work again becomes slow above the second.
ENTER_EVIDENCE = 2.5
LEAVE_EVIDENCE = 0.5
# Slowdown relative to the cell's median worker below which a worker isn't slow.
MIN_SLOWDOWN = 1.5
# Seconds after which a worker that is given work again counts as normal in any case.
MAX_RETURN_S = 8.0
# Tasks that such a worker may have at a time before it counts as normal.
MAX_RETURN_SLOTS = 4
# Durations are compared as if they were at least this long, in seconds: shorter ones
# consist mostly of delays on the way.
MIN_COMPARED_S = 0.2
N_SIBLINGS_KEPT = 16
N_QUEUE_RUNS_KEPT = 32
# Minimum runs of a queue elsewhere that an estimate may be corrected by.
MIN_QUEUE_RUNS = 5
# Siblings' durations are forgotten this many seconds after the last one has ended.
SIBLINGS_MEMORY_S = 30.0
# Evidence of one reading in which all serving images are over their targets, and the
# slowdown that it is taken for.
SERVING_EVIDENCE = 1.0
SERVING_SLOWDOWN = 2.0


@dataclass(frozen=True, slots=True)
class _Comparison:
    """Logarithmic evidence per logarithmic ratio of durations.

    ``neutral_ratio`` is equally likely on slow and normal workers.
    """

    neutral_ratio: float
    slope: float
    limit: float

    def evidence(self, ratio: float) -> float:
        """Return the evidence for a slow worker, within the limits."""
        value = math.log(ratio / self.neutral_ratio) * self.slope
        return max(-self.limit, min(self.limit, value))


# Siblings are alike within 15 to 30%. A single one may itself be long or on a slow
# worker; durations spread by half within a queue.
_SEVERAL_SIBLINGS = _Comparison(1.7, 5.0, 2.0)
_ONE_SIBLING = _Comparison(2.0, 3.0, 1.2)
_SAME_QUEUE = _Comparison(2.5, 2.0, 1.0)


@dataclass(frozen=True, slots=True)
class _Expectation:
    duration_s: float
    comparison: _Comparison

    def ratio(self, duration_s: float) -> float:
        """Return how many times the expected duration a run took."""
        lowest = MIN_COMPARED_S
        return max(duration_s, lowest) / max(self.duration_s, lowest)


@dataclass(frozen=True, slots=True)
class _Evidence:
    at: float
    value: float
    ratio: float

    def weight(self, now: float) -> float:
        return max(0.0, 1.0 - (now - self.at) / EVIDENCE_SPAN_S)


@dataclass(slots=True)
class _WorkerSpeed:
    """Evidence of one worker; ``n_slots`` is set while it is given work again."""

    ended: deque[_Evidence] = field(default_factory=deque)
    overdue: tuple[_Evidence, ...] = ()
    slowdown: float = 1.0
    n_slots: int | None = None
    returns_since: float = 0.0
    # When the last ended run was evidence for a slow worker.
    positive_at: float = float("-inf")


@dataclass(slots=True)
class _Siblings:
    """Durations of a step's runs, with their workers."""

    durations: deque[tuple[str, float]]
    updated_at: float
    shortest_s: float = float("inf")


class WorkerSpeeds:
    """Slowdowns of a cell's workers relative to each other."""

    def __init__(self):
        self._speed_by_worker: dict[str, _WorkerSpeed] = {}
        self._siblings_by_step: dict[tuple[str, int], _Siblings] = {}
        # Durations relative to the estimate, with their workers.
        self._ratios_by_queue: dict[str, deque[tuple[str, float]]] = {}
        self._median_slowdown = 1.0

    def slowdown(self, worker_id: str, now: float) -> float:
        """Return how many times as long runs take on a worker, 1.0 if unknown."""
        speed = self._speed_by_worker.get(worker_id)
        if speed is None or speed.slowdown == 1.0:
            return 1.0
        return self._relative(self._raw_slowdown(speed, now))

    def n_slots(self, worker_id: str) -> int | None:
        """Return how many tasks a worker that was slow may get at a time.

        None sets no bound.
        """
        speed = self._speed_by_worker.get(worker_id)
        return None if speed is None else speed.n_slots

    def returns_since(self, worker_id: str) -> float:
        """Return when a worker that was slow was first given work again."""
        return self._speed_by_worker[worker_id].returns_since

    def on_done(self, run: Run, queue: str, now: float) -> None:
        """Learn from a run that has ended well."""
        if not _is_comparable(run):
            return
        duration_s = now - run.started_at
        expected = self._expect(run.task, run.step, queue, run.worker_id)
        if expected is not None:
            ratio = expected.ratio(duration_s)
            value = expected.comparison.evidence(ratio)
            self._add_evidence(run.worker_id, _Evidence(now, value, ratio))
        self._remember(run, queue, duration_s, now)

    def on_readings(self, view: WorkerView, now: float) -> None:
        """Learn from readings of serving tasks that are all over their targets."""
        if is_slow_worker(view.worst_reading_by_image()):
            evidence = _Evidence(now, SERVING_EVIDENCE, SERVING_SLOWDOWN)
            self._add_evidence(view.entry.worker_id, evidence)

    def refresh(
        self, view: WorkerView, queue_of: Callable[[str], str], now: float
    ) -> None:
        """Compare the present runs of a worker with what is expected of them.

        ``queue_of`` returns the name of a submission's queue.
        """
        overdue = []
        for run in view.run_by_task.values():
            if run.phase is not RunPhase.RUNNING or not _is_comparable(run):
                continue
            if now - run.started_at <= self._usual_s(run):
                continue
            queue = queue_of(run.task.submission_id)
            expected = self._expect(run.task, run.step, queue, run.worker_id)
            if expected is None:
                continue
            ratio = expected.ratio(now - run.started_at)
            value = expected.comparison.evidence(ratio)
            if value <= 0:
                continue
            overdue.append(_Evidence(now, value, ratio))
        speed = self._speed_by_worker.get(view.entry.worker_id)
        if speed is None and overdue:
            speed = self._speed_by_worker[view.entry.worker_id] = _WorkerSpeed()
        if speed is not None:
            speed.overdue = tuple(overdue)

    def settle(self, worker_ids: Set[str], now: float) -> None:
        """Decide which workers are slow, after all were refreshed."""
        for worker_id in self._speed_by_worker.keys() - worker_ids:
            del self._speed_by_worker[worker_id]
        for key, siblings in tuple(self._siblings_by_step.items()):
            if now - siblings.updated_at > SIBLINGS_MEMORY_S:
                del self._siblings_by_step[key]
        # Nothing is known to be wrong with workers without evidence.
        raw = [1.0] * len(worker_ids - self._speed_by_worker.keys())
        for speed in self._speed_by_worker.values():
            while speed.ended and now - speed.ended[0].at >= EVIDENCE_SPAN_S:
                speed.ended.popleft()
            self._update(speed, now)
            raw.append(self._raw_slowdown(speed, now))
        self._median_slowdown = median_low(raw) if raw else 1.0

    def _update(self, speed: _WorkerSpeed, now: float) -> None:
        is_normal = speed.slowdown == 1.0 and speed.n_slots is None
        if (
            is_normal
            and not speed.overdue
            and now - speed.positive_at > EVIDENCE_SPAN_S
        ):
            return
        total = sum(e.value * e.weight(now) for e in speed.ended)
        total += sum(e.value for e in speed.overdue)
        is_slow = speed.slowdown > 1.0
        is_returning = speed.n_slots is not None
        threshold = LEAVE_EVIDENCE if is_slow or is_returning else ENTER_EVIDENCE
        if total > threshold:
            speed.slowdown = self._estimate(speed, now) or speed.slowdown
            speed.n_slots = None
        elif is_slow:
            speed.slowdown = 1.0
            speed.n_slots = 1
            speed.returns_since = now
        elif is_returning and now - speed.returns_since > MAX_RETURN_S:
            speed.n_slots = None

    def _estimate(self, speed: _WorkerSpeed, now: float) -> float:
        """Return the mean slowdown that the evidence for a slow worker shows."""
        evidence = [e for e in (*speed.ended, *speed.overdue) if e.value > 0]
        weights = [e.value * e.weight(now) for e in evidence]
        if not sum(weights):
            return 0.0
        logs = (
            math.log(e.ratio) * weight
            for e, weight in zip(evidence, weights, strict=True)
        )
        return max(MIN_SLOWDOWN, math.exp(sum(logs) / sum(weights)))

    def _raw_slowdown(self, speed: _WorkerSpeed, now: float) -> float:
        has_evidence = speed.overdue or any(e.weight(now) > 0 for e in speed.ended)
        return speed.slowdown if has_evidence else 1.0

    def _relative(self, raw: float) -> float:
        """Return a slowdown relative to the cell's median worker."""
        relative = raw / self._median_slowdown
        return relative if relative >= MIN_SLOWDOWN else 1.0

    def _add_evidence(self, worker_id: str, evidence: _Evidence) -> None:
        speed = self._speed_by_worker.setdefault(worker_id, _WorkerSpeed())
        speed.ended.append(evidence)
        if evidence.value > 0:
            speed.positive_at = evidence.at
        if evidence.value < 0 and speed.n_slots is not None:
            speed.n_slots *= 2
            if speed.n_slots > MAX_RETURN_SLOTS:
                speed.n_slots = None

    def _usual_s(self, run: Run) -> float:
        """Return a duration within which a run is certainly no evidence.

        It saves the medians for the many runs that don't take long.
        """
        siblings = self._siblings_by_step.get((run.task.submission_id, run.task.step))
        if siblings is None:
            return MIN_COMPARED_S
        return max(MIN_COMPARED_S, siblings.shortest_s)

    def _expect(
        self, task: TaskKey, step: Step, queue: str, worker_id: str
    ) -> _Expectation | None:
        """Return what a run should take, judged by runs on other workers."""
        siblings = self._siblings_by_step.get((task.submission_id, task.step))
        if siblings is not None:
            elsewhere = [s for other, s in siblings.durations if other != worker_id]
            if len(elsewhere) > 1:
                return _Expectation(median(elsewhere), _SEVERAL_SIBLINGS)
            if elsewhere:
                return _Expectation(elsewhere[0], _ONE_SIBLING)
        if step.estimate_s <= 0:
            return None
        known = self._ratios_by_queue.get(queue, ())
        ratios = [ratio for other, ratio in known if other != worker_id]
        if len(ratios) < MIN_QUEUE_RUNS:
            return None
        return _Expectation(step.estimate_s * median(ratios), _SAME_QUEUE)

    def _remember(self, run: Run, queue: str, duration_s: float, now: float) -> None:
        key = (run.task.submission_id, run.task.step)
        siblings = self._siblings_by_step.get(key)
        if siblings is None:
            siblings = _Siblings(deque(maxlen=N_SIBLINGS_KEPT), now)
            self._siblings_by_step[key] = siblings
        siblings.durations.append((run.worker_id, duration_s))
        siblings.updated_at = now
        siblings.shortest_s = min(siblings.shortest_s, duration_s)
        if run.step.estimate_s > 0:
            ratios = self._ratios_by_queue.setdefault(
                queue, deque(maxlen=N_QUEUE_RUNS_KEPT)
            )
            ratios.append((run.worker_id, duration_s / run.step.estimate_s))


def _is_comparable(run: Run) -> bool:
    """Return whether a run's duration tells the speed of its worker alone.

    Fillers wait for processors, the members of a gang for each other; a resumed run has
    less to do, and the start of an adopted one isn't known.
    """
    step = run.step
    if step.fills or step.is_gang or step.is_long_running or step.target_latency_ms:
        return False
    return not run.is_adopted and not run.is_resumed

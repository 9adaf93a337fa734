"""Load balancing of one service's requests over its upstreams.

State changes in place, one table entry at a time, since copying the table for each
request would cost more than the decision. Uses no clock, socket or global randomness.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, replace

from berylcleat.model import WorkerSpec

from ._budget import RetryBudget
from ._outcomes import AttemptResult
from ._upstreams import (
    Upstream,
    on_begin,
    on_busy,
    on_failure,
    on_leaving,
    on_success,
)

MAX_EJECTED_SHARE = 0.5
N_CHOICES = 2


@dataclass(frozen=True, slots=True)
class ListedUpstream:
    """Upstream as the platform's worker list describes it."""

    spec: WorkerSpec
    is_leaving: bool


class Router:
    """Load balancer over the upstreams of one service, by worker id."""

    def __init__(self, data_centre: str, n_slots: int, random_state: random.Random):
        self.data_centre = data_centre
        self.n_slots = n_slots
        self.n_entry_hosts = 1
        self.budget = RetryBudget()
        self.upstream_by_id: dict[str, Upstream] = {}
        self._random_state = random_state

    def update(self, listed: Iterable[ListedUpstream], n_entry_hosts: int) -> None:
        """Replace the set of upstreams; those already known keep their state.

        ``n_entry_hosts`` counts the entry hosts that share the upstreams, this one too.
        """
        upstream_by_id = {}
        for item in listed:
            known = self.upstream_by_id.get(item.spec.worker_id)
            upstream_by_id[item.spec.worker_id] = self._merge_listed(
                known, item, n_entry_hosts
            )
        self.upstream_by_id = upstream_by_id
        self.n_entry_hosts = n_entry_hosts

    def _merge_listed(
        self, known: Upstream | None, item: ListedUpstream, n_entry_hosts: int
    ) -> Upstream:
        """Return ``known`` updated from the list, or a new upstream.

        The limit of a new upstream starts at this host's equal share of its slots.
        """
        if known:
            return replace(
                known, is_listed_leaving=item.is_leaving, n_slots=self.n_slots
            )
        return Upstream(
            item.spec.worker_id,
            item.spec.upstream_address,
            item.spec.data_centre,
            item.spec.rack,
            self.n_slots,
            limit=max(1.0, self.n_slots / n_entry_hosts),
            is_listed_leaving=item.is_leaving,
        )

    def choose(
        self, now: float, avoid: frozenset[str] = frozenset()
    ) -> Upstream | None:
        """Return an upstream with free capacity, or None.

        Skips the worker ids in ``avoid`` and prefers other racks than theirs, then this
        host's data centre, then the less loaded of two random choices. Source:
        Mitzenmacher, The Power of Two Choices, IEEE TPDS 2001.
        """
        avoided_racks = {
            self.upstream_by_id[w].rack for w in avoid if w in self.upstream_by_id
        }
        candidates = [
            upstream
            for worker_id, upstream in self.upstream_by_id.items()
            if worker_id not in avoid
            and not upstream.is_leaving(now)
            and not upstream.is_ejected(now)
            and upstream.free_capacity(now) >= 1.0
        ]
        for pool in self._pools(candidates, avoided_racks):
            if pool:
                return self._less_loaded(pool, now)
        return None

    def _pools(
        self, candidates: list[Upstream], avoided_racks: set[str]
    ) -> tuple[list[Upstream], ...]:
        """Return groups of candidates, the preferred group first."""
        local = [u for u in candidates if u.data_centre == self.data_centre]
        if not avoided_racks:
            return (local, candidates)
        other_racks = [u for u in candidates if u.rack not in avoided_racks]
        local_other_racks = [u for u in local if u.rack not in avoided_racks]
        return (local_other_racks, other_racks, local, candidates)

    def _less_loaded(self, pool: list[Upstream], now: float) -> Upstream:
        if len(pool) <= N_CHOICES:
            return min(pool, key=lambda upstream: upstream.cost(now))
        sampled = self._random_state.sample(pool, N_CHOICES)
        return min(sampled, key=lambda upstream: upstream.cost(now))

    def has_upstream(self, now: float) -> bool:
        """Return whether any listed upstream is not leaving."""
        return any(not u.is_leaving(now) for u in self.upstream_by_id.values())

    def begin(self, worker_id: str) -> None:
        """Count an attempt at the upstream as in flight."""
        self.upstream_by_id[worker_id] = on_begin(self.upstream_by_id[worker_id])

    def cancel(self, worker_id: str) -> None:
        """Undo ``begin`` for an attempt that was not made."""
        upstream = self.upstream_by_id[worker_id]
        n_in_flight = upstream.n_in_flight - 1
        self.upstream_by_id[worker_id] = replace(upstream, n_in_flight=n_in_flight)

    def finish(
        self, worker_id: str, result: AttemptResult, latency_s: float, now: float
    ) -> None:
        """Update the upstream with the result of an attempt, if it is still listed."""
        upstream = self.upstream_by_id.get(worker_id)
        if upstream is None:
            return
        self.upstream_by_id[worker_id] = self._apply_result(
            upstream, result, latency_s, now
        )

    def _apply_result(
        self, upstream: Upstream, result: AttemptResult, latency_s: float, now: float
    ) -> Upstream:
        if result is AttemptResult.ANSWERED:
            return on_success(upstream, latency_s)
        if result is AttemptResult.REFUSED_BUSY:
            return on_busy(upstream, now)
        if result is AttemptResult.REFUSED_LEAVING:
            return on_leaving(upstream, now)
        return on_failure(upstream, now, self._may_eject(now))

    def _may_eject(self, now: float) -> bool:
        n_ejected = sum(u.is_ejected(now) for u in self.upstream_by_id.values())
        return n_ejected + 1 <= MAX_EJECTED_SHARE * len(self.upstream_by_id)

    def mark_leaving(self, worker_id: str, now: float) -> None:
        """Mark the upstream as leaving, as reported by a peer."""
        upstream = self.upstream_by_id.get(worker_id)
        if upstream and not upstream.is_leaving(now):
            # on_leaving counts an attempt as ended; on_begin offsets that, since a
            # peer's report ends no attempt of this host.
            updated = on_leaving(on_begin(upstream), now)
            self.upstream_by_id[worker_id] = updated

    def leaving_workers(self, now: float) -> tuple[str, ...]:
        """Return the ids of workers that a refusal or a peer reported as leaving."""
        return tuple(
            worker_id
            for worker_id, upstream in self.upstream_by_id.items()
            if now < upstream.leaving_until
        )

    def total_limit(self, now: float) -> float:
        """Return how many requests may be in flight to all available upstreams.

        Each upstream's limit is rounded down.
        """
        return sum(
            int(upstream.limit)
            for upstream in self.upstream_by_id.values()
            if not upstream.is_leaving(now) and not upstream.is_ejected(now)
        )

    def mean_latency_s(self) -> float:
        """Return the mean latency in seconds of upstreams that have answered, or 0."""
        latencies = [u.latency_s for u in self.upstream_by_id.values() if u.latency_s]
        return sum(latencies) / len(latencies) if latencies else 0.0

"""Hypothesis state machine of cell owners, simulated workers and their network."""

from dataclasses import dataclass, field, replace

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from berylcleat.model import JobSpec, Resources, WorkerSpec
from berylcleat.ownership import (
    Assign,
    CancelJob,
    CellState,
    Claim,
    LeaseRules,
    OwnedCell,
    TaskDirectives,
    apply_records,
    apply_reply,
    detect_ends,
    is_fenced_out,
    is_schedulable,
    make_exchange,
    make_owned_cell,
)
from berylcleat.standins import History, WorkerStandin

CELL = "dc-1/rack-1"
RULES = LeaseRules(
    worker_lease_s=4.0, host_lapse_s=2.0, renewal_limit_s=5.0, clock_drift=0.0
)
TASK_CORES = 1
WORKER_IDS = ("w0", "w1")
CAPACITY = Resources(1, 8)


@dataclass
class Owner:
    """A cell owner, which may not know yet that it has lost the cell."""

    owned: OwnedCell
    confirmed_at: float
    is_down: bool = False
    evictions: set = field(default_factory=set)


@dataclass(frozen=True)
class InFlightRequest:
    """A request in flight from one owner to a worker."""

    owner: Owner
    worker_id: str
    request: object


class FaultyWorker(WorkerStandin):
    """A worker that skips the request check named by ``without``."""

    without = ""

    def exchange(self, request, now):
        if self.without == "epoch" and request.epoch < self.epoch:
            self.epoch, self.sequence = request.epoch, request.sequence - 1
        if self.without == "sequence" and request.epoch == self.epoch:
            self.sequence = min(self.sequence, request.sequence - 1)
        if self.without == "echo":
            request = msgspec.structs.replace(request, echo_time_s=now)
        if self.without == "incarnation" and request.incarnation:
            request = msgspec.structs.replace(request, incarnation=self.incarnation)
        return super().exchange(request, now)


class LeaseMachine(RuleBasedStateMachine):
    """Model of owners and workers; ``without`` names a skipped worker check."""

    without = ""
    n_tasks = 2

    def __init__(self):
        super().__init__()
        job = JobSpec("job", self.n_tasks, Resources(TASK_CORES, 1), run_s=6.0)
        self.now = 0.0
        self.epoch = 1
        self.durable = apply_records(
            CellState(CELL), (Claim(CELL, job, 0, self.n_tasks),)
        )
        self.workers = {
            worker_id: self._make_worker(worker_id) for worker_id in WORKER_IDS
        }
        self.n_incarnations = 0
        self.owners = []
        self.in_flight = []
        self.finished = []

    def _make_worker(self, worker_id):
        spec = WorkerSpec(worker_id, "dc-1", "rack-1", "", "", CAPACITY)
        worker = FaultyWorker(spec, History(""))
        worker.without = self.without
        worker.incarnation = f"{worker_id}-0"
        return worker

    @initialize()
    def start_first_owner(self):
        self._add_owner()

    def _add_owner(self):
        owned = make_owned_cell(self.durable, self.epoch, RULES, WORKER_IDS, self.now)
        self.owners.append(Owner(owned, self.now))

    @rule(seconds=st.sampled_from((0.1, 0.5, 1.0, 2.0, 3.0)))
    def advance_clock(self, seconds):
        self.now += seconds
        for worker in self.workers.values():
            worker.advance(self.now)

    @rule()
    def take_over(self):
        if len(self.owners) < 4:
            self.epoch += 1
            self._add_owner()

    def _may_act(self, owner):
        is_confirmed = self.now - owner.confirmed_at < RULES.renewal_limit_s
        return is_confirmed and not owner.is_down

    @rule(index=st.integers(0, 3))
    def beat(self, index):
        owner = self.owners[index % len(self.owners)]
        if owner.owned.epoch == self.epoch:
            owner.confirmed_at = self.now
        else:
            owner.is_down = True

    @rule(index=st.integers(0, 3), worker_id=st.sampled_from(WORKER_IDS))
    def send(self, index, worker_id):
        owner = self.owners[index % len(self.owners)]
        if not self._may_act(owner):
            return
        directives = TaskDirectives(frozenset(owner.evictions))
        owner.owned, request = make_exchange(owner.owned, worker_id, directives)
        self.in_flight.append(InFlightRequest(owner, worker_id, request))

    @precondition(lambda self: self.in_flight)
    @rule(index=st.integers(0, 30), reply_lost=st.booleans())
    def deliver(self, index, reply_lost):
        message = self.in_flight.pop(index % len(self.in_flight))
        reply = self.workers[message.worker_id].exchange(message.request, self.now)
        owner = message.owner
        newest = owner.owned.worker_by_id[message.worker_id].sequence
        if reply_lost or owner.is_down or message.request.sequence != newest:
            return
        if is_fenced_out(owner.owned, reply):
            owner.is_down = True
            return
        owner.owned = apply_reply(owner.owned, reply, self.now)

    @rule(index=st.integers(0, 3), worker_id=st.sampled_from(WORKER_IDS))
    def exchange_immediately(self, index, worker_id):
        self.send(index, worker_id)
        if self.in_flight:
            self.deliver(len(self.in_flight) - 1, False)

    @rule(index=st.integers(0, 3))
    def commit(self, index):
        """Decide and commit; the table rejects a commit under an old epoch."""
        owner = self.owners[index % len(self.owners)]
        if not self._may_act(owner):
            return
        ends = detect_ends(owner.owned, self.now)
        after = apply_records(owner.owned.cell, ends)
        assigns = self._assigns(replace(owner.owned, cell=after))
        if owner.owned.epoch != self.epoch:
            owner.is_down = True
            return
        self.finished += [e.task_id for e in ends if e.outcome == "finished"]
        self.durable = apply_records(after, assigns)
        owner.owned = replace(owner.owned, cell=self.durable)
        owner.evictions -= {end.task_id for end in ends}

    def _assigns(self, owned):
        assigns = []
        busy = {task.worker_id for task in owned.cell.task_by_id.values()}
        for task_id, task in owned.cell.task_by_id.items():
            if task.state != "queued":
                continue
            for worker_id in WORKER_IDS:
                if worker_id in busy or not is_schedulable(
                    owned, worker_id, self.now, 3.0
                ):
                    continue
                incarnation = owned.worker_by_id[worker_id].reply.incarnation
                assigns.append(
                    Assign(CELL, task_id, task.attempt + 1, worker_id, incarnation)
                )
                busy.add(worker_id)
                break
        return tuple(assigns)

    @rule(index=st.integers(0, 3), task=st.integers(0, 1))
    def evict(self, index, task):
        self.owners[index % len(self.owners)].evictions.add(f"job/{task}")

    @rule()
    def cancel(self):
        self.durable = apply_records(self.durable, (CancelJob(CELL, "job"),))
        for owner in self.owners:
            if owner.owned.epoch == self.epoch:
                owner.owned = replace(owner.owned, cell=self.durable)

    @rule(worker_id=st.sampled_from(WORKER_IDS))
    def restart_worker(self, worker_id):
        if self.n_incarnations < 2:
            self.n_incarnations += 1
            worker = self._make_worker(worker_id)
            worker.incarnation = f"{worker_id}-{self.n_incarnations}"
            self.workers[worker_id] = worker

    @invariant()
    def each_task_runs_on_one_worker(self):
        running = [t for w in self.workers.values() for t in w.attempt_by_task]
        assert len(running) == len(set(running)), running

    @invariant()
    def each_task_finishes_once(self):
        assert len(self.finished) == len(set(self.finished)), self.finished

    @invariant()
    def no_ended_task_runs(self):
        for worker in self.workers.values():
            for task_id in worker.attempt_by_task:
                state = self.durable.task_by_id[task_id].state
                assert state not in ("finished", "cancelled"), (task_id, state)

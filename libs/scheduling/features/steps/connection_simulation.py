"""Simulated histories in which a start goes over a connection to its worker.

A connection opens late, is kept, and ends with the incarnation of the worker that
accepted it. Workers restart beside takeovers, and owners may notice it late.
"""

import random
from dataclasses import dataclass, field

from cell_simulation import (
    MAX_UNAWARE_S,
    ObservedEnd,
    SimCell,
    SimOwner,
    Simulation,
)

from berylcleat.ports import (
    ConnectionVerifier,
    HoldOrder,
    OrderAnswer,
    OrderResult,
    StartOrder,
)
from berylcleat.scheduling import WorkerOrder

# Mechanisms that a history can do without.
VERIFIED_CONNECTION = "verified connection"
# Without it, connections aren't verified either.
PERMISSION_AT_THE_WRITE = "permission at the write"
KEPT_SHARE = 0.4
SLOW_CONNECT_SHARE = 0.4
MAX_CONNECT_S = 1.0
PROBE_LOSS_SHARE = 0.03
FREEZE_SHARE = 0.003
MAX_FREEZE_S = 15.0
# Time after which another host takes a frozen host's cells over.
FREEZE_NOTICED_S = 3.0
LATE_NEWS_SHARE = 0.4
MAX_NEWS_DELAY_S = 1.5
RESTART_BESIDE_TAKEOVER_SHARE = 0.7
MAX_RESTART_DELAY_S = 1.5
TAKEOVER_SHARE = 0.005
# Submissions that come just before an owner is cut off, so that starts are under way.
N_IN_BURST = 2


@dataclass(frozen=True, slots=True)
class SimConnection:
    """Connection to one incarnation of a worker."""

    number: int
    incarnation_ms: int


@dataclass(slots=True)
class SimLink:
    """Connections of one owner to one worker."""

    verifier: ConnectionVerifier = field(default_factory=ConnectionVerifier)
    n_established: int = 0
    idle: list[SimConnection] = field(default_factory=list)


class ConnectionSimulation(Simulation):
    """History with connections; owners that are cut off learn late of restarts."""

    def __init__(
        self,
        random_state: int,
        disabled_mechanism: str = "",
        n_cells: int = 2,
        *,
        expected_finish: bool = False,
    ):
        self.connection_rng = random.Random(f"connections {random_state}")
        self.links: dict[tuple[SimOwner, str], SimLink] = {}
        # Number of established connections at the sending of a hold, by its identity.
        self.n_established_by_hold: dict[int, tuple[HoldOrder, int]] = {}
        self.n_opened = 0
        self.n_probes = 0
        self.n_frozen = 0
        self.n_refused = 0
        super().__init__(
            random_state,
            disabled_mechanism,
            n_cells,
            expected_finish=expected_finish,
            has_unaware_owners=True,
        )

    @property
    def _verifies(self) -> bool:
        return self.disabled_mechanism not in (
            VERIFIED_CONNECTION,
            PERMISSION_AT_THE_WRITE,
        )

    def _link(self, owner: SimOwner, worker_id: str) -> SimLink:
        return self.links.setdefault((owner, worker_id), SimLink())

    def news_delay_s(self) -> float:
        """Return how much later than usual an owner notices a worker's restart."""
        if self.connection_rng.random() >= LATE_NEWS_SHARE:
            return 0.0
        return self.connection_rng.uniform(0.0, MAX_NEWS_DELAY_S)

    def _inject_faults(self, sim_cell: SimCell, *, is_fault_free: bool) -> None:
        super()._inject_faults(sim_cell, is_fault_free=is_fault_free)
        self.is_calm = is_fault_free
        if not is_fault_free and self.connection_rng.random() < TAKEOVER_SHARE:
            self._cut_off(sim_cell)

    def _cut_off(self, sim_cell: SimCell) -> None:
        """Cut the owner off from the store; another takes its cell over."""
        for _ in range(N_IN_BURST):
            self.submit()
        earlier = sim_cell.owner
        earlier.is_unaware = True
        learns_in_s = self.connection_rng.uniform(0.0, MAX_UNAWARE_S)
        self.schedule_event(
            self.now + learns_in_s, lambda: setattr(earlier, "is_unaware", False)
        )
        self.take_over(sim_cell, is_dead=False)
        for worker_id in sim_cell.worker_ids:
            if self.connection_rng.random() < RESTART_BESIDE_TAKEOVER_SHARE:
                self.schedule_event(
                    self.now + self.connection_rng.uniform(0.0, MAX_RESTART_DELAY_S),
                    lambda worker_id=worker_id: self._restart_worker(
                        sim_cell, worker_id
                    ),
                )

    def must_know_end(self, item: WorkerOrder, end: ObservedEnd) -> bool:
        """Return whether a start's owner must have been told of an end by a worker.

        A run with a higher number is a later owner's. It has started once the workers
        had answered that owner, so that their fence rejects this start (seed 9 of 4
        cells); the end of that run adds nothing.
        """
        return end.run < item.order.run

    def send(
        self, owner: SimOwner, worker_id: str, order, incarnation_ms: int | None = None
    ) -> None:
        """Send an order; a hold verifies the connections that are open."""
        if isinstance(order, HoldOrder):
            n_established = self._link(owner, worker_id).n_established
            self.n_established_by_hold[id(order)] = (order, n_established)
        super().send(owner, worker_id, order, incarnation_ms)

    def _deliver_answer(
        self, delay_s, owner, worker_id, order, answer, sent_at=0.0
    ) -> None:
        _, n_established = self.n_established_by_hold.pop(id(order), (None, 0))
        if answer is not None and answer.report is not None:
            verifier = self._link(owner, worker_id).verifier
            self.schedule_event(
                self.now + delay_s,
                lambda: verifier.on_answer(answer.report.started_at_ms, n_established),
            )
        super()._deliver_answer(delay_s, owner, worker_id, order, answer, sent_at)

    def dispatch(self, owner: SimOwner, item: WorkerOrder) -> None:
        """Send an order of a planning round, a start once it has a connection."""
        if not isinstance(item.order, StartOrder):
            super().dispatch(owner, item)
            return
        self._check_beliefs(owner, item)
        if not owner.is_out_of_date:
            self.checker.on_start_order(item.order.task, self.now)
        if self.disabled_mechanism == PERMISSION_AT_THE_WRITE and not self._is_allowed(
            owner, item
        ):
            return
        self._take_connection(owner, item)

    def _take_connection(self, owner: SimOwner, item: WorkerOrder) -> None:
        """Take an idle connection, if one is left, or open one."""
        worker_id = item.worker_id
        link = self._link(owner, worker_id)
        incarnation_ms = self.workers[worker_id].started_at_ms
        link.idle = [c for c in link.idle if c.incarnation_ms == incarnation_ms]
        if link.idle and self.connection_rng.random() < KEPT_SHARE:
            self._verify(owner, item, link.idle.pop())
            return
        delay_s = self.connection_rng.uniform(0.001, 0.03)
        if not self.is_calm and self.connection_rng.random() < SLOW_CONNECT_SHARE:
            delay_s = self.connection_rng.uniform(0.03, MAX_CONNECT_S)
        self.schedule_event(self.now + delay_s, lambda: self._open(owner, item))

    def _open(self, owner: SimOwner, item: WorkerOrder) -> None:
        """Establish a connection to whichever incarnation lives now."""
        if item.worker_id in owner.unreachable:
            self._refuse(owner, item, OrderResult.NOT_SENT)
            return
        self.n_opened += 1
        link = self._link(owner, item.worker_id)
        link.n_established += 1
        incarnation_ms = self.workers[item.worker_id].started_at_ms
        self._verify(owner, item, SimConnection(link.n_established, incarnation_ms))

    def _verify(
        self, owner: SimOwner, item: WorkerOrder, connection: SimConnection
    ) -> None:
        """Write a start to a connection that is verified for it, or probe it first."""
        if not self._verifies or self._reaches_only(owner, item, connection):
            self._write(owner, item, connection)
            return
        self.n_probes += 1
        n_established = self._link(owner, item.worker_id).n_established
        delay_s = self.connection_rng.uniform(0.001, 0.06)
        if not self.is_calm and self.connection_rng.random() < PROBE_LOSS_SHARE:
            self._refuse(owner, item, OrderResult.NOT_SENT)
            return
        self.schedule_event(
            self.now + delay_s,
            lambda: self._probe(owner, item, connection, n_established),
        )

    def _reaches_only(
        self, owner: SimOwner, item: WorkerOrder, connection: SimConnection
    ) -> bool:
        verifier = self._link(owner, item.worker_id).verifier
        return verifier.reaches_only(connection.number, item.order.incarnation_ms)

    def _probe(self, owner, item, connection: SimConnection, n_established) -> None:
        """Ask the incarnation at the end of a connection for its start time."""
        worker = self.workers[item.worker_id]
        if worker.started_at_ms != connection.incarnation_ms:
            self._refuse(owner, item, OrderResult.NOT_SENT)
            return
        answer = worker.hold(HoldOrder(item.order.epoch, 0, None, 0), self.now)
        self.schedule_event(
            self.now + self.connection_rng.uniform(0.001, 0.06),
            lambda: self._on_probed(owner, item, connection, answer, n_established),
        )

    def _on_probed(
        self,
        owner: SimOwner,
        item: WorkerOrder,
        connection: SimConnection,
        answer: OrderAnswer,
        n_established: int,
    ) -> None:
        if answer.report is None:
            self._refuse(owner, item, answer.result)
            return
        verifier = self._link(owner, item.worker_id).verifier
        verifier.on_answer(answer.report.started_at_ms, n_established)
        if verifier.is_ended(item.order.incarnation_ms):
            self._refuse(owner, item, OrderResult.OTHER_INCARNATION)
        elif self._reaches_only(owner, item, connection):
            self._write(owner, item, connection)
        else:
            self._refuse(owner, item, OrderResult.NOT_SENT)

    def _refuse(self, owner: SimOwner, item: WorkerOrder, result: OrderResult) -> None:
        self.n_refused += 1
        owner.receive_answer(item.worker_id, item.order, OrderAnswer(result), self.now)

    def _is_allowed(self, owner: SimOwner, item: WorkerOrder) -> bool:
        return owner.may_act and owner.cell.may_send_start(item.order, self.now)

    def _write(
        self, owner: SimOwner, item: WorkerOrder, connection: SimConnection
    ) -> None:
        """Write a start to its connection if it is permitted."""
        if owner.is_dead:
            return
        if owner.is_paused:
            self.schedule_event(
                owner.paused_until, lambda: self._write(owner, item, connection)
            )
            return
        asks_now = self.disabled_mechanism != PERMISSION_AT_THE_WRITE
        if asks_now and not self._is_allowed(owner, item):
            self._refuse(owner, item, OrderResult.NOT_SENT)
            return
        self._link(owner, item.worker_id).idle.append(connection)
        if self.is_calm or self.connection_rng.random() >= FREEZE_SHARE:
            self._transmit(owner, item, connection)
            return
        # The process is frozen between the permission and the write.
        self.n_frozen += 1
        freeze_s = self.connection_rng.uniform(0.5, MAX_FREEZE_S)
        owner.paused_until = self.now + freeze_s
        self.schedule_event(
            owner.paused_until, lambda: self._transmit(owner, item, connection)
        )
        if freeze_s > FREEZE_NOTICED_S:
            self.schedule_event(
                self.now + FREEZE_NOTICED_S, lambda: self._replace_frozen(owner)
            )

    def _transmit(
        self, owner: SimOwner, item: WorkerOrder, connection: SimConnection
    ) -> None:
        self.send(owner, item.worker_id, item.order, connection.incarnation_ms)

    def _replace_frozen(self, owner: SimOwner) -> None:
        if owner.sim_cell.epoch == owner.epoch:
            self.take_over(owner.sim_cell, is_dead=False)

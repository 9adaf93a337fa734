"""Composition root of the host process."""

import asyncio
import logging
import secrets

from berylcleat.http import (
    ByteBudget,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
)
from berylcleat.model import BerylError
from berylcleat.platform import (
    WORKER_TABLE,
    AdviceClient,
    MachineClient,
    StoreClient,
    read_store_traffic,
)
from berylcleat.ports import OperatorConfig, StoreRow
from berylcleat.runtime import (
    ADMIN_LIMITS,
    AdminRouter,
    LoopDelayMonitor,
    StopSignal,
    cancel_all,
    keep_running,
    run_periodically,
)
from berylcleat.scheduling import InterferenceModel, LeaseTimes
from berylcleat.telemetry import Tracer

from ._cell_chooser import CellChooser
from ._cell_directory import CellDirectory
from ._cell_loads import MAX_LOAD_AGE_S, MAX_SPILL_LOAD_AGE_S, CellLoads
from ._cell_ownership import CellOwnershipManager
from ._client_api import ClientApi
from ._clock import now_s
from ._components import Connections, Knowledge, OwnerFeeds
from ._early_cancellation_cleaner import CLEAN_PERIOD_S, EarlyCancellationCleaner
from ._evacuation_metrics import EvacuationMetrics
from ._follower import Follower, TableFollower
from ._identity import HostIdentity
from ._known_cells import KnownCells
from ._layout_agreement import agree_on_layout
from ._live_owners import LiveOwners
from ._maintained_cells import MaintainedCells
from ._maintenance_waves import STEP_PERIOD_S, MaintenanceWaves
from ._membership import Coverage, Membership
from ._monitored_store import MonitoredStore
from ._on_demand_follower import OnDemandFollower
from ._operator_follower import OperatorFollower
from ._operator_relay import OperatorRelay
from ._operator_state import OperatorState
from ._pair_exchange import PairExchange
from ._peer_api import PeerApi
from ._peers import PeerClient
from ._publisher import HostPublisher
from ._records import CELL_TABLE, DIGEST_TABLE, data_centre_table
from ._relayed_requests import RelayedRequests
from ._relaying_api import RelayingApi
from ._request_relay import RequestRelay
from ._settings import HostSettings
from ._store_reachability import StoreReachability
from ._submission_directory import SubmissionDirectory
from ._submission_feeds import SubmissionFeeds
from ._submission_store import SubmissionStore
from ._worker_list import WorkerList

RECONCILE_PERIOD_S = 0.25
CONFIRM_PERIOD_S = 0.25
TRAFFIC_LOG_PERIOD_S = 10.0
# Long-poll timeout of a table follower: a dead connection is detected after this time
# plus a margin.
FOLLOW_TIMEOUT_S = 1.8
CONFIG_POLL_PERIOD_S = 0.1
WORKER_POLL_PERIOD_S = 0.7
# A host without cells needs the list of cells only, which rarely changes.
WORKER_IDLE_PERIOD_S = 10.0
DATA_CENTRE_POLL_PERIOD_S = 1.0
DIGEST_POLL_PERIOD_S = 1.0
CELL_POLL_PERIOD_S = 0.05
# Time for clients to be routed to other hosts before the listening socket closes.
CLIENT_REDIRECT_S = 2.2
# Connections of all peers together, of which each needs a few at a time.
MAX_PEER_CONNECTIONS = 600
# Messages between hosts are larger than those of clients, and their time is short.
PEER_KERNEL_BUFFER_BYTES = 65_536
# Memory of a submission while it is decoded and stored, as a multiple of its body.
DECODING_FACTOR = 16
logger = logging.getLogger(__name__)


def _coverage(follower: Follower) -> Coverage:
    return Coverage(follower.recovered_at, follower.confirmed_at)


class Host:
    """Components of one host process and its periodic tasks."""

    def __init__(self, settings: HostSettings):
        self.settings = settings
        self.identity = HostIdentity(
            settings.host_id,
            settings.data_centre,
            secrets.token_hex(4),
            settings.peer_address,
        )
        self.is_leaving = False
        self.reachability = StoreReachability()
        self.store = MonitoredStore(
            StoreClient(settings.store_address), self.reachability
        )
        self.operator = OperatorState(settings.evacuation_rules)
        self.operator.config_listeners.append(self._on_config)
        self.directory = SubmissionDirectory()
        self.feeds = SubmissionFeeds(self.store, self.directory, FOLLOW_TIMEOUT_S)
        self.membership = Membership()
        self.cells = CellDirectory(settings.data_centre)
        self.workers = WorkerList()
        self.known_cells = KnownCells(self.workers, self.cells)
        self.interference = InterferenceModel()
        self.live_owners = LiveOwners(
            self.identity, self.membership, self.cells, self._local_coverage
        )
        self.pairs = PairExchange(
            self.identity,
            self.interference,
            self.live_owners.rank,
            lambda: len(self.cells.owner_by_cell),
        )
        self._create_followers()
        peers = PeerClient()
        self.ownership = CellOwnershipManager(
            self.identity,
            Connections(self.store, peers, self._make_advisor()),
            Knowledge(
                self.membership,
                self.cells,
                self.workers,
                self.directory,
                self.interference,
                self.operator,
                settings.uneven_workers,
                settings.admission_late_limit,
            ),
            OwnerFeeds(self.cell_follower, self.worker_follower, self.feeds),
            LeaseTimes(worker_lease_s=settings.worker_lease_s),
            expected_finish=settings.expected_finish,
            heartbeat_before=lambda at: self.publisher.heartbeats.last_before(at),
        )
        self.publisher = HostPublisher(
            self.store,
            self.identity,
            settings.cpu_power,
            (
                CellLoads(
                    settings.data_centre,
                    self.cells,
                    self.ownership,
                    MAX_SPILL_LOAD_AGE_S
                    if settings.expected_finish
                    else MAX_LOAD_AGE_S,
                ),
                self.live_owners,
                self.pairs,
            ),
            self.store.store_clock,
        )
        self.relay = OperatorRelay(
            self.identity,
            self.operator,
            self.operator_follower,
            lambda: self.membership.live_hosts(self._local_coverage()),
            self.cells,
            peers,
        )
        self.evacuation_metrics = EvacuationMetrics(
            self.operator, self.known_cells, self.ownership.controller_by_cell
        )
        self.early_cancellations = EarlyCancellationCleaner(
            self.store, lambda: self.live_owners.rank() == 0
        )
        self.maintenance = self._make_maintenance()
        self.client_api = ClientApi(
            self.store,
            SubmissionStore(self.store),
            self.directory,
            self.cells,
            self.ownership,
            CellChooser(
                settings.data_centre,
                self.cells,
                self.ownership,
                self.interference,
                self.operator,
                settings.admission_late_limit,
                draws_home=settings.expected_finish,
                cell_of=self.workers.cell_of,
            ),
            peers,
            settings.data_centre if settings.admission_late_limit else "",
            settings.max_row_bytes,
        )
        self.front_api = RelayingApi(
            self.client_api,
            self.reachability,
            RequestRelay(
                self.identity,
                lambda: self.membership.live_hosts(self._local_coverage()),
                self.cells,
                peers,
            ),
        )
        self.peer_api = PeerApi(
            self.identity,
            self.directory,
            self.ownership,
            self.operator,
            RelayedRequests(self.client_api, self.reachability, self.is_ready),
        )

    def _make_advisor(self) -> AdviceClient | None:
        address = self.settings.advice_address
        return AdviceClient(address) if address else None

    def _make_maintenance(self) -> MaintenanceWaves | None:
        address = self.settings.machine_service_address
        if not address:
            return None
        return MaintenanceWaves(
            self.store,
            MachineClient(address),
            self.identity.host_id,
            self.operator,
            MaintainedCells(self.ownership.controller_by_cell),
            lambda: self.cells.count_owning_hosts()[0],
        )

    def _create_followers(self) -> None:
        data_centre = self.identity.data_centre
        self.operator_follower = OperatorFollower(
            self.store,
            self.operator.on_config,
            self.operator.on_requests,
            self._data_centres if self.operator.has_evacuations else None,
            wait_s=FOLLOW_TIMEOUT_S,
            min_period_s=CONFIG_POLL_PERIOD_S,
            on_waves=self.operator.on_waves
            if self.settings.machine_service_address
            else None,
        )
        self.worker_follower = OnDemandFollower(
            self.store,
            WORKER_TABLE,
            self.workers.on_rows,
            lambda: bool(self.ownership.controller_by_cell),
            wait_s=FOLLOW_TIMEOUT_S,
            min_period_s=WORKER_POLL_PERIOD_S,
            idle_period_s=WORKER_IDLE_PERIOD_S,
            parts=("",),
        )
        self.workers.read_confirmed_at = lambda: self.worker_follower.confirmed_at
        self.cell_follower = TableFollower(
            self.store,
            CELL_TABLE,
            self.cells.on_owner_rows,
            wait_s=FOLLOW_TIMEOUT_S,
            min_period_s=CELL_POLL_PERIOD_S,
        )
        # The answers to all calls tell more closely when a row had been written.
        self.cell_follower.version_times = self.store.version_times
        self.data_centre_follower = TableFollower(
            self.store,
            data_centre_table(data_centre),
            self._on_data_centre_rows,
            wait_s=FOLLOW_TIMEOUT_S,
            min_period_s=DATA_CENTRE_POLL_PERIOD_S,
            parts=(data_centre,),
            rereads_on_failure=True,
        )
        self.digest_follower = TableFollower(
            self.store,
            DIGEST_TABLE,
            self._on_digest_rows,
            wait_s=FOLLOW_TIMEOUT_S,
            min_period_s=DIGEST_POLL_PERIOD_S,
            rereads_on_failure=True,
        )

    @property
    def followers(self) -> tuple[Follower, ...]:
        """Return the followers of all tables that this host reads from its start."""
        return (
            self.operator_follower,
            self.worker_follower,
            self.cell_follower,
            self.data_centre_follower,
            self.digest_follower,
        )

    def is_ready(self) -> bool:
        """Return whether clients can be served: all tables read, not shutting down."""
        if self.is_leaving or self.client_api.config is None:
            return False
        return all(follower.has_synced for follower in self.followers)

    def start_tasks(self) -> list[asyncio.Task]:
        """Start the tasks that read and publish rows and own cells."""
        loops = [f.run for f in self.followers if f is not self.worker_follower]
        loops += [self.publisher.run, self._log_store_traffic, LoopDelayMonitor().run]
        if self.operator.has_evacuations:
            loops += [self.relay.run, self.evacuation_metrics.run]
        coroutines = [keep_running(run) for run in loops]
        coroutines.append(self._follow_workers())
        coroutines.append(run_periodically(RECONCILE_PERIOD_S, self.reconcile_cells))
        coroutines.append(run_periodically(CONFIRM_PERIOD_S, self._confirm_cells))
        coroutines.append(
            run_periodically(CLEAN_PERIOD_S, self.early_cancellations.clean)
        )
        if self.maintenance is not None:
            coroutines += [
                run_periodically(STEP_PERIOD_S, self.maintenance.read_list),
                run_periodically(STEP_PERIOD_S, self.maintenance.step),
            ]
        loop = asyncio.get_running_loop()
        return [loop.create_task(coroutine) for coroutine in coroutines]

    async def _confirm_cells(self) -> None:
        """Read the owner rows after each heartbeat: owners' limits count from both.

        During an outage the follower of the rows asks by itself until it has an answer.
        """
        follower = self.cell_follower
        if not self.ownership.controller_by_cell or follower.failing_since is not None:
            return
        if self.publisher.heartbeats.last_acked_at > follower.confirmed_at:
            await follower.confirm()

    async def _follow_workers(self) -> None:
        """Follow the list of workers once the hosts agree on the cells."""
        self.workers.layout = await agree_on_layout(
            self.store, self.settings.racks_per_cell
        )
        await keep_running(self.worker_follower.run)

    def _on_data_centre_rows(self, rows: tuple[StoreRow, ...]) -> None:
        self.membership.on_host_rows(rows)
        self.cells.on_data_centre_rows(rows)
        self.pairs.on_data_centre_rows(rows)

    def _on_digest_rows(self, rows: tuple[StoreRow, ...]) -> None:
        self.cells.on_digest_rows(rows)
        self.pairs.on_digest_rows(rows)

    def _local_coverage(self) -> Coverage:
        return _coverage(self.data_centre_follower)

    async def _log_store_traffic(self) -> None:
        while True:
            await asyncio.sleep(TRAFFIC_LOG_PERIOD_S)
            logger.info(
                "store traffic: %s",
                ", ".join(
                    f"{item.call} {item.table} {item.n_calls} calls {item.n_bytes} B"
                    for item in read_store_traffic()
                ),
            )

    async def reconcile_cells(self) -> None:
        """Acquire and drop cells, as membership changes.

        A cell may only begin when the maintenance waves are known.
        """
        if self.maintenance is not None and not self.operator_follower.has_synced:
            return
        if self.data_centre_follower.has_synced and self.digest_follower.has_synced:
            await self.ownership.reconcile(
                self._local_coverage(), _coverage(self.digest_follower)
            )

    async def leave(self) -> None:
        """Fail the readiness probe, release all cells and publish the departure."""
        self.is_leaving = True
        self.publisher.is_leaving = True
        await self.ownership.release_all()
        try:
            await self.publisher.publish()
        except BerylError as error:
            logger.warning("could not publish that this host is leaving: %s", error)

    async def on_ready(self, request: HttpRequest) -> HttpResponse:
        """Answer the platform's readiness probe."""
        return HttpResponse(200 if self.is_ready() else 503)

    def _on_config(self, config: OperatorConfig) -> None:
        self.client_api.config = config
        self.workers.unguarded_services = frozenset(
            service.name
            for service in config.service_by_name.values()
            if not service.checks_admission
        )

    def _data_centres(self) -> set[str]:
        return {self.identity.data_centre, *self.known_cells.data_centres()}


def _make_servers(
    settings: HostSettings, host: Host, tracer: Tracer
) -> tuple[HttpServer, ...]:
    """Return the servers of clients, readiness probes, peers and operators."""
    budget = ByteBudget(settings.max_held_bytes)
    client_limits = HttpLimits(
        idle_timeout_s=60.0,
        max_body_bytes=settings.max_body_bytes,
        max_connections=settings.max_connections,
        handling_factor=DECODING_FACTOR,
    )
    peer_limits = HttpLimits(
        max_connections=MAX_PEER_CONNECTIONS,
        kernel_buffer_bytes=PEER_KERNEL_BUFFER_BYTES,
        handling_factor=DECODING_FACTOR,
    )
    admin = AdminRouter(tracer, host.is_ready)
    return (
        HttpServer(
            settings.front_address, host.front_api.handle, client_limits, budget
        ),
        HttpServer(settings.ready_address, host.on_ready, ADMIN_LIMITS, budget),
        HttpServer(settings.peer_address, host.peer_api.handle, peer_limits, budget),
        HttpServer(settings.metrics_address, admin.handle, ADMIN_LIMITS, budget),
    )


async def serve_host(settings: HostSettings, stop: StopSignal) -> None:
    """Serve until the stop signal, then release all cells and shut down gracefully."""
    host = Host(settings)
    tracer = Tracer("beryl-host")
    client_server, *other_servers = _make_servers(settings, host, tracer)
    for server in (*other_servers, client_server):
        await server.start()
    logger.info(
        "host %s incarnation %s started", settings.host_id, host.identity.incarnation
    )
    tasks = host.start_tasks()
    await stop.wait()
    logger.info("stopping")
    started_at = now_s()
    await host.leave()
    await asyncio.sleep(CLIENT_REDIRECT_S)
    # 0.5 s of the grace period are left for the steps after the server has stopped.
    grace_s = settings.drain_grace_s - (now_s() - started_at) - 0.5
    await client_server.stop(max(grace_s, 0.1))
    await cancel_all(tasks)
    logger.info("stopped")

"""Planner process: wires cell ownership, placement, peers and the admin endpoint."""

import asyncio
import logging
import secrets

from berylcleat.http import HttpServer
from berylcleat.model import BerylError
from berylcleat.peers import (
    CONFIG_HEAD_KEY,
    PEER_PERIOD_S,
    ConfigSource,
    PeerGroup,
    PeerState,
    PeerTransport,
)
from berylcleat.placement import make_colocate
from berylcleat.ports import (
    ChangeFeed,
    HttpHostList,
    HttpTable,
    HttpWorkerControl,
    ListSource,
)
from berylcleat.runtime import (
    ADMIN_LIMITS,
    AdminRouter,
    StopSignal,
    cancel_all,
    run_periodically,
)
from berylcleat.telemetry import Tracer

from . import _metrics
from ._cell_ownership import CellOwnership
from ._decision_log import DecisionLog
from ._job_cache import DONE_PREFIX, JOB_PREFIX, JobCache
from ._operator_api import OperatorApi
from ._scheduler import Scheduler
from ._settings import PlannerSettings

logger = logging.getLogger(__name__)


class PlannerProcess:
    """Components of the planner process and its periodic loops."""

    def __init__(self, settings: PlannerSettings):
        self.settings = settings
        self.incarnation = secrets.token_hex(4)
        self.tracer = Tracer(f"planner@{settings.host_id}", settings.traces_kept)
        self.table = HttpTable(settings.platform_address)
        self.host_list = HttpHostList(settings.platform_address)
        self.list_source = ListSource(self.host_list)
        self.config = ConfigSource()
        self.job_cache = JobCache()
        self.feed = ChangeFeed(self.table)
        self.log = DecisionLog(settings.host_id)
        policy = make_colocate()
        self.ownership = CellOwnership(
            settings,
            self.incarnation,
            self.table,
            self.list_source,
            policy.make_initial_state,
        )
        self.workers = HttpWorkerControl()
        self.scheduler = Scheduler(
            settings,
            self.ownership,
            self.table,
            self.workers,
            self.job_cache,
            self.feed,
            self.config,
            policy,
            self.tracer,
            self.log,
        )
        self.is_stopping = False
        self._n_beats = 0
        self.peers = PeerGroup(
            PeerTransport(settings.peer_address),
            self._peer_state,
            self._peer_addresses,
            self.config.current,
            self.config.on_document,
        )
        self.admin = AdminRouter(self.tracer, self._is_ready)
        OperatorApi(self).add_routes(self.admin)
        self.admin_server = HttpServer(
            settings.admin_address, self.admin.handle, ADMIN_LIMITS
        )
        self._register_gauges()
        self._subscribe()

    def _subscribe(self) -> None:
        """Register the change feed's listeners; one scan serves them all."""
        data_centre = self.settings.data_centre
        self.feed.listen(CONFIG_HEAD_KEY, self.config.on_changes)
        self.feed.listen(f"host/{data_centre}/", self.ownership.on_host_changes)
        self.feed.listen(f"cell/{data_centre}/", self.ownership.on_cell_changes)
        self.feed.listen(JOB_PREFIX, self.job_cache.on_job_changes)
        self.feed.listen(DONE_PREFIX, self.job_cache.on_settled_claim_changes)

    def _register_gauges(self) -> None:
        """Register gauges that read byte and write counts at scrape time."""
        source_by_channel = {
            "table": self.table,
            "list": self.host_list,
            "workers": self.workers,
            "peers": self.peers.transport,
        }
        for channel, source in source_by_channel.items():
            gauge = _metrics.CONTROL_BYTES.labels(channel)
            gauge.set_function(lambda source=source: source.n_bytes)
        _metrics.TABLE_WRITES.set_function(lambda: self.table.n_row_writes)

    def _is_ready(self) -> bool:
        return self.config.follower.is_known and not self.is_stopping

    def _peer_state(self) -> PeerState:
        self._n_beats += 1
        follower = self.config.follower
        return PeerState(
            name=f"planner@{self.settings.host_id}",
            incarnation=self.incarnation,
            data_centre=self.settings.data_centre,
            beat=self._n_beats,
            config_version=follower.document.version,
            config_known=follower.is_known,
            is_leaving=self.is_stopping,
        )

    def _peer_addresses(self) -> frozenset[str]:
        """Return the addresses of this host's entry process and the seed peers.

        The entry process exchanges state with the other hosts.
        """
        host = self.list_source.host_by_id.get(self.settings.host_id)
        listed = (host.entry_peer_address,) if host else ()
        return frozenset(listed) | frozenset(self.settings.seed_peers)

    async def poll_list(self) -> None:
        """Fetch changes of the host and worker list from the platform."""
        await self.list_source.refresh()

    async def poll_feed(self) -> None:
        """Fetch changes from the table; wake the scheduler if jobs need decisions."""
        await self.feed.poll()
        for job_id in self.job_cache.pop_cancelled():
            for cell in self.ownership.cell_by_id.values():
                if job_id in cell.owned.cell.job_by_id:
                    self.scheduler.mark_dirty(cell)
        if self.job_cache.open_by_id:
            self.scheduler.wake()
        version = self.config.current().version
        self.ownership.config_version = version
        _metrics.CONFIG_VERSION.set(version)

    async def send_due_exchanges(self) -> None:
        """Start due exchanges, so that leases are renewed during a table outage."""
        self.scheduler.exchanges.send_due()

    async def serve(self, stop: StopSignal) -> None:
        """Serve until the stop signal, then release the cells."""
        await self.admin_server.start()
        self.peers.transport.start()
        settings = self.settings
        loops = [
            asyncio.create_task(
                run_periodically(settings.list_period_s, self.poll_list)
            ),
            asyncio.create_task(
                run_periodically(
                    settings.beat_period_s, self.ownership.renew_and_rebalance
                )
            ),
            asyncio.create_task(
                run_periodically(settings.feed_period_s, self.poll_feed)
            ),
            asyncio.create_task(
                run_periodically(settings.idle_period_s, self.scheduler.run)
            ),
            asyncio.create_task(
                run_periodically(settings.renew_check_s, self.send_due_exchanges)
            ),
            asyncio.create_task(
                run_periodically(PEER_PERIOD_S, self.peers.broadcast_state)
            ),
            asyncio.create_task(self.peers.receive_forever()),
        ]
        logger.info("planner admin endpoint listens on %s", settings.admin_address)
        await stop.wait()
        self.is_stopping = True
        await cancel_all(loops)
        await self._hand_over()
        await self.admin_server.stop(grace_s=0.5)
        self.peers.transport.stop()
        logger.info("stopped")

    async def _hand_over(self) -> None:
        """Release the cells; if the table is unavailable, the host's lease lapses."""
        await self.scheduler.exchanges.drain()
        try:
            async with asyncio.timeout(5.0):
                await self.ownership.leave()
        except (BerylError, TimeoutError) as error:
            logger.warning("cells not released; the host lease will lapse: %s", error)


async def serve_planner(settings: PlannerSettings, stop: StopSignal) -> None:
    """Run the planner process until the stop signal."""
    await PlannerProcess(settings).serve(stop)

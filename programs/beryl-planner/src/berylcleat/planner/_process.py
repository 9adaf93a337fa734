"""The planner process: a shell around ownership and placement decisions."""

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
from berylcleat.runtime import AdminRouter, StopSignal, cancel_all, run_periodically
from berylcleat.telemetry import Tracer

from . import _metrics
from ._decision_log import DecisionLog
from ._job_board import DONE_PREFIX, JOB_PREFIX, JobBoard
from ._operators import OperatorDesk
from ._ownership_keeper import OwnershipKeeper
from ._scheduler import Scheduler
from ._settings import PlannerSettings

logger = logging.getLogger(__name__)


class PlannerProcess:
    """Hold what the planner process is made of."""

    def __init__(self, settings: PlannerSettings):
        self.settings = settings
        self.incarnation = secrets.token_hex(4)
        self.tracer = Tracer(f"planner@{settings.host_id}", settings.traces_kept)
        self.table = HttpTable(settings.platform_address)
        self.host_list = HttpHostList(settings.platform_address)
        self.list_source = ListSource(self.host_list)
        self.config = ConfigSource()
        self.board = JobBoard()
        self.feed = ChangeFeed(self.table)
        self.log = DecisionLog(settings.host_id)
        policy = make_colocate()
        self.keeper = OwnershipKeeper(
            settings, self.incarnation, self.table, self.list_source, policy.make_memory
        )
        self.workers = HttpWorkerControl()
        self.scheduler = Scheduler(
            settings,
            self.keeper,
            self.table,
            self.workers,
            self.board,
            self.feed,
            self.config,
            policy,
            self.tracer,
            self.log,
        )
        self.is_stopping = False
        self._beat = 0
        self.peers = PeerGroup(
            PeerTransport(settings.peer_address),
            self._describe,
            self._peer_addresses,
            self.config.current,
            self.config.on_document,
        )
        self.admin = AdminRouter(self.tracer, self._is_ready)
        OperatorDesk(self).add_routes(self.admin)
        self.admin_server = HttpServer(settings.admin_address, self.admin.handle)
        self._publish_counts()
        self._listen()

    def _listen(self) -> None:
        """Follow with one scan all that the table tells this process."""
        data_centre = self.settings.data_centre
        self.feed.listen(CONFIG_HEAD_KEY, self.config.on_changes)
        self.feed.listen(f"host/{data_centre}/", self.keeper.on_hosts)
        self.feed.listen(f"cell/{data_centre}/", self.keeper.on_cells)
        self.feed.listen(JOB_PREFIX, self.board.on_jobs)
        self.feed.listen(DONE_PREFIX, self.board.on_done)

    def _publish_counts(self) -> None:
        """Let /metrics read the byte and write counts when it is asked."""
        by_channel = {
            "table": self.table,
            "list": self.host_list,
            "workers": self.workers,
            "peers": self.peers.transport,
        }
        for channel, source in by_channel.items():
            gauge = _metrics.CONTROL_BYTES.labels(channel)
            gauge.set_function(lambda source=source: source.n_bytes)
        _metrics.TABLE_WRITES.set_function(lambda: self.table.n_row_writes)

    def _is_ready(self) -> bool:
        return self.config.follower.is_known and not self.is_stopping

    def _describe(self) -> PeerState:
        self._beat += 1
        follower = self.config.follower
        return PeerState(
            name=f"planner@{self.settings.host_id}",
            incarnation=self.incarnation,
            data_centre=self.settings.data_centre,
            beat=self._beat,
            config_version=follower.document.version,
            config_known=follower.is_known,
            is_leaving=self.is_stopping,
        )

    def _peer_addresses(self) -> frozenset[str]:
        """Return the entry process of this host: it talks to the other hosts."""
        own = self.list_source.host_by_id.get(self.settings.host_id)
        listed = (own.entry_peer_address,) if own else ()
        return frozenset(listed) | frozenset(self.settings.seed_peers)

    async def poll_list(self) -> None:
        """Ask the platform for changes of the list."""
        await self.list_source.refresh()

    async def poll_feed(self) -> None:
        """Ask the table for all changes; cancelled jobs need attention."""
        await self.feed.poll()
        for job_id in self.board.take_cancelled():
            for cell in self.keeper.cell_by_id.values():
                if job_id in cell.owned.cell.job_by_id:
                    self.scheduler.mark(cell)
        if self.board.open_by_id:
            self.scheduler.wake()
        version = self.config.current().version
        self.keeper.config_version = version
        _metrics.CONFIG_VERSION.set(version)

    async def renew(self) -> None:
        """Exchange with the workers that are due; the table may be out meanwhile."""
        self.scheduler.exchanges.send_due()

    async def serve(self, stop: StopSignal) -> None:
        """Serve until the stop signal, then hand over."""
        await self.admin_server.start()
        self.peers.transport.start()
        settings = self.settings
        loops = [
            asyncio.create_task(
                run_periodically(settings.list_period_s, self.poll_list)
            ),
            asyncio.create_task(
                run_periodically(settings.beat_period_s, self.keeper.step)
            ),
            asyncio.create_task(
                run_periodically(settings.feed_period_s, self.poll_feed)
            ),
            asyncio.create_task(
                run_periodically(settings.idle_period_s, self.scheduler.run)
            ),
            asyncio.create_task(run_periodically(settings.renew_check_s, self.renew)),
            asyncio.create_task(
                run_periodically(PEER_PERIOD_S, self.peers.broadcast_state)
            ),
            asyncio.create_task(self.peers.receive_forever()),
        ]
        logger.info("planning on %s", settings.admin_address)
        await stop.wait()
        self.is_stopping = True
        await cancel_all(loops)
        await self._hand_over()
        await self.admin_server.stop(grace_s=0.5)
        self.peers.transport.stop()
        logger.info("stopped")

    async def _hand_over(self) -> None:
        """Release the cells; if the table is out, their leases lapse instead."""
        await self.scheduler.exchanges.drain()
        try:
            async with asyncio.timeout(5.0):
                await self.keeper.leave()
        except (BerylError, TimeoutError) as problem:
            logger.warning("cells not handed over, they lapse instead: %s", problem)


async def serve_planner(settings: PlannerSettings, stop: StopSignal) -> None:
    """Run the planner process until the stop signal."""
    await PlannerProcess(settings).serve(stop)

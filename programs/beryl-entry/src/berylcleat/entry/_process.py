"""Components, periodic tasks and shutdown of the entry process."""

import asyncio
import logging
import random
import secrets

from berylcleat.http import ByteBudget, HttpLimits, HttpServer
from berylcleat.ownership import incarnation_id
from berylcleat.peers import (
    CONFIG_HEAD_KEY,
    PEER_PERIOD_S,
    ConfigSource,
    PeerGroup,
    PeerState,
    PeerTransport,
)
from berylcleat.ports import ChangeFeed, HttpHostList, HttpTable, ListedHost, ListSource
from berylcleat.runtime import (
    ADMIN_LIMITS,
    AdminRouter,
    StopSignal,
    cancel_all,
    run_periodically,
)
from berylcleat.telemetry import Tracer

from . import _metrics
from ._idempotency_keys import IdempotencyKeyStore
from ._service_proxy import ServiceProxy
from ._settings import EntrySettings

logger = logging.getLogger(__name__)


class EntryProcess:
    """Components of one entry process, and its periodic tasks."""

    def __init__(self, settings: EntrySettings):
        self.settings = settings
        self.incarnation = secrets.token_hex(4)
        name = incarnation_id(settings.host_id, self.incarnation)
        self.tracer = Tracer(f"entry@{settings.host_id}", settings.traces_kept)
        self.table = HttpTable(settings.platform_address)
        self.host_list = HttpHostList(settings.platform_address)
        self.list_source = ListSource(self.host_list)
        self.config_source = ConfigSource()
        self.feed_table = HttpTable(settings.platform_address)
        self.feed = ChangeFeed(self.feed_table)
        self.feed.listen(CONFIG_HEAD_KEY, self.config_source.on_changes)
        self.key_store = IdempotencyKeyStore(self.table, name)
        self.proxy = ServiceProxy(
            settings.data_centre,
            self.tracer,
            self.key_store,
            settings.n_waiting_places,
            random.Random(name),
        )
        self.is_stopping = False
        self._heartbeat = 0
        self._n_entry_hosts = 0
        self.peers = PeerGroup(
            PeerTransport(settings.peer_address),
            self._make_peer_state,
            self._peer_addresses,
            self.config_source.current,
            self._on_document,
        )
        self.admin = AdminRouter(self.tracer, self._is_ready)
        limits = HttpLimits(
            settings.max_body_bytes,
            settings.receive_timeout_s,
            max_connections=settings.max_connections,
        )
        budget = ByteBudget(settings.max_held_bytes)
        self.server = HttpServer(
            settings.entry_address, self.proxy.handle, limits, budget
        )
        self.admin_server = HttpServer(
            settings.admin_address, self.admin.handle, ADMIN_LIMITS, budget
        )
        self._register_byte_gauges()

    def _register_byte_gauges(self) -> None:
        """Register gauges that read the byte counters at each scrape of /metrics."""
        source_by_channel = {
            "table": self.feed_table,
            "list": self.host_list,
            "peers": self.peers.transport,
        }
        for channel, source in source_by_channel.items():
            gauge = _metrics.CONTROL_BYTES.labels(channel)
            gauge.set_function(lambda source=source: source.n_bytes)

    def _is_ready(self) -> bool:
        return self.config_source.follower.is_known and not self.is_stopping

    def _make_peer_state(self) -> PeerState:
        self._heartbeat += 1
        follower = self.config_source.follower
        return PeerState(
            name=f"entry@{self.settings.host_id}",
            incarnation=self.incarnation,
            data_centre=self.settings.data_centre,
            beat=self._heartbeat,
            config_version=follower.document.version,
            config_known=follower.is_known,
            is_entry=True,
            is_leaving=self.is_stopping,
            leaving_workers=self.proxy.leaving_workers(),
        )

    def _peer_addresses(self) -> frozenset[str]:
        listed = (
            address
            for host in self.list_source.host_by_id.values()
            if host.data_centre == self.settings.data_centre
            for address in self._peer_addresses_of_host(host)
        )
        return frozenset(listed) | frozenset(self.settings.seed_peers)

    def _peer_addresses_of_host(self, host: ListedHost) -> tuple[str, ...]:
        """Return the address of the host's entry; for this host, of its planner."""
        if host.host_id == self.settings.host_id:
            return (host.planner_peer_address,)
        return (host.entry_peer_address,)

    def _on_document(self, document) -> None:
        self.config_source.on_document(document)
        self._update_proxy()

    def _update_proxy(self) -> None:
        if self.config_source.has_changed:
            self.config_source.has_changed = False
            self.proxy.apply_config(self.config_source.current())
        n_entry_hosts = max(
            1, sum(not h.is_leaving for h in self.list_source.host_by_id.values())
        )
        workers = tuple(self.list_source.worker_by_id.values())
        self.proxy.apply_workers(workers, n_entry_hosts)

    async def poll_config(self) -> None:
        """Poll the table for a newer configuration, and apply it."""
        await self.feed.poll()
        if self.config_source.has_changed:
            self._update_proxy()

    async def poll_list(self) -> None:
        """Poll the platform for changes to the lists of hosts and workers."""
        if await self.list_source.refresh():
            self._update_proxy()

    async def exchange_peer_state(self) -> None:
        """Send own state to peers; mark the workers that they report as leaving."""
        await self.peers.broadcast_state()
        for peer in self.peers.live():
            if peer.leaving_workers:
                self.proxy.mark_leaving(peer.leaving_workers)

    async def serve(self, stop: StopSignal) -> None:
        """Serve requests until the stop signal, then drain."""
        await self.server.start()
        await self.admin_server.start()
        self.peers.transport.start()
        settings = self.settings
        tasks = [
            asyncio.create_task(
                run_periodically(settings.config_period_s, self.poll_config)
            ),
            asyncio.create_task(
                run_periodically(settings.list_period_s, self.poll_list)
            ),
            asyncio.create_task(
                run_periodically(PEER_PERIOD_S, self.exchange_peer_state)
            ),
            asyncio.create_task(self.peers.receive_forever()),
        ]
        logger.info("accepting requests on %s", settings.entry_address)
        await stop.wait()
        await self._drain()
        await cancel_all(tasks)
        await self.admin_server.stop(grace_s=0.5)
        self.peers.transport.stop()
        logger.info("stopped")

    async def _drain(self) -> None:
        """Fail the readiness check, wait ``drain_delay_s``, then finish pending work.

        The delay lets load balancers notice the failed check and stop sending. Requests
        in flight, then key writes, get up to ``drain_grace_s`` each to finish.
        """
        logger.info("draining: readiness check fails from now on")
        self.is_stopping = True
        await self.peers.broadcast_state()
        await asyncio.sleep(self.settings.drain_delay_s)
        await self.server.stop(self.settings.drain_grace_s)
        await self.key_store.flush(self.settings.drain_grace_s)


async def serve_entry(settings: EntrySettings, stop: StopSignal) -> None:
    """Run the entry process until the stop signal."""
    await EntryProcess(settings).serve(stop)

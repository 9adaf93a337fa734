"""Composition root of the host process."""

import asyncio
import logging
import secrets

import msgspec

from berylcleat.http import HttpLimits, HttpRequest, HttpResponse, HttpServer
from berylcleat.model import BerylError, ConflictError
from berylcleat.platform import (
    CONFIG_ROW,
    WORKER_TABLE,
    AdviceClient,
    StoreClient,
    decode_config,
)
from berylcleat.ports import Commit, Condition, RowWrite, StoreRow
from berylcleat.runtime import AdminRouter, StopSignal, cancel_all
from berylcleat.scheduling import InterferenceModel, LeaseTimes
from berylcleat.telemetry import Tracer

from ._cell_chooser import CellChooser
from ._cell_ownership import CellOwnershipManager
from ._client_api import ClientApi
from ._clock import now_s
from ._follower import Follower, RowFollower, TableFollower
from ._membership import HeartbeatCoverage, Membership
from ._peers import (
    ENDS_PATH,
    STATE_PREFIX,
    TAKEOVER_PATH,
    UPDATE_PATH,
    MovedTaskEnds,
    PeerClient,
    StateReply,
    SubmissionUpdate,
    TakeoverNotice,
)
from ._records import (
    CELL_TABLE,
    HOST_PART,
    HOST_TABLE,
    MOVES_SUFFIX,
    SUBMISSION_TABLE,
    HostRow,
    PairRow,
    encode,
)
from ._settings import HostSettings
from ._submission_directory import SubmissionDirectory
from ._worker_list import WorkerList

HEARTBEAT_PERIOD_S = 1.0
RECONCILE_PERIOD_S = 0.25
# Long-poll timeout of a table follower: a dead connection is detected after this time
# plus a margin.
FOLLOW_TIMEOUT_S = 1.0
CONFIG_POLL_PERIOD_S = 0.1
WORKER_POLL_PERIOD_S = 0.7
SUBMISSION_POLL_PERIOD_S = 0.4
HOST_POLL_PERIOD_S = 0.8
# Time for clients to be routed to other hosts before the listening socket closes.
CLIENT_REDIRECT_S = 2.2
logger = logging.getLogger(__name__)


class Host:
    """Components of one host process and its periodic tasks."""

    def __init__(self, settings: HostSettings):
        self.settings = settings
        self.incarnation = secrets.token_hex(4)
        self.is_leaving = False
        self._host_row_version = 0
        self.store = StoreClient(settings.store_address)
        self.directory = SubmissionDirectory()
        self.membership = Membership()
        self.workers = WorkerList()
        self.interference = InterferenceModel()
        self.peers = PeerClient()
        self._create_followers()
        self.ownership = CellOwnershipManager(
            settings.host_id,
            settings.data_centre,
            self.incarnation,
            self.store,
            self.directory,
            self.membership,
            self.workers,
            self.cell_follower,
            self.submission_follower,
            LeaseTimes(worker_lease_s=settings.worker_lease_s),
            self.interference,
            self.peers,
            self._make_advisor(),
        )
        chooser = CellChooser(
            settings.data_centre,
            self.membership,
            self.ownership,
            self.directory,
            self.interference,
        )
        self.client_api = ClientApi(
            self.store,
            self.directory,
            self.membership,
            self.ownership,
            chooser,
            self.peers,
        )

    def _make_advisor(self) -> AdviceClient | None:
        address = self.settings.advice_address
        return AdviceClient(address) if address else None

    def _create_followers(self) -> None:
        self.config_follower = RowFollower(
            self.store,
            *CONFIG_ROW,
            self._on_config,
            wait_s=FOLLOW_TIMEOUT_S,
            min_period_s=CONFIG_POLL_PERIOD_S,
        )
        self.worker_follower = TableFollower(
            self.store,
            WORKER_TABLE,
            self.workers.on_rows,
            wait_s=FOLLOW_TIMEOUT_S,
            min_period_s=WORKER_POLL_PERIOD_S,
            parts=("",),
            rereads_on_failure=True,
        )
        self.submission_follower = TableFollower(
            self.store,
            SUBMISSION_TABLE,
            self.directory.on_rows,
            wait_s=FOLLOW_TIMEOUT_S,
            min_period_s=SUBMISSION_POLL_PERIOD_S,
        )
        self.cell_follower = TableFollower(
            self.store,
            CELL_TABLE,
            self.membership.on_owner_rows,
            wait_s=FOLLOW_TIMEOUT_S,
            min_period_s=0.05,
        )
        self.host_follower = TableFollower(
            self.store,
            HOST_TABLE,
            self._on_host_rows,
            wait_s=FOLLOW_TIMEOUT_S,
            min_period_s=HOST_POLL_PERIOD_S,
            parts=(HOST_PART,),
            rereads_on_failure=True,
        )

    @property
    def followers(self) -> tuple[Follower, ...]:
        """Return the followers of all tables that this host reads."""
        return (
            self.config_follower,
            self.worker_follower,
            self.submission_follower,
            self.cell_follower,
            self.host_follower,
        )

    def is_ready(self) -> bool:
        """Return whether clients can be served: all tables read, not shutting down."""
        if self.is_leaving or self.client_api.config is None:
            return False
        return all(follower.has_synced for follower in self.followers)

    async def heartbeat(self) -> None:
        """Write this host's row periodically."""
        is_failing = False
        while True:
            try:
                await self.write_row()
                is_failing = False
            except ConflictError as error:
                logger.info("%s", error)
                continue
            except BerylError as error:
                if not is_failing:
                    logger.warning("could not write the heartbeat: %s", error)
                is_failing = True
            await asyncio.sleep(HEARTBEAT_PERIOD_S)

    async def write_row(self) -> None:
        """Write this host's row once.

        Raises ``ConflictError`` if the stored row has another version than expected.
        """
        row = HostRow(
            self.incarnation,
            self.settings.data_centre,
            self.settings.peer_address,
            self.settings.cpu_power,
            self.is_leaving,
            self.ownership.summaries(),
            tuple(
                PairRow(filler, serving, round(log_odds, 1))
                for (
                    filler,
                    serving,
                ), log_odds in self.interference.learned_log_odds().items()
            ),
        )
        row_key = (HOST_TABLE, HOST_PART, self.settings.host_id)
        # A delayed write of an earlier incarnation must not overwrite this one's row.
        condition = Condition(*row_key, self._host_row_version)
        outcome = await self.store.commit(
            Commit((condition,), (RowWrite(*row_key, encode(row)),))
        )
        if outcome.applied:
            self._host_row_version = outcome.version
            return
        for current in outcome.current:
            self._host_row_version = current.version
        raise ConflictError("heartbeat: the host row has changed", "Write it again")

    async def reconcile_cells(self) -> None:
        """Acquire and drop cells periodically, as membership changes."""
        while True:
            coverage = HeartbeatCoverage(
                self.host_follower.recovered_at, self.host_follower.confirmed_at
            )
            await self.ownership.reconcile(coverage)
            await asyncio.sleep(RECONCILE_PERIOD_S)

    async def leave(self) -> None:
        """Fail the readiness probe, release all cells and publish the departure."""
        self.is_leaving = True
        await self.ownership.release_all()
        try:
            await self.write_row()
        except BerylError as error:
            logger.warning("could not publish that this host is leaving: %s", error)

    # Messages

    async def on_ready(self, request: HttpRequest) -> HttpResponse:
        """Answer the platform's readiness probe."""
        return HttpResponse(200 if self.is_ready() else 503)

    async def on_peer(self, request: HttpRequest) -> HttpResponse:
        """Answer a request of another host."""
        if request.target.startswith(STATE_PREFIX):
            return self._reply_state(request.target.removeprefix(STATE_PREFIX))
        if request.target == UPDATE_PATH:
            return self._on_submission_update(request.body)
        if request.target == ENDS_PATH:
            return self._on_moved_task_ends(request.body)
        if request.target == TAKEOVER_PATH:
            return await self._on_takeover(request.body)
        return HttpResponse(404)

    def _reply_state(self, submission_id: str) -> HttpResponse:
        entry = self.directory.by_id.get(submission_id)
        state = None
        if entry is not None and entry.accepted is not None:
            controller = self.ownership.controller_by_cell.get(entry.accepted.cell_id)
            state = controller.state_of(submission_id) if controller else None
        value = state.value if state else ""
        return HttpResponse(200, (), msgspec.json.encode(StateReply(value)))

    def _on_submission_update(self, body: bytes) -> HttpResponse:
        try:
            update = msgspec.json.decode(body, type=SubmissionUpdate)
        except msgspec.MsgspecError as error:
            logger.error("submission update can't be decoded: %s", error)
            return HttpResponse(400)
        if update.accepted is not None:
            self.directory.add_accepted(update.accepted)
        if update.moves_of:
            key = update.moves_of + MOVES_SUFFIX
            row = StoreRow(SUBMISSION_TABLE, "", key, update.moves, update.version)
            self.directory.on_rows((row,))
        if update.cancelled_id:
            self.directory.add_cancel(update.cancelled_id)
        return HttpResponse(200)

    def _on_moved_task_ends(self, body: bytes) -> HttpResponse:
        try:
            report = msgspec.json.decode(body, type=MovedTaskEnds)
        except msgspec.MsgspecError as error:
            logger.error("report of moved tasks' ends can't be decoded: %s", error)
            return HttpResponse(400)
        entry = self.directory.by_id.get(report.submission_id)
        if entry is None or entry.accepted is None:
            return HttpResponse(409)
        controller = self.ownership.controller_by_cell.get(entry.accepted.cell_id)
        if controller is None:
            return HttpResponse(409)
        is_durable = controller.on_moved_task_ends(
            report.submission_id, list(report.ends)
        )
        return HttpResponse(200 if is_durable else 409)

    async def _on_takeover(self, body: bytes) -> HttpResponse:
        try:
            notice = msgspec.json.decode(body, type=TakeoverNotice)
        except msgspec.MsgspecError as error:
            logger.error("takeover notice can't be decoded: %s", error)
            return HttpResponse(400)
        await self.ownership.relinquish(notice.cell_id, notice.epoch)
        return HttpResponse(200)

    def _on_host_rows(self, rows: tuple[StoreRow, ...]) -> None:
        self.membership.on_host_rows(rows)
        for row in rows:
            heartbeat = self.membership.heartbeat_by_host.get(row.key)
            if heartbeat is None or heartbeat.row.incarnation == self.incarnation:
                continue
            log_odds_by_pair = {
                (pair.filler, pair.serving): pair.log_odds
                for pair in heartbeat.row.pairs
            }
            # The row of an earlier incarnation of this host holds what it had learnt.
            if row.key == self.settings.host_id:
                self.interference.restore(log_odds_by_pair)
            else:
                self.interference.set_peer_log_odds(row.key, log_odds_by_pair)

    def _on_config(self, row: StoreRow) -> None:
        config = decode_config(row)
        current = self.client_api.config
        if config is None:
            logger.error(
                "configuration at version %d can't be decoded; keeping the current one",
                row.version,
            )
        elif current is None or config.version > current.version:
            self.client_api.config = config
            logger.info("configuration version %d applied", config.version)


async def serve_host(settings: HostSettings, stop: StopSignal) -> None:
    """Serve until the stop signal, then release all cells and shut down gracefully."""
    host = Host(settings)
    tracer = Tracer("beryl-host")
    limits = HttpLimits(idle_timeout_s=60.0)
    client_server = HttpServer(settings.front_address, host.client_api.handle, limits)
    readiness_server = HttpServer(settings.ready_address, host.on_ready)
    peer_server = HttpServer(settings.peer_address, host.on_peer)
    admin_server = HttpServer(
        settings.metrics_address, AdminRouter(tracer, host.is_ready).handle
    )
    for server in (readiness_server, client_server, peer_server, admin_server):
        await server.start()
    logger.info("host %s incarnation %s started", settings.host_id, host.incarnation)
    loop = asyncio.get_running_loop()
    tasks = [loop.create_task(follower.run()) for follower in host.followers]
    tasks.append(loop.create_task(host.heartbeat()))
    tasks.append(loop.create_task(host.reconcile_cells()))
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

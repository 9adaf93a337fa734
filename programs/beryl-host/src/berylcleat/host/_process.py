"""Wire the parts of the host process together."""

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
from berylcleat.scheduling import LeaseTimes, PairTable
from berylcleat.telemetry import Tracer

from ._cells import CellKeeper
from ._choice import CellChooser
from ._clock import now_s
from ._desk import Desk
from ._directory import Directory
from ._follower import TableFollower
from ._membership import Knowledge, Membership
from ._peers import (
    ENDS_PATH,
    HANDOVER_PATH,
    NEWS_PATH,
    STATE_PREFIX,
    GuestEnds,
    Handover,
    News,
    PeerClient,
    StateReply,
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
from ._worker_list import WorkerList

HEARTBEAT_S = 1.0
KEEPER_PERIOD_S = 0.25
# A connection that has fallen silent is noticed after this wait and a margin.
FOLLOW_WAIT_S = 1.0
WORKER_PERIOD_S = 0.7
SUBMISSION_PERIOD_S = 0.4
HOST_PERIOD_S = 0.8
# Clients are led elsewhere before the listening socket closes.
LEAVE_PAUSE_S = 2.2
logger = logging.getLogger(__name__)


class Host:
    """Hold the parts of one host process."""

    def __init__(self, settings: HostSettings):
        self.settings = settings
        self.incarnation = secrets.token_hex(4)
        self.is_leaving = False
        self._row_version = 0
        self.store = StoreClient(settings.store_address)
        self.directory = Directory()
        self.membership = Membership()
        self.workers = WorkerList()
        self.pairs = PairTable()
        self.peers = PeerClient()
        self._follow_tables()
        self.keeper = CellKeeper(
            settings.host_id,
            settings.data_centre,
            self.incarnation,
            self.store,
            self.directory,
            self.membership,
            self.workers,
            self.cells,
            self.submissions,
            LeaseTimes(worker_lease_s=settings.worker_lease_s),
            self.pairs,
            self.peers,
            self._make_advisor(),
        )
        chooser = CellChooser(
            settings.data_centre,
            self.membership,
            self.keeper,
            self.directory,
            self.pairs,
        )
        self.desk = Desk(
            self.store,
            self.directory,
            self.membership,
            self.keeper,
            chooser,
            self.peers,
        )

    def _make_advisor(self) -> AdviceClient | None:
        address = self.settings.advice_address
        return AdviceClient(address) if address else None

    def _follow_tables(self) -> None:
        self.config = TableFollower(
            self.store,
            CONFIG_ROW[0],
            self._on_operator_rows,
            wait_s=FOLLOW_WAIT_S,
            min_period_s=0.1,
            parts=("",),
            reads_anew=True,
        )
        self.listed = TableFollower(
            self.store,
            WORKER_TABLE,
            self.workers.on_rows,
            wait_s=FOLLOW_WAIT_S,
            min_period_s=WORKER_PERIOD_S,
            parts=("",),
            reads_anew=True,
        )
        self.submissions = TableFollower(
            self.store,
            SUBMISSION_TABLE,
            self.directory.on_rows,
            wait_s=FOLLOW_WAIT_S,
            min_period_s=SUBMISSION_PERIOD_S,
        )
        self.cells = TableFollower(
            self.store,
            CELL_TABLE,
            self.membership.on_owner_rows,
            wait_s=FOLLOW_WAIT_S,
            min_period_s=0.05,
        )
        self.hosts = TableFollower(
            self.store,
            HOST_TABLE,
            self._on_host_rows,
            wait_s=FOLLOW_WAIT_S,
            min_period_s=HOST_PERIOD_S,
            parts=(HOST_PART,),
            reads_anew=True,
        )

    @property
    def followers(self) -> tuple[TableFollower, ...]:
        """Return what this host follows."""
        return (self.config, self.listed, self.submissions, self.cells, self.hosts)

    def is_ready(self) -> bool:
        """Tell whether clients should be sent here."""
        if self.is_leaving or self.desk.config is None:
            return False
        return all(follower.has_read for follower in self.followers)

    async def heartbeat(self) -> None:
        """Write this host's row from time to time."""
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
                    logger.warning("heartbeat not written: %s", error)
                is_failing = True
            await asyncio.sleep(HEARTBEAT_S)

    async def write_row(self) -> None:
        """Write this host's row once."""
        row = HostRow(
            self.incarnation,
            self.settings.data_centre,
            self.settings.peer_address,
            self.settings.cpu_power,
            self.is_leaving,
            self.keeper.summaries(),
            tuple(
                PairRow(filler, serving, round(log_odds, 1))
                for (filler, serving), log_odds in self.pairs.seen().items()
            ),
        )
        place = (HOST_TABLE, HOST_PART, self.settings.host_id)
        # A late write of an earlier incarnation must not undo ours.
        condition = Condition(*place, self._row_version)
        outcome = await self.store.commit(
            Commit((condition,), (RowWrite(*place, encode(row)),))
        )
        if outcome.applied:
            self._row_version = outcome.version
            return
        for current in outcome.current:
            self._row_version = current.version
        raise ConflictError("heartbeat: the row has changed", "Write it again")

    async def keep_cells(self) -> None:
        """Take and drop cells as membership changes."""
        while True:
            known = Knowledge(self.hosts.recovered_at, self.hosts.confirmed_at)
            await self.keeper.step(known)
            await asyncio.sleep(KEEPER_PERIOD_S)

    async def leave(self) -> None:
        """Tell clients and hosts that this one goes."""
        self.is_leaving = True
        await self.keeper.release_all()
        try:
            await self.write_row()
        except BerylError as error:
            logger.warning("leaving not written: %s", error)

    # Messages

    async def on_ready(self, request: HttpRequest) -> HttpResponse:
        """Answer the platform's question whether this host is ready."""
        return HttpResponse(200 if self.is_ready() else 503)

    async def on_peer(self, request: HttpRequest) -> HttpResponse:
        """Answer another host."""
        if request.target.startswith(STATE_PREFIX):
            return self._tell_state(request.target.removeprefix(STATE_PREFIX))
        if request.target == NEWS_PATH:
            return self._take_news(request.body)
        if request.target == ENDS_PATH:
            return self._take_ends(request.body)
        if request.target == HANDOVER_PATH:
            return await self._give_up(request.body)
        return HttpResponse(404)

    def _tell_state(self, submission_id: str) -> HttpResponse:
        entry = self.directory.by_id.get(submission_id)
        state = None
        if entry is not None and entry.accepted is not None:
            driver = self.keeper.driver_by_cell.get(entry.accepted.cell_id)
            state = driver.state_of(submission_id) if driver else None
        word = state.value if state else ""
        return HttpResponse(200, (), msgspec.json.encode(StateReply(word)))

    def _take_news(self, body: bytes) -> HttpResponse:
        try:
            news = msgspec.json.decode(body, type=News)
        except msgspec.MsgspecError as error:
            logger.error("news can't be read: %s", error)
            return HttpResponse(400)
        if news.accepted is not None:
            self.directory.add(news.accepted)
        if news.moves_of:
            key = news.moves_of + MOVES_SUFFIX
            row = StoreRow(SUBMISSION_TABLE, "", key, news.moves, news.version)
            self.directory.on_rows((row,))
        if news.cancelled_id:
            self.directory.add_cancel(news.cancelled_id)
        return HttpResponse(200)

    def _take_ends(self, body: bytes) -> HttpResponse:
        try:
            told = msgspec.json.decode(body, type=GuestEnds)
        except msgspec.MsgspecError as error:
            logger.error("ends can't be read: %s", error)
            return HttpResponse(400)
        entry = self.directory.by_id.get(told.submission_id)
        if entry is None or entry.accepted is None:
            return HttpResponse(409)
        driver = self.keeper.driver_by_cell.get(entry.accepted.cell_id)
        if driver is None:
            return HttpResponse(409)
        is_durable = driver.on_guest_ends(told.submission_id, list(told.ends))
        return HttpResponse(200 if is_durable else 409)

    async def _give_up(self, body: bytes) -> HttpResponse:
        try:
            handover = msgspec.json.decode(body, type=Handover)
        except msgspec.MsgspecError as error:
            logger.error("handover can't be read: %s", error)
            return HttpResponse(400)
        await self.keeper.give_up(handover.cell_id, handover.epoch)
        return HttpResponse(200)

    def _on_host_rows(self, rows: tuple[StoreRow, ...]) -> None:
        self.membership.on_host_rows(rows)
        for row in rows:
            sighting = self.membership.host_by_id.get(row.key)
            if sighting is None or sighting.row.incarnation == self.incarnation:
                continue
            seen = {
                (pair.filler, pair.serving): pair.log_odds
                for pair in sighting.row.pairs
            }
            if row.key == self.settings.host_id:
                self.pairs.restore(seen)
            else:
                self.pairs.tell(row.key, seen)

    def _on_operator_rows(self, rows: tuple[StoreRow, ...]) -> None:
        for row in rows:
            if row.key == CONFIG_ROW[1]:
                self._on_config(row)

    def _on_config(self, row: StoreRow) -> None:
        config = decode_config(row)
        current = self.desk.config
        if config is None:
            logger.error("configuration at %d can't be read; kept", row.version)
        elif current is None or config.version > current.version:
            self.desk.config = config
            logger.info("configuration %d in force", config.version)


async def serve_host(settings: HostSettings, stop: StopSignal) -> None:
    """Serve until a stop signal, then leave gracefully."""
    host = Host(settings)
    tracer = Tracer("beryl-host")
    limits = HttpLimits(idle_timeout_s=60.0)
    front = HttpServer(settings.front_address, host.desk.handle, limits)
    ready = HttpServer(settings.ready_address, host.on_ready)
    peer = HttpServer(settings.peer_address, host.on_peer)
    admin = HttpServer(
        settings.metrics_address, AdminRouter(tracer, host.is_ready).handle
    )
    for server in (ready, front, peer, admin):
        await server.start()
    logger.info("host %s incarnation %s started", settings.host_id, host.incarnation)
    loop = asyncio.get_running_loop()
    tasks = [loop.create_task(follower.run()) for follower in host.followers]
    tasks.append(loop.create_task(host.heartbeat()))
    tasks.append(loop.create_task(host.keep_cells()))
    await stop.wait()
    logger.info("stopping")
    started_at = now_s()
    await host.leave()
    await asyncio.sleep(LEAVE_PAUSE_S)
    grace_s = settings.drain_grace_s - (now_s() - started_at) - 0.5
    await front.stop(max(grace_s, 0.1))
    await cancel_all(tasks)
    logger.info("stopped")

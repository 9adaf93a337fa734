"""Parts of a host that several step files set up around a store in memory."""

import logging

from berylcleat.host._cell_controller import CellController
from berylcleat.host._cell_directory import CellDirectory
from berylcleat.host._cell_ownership import CellOwnershipManager
from berylcleat.host._clock import now_s
from berylcleat.host._components import Connections, Knowledge, OwnerFeeds
from berylcleat.host._follower import TableFollower
from berylcleat.host._identity import HostIdentity
from berylcleat.host._known_cells import KnownCells
from berylcleat.host._membership import Membership
from berylcleat.host._on_demand_follower import OnDemandFollower
from berylcleat.host._operator_state import OperatorState
from berylcleat.host._peers import PeerClient
from berylcleat.host._records import CELL_TABLE, OWNER_KEY
from berylcleat.host._submission_directory import SubmissionDirectory
from berylcleat.host._submission_feeds import SubmissionFeeds
from berylcleat.host._worker_list import WorkerList
from berylcleat.model import TaskDemand
from berylcleat.ports import WorkerEntry
from berylcleat.scheduling import InterferenceModel, LeaseTimes

CELL = "r1"


class LogCollector(logging.Handler):
    """Handler that keeps the messages of this project's code while it is entered."""

    def __init__(self, level):
        super().__init__(level)
        self.messages = []
        self._logger = logging.getLogger("berylcleat")
        self._previous_level = self._logger.level

    def emit(self, record):
        self.messages.append(record.getMessage())

    def __enter__(self):
        self._previous_level = self._logger.level
        self._logger.setLevel(self.level)
        self._logger.addHandler(self)
        return self

    def __exit__(self, *_):
        self._logger.removeHandler(self)
        self._logger.setLevel(self._previous_level)


class IdleMover:
    """Mover of tasks that knows no other cell."""

    def headrooms(self, cell_id, data_centre):
        return ()


def make_worker_entry(worker_id):
    return WorkerEntry(
        worker_id=worker_id,
        service="cardhouse",
        address="127.0.0.1:9",
        data_centre="dc-1",
        rack=CELL,
        capacity=TaskDemand(8000, 8000, 0),
        kind="a",
        labels=frozenset({CELL}),
        is_draining=False,
        started_at_ms=1,
    )


def make_knowledge(membership, cells, workers, operator=None):
    directory = SubmissionDirectory()
    operator = operator or OperatorState()
    interference = InterferenceModel()
    return Knowledge(membership, cells, workers, directory, interference, operator)


def make_controller(
    store,
    owner,
    settled_at,
    *,
    data_centre="dc-1",
    operator=None,
    read_confirmed_at=now_s,
    heartbeat_before=lambda at: at,
):
    """Return a controller; earlier runs count as unknown until ``settled_at``."""
    cells = CellDirectory(data_centre)
    return CellController(
        CELL,
        data_centre,
        owner,
        store.rows_by_key(CELL_TABLE, CELL)[OWNER_KEY].version,
        Connections(store, PeerClient()),
        make_knowledge(Membership(), cells, WorkerList(), operator),
        LeaseTimes(),
        settled_at,
        read_confirmed_at,
        IdleMover(),
        heartbeat_before=heartbeat_before,
    )


def make_manager(
    data_centre, store, membership, cells, workers, follower, incarnation="bb"
):
    knowledge = make_knowledge(membership, cells, workers)
    submissions = SubmissionFeeds(store, knowledge.directory, 0.1)
    return CellOwnershipManager(
        HostIdentity("host-1", data_centre, incarnation, "127.0.0.1:9"),
        Connections(store, PeerClient()),
        knowledge,
        OwnerFeeds(follower, make_worker_follower(store), submissions),
        LeaseTimes(),
    )


def make_known_cells():
    return KnownCells(WorkerList(), CellDirectory("dc-1"))


def make_worker_follower(store):
    return OnDemandFollower(
        store,
        "servers",
        lambda rows: None,
        lambda: True,
        wait_s=0.1,
        min_period_s=0.1,
        idle_period_s=10.0,
        parts=("",),
    )


def make_cell_follower(store, cells):
    return TableFollower(
        store, CELL_TABLE, cells.on_owner_rows, wait_s=0.1, min_period_s=0.1
    )

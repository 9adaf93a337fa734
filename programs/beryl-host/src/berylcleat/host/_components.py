"""Groups of a host's components that are handed on together."""

from dataclasses import dataclass, field

from berylcleat.ports import Advisor, Store
from berylcleat.scheduling import InterferenceModel

from ._cell_directory import CellDirectory
from ._follower import TableFollower
from ._membership import Membership
from ._on_demand_follower import OnDemandFollower
from ._operator_state import OperatorState
from ._peers import PeerClient
from ._submission_directory import SubmissionDirectory
from ._submission_feeds import SubmissionFeeds
from ._worker_list import WorkerList


@dataclass(frozen=True, slots=True)
class Connections:
    """Clients of what lies outside the process; there may be no advisor."""

    store: Store
    peers: PeerClient
    advisor: Advisor | None = None


@dataclass(frozen=True, slots=True)
class Knowledge:
    """What this host knows of hosts, cells, workers, submissions and images.

    ``operator`` holds what the operator asks for.
    ``learns_uneven_workers`` tells whether owners learn speeds and failures of workers.
    Without an ``admission_late_limit`` its cells report no backlog.
    """

    membership: Membership
    cells: CellDirectory
    workers: WorkerList
    directory: SubmissionDirectory
    interference: InterferenceModel
    operator: OperatorState = field(default_factory=OperatorState)
    learns_uneven_workers: bool = False
    admission_late_limit: float = 0.0


@dataclass(frozen=True, slots=True)
class OwnerFeeds:
    """Followers that an owner of cells depends on."""

    cells: TableFollower
    workers: OnDemandFollower
    submissions: SubmissionFeeds

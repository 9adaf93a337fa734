"""Client API: accept and cancel submissions, report states, count pending ones."""

import asyncio
import logging
from collections import OrderedDict

import msgspec

from berylcleat.http import HttpRequest, HttpResponse
from berylcleat.model import (
    BadRequestError,
    BerylError,
    MalformedValueError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    Submission,
    SubmissionState,
    SubmissionTooLargeError,
)
from berylcleat.platform import (
    IngressKind,
    IngressRequest,
    decode_submission,
    encode_pending,
    encode_state,
    is_submission_id,
    parse_ingress,
)
from berylcleat.ports import OperatorConfig, Store
from berylcleat.scheduling import Admit, Progress, Refuse, decode_progress

from ._cancellations import Cancellations
from ._cell_chooser import CellChooser
from ._cell_directory import CellDirectory
from ._cell_loads import stale_load_age_s
from ._cell_ownership import CellOwnershipManager
from ._client_responses import make_response
from ._clock import now_s, wall_ms
from ._metrics import ADMISSION_ESTIMATES, REFUSALS
from ._peers import PeerClient, SubmissionUpdate
from ._records import PROGRESS_TABLE, AcceptedRow
from ._settings import MAX_ROW_BYTES
from ._submission_directory import SubmissionDirectory, SubmissionEntry
from ._submission_store import AcceptResult, SubmissionStore
from ._uncounted_submissions import UncountedSubmissions

DEFAULT_TIMEOUT_S = 3.0
# Part of the client's deadline that is reserved for sending the response.
RESPONSE_MARGIN_S = 0.15
COMMIT_RETRY_S = 0.1
# Maximum time for the look-up before a refusal: no refusal is held back by the store.
REFUSAL_CHECK_S = 0.5
# Submissions with an unknown outcome that a host remembers so as not to refuse them.
MAX_UNCERTAIN_IDS = 10_000
# Time within which the store may still carry out a commit that it hasn't answered.
MAX_COMMIT_DELAY_S = 10.0
logger = logging.getLogger(__name__)


def _refuse_for_load(submission: Submission, refusal: Refuse) -> HttpResponse:
    logger.info(
        "submission %s: refused for load, %s: account %s, estimate %.1f s, "
        "limit %.1f s, Retry-After %d",
        submission.submission_id,
        refusal.reason.value,
        refusal.account,
        refusal.estimate_s,
        refusal.limit_s,
        refusal.retry_after_s,
    )
    REFUSALS.labels(submission.queue.name, refusal.reason.value).inc()
    return make_response(503, retry_after_s=refusal.retry_after_s)


def _observe_estimate(submission: Submission, decision: Admit | Refuse) -> None:
    if decision.estimate_s is not None:
        estimates = ADMISSION_ESTIMATES.labels(submission.queue.name)
        estimates.observe(decision.estimate_s)


class ClientApi:
    """Handler of client requests."""

    def __init__(
        self,
        store: Store,
        submissions: SubmissionStore,
        directory: SubmissionDirectory,
        cells: CellDirectory,
        ownership: CellOwnershipManager,
        chooser: CellChooser,
        peers: PeerClient,
        data_centre: str = "",
        max_row_bytes: int = MAX_ROW_BYTES,
    ):
        self.config: OperatorConfig | None = None
        self._store = store
        self._submissions = submissions
        self._directory = directory
        self._cells = cells
        self._ownership = ownership
        self._chooser = chooser
        self._peers = peers
        self._cancellations = Cancellations(
            submissions, self._known_home, self._on_cancelled
        )
        self._data_centre = data_centre
        self._max_row_bytes = max_row_bytes
        self._uncounted = UncountedSubmissions(store)
        # Submissions of which a commit without an answer may have taken effect, or may
        # still do so, oldest first, and when the newest one was given up.
        self._uncertain_since_by_id: OrderedDict[str, float] = OrderedDict()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one client request."""
        ingress = self.parse(request)
        return await self.serve(ingress, request.body, self.find_deadline(ingress))

    def parse(self, request: HttpRequest) -> IngressRequest | None:
        """Return what a client asks for; None before the first configuration."""
        return None if self.config is None else parse_ingress(request, self.config)

    def find_deadline(self, ingress: IngressRequest | None) -> float:
        """Return the time by which a request received now is to be answered."""
        deadline_ms = ingress.deadline_ms if ingress is not None else None
        timeout_s = (deadline_ms or DEFAULT_TIMEOUT_S * 1000) / 1000
        return now_s() + timeout_s - RESPONSE_MARGIN_S

    def needs_store(self, ingress: IngressRequest) -> bool:
        """Return whether the answer takes the store, or an owner that it names."""
        if ingress.kind is IngressKind.SUBMIT:
            return self._known_home(ingress.submission_id) is None
        if ingress.kind is IngressKind.READ_STATE:
            home = self._known_home(ingress.submission_id)
            return home not in self._ownership.controller_by_cell
        return ingress.kind is IngressKind.CANCEL

    async def serve(
        self, ingress: IngressRequest | None, body: bytes, deadline: float
    ) -> HttpResponse:
        """Answer one request by ``deadline``."""
        if ingress is None:
            return make_response(503)
        if ingress.kind is IngressKind.UNKNOWN:
            return make_response(404)
        if ingress.kind is IngressKind.COUNT_PENDING:
            n_pending = await self._count_pending(ingress)
            return make_response(200, encode_pending(n_pending))
        if ingress.kind is IngressKind.SUBMIT:
            return await self._submit(ingress, body, deadline)
        if ingress.kind is IngressKind.CANCEL:
            return await self._cancellations.cancel(ingress.submission_id, deadline)
        return await self._read_state(ingress.submission_id)

    # Submitting

    async def _submit(
        self, ingress: IngressRequest, body: bytes, deadline: float
    ) -> HttpResponse:
        submission_id = ingress.submission_id
        if self._known_home(submission_id) is not None:
            return make_response(200)
        try:
            submission = decode_submission(
                submission_id, ingress.queue.policy, body, self._max_row_bytes
            )
        except SubmissionTooLargeError as error:
            status = self._refusal_status(submission_id)
            logger.info(
                "submission %s: answered %d, no row holds it: %s",
                submission_id,
                status,
                error,
            )
            if status == 503:
                REFUSALS.labels(ingress.queue.policy.name, "too-large").inc()
            return make_response(status)
        except BadRequestError as error:
            logger.info(
                "submission %s: rejected as malformed: %s", submission_id, error
            )
            return make_response(400, msgspec.json.encode({"error": str(error)}))
        received_at = now_s()
        decision = await self._decide(submission, deadline)
        if decision is None:
            status = self._refusal_status(submission_id)
            if status == 503:
                logger.info(
                    "submission %s: refused, %s",
                    submission_id,
                    self._chooser.explain_refusal(),
                )
                REFUSALS.labels(submission.queue.name, "no-cell").inc()
            return make_response(status)
        _observe_estimate(submission, decision)
        if isinstance(decision, Refuse):
            status = self._refusal_status(submission_id)
            if status != 503:
                return make_response(status)
            return _refuse_for_load(submission, decision)
        cell_id = decision.cell_id
        accepted = AcceptedRow(cell_id, int(wall_ms()), submission, self._data_centre)
        status = await self._store_accepted(accepted, deadline)
        if status == 503:
            self._chooser.withdraw(submission_id)
            REFUSALS.labels(submission.queue.name, "store").inc()
        logger.info(
            "submission %s: answered %d, queue %s, cell %s, %d steps, %d tasks, "
            "after %.2f s",
            submission_id,
            status,
            submission.queue.name,
            cell_id,
            len(submission.steps),
            sum(step.n_tasks for step in submission.steps),
            now_s() - received_at,
        )
        return make_response(status)

    async def _decide(
        self, submission: Submission, deadline: float
    ) -> Admit | Refuse | None:
        """Choose the home cell, or refuse what is certainly not stored.

        An earlier attempt may have stored the submission through another host. If the
        store can't tell, the submission is admitted and its commit decides; None if
        there is no cell for it.
        """
        submission_id = submission.submission_id
        may_refuse = not self.is_uncertain(submission_id)
        decision = self._chooser.decide(submission, may_refuse=may_refuse)
        if isinstance(decision, Admit):
            return decision
        try:
            async with asyncio.timeout(min(REFUSAL_CHECK_S, deadline - now_s())):
                await self._submissions.find_home(submission_id)
        except (BerylError, TimeoutError) as error:
            logger.info(
                "submission %s: store lookup before a refusal failed: %s",
                submission_id,
                error,
            )
            return self._chooser.decide(submission, may_refuse=False)
        return decision

    def _refusal_status(self, submission_id: str) -> int:
        """Return the status for a submission that isn't stored now.

        503 promises that it never runs, so it isn't the answer if a commit of an
        earlier request may still take effect.
        """
        if self._known_home(submission_id) is not None:
            return 200
        return 504 if self.is_uncertain(submission_id) else 503

    def is_uncertain(self, submission_id: str) -> bool:
        """Return whether a commit without an answer may have stored a submission."""
        return submission_id in self._uncertain_since_by_id

    def remember_uncertain(self, submission_id: str) -> float:
        """Remember a submission that may be stored without an answer; return when."""
        remembered_at = now_s()
        self._uncertain_since_by_id[submission_id] = remembered_at
        self._uncertain_since_by_id.move_to_end(submission_id)
        while len(self._uncertain_since_by_id) > MAX_UNCERTAIN_IDS:
            self._uncertain_since_by_id.popitem(last=False)
        return remembered_at

    def forget_uncertain(self, submission_id: str, remembered_at: float) -> None:
        """Forget a commit that was refused, unless another attempt came after it."""
        if self._uncertain_since_by_id.get(submission_id) == remembered_at:
            del self._uncertain_since_by_id[submission_id]

    def may_be_stored_later(self, submission_id: str) -> bool:
        """Return whether an unanswered commit may still store a submission."""
        since = self._uncertain_since_by_id.get(submission_id, float("-inf"))
        return now_s() - since < MAX_COMMIT_DELAY_S

    async def _store_accepted(self, accepted: AcceptedRow, deadline: float) -> int:
        """Store an accepted submission; return the status for the client.

        A commit without an answer may still take effect, so after one the client is
        never told that the submission was refused: it gets 504 at the deadline, or at
        once if the store refuses a later request.
        """
        submission_id = accepted.submission.submission_id
        was_uncertain = self.is_uncertain(submission_id)
        remembered_at = self.remember_uncertain(submission_id)
        is_outcome_unknown = False
        while True:
            try:
                result = await self._submissions.accept(accepted)
            except PlatformUnavailableError as error:
                if not is_outcome_unknown:
                    logger.info("submission %s: refused: %s", submission_id, error)
                    if not was_uncertain:
                        self.forget_uncertain(submission_id, remembered_at)
                    return self._refusal_status(submission_id)
            except OutcomeUnknownError as error:
                logger.info(
                    "submission %s: commit outcome unknown: %s", submission_id, error
                )
                is_outcome_unknown = True
                self.remember_uncertain(submission_id)
            else:
                self._uncertain_since_by_id.pop(submission_id, None)
                if result is AcceptResult.STORED:
                    self._on_accepted(accepted)
                if result is AcceptResult.CANCELLED:
                    logger.info("submission %s: it was cancelled before", submission_id)
                return 200
            if now_s() + COMMIT_RETRY_S >= deadline:
                return 504
            await asyncio.sleep(COMMIT_RETRY_S)

    def _on_accepted(self, accepted: AcceptedRow) -> None:
        if accepted.cell_id in self._ownership.controller_by_cell:
            self._directory.add_accepted(accepted)
        else:
            update = SubmissionUpdate(accepted=accepted)
            self._notify_owner(accepted.cell_id, update)

    def _known_home(self, submission_id: str) -> str | None:
        """Return the home cell of a submission if this host knows it."""
        entry = self._directory.by_id.get(submission_id)
        if entry is not None and entry.accepted is not None:
            return entry.accepted.cell_id
        return self._submissions.cached_home(submission_id)

    def _notify_owner(self, cell_id: str, update: SubmissionUpdate) -> None:
        """Send ``update`` to the cell's owner before its table follower reads it."""
        address = self._cells.owner_address(cell_id)
        if address is None:
            logger.info("cell %s: no owner to notify", cell_id)
            return
        self._peers.schedule_update(address, update)

    # States

    async def _read_state(self, submission_id: str) -> HttpResponse:
        if not is_submission_id(submission_id):
            return make_response(410)
        cell_id = self._known_home(submission_id)
        if cell_id is None:
            try:
                home = await self._submissions.read_home(submission_id)
            except BerylError as error:
                logger.info(
                    "submission %s: state lookup failed: %s", submission_id, error
                )
                return make_response(503)
            if home is None or (home.is_early_cancellation and not home.is_submitted):
                return make_response(410)
            if home.is_early_cancellation:
                return make_response(200, encode_state(SubmissionState.CANCELLED))
            cell_id = home.cell_id
        state = await self._state_of(submission_id, cell_id)
        return make_response(200, encode_state(state))

    async def _state_of(self, submission_id: str, cell_id: str) -> SubmissionState:
        state = None
        controller = self._ownership.controller_by_cell.get(cell_id)
        if controller is not None:
            state = controller.state_of(submission_id)
        else:
            address = self._cells.owner_address(cell_id)
            if address is not None:
                state = await self._peers.fetch_state(address, submission_id)
        if state is None:
            state = await self._recorded_state(cell_id, submission_id)
        return state

    async def _recorded_state(
        self, cell_id: str, submission_id: str
    ) -> SubmissionState:
        """Return the recorded state, for use while no owner answers.

        Returns ``RUNNING`` if the record can't be read.
        """
        try:
            page = await self._store.read(
                PROGRESS_TABLE, cell_id, submission_id, submission_id + "\x00"
            )
            progress = (
                decode_progress(submission_id, page.rows[0].value)
                if page.rows
                else Progress()
            )
            if progress.final_state is not None:
                return progress.final_state
            entry = await self._submissions.read_entry(submission_id, cell_id)
        except (BerylError, MalformedValueError) as error:
            logger.info(
                "submission %s: record could not be read: %s", submission_id, error
            )
            return SubmissionState.RUNNING
        if entry.is_cancelled:
            return SubmissionState.CANCELLED
        return SubmissionState.RUNNING if page.rows else SubmissionState.QUEUED

    # Cancelling

    def _on_cancelled(self, submission_id: str, entry: SubmissionEntry) -> None:
        """Apply a stored cancellation here and notify the other owners."""
        update = SubmissionUpdate(cancelled_id=submission_id)
        for cell_id in entry.cells():
            if cell_id in self._ownership.controller_by_cell:
                self._directory.add_cancel(submission_id)
            else:
                self._notify_owner(cell_id, update)

    # Counting

    async def _count_pending(self, ingress: IngressRequest) -> int:
        """Return how many submissions of a queue have not started.

        A load that its owner no longer renews lacks those accepted since.
        """
        queue = ingress.queue.policy.name
        min_age_s = stale_load_age_s(len(self._cells.last_summaries()))
        version_by_cell = self._cells.stale_load_versions(min_age_s, now_s())
        for cell_id, controller in self._ownership.controller_by_cell.items():
            if controller.scheduler is not None:
                version_by_cell.pop(cell_id, None)
        n_uncounted = await self._uncounted.count(queue, version_by_cell)
        return self._chooser.n_pending(queue) + n_uncounted

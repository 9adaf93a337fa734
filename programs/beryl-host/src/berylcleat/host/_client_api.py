"""Client API: accept and cancel submissions, report states, count pending ones."""

import asyncio
import logging

import msgspec

from berylcleat.http import HttpRequest, HttpResponse
from berylcleat.model import (
    BadRequestError,
    BerylError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    SubmissionState,
)
from berylcleat.platform import (
    IngressKind,
    IngressRequest,
    decode_submission,
    encode_pending,
    encode_state,
    parse_ingress,
)
from berylcleat.ports import (
    Commit,
    Condition,
    OperatorConfig,
    RowWrite,
    Store,
)
from berylcleat.scheduling import decode_progress

from ._cell_chooser import CellChooser
from ._cell_ownership import CellOwnershipManager
from ._clock import now_s, wall_ms
from ._membership import Membership
from ._peers import PeerClient, SubmissionUpdate
from ._records import (
    CANCEL_SUFFIX,
    PROGRESS_TABLE,
    SUBMISSION_TABLE,
    AcceptedRow,
    encode,
    submission_part,
)
from ._submission_directory import SubmissionDirectory, SubmissionEntry

JSON_TYPE = ("content-type", "application/json")
RETRY_AFTER_S = 1
DEFAULT_TIMEOUT_S = 3.0
# Part of the client's deadline that is reserved for sending the response.
RESPONSE_MARGIN_S = 0.15
COMMIT_RETRY_S = 0.1
logger = logging.getLogger(__name__)


def make_response(status: int, body: bytes = b"") -> HttpResponse:
    """Return a response with a JSON body, and with Retry-After for 429 and 503."""
    headers = (JSON_TYPE,) if body else ()
    if status in (429, 503):
        headers += (("retry-after", str(RETRY_AFTER_S)),)
    return HttpResponse(status, headers, body)


class ClientApi:
    """Handler of client requests."""

    def __init__(
        self,
        store: Store,
        directory: SubmissionDirectory,
        membership: Membership,
        ownership: CellOwnershipManager,
        chooser: CellChooser,
        peers: PeerClient,
    ):
        self.config: OperatorConfig | None = None
        self._store = store
        self._directory = directory
        self._membership = membership
        self._ownership = ownership
        self._chooser = chooser
        self._peers = peers

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one client request."""
        if self.config is None:
            return make_response(503)
        ingress = parse_ingress(request, self.config)
        if ingress.kind is IngressKind.UNKNOWN:
            return make_response(404)
        if ingress.kind is IngressKind.COUNT_PENDING:
            return make_response(200, encode_pending(self._count_pending(ingress)))
        timeout_s = (ingress.deadline_ms or DEFAULT_TIMEOUT_S * 1000) / 1000
        deadline = now_s() + timeout_s - RESPONSE_MARGIN_S
        if ingress.kind is IngressKind.SUBMIT:
            return await self._submit(ingress, request.body, deadline)
        if ingress.kind is IngressKind.CANCEL:
            return await self._cancel(ingress.submission_id, deadline)
        return await self._read_state(ingress.submission_id)

    # Submitting

    async def _submit(
        self, ingress: IngressRequest, body: bytes, deadline: float
    ) -> HttpResponse:
        submission_id = ingress.submission_id
        known_entry = self._directory.by_id.get(submission_id)
        if known_entry is not None:
            return make_response(200)
        try:
            submission = decode_submission(submission_id, ingress.queue.policy, body)
        except BadRequestError as error:
            logger.info(
                "submission %s: rejected as malformed: %s", submission_id, error
            )
            return make_response(400, msgspec.json.encode({"error": str(error)}))
        cell_id = self._chooser.choose(submission)
        if cell_id is None:
            logger.info(
                "submission %s: refused, no suitable cell is known", submission_id
            )
            return make_response(503)
        accepted = AcceptedRow(cell_id, int(wall_ms()), submission)
        status = await self._store_accepted(accepted, deadline)
        logger.info(
            "submission %s: answered %d, queue %s, cell %s, %d steps, %d tasks",
            submission_id,
            status,
            submission.queue.name,
            cell_id,
            len(submission.steps),
            sum(step.n_tasks for step in submission.steps),
        )
        return make_response(status)

    async def _store_accepted(self, accepted: AcceptedRow, deadline: float) -> int:
        """Store an accepted submission; return the status for the client.

        A commit without an answer may still take effect, so after one the client is
        never told that the submission was refused: it gets 504 at the deadline.
        """
        submission_id = accepted.submission.submission_id
        commit = _acceptance_commit(accepted)
        is_outcome_unknown = False
        while True:
            try:
                outcome = await self._store.commit(commit)
            except PlatformUnavailableError as error:
                if not is_outcome_unknown:
                    logger.info("submission %s: refused: %s", submission_id, error)
                    return 503
            except OutcomeUnknownError as error:
                logger.info(
                    "submission %s: commit outcome unknown: %s", submission_id, error
                )
                is_outcome_unknown = True
            else:
                if outcome.applied:
                    self._on_accepted(accepted)
                else:
                    self._directory.on_rows(outcome.current)
                return 200
            if now_s() + COMMIT_RETRY_S >= deadline:
                return 504
            await asyncio.sleep(COMMIT_RETRY_S)

    def _on_accepted(self, accepted: AcceptedRow) -> None:
        self._directory.add_accepted(accepted)
        self._notify_owner(accepted.cell_id, SubmissionUpdate(accepted=accepted))

    def _notify_owner(self, cell_id: str, update: SubmissionUpdate) -> None:
        """Send ``update`` to the cell's owner before its table follower reads it."""
        if cell_id in self._ownership.controller_by_cell:
            return
        address = self._membership.owner_address(cell_id)
        if address is None:
            return
        self._peers.schedule_update(address, update)

    # States

    async def _read_state(self, submission_id: str) -> HttpResponse:
        entry = self._directory.by_id.get(submission_id)
        if entry is None or entry.accepted is None:
            try:
                entry = await self._read_entry(submission_id)
            except BerylError as error:
                logger.info(
                    "submission %s: state lookup failed: %s", submission_id, error
                )
                return make_response(503)
        if entry is None:
            return make_response(410)
        state = await self._state_of(submission_id, entry)
        return make_response(200, encode_state(state))

    async def _state_of(
        self, submission_id: str, entry: SubmissionEntry
    ) -> SubmissionState:
        if entry.accepted is None:
            return SubmissionState.CANCELLED
        cell_id = entry.accepted.cell_id
        state = None
        controller = self._ownership.controller_by_cell.get(cell_id)
        if controller is not None:
            state = controller.state_of(submission_id)
        else:
            address = self._membership.owner_address(cell_id)
            if address is not None:
                state = await self._peers.fetch_state(address, submission_id)
        if state is None:
            state = await self._recorded_state(cell_id, submission_id)
        if entry.is_cancelled and state in (
            SubmissionState.QUEUED,
            SubmissionState.RUNNING,
        ):
            return SubmissionState.CANCELLED
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
            if not page.rows:
                return SubmissionState.QUEUED
            progress = decode_progress(submission_id, page.rows[0].value)
        except (BerylError, msgspec.MsgspecError) as error:
            logger.info(
                "submission %s: progress could not be read: %s", submission_id, error
            )
            return SubmissionState.RUNNING
        return progress.final_state or SubmissionState.RUNNING

    async def _read_entry(self, submission_id: str) -> SubmissionEntry | None:
        """Read a submission that isn't in the directory yet from the store."""
        part = submission_part(submission_id)
        page = await self._store.read(
            SUBMISSION_TABLE, part, submission_id, submission_id + "/"
        )
        self._directory.on_rows(page.rows)
        return self._directory.by_id.get(submission_id)

    # Cancelling

    async def _cancel(self, submission_id: str, deadline: float) -> HttpResponse:
        try:
            entry = self._directory.by_id.get(submission_id)
            if entry is None or entry.accepted is None:
                entry = await self._read_entry(submission_id)
            if entry is None or entry.accepted is None:
                return make_response(410)
            if not entry.is_cancelled:
                await self._store.commit(_cancel_commit(submission_id))
        except PlatformUnavailableError as error:
            logger.info("submission %s: cancellation refused: %s", submission_id, error)
            return make_response(503)
        except BerylError as error:
            logger.info(
                "submission %s: cancellation outcome unknown: %s", submission_id, error
            )
            return make_response(504)
        self._directory.add_cancel(submission_id)
        self._notify_owner(
            entry.accepted.cell_id, SubmissionUpdate(cancelled_id=submission_id)
        )
        return make_response(200)

    # Counting

    def _count_pending(self, ingress: IngressRequest) -> int:
        return self._chooser.n_pending(ingress.queue.policy.name)


def _acceptance_commit(accepted: AcceptedRow) -> Commit:
    submission_id = accepted.submission.submission_id
    part = submission_part(submission_id)
    keys = (submission_id, submission_id + CANCEL_SUFFIX)
    conditions = tuple(Condition(SUBMISSION_TABLE, part, key, 0) for key in keys)
    write = RowWrite(SUBMISSION_TABLE, part, submission_id, encode(accepted))
    return Commit(conditions, (write,))


def _cancel_commit(submission_id: str) -> Commit:
    part = submission_part(submission_id)
    key = submission_id + CANCEL_SUFFIX
    return Commit((), (RowWrite(SUBMISSION_TABLE, part, key, b"{}"),))

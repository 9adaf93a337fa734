"""Answer the requests of other hosts."""

import logging

import msgspec

from berylcleat.http import HttpRequest, HttpResponse
from berylcleat.model import MalformedValueError, decode_json
from berylcleat.ports import StoreRow
from berylcleat.scheduling import MovedTaskEnd

from ._cell_ownership import CellOwnershipManager
from ._clock import now_s
from ._identity import HostIdentity
from ._operator_relay import make_operator_reply
from ._operator_state import OperatorState
from ._peers import (
    ENDS_PATH,
    OPERATOR_PATH,
    OPERATOR_QUERY,
    RELAY_PATH,
    STATE_PREFIX,
    TAKEOVER_PATH,
    UPDATE_PATH,
    MovedTaskEnds,
    RelayedRequest,
    StateReply,
    SubmissionUpdate,
    TakeoverNotice,
    TakeoverReply,
)
from ._records import MOVES_SUFFIX, cell_submission_table
from ._relayed_requests import RelayedRequests
from ._submission_directory import SubmissionDirectory

logger = logging.getLogger(__name__)
_update_decoder = msgspec.json.Decoder(SubmissionUpdate)
_ends_decoder = msgspec.json.Decoder(MovedTaskEnds)
_relayed_decoder = msgspec.json.Decoder(RelayedRequest)
_takeover_decoder = msgspec.json.Decoder(TakeoverNotice)


class PeerApi:
    """Handler of the requests that ``PeerClient`` sends."""

    def __init__(
        self,
        identity: HostIdentity,
        directory: SubmissionDirectory,
        ownership: CellOwnershipManager,
        operator: OperatorState,
        relayed: RelayedRequests | None = None,
    ):
        self._relayed = relayed
        self._operator = operator
        self._identity = identity
        self._directory = directory
        self._ownership = ownership

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request; 400 if its body can't be decoded."""
        try:
            return await self._dispatch(request)
        except MalformedValueError as error:
            logger.error("peer request %s can't be decoded: %s", request.target, error)
            return HttpResponse(400)

    async def _dispatch(self, request: HttpRequest) -> HttpResponse:
        if request.target.startswith(STATE_PREFIX):
            return self._reply_state(request.target.removeprefix(STATE_PREFIX))
        if request.target == UPDATE_PATH:
            return self._on_submission_update(request.body)
        if request.target == ENDS_PATH:
            return self._on_moved_task_ends(request.body)
        if request.target == RELAY_PATH and self._relayed is not None:
            return await self._serve_relayed(self._relayed, request.body)
        if request.target == TAKEOVER_PATH:
            return await self._on_takeover(request.body)
        if request.target.startswith(OPERATOR_PATH + OPERATOR_QUERY):
            version = request.target.removeprefix(OPERATOR_PATH + OPERATOR_QUERY)
            return self._reply_operator_state(version)
        return HttpResponse(404)

    async def _serve_relayed(
        self, relayed: RelayedRequests, body: bytes
    ) -> HttpResponse:
        response = await relayed.serve(decode_json(_relayed_decoder, body))
        if response is None:
            return HttpResponse(409)
        return HttpResponse(200, (), msgspec.json.encode(response))

    def _reply_operator_state(self, config_version: str) -> HttpResponse:
        if not (config_version.isascii() and config_version.isdigit()):
            return HttpResponse(400)
        reply = make_operator_reply(self._operator, int(config_version), now_s())
        if reply is None:
            return HttpResponse(404)
        return HttpResponse(200, (), msgspec.json.encode(reply))

    def _reply_state(self, submission_id: str) -> HttpResponse:
        entry = self._directory.by_id.get(submission_id)
        state = None
        if entry is not None and entry.accepted is not None:
            controller = self._ownership.controller_by_cell.get(entry.accepted.cell_id)
            state = controller.state_of(submission_id) if controller else None
        value = state.value if state else ""
        return HttpResponse(200, (), msgspec.json.encode(StateReply(value)))

    def _on_submission_update(self, body: bytes) -> HttpResponse:
        update = decode_json(_update_decoder, body)
        if update.accepted is not None:
            self._directory.add_accepted(update.accepted)
        if update.accepted is not None and update.moves_of:
            table = cell_submission_table(update.accepted.cell_id)
            key = update.moves_of + MOVES_SUFFIX
            row = StoreRow(table, "", key, update.moves, update.version)
            self._directory.on_rows((row,))
        if update.cancelled_id:
            self._directory.add_cancel(update.cancelled_id)
        return HttpResponse(200)

    def _on_moved_task_ends(self, body: bytes) -> HttpResponse:
        report = decode_json(_ends_decoder, body)
        cell_id = report.cell_id or self._home_cell(report.submission_id)
        controller = self._ownership.controller_by_cell.get(cell_id)
        if controller is None:
            return HttpResponse(409)
        is_durable = controller.on_moved_task_ends(
            report.submission_id, self._existing_ends(report)
        )
        return HttpResponse(200 if is_durable else 409)

    def _existing_ends(self, report: MovedTaskEnds) -> list[MovedTaskEnd]:
        """Return the ends of tasks that the submission has, as far as it is known."""
        entry = self._directory.by_id.get(report.submission_id)
        if entry is None or entry.accepted is None:
            return list(report.ends)
        submission = entry.accepted.submission
        return [end for end in report.ends if submission.has_task(end.task)]

    def _home_cell(self, submission_id: str) -> str:
        """Return the home cell of a submission, or an empty string if unknown."""
        entry = self._directory.by_id.get(submission_id)
        if entry is None or entry.accepted is None:
            return ""
        return entry.accepted.cell_id

    async def _on_takeover(self, body: bytes) -> HttpResponse:
        notice = decode_json(_takeover_decoder, body)
        if notice.host_id != self._identity.host_id:
            logger.info("takeover notice for host %s came to this host", notice.host_id)
            return HttpResponse(409)
        leases = await self._ownership.relinquish(notice.cell_id, notice.epoch)
        return HttpResponse(200, (), msgspec.json.encode(TakeoverReply(leases)))

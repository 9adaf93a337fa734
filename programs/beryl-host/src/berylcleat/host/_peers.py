"""Messages between hosts.

State queries, submission updates, ends of moved tasks, takeover notices, what the
operator asks for, and client requests that another host serves.
"""

import asyncio
import logging
from enum import Enum
from typing import Annotated

import msgspec

from berylcleat.http import ExchangeError, HttpClient, HttpRequest, HttpResponse
from berylcleat.model import (
    Count,
    Epoch,
    MalformedValueError,
    SubmissionState,
    decode_json,
)
from berylcleat.scheduling import MovedTaskEnd

from ._records import AcceptedRow

PEER_TIMEOUT_S = 0.5
MAX_PEER_CONNECTIONS = 8
STATE_PREFIX = "/state/"
UPDATE_PATH = "/news"
TAKEOVER_PATH = "/handover"
ENDS_PATH = "/ends"
OPERATOR_PATH = "/operator-state"
# Names the version of the configuration that the requester has.
OPERATOR_QUERY = "?config="
RELAY_PATH = "/client-request"
# 400: the request could not be decoded; 404: a host of an earlier version; 409: a host
# that doesn't serve it; 413: too large a request between hosts.
DECLINED_STATUSES = (400, 404, 409, 413)
STATE_BY_VALUE = {state.value: state for state in SubmissionState}
logger = logging.getLogger(__name__)


class SubmissionUpdate(msgspec.Struct, frozen=True, omit_defaults=True):
    """Change of a submission, sent to a cell's owner ahead of its table follower."""

    accepted: AcceptedRow | None = None
    cancelled_id: str = ""
    moves_of: str = ""
    moves: bytes = b""
    version: Count = 0


class MovedTaskEnds(msgspec.Struct, frozen=True):
    """Ends of moved tasks, reported to a cell, by default their submission's home."""

    submission_id: str
    ends: tuple[MovedTaskEnd, ...]
    cell_id: str = ""


class StateReply(msgspec.Struct, frozen=True):
    """State of a submission; empty if the queried host doesn't know it."""

    state: str


class TakeoverNotice(msgspec.Struct, frozen=True):
    """Notice to the owner under ``epoch`` that another host has acquired the cell.

    ``host_id`` names the owner: its address may belong to another host by now.
    """

    cell_id: str
    epoch: Epoch
    host_id: str = ""


class TakeoverReply(msgspec.Struct, frozen=True):
    """Confirmation that the owner under the notice's epoch has stopped.

    ``lease_left_s_by_worker`` tells how long its leases may last; None if unknown.
    """

    lease_left_s_by_worker: dict[str, Annotated[float, msgspec.Meta(ge=0)]] | None


class OperatorReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a host knows of the operator's requests, and a newer configuration.

    ``age_ms`` is the age of its newest read, ``version`` the store's version there.
    ``config`` is empty unless it is newer than the requester's.
    """

    age_ms: Annotated[float, msgspec.Meta(ge=0)]
    version: Annotated[int, msgspec.Meta(ge=0)]
    evacuated: tuple[str, ...] = ()
    config: bytes = b""


class RelayedRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Client request that the receiver serves and doesn't pass on."""

    method: str
    target: str
    client_host: str
    deadline_ms: Annotated[int, msgspec.Meta(ge=0)]
    body: bytes = b""


class RelayedResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """Response to a relayed request; ``retry_after_s`` is 0 if it names none."""

    status: int
    body: bytes = b""
    retry_after_s: Annotated[int, msgspec.Meta(ge=0)] = 0


class RelayResult(Enum):
    """Result of a relayed request without a response."""

    # The peer did nothing: it was not reached, or doesn't serve the request.
    DECLINED = "declined"
    # The peer may have served the request, or may still do so.
    UNKNOWN = "unknown"


class PeerClient:
    """Client for requests to other hosts."""

    def __init__(self):
        self._client_by_address: dict[str, HttpClient] = {}
        # Relayed requests must not take the connections of takeover notices.
        self._relay_client_by_address: dict[str, HttpClient] = {}
        self._relayed_decoder = msgspec.json.Decoder(RelayedResponse)
        self._decoder = msgspec.json.Decoder(StateReply)
        self._takeover_decoder = msgspec.json.Decoder(TakeoverReply)
        self._operator_decoder = msgspec.json.Decoder(OperatorReply)
        self._background_tasks: set[asyncio.Task] = set()

    async def fetch_state(
        self, address: str, submission_id: str
    ) -> SubmissionState | None:
        """Return the state known to the host at ``address``, or None."""
        response = await self._request(address, "GET", STATE_PREFIX + submission_id)
        if response is None or response.status != 200:
            return None
        try:
            value = decode_json(self._decoder, response.body).state
        except MalformedValueError as error:
            logger.error("state reply of %s can't be decoded: %s", address, error)
            return None
        return STATE_BY_VALUE.get(value)

    async def send_update(self, address: str, update: SubmissionUpdate) -> bool:
        """Send ``update``; return whether it was accepted."""
        body = msgspec.json.encode(update)
        response = await self._request(address, "POST", UPDATE_PATH, body)
        return response is not None and response.status == 200

    def schedule_update(self, address: str, update: SubmissionUpdate) -> None:
        """Send ``update`` in the background, without retries."""
        task = asyncio.get_running_loop().create_task(self.send_update(address, update))
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)

    async def send_moved_task_ends(self, address: str, ends: MovedTaskEnds) -> bool:
        """Report ends; return whether the home cell has recorded them."""
        body = msgspec.json.encode(ends)
        response = await self._request(address, "POST", ENDS_PATH, body)
        return response is not None and response.status == 200

    async def send_takeover(
        self, address: str, notice: TakeoverNotice
    ) -> TakeoverReply | None:
        """Tell the previous owner to stop; return None unless it has stopped."""
        body = msgspec.json.encode(notice)
        response = await self._request(address, "POST", TAKEOVER_PATH, body)
        if response is None or response.status != 200:
            return None
        try:
            return decode_json(self._takeover_decoder, response.body)
        except MalformedValueError as error:
            logger.error("takeover reply of %s can't be decoded: %s", address, error)
            return None

    async def fetch_operator_state(
        self, address: str, config_version: int
    ) -> OperatorReply | None:
        """Return what the host at ``address`` knows, or None without a valid answer."""
        target = f"{OPERATOR_PATH}{OPERATOR_QUERY}{config_version}"
        response = await self._request(address, "GET", target)
        if response is None or response.status != 200:
            return None
        try:
            return decode_json(self._operator_decoder, response.body)
        except MalformedValueError as error:
            logger.error("operator state of peer %s is malformed: %s", address, error)
            return None

    async def relay(
        self, address: str, request: RelayedRequest, timeout_s: float
    ) -> RelayedResponse | RelayResult:
        """Have the host at ``address`` serve a client request."""
        client = _find_client(self._relay_client_by_address, address)
        body = msgspec.json.encode(request)
        message = HttpRequest("POST", RELAY_PATH, (), body)
        try:
            response = await client.exchange(message, timeout_s)
        except ExchangeError as error:
            logger.info("client request to peer %s failed: %s", address, error)
            return RelayResult.UNKNOWN if error.request_sent else RelayResult.DECLINED
        if response.status != 200:
            return _result_of_status(response.status)
        try:
            return decode_json(self._relayed_decoder, response.body)
        except MalformedValueError as error:
            logger.error("relayed response of %s can't be decoded: %s", address, error)
            return RelayResult.UNKNOWN

    async def _request(
        self, address: str, method: str, target: str, body: bytes = b""
    ) -> HttpResponse | None:
        client = _find_client(self._client_by_address, address)
        request = HttpRequest(method, target, (), body)
        try:
            return await client.exchange(request, PEER_TIMEOUT_S)
        except ExchangeError as error:
            logger.info("request to peer %s failed: %s", address, error)
            return None


def _find_client(client_by_address: dict[str, HttpClient], address: str) -> HttpClient:
    client = client_by_address.get(address)
    if client is None:
        client = HttpClient(address, max_connections=MAX_PEER_CONNECTIONS)
        client_by_address[address] = client
    return client


def _result_of_status(status: int) -> RelayResult:
    """Return what a status without a relayed response says of the request."""
    is_declined = status in DECLINED_STATUSES
    return RelayResult.DECLINED if is_declined else RelayResult.UNKNOWN

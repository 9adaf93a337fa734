"""Pass client requests on to hosts that reach the store."""

import logging
from collections.abc import Callable
from dataclasses import dataclass

from berylcleat.http import HttpRequest, HttpResponse

from ._cell_directory import CellDirectory
from ._client_responses import make_response
from ._clock import now_s
from ._identity import HostIdentity
from ._metrics import RELAYED_REQUESTS
from ._peer_addresses import order_peers
from ._peers import (
    PEER_TIMEOUT_S,
    PeerClient,
    RelayedRequest,
    RelayedResponse,
    RelayResult,
)
from ._records import HostRow
from ._relay_peers import RelayPeers

MAX_ATTEMPTS = 6
# Peers without an answer that are waited for; those that decline do so at once.
MAX_SILENT_ATTEMPTS = 2
ATTEMPT_TIMEOUT_S = 0.3
# A peer that reads a state may have to wait for the owner first.
READ_TIMEOUT_S = PEER_TIMEOUT_S + ATTEMPT_TIMEOUT_S
MAX_CONCURRENT_RELAYS = 16
# Part of the client's deadline that remains for the response after an attempt.
MIN_TIME_LEFT_S = 0.05
# Responses of a peer that settle a request. 400 and 404 don't: the peer may have
# another configuration.
SETTLING_STATUSES = (200, 410)
REFUSAL_STATUSES = (429, 503)
logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class RelayOutcome:
    """Outcome of a passed-on request.

    ``response`` is None if no peer has settled or refused it. ``is_unknown`` tells
    whether a peer may have carried it out without a response.
    """

    response: HttpResponse | None = None
    is_unknown: bool = False

    @property
    def is_settled(self) -> bool:
        """Return whether a peer has carried the request out."""
        return self.response is not None and self.response.status in SETTLING_STATUSES


def is_final(response: HttpResponse) -> bool:
    """Return whether another try could not give a better response."""
    return response.status not in (*REFUSAL_STATUSES, 504)


def merge_responses(own: HttpResponse, relayed: RelayOutcome) -> HttpResponse:
    """Return the response to a client whose request a peer may have served too.

    A refusal means that nothing was done, so it takes both to refuse.
    """
    if is_final(own):
        return own
    if relayed.is_settled:
        return relayed.response
    if own.status == 504 or relayed.is_unknown:
        return make_response(504)
    return relayed.response or own


class RequestRelay:
    """Sender of client requests to peers of the data centre, then to others.

    ``live_hosts`` returns the hosts of the data centre that were alive when its table
    was last read.
    """

    def __init__(
        self,
        identity: HostIdentity,
        live_hosts: Callable[[], dict[str, HostRow]],
        cells: CellDirectory,
        peers: PeerClient,
    ):
        self._identity = identity
        self._live_hosts = live_hosts
        self._cells = cells
        self._peers = peers
        self._choice = RelayPeers()
        self._n_active = 0

    async def forward(self, request: HttpRequest, deadline: float) -> RelayOutcome:
        """Ask peers in turn to serve ``request`` until ``deadline``."""
        if self._n_active >= MAX_CONCURRENT_RELAYS or self._choice.is_paused(now_s()):
            return RelayOutcome()
        self._n_active += 1
        try:
            outcome = await self._ask_in_turn(request, deadline)
        finally:
            self._n_active -= 1
        RELAYED_REQUESTS.labels(_name_result(outcome)).inc()
        return outcome

    async def _ask_in_turn(self, request: HttpRequest, deadline: float) -> RelayOutcome:
        is_unknown = False
        n_silent = 0
        timeout_s = READ_TIMEOUT_S if request.method == "GET" else ATTEMPT_TIMEOUT_S
        local, remote = order_peers(self._identity, self._live_hosts(), self._cells)
        for _ in range(MAX_ATTEMPTS):
            started_at = now_s()
            time_left_s = deadline - started_at
            if time_left_s < MIN_TIME_LEFT_S:
                return _unsettled(request, is_unknown)
            address = self._choice.choose([*local, *remote], started_at)
            if address is None or n_silent >= MAX_SILENT_ATTEMPTS:
                break
            result = await self._peers.relay(
                address,
                _make_message(request, time_left_s),
                min(timeout_s, time_left_s),
            )
            response = _usable_response(result)
            if response is not None:
                self._choice.on_served(address)
                logger.info(
                    "%s %s: answered %d by peer %s after %.2f s",
                    request.method,
                    request.target,
                    response.status,
                    address,
                    now_s() - started_at,
                )
                return RelayOutcome(response, is_unknown)
            self._choice.on_not_served(address, now_s())
            is_unknown = is_unknown or _may_have_effect(result)
            n_silent += now_s() - started_at >= timeout_s
        self._choice.on_given_up(now_s())
        return _unsettled(request, is_unknown)


def _unsettled(request: HttpRequest, is_unknown: bool) -> RelayOutcome:
    """Return the outcome without a response; reading has no effect to be unsure of."""
    return RelayOutcome(is_unknown=is_unknown and request.method != "GET")


def _make_message(request: HttpRequest, time_left_s: float) -> RelayedRequest:
    return RelayedRequest(
        request.method,
        request.target,
        request.header("host"),
        int(time_left_s * 1000),
        request.body,
    )


def _usable_response(result: RelayedResponse | RelayResult) -> HttpResponse | None:
    """Return the response if it settles or refuses the request."""
    if isinstance(result, RelayResult):
        return None
    if result.status in SETTLING_STATUSES:
        return make_response(result.status, result.body)
    if result.status in REFUSAL_STATUSES:
        return make_response(result.status, retry_after_s=max(1, result.retry_after_s))
    return None


def _may_have_effect(result: RelayedResponse | RelayResult) -> bool:
    if isinstance(result, RelayResult):
        return result is RelayResult.UNKNOWN
    return result.status not in (400, 404)


def _name_result(outcome: RelayOutcome) -> str:
    if outcome.is_settled:
        return "answered"
    if outcome.response is not None:
        return "refused"
    return "unknown" if outcome.is_unknown else "declined"

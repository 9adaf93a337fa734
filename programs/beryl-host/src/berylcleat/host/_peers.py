"""Messages between hosts: who asks for a state, and who tells of a submission."""

import asyncio
import logging

import msgspec

from berylcleat.http import ExchangeError, HttpClient, HttpRequest, HttpResponse
from berylcleat.model import SubmissionState
from berylcleat.scheduling import MovedTaskEnd

from ._records import AcceptedRow

PEER_TIMEOUT_S = 0.5
STATE_PREFIX = "/state/"
NEWS_PATH = "/news"
HANDOVER_PATH = "/handover"
ENDS_PATH = "/ends"
logger = logging.getLogger(__name__)


class News(msgspec.Struct, frozen=True, omit_defaults=True):
    """Tell a cell's owner of a submission or a cancelling before its feed does."""

    accepted: AcceptedRow | None = None
    cancelled_id: str = ""
    moves_of: str = ""
    moves: bytes = b""
    version: int = 0


class GuestEnds(msgspec.Struct, frozen=True):
    """Tell a submission's home of tasks that have ended in another cell."""

    submission_id: str
    ends: tuple[MovedTaskEnd, ...]


class StateReply(msgspec.Struct, frozen=True):
    """Tell a submission's state; empty if the asked host doesn't know it."""

    state: str


class Handover(msgspec.Struct, frozen=True):
    """Tell the owner of a cell under ``epoch`` that another host has taken it."""

    cell_id: str
    epoch: int


class PeerClient:
    """Send messages to other hosts."""

    def __init__(self):
        self._client_by_address: dict[str, HttpClient] = {}
        self._decoder = msgspec.json.Decoder(StateReply)
        self._background: set[asyncio.Task] = set()

    async def ask_state(
        self, address: str, submission_id: str
    ) -> SubmissionState | None:
        """Return the state that the host at ``address`` tells, or None."""
        response = await self._send(address, "GET", STATE_PREFIX + submission_id)
        if response is None or response.status != 200:
            return None
        word = self._decoder.decode(response.body).state
        return SubmissionState(word) if word else None

    async def tell(self, address: str, news: News) -> bool:
        """Send ``news``; return whether it was taken."""
        body = msgspec.json.encode(news)
        response = await self._send(address, "POST", NEWS_PATH, body)
        return response is not None and response.status == 200

    def tell_soon(self, address: str, news: News) -> None:
        """Send ``news`` without waiting for it to be taken."""
        task = asyncio.get_running_loop().create_task(self.tell(address, news))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def tell_ends(self, address: str, ends: GuestEnds) -> bool:
        """Tell of ends; return whether the home has recorded them."""
        body = msgspec.json.encode(ends)
        response = await self._send(address, "POST", ENDS_PATH, body)
        return response is not None and response.status == 200

    async def take_over(self, address: str, handover: Handover) -> bool:
        """Tell an earlier owner to stop; return whether it has stopped."""
        body = msgspec.json.encode(handover)
        response = await self._send(address, "POST", HANDOVER_PATH, body)
        return response is not None and response.status == 200

    async def _send(
        self, address: str, method: str, target: str, body: bytes = b""
    ) -> HttpResponse | None:
        client = self._client_by_address.get(address)
        if client is None:
            client = HttpClient(address, max_connections=8)
            self._client_by_address[address] = client
        request = HttpRequest(method, target, (), body)
        try:
            return await client.exchange(request, PEER_TIMEOUT_S)
        except ExchangeError as error:
            logger.info("peer %s: %s", address, error)
            return None

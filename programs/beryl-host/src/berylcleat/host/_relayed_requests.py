"""Serve client requests that hosts without the store pass on."""

from collections.abc import Callable

from berylcleat.platform import make_ingress

from ._client_api import ClientApi
from ._clock import now_s
from ._peers import RelayedRequest, RelayedResponse
from ._store_reachability import StoreReachability

MAX_CONCURRENT_REQUESTS = 32


class RelayedRequests:
    """Handler of requests that other hosts pass on; it passes none on itself.

    ``is_ready`` tells whether this host serves clients.
    """

    def __init__(
        self,
        api: ClientApi,
        reachability: StoreReachability,
        is_ready: Callable[[], bool],
    ):
        self._api = api
        self._reachability = reachability
        self._is_ready = is_ready
        self._n_active = 0

    async def serve(self, relayed: RelayedRequest) -> RelayedResponse | None:
        """Return the response, or None if nothing was done for want of the store."""
        if self._n_active >= MAX_CONCURRENT_REQUESTS or not self._is_usable():
            return None
        request = make_ingress(
            relayed.method,
            relayed.client_host,
            relayed.target,
            relayed.deadline_ms,
            relayed.body,
        )
        self._n_active += 1
        try:
            response = await self._api.handle(request)
        finally:
            self._n_active -= 1
        if response.status == 503 and not self._is_usable():
            return None
        retry_after_s = int(response.header("retry-after") or 0)
        return RelayedResponse(response.status, response.body, retry_after_s)

    def _is_usable(self) -> bool:
        return self._is_ready() and self._reachability.is_reachable(now_s())

"""Client API of a host that may be cut off from the store while its peers aren't."""

import asyncio

from berylcleat.http import HttpRequest, HttpResponse
from berylcleat.platform import IngressKind, IngressRequest

from ._client_api import ClientApi
from ._clock import now_s
from ._request_relay import RelayOutcome, RequestRelay, is_final, merge_responses
from ._store_reachability import StoreReachability


class RelayingApi:
    """Handler of client requests that passes them on while the store is silent.

    A host that can't reach the store passes them on at once and serves itself what no
    peer serves. One that can passes on what it hasn't answered in the time after which
    a call to the store is overdue, and goes on meanwhile.
    """

    def __init__(
        self, api: ClientApi, reachability: StoreReachability, relay: RequestRelay
    ):
        self._api = api
        self._reachability = reachability
        self._relay = relay

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one client request."""
        ingress = self._api.parse(request)
        deadline = self._api.find_deadline(ingress)
        if ingress is None or not self._api.needs_store(ingress):
            return await self._api.serve(ingress, request.body, deadline)
        if self._reachability.is_reachable(now_s()):
            return await self._serve_and_forward(request, ingress, deadline)
        return await self._forward_first(request, ingress, deadline)

    async def _forward_first(
        self, request: HttpRequest, ingress: IngressRequest, deadline: float
    ) -> HttpResponse:
        if ingress.kind is IngressKind.SUBMIT:
            relayed = await self._forward_submission(request, ingress, deadline)
        else:
            relayed = await self._forward(request, ingress, deadline)
        if relayed.response is not None:
            return merge_responses(relayed.response, relayed)
        own = await self._api.serve(ingress, request.body, deadline)
        return merge_responses(own, relayed)

    async def _forward_submission(
        self, request: HttpRequest, ingress: IngressRequest, deadline: float
    ) -> RelayOutcome:
        """Pass a submission on; it counts as uncertain until the outcome is known.

        The outcome is unknown as long as that of another attempt is.
        """
        submission_id = ingress.submission_id
        if self._api.is_uncertain(submission_id):
            outcome = await self._forward(request, ingress, deadline)
        else:
            remembered_at = self._api.remember_uncertain(submission_id)
            outcome = await self._forward(request, ingress, deadline)
            if not outcome.is_unknown:
                self._api.forget_uncertain(submission_id, remembered_at)
        if self._api.is_uncertain(submission_id):
            return RelayOutcome(outcome.response, is_unknown=True)
        return outcome

    async def _serve_and_forward(
        self, request: HttpRequest, ingress: IngressRequest, deadline: float
    ) -> HttpResponse:
        serving = asyncio.create_task(self._api.serve(ingress, request.body, deadline))
        try:
            await asyncio.wait((serving,), timeout=self._reachability.overdue_s())
            if serving.done() and not self._has_failed(serving.result()):
                return serving.result()
            relayed = await self._forward_beside(serving, request, ingress, deadline)
            if relayed.is_settled:
                return relayed.response
            return merge_responses(await serving, relayed)
        finally:
            serving.cancel()

    def _has_failed(self, response: HttpResponse) -> bool:
        """Return whether a request has failed because the store has."""
        return response.status == 503 and self._reachability.has_just_failed()

    async def _forward_beside(
        self,
        serving: asyncio.Task,
        request: HttpRequest,
        ingress: IngressRequest,
        deadline: float,
    ) -> RelayOutcome:
        """Pass a request on; return no outcome once it is served here."""
        forwarding = asyncio.create_task(self._forward(request, ingress, deadline))
        try:
            await asyncio.wait(
                (serving, forwarding), return_when=asyncio.FIRST_COMPLETED
            )
            if serving.done() and is_final(serving.result()):
                return RelayOutcome()
            return await forwarding
        finally:
            forwarding.cancel()

    async def _forward(
        self, request: HttpRequest, ingress: IngressRequest, deadline: float
    ) -> RelayOutcome:
        outcome = await self._relay.forward(request, deadline)
        if self._contradicts_own_commit(outcome, ingress):
            return RelayOutcome(is_unknown=True)
        if outcome.is_unknown and ingress.kind is IngressKind.SUBMIT:
            self._api.remember_uncertain(ingress.submission_id)
        return outcome

    def _contradicts_own_commit(
        self, outcome: RelayOutcome, ingress: IngressRequest
    ) -> bool:
        """Return whether a peer doesn't know what this host may have stored."""
        return (
            ingress.kind is IngressKind.CANCEL
            and outcome.response is not None
            and outcome.response.status == 410
            and self._api.may_be_stored_later(ingress.submission_id)
        )

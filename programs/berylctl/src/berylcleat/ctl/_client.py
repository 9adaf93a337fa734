"""Client of the hosts' admin HTTP API."""

from dataclasses import dataclass
from typing import Any

import msgspec

from berylcleat.http import ExchangeError, HttpClient, HttpRequest
from berylcleat.model import (
    BerylError,
    ErrorCode,
    HostUnreachableError,
    OutcomeUnknownError,
    SettingsError,
)

TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class CtlSettings:
    """Operator's name and the admin addresses of the hosts."""

    author: str
    planners: tuple[str, ...]
    entries: tuple[str, ...] = ()


class RemoteError(BerylError):
    """An error response of a host, with its error code."""

    def __init__(self, code: ErrorCode, message: str, remedy: str):
        super().__init__(message, remedy)
        self.code = code


def check_ctl_settings(settings: CtlSettings) -> None:
    """Raise ``SettingsError`` if no planner address is set."""
    if not settings.planners:
        raise SettingsError("planners is empty", "Set the admin address of a planner")


class AdminClient:
    """Sends requests to the first reachable planner or to all hosts."""

    def __init__(self, settings: CtlSettings):
        self._settings = settings

    async def request_any(
        self, method: str, target: str, value: Any = None, *, is_idempotent=True
    ) -> Any:
        """Send a request to the first reachable planner; return the decoded response.

        Raises ``OutcomeUnknownError`` if the response of a request that isn't
        idempotent was lost, since another planner must not get the request then;
        raises ``HostUnreachableError`` if no planner responds.
        """
        for address in self._settings.planners:
            try:
                return await self._request_one(address, method, target, value)
            except ExchangeError as error:
                if error.request_sent and not is_idempotent:
                    raise OutcomeUnknownError(
                        f"{address} was sent the request but did not respond",
                        "Check with berylctl status whether it took effect",
                    ) from error
        raise _make_unreachable_error(len(self._settings.planners))

    async def request_all(
        self, target: str, *, with_entries: bool = False
    ) -> dict[str, Any]:
        """Send a GET to all hosts; return the responses by address, None if lost.

        Raises ``HostUnreachableError`` if no host responds.
        """
        addresses = self._settings.planners
        if with_entries:
            addresses = addresses + self._settings.entries
        answer_by_address: dict[str, Any] = {}
        for address in addresses:
            try:
                answer_by_address[address] = await self._request_one(
                    address, "GET", target, None
                )
            except ExchangeError:
                answer_by_address[address] = None
        if all(response_body is None for response_body in answer_by_address.values()):
            raise _make_unreachable_error(len(addresses))
        return answer_by_address

    async def _request_one(
        self, address: str, method: str, target: str, value: Any
    ) -> Any:
        client = HttpClient(address)
        body = b"" if value is None else msgspec.json.encode(value)
        try:
            request = HttpRequest(method, target, (), body)
            response = await client.exchange(request, TIMEOUT_S)
        finally:
            client.close()
        response_body = msgspec.json.decode(response.body) if response.body else None
        if response.status >= 400:
            code = ErrorCode(response_body["code"])
            raise RemoteError(code, response_body["message"], response_body["remedy"])
        return response_body


def _make_unreachable_error(n_hosts: int) -> HostUnreachableError:
    return HostUnreachableError(
        f"none of {n_hosts} hosts responded", "Check the addresses in the settings file"
    )

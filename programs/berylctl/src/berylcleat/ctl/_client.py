"""Ask the hosts' admin endpoints."""

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
    """Name the operator and the admin addresses of the hosts."""

    author: str
    planners: tuple[str, ...]
    entries: tuple[str, ...] = ()


class RemoteError(BerylError):
    """Carry a typed error that a host answered."""

    def __init__(self, code: ErrorCode, message: str, remedy: str):
        super().__init__(message, remedy)
        self.code = code


def check_ctl_settings(settings: CtlSettings) -> None:
    """Raise ``SettingsError`` unless there is a planner to ask."""
    if not settings.planners:
        raise SettingsError("planners is empty", "Give the admin address of a planner")


class HostCaller:
    """Ask one planner that answers, or all hosts."""

    def __init__(self, settings: CtlSettings):
        self._settings = settings

    async def ask(
        self, method: str, target: str, value: Any = None, *, may_repeat=True
    ) -> Any:
        """Return the decoded answer of the first planner that can be reached.

        With ``may_repeat`` unset, a lost answer is reported as outcome unknown.
        """
        for address in self._settings.planners:
            try:
                return await self._ask_one(address, method, target, value)
            except ExchangeError as error:
                if error.request_sent and not may_repeat:
                    raise OutcomeUnknownError(
                        f"{address} took the request but did not answer",
                        "Look with berylctl status whether it took effect",
                    ) from error
        raise _none_answers(len(self._settings.planners))

    async def ask_all(self, target: str, *, entries: bool = False) -> dict[str, Any]:
        """Return the answers of all hosts by address; None where there was none.

        Raises ``HostUnreachableError`` if no host answers.
        """
        addresses = self._settings.planners
        if entries:
            addresses = addresses + self._settings.entries
        answers: dict[str, Any] = {}
        for address in addresses:
            try:
                answers[address] = await self._ask_one(address, "GET", target, None)
            except ExchangeError:
                answers[address] = None
        if all(answer is None for answer in answers.values()):
            raise _none_answers(len(addresses))
        return answers

    async def _ask_one(self, address: str, method: str, target: str, value: Any) -> Any:
        client = HttpClient(address)
        body = b"" if value is None else msgspec.json.encode(value)
        try:
            request = HttpRequest(method, target, (), body)
            response = await client.exchange(request, TIMEOUT_S)
        finally:
            client.close()
        answer = msgspec.json.decode(response.body) if response.body else None
        if response.status >= 400:
            code = ErrorCode(answer["code"])
            raise RemoteError(code, answer["message"], answer["remedy"])
        return answer


def _none_answers(n_asked: int) -> HostUnreachableError:
    return HostUnreachableError(
        f"none of {n_asked} hosts answers", "Check the addresses in the settings file"
    )

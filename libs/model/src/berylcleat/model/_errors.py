"""Typed errors whose messages name the remedy."""

from enum import Enum


class ErrorCode(Enum):
    """Name every kind of error that crosses a public border."""

    SETTINGS_INVALID = "settings-invalid"
    DOCUMENT_INVALID = "document-invalid"
    PORT_IN_USE = "port-in-use"
    CONFLICT = "conflict"
    NOT_FOUND = "not-found"
    NEVER_RUNNABLE = "never-runnable"
    PLATFORM_UNAVAILABLE = "platform-unavailable"
    OUTCOME_UNKNOWN = "outcome-unknown"
    FENCED = "fenced"
    BAD_REQUEST = "bad-request"
    TOO_LARGE = "too-large"
    HOST_UNREACHABLE = "host-unreachable"


class BerylError(Exception):
    """Carry a code, what went wrong and what to do about it."""

    code = ErrorCode.BAD_REQUEST

    def __init__(self, message: str, remedy: str):
        super().__init__(f"{message}. {remedy}")
        self.message = message
        self.remedy = remedy


class SettingsError(BerylError):
    """Report a settings file that can't be used."""

    code = ErrorCode.SETTINGS_INVALID


class DocumentError(BerylError):
    """Report a job, service or rule document that can't be used."""

    code = ErrorCode.DOCUMENT_INVALID


class PortInUseError(BerylError):
    """Report a listening address that another process holds."""

    code = ErrorCode.PORT_IN_USE


class ConflictError(BerylError):
    """Report a compare-and-set that another writer won."""

    code = ErrorCode.CONFLICT


class NotFoundError(BerylError):
    """Report a name that nothing answers to."""

    code = ErrorCode.NOT_FOUND


class NeverRunnableError(BerylError):
    """Report a job that no worker could ever run."""

    code = ErrorCode.NEVER_RUNNABLE


class PlatformUnavailableError(BerylError):
    """Report a platform request that had no effect because it was not sent."""

    code = ErrorCode.PLATFORM_UNAVAILABLE


class OutcomeUnknownError(BerylError):
    """Report a write that may or may not have taken effect."""

    code = ErrorCode.OUTCOME_UNKNOWN


class FencedError(BerylError):
    """Report a write refused because a higher epoch exists."""

    code = ErrorCode.FENCED


class BadRequestError(BerylError):
    """Report a request that can't be understood."""

    code = ErrorCode.BAD_REQUEST


class HostUnreachableError(BerylError):
    """Report a host of ours that does not answer."""

    code = ErrorCode.HOST_UNREACHABLE

"""Error classes; each message ends with a remedy."""

from enum import Enum


class ErrorCode(Enum):
    """Error codes of the public interfaces."""

    SETTINGS_INVALID = "settings-invalid"
    DOCUMENT_INVALID = "document-invalid"
    PORT_IN_USE = "port-in-use"
    CONFLICT = "conflict"
    NOT_FOUND = "not-found"
    NEVER_RUNNABLE = "never-runnable"
    PLATFORM_UNAVAILABLE = "platform-unavailable"
    OUTCOME_UNKNOWN = "outcome-unknown"
    UNREADABLE_RECORD = "unreadable-record"
    FENCED = "fenced"
    BAD_REQUEST = "bad-request"
    TOO_LARGE = "too-large"
    HOST_UNREACHABLE = "host-unreachable"


class BerylError(Exception):
    """Base class of errors with a code, a message and a remedy."""

    code = ErrorCode.BAD_REQUEST

    def __init__(self, message: str, remedy: str):
        super().__init__(f"{message}. {remedy}")
        self.message = message
        self.remedy = remedy


class SettingsError(BerylError):
    """Settings file that is unreadable or invalid."""

    code = ErrorCode.SETTINGS_INVALID


class DocumentError(BerylError):
    """Invalid job, service or rule document."""

    code = ErrorCode.DOCUMENT_INVALID


class PortInUseError(BerylError):
    """Listening address in use by another process."""

    code = ErrorCode.PORT_IN_USE


class ConflictError(BerylError):
    """Conditional write that failed because another writer changed the data."""

    code = ErrorCode.CONFLICT


class NotFoundError(BerylError):
    """No object has the requested name."""

    code = ErrorCode.NOT_FOUND


class NeverRunnableError(BerylError):
    """Job that no listed worker could run, even when empty."""

    code = ErrorCode.NEVER_RUNNABLE


class PlatformUnavailableError(BerylError):
    """Platform request that had no effect: not sent, or rejected."""

    code = ErrorCode.PLATFORM_UNAVAILABLE


class RejectedWriteError(PlatformUnavailableError):
    """Write that the platform rejects for what it is: another try has no effect."""


class OutcomeUnknownError(BerylError):
    """Write that may or may not have taken effect."""

    code = ErrorCode.OUTCOME_UNKNOWN


class UnreadableRecordError(BerylError):
    """Stored record that can't be decoded: what it says isn't known."""

    code = ErrorCode.UNREADABLE_RECORD


class FencedError(BerylError):
    """Write rejected because a higher epoch exists."""

    code = ErrorCode.FENCED


class BadRequestError(BerylError):
    """Malformed request."""

    code = ErrorCode.BAD_REQUEST


class SubmissionTooLargeError(BerylError):
    """Submission that no row of the platform's store holds."""

    code = ErrorCode.TOO_LARGE


class HostUnreachableError(BerylError):
    """Host of this scheduler that doesn't respond."""

    code = ErrorCode.HOST_UNREACHABLE

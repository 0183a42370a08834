"""The kinds of errors, and their status codes in each protocol."""

from dataclasses import dataclass
from enum import StrEnum

from grpc import StatusCode

from .status import ExitStatus


class ErrorKind(StrEnum):
    """Every way in which an operation can fail."""

    BAD_INPUT = "bad-input"
    BAD_SETTINGS = "bad-settings"
    NOT_FOUND = "not-found"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    TIMEOUT = "timeout"
    FORBIDDEN = "forbidden"
    OVERLOADED = "overloaded"
    NOT_RUN = "not-run"
    OUTCOME_UNKNOWN = "outcome-unknown"
    INTERNAL = "internal"


@dataclass(frozen=True)
class ErrorCodes:
    """The codes of one kind of error for CoAP, the shell and gRPC.

    ``coap_code`` is the code byte of RFC 7252, section 5.9; for example 0xA3
    is 5.03 (Service Unavailable).
    """

    coap_code: int
    exit_status: ExitStatus
    grpc_status: StatusCode


ERROR_CODES: dict[ErrorKind, ErrorCodes] = {
    ErrorKind.BAD_INPUT: ErrorCodes(
        0x80, ExitStatus.USAGE, StatusCode.INVALID_ARGUMENT
    ),
    ErrorKind.BAD_SETTINGS: ErrorCodes(
        0xA0, ExitStatus.BAD_SETTINGS, StatusCode.FAILED_PRECONDITION
    ),
    ErrorKind.NOT_FOUND: ErrorCodes(0x84, ExitStatus.NOT_FOUND, StatusCode.NOT_FOUND),
    ErrorKind.CONFLICT: ErrorCodes(0x89, ExitStatus.CONFLICT, StatusCode.ABORTED),
    ErrorKind.UNAVAILABLE: ErrorCodes(
        0xA3, ExitStatus.UNAVAILABLE, StatusCode.UNAVAILABLE
    ),
    ErrorKind.TIMEOUT: ErrorCodes(
        0xA4, ExitStatus.TIMEOUT, StatusCode.DEADLINE_EXCEEDED
    ),
    ErrorKind.FORBIDDEN: ErrorCodes(
        0x83, ExitStatus.REFUSED, StatusCode.PERMISSION_DENIED
    ),
    ErrorKind.OVERLOADED: ErrorCodes(
        0x9D, ExitStatus.UNAVAILABLE, StatusCode.RESOURCE_EXHAUSTED
    ),
    ErrorKind.NOT_RUN: ErrorCodes(0xA3, ExitStatus.REFUSED, StatusCode.ABORTED),
    ErrorKind.OUTCOME_UNKNOWN: ErrorCodes(0xA4, ExitStatus.ERROR, StatusCode.UNKNOWN),
    ErrorKind.INTERNAL: ErrorCodes(0xA0, ExitStatus.ERROR, StatusCode.INTERNAL),
}


@dataclass(frozen=True)
class Failure:
    """One failed operation, with a message and a remedy for the user.

    Used as the failure value of ``returns.result.Result``::

        Failure(ErrorKind.NOT_FOUND, "service 'tills' does not exist",
                "create it with: kumquat-ctl service apply FILE")
    """

    kind: ErrorKind
    message: str
    remedy: str = ""

    def __str__(self):
        if not self.remedy:
            return f"{self.kind}: {self.message}"
        return f"{self.kind}: {self.message} ({self.remedy})"

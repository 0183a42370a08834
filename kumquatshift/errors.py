"""The closed list of error kinds, and the table from kind to answer."""

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
class Answer:
    """How one kind of error is told to each sort of peer.

    ``coap_code`` is the code byte of RFC 7252, section 5.9; for example 0xA3
    is 5.03 (Service Unavailable).
    """

    coap_code: int
    exit_status: ExitStatus
    grpc_status: StatusCode


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_INPUT: Answer(0x80, ExitStatus.USAGE, StatusCode.INVALID_ARGUMENT),
    ErrorKind.BAD_SETTINGS: Answer(
        0xA0, ExitStatus.BAD_SETTINGS, StatusCode.FAILED_PRECONDITION
    ),
    ErrorKind.NOT_FOUND: Answer(0x84, ExitStatus.NOT_FOUND, StatusCode.NOT_FOUND),
    ErrorKind.CONFLICT: Answer(0x89, ExitStatus.CONFLICT, StatusCode.ABORTED),
    ErrorKind.UNAVAILABLE: Answer(0xA3, ExitStatus.UNAVAILABLE, StatusCode.UNAVAILABLE),
    ErrorKind.TIMEOUT: Answer(0xA4, ExitStatus.TIMEOUT, StatusCode.DEADLINE_EXCEEDED),
    ErrorKind.FORBIDDEN: Answer(0x83, ExitStatus.REFUSED, StatusCode.PERMISSION_DENIED),
    ErrorKind.OVERLOADED: Answer(
        0x9D, ExitStatus.UNAVAILABLE, StatusCode.RESOURCE_EXHAUSTED
    ),
    ErrorKind.NOT_RUN: Answer(0xA3, ExitStatus.REFUSED, StatusCode.ABORTED),
    ErrorKind.OUTCOME_UNKNOWN: Answer(0xA4, ExitStatus.ERROR, StatusCode.UNKNOWN),
    ErrorKind.INTERNAL: Answer(0xA0, ExitStatus.ERROR, StatusCode.INTERNAL),
}


@dataclass(frozen=True)
class Failure:
    """One failed operation, told so that the reader knows the remedy.

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

"""What the request policy decides about one packet or one moment."""

from dataclasses import dataclass
from enum import StrEnum

from ..errors import ErrorKind


class Cause(StrEnum):
    """Why a request was refused or a packet went no further; each is counted."""

    MALFORMED = "malformed"
    REPEATED = "repeated"
    LATE_ANSWER = "late-answer"
    NO_EXCHANGE = "no-exchange"
    CANCELLED = "cancelled"
    RETRIED = "retried"
    BACKLOG = "backlog"
    TOO_LATE = "too-late"
    EXPIRED_WAITING = "expired-waiting"
    EXPIRED_SENT = "expired-sent"
    NO_TARGET = "no-target"
    TARGET_LOST = "target-lost"
    FIRST_BLOCK_UNKNOWN = "first-block-unknown"
    UNSURE = "unsure"


@dataclass(frozen=True, slots=True)
class Note:
    """What the other holders must know before a packet goes on.

    The fields are those of `messages.Record`; ``key`` is the flow key and the
    caller's token. ``target`` is empty for a request that was refused.
    """

    key: bytes
    target: str
    born_ms: int
    epoch: int
    detail: bytes


@dataclass(frozen=True, slots=True)
class Forward:
    """Carry ``data`` with the record past the other holders, then to the target."""

    note: Note
    data: bytes


@dataclass(frozen=True, slots=True)
class Pass:
    """Send ``data`` to a target that the holders know already."""

    target: str
    data: bytes


@dataclass(frozen=True, slots=True)
class Return:
    """Give ``data`` to the caller."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Refuse:
    """Give the refusal ``data`` to the caller, now.

    With a ``note`` the record goes past the other holders first, since the
    refusal says "not run" and none of them may run the request later.
    """

    kind: ErrorKind
    cause: Cause
    data: bytes
    note: Note | None = None


@dataclass(frozen=True, slots=True)
class Queue:
    """The request waits for a slot; a later call decides it."""

    key: bytes


@dataclass(frozen=True, slots=True)
class Discard:
    """Let the packet go."""

    cause: Cause


Decision = Forward | Pass | Return | Refuse | Queue | Discard

"""Decisions that the request policy returns for a packet or a timer tick."""

from dataclasses import dataclass
from enum import StrEnum

from ..errors import ErrorKind


class Cause(StrEnum):
    """Cause of a refusal, a discarded packet or a retry; each has a counter."""

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
class RecordFields:
    """Fields of the `messages.Record` that a packet carries to the other holders.

    ``key`` is the flow key and the caller's token. ``target`` is empty for a
    request that was refused.
    """

    key: bytes
    target: str
    born_ms: int
    epoch: int
    detail: bytes


@dataclass(frozen=True, slots=True)
class ReplicateAndForward:
    """Relay ``data`` with the record through the other holders to the target."""

    record_fields: RecordFields
    data: bytes


@dataclass(frozen=True, slots=True)
class ForwardToTarget:
    """Send ``data`` directly to a target; the other holders have the record already."""

    target: str
    data: bytes


@dataclass(frozen=True, slots=True)
class ReturnToCaller:
    """Send ``data`` to the caller."""

    data: bytes


@dataclass(frozen=True, slots=True)
class Refuse:
    """Send the refusal ``data`` to the caller.

    With ``record_fields``, the record passes the other holders first: the refusal says
    "not run", so none of them may forward the request later.
    """

    kind: ErrorKind
    cause: Cause
    data: bytes
    record_fields: RecordFields | None = None


@dataclass(frozen=True, slots=True)
class Queue:
    """The request is queued for a slot; a later call returns its decision."""

    key: bytes


@dataclass(frozen=True, slots=True)
class Discard:
    """Discard the packet, and count it under ``cause``."""

    cause: Cause


Decision = (
    ReplicateAndForward | ForwardToTarget | ReturnToCaller | Refuse | Queue | Discard
)

"""One packet from a caller, decoded, and what can be decided about it."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from .targets import LiveTarget


class Packet(NamedTuple):
    """The header fields of a packet that decisions need.

    ``flow`` tells the flow from all others; ``place`` is the address and port
    that the caller asked for. ``cookie`` is 0 on an opening packet. ``copy``
    counts the copies of an opening packet that were sent before this one.
    """

    flow: bytes
    destination: bytes
    is_syn: bool
    is_last: bool
    has_ack: bool
    cookie: int
    seq: int
    ack: int
    size: int

    @property
    def copy(self) -> int:
        """Which copy of the opening packet this is, 0 for the first."""
        return self.ack if self.is_syn else 0


class Reason(Enum):
    """Why a packet was not forwarded, or its flow was refused or reset."""

    MALFORMED = "malformed"
    FORGED = "forged"
    NO_ROUTE = "no_route"
    ROUTE_UNKNOWN_YET = "route_unknown_yet"
    NO_TARGET = "no_target"
    UNKNOWN_COOKIE = "unknown_cookie"
    TARGET_GONE = "target_gone"
    TARGET_SILENT = "target_silent"
    SEND_FAILED = "send_failed"


class Forward(NamedTuple):
    """Send the packet on to ``target``, with its cookie."""

    target: LiveTarget


class Reset(NamedTuple):
    """Tell the caller at once that the flow is over, or never opened."""

    reason: Reason


class Drop(NamedTuple):
    """Say nothing: the caller sends its packet again."""

    reason: Reason


class LostFlow(NamedTuple):
    """An open flow whose target has ended; ``ack`` is its caller's last one."""

    flow: bytes
    ack: int


Decision = Forward | Reset | Drop

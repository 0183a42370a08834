"""Decoded packets from callers, and the possible decisions about them."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from .targets import LiveTarget


class Packet(NamedTuple):
    """The header fields of a packet that decisions are based on.

    ``flow`` uniquely identifies the flow; ``destination`` is the address and port
    that the caller connects to. ``cookie`` is 0 on an opening packet. ``copy`` is
    the number of copies of an opening packet sent before this one.
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
        """Retransmission number of an opening packet, 0 for the original."""
        return self.ack if self.is_syn else 0


class Reason(Enum):
    """Why a packet was dropped, or its flow was refused or reset."""

    MALFORMED = "malformed"
    FORGED = "forged"
    NO_ROUTE = "no_route"
    ROUTE_UNKNOWN_YET = "route_unknown_yet"
    NO_TARGET = "no_target"
    OVERLOADED = "overloaded"
    UNKNOWN_COOKIE = "unknown_cookie"
    TARGET_GONE = "target_gone"
    TARGET_SILENT = "target_silent"
    SEND_FAILED = "send_failed"


class Forward(NamedTuple):
    """Forward the packet to ``target``, with its cookie."""

    target: LiveTarget


class Reset(NamedTuple):
    """Send the caller a reset, since the flow has ended or cannot be opened."""

    reason: Reason


class Drop(NamedTuple):
    """Drop the packet silently; the caller will retransmit it."""

    reason: Reason


class LostFlow(NamedTuple):
    """An open flow whose target has ended; ``ack`` is the caller's last one."""

    flow: bytes
    ack: int


Decision = Forward | Reset | Drop

"""What the engine asks its driver to do."""

from dataclasses import dataclass
from enum import StrEnum

from .messages import Message


class DropReason(StrEnum):
    """Why a packet went no further; each one has a counter."""

    MALFORMED = "malformed"
    FRAGMENT = "fragment"
    UNKNOWN_SERVICE = "unknown-service"
    STRANGER = "stranger"
    NOT_AUTHENTIC = "not-authentic"
    UNKNOWN_PEER = "unknown-peer"
    NO_TARGET = "no-target"
    NO_RECORD = "no-record"
    DOMAIN_OUT = "domain-out"
    RESUMING = "resuming"
    SILENT = "silent"
    GIVEN_UP = "given-up"
    CONTRADICTED = "contradicted"


@dataclass(frozen=True, slots=True)
class SendTarget:
    """Send the caller's IP packet ``data``, encapsulated, to a target."""

    host: str
    port: int
    data: bytes


@dataclass(frozen=True, slots=True)
class SendCaller:
    """Give the IP packet ``data`` to the fabric, on its way to the caller."""

    data: bytes


@dataclass(frozen=True, slots=True)
class SendPeer:
    """Send ``message`` to the entry named ``peer``."""

    peer: str
    message: Message


@dataclass(frozen=True, slots=True)
class Drop:
    """Let a packet go, and count it under ``reason``."""

    reason: DropReason


@dataclass(frozen=True, slots=True)
class SyncConfig:
    """Fetch from ``peer`` the configuration objects that differ."""

    peer: str


@dataclass(frozen=True, slots=True)
class WatchPlatform:
    """Hold, or give up, the watches on the platform's objects."""

    hold: bool


Action = SendTarget | SendCaller | SendPeer | Drop | SyncConfig | WatchPlatform

"""Actions that the engine returns for its driver to carry out."""

from dataclasses import dataclass
from enum import StrEnum

from .messages import Message


class DropReason(StrEnum):
    """Why a packet was dropped; each reason has a counter."""

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
    """Encapsulate the caller's IP packet ``data`` and send it to a target."""

    host: str
    port: int
    data: bytes


@dataclass(frozen=True, slots=True)
class SendCaller:
    """Send the IP packet ``data`` to the caller through the fabric."""

    data: bytes


@dataclass(frozen=True, slots=True)
class SendPeer:
    """Send ``message`` to the entry named ``peer``."""

    peer: str
    message: Message


@dataclass(frozen=True, slots=True)
class Drop:
    """Drop a packet, counted under ``reason``."""

    reason: DropReason


@dataclass(frozen=True, slots=True)
class SyncConfig:
    """Fetch the configuration objects that differ from those of ``peer``."""

    peer: str


@dataclass(frozen=True, slots=True)
class WatchPlatform:
    """Open or close the watches on the platform's objects.

    They are kept open while ``hold`` is true.
    """

    hold: bool


Action = SendTarget | SendCaller | SendPeer | Drop | SyncConfig | WatchPlatform

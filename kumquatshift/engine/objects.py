"""Configuration objects that operators declare, and their versions."""

from dataclasses import dataclass
from enum import StrEnum


class Kind(StrEnum):
    """The kinds of object that the platform keeps for the system."""

    PROFILE = "profile"
    SERVICE = "service"
    TARGET = "target"
    DOMAIN = "domain"


class Mode(StrEnum):
    """How the packets of a profile are read.

    A stream is carried untouched; a request is read as CoAP (RFC 7252), so
    that each exchange can be balanced, refused and retried by itself.
    """

    STREAM = "stream"
    REQUEST = "request"


class Priority(StrEnum):
    """Which work goes first when there is not room for all of it."""

    URGENT = "urgent"
    NORMAL = "normal"
    BULK = "bulk"


class Protocol(StrEnum):
    """Transport protocol of a service."""

    UDP = "udp"
    TCP = "tcp"


class TargetState(StrEnum):
    """Whether a target takes new work."""

    ADMITTED = "admitted"
    RETIRED = "retired"


class DomainState(StrEnum):
    """Whether a failure domain is in service."""

    IN = "in"
    OUT = "out"


@dataclass(frozen=True)
class Profile:
    """A named traffic profile; all times are in seconds.

    ``idle_timeout_s`` ends a flow without packets, ``silence_timeout_s`` a
    flow whose packets are no longer answered, and ``request_timeout_s`` is the
    longest time for which a request may live. ``repeat_span_s`` is the longest
    time after its first packet for which a caller may repeat a request that was
    not answered; the default is that of RFC 7252, section 4.8.2. ``retry_share``
    bounds retries as a share of first tries; ``reserved_share`` is the part of
    each target's slots kept for this profile.
    """

    name: str
    mode: Mode = Mode.STREAM
    priority: Priority = Priority.NORMAL
    idle_timeout_s: float = 600.0
    silence_timeout_s: float = 30.0
    request_timeout_s: float = 10.0
    repeat_span_s: float = 45.0
    retry_share: float = 0.1
    reserved_share: float = 0.0


@dataclass(frozen=True)
class Service:
    """An address that callers use, and the profile that its traffic follows."""

    name: str
    address: str
    port: int
    protocol: Protocol
    profile: str


@dataclass(frozen=True)
class Target:
    """A back end of one service; ``host`` and ``port`` take encapsulated packets."""

    name: str
    service: str
    domain: str
    host: str
    port: int
    slots: int = 2
    connections: int = 2000
    state: TargetState = TargetState.ADMITTED


@dataclass(frozen=True)
class Domain:
    """A failure domain, in service or taken out by operators."""

    name: str
    state: DomainState = DomainState.IN


Body = Profile | Service | Target | Domain


@dataclass(frozen=True)
class Versioned:
    """One object with its platform version; ``body`` is None once deleted.

    Versions come from one counter of the platform, so an object that was
    deleted and made again has a higher version than before. ``created`` is the
    version at which the object was made, and tells it from an earlier one of
    the same name. ``operation`` names the write that gave this version.
    """

    kind: Kind
    name: str
    version: int
    body: Body | None
    created: int = 0
    operation: str = ""

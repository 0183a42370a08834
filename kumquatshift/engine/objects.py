"""Configuration objects, declared by operators, and their versions."""

from dataclasses import dataclass
from enum import StrEnum


class Kind(StrEnum):
    """Kinds of configuration objects stored in the platform."""

    PROFILE = "profile"
    SERVICE = "service"
    TARGET = "target"
    DOMAIN = "domain"


class Mode(StrEnum):
    """How the packets of a profile are processed.

    Packets of a stream are forwarded unmodified. Those of a request are parsed as
    CoAP (RFC 7252), so that each exchange can be balanced, refused and retried
    separately.
    """

    STREAM = "stream"
    REQUEST = "request"


class Priority(StrEnum):
    """Precedence of a profile's work when capacity is short."""

    URGENT = "urgent"
    NORMAL = "normal"
    BULK = "bulk"


class Protocol(StrEnum):
    """Transport protocol of a service."""

    UDP = "udp"
    TCP = "tcp"


class TargetState(StrEnum):
    """Whether a target accepts new work."""

    ADMITTED = "admitted"
    RETIRED = "retired"


class DomainState(StrEnum):
    """Whether a failure domain is in service."""

    IN = "in"
    OUT = "out"


@dataclass(frozen=True)
class Profile:
    """A named traffic profile; all times are in seconds.

    ``idle_timeout_s`` ends a flow without packets, and ``silence_timeout_s`` a flow
    whose packets are no longer answered. ``request_timeout_s`` is the maximum
    lifetime of a request. ``repeat_span_s`` is the maximum time after its first
    packet for which a caller may retransmit an unanswered request; the default is
    that of RFC 7252, section 4.8.2. ``retry_share`` limits retries as a fraction of
    first attempts; ``reserved_share`` is the fraction of each target's slots reserved
    for this profile.
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
    """A virtual address that callers use, and the profile of its traffic."""

    name: str
    address: str
    port: int
    protocol: Protocol
    profile: str


@dataclass(frozen=True)
class Target:
    """A back end of one service; it receives encapsulated packets at host and port."""

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
    """A failure domain, in service or taken out of service by operators."""

    name: str
    state: DomainState = DomainState.IN


Body = Profile | Service | Target | Domain


@dataclass(frozen=True)
class Versioned:
    """One object with its platform version; ``body`` is None once it is deleted.

    All versions come from one counter of the platform, so a recreated object has a
    higher version than before its deletion. ``created`` is the version at which the
    object was created, and distinguishes it from an earlier one of the same name.
    ``operation`` identifies the write that resulted in this version.
    """

    kind: Kind
    name: str
    version: int
    body: Body | None
    created: int = 0
    operation: str = ""

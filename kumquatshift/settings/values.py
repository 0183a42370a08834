"""Value types of settings files: how each is parsed and what it allows."""

import ipaddress
import math
import re
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, Protocol
from urllib.parse import urlsplit

from ..engine.objects import Protocol as ServiceProtocol

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
INTEGER_PATTERN = re.compile(r"[+-]?[0-9]+")
NUMBER_PATTERN = re.compile(r"[+-]?([0-9]+(\.[0-9]*)?|\.[0-9]+)([eE][+-]?[0-9]+)?")
MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 64
MAX_PORT = 65535


class ValueType(Protocol):
    """Parses the text of one key.

    ``parse`` returns the value or raises `ValueError`; ``allowed`` describes the
    accepted values.
    """

    @property
    def allowed(self) -> str:
        """Human-readable description of the accepted values."""
        ...

    def parse(self, text: str) -> Any:
        """Return the value of ``text``."""
        ...


@dataclass(frozen=True)
class Secret:
    """Bytes that must not appear in any ``repr``, log or dump."""

    value: bytes = field(repr=False)

    def __str__(self):
        return "Secret()"


@dataclass(frozen=True)
class Member:
    """An entry listed in settings, with its failure domain and IPv4 address."""

    name: str
    domain: str
    address: str


@dataclass(frozen=True)
class Text:
    """A single line of any text."""

    allowed: str = "text"

    def parse(self, text: str) -> str:
        """Return the text unchanged."""
        return text


@dataclass(frozen=True)
class FilePath:
    """Path of a file; whether the file is readable is not checked here."""

    allowed: str = "the path of a file"

    def parse(self, text: str) -> str:
        """Return the path."""
        if "\0" in text or "\n" in text:
            raise ValueError
        return text


@dataclass(frozen=True)
class Name:
    """A name of a VM, a failure domain or an object."""

    allowed: str = (
        "1 to 63 letters, digits, '.', '_' and '-', the first a letter or digit"
    )

    def parse(self, text: str) -> str:
        """Return the name."""
        if not NAME_PATTERN.fullmatch(text):
            raise ValueError
        return text


@dataclass(frozen=True)
class Integer:
    """An integer from ``low`` to ``high``, inclusive."""

    low: int
    high: int

    @property
    def allowed(self) -> str:
        """Description of the range."""
        return f"a whole number from {self.low} to {self.high}"

    def parse(self, text: str) -> int:
        """Return the number."""
        if not INTEGER_PATTERN.fullmatch(text):
            raise ValueError
        return _within(int(text), self.low, self.high)


@dataclass(frozen=True)
class Number:
    """A number from ``low`` to ``high``, inclusive."""

    low: float
    high: float

    @property
    def allowed(self) -> str:
        """Description of the range."""
        return f"a number from {self.low:g} to {self.high:g}"

    def parse(self, text: str) -> float:
        """Return the number."""
        if not NUMBER_PATTERN.fullmatch(text):
            raise ValueError
        return _within(float(text), self.low, self.high)


def _within(value, low, high):
    if not math.isfinite(value) or not low <= value <= high:
        raise ValueError
    return value


def port() -> Integer:
    """Return the type of a UDP or TCP port."""
    return Integer(1, MAX_PORT)


@dataclass(frozen=True)
class Choice:
    """A member of an enum, given by its value."""

    members: type[StrEnum]

    @property
    def allowed(self) -> str:
        """Description of the values."""
        return "one of " + ", ".join(self.members)

    def parse(self, text: str) -> StrEnum:
        """Return the member."""
        return self.members(text)


@dataclass(frozen=True)
class Ipv4:
    """An IPv4 address; with ``loopback``, only one of 127.0.0.0/8."""

    loopback: bool = False

    @property
    def allowed(self) -> str:
        """Description of the accepted addresses."""
        if self.loopback:
            return "an IPv4 loopback address such as 127.0.3.1"
        return "one IPv4 address such as 192.0.2.7"

    def parse(self, text: str) -> str:
        """Return the address in dotted-decimal notation."""
        address = ipaddress.IPv4Address(text)
        unusable = address.is_unspecified or address.is_multicast
        if unusable or (self.loopback and not address.is_loopback):
            raise ValueError
        return str(address)


@dataclass(frozen=True)
class Ipv4List:
    """IPv4 addresses, separated by commas."""

    allowed: str = "IPv4 addresses such as 192.0.2.7, 192.0.2.8"

    def parse(self, text: str) -> tuple[str, ...]:
        """Return the addresses in the order given."""
        return tuple(Ipv4().parse(part.strip()) for part in text.split(","))


@dataclass(frozen=True)
class Url:
    """An ``http`` or ``https`` URL without a path; may be empty."""

    allowed: str = "a URL such as https://platform.example:8400, or nothing"

    def parse(self, text: str) -> str:
        """Return the URL without a trailing slash."""
        if not text:
            return ""
        parts = urlsplit(text)
        extra = parts.path.strip("/") or parts.query or parts.fragment
        if parts.scheme not in ("http", "https") or not parts.hostname or extra:
            raise ValueError
        if parts.username is not None or parts.port == 0:
            raise ValueError
        return text.rstrip("/")


@dataclass(frozen=True)
class HexKey:
    """A secret key in hexadecimal notation."""

    allowed: str = (
        f"{MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes as hexadecimal digits, "
        "as `openssl rand -hex 32` prints"
    )

    def parse(self, text: str) -> Secret:
        """Return the key, wrapped so that it is never printed."""
        data = bytes.fromhex(text)
        if not MIN_KEY_BYTES <= len(data) <= MAX_KEY_BYTES:
            raise ValueError
        return Secret(data)


@dataclass(frozen=True)
class MemberLine:
    """An entry as ``NAME = DOMAIN ADDRESS``."""

    allowed: str = "DOMAIN ADDRESS, such as 'north-a 192.0.2.7'"

    def parse_named(self, name: str, text: str) -> Member:
        """Return the entry called ``name``."""
        domain, address = text.split()
        return Member(Name().parse(name), Name().parse(domain), Ipv4().parse(address))


class Role(StrEnum):
    """What a VM runs."""

    ENTRY = "entry"
    TARGET = "target"


class VmState(StrEnum):
    """Whether the platform is about to remove a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class Vm:
    """A VM as listed by the platform."""

    name: str
    domain: str
    role: Role
    address: str
    state: VmState = VmState.LIVE


@dataclass(frozen=True)
class VmLine:
    """A VM as ``NAME = DOMAIN ROLE ADDRESS [STATE]``."""

    allowed: str = (
        "DOMAIN ROLE ADDRESS [live|leaving], such as 'north-a entry 127.0.1.1'"
    )

    def parse_named(self, name: str, text: str) -> Vm:
        """Return the VM called ``name``."""
        domain, role, address, *state = text.split()
        if len(state) > 1:
            raise ValueError
        return Vm(
            Name().parse(name),
            Name().parse(domain),
            Role(role),
            Ipv4().parse(address),
            VmState(*state) if state else VmState.LIVE,
        )


@dataclass(frozen=True)
class Listener:
    """A service's address, port and transport protocol."""

    name: str
    address: str
    port: int
    protocol: ServiceProtocol


@dataclass(frozen=True)
class ListenerLine:
    """A service address as ``NAME = ADDRESS PORT PROTOCOL``."""

    allowed: str = "ADDRESS PORT udp|tcp, such as '127.0.9.1 5683 udp'"

    def parse_named(self, name: str, text: str) -> Listener:
        """Return the listener called ``name``."""
        address, port_text, protocol = text.split()
        address, number = Ipv4().parse(address), port().parse(port_text)
        return Listener(Name().parse(name), address, number, ServiceProtocol(protocol))

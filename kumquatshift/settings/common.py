"""Sections shared by several programs."""

from dataclasses import dataclass
from datetime import datetime
from enum import StrEnum

from ..certificates import ca_faults, certificate_faults
from .declare import key, user_defined_keys
from .problems import Problem
from .values import (
    Choice,
    FilePath,
    HexKey,
    Member,
    MemberLine,
    Secret,
    Url,
)


class LogLevel(StrEnum):
    """Minimum severity that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogFormat(StrEnum):
    """Format of log lines."""

    HUMAN = "human"
    JSON = "json"


@dataclass(frozen=True)
class LogSection:
    """Log level and format."""

    level: LogLevel = key(Choice(LogLevel), "Minimum severity to log.", default="info")
    format: LogFormat = key(
        Choice(LogFormat),
        "Human-readable lines, or one JSON object per line.",
        default="human",
    )


@dataclass(frozen=True)
class PlatformSection:
    """Address of the platform's object API."""

    url: str = key(
        Url(),
        "Base URL of the object API; empty: configuration is received from peers only.",
        default="",
        example="http://127.0.0.10:8400",
    )
    ca: str = key(
        FilePath(),
        "Certificate authority (PEM) that an https server is verified against; "
        "empty: the trust store of the system.",
        default="",
    )

    def check_consistency(self) -> list[Problem]:
        """Return the inconsistencies between the two keys."""
        if self.ca and not self.url.startswith("https:"):
            allowed = "a CA only with an https URL in [platform] url"
            return [Problem("platform", "ca", repr(self.ca), allowed)]
        return []

    def check_files(self, now: datetime) -> list[Problem]:
        """Return the problems of the CA file."""
        faults = ca_faults(self.ca, now) if self.ca else []
        return [Problem("platform", "ca", each.found, each.allowed) for each in faults]


@dataclass(frozen=True)
class PeersSection:
    """Entries known at start-up."""

    members: tuple[Member, ...] = user_defined_keys(
        MemberLine(),
        "One line per entry; the entry itself may be included.",
        "NAME = DOMAIN ADDRESS",
        ("e1", "north-a 127.0.1.1"),
        ("e2", "north-a 127.0.1.2"),
        ("e3", "north-b 127.0.1.3"),
    )

    def check_consistency(self) -> list[Problem]:
        """Return the inconsistencies between lines."""
        owners: dict[str, str] = {}
        problems = []
        for member in self.members:
            owner = owners.setdefault(member.address, member.name)
            if owner != member.name:
                found = f"{member.address}, the address of {owner} too"
                problem = Problem(
                    "peers", member.name, found, "a unique address for each entry"
                )
                problems.append(problem)
        return problems


@dataclass(frozen=True)
class KeysSection:
    """Keys that authenticate datagrams between entries."""

    current: Secret | None = key(
        HexKey(),
        "Key that authenticates sent datagrams; empty: datagrams are not "
        "authenticated, which is allowed on loopback addresses only.",
        default="",
    )
    previous: Secret | None = key(
        HexKey(),
        "Key that is also accepted on received datagrams, during key rotation.",
        default="",
    )

    def check_consistency(self) -> list[Problem]:
        """Return the inconsistencies between the two keys."""
        if self.previous and not self.current:
            allowed = "a key, since previous is set"
            return [Problem("keys", "current", "nothing", allowed)]
        return []


@dataclass(frozen=True)
class TlsSection:
    """Files for mutual TLS between the processes of a site."""

    ca: str = key(
        FilePath(),
        "Certificate authority (PEM) that issued the peers' certificates.",
        default="",
    )
    certificate: str = key(
        FilePath(), "Certificate of this process (PEM), with its chain.", default=""
    )
    key: str = key(FilePath(), "Private key (PEM) of the certificate.", default="")

    @property
    def enabled(self) -> bool:
        """Whether TLS is used."""
        return bool(self.ca and self.certificate and self.key)

    def check_consistency(self) -> list[Problem]:
        """Return the keys that are missing while others are set."""
        given = {"ca": self.ca, "certificate": self.certificate, "key": self.key}
        if not any(given.values()):
            return []
        allowed = "ca, certificate and key, all three or none"
        return [
            Problem("tls", name, "nothing", allowed)
            for name, value in given.items()
            if not value
        ]

    def check_files(self, now: datetime, address: str = "") -> list[Problem]:
        """Return the problems of the files.

        The certificate must be valid for ``address``, if one is given.
        """
        if not self.enabled:
            return []
        faults = certificate_faults(self.ca, self.certificate, self.key, now, address)
        return [Problem("tls", each.file, each.found, each.allowed) for each in faults]

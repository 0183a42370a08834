"""Sections that several programs share."""

from dataclasses import dataclass
from datetime import datetime
from enum import StrEnum

from ..certificates import ca_faults, certificate_faults
from .declare import free_keys, key
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
    """The least grave level that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class LogFormat(StrEnum):
    """How a log line is written."""

    HUMAN = "human"
    JSON = "json"


@dataclass(frozen=True)
class LogSection:
    """What is logged, and how."""

    level: LogLevel = key(
        Choice(LogLevel), "The least grave level to log.", default="info"
    )
    format: LogFormat = key(
        Choice(LogFormat),
        "Lines for people, or one JSON object a line.",
        default="human",
    )


@dataclass(frozen=True)
class PlatformSection:
    """Where the platform's object API answers."""

    url: str = key(
        Url(),
        "Base URL of the object API; empty: configuration comes from peers only.",
        default="",
        example="http://127.0.0.10:8400",
    )
    ca: str = key(
        FilePath(),
        "Certificate authority (PEM) that an https URL is checked against; "
        "empty: the system's own.",
        default="",
    )

    def wrong_together(self) -> list[Problem]:
        """Return the mistakes that show only from both keys together."""
        if self.ca and not self.url.startswith("https:"):
            allowed = "a CA only with an https URL in [platform] url"
            return [Problem("platform", "ca", repr(self.ca), allowed)]
        return []

    def wrong_files(self, now: datetime) -> list[Problem]:
        """Return what is wrong with the file of the authority."""
        faults = ca_faults(self.ca, now) if self.ca else []
        return [Problem("platform", "ca", each.found, each.allowed) for each in faults]


@dataclass(frozen=True)
class PeersSection:
    """Entries known from the start."""

    members: tuple[Member, ...] = free_keys(
        MemberLine(),
        "One line for each entry; the entry itself may be listed.",
        "NAME = DOMAIN ADDRESS",
        ("e1", "north-a 127.0.1.1"),
        ("e2", "north-a 127.0.1.2"),
        ("e3", "north-b 127.0.1.3"),
    )

    def wrong_together(self) -> list[Problem]:
        """Return the mistakes that show only from several lines together."""
        owners: dict[str, str] = {}
        problems = []
        for member in self.members:
            owner = owners.setdefault(member.address, member.name)
            if owner != member.name:
                found = f"{member.address}, the address of {owner} too"
                problem = Problem(
                    "peers", member.name, found, "an address of its own for each"
                )
                problems.append(problem)
        return problems


@dataclass(frozen=True)
class KeysSection:
    """Keys of the digest on datagrams between entries."""

    current: Secret | None = key(
        HexKey(),
        "Key that seals what is sent; empty: loopback only, datagrams unsealed.",
        default="",
    )
    previous: Secret | None = key(
        HexKey(),
        "Key that is taken too, while keys are changed over.",
        default="",
    )

    def wrong_together(self) -> list[Problem]:
        """Return the mistakes that show only from both keys together."""
        if self.previous and not self.current:
            allowed = "a key whenever previous has one"
            return [Problem("keys", "current", "nothing", allowed)]
        return []


@dataclass(frozen=True)
class TlsSection:
    """Files for mutual TLS between the system's own processes."""

    ca: str = key(
        FilePath(), "Certificate authority (PEM) of the other processes.", default=""
    )
    certificate: str = key(
        FilePath(), "This process's certificate (PEM), with its chain.", default=""
    )
    key: str = key(FilePath(), "Private key (PEM) of the certificate.", default="")

    @property
    def enabled(self) -> bool:
        """Whether TLS is used."""
        return bool(self.ca and self.certificate and self.key)

    def wrong_together(self) -> list[Problem]:
        """Return the mistakes that show only from the three keys together."""
        given = {"ca": self.ca, "certificate": self.certificate, "key": self.key}
        if not any(given.values()):
            return []
        allowed = "ca, certificate and key, all three or none"
        return [
            Problem("tls", name, "nothing", allowed)
            for name, value in given.items()
            if not value
        ]

    def wrong_files(self, now: datetime, address: str = "") -> list[Problem]:
        """Return what is wrong with the files; ``address`` must be named in them."""
        if not self.enabled:
            return []
        faults = certificate_faults(self.ca, self.certificate, self.key, now, address)
        return [Problem("tls", each.file, each.found, each.allowed) for each in faults]

"""Settings of `kumquat-ctl`."""

from dataclasses import dataclass
from datetime import datetime

from .common import LogSection, PeersSection, PlatformSection, TlsSection
from .declare import key, section
from .problems import Problem
from .read import ProgramSettings
from .values import port


@dataclass(frozen=True)
class CtlSection:
    """How kumquat-ctl reaches entries."""

    admin_port: int = key(
        port(), "Admin port of every entry.", default="7300", unit="TCP"
    )


@dataclass(frozen=True)
class CtlSettings(ProgramSettings):
    """All settings of kumquat-ctl."""

    ctl: CtlSection = section(CtlSection, "How kumquat-ctl reaches entries.")
    platform: PlatformSection = section(PlatformSection, "The platform's object API.")
    peers: PeersSection = section(
        PeersSection, "Entries to query while the platform is unreachable."
    )
    tls: TlsSection = section(
        TlsSection, "Mutual TLS between processes; set all three keys or none."
    )
    log: LogSection = section(LogSection, "Logging.")

    def check_files(self, now: datetime) -> list[Problem]:
        """Return the problems of the files that the settings refer to."""
        return self.platform.check_files(now) + self.tls.check_files(now)

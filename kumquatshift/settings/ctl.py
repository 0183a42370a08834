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
    """How the command line reaches entries."""

    admin_port: int = key(
        port(), "Admin port of every entry.", default="7300", unit="TCP"
    )


@dataclass(frozen=True)
class CtlSettings(ProgramSettings):
    """All settings of the command line."""

    ctl: CtlSection = section(CtlSection, "The command line itself.")
    platform: PlatformSection = section(PlatformSection, "The platform's object API.")
    peers: PeersSection = section(
        PeersSection, "Entries to ask while the platform's list is out of reach."
    )
    tls: TlsSection = section(
        TlsSection, "Mutual TLS between processes: all three or none."
    )
    log: LogSection = section(LogSection, "Logging.")

    def wrong_files(self, now: datetime) -> list[Problem]:
        """Return what is wrong with the files that the settings name."""
        return self.platform.wrong_files(now) + self.tls.wrong_files(now)

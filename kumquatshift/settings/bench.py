"""Settings of `kumquat-bench`."""

from dataclasses import dataclass
from datetime import datetime

from .common import LogSection, PlatformSection
from .declare import free_keys, key, section
from .problems import Problem
from .read import ProgramSettings
from .values import Listener, ListenerLine, Number, Whole

MAX_SEED = 2**32 - 1


@dataclass(frozen=True)
class BenchSection:
    """How much load is made, and for how long."""

    duration_s: float = key(
        Number(1, 3600), "Length of the run.", default="20", unit="seconds"
    )
    requests_per_s: float = key(
        Number(0, 10_000),
        "Requests to each service.",
        default="20",
        unit="requests a second",
    )
    watches: int = key(
        Whole(0, 10_000), "Watches held open on each service.", default="10"
    )
    timeout_s: float = key(
        Number(0.1, 300),
        "Time after which a request without an answer counts as lost.",
        default="10",
        unit="seconds",
    )
    seed: int = key(Whole(0, MAX_SEED), "Seed of the load's chance.", default="1")


@dataclass(frozen=True)
class BenchServicesSection:
    """Services that load is sent to."""

    members: tuple[Listener, ...] = free_keys(
        ListenerLine(),
        "One line for each service.",
        "NAME = ADDRESS PORT udp|tcp",
        ("tills", "127.0.9.1 5683 udp"),
        ("reports", "127.0.9.2 80 tcp"),
    )


@dataclass(frozen=True)
class BenchSettings(ProgramSettings):
    """All settings of the load tool."""

    bench: BenchSection = section(BenchSection, "The load.")
    services: BenchServicesSection = section(
        BenchServicesSection, "Services that load is sent to."
    )
    platform: PlatformSection = section(PlatformSection, "The platform's object API.")
    log: LogSection = section(LogSection, "Logging.")

    def wrong_files(self, now: datetime) -> list[Problem]:
        """Return what is wrong with the files that the settings name."""
        return self.platform.wrong_files(now)

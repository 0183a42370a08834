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
    """How much load is made on each service, and for how long."""

    duration_s: float = key(
        Number(1, 3600), "Length of the run.", default="25", unit="seconds"
    )
    seed: int = key(Whole(0, MAX_SEED), "Seed of the load's chance.", default="1")
    callers: int = key(
        Whole(0, 1000),
        "Callers that send one request after another.",
        default="20",
    )
    watches: int = key(Whole(0, 10_000), "Watches that stay open.", default="10")
    interval_s: float = key(
        Number(0.01, 60),
        "Time between the requests of one caller.",
        default="0.25",
        unit="seconds",
    )
    post_share: float = key(
        Number(0, 1), "Share of requests that are not idempotent.", default="0.5"
    )
    big_share: float = key(
        Number(0, 1),
        "Share of requests whose answer comes block by block.",
        default="0.05",
    )
    big_bytes: int = key(
        Whole(1, 1_048_576), "Size of such an answer.", default="4096", unit="bytes"
    )
    work_ms: int = key(
        Whole(0, 60_000),
        "Time for which a request keeps a target busy.",
        default="5",
        unit="milliseconds",
    )
    request_timeout_s: float = key(
        Number(0.1, 300),
        "Time after which a request without an answer counts as lost.",
        default="20",
        unit="seconds",
    )
    silence_s: float = key(
        Number(0.1, 300),
        "Time without a word after which a watch counts as broken.",
        default="9",
        unit="seconds",
    )
    out_grace_s: float = key(
        Number(0, 60),
        "Time for which a domain that was taken out may still get packets.",
        default="3",
        unit="seconds",
    )


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

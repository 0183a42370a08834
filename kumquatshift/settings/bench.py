"""Settings of `kumquat-bench`."""

from dataclasses import dataclass
from datetime import datetime

from .common import LogSection, PlatformSection
from .declare import key, section, user_defined_keys
from .problems import Problem
from .read import ProgramSettings
from .values import Integer, Listener, ListenerLine, Number

MAX_SEED = 2**32 - 1


@dataclass(frozen=True)
class BenchSection:
    """Load generated on each service, and its duration."""

    duration_s: float = key(
        Number(1, 3600), "Duration of the run.", default="25", unit="seconds"
    )
    seed: int = key(
        Integer(0, MAX_SEED),
        "Seed of the random number generators of the load.",
        default="1",
    )
    callers: int = key(
        Integer(0, 1000),
        "Number of callers; each sends one request at a time.",
        default="20",
    )
    watches: int = key(Integer(0, 10_000), "Number of watches kept open.", default="10")
    interval_s: float = key(
        Number(0.01, 60),
        "Interval between the requests of one caller.",
        default="0.25",
        unit="seconds",
    )
    post_share: float = key(
        Number(0, 1), "Fraction of requests that are not idempotent.", default="0.5"
    )
    big_share: float = key(
        Number(0, 1),
        "Fraction of requests with a block-wise response.",
        default="0.05",
    )
    big_bytes: int = key(
        Integer(1, 1_048_576),
        "Size of a block-wise response.",
        default="4096",
        unit="bytes",
    )
    work_ms: int = key(
        Integer(0, 60_000),
        "Processing time of a request at its target.",
        default="5",
        unit="milliseconds",
    )
    request_timeout_s: float = key(
        Number(0.1, 300),
        "Time without a response after which a request counts as lost.",
        default="20",
        unit="seconds",
    )
    silence_s: float = key(
        Number(0.1, 300),
        "Time without a notification after which a watch counts as broken.",
        default="9",
        unit="seconds",
    )
    out_grace_s: float = key(
        Number(0, 60),
        "Time for which a domain that was taken out may still receive packets.",
        default="3",
        unit="seconds",
    )


@dataclass(frozen=True)
class BenchServicesSection:
    """Services under load."""

    members: tuple[Listener, ...] = user_defined_keys(
        ListenerLine(),
        "One line per service.",
        "NAME = ADDRESS PORT udp|tcp",
        ("tills", "127.0.9.1 5683 udp"),
        ("reports", "127.0.9.2 80 tcp"),
    )


@dataclass(frozen=True)
class BenchSettings(ProgramSettings):
    """All settings of the load generator."""

    bench: BenchSection = section(BenchSection, "Load to generate.")
    services: BenchServicesSection = section(
        BenchServicesSection, "Services under load."
    )
    platform: PlatformSection = section(PlatformSection, "The platform's object API.")
    log: LogSection = section(LogSection, "Logging.")

    def check_files(self, now: datetime) -> list[Problem]:
        """Return the problems of the files that the settings refer to."""
        return self.platform.check_files(now)

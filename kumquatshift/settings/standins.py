"""Settings of `kumquat-standin`, for tests and the demo; loopback only."""

from dataclasses import dataclass

from .common import LogSection
from .declare import free_keys, key, section
from .problems import Problem
from .read import ProgramSettings
from .values import (
    FilePath,
    Ipv4,
    Listener,
    ListenerLine,
    Name,
    Number,
    Vm,
    VmLine,
    Whole,
    port,
)

MAX_SEED = 2**32 - 1


@dataclass(frozen=True)
class PlatformStandinSection:
    """Where the object API listens, and how it behaves."""

    address: str = key(Ipv4(loopback=True), "Where it listens.", default="127.0.0.10")
    port: int = key(port(), "Port of the object API.", default="8400", unit="TCP")
    vms_lag_s: float = key(
        Number(0, 3600),
        "Time by which the list of VMs lags.",
        default="2",
        unit="seconds",
    )
    history: int = key(
        Whole(1, 10_000_000),
        "Changes that a watch may begin in the past.",
        default="10000",
        unit="versions",
    )
    certificate: str = key(
        FilePath(), "Certificate (PEM) to answer with over TLS.", default=""
    )
    key: str = key(FilePath(), "Private key (PEM) of the certificate.", default="")

    def wrong_together(self) -> list[Problem]:
        """Return the one of certificate and key that is missing."""
        given = {"certificate": self.certificate, "key": self.key}
        if not any(given.values()):
            return []
        allowed = "certificate and key, both or none"
        return [
            Problem("platform", name, "nothing", allowed)
            for name, value in given.items()
            if not value
        ]


@dataclass(frozen=True)
class VmsSection:
    """VMs that the platform lists from the start."""

    members: tuple[Vm, ...] = free_keys(
        VmLine(),
        "One line for each VM.",
        "NAME = DOMAIN ROLE ADDRESS [live|leaving]",
        ("e1", "north-a entry 127.0.1.1"),
        ("e2", "north-b entry 127.0.1.2"),
        ("t1", "north-a target 127.0.2.1"),
    )


@dataclass(frozen=True)
class PlatformStandinSettings(ProgramSettings):
    """All settings of the platform stand-in."""

    platform: PlatformStandinSection = section(
        PlatformStandinSection, "The object API."
    )
    vms: VmsSection = section(VmsSection, "VMs listed from the start.")
    log: LogSection = section(LogSection, "Logging.")


@dataclass(frozen=True)
class FabricStandinSection:
    """Where the fabric listens, and what goes wrong in it."""

    address: str = key(Ipv4(loopback=True), "Where it listens.", default="127.0.3.1")
    seed: int = key(
        Whole(0, MAX_SEED),
        "Seed of the choice of an entry for each packet.",
        default="1",
    )
    loss: float = key(Number(0, 1), "Share of packets that are lost.", default="0")
    reorder: float = key(
        Number(0, 1), "Share of packets that later ones overtake.", default="0"
    )
    duplicate: float = key(
        Number(0, 1), "Share of packets that arrive twice.", default="0"
    )


@dataclass(frozen=True)
class FabricEntriesSection:
    """Entries that packets are sprayed over."""

    members: tuple[Vm, ...] = free_keys(
        VmLine(),
        "One line for each entry.",
        "NAME = DOMAIN ROLE ADDRESS [live|leaving]",
        ("e1", "north-a entry 127.0.1.1"),
        ("e2", "north-b entry 127.0.1.2"),
    )


@dataclass(frozen=True)
class ListenersSection:
    """Service addresses that callers use."""

    members: tuple[Listener, ...] = free_keys(
        ListenerLine(),
        "One line for each service address.",
        "NAME = ADDRESS PORT udp|tcp",
        ("tills", "127.0.9.1 5683 udp"),
        ("reports", "127.0.9.2 80 tcp"),
    )


@dataclass(frozen=True)
class FabricStandinSettings(ProgramSettings):
    """All settings of the fabric stand-in."""

    fabric: FabricStandinSection = section(FabricStandinSection, "The fabric itself.")
    entries: FabricEntriesSection = section(
        FabricEntriesSection, "Entries that packets are sprayed over."
    )
    services: ListenersSection = section(
        ListenersSection, "Service addresses that callers use."
    )
    log: LogSection = section(LogSection, "Logging.")


@dataclass(frozen=True)
class TargetStandinSection:
    """One target and the work that it bears."""

    name: str = key(Name(), "Name of this target.", example="t1")
    service: str = key(Name(), "Service that it is a back end of.", example="tills")
    address: str = key(Ipv4(loopback=True), "Where it listens.", example="127.0.2.1")
    fabric_address: str = key(
        Ipv4(loopback=True), "Where answers are sent.", default="127.0.3.1"
    )
    fabric_port: int = key(
        port(), "Port that answers are sent to.", default="6081", unit="UDP"
    )
    slots: int = key(
        Whole(1, 10_000), "Requests that run at once.", default="2", unit="requests"
    )
    backlog: int = key(
        Whole(0, 100_000),
        "Requests that may wait; beyond them requests are refused.",
        default="6",
        unit="requests",
    )
    warm_s: float = key(
        Number(0, 3600),
        "Time of work after which it bears its full share.",
        default="10",
        unit="seconds",
    )
    retry_s: int = key(
        Whole(0, 3600),
        "When a refused caller is asked to come back.",
        default="1",
        unit="seconds",
    )
    load_lag_s: float = key(
        Number(0, 600), "Age of the load that it reports.", default="0", unit="seconds"
    )
    load_factor: float = key(
        Number(0, 1000),
        "What the reported load is multiplied by; other than 1 it misleads.",
        default="1",
    )


@dataclass(frozen=True)
class TargetStandinSettings(ProgramSettings):
    """All settings of one target stand-in."""

    target: TargetStandinSection = section(TargetStandinSection, "The target itself.")
    services: ListenersSection = section(
        ListenersSection, "Service addresses that it serves."
    )
    log: LogSection = section(LogSection, "Logging.")

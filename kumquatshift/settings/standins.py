"""Settings of `kumquat-standin`, for tests and the demo on loopback addresses."""

from dataclasses import dataclass

from .common import LogSection
from .declare import key, section, user_defined_keys
from .problems import Problem
from .read import ProgramSettings
from .values import (
    FilePath,
    Integer,
    Ipv4,
    Listener,
    ListenerLine,
    Name,
    Number,
    Vm,
    VmLine,
    port,
)

MAX_SEED = 2**32 - 1


@dataclass(frozen=True)
class PlatformStandinSection:
    """Address and behaviour of the object API."""

    address: str = key(
        Ipv4(loopback=True), "Address to listen on.", default="127.0.0.10"
    )
    port: int = key(port(), "Port of the object API.", default="8400", unit="TCP")
    vms_lag_s: float = key(
        Number(0, 3600),
        "Delay after which changes show in the list of VMs.",
        default="2",
        unit="seconds",
    )
    history: int = key(
        Integer(1, 10_000_000),
        "Number of past changes from which a watch can start.",
        default="10000",
        unit="versions",
    )
    certificate: str = key(
        FilePath(), "Server certificate (PEM); enables TLS.", default=""
    )
    key: str = key(FilePath(), "Private key (PEM) of the certificate.", default="")

    def check_consistency(self) -> list[Problem]:
        """Return the missing one of certificate and key."""
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
    """VMs that the platform lists at start-up."""

    members: tuple[Vm, ...] = user_defined_keys(
        VmLine(),
        "One line per VM.",
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
    vms: VmsSection = section(VmsSection, "VMs listed at start-up.")
    log: LogSection = section(LogSection, "Logging.")


@dataclass(frozen=True)
class FabricStandinSection:
    """Address of the fabric, and the faults it injects."""

    address: str = key(
        Ipv4(loopback=True), "Address to listen on.", default="127.0.3.1"
    )
    seed: int = key(
        Integer(0, MAX_SEED),
        "Seed of the random choice of an entry for each packet.",
        default="1",
    )
    loss: float = key(Number(0, 1), "Fraction of packets that are lost.", default="0")
    reorder: float = key(
        Number(0, 1),
        "Fraction of packets that are delivered out of order.",
        default="0",
    )
    duplicate: float = key(
        Number(0, 1), "Fraction of packets that are delivered twice.", default="0"
    )


@dataclass(frozen=True)
class FabricEntriesSection:
    """Entries that packets are distributed to."""

    members: tuple[Vm, ...] = user_defined_keys(
        VmLine(),
        "One line per entry.",
        "NAME = DOMAIN ROLE ADDRESS [live|leaving]",
        ("e1", "north-a entry 127.0.1.1"),
        ("e2", "north-b entry 127.0.1.2"),
    )


@dataclass(frozen=True)
class ListenersSection:
    """Service addresses that callers use."""

    members: tuple[Listener, ...] = user_defined_keys(
        ListenerLine(),
        "One line per service address.",
        "NAME = ADDRESS PORT udp|tcp",
        ("tills", "127.0.9.1 5683 udp"),
        ("reports", "127.0.9.2 80 tcp"),
    )


@dataclass(frozen=True)
class FabricStandinSettings(ProgramSettings):
    """All settings of the fabric stand-in."""

    fabric: FabricStandinSection = section(FabricStandinSection, "The fabric itself.")
    entries: FabricEntriesSection = section(
        FabricEntriesSection, "Entries that packets are distributed to."
    )
    services: ListenersSection = section(
        ListenersSection, "Service addresses that callers use."
    )
    log: LogSection = section(LogSection, "Logging.")


@dataclass(frozen=True)
class TargetStandinSection:
    """One target, and its capacity."""

    name: str = key(Name(), "Name of this target.", example="t1")
    service: str = key(
        Name(), "Service that this target is a back end of.", example="tills"
    )
    address: str = key(
        Ipv4(loopback=True), "Address to listen on.", example="127.0.2.1"
    )
    fabric_address: str = key(
        Ipv4(loopback=True), "Address that responses are sent to.", default="127.0.3.1"
    )
    fabric_port: int = key(
        port(), "Port that responses are sent to.", default="6081", unit="UDP"
    )
    slots: int = key(
        Integer(1, 10_000),
        "Number of requests processed concurrently.",
        default="2",
        unit="requests",
    )
    backlog: int = key(
        Integer(0, 100_000),
        "Number of requests that may wait; further requests are refused.",
        default="6",
        unit="requests",
    )
    warm_s: float = key(
        Number(0, 3600),
        "Time under load after which the target reaches its full capacity.",
        default="10",
        unit="seconds",
    )
    retry_s: int = key(
        Integer(0, 3600),
        "Delay after which a refused caller is asked to retry.",
        default="1",
        unit="seconds",
    )
    load_lag_s: float = key(
        Number(0, 600), "Age of the reported load.", default="0", unit="seconds"
    )
    load_factor: float = key(
        Number(0, 1000),
        "Factor that the reported load is multiplied by; any value other than 1 "
        "makes the report wrong.",
        default="1",
    )


@dataclass(frozen=True)
class TargetStandinSettings(ProgramSettings):
    """All settings of one target stand-in."""

    target: TargetStandinSection = section(TargetStandinSection, "The target itself.")
    services: ListenersSection = section(
        ListenersSection, "Service addresses that this target serves."
    )
    log: LogSection = section(LogSection, "Logging.")

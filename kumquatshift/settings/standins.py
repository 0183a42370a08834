"""Settings of `kumquat-standin`, for tests and the demo; loopback only."""

from dataclasses import dataclass

from .common import LogSection
from .declare import free_keys, key, section
from .read import ProgramSettings
from .values import (
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
        Number(0, 600),
        "Time by which the list of VMs lags.",
        default="5",
        unit="seconds",
    )


@dataclass(frozen=True)
class VmsSection:
    """VMs that the platform lists from the start."""

    members: tuple[Vm, ...] = free_keys(
        VmLine(),
        "One line for each VM.",
        "NAME = DOMAIN ROLE ADDRESS",
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
    """Where the fabric listens, and what its chance starts from."""

    address: str = key(Ipv4(loopback=True), "Where it listens.", default="127.0.3.1")
    packet_port: int = key(
        port(), "Port for packets from entries.", default="6080", unit="UDP"
    )
    target_port: int = key(
        port(), "Port for packets from targets.", default="6081", unit="UDP"
    )
    admin_port: int = key(
        port(), "Port for readiness, dump and metrics.", default="7300", unit="TCP"
    )
    entry_port: int = key(
        port(), "Port of the entries that packets go to.", default="6080", unit="UDP"
    )
    seed: int = key(
        Whole(0, MAX_SEED),
        "Seed of the choice of an entry for each packet.",
        default="1",
    )


@dataclass(frozen=True)
class FabricEntriesSection:
    """Entries that packets are sprayed over."""

    members: tuple[Vm, ...] = free_keys(
        VmLine(),
        "One line for each entry.",
        "NAME = DOMAIN ROLE ADDRESS",
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
    address: str = key(Ipv4(loopback=True), "Where it listens.", example="127.0.2.1")
    packet_port: int = key(
        port(), "Port for encapsulated packets.", default="6080", unit="UDP"
    )
    admin_port: int = key(
        port(), "Port for readiness, dump and metrics.", default="7300", unit="TCP"
    )
    fabric_address: str = key(
        Ipv4(loopback=True), "Where answers are sent.", default="127.0.3.1"
    )
    fabric_port: int = key(
        port(), "Port that answers are sent to.", default="6081", unit="UDP"
    )
    slots: int = key(
        Whole(1, 10_000), "Requests served at a time.", default="2", unit="requests"
    )
    connections: int = key(
        Whole(1, 1_000_000), "Most connections held.", default="2000", unit="flows"
    )
    service_time_s: float = key(
        Number(0, 60), "Time for one request.", default="0.005", unit="seconds"
    )
    cold_start_s: float = key(
        Number(0, 3600),
        "Time after a start in which it bears little.",
        default="0",
        unit="seconds",
    )


@dataclass(frozen=True)
class TargetStandinSettings(ProgramSettings):
    """All settings of one target stand-in."""

    target: TargetStandinSection = section(TargetStandinSection, "The target itself.")
    services: ListenersSection = section(
        ListenersSection, "Service addresses that it serves."
    )
    log: LogSection = section(LogSection, "Logging.")

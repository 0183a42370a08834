"""Settings of `kumquat-entry`."""

import ipaddress
from dataclasses import dataclass
from datetime import datetime

from .common import KeysSection, LogSection, PeersSection, PlatformSection, TlsSection
from .declare import key, section
from .problems import Problem
from .read import CrossCheck, ProgramSettings
from .values import Integer, Ipv4, Ipv4List, Name, Number, port


@dataclass(frozen=True)
class EntrySection:
    """Identity of the entry, and the addresses it listens on."""

    name: str = key(Name(), "Name of this entry, unique in the site.", example="e1")
    domain: str = key(Name(), "Failure domain of this VM.", example="north-a")
    address: str = key(
        Ipv4(), "Address that all ports are bound to.", example="127.0.1.1"
    )
    packet_port: int = key(
        port(),
        "Port for packets from the fabric and from targets.",
        default="6080",
        unit="UDP",
    )
    peer_port: int = key(
        port(), "Port for datagrams from other entries.", default="7100", unit="UDP"
    )
    control_port: int = key(
        port(), "Port for gRPC from entries and operators.", default="7200", unit="TCP"
    )
    admin_port: int = key(
        port(),
        "Port for readiness checks, state dumps and metrics.",
        default="7300",
        unit="TCP",
    )

    def check_consistency(self) -> list[Problem]:
        """Return the ports that are used twice."""
        pairs = (("packet_port", "peer_port"), ("control_port", "admin_port"))
        return [
            Problem(
                "entry",
                second,
                f"'{getattr(self, second)}'",
                f"not the same as {first}",
            )
            for first, second in pairs
            if getattr(self, first) == getattr(self, second)
        ]


@dataclass(frozen=True)
class FabricSection:
    """Addresses of the fabric."""

    address: str = key(
        Ipv4(), "Address that packets for callers are sent to.", example="127.0.3.1"
    )
    packet_port: int = key(
        port(), "Port that packets for callers are sent to.", default="6080", unit="UDP"
    )
    sources: tuple[str, ...] = key(
        Ipv4List(),
        "Source addresses that packets are accepted from, separated by commas; "
        "empty: only the address of the fabric.",
        default="",
    )

    @property
    def allowed_sources(self) -> tuple[str, ...]:
        """Source addresses that packets of the fabric are accepted from."""
        return self.sources or (self.address,)


@dataclass(frozen=True)
class LimitsSection:
    """Limits on bandwidth and memory."""

    control_bytes_per_s: int = key(
        Integer(256, 1_000_000),
        "Bandwidth limit of the traffic to other entries outside the packet path.",
        default="4096",
        unit="bytes a second",
    )
    max_flows: int = key(
        Integer(100, 10_000_000),
        "Maximum number of flows held; beyond it new flows are refused.",
        default="500000",
        unit="flows",
    )


@dataclass(frozen=True)
class TimersSection:
    """Timers of cluster membership and of graceful shutdown."""

    heartbeat_s: float = key(
        Number(0.05, 60), "Interval between heartbeats.", default="1.0", unit="seconds"
    )
    suspect_s: float = key(
        Number(0.1, 300),
        "Time without a heartbeat after which a peer is suspected and bypassed.",
        default="2.5",
        unit="seconds",
    )
    forget_s: float = key(
        Number(1, 86_400),
        "Time without a heartbeat after which a peer is removed from the membership.",
        default="60",
        unit="seconds",
    )
    drain_s: float = key(
        Number(0, 3600),
        "Maximum time for which a leaving entry continues to relay packets.",
        default="10",
        unit="seconds",
    )

    def check_consistency(self) -> list[Problem]:
        """Return the timers whose order is invalid."""
        problems = []
        if self.suspect_s <= self.heartbeat_s:
            allowed = f"more than heartbeat_s, which is {self.heartbeat_s:g}"
            problems.append(
                Problem("timers", "suspect_s", f"'{self.suspect_s:g}'", allowed)
            )
        if self.forget_s <= self.suspect_s:
            allowed = f"more than suspect_s, which is {self.suspect_s:g}"
            problems.append(
                Problem("timers", "forget_s", f"'{self.forget_s:g}'", allowed)
            )
        return problems


def _self_peer_mismatches(entry: EntrySection, peers: PeersSection) -> list[Problem]:
    allowed = f"'{entry.domain} {entry.address}', as configured in [entry]"
    return [
        Problem("peers", peer.name, f"'{peer.domain} {peer.address}'", allowed)
        for peer in peers.members
        if peer.name == entry.name
        and (peer.domain, peer.address) != (entry.domain, entry.address)
    ]


def _missing_protection(
    entry: EntrySection, keys: KeysSection, tls: TlsSection
) -> list[Problem]:
    if ipaddress.IPv4Address(entry.address).is_loopback:
        return []
    reason = f"since [entry] address {entry.address} is not a loopback address"
    problems = []
    if not keys.current:
        allowed = f"a digest key, {reason}"
        problems.append(Problem("keys", "current", "nothing", allowed))
    if not tls.enabled:
        allowed = f"ca, certificate and key, {reason}"
        problems.append(Problem("tls", "", "no certificates", allowed))
    return problems


@dataclass(frozen=True)
class EntrySettings(ProgramSettings):
    """All settings of one entry."""

    entry: EntrySection = section(EntrySection, "Identity and addresses of this entry.")
    fabric: FabricSection = section(FabricSection, "Addresses of the fabric.")
    platform: PlatformSection = section(PlatformSection, "The platform's object API.")
    peers: PeersSection = section(PeersSection, "Entries known at start-up.")
    keys: KeysSection = section(
        KeysSection, "Keys that authenticate datagrams between entries."
    )
    tls: TlsSection = section(
        TlsSection, "Mutual TLS between processes; set all three keys or none."
    )
    limits: LimitsSection = section(LimitsSection, "Limits on bandwidth and memory.")
    timers: TimersSection = section(TimersSection, "Timers of membership and shutdown.")
    log: LogSection = section(LogSection, "Logging.")

    def check_files(self, now: datetime) -> list[Problem]:
        """Return the problems of the files that the settings refer to."""
        return self.platform.check_files(now) + self.tls.check_files(
            now, self.entry.address
        )

    cross_checks = (
        CrossCheck(("entry", "peers"), _self_peer_mismatches),
        CrossCheck(("entry", "keys", "tls"), _missing_protection),
    )

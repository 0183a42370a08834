"""Settings of `kumquat-entry`."""

import ipaddress
from dataclasses import dataclass
from datetime import datetime

from .common import KeysSection, LogSection, PeersSection, PlatformSection, TlsSection
from .declare import key, section
from .problems import Problem
from .read import CrossCheck, ProgramSettings
from .values import Ipv4, Ipv4List, Name, Number, Whole, port


@dataclass(frozen=True)
class EntrySection:
    """Who the entry is, and where it listens."""

    name: str = key(Name(), "Name of this entry, unique in the site.", example="e1")
    domain: str = key(Name(), "Failure domain of this VM.", example="north-a")
    address: str = key(
        Ipv4(), "Address that all ports are opened on.", example="127.0.1.1"
    )
    packet_port: int = key(
        port(), "Port for packets of fabric and targets.", default="6080", unit="UDP"
    )
    peer_port: int = key(
        port(), "Port for datagrams of other entries.", default="7100", unit="UDP"
    )
    control_port: int = key(
        port(), "Port for gRPC from entries and operators.", default="7200", unit="TCP"
    )
    admin_port: int = key(
        port(), "Port for readiness, dump and metrics.", default="7300", unit="TCP"
    )

    def wrong_together(self) -> list[Problem]:
        """Return the ports that are given twice."""
        pairs = (("packet_port", "peer_port"), ("control_port", "admin_port"))
        return [
            Problem("entry", second, f"'{getattr(self, second)}'", f"not {first}'s")
            for first, second in pairs
            if getattr(self, first) == getattr(self, second)
        ]


@dataclass(frozen=True)
class FabricSection:
    """Where the fabric takes and gives packets."""

    address: str = key(
        Ipv4(), "Where packets to callers are sent.", example="127.0.3.1"
    )
    packet_port: int = key(
        port(), "Port that packets to callers go to.", default="6080", unit="UDP"
    )
    sources: tuple[str, ...] = key(
        Ipv4List(),
        "Addresses that packets may come from, separated by commas; "
        "empty: the fabric's address alone.",
        default="",
    )

    @property
    def allowed_sources(self) -> tuple[str, ...]:
        """Addresses that the fabric's packets may come from."""
        return self.sources or (self.address,)


@dataclass(frozen=True)
class LimitsSection:
    """Bounds on what the entry spends and holds."""

    control_bytes_per_s: int = key(
        Whole(256, 1_000_000),
        "Budget for what is sent to other entries outside the packet path.",
        default="4096",
        unit="bytes a second",
    )
    max_flows: int = key(
        Whole(100, 10_000_000),
        "Most flows held; above it new flows are refused.",
        default="500000",
        unit="flows",
    )


@dataclass(frozen=True)
class TimersSection:
    """Times of membership and of a graceful shutdown."""

    heartbeat_s: float = key(
        Number(0.05, 60), "Time between heartbeats.", default="1.0", unit="seconds"
    )
    suspect_s: float = key(
        Number(0.1, 300),
        "Time without a heartbeat after which a peer is passed by.",
        default="2.5",
        unit="seconds",
    )
    forget_s: float = key(
        Number(1, 86_400),
        "Time without a heartbeat after which a peer is forgotten.",
        default="60",
        unit="seconds",
    )
    drain_s: float = key(
        Number(0, 3600),
        "Longest time that a leaving entry goes on relaying.",
        default="10",
        unit="seconds",
    )

    def wrong_together(self) -> list[Problem]:
        """Return the timers that contradict each other."""
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


def _contradicted_by_peers(entry: EntrySection, peers: PeersSection) -> list[Problem]:
    allowed = f"'{entry.domain} {entry.address}', as [entry] says of this entry"
    return [
        Problem("peers", peer.name, f"'{peer.domain} {peer.address}'", allowed)
        for peer in peers.members
        if peer.name == entry.name
        and (peer.domain, peer.address) != (entry.domain, entry.address)
    ]


def _unprotected(
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

    entry: EntrySection = section(EntrySection, "Who this entry is.")
    fabric: FabricSection = section(FabricSection, "Where the fabric is.")
    platform: PlatformSection = section(PlatformSection, "The platform's object API.")
    peers: PeersSection = section(PeersSection, "Entries known from the start.")
    keys: KeysSection = section(KeysSection, "Digest keys between entries.")
    tls: TlsSection = section(
        TlsSection, "Mutual TLS between processes: all three or none."
    )
    limits: LimitsSection = section(LimitsSection, "Bounds on work and memory.")
    timers: TimersSection = section(TimersSection, "Membership and shutdown.")
    log: LogSection = section(LogSection, "Logging.")

    def wrong_files(self, now: datetime) -> list[Problem]:
        """Return what is wrong with the files that the settings name."""
        return self.platform.wrong_files(now) + self.tls.wrong_files(
            now, self.entry.address
        )

    cross_checks = (
        CrossCheck(("entry", "peers"), _contradicted_by_peers),
        CrossCheck(("entry", "keys", "tls"), _unprotected),
    )

"""The site of a soak: entry processes, a store, targets, callers, a router.

Entries are real processes. The store, the targets and the callers run in this
process, on separate loopback addresses. All packets between them and the entries
pass through the relays of this module, which lose, delay or drop them according to
the current faults. Each entry connects to the store through a proxy of its own.
"""

import json
import os
import random
import signal
import socket
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path

from kumquatshift.adapters.epoll import Descriptor
from kumquatshift.platform.packets import HEAD_BYTES, RST
from kumquatshift.standins import metadata_store
from kumquatshift.standins.direct_flows import FlowCaller, FlowTarget, PacketHeader
from tests.support import direct_settings
from tests.support.direct_settings import PACKET_PORT, PEER_PORT

from .proxy import StoreProxy
from .writers import StoreWriters

ROOT = Path(__file__).resolve().parents[2]
DOMAINS = ("north-a", "north-b")
SERVICES = ("tills", "stock")
SERVICE_ADDRESSES = {"tills": ("198.18.0.1", 443), "stock": ("198.18.0.2", 8443)}
TARGET_PORT = 8000
PROXY_PORT = 8100


class Relay(Descriptor):
    """A UDP socket that passes received datagrams to a handler."""

    def __init__(self, reactor, address, handle):
        self._handle = handle
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.bind(address)
        reactor.addReader(self)

    def fileno(self):
        return self.sock.fileno()

    def doRead(self):  # noqa: N802
        while True:
            try:
                data, _ = self.sock.recvfrom(2000)
            except BlockingIOError:
                return
            self._handle(data)


class EntryLog:
    """Follows the log of an entry for the configuration that is in force there."""

    def __init__(self, path: Path):
        self.path = path
        self.version = 0
        self._rest = b""
        self._file = path.open("rb")
        self._file.seek(0, os.SEEK_END)

    def read(self) -> None:
        """Read the lines that have been added."""
        for part in self._file:
            line = self._rest + part
            if not line.endswith(b"\n"):
                self._rest = line  # The entry is still writing it.
                return
            self._rest = b""
            if b'"started"' in line:
                self.version = 0
            elif b'"configuration in force"' in line:
                self.version = json.loads(line)["version"]


@dataclass
class SoakEntry:
    """One entry process, and when it was last disturbed."""

    name: str
    domain: str
    host: str
    proxy: StoreProxy
    process: subprocess.Popen | None = None
    disturbed_at: float = 0.0
    is_ready: bool = False
    is_frozen: bool = False
    log: EntryLog | None = None


@dataclass
class SoakTarget:
    """One target, its address, and when it was last disturbed."""

    name: str
    service: str
    domain: str
    host: str
    flows: FlowTarget
    disturbed_at: float = 0.0
    drain_started_at: float | None = None
    foreign_packets: int = 0
    opened: list = field(default_factory=list)


class SoakSite:
    """All parts of a soak, on one reactor."""

    def __init__(self, reactor, seed: int, net: int):
        self.reactor = reactor
        self.rng = random.Random(seed)
        self.net = f"127.{net}"
        self.folder = ROOT / "build" / f"soak-{seed}"
        self.folder.mkdir(parents=True, exist_ok=True)
        self.loss = 0.0
        self.delay_s = 0.0
        self.unreachable_domains: set[str] = set()
        self.entries: list[SoakEntry] = []
        self.targets: dict[str, SoakTarget] = {}
        self.callers: dict[bytes, tuple[str, FlowCaller]] = {}
        self.resets: list[tuple[float, bytes]] = []
        # The versions of the configuration, and when each was written.
        self.version = 0
        self.written_at: dict[int, float] = {}
        self.target_count = 0
        self.api, self.port = metadata_store.serve(reactor, f"{self.net}.0.1", 0)
        self.writers = StoreWriters(self.api)
        self.caller_relay = Relay(
            reactor, (f"{self.net}.9.1", PACKET_PORT), self.from_entry
        )

    def now(self) -> float:
        return self.reactor.seconds()

    def write_configuration(self) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        routes = [
            {
                "name": f"r-{service}",
                "host": host,
                "pathPrefix": f"/{port}/",
                "service": service,
            }
            for service, (host, port) in SERVICE_ADDRESSES.items()
        ]
        services = [{"name": s, "maxConns": 2000, "warmupPerS": 0} for s in SERVICES]
        spec = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": {"idleTimeoutMs": 15000},
        }
        self.writers.put("config", "main", spec)
        self.written_at[self.version] = self.now()

    def add_target(self, service: str, domain: str) -> SoakTarget:
        """Start a target and list it in the store."""
        self.target_count += 1
        number = self.target_count
        host = f"{self.net}.{20 + number // 200}.{number % 200 + 1}"
        flows = FlowTarget(
            self.reactor, number.to_bytes(8, "big"), self.to_caller, 0.01
        )
        target = SoakTarget(f"i-{number:04x}", service, domain, host, flows)
        target.disturbed_at = self.now()
        self.targets[target.name] = target
        Relay(
            self.reactor,
            (host, TARGET_PORT),
            lambda data: self.deliver(self.to_target, target, data),
        )
        self.report(target)
        return target

    def report(self, target: SoakTarget) -> None:
        """Write a target's report to the store."""
        state = "ready" if target.drain_started_at is None else "draining"
        fields = {
            "service": target.service,
            "address": f"{target.host}:{TARGET_PORT}",
            "zone": target.domain,
            "maxConcurrency": 2,
            "state": state,
            "warmupLeftMs": 0,
            "born": 1,
        }
        self.writers.put("servers", target.name, fields)

    def add_entry(self, domain: str) -> SoakEntry:
        """Add an entry and start it."""
        number = len(self.entries) + 1
        host = f"{self.net}.1.{number}"
        store = (f"{self.net}.0.1", self.port.getHost().port)
        proxy = StoreProxy(self.reactor, host, store)
        self.reactor.listenTCP(PROXY_PORT, proxy, interface=f"{self.net}.2.{number}")
        entry = SoakEntry(f"e{number}", domain, host, proxy)
        self.entries.append(entry)
        self.start(entry)
        return entry

    def start(self, entry: SoakEntry) -> None:
        """Start an entry's process, which must not be running."""
        seeds = ",".join(f"{self.net}.1.{n}:{PEER_PORT}" for n in (1, 2, 3))
        store = entry.host.replace(f"{self.net}.1.", f"{self.net}.2.")
        path = self.folder / f"{entry.name}.ini"
        path.write_text(
            direct_settings.SETTINGS_TEMPLATE.format(
                name=entry.name,
                domain=entry.domain,
                host=entry.host,
                seeds=seeds,
                store=f"{store}:{PROXY_PORT}",
            )
        )
        log_path = self.folder / f"{entry.name}.log"
        log_path.touch()
        entry.log = entry.log or EntryLog(log_path)
        with log_path.open("ab") as log:
            entry.process = subprocess.Popen(
                [sys.executable, "deploy/entry.py"],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={**os.environ, "KUMQUATSHIFT_BOOT": str(path)},
            )
        entry.disturbed_at = max(entry.disturbed_at, self.now())

    def signal(self, entry: SoakEntry, number: int) -> None:
        """Send a signal to an entry's process if it is running."""
        if entry.process.poll() is None:
            entry.process.send_signal(number)
            entry.disturbed_at = max(entry.disturbed_at, self.now())

    def end(self) -> None:
        """Kill every process that the soak started."""
        for entry in self.entries:
            entry.process.send_signal(signal.SIGCONT)
            entry.process.kill()
            entry.process.wait()

    def add_caller(self, service: str, tries: int) -> FlowCaller:
        """Add a caller of a service."""
        number = len(self.callers) + 1
        source = socket.inet_aton(f"{self.net}.9.1")[::-1]
        destination, port = SERVICE_ADDRESSES[service]
        endpoints = (
            source,
            20_000 + number * 200,
            socket.inet_aton(destination)[::-1],
            port,
        )
        caller = FlowCaller(self.reactor, endpoints, self.from_caller, tries=tries)
        self.callers[number] = (service, caller)
        return caller

    def from_caller(self, packet: bytes) -> None:
        """Route a caller's packet to a ready entry, as routers do."""
        candidates = [e for e in self.entries if e.is_ready] or self.entries
        entry = candidates[PacketHeader.unpack(packet).source_port % len(candidates)]
        self.deliver(self.caller_relay.sock.sendto, packet, (entry.host, PACKET_PORT))

    def from_entry(self, packet: bytes) -> None:
        """Record resets from an entry, and deliver its packet to the caller."""
        if len(packet) >= HEAD_BYTES and PacketHeader.unpack(packet).flags & RST:
            self.resets.append((self.now(), packet))
        self.deliver(self.to_caller, packet)

    def to_target(self, target: SoakTarget, datagram: bytes) -> None:
        if target.domain not in self.unreachable_domains:
            header = PacketHeader.unpack(datagram[8:])
            if header.destination_port != SERVICE_ADDRESSES[target.service][1]:
                target.foreign_packets += 1
            target.flows.receive(datagram)

    def to_caller(self, packet: bytes) -> None:
        port = PacketHeader.unpack(packet).destination_port
        found = self.callers.get((port - 20_000) // 200)
        if found is not None:
            found[1].receive(packet)

    def deliver(self, call, *args) -> None:
        """Deliver a datagram, subject to the current faults."""
        if self.rng.random() < self.loss:
            return
        if self.delay_s:
            self.reactor.callLater(self.rng.random() * self.delay_s, call, *args)
        else:
            call(*args)

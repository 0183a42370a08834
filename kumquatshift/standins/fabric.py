"""Stand-in for the fabric between callers, entries and targets.

It owns the callers' side: it listens at the service addresses, turns what
callers send into IPv4 packets and hands each one to any ready entry. Packets
from entries go out to the caller from the service's address. Packets from
targets are on their way back, and are handed to any ready entry as well.
"""

import random
import socket
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

import treq
from loguru import logger
from twisted.internet.protocol import DatagramProtocol

from .admin import admin_site
from .packets import Datagram, Endpoint
from .readiness import TIMEOUT_S, ReadyChecks
from .spray import Faults, Spray

PACKET_PORT = 6080
TARGET_PORT = 6081
ADMIN_PORT = 7300
SOCKET_BUFFER_BYTES = 2 << 20
TO_TARGETS = "to-targets"
TO_CALLERS = "to-callers"
UDP = "udp"
TCP = "tcp"


@dataclass(frozen=True)
class ListenAddress:
    """One service address, read from text such as ``127.0.9.1 5683 udp``."""

    protocol: str
    endpoint: Endpoint

    @classmethod
    def from_text(cls, text):
        """Read ``ADDRESS PORT udp|tcp``; raise ValueError when it is not that."""
        host, port, protocol = text.split()
        if protocol not in (UDP, TCP):
            raise ValueError(f"expected udp or tcp, found {protocol!r}")
        return cls(protocol, Endpoint.from_text(f"{host}:{port}"))


@dataclass(frozen=True)
class FabricSettings:
    """What the fabric is started with; ``entries`` maps names to addresses."""

    address: str
    seed: int = 1
    faults: Faults = field(default_factory=Faults)
    services: Mapping[str, ListenAddress] = field(default_factory=dict)
    entries: Mapping[str, str] = field(default_factory=dict)

    @classmethod
    def from_config(cls, cfg):
        """Read the sections ``fabric``, ``services`` and ``entries``."""
        section = cfg["fabric"]
        services = cfg["services"].items()
        return cls(
            address=section["address"],
            seed=int(section.get("seed", 1)),
            faults=Faults.from_config(section),
            services={name: ListenAddress.from_text(text) for name, text in services},
            entries={name: text.split()[-1] for name, text in cfg["entries"].items()},
        )


class Receiver(DatagramProtocol):
    """Calls ``receive(data, address)`` for each datagram."""

    def __init__(self, receive):
        self.receive = receive

    def startProtocol(self):  # noqa: N802
        """Make room for bursts."""
        sock = self.transport.getHandle()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)

    def datagramReceived(self, data, address):  # noqa: N802
        """Hand the datagram on."""
        self.receive(data, address)


class Fabric:
    """The fabric; ``start`` opens its ports on ``reactor``."""

    def __init__(self, settings: FabricSettings, reactor):
        self.settings = settings
        self.reactor = reactor
        self.counters = Counter()
        self.callers = {}
        self.entry_side = Receiver(self.from_entry)
        rng = random.Random(settings.seed)
        self.spray = Spray(
            settings.entries, settings.faults, rng, reactor, self._send_entry
        )
        self.checks = ReadyChecks(self.spray, self._fetch_ready, reactor)

    def start(self):
        """Open all ports and begin to ask the entries."""
        host = self.settings.address
        self.reactor.listenUDP(PACKET_PORT, self.entry_side, host, 65536)
        target_side = Receiver(self.from_target)
        self.reactor.listenUDP(TARGET_PORT, target_side, host, 65536)
        self.reactor.listenTCP(ADMIN_PORT, admin_site(self.dump), interface=host)
        for service in self.settings.services.values():
            if service.protocol == UDP:
                self._listen_callers(service.endpoint)
        self.checks.start()
        logger.info("fabric: started at {}.", host)

    def _listen_callers(self, endpoint):
        def receive(data, address):
            self.from_caller(endpoint, data, address)

        receiver = Receiver(receive)
        self.callers[endpoint] = receiver
        self.reactor.listenUDP(endpoint.port, receiver, endpoint.host, 65536)

    def _send_entry(self, host, packet):
        self.entry_side.transport.write(packet, (host, PACKET_PORT))

    async def _fetch_ready(self, host):
        response = await treq.get(
            f"http://{host}:{ADMIN_PORT}/ready",
            timeout=TIMEOUT_S,
            persistent=False,
            reactor=self.reactor,
        )
        await treq.content(response)
        return response.code

    def from_caller(self, service, data, address):
        """Take a caller's datagram to ``service``."""
        packet = Datagram(Endpoint(*address), service, data).pack()
        self.spray.pass_on(TO_TARGETS, packet)

    def from_target(self, data, address):
        """Take a target's packet on its way to a caller."""
        self.spray.pass_on(TO_CALLERS, data)

    def from_entry(self, data, address):
        """Give the payload of an entry's packet to its caller."""
        datagram = Datagram.unpack(data)
        if datagram is None:
            self.counters["from-entries.malformed"] += 1
            return
        receiver = self.callers.get(datagram.src)
        if receiver is None:
            self.counters["from-entries.unknown-service"] += 1
            return
        self.counters["from-entries.delivered"] += 1
        caller = datagram.dst
        receiver.transport.write(datagram.payload, (caller.host, caller.port))

    def dump(self):
        """Return the whole state."""
        return {
            "name": "fabric",
            "ready": list(self.spray.ready),
            "misses": dict(self.checks.misses),
            "counters": {**self.counters, **self.spray.counters},
        }


def serve(settings: FabricSettings, reactor):
    """Start a fabric on ``reactor``; return it."""
    fabric = Fabric(settings, reactor)
    fabric.start()
    return fabric

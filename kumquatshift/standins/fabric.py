"""Stand-in for the network fabric between callers, entries and targets.

It listens at the service addresses, converts the traffic of callers to IPv4
packets and forwards each packet to a random ready entry. Packets from entries are
delivered to the caller from the service address. Packets from targets, on the
return path, are forwarded to a random ready entry as well.
"""

import random
import socket
from collections import Counter

import treq
from twisted.internet.protocol import DatagramProtocol, Factory

from ..engine.objects import Protocol
from ..logs import Part, logger_for
from ..settings import FabricStandinSettings
from .admin import admin_site, stop_ports
from .bridge import Bridge, StreamTable
from .packets import Datagram, Endpoint, Segment, unpack
from .readiness import TIMEOUT_S, ReadyChecks
from .spray import Faults, PacketSprayer

PACKET_PORT = 6080
TARGET_PORT = 6081
ADMIN_PORT = 7300
DATAGRAM_BYTES = 65536
SOCKET_BUFFER_BYTES = 2 << 20
TO_TARGETS = "to-targets"
TO_CALLERS = "to-callers"

log = logger_for(Part.STANDIN)


class Receiver(DatagramProtocol):
    """Calls ``receive(data, address)`` for each datagram."""

    def __init__(self, receive):
        self.receive = receive

    def startProtocol(self):  # noqa: N802
        """Enlarge the receive buffer, so that bursts are not dropped."""
        sock = self.transport.getHandle()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)

    def datagramReceived(self, data, address):  # noqa: N802
        """Pass the datagram to ``receive``."""
        self.receive(data, address)


class CallerConnection(Bridge):
    """Real connection of a caller, bridged to a stream to the service."""

    def __init__(self, service: Endpoint, table: StreamTable):
        super().__init__()
        self.service = service
        self.table = table

    def connectionMade(self):  # noqa: N802
        """Open the stream with the address of the caller as its source."""
        peer = self.transport.getPeer()
        caller = Endpoint(peer.host, peer.port)
        self.attach(self.table.connect(caller, self.service, self))
        super().connectionMade()


class CallerFactory(Factory):
    """Accepts the connections of callers at one service address."""

    noisy = False

    def __init__(self, service: Endpoint, table: StreamTable):
        self.service = service
        self.table = table

    def buildProtocol(self, addr):  # noqa: N802
        """Return the protocol that bridges one connection to its stream."""
        return CallerConnection(self.service, self.table)


class Fabric:
    """The fabric stand-in; ``start`` opens its ports on ``reactor``."""

    def __init__(self, settings: FabricStandinSettings, reactor):
        self.settings = settings
        self.reactor = reactor
        self.counters = Counter()
        self.callers = {}
        self.ports = []
        self.entry_receiver = Receiver(self.from_entry)
        self.spray = PacketSprayer(
            {entry.name: entry.address for entry in settings.entries.members},
            Faults.from_config(settings.fabric),
            random.Random(settings.fabric.seed),
            reactor,
            self._send_entry,
        )
        self.streams = StreamTable(reactor, self._send_segment)
        self.readiness_checks = ReadyChecks(self.spray, self._fetch_ready, reactor)

    def start(self):
        """Open all ports and start the readiness checks of the entries."""
        host = self.settings.fabric.address
        self._listen_udp(Endpoint(host, PACKET_PORT), self.entry_receiver)
        self._listen_udp(Endpoint(host, TARGET_PORT), Receiver(self.from_target))
        self._listen_tcp(Endpoint(host, ADMIN_PORT), admin_site(self.dump))
        for service in self.settings.services.members:
            endpoint = Endpoint(service.address, service.port)
            if service.protocol is Protocol.UDP:
                self._listen_callers(endpoint)
            else:
                self._accept_callers(endpoint)
        self.readiness_checks.start()
        log.info("Fabric stand-in started at {}.", host)

    def stop(self):
        """Reset all streams and close all ports; return a Deferred."""
        self.readiness_checks.stop()
        self.streams.abort_all()
        return stop_ports(self.ports)

    def _listen_udp(self, endpoint, protocol):
        port = self.reactor.listenUDP(
            endpoint.port, protocol, endpoint.host, DATAGRAM_BYTES
        )
        self.ports.append(port)

    def _listen_tcp(self, endpoint, factory):
        port = self.reactor.listenTCP(endpoint.port, factory, interface=endpoint.host)
        self.ports.append(port)

    def _listen_callers(self, endpoint):
        def receive(data, address):
            self.from_caller(endpoint, data, address)

        receiver = Receiver(receive)
        self.callers[endpoint] = receiver
        self._listen_udp(endpoint, receiver)

    def _accept_callers(self, endpoint):
        factory = CallerFactory(endpoint, self.streams)
        self._listen_tcp(endpoint, factory)

    def _send_segment(self, segment):
        self.spray.forward(TO_TARGETS, segment.pack())

    def _send_entry(self, host, packet):
        self.entry_receiver.transport.write(packet, (host, PACKET_PORT))

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
        """Forward a datagram that a caller sent to ``service``."""
        packet = Datagram(Endpoint(*address), service, data).pack()
        self.spray.forward(TO_TARGETS, packet)

    def from_target(self, data, address):
        """Forward a packet that a target sent to a caller."""
        self.spray.forward(TO_CALLERS, data)

    def from_entry(self, data, address):
        """Deliver the payload of a packet from an entry to its caller."""
        packet = unpack(data)
        if packet is None:
            self.counters["from-entries.malformed"] += 1
        elif isinstance(packet, Segment):
            self.counters["from-entries.delivered"] += 1
            self.streams.receive(packet)
        else:
            self._deliver(packet)

    def _deliver(self, datagram):
        receiver = self.callers.get(datagram.src)
        if receiver is None:
            self.counters["from-entries.unknown-service"] += 1
            return
        self.counters["from-entries.delivered"] += 1
        caller = datagram.dst
        receiver.transport.write(datagram.payload, (caller.host, caller.port))

    def dump(self):
        """Return the state as shown on the admin port."""
        return {
            "name": "fabric",
            "ready": list(self.spray.ready),
            "misses": dict(self.readiness_checks.misses),
            "streams": len(self.streams.streams),
            "counters": {
                **self.counters,
                **self.spray.counters,
                **self.streams.counters,
            },
        }


def serve(settings: FabricStandinSettings, reactor):
    """Start a fabric stand-in on ``reactor``; return it."""
    fabric = Fabric(settings, reactor)
    fabric.start()
    return fabric
